//! A large record is transferred to another zone only if the follower there lacks it.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_mirror::{Mirror, Source, follow};
use loftcove_wire as wire;

use common::host;

const LARGE: usize = 50_000;

fn record(key: &str, revision: u64, bytes: usize) -> Record {
    Record {
        key: key.into(),
        revision: Revision::new(0, revision),
        value: Some(vec![b'x'; bytes].into()),
    }
}

/// Returns the first batch that a follower in a zone receives.
async fn first_batch(address: SocketAddr, zone: &str) -> wire::Batch {
    let url = format!("http://{address}");
    let mut client = wire::mirror_client::MirrorClient::connect(url).await.unwrap();
    let follower =
        wire::Follower { host: "f".to_owned(), zone: zone.to_owned(), ..Default::default() };
    client.follow(follower).await.unwrap().into_inner().message().await.unwrap().unwrap()
}

#[tokio::test]
async fn offers_large_records_to_other_zones_and_sends_them_within_one() {
    let (mirror, address) = host("norte").await;
    mirror.apply(vec![record("large", 5, LARGE), record("small", 6, 10)], Source::Store);
    let same_zone = first_batch(address, "norte").await;
    assert!(same_zone.items.iter().all(|item| !item.offered));
    assert_eq!(same_zone.items[0].value.len(), LARGE);
    let other_zone = first_batch(address, "sul").await;
    assert!(other_zone.items[0].offered && other_zone.items[0].value.is_empty());
    assert!(!other_zone.items[1].offered && other_zone.items[1].value.len() == 10);
}

#[tokio::test]
async fn fetches_an_offered_record_that_the_own_zone_lacks() {
    let (mirror, address) = host("norte").await;
    let follower: Arc<Mirror> = Arc::default();
    let own = follow::LocalHost { name: "f".into(), zone: "sul".into(), address: None };
    let peers = Arc::new(follow::Peers::new(own, vec![address]));
    tokio::spawn(follow::run(follower.clone(), peers, 0));
    mirror.apply(vec![record("large", 5, LARGE)], Source::Store);
    let mut changes = follower.subscribe();
    let received = async {
        while follower.get("large").is_none_or(|value| value.len() != LARGE) {
            changes.changed().await.unwrap();
        }
        mirror.apply(vec![record("large", 9, LARGE + 1)], Source::Store);
        while follower.get("large").is_none_or(|value| value.len() != LARGE + 1) {
            changes.changed().await.unwrap();
        }
    };
    tokio::time::timeout(Duration::from_secs(10), received).await.unwrap();
    assert_eq!(follower.newest_of("large").unwrap().revision.number, 9);
}

#[tokio::test]
async fn a_fetch_of_an_unknown_revision_returns_not_found() {
    let (mirror, address) = host("norte").await;
    mirror.apply(vec![record("large", 5, LARGE)], Source::Store);
    let url = format!("http://{address}");
    let mut client = wire::mirror_client::MirrorClient::connect(url).await.unwrap();
    for (key, revision) in [("large", 6), ("other", 1)] {
        let wanted = wire::Wanted { key: key.to_owned(), revision, era: 0 };
        let status = client.fetch(wanted).await.unwrap_err();
        assert_eq!(status.code(), tonic::Code::NotFound);
    }
}

#[tokio::test]
async fn repeats_an_offer() {
    let (mirror, address) = host("norte").await;
    mirror.apply(vec![record("large", 5, LARGE), record("small", 6, 10)], Source::Store);
    let url = format!("http://{address}");
    let mut client = wire::mirror_client::MirrorClient::connect(url).await.unwrap();
    let follower =
        wire::Follower { host: "f".to_owned(), zone: "sul".to_owned(), ..Default::default() };
    let mut batches = client.follow(follower).await.unwrap().into_inner();
    batches.message().await.unwrap().unwrap();
    let again = tokio::time::timeout(Duration::from_secs(10), batches.message()).await;
    let again = again.unwrap().unwrap().unwrap();
    let keys: Vec<&str> = again.items.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, ["large"]);
    assert!(again.items[0].offered);
}
