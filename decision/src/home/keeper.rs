//! State machine of an agent as home and as witness.
//!
//! Terms:
//!
//! - *Lease*: the time during which a home may grant keys of its slots.
//! - *Promise*: a witness's commitment not to take a home's slots over for a given time.
//! - *Floor*: the creation time from which a home may grant keys of a slot. Older keys may have
//!   been granted by an earlier home.
//! - *Horizon*: the creation time from which keys are remembered.
//!
//! No key is granted twice, for these reasons:
//!
//! - A home grants keys only during its lease. The lease starts with a read of the platform that
//!   shows the agent as the home, and expires [`Rules::lease`] after that read began. During an
//!   outage of the platform the witness's promises extend it, up to [`Rules::grace`] after that
//!   read.
//! - A new home reads its assignment only after the change was written. The last read that
//!   confirmed the old home is therefore older than that read.
//! - If the witness took over, it gave its last promise before it read its assignment, and a
//!   promise lasts as long as a lease. The old lease then expires at most [`Rules::lease`] after
//!   the read. If another agent took over, it expires at most [`Rules::grace`] after the read.
//! - A home grants only keys whose creation time is at most its clock plus the bound on skew. A new
//!   home grants only keys created after the latest possible expiry of the old lease plus twice
//!   that bound.
//!
//! The creation times of the keys that the two homes may grant are therefore disjoint, however late
//! a message arrives or a process resumes. `decision/tests/homes.rs` checks this with generated
//! orders of events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::EntityRef as _;

pub use crate::home::claim::{Claim, Outcome, Standing};
use crate::home::{key, table};
use crate::{clock, entity};

/// Number of leases without a renewal after which a witness takes over. A home detects within half
/// as many that its witness is unreachable.
const SILENT_LEASES: u32 = 3;
/// Number of leases for which an unreachable witness is not selected again.
const EXCLUDED_LEASES: u32 = 20;

/// Settings that all processes of a deployment share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// Time for which a home may grant keys after a read of the platform.
    pub lease: Duration,
    /// Time for which a home may grant keys after its last read of the platform, given its
    /// witness's promises.
    pub grace: Duration,
    /// Bound on the difference between two hosts' wall clocks.
    pub skew: Duration,
    /// Time for which a key is remembered; older keys are rejected.
    pub window: Duration,
    /// Maximum number of remembered keys.
    pub capacity: usize,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    fingerprint: u64,
    token: u128,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Claimed,
    Ran,
    Unknown,
}

/// State machine of one agent. Invariant: all remembered keys were created at `horizon` or later.
#[derive(Debug)]
pub struct Keeper {
    local: table::Holder,
    rules: Rules,
    revision: u64,
    table: table::Table,
    /// Start of the last read that confirmed the table.
    confirmed: Option<clock::Instant>,
    /// Whether a change of this home's witnesses is in flight. Its witnesses are unknown until
    /// then, so promises are ignored.
    changing_witnesses: bool,
    retired: bool,
    /// Expiry of each witness's promise, by host.
    promises: BTreeMap<Arc<str>, clock::Instant>,
    /// When the table first showed each witness of this home, by host.
    appointed: BTreeMap<Arc<str>, clock::Instant>,
    /// Witnesses that were replaced because they were unreachable, with the time of replacement.
    excluded: BTreeMap<Arc<str>, clock::Instant>,
    /// As a witness: when each home last asked for a promise, or was first assigned.
    renewed: BTreeMap<table::Holder, clock::Instant>,
    floors: BTreeMap<entity::Slot, Floor>,
    keys: BTreeMap<key::Key, Record>,
    horizon: clock::Wall,
}

/// Time before which keys of a slot may have been granted by an earlier home.
#[derive(Debug, Clone, Copy)]
struct Floor {
    epoch: u64,
    time: clock::Wall,
}

impl Keeper {
    /// Creates a state machine that has not read the table yet.
    pub fn new(local: table::Holder, rules: Rules) -> Keeper {
        Keeper {
            local,
            rules,
            revision: 0,
            table: table::Table::default(),
            confirmed: None,
            changing_witnesses: false,
            retired: false,
            promises: BTreeMap::new(),
            appointed: BTreeMap::new(),
            excluded: BTreeMap::new(),
            renewed: BTreeMap::new(),
            floors: BTreeMap::new(),
            keys: BTreeMap::new(),
            horizon: clock::Wall::default(),
        }
    }

