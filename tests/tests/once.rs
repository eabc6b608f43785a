//! A request that may not be repeated runs at most once, and what callers are
//! told of it is true, under failure.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use loftcove_tests::{caller, cluster};

/// What callers were told under each key.
type Told = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// Asks under fresh keys, each several times through different entry hosts, until stopped.
async fn nag(callers: Vec<caller::Caller>, told: Told, stop: Arc<AtomicBool>, delay: &'static str) {
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
            told.lock().unwrap().entry(key.clone()).or_default().push(outcome);
        }
    }
}

struct Nagging {
    told: Told,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

fn start(cluster: &cluster::Cluster, delay: &'static str) -> Nagging {
    let told: Told = Arc::default();
    let stop: Arc<AtomicBool> = Arc::default();
    let callers: Vec<caller::Caller> =
        cluster.entries().iter().map(|host| cluster.caller(host)).collect();
    let tasks = (0..4)
        .map(|first| {
            let mut callers = callers.clone();
            let count = callers.len();
            callers.rotate_left(first % count);
            tokio::spawn(nag(callers, told.clone(), stop.clone(), delay))
        })
        .collect();
    Nagging { told, stop, tasks }
}

impl Nagging {
    /// Waits until so many more keys have been answered.
    async fn answered_more(&self, what: &str, more: usize) {
        let count = || {
            let told = self.told.lock().unwrap();
            told.values().filter(|words| words.iter().any(|word| word == "answered")).count()
        };
        let before = count();
        loftcove_tests::until(what, || async { count() >= before + more }).await;
    }

    /// Stops and compares what was told with what ran.
    async fn judge(self, cluster: &cluster::Cluster) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        let told = self.told.lock().unwrap().clone();
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for agent in cluster.agents(cluster::SERVICE) {
            let counts = cluster.server_caller(&agent).read("/standin/runs").await;
            for (key, count) in counts.as_object().cloned().unwrap_or_default() {
                *runs.entry(key).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        let mut unknown = 0;
        for (key, words) in &told {
            let ran = runs.get(key).copied().unwrap_or(0);
            assert!(ran <= 1, "{key} ran {ran} times; told {words:?}");
            let answered = words.iter().any(|word| word == "answered");
            assert!(
                !answered || ran == 1,
                "{key} was answered and ran {ran} times; told {words:?}"
            );
            let never = words.iter().all(|word| word == "not-run");
            assert!(!never || ran == 0, "{key} was said not to run and ran; told {words:?}");
            unknown += usize::from(!answered && !never);
        }
        println!("keys={} unknown={unknown} ran={}", told.len(), runs.len());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn kills_and_freezes() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let nagging = start(&cluster, "5");
    nagging.answered_more("calls are answered", 20).await;
    // A home is killed in mid-work and comes back with nothing remembered.
    let agents = cluster.agents(cluster::SERVICE);
    cluster.members.get_mut(&agents[0]).unwrap().process.kill().await;
    nagging.answered_more("calls go on without an agent", 5).await;
    cluster.restart(&agents[0]).await;
    nagging.answered_more("calls go on with it again", 20).await;
    // A home freezes until its witness has taken over, and wakes.
    cluster.members[&agents[1]].process.signal(libc::SIGSTOP);
    let frozen = agents[1].clone();
    loftcove_tests::until("the witness has taken over", || async {
        let status = cluster.platform_homes().await;
        !status.contains(&format!("\"host\":\"{frozen}\""))
    })
    .await;
    cluster.members[&agents[1]].process.signal(libc::SIGCONT);
    nagging.answered_more("calls go on after the wake", 20).await;
    // An entry host is killed with calls in flight.
    let entries = cluster.entries();
    cluster.members.get_mut(&entries[0]).unwrap().process.kill().await;
    nagging.answered_more("calls go on without an entry host", 20).await;
    cluster.restart(&entries[0]).await;
    nagging.answered_more("calls go on with all", 20).await;
    nagging.judge(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cuts_and_outages() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let nagging = start(&cluster, "5");
    nagging.answered_more("calls are answered", 20).await;
    // The platform is gone for several leases: witnesses keep the homes going.
    cluster.platform_fault("down").await;
    let home = &cluster.agents(cluster::SERVICE)[0];
    // Three looks make a lease.
    loftcove_tests::until("the platform was missed for several leases", || async {
        let log = cluster.members[home].process.log();
        log.iter().filter(|line| line.contains("homes not confirmed")).count() >= 10
    })
    .await;
    nagging.answered_more("calls are answered without the platform", 20).await;
    cluster.platform_fault("slow").await;
    nagging.answered_more("calls are answered with a slow platform", 20).await;
    cluster.platform_fault("none").await;
    // A zone is cut off from the other; then also from the platform.
    cluster.isolate("sala-porto", "cut").await;
    nagging.answered_more("calls are answered in the cut", 20).await;
    cluster.link("sala-porto", "platform", "cut").await;
    nagging.answered_more("calls are answered in the double cut", 20).await;
    cluster.isolate("sala-porto", "none").await;
    cluster.link("sala-porto", "platform", "none").await;
    // Answers between the zones get lost, and requests arrive.
    cluster.isolate("sala-porto", "lose-answers").await;
    nagging.answered_more("calls are answered while answers are lost", 20).await;
    cluster.isolate("sala-porto", "freeze").await;
    nagging.answered_more("calls are answered while a link is frozen", 10).await;
    cluster.isolate("sala-porto", "none").await;
    nagging.answered_more("calls are answered in the end", 20).await;
    nagging.judge(&cluster).await;
}
