//! Cache of the maps that a sidecar has received, against which the next one is decoded from its
//! difference.

use std::collections::VecDeque;
use std::sync::Arc;

use loftcove_decision::map::difference;
use loftcove_interface::engine::Map;
use loftcove_wire as wire;

/// Number of cached maps: the one in use, the one being prepared, and one in between that was
/// abandoned. Each takes some 80 KB in a group of 192 ranks.
const CAPACITY: usize = 3;
/// Largest number of lists of a map: sets times ranks, far more than any group has. The limit is
/// needed because the shape of a group's initial map is read from messages.
const MAX_LISTS: usize = 1 << 18;

/// Reasons why a map cannot be decoded from a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The map that the difference applies to is not cached.
    #[error("base map is not cached")]
    BaseMissing,
    /// The difference is malformed, or yields a map with another digest.
    #[error(transparent)]
    Malformed(#[from] difference::Error),
}

/// Maps by digest, in order of insertion.
#[derive(Debug, Default)]
pub struct Cache {
    maps: VecDeque<(u64, Arc<Map>)>,
}

impl Cache {
    /// Decodes the map of a message, for a group with this number of ranks, and caches it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::BaseMissing`] if a difference from another map may succeed, and
    /// [`Error::Malformed`] otherwise.
    pub fn decode(&mut self, message: &wire::Difference, ranks: usize) -> Result<Arc<Map>, Error> {
        if let Some(map) = self.find(message.digest) {
            return Ok(map);
        }
        let base = self.find(message.base).or_else(|| initial(message, ranks));
        let base = base.ok_or(Error::BaseMissing)?;
        let map = Arc::new(difference::apply(&base, &message.changes, message.digest)?);
        self.insert(message.digest, map.clone());
        Ok(map)
    }

    fn find(&self, digest: u64) -> Option<Arc<Map>> {
        self.maps.iter().find(|(held, _)| *held == digest).map(|(_, map)| map.clone())
    }

    fn insert(&mut self, digest: u64, map: Arc<Map>) {
        if self.maps.len() == CAPACITY {
            self.maps.pop_front();
        }
        self.maps.push_back((digest, map));
    }
}

/// Returns the initial map of the group if it is the base of a message.
fn initial(message: &wire::Difference, ranks: usize) -> Option<Arc<Map>> {
    let (sets, experts) = (message.sets as usize, message.experts as usize);
    let plausible = sets.checked_mul(ranks)? <= MAX_LISTS && experts <= usize::from(u16::MAX) + 1;
    let map = plausible.then(|| difference::round_robin(sets, experts, ranks))?;
    (difference::digest(&map) == message.base).then(|| Arc::new(map))
}

/// Encodes a map for a rank that holds `base`, or returns `None` if the two differ in shape.
pub fn encode(base: &Map, map: &Map, experts: usize) -> Option<wire::Difference> {
    Some(wire::Difference {
        base: difference::digest(base),
        digest: difference::digest(map),
        sets: map.len() as u32,
        experts: experts as u32,
        changes: difference::encode(base, map)?.into(),
    })
}

/// Encodes a map as its difference from the group's initial map, which every rank can compute.
pub fn encode_whole(map: &Map, experts: usize) -> Option<wire::Difference> {
    let ranks = map.first()?.len();
    encode(&difference::round_robin(map.len(), experts, ranks), map, experts)
}
