//! What gateways tell each other of requests that end backend servers.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::poison::{Digest, RETENTION, SETTLE_TIME, Standing};
use loftcove_decision::revision::Revision;
use loftcove_decision::{fleet, mirror};
use loftcove_interface::store::Lease;
use loftcove_mirror::{Mirror, Source, ends, follow};
use loftcove_standins::calls::{Calls, Plan};
use loftcove_standins::proxy::Proxy;

use common::host;

/// Time within which all gateways that reach each other are to know: the users' bound.
const BOUND: Duration = Duration::from_millis(3_000);

fn run(number: u32) -> fleet::Run {
    fleet::Run { id: format!("server-{number}").into(), born: Some(7) }
}

fn guilty() -> Digest {
    Digest::of(&[b"guilty"])
}

fn follow(mirror: &Arc<Mirror>, address: SocketAddr) {
    let own = follow::Own { name: "f".into(), zone: "norte".into(), address: None };
    let peers = Arc::new(follow::Peers::new(own, vec![address]));
    tokio::spawn(follow::run(mirror.clone(), peers, 0));
}

/// Servers that it ended, once the host refuses the request.
async fn refuses(mirror: &Mirror) -> u32 {
    tokio::time::timeout(BOUND, mirror.ends.wait_until_refused(guilty()))
        .await
        .expect("heard in time")
}

