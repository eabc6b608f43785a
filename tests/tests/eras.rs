//! Records of a store that was restored from a copy supersede all earlier ones.
//!
//! A restored store assigns revisions again that it had assigned before. An *era* of the store
//! lasts until the next restore.
//!
//! Guards against four configurations that a restored store had acknowledged and that were not in
//! force more than two seconds later, so that a revoked key was accepted. Records were ordered by
//! revision alone, on the assumption that revisions always increase. No gateway therefore applied
//! the new records until the store had assigned as many revisions as before the restore.
//! `mirror/tests/eras.rs` covers the same fault without processes.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_tests::request::Request;
use loftcove_tests::system::{BOUND, KEY, Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 3, ranks: 4, groups: 1, plain: 2, sidecars: true, proxied: false };
/// Number of configurations that the store loses.
const LOST: u64 = 8;
/// Time for which the store is unavailable.
const OUTAGE: Duration = Duration::from_millis(700);

async fn status(system: &System, gateway: u8, key: &str) -> u16 {
    system.request(gateway, &Request::new("/alert/").with("x-api-key", key)).await.status
}

/// Waits until all gateways accept the key.
async fn wait_accepted(system: &System, key: &str) {
    for gateway in 0..PLAN.gateways {
        until("the key is accepted", || async { status(system, gateway, key).await == 200 }).await;
    }
}

/// Restores the store from a copy that lacks the last configurations, and rewrites the last one as
/// the operator does. Returns its version and key.
async fn restore(system: &mut System) -> (u64, String) {
    system.store_control("copy").await;
    let mut version = 1;
    for _ in 0..LOST {
        version += 1;
        system.configure(version, &[&format!("key-{version}")]).await;
    }
    let key = format!("key-{version}");
    wait_accepted(system, &key).await;
    system.restore_store(OUTAGE).await;
    (version, key)
}

#[tokio::test(flavor = "multi_thread")]
async fn applies_configurations_written_after_the_store_lost_others() {
    let mut system = System::start(PLAN).await;
    let (version, old) = restore(&mut system).await;
    let began = std::time::Instant::now();
    system.configure(version + 1, &["newest"]).await;
    wait_accepted(&system, "newest").await;
    for gateway in 0..PLAN.gateways {
        assert_eq!(status(&system, gateway, &old).await, 401, "the key is revoked");
        assert_eq!(status(&system, gateway, KEY).await, 401, "the copy's key is still valid");
    }
    assert!(began.elapsed() < BOUND, "{:?}", began.elapsed());
}

/// Returns the ranks whose sidecars were elected, in the order of their last terms.
fn drivers(system: &System) -> Vec<u8> {
    let term = |rank: &u8| {
        let log = system.sidecars[usize::from(*rank)].log();
        let elected = log.iter().filter(|line| line.contains("driver elected"));
        elected.filter_map(|line| line.rsplit("term=").next()?.trim().parse::<u64>().ok()).max()
    };
    let mut drivers: Vec<u8> = (0..PLAN.ranks).filter(|rank| term(rank).is_some()).collect();
    drivers.sort_by_key(term);
    drivers
}

/// Covers a copy whose driver has been killed. The restore loses the key of the present driver
/// with its lease.
#[tokio::test(flavor = "multi_thread")]
async fn elects_a_driver_after_the_store_lost_the_earlier_one() {
    let mut system = System::start(PLAN).await;
    until("a driver is elected", || async { !drivers(&system).is_empty() }).await;
    system.store_control("copy").await;
    let first = *drivers(&system).last().unwrap();
    system.sidecars[usize::from(first)].kill().await;
    until("another driver is elected", || async {
        drivers(&system).last().is_some_and(|driver| *driver != first)
    })
    .await;
    system.start_sidecar(first);
    for version in 2..2 + LOST {
        system.configure(version, &[KEY]).await;
    }
    system.restore_store(OUTAGE).await;
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
