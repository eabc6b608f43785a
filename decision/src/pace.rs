//! Bounds the number of streams of a lock-step group so that their events arrive in
//! time.
//!
//! Each additional stream of a group lengthens every pass, and a pass that is too
//! long delays all streams. The time of a pass for a number of streams is
//! published ([`pass::Cost`]), the pauses between events show its actual time, and
//! answers report the number of streams of their ranks. The skew is the ratio of
//! the actual to the published time of a pass. It jumps when demand shifts to
//! other experts, faster than streams in flight end. The bound therefore allows
//! for the skew of the last seconds, and not only for the current one.
//!
//! Gateways share no counter. Each knows the number of streams of the whole group
//! and adjusts its own share: it reduces its share in proportion if the group has
//! too many streams, adds a part of the free capacity otherwise ([`claim`]), and
//! moves some way towards an even share.

mod claim;

use std::collections::VecDeque;
use std::time::Duration;

use crate::{clock, pass};

/// Fraction of the target pause that a pass may take. The rest is for prompts that
/// are processed at one rank and for the network path to the client.
/// `docs/POLICY.md` describes the effect of other values.
const HEADROOM: f64 = 0.9;
/// Time between two updates of the bound; one to three passes.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which skew samples are kept: long enough to cover the time from one
/// shift of the demand to the next. For other values see [`HEADROOM`].
const SKEW_MEMORY: Duration = Duration::from_secs(8);
/// Age up to which skew samples are dropped when a rank becomes known to be slow. They are from
/// the time between the slowing down and the gateway's knowledge of it: the driver reads all ranks
/// each second, writes at most every 500 ms, and the record takes some 100 ms to arrive.
const UNEXPLAINED_TIME: Duration = Duration::from_secs(2);
/// Quantile of the kept skew samples that the bound allows for. Samples above it
/// are from passes that a map change delayed.
const SKEW_QUANTILE: f64 = 0.75;
/// Weight of the newest answer in the mean number of streams of a rank. The mean
/// covers some eight answers, about one second at a gateway.
const REPORT_GAIN: f64 = 0.12;
/// Weight of an interval without an answer in the mean number of own streams. With
/// answers, the mean follows each of them as that of the reports does, so that both
/// describe the same time.
const OWN_GAIN: f64 = 0.1;
/// Fraction of the distance to an even share by which a gateway moves in one update,
/// so that a gateway that has just started obtains a share from those with more.
const EVEN_SHARE_GAIN: f64 = 0.1;
/// Minimum bound, so that there are always events to measure: one stream in ten mean durations.
/// With 400 gateways it adds up to 40 streams, where a group of 63 ranks runs one on each.
const MIN_BOUND: f64 = 0.1;
/// Bound from which only whole streams are admitted. What rounding down leaves, half a stream for
/// each gateway on average, covers errors of the model: with fractions at 70 gateways, 16 % of the
/// streams were late instead of 9 %. Below this bound, rounding down would leave much of the group
/// unused.
const WHOLE_BOUND: f64 = 2.0;
/// Fraction of the pauses of an interval that are ignored, longest first, so that one
/// backend server that sends slowly does not stop the whole group.
const OUTLIER_FRACTION: f64 = 0.1;

/// State of a group at an update of the bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Snapshot {
    /// Number of ranks of the group.
    pub ranks: u32,
    /// Maximum number of concurrent streams of a rank.
    pub slots: u32,
    /// Own streams in flight.
    pub in_flight: u32,
    /// Number of gateways that share the group.
    pub gateways: u32,
    /// Own streams that the requests arriving at present would keep in flight.
    pub demand: f64,
    /// Published cost of a pass.
    pub cost: pass::Cost,
}

