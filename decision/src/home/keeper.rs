//! An agent as home and as witness.
//!
//! Why no key is granted twice. A home grants only while its lease holds. The
//! lease comes from a read of the platform that showed it as the home, and
//! runs out [`Rules::lease`] after that read began; or, during an outage of
//! the platform, from its witness's promises, at most [`Rules::grace`] after
//! that read. A new home learns of its slot only after the change was written,
//! so the old one's last showing read is older than the learning. If the
//! witness took over, it gave its last promise before it learnt, and a promise
//! is as long as a lease: the old lease ends at most [`Rules::lease`] after
//! the learning. If anybody else did, it ends at most [`Rules::grace`] after
//! it. A home grants only keys that are not made later than its clock plus the
//! bound on skew; a new home grants only keys made after the old lease's last
//! possible end plus twice that bound. So the keys that the two may grant are
//! disjoint by their own times, however late any message or process wakes.
//! `decision/tests/homes.rs` runs this under generated orders of events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::EntityRef as _;

pub use crate::home::claim::{Claim, Outcome, Standing};
use crate::home::{key, table};
use crate::{clock, entity};

/// Leases of silence after which a witness takes over. A home notices in half
/// as many that its witness is out of reach.
const SILENT_LEASES: u32 = 3;
/// Leases for which a witness that was out of reach is not named again.
const SHUN_LEASES: u32 = 20;

/// Times that all processes of a deployment agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// How long a home goes on after a read of the platform.
    pub lease: Duration,
    /// How long it goes on with promises of its witness alone.
    pub grace: Duration,
    /// Bound on the difference of two hosts' clocks.
    pub skew: Duration,
    /// How long a key is remembered; older ones are refused.
    pub window: Duration,
    /// Keys that are remembered at the most.
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

/// The machine. Invariant: keys are remembered from `horizon` on.
#[derive(Debug)]
pub struct Keeper {
    me: table::Holder,
    rules: Rules,
    revision: u64,
    table: table::Table,
    /// When the last read that confirmed the table began.
    confirmed: Option<clock::Instant>,
    /// Set while a change of its own witnesses is in flight: whom it relies on
    /// is not known, so promises do not count.
    unsettled: bool,
    retired: bool,
    /// Promises of witnesses, by host, with their ends.
    promises: BTreeMap<Arc<str>, clock::Instant>,
    /// When each of its witnesses was first seen as one.
    appointed: BTreeMap<Arc<str>, clock::Instant>,
    /// Witnesses that were replaced for being out of reach, and when.
    shunned: BTreeMap<Arc<str>, clock::Instant>,
    /// As a witness: when each of its homes was last heard, or first named.
    heard: BTreeMap<table::Holder, clock::Instant>,
    floors: BTreeMap<entity::Slot, Floor>,
    keys: BTreeMap<key::Key, Record>,
    horizon: clock::Wall,
}

/// Keys of a slot from before this time belong to an earlier home.
#[derive(Debug, Clone, Copy)]
struct Floor {
    epoch: u64,
    time: clock::Wall,
}

impl Keeper {
    /// A machine that knows no table yet.
    pub fn new(me: table::Holder, rules: Rules) -> Keeper {
        Keeper {
            me,
            rules,
            revision: 0,
            table: table::Table::default(),
            confirmed: None,
            unsettled: false,
            retired: false,
            promises: BTreeMap::new(),
            appointed: BTreeMap::new(),
            shunned: BTreeMap::new(),
            heard: BTreeMap::new(),
            floors: BTreeMap::new(),
            keys: BTreeMap::new(),
            horizon: clock::Wall::default(),
        }
    }

    /// The table as last read from the platform, with its revision.
    pub fn table(&self) -> (u64, &table::Table) {
        (self.revision, &self.table)
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Whether the table gives this run, or an earlier one, anything to do.
    pub fn listed(&self) -> bool {
        self.table.slots.iter().any(|entry| {
            entry.home.host == self.me.host || entry.witness.as_ref() == Some(&self.me.host)
        })
    }

    /// The platform showed the table at that revision in a read that began
    /// at `began` and has ended at `wall`.
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
        self.unsettled = false;
        self.learn_floors(wall);
        self.learn_partners(began);
    }

    /// Notes whom this home relies on, and who relies on this witness; each
    /// gets its time from when it was first seen.
    fn learn_partners(&mut self, now: clock::Instant) {
        let witnesses = self.witnesses();
        self.appointed.retain(|host, _| witnesses.contains(host));
        for witness in witnesses {
            self.appointed.entry(witness).or_insert(now);
        }
        let homes = self.homes();
        self.heard.retain(|home, _| homes.contains(home));
        for home in homes {
            self.heard.entry(home).or_insert(now);
        }
    }

    /// Homes whose slots this agent is the witness of.
    fn homes(&self) -> Vec<table::Holder> {
        let mine = |entry: &&table::Entry| entry.witness.as_ref() == Some(&self.me.host);
        let homes = self.table.slots.iter().filter(mine).map(|entry| entry.home.clone());
        let mut homes: Vec<table::Holder> = homes.collect();
        homes.sort();
        homes.dedup();
        homes
    }

