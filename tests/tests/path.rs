//! Requests pass from entry hosts through agents to backend servers, all of them real processes.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_tests::{cluster, until};

#[tokio::test(flavor = "multi_thread")]
async fn answers_requests_through_the_whole_path() {
    let cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    for host in cluster.entries() {
        let caller = cluster.caller(&host);
        let streamed = caller.chat(cluster::MODEL, true, 20).await;
        assert_eq!((streamed.status, streamed.tokens()), (200, 20), "{streamed:?}");
        assert_eq!(streamed.outcome(), "answered");
        let whole = caller.chat("lembretes", false, 5).await;
        assert_eq!((whole.status, whole.outcome().as_str()), (200, "answered"), "{whole:?}");
        let key = uuid::Uuid::now_v7().to_string();
        let delivered = caller.deliver(cluster::SERVICE, &key, &[]).await;
        assert_eq!(delivered.outcome(), "answered", "{delivered:?}");
        assert_eq!(cluster.runs(&key).await, 1);
        let newer = caller.over_http2().chat(cluster::MODEL, true, 7).await;
        assert_eq!((newer.tokens(), newer.outcome().as_str()), (7, "answered"), "{newer:?}");
        for path in ["/healthz", "/readyz", "/v1/models", "/metrics"] {
            assert_eq!(caller.request("GET", path, &[], "").await.status, 200, "{path}");
        }
        let explained = cluster.tool("ana", &["explain", &streamed.request_id()]).await;
        assert!(explained.stdout.contains("candidates="), "{explained:?}");
    }
    until("every group has a map", || async {
        let status = cluster.status().await;
        let groups = status.values().filter_map(|one| one["groups"][0]["epoch"].as_u64());
        groups.filter(|epoch| *epoch > 0).count() >= 4
    })
    .await;
}
