//! A gateway logs each client connection that ends before its answer is complete.
//!
//! Guards against a request that was passed on and ended without an answer, while no log showed
//! which gateway's connection it was or why the connection ended.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 1, sidecars: false, proxied: false };

/// Waits for the log line about the end of the request's connection.
async fn wait_logged(system: &System, request: &Request, stage: &str, reason: &str) {
    let begin =
        format!("connection ended without a whole answer request={} stage={stage} ", request.id);
    until("the end of the connection is logged", || async {
        let log = system.gateways[0].log();
        log.iter().any(|line| line.contains(&begin) && line.contains(reason))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_a_client_that_disconnects_while_its_request_runs() {
    let system = System::start(PLAN).await;
    let request = Request::new("/alert/").with("x-standin-delay-ms", "2500");
    let mut client = system.client(0).await;
    let answer = tokio::time::timeout(Duration::from_millis(300), client.send(&request)).await;
    assert!(answer.is_err(), "the request has ended too early");
    drop(client);
    wait_logged(&system, &request, "handling", "reason=").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_the_connection_of_an_answer_that_breaks_off() {
    let system = System::start(PLAN).await;
    let request = Request::new("/draft/").with("x-standin-events", "1");
    let request = request.with("x-standin-break", "1");
    system.request(0, &request).await;
    wait_logged(&system, &request, "answering", "the answer broke off").await;
}
