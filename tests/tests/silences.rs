//! Calls to the store, and open connections to it and between sidecars, that
//! fall silent without a reset, while new ones work.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::{Duration, Instant};

use loftcove_tests::request::Request;
use loftcove_tests::system::{BOUND, Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 3, ranks: 2, groups: 1, plain: 2, sidecars: false, proxied: true };

/// Waits until all gateways take a key; returns when one did last.
async fn all_take(system: &System, key: &str) -> Instant {
    for gateway in 0..PLAN.gateways {
        let taken = || async {
            let request = Request::new("/alert/").key(key);
            system.request(gateway, &request).await.status == 200
        };
        until(&format!("gateway {gateway} takes {key}"), taken).await;
    }
    Instant::now()
}

/// How long a gateway's watch of the configuration has waited; zero between two calls.
async fn waited(system: &System, gateway: u8) -> Duration {
    let name = "loftcove_watch_waited_seconds{prefix=\"op/\"} ";
    let metrics = system.metrics(gateway).await;
    let text = metrics.lines().find_map(|line| line.strip_prefix(name));
    Duration::from_secs_f64(text.map_or(0.0, |text| text.parse().unwrap()))
}

/// Waits until the gateways have opened their watches again after a change that
/// was made at a time.
async fn watches_open(system: &System, changed: Instant) {
    for gateway in 0..PLAN.gateways {
        until("the watch is open again", || async {
            let waited = waited(system, gateway).await;
            !waited.is_zero() && waited < changed.elapsed()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_sent_while_the_store_is_silent_does_not_outlast_the_silence() {
    let mut system = System::start(PLAN).await;
    // All gateways hear of it at the same time, and open their next watches
    // while the store is silent.
    let changed = Instant::now();
    system.configure(2, &["second"]).await;
    system.store_control("fault/silent").await;
    all_take(&system, "second").await;
    watches_open(&system, changed).await;
    system.store_control("fault/none").await;
    let began = Instant::now();
    system.configure(3, &["third"]).await;
    let took = all_take(&system, "third").await - began;
    assert!(took < BOUND, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn open_connections_to_the_store_that_fall_silent_delay_no_configuration() {
    let mut system = System::start(PLAN).await;
    let changed = Instant::now();
    system.configure(2, &["second"]).await;
    all_take(&system, "second").await;
    watches_open(&system, changed).await;
    for gateway in 0..PLAN.gateways {
        system.link(&format!("store-gateway-{gateway}"), "silence").await;
    }
    let began = Instant::now();
    system.configure(3, &["third"]).await;
    let took = all_take(&system, "third").await - began;
    assert!(took < BOUND, "{took:?}");
}

/// Revision of the key of the first group's driver, if it has one.
async fn term(system: &System) -> Option<u64> {
    let page = system.control.read("/v1/kv-range?path_prefix=loftcove/drivers/").await;
    page["items"][0]["revision"].as_u64()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_driver_outlasts_open_connections_to_the_store_that_fall_silent() {
    let mut system = System::start(Plan { ranks: 4, sidecars: true, ..PLAN }).await;
    until("a sidecar drives", || async { term(&system).await.is_some() }).await;
    let before = term(&system).await;
    // More than once: when in the interval of renewals it happens is left open.
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

/// Lines of all sidecars that tell of another one that did not answer.
fn passed_over(system: &System) -> usize {
    let told = |line: &&String| {
        line.contains("sidecar silent engine=") || line.contains("sidecar passed over engine=")
    };
    system.sidecars.iter().map(|sidecar| sidecar.log().iter().filter(told).count()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn sidecars_whose_open_connections_fall_silent_are_reached_again() {
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
    until("the group has gone over to a map", || async { switches(&system).await > 0 }).await;
    for rank in 0..4 {
        system.link(&format!("sidecar-{rank}"), "silence").await;
    }
    // Longer than it takes to notice.
    tokio::time::sleep(BOUND / 2).await;
    let before = (passed_over(&system), switches(&system).await);
    for expert in [3, 11, 7] {
        system.group_control(&format!("/popular?expert={expert}")).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    until("the group has gone over to another map", || async {
        switches(&system).await > before.1
    })
    .await;
    assert_eq!(passed_over(&system), before.0);
    load.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_at_most_is_lost_to_silent_connections_of_a_backend_server() {
    let mut system = System::start(Plan { gateways: 1, plain: 1, ..PLAN }).await;
    // Requests at the same time leave a kept connection each.
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

/// Kept connections to an address whose keep-alive timer runs, by the system's
/// own table. A path that drops every packet cannot be made without privileges.
fn probed_connections(address: std::net::SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { return 0 };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row.get(2) == Some(&&*remote) && row[5].starts_with("02:")).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_backend_servers_are_probed() {
    let system = System::start(Plan { gateways: 1, plain: 1, ..PLAN }).await;
    assert_eq!(system.request(0, &Request::new("/alert/")).await.status, 200);
    assert!(probed_connections(system.plain_address(0)) > 0);
}
