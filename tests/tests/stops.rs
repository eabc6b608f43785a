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

/// Limit of a stop that requests outlast.
const SHORT_DRAIN: Duration = Duration::from_millis(2_000);

/// Sends a call to the service in two parts, the second one `pause` later if it is given, and reads to
/// the end of the connection.
async fn call_in_parts(
    address: std::net::SocketAddr,
    key: &str,
    pause: Option<Duration>,
) -> (String, Duration) {
    let (service, token) = (cluster::SERVICE, cluster::TOKEN);
    let request = format!(
        "POST /services/{service}/send HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {token}\r\n\
         idempotency-key: {key}\r\nx-standin-delay-ms: 6000\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    let (first, last) = request.as_bytes().split_at(request.len() - 1);
    let begun = tokio::time::Instant::now();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(first).await.unwrap();
    if let Some(pause) = pause {
        tokio::time::sleep(pause).await;
        stream.write_all(last).await.unwrap();
    }
    let mut answer = String::new();
    // If the connection is cut, there is no answer.
    stream.read_to_string(&mut answer).await.ok();
    (answer, begun.elapsed())
}

/// Guards against requests without any answer whose connection is cut as the entry host exits: one
/// that a server still runs, one whose body is complete only after the signal, and one whose body is
/// not.
#[tokio::test(flavor = "multi_thread")]
async fn answers_what_an_entry_host_still_has_in_progress_as_it_exits() {
    let plan = cluster::Plan {
        zones: vec!["sala-braga"],
        entries: 1,
        ranks: 0,
        drain_ms: SHORT_DRAIN.as_millis() as u64,
        ..cluster::Plan::default()
    };
    let mut cluster = cluster::Cluster::start(plan).await;
    let entry = cluster.entries().remove(0);
    let address = cluster.members[&entry].http_address.unwrap();
    let keys = [(); 3].map(|()| uuid::Uuid::now_v7().to_string());
    let late = Duration::from_millis(500);
    let calls = futures_util::future::join3(
        call_in_parts(address, &keys[0], Some(Duration::ZERO)),
        call_in_parts(address, &keys[1], Some(late)),
        call_in_parts(address, &keys[2], None),
    );
    let stop = async {
        until("a server runs the first call", || async { cluster.runs(&keys[0]).await == 1 }).await;
        tokio::time::sleep(late / 5).await;
        cluster.members[&entry].process.signal(libc::SIGTERM);
    };
    let ((running, late, torn), ()) = tokio::join!(calls, stop);
    let expected =
        [(running, "502", "unknown", 1), (late, "503", "not-run", 0), (torn, "503", "not-run", 0)];
    for (((answer, after), status, outcome, runs), key) in expected.into_iter().zip(&keys) {
        let outcome = format!("\"outcome\":\"{outcome}\"");
        assert_eq!(answer.split(' ').nth(1), Some(status), "{answer} after {after:?}");
        assert!(answer.contains(&outcome), "{answer} after {after:?}");
        assert!(after < SHORT_DRAIN + Duration::from_secs(1), "{after:?}");
        assert_eq!(cluster.runs(key).await, runs);
    }
    assert!(cluster.members.get_mut(&entry).unwrap().process.wait().await);
}

async fn state(cluster: &cluster::Cluster, at: &str, host: &str) -> String {
    let status = cluster.status().await;
    let servers = status[at]["servers"].as_array().cloned().unwrap_or_default();
    let found = servers.iter().find(|server| server["host"] == host);
    found.and_then(|server| server["state"].as_str()).unwrap_or_default().to_owned()
}
