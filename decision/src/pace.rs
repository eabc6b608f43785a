//! How many streams a pool may carry so that their events come in time.
//!
//! Each stream that a group carries makes each of its passes longer, and a
//! pass that is too long makes all streams late. So the streams in flight are
//! bounded by what is seen of the pauses between events: the bound falls by a
//! part when pauses come near the longest wanted one, and grows by little while
//! they are well below, like TCP's congestion window. It also notices that a
//! group stands still.

use std::time::Duration;

use crate::clock;

/// Part of the longest wanted pause above which the bound falls.
const HIGH: f64 = 0.95;
/// Part of the longest wanted pause below which the bound grows.
const LOW: f64 = 0.80;
/// What a fall leaves of the streams in flight.
const DECREASE: f64 = 0.95;
/// Streams that the bound grows by.
const INCREASE: f64 = 1.0;
/// Time between two changes of the bound; two or three passes.
const INTERVAL: Duration = Duration::from_millis(200);
/// Least bound.
const LEAST: f64 = 2.0;
/// Events of an interval that its longest pauses are left out of, as a part:
/// one backend server that is slow to send must not stop all.
const OUTLIERS: f64 = 0.1;
/// Time without any event after which a pool with streams stands still.
const STALL: Duration = Duration::from_millis(450);

/// Part of the streams, and of the pause, that are left when a bound is judged:
/// where fewer streams than this have not shortened the pause to less than
/// that, it is not the streams that make the passes long.
const JUDGED: (f64, f64) = (0.6, 0.8);
/// Time for which the streams are not bounded after bounding did not help.
const TRUCE: Duration = Duration::from_secs(4);

/// The bound of one pool.
#[derive(Debug, Clone)]
pub struct Pace {
    bound: f64,
    /// Streams and pause when the bound began to fall.
    fall: Option<(f64, f64)>,
    /// Until when the streams are not bounded.
    truce: clock::Instant,
    /// Pauses of this interval, relative to the longest wanted one.
    pauses: Vec<f32>,
    changed: clock::Instant,
    progress: clock::Instant,
}

impl Default for Pace {
    /// No bound until pauses are seen that are too long.
    fn default() -> Pace {
        Pace {
            bound: f64::INFINITY,
            fall: None,
            truce: clock::Instant::ZERO,
            pauses: Vec::new(),
            changed: clock::Instant::ZERO,
            progress: clock::Instant::ZERO,
        }
    }
}

impl Pace {
    /// Streams that may be in flight.
    pub fn bound(&self) -> u32 {
        // Saturates where there is no bound.
        self.bound as u32
    }

    /// An event came after a pause, which is given relative to the longest
    /// wanted one, while so many streams were in flight; `most` is the highest
    /// bound that makes sense.
    pub fn event(&mut self, pause: f64, in_flight: u32, most: f64, now: clock::Instant) {
        self.progress = now;
        self.pauses.push(pause as f32);
        if now.since(self.changed) < INTERVAL {
            return;
        }
        self.changed = now;
        let pause = self.high_pause();
        self.pauses.clear();
        if now < self.truce {
            return;
        }
        if pause > HIGH {
            self.decrease(pause, f64::from(in_flight), now);
        } else if pause < LOW && f64::from(in_flight) + INCREASE >= self.bound {
            self.bound = (self.bound + INCREASE).min(most.max(LEAST));
            self.fall = None;
        }
    }

    /// Lowers the bound, or gives bounding up for a while where it does not help.
    fn decrease(&mut self, pause: f64, in_flight: f64, now: clock::Instant) {
        let (streams, before) = *self.fall.get_or_insert((in_flight, pause));
        if in_flight < streams * JUDGED.0 && pause > before * JUDGED.1 {
            *self = Pace { truce: now + TRUCE, progress: now, changed: now, ..Pace::default() };
            return;
        }
        self.bound = (in_flight * DECREASE).min(self.bound).max(LEAST);
    }

    /// The longest pause, but for the outliers.
    fn high_pause(&mut self) -> f64 {
        self.pauses.sort_by(f32::total_cmp);
        let skipped = (self.pauses.len() as f64 * OUTLIERS) as usize;
        self.pauses.iter().rev().nth(skipped).map_or(0.0, |pause| f64::from(*pause))
    }

    /// A stream was sent: the time without events counts from here at the least,
    /// if there was no other stream.
    pub fn sent(&mut self, in_flight_before: u32, now: clock::Instant) {
        if in_flight_before == 0 {
            self.progress = now;
        }
    }

    /// Whether the pool's streams stand still.
    pub fn stalled(&self, in_flight: u32, now: clock::Instant) -> bool {
        in_flight > 1 && now.since(self.progress) > STALL
    }
}
