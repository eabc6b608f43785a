//! A process whose address is not available yet waits for it.
//!
//! Guards against a process that exits as it starts because the previous process of its host still
//! holds a port, or because another connection or listener of the host uses one.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::net::SocketAddr;
use std::time::Duration;

use loftcove_tests::process::Process;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::{caller, cluster, until};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const PLAN: Plan =
    Plan { gateways: 2, ranks: 2, groups: 1, plain: 2, sidecars: true, proxied: false };

/// Connections of clients, which prolong the end of a process that is killed.
const CONNECTIONS: usize = 400;

/// Log line of a process that waits for an address.
const WAITING: &str = "address not available";
/// Log line of a process that no longer waits.
const LISTENING: &str = "listening listener=";

fn logged(process: &Process, text: &str) -> bool {
    process.log().iter().any(|line| line.contains(text))
}

/// Waits until a process logs a line, and checks that it does not exit meanwhile.
async fn wait_logged(process: &Process, text: &str) {
    until(text, || async {
        assert!(is_running(process), "{:?}", process.log());
        logged(process, text)
    })
    .await;
}

/// Returns whether a process has not exited. It may still have to be waited for.
fn is_running(process: &Process) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let state = stat.rsplit(')').next().unwrap_or_default().trim_start().chars().next();
    state.is_some_and(|state| state != 'Z' && state != 'X')
}

async fn connect_many(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    streams
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_starts_while_the_killed_one_still_holds_its_ports() {
    let mut system = System::start(PLAN).await;
    for _ in 0..5 {
        let streams = connect_many(system.client_address(0)).await;
        system.gateways[0].signal(libc::SIGKILL);
        let mut killed = system.replace_gateway(0);
        killed.wait().await;
        drop(streams);
        system.wait_ready(0).await;
    }
}

/// The process that stops keeps its ports until it exits. The next one must neither exit nor answer
/// in its place before.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_starts_while_the_previous_one_stops_serves_after_it() {
    let mut system = System::start(PLAN).await;
    // The stop lasts as long as this request.
    let request = Request::new("/alert/").with("x-standin-delay-ms", "2500");
    let mut stream = TcpStream::connect(system.client_address(0)).await.unwrap();
    stream.write_all(request.text().as_bytes()).await.unwrap();
    until("the request runs", || async { !system.arrivals(&request.id).await.is_empty() }).await;
    system.gateways[0].signal(libc::SIGTERM);
    wait_logged(&system.gateways[0], "stopping in_flight=1").await;
    let mut stopping = system.replace_gateway(0);
    wait_logged(&system.gateways[0], WAITING).await;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(!logged(&system.gateways[0], "listening listener=clients"));
    assert!(stopping.wait().await, "{:?}", stopping.log());
    system.wait_ready(0).await;
    wait_logged(&system.gateways[0], LISTENING).await;
}

/// A process that waits must not take over the address of one that runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_the_wait_for_an_address() {
    let mut system = System::start(PLAN).await;
    let running = system.replace_gateway(0);
    wait_logged(&system.gateways[0], WAITING).await;
    system.gateways[0].signal(libc::SIGHUP);
    wait_logged(&system.gateways[0], "reloaded file=").await;
    system.gateways[0].signal(libc::SIGTERM);
    assert!(system.gateways[0].wait().await, "{:?}", system.gateways[0].log());
    // No drain, in which the address could become available.
    assert!(logged(&system.gateways[0], "stopping reason=not-listening"));
    assert!(!logged(&system.gateways[0], LISTENING) && is_running(&running));
    let running = system.replace_sidecar(0);
    wait_logged(&system.sidecars[0], WAITING).await;
    system.sidecars[0].signal(libc::SIGTERM);
    assert!(system.sidecars[0].wait().await, "{:?}", system.sidecars[0].log());
    assert!(!logged(&system.sidecars[0], LISTENING) && is_running(&running));
}

