//! A store in memory for tests of those who call it: it counts calls, keeps the
//! last write, and refuses what it does not know.

use std::sync::Mutex;
use std::time::Duration;

use loftcove_interface::store::{self, Error, Store};

/// What the store does.
#[derive(Debug, Clone, Copy, Default)]
pub struct Plan {
    /// Renewals for which a lease holds.
    pub renewals: u32,
    /// First grants of a lease whose answers are lost.
    pub lost_grants: u32,
    /// Whether every key that is written exists already.
    pub taken: bool,
}

/// What was asked of it.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Renewals.
    pub renewals: u32,
    /// Times of the leases that were asked for.
    pub grants: Vec<Duration>,
    /// The last write.
    pub write: Option<store::Write>,
    /// Leases that were ended.
    pub ended: u32,
}

/// The store.
#[derive(Debug, Default)]
pub struct Calls {
    plan: Plan,
    seen: Mutex<Seen>,
}

impl Calls {
    /// A store that was asked nothing.
    pub fn new(plan: Plan) -> Calls {
        Calls { plan, seen: Mutex::default() }
    }

    /// What was asked of it so far.
    pub fn seen(&self) -> Seen {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().expect("no holder of the stand-in's lock panics")
    }
}

impl Store for Calls {
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
        Ok(if self.plan.taken {
            store::Outcome::Conflict
        } else {
            store::Outcome::Done(store::Revision::new(0, 5))
        })
    }

    async fn grant(&self, ttl: Duration) -> Result<store::Lease, Error> {
        let mut seen = self.lock();
        seen.grants.push(ttl);
        match seen.grants.len() as u32 > self.plan.lost_grants {
            true => Ok(store::Lease { era: 0, id: 1 }),
            false => Err(Error::Lost("answer".to_owned())),
        }
    }

    async fn renew(&self, _: store::Lease) -> Result<bool, Error> {
        let mut seen = self.lock();
        seen.renewals += 1;
        Ok(seen.renewals <= self.plan.renewals)
    }

    async fn revoke(&self, _: store::Lease) -> Result<(), Error> {
        self.lock().ended += 1;
        Ok(())
    }
}
