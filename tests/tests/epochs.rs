//! In every step, all ranks of a group use the same expert map.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use loftcove_tests::{cluster, until};

/// Returns, for each rank, the epoch of the map on which it ran each step.
async fn steps(cluster: &cluster::Cluster, group: &str) -> Vec<BTreeMap<u64, u64>> {
    let mut all = Vec::new();
    for agent in cluster.agents(group) {
        let steps = cluster.server_caller(&agent).read("/standin/steps").await;
        let steps: Vec<(u64, u64)> = serde_json::from_value(steps).unwrap_or_default();
        all.push(steps.into_iter().collect());
    }
    all
}

/// Checks that all ranks ran each step on the same epoch. Returns the number of comparisons and of
/// epochs.
async fn check_steps(cluster: &cluster::Cluster, group: &str) -> (usize, usize) {
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

async fn wait_epochs(cluster: &cluster::Cluster, agent: &str, what: &str, by: u64) {
    let before = epoch(cluster, agent).await;
    let polls = AtomicU64::new(0);
    until(what, || async {
        // Every 16 polls, the demand shifts to other experts, in the same way at all ranks.
        if polls.fetch_add(1, Ordering::Relaxed).is_multiple_of(16) {
            for agent in cluster.agents(&cluster::group("sala-braga")) {
                cluster.server_caller(&agent).read("/standin/drift").await;
            }
        }
        epoch(cluster, agent).await >= before + by
    })
    .await;
}

/// Bundle lines that make a group's map change at every decision. The weight of the skew outweighs
/// the cost of moves, and the load drifts with the tokens.
const EAGER_PLACEMENT: &str =
    "[placement]\ninterval_s = 1\nskew_weight = 1000.0\ncost_weight = 0.001\n";

#[tokio::test(flavor = "multi_thread")]
async fn runs_each_step_on_one_map_at_all_ranks_under_failure() {
    let plan = cluster::Plan {
        ranks: 3,
        zones: vec!["sala-braga"],
        services: 0,
        ..cluster::Plan::default()
    };
    let mut cluster = cluster::Cluster::start(plan).await;
    let group = cluster::group("sala-braga");
    let agents = cluster.agents(&group);
    let digest = cluster.propose("ana", "restless.toml", &cluster.bundle(EAGER_PLACEMENT)).await;
    cluster.tool("bruno", &["bundle", "approve", &digest]).await;
    assert!(cluster.tool("ana", &["bundle", "roll-forward", &digest]).await.success);
    until("the first map is in force", || async { epoch(&cluster, &agents[0]).await >= 1 }).await;
    // The driving entry host is stopped and the other one takes over. The first one is then
    // continued and has stale orders.
    let entries = cluster.entries();
    for host in &entries {
        cluster.members[host].process.signal(libc::SIGSTOP);
        wait_epochs(&cluster, &agents[0], "the other entry host drives", 1).await;
        cluster.members[host].process.signal(libc::SIGCONT);
    }
    // An answer of the platform is lost after the write.
    cluster.platform_fault("lose-write").await;
    wait_epochs(&cluster, &agents[0], "the map moves although an answer is lost", 1).await;
    // An agent is killed while it works and restarts without its fence.
    cluster.members.get_mut(&agents[1]).unwrap().process.kill().await;
    let caller = cluster.caller(&entries[0]);
    until("the group serves on its present map", || async {
        caller.chat(cluster::MODEL, true, 5).await.outcome() == "answered"
    })
    .await;
    cluster.restart(&agents[1]).await;
    wait_epochs(&cluster, &agents[0], "the map moves with the agent again", 1).await;
    // The platform is unavailable, and the group continues to serve.
    cluster.platform_fault("down").await;
    let still = engine_epoch(&cluster, &agents[0]).await;
    assert_eq!(caller.chat(cluster::MODEL, true, 50).await.outcome(), "answered");
    assert_eq!(engine_epoch(&cluster, &agents[0]).await, still);
    cluster.platform_fault("none").await;
    wait_epochs(&cluster, &agents[0], "the map moves after the outage", 1).await;
    let (compared, epochs) = check_steps(&cluster, &group).await;
    println!("steps compared={compared} epochs={epochs}");
    assert!(compared > 1_000 && epochs >= 5, "{compared} steps, {epochs} epochs");
}

async fn engine_epoch(cluster: &cluster::Cluster, agent: &str) -> u64 {
    cluster.server_caller(agent).read("/load").await["epoch"].as_u64().unwrap_or(0)
}
