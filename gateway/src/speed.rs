//! Speeds of the ranks as the drivers publish them, and their age.
//!
//! The age of an entry counts from the time at which this gateway received its revision. An entry
//! that is too old has no effect, so that a driver that is gone has none for longer than that.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::store;
use loftcove_line::field;
use loftcove_mirror::membership::{Known, Slow};

/// Age up to which speeds apply. A driver repeats its write every 2 s.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Longest time between two checks of the age. Timers do not advance while the host is suspended,
/// but the age does.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// The reason for a change of the speeds that apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The entry of the group.
    Entry,
    /// The entry has become too old.
    Expired,
    /// The entry no longer exists.
    Removed,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Entry => "entry",
            Source::Expired => "expired",
            Source::Removed => "removed",
        })
    }
}

/// The newest entry of a group.
#[derive(Debug)]
struct Entry {
    revision: store::Revision,
    received: boot::Instant,
    service: Arc<str>,
    term: Option<u64>,
    slow: Vec<Slow>,
    /// Whether the speeds of the entry are not usable.
    faulty: bool,
    removed: bool,
    /// Speeds that apply.
    applied: Vec<Slow>,
}

impl Entry {
    fn age(&self, now: boot::Instant) -> Duration {
        now.saturating_duration_since(self.received)
    }
}

/// Slow ranks of a group at present.
#[derive(Debug, Clone, PartialEq)]
pub struct Current {
    /// Name of the group.
    pub group: Arc<str>,
    /// Service that the group belongs to.
    pub service: Arc<str>,
    /// Slow ranks. All other ranks count as equally fast.
    pub slow: Vec<Slow>,
}

/// Keeps the speeds of all groups.
#[derive(Debug, Default)]
pub struct Tracker {
    groups: BTreeMap<Arc<str>, Entry>,
}

impl Tracker {
    /// Records the entries of all groups. An entry whose revision is known keeps its age.
    pub fn observe(&mut self, entries: Vec<Known>, now: boot::Instant) {
        self.groups.values_mut().for_each(|entry| entry.removed = true);
        for Known { group, revision, entry, fault } in entries {
            let before = self.groups.remove(&group);
            if let Some(before) = before {
                if before.revision == revision {
                    self.groups.insert(group, Entry { removed: false, ..before });
                    continue;
                }
                self.insert(group, revision, entry, fault, Some(before), now);
            } else {
                self.insert(group, revision, entry, fault, None, now);
            }
        }
    }

    fn insert(
        &mut self,
        group: Arc<str>,
        revision: store::Revision,
        entry: loftcove_mirror::membership::Entry,
        fault: Option<loftcove_mirror::membership::Error>,
        before: Option<Entry>,
        now: boot::Instant,
    ) {
        let known_fault = before.as_ref().is_some_and(|before| before.faulty);
        if let Some(error) = fault.as_ref().filter(|_| !known_fault) {
            log::error!(
                "invalid rank speeds group={group} revision={revision} error={error}",
                error = field::Quoted(&error),
                group = field::Text(&group)
            );
        }
        let entry = Entry {
            revision,
            received: now,
            service: entry.service,
            term: entry.term,
            slow: entry.slow,
            faulty: fault.is_some(),
            removed: false,
            applied: before.map(|before| before.applied).unwrap_or_default(),
        };
        self.groups.insert(group, entry);
    }

    /// Returns the groups that have slow ranks or had some at the last call. Logs changes.
    pub fn current(&mut self, now: boot::Instant) -> Vec<Current> {
        let mut current = Vec::new();
        for (group, entry) in &mut self.groups {
            let age = entry.age(now);
            let (slow, source) = match entry {
                Entry { removed: true, .. } => (Vec::new(), Source::Removed),
                _ if age > MAX_AGE => (Vec::new(), Source::Expired),
                _ => (entry.slow.clone(), Source::Entry),
            };
            if slow.is_empty() && entry.applied.is_empty() {
                continue;
            }
            if slow != entry.applied {
                log(group, entry, &slow, age, source);
            }
            entry.applied = slow.clone();
            current.push(Current { group: group.clone(), service: entry.service.clone(), slow });
        }
        self.groups.retain(|_, entry| !entry.removed);
        current
    }

    /// Returns the time after which [`Tracker::current`] must be called again, or `None` if no
    /// speeds apply.
    pub fn next_check(&self, now: boot::Instant) -> Option<Duration> {
        let active = self.groups.values().filter(|entry| !entry.applied.is_empty());
        let left = active.map(|entry| MAX_AGE.saturating_sub(entry.age(now)));
        // One more millisecond, so that the age is above the bound after the wait.
        left.min().map(|left| (left + Duration::from_millis(1)).min(MAX_WAIT))
    }
}

fn log(group: &str, entry: &Entry, slow: &[Slow], age: Duration, source: Source) {
    let ranks = slow.iter().map(|rank| format!("{}:{:.2}", rank.address, rank.slowness));
    let ranks: Vec<String> = ranks.collect();
    let ranks = if ranks.is_empty() { "none".to_owned() } else { ranks.join(",") };
    log::info!(
        "rank speed group={group} term={} slow={ranks} age_ms={} source={source}",
        entry.term.map_or_else(|| "none".to_owned(), |term| term.to_string()),
        age.as_millis(),
        group = field::Text(group)
    );
}
