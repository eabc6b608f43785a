//! Times at which rejected clients should return.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::{MAX_RETRY_AFTER, Queue};
use crate::{clock, entity};

/// Time between two slots while no departure rate is known. Clients that are rejected together
/// should not return together.
const DEFAULT_SPACING: Duration = Duration::from_millis(20);
/// Longest time between two slots. A mean interval that includes an idle period or an outage says
/// little about the capacity afterwards.
const MAX_SPACING: Duration = Duration::from_millis(200);

/// Slots of the expected departures of a pool. Each is given to one client, as far as they suffice.
#[derive(Debug, Default)]
pub(super) struct Slots {
    /// Last slot given to each precedence.
    last: BTreeMap<u32, clock::Instant>,
}

impl Slots {
    /// Reserves the next slot for a client of that precedence between the two `bounds`, where
    /// requests depart at that mean interval. Slots start again from the first bound when none is
    /// left, after those of more urgent precedences if possible, so that clients share them.
    pub(super) fn reserve(
        &mut self,
        precedence: u32,
        bounds: (clock::Instant, clock::Instant),
        interval: Option<Duration>,
    ) -> clock::Instant {
        let (first, end) = bounds;
        if first >= end {
            return end;
        }
        let spacing = interval.unwrap_or(DEFAULT_SPACING).min(MAX_SPACING);
        let after =
            |last: Option<clock::Instant>| last.map_or(first, |last| (last + spacing).max(first));
        let urgent = after(self.last.range(..precedence).map(|(_, slot)| *slot).max());
        let next = urgent.max(after(self.last.get(&precedence).copied()));
        let free = [next, urgent].into_iter().find(|slot| *slot <= end);
        let slot = free.unwrap_or(first);
        self.last.insert(precedence, slot);
        // This client takes the departure that the next less urgent one would have had.
        for (_, later) in self.last.range_mut(precedence.saturating_add(1)..) {
            *later = *later + spacing;
        }
        slot
    }
}

impl Queue {
    /// Returns the retry delay of a rejected client, where the pool can serve one
    /// request each `spacing`, at any gateway. Each client gets a different
    /// time slot. Once the delay would exceed `MAX_RETRY_AFTER`, slots are
    /// assigned again from now on, so that clients share them.
    pub fn reserve_return(
        &mut self,
        pool: entity::Pool,
        spacing: Duration,
        now: clock::Instant,
    ) -> Duration {
        let min_retry_after = self.min_retry_after;
        let queue = self.pools.entry(pool).or_default();
        let slot = queue.reserved_until.max(now) + spacing;
        queue.reserved_until = if slot.since(now) > MAX_RETRY_AFTER { now + spacing } else { slot };
        queue.reserved_until.since(now).clamp(min_retry_after, MAX_RETRY_AFTER)
    }

    /// Returns the retry delay of a rejected client: long enough for the current
    /// queue to drain, for a full pool to get room as it did before, and for
    /// `least` to pass. The delays vary, so that rejected clients do not return
    /// all at once.
    pub fn retry_after(&self, pool: entity::Pool, least: Duration) -> Duration {
        let queue = self.pools.get(&pool);
        let full = queue
            .and_then(|queue| queue.full_periods.expected_duration())
            .unwrap_or(Duration::ZERO);
        let full_arrivals = queue.map_or(0, |queue| queue.full_arrivals);
        let delay = self.expected_wait(pool, u32::MAX).max(full).max(least);
        let delay = delay.max(self.min_retry_after);
        delay.mul_f64(delay_factor(full_arrivals)).min(MAX_RETRY_AFTER)
    }

    /// Returns whether requests of a less urgent precedence have waited for the pool.
    pub fn has_less_urgent(&self, pool: entity::Pool, precedence: u32) -> bool {
        let last = self.pools.get(&pool).and_then(|queue| queue.bands.keys().next_back());
        last.is_some_and(|last| *last > precedence)
    }

    /// Returns the retry delay of a rejected client that should return after the first and within
    /// the second time of `bounds`. Consecutive clients get consecutive slots of the expected
    /// departures, those of more urgent precedences before the others.
    pub fn reserve_slot(
        &mut self,
        pool: entity::Pool,
        precedence: u32,
        bounds: (Duration, Duration),
        now: clock::Instant,
    ) -> Duration {
        let earliest = bounds.0.max(self.min_retry_after);
        let queue = self.pools.entry(pool).or_default();
        let interval = queue.departure_interval.map(Duration::from_secs_f64);
        let slots = (now + earliest, now + bounds.1);
        queue.slots.reserve(precedence, slots, interval).since(now).max(self.min_retry_after)
    }
}

/// Factor from 1 to 2 on the retry delay. Multiples of the golden ratio distribute
/// the factors of consecutive clients evenly.
fn delay_factor(number: u32) -> f64 {
    const GOLDEN: f64 = 0.618_033_988_749_895;
    1.0 + (f64::from(number) * GOLDEN).fract()
}