/// An updated bound and the values that it was computed from, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Own streams that may be in flight.
    pub bound: f64,
    /// Own streams in flight.
    pub in_flight: u32,
    /// Streams of a rank.
    pub streams: f64,
    /// Streams of a rank that fit into the target pause.
    pub fitting: f64,
    /// Ratio of the actual to the published time of a pass.
    pub skew: f64,
    /// The skew that the bound allows for.
    pub allowed: f64,
    /// Own streams that the requests arriving at present would keep in flight.
    pub demand: f64,
    /// Part of the free capacity that the gateway claims.
    pub part: f64,
}

/// Bound on the own streams of one group.
#[derive(Debug, Clone)]
pub struct Pace {
    bound: f64,
    /// Streams of a rank that fit into the target pause, at the last update.
    fitting: f64,
    /// Mean number of streams of a rank by recent answers; `None` before the first answer.
    streams: Option<f64>,
    /// Time of the last such answer.
    reported: clock::Instant,
    /// Mean number of own streams in flight, over the same time as `streams`.
    own_streams: f64,
    claim: claim::Claim,
    /// Skew of recent intervals, each with the time at which the interval ended.
    skews: VecDeque<(clock::Instant, f64)>,
    /// Longest time that a slow rank's own part of a pass probably takes, seconds.
    slow_part: f64,
    /// Pauses of the current interval, seconds.
    pauses: Vec<f32>,
    updated: clock::Instant,
}

impl Default for Pace {
    /// Returns a pace without a bound. The first pauses set one.
    fn default() -> Pace {
        Pace {
            bound: f64::INFINITY,
            fitting: f64::INFINITY,
            streams: None,
            reported: clock::Instant::ZERO,
            own_streams: 0.0,
            claim: claim::Claim::default(),
            skews: VecDeque::new(),
            slow_part: 0.0,
            pauses: Vec::new(),
            updated: clock::Instant::ZERO,
        }
    }
}

impl Pace {
    /// Returns the number of own streams that may be in flight, on average over time; a whole
    /// number from [`WHOLE_BOUND`] on. It is infinite before the first update.
    pub fn bound(&self) -> f64 {
        if self.bound < WHOLE_BOUND { self.bound } else { self.bound.floor() }
    }

    /// Returns the mean number of streams of a rank by recent answers, or `None` before the first
    /// answer.
    pub fn streams(&self) -> Option<f64> {
        self.streams
    }

    /// Returns the number of streams of a rank that fit into the target pause. It is infinite
    /// before the first update.
    pub fn fitting(&self) -> f64 {
        self.fitting
    }

    /// Returns the time since the last answer that reported the number of streams of its rank.
    pub fn age(&self, now: clock::Instant) -> Duration {
        now.since(self.reported)
    }

    /// Sets the longest time that a slow rank's own part of a pass probably takes, in seconds. It
    /// is zero if no rank is slow.
    pub fn set_slow_part(&mut self, seconds: f64) {
        self.slow_part = seconds;
    }

    /// Drops the skew samples of the last [`UNEXPLAINED_TIME`], after a rank has become known to be
    /// slow. Their long pauses were due to that rank.
    pub fn forget_recent_skews(&mut self, now: clock::Instant) {
        self.skews.retain(|(at, _)| now.since(*at) > UNEXPLAINED_TIME);
    }

    /// Records the number of running and waiting streams that an answer reported for its rank, and
    /// the number of own streams in flight at that time.
    pub fn record_streams(&mut self, streams: u32, in_flight: u32, now: clock::Instant) {
        self.reported = now;
        let (sample, own) = (f64::from(streams), f64::from(in_flight));
        let (mean, own_mean) = self.streams.map_or((sample, own), |mean| (mean, self.own_streams));
        self.streams = Some(mean + REPORT_GAIN * (sample - mean));
        self.own_streams = own_mean + REPORT_GAIN * (own - own_mean);
    }

