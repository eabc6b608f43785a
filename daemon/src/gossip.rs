//! Records that processes replicate among each other: the bundle, the host list, the home table.
//!
//! Each kind has one value, and a higher revision replaces a lower one. Only a few processes watch
//! the platform ([`crate::source`]). The others receive records from peers ([`crate::exchange`]).
//! The number of platform calls therefore does not grow with the fleet. The processes of a zone
//! that is partitioned from the platform still converge to the newest record that any of them has.

use std::collections::BTreeMap;
use std::sync::Mutex;

use arc_swap::ArcSwap;
use bytes::Bytes;
use loftcove_decision::{home, lifecycle};
use loftcove_line::field;
use loftcove_platform::hosts;
use loftcove_wire as wire;
use tokio::sync::watch;

use crate::{explain, force, life};

/// A serialized record with its revision.
#[derive(Debug, Clone, Default)]
struct Entry {
    revision: u64,
    value: Bytes,
}

/// The records of this process, serialized and parsed. Lock order: `entries`, then the gate of the
/// bundle.
pub struct Gossip {
    entries: Mutex<BTreeMap<wire::Kind, Entry>>,
    /// The bundle in force.
    pub force: force::Force,
    hosts: ArcSwap<hosts::Snapshot>,
    homes: ArcSwap<home::table::Table>,
    changed: watch::Sender<u64>,
}

/// Kinds of records, in the order of an offer.
const KINDS: [wire::Kind; 3] = [wire::Kind::Bundle, wire::Kind::Hosts, wire::Kind::Homes];

impl Gossip {
    /// Creates an empty set of records.
    pub fn new(force: force::Force) -> Gossip {
        Gossip {
            entries: Mutex::default(),
            force,
            hosts: ArcSwap::default(),
            homes: ArcSwap::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns the host list.
    pub fn hosts(&self) -> std::sync::Arc<hosts::Snapshot> {
        self.hosts.load_full()
    }

    /// Returns the table of homes.
    pub fn homes(&self) -> std::sync::Arc<home::table::Table> {
        self.homes.load_full()
    }

    /// Returns a receiver that is notified when any record changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the revision of each kind, or zero for a missing record.
    pub fn versions(&self) -> Vec<wire::Version> {
        let entries = self.lock();
        let revision = |kind: &wire::Kind| entries.get(kind).map_or(0, |entry| entry.revision);
        KINDS
            .iter()
            .map(|kind| wire::Version { kind: (*kind).into(), revision: revision(kind) })
            .collect()
    }

    /// Returns the answer to a peer's offer: the records that are newer here, and the kinds that
    /// are newer at the peer.
    pub fn answer(&self, offer: &[wire::Version]) -> wire::Update {
        let entries = self.lock();
        let mut update = wire::Update::default();
        for kind in KINDS {
            let theirs = offer.iter().find(|version| version.kind() == kind);
            let theirs = theirs.map_or(0, |version| version.revision);
            let ours = entries.get(&kind).cloned().unwrap_or_default();
            if ours.revision > theirs {
                update.records.push(record(kind, &ours));
            } else if ours.revision < theirs {
                update.wanted.push(kind.into());
            }
        }
        update
    }

    /// Returns the records of the given kinds, without missing ones.
    pub fn records(&self, kinds: impl Iterator<Item = wire::Kind>) -> Vec<wire::Record> {
        let entries = self.lock();
        kinds.filter_map(|kind| entries.get(&kind).map(|entry| record(kind, entry))).collect()
    }

    /// Applies a record if it is newer and valid. Returns whether it was applied.
    pub fn apply(
        &self,
        record: wire::Record,
        lifecycle: &life::Lifecycle,
        history: &explain::History,
    ) -> bool {
        let kind = record.kind();
        let mut entries = self.lock();
        if entries.get(&kind).is_some_and(|entry| entry.revision >= record.revision) {
            return false;
        }
        if !self.apply_value(kind, &record, lifecycle, history) {
            return false;
        }
        entries.insert(kind, Entry { revision: record.revision, value: record.value });
        drop(entries);
        self.changed.send_modify(|count| *count += 1);
        true
    }

    fn apply_value(
        &self,
        kind: wire::Kind,
        record: &wire::Record,
        lifecycle: &life::Lifecycle,
        history: &explain::History,
    ) -> bool {
        match kind {
            wire::Kind::Unspecified => false,
            wire::Kind::Bundle => match self.force.apply(&record.value) {
                Ok(bundle) => {
                    let text = format!("generation={} choice=in-force", bundle.generation);
                    history.record("bundle", text);
                    lifecycle.handle(lifecycle::Event::Ready);
                    true
                }
                Err(refusal) => {
                    let text = format!("choice=refused reason={}", field::Quoted(&refusal));
                    history.record("bundle", text);
                    false
                }
            },
            wire::Kind::Hosts => parse(&record.value, &self.hosts),
            wire::Kind::Homes => parse(&record.value, &self.homes),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<wire::Kind, Entry>> {
        self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn parse<T: serde::de::DeserializeOwned>(value: &Bytes, into: &ArcSwap<T>) -> bool {
    match serde_json::from_slice::<T>(value) {
        Ok(parsed) => {
            into.store(std::sync::Arc::new(parsed));
            true
        }
        Err(error) => {
            log::error!("invalid record error={error}", error = field::Quoted(&error));
            false
        }
    }
}

fn record(kind: wire::Kind, entry: &Entry) -> wire::Record {
    wire::Record { kind: kind.into(), revision: entry.revision, value: entry.value.clone() }
}