    fn learn_floors(&mut self, wall: clock::Wall) {
        for (slot, entry) in self.table.slots.iter().enumerate() {
            let slot = entity::Slot::new(slot);
            if entry.home != self.me {
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

    /// Claims a key.
    pub fn claim(&mut self, claim: Claim, now: clock::Instant, wall: clock::Wall) -> Standing {
        self.forget(wall);
        let slot = claim.key.slot(self.table.slots.len());
        if !self.holds(slot, now) {
            return Standing::NotHome;
        }
        let time = claim.key.time();
        if time > wall + self.rules.skew {
            return Standing::Future;
        }
        if let Some(record) = self.keys.get(&claim.key) {
            return stand(record, &claim);
        }
        let floor = self.floors.get(&slot).map_or(wall, |floor| floor.time);
        if time < floor || time < self.horizon {
            // An earlier home, or this one, may have granted and forgotten it.
            return Standing::Unknown;
        }
        if self.keys.len() >= self.rules.capacity {
            return Standing::Full;
        }
        let Claim { key, fingerprint, token } = claim;
        self.keys.insert(key, Record { fingerprint, token, state: State::Claimed });
        Standing::Granted
    }

    /// Takes what became of a claimed request. Returns whether the claim is known.
    pub fn settle(&mut self, key: key::Key, token: u128, outcome: Outcome) -> bool {
        let Some(record) = self.keys.get_mut(&key) else { return false };
        if record.token != token {
            return false;
        }
        match outcome {
            Outcome::Ran => record.state = State::Ran,
            Outcome::Unknown => record.state = State::Unknown,
            // Only a claim that is open may be given back; a late word must
            // not free a key that has run.
            Outcome::NotRun if record.state == State::Claimed => {
                self.keys.remove(&key);
            }
            Outcome::NotRun => {}
        }
        true
    }

    /// Whether this agent may grant keys of the slot now.
    pub fn holds(&self, slot: entity::Slot, now: clock::Instant) -> bool {
        let (Some(entry), Some(confirmed)) = (self.table.entry(slot), self.confirmed) else {
            return false;
        };
        if entry.home != self.me || self.retired {
            return false;
        }
        if now < confirmed + self.rules.lease {
            return true;
        }
        let promise = entry.witness.as_ref().and_then(|witness| self.promises.get(witness));
        let promised = promise.is_some_and(|until| now < *until) && !self.unsettled;
        promised && now < confirmed + self.rules.grace
    }

    /// Witnesses of this home's slots, to be asked for promises.
    pub fn witnesses(&self) -> Vec<Arc<str>> {
        let own = self.table.slots.iter().filter(|entry| entry.home == self.me);
        let mut witnesses: Vec<Arc<str>> = own.filter_map(|entry| entry.witness.clone()).collect();
        witnesses.sort();
        witnesses.dedup();
        witnesses
    }

    /// A witness answered a plea that was sent at `asked`.
    pub fn record_promise(&mut self, witness: &Arc<str>, hold: Duration, asked: clock::Instant) {
        if hold.is_zero() {
            self.promises.remove(witness);
            return;
        }
        // Counted from the sending, so that it ends here before it ends there.
        self.promises.insert(witness.clone(), asked + hold);
    }

    /// As a witness: a home asks for a promise. Returns how long it may rely
    /// on this agent not taking over; zero where there is no promise.
    pub fn renew(&mut self, home: &table::Holder, now: clock::Instant) -> Duration {
        if self.retired || !self.homes().contains(home) {
            return Duration::ZERO;
        }
        self.heard.insert(home.clone(), now);
        self.rules.lease
    }

    /// As a witness: homes that have been silent for so long that they cannot
    /// even have replaced this witness, which a home does that only lost sight
    /// of it.
    pub fn silent_homes(&self, now: clock::Instant) -> Vec<table::Holder> {
        let quiet = self.rules.lease * SILENT_LEASES;
        let silent = self.heard.iter().filter(|(_, at)| now.since(**at) > quiet);
        silent.map(|(home, _)| home.clone()).collect()
    }

    /// The table with a silent home's slots taken over by this witness.
    pub fn take_over(
        &mut self,
        home: &table::Holder,
        elected: &[table::Candidate],
    ) -> table::Table {
        let mut next = self.table.clone();
        let me = self.me.clone();
        next.reassign(
            |entry| entry.home == *home && entry.witness.as_ref() == Some(&me.host),
            |_, _| Some(me.clone()),
            elected,
            table::Way::Witnessed,
        );
        next
    }

    /// The table with the slots of this host's earlier run taken by this run,
    /// if there are any.
    pub fn retake(&self, elected: &[table::Candidate]) -> Option<table::Table> {
        let mut next = self.table.clone();
        let me = self.me.clone();
        let changed = next.reassign(
            |entry| entry.home.host == me.host && entry.home.incarnation < me.incarnation,
            |_, _| Some(me.clone()),
            elected,
            table::Way::Retaken,
        );
        changed.then_some(next)
    }

    /// Whether a witness of this home has not promised anything for so long
    /// that it must be thought out of reach. It will take the home's slots over
    /// if it is not replaced before.
    fn out_of_reach(&self, witness: &str, now: clock::Instant) -> bool {
        let ends = self.promises.get(witness).copied();
        let appointed = self.appointed.get(witness).copied();
        let since = ends.max(appointed.map(|at| at + self.rules.lease));
        since.is_some_and(|since| since + self.rules.lease / 2 < now)
    }

    /// The table with new witnesses in place of those that are gone from the
    /// host list or out of reach, if there are any.
    pub fn mend_witnesses(
        &mut self,
        gone: impl Fn(&str) -> bool,
        elected: &[table::Candidate],
        now: clock::Instant,
    ) -> Option<table::Table> {
        let unreached: Vec<Arc<str>> =
            self.witnesses().into_iter().filter(|host| self.out_of_reach(host, now)).collect();
        self.shunned.extend(unreached.into_iter().map(|host| (host, now)));
        let shun = self.rules.lease * SHUN_LEASES;
        self.shunned.retain(|_, at| now.since(*at) < shun);
        let lost = |host: &str| gone(host) || self.shunned.contains_key(host);
        let within: Vec<table::Candidate> =
            elected.iter().filter(|candidate| !lost(&candidate.host)).cloned().collect();
        let mut next = self.table.clone();
        let changed = next.replace_witnesses(&self.me, lost, &within);
        self.unsettled |= changed;
        changed.then_some(next)
    }

    /// Stops granting for good and returns the table with its slots handed to
    /// their witnesses, if it has any.
    pub fn retire(&mut self, elected: &[table::Candidate]) -> Option<table::Table> {
        self.retired = true;
        let me = self.me.clone();
        let others: Vec<table::Candidate> =
            elected.iter().filter(|candidate| candidate.host != me.host).cloned().collect();
        let heir = |entry: &table::Entry| {
            let host = entry.witness.clone()?;
            Some(table::Holder { host, incarnation: table::NO_RUN })
        };
        let mut next = self.table.clone();
        let changed = next.reassign(
            |entry| entry.home == me,
            |_, entry| heir(entry),
            &others,
            table::Way::Handed,
        );
        changed.then_some(next)
    }

    /// The table with this home's slots settled whose floor has passed, if
    /// there are any: from here on a later change need not doubt the earlier
    /// homes of these any more.
    pub fn settle_slots(&self, wall: clock::Wall) -> Option<table::Table> {
        let passed = |(slot, floor): (&entity::Slot, &Floor)| {
            let doubted =
                self.table.entry(*slot).is_some_and(|entry| entry.way != table::Way::Settled);
            (doubted && floor.time < wall).then_some(*slot)
        };
        let slots: Vec<entity::Slot> = self.floors.iter().filter_map(passed).collect();
        if slots.is_empty() {
            return None;
        }
        let mut next = self.table.clone();
        next.settle(&slots);
        Some(next)
    }

    /// Forgets keys from before the window. The horizon never falls, even if
    /// the wall clock does.
    fn forget(&mut self, wall: clock::Wall) {
        self.horizon = self.horizon.max(wall.saturating_sub(self.rules.window));
        while let Some(entry) = self.keys.first_entry() {
            if entry.key().time() >= self.horizon {
                break;
            }
            entry.remove();
        }
    }

    /// Checks the machine's invariants.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        if self.keys.len() > self.rules.capacity {
            return Err(Fault::Capacity);
        }
        if self.keys.keys().next().is_some_and(|key| key.time() < self.horizon) {
            return Err(Fault::Horizon);
        }
        let own = |slot: &entity::Slot| {
            self.table.entry(*slot).is_some_and(|entry| entry.home == self.me)
        };
        if !self.floors.keys().all(own) {
            return Err(Fault::Floor);
        }
        Ok(())
    }
}

fn stand(record: &Record, claim: &Claim) -> Standing {
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

/// Keys from before this time may have been granted by an earlier home.
/// `learnt` is when the new home first saw the table, after it was written.
fn floor(way: table::Way, rules: &Rules, learnt: clock::Wall) -> clock::Wall {
    let margin = match way {
        table::Way::Settled => return clock::Wall::default(),
        table::Way::Handed | table::Way::Retaken => Duration::ZERO,
        table::Way::Witnessed => rules.lease,
        table::Way::Orphaned => rules.grace,
    };
    // Once for each of the two clocks: the key maker's may be ahead of the old
    // home's, and the old home's of this one's.
    learnt + margin + rules.skew * 2
}

/// A broken invariant of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The capacity must hold.
    #[error("more keys than the capacity")]
    Capacity,
    /// No key is remembered from before the horizon.
    #[error("a key from before the horizon")]
    Horizon,
    /// Floors exist for own slots only.
    #[error("a floor of another's slot")]
    Floor,
}
