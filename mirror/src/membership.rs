//! Which backend servers are the ranks of one lock-step group.
//!
//! Only the engines know: the driver of a group, who has asked them all, writes
//! it to the store when it has changed. So gateways need not ask engines, and
//! still know it while the driver or the store is away.

use std::net::SocketAddr;
use std::sync::Arc;

use loftcove_interface::store::{self, Store};
use serde::{Deserialize, Serialize};

use crate::{Mirror, OWN_PREFIX};

/// The members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Service that the group belongs to.
    pub service: Arc<str>,
    /// Where its engines take requests, in ascending order. An engine that
    /// starts again at its address has the same rank.
    pub members: Vec<SocketAddr>,
}

fn prefix() -> String {
    format!("{OWN_PREFIX}groups/")
}

fn read(record: &loftcove_decision::mirror::Record) -> Option<Entry> {
    match serde_json::from_slice(record.value.as_ref()?) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::error!("membership not readable key={} error=\"{error}\"", record.key);
            None
        }
    }
}

/// The groups that are known, by name.
pub fn entries(mirror: &Mirror) -> Vec<(Arc<str>, Entry)> {
    let prefix = prefix();
    let records = mirror.below(&prefix);
    let named = records.iter().filter_map(|record| {
        let name = record.key.strip_prefix(&prefix)?.into();
        Some((name, read(record)?))
    });
    named.collect()
}

/// The members of a group as they were last written; none where they never were.
pub fn entry(mirror: &Mirror, group: &str) -> Entry {
    let record = mirror.record(&format!("{}{group}", prefix()));
    record.as_ref().and_then(read).unwrap_or_default()
}

/// Writes the members of a group if they are others than before. Where it
/// fails, the next driver or epoch tries again; until then gateways know the
/// members of before.
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
