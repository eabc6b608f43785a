//! Connections between hosts that fall silent for good, while new ones work.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_mirror::{Mirror, Source, follow};
use loftcove_standins::proxy::Proxy;

use common::host;

/// A follower of a host through a proxy.
async fn follower(proxy: &Proxy, address: SocketAddr) -> Arc<Mirror> {
    let answer = proxy.obey(&format!("target host norte {address}")).await.unwrap();
    let seed = answer.rsplit(' ').next().unwrap().parse().unwrap();
    let mirror: Arc<Mirror> = Arc::default();
    let own = follow::LocalHost { name: "f".into(), zone: "norte".into(), address: None };
    let peers = Arc::new(follow::Peers::new(own, vec![seed]));
    tokio::spawn(follow::run(mirror.clone(), peers, 0));
    mirror
}

async fn hears(mirror: &Mirror, key: &str) -> Duration {
    let began = Instant::now();
    let mut changes = mirror.subscribe();
    while mirror.get(key).is_none() {
        changes.changed().await.unwrap();
    }
    began.elapsed()
}

fn record(key: &str, revision: u64) -> Record {
    Record { key: key.into(), revision: Revision::new(0, revision), value: Some("x".into()) }
}

/// Connections that were accepted at an address and are open, by the system's
/// own table.
fn accepted(address: SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { return 0 };
    let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row.get(1) == Some(&&*local) && row[3] == "01").count()
}

/// Silences the connection of a follower to a host; returns where the host is
/// and how long it took until the follower heard of something new.
async fn silenced() -> (SocketAddr, Duration) {
    let (source, address) = host("norte").await;
    let proxy = Proxy::default();
    let mirror = follower(&proxy, address).await;
    source.apply(vec![record("first", 1)], Source::Store);
    hears(&mirror, "first").await;
    proxy.obey("link * host silence").await.unwrap();
    source.apply(vec![record("second", 2)], Source::Store);
    (address, hears(&mirror, "second").await)
}

#[tokio::test]
async fn a_follower_whose_connection_falls_silent_hears_again_within_seconds() {
    let (_, took) = silenced().await;
    // Two seconds for the users; some more on a machine that is busy.
    assert!(took < Duration::from_secs(4), "{took:?}");
}

#[tokio::test]
async fn a_host_lets_go_of_a_connection_that_fell_silent() {
    let (address, _) = silenced().await;
    // The follower has left the silent connection, and nothing tells the host.
    assert_eq!(accepted(address), 2);
    let began = Instant::now();
    while accepted(address) > 1 {
        assert!(began.elapsed() < Duration::from_secs(8));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
