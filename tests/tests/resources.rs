//! A process survives that the operating system refuses resources for a while.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use loftcove_tests::process::{self, Process};
use loftcove_tests::system::{Plan, System};
use loftcove_tests::{cluster, until};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 2, sidecars: true, proxied: false };

/// Address space of a process that is refused its threads, in bytes.
const ADDRESS_SPACE: u64 = 256 << 20;
/// Stack of each of its threads, in bytes.
const STACK: u64 = 512 << 20;
/// Time that each process has for its threads, and time that it takes beside load.
const TIMEOUT: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(20));

/// Stops the first gateway and the first sidecar, and returns their roles and settings files.
async fn stop_first(system: &mut System) -> [(&'static str, String); 2] {
    system.gateways[0].kill().await;
    system.sidecars[0].kill().await;
    let gateway = system.folder.write("gateway-again.toml", &system.gateway_settings(0));
    let sidecar = system.folder.write("sidecar-again.toml", &system.sidecar_settings(0));
    [("gateway", gateway), ("sidecar", sidecar)]
}

fn start_limited(role: &str, file: &str) -> Process {
    let arguments = [role.to_owned(), file.to_owned()];
    let mut process = Process::start_limited("loftcoved", &arguments, ADDRESS_SPACE, STACK);
    process.log_output();
    process
}

/// Guards against a panic at the start of a process whose threads are refused for a moment.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_whose_threads_are_refused_starts_when_they_are_allowed() {
    let mut system = System::start(PLAN).await;
    for (role, file) in stop_first(&mut system).await {
        let mut process = start_limited(role, &file);
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(!process.has_exited(), "{role}: {:?}", process.log());
        process.lift_address_space_limit();
        until("the process starts", || async {
            process.log().iter().any(|line| line.contains("started host="))
        })
        .await;
        process.signal(libc::SIGTERM);
        assert!(process.wait().await, "{role}: {:?}", process.log());
    }
}

/// Waits until processes that were started at the same time have failed with an error.
async fn wait_for_errors(started: Instant, processes: Vec<(String, Process)>, error: &str) {
    for (name, mut process) in processes {
        let status = tokio::time::timeout(TIMEOUT.0 + TIMEOUT.1, process.wait_for_status()).await;
        assert_eq!(status.expect("the process ends"), Some(1), "{name}: {:?}", process.log());
        assert!(started.elapsed() >= TIMEOUT.0, "{name}: {:?}", started.elapsed());
        until("the error is printed", || async {
            process.log().iter().any(|line| line.contains(error))
        })
        .await;
    }
}

/// Guards against a process that panics, or that never ends, when its threads are refused for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_whose_threads_are_always_refused_fails_with_an_error() {
    let mut system = System::start(PLAN).await;
    let files = stop_first(&mut system).await;
    let started = Instant::now();
    let processes = files.map(|(role, file)| (role.to_owned(), start_limited(role, &file)));
    wait_for_errors(started, processes.into(), "cannot start the log").await;
}

/// Guards against a stop that waits until a process has its threads.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_the_wait_for_threads() {
    let mut system = System::start(PLAN).await;
    for (role, file) in stop_first(&mut system).await {
        let started = Instant::now();
        let mut process = start_limited(role, &file);
        // Until the program has begun, its handlers are not installed.
        tokio::time::sleep(Duration::from_secs(1)).await;
        process.signal(libc::SIGTERM);
        assert_eq!(process.wait_for_status().await, Some(0), "{role}: {:?}", process.log());
        assert!(started.elapsed() < TIMEOUT.0, "{role}: {:?}", started.elapsed());
    }
}

/// Guards against a panic of entry hosts and agents whose threads are refused.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_or_entry_host_whose_threads_are_refused_fails_with_an_error() {
    let cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let started = Instant::now();
    let processes = cluster.members.keys().map(|name| {
        let file = cluster.folder.path(&format!("{name}.toml"));
        (name.clone(), start_limited("run", &file))
    });
    wait_for_errors(started, processes.collect(), "cannot start the runtime").await;
}

