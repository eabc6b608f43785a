//! Requests with a part of a prompt that ends backend servers are refused, and sound requests that
//! share all else with them are served.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeSet;
use std::time::Duration;

use loftcove_decision::poison;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};

const PLAN: Plan =
    Plan { gateways: 3, ranks: 4, groups: 1, plain: 3, sidecars: false, proxied: false };
/// Number of requests with the part that ends servers. No two are alike.
const HARMFUL: usize = 27;
/// Number of sound requests before and after these.
const SOUND: usize = 12;
/// Number of servers that may end before all gateways have to know the part, and maximum number of
/// requests with it that may reach a server later, which the users require.
const ALLOWED: (usize, usize) = (5, 3);

/// Returns a request whose prompt has a first part that all share, a second one, and one of its own.
fn request(ranks: bool, part: &str, number: usize) -> Request {
    let request = Request::new(if ranks { "/draft/" } else { "/alert/" });
    let prefix = format!("aa:800,{part}:40,{number:x}:25");
    request.with("x-prompt-prefix", &prefix).body(&format!("{part} {number}"))
}

/// Sends sound requests through all gateways. Returns how many were served.
async fn serve(system: &System, ranks: bool, first: usize) -> usize {
    let mut served = 0;
    for number in first..first + SOUND {
        let gateway = (number % usize::from(PLAN.gateways)) as u8;
        let request = request(ranks, &format!("c{}", number % 3), number);
        let request = request.with("x-standin-events", "5");
        served += usize::from(system.request(gateway, &request).await.status == 200);
    }
    served
}

/// Sends requests with one part under which servers end through one gateway after another. Returns
/// the number of servers that ended.
async fn end_servers(system: &System, ranks: bool) -> usize {
    let group = ranks.then_some(0);
    system.servers_control(group, "/harmful?part=bad").await;
    let mut seen = 0;
    for (number, gateway) in (0..HARMFUL).zip((0..PLAN.gateways).cycle()) {
        system.request(gateway, &request(ranks, "bad", 1_000 + number)).await;
        system.recover_servers(group, &mut seen).await;
    }
    system.ends(group).await.len()
}

async fn check(ranks: bool) {
    let system = System::start(PLAN).await;
    assert_eq!(serve(&system, ranks, 0).await, SOUND, "served before");
    let ends = end_servers(&system, ranks).await;
    assert!(ends <= ALLOWED.0 + ALLOWED.1, "{ends} servers ended under {HARMFUL} requests");
    assert_eq!(serve(&system, ranks, SOUND).await, SOUND, "served after");
}

/// Guards against one part of a prompt that ends plain server after plain server, as no two requests
/// with it are alike.
#[tokio::test(flavor = "multi_thread")]
async fn limits_the_plain_servers_that_one_part_of_a_prompt_ends() {
    check(false).await;
}

/// Guards against one part of a prompt that ends rank after rank, and with each the streams of its
/// group.
#[tokio::test(flavor = "multi_thread")]
async fn limits_the_ranks_that_one_part_of_a_prompt_ends() {
    check(true).await;
}

/// Guards against a refusal that nothing revokes: as no request with the part is sent any more, no
/// answer shows that its cause is gone.
#[tokio::test(flavor = "multi_thread")]
async fn serves_a_refused_part_again_once_its_cause_is_gone() {
    let system = System::start(PLAN).await;
    assert_eq!(serve(&system, false, 0).await, SOUND, "served before");
    let ends = end_servers(&system, false).await;
    system.servers_control(None, "/harmless?part=bad").await;
    let served = async {
        let mut waiting: BTreeSet<u8> = (0..PLAN.gateways).collect();
        let mut numbers = 2_000..;
        while !waiting.is_empty() {
            for gateway in waiting.clone() {
                let request = request(false, "bad", numbers.next().unwrap());
                if system.request(gateway, &request).await.status == 200 {
                    waiting.remove(&gateway);
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    // The trial is due after this time, or twice as long if four servers ended.
    let due = 2 * poison::TRIAL_DELAY;
    assert!(tokio::time::timeout(due + poison::TRIAL_DELAY, served).await.is_ok(), "{ends} ends");
}
