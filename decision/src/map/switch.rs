//! State machine that switches all ranks of a group from one map to the next at the same pass.
//!
//! First every rank prepares the map. Then the holder, and the marker if there is one
//! ([`version::is_holder`]), are ordered to keep the group from beginning a certain pass. Then every
//! rank is armed to switch when that pass begins, and finally the holders release the pass. Once the first rank may be armed, the pass is released only after
//! all ranks are confirmed armed, or after all ranks that may be armed are confirmed disarmed. An
//! order without an answer is repeated until its effect is known. When the group breaks, its
//! engines lose this state, and the machine is discarded too.
//!
//! While a host is frozen, its engine is unreachable for all drivers. So the holder is not the
//! driver's own rank, and ranks are armed in stages ([`version::stage`]): the marker, the holder,
//! the driver's own rank, then the others. Each stage is confirmed before the next one begins, and
//! disarming runs in reverse. While the holder is not armed, the driver's own rank is not armed
//! either, and while any rank but these and the marker is armed, the driver's own is armed too. So
//! another driver can undo or complete the change without querying the driver's own rank. The
//! marker holds the group too. Its stage delays the state in which the holder is armed and nothing
//! shows whether the driver's rank is, because a host may freeze right after its order to hold.
//!
//! A driver that takes over from a crashed one determines the remaining orders with
//! [`Switch::resume`] or [`Switch::resume_without`].

use std::collections::BTreeSet;

use crate::map::takeover::{self, Action};
use crate::map::version;

/// State of the engine of a rank, as its sidecar reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Condition {
    /// Version of the map in use.
    pub map: u64,
    /// Version of the prepared map.
    pub prepared: Option<u64>,
    /// Version and pass of the armed switch.
    pub armed: Option<(u64, u64)>,
    /// Pass that the rank prevents the group from beginning.
    pub held: Option<u64>,
}

/// An order to one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Order {
    /// Prepare a map.
    Prepare {
        /// Version of the map.
        version: u64,
    },
    /// Prevent the group from beginning a pass.
    Hold {
        /// Number of the pass.
        pass: u64,
    },
    /// Switch to the map when a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// Number of the pass.
        pass: u64,
    },
    /// Cancel an armed switch.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Allow the group to begin a held pass.
    Release {
        /// Number of the pass.
        pass: u64,
    },
    /// Allow the group to begin a held pass, unless this rank is armed. The engine rejects it if
    /// it has accepted another order since it was found not to be armed.
    ReleaseUnarmed {
        /// Version of the map that the rank must not be armed with.
        version: u64,
        /// Number of the pass.
        pass: u64,
    },
}

/// Effect of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// The state of the engine shows the effect.
    Confirmed,
    /// The engine rejected the order; it cannot take effect later.
    Refused,
    /// Not known; the order may still take effect.
    Unknown,
}

/// Result of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// All ranks switch at the chosen pass.
    Switched,
    /// The change was aborted; no rank switches.
    Abandoned,
    /// A late order has changed the state of a rank, or a rank rejected an order while another one
    /// cannot be queried. The group may still be held, and the state is to be read again.
    Undecided,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Preparing,
    /// All ranks are prepared; waits for [`Switch::hold`].
    Prepared,
    Holding,
    Arming,
    /// Releases the holder while the marker holds the group, so that it cannot be armed any more.
    Withdrawing,
    Disarming,
    Releasing(Outcome),
    Done(Outcome),
}

/// State machine of one change. Ranks are numbered from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Switch {
    version: u64,
    pass: u64,
    ranks: usize,
    /// Ranks that prevent the group from beginning the pass.
    holders: BTreeSet<usize>,
    /// Rank that cannot be queried and is sent no order.
    unreachable: Option<usize>,
    phase: Phase,
    /// Ranks that have not confirmed the order of the current phase.
    pending: BTreeSet<usize>,
}

impl Switch {
    /// Creates the change of a group of `ranks` to the map with this version. The version encodes
    /// the driver's own rank, the holder and the order of arming.
    pub fn new(ranks: usize, version: u64) -> Switch {
        Switch {
            version,
            pass: 0,
            ranks,
            holders: (0..ranks).filter(|rank| version::is_holder(version, ranks, *rank)).collect(),
            unreachable: None,
            phase: Phase::Preparing,
            pending: (0..ranks).collect(),
        }
    }

