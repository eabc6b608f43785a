//! The account of the file descriptors of a process.
//!
//! Each kind of connection opens its descriptors through a [`Quota`] of the account. A quota has a part
//! that is reserved for it, so that no other one can keep it from opening any; the rest is for
//! whichever quota uses it first.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Descriptors of a process that its connections may use.
#[derive(Debug, Clone)]
pub struct Account(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    capacity: usize,
    quotas: Mutex<Vec<Use>>,
}

/// Descriptors of one quota.
#[derive(Debug, Clone, Copy)]
struct Use {
    open: usize,
    reserved: usize,
    max: usize,
}

/// Share of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Descriptors that no other quota can take.
    pub reserved: usize,
    /// Maximum number of descriptors.
    pub max: usize,
}

impl Account {
    /// Creates an account of `capacity` descriptors.
    pub fn new(capacity: usize) -> Account {
        Account(Arc::new(Inner { capacity, quotas: Mutex::default() }))
    }

    /// Creates the account of a process that may open `descriptors` of them, of which it needs `own`
    /// for itself: listeners, files and the connections whose number it decides itself. At least half
    /// is left to the account.
    pub fn of_process(descriptors: usize, own: usize) -> Account {
        Account::new(descriptors - own.min(descriptors / 2))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Use>> {
        // Each update is a plain assignment, so a panic elsewhere leaves no inconsistent state.
        self.0.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of descriptors that may be open.
    pub fn capacity(&self) -> usize {
        self.0.capacity
    }

    /// Returns the number of open descriptors.
    pub fn open(&self) -> usize {
        self.lock().iter().map(|quota| quota.open).sum()
    }

    /// Returns the number of descriptors that are reserved for the present quotas.
    pub fn reserved(&self) -> usize {
        self.lock().iter().map(|quota| quota.reserved).sum()
    }

    /// Adds a quota. It may open at least one descriptor.
    pub fn quota(&self, share: Share) -> Quota {
        let mut quotas = self.lock();
        quotas.push(Use { open: 0, reserved: share.reserved.max(1), max: share.max.max(1) });
        Quota { account: self.clone(), number: quotas.len() - 1 }
    }
}

/// A kind of connections that use an account.
#[derive(Debug, Clone)]
pub struct Quota {
    account: Account,
    number: usize,
}

impl Quota {
    /// Creates the only quota of an account of `max` descriptors.
    pub fn alone(max: usize) -> Quota {
        Account::new(max).quota(Share { reserved: max, max })
    }

    /// Returns the number of open descriptors.
    pub fn open(&self) -> usize {
        self.account.lock()[self.number].open
    }

    /// Returns whether another descriptor may be open.
    pub fn has_room(&self) -> bool {
        self.has_room_in(&self.account.lock())
    }

    fn has_room_in(&self, quotas: &[Use]) -> bool {
        let own = quotas[self.number];
        if own.open >= own.max {
            return false;
        }
        let used: usize = quotas.iter().map(|quota| quota.open.max(quota.reserved)).sum();
        own.open < own.reserved || used < self.account.capacity()
    }

    /// Counts a descriptor as open until the guard is dropped, also if there is no room for it.
    pub fn take(&self) -> Descriptor {
        self.account.lock()[self.number].open += 1;
        Descriptor(self.clone())
    }

    /// Counts a descriptor as open if there is room for it.
    pub fn try_take(&self) -> Option<Descriptor> {
        let mut quotas = self.account.lock();
        if !self.has_room_in(&quotas) {
            return None;
        }
        quotas[self.number].open += 1;
        Some(Descriptor(self.clone()))
    }
}

/// Guard of an open descriptor.
#[derive(Debug)]
pub struct Descriptor(Quota);

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.account.lock()[self.0.number].open -= 1;
    }
}
