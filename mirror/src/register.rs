//! Registration of gateways in the store, under a lease, for their peers.
//!
//! Each renewal of the lease also checks whether the store answers. The watches use other
//! connections and have separate checks ([`crate::watch`]).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::store::{self, Store};
use loftcove_line::field;
use serde::{Deserialize, Serialize};

use crate::{Mirror, OWN_PREFIX};

/// Time for which an entry outlives its owner. Peers skip an unreachable one without waiting for
/// its expiry.
const TTL: Duration = Duration::from_secs(20);
/// Interval between two renewals of a gateway that watches the store or gets no answer from it. A
/// renewal costs a tenth of a read.
const RENEWAL: Duration = Duration::from_millis(1_500);
/// Interval between two renewals of a gateway that relies on peers. Such a gateway hardly needs the
/// renewal as a check of the store, and the entry outlives three lost renewals.
const SLOW_RENEWAL: Duration = Duration::from_secs(5);

/// Entry of a gateway.
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

/// Returns the registered gateways with their names.
pub fn entries(mirror: &Mirror) -> Vec<(Arc<str>, Entry)> {
    let prefix = prefix();
    let records = mirror.below(&prefix).into_iter();
    let read = |record: loftcove_decision::mirror::Record| {
        let name = record.key.strip_prefix(&prefix)?.into();
        match serde_json::from_slice(record.value.as_deref()?) {
            Ok(entry) => Some((name, entry)),
            Err(error) => {
                if mirror.reported.insert(&record) {
                    log::error!(
                        "invalid gateway entry key={} error={error}",
                        field::Text(&record.key),
                        error = field::Quoted(&error)
                    );
                }
                None
            }
        }
    };
    records.filter_map(read).collect()
}

/// Number of gateways that watch the store, over all zones. Each one costs calls to the store for
/// every change. A store that rejects a third of all hosts rejects all nine once in 20,000 times.
const WATCHERS: usize = 9;
/// Minimum and maximum number of gateways of one zone that watch the store. With two, a change is
/// delayed only if both of them and their peers in other zones miss it. Gateways that lack peers
/// watch as well.
const WATCHERS_PER_ZONE: (usize, usize) = (2, 3);
/// Number of peers that a gateway must follow to rely on them. Two are not enough, as both may be
/// partitioned together with the gateway.
const MIN_RELIED_PEERS: usize = 3;
/// Time after its start for which a gateway waits for its first peers to send all records, instead
/// of reading them from the store. If hundreds of gateways start at once, each read would cost the
/// store several calls. Peers answer within half a second, or within a second if the first
/// connection is to a host that is still down. Seeds, which other gateways ask first, read from the
/// store immediately.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Part of the shortest bound for a change during which a gateway that has lost a peer still relies
/// on the remaining ones, if they reach the store. Meanwhile it connects to another peer; after a
/// partition some of those that it tries are gone. The rest of the bound is for reading all records
/// from the store.
const PEER_CHANGE_SHARE: f64 = 0.3;

/// This gateway, as far as it matters for watching the store.
#[derive(Debug, Clone)]
pub struct Own {
    /// Name of the host.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Whether it is a seed, which other gateways ask first when they start.
    pub seed: bool,
    /// Shortest bound within which a change must take effect.
    pub bound: Duration,
}

/// Returns whether a gateway must watch the store itself: it is one of the first of its zone, or it
/// has too few peers, or the store answers it while none of its peers reaches the store.
pub fn watches(mirror: &Mirror, own: &Own) -> bool {
    let entries = entries(mirror);
    let starting = !own.seed && mirror.origin.elapsed() < FIRST_UPDATE_TIMEOUT;
    let watcher = match zone_position(&entries, own) {
        Some(position) => position < watchers_per_zone(&entries),
        None => !starting,
    };
    mirror.distance.set_watcher(watcher);
    watcher || !(starting || can_rely_on_peers(mirror, own.bound))
}

/// Returns the position of a gateway among those of its zone, or none if its registration is not
/// yet known.
fn zone_position(entries: &[(Arc<str>, Entry)], own: &Own) -> Option<usize> {
    let zone = entries.iter().filter(|(_, entry)| entry.zone == own.zone);
    zone.map(|(name, _)| name).position(|name| *name == own.name)
}

fn watchers_per_zone(entries: &[(Arc<str>, Entry)]) -> usize {
    let zones: BTreeSet<&Arc<str>> = entries.iter().map(|(_, entry)| &entry.zone).collect();
    let (least, most) = WATCHERS_PER_ZONE;
    WATCHERS.div_ceil(zones.len().max(1)).clamp(least, most)
}

/// Returns whether a gateway may rely on the peers that it follows, or could until recently.
fn can_rely_on_peers(mirror: &Mirror, bound: Duration) -> bool {
    let followed = mirror.followed.load(std::sync::atomic::Ordering::Relaxed);
    let reached = mirror.distance.peers_reach_store() || !mirror.health.available();
    let enough = reached && followed >= MIN_RELIED_PEERS;
    mirror.relied.update(enough, reached, bound.mul_f64(PEER_CHANGE_SHARE))
}

/// Time at which a gateway last had enough peers.
#[derive(Debug, Default)]
pub struct Relied {
    last: Mutex<Option<boot::Instant>>,
}

impl Relied {
    /// Records whether the gateway now has enough peers, and returns whether it may rely on them:
    /// it has enough, or it had enough within `grace` and its peers reach the store (`reached`).
    fn update(&self, enough: bool, reached: bool, grace: Duration) -> bool {
        // Each change is one assignment, so a poisoned lock can be used.
        let mut last = self.last.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if enough {
            *last = Some(boot::Instant::now());
        }
        enough || reached && last.is_some_and(|at| at.elapsed() < grace)
    }
}

/// Runs the task that keeps the gateway's entry registered until the process exits.
pub async fn run<S: Store>(mirror: Arc<Mirror>, store: Arc<S>, name: Arc<str>, entry: Entry) {
    let mut lease = None;
    loop {
        let mut rest = Duration::ZERO;
        let result = match lease {
            None => register(&*store, &name, &entry).await.map(Some),
            Some(lease) => match store.renew(lease).await {
                Ok(true) => Ok(Some(lease)),
                Ok(false) => Ok(None),
                Err(error) => Err(error),
            },
        };
        match result {
            Ok(next) => {
                mirror.store_answered();
                let expired = lease.is_some() && next.is_none();
                lease = next;
                if expired {
                    log::warn!("registration expired next=register");
                    continue;
                }
            }
            Err(error) => {
                if !error.is_outage() {
                    let cause = error.cause();
                    log::warn!(
                        "registration failed cause={cause} error={} next=retry",
                        field::Quoted(&error)
                    );
                }
                mirror.store_failed(&error);
                // The entry outlives several renewals at the slower interval.
                rest = error.rest().min(SLOW_RENEWAL);
            }
        }
        let slow = mirror.health.available() && mirror.progress.watches().is_empty();
        let pause = if slow { SLOW_RENEWAL } else { RENEWAL };
        tokio::time::sleep(pause.max(rest)).await;
    }
}

async fn register<S: Store>(
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