    /// Reconstructs the change of a crashed driver from the state of all ranks, or returns `None`
    /// if no rank holds a pass. If every rank is armed or has the map prepared, the change is
    /// completed, because an order to arm may still be in transit and could not be cancelled, unless
    /// a holder that is not armed has been released.
    /// Otherwise it is undone. Ranks that are armed while none holds a pass have been released
    /// and switch at their pass regardless; the driver must not send orders to them.
    pub fn resume(ranks: &[Condition]) -> Option<Switch> {
        let held = ranks.iter().find_map(|rank| rank.held)?;
        let armed = ranks.iter().find_map(|rank| rank.armed);
        let prepared = ranks.iter().find_map(|rank| rank.prepared);
        let version = armed.map(|(version, _)| version).or(prepared).unwrap_or(0);
        let is_armed = |rank: &Condition| rank.armed == Some((version, held));
        // A holder that has been released can no longer be armed.
        let ready = |(number, rank): (usize, &Condition)| {
            let waits = version::is_armed_held(version, ranks.len(), number);
            let can_arm = rank.held == Some(held) || !waits;
            is_armed(rank) || rank.prepared == Some(version) && can_arm
        };
        let pass_differs = armed.is_some_and(|(_, pass)| pass != held);
        let holders = (0..ranks.len()).filter(|rank| ranks[*rank].held.is_some()).collect();
        let mut switch = Switch {
            version,
            pass: held,
            ranks: ranks.len(),
            holders,
            unreachable: None,
            phase: Phase::Arming,
            pending: (0..ranks.len()).filter(|rank| !is_armed(&ranks[*rank])).collect(),
        };
        match () {
            () if version != 0 && !pass_differs && ranks.iter().enumerate().all(ready) => {
                switch.advance();
            }
            // No rank is armed for the held pass. A holder that is armed for another one is released
            // too, so that the release does not name the version.
            () if pass_differs => {
                switch.version = 0;
                switch.release(Outcome::Abandoned);
            }
            () if armed.is_none() => switch.release(Outcome::Abandoned),
            () => switch.undo(),
        }
        Some(switch)
    }

    /// Reconstructs a change while one rank, given as `None`, cannot be queried. `pass` is the last
    /// one that has begun. [`takeover::decide`] decides what is done with the change. Returns `None`
    /// if that is to wait.
    pub fn resume_without(ranks: &[Option<Condition>], pass: u64) -> Option<Switch> {
        let decision = takeover::decide(ranks, pass);
        let ranks_where = |state: &dyn Fn(&Condition) -> bool| -> BTreeSet<usize> {
            (0..ranks.len()).filter(|rank| ranks[*rank].as_ref().is_some_and(state)).collect()
        };
        let holders = ranks_where(&|rank| rank.held.is_some());
        let marker = version::marker(decision.version, ranks.len());
        let (phase, pending) = match decision.action {
            Action::Undo => match marker {
                Some(marker) => (Phase::Withdrawing, &holders - &BTreeSet::from([marker])),
                None => (Phase::Disarming, ranks_where(&|rank| rank.armed.is_some())),
            },
            Action::Forward => (Phase::Arming, ranks_where(&|rank| rank.armed.is_none())),
            Action::Wait => return None,
        };
        let mut switch = Switch {
            version: decision.version,
            pass: decision.pass,
            ranks: ranks.len(),
            holders,
            unreachable: ranks.iter().position(Option::is_none),
            phase,
            pending,
        };
        switch.advance();
        Some(switch)
    }

    /// Returns the version of the map.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the pass at which the ranks switch, or zero before it is chosen.
    pub fn pass(&self) -> u64 {
        self.pass
    }

