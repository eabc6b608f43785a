//! An accepted bundle comes into force everywhere and never reverts.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Instant;

use base64::Engine as _;
use loftcove_tests::{caller, cluster, until};

/// Proposes, approves and rolls forward a bundle, which a comment makes different from others.
async fn roll_forward(cluster: &cluster::Cluster, mark: &str, extra: &str) -> bool {
    let text = format!("# {mark}\n{}", cluster.bundle(extra));
    let digest = cluster.propose("ana", "next.toml", &text).await;
    cluster.tool("bruno", &["bundle", "approve", &digest]).await;
    cluster.tool("ana", &["bundle", "roll-forward", &digest]).await.success
}

async fn generations(cluster: &cluster::Cluster) -> Vec<u64> {
    let status = cluster.status().await;
    status.values().filter_map(|one| one["generation"].as_u64()).collect()
}

async fn wait_in_force(cluster: &cluster::Cluster, generation: u64) {
    until(&format!("generation {generation} is in force everywhere"), || async {
        let all = generations(cluster).await;
        assert!(all.iter().all(|one| *one <= generation), "{all:?}");
        all.len() == cluster.members.len() && all.iter().all(|one| *one == generation)
    })
    .await;
}

/// Returns the revision and the value of the platform's key of the bundle in force.
async fn read_force_key(cluster: &cluster::Cluster) -> (u64, Vec<u8>) {
    let control = caller::Caller::new(cluster.platform_address, "");
    let page = control.read("/v1/kv-range?path_prefix=loftcove/vale/force").await;
    let item = &page["items"][0];
    let value = item["value"].as_str().unwrap_or_default();
    let value = base64::engine::general_purpose::STANDARD.decode(value).unwrap();
    (item["revision"].as_u64().unwrap(), value)
}

