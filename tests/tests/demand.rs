//! The platform's balancer sends most new connections of all clients to one gateway.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};

const PLAN: Plan =
    Plan { gateways: 8, ranks: 8, groups: 1, plain: 1, sidecars: false, proxied: false };
/// Time within which all passes are made. They stand still if no stream is served.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks at the group's passes.
const PAUSE: Duration = Duration::from_millis(5);
/// Events of a stream, one in each pass of the group.
const EVENTS: u64 = 100;
/// Streams at a time. They take three quarters of the group's 96 slots, at any speed of the machine.
const STREAMS: u64 = 72;
/// Passes for which requests are spread over all gateways.
const SPREAD_PASSES: u64 = 400;
/// Passes for which all requests go to one gateway.
const MOVED_PASSES: u64 = 600;
/// Passes after which a gateway has to serve the requests that have moved to it.
const CONTACT: u64 = 400;
/// Passes by which an answer may be later than usual.
const OBJECTIVE: u64 = 40;

/// An answered request. Times are in passes of the group, which a slow machine makes longer.
#[derive(Debug)]
struct Answer {
    /// Time of the request, since the first one.
    at: u64,
    status: u16,
    took: u64,
}

async fn pass(system: &System) -> u64 {
    system.group_state().await["pass"].as_u64().unwrap()
}

/// Sends streams for a number of passes, each to the gateway that `choose` returns for its number.
async fn send(system: &Arc<System>, passes: u64, choose: fn(u64) -> u8) -> Vec<Answer> {
    let begun = pass(system).await;
    let next = Arc::<AtomicU64>::default();
    let clients = (0..STREAMS).map(|_| {
        let (system, next) = (system.clone(), next.clone());
        tokio::spawn(async move {
            let mut answers = Vec::new();
            // Streams begin at even times.
            let first = next.fetch_add(1, Ordering::Relaxed);
            let mut number = first;
            loop {
                let at = pass(&system).await.saturating_sub(begun);
                if at >= passes {
                    return answers;
                }
                if number == first && at < EVENTS * first / STREAMS {
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
                let request = Request::new("/draft/").with("x-standin-events", &EVENTS.to_string());
                let request = request.with("x-deadline-ms", "8000");
                let status = system.request(choose(number), &request).await.status;
                let took = pass(&system).await - begun - at;
                answers.push(Answer { at, status, took });
                number = next.fetch_add(1, Ordering::Relaxed);
            }
        })
    });
    let answers = futures_util::future::join_all(clients);
    let answers = tokio::time::timeout(TIMEOUT, answers).await.expect("the group makes passes");
    answers.into_iter().flat_map(Result::unwrap).collect()
}

/// Returns the share of the requests from a time on that were answered within `limit`.
fn share_in_time(answers: &[Answer], from: u64, limit: u64) -> f64 {
    let counted: Vec<&Answer> = answers.iter().filter(|answer| answer.at >= from).collect();
    let in_time = |answer: &&&Answer| answer.status == 200 && answer.took <= limit;
    counted.iter().filter(in_time).count() as f64 / counted.len() as f64
}

/// Guards against a gateway that rejects requests, or answers them late, because those of all
/// gateways have moved to it.
#[tokio::test(flavor = "multi_thread")]
async fn one_gateway_serves_the_requests_of_all_while_the_group_has_room() {
    let system = Arc::new(System::start(PLAN).await);
    let spread = send(&system, SPREAD_PASSES, |number| (number % 8) as u8).await;
    let mut times: Vec<u64> = spread.iter().map(|answer| answer.took).collect();
    times.sort();
    let limit = times[times.len() / 2] + OBJECTIVE;
    let usual = share_in_time(&spread, 0, limit);
    let moved = send(&system, MOVED_PASSES, |_| 0).await;
    let all = share_in_time(&moved, 0, limit);
    let settled = share_in_time(&moved, CONTACT, limit);
    println!("usual={usual:.3} all={all:.3} settled={settled:.3} limit={limit}");
    assert!(share_in_time(&spread, 0, u64::MAX) > 0.99, "{spread:?}");
    assert!(usual >= 0.95, "{usual} {spread:?}");
    assert!(settled >= 0.95, "{all} {settled} {moved:?}");
    assert!(all >= 0.9, "{all} {settled} {moved:?}");
}
