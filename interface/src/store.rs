//! The platform's key-value store: revisions, leases, watches and
//! transactions.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

pub use loftcove_decision::revision::Revision;

/// A lease. The store may give its id out again in its next era, in which it is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Era in which it was given.
    pub era: u32,
    /// Its id.
    pub id: u64,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// Revision of the last write of this key.
    pub revision: Revision,
}

/// All items below a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The items, in the order of their keys.
    pub items: Vec<Item>,
    /// Revision that the first page was read at: the listing misses nothing
    /// up to it, and a watch goes on from it.
    pub revision: Revision,
}

/// One change below a watched prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The key was written.
    Put(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: Arc<str>,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// How long one call of a watch may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Longest time until a change; then the store answers that there was none.
    pub change: Duration,
    /// Time beyond that after which the call counts as lost.
    pub answer: Duration,
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first; empty where the wait ran out.
    pub events: Vec<Event>,
    /// Where the next watch goes on.
    pub revision: Revision,
}

/// A write of one key under a condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Arc<str>,
    /// The value, or `None` to remove the key.
    pub value: Option<Bytes>,
    /// Revision that the key must have, zero where it must not exist; `None`
    /// writes in any case.
    pub expected: Option<Revision>,
    /// Lease that the key goes with.
    pub lease: Option<Lease>,
}

/// What a write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was done, at this revision.
    Done(Revision),
    /// The key's revision was not the expected one.
    Conflict,
    /// The lease has run out.
    LeaseGone,
}

/// Why a call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection: nothing was done.
    #[error("store not reached: {0}")]
    Unreachable(String),
    /// The call was sent and no answer came: a write may have been done, or
    /// may still be done later.
    #[error("store's answer lost: {0}")]
    Lost(String),
    /// The store refused the call, for its rate or because it is not
    /// available: nothing was done.
    #[error("store refused the call with status {status}, rest_ms={}", .rest.as_millis())]
    Refused {
        /// HTTP status.
        status: u16,
        /// Time for which it wants no further call of this host; zero where it
        /// does not say.
        rest: Duration,
    },
    /// The watch's starting point is no longer in the store's history.
    #[error("history before the watch's revision is gone")]
    HistoryGone,
    /// The answer was not what the protocol says.
    #[error("store answered {status}: {reason}")]
    Protocol {
        /// HTTP status.
        status: u16,
        /// What was wrong.
        reason: String,
    },
}

impl Error {
    /// Time for which the store wants no further call of this host.
    pub fn rest(&self) -> Duration {
        match self {
            Error::Refused { rest, .. } => *rest,
            _ => Duration::ZERO,
        }
    }
}

/// The key-value store.
pub trait Store: Send + Sync + 'static {
    /// Reads all items below a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Waits until something below the prefix changes after `after`, or until
    /// the wait is over. Whether the store knows of the call shows only in its
    /// answer.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Wait,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Writes one key.
    fn write(&self, write: &Write) -> impl Future<Output = Result<Outcome, Error>> + Send;

    /// Begins a lease that lasts for `ttl` from the call's arrival.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease; `false` where it has run out.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;
}
