//! Rate limit for cold backend servers, across all gateways.
//!
//! A cold server, such as one that has just restarted, can serve few requests a second.
//! When the servers of a zone restart together, they look idle and are preferred to
//! servers with load, and they fail at a rate that they could serve once warm. No gateway
//! sees the requests of the others, so each one has periodic *turns*, short times in
//! which it may send one request. The turns of all gateways are as far apart as the rate
//! allows. An unused turn expires: accumulated turns would all be used in the next burst.

use std::time::Duration;

use crate::balancer::Share;
use crate::clock;

/// Time after which an unused turn expires.
const TURN_TIME: Duration = Duration::from_millis(500);

/// Time for which a backend server is cold, and the rate that it can serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// Time until which the server is cold, as it reported.
    pub until: clock::Instant,
    /// Requests a second that the server can serve until then; above zero.
    pub rate: f64,
}

/// Longest time between two turns of all gateways. A longer one cannot always be represented, and
/// servers are cold for less.
const LONGEST_STEP: Duration = Duration::from_secs(24 * 60 * 60);

/// The turns of one gateway at a backend server that is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    cold: Cold,
    /// Start of the first turn.
    first: clock::Instant,
    /// Time between two turns of this gateway.
    interval: Duration,
    /// Number of the last turn that was used.
    last_used: Option<u64>,
}

impl Schedule {
    /// Returns a schedule that starts at `now`. `hash` differs between servers, so that a
    /// gateway's turns at several servers do not coincide.
    pub fn new(cold: Cold, share: Share, hash: u64, now: clock::Instant) -> Schedule {
        let step = Duration::try_from_secs_f64(1.0 / cold.rate);
        let step = step.map_or(LONGEST_STEP, |step| step.min(LONGEST_STEP));
        let gateways = u64::from(share.of.max(1));
        let place = (u64::from(share.number) + hash % gateways) % gateways;
        Schedule {
            cold,
            first: now + step.mul_f64(place as f64),
            interval: step.mul_f64(gateways as f64),
            last_used: None,
        }
    }

    /// Returns the reported values that the schedule is based on.
    pub fn cold(&self) -> Cold {
        self.cold
    }

    /// Returns the number of the turn that can be used now.
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

    /// Returns whether the backend server may get one more request now.
    pub fn admits(&self, now: clock::Instant) -> bool {
        now >= self.cold.until || self.current_turn(now).is_some()
    }

    /// Records that a request is sent to the server.
    pub fn sent(&mut self, now: clock::Instant) {
        self.last_used = self.current_turn(now).or(self.last_used);
    }
}
