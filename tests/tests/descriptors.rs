//! Processes whose host allows fewer file descriptors than the settings name. Connections of others
//! never take those that a process needs for readiness, metrics, the store and its peers.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::net::SocketAddr;
use std::time::Duration;

use loftcove_standins::crowd::{Crowd, Form};
use loftcove_tests::caller::Caller;
use loftcove_tests::process::{self, Process};
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;
use tokio::sync::Mutex;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 2, sidecars: true, proxied: false };
/// Descriptors that the settings name.
const SETTING: u64 = 1_200;
/// Descriptors that the host allows at first, and at most. They are fewer than a crowd has clients.
const LOW: u64 = 200;
/// Clients of a crowd. They need fewer descriptors than [`SETTING`].
const CLIENTS: usize = 400;
/// Version of the configuration that a system starts with.
const FIRST_VERSION: u64 = 1;
/// Time within which a process answers a question beside a crowd.
const ANSWER: Duration = Duration::from_secs(10);

/// Held by each test, as crowds are heavy.
static TURN: Mutex<()> = Mutex::const_new(());

/// Starts a process whose limit of descriptors is [`LOW`] and can be raised to `max`.
fn start_limited(role: &str, file: &str, max: Option<u64>) -> Process {
    let arguments = [role.to_owned(), file.to_owned()];
    let mut process = Process::start_with("loftcoved", &arguments, |command| {
        process::limit_with(command, libc::RLIMIT_NOFILE, (LOW, max));
    });
    process.log_output();
    process
}

/// Restarts the first gateway with limited descriptors.
async fn restart_gateway(system: &mut System, max: Option<u64>) {
    system.gateways[0].kill().await;
    let settings = system.gateway_settings(0);
    let settings = format!("{settings}max_descriptors = {SETTING}\n");
    let file = system.folder.write("limited.toml", &settings);
    system.gateways[0] = start_limited("gateway", &file, max);
    system.wait_ready(0).await;
}

async fn has_metrics(address: SocketAddr) -> bool {
    let metrics = Caller::new(address, "");
    let metrics = metrics.request("GET", "/metrics", &[], "");
    let metrics = tokio::time::timeout(ANSWER, metrics).await;
    metrics.is_ok_and(|metrics| metrics.status == 200)
}

async fn is_ready(system: &System) -> bool {
    tokio::time::timeout(ANSWER, system.is_ready(0)).await.is_ok_and(|ready| ready)
}

async fn serves(system: &System) -> bool {
    let request = Request::new("/alert/");
    let answer = tokio::time::timeout(ANSWER, system.request(0, &request)).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Lets a crowd connect to one address of a gateway. The gateway must answer at all others, serve a
/// new client and receive a configuration from the store.
async fn check_gateway(max: Option<u64>, address: impl Fn(&System) -> SocketAddr) {
    let _turn = TURN.lock().await;
    let mut system = System::start(PLAN).await;
    restart_gateway(&mut system, max).await;
    let crowd = Crowd::start(address(&system), &[Form::idle()], CLIENTS, true);
    until("the crowd has its connections", || async { crowd.connected() >= LOW }).await;
    for round in 0..3 {
        until("readiness is answered", || is_ready(&system)).await;
        until("metrics are answered", || has_metrics(system.metrics_address(0))).await;
        until("a new client is served", || serves(&system)).await;
        system.set_limits(&[("max_body_bytes", 1_000_000 + round)]).await;
        let version = format!("configuration version={} before", FIRST_VERSION + 1 + round);
        let gateway = &system.gateways[0];
        until("the store is reached", || async {
            gateway.log().iter().any(|line| line.contains(&version))
        })
        .await;
    }
    drop(crowd);
    until("a new client is served", || serves(&system)).await;
    assert!(!system.gateways[0].has_exited());
}

// Guards against a gateway that is unreachable because its clients take all descriptors of a limit
// that it could have raised to what its settings name.
#[tokio::test(flavor = "multi_thread")]
async fn clients_do_not_take_the_descriptors_of_a_limit_that_can_be_raised() {
    check_gateway(None, |system| system.client_address(0)).await;
}

// Guards against the same if the host allows fewer descriptors than the settings name.
#[tokio::test(flavor = "multi_thread")]
async fn clients_do_not_take_all_descriptors_that_the_host_allows() {
    check_gateway(Some(LOW), |system| system.client_address(0)).await;
}

// Guards against a gateway that is unreachable because of connections to its address for peers.
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_peers_do_not_take_all_descriptors_of_a_gateway() {
    check_gateway(Some(LOW), |system| system.gateway_addresses(0)[2]).await;
}

// Guards against a sidecar that is unreachable because of connections to its address for peers.
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_peers_do_not_take_all_descriptors_of_a_sidecar() {
    let _turn = TURN.lock().await;
    let mut system = System::start(PLAN).await;
    system.sidecars[0].kill().await;
    let file = system.folder.write("limited.toml", &system.sidecar_settings(0));
    system.sidecars[0] = start_limited("sidecar", &file, Some(LOW));
    let [peers, metrics] = system.sidecar_addresses(0);
    until("metrics are answered", || has_metrics(metrics)).await;
    let crowd = Crowd::start(peers, &[Form::idle()], CLIENTS, true);
    until("the crowd has its connections", || async { crowd.connected() >= LOW }).await;
    for _ in 0..3 {
        until("metrics are answered", || has_metrics(metrics)).await;
    }
    drop(crowd);
    assert!(!system.sidecars[0].has_exited());
}
