//! In every step all ranks of a group use one and the same expert map.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use loftcove_tests::{cluster, until};

/// Epoch that each rank ran each step on.
async fn steps(cluster: &cluster::Cluster, group: &str) -> Vec<BTreeMap<u64, u64>> {
    let mut all = Vec::new();
    for agent in cluster.agents(group) {
        let steps = cluster.server_caller(&agent).read("/standin/steps").await;
        let steps: Vec<(u64, u64)> = serde_json::from_value(steps).unwrap_or_default();
        all.push(steps.into_iter().collect());
    }
    all
}

/// Compares the ranks step by step; returns how many steps and epochs there were.
async fn judge(cluster: &cluster::Cluster, group: &str) -> (usize, usize) {
    let ranks = steps(cluster, group).await;
    let mut compared = 0;
    let mut epochs = std::collections::BTreeSet::new();
    for (step, epoch) in &ranks[0] {
        for other in &ranks[1..] {
            if let Some(also) = other.get(step) {
                assert_eq!(also, epoch, "step {step} of {group}");
                compared += 1;
            }
        }
        epochs.insert(*epoch);
    }
    (compared, epochs.len())
}

async fn epoch(cluster: &cluster::Cluster, agent: &str) -> u64 {
    let status = cluster.status().await;
    status.get(agent).and_then(|one| one["groups"][0]["epoch"].as_u64()).unwrap_or(0)
}

async fn moves_on(cluster: &cluster::Cluster, agent: &str, what: &str, by: u64) {
    let before = epoch(cluster, agent).await;
    let polls = AtomicU64::new(0);
    until(what, || async {
        // Now and then other experts become popular, at all ranks alike.
        if polls.fetch_add(1, Ordering::Relaxed).is_multiple_of(16) {
            for agent in cluster.agents(&cluster::group("sala-braga")) {
                cluster.server_caller(&agent).read("/standin/drift").await;
            }
        }
        epoch(cluster, agent).await >= before + by
    })
    .await;
}

/// A bundle under which a group's map moves at every decision: the skew counts
/// for everything and the load drifts with the tokens.
const RESTLESS: &str = "[placement]\ninterval_s = 1\nskew_weight = 1000.0\ncost_weight = 0.001\n";

#[tokio::test(flavor = "multi_thread")]
async fn all_ranks_step_on_one_map_under_failure() {
    let plan = cluster::Plan {
        ranks: 3,
        zones: vec!["sala-braga"],
        services: 0,
        ..cluster::Plan::default()
    };
    let mut cluster = cluster::Cluster::start(plan).await;
    let group = cluster::group("sala-braga");
    let agents = cluster.agents(&group);
    let digest = cluster.propose("ana", "restless.toml", &cluster.bundle(RESTLESS)).await;
    cluster.tool("bruno", &["bundle", "approve", &digest]).await;
    assert!(cluster.tool("ana", &["bundle", "roll-forward", &digest]).await.success);
    until("the first map is in force", || async { epoch(&cluster, &agents[0]).await >= 1 }).await;
    // Whoever drives freezes; the other goes on; the first wakes with stale orders.
    let entries = cluster.entries();
    for host in &entries {
        cluster.members[host].process.signal(libc::SIGSTOP);
        moves_on(&cluster, &agents[0], "the other entry host drives", 1).await;
        cluster.members[host].process.signal(libc::SIGCONT);
    }
    // An answer of the platform is lost after the write.
    cluster.platform_fault("lose-write").await;
    moves_on(&cluster, &agents[0], "the map moves although an answer is lost", 1).await;
    // An agent dies in mid-work and comes back without its fence.
    cluster.members.get_mut(&agents[1]).unwrap().process.kill().await;
    let caller = cluster.caller(&entries[0]);
    until("the group serves on its present map", || async {
        caller.chat(cluster::MODEL, true, 5).await.outcome() == "answered"
    })
    .await;
    cluster.restart(&agents[1]).await;
    moves_on(&cluster, &agents[0], "the map moves with the agent again", 1).await;
    // The platform is gone: the group serves on.
    cluster.platform_fault("down").await;
    let still = epoch_of_engine(&cluster, &agents[0]).await;
    assert_eq!(caller.chat(cluster::MODEL, true, 50).await.outcome(), "answered");
    assert_eq!(epoch_of_engine(&cluster, &agents[0]).await, still);
    cluster.platform_fault("none").await;
    moves_on(&cluster, &agents[0], "the map moves after the outage", 1).await;
    let (compared, epochs) = judge(&cluster, &group).await;
    println!("steps compared={compared} epochs={epochs}");
    assert!(compared > 1_000 && epochs >= 5, "{compared} steps, {epochs} epochs");
}

async fn epoch_of_engine(cluster: &cluster::Cluster, agent: &str) -> u64 {
    cluster.server_caller(agent).read("/load").await["epoch"].as_u64().unwrap_or(0)
}
