//! Open connections that fall silent without a reset, while new connections work.
//!
//! Covers calls to the store and open connections to it, between sidecars and to backend servers.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::{Duration, Instant};

use loftcove_tests::request::Request;
use loftcove_tests::system::{BOUND, Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 3, ranks: 2, groups: 1, plain: 2, sidecars: false, proxied: true };

/// Waits until all gateways accept a key and returns the time at which the last one did.
async fn wait_accepted(system: &System, key: &str) -> Instant {
    for gateway in 0..PLAN.gateways {
        let accepted = || async {
            let request = Request::new("/alert/").key(key);
            system.request(gateway, &request).await.status == 200
        };
        until(&format!("gateway {gateway} accepts {key}"), accepted).await;
    }
    Instant::now()
}

/// Returns how long the open watch call of a gateway for the configuration has waited, or zero
/// between two calls.
async fn watch_age(system: &System, gateway: u8) -> Duration {
    let name = "loftcove_watch_waited_seconds{prefix=\"op/\"} ";
    let metrics = system.metrics(gateway).await;
    let text = metrics.lines().find_map(|line| line.strip_prefix(name));
    Duration::from_secs_f64(text.map_or(0.0, |text| text.parse().unwrap()))
}

/// Waits until the gateways have opened new watch calls after a change at the given time.
async fn wait_watches_open(system: &System, changed: Instant) {
    for gateway in 0..PLAN.gateways {
        until("the watch is open again", || async {
            let age = watch_age(system, gateway).await;
            !age.is_zero() && age < changed.elapsed()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn recovers_watches_that_were_opened_while_the_store_was_silent() {
    let mut system = System::start(PLAN).await;
    // All gateways receive the change at the same time, and open their next watch calls while the
    // store is silent.
    let changed = Instant::now();
    system.configure(2, &["second"]).await;
    system.store_control("fault/silent").await;
    wait_accepted(&system, "second").await;
    wait_watches_open(&system, changed).await;
    system.store_control("fault/none").await;
    let began = Instant::now();
    system.configure(3, &["third"]).await;
    let took = wait_accepted(&system, "third").await - began;
    assert!(took < BOUND, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn applies_configurations_despite_silent_connections_to_the_store() {
    let mut system = System::start(PLAN).await;
    let changed = Instant::now();
    system.configure(2, &["second"]).await;
    wait_accepted(&system, "second").await;
    wait_watches_open(&system, changed).await;
    for gateway in 0..PLAN.gateways {
        system.link(&format!("store-gateway-{gateway}"), "silence").await;
    }
    let began = Instant::now();
    system.configure(3, &["third"]).await;
    let took = wait_accepted(&system, "third").await - began;
    assert!(took < BOUND, "{took:?}");
}

/// Returns the revision of the key of the first group's driver, if there is one.
async fn term(system: &System) -> Option<u64> {
    let page = system.control.read("/v1/kv-range?path_prefix=loftcove/drivers/").await;
    page["items"][0]["revision"].as_u64()
}

#[tokio::test(flavor = "multi_thread")]
async fn keeps_the_driver_despite_silent_connections_to_the_store() {
    let mut system = System::start(Plan { ranks: 4, sidecars: true, ..PLAN }).await;
    until("a sidecar drives", || async { term(&system).await.is_some() }).await;
    let before = term(&system).await;
    // The silence is repeated because it starts at an arbitrary time between two renewals.
    for _ in 0..4 {
        for rank in 0..4 {
            system.link(&format!("store-sidecar-{rank}"), "silence").await;
        }
        let end = Instant::now() + Duration::from_millis(3_700);
        while Instant::now() < end {
            assert_eq!(term(&system).await, before);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Returns the number of lines, in all sidecars' logs, about a sidecar that did not answer.
fn unanswered(system: &System) -> usize {
    let matches = |line: &&String| {
        line.contains("sidecar silent engine=") || line.contains("sidecar passed over engine=")
    };
    system.sidecars.iter().map(|sidecar| sidecar.log().iter().filter(matches).count()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn reconnects_to_sidecars_with_silent_connections() {
    let mut system = System::start(Plan { ranks: 4, sidecars: true, ..PLAN }).await;
    let mut client = system.client(0).await;
    let load = tokio::spawn(async move {
        loop {
            let request = Request::new("/draft/").with("x-standin-events", "100");
            let Some(response) = client.send(&request).await else { return };
            loftcove_tests::client::read(response).await;
        }
    });
    let switches =
        async |system: &System| system.group_state().await["switches"].as_u64().unwrap_or(0);
    until("the group has switched to a map", || async { switches(&system).await > 0 }).await;
    for rank in 0..4 {
        system.link(&format!("sidecar-{rank}"), "silence").await;
    }
    // This is longer than the detection of the silence takes.
    tokio::time::sleep(BOUND / 2).await;
    let before = (unanswered(&system), switches(&system).await);
    for expert in [3, 11, 7] {
        system.group_control(&format!("/popular?expert={expert}")).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    until("the group has switched to another map", || async { switches(&system).await > before.1 })
        .await;
    assert_eq!(unanswered(&system), before.0);
    load.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn loses_one_request_at_most_to_silent_connections_of_a_backend_server() {
    let mut system = System::start(Plan { gateways: 1, plain: 1, ..PLAN }).await;
    // Concurrent requests leave one open connection each.
    let requests: Vec<Request> = (0..4).map(|_| Request::new("/alert/")).collect();
    let together = requests.iter().map(|request| system.request(0, request));
    for answer in futures_util::future::join_all(together).await {
        assert_eq!(answer.status, 200);
    }
    system.link("plain-0", "silence").await;
    let lost = system.request(0, &Request::new("/alert/")).await.status;
    assert_ne!(lost, 200);
    for _ in 0..4 {
        assert_eq!(system.request(0, &Request::new("/alert/")).await.status, 200);
    }
}

/// Returns the number of connections to an address with an active keep-alive timer, from the
/// kernel's table. The test reads the timer because a path that drops all packets cannot be set
/// up without privileges.
fn probed_connections(address: std::net::SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { return 0 };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row.get(2) == Some(&&*remote) && row[5].starts_with("02:")).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn probes_connections_to_backend_servers() {
    let system = System::start(Plan { gateways: 1, plain: 1, ..PLAN }).await;
    assert_eq!(system.request(0, &Request::new("/alert/")).await.status, 200);
    assert!(probed_connections(system.plain_address(0)) > 0);
}
