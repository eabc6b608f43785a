//! All gateways together respect the rate limit that a backend server names.
//!
//! Guards against a server with a limit of one request per second that received 12 requests within
//! four seconds from gateways that had passed its answers on, where 11 were allowed. No gateway
//! read the limit, so the rate at the server did not change. These tests use servers that record
//! the requests that reach them.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::future;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::visits::{self, NoExemption, Sent};

const PLAN: Plan =
    Plan { gateways: 3, ranks: 4, groups: 1, plain: 3, sidecars: false, proxied: false };
/// Number of callers at each gateway.
const CALLERS: usize = 4;
/// Time for which callers send requests: two counted spans after the time that the gateways have
/// to apply a limit.
const LOAD_TIME: Duration = Duration::from_secs(11);

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Sends requests one after another for the given time and returns them with their statuses.
async fn send_all(
    system: &System,
    gateway: u8,
    ranks: bool,
    time: Duration,
) -> Vec<(String, Sent, u16)> {
    let (mut all, begun) = (Vec::new(), now());
    while now() < begun + time.as_millis() as u64 {
        let (request, at) = (Request::short(ranks), now());
        let status = system.request(gateway, &request).await.status;
        all.push((request.id, Sent { gateway, at, answered: now() }, status));
    }
    all
}

/// Runs callers of all gateways concurrently. Returns the requests and the number of those that
/// were not served.
async fn load(system: &System, ranks: bool, time: Duration) -> (BTreeMap<String, Sent>, usize) {
    let callers = (0..PLAN.gateways).flat_map(|gateway| [gateway; CALLERS]);
    let sent = future::join_all(callers.map(|gateway| send_all(system, gateway, ranks, time)));
    let sent: Vec<_> = sent.await.into_iter().flatten().collect();
    let unserved = sent.iter().filter(|(_, _, status)| *status != 200).count();
    (sent.into_iter().map(|(id, sent, _)| (id, sent)).collect(), unserved)
}

async fn set_limit(system: &System, ranks: bool, server: &str, rate: &str) {
    let group = ranks.then_some(0);
    system.servers_control(group, &format!("/limit?server={server}&rate={rate}")).await;
}

/// Checks that a server that names a limit of two requests per second receives no more, and all
/// requests are served.
async fn check_limit(ranks: bool) {
    let system = System::start(PLAN).await;
    let server = if ranks { "rank-1" } else { "plain-1" };
    set_limit(&system, ranks, server, "2").await;
    let (sent, unserved) = load(&system, ranks, LOAD_TIME).await;
    let visits = system.visits().await;
    assert_eq!(visits::overruns(&visits, &sent, &NoExemption), []);
    let of_server = visits.iter().filter(|visit| visit.server == server).count();
    assert!(of_server >= 11, "it takes two a second for 11 s, and got {of_server}");
    assert_eq!(unserved, 0, "requests that were not served while other servers had room");
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_no_more_than_its_limit_to_a_plain_server() {
    check_limit(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_no_more_than_its_limit_to_a_rank() {
    check_limit(true).await;
}

/// Covers a low limit. Most gateways send no requests to the server, so its answers after the
/// limit has ended reach other gateways first.
#[tokio::test(flavor = "multi_thread")]
async fn lifts_a_withdrawn_limit_at_all_gateways() {
    let plan = Plan { gateways: 8, plain: 1, ..PLAN };
    let system = System::start(plan).await;
    set_limit(&system, false, "plain-0", "0.2").await;
    let request_at_all = || async {
        let requests = (0..plan.gateways).map(|gateway| {
            let system = &system;
            async move { system.request(gateway, &Request::short(false)).await.status }
        });
        future::join_all(requests).await
    };
    request_at_all().await;
    let statuses = request_at_all().await;
    assert!(statuses.contains(&503), "the limit is not applied: {statuses:?}");
    set_limit(&system, false, "plain-0", "").await;
    let begun = now();
    while request_at_all().await.iter().any(|status| *status != 200) {
        assert!(now() < begun + 45_000, "the limit is still applied after its end");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
