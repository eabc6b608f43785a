//! Zones of the followed peers. The first follower of a host follows a peer in its own zone and the
//! others follow peers in other zones, even if only a seed elsewhere was known at the start.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_mirror::{Mirror, OWN_PREFIX, Source, follow, register};

use common::host;

fn entry(name: &str, zone: &str, address: SocketAddr, revision: u64) -> Record {
    let entry = register::Entry { address, zone: zone.into() };
    let value = serde_json::to_vec(&entry).unwrap();
    let key = format!("{OWN_PREFIX}gateways/{name}").into();
    Record { key, revision: Revision::new(0, revision), value: Some(value.into()) }
}

/// Starts a follower of a host in `norte` with one seed, which knows all hosts, and waits until it
/// has received the record that only the host in the wanted zone has.
async fn follows_into(follower: usize, seed_zone: &str, wanted_zone: &str) {
    let (seed, seed_address) = host(seed_zone).await;
    let (wanted, wanted_address) = host(wanted_zone).await;
    let entries = vec![
        entry("seed", seed_zone, seed_address, 1),
        entry("wanted", wanted_zone, wanted_address, 2),
    ];
    seed.apply(entries, Source::Store);
    let update =
        Record { key: "news".into(), revision: Revision::new(0, 3), value: Some("x".into()) };
    wanted.apply(vec![update], Source::Store);
    let mirror: Arc<Mirror> = Arc::default();
    let own = follow::LocalHost { name: "f".into(), zone: "norte".into(), address: None };
    let peers = Arc::new(follow::Peers::new(own, vec![seed_address]));
    tokio::spawn(follow::run(mirror.clone(), peers, follower));
    let mut changes = mirror.subscribe();
    let received = async {
        while mirror.get("news").is_none() {
            changes.changed().await.unwrap();
        }
    };
    tokio::time::timeout(Duration::from_secs(10), received).await.unwrap();
}

#[tokio::test]
async fn the_first_follower_switches_to_its_own_zone() {
    follows_into(0, "sul", "norte").await;
}

#[tokio::test]
async fn the_second_follower_switches_to_another_zone() {
    follows_into(1, "norte", "sul").await;
}
