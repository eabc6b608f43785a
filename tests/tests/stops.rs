//! A planned stop of a process cuts no answer off, and a leaving process receives no new requests.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use loftcove_tests::{caller, client, cluster, until};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

#[derive(Default)]
struct Counts {
    whole: AtomicU64,
    refused: AtomicU64,
    cut: AtomicU64,
}

/// Sends chats to the entry hosts in turn, until stopped. If an entry host rejects a chat or is
/// unreachable, the next chat goes to the next one, as with a load balancer.
async fn send_chats(callers: Vec<caller::Caller>, counts: Arc<Counts>, stop: Arc<AtomicBool>) {
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        turn += 1;
        let answer = callers[turn % callers.len()].chat(cluster::MODEL, true, 30).await;
        let count = match answer.status {
            200 if answer.complete && answer.tokens() == 30 => &counts.whole,
            200 => &counts.cut,
            _ => &counts.refused,
        };
        count.fetch_add(1, Ordering::Relaxed);
        // After a refusal, the next entry host is tried without a delay.
        tokio::task::yield_now().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cuts_no_answer_off_during_a_rolling_restart() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let counts: Arc<Counts> = Arc::default();
    let stop: Arc<AtomicBool> = Arc::default();
    let callers: Vec<caller::Caller> =
        cluster.entries().iter().map(|host| cluster.caller(host)).collect();
    let tasks: Vec<_> = (0..8)
        .map(|first| {
            let mut callers = callers.clone();
            let count = callers.len();
            callers.rotate_left(first % count);
            tokio::spawn(send_chats(callers, counts.clone(), stop.clone()))
        })
        .collect();
    let hosts: Vec<String> = cluster.members.keys().cloned().collect();
    for host in &hosts {
        let before = counts.whole.load(Ordering::Relaxed);
        until("answers flow", || async { counts.whole.load(Ordering::Relaxed) > before + 8 }).await;
        let member = cluster.members.get_mut(host).unwrap();
        member.process.signal(libc::SIGTERM);
        assert!(member.process.wait().await, "{host}: {:?}", member.process.log());
        cluster.restart(host).await;
        until("the host serves again", || async {
            cluster.status().await.get(host).is_some_and(|one| one["phase"] == "serving")
        })
        .await;
    }
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.unwrap();
    }
    let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (whole, refused, cut) = (count(&counts.whole), count(&counts.refused), count(&counts.cut));
    println!("restarted={} whole={whole} refused={refused} cut={cut}", hosts.len());
    assert_eq!(cut, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_no_new_request_to_a_leaving_process() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let entry = cluster.entries().remove(0);
    let caller = cluster.caller(&entry);
    let agents = cluster.agents(cluster::SERVICE);
    let ran = |cluster: &cluster::Cluster, agent: &str| {
        let direct = cluster.server_caller(agent);
        async move {
            let runs = direct.read("/standin/runs").await;
            runs.as_object().map_or(0, serde_json::Map::len)
        }
    };
    // The host list marks a host as leaving. The host then receives no new calls.
    cluster.set_leaving(&agents[0], true).await;
    until("the entry host knows", || async {
        state(&cluster, &entry, &agents[0]).await == "leaving"
    })
    .await;
    let before = ran(&cluster, &agents[0]).await;
    for _ in 0..20 {
        let key = uuid::Uuid::now_v7().to_string();
        caller.deliver(cluster::SERVICE, &key, &[]).await;
    }
    assert_eq!(ran(&cluster, &agents[0]).await, before);
    cluster.set_leaving(&agents[0], false).await;
    until("the host is usable again", || async {
        state(&cluster, &entry, &agents[0]).await == "usable"
    })
    .await;
    // The bundle marks the host as leaving.
    let text = cluster.bundle(&format!("leaving = [\"{}\"]", agents[0]));
    let digest = cluster.propose("ana", "leaving.toml", &text).await;
    cluster.tool("bruno", &["bundle", "approve", &digest]).await;
    assert!(cluster.tool("ana", &["bundle", "roll-forward", &digest]).await.success);
    until("the agent itself knows", || async {
        state(&cluster, &agents[0], &agents[0]).await == "leaving"
    })
    .await;
    // An agent receives a signal to stop. The call in flight must complete.
    let key = uuid::Uuid::now_v7().to_string();
    let slow = {
        let (caller, key) = (caller.clone(), key.clone());
        tokio::spawn(async move {
            caller.deliver(cluster::SERVICE, &key, &[("x-standin-delay-ms", "1500")]).await
        })
    };
    until("the call runs", || async { cluster.runs(&key).await == 1 }).await;
    cluster.members[&agents[1]].process.signal(libc::SIGTERM);
    until("no agent accepts calls", || async {
        let key = uuid::Uuid::now_v7().to_string();
        let answer = caller.deliver(cluster::SERVICE, &key, &[]).await;
        answer.outcome() == "not-run" && cluster.runs(&key).await == 0
    })
    .await;
    assert_eq!(slow.await.unwrap().outcome(), "answered");
    // The second signal stops the process at once, even with requests in flight.
    let endless = caller::prompt(cluster::MODEL, true, 1_000_000);
    let open = caller.open("POST", "/v1/chat/completions", &[], &endless).await;
    assert_eq!(open.as_ref().unwrap().status(), 200);
    let process = &mut cluster.members.get_mut(&entry).unwrap().process;
    process.signal(libc::SIGTERM);
    until("the entry host drains", || async {
        process.log().iter().any(|line| line.contains("drain"))
    })
    .await;
    process.signal(libc::SIGTERM);
    assert!(process.wait().await);
}

/// Size in bytes of an answer that exceeds a small window and that the entry host buffers.
const ANSWER_BYTES: usize = 200_000;
/// Time between the signal and the client's next read. The entry host is idle by then.
const READ_DELAY: Duration = Duration::from_millis(500);

/// Checks that an answer counts as in flight until its connection has written all of it.
#[tokio::test(flavor = "multi_thread")]
async fn completes_answers_to_callers_with_a_small_window() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let entry = cluster.entries().remove(0);
    let address = cluster.members[&entry].http_address.unwrap();
    let key = uuid::Uuid::now_v7().to_string();
    let mut stream = client::connect_with_small_window(address).await;
    let (service, token) = (cluster::SERVICE, cluster::TOKEN);
    let request = format!(
        "POST /services/{service}/send HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {token}\r\n\
         idempotency-key: {key}\r\nx-standin-bytes: {ANSWER_BYTES}\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    until("the call ran", || async { cluster.runs(&key).await == 1 }).await;
    let mut answer = vec![0; 16];
    stream.read_exact(&mut answer).await.unwrap();
    let process = &mut cluster.members.get_mut(&entry).unwrap().process;
    process.signal(libc::SIGTERM);
    tokio::time::sleep(READ_DELAY).await;
    // The assertion below detects a reset, which leaves the answer incomplete.
    stream.read_to_end(&mut answer).await.ok();
    assert!(answer.len() > ANSWER_BYTES, "cut off after {} bytes", answer.len());
    assert!(process.wait().await);
}

async fn state(cluster: &cluster::Cluster, at: &str, host: &str) -> String {
    let status = cluster.status().await;
    let servers = status[at]["servers"].as_array().cloned().unwrap_or_default();
    let found = servers.iter().find(|server| server["host"] == host);
    found.and_then(|server| server["state"].as_str()).unwrap_or_default().to_owned()
}
