//! How many streams a group may carry so that their events come in time.
//!
//! Each stream that a group carries makes each of its passes longer, and a
//! pass that is too long makes all streams late. What a pass costs with so
//! many streams is published ([`pass::Cost`]), the pauses between events tell
//! how long it took, and answers tell how many streams the ranks carry. From
//! these follows the skew: how many times longer a pass takes than published.
//! The skew jumps when other experts come into demand, faster than the streams
//! in flight end. So the bound is what fits in time with the skew that the last
//! seconds have shown, and not with the present one alone.
//!
//! Gateways share no counter. Each knows how many streams the whole group
//! carries and takes its part of it: it gives up its part of what is too much,
//! takes its part of what is free, and goes some way to an even part.
//!
//! It also notices that a group stands still.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{clock, pass};

/// Part of the longest wanted pause that a pass may take: the rest is for
/// prompts that are read at one rank and for the way to the caller. A guess;
/// `docs/POLICY.md` has what other values bring.
const HEADROOM: f64 = 0.9;
/// Time between two settlements of the bound; one to three passes.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time over which the skew is remembered: long enough to cover the time from
/// one shift of the demand to the next. A guess, see [`HEADROOM`].
const MEMORY: Duration = Duration::from_secs(8);
/// Part of the remembered intervals whose skew the bound allows for. What is
/// above it are passes that a change of the map kept waiting.
const ALLOWED: f64 = 0.75;
/// Weight of the newest answer in the mean of the streams of a rank: some
/// eight answers, about a second of a gateway.
const REPORT_GAIN: f64 = 0.12;
/// Weight of the newest interval in the mean of the own streams: as slow as
/// the reports, so that both are of the same time.
const OWN_GAIN: f64 = 0.1;
/// Part of the way to an even part of the group that a gateway goes at once: so
/// one that has just started gets its part from those that hold more.
const EVENING: f64 = 0.1;
/// Least bound, so that there are always events to learn from.
const LEAST: f64 = 2.0;
/// Events of an interval that its longest pauses are left out of, as a part:
/// one backend server that is slow to send must not stop all.
const OUTLIERS: f64 = 0.1;
/// Time without any event after which a group with streams stands still.
const STALL: Duration = Duration::from_millis(450);

/// What is known of a group beside its pauses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Snapshot {
    /// Ranks that take requests.
    pub ranks: u32,
    /// Streams that a rank runs at a time.
    pub slots: u32,
    /// Own streams in flight.
    pub in_flight: u32,
    /// Gateways that share the group.
    pub gateways: u32,
    /// What a pass costs.
    pub cost: pass::Cost,
}

/// What a bound was settled by, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Own streams that may be in flight.
    pub bound: f64,
    /// Own streams in flight.
    pub in_flight: u32,
    /// Streams that a rank carries.
    pub streams: f64,
    /// Streams that a rank can carry in time.
    pub fitting: f64,
    /// Times that a pass took longer than published.
    pub skew: f64,
    /// The skew that the bound allows for.
    pub allowed: f64,
}

/// The bound of one group.
#[derive(Debug, Clone)]
pub struct Pace {
    bound: f64,
    /// Streams of a rank by the answers of late; none before the first answer.
    streams: Option<f64>,
    /// Own streams in flight, as slow to follow as `streams`.
    own: f64,
    /// Skew of the intervals of late, and when each ended.
    skews: VecDeque<(clock::Instant, f64)>,
    /// Pauses of this interval, seconds.
    pauses: Vec<f32>,
    changed: clock::Instant,
    progress: clock::Instant,
}

impl Default for Pace {
    /// No bound until pauses are seen.
    fn default() -> Pace {
        Pace {
            bound: f64::INFINITY,
            streams: None,
            own: 0.0,
            skews: VecDeque::new(),
            pauses: Vec::new(),
            changed: clock::Instant::ZERO,
            progress: clock::Instant::ZERO,
        }
    }
}

impl Pace {
    /// Own streams that may be in flight.
    pub fn bound(&self) -> u32 {
        // Saturates where there is no bound.
        self.bound as u32
    }

