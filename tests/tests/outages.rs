//! Gateways follow what the entries of backend servers report.
//!
//! A group receives no requests while its ranks' entries report that it is broken, and receives
//! requests again as soon as they report a later epoch.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 3, groups: 1, plain: 1, sidecars: false, proxied: false };

fn draft() -> Request {
    Request::new("/draft/").with("x-standin-events", "3")
}

/// Returns whether a line of the gateway's log contains all parts.
fn logged(system: &System, parts: &[&str]) -> bool {
    system.gateways[0].log().iter().any(|line| parts.iter().all(|part| line.contains(part)))
}

#[tokio::test(flavor = "multi_thread")]
async fn follows_entries_that_report_a_broken_and_a_reformed_group() {
    let system = System::start(PLAN).await;
    system.put_rank_entries().await;
    assert_eq!(system.request(0, &draft()).await.status, 200);

    system.group_control("/break").await;
    system.put_rank_entries().await;
    until("the gateway has received the break", || async {
        logged(&system, &["group down", "ground=told"])
    })
    .await;
    for _ in 0..10 {
        let request = draft();
        let answer = system.request(0, &request).await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(
            system.arrivals(&request.id).await.is_empty(),
            "a request was sent to a broken group"
        );
    }

    system.group_control("/mend").await;
    system.put_rank_entries().await;
    until("the gateway has received the new epoch", || async { logged(&system, &["group up"]) })
        .await;
    assert_eq!(system.request(0, &draft()).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn ignores_invalid_entries_and_uses_the_others() {
    let system = System::start(PLAN).await;
    let foreign = serde_json::json!({ "service": "modelo", "address": "127.0.0.1:9" });
    system.put("servers/foreign", &foreign).await;
    // One rank's entry is invalid, too. The other ranks serve.
    system.put("servers/rank-0", &serde_json::json!(["no", "entry"])).await;
    until("the gateway has received both entries", || async {
        logged(&system, &["record not used", "servers/foreign"])
            && logged(&system, &["record not used", "servers/rank-0"])
    })
    .await;
    for _ in 0..6 {
        let request = draft();
        assert_eq!(system.request(0, &request).await.status, 200);
        let arrivals = system.arrivals(&request.id).await;
        assert!(arrivals.iter().all(|arrival| arrival["server"] != "rank-0"), "{arrivals:?}");
    }
    let metrics = system.metrics(0).await;
    assert!(metrics.contains("unusable_entries 2"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn ignores_the_entry_of_an_earlier_run_of_a_backend_server() {
    let system = System::start(PLAN).await;
    let alert = || Request::new("/alert/");
    assert_eq!(system.request(0, &alert()).await.status, 200);
    let address = system.plain_address(0);
    system.put_entry_of_run("plain-0", loftcove_tests::system::SMS, address, 2_000).await;
    // A stale entry of an earlier run, which reports that the server is leaving.
    let mut stale = serde_json::json!({
        "service": loftcove_tests::system::SMS, "address": address, "zone": "norte",
        "version": "v1", "slots": 12, "state": "draining", "cold_left_ms": 0, "seq": 9,
    });
    stale["born"] = serde_json::json!(1_000);
    system.put("servers/plain-0", &stale).await;
    until("the gateway has received the stale entry", || async {
        logged(&system, &["record not used", "start 1000 is before 2000"])
    })
    .await;
    let request = alert();
    assert_eq!(system.request(0, &request).await.status, 200);
    assert_eq!(system.arrivals(&request.id).await.len(), 1);
}
