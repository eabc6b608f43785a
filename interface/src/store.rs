//! The interface to the platform's key-value store: revisions, leases, watches and conditional
//! writes.
//!
//! The *era* of the store is the number of times that it has lost a part of its history. Numbers
//! of revisions and leases may be assigned again in a later era. The *rest* is the time for which
//! the store wants no further call from a host.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

pub use loftcove_decision::revision::Revision;

/// A lease. It ends with its era; in the next era the store may assign its id to another lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Era in which the store granted the lease.
    pub era: u32,
    /// Id of the lease.
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

/// Items of an answer that cannot be read, and therefore are not among its items or changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Unreadable {
    /// Keys of those whose key can be read.
    pub keys: Vec<Arc<str>>,
    /// Number of those whose key cannot be read.
    pub unnamed: usize,
}

impl Unreadable {
    /// Returns the number of items.
    pub fn count(&self) -> usize {
        self.keys.len() + self.unnamed
    }
}

/// All items whose keys have a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The items, sorted by key, each key once.
    pub items: Vec<Item>,
    /// Items that cannot be read. Their keys exist.
    pub unreadable: Unreadable,
    /// Revision at which the first page was read. The listing contains all changes up to it, and
    /// a watch continues from it.
    pub revision: Revision,
}

/// One change of a key with a watched prefix.
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

/// The time limits of one call of a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Longest wait for a change, after which the store answers without one.
    pub change: Duration,
    /// Additional time for the answer, after which the call counts as lost.
    pub answer: Duration,
}

/// The changes that a watch received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first; empty if the wait ended without one.
    pub events: Vec<Event>,
    /// Changes that cannot be read.
    pub unreadable: Unreadable,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}

impl Changes {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.unreadable.count() == 0
    }
}

/// A conditional write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Arc<str>,
    /// The value, or `None` to remove the key.
    pub value: Option<Bytes>,
    /// Revision that the key must have, or zero if the key must not exist. `None` makes the write
    /// unconditional.
    pub expected: Option<Revision>,
    /// Lease that the key is attached to.
    pub lease: Option<Lease>,
}

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The write was done at this revision.
    Done(Revision),
    /// The key's revision was not the expected one.
    Conflict,
    /// The lease has expired.
    LeaseGone,
}

/// The reason why a call returned no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be established: nothing was done.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// The call was sent and no answer arrived: a write may have been done, or may still be done
    /// later.
    #[error("no answer from the store: {0}")]
    Lost(String),
    /// The store rejected the call for its rate limit or because it is unavailable: nothing was
    /// done.
    #[error("store rejected the call with status {status}, rest_ms={}", .rest.as_millis())]
    Refused {
        /// HTTP status.
        status: u16,
        /// Time for which the store wants no further call from this host; zero if not given.
        rest: Duration,
    },
    /// The store's history no longer contains the revision that a watch or listing continues
    /// from.
    #[error("the store's history no longer contains the revision")]
    HistoryGone,
    /// The answer violates the protocol.
    #[error("unexpected answer from the store with status {status}: {reason}")]
    Protocol {
        /// HTTP status.
        status: u16,
        /// The violation.
        reason: String,
    },
}

impl Error {
    /// Returns the kind of the error, as a word for log lines and metrics.
    pub fn cause(&self) -> &'static str {
        match self {
            Error::Unreachable(_) => "unreachable",
            Error::Lost(_) => "no-answer",
            Error::Refused { .. } => "rejected",
            Error::HistoryGone => "history-gone",
            Error::Protocol { .. } => "unexpected-answer",
        }
    }

    /// Returns the time for which the store wants no further call from this host.
    pub fn rest(&self) -> Duration {
        match self {
            Error::Refused { rest, .. } => *rest,
            _ => Duration::ZERO,
        }
    }
}

/// The key-value store.
pub trait Store: Send + Sync + 'static {
    /// Reads all items whose keys begin with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Waits for changes later than `after` of keys that begin with `prefix`, until the wait ends.
    /// Only the answer shows whether the store has received the call.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Wait,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Writes one key.
    fn write(&self, write: &Write) -> impl Future<Output = Result<Outcome, Error>> + Send;

    /// Requests a lease that lasts for `ttl` from the arrival of the call.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease. Returns `false` if it has expired.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Ends a lease, which removes its keys.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;
}