/// Time within which a process without work ends after a signal for a stop: a gateway waits 3.1 s.
const STOP_TIME: Duration = Duration::from_secs(6);

/// Guards against a stop that waits for the reader of the log until the process is killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_reader_of_the_log_that_takes_nothing_does_not_delay_a_stop() {
    let mut system = System::start(PLAN).await;
    for (role, file) in stop_first(&mut system).await {
        let (_reader, writer) = process::full_pipe();
        let arguments = [role.to_owned(), file];
        let mut process = Process::start_with("loftcoved", &arguments, |command| {
            command.stdout(writer);
        });
        let address = match role {
            "gateway" => system.client_address(0),
            _ => system.sidecar_addresses(0)[0],
        };
        until("the process listens", || async { TcpStream::connect(address).await.is_ok() }).await;
        process.signal(libc::SIGTERM);
        let status = tokio::time::timeout(STOP_TIME, process.wait_for_status()).await;
        assert_eq!(status.expect("the process ends"), Some(0), "{role}");
    }
}

/// Guards against a process that fails with another exit status, or never ends, because nobody
/// reads its error.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_cannot_print_its_error_ends_with_its_status() {
    for role in ["gateway", "sidecar", "run"] {
        let arguments = [role.to_owned(), "/no/such/file".to_owned()];
        let (reader, full) = process::full_pipe();
        let mut process = Process::start_with("loftcoved", &arguments, |command| {
            command.stderr(full);
        });
        let status = tokio::time::timeout(TIMEOUT.1 + TIMEOUT.0, process.wait_for_status()).await;
        assert_eq!(status.expect("the process ends"), Some(1), "{role}");
        drop(reader);
        let (reader, unread) = std::io::pipe().unwrap();
        drop(reader);
        let mut process = Process::start_with("loftcoved", &arguments, |command| {
            command.stderr(unread);
        });
        let status = tokio::time::timeout(TIMEOUT.1 + TIMEOUT.0, process.wait_for_status()).await;
        assert_eq!(status.expect("the process ends"), Some(1), "{role}");
    }
}

/// Frames with which a client begins a connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// Returns whether a process serves connections at an address.
async fn serves(address: SocketAddr) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(PREFACE).await?;
        stream.read_exact(&mut [0; 9]).await
    };
    let served = tokio::time::timeout(Duration::from_secs(2), exchange).await;
    served.is_ok_and(|served| served.is_ok())
}

/// Time for which a process gets no descriptors, and processor time that it may use meanwhile. A
/// process that tries without a pause uses all of it.
const LACK: (Duration, Duration) = (Duration::from_secs(2), Duration::from_millis(500));

/// Refuses a process further descriptors while a connection arrives, and waits until the process
/// serves connections again.
async fn exhaust_descriptors(process: &Process, address: SocketAddr) {
    until("the process listens", || serves(address)).await;
    // Descriptors 0 to 2 are in use.
    process.set_limit(libc::RLIMIT_NOFILE, Some(3));
    let _waiting = TcpStream::connect(address).await.unwrap();
    let before = process.usage().cpu;
    tokio::time::sleep(LACK.0).await;
    let used = process.usage().cpu - before;
    assert!(used < LACK.1, "{used:?}");
    process.set_limit(libc::RLIMIT_NOFILE, None);
    until("the process serves connections again", || serves(address)).await;
}

/// Guards against a gateway or a sidecar that uses its processor up while it is out of descriptors,
/// and against one that no peer reaches any more afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn peers_are_served_again_after_a_lack_of_descriptors() {
    let system = System::start(PLAN).await;
    exhaust_descriptors(&system.gateways[0], system.gateway_addresses(0)[2]).await;
    exhaust_descriptors(&system.sidecars[0], system.sidecar_addresses(0)[0]).await;
}

/// Guards against the same of entry hosts and agents.
#[tokio::test(flavor = "multi_thread")]
async fn entry_hosts_and_agents_serve_peers_again_after_a_lack_of_descriptors() {
    let cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    for member in cluster.members.values() {
        exhaust_descriptors(&member.process, member.peer_address).await;
    }
}
