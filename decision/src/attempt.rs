//! The agent's table of attempts. An attempt starts at most once, and never after
//! it was revoked.
//!
//! The table guarantees that an attempt reported as not run never runs. An entry
//! that lost its connection asks the agent for the phase of the attempt. The
//! agent either has a record that the attempt started, or inserts a tombstone
//! that rejects a dispatch that arrives later. A record is kept until the
//! attempt's expiry has passed on every clock; from then on, a late dispatch is
//! rejected because it has expired. No record is therefore evicted before its
//! expiry, and a full table rejects new attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock;

/// Number of one run of an agent process. Each later run has a higher number.
pub type Incarnation = u64;

/// Identifier of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Id of the request.
    pub request: uuid::Uuid,
    /// Number of the attempt within the request, from 1.
    pub number: u32,
    /// Run of the agent that the attempt is addressed to.
    pub incarnation: Incarnation,
}

/// Phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The attempt never started, and a tombstone prevents it from starting.
    Never,
    /// The attempt was handed to the backend server.
    Running,
    /// The attempt ended, successfully or not, after it was handed over.
    Ended,
    /// The phase is not known: the attempt is addressed to another run of the agent,
    /// its record may have been removed, or the table has no room for a tombstone.
    Unknown,
}

/// Reason why an attempt may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The attempt is addressed to another run of the agent.
    #[error("attempt is addressed to another incarnation of the agent")]
    Incarnation,
    /// The attempt was revoked, or it has already started.
    #[error("attempt was revoked or has already started")]
    Revoked,
    /// The expiry of the attempt has passed.
    #[error("attempt has expired")]
    Expired,
    /// The table is full.
    #[error("table of attempts is full")]
    Full,
}

/// Table of attempts. Invariant: `expiries` contains the expiry of each record that is not
/// running exactly once. A running attempt keeps its record past its expiry, and must not
/// hold back the removal of others.
#[derive(Debug)]
pub struct Table {
    incarnation: Incarnation,
    skew: Duration,
    capacity: usize,
    records: BTreeMap<Id, Record>,
    expiries: BTreeSet<(clock::Wall, Id)>,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    phase: Phase,
    expiry: clock::Wall,
}

impl Table {
    /// Returns an empty table for a new run. `skew` is the maximum difference between
    /// the clocks of two hosts.
    pub fn new(incarnation: Incarnation, skew: Duration, capacity: usize) -> Table {
        Table { incarnation, skew, capacity, records: BTreeMap::new(), expiries: BTreeSet::new() }
    }

    /// Records that the attempt is about to be handed to the backend server.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]: this dispatch has not started the attempt and never will.
    pub fn start(&mut self, id: Id, expiry: clock::Wall, now: clock::Wall) -> Result<(), Refusal> {
        if id.incarnation != self.incarnation {
            return Err(Refusal::Incarnation);
        }
        // The tombstone of an expired attempt may already have been removed.
        if expiry <= now {
            return Err(Refusal::Expired);
        }
        if self.records.contains_key(&id) {
            return Err(Refusal::Revoked);
        }
        self.remove_expired(now);
        if self.records.len() >= self.capacity {
            return Err(Refusal::Full);
        }
        self.insert(id, Phase::Running, expiry);
        Ok(())
    }

    /// Records that a started attempt was withdrawn before any part of it was handed
    /// to the backend server, so that it never ran.
    pub fn withdraw(&mut self, id: Id) {
        self.finish(id, Phase::Never);
    }

    /// Records that a started attempt has ended.
    pub fn end(&mut self, id: Id) {
        self.finish(id, Phase::Ended);
    }

    /// Returns the phase of an attempt. If it has not started, inserts a tombstone that
    /// prevents it from starting.
    pub fn revoke(&mut self, id: Id, expiry: clock::Wall, now: clock::Wall) -> Phase {
        if id.incarnation != self.incarnation {
            return Phase::Unknown;
        }
        if let Some(record) = self.records.get(&id) {
            return record.phase;
        }
        self.remove_expired(now);
        if expiry + self.skew <= now {
            // The record of the attempt may have been removed, so its phase is not known.
            return Phase::Unknown;
        }
        if self.records.len() >= self.capacity {
            return Phase::Unknown;
        }
        self.insert(id, Phase::Never, expiry);
        Phase::Never
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Sets the phase of a running attempt. Other phases are final, so that a
    /// tombstone stays one.
    fn finish(&mut self, id: Id, phase: Phase) {
        let running = self.records.get_mut(&id).filter(|record| record.phase == Phase::Running);
        if let Some(record) = running {
            record.phase = phase;
            self.expiries.insert((record.expiry, id));
        }
    }

    fn insert(&mut self, id: Id, phase: Phase, expiry: clock::Wall) {
        self.records.insert(id, Record { phase, expiry });
        if phase != Phase::Running {
            self.expiries.insert((expiry, id));
        }
        debug_assert_eq!(self.verify(), Ok(()));
    }

    /// Removes records that are not running and whose expiry has passed on every clock.
    fn remove_expired(&mut self, now: clock::Wall) {
        while let Some(&(expiry, id)) = self.expiries.first() {
            if expiry + self.skew > now {
                break;
            }
            self.expiries.remove(&(expiry, id));
            self.records.remove(&id);
        }
    }

    /// Checks the invariants of the table.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        let mut idle = self.records.iter().filter(|(_, record)| record.phase != Phase::Running);
        if idle.clone().count() != self.expiries.len() {
            return Err(Fault::Count);
        }
        let listed = |(id, record): (&Id, &Record)| self.expiries.contains(&(record.expiry, *id));
        if !idle.all(listed) {
            return Err(Fault::Expiry);
        }
        if self.records.len() > self.capacity {
            return Err(Fault::Capacity);
        }
        Ok(())
    }
}

/// Violated invariant of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The numbers of records that are not running and of expiries differ.
    #[error("the numbers of records that are not running and of expiries differ")]
    Count,
    /// The expiry of a record that is not running is not listed.
    #[error("the expiry of a record that is not running is not listed")]
    Expiry,
    /// The table has more records than its capacity.
    #[error("the table has more records than its capacity")]
    Capacity,
}
