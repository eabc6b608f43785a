//! The store comes back from a copy and gives revisions out again: what it says then is
//! newer than all before.
//!
//! Seen: four configurations that the store had acknowledged after it came back were not
//! in force more than two seconds later; a revoked key was taken.
//! How: no gateway learnt any of them until the store had given out as many revisions as
//! before.
//! Cause: records were ordered by revision alone, which was taken to rise for ever.
//! Proof: these tests, and `mirror/tests/eras.rs` without processes.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_tests::request::Request;
use loftcove_tests::system::{BOUND, KEY, Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 3, ranks: 4, groups: 1, plain: 2, sidecars: true, proxied: false };
/// Configurations that the store loses.
const LOST: u64 = 8;
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(700);

async fn status(system: &System, gateway: u8, key: &str) -> u16 {
    system.request(gateway, &Request::new("/alert/").with("x-api-key", key)).await.status
}

/// Waits until all gateways take the key.
async fn taken(system: &System, key: &str) {
    for gateway in 0..PLAN.gateways {
        until("the key is taken", || async { status(system, gateway, key).await == 200 }).await;
    }
}

/// The store loses what the operator wrote since a copy was taken, and all else, and the
/// operator writes the last configuration again. Returns its version and key.
async fn lose(system: &mut System) -> (u64, String) {
    system.store_control("copy").await;
    let mut version = 1;
    for _ in 0..LOST {
        version += 1;
        system.configure(version, &[&format!("key-{version}")]).await;
    }
    let key = format!("key-{version}");
    taken(system, &key).await;
    system.restore_store(AWAY).await;
    (version, key)
}

#[tokio::test(flavor = "multi_thread")]
async fn configurations_after_the_store_lost_some_are_in_force_in_time() {
    let mut system = System::start(PLAN).await;
    let (version, old) = lose(&mut system).await;
    let began = std::time::Instant::now();
    system.configure(version + 1, &["newest"]).await;
    taken(&system, "newest").await;
    for gateway in 0..PLAN.gateways {
        assert_eq!(status(&system, gateway, &old).await, 401, "the key is revoked");
        assert_eq!(status(&system, gateway, KEY).await, 401, "the copy's key is none");
    }
    assert!(began.elapsed() < BOUND, "{:?}", began.elapsed());
}

/// Sidecars that were elected, in the order of their first election.
fn drivers(system: &System) -> Vec<u8> {
    let elected = |rank: &u8| {
        system.sidecars[usize::from(*rank)].log().iter().any(|line| line.contains("driver elected"))
    };
    (0..PLAN.ranks).filter(elected).collect()
}

/// The driver of the copy is dead, and the lease of the present one is lost with its key.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_has_a_driver_after_the_store_lost_the_one_before() {
    let mut system = System::start(PLAN).await;
    until("a driver is elected", || async { !drivers(&system).is_empty() }).await;
    system.store_control("copy").await;
    let first = drivers(&system)[0];
    system.sidecars[usize::from(first)].kill().await;
    until("another one is elected", || async { drivers(&system).len() > 1 }).await;
    system.start_sidecar(first);
    for version in 2..2 + LOST {
        system.configure(version, &[KEY]).await;
    }
    system.restore_store(AWAY).await;
    let switches = || async { system.group_state().await["switches"].as_u64().unwrap() };
    let before = switches().await;
    system.group_control("/popular?expert=3").await;
    let mut client = system.client(0).await;
    let load = tokio::spawn(async move {
        let request = || Request::new("/draft/").with("x-standin-events", "100");
        while let Some(response) = client.send(&request()).await {
            loftcove_tests::client::read(response).await;
        }
    });
    until("the map follows the demand", || async { switches().await > before }).await;
    load.abort();
    assert_eq!(system.group_state().await["violations"], 0);
}
