//! A partial copy of the store that processes replicate to one another.
//!
//! Each key has its newest known value or a tombstone, with the store's revision. The higher
//! revision wins, whichever peer sent the record, so late and duplicate records are harmless. The
//! store begins a new *era* when it loses a part of its history (see [`crate::revision`]).
//! Revisions of a later era are higher than all revisions of earlier eras, as the changes that the
//! store lost no longer exist.
//!
//! A removal that is received just after an outage of the store is only suspected at first: entries
//! expire while their owners cannot renew them, and are then written again. A suspected removal
//! takes effect at a given time unless the key was written again by then. Suspected removals are
//! not replicated. Outdated values that the store returns after a loss are deferred in the same
//! way, so that their owners can write again first.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock;
use crate::revision::Revision;

/// Time for which a tombstone is kept, so that an older value does not restore the key. Longer than
/// any process can lag behind its peers.
const TOMBSTONE_TIME: Duration = Duration::from_secs(120);

/// State of a key at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the write or removal.
    pub revision: Revision,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

#[derive(Debug, Clone)]
struct Entry {
    revision: Revision,
    value: Option<Bytes>,
    /// When the record was applied. For a tombstone, its age counts from here.
    removed: clock::Instant,
}

/// A partial copy of the store.
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Revision of each suspected removal, and when it takes effect.
    suspected: BTreeMap<Arc<str>, (Revision, clock::Instant)>,
    /// Values of a later era that contradict the known record, and when they take effect.
    deferred: BTreeMap<Arc<str>, (Record, clock::Instant)>,
    /// Revision of the last complete listing of each prefix.
    listed: BTreeMap<Arc<str>, Revision>,
}

impl Mirror {
    /// Applies a record. Returns whether it was newer than the known one. A record that is not
    /// newer than a complete listing of its prefix is stale, which the peer that sent it may not
    /// know yet.
    pub fn apply(&mut self, record: &Record, now: clock::Instant) -> bool {
        let listed = self.listed.iter().filter(|(prefix, _)| record.key.starts_with(&***prefix));
        let stale = listed.into_iter().any(|(_, revision)| record.revision <= *revision);
        !stale && self.insert(record, now)
    }

    /// Records that a listing of a prefix was applied completely: its items, and the removal of the
    /// keys that it lacked.
    pub fn set_listed(&mut self, prefix: &str, revision: Revision) {
        self.listed.insert(prefix.into(), revision);
    }

    fn insert(&mut self, record: &Record, now: clock::Instant) -> bool {
        let known = self.entries.get(&record.key).map_or(Revision::ZERO, |entry| entry.revision);
        if record.revision <= known {
            return false;
        }
        if self.suspected.get(&record.key).is_some_and(|(at, _)| *at <= record.revision) {
            self.suspected.remove(&record.key);
        }
        if self
            .deferred
            .get(&record.key)
            .is_some_and(|(value, _)| value.revision <= record.revision)
        {
            self.deferred.remove(&record.key);
        }
        let entry = Entry { revision: record.revision, value: record.value.clone(), removed: now };
        self.entries.insert(record.key.clone(), entry);
        true
    }

    /// Records that a key may have been removed. The removal takes effect at `due` unless the key
    /// is written again.
    pub fn suspect_removal(&mut self, key: &Arc<str>, revision: Revision, due: clock::Instant) {
        // A deferred value from an earlier listing was removed as well.
        self.deferred.retain(|other, (record, _)| other != key || record.revision > revision);
        let live =
            self.entries.get(key).is_some_and(|e| e.value.is_some() && e.revision < revision);
        if live {
            let suspected = self.suspected.entry(key.clone()).or_insert((revision, due));
            // Owners need the whole time again in each era.
            if suspected.0.era < revision.era {
                suspected.1 = due;
            }
            // A record that a peer sends for a revision in between was removed as well.
            suspected.0 = suspected.0.max(revision);
        }
    }

