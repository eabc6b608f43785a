//! Connections between hosts that go silent: all their packets are dropped from then on, while new
//! connections work.

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

/// Starts a follower of a host through a proxy.
async fn follower(proxy: &Proxy, address: SocketAddr) -> Arc<Mirror> {
    let answer = proxy.obey(&format!("target host norte {address}")).await.unwrap();
    let seed = answer.rsplit(' ').next().unwrap().parse().unwrap();
    let mirror: Arc<Mirror> = Arc::default();
    let own = follow::LocalHost { name: "f".into(), zone: "norte".into(), address: None };
    let peers = Arc::new(follow::Peers::new(own, vec![seed]));
    tokio::spawn(follow::run(mirror.clone(), peers, 0));
    mirror
}

async fn wait_for(mirror: &Mirror, key: &str) -> Duration {
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

/// Returns the number of established connections that were accepted at an address, from the
/// kernel's table.
fn accepted(address: SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { return 0 };
    let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row.get(1) == Some(&&*local) && row[3] == "01").count()
}

/// Silences the connection of a follower to a host. Returns the host's address and the time until
/// the follower received the next record.
async fn silence_connection() -> (SocketAddr, Duration) {
    let (source, address) = host("norte").await;
    let proxy = Proxy::default();
    let mirror = follower(&proxy, address).await;
    source.apply(vec![record("first", 1)], Source::Store);
    wait_for(&mirror, "first").await;
    proxy.obey("link * host silence").await.unwrap();
    source.apply(vec![record("second", 2)], Source::Store);
    (address, wait_for(&mirror, "second").await)
}

#[tokio::test]
async fn a_follower_reconnects_within_seconds_after_its_connection_went_silent() {
    let (_, took) = silence_connection().await;
    // The users' bound is two seconds; the rest is a margin for a busy machine.
    assert!(took < Duration::from_secs(4), "{took:?}");
}

#[tokio::test]
async fn a_host_closes_a_connection_that_went_silent() {
    let (address, _) = silence_connection().await;
    // The follower has abandoned the silent connection, and no packet informs the host.
    assert_eq!(accepted(address), 2);
    let began = Instant::now();
    while accepted(address) > 1 {
        assert!(began.elapsed() < Duration::from_secs(8));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
