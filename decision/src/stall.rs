//! Detects that the streams of a lock-step group have stalled, and estimates until when.
//!
//! All ranks take part in each pass, so the events of all streams pause together, for example
//! while the group is held for a change of its map whose driver has frozen. The timeout follows
//! the usual pause between events, and for streams without an event the usual time to the first
//! one. Long passes, long prompts and slow starts are therefore no stalls.
//!
//! A stalled group gets a probe now and then. Its streams in flight show the end of the stall,
//! but a gateway may have none, or the only one may hang for a reason of its own.

use std::time::Duration;

use crate::{clock, spell};

/// Shortest time without any event after which a group counts as stalled. Changes of the map and
/// prompts of other ranks delay a pass by up to this time.
const MIN_TIMEOUT: Duration = Duration::from_millis(450);
/// Usual pauses without an event after which a group counts as stalled.
const TIMEOUT_PAUSES: f64 = 3.0;
/// Weight of the newest pause in the mean pause.
const PAUSE_GAIN: f64 = 0.2;
/// Weight of the newest time to a first event in the mean and in its deviation.
const FIRST_GAIN: f64 = 0.1;
/// Mean deviations added to the mean time to a first event. The longest prompts take several
/// times the mean deviation.
const FIRST_DEVIATIONS: f64 = 4.0;
/// Time between two probes of one gateway. It bounds the time for which a gateway sends nothing
/// because its only stream hangs for a reason of its own. Probes of a group that has stalled are
/// held until it ends, so that shorter stalls should get none.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a stall is kept without a stream in flight that could show its end.
const RETENTION: Duration = Duration::from_secs(10);
/// Expected duration of a stall before one is known that lasted longer: a group that is held for
/// a change of its map is released within this time.
const DEFAULT_DURATION: Duration = Duration::from_millis(1_500);
/// Longest further time that is expected of a stall that lasts longer than any before.
const MAX_FURTHER: Duration = Duration::from_secs(2);

/// Progress of the streams of one group, as one gateway observes it.
#[derive(Debug, Clone)]
pub struct Stall {
    /// Time of the last event, or of the first dispatch to an idle group if that is later.
    progressed: clock::Instant,
    /// Mean pause between the events of a stream, seconds.
    pause: Option<f64>,
    /// Time of the last sample of `pause`.
    sampled: clock::Instant,
    /// Mean time from dispatch to the first event and its mean deviation, seconds.
    first: Option<(f64, f64)>,
    /// Time until which the stall is kept although the last stream has ended.
    kept_until: Option<clock::Instant>,
    last_probe: clock::Instant,
    earlier: spell::History,
}

impl Default for Stall {
    fn default() -> Stall {
        Stall {
            progressed: clock::Instant::ZERO,
            pause: None,
            sampled: clock::Instant::ZERO,
            first: None,
            kept_until: None,
            last_probe: clock::Instant::ZERO,
            earlier: spell::History::default(),
        }
    }
}

/// Streams of this gateway in flight at a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Streams {
    /// All streams in flight.
    pub in_flight: u32,
    /// Those that have had an event.
    pub begun: u32,
}

impl Stall {
    /// Records the dispatch of a stream. `before` are the streams in flight without it.
    pub fn record_dispatch(&mut self, before: Streams, now: clock::Instant) {
        if self.is_stalled(before, now) {
            self.last_probe = now;
        } else if before.in_flight == 0 {
            self.kept_until = None;
            self.progressed = now;
        }
    }

    /// Records an event of a stream that came `pause` after the one before.
    pub fn record_event(&mut self, streams: Streams, pause: Duration, now: clock::Instant) {
        let timeout = self.begun_timeout();
        self.record_progress(streams, now);
        // The streams of a group pause together, so one sample for each pass suffices. A pause
        // that belongs to a stall counts as the timeout: if passes have become that long, the
        // timeout grows, and a single stall hardly changes it.
        let sample = pause.min(timeout);
        if !sample.is_zero() && now.since(self.sampled) >= sample / 2 {
            let sample = sample.as_secs_f64();
            let mean = self.pause.unwrap_or(sample);
            self.pause = Some(mean + PAUSE_GAIN * (sample - mean));
            self.sampled = now;
        }
    }

    /// Records the time from the dispatch of a stream to its first event.
    pub fn record_first(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        let (mean, deviation) = self.first.unwrap_or((sample, sample / 2.0));
        // A time that a stall has prolonged is not usual.
        let error = sample.min(2.0 * mean) - mean;
        let deviation = deviation + FIRST_GAIN * (error.abs() - deviation);
        self.first = Some((mean + FIRST_GAIN * error, deviation));
    }

    /// Records that the group has made progress: an event, or a complete answer.
    pub fn record_progress(&mut self, streams: Streams, now: clock::Instant) {
        if self.is_stalled(streams, now) {
            self.earlier.record(now.since(self.progressed));
        }
        self.kept_until = None;
        self.progressed = now;
    }

    /// Records that a stream ends without an answer. `before` are the streams in flight with it.
    pub fn record_loss(&mut self, before: Streams, now: clock::Instant) {
        if before.in_flight == 1 && self.is_stalled(before, now) {
            self.kept_until.get_or_insert(now + RETENTION);
        }
    }

    /// Records that the group is available again after an outage.
    pub fn reset(&mut self, now: clock::Instant) {
        self.kept_until = None;
        self.progressed = now;
    }

    /// Returns whether the streams of the group have stalled.
    pub fn is_stalled(&self, streams: Streams, now: clock::Instant) -> bool {
        let kept = self.kept_until.is_some_and(|until| now < until);
        let silent = |timeout| now.since(self.progressed) > timeout;
        kept || self.timeout(streams).is_some_and(silent)
    }

    /// Returns whether a stream may be dispatched: the group has not stalled or a probe is due.
    pub fn admits(&self, streams: Streams, now: clock::Instant) -> bool {
        let found = self.progressed + self.timeout(streams).unwrap_or(MIN_TIMEOUT);
        let probe_due = now.since(self.last_probe.max(found)) >= PROBE_INTERVAL;
        probe_due || !self.is_stalled(streams, now)
    }

    /// Returns how much longer the present stall is expected to last.
    pub fn expected_remaining(&self, now: clock::Instant) -> Duration {
        let elapsed = now.since(self.progressed);
        let default = || match DEFAULT_DURATION.checked_sub(elapsed) {
            Some(left) if !left.is_zero() => left,
            // A stall that has lasted long is likely to last long.
            _ => elapsed.min(MAX_FURTHER),
        };
        self.earlier.remaining(elapsed).unwrap_or_else(default)
    }

    /// Returns the time without an event after which the group counts as stalled, or `None` if
    /// it never does.
    fn timeout(&self, streams: Streams) -> Option<Duration> {
        let first = self.first.map(|(mean, deviation)| {
            Duration::from_secs_f64(mean + FIRST_DEVIATIONS * deviation).max(MIN_TIMEOUT)
        });
        match streams {
            Streams { in_flight: 0, .. } => None,
            Streams { begun: 1.., .. } => Some(self.begun_timeout()),
            Streams { in_flight: 1, .. } => first,
            Streams { .. } => Some(self.begun_timeout().max(first.unwrap_or_default())),
        }
    }

    fn begun_timeout(&self) -> Duration {
        Duration::from_secs_f64(TIMEOUT_PAUSES * self.pause.unwrap_or_default()).max(MIN_TIMEOUT)
    }
}