    /// Returns the result of the change, or `None` while it is in progress.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.phase {
            Phase::Done(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns whether every rank is prepared and the pass can be chosen.
    pub fn prepared(&self) -> bool {
        self.phase == Phase::Prepared
    }

    /// Returns whether dropping the change now could leave ranks on different maps or the group
    /// blocked at a held pass.
    pub fn committed(&self) -> bool {
        matches!(
            self.phase,
            Phase::Holding
                | Phase::Arming
                | Phase::Withdrawing
                | Phase::Disarming
                | Phase::Releasing(_)
        )
    }

    /// Chooses the pass at which the ranks switch and begins to hold it.
    pub fn hold(&mut self, pass: u64) {
        debug_assert!(self.prepared(), "pass chosen before all ranks are prepared");
        self.pass = pass;
        self.phase = Phase::Holding;
        self.pending = self.holders.clone();
    }

    /// Returns the orders to send now, including repeats of those whose effect is not known.
    pub fn orders(&self) -> Vec<(usize, Order)> {
        let Some(order) = self.order() else { return Vec::new() };
        let ready = self.pending.iter().filter(|rank| !self.waits_for_stage(**rank));
        ready.map(|rank| (*rank, order)).collect()
    }

    /// Returns the order of the current phase, which is the same for all ranks.
    fn order(&self) -> Option<Order> {
        let (version, pass) = (self.version, self.pass);
        match self.phase {
            Phase::Preparing => Some(Order::Prepare { version }),
            Phase::Holding => Some(Order::Hold { pass }),
            Phase::Arming => Some(Order::Arm { version, pass }),
            Phase::Disarming => Some(Order::Disarm { version }),
            // The order to arm the holder or the marker may still be on its way.
            Phase::Withdrawing => Some(Order::ReleaseUnarmed { version, pass }),
            Phase::Releasing(Outcome::Abandoned) if self.is_staged() => {
                Some(Order::ReleaseUnarmed { version, pass })
            }
            Phase::Releasing(_) => Some(Order::Release { pass }),
            Phase::Prepared | Phase::Done(_) => None,
        }
    }

    /// Returns whether the version of the change is known and staged.
    fn is_staged(&self) -> bool {
        self.version != 0 && version::arming(self.version, self.ranks) == version::Arming::Staged
    }

    /// Returns whether ranks of an earlier stage are pending. Disarming runs in reverse.
    fn waits_for_stage(&self, rank: usize) -> bool {
        let stage = |rank: &usize| version::stage(self.version, self.ranks, *rank);
        let mut stages = self.pending.iter().map(stage);
        match self.phase {
            Phase::Arming => stages.any(|other| other < stage(&rank)),
            Phase::Disarming => stages.any(|other| other > stage(&rank)),
            _ => false,
        }
    }

    /// Applies the effect of an order that [`Switch::orders`] returned. Effects of orders of an
    /// earlier phase are ignored.
    pub fn effect(&mut self, rank: usize, order: Order, effect: Effect) {
        let outstanding = self.order() == Some(order) && self.pending.contains(&rank);
        if !outstanding || self.waits_for_stage(rank) {
            return;
        }
        match (effect, order) {
            (Effect::Unknown, _) => return,
            (Effect::Refused, Order::Prepare { .. }) => {
                self.phase = Phase::Done(Outcome::Abandoned);
                self.pending.clear();
                return;
            }
            // The pass has already begun, so that nothing is held.
            (Effect::Refused, Order::Hold { .. }) => {
                self.phase = Phase::Prepared;
                self.pending.clear();
                return;
            }
            (Effect::Refused, Order::Arm { .. }) if self.unreachable.is_none() => {
                return self.undo();
            }
            // The unreachable rank cannot be disarmed, or a late order has armed the holder or the
            // marker.
            (Effect::Refused, Order::Arm { .. } | Order::ReleaseUnarmed { .. }) => {
                self.phase = Phase::Done(Outcome::Undecided);
                self.pending.clear();
                return;
            }
            // An engine rejects an order to disarm when it is not armed, and an order to release
            // when it holds nothing.
            (Effect::Refused, Order::Disarm { .. } | Order::Release { .. })
            | (Effect::Confirmed, _) => {
                self.pending.remove(&rank);
            }
        }
        self.advance();
    }

    fn undo(&mut self) {
        self.phase = Phase::Disarming;
        self.pending = (0..self.ranks).collect();
    }

    fn release(&mut self, outcome: Outcome) {
        self.phase = Phase::Releasing(outcome);
        self.pending = self.holders.clone();
        self.advance();
    }

    /// Enters the next phase if no rank is pending.
    fn advance(&mut self) {
        if !self.pending.is_empty() {
            return;
        }
        match self.phase {
            Phase::Preparing => self.phase = Phase::Prepared,
            Phase::Holding => {
                self.phase = Phase::Arming;
                self.pending = (0..self.ranks).collect();
            }
            Phase::Withdrawing => {
                let marker = version::marker(self.version, self.ranks);
                self.phase = Phase::Disarming;
                self.pending = marker.into_iter().collect();
                self.holders = self.pending.clone();
            }
            Phase::Arming => self.release(Outcome::Switched),
            Phase::Disarming => self.release(Outcome::Abandoned),
            Phase::Releasing(outcome) => self.phase = Phase::Done(outcome),
            Phase::Prepared | Phase::Done(_) => {}
        }
    }
}
