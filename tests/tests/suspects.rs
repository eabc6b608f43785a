//! Proper requests are not refused because of guilty ones, which end the servers that run them.
//!
//! Guards against a fault with three guilty requests: from the third round on, up to nine of
//! twelve proper requests were refused for ten minutes. Requests that were cut off together were
//! retried together and ran beside the guilty ones again. Gateways only counted ends and did not
//! separate suspects, so that a retry could not show which request was guilty.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};

const PLAN: Plan =
    Plan { gateways: 3, ranks: 4, groups: 1, plain: 3, sidecars: false, proxied: false };

/// Number of callers whose request is proper.
const PROPER: u8 = 12;
/// Number of callers whose request ends its servers.
const GUILTY: u8 = 5;
/// Number of requests of each caller.
const ROUNDS: u8 = 8;

/// Sends one request of a caller. Returns the caller if its proper request was refused without
/// being sent to a server.
async fn send(system: &System, caller: u8, round: u8, guilty: bool) -> Option<u8> {
    let gateway = (caller + round) % PLAN.gateways;
    let request = Request::new("/alert/").body(&format!("caller {caller} {guilty}"));
    let request = request.with("x-standin-delay-ms", "400");
    let request = if guilty { request.with("x-standin-end-ms", "50") } else { request };
    let answer = system.request(gateway, &request).await;
    let refused = answer.status == 502 && system.arrivals(&request.id).await.is_empty();
    (refused && !guilty).then_some(caller)
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_refuse_proper_requests_beside_guilty_ones() {
    let system = System::start(PLAN).await;
    let mut refused = BTreeSet::new();
    let mut seen = 0;
    for round in 0..ROUNDS {
        let guilty = (0..GUILTY).map(|caller| send(&system, caller, round, true));
        let proper = (0..PROPER).map(|caller| send(&system, caller, round, false));
        let (_, proper) = tokio::join!(future::join_all(guilty), future::join_all(proper));
        refused.extend(proper.into_iter().flatten());
        system.recover_servers(None, &mut seen).await;
    }
    assert_eq!(refused, BTreeSet::new(), "of {PROPER}, with {seen} servers ended");
}

/// Number of rounds of proper requests after the new guilty requests.
const LATER_ROUNDS: u8 = 3;
/// Time after which new guilty requests are sent. Suspects are running by then, one per server.
const LATER: Duration = Duration::from_millis(100);

/// Guards against the refusal of a proper request that ran apart from other suspects. A guilty
/// request that was no suspect yet reached the same server through another gateway and ended it.
#[tokio::test(flavor = "multi_thread")]
async fn does_not_refuse_a_suspect_whose_server_a_new_request_ended() {
    let system = System::start(PLAN).await;
    let (mut refused, mut seen) = (BTreeSet::new(), 0);
    let system = &system;
    let proper =
        |round| future::join_all((0..PROPER).map(move |caller| send(system, caller, round, false)));
    let (_, cut) = tokio::join!(send(system, PROPER, 0, true), proper(0));
    refused.extend(cut.into_iter().flatten());
    system.recover_servers(None, &mut seen).await;
    let new = async {
        tokio::time::sleep(LATER).await;
        let requests = (1..=PLAN.gateways).map(|number| send(system, PROPER + number, 1, true));
        future::join_all(requests).await;
    };
    let ((), cut) = tokio::join!(new, proper(1));
    refused.extend(cut.into_iter().flatten());
    system.recover_servers(None, &mut seen).await;
    for round in 2..2 + LATER_ROUNDS {
        refused.extend(proper(round).await.into_iter().flatten());
    }
    assert_eq!(refused, BTreeSet::new(), "of {PROPER}, with {seen} servers ended");
}
