//! Proper requests beside several that end their servers.
//!
//! Seen: with three requests that end whatever runs them, up to nine of twelve
//! proper ones were refused for it from the third round on, for ten minutes.
//! How: those that were cut together come again together, and land beside the
//! guilty ones again. Cause: ends are counted, and nothing is arranged so that the
//! next try tells more.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};

const PLAN: Plan =
    Plan { gateways: 3, ranks: 4, groups: 1, plain: 3, sidecars: false, proxied: false };

/// Callers whose request is proper.
const PROPER: u8 = 12;
/// Callers whose request ends its servers.
const GUILTY: u8 = 5;
/// Times that each caller asks.
const ROUNDS: u8 = 8;

/// A caller asks once; returns whether it was refused though nothing was sent.
async fn ask(system: &System, caller: u8, round: u8, guilty: bool) -> Option<u8> {
    let gateway = (caller + round) % PLAN.gateways;
    let request = Request::new("/alert/").body(&format!("caller {caller} {guilty}"));
    let request = request.with("x-standin-delay-ms", "400");
    let request = if guilty { request.with("x-standin-end-ms", "50") } else { request };
    let answer = system.request(gateway, &request).await;
    let refused = answer.status == 502 && system.arrivals(&request.id).await.is_empty();
    (refused && !guilty).then_some(caller)
}

#[tokio::test(flavor = "multi_thread")]
async fn proper_requests_are_not_refused_for_their_neighbours() {
    let system = System::start(PLAN).await;
    let mut refused = BTreeSet::new();
    let mut seen = 0;
    for round in 0..ROUNDS {
        let guilty = (0..GUILTY).map(|caller| ask(&system, caller, round, true));
        let proper = (0..PROPER).map(|caller| ask(&system, caller, round, false));
        let (_, proper) = tokio::join!(future::join_all(guilty), future::join_all(proper));
        refused.extend(proper.into_iter().flatten());
        system.recover_servers(None, &mut seen).await;
    }
    assert_eq!(refused, BTreeSet::new(), "of {PROPER}, with {seen} servers ended");
}

/// Rounds after a new guilty request has come, in which the proper ones ask again.
const LATER_ROUNDS: u8 = 3;
/// Time after which new guilty requests come: suspects run by then, one at a time each.
const LATER: Duration = Duration::from_millis(100);

/// Seen: a proper request was refused that ran apart from other suspects. How: a request
/// that was no suspect yet came to the same server by another gateway, and ended it.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_request_that_ends_its_server_does_not_convict_the_suspect_there() {
    let system = System::start(PLAN).await;
    let (mut refused, mut seen) = (BTreeSet::new(), 0);
    let system = &system;
    let proper =
        |round| future::join_all((0..PROPER).map(move |caller| ask(system, caller, round, false)));
    let (_, cut) = tokio::join!(ask(system, PROPER, 0, true), proper(0));
    refused.extend(cut.into_iter().flatten());
    system.recover_servers(None, &mut seen).await;
    let new = async {
        tokio::time::sleep(LATER).await;
        let asks = (1..=PLAN.gateways).map(|number| ask(system, PROPER + number, 1, true));
        future::join_all(asks).await;
    };
    let ((), cut) = tokio::join!(new, proper(1));
    refused.extend(cut.into_iter().flatten());
    system.recover_servers(None, &mut seen).await;
    for round in 2..2 + LATER_ROUNDS {
        refused.extend(proper(round).await.into_iter().flatten());
    }
    assert_eq!(refused, BTreeSet::new(), "of {PROPER}, with {seen} servers ended");
}
