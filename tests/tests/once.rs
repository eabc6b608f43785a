//! Under failures, a request that must not be repeated runs at most once, and the outcomes that
//! callers receive are true.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use loftcove_tests::{caller, cluster};

/// Outcomes that callers received for each key.
type Outcomes = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// Calls the service under new keys, three times each through different entry hosts, until stopped.
async fn send_repeats(
    callers: Vec<caller::Caller>,
    outcomes: Outcomes,
    stop: Arc<AtomicBool>,
    delay: &'static str,
) {
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let key = uuid::Uuid::now_v7().to_string();
        for _ in 0..3 {
            turn += 1;
            let caller = &callers[turn % callers.len()];
            let headers = [("x-standin-delay-ms", delay), ("loftcove-deadline-ms", "4000")];
            let answer = caller.deliver(cluster::SERVICE, &key, &headers).await;
            let outcome = match answer.outcome() {
                word if word.is_empty() => "unknown".to_owned(),
                word => word,
            };
            outcomes.lock().unwrap().entry(key.clone()).or_default().push(outcome);
        }
    }
}

/// Running callers that repeat their calls.
struct Load {
    outcomes: Outcomes,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

fn start(cluster: &cluster::Cluster, delay: &'static str) -> Load {
    let outcomes: Outcomes = Arc::default();
    let stop: Arc<AtomicBool> = Arc::default();
    let callers: Vec<caller::Caller> =
        cluster.entries().iter().map(|host| cluster.caller(host)).collect();
    let tasks = (0..4)
        .map(|first| {
            let mut callers = callers.clone();
            let count = callers.len();
            callers.rotate_left(first % count);
            tokio::spawn(send_repeats(callers, outcomes.clone(), stop.clone(), delay))
        })
        .collect();
    Load { outcomes, stop, tasks }
}

impl Load {
    /// Waits until `more` further keys have been answered.
    async fn answered_more(&self, what: &str, more: usize) {
        let count = || {
            let outcomes = self.outcomes.lock().unwrap();
            outcomes
                .values()
                .filter(|received| received.iter().any(|word| word == "answered"))
                .count()
        };
        let before = count();
        loftcove_tests::until(what, || async { count() >= before + more }).await;
    }

    /// Stops the callers and compares the outcomes with the calls that ran.
    async fn check(self, cluster: &cluster::Cluster) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        let outcomes = self.outcomes.lock().unwrap().clone();
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for agent in cluster.agents(cluster::SERVICE) {
            let counts = cluster.server_caller(&agent).read("/standin/runs").await;
            for (key, count) in counts.as_object().cloned().unwrap_or_default() {
                *runs.entry(key).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        let mut unknown = 0;
        for (key, received) in &outcomes {
            let ran = runs.get(key).copied().unwrap_or(0);
            assert!(ran <= 1, "{key} ran {ran} times; outcomes {received:?}");
            let answered = received.iter().any(|word| word == "answered");
            assert!(
                !answered || ran == 1,
                "{key} was answered and ran {ran} times; outcomes {received:?}"
            );
            let never = received.iter().all(|word| word == "not-run");
            assert!(
                !never || ran == 0,
                "{key} was reported as not run and ran; outcomes {received:?}"
            );
            unknown += usize::from(!answered && !never);
        }
        println!("keys={} unknown={unknown} ran={}", outcomes.len(), runs.len());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_each_key_at_most_once_despite_kills_and_freezes() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let load = start(&cluster, "5");
    load.answered_more("calls are answered", 20).await;
    // A home is killed while it works and restarts without its state.
    let agents = cluster.agents(cluster::SERVICE);
    cluster.members.get_mut(&agents[0]).unwrap().process.kill().await;
    load.answered_more("calls go on without an agent", 5).await;
    cluster.restart(&agents[0]).await;
    load.answered_more("calls go on with it again", 20).await;
    // A home is stopped until its witness has taken over, and is continued.
    cluster.members[&agents[1]].process.signal(libc::SIGSTOP);
    let frozen = agents[1].clone();
    loftcove_tests::until("the witness has taken over", || async {
        let status = cluster.platform_homes().await;
        !status.contains(&format!("\"host\":\"{frozen}\""))
    })
    .await;
    cluster.members[&agents[1]].process.signal(libc::SIGCONT);
    load.answered_more("calls go on after the home is continued", 20).await;
    // An entry host is killed with calls in flight.
    let entries = cluster.entries();
    cluster.members.get_mut(&entries[0]).unwrap().process.kill().await;
    load.answered_more("calls go on without an entry host", 20).await;
    cluster.restart(&entries[0]).await;
    load.answered_more("calls go on with all", 20).await;
    load.check(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_each_key_at_most_once_despite_cuts_and_outages() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let load = start(&cluster, "5");
    load.answered_more("calls are answered", 20).await;
    // The platform is unavailable for several leases. Witnesses extend the homes' leases.
    cluster.platform_fault("down").await;
    let home = &cluster.agents(cluster::SERVICE)[0];
    // A lease lasts for three checks, so that ten lines are more than three leases.
    loftcove_tests::until("the platform was unavailable for several leases", || async {
        let log = cluster.members[home].process.log();
        log.iter().filter(|line| line.contains("homes not confirmed")).count() >= 10
    })
    .await;
    load.answered_more("calls are answered without the platform", 20).await;
    cluster.platform_fault("slow").await;
    load.answered_more("calls are answered with a slow platform", 20).await;
    cluster.platform_fault("none").await;
    // A zone is cut off from the other; then also from the platform.
    cluster.isolate("sala-porto", "cut").await;
    load.answered_more("calls are answered in the cut", 20).await;
    cluster.link("sala-porto", "platform", "cut").await;
    load.answered_more("calls are answered in the double cut", 20).await;
    cluster.isolate("sala-porto", "none").await;
    cluster.link("sala-porto", "platform", "none").await;
    // Answers between the zones are lost, while requests arrive.
    cluster.isolate("sala-porto", "lose-answers").await;
    load.answered_more("calls are answered while answers are lost", 20).await;
    cluster.isolate("sala-porto", "freeze").await;
    load.answered_more("calls are answered while a link is frozen", 10).await;
    cluster.isolate("sala-porto", "none").await;
    load.answered_more("calls are answered in the end", 20).await;
    load.check(&cluster).await;
}
