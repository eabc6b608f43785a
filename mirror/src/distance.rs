//! Distance of a host from the store: the number of hops over the peers that it follows.
//!
//! A *watcher* is one of the few gateways of a zone that are chosen to watch the store. A watcher
//! that the store answers is at distance 0, and a host that follows a peer at distance n is at
//! n + 1. The peers of a host at [`UNREACHABLE`] receive no updates, so the host watches the store
//! itself. It does not count as a watcher then: if it did, two hosts that follow each other would
//! each stop because of the other.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use tokio::sync::watch as channel;

/// Distance from which a host counts as unable to reach the store. When the last watcher is lost,
/// hosts that follow each other in a cycle count up to it within a few messages.
pub const UNREACHABLE: u32 = 4;

/// The distance of one host.
#[derive(Debug)]
pub struct Distance {
    state: Mutex<Inputs>,
    own: channel::Sender<u32>,
}

#[derive(Debug, Default)]
struct Inputs {
    /// Whether the host is one of its zone's watchers.
    watcher: bool,
    /// Whether the store answers the host.
    answered: bool,
    /// Distances of the followed peers, by peer address.
    peers: BTreeMap<String, u32>,
}

impl Default for Distance {
    fn default() -> Distance {
        Distance { state: Mutex::default(), own: channel::Sender::new(UNREACHABLE) }
    }
}

impl Distance {
    /// Returns the host's own distance.
    pub fn get(&self) -> u32 {
        *self.own.borrow()
    }

    /// Subscribes to the host's own distance.
    pub fn subscribe(&self) -> channel::Receiver<u32> {
        self.own.subscribe()
    }

    /// Returns whether a followed peer can reach the store.
    pub fn peers_reach_store(&self) -> bool {
        self.lock().peers.values().any(|distance| *distance < UNREACHABLE)
    }

    /// Sets whether the host is one of its zone's watchers.
    pub fn set_watcher(&self, watcher: bool) {
        self.update(|state| state.watcher = watcher);
    }

    /// Sets whether the store answers the host.
    pub fn set_answered(&self, answered: bool) {
        self.update(|state| state.answered = answered);
    }

    /// Sets the distance that a peer reported.
    pub fn set_peer(&self, peer: &str, distance: u32) {
        self.update(|state| {
            state.peers.insert(peer.to_owned(), distance);
        });
    }

    /// Removes a peer that is no longer followed.
    pub fn forget_peer(&self, peer: &str) {
        self.update(|state| {
            state.peers.remove(peer);
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inputs> {
        // Each change is one assignment or insertion.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn update(&self, update: impl FnOnce(&mut Inputs)) {
        let mut state = self.lock();
        update(&mut state);
        let own = state.distance();
        self.own.send_if_modified(|known| std::mem::replace(known, own) != own);
    }
}

impl Inputs {
    fn distance(&self) -> u32 {
        if self.watcher && self.answered {
            return 0;
        }
        let nearest = self.peers.values().min().copied().unwrap_or(UNREACHABLE);
        (nearest + 1).min(UNREACHABLE)
    }
}