#[tokio::test(flavor = "multi_thread")]
async fn applies_a_bundle_everywhere_and_never_reverts_it() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let (_, first) = read_force_key(&cluster).await;
    let began = Instant::now();
    assert!(roll_forward(&cluster, "two", "").await);
    wait_in_force(&cluster, 2).await;
    println!("in force at {} processes after {:?}", cluster.members.len(), began.elapsed());
    // The answer to the write is lost after the write took effect. The tool finds its mark.
    let text = format!("# three\n{}", cluster.bundle(""));
    let digest = cluster.propose("ana", "next.toml", &text).await;
    cluster.tool("bruno", &["bundle", "approve", &digest]).await;
    cluster.platform_fault("lose-write").await;
    // The archive of the present bundle is written first, and its answer is lost, too.
    assert!(cluster.tool("ana", &["bundle", "roll-forward", &digest]).await.success);
    wait_in_force(&cluster, 3).await;
    // The platform returns an old value. No process reverts to it, not even a restarted one.
    let (index, third) = read_force_key(&cluster).await;
    let control = caller::Caller::new(cluster.platform_address, "");
    let put = |index: u64, value: Vec<u8>| {
        let control = control.clone();
        async move {
            let key = "loftcove/vale/force";
            let value = base64::engine::general_purpose::STANDARD.encode(value);
            let write = serde_json::json!({
                "expected_rev": [{ "private_key": key, "revision": index }],
                "puts": [{ "private_key": key, "value": value, "lease": 0 }],
                "remove": [],
            });
            let answer = control.request("POST", "/v1/kv-txn", &[], &write.to_string()).await;
            assert_eq!(answer.status, 200);
        }
    };
    put(index, first).await;
    let entry = cluster.entries().remove(0);
    cluster.members.get_mut(&entry).unwrap().process.kill().await;
    cluster.restart(&entry).await;
    wait_in_force(&cluster, 3).await;
    // All processes refuse a value without a valid signature.
    let forged =
        String::from_utf8(third.clone()).unwrap().replace("\"generation\":3", "\"generation\":9");
    put(read_force_key(&cluster).await.0, forged.into_bytes()).await;
    let other = cluster.entries().remove(1);
    cluster.members.get_mut(&other).unwrap().process.kill().await;
    cluster.restart(&other).await;
    wait_in_force(&cluster, 3).await;
    put(read_force_key(&cluster).await.0, third).await;
    // A withdrawal is a new generation with the previous text.
    assert!(cluster.tool("carla", &["bundle", "withdraw"]).await.success);
    wait_in_force(&cluster, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn applies_bundles_of_concurrent_operators_in_order() {
    let cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let mut digests = Vec::new();
    for (index, operator) in ["ana", "bruno", "carla"].into_iter().enumerate() {
        let text = format!("# of {operator}\n{}", cluster.bundle(""));
        let digest = cluster.propose(operator, &format!("{operator}-bundle.toml"), &text).await;
        let own = cluster.tool(operator, &["bundle", "approve", &digest]).await;
        assert!(!own.success && own.stderr.contains("may not approve"), "{own:?}");
        let early = cluster.tool(operator, &["bundle", "roll-forward", &digest]).await;
        assert!(early.stderr.contains("is not approved"), "{early:?}");
        let other = ["bruno", "carla", "ana"][index];
        assert!(cluster.tool(other, &["bundle", "approve", &digest]).await.success);
        digests.push((operator, digest));
    }
    let rolls = digests.iter().map(|(operator, digest)| {
        let cluster = &cluster;
        async move { cluster.tool(operator, &["bundle", "roll-forward", digest]).await }
    });
    let ended = futures_util::future::join_all(rolls).await;
    let won = ended.iter().filter(|one| one.success).count();
    assert!(won >= 1, "{ended:?}");
    for lost in ended.iter().filter(|one| !one.success) {
        assert!(lost.stderr.contains("conflict: `"), "{lost:?}");
    }
    wait_in_force(&cluster, 1 + won as u64).await;
    let history = cluster.tool("ana", &["bundle", "history"]).await.stdout;
    assert_eq!(history.lines().count(), 1 + won, "{history}");
}

#[tokio::test(flavor = "multi_thread")]
async fn starts_in_an_isolated_zone_with_the_bundle_of_its_peers() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    assert!(roll_forward(&cluster, "two", "").await);
    wait_in_force(&cluster, 2).await;
    cluster.isolate("sala-porto", "cut").await;
    cluster.link("sala-porto", "platform", "cut").await;
    assert!(roll_forward(&cluster, "three", "").await);
    for host in ["entry-sala-porto-0", "entry-sala-porto-1"] {
        cluster.members.get_mut(host).unwrap().process.kill().await;
        cluster.restart(host).await;
        let caller = cluster.caller(host);
        until("the zone serves its own callers", || async {
            caller.chat(cluster::MODEL, true, 3).await.outcome() == "answered"
        })
        .await;
    }
    let status = cluster.status().await;
    assert_eq!(status["entry-sala-porto-0"]["generation"], 2);
    cluster.isolate("sala-porto", "none").await;
    // The platform stays unreachable. Peers of the other zone pass the bundle on.
    wait_in_force(&cluster, 3).await;
}

/// Maximum time until a bundle is in force everywhere, which the users require.
const IN_FORCE_BOUND: std::time::Duration = std::time::Duration::from_secs(16);

#[tokio::test(flavor = "multi_thread")]
async fn applies_a_bundle_while_open_connections_to_the_platform_are_silent() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    assert!(roll_forward(&cluster, "two", "").await);
    wait_in_force(&cluster, 2).await;
    // The processes open their next watch calls in this time.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    cluster.link("*", "platform", "silence").await;
    let began = Instant::now();
    assert!(roll_forward(&cluster, "three", "").await);
    wait_in_force(&cluster, 3).await;
    assert!(began.elapsed() < IN_FORCE_BOUND, "{:?}", began.elapsed());
}
