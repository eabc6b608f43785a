//! Backend servers that are cold can serve few requests, from all gateways together.
//!
//! The pattern: a zone's servers come back cold together, look idle, and are
//! preferred before those that have work; they fail at a rate that they can serve
//! once warm. No gateway sees what the others send, so each has turns of its own:
//! they are as far apart as the rate allows, and a turn that is not used is lost.
//! Schedule that could be saved up would be spent together in the next burst.

use std::time::Duration;

use crate::balancer::Share;
use crate::clock;

/// Longest time for which a turn can be used.
const TURN_TIME: Duration = Duration::from_millis(500);

/// How long a backend server is cold, and what it bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// Until when, as far as it has told.
    pub until: clock::Instant,
    /// Requests a second that it can serve until then; above zero.
    pub rate: f64,
}

/// The turns of one gateway at a backend server that is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    cold: Cold,
    first: clock::Instant,
    interval: Duration,
    /// Number of the turn that was used last.
    last_used: Option<u64>,
}

impl Schedule {
    /// Schedule from now on. `hash` tells servers apart, so that a gateway's turns at
    /// several do not come together.
    pub fn new(cold: Cold, share: Share, hash: u64, now: clock::Instant) -> Schedule {
        let step = Duration::from_secs_f64(1.0 / cold.rate);
        let gateways = u64::from(share.of.max(1));
        let place = (u64::from(share.number) + hash % gateways) % gateways;
        Schedule {
            cold,
            first: now + step.mul_f64(place as f64),
            interval: step.mul_f64(gateways as f64),
            last_used: None,
        }
    }

    /// What the backend server has told.
    pub fn cold(&self) -> Cold {
        self.cold
    }

    /// Number of the turn that can be used now.
    fn current_turn(&self, now: clock::Instant) -> Option<u64> {
        if now < self.first {
            return None;
        }
        let interval = self.interval.as_micros().max(1);
        let (number, within) = {
            let since = now.since(self.first).as_micros();
            (since / interval, since % interval)
        };
        let number = number as u64;
        (within < TURN_TIME.as_micros() && self.last_used != Some(number)).then_some(number)
    }

    /// Whether the backend server may get one more request now.
    pub fn admits(&self, now: clock::Instant) -> bool {
        now >= self.cold.until || self.current_turn(now).is_some()
    }

    /// A request is sent to it.
    pub fn sent(&mut self, now: clock::Instant) {
        self.last_used = self.current_turn(now).or(self.last_used);
    }
}