    /// An answer told how many streams its rank runs and keeps waiting.
    pub fn record_streams(&mut self, streams: u32) {
        let sample = f64::from(streams);
        let mean = self.streams.unwrap_or(sample);
        self.streams = Some(mean + REPORT_GAIN * (sample - mean));
    }

    /// An event came after a pause, which is zero for a stream's first one.
    /// Returns whether the bound is to be settled.
    pub fn record_event(&mut self, pause: Duration, now: clock::Instant) -> bool {
        self.progress = now;
        if !pause.is_zero() {
            self.pauses.push(pause.as_secs_f32());
        }
        now.since(self.changed) >= INTERVAL && !self.pauses.is_empty()
    }

    /// Settles the bound by the pauses since the last time, where events are
    /// wanted within `wanted`.
    pub fn update_bound(
        &mut self,
        wanted: Duration,
        view: &Snapshot,
        now: clock::Instant,
    ) -> Bound {
        self.changed = now;
        let in_flight = f64::from(view.in_flight);
        self.own += OWN_GAIN * (in_flight - self.own);
        let pause = self.high_pause();
        self.pauses.clear();
        let ranks = f64::from(view.ranks.max(1));
        let streams = self.streams.unwrap_or(in_flight / ranks);
        let skew = pause / view.cost.time(streams).max(f64::MIN_POSITIVE);
        self.remember(skew, now);
        let time = wanted.as_secs_f64() * HEADROOM;
        let fits = |skew: f64| view.cost.streams(time / skew.max(f64::MIN_POSITIVE));
        let slots = f64::from(view.slots.max(1));
        let allowed = skew.max(self.allowed_skew());
        let fitting = match fits(allowed) {
            // Not even one stream a rank would be in time for ever: then by
            // what is seen now, and if that is no better, late ones are served.
            few if few < 1.0 => match fits(skew) {
                none if none < 1.0 => slots,
                some => some,
            },
            some => some,
        };
        let fitting = fitting.min(slots);
        let gateways = f64::from(view.gateways.max(1));
        let own_part = if streams > fitting {
            in_flight.min(self.own) * fitting / streams
        } else {
            let free = (fitting - streams) * ranks;
            let part = self.own / (streams * ranks).max(1.0);
            self.own + free * part.clamp(1.0 / gateways, 1.0)
        };
        let even_part = fitting * ranks / gateways;
        self.bound = (own_part + EVENING * (even_part - own_part)).max(LEAST);
        Bound { bound: self.bound, in_flight: view.in_flight, streams, fitting, skew, allowed }
    }

    fn remember(&mut self, skew: f64, now: clock::Instant) {
        self.skews.push_back((now, skew));
        while self.skews.front().is_some_and(|(at, _)| now.since(*at) > MEMORY) {
            self.skews.pop_front();
        }
    }

    /// The skew that the bound allows for.
    fn allowed_skew(&self) -> f64 {
        let mut skews: Vec<f64> = self.skews.iter().map(|(_, skew)| *skew).collect();
        skews.sort_by(f64::total_cmp);
        let index = (skews.len() as f64 * ALLOWED) as usize;
        skews.get(index.min(skews.len().saturating_sub(1))).copied().unwrap_or(1.0)
    }

    /// The longest pause, but for the outliers, seconds.
    fn high_pause(&mut self) -> f64 {
        self.pauses.sort_by(f32::total_cmp);
        let skipped = (self.pauses.len() as f64 * OUTLIERS) as usize;
        self.pauses.iter().rev().nth(skipped).map_or(0.0, |pause| f64::from(*pause))
    }

    /// A stream was sent: the time without events counts from here at the least,
    /// if there was no other stream.
    pub fn record_dispatch(&mut self, in_flight_before: u32, now: clock::Instant) {
        if in_flight_before == 0 {
            self.progress = now;
        }
    }

    /// Whether the group's streams stand still.
    pub fn is_stalled(&self, in_flight: u32, now: clock::Instant) -> bool {
        in_flight > 1 && now.since(self.progress) > STALL
    }
}
