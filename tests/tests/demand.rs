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

/// Sends requests at even times for `time`, each to the gateway that `choose` returns for its
/// number. Returns the statuses of the answers by the time of the request.
async fn send(
    system: &Arc<System>,
    time: Duration,
    choose: impl Fn(u32) -> u8,
) -> Vec<(Duration, u16)> {
    let begun = tokio::time::Instant::now();
    let mut sent = Vec::new();
    for number in 0..(time.as_millis() / SPACING.as_millis()) as u32 {
        let at = SPACING * number;
        tokio::time::sleep_until(begun + at).await;
        let (system, gateway) = (system.clone(), choose(number));
        let request = Request::new("/draft/").with("x-standin-events", EVENTS);
        let request = request.with("x-deadline-ms", "8000");
        let answer = async move { system.request(gateway, &request).await.status };
        sent.push((at, tokio::spawn(answer)));
    }
    let mut statuses = Vec::new();
    for (at, answer) in sent {
        statuses.push((at, answer.await.unwrap()));
    }
    statuses
}

fn share_served(statuses: &[(Duration, u16)], from: Duration) -> f64 {
    let counted: Vec<u16> =
        statuses.iter().filter(|(at, _)| *at >= from).map(|(_, status)| *status).collect();
    counted.iter().filter(|status| **status == 200).count() as f64 / counted.len() as f64
}

/// Guards against a gateway that rejects requests for shortage while the group has room, because
/// the requests of all gateways have moved to it.
#[tokio::test(flavor = "multi_thread")]
async fn one_gateway_serves_the_requests_of_all_while_the_group_has_room() {
    let system = Arc::new(System::start(PLAN).await);
    let spread = send(&system, SPREAD_TIME, |number| (number % 8) as u8).await;
    assert!(share_served(&spread, Duration::ZERO) > 0.99, "{spread:?}");
    let moved = send(&system, MOVED_TIME, |_| 0).await;
    let (all, settled) = (share_served(&moved, Duration::ZERO), share_served(&moved, CONTACT));
    println!("all={all:.3} settled={settled:.3}");
    assert!(settled >= 0.95, "{all} {settled} {moved:?}");
    assert!(all >= 0.9, "{all} {settled} {moved:?}");
}
