//! Members of lock-step groups: the backend servers that are the ranks of each group.
//!
//! Only the engines know the membership. The driver of a group queries all its engines and writes
//! the members to the store when they change. Gateways therefore need not query engines, and they
//! know the members while the driver or the store is unavailable.

use std::net::SocketAddr;
use std::sync::Arc;

use loftcove_interface::store::{self, Store};
use serde::{Deserialize, Serialize};

use crate::{Mirror, OWN_PREFIX};

/// Members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Service that the group belongs to.
    pub service: Arc<str>,
    /// Addresses at which its engines accept requests, in ascending order. An engine that restarts
    /// at its address has the same rank.
    pub members: Vec<SocketAddr>,
}

fn prefix() -> String {
    format!("{OWN_PREFIX}groups/")
}

fn read(record: &loftcove_decision::mirror::Record) -> Option<Entry> {
    match serde_json::from_slice(record.value.as_ref()?) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::error!("invalid membership record key={} error=\"{error}\"", record.key);
            None
        }
    }
}

/// Returns the known groups with their names.
pub fn entries(mirror: &Mirror) -> Vec<(Arc<str>, Entry)> {
    let prefix = prefix();
    let records = mirror.below(&prefix);
    let named = records.iter().filter_map(|record| {
        let name = record.key.strip_prefix(&prefix)?.into();
        Some((name, read(record)?))
    });
    named.collect()
}

/// Returns the members of a group as last written. The entry is empty if none was written.
pub fn entry(mirror: &Mirror, group: &str) -> Entry {
    let record = mirror.record(&format!("{}{group}", prefix()));
    record.as_ref().and_then(read).unwrap_or_default()
}

/// Writes the members of a group if they changed. After a failure, the next driver or epoch retries
/// the write; until then gateways use the previous members.
pub async fn publish<S: Store>(store: &S, mirror: &Mirror, group: &str, entry: &Entry) {
    let key: Arc<str> = format!("{}{group}", prefix()).into();
    let before = mirror.record(&key);
    if before.as_ref().and_then(read).as_ref() == Some(entry) {
        return;
    }
    let value = match serde_json::to_vec(entry) {
        Ok(value) => value,
        Err(error) => {
            log::error!("membership not written group={group} error=\"{error}\"");
            return;
        }
    };
    let write = store::Write {
        key,
        value: Some(value.into()),
        expected: Some(before.map_or(store::Revision::ZERO, |record| record.revision)),
        lease: None,
    };
    match store.write(&write).await {
        Ok(outcome) => {
            log::info!(
                "membership group={group} members={} outcome={outcome:?}",
                entry.members.len()
            );
        }
        Err(error) => log::warn!("membership not written group={group} error=\"{error}\""),
    }
}
