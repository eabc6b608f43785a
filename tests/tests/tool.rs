//! The operators' tool, while the platform is out.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_tests::cluster;

/// Time for one silent seed, one call to a process and the start of the tool.
const MAX_TIME: Duration = Duration::from_secs(10);

/// Guards against a command that hangs on a seed that accepts connections and sends nothing.
#[tokio::test(flavor = "multi_thread")]
async fn status_passes_over_a_silent_seed() {
    let plan = cluster::Plan {
        zones: vec!["sala-braga"],
        entries: 1,
        ranks: 0,
        ..cluster::Plan::default()
    };
    let cluster = cluster::Cluster::start(plan).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = &cluster.members[&cluster.entries()[0]];
    let own = std::fs::read_to_string(cluster.folder.path("ana.toml")).unwrap();
    let seeds =
        format!("seeds = [\"{}\", \"{}\"]\n", silent.local_addr().unwrap(), entry.peer_address);
    cluster.folder.write("offline.toml", &(seeds + &own));
    cluster.platform_fault("down").await;
    let status = tokio::time::timeout(MAX_TIME, cluster.tool("offline", &["status"])).await;
    let status = status.expect("the tool hangs").stdout;
    assert!(status.contains("phase=serving"), "{status}");
}
