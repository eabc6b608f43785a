//! What a driver knows of its group.

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::engine::{self, Map};

use crate::codec;
use crate::demand::Demand;
use crate::group::View;

/// Fewest and most passes from the present one to the one at which the ranks
/// switch. A pass takes some 50 ms and arming all ranks less, unless orders get
/// no answer; then it is better to switch later than to hold the group.
const LEAD: (u64, u64) = (2, 12);
/// What is left, at each change, of the time that arming is expected to take.
pub const ARM_TIME_DECAY: f64 = 0.8;
/// How long the demand is expected to stay as it is before two shifts were seen.
const INITIAL_SHIFT_INTERVAL: Duration = Duration::from_secs(8);
/// Expected time of the first change of the map beside its copies: orders to all
/// ranks and the passes until the switch.
const INITIAL_SWITCH_TIME: Duration = Duration::from_millis(300);
/// Time without a pass, within a change of the map, after which a driver is
/// taken to be gone: several times what a change keeps a group waiting.
const STALL_TIME: Duration = Duration::from_millis(500);
/// Passes of the group without one after which the same holds, where its passes
/// are long: a slow rank makes them last a second.
const STALL_PASSES: u32 = 3;
/// What is left, at each pass, of the longest time that one took.
const PASS_TIME_DECAY: f64 = 0.7;

/// Time until a search that found nothing worth a change is made again, and the
/// rise of the peak that makes it sooner. A search takes a small host a tenth of
/// a second in a group of 192 ranks, while the demand drifts over seconds; a
/// shift raises the peak by more than this. Both are guesses.
const SEARCH_PAUSE: Duration = Duration::from_secs(1);
const SEARCH_RISE: f64 = 0.05;

/// What a term has learnt of the group.
#[derive(Default)]
pub struct State {
    /// Its ranks.
    pub view: View,
    /// The map in use.
    pub map: Arc<Map>,
    /// What experts are in demand.
    pub demand: Demand,
    /// How many times as long as usual each rank takes for its work.
    pub slowness: Vec<f64>,
    /// Rounds since the slowness of all ranks was read.
    pub rounds: u32,
    /// Requests on the engines, as a part of their slots.
    pub fill: f64,
    /// How long arming all ranks is expected to take, of which [`ARM_TIME_DECAY`]
    /// is left at each change.
    pub arm_time: Duration,
    /// Time of a pass.
    pub pass_time: Duration,
    /// How long the copies of the present change are expected to take.
    pub copy_time: Duration,
    /// Mean time of a change of the map beside its copies; none before the first.
    switch_time: Option<Duration>,
    /// When the demand last shifted, and the mean time between two shifts.
    last_shift: Option<boot::Instant>,
    shift_interval: Option<Duration>,
    /// Last pass that was seen, and when.
    last_pass: Option<(u64, boot::Instant)>,
    /// Versions used in this term.
    pub versions: u64,
    /// When a search last found nothing worth a change, and at what peak.
    failed_search: Option<(boot::Instant, f64)>,
}

impl State {
    /// What stays known when the group has formed anew.
    pub fn next_epoch(&mut self) {
        let before = std::mem::take(self);
        *self = State {
            demand: before.demand,
            slowness: before.slowness,
            arm_time: before.arm_time,
            pass_time: before.pass_time,
            switch_time: before.switch_time,
            last_shift: before.last_shift,
            shift_interval: before.shift_interval,
            versions: before.versions,
            ..State::default()
        };
    }

    /// Whether to search for a better map at that peak.
    pub fn should_search(&self, peak: f64) -> bool {
        self.failed_search
            .is_none_or(|(at, before)| at.elapsed() >= SEARCH_PAUSE || peak >= before + SEARCH_RISE)
    }

    /// A search has ended, with a change worth making or without.
    pub fn record_search(&mut self, peak: f64, change: bool) {
        self.failed_search = (!change).then(|| (boot::Instant::now(), peak));
    }