    /// Returns the table as last read from the platform, with its revision.
    pub fn table(&self) -> (u64, &table::Table) {
        (self.revision, &self.table)
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns whether the table lists this host as home, in any run, or as witness.
    pub fn listed(&self) -> bool {
        self.table.slots.iter().any(|entry| {
            entry.home.host == self.local.host || entry.witness.as_ref() == Some(&self.local.host)
        })
    }

    /// Applies the table that a read of the platform returned at `revision`. The read began at
    /// `began` and ended at `wall`.
    pub fn confirm(
        &mut self,
        revision: u64,
        table: table::Table,
        began: clock::Instant,
        wall: clock::Wall,
    ) {
        if revision < self.revision || self.confirmed.is_some_and(|before| began < before) {
            return;
        }
        self.revision = revision;
        self.table = table;
        self.confirmed = Some(began);
        self.changing_witnesses = false;
        self.update_floors(wall);
        self.update_partners(began);
    }

    /// Updates the witnesses of this home and the homes of this witness. The time of each starts
    /// when the table first shows it.
    fn update_partners(&mut self, now: clock::Instant) {
        let witnesses = self.witnesses();
        self.appointed.retain(|host, _| witnesses.contains(host));
        for witness in witnesses {
            self.appointed.entry(witness).or_insert(now);
        }
        let homes = self.homes();
        self.renewed.retain(|home, _| homes.contains(home));
        for home in homes {
            self.renewed.entry(home).or_insert(now);
        }
    }

    /// Returns the homes for whose slots this agent is the witness.
    fn homes(&self) -> Vec<table::Holder> {
        let witnessed = |entry: &&table::Entry| entry.witness.as_ref() == Some(&self.local.host);
        let homes = self.table.slots.iter().filter(witnessed).map(|entry| entry.home.clone());
        let mut homes: Vec<table::Holder> = homes.collect();
        homes.sort();
        homes.dedup();
        homes
    }

    /// Sets the floor of each slot that came to this agent, and removes those of other slots.
    fn update_floors(&mut self, wall: clock::Wall) {
        for (slot, entry) in self.table.slots.iter().enumerate() {
            let slot = entity::Slot::new(slot);
            if entry.home != self.local {
                self.floors.remove(&slot);
                continue;
            }
            let known = self.floors.get(&slot).is_some_and(|floor| floor.epoch == entry.epoch);
            if !known {
                let time = floor(entry.way, &self.rules, wall);
                self.floors.insert(slot, Floor { epoch: entry.epoch, time });
            }
        }
    }

    /// Claims a key, and grants it if no home can have granted it before.
    pub fn claim(&mut self, claim: Claim, now: clock::Instant, wall: clock::Wall) -> Standing {
        self.expire(wall);
        let slot = claim.key.slot(self.table.slots.len());
        if !self.holds(slot, now) {
            return Standing::NotHome;
        }
        let time = claim.key.time();
        if time > wall + self.rules.skew {
            return Standing::Future;
        }
        if let Some(record) = self.keys.get(&claim.key) {
            return standing_of(record, &claim);
        }
        let floor = self.floors.get(&slot).map_or(wall, |floor| floor.time);
        if time < floor || time < self.horizon {
            // An earlier home may have granted it, or this one may have granted and removed it.
            return Standing::Unknown;
        }
        if self.keys.len() >= self.rules.capacity {
            return Standing::Full;
        }
        let Claim { key, fingerprint, token } = claim;
        self.keys.insert(key, Record { fingerprint, token, state: State::Claimed });
        Standing::Granted
    }

    /// Records the outcome of a claimed request. Returns whether the claim is known.
    pub fn settle(&mut self, key: key::Key, token: u128, outcome: Outcome) -> bool {
        let Some(record) = self.keys.get_mut(&key) else { return false };
        if record.token != token {
            return false;
        }
        match outcome {
            Outcome::Ran => record.state = State::Ran,
            Outcome::Unknown => record.state = State::Unknown,
            // Only an open claim may be released. A late message must not release the key of a
            // request that has run.
            Outcome::NotRun if record.state == State::Claimed => {
                self.keys.remove(&key);
            }
            Outcome::NotRun => {}
        }
        true
    }

    /// Returns whether this agent may grant keys of the slot at `now`.
    pub fn holds(&self, slot: entity::Slot, now: clock::Instant) -> bool {
        let (Some(entry), Some(confirmed)) = (self.table.entry(slot), self.confirmed) else {
            return false;
        };
        if entry.home != self.local || self.retired {
            return false;
        }
        if now < confirmed + self.rules.lease {
            return true;
        }
        let promise = entry.witness.as_ref().and_then(|witness| self.promises.get(witness));
        let promised = promise.is_some_and(|until| now < *until) && !self.changing_witnesses;
        promised && now < confirmed + self.rules.grace
    }

    /// Returns the witnesses of this home's slots, which it asks for promises.
    pub fn witnesses(&self) -> Vec<Arc<str>> {
        let own = self.table.slots.iter().filter(|entry| entry.home == self.local);
        let mut witnesses: Vec<Arc<str>> = own.filter_map(|entry| entry.witness.clone()).collect();
        witnesses.sort();
        witnesses.dedup();
        witnesses
    }

    /// Records a witness's answer to a request for a promise that was sent at `asked`.
    pub fn record_promise(&mut self, witness: &Arc<str>, hold: Duration, asked: clock::Instant) {
        if hold.is_zero() {
            self.promises.remove(witness);
            return;
        }
        // The time counts from the sending, so the promise expires at the home before it expires
        // at the witness.
        self.promises.insert(witness.clone(), asked + hold);
    }

    /// As a witness: promises a home not to take its slots over. Returns how long the home may
    /// rely on it, or zero if there is no promise.
    pub fn renew(&mut self, home: &table::Holder, now: clock::Instant) -> Duration {
        if self.retired || !self.homes().contains(home) {
            return Duration::ZERO;
        }
        self.renewed.insert(home.clone(), now);
        self.rules.lease
    }

    /// As a witness: returns the homes that have not asked for a promise for `SILENT_LEASES`
    /// leases. A home that merely cannot reach this witness replaces it before that time.
    pub fn silent_homes(&self, now: clock::Instant) -> Vec<table::Holder> {
        let limit = self.rules.lease * SILENT_LEASES;
        let silent = self.renewed.iter().filter(|(_, at)| now.since(**at) > limit);
        silent.map(|(home, _)| home.clone()).collect()
    }

    /// Returns the table with a silent home's slots taken over by this witness.
    pub fn take_over(
        &mut self,
        home: &table::Holder,
        elected: &[table::Candidate],
    ) -> table::Table {
        let mut next = self.table.clone();
        let local = self.local.clone();
        next.reassign(
            |entry| entry.home == *home && entry.witness.as_ref() == Some(&local.host),
            |_, _| Some(local.clone()),
            elected,
            table::Way::Witnessed,
        );
        next
    }

    /// Returns the table with the slots of this host's earlier runs assigned to this run, or none
    /// if there are no such slots.
    pub fn retake(&self, elected: &[table::Candidate]) -> Option<table::Table> {
        let mut next = self.table.clone();
        let local = self.local.clone();
        let changed = next.reassign(
            |entry| entry.home.host == local.host && entry.home.incarnation < local.incarnation,
            |_, _| Some(local.clone()),
            elected,
            table::Way::Retaken,
        );
        changed.then_some(next)
    }

    /// Returns whether a witness of this home is presumed unreachable: its last promise expired
    /// more than half a lease ago, or it gave none within one and a half leases of its appointment.
    /// Unless it is replaced, it takes the home's slots over.
    fn is_unreachable(&self, witness: &str, now: clock::Instant) -> bool {
        let ends = self.promises.get(witness).copied();
        let appointed = self.appointed.get(witness).copied();
        let since = ends.max(appointed.map(|at| at + self.rules.lease));
        since.is_some_and(|since| since + self.rules.lease / 2 < now)
    }

    /// Returns the table with the witnesses replaced that are missing from the host list (`gone`)
    /// or unreachable, or none if nothing changes.
    pub fn mend_witnesses(
        &mut self,
        gone: impl Fn(&str) -> bool,
        elected: &[table::Candidate],
        now: clock::Instant,
    ) -> Option<table::Table> {
        let unreachable: Vec<Arc<str>> =
            self.witnesses().into_iter().filter(|host| self.is_unreachable(host, now)).collect();
        self.excluded.extend(unreachable.into_iter().map(|host| (host, now)));
        let exclusion = self.rules.lease * EXCLUDED_LEASES;
        self.excluded.retain(|_, at| now.since(*at) < exclusion);
        let lost = |host: &str| gone(host) || self.excluded.contains_key(host);
        let eligible: Vec<table::Candidate> =
            elected.iter().filter(|candidate| !lost(&candidate.host)).cloned().collect();
        let mut next = self.table.clone();
        let changed = next.replace_witnesses(&self.local, lost, &eligible);
        self.changing_witnesses |= changed;
        changed.then_some(next)
    }

    /// Stops granting keys permanently. Returns the table with this home's slots handed over to
    /// their witnesses, or none if it has no such slots.
    pub fn retire(&mut self, elected: &[table::Candidate]) -> Option<table::Table> {
        self.retired = true;
        let local = self.local.clone();
        let others: Vec<table::Candidate> =
            elected.iter().filter(|candidate| candidate.host != local.host).cloned().collect();
        let successor = |entry: &table::Entry| {
            let host = entry.witness.clone()?;
            Some(table::Holder { host, incarnation: table::NO_RUN })
        };
        let mut next = self.table.clone();
        let changed = next.reassign(
            |entry| entry.home == local,
            |_, entry| successor(entry),
            &others,
            table::Way::Handed,
        );
        changed.then_some(next)
    }

    /// Returns the table with those of this home's slots settled whose floor has passed, or none
    /// if there are no such slots. Later homes of these slots need not wait for the leases of the
    /// earlier ones.
    pub fn settle_slots(&self, wall: clock::Wall) -> Option<table::Table> {
        let passed = |(slot, floor): (&entity::Slot, &Floor)| {
            let pending =
                self.table.entry(*slot).is_some_and(|entry| entry.way != table::Way::Settled);
            (pending && floor.time < wall).then_some(*slot)
        };
        let slots: Vec<entity::Slot> = self.floors.iter().filter_map(passed).collect();
        if slots.is_empty() {
            return None;
        }
        let mut next = self.table.clone();
        next.settle(&slots);
        Some(next)
    }

    /// Removes keys that were created before the window. The horizon never moves back, even if the
    /// wall clock does.
    fn expire(&mut self, wall: clock::Wall) {
        self.horizon = self.horizon.max(wall.saturating_sub(self.rules.window));
        while let Some(entry) = self.keys.first_entry() {
            if entry.key().time() >= self.horizon {
                break;
            }
            entry.remove();
        }
    }

    /// Checks the invariants of the state machine.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        if self.keys.len() > self.rules.capacity {
            return Err(Fault::Capacity);
        }
        if self.keys.keys().next().is_some_and(|key| key.time() < self.horizon) {
            return Err(Fault::Horizon);
        }
        let own = |slot: &entity::Slot| {
            self.table.entry(*slot).is_some_and(|entry| entry.home == self.local)
        };
        if !self.floors.keys().all(own) {
            return Err(Fault::Floor);
        }
        Ok(())
    }
}

