//! A step that is sent to several ranks, encoded once for all of them.

use std::sync::{Arc, OnceLock};

use loftcove_decision::map::difference;
use loftcove_interface::engine::{Map, Order};
use loftcove_wire as wire;

use crate::maps;
use crate::rank::Step;

/// What the map of a change is encoded against.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// Map that the ranks hold.
    pub base: Arc<Map>,
    /// Number of experts of a set.
    pub experts: usize,
}

/// A step and its messages.
#[derive(Debug)]
pub struct Broadcast {
    /// Step to send.
    pub step: Step,
    message: wire::Step,
    source: Source,
    whole: OnceLock<wire::Step>,
}

impl Broadcast {
    /// Encodes a step. Its map is made canonical, so that three kinds of rank receive identical
    /// maps: a rank that decodes the difference, this sidecar's own rank, and a rank whose engine
    /// is called directly, without its sidecar.
    pub fn new(mut step: Step, source: Source) -> Broadcast {
        let mut message = message(&step);
        if let Order::Prepare { map, .. } = &mut step.order {
            *map = Arc::new(difference::canonical(map));
            message.map = maps::encode(&source.base, map, source.experts);
        }
        Broadcast { step, message, source, whole: OnceLock::new() }
    }

    /// Returns the message for a rank that holds the previous map.
    pub fn message(&self) -> &wire::Step {
        &self.message
    }

    /// Returns the message, with the whole map, for a rank of which it is unknown what it holds.
    pub fn whole(&self) -> &wire::Step {
        self.whole.get_or_init(|| {
            let map = match &self.step.order {
                Order::Prepare { map, .. } => maps::encode_whole(map, self.source.experts),
                _ => None,
            };
            wire::Step { map, ..self.message.clone() }
        })
    }

    /// Returns the size of the map's difference in bytes, or zero if the step has no map.
    pub fn map_bytes(&self) -> usize {
        self.message.map.as_ref().map_or(0, |map| map.changes.len())
    }
}

/// Encodes a step without its map.
fn message(step: &Step) -> wire::Step {
    let mut message = wire::Step {
        group: step.group.to_string(),
        term: step.term,
        epoch: step.epoch,
        ..wire::Step::default()
    };
    let (operation, version, pass) = match step.order {
        Order::Prepare { version, .. } => (wire::Operation::Prepare, version, 0),
        Order::Arm { version, pass } => (wire::Operation::Arm, version, pass),
        Order::Disarm { version } => (wire::Operation::Disarm, version, 0),
        Order::Hold { pass } => (wire::Operation::Hold, 0, pass),
        // Earlier releases ignore the version of an order to release.
        Order::Release { pass } => (wire::Operation::Release, step.unless_armed.unwrap_or(0), pass),
    };
    message.set_operation(operation);
    (message.version, message.pass) = (version, pass);
    message
}