    /// Takes the last pass that has begun, for the time of a pass.
    pub fn record_pass(&mut self, pass: u64) {
        let now = boot::Instant::now();
        if let Some((before, at)) = self.last_pass
            && pass > before
        {
            self.pass_time = now.saturating_duration_since(at) / (pass - before) as u32;
        }
        self.last_pass = Some((pass, now));
    }

    /// How long the demand mostly stays as it is.
    pub fn shift_interval(&self) -> Duration {
        self.shift_interval.unwrap_or(INITIAL_SHIFT_INTERVAL)
    }

    /// The demand has shifted.
    pub fn record_shift(&mut self) {
        let now = boot::Instant::now();
        if let Some(before) = self.last_shift.replace(now) {
            self.shift_interval =
                Some((self.shift_interval() + now.saturating_duration_since(before)) / 2);
        }
    }

    /// Time of a change of the map beside its copies.
    pub fn switch_time(&self) -> Duration {
        self.switch_time.unwrap_or(INITIAL_SWITCH_TIME)
    }

    /// Takes how long a change took, copies included.
    pub fn record_switch(&mut self, time: Duration) {
        let sample = time.saturating_sub(self.copy_time);
        self.switch_time = Some((self.switch_time() + sample) / 2);
    }

    /// Passes from the present one to the one at which the ranks switch.
    pub fn lead(&self) -> u64 {
        let pass = self.pass_time.as_secs_f64().max(0.001);
        let passes = (self.arm_time.as_secs_f64() / pass).ceil() as u64;
        (LEAD.0 + passes).min(LEAD.1)
    }
}

/// Notices that the group stands still because a driver left it held. What else
/// keeps it standing, as a rank that is cut off, no other driver can mend.
#[derive(Debug, Default)]
pub struct Watchdog {
    pass: u64,
    /// Term of the driver that is to end it.
    term: u64,
    since: Option<boot::Instant>,
    /// Longest time between two looks at which a pass had begun meanwhile,
    /// of which [`PASS_TIME_DECAY`] is left at each new pass.
    pass_time: Duration,
}

impl Watchdog {
    /// Takes a report and the driver's term; returns whether this rank has kept
    /// the group from its next pass for too long under this driver.
    pub fn observe(&mut self, report: &engine::Report, term: u64) -> bool {
        let held = report.held == Some(report.pass + 1);
        let moved = report.pass != self.pass;
        if let Some(since) = self.since.filter(|_| moved) {
            let kept = self.pass_time.mul_f64(PASS_TIME_DECAY);
            self.pass_time = kept.max(since.elapsed()).min(STALL_TIME * STALL_PASSES);
        }
        if moved || term != self.term || !held {
            self.pass = report.pass;
            self.term = term;
            self.since = None;
        }
        let since = *self.since.get_or_insert_with(boot::Instant::now);
        since.elapsed() >= STALL_TIME.max(self.pass_time * STALL_PASSES)
    }
}

/// Takes the map in use from the ranks' lists; `false` where they do not fit
/// together, as in the middle of a switch.
pub fn load_map(state: &mut State) -> bool {
    let conditions = &state.view.conditions;
    let versions_differ = conditions.windows(2).any(|pair| pair[0].map != pair[1].map);
    let lists: Option<Vec<Vec<Vec<u16>>>> =
        conditions.iter().map(|condition| codec::decode(&condition.experts)).collect();
    let Some(lists) = lists.filter(|_| !versions_differ) else {
        state.view.ranks.clear();
        return false;
    };
    let sets = lists.first().map_or(0, Vec::len);
    if sets == 0 || lists.iter().any(|rank| rank.len() != sets) {
        state.view.ranks.clear();
        return false;
    }
    let set_lists = |set: usize| lists.iter().map(|rank| rank[set].clone()).collect();
    state.map = Arc::new((0..sets).map(set_lists).collect());
    true
}
