//! Demonstration of the main functions on loopback.
//!
//! Two availability zones have two entry hosts, a rank group and a plain service each. The demo
//! proposes, approves and rolls forward a bundle; sends a streamed chat and a call that must not
//! be repeated; and then stops all processes cleanly. The last line is `demo: ok`.

use loftcove_tests::{cluster, until};

#[tokio::main]
async fn main() {
    println!("demo: starting platform, engines, service, agents and entry hosts");
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    println!("demo: {} loftcoved processes serve", cluster.members.len());
    print!("{}", cluster.tool("ana", &["bundle", "history"]).await.stdout);
    let entry = cluster.entries().remove(0);
    let caller = cluster.caller(&entry);
    let chat = caller.chat(cluster::MODEL, true, 12).await;
    println!(
        "demo: chat status={} tokens={} outcome={}",
        chat.status,
        chat.tokens(),
        chat.outcome()
    );
    assert_eq!((chat.tokens(), chat.outcome().as_str()), (12, "answered"));
    print!("{}", cluster.tool("ana", &["explain", &chat.request_id()]).await.stdout);
    let key = uuid::Uuid::now_v7().to_string();
    let first = caller.deliver(cluster::SERVICE, &key, &[]).await;
    println!("demo: delivery status={} outcome={}", first.status, first.outcome());
    assert_eq!(first.outcome(), "answered");
    print!("{}", cluster.tool("ana", &["explain", &first.request_id()]).await.stdout);
    let again = caller.deliver(cluster::SERVICE, &key, &[]).await;
    let runs = cluster.runs(&key).await;
    println!("demo: the same key again: {} runs={runs}", again.kind());
    assert_eq!((again.status, runs), (409, 1));
    until("a group switches to a map of a later epoch", || async {
        let status = cluster.status().await;
        status.values().any(|one| one["groups"][0]["epoch"].as_u64() > Some(1))
    })
    .await;
    print!("{}", cluster.tool("ana", &["status"]).await.stdout);
    for member in cluster.members.values() {
        member.process.signal(libc::SIGTERM);
    }
    for member in cluster.members.values_mut() {
        assert!(member.process.wait().await, "{} did not stop cleanly", member.host);
    }
    println!("demo: ok");
}