    /// Records an event and the pause before it, which is zero for the first event of
    /// a stream. Returns whether an update of the bound is due.
    pub fn record_event(&mut self, pause: Duration, now: clock::Instant) -> bool {
        if !pause.is_zero() {
            self.pauses.push(pause.as_secs_f32());
        }
        now.since(self.updated) >= UPDATE_INTERVAL && !self.pauses.is_empty()
    }

    /// Updates the bound from the pauses since the last update. `target_pause` is the
    /// longest pause between events that is acceptable.
    pub fn update_bound(
        &mut self,
        target_pause: Duration,
        view: &Snapshot,
        now: clock::Instant,
    ) -> Bound {
        let updated = std::mem::replace(&mut self.updated, now);
        let in_flight = f64::from(view.in_flight);
        if self.reported < updated {
            self.own_streams += OWN_GAIN * (in_flight - self.own_streams);
        }
        let pause = self.high_pause();
        self.pauses.clear();
        let ranks = f64::from(view.ranks.max(1));
        let streams = self.streams.unwrap_or(in_flight / ranks);
        let skew = self.skew(pause, view.cost.time(streams));
        self.record_skew(skew, now);
        let time = target_pause.as_secs_f64() * HEADROOM;
        let fits = |skew: f64| view.cost.streams(time / skew.max(f64::MIN_POSITIVE));
        let slots = f64::from(view.slots.max(1));
        let allowed = skew.max(self.allowed_skew());
        let fitting = match fits(allowed) {
            // Not even one stream per rank would ever be in time. The current skew is
            // used instead, and if that is no better, streams are served late.
            few if few < 1.0 => match fits(skew) {
                none if none < 1.0 => slots,
                some => some,
            },
            some => some,
        };
        let fitting = fitting.min(slots);
        self.fitting = fitting;
        let gateways = f64::from(view.gateways.max(1));
        let known = claim::Streams { own: self.own_streams, group: streams * ranks };
        let part = self.claim.update(known, view.demand, gateways);
        let own_share = if streams > fitting {
            in_flight.min(self.own_streams) * fitting / streams
        } else {
            self.own_streams + (fitting - streams) * ranks * part
        };
        let even_share = fitting * ranks / gateways;
        self.bound = (own_share + EVEN_SHARE_GAIN * (even_share - own_share)).max(MIN_BOUND);
        Bound {
            bound: self.bound,
            in_flight: view.in_flight,
            streams,
            fitting,
            skew,
            allowed,
            demand: view.demand,
            part,
        }
    }

    /// Returns the ratio of a pause to the time predicted for it, `usual` being the published time
    /// of a pass.
    fn skew(&self, pause: f64, usual: f64) -> f64 {
        let skew = pause / usual.max(f64::MIN_POSITIVE);
        if skew <= 1.0 || self.slow_part <= usual {
            return skew;
        }
        // The slow ranks may have fewer streams than assumed. They never make the skew less than 1.
        (pause / self.slow_part).max(1.0)
    }

    fn record_skew(&mut self, skew: f64, now: clock::Instant) {
        self.skews.push_back((now, skew));
        while self.skews.front().is_some_and(|(at, _)| now.since(*at) > SKEW_MEMORY) {
            self.skews.pop_front();
        }
    }

    /// Returns the quantile of the recent skew that the bound allows for.
    fn allowed_skew(&self) -> f64 {
        let mut skews: Vec<f64> = self.skews.iter().map(|(_, skew)| *skew).collect();
        skews.sort_by(f64::total_cmp);
        let index = (skews.len() as f64 * SKEW_QUANTILE) as usize;
        skews.get(index.min(skews.len().saturating_sub(1))).copied().unwrap_or(1.0)
    }

    /// Returns the longest pause without the outliers, seconds.
    fn high_pause(&mut self) -> f64 {
        self.pauses.sort_by(f32::total_cmp);
        let skipped = (self.pauses.len() as f64 * OUTLIER_FRACTION) as usize;
        self.pauses.iter().rev().nth(skipped).map_or(0.0, |pause| f64::from(*pause))
    }
}
