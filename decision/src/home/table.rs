//! The table of homes: which agent is the home of which slot.
//!
//! One value in the platform, changed by compare-and-swap only; its revision
//! orders all changes. Every change makes the slot's epoch rise.

use std::fmt;
use std::sync::Arc;

use cranelift_entity::EntityRef as _;
use serde::{Deserialize, Serialize};

use crate::{attempt, entity, rendezvous};

/// How a slot came to its home, which tells how long an earlier home may go on
/// granting. Ordered from the surest on; a change keeps the less sure of its
/// own way and the one before, until the home has settled the slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// No earlier home can be granting: there was none, or its time is over.
    Settled,
    /// The home before handed it over and had stopped granting.
    Handed,
    /// The home before was an earlier run on the same address, which has ended.
    Retaken,
    /// Its witness took it after the last promise had run out.
    Witnessed,
    /// Home and witness are both gone.
    Orphaned,
}

/// Stands for a run that never was: whoever is named with it has not granted
/// anything yet, and takes the slot in its present run.
pub const NO_RUN: attempt::Incarnation = 0;

/// An agent in one run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Id of its host.
    pub host: Arc<str>,
    /// Its run.
    pub incarnation: attempt::Incarnation,
}

/// One slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The home.
    pub home: Holder,
    /// The agent that may take over, by host; in another zone where there is one.
    pub witness: Option<Arc<str>>,
    /// Rises with each change of the slot.
    pub epoch: u64,
    /// How the home came to it.
    pub way: Way,
}

/// The table.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Table {
    /// Unique to the write, so that a lost answer can be settled by reading back.
    pub nonce: String,
    /// The slots, by their number.
    pub slots: Vec<Entry>,
}

/// An agent that may become a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of its host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// Picks the homes-to-be: some of each zone, by rendezvous, so that one
/// agent's going changes little.
pub fn elect(candidates: &[Candidate], per_zone: usize) -> Vec<Candidate> {
    let mut zones: Vec<&Arc<str>> = candidates.iter().map(|candidate| &candidate.zone).collect();
    zones.sort();
    zones.dedup();
    let mut elected = Vec::new();
    for zone in zones {
        let hosts = candidates.iter().filter(|c| c.zone == *zone).map(|c| &*c.host);
        let order = rendezvous::order(zone, hosts);
        for host in order.into_iter().take(per_zone) {
            elected.extend(candidates.iter().find(|c| *c.host == *host).cloned());
        }
    }
    elected
}

/// A witness for a slot: an elected agent other than the home, of another
/// zone if there is one.
pub fn select_witness(elected: &[Candidate], home: &str, slot: usize) -> Option<Arc<str>> {
    let zone = elected.iter().find(|c| *c.host == *home).map(|c| &c.zone);
    let others = || elected.iter().filter(|c| *c.host != *home);
    let abroad: Vec<&Candidate> = others().filter(|c| Some(&c.zone) != zone).collect();
    let pool = if abroad.is_empty() { others().collect() } else { abroad };
    let chosen = pool.get(slot % pool.len().max(1))?;
    Some(chosen.host.clone())
}

impl Table {
    /// The first table: slots dealt round the elected.
    pub fn found(elected: &[Candidate], slots: usize, nonce: String) -> Table {
        let entry = |slot: usize| {
            let host = elected[slot % elected.len()].host.clone();
            let witness = select_witness(elected, &host, slot / elected.len());
            let home = Holder { host, incarnation: NO_RUN };
            Entry { home, witness, epoch: 1, way: Way::Settled }
        };
        let count = if elected.is_empty() { 0 } else { slots };
        Table { nonce, slots: (0..count).map(entry).collect() }
    }

    /// The entry of a slot.
    pub fn entry(&self, slot: entity::Slot) -> Option<&Entry> {
        self.slots.get(slot.index())
    }

    /// Gives the slots that `which` selects to a new home each; returns
    /// whether any was.
    pub fn reassign(
        &mut self,
        which: impl Fn(&Entry) -> bool,
        home: impl Fn(usize, &Entry) -> Option<Holder>,
        elected: &[Candidate],
        way: Way,
    ) -> bool {
        let mut changed = false;
        for (slot, entry) in self.slots.iter_mut().enumerate() {
            if !which(entry) {
                continue;
            }
            let Some(next) = home(slot, entry) else { continue };
            let kept = entry.witness.clone().filter(|host| *host != next.host);
            let witness = select_witness(elected, &next.host, slot).or(kept);
            // Whoever is named with no run has granted nothing, so following
            // it adds no doubt; but earlier doubt stays.
            let unused = entry.home.incarnation == NO_RUN && next.host == entry.home.host;
            let way = if unused { entry.way } else { entry.way.max(way) };
            *entry = Entry { home: next, witness, epoch: entry.epoch + 1, way };
            changed = true;
        }
        changed
    }

    /// Records that no earlier home of those slots can be granting any more.
    pub fn settle(&mut self, slots: &[entity::Slot]) {
        for slot in slots {
            self.slots[slot.index()].way = Way::Settled;
        }
    }

    /// Replaces the witnesses of a home's slots that `gone` says are gone.
    /// Only the home itself may do this: its witness is what lets it go on.
    pub fn replace_witnesses(
        &mut self,
        home: &Holder,
        gone: impl Fn(&str) -> bool,
        elected: &[Candidate],
    ) -> bool {
        let mut changed = false;
        for (slot, entry) in self.slots.iter_mut().enumerate() {
            let lacking = entry.witness.as_deref().is_none_or(&gone);
            if entry.home != *home || !lacking {
                continue;
            }
            // Without another candidate the one that is named may come back.
            let Some(next) = select_witness(elected, &home.host, slot) else { continue };
            changed |= entry.witness.as_ref() != Some(&next);
            entry.witness = Some(next);
        }
        changed
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (slot, entry) in self.slots.iter().enumerate() {
            let witness = entry.witness.as_deref().unwrap_or("none");
            writeln!(
                f,
                "slot{slot} home={} witness={witness} epoch={} way={:?}",
                entry.home.host, entry.epoch, entry.way
            )?;
        }
        Ok(())
    }
}
