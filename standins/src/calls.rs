//! An in-memory implementation of [`Store`] for unit tests of its callers.
//!
//! It counts calls, records the last write, and rejects the operations that it does not implement
//! with status 503.

use std::sync::Mutex;
use std::time::Duration;

use loftcove_interface::store::{self, Error, Store};

/// Configured behaviour of the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Plan {
    /// Number of renewals that succeed. Later ones report that the lease has expired.
    pub renewals: u32,
    /// Number of initial lease grants whose responses are lost.
    pub lost_grants: u32,
    /// Whether every write conflicts, as if its key already existed.
    pub conflict: bool,
    /// Status with which every write is rejected, or zero if writes are accepted.
    pub rejected_writes: u16,
}

/// Calls that the store has received.
#[derive(Debug, Clone, Default)]
pub struct Recording {
    /// Number of renewals.
    pub renewals: u32,
    /// TTLs of the requested leases.
    pub grants: Vec<Duration>,
    /// Last write.
    pub write: Option<store::Write>,
    /// Number of revoked leases.
    pub revocations: u32,
}

/// A store that records its calls.
#[derive(Debug, Default)]
pub struct Recorder {
    plan: Plan,
    recording: Mutex<Recording>,
}

impl Recorder {
    /// Creates a store without any recorded call.
    pub fn new(plan: Plan) -> Recorder {
        Recorder { plan, recording: Mutex::default() }
    }

    /// Returns the calls recorded so far.
    pub fn recording(&self) -> Recording {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Recording> {
        self.recording.lock().expect("no holder of the stand-in's lock panics")
    }
}

impl Store for Recorder {
    async fn list(&self, _: &str) -> Result<store::Listing, Error> {
        Err(Error::Refused { status: 503, rest: Duration::ZERO })
    }

    async fn watch(
        &self,
        _: &str,
        _: store::Revision,
        _: store::Wait,
    ) -> Result<store::Changes, Error> {
        Err(Error::Refused { status: 503, rest: Duration::ZERO })
    }

    async fn write(&self, write: &store::Write) -> Result<store::Outcome, Error> {
        self.lock().write = Some(write.clone());
        if self.plan.rejected_writes != 0 {
            let (status, rest) = (self.plan.rejected_writes, Duration::ZERO);
            return Err(Error::Refused { status, rest });
        }
        Ok(if self.plan.conflict {
            store::Outcome::Conflict
        } else {
            store::Outcome::Done(store::Revision::new(0, 5))
        })
    }

    async fn grant(&self, ttl: Duration) -> Result<store::Lease, Error> {
        let mut recording = self.lock();
        recording.grants.push(ttl);
        match recording.grants.len() as u32 > self.plan.lost_grants {
            true => Ok(store::Lease { era: 0, id: 1 }),
            false => Err(Error::Lost("answer".to_owned())),
        }
    }

    async fn renew(&self, _: store::Lease) -> Result<bool, Error> {
        let mut recording = self.lock();
        recording.renewals += 1;
        Ok(recording.renewals <= self.plan.renewals)
    }

    async fn revoke(&self, _: store::Lease) -> Result<(), Error> {
        self.lock().revocations += 1;
        Ok(())
    }
}
