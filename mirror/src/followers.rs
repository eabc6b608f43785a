//! Who follows this host, and how many may.
//!
//! The pattern: all hosts of a fleet start at once and know three seeds alone. Each
//! stream costs memory and the copy, whole, so a seed that takes all of them runs
//! out of both. One that has enough followers names some of them instead: hosts
//! form a tree that is as deep as the logarithm of the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use loftcove_wire as wire;
use rand::seq::IteratorRandom as _;

use crate::Mirror;

/// Followers that a host takes: several times its even share, so that few are
/// redirected once all hosts know each other.
pub const MAX: usize = 64;
/// Others that are named to a redirected one.
const NAMED: usize = 8;

/// A host that others can follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
}

impl Peer {
    /// The peer as the wire has it.
    pub fn to_wire(&self) -> wire::Followable {
        wire::Followable { address: self.address.to_string(), zone: self.zone.to_string() }
    }

    /// The peer that a message names, if its address can be read.
    pub fn from_wire(peer: &wire::Followable) -> Option<Peer> {
        Some(Peer { address: peer.address.parse().ok()?, zone: (*peer.zone).into() })
    }
}

/// The present followers.
#[derive(Debug, Default)]
pub struct Followers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// Those that can be followed themselves have an address.
    present: BTreeMap<u64, Option<Peer>>,
}

impl Followers {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is one insertion or removal.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.lock().present.len()
    }

    /// Hosts that one in that zone may follow instead, where there are enough
    /// followers here: half of them in its zone, as far as there are so many.
    fn others(&self, zone: &str) -> Vec<Peer> {
        let state = self.lock();
        if state.present.len() < MAX {
            return Vec::new();
        }
        let peers = || state.present.values().flatten();
        let mut rng = rand::rng();
        let near = peers().filter(|peer| *peer.zone == *zone).choose_multiple(&mut rng, NAMED / 2);
        let far = peers().filter(|peer| *peer.zone != *zone).choose_multiple(&mut rng, NAMED / 2);
        near.into_iter().chain(far).cloned().collect()
    }
}

/// A follower's place; dropping it makes room.
pub(crate) struct Place {
    mirror: Arc<Mirror>,
    number: u64,
}

impl Place {
    /// A place for a follower, or others that it is to follow. One that was redirected
    /// often enough insists, and gets a place in any case.
    pub(crate) fn take(
        mirror: &Arc<Mirror>,
        follower: &wire::Follower,
    ) -> Result<Place, Vec<Peer>> {
        let others = mirror.followers.others(&follower.zone);
        if !follower.insists && !others.is_empty() {
            return Err(others);
        }
        let peer =
            wire::Followable { address: follower.address.clone(), zone: follower.zone.clone() };
        let mut state = mirror.followers.lock();
        let number = state.next;
        state.next += 1;
        state.present.insert(number, Peer::from_wire(&peer));
        drop(state);
        Ok(Place { mirror: mirror.clone(), number })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.mirror.followers.lock().present.remove(&self.number);
    }
}
