//! A step as it goes out to ranks: made into a message once for all of them.

use std::sync::{Arc, OnceLock};

use loftcove_decision::map::difference;
use loftcove_interface::engine::{Map, Order};
use loftcove_wire as wire;

use crate::maps;
use crate::rank::Step;

/// How the map of a change is told.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// The map that the ranks hold.
    pub base: Arc<Map>,
    /// Experts of a set.
    pub experts: usize,
}

/// A step and its messages.
#[derive(Debug)]
pub struct Broadcast {
    /// The step.
    pub step: Step,
    message: wire::Step,
    source: Source,
    whole: OnceLock<wire::Step>,
}

impl Broadcast {
    /// Packs a step. Its map is the same to the letter for a rank that makes it
    /// of a difference, for this sidecar's own, and for one whose engine is told
    /// past its sidecar.
    pub fn new(mut step: Step, source: Source) -> Broadcast {
        let mut message = message(&step);
        if let Order::Prepare { map, .. } = &mut step.order {
            *map = Arc::new(difference::canonical(map));
            message.map = maps::encode(&source.base, map, source.experts);
        }
        Broadcast { step, message, source, whole: OnceLock::new() }
    }

    /// The message for a rank that holds the map of before.
    pub fn message(&self) -> &wire::Step {
        &self.message
    }

    /// The message for a rank of which nothing is known.
    pub fn whole(&self) -> &wire::Step {
        self.whole.get_or_init(|| {
            let map = match &self.step.order {
                Order::Prepare { map, .. } => maps::encode_whole(map, self.source.experts),
                _ => None,
            };
            wire::Step { map, ..self.message.clone() }
        })
    }

    /// Bytes of the map's difference; zero where the step has none.
    pub fn map_bytes(&self) -> usize {
        self.message.map.as_ref().map_or(0, |map| map.changes.len())
    }
}

/// A step as a message, without its map.
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
        Order::Release { pass } => (wire::Operation::Release, 0, pass),
    };
    message.set_operation(operation);
    (message.version, message.pass) = (version, pass);
    message
}
