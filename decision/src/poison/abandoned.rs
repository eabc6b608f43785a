//! Requests whose gateway abandoned them while a backend server ran them.
//!
//! Their connections are closed, but the server may run them until their deadlines and
//! end under them, when no gateway tracks them on that server any more. Without this
//! record the end would be blamed on the requests that run there at that time.

use std::collections::VecDeque;

use crate::poison::{Digest, Item, Mark};
use crate::{clock, fleet};

/// Maximum number of recorded requests; the oldest is evicted first.
const MAX_REQUESTS: usize = 256;

/// Requests that this gateway abandoned.
#[derive(Debug, Default)]
pub struct Abandoned {
    running: VecDeque<Running>,
}

/// An abandoned request that a backend server may still run.
#[derive(Debug)]
struct Running {
    run: fleet::Run,
    digest: Digest,
    until: clock::Instant,
}

impl Abandoned {
    /// Records an abandoned request that a server may run up to the time `until`.
    pub fn add(&mut self, run: &fleet::Run, digest: Digest, until: clock::Instant) {
        if self.running.len() >= MAX_REQUESTS {
            self.running.pop_front();
        }
        self.running.push_back(Running { run: run.clone(), digest, until });
    }

    /// Returns items for the abandoned requests on the server whose end `item` reports.
    /// Each request is returned once, as the server's next run does not have it.
    pub fn blame(&mut self, item: &Item) -> Vec<Item> {
        if item.mark == Mark::Cleared {
            return Vec::new();
        }
        let mut blamed = Vec::new();
        self.running.retain(|running| {
            // Compares ids only: some gateways do not know the start time of a new run yet.
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
