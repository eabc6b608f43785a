//! Backend servers had asked for rest, and got requests all the same.
//!
//! Seen: a server refused a request of a gateway and asked it for 3 s of rest,
//! and got up to seven requests from it in that time, as did its neighbours.
//! How: each refusal shut it for a third of a second at the most; then it looked
//! idle, as it refused all, and was chosen before servers with room.
//! Cause: how long to stay away was read as "no room" alone, and a figure of our
//! own stood in its place.
//! Proof: servers that wrote down what reached them, in these tests: up to 47
//! requests of one gateway in 2 s of rest, spread over all of it, while no entry
//! of a server changed.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::future;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, SMS, System};
use loftcove_tests::until;
use loftcove_tests::visits::{self, NoExemption, Sent};

const PLAN: Plan =
    Plan { gateways: 3, ranks: 4, groups: 1, plain: 3, sidecars: false, proxied: false };

/// Callers at each gateway, and how often each asks: their requests come for
/// some three seconds, which is longer than the rest that is asked for.
const CALLERS: usize = 6;
/// See [`CALLERS`].
const REQUESTS: usize = 60;

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The lock-step group, or the plain servers.
fn group(ranks: bool) -> Option<u8> {
    ranks.then_some(0)
}

/// Asks one request after the other; returns them with their statuses.
async fn ask(system: &System, gateway: u8, ranks: bool, count: usize) -> Vec<(String, Sent, u16)> {
    let mut all = Vec::new();
    for _ in 0..count {
        let (request, at) = (Request::short(ranks), now());
        let status = system.request(gateway, &request).await.status;
        all.push((request.id, Sent { gateway, at, answered: now() }, status));
    }
    all
}

/// Callers ask at all gateways at the same time; returns what they sent, and how
/// many were not served.
async fn load(system: &System, ranks: bool) -> (BTreeMap<String, Sent>, usize) {
    let callers = (0..PLAN.gateways).flat_map(|gateway| [gateway; CALLERS]);
    let asked = future::join_all(callers.map(|gateway| ask(system, gateway, ranks, REQUESTS)));
    let asked: Vec<_> = asked.await.into_iter().flatten().collect();
    let unserved = asked.iter().filter(|(_, _, status)| *status != 200).count();
    (asked.into_iter().map(|(id, sent, _)| (id, sent)).collect(), unserved)
}

/// One server sheds every other request and asks for two seconds of rest.
async fn rests(ranks: bool) {
    let system = System::start(PLAN).await;
    let server = if ranks { "rank-1" } else { "plain-1" };
    system.servers_control(group(ranks), &format!("/shed?server={server}&each=2&rest=2")).await;
    let (sent, unserved) = load(&system, ranks).await;
    let visits = system.visits().await;
    assert!(visits.iter().any(|visit| visit.shed.is_some()), "nothing was refused");
    assert_eq!(visits::worst(visits::rest_violations(&visits, &sent, &NoExemption)), None);
    assert_eq!(unserved, 0, "requests that were not served while other servers had room");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_server_that_asks_for_rest_gets_it() {
    rests(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rank_that_asks_for_rest_gets_it() {
    rests(true).await;
}

/// A server says in its answers that it leaves; the store does not tell.
async fn leaves(ranks: bool) {
    let system = System::start(PLAN).await;
    let server = if ranks { "rank-1" } else { "plain-1" };
    system.servers_control(group(ranks), &format!("/leave?server={server}&on=1")).await;
    let (sent, unserved) = load(&system, ranks).await;
    let visits = system.visits().await;
    assert!(visits.iter().any(|visit| visit.leaving), "no answer told it");
    assert_eq!(visits::worst(visits::drain_violations(&visits, &sent, &NoExemption)), None);
    assert_eq!(unserved, 0, "requests that were not served while other servers had room");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_server_that_leaves_gets_nothing_more() {
    leaves(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rank_that_leaves_gets_nothing_more() {
    leaves(true).await;
}

/// Seen: a server that started again was left out for the rest of its life at
/// gateways that had heard it leave before. Cause: the time of its start, by its
/// own clock, was held against the time at which a gateway had heard of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_starts_again_serves_whatever_its_clock() {
    let system = System::start(PLAN).await;
    // Its clock is far behind.
    let start = |born| system.put_entry_of_run("plain-1", SMS, system.plain_address(1), born);
    start(1).await;
    let leave = |on: u8| format!("/leave?server=plain-1&on={on}");
    system.servers_control(None, &leave(1)).await;
    load(&system, false).await;
    assert!(system.visits().await.iter().any(|visit| visit.leaving), "no answer told it");
    system.servers_control(None, &leave(0)).await;
    start(2).await;
    until("all gateways send to it again", || async {
        let (sent, _) = load(&system, false).await;
        let visits = system.visits().await;
        let again = |gateway| {
            let of_run = |visit: &visits::Visit| visit.server == "plain-1" && visit.run == 1;
            let by = |visit: &visits::Visit| sent.get(&visit.request).map(|sent| sent.gateway);
            visits.iter().any(|visit| of_run(visit) && by(visit) == Some(gateway))
        };
        (0..PLAN.gateways).all(again)
    })
    .await;
}

/// Asks once; returns whether that reached the server `plain-1`.
async fn reaches(system: &System, sent: &mut BTreeMap<String, Sent>, request: Request) -> bool {
    let at = now();
    system.request(0, &request).await;
    let visits = system.visits().await;
    let reached = visits.iter().any(|v| v.request == request.id && v.server == "plain-1");
    sent.insert(request.id, Sent { gateway: 0, at, answered: now() });
    reached
}

/// Seen: the check counted from a request to which the server had given no answer,
/// so that its gateway knew nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_whose_answer_is_lost_has_told_nothing() {
    let system = System::start(PLAN).await;
    system.servers_control(None, "/leave?server=plain-1&on=1").await;
    let mut sent = BTreeMap::new();
    let lose = || Request::new("/alert/").with("x-standin-lose", "1");
    while !reaches(&system, &mut sent, lose()).await {}
    tokio::time::sleep(Duration::from_millis(visits::DRAIN_MS)).await;
    while !reaches(&system, &mut sent, Request::new("/alert/")).await {}
    let visits = system.visits().await;
    assert_eq!(visits::worst(visits::drain_violations(&visits, &sent, &NoExemption)), None);
}
