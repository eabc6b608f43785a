//! Requests that were given up while a backend server ran them.
//!
//! Their connections are closed, but the server may go on with them until their
//! deadlines and end under them, with nobody left who looks for that. Whoever runs
//! there then would be blamed for it.

use std::collections::VecDeque;

use crate::poison::{Digest, Item, Mark};
use crate::{clock, fleet};

/// Requests that are remembered; the oldest goes first.
const MAX_REQUESTS: usize = 256;

/// Requests that one gateway gave up.
#[derive(Debug, Default)]
pub struct Abandoned {
    running: VecDeque<Running>,
}

/// One that a backend server may still run.
#[derive(Debug)]
struct Running {
    run: fleet::Run,
    digest: Digest,
    until: clock::Instant,
}

impl Abandoned {
    /// A request was given up that a server may run until then.
    pub fn add(&mut self, run: &fleet::Run, digest: Digest, until: clock::Instant) {
        if self.running.len() >= MAX_REQUESTS {
            self.running.pop_front();
        }
        self.running.push_back(Running { run: run.clone(), digest, until });
    }

    /// What the end of a server, of which an item tells, says of the requests that were
    /// given up there. Each is told once: the server's next run does not have it.
    pub fn blame(&mut self, item: &Item) -> Vec<Item> {
        if item.mark == Mark::Cleared {
            return Vec::new();
        }
        let mut blamed = Vec::new();
        self.running.retain(|running| {
            // Some gateways know a new run by its id alone at first.
            let there = running.run.id == item.run.id && running.digest != item.digest;
            if there && item.at <= running.until {
                let (run, digest) = (item.run.clone(), running.digest);
                blamed.push(Item { run, digest, mark: Mark::Suspect, at: item.at });
            }
            !there
        });
        blamed
    }
}
