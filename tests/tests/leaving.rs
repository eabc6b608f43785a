//! A request is cancelled at every stage when its client disconnects.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::{Duration, Instant};

use loftcove_tests::client::Client;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 1, sidecars: false, proxied: false };
/// Maximum time until the work ends. Users expect half a second. The limit is longer for a busy
/// machine, and shorter than the deadline of the requests, three seconds.
const CANCEL_BOUND: Duration = Duration::from_secs(2);
/// Number of slots of each backend server.
const SLOTS: usize = 12;

/// A request that a client has sent in a task of its own.
struct Pending(tokio::task::JoinHandle<()>);

impl Pending {
    /// Sends a request on a new connection.
    async fn send(system: &System, request: &Request) -> Pending {
        let mut client: Client = system.client(0).await;
        let request = request.clone();
        Pending(tokio::spawn(async move {
            if let Some(response) = client.send(&request).await {
                loftcove_tests::client::read(response).await;
            }
        }))
    }

    /// Closes the connection and returns the time of that.
    async fn disconnect(self) -> Instant {
        self.0.abort();
        self.0.await.ok();
        Instant::now()
    }
}

/// Returns the number of requests that plain servers are running.
async fn running(system: &System) -> u64 {
    system.plain.1.read("/state?group=0").await["active"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_a_request_that_a_backend_server_is_running() {
    let system = System::start(PLAN).await;
    for path in ["/alert/", "/receipt/"] {
        let request = Request::new(path).with("x-standin-delay-ms", "60000");
        let pending = Pending::send(&system, &request).await;
        until("the request runs", || async { running(&system).await == 1 }).await;
        let disconnected = pending.disconnect().await;
        until("the request has stopped", || async { running(&system).await == 0 }).await;
        assert!(disconnected.elapsed() < CANCEL_BOUND, "{:?}", disconnected.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_a_request_that_waits_for_a_backend_server() {
    let system = System::start(PLAN).await;
    let slow = Request::new("/alert/").with("x-standin-delay-ms", "900");
    let mut before = Vec::new();
    for _ in 0..SLOTS {
        before.push(Pending::send(&system, &slow).await);
    }
    until("all slots are taken", || async { running(&system).await == SLOTS as u64 }).await;
    let request = Request::new("/alert/");
    let pending = Pending::send(&system, &request).await;
    until("the request waits", || async {
        system.metrics(0).await.contains("loftcove_waiting 1\n")
    })
    .await;
    pending.disconnect().await;
    until("nothing waits", || async { system.metrics(0).await.contains("loftcove_waiting 0\n") })
        .await;
    until("all slots are free", || async { running(&system).await == 0 }).await;
    assert!(system.arrivals(&request.id).await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_a_request_before_its_second_attempt() {
    let system = System::start(PLAN).await;
    let request =
        Request::new("/alert/").with("x-standin-delay-ms", "500").with("x-standin-lose", "1");
    let pending = Pending::send(&system, &request).await;
    until("the request runs", || async { running(&system).await == 1 }).await;
    pending.disconnect().await;
    until("the request has stopped", || async { running(&system).await == 0 }).await;
    // Once the gateway has dropped the request, it cannot send another attempt.
    until("the gateway has dropped the request", || async {
        system.metrics(0).await.contains("loftcove_in_flight 0\n")
    })
    .await;
    assert_eq!(system.arrivals(&request.id).await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_a_stream_that_another_backend_server_resumed() {
    let system = System::start(PLAN).await;
    system.earn_retries(0).await;
    let request =
        Request::new("/draft/").with("x-standin-events", "100000").with("x-standin-break", "5");
    let pending = Pending::send(&system, &request).await;
    until("the stream is resumed", || async { system.arrivals(&request.id).await.len() == 2 })
        .await;
    until("the stream runs", || async { system.group_state().await["active"] == 1 }).await;
    let disconnected = pending.disconnect().await;
    until("the request has stopped", || async { system.group_state().await["active"] == 0 }).await;
    assert!(disconnected.elapsed() < CANCEL_BOUND, "{:?}", disconnected.elapsed());
}
