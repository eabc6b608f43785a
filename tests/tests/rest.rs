//! Gateways send no requests to backend servers that have asked for a rest or that leave.
//!
//! Guards against a server that refused a request, asked its gateway for 3 s of rest and received
//! up to seven requests from it in that time, as did its neighbours. The gateway read the refusal
//! as "no room" only and replaced the requested time by its own, a third of a second at most.
//! Afterwards the server seemed idle, because it refused all requests, and was selected before
//! servers with room. In these tests, the servers recorded up to 47 requests of one gateway
//! throughout 2 s of rest, while no server's entry changed.

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

/// Number of callers at each gateway.
const CALLERS: usize = 6;
/// Number of requests of each caller. They take about three seconds, which is longer than the
/// rest that the server asks for.
const REQUESTS: usize = 60;

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns the lock-step group, or `None` for the plain servers.
fn group(ranks: bool) -> Option<u8> {
    ranks.then_some(0)
}

/// Sends requests one after another and returns them with their statuses.
async fn send_all(
    system: &System,
    gateway: u8,
    ranks: bool,
    count: usize,
) -> Vec<(String, Sent, u16)> {
    let mut all = Vec::new();
    for _ in 0..count {
        let (request, at) = (Request::short(ranks), now());
        let status = system.request(gateway, &request).await.status;
        all.push((request.id, Sent { gateway, at, answered: now() }, status));
    }
    all
}

/// Runs callers of all gateways concurrently. Returns the requests and the number of those that
/// were not served.
async fn load(system: &System, ranks: bool) -> (BTreeMap<String, Sent>, usize) {
    let callers = (0..PLAN.gateways).flat_map(|gateway| [gateway; CALLERS]);
    let sent = future::join_all(callers.map(|gateway| send_all(system, gateway, ranks, REQUESTS)));
    let sent: Vec<_> = sent.await.into_iter().flatten().collect();
    let unserved = sent.iter().filter(|(_, _, status)| *status != 200).count();
    (sent.into_iter().map(|(id, sent, _)| (id, sent)).collect(), unserved)
}

/// Checks that gateways respect a server that refuses every second request and asks for two
/// seconds of rest.
async fn check_rest(ranks: bool) {
    let system = System::start(PLAN).await;
    for gateway in 0..PLAN.gateways {
        system.earn_retries(gateway).await;
    }
    let server = if ranks { "rank-1" } else { "plain-1" };
    system.servers_control(group(ranks), &format!("/shed?server={server}&each=2&rest=2")).await;
    let (sent, unserved) = load(&system, ranks).await;
    let visits = system.visits().await;
    assert!(visits.iter().any(|visit| visit.shed.is_some()), "nothing was refused");
    assert_eq!(visits::worst(visits::rest_violations(&visits, &sent, &NoExemption)), None);
    assert_eq!(unserved, 0, "requests that were not served while other servers had room");
}

#[tokio::test(flavor = "multi_thread")]
async fn respects_the_rest_of_a_plain_server() {
    check_rest(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn respects_the_rest_of_a_rank() {
    check_rest(true).await;
}

/// Checks that gateways drain a server that reports only in its answers, and not in the store,
/// that it leaves.
async fn check_leave(ranks: bool) {
    let system = System::start(PLAN).await;
    let server = if ranks { "rank-1" } else { "plain-1" };
    system.servers_control(group(ranks), &format!("/leave?server={server}&on=1")).await;
    let (sent, unserved) = load(&system, ranks).await;
    let visits = system.visits().await;
    assert!(visits.iter().any(|visit| visit.leaving), "no answer reported the leave");
    assert_eq!(visits::worst(visits::drain_violations(&visits, &sent, &NoExemption)), None);
    assert_eq!(unserved, 0, "requests that were not served while other servers had room");
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_a_plain_server_that_leaves() {
    check_leave(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_a_rank_that_leaves() {
    check_leave(true).await;
}

/// Guards against a restarted server that stayed excluded for its whole run at gateways that had
/// received its earlier leave. They compared the start time by the server's clock with the time,
/// by their own clock, at which they had received the leave.
#[tokio::test(flavor = "multi_thread")]
async fn uses_a_restarted_server_whose_clock_is_behind() {
    let system = System::start(PLAN).await;
    // Start times of 1 ms and 2 ms: the server's clock is far behind.
    let start = |born| system.put_entry_of_run("plain-1", SMS, system.plain_address(1), born);
    start(1).await;
    let leave = |on: u8| format!("/leave?server=plain-1&on={on}");
    system.servers_control(None, &leave(1)).await;
    load(&system, false).await;
    assert!(
        system.visits().await.iter().any(|visit| visit.leaving),
        "no answer reported the leave"
    );
    system.servers_control(None, &leave(0)).await;
    start(2).await;
    until("all gateways send to the server again", || async {
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

/// Sends one request and returns whether it reached the server `plain-1`.
async fn reaches(system: &System, sent: &mut BTreeMap<String, Sent>, request: Request) -> bool {
    let at = now();
    system.request(0, &request).await;
    let visits = system.visits().await;
    let reached = visits.iter().any(|v| v.request == request.id && v.server == "plain-1");
    sent.insert(request.id, Sent { gateway: 0, at, answered: now() });
    reached
}

/// Guards against a check that started its count at a request without an answer. The gateway
/// could not have learnt from it that the server leaves.
#[tokio::test(flavor = "multi_thread")]
async fn does_not_count_a_lost_answer_as_a_leave() {
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