/// Waits until a host holds just that of the request.
async fn holds(mirror: &Mirror, standing: Standing) {
    let held = async {
        while mirror.ends.standing(guilty()) != standing {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(BOUND, held).await.expect("held in time");
}

/// Each of the ends was seen by another host, and none of these refuses it alone.
#[tokio::test]
async fn ends_that_different_hosts_saw_add_up_over_two_hops() {
    let ((first, at_first), (second, at_second)) = (host("norte").await, host("norte").await);
    let third: Arc<Mirror> = Arc::default();
    follow(&second, at_first);
    follow(&third, at_second);
    first.ends.record_end(&run(1), guilty(), false);
    second.ends.record_end(&run(2), guilty(), false);
    assert_eq!(refuses(&third).await, 2);
    // Who comes later is told everything.
    let late: Arc<Mirror> = Arc::default();
    follow(&late, at_second);
    assert_eq!(refuses(&late).await, 2);
    // The first follows nobody.
    assert_eq!(first.ends.standing(guilty()), Standing::Suspect(1));
}

/// With few peers drawn by lot, some hosts are followed by nobody.
#[tokio::test]
async fn a_host_that_nobody_follows_tells_those_that_it_follows() {
    let (followed, address) = host("norte").await;
    let alone: Arc<Mirror> = Arc::default();
    alone.ends.record_end(&run(1), guilty(), false);
    let own = follow::Own {
        name: "alone".into(),
        zone: "norte".into(),
        address: Some("127.0.0.1:9".parse().unwrap()),
    };
    let peers = Arc::new(follow::Peers::new(own, vec![address]));
    tokio::spawn(follow::run(alone.clone(), peers, 0));
    holds(&followed, Standing::Suspect(1)).await;
    alone.ends.record_end(&run(2), guilty(), false);
    assert_eq!(refuses(&followed).await, 2);
}

#[tokio::test]
async fn who_came_to_its_end_is_cleared_everywhere() {
    let (first, address) = host("norte").await;
    let second: Arc<Mirror> = Arc::default();
    follow(&second, address);
    first.ends.record_end(&run(1), guilty(), false);
    first.ends.record_end(&run(2), guilty(), false);
    refuses(&second).await;
    first.ends.clear(guilty());
    holds(&second, Standing::Sound).await;
    // What is told again does not bring it back.
    first.ends.record_end(&run(1), guilty(), false);
    assert_eq!(first.ends.standing(guilty()), Standing::Sound);
}

/// The pattern: many callers send the same, which is on every server that ends.
/// Another host has seen it come to its end.
#[tokio::test]
async fn what_many_send_alike_is_not_refused() {
    let ((first, at_first), (second, at_second)) = (host("norte").await, host("norte").await);
    follow(&first, at_second);
    follow(&second, at_first);
    second.ends.clear(guilty());
    for number in 1..=3 {
        first.ends.record_end(&run(number), guilty(), false);
        holds(&first, Standing::Sound).await;
    }
    assert_eq!(second.ends.standing(guilty()), Standing::Sound);
}

/// The only connection to a peer falls silent, and new ones work.
#[tokio::test]
async fn news_is_heard_in_time_over_a_connection_that_fell_silent() {
    let (source, address) = host("norte").await;
    let proxy = Proxy::default();
    let answer = proxy.obey(&format!("target host norte {address}")).await.unwrap();
    let mirror: Arc<Mirror> = Arc::default();
    follow(&mirror, answer.rsplit(' ').next().unwrap().parse().unwrap());
    source.ends.record_end(&run(1), guilty(), false);
    holds(&mirror, Standing::Suspect(1)).await;
    proxy.obey("link * host silence").await.unwrap();
    source.ends.record_end(&run(2), guilty(), false);
    assert_eq!(refuses(&mirror).await, 2);
}

/// A host that refuses a request writes it to the store, in a second try, and
/// another one that follows nobody takes it from there.
#[tokio::test]
async fn the_store_is_a_second_way() {
    let store = Arc::new(Calls::new(Plan { lost_grants: 1, ..Plan::default() }));
    let mirror: Arc<Mirror> = Arc::default();
    tokio::spawn(ends::run(mirror.clone(), store.clone()));
    mirror.ends.record_end(&run(1), guilty(), false);
    mirror.ends.record_end(&run(2), guilty(), false);
    let write = async {
        loop {
            if let Some(write) = store.seen().write {
                return write;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let write = tokio::time::timeout(BOUND, write).await.expect("written in time");
    assert_eq!(
        (write.expected, write.lease),
        (Some(Revision::ZERO), Some(Lease { era: 0, id: 1 }))
    );
    assert_eq!(store.seen().grants, [RETENTION, RETENTION], "the first one is lost");
    let record =
        mirror::Record { key: write.key, revision: Revision::new(0, 5), value: write.value };
    let alone: Arc<Mirror> = Arc::default();
    tokio::spawn(ends::run(alone.clone(), Arc::<Calls>::default()));
    alone.apply(vec![record.clone()], Source::Store);
    assert_eq!(refuses(&alone).await, 2);
    // An entry of another writer names nobody.
    let spoilt =
        mirror::Record { value: Some("{".into()), revision: Revision::new(0, 6), ..record };
    alone.apply(vec![spoilt], Source::Store);
    assert_eq!(alone.ends.standing(guilty()), Standing::Refused(2));
}

#[tokio::test]
async fn a_lease_that_is_not_needed_is_ended() {
    let store = Arc::new(Calls::new(Plan { taken: true, ..Plan::default() }));
    let mirror: Arc<Mirror> = Arc::default();
    tokio::spawn(ends::run(mirror.clone(), store.clone()));
    mirror.ends.record_end(&run(1), guilty(), false);
    mirror.ends.record_end(&run(2), guilty(), false);
    let ended = async {
        while store.seen().ended == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(BOUND, ended).await.expect("ended in time");
}

/// Seen: a proper request was refused whose server ended under another one. How: that one had
/// been refused 15 ms after it was sent, its connection closed, and the next suspect sent to
/// the same server, which went on with it.
#[tokio::test]
async fn a_server_that_ends_under_a_request_that_was_given_up_is_held_against_that_one() {
    let ((first, at_first), second) = (host("norte").await, Arc::<Mirror>::default());
    follow(&second, at_first);
    let proper = Digest::of(&[b"proper"]);
    for number in [1, 2] {
        first.ends.record_end(&run(number), guilty(), true);
    }
    first.ends.record_end(&run(1), proper, false);
    assert_eq!(refuses(&second).await, 2);
    first.ends.abandon(&run(3), guilty(), Duration::from_secs(2));
    first.ends.record_end(&run(3), proper, true);
    holds(&second, Standing::Refused(3)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    for host in [&first, &second] {
        assert_eq!(host.ends.standing(proper), Standing::Sound);
        assert_eq!(host.ends.standing(guilty()), Standing::Refused(3));
    }
}
