//! What spreads between processes: the bundle, the host list, the home table.
//!
//! Each kind has one value at a time, and a higher revision goes before a
//! lower one. Few processes watch the platform; the others hear from peers by
//! exchanging what they have ([`crate::exchange`]), so that the platform's
//! calls do not grow with the fleet and a zone that is cut off from the
//! platform still agrees on the newest that any of its processes has.

use std::collections::BTreeMap;
use std::sync::Mutex;

use arc_swap::ArcSwap;
use bytes::Bytes;
use loftcove_decision::{home, lifecycle};
use loftcove_platform::hosts;
use loftcove_wire as wire;
use tokio::sync::watch;

use crate::{explain, force, life};

/// A value and its revision.
#[derive(Debug, Clone, Default)]
struct Held {
    revision: u64,
    value: Bytes,
}

/// The records of this process and their parsed forms. Lock order: `held`,
/// then the bundle's gate.
pub struct Gossip {
    held: Mutex<BTreeMap<wire::Kind, Held>>,
    /// The bundle.
    pub force: force::Force,
    hosts: ArcSwap<hosts::Snapshot>,
    homes: ArcSwap<home::table::Table>,
    changed: watch::Sender<u64>,
}

/// Kinds of records, in the order in which they are offered.
const KINDS: [wire::Kind; 3] = [wire::Kind::Bundle, wire::Kind::Hosts, wire::Kind::Homes];

impl Gossip {
    /// Knows nothing yet.
    pub fn new(force: force::Force) -> Gossip {
        Gossip {
            held: Mutex::default(),
            force,
            hosts: ArcSwap::default(),
            homes: ArcSwap::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// The host list.
    pub fn hosts(&self) -> std::sync::Arc<hosts::Snapshot> {
        self.hosts.load_full()
    }

    /// The table of homes.
    pub fn homes(&self) -> std::sync::Arc<home::table::Table> {
        self.homes.load_full()
    }

    /// Follows changes of any record.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// What this process has.
    pub fn versions(&self) -> Vec<wire::Version> {
        let held = self.lock();
        let revision = |kind: &wire::Kind| held.get(kind).map_or(0, |held| held.revision);
        KINDS
            .iter()
            .map(|kind| wire::Version { kind: (*kind).into(), revision: revision(kind) })
            .collect()
    }

    /// What the other lacks, and what this process lacks.
    pub fn answer(&self, offer: &[wire::Version]) -> wire::Update {
        let held = self.lock();
        let mut update = wire::Update::default();
        for kind in KINDS {
            let theirs = offer.iter().find(|version| version.kind() == kind);
            let theirs = theirs.map_or(0, |version| version.revision);
            let ours = held.get(&kind).cloned().unwrap_or_default();
            if ours.revision > theirs {
                update.records.push(record(kind, &ours));
            } else if ours.revision < theirs {
                update.wanted.push(kind.into());
            }
        }
        update
    }

    /// The records of those kinds.
    pub fn records(&self, kinds: impl Iterator<Item = wire::Kind>) -> Vec<wire::Record> {
        let held = self.lock();
        kinds.filter_map(|kind| held.get(&kind).map(|value| record(kind, value))).collect()
    }

    /// Takes a record if it is newer and holds. Returns whether it was taken.
    pub fn apply(
        &self,
        record: wire::Record,
        lifecycle: &life::Lifecycle,
        history: &explain::History,
    ) -> bool {
        let kind = record.kind();
        let mut held = self.lock();
        if held.get(&kind).is_some_and(|held| held.revision >= record.revision) {
            return false;
        }
        if !self.apply_value(kind, &record, lifecycle, history) {
            return false;
        }
        held.insert(kind, Held { revision: record.revision, value: record.value });
        drop(held);
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
                    let text = format!("choice=refused reason=\"{refusal}\"");
                    history.record("bundle", text);
                    false
                }
            },
            wire::Kind::Hosts => parse(&record.value, &self.hosts),
            wire::Kind::Homes => parse(&record.value, &self.homes),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<wire::Kind, Held>> {
        self.held.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn parse<T: serde::de::DeserializeOwned>(value: &Bytes, into: &ArcSwap<T>) -> bool {
    match serde_json::from_slice::<T>(value) {
        Ok(parsed) => {
            into.store(std::sync::Arc::new(parsed));
            true
        }
        Err(error) => {
            log::error!("record refused error=\"{error}\"");
            false
        }
    }
}

fn record(kind: wire::Kind, held: &Held) -> wire::Record {
    wire::Record { kind: kind.into(), revision: held.revision, value: held.value.clone() }
}
