//! Registers a gateway with its peers, under a lease in the store.
//!
//! Renewing the lease is also a check whether the store answers at all. The
//! watches are on other connections and have checks of their own ([`crate::watch`]).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::store::{self, Store};
use serde::{Deserialize, Serialize};

use crate::{Mirror, OWN_PREFIX};

/// How long an entry outlasts its owner. Peers skip a dead one by themselves.
const TTL: Duration = Duration::from_secs(20);
/// Time between two renewals of one that watches the store, or that the store
/// does not answer; a renewal costs a tenth of a read.
const RENEWAL: Duration = Duration::from_millis(1_500);
/// The same for one that relies on peers. What a renewal shows of the store
/// matters little to it, and the entry outlasts three that are lost.
const SLOW_RENEWAL: Duration = Duration::from_secs(5);

/// A gateway's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address for its peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
}

fn prefix() -> String {
    format!("{OWN_PREFIX}gateways/")
}

/// The gateways that are registered, by name.
pub fn entries(mirror: &Mirror) -> Vec<(Arc<str>, Entry)> {
    let prefix = prefix();
    let records = mirror.below(&prefix).into_iter();
    let read = |record: loftcove_decision::mirror::Record| {
        let name = record.key.strip_prefix(&prefix)?.into();
        match serde_json::from_slice(&record.value?) {
            Ok(entry) => Some((name, entry)),
            Err(error) => {
                log::error!("gateway entry not readable key={} error=\"{error}\"", record.key);
                None
            }
        }
    };
    records.filter_map(read).collect()
}

/// Gateways that watch the store over all zones, and the least and most of one
/// zone. Each costs calls of the store, for every change. With nine, a store
/// that rejects a third of all hosts rejects all of them once in 20,000
/// times; with two of a zone it takes both, and their peers in other zones, for
/// a change not to be heard of at once, and who lacks peers watches as well.
const WATCHERS: usize = 9;
const WATCHERS_OF_ZONE: (usize, usize) = (2, 3);
/// Peers that a gateway must follow to rely on them: two that are cut off
/// together with it are not enough.
const RELIED_ON: usize = 3;
/// Time from its start in which a gateway expects its first peers to tell it
/// everything, rather than reading it all from the store: hundreds that start
/// at once would cost it several calls each. Peers tell within half a second, or
/// a second where the first connection finds a host that is still down; of those
/// that others ask first, the seeds, each reads by itself.
const FIRST_NEWS: Duration = Duration::from_millis(1_500);
/// Part of the shortest bound for a change for which a gateway that has lost a
/// peer still relies on those that are left, if they reach the store: it looks
/// for another meanwhile, and after a cut it tries some that are gone. What is
/// left of the bound is for reading everything from the store.
const CHANGE_OF_PEER: f64 = 0.3;

/// A gateway that may watch the store.
#[derive(Debug, Clone)]
pub struct Own {
    /// Name of the host.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether others ask it first when they start.
    pub seed: bool,
    /// Shortest time within which a change is to be in force.
    pub bound: Duration,
}

/// Whether a gateway is to watch the store itself: it is one of the first of
/// its zone, or it has too few peers, or the store answers it while none of
/// them is within reach of the store.
pub fn watches(mirror: &Mirror, own: &Own) -> bool {
    let entries = entries(mirror);
    let starting = !own.seed && mirror.origin.elapsed() < FIRST_NEWS;
    let watcher = match place(&entries, own) {
        Some(place) => place < watchers_of_zone(&entries),
        None => !starting,
    };
    mirror.distance.set_watcher(watcher);
    watcher || !(starting || relies(mirror, own.bound))
}

/// Place of a gateway among those of its zone; `None` where it is not yet known
/// to be registered.
fn place(entries: &[(Arc<str>, Entry)], own: &Own) -> Option<usize> {
    let zone = entries.iter().filter(|(_, entry)| entry.zone == own.zone);
    zone.map(|(name, _)| name).position(|name| *name == own.name)
}

fn watchers_of_zone(entries: &[(Arc<str>, Entry)]) -> usize {
    let zones: BTreeSet<&Arc<str>> = entries.iter().map(|(_, entry)| &entry.zone).collect();
    let (least, most) = WATCHERS_OF_ZONE;
    WATCHERS.div_ceil(zones.len().max(1)).clamp(least, most)
}

/// Whether a gateway may rely on the peers that it follows, or did until just now.
fn relies(mirror: &Mirror, bound: Duration) -> bool {
    let followed = mirror.followed.load(std::sync::atomic::Ordering::Relaxed);
    let reached = mirror.distance.peers_reach_store() || !mirror.health.available();
    let enough = reached && followed >= RELIED_ON;
    mirror.relied.look(enough, reached, bound.mul_f64(CHANGE_OF_PEER))
}

/// When a gateway last had enough peers.
#[derive(Debug, Default)]
pub struct Relied {
    last: Mutex<Option<boot::Instant>>,
}

impl Relied {
    /// Takes whether it has enough peers now, and whether any of them reaches the
    /// store; returns whether it may rely on them, having had enough within `patience`.
    fn look(&self, enough: bool, reached: bool, patience: Duration) -> bool {
        // Each change is one assignment.
        let mut last = self.last.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if enough {
            *last = Some(boot::Instant::now());
        }
        enough || reached && last.is_some_and(|at| at.elapsed() < patience)
    }
}

/// Keeps the entry until the process ends.
pub async fn run<S: Store>(mirror: Arc<Mirror>, store: Arc<S>, name: Arc<str>, entry: Entry) {
    let mut lease = None;
    loop {
        let mut rest = Duration::ZERO;
        let result = match lease {
            None => begin(&*store, &name, &entry).await.map(Some),
            Some(lease) => match store.renew(lease).await {
                Ok(true) => Ok(Some(lease)),
                Ok(false) => Ok(None),
                Err(error) => Err(error),
            },
        };
        match result {
            Ok(next) => {
                mirror.store_answered();
                let over = lease.is_some() && next.is_none();
                lease = next;
                if over {
                    log::warn!("registration lapsed next=register");
                    continue;
                }
            }
            Err(error) => {
                mirror.store_failed(&error);
                // The entry outlasts several renewals of the slower kind.
                rest = error.rest().min(SLOW_RENEWAL);
            }
        }
        let slow = mirror.health.available() && mirror.progress.watches().is_empty();
        let pause = if slow { SLOW_RENEWAL } else { RENEWAL };
        tokio::time::sleep(pause.max(rest)).await;
    }
}

async fn begin<S: Store>(
    store: &S,
    name: &str,
    entry: &Entry,
) -> Result<store::Lease, store::Error> {
    let lease = store.grant(TTL).await?;
    let value = serde_json::to_vec(entry)
        .map_err(|error| store::Error::Protocol { status: 0, reason: error.to_string() })?;
    let write = store::Write {
        key: format!("{}{name}", prefix()).into(),
        value: Some(value.into()),
        expected: None,
        lease: Some(lease),
    };
    match store.write(&write).await? {
        store::Outcome::Done(_) => Ok(lease),
        outcome => Err(store::Error::Protocol { status: 0, reason: format!("{outcome:?}") }),
    }
}
