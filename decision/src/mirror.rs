//! A copy of a part of the store that processes pass on to one another.
//!
//! Each key has its newest known value or the mark that it was removed, with
//! the store's revision. Whoever tells of a key, the higher revision wins, so
//! what arrives late or twice does no harm. Revisions of a later era of the store are
//! higher than all before: what it lost is no longer there. A removal that is learnt just
//! after the store was away is first only suspected: entries lapse while their
//! owners cannot renew them, and come back. It takes effect if the key has not
//! come back by then. Suspected removals are not passed on. Older values that the store came
//! back with are held in the same way, until their owners have written again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock;
use crate::revision::Revision;

/// How long a removal is kept, so that an older value does not bring the key
/// back. Longer than any process can be behind its peers.
const TOMBSTONE_TIME: Duration = Duration::from_secs(120);

/// What is known of a key at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the write or removal.
    pub revision: Revision,
    /// The value; `None` where the key was removed.
    pub value: Option<Bytes>,
}

#[derive(Debug, Clone)]
struct Entry {
    revision: Revision,
    value: Option<Bytes>,
    /// When the removal was learnt.
    removed: clock::Instant,
}

/// The copy.
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Revision of a suspected removal, and when it takes effect.
    suspected: BTreeMap<Arc<str>, (Revision, clock::Instant)>,
    /// Values of a later era that contradict what was known, and when they take effect.
    held: BTreeMap<Arc<str>, (Record, clock::Instant)>,
    /// Revision of the last listing of each prefix.
    listed: BTreeMap<Arc<str>, Revision>,
}

impl Mirror {
    /// Takes a record. Returns whether it was news: not where a listing showed later
    /// what had become of it, which a peer may not know yet.
    pub fn apply(&mut self, record: &Record, now: clock::Instant) -> bool {
        let listed = self.listed.iter().filter(|(prefix, _)| record.key.starts_with(&***prefix));
        let stale = listed.into_iter().any(|(_, revision)| record.revision <= *revision);
        !stale && self.insert(record, now)
    }

    /// A listing of a prefix was taken whole: its items, and what it lacked.
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
        if self.held.get(&record.key).is_some_and(|(held, _)| held.revision <= record.revision) {
            self.held.remove(&record.key);
        }
        let entry = Entry { revision: record.revision, value: record.value.clone(), removed: now };
        self.entries.insert(record.key.clone(), entry);
        true
    }

    /// Notes that a key may have been removed, which takes effect at `due`
    /// unless the key is written again.
    pub fn suspect_removal(&mut self, key: &Arc<str>, revision: Revision, due: clock::Instant) {
        // What a listing before had is gone, too.
        self.held.retain(|held, (record, _)| held != key || record.revision > revision);
        let live =
            self.entries.get(key).is_some_and(|e| e.value.is_some() && e.revision < revision);
        if live {
            let suspected = self.suspected.entry(key.clone()).or_insert((revision, due));
            // Owners need the time again in each era.
            if suspected.0.era < revision.era {
                suspected.1 = due;
            }
            // What a peer tells of the time between is gone as well.
            suspected.0 = suspected.0.max(revision);
        }
    }

    /// Holds a value of a later era that contradicts what is known, as the key had been
    /// removed, or, with `changed`, had another value: it takes effect at `due` unless
    /// the key is written again. Returns whether it is held.
    pub fn defer(&mut self, record: &Record, due: clock::Instant, changed: bool) -> bool {
        let Some(known) = self.entries.get(&record.key) else { return false };
        let later = known.revision.era < record.revision.era;
        let returned = known.value.is_none();
        if !later || !(returned || changed && known.value != record.value) {
            return false;
        }
        let before = self.held.get(&record.key);
        let same = before.filter(|(held, _)| held.revision.era == record.revision.era);
        let due = same.map_or(due, |(_, first)| *first);
        self.held.insert(record.key.clone(), (record.clone(), due));
        true
    }

    /// Keys below a prefix that have a value older than `revision`, or a held one, and are not
    /// among `listed`, with the revision at which they were missing.
    pub fn missing(&self, prefix: &str, listed: &[Arc<str>], revision: Revision) -> Vec<Arc<str>> {
        let below = self.below(prefix).filter(|record| record.revision <= revision);
        let held = self.held.keys().filter(|key| key.starts_with(prefix));
        let known: BTreeSet<Arc<str>> =
            below.map(|record| record.key).chain(held.cloned()).collect();
        known.into_iter().filter(|key| !listed.contains(key)).collect()
    }

    /// Lets suspected removals and held values take effect whose time has come, and
    /// forgets old removals. Returns what took effect.
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
        let held = self.held.values().filter(|(_, due)| *due <= now);
        let mut due: Vec<Record> =
            removed.into_iter().chain(held.map(|(record, _)| record.clone())).collect();
        due.retain(|record| {
            match record.value {
                None => drop(self.suspected.remove(&record.key)),
                Some(_) => drop(self.held.remove(&record.key)),
            }
            self.insert(record, now)
        });
        self.entries
            .retain(|_, entry| entry.value.is_some() || now.since(entry.removed) < TOMBSTONE_TIME);
        due
    }

    /// When the next suspected removal or held value takes effect.
    pub fn next_expiry(&self) -> Option<clock::Instant> {
        let held = self.held.values().map(|(_, due)| *due);
        self.suspected.values().map(|(_, due)| *due).chain(held).min()
    }

    /// All records, removals included, in the order of their keys.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        self.entries.iter().map(|(key, entry)| Record {
            key: key.clone(),
            revision: entry.revision,
            value: entry.value.clone(),
        })
    }

    /// Records below a prefix that have a value.
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

    /// A key that has a value.
    pub fn record(&self, key: &str) -> Option<Record> {
        self.below(key).next().filter(|record| *record.key == *key)
    }

    /// What is known of a key, a removal included.
    pub fn newest_of(&self, key: &str) -> Option<Record> {
        let (key, entry) = self.entries.get_key_value(key)?;
        let (revision, value) = (entry.revision, entry.value.clone());
        Some(Record { key: key.clone(), revision, value })
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.entries.get(key).and_then(|entry| entry.value.as_ref())
    }

    /// Revision of the newest record below a prefix.
    pub fn newest_revision(&self, prefix: &str) -> Revision {
        let below = self.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        below.map(|(_, entry)| entry.revision).max().unwrap_or_default()
    }
}
