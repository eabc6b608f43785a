//! The interface to a model engine, which is one rank of a group that runs in lock-step.
//!
//! The ranks of a group execute the same *pass* together; passes are numbered. The group's *map*
//! assigns experts to ranks. A sidecar replaces the map by *orders*: the engines prepare the new
//! map, the group is held before a pass, the switch is armed for that pass, and the group is
//! released. The *epoch* counts the formations of the group.

use std::future::Future;
use std::sync::Arc;

/// Experts by layer set and rank: `map[set][rank]` lists the experts that the rank holds.
pub type Map = Vec<Vec<Vec<u16>>>;

/// The state of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Factor by which the engine is slower than usual; 1 is the usual speed.
    pub slowness: f64,
    /// The engine's group, if it belongs to one.
    pub group: Option<Group>,
    /// Number of orders accepted since the engine's start.
    pub orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of running requests.
    pub active: u32,
    /// The last pass that has begun.
    pub pass: u64,
    /// Version of the map in use; zero for the initial map of a group.
    pub map: u64,
    /// Version of the map that is prepared and copied, if there is one.
    pub prepared: Option<u64>,
    /// Version and pass of the armed switch.
    pub armed: Option<(u64, u64)>,
    /// The pass that the group does not begin until it is released.
    pub held: Option<u64>,
}

/// The position of an engine in its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Name of the group.
    pub name: Arc<str>,
    /// Number that rises each time that the group forms again.
    pub epoch: u64,
    /// The engine's rank.
    pub rank: u32,
    /// Number of ranks in the group.
    pub size: u32,
    /// Whether the group runs.
    pub open: bool,
}

/// Number of times that the requests of a rank have chosen each expert since the engine's start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counts {
    /// The last pass that the counts include.
    pub pass: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Start of the engine in Unix milliseconds, if the engine reports it.
    pub born: Option<u64>,
    /// One count per expert, layer set by layer set.
    pub counts: Vec<u64>,
}

/// The experts that a rank holds under one map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Version of the map.
    pub version: u64,
    /// The rank's experts, by layer set.
    pub experts: Vec<Vec<u16>>,
}

/// An order that changes the group's map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Copies the experts that the map adds to this rank.
    Prepare {
        /// Version of the map, higher than all earlier versions on the rank.
        version: u64,
        /// The map.
        map: Arc<Map>,
    },
    /// Schedules the switch to the prepared map for the start of a pass.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        pass: u64,
    },
    /// Cancels an armed switch.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Prevents the whole group from beginning a pass.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Lets the group begin the pass that was held.
    Release {
        /// The pass.
        pass: u64,
    },
}

/// The reply of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The engine has started the order, or the order is already in effect.
    Accepted,
    /// The order does not match the engine's state, epoch or count of orders.
    Conflict,
    /// The engine rejected the order for another reason, with this HTTP status.
    Refused(u16),
}

/// The reason why a call to an engine returned no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No answer arrived. An order may have been accepted, or may still be carried out later.
    #[error("engine did not answer: {0}")]
    NoAnswer(String),
    /// The answer violates the protocol.
    #[error("unexpected answer from the engine with status {status}: {reason}")]
    Protocol {
        /// HTTP status.
        status: u16,
        /// The violation.
        reason: String,
    },
}

/// The engine that a sidecar accompanies.
pub trait Engine: Send + Sync + 'static {
    /// Returns the engine's state.
    fn report(&self) -> impl Future<Output = Result<Report, Error>> + Send;

    /// Returns how often each expert was chosen.
    fn counts(&self) -> impl Future<Output = Result<Counts, Error>> + Send;

    /// Returns the rank's experts under the map in use and under the prepared map.
    fn lists(&self) -> impl Future<Output = Result<(Held, Option<Held>), Error>> + Send;

    /// Sends an order, which is valid in `epoch` only. With `after`, it is also valid only while
    /// that is the number of orders that the engine has accepted.
    fn order(
        &self,
        order: &Order,
        epoch: u64,
        after: Option<u64>,
    ) -> impl Future<Output = Result<Verdict, Error>> + Send;
}