/// The settings may have been wrong when the process was started, or have changed since. An exit would
/// have met the new ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_waits_for_an_address_begins_again_if_the_settings_name_another() {
    let mut system = System::start(PLAN).await;
    let [clients, ..] = system.gateway_addresses(0);
    let [peers, _] = system.sidecar_addresses(0);
    system.gateways[0].kill().await;
    system.sidecars[0].kill().await;
    for (role, text, address, started) in [
        ("gateway", system.gateway_settings(0), clients, "started host=gateway-0"),
        ("sidecar", system.sidecar_settings(0), peers, "started host=sidecar-0"),
    ] {
        let missing = text.replace(&address.to_string(), "192.0.2.77:8000");
        let file = system.folder.write("moved.toml", &missing);
        let mut process = Process::start("loftcoved", &[role.to_owned(), file]);
        process.log_output();
        wait_logged(&process, WAITING).await;
        system.folder.write("moved.toml", &text);
        wait_logged(&process, "address changed in the settings").await;
        until("the process listens", || async { TcpStream::connect(address).await.is_ok() }).await;
        let starts = process.log().iter().filter(|line| line.contains(started)).count();
        assert_eq!(starts, 2, "{:?}", process.log());
        process.signal(libc::SIGTERM);
        assert!(process.wait().await, "{:?}", process.log());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_that_starts_while_the_previous_one_runs_does_not_drive() {
    let mut system = System::start(PLAN).await;
    let drives = |sidecar: &Process| logged(sidecar, "driver elected");
    until("a sidecar drives", || async { system.sidecars.iter().any(drives) }).await;
    let driver = system.sidecars.iter().position(drives).unwrap();
    let mut previous = system.replace_sidecar(driver as u8);
    let next = &system.sidecars[driver];
    wait_logged(next, WAITING).await;
    // The next process may take the term of an earlier run of its host at once.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!drives(next) && !logged(&previous, "driver resigned"), "{:?}", next.log());
    previous.signal(libc::SIGTERM);
    assert!(previous.wait().await);
    wait_logged(next, "driver elected").await;
}

/// Returns a listener on an address of a process that has not started.
async fn hold(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_is_not_ready_until_its_address_for_clients_is_available() {
    let mut system = System::start(PLAN).await;
    system.gateways[0].kill().await;
    let other = hold(system.client_address(0)).await;
    system.start_gateway(0);
    wait_logged(&system.gateways[0], WAITING).await;
    until("readiness is served", || async {
        let [_, ready, ..] = system.gateway_addresses(0);
        let caller = caller::Caller::new(ready, "");
        caller.request("GET", "/v1/readyz", &[], "").await.status == 503
    })
    .await;
    let waiting = "loftcove_listeners_waiting{listener=\"clients\"}";
    assert!(system.metrics(0).await.contains(&format!("{waiting} 1\n")));
    drop(other);
    system.wait_ready(0).await;
    assert!(system.metrics(0).await.contains(&format!("{waiting} 0\n")));
}

/// Readiness is asked at another address, and metrics and peers are not needed to serve.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_while_its_other_addresses_are_in_use() {
    let mut system = System::start(PLAN).await;
    let [_, ready, peers, metrics] = system.gateway_addresses(0);
    for address in [ready, peers, metrics] {
        system.gateways[0].kill().await;
        let other = hold(address).await;
        system.start_gateway(0);
        until("the gateway serves", || async {
            assert!(is_running(&system.gateways[0]), "{:?}", system.gateways[0].log());
            system.request(0, &Request::new("/alert/")).await.status == 200
        })
        .await;
        wait_logged(&system.gateways[0], WAITING).await;
        drop(other);
        wait_logged(&system.gateways[0], LISTENING).await;
        system.wait_ready(0).await;
    }
}

/// Gateways share limits by their entries. The entry may be that of the previous process of the host
/// until the next one serves, and must exist from then on, also while its address for peers is in use.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_registers_once_its_address_for_clients_is_available() {
    let mut system = System::start(PLAN).await;
    system.gateways[1].kill().await;
    let [clients, _, peers, _] = system.gateway_addresses(1);
    let (client_holder, _peer_holder) = (hold(clients).await, hold(peers).await);
    let learnt = |process: &Process, removed: bool| {
        let log = process.log();
        let lines = log.iter().filter(|line| line.contains("key=loftcove/gateways/gateway-1 "));
        lines.filter(|line| line.contains(&format!("removed={removed}"))).count()
    };
    system.remove("loftcove/gateways/gateway-1").await;
    until("the removal is known", || async { learnt(&system.gateways[0], true) == 1 }).await;
    let before = learnt(&system.gateways[0], false);
    system.start_gateway(1);
    wait_logged(&system.gateways[1], WAITING).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(learnt(&system.gateways[0], false), before);
    drop(client_holder);
    until("the entry is known", || async { learnt(&system.gateways[0], false) > before }).await;
}

