//! Checks in the agent for orders that concern the expert map.
//!
//! A fence is the revision of the record that an order was made under; it never decreases. An
//! agent that has just started knows no fence and rejects all orders until it has learnt that of
//! the group, either from the platform or, while the platform is unreachable, from the agent of
//! another rank. Another agent suffices as source because a map becomes active only after the
//! agent of every rank has received its fence.

use std::fmt;

use crate::map::record;

/// Revision of the record that an order was made under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The parts of a map order that the gate checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// Requested action.
    pub action: Action,
    /// Epoch of the map.
    pub epoch: record::Epoch,
    /// Fence of the order.
    pub fence: Fence,
    /// Digest of the layout.
    pub digest: u64,
}

/// Action that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Load the experts of the map in addition to those in use.
    Prepare,
    /// Launch all further steps with the map.
    Activate,
}

/// Reason for which an order was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The agent has received a higher fence.
    #[error("order is stale: fence {0} was already received")]
    Stale(Fence),
    /// The epoch was prepared with a different layout.
    #[error("epoch {0} was prepared with a different layout")]
    Digest(record::Epoch),
    /// The epoch was not prepared on this rank.
    #[error("epoch {0} is not prepared")]
    Unprepared(record::Epoch),
    /// The agent has not learnt the fence of the group yet.
    #[error("fence of the group is not known yet")]
    Unready,
}

/// Filter for map orders. Invariant: `fence` never decreases.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    fence: Option<Fence>,
    prepared: Option<(record::Epoch, u64)>,
}

impl Gate {
    /// Returns whether the fence is known.
    pub fn ready(&self) -> bool {
        self.fence.is_some()
    }

    /// Returns the highest fence received, or zero while none is known.
    pub fn fence(&self) -> Fence {
        self.fence.unwrap_or_default()
    }

    /// Raises the fence to one that the platform or another agent reported.
    pub fn learn(&mut self, fence: Fence) {
        self.fence = Some(self.fence().max(fence));
    }

    /// Checks an order and records its fence. The caller must carry out an accepted order before
    /// it checks the next one.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; the order must then not be sent to the backend server.
    pub fn check(&mut self, order: &Order) -> Result<(), Refusal> {
        let Some(fence) = self.fence else { return Err(Refusal::Unready) };
        if order.fence < fence {
            return Err(Refusal::Stale(fence));
        }
        let known = self.prepared.filter(|(epoch, _)| *epoch == order.epoch);
        if known.is_some_and(|(_, digest)| digest != order.digest) {
            return Err(Refusal::Digest(order.epoch));
        }
        if order.action == Action::Activate && known.is_none() {
            return Err(Refusal::Unprepared(order.epoch));
        }
        self.fence = Some(order.fence);
        Ok(())
    }

    /// Records that the backend server has prepared the map of an order.
    pub fn record_prepared(&mut self, order: &Order) {
        self.prepared = Some((order.epoch, order.digest));
    }
}
