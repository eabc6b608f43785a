//! The agent's table of attempts: each starts at most once, and a revoked one never.
//!
//! The table makes "not run" true. An entry that lost its connection asks the
//! agent what became of the attempt; the agent either knows that it started,
//! or writes a tombstone that refuses a dispatch that arrives later. A record
//! is kept until the attempt's own expiry has passed on every clock, after
//! which a late dispatch is refused for its expiry instead; so nothing inside
//! the window is ever evicted, and a full table refuses.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock;

/// Number of a run of an agent process, higher for each later run.
pub type Incarnation = u64;

/// Names one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The request.
    pub request: uuid::Uuid,
    /// Which attempt of it, from 1.
    pub number: u32,
    /// The run of the agent that it is meant for.
    pub incarnation: Incarnation,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Never started, and a tombstone keeps it so.
    Never,
    /// Handed to the backend server.
    Running,
    /// Ended, well or badly, after it was handed over.
    Ended,
    /// Another run of the agent was meant, or there is no room for a tombstone.
    Unknown,
}

/// Why an attempt may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It was meant for another run of the agent.
    #[error("another incarnation")]
    Incarnation,
    /// It was revoked, or it is a copy of one that started.
    #[error("revoked or repeated")]
    Revoked,
    /// Its expiry has passed.
    #[error("expired")]
    Expired,
    /// The table is full.
    #[error("table of attempts full")]
    Full,
}

/// The table. Invariant: `expiries` holds each record's expiry exactly once.
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
    /// An empty table of a new run. `skew` bounds the difference of two
    /// hosts' clocks.
    pub fn new(incarnation: Incarnation, skew: Duration, capacity: usize) -> Table {
        Table { incarnation, skew, capacity, records: BTreeMap::new(), expiries: BTreeSet::new() }
    }

    /// Records that the attempt is about to be handed over.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; the attempt has then never started, and never will.
    pub fn start(&mut self, id: Id, expiry: clock::Wall, now: clock::Wall) -> Result<(), Refusal> {
        if id.incarnation != self.incarnation {
            return Err(Refusal::Incarnation);
        }
        // A dispatch that is this late may have lost its tombstone already.
        if expiry <= now {
            return Err(Refusal::Expired);
        }
        if self.records.contains_key(&id) {
            return Err(Refusal::Revoked);
        }
        self.forget(now);
        if self.records.len() >= self.capacity {
            return Err(Refusal::Full);
        }
        self.insert(id, Phase::Running, expiry);
        Ok(())
    }

    /// Records that an attempt which was started has been taken back before
    /// anything of it was handed over; it never ran.
    pub fn withdraw(&mut self, id: Id) {
        self.leave_running(id, Phase::Never);
    }

    /// Records that a started attempt has ended.
    pub fn end(&mut self, id: Id) {
        self.leave_running(id, Phase::Ended);
    }

    /// Tells what became of an attempt, and forbids one that has not started.
    pub fn revoke(&mut self, id: Id, expiry: clock::Wall, now: clock::Wall) -> Phase {
        if id.incarnation != self.incarnation {
            return Phase::Unknown;
        }
        if let Some(record) = self.records.get(&id) {
            return record.phase;
        }
        self.forget(now);
        if expiry + self.skew <= now {
            // Its record may have been forgotten, so nothing can be said.
            return Phase::Unknown;
        }
        if self.records.len() >= self.capacity {
            return Phase::Unknown;
        }
        self.insert(id, Phase::Never, expiry);
        Phase::Never
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Only a running attempt may change: a tombstone stays one.
    fn leave_running(&mut self, id: Id, phase: Phase) {
        let running = self.records.get_mut(&id).filter(|record| record.phase == Phase::Running);
        if let Some(record) = running {
            record.phase = phase;
        }
    }

    fn insert(&mut self, id: Id, phase: Phase, expiry: clock::Wall) {
        self.records.insert(id, Record { phase, expiry });
        self.expiries.insert((expiry, id));
        debug_assert_eq!(self.verify(), Ok(()));
    }

    /// Drops records whose expiry is past on every clock.
    fn forget(&mut self, now: clock::Wall) {
        while let Some(&(expiry, id)) = self.expiries.first() {
            let running = self.records.get(&id).is_some_and(|r| r.phase == Phase::Running);
            if expiry + self.skew > now || running {
                break;
            }
            self.expiries.remove(&(expiry, id));
            self.records.remove(&id);
        }
    }

    /// Checks the table's invariants.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        if self.records.len() != self.expiries.len() {
            return Err(Fault::Count);
        }
        let listed = |(id, record): (&Id, &Record)| self.expiries.contains(&(record.expiry, *id));
        if !self.records.iter().all(listed) {
            return Err(Fault::Expiry);
        }
        if self.records.len() > self.capacity {
            return Err(Fault::Capacity);
        }
        Ok(())
    }
}

/// A broken invariant of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// As many records as expiries must stand.
    #[error("records and expiries differ in number")]
    Count,
    /// Each record's expiry must be listed.
    #[error("a record's expiry is not listed")]
    Expiry,
    /// The capacity must hold.
    #[error("more records than the capacity")]
    Capacity,
}
