//! The table of homes, which assigns an agent as home to each slot.
//!
//! The table is one value in the platform and is changed by compare-and-swap only. Its revision
//! orders all changes. Each reassignment of a slot increments the slot's epoch.
//!
//! - The *home* of a slot grants the slot's keys.
//! - The *witness* of a slot is an agent on another host that promises the home not to take the
//!   slot over yet, and takes it over when the home is silent.
//! - The *way* of a slot is how it came to its home. It bounds how long an earlier home may still
//!   grant keys.
//! - To *settle* a slot is to record that no earlier home can grant its keys any more.

use std::fmt;
use std::sync::Arc;

use cranelift_entity::EntityRef as _;
use serde::{Deserialize, Serialize};

use crate::{attempt, entity, rendezvous};

/// How a slot came to its home, which bounds how long an earlier home may still grant keys.
///
/// The variants are ordered by that bound, shortest first. A reassignment keeps the greater of its
/// own way and the present one until the home has settled the slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// No earlier home can grant keys: there was none, or its lease has expired.
    Settled,
    /// The previous home handed the slot over after it had stopped granting.
    Handed,
    /// The previous home was an earlier run on the same address, which has ended.
    Retaken,
    /// The witness took the slot over after its last promise had expired.
    Witnessed,
    /// Home and witness were both lost, and the slot was assigned to another agent.
    Orphaned,
}

/// Incarnation of a home that has not taken its slot yet.
///
/// A holder with this incarnation has granted no keys. The agent takes the slot in its present
/// run.
pub const NO_RUN: attempt::Incarnation = 0;

/// An agent in one run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Id of the agent's host.
    pub host: Arc<str>,
    /// Incarnation that identifies the run.
    pub incarnation: attempt::Incarnation,
}

/// Assignment of one slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Agent that grants the slot's keys.
    pub home: Holder,
    /// Host of the agent that may take the slot over; in another availability zone if one exists.
    pub witness: Option<Arc<str>>,
    /// Number that each reassignment of the slot increments.
    pub epoch: u64,
    /// How the slot came to its home.
    pub way: Way,
}

/// The assignment of all slots.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Table {
    /// Unique value per write. If the answer to the write is lost, a read shows whether it was
    /// applied.
    pub nonce: String,
    /// Slots, indexed by their number.
    pub slots: Vec<Entry>,
}

/// An agent that may become a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the agent's host.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
}

/// Selects the agents that may become homes: up to `per_zone` of each availability zone.
///
/// Rendezvous hashing keeps the change small when one agent leaves.
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

/// Returns a witness for a slot: an elected agent other than the home, in another availability
/// zone if one exists.
pub fn select_witness(elected: &[Candidate], home: &str, slot: usize) -> Option<Arc<str>> {
    let zone = elected.iter().find(|c| *c.host == *home).map(|c| &c.zone);
    let others = || elected.iter().filter(|c| *c.host != *home);
    let other_zones: Vec<&Candidate> = others().filter(|c| Some(&c.zone) != zone).collect();
    let pool = if other_zones.is_empty() { others().collect() } else { other_zones };
    let selected = pool.get(slot % pool.len().max(1))?;
    Some(selected.host.clone())
}

impl Table {
    /// Creates the first table, with the slots assigned round-robin to the elected agents.
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

    /// Returns the entry of a slot.
    pub fn entry(&self, slot: entity::Slot) -> Option<&Entry> {
        self.slots.get(slot.index())
    }

    /// Assigns each slot that `which` selects to the home that `home` returns for it. Returns
    /// whether any slot was reassigned.
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
            // A home with `NO_RUN` has granted no keys, so succeeding it requires no wait for
            // its lease. A wait that earlier homes require is still due.
            let untaken = entry.home.incarnation == NO_RUN && next.host == entry.home.host;
            let way = if untaken { entry.way } else { entry.way.max(way) };
            *entry = Entry { home: next, witness, epoch: entry.epoch + 1, way };
            changed = true;
        }
        changed
    }

    /// Records that no earlier home of these slots can grant keys any more.
    pub fn settle(&mut self, slots: &[entity::Slot]) {
        for slot in slots {
            self.slots[slot.index()].way = Way::Settled;
        }
    }

    /// Replaces the witnesses of a home's slots that are missing or for which `gone` returns true.
    /// Returns whether any was replaced.
    ///
    /// Only the home itself may do this, because it relies on its witness's promises.
    pub fn replace_witnesses(
        &mut self,
        home: &Holder,
        gone: impl Fn(&str) -> bool,
        elected: &[Candidate],
    ) -> bool {
        let mut changed = false;
        for (slot, entry) in self.slots.iter_mut().enumerate() {
            let missing = entry.witness.as_deref().is_none_or(&gone);
            if entry.home != *home || !missing {
                continue;
            }
            // Without another candidate the present witness stays, as it may return.
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
