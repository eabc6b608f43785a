//! Processes reject peers that lack the deployment's key.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_tests::cluster;

#[tokio::test(flavor = "multi_thread")]
async fn rejects_peers_without_the_deployment_key() {
    let plan = cluster::Plan {
        zones: vec!["sala-braga"],
        entries: 1,
        ranks: 0,
        ..cluster::Plan::default()
    };
    let cluster = cluster::Cluster::start(plan).await;
    let known = cluster.tool("ana", &["status"]).await.stdout;
    assert!(known.contains("phase=serving") && !known.contains("unreached"), "{known}");
    let own = std::fs::read_to_string(cluster.folder.path("ana.toml")).unwrap();
    for wrong in ["", "key-of-the-deployment-of-none", "another-deployment-and-its-key"] {
        let text =
            own.replace(&format!("key = \"{}\"", cluster.key), &format!("key = \"{wrong}\""));
        cluster.folder.write("stranger.toml", &text);
        let refused = cluster.tool("stranger", &["status"]).await.stdout;
        assert!(!refused.contains("phase=serving"), "{refused}");
    }
    let host = cluster.entries().remove(0);
    let caller = cluster.caller(&host);
    caller.chat(cluster::MODEL, false, 1).await;
    let logs: Vec<String> = cluster.members.values().flat_map(|m| m.process.log()).collect();
    assert!(!logs.is_empty());
    for secret in [cluster::TOKEN, &cluster.key] {
        assert!(!logs.iter().any(|line| line.contains(secret)), "a secret was logged");
    }
}
