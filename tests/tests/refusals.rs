//! Bad input gets one clear, typed answer at once and costs nobody anything.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use http_body_util::BodyExt as _;
use loftcove_tests::{caller, cluster, until};

const CHAT: &str = "/v1/chat/completions";

async fn small() -> cluster::Cluster {
    let plan = cluster::Plan {
        zones: vec!["sala-braga"],
        entries: 1,
        ranks: 1,
        ..cluster::Plan::default()
    };
    cluster::Cluster::start(plan).await
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_with_its_type() {
    let cluster = small().await;
    let host = cluster.entries().remove(0);
    let caller = cluster.caller(&host);
    let stranger =
        caller::Caller::new(cluster.members[&host].http_address.unwrap(), "no-such-token");
    let prompt = caller::prompt(cluster::MODEL, false, 1);
    let big = "x".repeat(2_000_000);
    let long = "x".repeat(20_000);
    let key = uuid::Uuid::now_v7().to_string();
    let old = uuid::Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_000, 0)).to_string();
    let ask = |headers: Vec<(&'static str, String)>, path: &'static str, body: String| {
        let caller = caller.clone();
        async move {
            let headers: Vec<(&str, &str)> =
                headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
            let answer = caller.request("POST", path, &headers, &body).await;
            (answer.status, answer.kind(), answer.outcome())
        }
    };
    let told = |status: u16, kind: &str| (status, kind.to_owned(), "not-run".to_owned());
    assert_eq!(ask(vec![], CHAT, big).await, told(413, "body-too-large"));
    assert_eq!(ask(vec![], CHAT, "{".into()).await, told(400, "malformed-body"));
    let unknown = caller::prompt("no-such-model", false, 1);
    assert_eq!(ask(vec![], CHAT, unknown).await, told(404, "unknown-model"));
    assert_eq!(ask(vec![], "/services/none/x", "".into()).await, told(404, "unknown-service"));
    assert_eq!(ask(vec![], "/elsewhere", "".into()).await, told(404, "unknown-path"));
    let header = |name: &'static str, value: &str| vec![(name, value.to_owned())];
    assert_eq!(
        ask(header("x-long", &long), CHAT, prompt.clone()).await,
        told(431, "headers-too-large")
    );
    let class = header("loftcove-class", "no-such-class");
    assert_eq!(ask(class, CHAT, prompt.clone()).await, told(400, "unknown-class"));
    let late = header("loftcove-deadline-ms", "0");
    assert_eq!(ask(late, CHAT, prompt.clone()).await, told(504, "deadline"));
    let path = "/services/gateway-sms/send";
    assert_eq!(
        ask(header("idempotency-key", "17"), path, "".into()).await,
        told(400, "malformed-key")
    );
    let (status, kind, outcome) = ask(header("idempotency-key", &old), path, "".into()).await;
    assert_eq!((status, kind.as_str(), outcome.as_str()), (409, "key-unknown", "unknown"));
    assert_eq!(ask(header("idempotency-key", &key), path, "a".into()).await.2, "answered");
    assert_eq!(
        ask(header("idempotency-key", &key), path, "b".into()).await,
        told(422, "key-reused")
    );
    let crossed = uuid::Uuid::now_v7().to_string();
    let answer = caller.deliver(cluster::SERVICE, &crossed, &[("x-standin-cross", "1")]).await;
    assert_eq!((answer.status, answer.outcome().as_str()), (502, "unknown"), "{answer:?}");
    assert!(!answer.body.contains("delivered"), "another request's answer: {answer:?}");
    let answer = stranger.chat(cluster::MODEL, false, 1).await;
    assert_eq!((answer.status, answer.kind()), (401, "unknown-team".to_owned()));
    assert!(caller.chat(cluster::MODEL, true, 3).await.complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_is_never_whole_and_a_caller_that_leaves_frees_its_slot() {
    let cluster = small().await;
    let host = cluster.entries().remove(0);
    let caller = cluster.caller(&host);
    let engine = cluster.server_caller("rank-sala-braga-0-host");
    let prompt = caller::prompt(cluster::MODEL, true, 50);
    let broken = caller.request("POST", CHAT, &[("x-standin-break-after", "5")], &prompt).await;
    assert!(!broken.complete, "{broken:?}");
    assert!(broken.body.contains("event: error") && !broken.body.contains("[DONE]"), "{broken:?}");
    let endless = caller::prompt(cluster::MODEL, true, 1_000_000);
    let mut response = caller.open("POST", CHAT, &[], &endless).await.unwrap();
    assert!(response.body_mut().frame().await.is_some());
    let running = || async { engine.read("/load").await["running"].as_u64() };
    until("the engine runs the request", || async { running().await == Some(1) }).await;
    drop(response);
    until("the engine is told that the caller left", || async { running().await == Some(0) }).await;
    until("the entry host's count falls", || async {
        cluster.status().await[&host]["in_flight"] == 0
    })
    .await;
    // A deadline that passes in mid-stream ends the answer as broken, too.
    let short = caller.request("POST", CHAT, &[("loftcove-deadline-ms", "300")], &endless).await;
    assert!(!short.complete && short.body.contains("answer-lost"), "{short:?}");
    until("the late request is cancelled", || async { running().await == Some(0) }).await;
}

/// A backend server ends under a request that may be repeated: no second attempt
/// of ours ends another one, and a request that ended two is refused.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_request_ends_no_third_server() {
    let plan = cluster::Plan {
        zones: vec!["sala-braga"],
        entries: 1,
        ranks: 0,
        services: 3,
        ..cluster::Plan::default()
    };
    let mut cluster = cluster::Cluster::start(plan).await;
    let caller = cluster.caller(&cluster.entries().remove(0));
    let key = uuid::Uuid::now_v7().to_string();
    // The class makes it one that may be repeated; the key only names its runs.
    let headers =
        [("loftcove-class", "draft"), ("idempotency-key", &*key), ("x-standin-end-ms", "50")];
    let path = format!("/services/{}/send", cluster::SERVICE);
    for ended in 1..=2 {
        let answer = caller.request("POST", &path, &headers, "ends its server").await;
        assert_eq!((answer.status, answer.outcome().as_str()), (502, "unknown"), "{answer:?}");
        assert_eq!(gone(&mut cluster).await, ended);
    }
    let answer = caller.request("POST", &path, &headers, "ends its server").await;
    assert_eq!((answer.status, answer.kind()), (502, "ends-servers".to_owned()));
    assert_eq!(gone(&mut cluster).await, 2);
    let other = [("loftcove-class", "draft"), ("idempotency-key", &*key)];
    assert_eq!(caller.request("POST", &path, &other, "another").await.status, 200);
}

/// A backend server behind its agent says something of itself in an answer with that
/// status, and the other one gets all.
async fn others_serve_after(said: (&str, &str), status: u16) {
    let plan = cluster::Plan {
        zones: vec!["sala-braga"],
        entries: 1,
        ranks: 0,
        services: 2,
        ..cluster::Plan::default()
    };
    let cluster = cluster::Cluster::start(plan).await;
    let caller = cluster.caller(&cluster.entries().remove(0));
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [said, ("idempotency-key", &*key)];
    let path = format!("/services/{}/send", cluster::SERVICE);
    let answer = caller.request("POST", &path, &headers, "").await;
    assert_eq!(answer.status, status, "{answer:?}");
    let before = runs(&cluster).await;
    for _ in 0..20 {
        let key = uuid::Uuid::now_v7().to_string();
        assert_eq!(caller.deliver(cluster::SERVICE, &key, &[]).await.status, 200);
    }
    let after = runs(&cluster).await;
    let mut served: Vec<usize> =
        after.iter().zip(before).map(|(after, before)| after - before).collect();
    served.sort_unstable();
    assert_eq!(served, [0, 20]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_asks_for_rest_gets_it() {
    others_serve_after(("x-standin-shed", "600"), 503).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_names_a_limit_gets_no_more() {
    others_serve_after(("x-standin-limit", "0.1"), 200).await;
}

/// Calls that each backend server of the service has done.
async fn runs(cluster: &cluster::Cluster) -> Vec<usize> {
    let mut runs = Vec::new();
    for agent in cluster.agents(cluster::SERVICE) {
        let counts = cluster.server_caller(&agent).read("/standin/runs").await;
        runs.push(counts.as_object().unwrap().len());
    }
    runs
}

/// Backend servers that have ended.
async fn gone(cluster: &mut cluster::Cluster) -> usize {
    cluster.servers.values_mut().filter_map(|server| server.has_exited().then_some(())).count()
}
