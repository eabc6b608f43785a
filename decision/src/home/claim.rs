//! Claims of idempotency keys, their results, and the outcomes of claimed requests.

use crate::home::key;

/// Result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The claimant may run the request, and no other process may.
    Granted,
    /// Another claimant holds the key.
    Claimed,
    /// The request ran.
    Ran,
    /// It is unknown whether the request ran.
    Unknown,
    /// This agent is not the home of the key's slot, or cannot confirm that it is.
    NotHome,
    /// The home already remembers as many keys as its capacity allows.
    Full,
    /// The key was claimed for a request with another fingerprint.
    Mismatch,
    /// The key's creation time is ahead of the home's clock by more than the bound on skew.
    Future,
}

/// Outcome of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and was answered.
    Ran,
    /// The request certainly did not run: the key may be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A claim on a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The key.
    pub key: key::Key,
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Unique id of the claimant, whose repeated claim is granted again.
    pub token: u128,
}
