//! A copy of a part of the store that processes pass on to one another.
//!
//! Each key has its newest known value or the mark that it was removed, with
//! the store's revision. Whoever tells of a key, the higher revision wins, so
//! what arrives late or twice does no harm. A removal that is learnt just
//! after the store was away is first only suspected: entries lapse while their
//! owners cannot renew them, and come back. It takes effect if the key has not
//! come back by then. Suspected removals are not passed on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock;

/// How long a removal is kept, so that an older value does not bring the key
/// back. Longer than any process can be behind its peers.
const TOMBSTONE_TIME: Duration = Duration::from_secs(120);

/// What is known of a key at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the write or removal.
    pub revision: u64,
    /// The value; `None` where the key was removed.
    pub value: Option<Bytes>,
}

#[derive(Debug, Clone)]
struct Entry {
    revision: u64,
    value: Option<Bytes>,
    /// When the removal was learnt.
    removed: clock::Instant,
}

/// The copy.
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Revision of a suspected removal, and when it takes effect.
    suspected: BTreeMap<Arc<str>, (u64, clock::Instant)>,
}

impl Mirror {
    /// Takes a record. Returns whether it was news.
    pub fn apply(&mut self, record: &Record, now: clock::Instant) -> bool {
        let known = self.entries.get(&record.key).map_or(0, |entry| entry.revision);
        if record.revision <= known {
            return false;
        }
        if self.suspected.get(&record.key).is_some_and(|(at, _)| *at <= record.revision) {
            self.suspected.remove(&record.key);
        }
        let entry = Entry { revision: record.revision, value: record.value.clone(), removed: now };
        self.entries.insert(record.key.clone(), entry);
        true
    }

    /// Notes that a key may have been removed, which takes effect at `due`
    /// unless the key is written again.
    pub fn suspect(&mut self, key: &Arc<str>, revision: u64, due: clock::Instant) {
        let live =
            self.entries.get(key).is_some_and(|e| e.value.is_some() && e.revision < revision);
        if live {
            self.suspected.entry(key.clone()).or_insert((revision, due));
        }
    }

    /// Keys below a prefix that have a value older than `revision` and are not
    /// among `listed`, with the revision at which they were missing.
    pub fn missing(&self, prefix: &str, listed: &[Arc<str>], revision: u64) -> Vec<Arc<str>> {
        let below = self.below(prefix).filter(|record| record.revision <= revision);
        below.filter(|record| !listed.contains(&record.key)).map(|record| record.key).collect()
    }

    /// Lets suspected removals take effect whose time has come, and forgets old
    /// removals. Returns what was removed.
    pub fn expire(&mut self, now: clock::Instant) -> Vec<Record> {
        let due: Vec<Record> = self
            .suspected
            .iter()
            .filter(|(_, (_, due))| *due <= now)
            .map(|(key, (revision, _))| Record {
                key: key.clone(),
                revision: *revision,
                value: None,
            })
            .collect();
        for record in &due {
            self.suspected.remove(&record.key);
            self.apply(record, now);
        }
        self.entries
            .retain(|_, entry| entry.value.is_some() || now.since(entry.removed) < TOMBSTONE_TIME);
        due
    }

    /// When the next suspected removal takes effect.
    pub fn next_expiry(&self) -> Option<clock::Instant> {
        self.suspected.values().map(|(_, due)| *due).min()
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
    pub fn newest(&self, prefix: &str) -> u64 {
        let below = self.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        below.map(|(_, entry)| entry.revision).max().unwrap_or(0)
    }
}