    /// Defers a value of a later era that contradicts the known record: the key had been removed,
    /// or, with `changed`, had another value. The value takes effect at `due` unless the key is
    /// written again. Returns whether it was deferred.
    pub fn defer(&mut self, record: &Record, due: clock::Instant, changed: bool) -> bool {
        let Some(known) = self.entries.get(&record.key) else { return false };
        let later = known.revision.era < record.revision.era;
        let returned = known.value.is_none();
        if !later || !(returned || changed && known.value != record.value) {
            return false;
        }
        let before = self.deferred.get(&record.key);
        let same = before.filter(|(value, _)| value.revision.era == record.revision.era);
        let due = same.map_or(due, |(_, first)| *first);
        self.deferred.insert(record.key.clone(), (record.clone(), due));
        true
    }

    /// Returns the keys under a prefix that are missing from `listed`, a listing at `revision`.
    /// They have a value that is not newer than `revision`, or a deferred value.
    pub fn missing(&self, prefix: &str, listed: &[Arc<str>], revision: Revision) -> Vec<Arc<str>> {
        let below = self.below(prefix).filter(|record| record.revision <= revision);
        let deferred = self.deferred.keys().filter(|key| key.starts_with(prefix));
        let known: BTreeSet<Arc<str>> =
            below.map(|record| record.key).chain(deferred.cloned()).collect();
        let listed: BTreeSet<&Arc<str>> = listed.iter().collect();
        known.into_iter().filter(|key| !listed.contains(key)).collect()
    }

    /// Applies the suspected removals and deferred values that are due at `now`, and drops expired
    /// tombstones. Returns the records that took effect.
    pub fn expire(&mut self, now: clock::Instant) -> Vec<Record> {
        let removed: Vec<Record> = self
            .suspected
            .iter()
            .filter(|(_, (_, due))| *due <= now)
            .map(|(key, (revision, _))| Record {
                key: key.clone(),
                revision: *revision,
                value: None,
            })
            .collect();
        let deferred = self.deferred.values().filter(|(_, due)| *due <= now);
        let mut due: Vec<Record> =
            removed.into_iter().chain(deferred.map(|(record, _)| record.clone())).collect();
        due.retain(|record| {
            match record.value {
                None => drop(self.suspected.remove(&record.key)),
                Some(_) => drop(self.deferred.remove(&record.key)),
            }
            self.insert(record, now)
        });
        self.entries
            .retain(|_, entry| entry.value.is_some() || now.since(entry.removed) < TOMBSTONE_TIME);
        due
    }

    /// Returns when the next suspected removal or deferred value takes effect.
    pub fn next_expiry(&self) -> Option<clock::Instant> {
        let deferred = self.deferred.values().map(|(_, due)| *due);
        self.suspected.values().map(|(_, due)| *due).chain(deferred).min()
    }

    /// Returns all records, tombstones included, in key order.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        self.entries.iter().map(|(key, entry)| Record {
            key: key.clone(),
            revision: entry.revision,
            value: entry.value.clone(),
        })
    }

    /// Returns the records under a prefix that have a value, in key order.
    pub fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = Record> + 'a {
        let from = self
            .entries
            .range::<str, _>((std::ops::Bound::Included(prefix), std::ops::Bound::Unbounded));
        let within = from.take_while(move |(key, _)| key.starts_with(prefix));
        within.filter(|(_, entry)| entry.value.is_some()).map(|(key, entry)| Record {
            key: key.clone(),
            revision: entry.revision,
            value: entry.value.clone(),
        })
    }

    /// Returns the record of a key, if it has a value.
    pub fn record(&self, key: &str) -> Option<Record> {
        self.below(key).next().filter(|record| *record.key == *key)
    }

    /// Returns the newest known record of a key, which may be a tombstone.
    pub fn newest_of(&self, key: &str) -> Option<Record> {
        let (key, entry) = self.entries.get_key_value(key)?;
        let (revision, value) = (entry.revision, entry.value.clone());
        Some(Record { key: key.clone(), revision, value })
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.entries.get(key).and_then(|entry| entry.value.as_ref())
    }

    /// Returns the highest revision of the records under a prefix, tombstones included.
    pub fn newest_revision(&self, prefix: &str) -> Revision {
        let below = self.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        below.map(|(_, entry)| entry.revision).max().unwrap_or_default()
    }
}
