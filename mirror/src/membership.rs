//! Members of lock-step groups: the backend servers that are the ranks of each group.
//!
//! Only the engines know the membership. The driver of a group queries all its engines and writes
//! the members to the store when they change. Gateways therefore need not query engines, and they
//! know the members while the driver or the store is unavailable.
//!
//! The driver also measures the slowness of the ranks and writes it to the same record. While a
//! rank is slow, it repeats the write as a heartbeat: gateways ignore slowness that is too old.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::routing::speed;
use loftcove_intake::list;
use loftcove_interface::store::{self, Store};
use loftcove_line::field;
use serde::{Deserialize, Serialize};

use crate::{Mirror, OWN_PREFIX};

/// Minimum time between two writes because the members changed.
const MEMBERS_PAUSE: Duration = Duration::from_secs(2);
/// Minimum time between two writes because a slowness changed.
const SPEEDS_PAUSE: Duration = Duration::from_millis(500);
/// Time between two writes while a rank is slow. With 2 s, gateways that ignore slowness older
/// than 5 s tolerate one lost write.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Relative change of a slowness from which it is written.
const SLOWNESS_CHANGE: f64 = 0.1;

/// A rank that is slower than the others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Slow {
    /// Address at which its engine accepts requests.
    pub address: SocketAddr,
    /// Time that its work takes, as a multiple of the usual time.
    pub slowness: f64,
}

/// Members of a group, and its slow ranks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Service that the group belongs to.
    pub service: Arc<str>,
    /// Addresses at which its engines accept requests, in ascending order. An engine that restarts
    /// at its address has the same rank.
    pub members: Vec<SocketAddr>,
    /// Slow ranks, in the order of their addresses.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slow: Vec<Slow>,
    /// Term of the driver that measured the slowness, if a rank is slow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<u64>,
}

/// The reason why the speeds of a record are not usable. Its members are.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The field is not a list of addresses, each with a number.
    #[error("invalid field: {0}")]
    Json(#[from] serde_json::Error),
    /// A slowness is not a positive number.
    #[error("slowness {slowness} of {address} is not positive")]
    Slowness {
        /// Address of the rank.
        address: SocketAddr,
        /// The value.
        slowness: f64,
    },
    /// An address is listed twice.
    #[error("{0} is listed twice")]
    Repeated(SocketAddr),
}

/// A group with the newest record about it.
#[derive(Debug)]
pub struct Known {
    /// Name of the group.
    pub group: Arc<str>,
    /// Revision of the record.
    pub revision: store::Revision,
    /// The entry. It has no slow ranks if they are not usable.
    pub entry: Entry,
    /// The reason why the slow ranks are not usable.
    pub fault: Option<Error>,
}

/// A record as it is read: neither an invalid member nor invalid speeds invalidate the rest. The
/// speeds must be whole, as a slow rank that is left out would count as usual.
#[derive(Deserialize)]
struct Raw {
    service: Arc<str>,
    members: list::Readable<SocketAddr>,
    slow: Option<serde_json::Value>,
    term: Option<serde_json::Value>,
}

impl Raw {
    /// Returns the slow ranks and the term.
    fn speeds(slow: serde_json::Value, term: Option<serde_json::Value>) -> Result<Speeds, Error> {
        let slow: Vec<Slow> = serde_json::from_value(slow)?;
        let term = term.map(serde_json::from_value).transpose()?;
        let mut addresses = BTreeSet::new();
        for Slow { address, slowness } in &slow {
            if !slowness.is_finite() || *slowness <= 0.0 {
                return Err(Error::Slowness { address: *address, slowness: *slowness });
            }
            if !addresses.insert(*address) {
                return Err(Error::Repeated(*address));
            }
        }
        let slow = slow.into_iter().filter(|rank| rank.slowness >= speed::MIN_SLOWNESS);
        Ok((slow.collect(), term))
    }
}

/// Slow ranks, and the term of the driver that measured them.
type Speeds = (Vec<Slow>, Option<u64>);
/// The entry of a record, and why its speeds are invalid.
type Parsed = (Entry, Option<Error>);

fn prefix() -> String {
    format!("{OWN_PREFIX}groups/")
}

