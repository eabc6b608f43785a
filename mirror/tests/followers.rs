//! Hosts that all start with one seed spread over each other.
//!
//! The pattern: a whole fleet starts at once, and each host knows the seeds alone.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_mirror::{Mirror, Source, follow, followers};

use common::host;

/// Time within which all are to know: the users' shortest bound for a change.
const BOUND: Duration = Duration::from_millis(2_000);

fn record(revision: u64) -> Record {
    Record {
        key: "servers/i-1".into(),
        revision: Revision::new(0, revision),
        value: Some("{}".into()),
    }
}

fn follow(mirror: &Arc<Mirror>, name: usize, address: Option<SocketAddr>, seed: SocketAddr) {
    let own =
        follow::LocalHost { name: format!("host-{name}").into(), zone: "norte".into(), address };
    let peers = Arc::new(follow::Peers::new(own, vec![seed]));
    tokio::spawn(follow::run(mirror.clone(), peers, 0));
}

async fn all_know(mirrors: &[Arc<Mirror>], revision: u64) {
    let known = |mirror: &Arc<Mirror>| {
        mirror.record("servers/i-1").is_some_and(|record| record.revision.number >= revision)
    };
    let all = async {
        while !mirrors.iter().all(known) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(BOUND, all).await.expect("all know in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_that_starts_at_once_does_not_hang_on_its_seed() {
    let (seed, at) = host("norte").await;
    seed.apply(vec![record(1)], Source::Store);
    let mut mirrors = Vec::new();
    for name in 0..4 * followers::MAX {
        let (mirror, address) = host("norte").await;
        follow(&mirror, name, Some(address), at);
        mirrors.push(mirror);
    }
    all_know(&mirrors, 1).await;
    seed.apply(vec![record(2)], Source::Store);
    all_know(&mirrors, 2).await;
    let most = mirrors.iter().chain([&seed]).map(|mirror| mirror.followers.count()).max();
    assert!(most <= Some(followers::MAX), "{most:?} followers of one host");
}

/// Sidecars follow, and nobody can follow them.
#[tokio::test(flavor = "multi_thread")]
async fn who_has_nobody_to_go_to_is_taken() {
    let (seed, at) = host("norte").await;
    seed.apply(vec![record(1)], Source::Store);
    let mirrors: Vec<Arc<Mirror>> = (0..followers::MAX + 20).map(|_| Arc::default()).collect();
    for (name, mirror) in mirrors.iter().enumerate() {
        follow(mirror, name, None, at);
    }
    all_know(&mirrors, 1).await;
}

/// One that is named may be gone: whoever was redirected comes back, and insists.
#[tokio::test(flavor = "multi_thread")]
async fn who_is_redirected_to_hosts_that_are_gone_is_taken_in_the_end() {
    let (seed, at) = host("norte").await;
    seed.apply(vec![record(1)], Source::Store);
    let mirrors: Vec<Arc<Mirror>> = (0..followers::MAX + 4).map(|_| Arc::default()).collect();
    for (name, mirror) in mirrors.iter().enumerate() {
        let gone = ([127, 9, 0, name as u8], 9).into();
        follow(mirror, name, Some(gone), at);
    }
    all_know(&mirrors, 1).await;
}
