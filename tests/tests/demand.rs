//! The platform's balancer sends most new connections of all clients to one gateway.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::time::Duration;

use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};

const PLAN: Plan =
    Plan { gateways: 8, ranks: 8, groups: 1, plain: 1, sidecars: false, proxied: false };
/// Events of a stream, which takes about a second.
const EVENTS: &str = "100";
/// Time between two requests of all clients. Three quarters of the group's 96 slots are in use.
const SPACING: Duration = Duration::from_millis(14);
/// Time for which requests are spread over all gateways.
const SPREAD_TIME: Duration = Duration::from_secs(4);
/// Time for which all requests go to one gateway.
const MOVED_TIME: Duration = Duration::from_secs(6);
/// Time after which a gateway has to serve the requests that have moved to it.
const CONTACT: Duration = Duration::from_secs(4);
/// Time by which an answer may be later than usual.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// An answered request.
#[derive(Debug)]
struct Answer {
    /// Time of the request, since the first one.
    at: Duration,
    status: u16,
    took: Duration,
}

/// Sends requests at even times for `time`, each to the gateway that `choose` returns for its
/// number. Returns the answers in the order of the requests.
async fn send(system: &Arc<System>, time: Duration, choose: impl Fn(u32) -> u8) -> Vec<Answer> {
    let begun = tokio::time::Instant::now();
    let mut sent = Vec::new();
    for number in 0..(time.as_millis() / SPACING.as_millis()) as u32 {
        let at = SPACING * number;
        tokio::time::sleep_until(begun + at).await;
        let (system, gateway) = (system.clone(), choose(number));
        let request = Request::new("/draft/").with("x-standin-events", EVENTS);
        let request = request.with("x-deadline-ms", "8000");
        sent.push(tokio::spawn(async move {
            let begun = tokio::time::Instant::now();
            let status = system.request(gateway, &request).await.status;
            Answer { at, status, took: begun.elapsed() }
        }));
    }
    let mut answers = Vec::new();
    for answer in sent {
        answers.push(answer.await.unwrap());
    }
    answers
}

/// Returns the share of the requests from a time on that were answered within `limit`.
fn share_in_time(answers: &[Answer], from: Duration, limit: Duration) -> f64 {
    let counted: Vec<&Answer> = answers.iter().filter(|answer| answer.at >= from).collect();
    let in_time = |answer: &&&Answer| answer.status == 200 && answer.took <= limit;
    counted.iter().filter(in_time).count() as f64 / counted.len() as f64
}

/// Guards against a gateway that rejects requests, or answers them late, because those of all
/// gateways have moved to it. The stand-in's ranks always report one stream, so this test does not
/// cover the bound on the group's streams; the tests of `loftcove-decision` do.
#[tokio::test(flavor = "multi_thread")]
async fn one_gateway_serves_the_requests_of_all_while_the_group_has_room() {
    let system = Arc::new(System::start(PLAN).await);
    let spread = send(&system, SPREAD_TIME, |number| (number % 8) as u8).await;
    let mut times: Vec<Duration> = spread.iter().map(|answer| answer.took).collect();
    times.sort();
    let limit = times[times.len() / 2] + OBJECTIVE;
    let usual = share_in_time(&spread, Duration::ZERO, limit);
    let moved = send(&system, MOVED_TIME, |_| 0).await;
    let all = share_in_time(&moved, Duration::ZERO, limit);
    let settled = share_in_time(&moved, CONTACT, limit);
    println!("usual={usual:.3} all={all:.3} settled={settled:.3} limit={limit:?}");
    assert!(share_in_time(&spread, Duration::ZERO, Duration::MAX) > 0.99, "{spread:?}");
    assert!(usual >= 0.95, "{usual} {spread:?}");
    assert!(settled >= 0.95, "{all} {settled} {moved:?}");
    assert!(all >= 0.9, "{all} {settled} {moved:?}");
}