fn read(mirror: &Mirror, record: &loftcove_decision::mirror::Record) -> Option<Parsed> {
    let raw: Raw = match serde_json::from_slice(record.value.as_ref()?) {
        Ok(raw) => raw,
        Err(error) => {
            if mirror.reported.insert(record) {
                log::error!(
                    "invalid membership record key={} error={error}",
                    field::Text(&record.key),
                    error = field::Quoted(&error)
                );
            }
            return None;
        }
    };
    let speeds = raw.slow.map_or(Ok((Vec::new(), None)), |slow| Raw::speeds(slow, raw.term));
    let ((slow, term), fault) = match speeds {
        Ok(speeds) => (speeds, None),
        Err(error) => ((Vec::new(), None), Some(error)),
    };
    let list::Readable { items: members, left_out, fault: member_fault } = raw.members;
    if let Some(error) = member_fault
        && mirror.reported.insert(record)
    {
        log::error!(
            "members left out key={} count={left_out} error={error}",
            field::Text(&record.key),
            error = field::Quoted(&error)
        );
    }
    Some((Entry { service: raw.service, members, slow, term }, fault))
}

/// Returns the known groups in the order of their names.
pub fn entries(mirror: &Mirror) -> Vec<Known> {
    let prefix = prefix();
    let records = mirror.below(&prefix);
    let known = records.iter().filter_map(|record| {
        let group = record.key.strip_prefix(&prefix)?.into();
        let (entry, fault) = read(mirror, record)?;
        Some(Known { group, revision: record.revision, entry, fault })
    });
    known.collect()
}

/// Returns the members of a group as last written. The entry is empty if none was written.
pub fn entry(mirror: &Mirror, group: &str) -> Entry {
    let record = mirror.record(&format!("{}{group}", prefix()));
    record
        .as_ref()
        .and_then(|record| read(mirror, record))
        .map(|(entry, _)| entry)
        .unwrap_or_default()
}

/// The reason for a write of a group's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// The members changed.
    Members,
    /// A rank became slow or usual again, or its slowness changed by more than a tenth.
    Speeds,
    /// A rank is slow, and the record must not become too old.
    Heartbeat,
}

/// When a driver last wrote the record of its group.
#[derive(Debug, Default)]
pub struct Schedule {
    members: Option<boot::Instant>,
    speeds: Option<boot::Instant>,
}

impl Schedule {
    /// Returns why `wanted` is to be written now, if it is. `known` is the newest known entry, and
    /// `term` is the term of the driver. The write counts as made. A driver whose term is over
    /// writes no speeds.
    pub fn due(
        &mut self,
        known: &Entry,
        wanted: &Entry,
        term: u64,
        now: boot::Instant,
    ) -> Option<Due> {
        let recent = |at: Option<boot::Instant>, pause: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < pause)
        };
        let moved = (&known.service, &known.members) != (&wanted.service, &wanted.members);
        let due = if moved && !recent(self.members, MEMBERS_PAUSE) {
            self.members = Some(now);
            Due::Members
        } else if known.term.is_some_and(|other| other > term) {
            return None;
        } else if differ(&known.slow, &wanted.slow) && !recent(self.speeds, SPEEDS_PAUSE) {
            Due::Speeds
        } else if !wanted.slow.is_empty() && !recent(self.speeds, HEARTBEAT) {
            Due::Heartbeat
        } else {
            return None;
        };
        self.speeds = Some(now);
        Some(due)
    }
}

/// Returns whether two lists of slow ranks differ enough to be written.
fn differ(known: &[Slow], wanted: &[Slow]) -> bool {
    let differs = |(known, wanted): (&Slow, &Slow)| {
        let change = (wanted.slowness - known.slowness).abs();
        known.address != wanted.address || change > SLOWNESS_CHANGE * known.slowness
    };
    known.len() != wanted.len() || known.iter().zip(wanted).any(differs)
}

/// Writes the record of a group. After a failure, gateways use the previous record until the next
/// write that is due.
pub async fn publish<S: Store>(store: &S, mirror: &Mirror, group: &str, entry: &Entry, due: Due) {
    let key: Arc<str> = format!("{}{group}", prefix()).into();
    let before = mirror.record(&key);
    let value = match serde_json::to_vec(entry) {
        Ok(value) => value,
        Err(error) => {
            log::error!(
                "membership not written group={group} error={error}",
                error = field::Quoted(&error),
                group = field::Text(group)
            );
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
            // Heartbeats change nothing, and there are many while a rank is slow.
            let level = if due == Due::Heartbeat { log::Level::Debug } else { log::Level::Info };
            log::log!(
                level,
                "membership group={group} members={} slow={} due={due:?} outcome={outcome:?}",
                entry.members.len(),
                entry.slow.len(),
                group = field::Text(group)
            );
        }
        Err(error) => log::warn!(
            "membership not written group={group} error={error}",
            error = field::Quoted(&error),
            group = field::Text(group)
        ),
    }
}
