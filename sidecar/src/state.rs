//! State that a driver keeps about its group, and detection of a group that its driver left held.

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::engine::{self, Map};

use crate::codec;
use crate::demand::Demand;
use crate::group::View;

/// Minimum and maximum lead, in passes, from the current pass to the one at which the ranks switch.
/// A pass takes some 50 ms, and arming all ranks takes less unless orders get no answer; in that
/// case switching later is better than holding the group.
const LEAD: (u64, u64) = (2, 12);
/// Factor by which the expected time to arm all ranks decays at each change.
pub const ARM_TIME_DECAY: f64 = 0.8;
/// Expected time between two shifts of the demand before two were observed.
const INITIAL_SHIFT_INTERVAL: Duration = Duration::from_secs(8);
/// Expected time of the first change of the map without its copies: orders to all ranks and the
/// passes until the switch.
const INITIAL_SWITCH_TIME: Duration = Duration::from_millis(300);
/// Time without a pass, within a change of the map, after which the driver is assumed to have
/// crashed. It is several times as long as a change keeps a group waiting.
const STALL_TIME: Duration = Duration::from_millis(500);
/// Duration of a stall in passes of the group. It replaces [`STALL_TIME`] if passes are long: a
/// slow rank makes them last a second.
const STALL_PASSES: u32 = 3;
/// Factor by which the longest time of a pass decays at each observation of a new pass.
const PASS_TIME_DECAY: f64 = 0.7;

/// Time until a search that found no worthwhile change is repeated, and the rise of the peak that
/// repeats it sooner. In a group of 192 ranks a search takes a small host a tenth of a second,
/// while the demand drifts over seconds; a shift raises the peak by more than this.
const SEARCH_PAUSE: Duration = Duration::from_secs(1);
const SEARCH_RISE: f64 = 0.05;

/// State of the group as observed in one term.
#[derive(Default)]
pub struct State {
    /// Ranks of the group.
    pub view: View,
    /// Map in use.
    pub map: Arc<Map>,
    /// Demand of the experts.
    pub demand: Demand,
    /// Slowness of each rank: the time that its work takes, as a multiple of the usual time.
    pub slowness: Vec<f64>,
    /// Rounds since the slowness of all ranks was read.
    pub rounds: u32,
    /// Requests on the engines, as a fraction of their slots.
    pub fill: f64,
    /// Expected time to arm all ranks. It decays by [`ARM_TIME_DECAY`] at each change.
    pub arm_time: Duration,
    /// Duration of a pass.
    pub pass_time: Duration,
    /// Expected time of the copies of the current change.
    pub copy_time: Duration,
    /// Mean time of a change of the map without its copies; `None` before the first change.
    switch_time: Option<Duration>,
    /// Time of the last shift of the demand, and the mean time between two shifts.
    last_shift: Option<boot::Instant>,
    shift_interval: Option<Duration>,
    /// Last observed pass, and when it was observed.
    last_pass: Option<(u64, boot::Instant)>,
    /// Number of versions used in this term.
    pub versions: u64,
    /// Time of the last search that found no worthwhile change, and the peak at that time.
    failed_search: Option<(boot::Instant, f64)>,
}

impl State {
    /// Resets what does not outlast an epoch of the group.
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

    /// Returns whether to search for a better map at this peak.
    pub fn should_search(&self, peak: f64) -> bool {
        self.failed_search
            .is_none_or(|(at, before)| at.elapsed() >= SEARCH_PAUSE || peak >= before + SEARCH_RISE)
    }

    /// Records the end of a search and whether it found a worthwhile change.
    pub fn record_search(&mut self, peak: f64, change: bool) {
        self.failed_search = (!change).then(|| (boot::Instant::now(), peak));
    }

    /// Records the last pass that has begun and updates the duration of a pass.
    pub fn record_pass(&mut self, pass: u64) {
        let now = boot::Instant::now();
        if let Some((before, at)) = self.last_pass
            && pass > before
        {
            let passes = u32::try_from(pass - before).unwrap_or(u32::MAX);
            self.pass_time = now.saturating_duration_since(at) / passes;
        }
        self.last_pass = Some((pass, now));
    }

    /// Returns the expected time between two shifts of the demand.
    pub fn shift_interval(&self) -> Duration {
        self.shift_interval.unwrap_or(INITIAL_SHIFT_INTERVAL)
    }

    /// Records a shift of the demand.
    pub fn record_shift(&mut self) {
        let now = boot::Instant::now();
        if let Some(before) = self.last_shift.replace(now) {
            self.shift_interval =
                Some((self.shift_interval() + now.saturating_duration_since(before)) / 2);
        }
    }

    /// Returns the expected time of a change of the map without its copies.
    pub fn switch_time(&self) -> Duration {
        self.switch_time.unwrap_or(INITIAL_SWITCH_TIME)
    }

    /// Records the time that a change took, copies included.
    pub fn record_switch(&mut self, time: Duration) {
        let sample = time.saturating_sub(self.copy_time);
        self.switch_time = Some((self.switch_time() + sample) / 2);
    }

    /// Returns the number of passes from the current one to the one at which the ranks switch.
    pub fn lead(&self) -> u64 {
        let pass = self.pass_time.as_secs_f64().max(0.001);
        let passes = (self.arm_time.as_secs_f64() / pass).ceil() as u64;
        (LEAD.0 + passes).min(LEAD.1)
    }
}

/// Detects that the group is blocked because a driver left a pass held. Other causes, such as an
/// unreachable rank, cannot be resolved by another driver and are ignored.
#[derive(Debug, Default)]
pub struct Watchdog {
    pass: u64,
    /// Term of the driver that should release the pass.
    term: u64,
    since: Option<boot::Instant>,
    /// Whether the pass after the last observed one was held.
    held: bool,
    /// Longest mean time of the passes between two observations, except passes that were held. It
    /// decays by [`PASS_TIME_DECAY`] at each observation of a new pass.
    pass_time: Duration,
}

impl Watchdog {
    /// Records a report and the driver's term. Returns whether this rank has held back the group's
    /// next pass for too long under this driver.
    pub fn observe(&mut self, report: &engine::Report, term: u64) -> bool {
        let held = report.held == Some(report.pass.saturating_add(1));
        let moved = report.pass != self.pass;
        if let Some(since) = self.since.filter(|_| moved) {
            let decayed = self.pass_time.mul_f64(PASS_TIME_DECAY);
            // Several passes may begin between two observations, and many while this sidecar drives.
            let passes = report.pass.saturating_sub(self.pass).clamp(1, u64::from(u32::MAX)) as u32;
            let time = if self.held { Duration::ZERO } else { since.elapsed() / passes };
            self.pass_time = decayed.max(time).min(STALL_TIME * STALL_PASSES);
        }
        self.held = held;
        if moved || term != self.term || !held {
            self.pass = report.pass;
            self.term = term;
            self.since = None;
        }
        let since = *self.since.get_or_insert_with(boot::Instant::now);
        since.elapsed() >= STALL_TIME.max(self.pass_time * STALL_PASSES)
    }
}

/// Assembles the map in use from the lists of the ranks. Returns `false` if they are inconsistent,
/// as in the middle of a switch.
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