/// Returns the result of a claim on a remembered key.
fn standing_of(record: &Record, claim: &Claim) -> Standing {
    if record.fingerprint != claim.fingerprint {
        return Standing::Mismatch;
    }
    match record.state {
        State::Claimed if record.token == claim.token => Standing::Granted,
        State::Claimed => Standing::Claimed,
        State::Ran => Standing::Ran,
        State::Unknown => Standing::Unknown,
    }
}

/// Returns the time before which keys may have been granted by an earlier home.
///
/// `read_at` is when the new home first read the table, after it was written.
fn floor(way: table::Way, rules: &Rules, read_at: clock::Wall) -> clock::Wall {
    let margin = match way {
        table::Way::Settled => return clock::Wall::default(),
        table::Way::Handed | table::Way::Retaken => Duration::ZERO,
        table::Way::Witnessed => rules.lease,
        table::Way::Orphaned => rules.grace,
    };
    // The skew counts twice: the clock of the process that created the key may be ahead of the old
    // home's clock, and the old home's clock may be ahead of this one's.
    read_at + margin + rules.skew * 2
}

/// A violated invariant of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// More keys are remembered than the capacity allows.
    #[error("more keys are remembered than the capacity allows")]
    Capacity,
    /// A remembered key was created before the horizon.
    #[error("a remembered key was created before the horizon")]
    Horizon,
    /// A floor exists for a slot whose home is another agent.
    #[error("a floor exists for a slot whose home is another agent")]
    Floor,
}
