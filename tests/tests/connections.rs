//! A gateway logs each client's connection that ends while it owes an answer.
//!
//! Seen: a request that had been passed on ended without an answer, and no log told which
//! gateway's connection that was, nor why it ended.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 1, sidecars: false, proxied: false };

/// Waits for the line that tells of the request's connection.
async fn told(system: &System, request: &Request, stage: &str, reason: &str) {
    let begin =
        format!("connection ended without a whole answer request={} stage={stage} ", request.id);
    until("the end of the connection is logged", || async {
        let log = system.gateways[0].log();
        log.iter().any(|line| line.contains(&begin) && line.contains(reason))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_leaves_while_its_request_runs_is_logged() {
    let system = System::start(PLAN).await;
    let request = Request::new("/alert/").with("x-standin-delay-ms", "2500");
    let mut client = system.client(0).await;
    let answer = tokio::time::timeout(Duration::from_millis(300), client.send(&request)).await;
    assert!(answer.is_err(), "it still runs");
    drop(client);
    told(&system, &request, "handling", "reason=").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_is_logged_with_its_connection() {
    let system = System::start(PLAN).await;
    let request = Request::new("/draft/").with("x-standin-events", "1");
    let request = request.with("x-standin-break", "1");
    system.request(0, &request).await;
    told(&system, &request, "answering", "the answer broke off").await;
}
