//! Followers of this host, and their limit.
//!
//! All hosts of a fleet may start at the same time and know only three seeds. Each stream costs
//! memory and a transfer of the whole copy, so a seed that accepted all followers would run out of
//! memory and bandwidth. A host at its limit therefore redirects further followers to some of those
//! that it has. The hosts form a tree whose depth is the logarithm of the fleet's size.

use std::collections::BTreeMap;
use std::net::{AddrParseError, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};

use loftcove_line::field;
use loftcove_wire as wire;
use rand::seq::IteratorRandom as _;

use crate::Mirror;

/// Number of followers from which a host redirects further ones: several times its even share, so
/// that few are redirected once all hosts know each other.
pub const MAX: usize = 64;
/// Maximum number of alternatives that a redirected follower receives.
const MAX_ALTERNATIVES: usize = 8;

/// A host that others can follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address for its peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
}

impl Peer {
    /// Returns the wire form of the peer.
    pub fn to_wire(&self) -> wire::Followable {
        wire::Followable { address: self.address.to_string(), zone: self.zone.to_string() }
    }

    /// Returns the peer of a message.
    ///
    /// # Errors
    ///
    /// Returns an error if its address is malformed.
    pub fn from_wire(peer: &wire::Followable) -> Result<Peer, AddrParseError> {
        Ok(Peer { address: peer.address.parse()?, zone: (*peer.zone).into() })
    }

    /// Returns the peers of a message from `sender`. Those with malformed addresses are left out,
    /// logged and counted, so that they do not hide the others.
    pub fn all_from_wire(peers: &[wire::Followable], sender: SocketAddr) -> Vec<Peer> {
        let mut readable = Vec::with_capacity(peers.len());
        let mut fault = None;
        for peer in peers {
            match Peer::from_wire(peer) {
                Ok(peer) => readable.push(peer),
                Err(error) => {
                    fault.get_or_insert((&peer.address, error));
                }
            }
        }
        if let Some((address, error)) = fault {
            let count = peers.len() - readable.len();
            log::warn!(
                "alternatives left out peer={sender} count={count} first={} error={}",
                field::Text(address),
                field::Quoted(&error)
            );
        }
        readable
    }
}

/// The connected followers.
#[derive(Debug, Default)]
pub struct Followers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// The connected followers by number; `None` for one that cannot be followed itself.
    connected: BTreeMap<u64, Option<Peer>>,
}

impl Followers {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is one insertion or removal.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the number of connected followers.
    pub fn count(&self) -> usize {
        self.lock().connected.len()
    }
}

impl State {
    /// Returns hosts that a follower in a zone may follow instead, or nothing while there are fewer
    /// than [`MAX`] followers. Up to half of them are in the follower's zone.
    fn alternatives(&self, zone: &str) -> Vec<Peer> {
        if self.connected.len() < MAX {
            return Vec::new();
        }
        let peers = || self.connected.values().flatten();
        let mut rng = rand::rng();
        let same_zone = peers()
            .filter(|peer| *peer.zone == *zone)
            .choose_multiple(&mut rng, MAX_ALTERNATIVES / 2);
        let other_zones = peers()
            .filter(|peer| *peer.zone != *zone)
            .choose_multiple(&mut rng, MAX_ALTERNATIVES / 2);
        same_zone.into_iter().chain(other_zones).cloned().collect()
    }
}

/// Guard of a follower's slot. Dropping it frees the slot.
pub(crate) struct Slot {
    mirror: Arc<Mirror>,
    number: u64,
}

impl Slot {
    /// Acquires a slot for a follower, or returns the alternatives that it is to follow. A follower
    /// that was redirected often enough insists, and is accepted above the limit, as is one for
    /// which there are no alternatives.
    pub(crate) fn acquire(
        mirror: &Arc<Mirror>,
        follower: &wire::Follower,
    ) -> Result<Slot, Vec<Peer>> {
        // One lock covers the check and the insertion, so that followers that connect at the same
        // time cannot exceed the limit together.
        let mut state = mirror.followers.lock();
        let alternatives = state.alternatives(&follower.zone);
        if !follower.insists && !alternatives.is_empty() {
            return Err(alternatives);
        }
        let peer = match &*follower.address {
            // A sidecar has no address for followers.
            "" => None,
            address => {
                let zone = follower.zone.clone();
                let peer = Peer::from_wire(&wire::Followable { address: address.to_owned(), zone });
                if let Err(error) = &peer {
                    log::warn!(
                        "follower not followable host={} address={} error={}",
                        field::Text(&follower.host),
                        field::Text(address),
                        field::Quoted(error)
                    );
                }
                peer.ok()
            }
        };
        let number = state.next;
        state.next += 1;
        state.connected.insert(number, peer);
        drop(state);
        Ok(Slot { mirror: mirror.clone(), number })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.mirror.followers.lock().connected.remove(&self.number);
    }
}
