//! The maps that a sidecar has seen, so that the next one can be told by its
//! difference from one of them.

use std::collections::VecDeque;
use std::sync::Arc;

use loftcove_decision::map::difference;
use loftcove_interface::engine::Map;
use loftcove_wire as wire;

/// Maps that are kept: the one in use, the one being prepared, and one that was
/// abandoned between them. Each takes some 80 KB in a group of 192 ranks.
const CAPACITY: usize = 3;
/// Most lists of a map: sets times ranks, far more than any group has. The shape
/// of a map that opens a group is taken from messages.
const MAX_LISTS: usize = 1 << 18;

/// Why a map could not be made of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The map that the difference is applied to is not held.
    #[error("base of the map is not held")]
    BaseMissing,
    /// The difference is malformed, or leads to another map.
    #[error(transparent)]
    Malformed(#[from] difference::Error),
}

/// Maps by their digests, the newest last.
#[derive(Debug, Default)]
pub struct Cache {
    maps: VecDeque<(u64, Arc<Map>)>,
}

impl Cache {
    /// Makes the map that a message tells, for a group of so many ranks, and
    /// keeps it.
    ///
    /// # Errors
    ///
    /// An [`Error`] that tells whether another difference may do.
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

/// The map that the group opened with, if it is the base of a message.
fn initial(message: &wire::Difference, ranks: usize) -> Option<Arc<Map>> {
    let (sets, experts) = (message.sets as usize, message.experts as usize);
    let plausible = sets.checked_mul(ranks)? <= MAX_LISTS && experts <= usize::from(u16::MAX) + 1;
    let map = plausible.then(|| difference::round_robin(sets, experts, ranks))?;
    (difference::digest(&map) == message.base).then(|| Arc::new(map))
}

/// A map as a message that a rank with `base` understands; `None` where the two
/// differ in shape.
pub fn encode(base: &Map, map: &Map, experts: usize) -> Option<wire::Difference> {
    Some(wire::Difference {
        base: difference::digest(base),
        digest: difference::digest(map),
        sets: map.len() as u32,
        experts: experts as u32,
        changes: difference::encode(base, map)?.into(),
    })
}

/// A map as a message that every rank understands.
pub fn encode_whole(map: &Map, experts: usize) -> Option<wire::Difference> {
    let ranks = map.first()?.len();
    encode(&difference::round_robin(map.len(), experts, ranks), map, experts)
}