/// Another program of the host may have an outgoing connection whose local port is one of ours.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_waits_for_an_outgoing_connection_that_uses_its_port() {
    let mut system = System::start(PLAN).await;
    system.gateways[0].kill().await;
    let address = system.client_address(0);
    let server = TcpListener::bind((address.ip(), 0)).await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    // The killed gateway's connections are in TIME-WAIT.
    until("the port is free", || async { socket.bind(address).is_ok() }).await;
    let outgoing = socket.connect(server.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = server.accept().await.unwrap();
    system.start_gateway(0);
    wait_logged(&system.gateways[0], WAITING).await;
    // The side that accepted closes first and keeps the connection's state, at another port.
    drop(accepted);
    drop(outgoing);
    system.wait_ready(0).await;
}

/// No test may configure an address, so that this one shows only that the process does not exit.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_while_its_address_for_metrics_is_not_configured() {
    let mut system = System::start(PLAN).await;
    let [.., metrics] = system.gateway_addresses(1);
    let missing: SocketAddr = "192.0.2.77:9464".parse().unwrap();
    assert!(TcpListener::bind(missing).await.is_err());
    let text = system.gateway_settings(1).replace(&metrics.to_string(), &missing.to_string());
    let file = system.folder.write("missing.toml", &text);
    system.gateways[1].kill().await;
    system.gateways[1] = Process::start("loftcoved", &["gateway".to_owned(), file]);
    system.gateways[1].log_output();
    wait_logged(&system.gateways[1], WAITING).await;
    system.wait_ready(1).await;
}

/// The drain of an entry host lasts as long as its requests, and that of an agent until its streams
/// have closed.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_or_agent_that_starts_while_the_previous_one_stops_serves_after_it() {
    let plan = cluster::Plan { drain_ms: 1_500, ..cluster::Plan::default() };
    let mut cluster = cluster::Cluster::start(plan).await;
    let entry = cluster.entries().remove(0);
    let endless = caller::prompt(cluster::MODEL, true, 1_000_000);
    let open = cluster.caller(&entry).open("POST", "/v1/chat/completions", &[], &endless).await;
    assert_eq!(open.as_ref().unwrap().status(), 200);
    let agent = cluster.agents(cluster::SERVICE).remove(0);
    for host in [&entry, &agent] {
        cluster.members[host].process.signal(libc::SIGTERM);
        let mut stopping = cluster.replace(host);
        assert!(stopping.wait().await, "{host}: {:?}", stopping.log());
        cluster.wait_listening(host).await;
    }
    wait_logged(&cluster.members[&entry].process, WAITING).await;
    until("the entry host serves", || async {
        cluster.caller(&entry).chat(cluster::MODEL, true, 3).await.status == 200
    })
    .await;
}

/// The address for health checks and metrics is not needed to serve.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_runs_while_its_address_for_metrics_is_in_use() {
    let cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    let agent = cluster.agents(cluster::SERVICE).remove(0);
    let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = other.local_addr().unwrap();
    let file = cluster.folder.path(&format!("{agent}.toml"));
    let text = std::fs::read_to_string(&file).unwrap();
    let admin = format!("admin_address = \"{address}\"\npeer_address");
    let file = cluster.folder.write("admin.toml", &text.replacen("peer_address", &admin, 1));
    let mut process = Process::start("loftcoved", &["run".to_owned(), file]);
    // The settings have no port for peers yet, so that this process does not meet the other one.
    process.read_address().await;
    wait_logged(&process, WAITING).await;
    drop(other);
    wait_logged(&process, LISTENING).await;
    until("health checks are answered", || async {
        caller::Caller::new(address, "").request("GET", "/healthz", &[], "").await.status == 200
    })
    .await;
}
