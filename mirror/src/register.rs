//! Registers a gateway with its peers, under a lease in the store.
//!
//! Renewing the lease is also a check whether the store answers at all. The
//! watches are on other connections and have checks of their own ([`crate::watch`]).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loftcove_interface::store::{self, Store};
use serde::{Deserialize, Serialize};

use crate::{Mirror, OWN_PREFIX};

/// How long an entry outlasts its owner. Peers skip a dead one by themselves.
const TTL: Duration = Duration::from_secs(20);
/// Time between two renewals; a renewal costs a tenth of a read.
const RENEWAL: Duration = Duration::from_millis(1_500);

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

/// Gateways of an availability zone that watch the store. Each costs calls of
/// the store; with three it takes all of them, and their peers in the other
/// zones, to be turned down by the store for a change not to be heard of at
/// once, and who lacks peers watches as well.
const WATCHERS: usize = 3;
/// Peers that a gateway must follow to rely on them: two that are cut off
/// together with it are not enough.
const RELIED_ON: usize = 3;

/// Whether a gateway is to watch the store itself: it is one of the first of
/// its zone, or it has too few peers, or the store answers it while none of
/// them is within reach of the store.
pub fn watches(mirror: &Mirror, own: &str, zone: &str) -> bool {
    let entries = entries(mirror);
    let zone = entries.iter().filter(|(_, entry)| *entry.zone == *zone);
    let place = zone.map(|(name, _)| name).position(|name| **name == *own);
    let followed = mirror.followed.load(std::sync::atomic::Ordering::Relaxed);
    let reached = mirror.distance.peers_reach() || !mirror.health.up();
    let relies = followed >= RELIED_ON && reached;
    let watcher = place.is_none_or(|place| place < WATCHERS);
    mirror.distance.set_watcher(watcher);
    watcher || !relies
}

/// Keeps the entry until the process ends.
pub async fn run<S: Store>(mirror: Arc<Mirror>, store: Arc<S>, name: Arc<str>, entry: Entry) {
    let mut lease = None;
    loop {
        let result = match lease {
            None => begin(&*store, &name, &entry).await.map(Some),
            Some(lease) => match store.keep(lease).await {
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
            Err(error) => mirror.store_failed(&error),
        }
        tokio::time::sleep(RENEWAL).await;
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
