//! A model engine, one rank of a group that runs in lock-step.

use std::future::Future;
use std::sync::Arc;

/// Experts by layer set and rank: `map[set][rank]` lists the experts that the
/// rank holds.
pub type Map = Vec<Vec<Vec<u16>>>;

/// State of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// How many times as long as usual it takes for its work; 1 is usual.
    pub slowness: f64,
    /// Its group, if it belongs to one.
    pub group: Option<Group>,
    /// Orders that it has taken since its start.
    pub orders: u64,
    /// Whether an order is under way.
    pub busy: bool,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub active: u32,
    /// Last pass that has begun.
    pub pass: u64,
    /// Version of the map in use; zero for the one that a group opens with.
    pub map: u64,
    /// Version of the map that is prepared and copied, if there is one.
    pub prepared: Option<u64>,
    /// Version and pass of the switch that is armed.
    pub armed: Option<(u64, u64)>,
    /// Pass that the group does not begin until it is let go on.
    pub held: Option<u64>,
}

/// An engine's place in its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Name of the group.
    pub name: Arc<str>,
    /// Rises each time that the group forms anew.
    pub epoch: u64,
    /// The engine's rank.
    pub rank: u32,
    /// Ranks of the group.
    pub size: u32,
    /// Whether the group runs.
    pub open: bool,
}

/// How often the requests of a rank chose each expert since its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counts {
    /// Last pass that they cover.
    pub pass: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// When the engine started, Unix milliseconds, where it tells.
    pub born: Option<u64>,
    /// Set by set, a count for each expert.
    pub counts: Vec<u64>,
}

/// The experts that a rank holds, set by set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Version of the map.
    pub version: u64,
    /// The rank's experts, set by set.
    pub experts: Vec<Vec<u16>>,
}

/// An order about the group's map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Copy the experts that the map has new on this rank.
    Prepare {
        /// Version of the map; higher than all that the rank had.
        version: u64,
        /// The map.
        map: Arc<Map>,
    },
    /// Switch to the prepared map as a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        pass: u64,
    },
    /// Take back an armed switch.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Keep the whole group from beginning a pass.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Let the group begin the pass that was held.
    Release {
        /// The pass.
        pass: u64,
    },
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It begins, or holds already.
    Accepted,
    /// It does not fit the engine's state, epoch or count of orders.
    Conflict,
    /// The engine refused it otherwise, with this status.
    Refused(u16),
}

/// Why a call to an engine gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No answer came: an order may have been taken, or may be carried out later.
    #[error("engine did not answer: {0}")]
    NoAnswer(String),
    /// The answer was not what the protocol says.
    #[error("engine answered {status}: {reason}")]
    Protocol {
        /// HTTP status.
        status: u16,
        /// What was wrong.
        reason: String,
    },
}

/// The engine beside a sidecar.
pub trait Engine: Send + Sync + 'static {
    /// Its state.
    fn report(&self) -> impl Future<Output = Result<Report, Error>> + Send;

    /// Its counts.
    fn counts(&self) -> impl Future<Output = Result<Counts, Error>> + Send;

    /// The experts of the map in use, and of the prepared one.
    fn lists(&self) -> impl Future<Output = Result<(Held, Option<Held>), Error>> + Send;

    /// Gives it an order, valid in one epoch and, if given, only as the next
    /// one after so many.
    fn order(
        &self,
        order: &Order,
        epoch: u64,
        after: Option<u64>,
    ) -> impl Future<Output = Result<Verdict, Error>> + Send;
}
