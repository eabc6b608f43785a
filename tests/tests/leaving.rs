//! The work of a request ends when its client has gone, at every stage.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::{Duration, Instant};

use loftcove_tests::client::Client;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 1, sidecars: false, proxied: false };
/// Time within which work ends: half a second for the users, more on a machine
/// that is busy, and less than the deadline of the requests, three seconds.
const ENDS: Duration = Duration::from_secs(2);
/// Slots of each backend server.
const SLOTS: usize = 12;

/// A request that a client has sent and does not wait for.
struct Pending(tokio::task::JoinHandle<()>);

impl Pending {
    /// Sends a request on a connection of its own.
    async fn send(system: &System, request: &Request) -> Pending {
        let mut client: Client = system.client(0).await;
        let request = request.clone();
        Pending(tokio::spawn(async move {
            if let Some(response) = client.send(&request).await {
                loftcove_tests::client::read(response).await;
            }
        }))
    }

    /// Closes the connection; returns when that was.
    async fn leave(self) -> Instant {
        self.0.abort();
        self.0.await.ok();
        Instant::now()
    }
}

/// Requests that plain servers are at work on.
async fn at_work(system: &System) -> u64 {
    system.plain.1.read("/state?group=0").await["active"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_backend_server_works_on_its_answer() {
    let system = System::start(PLAN).await;
    for path in ["/alert/", "/receipt/"] {
        let request = Request::new(path).with("x-standin-delay-ms", "60000");
        let pending = Pending::send(&system, &request).await;
        until("it is at work", || async { at_work(&system).await == 1 }).await;
        let left = pending.leave().await;
        until("it has stopped", || async { at_work(&system).await == 0 }).await;
        assert!(left.elapsed() < ENDS, "{:?}", left.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn while_it_waits_for_a_backend_server() {
    let system = System::start(PLAN).await;
    let slow = Request::new("/alert/").with("x-standin-delay-ms", "900");
    let mut before = Vec::new();
    for _ in 0..SLOTS {
        before.push(Pending::send(&system, &slow).await);
    }
    until("all slots are taken", || async { at_work(&system).await == SLOTS as u64 }).await;
    let request = Request::new("/alert/");
    let pending = Pending::send(&system, &request).await;
    until("it waits", || async { system.metrics(0).await.contains("loftcove_waiting 1\n") }).await;
    pending.leave().await;
    until("nothing waits", || async { system.metrics(0).await.contains("loftcove_waiting 0\n") })
        .await;
    until("all slots are free", || async { at_work(&system).await == 0 }).await;
    assert!(system.arrivals(&request.id).await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn before_its_second_try() {
    let system = System::start(PLAN).await;
    let request =
        Request::new("/alert/").with("x-standin-delay-ms", "500").with("x-standin-lose", "1");
    let pending = Pending::send(&system, &request).await;
    until("it is at work", || async { at_work(&system).await == 1 }).await;
    pending.leave().await;
    until("it has stopped", || async { at_work(&system).await == 0 }).await;
    // The gateway has dropped it: nothing of it can be sent any more.
    until("the gateway has dropped it", || async {
        system.metrics(0).await.contains("loftcove_in_flight 0\n")
    })
    .await;
    assert_eq!(system.arrivals(&request.id).await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn after_another_backend_server_took_its_stream_up() {
    let system = System::start(PLAN).await;
    let request =
        Request::new("/draft/").with("x-standin-events", "100000").with("x-standin-break", "5");
    let pending = Pending::send(&system, &request).await;
    until("it is resumed", || async { system.arrivals(&request.id).await.len() == 2 }).await;
    until("it runs", || async { system.group_state().await["active"] == 1 }).await;
    let left = pending.leave().await;
    until("it has stopped", || async { system.group_state().await["active"] == 0 }).await;
    assert!(left.elapsed() < ENDS, "{:?}", left.elapsed());
}
