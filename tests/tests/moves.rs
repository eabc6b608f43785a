//! Streams on a slow rank are moved to other ranks of the group within the same response.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_tests::client::read;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 4, groups: 1, plain: 1, sidecars: true, proxied: false };
/// Events of a stream. At some 10 ms each, there is time for the slowness to become known.
const EVENTS: usize = 250;

/// Starts a system whose group has a driver.
async fn start() -> System {
    let system = System::start(PLAN).await;
    system.earn_retries(0).await;
    let elected = |line: &String| line.contains("driver elected");
    until("the group has a driver", || async {
        system.sidecars.iter().any(|sidecar| sidecar.log().iter().any(elected))
    })
    .await;
    system
}

/// Guards against events that are lost, repeated or out of order across a move, against work that
/// goes on at the slow rank, and against a second move.
#[tokio::test(flavor = "multi_thread")]
async fn a_moved_stream_is_complete_and_without_repeated_events() {
    let request = Request::new("/draft/").with("x-standin-events", &EVENTS.to_string());
    check_moved(request, 0).await;
}

/// Guards against a moved stream that the length of its first attempt cuts at the client.
#[tokio::test(flavor = "multi_thread")]
async fn a_moved_stream_does_not_keep_the_length_of_its_first_attempt() {
    let request = Request::new("/draft/").with("x-standin-events", &EVENTS.to_string());
    let request = request.with("x-standin-framing", "length");
    check_moved(request.with("x-standin-padding", "0,20"), 20).await;
}

/// Sends a request for a stream that is moved, and checks what its client and the servers get.
/// `padding` is that of the events after the move.
async fn check_moved(request: Request, padding: usize) {
    let system = start().await;
    let mut client = system.client(0).await;
    let response = client.send(&request).await.unwrap();
    let body = tokio::spawn(read(response));
    let arrivals = system.arrivals(&request.id).await;
    let first = arrivals[0]["server"].as_str().unwrap().to_owned();
    let rank = first.strip_prefix("rank-").unwrap();
    system.group_control(&format!("/pace?rank={rank}&slowness=4.5")).await;
    until("the stream is moved", || async { system.arrivals(&request.id).await.len() > 1 }).await;
    until("the slow rank stops", || async { system.group_state().await["active"] == 1 }).await;

    let (text, complete) = body.await.unwrap();
    assert!(complete);
    let arrivals = system.arrivals(&request.id).await;
    assert_eq!(arrivals.len(), 2);
    assert_ne!(arrivals[1]["server"], *first);
    let last: usize = arrivals[1]["headers"]["last-event-id"].as_str().unwrap().parse().unwrap();
    let pieces = (1..=EVENTS).map(|n| {
        let padding = "x".repeat(if n > last { padding } else { 0 });
        format!("id: {n}\ndata: piece {n}{padding}\n\n")
    });
    assert_eq!(text, pieces.collect::<String>());
    let moved = |line: &String| {
        line.contains("stream moved") && line.contains(&format!("request={}", request.id))
    };
    until("the move is in the log", || async { system.gateways[0].log().iter().any(moved) }).await;
    let metrics = system.metrics(0).await;
    assert!(metrics.contains("loftcove_streams_moved_total 1"), "{metrics}");
}

/// Guards against a request that waits for its response's head at a slow rank.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_response_is_moved() {
    let system = start().await;
    let request = Request::new("/draft/").with("x-standin-events", "3");
    // The delay is longer than the deadline, so that only a move can end the wait. The next rank
    // delays its response too.
    let request = request.with("x-standin-delay-ms", "60000");
    let id = request.id.clone();
    let mut client = system.client(0).await;
    let waits =
        tokio::spawn(async move { client.send(&request).await.map(|answer| answer.status()) });
    // Requests that earned retries have reached servers before.
    let arrivals = || system.arrivals(&id);
    until("a rank runs the request", || async { arrivals().await.len() == 1 }).await;
    let first = arrivals().await[0]["server"].as_str().unwrap().to_owned();
    let rank = first.strip_prefix("rank-").unwrap();
    system.group_control(&format!("/pace?rank={rank}&slowness=4.5")).await;
    until("the request is moved", || async { arrivals().await.len() > 1 }).await;
    assert_ne!(arrivals().await[1]["server"], *first);
    until("the slow rank stops", || async { system.group_state().await["active"] == 1 }).await;
    waits.abort();
}
