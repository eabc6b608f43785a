//! How far from the store a host is, over the peers that it follows.
//!
//! One of its zone's watchers that the store answers is at distance 0, and who
//! follows a host at distance n is at n + 1. Who is too far has peers that all
//! hear of nothing, and watches the store itself; such a host does not count as
//! a watcher, so that two of them never wait for each other.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use tokio::sync::watch as channel;

/// Distance that counts as out of reach. Hosts that follow each other in a circle
/// count up to it within a few messages when the last watcher is lost.
pub const UNREACHABLE: u32 = 4;

/// The distance of one host.
#[derive(Debug)]
pub struct Distance {
    state: Mutex<State>,
    own: channel::Sender<u32>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether the host is one of its zone's watchers.
    watcher: bool,
    /// Whether the store answers it.
    answered: bool,
    /// Distances of the peers that are followed, by the follower's address.
    peers: BTreeMap<String, u32>,
}

impl Default for Distance {
    fn default() -> Distance {
        Distance { state: Mutex::default(), own: channel::Sender::new(UNREACHABLE) }
    }
}

impl Distance {
    /// The host's own distance.
    pub fn get(&self) -> u32 {
        *self.own.borrow()
    }

    /// Follows the host's own distance.
    pub fn subscribe(&self) -> channel::Receiver<u32> {
        self.own.subscribe()
    }

    /// Whether a peer that is followed is within reach of the store.
    pub fn peers_reach_store(&self) -> bool {
        self.lock().peers.values().any(|distance| *distance < UNREACHABLE)
    }

    /// Whether the host is one of its zone's watchers.
    pub fn set_watcher(&self, watcher: bool) {
        self.change(|state| state.watcher = watcher);
    }

    /// Whether the store answers the host.
    pub fn set_answered(&self, answered: bool) {
        self.change(|state| state.answered = answered);
    }

    /// A peer told its distance.
    pub fn set_peer(&self, peer: &str, distance: u32) {
        self.change(|state| {
            state.peers.insert(peer.to_owned(), distance);
        });
    }

    /// A peer is not followed any more.
    pub fn forget_peer(&self, peer: &str) {
        self.change(|state| {
            state.peers.remove(peer);
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is one assignment or insertion.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        change(&mut state);
        let own = state.own();
        self.own.send_if_modified(|known| std::mem::replace(known, own) != own);
    }
}

impl State {
    fn own(&self) -> u32 {
        if self.watcher && self.answered {
            return 0;
        }
        let nearest = self.peers.values().min().copied().unwrap_or(UNREACHABLE);
        (nearest + 1).min(UNREACHABLE)
    }
}
