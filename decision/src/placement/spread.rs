//! Local search that spreads the experts of one set over the ranks of a lock-step group.
//!
//! A pass waits at each set for the rank that takes longest for its experts. So the search
//! repeatedly takes load off that rank with the one change after which the slowest of the affected
//! ranks is the fastest: one of its experts is copied or moved to another rank, dropped where
//! others hold it too, or swapped with an expert there. The load of a slow rank is multiplied by
//! its slowness. The search ends when no change gains more than a threshold, or when the peak
//! reaches the target. The cost of a round grows with the number of experts that a rank holds and
//! slightly with the number of ranks, but not with the number of all experts.

use std::cmp::Ordering;

/// Maximum number of ranks that are considered as receivers of load of the slowest rank. In groups
/// of up to this many and one ranks, all others are considered. In larger groups, considering only
/// the least loaded ones takes a fraction of the time and makes plans no worse
/// (`docs/CAPACITY.md`).
const MAX_RECEIVERS: usize = 48;

/// Limits on the experts that a rank holds and adds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of experts that a rank holds.
    pub placements: usize,
    /// Maximum number of experts that a rank adds to those that it held before.
    pub spare: usize,
}

/// Conditions for the end of the search.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Goal {
    /// Peak at which the search ends: time of the slowest rank over the least possible time.
    pub target_peak: f64,
    /// Minimum gain of a change, as a fraction of the mean load.
    pub min_gain: f64,
}

/// Experts of a set that each rank holds.
pub type Ranks = Vec<Vec<u16>>;

/// Load of a set and speed of its ranks.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Load of each expert.
    pub load: &'a [f64],
    /// Factor by which each rank is slower than usual. Ranks beyond the end of the slice have the
    /// usual speed.
    pub slowness: &'a [f64],
}

/// Returns the time of the slowest rank over the least possible time. 1 is perfect and is also the
/// result without load.
pub fn peak(ranks: &Ranks, demand: Demand<'_>) -> f64 {
    let state = State::new(ranks, demand, Bounds { placements: usize::MAX, spare: 0 });
    state.peak()
}

/// Spreads the load. Experts that a rank does not hold in `before` count towards its bound.
/// Returns `None` if nothing is gained.
pub fn spread(before: &Ranks, demand: Demand<'_>, bounds: Bounds, goal: Goal) -> Option<Ranks> {
    let mut search = Search::new(before, demand, bounds);
    let mut room = vec![usize::MAX; before.len()];
    let mut changed = false;
    while search.peak() > goal.target_peak && search.advance(goal.min_gain, &mut room) {
        changed = true;
    }
    changed.then_some(search.state.ranks)
}

/// Search that is advanced by one change at a time.
pub struct Search<'a> {
    state: State<'a>,
    /// Number of changes that are still allowed. Each change takes load off a rank, so that this
    /// limit ends any search.
    remaining: usize,
}

impl<'a> Search<'a> {
    /// Creates a search that starts from a placement.
    pub fn new(before: &'a Ranks, demand: Demand<'a>, bounds: Bounds) -> Search<'a> {
        let remaining = before.len() * bounds.placements.min(demand.load.len()) * 2;
        Search { state: State::new(before, demand, bounds), remaining }
    }

    /// Returns the time of the slowest rank over the least possible time.
    pub fn peak(&self) -> f64 {
        self.state.peak()
    }

    /// Returns the current placement.
    pub fn ranks(&self) -> &Ranks {
        &self.state.ranks
    }

    /// Makes the next change if it takes at least `min_gain`, a fraction of the mean load, off the
    /// slowest rank. `room` is the number of experts that each rank can still add, over all sets;
    /// the call updates it. Returns whether there was a change.
    pub fn advance(&mut self, min_gain: f64, room: &mut [usize]) -> bool {
        if self.remaining == 0 {
            return false;
        }
        let Some(change) = self.state.best(min_gain, room) else { return false };
        self.remaining -= 1;
        let [one, other] = change.ranks();
        let before = (self.state.added(one), self.state.added(other));
        self.state.apply(&change);
        room[one] = room[one].saturating_add(before.0) - self.state.added(one);
        if other != one {
            room[other] = room[other].saturating_add(before.1) - self.state.added(other);
        }
        true
    }
}

/// Change of one or two ranks.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    /// The expert gets an additional holder. If `replaced` is given, it takes the place of that
    /// expert, which other ranks hold too.
    Copy { expert: u16, to: usize, replaced: Option<u16> },
    /// The expert moves from one rank to another.
    Move { expert: u16, from: usize, to: usize },
    /// The expert is removed from the rank; its other holders take over its load.
    Drop { expert: u16, from: usize },
    /// Two experts are swapped.
    Swap { expert: u16, from: usize, other: u16, to: usize },
}

impl Change {
    /// Returns the ranks that the change adds experts to or removes experts from.
    fn ranks(&self) -> [usize; 2] {
        match *self {
            Change::Copy { to, .. } => [to, to],
            Change::Move { from, to, .. } | Change::Swap { from, to, .. } => [from, to],
            Change::Drop { from, .. } => [from, from],
        }
    }
}

struct State<'a> {
    before: &'a Ranks,
    load: &'a [f64],
    slowness: &'a [f64],
    bounds: Bounds,
    ranks: Ranks,
    holders: Vec<Vec<usize>>,
    /// Load of each rank.
    sums: Vec<f64>,
    /// Time of every rank if the load could be divided arbitrarily.
    ideal: f64,
}

impl<'a> State<'a> {
    fn new(before: &'a Ranks, demand: Demand<'a>, bounds: Bounds) -> State<'a> {
        let Demand { load, slowness } = demand;
        let speed = |rank| 1.0 / slowness.get(rank).copied().unwrap_or(1.0);
        let speeds: f64 = (0..before.len()).map(speed).sum();
        let mut holders = vec![Vec::new(); load.len()];
        for (rank, experts) in before.iter().enumerate() {
            experts.iter().for_each(|expert| holders[usize::from(*expert)].push(rank));
        }
        let mut state = State {
            before,
            load,
            slowness,
            bounds,
            ranks: before.clone(),
            holders,
            sums: vec![0.0; before.len()],
            ideal: load.iter().sum::<f64>() / speeds.max(f64::MIN_POSITIVE),
        };
        for expert in 0..load.len() {
            let share = state.share(expert as u16, 0);
            for rank in &state.holders[expert] {
                state.sums[*rank] += share;
            }
        }
        state
    }

    /// Returns the load of an expert on each of its holders with `more` additional holders.
    fn share(&self, expert: u16, more: isize) -> f64 {
        let holders = self.holders[usize::from(expert)].len() as isize + more;
        if holders <= 0 { 0.0 } else { self.load[usize::from(expert)] / holders as f64 }
    }

    /// Returns the time of a rank with `more` load in addition to its current load.
    fn time(&self, rank: usize, more: f64) -> f64 {
        (self.sums[rank] + more) * self.slowness.get(rank).copied().unwrap_or(1.0)
    }

    fn slowest(&self) -> usize {
        let by_time = |a: &usize, b: &usize| self.time(*a, 0.0).total_cmp(&self.time(*b, 0.0));
        (0..self.sums.len()).max_by(by_time).unwrap_or(0)
    }

    fn peak(&self) -> f64 {
        if self.ideal <= 0.0 {
            return 1.0;
        }
        self.time(self.slowest(), 0.0) / self.ideal
    }

    /// Returns the number of experts that a rank holds and did not hold before.
    fn added(&self, rank: usize) -> usize {
        let old = &self.before[rank];
        self.ranks[rank].iter().filter(|expert| !old.contains(expert)).count()
    }

    /// Returns whether an expert was removed from a rank. It can be added again at no cost.
    fn has_removed(&self, rank: usize) -> bool {
        self.before[rank].iter().any(|expert| !self.ranks[rank].contains(expert))
    }

    /// Returns whether an expert can be added to a rank after `removed` is removed from it.
    fn can_add(&self, rank: usize, expert: u16, removed: Option<u16>, room: &[usize]) -> bool {
        let held = &self.ranks[rank];
        if held.contains(&expert) {
            return false;
        }
        if held.len() + 1 - usize::from(removed.is_some()) > self.bounds.placements {
            return false;
        }
        let old = &self.before[rank];
        if old.contains(&expert) {
            return true;
        }
        let kept = held.iter().filter(|held| Some(**held) != removed);
        let new = kept.filter(|held| !old.contains(held)).count();
        new < self.bounds.spare && new < self.added(rank).saturating_add(room[rank])
    }

    /// Returns the ranks, in ascending order, that can receive load of rank `from`: the least
    /// loaded ones, up to [`MAX_RECEIVERS`].
    fn receivers(&self, from: usize, limit: f64, room: &[usize]) -> Vec<usize> {
        // A rank that is as loaded, or that cannot add any expert, is no receiver.
        let can_receive =
            |rank: usize| room[rank] > 0 || self.added(rank) > 0 || self.has_removed(rank);
        let is_receiver =
            |rank: &usize| *rank != from && self.time(*rank, 0.0) < limit && can_receive(*rank);
        let mut ranks: Vec<usize> = (0..self.ranks.len()).filter(is_receiver).collect();
        if ranks.len() > MAX_RECEIVERS {
            let by_time = |a: &usize, b: &usize| self.time(*a, 0.0).total_cmp(&self.time(*b, 0.0));
            ranks.select_nth_unstable_by(MAX_RECEIVERS, by_time);
            ranks.truncate(MAX_RECEIVERS);
            ranks.sort_unstable();
        }
        ranks
    }

    /// Returns the change after which the slowest of the affected ranks is the fastest, if it takes
    /// enough load off the slowest rank.
    fn best(&self, min_gain: f64, room: &[usize]) -> Option<Change> {
        let from = self.slowest();
        let limit = self.time(from, 0.0) - min_gain * self.ideal;
        let receivers = self.receivers(from, limit, room);
        let mut best: Option<(f64, Change)> = None;
        let mut consider = |worst: f64, change: Change| {
            let better = best.is_none_or(|(least, _)| worst.total_cmp(&least) == Ordering::Less);
            if worst < limit && better {
                best = Some((worst, change));
            }
        };
        for expert in &self.ranks[from] {
            self.evaluate_drop(*expert, from, &mut consider);
            for to in &receivers {
                self.evaluate(*expert, (from, *to), room, &mut consider);
            }
        }
        best.map(|(_, change)| change)
    }

    /// Evaluates the removal of an expert that other ranks hold too.
    fn evaluate_drop(&self, expert: u16, from: usize, consider: &mut impl FnMut(f64, Change)) {
        let holders = &self.holders[usize::from(expert)];
        if holders.len() < 2 {
            return;
        }
        let share = self.share(expert, 0);
        let worst = self.time(from, -share).max(self.time_without(expert, from));
        consider(worst, Change::Drop { expert, from });
    }

    /// Returns the time of the slowest of the other holders of an expert that is removed from a
    /// rank.
    fn time_without(&self, expert: u16, removed: usize) -> f64 {
        let more = self.share(expert, -1) - self.share(expert, 0);
        let others = self.holders[usize::from(expert)].iter().filter(|rank| **rank != removed);
        others.map(|rank| self.time(*rank, more)).fold(0.0, f64::max)
    }

    /// Evaluates copying, moving and swapping an expert from one rank to another.
    fn evaluate(
        &self,
        expert: u16,
        (from, to): (usize, usize),
        room: &[usize],
        consider: &mut impl FnMut(f64, Change),
    ) {
        let share = self.share(expert, 0);
        if share <= 0.0 {
            return;
        }
        let after_copy = self.share(expert, 1);
        let from_time = self.time(from, after_copy - share);
        if self.can_add(to, expert, None, room) {
            let change = Change::Copy { expert, to, replaced: None };
            consider(from_time.max(self.time(to, after_copy)), change);
            let change = Change::Move { expert, from, to };
            consider(self.time(from, -share).max(self.time(to, share)), change);
        }
        for other in &self.ranks[to] {
            let other_share = self.share(*other, 0);
            if self.can_add(to, expert, Some(*other), room) {
                self.evaluate_replacement(expert, to, *other, from_time, consider);
                let delta = share - other_share;
                if delta > 0.0 && self.can_add(from, *other, Some(expert), room) {
                    let worst = self.time(from, -delta).max(self.time(to, delta));
                    consider(worst, Change::Swap { expert, from, other: *other, to });
                }
            }
        }
    }

    /// Evaluates a copy that replaces an expert that other ranks hold too; these take over its
    /// load.
    fn evaluate_replacement(
        &self,
        expert: u16,
        to: usize,
        other: u16,
        from_time: f64,
        consider: &mut impl FnMut(f64, Change),
    ) {
        if self.holders[usize::from(other)].len() < 2 {
            return;
        }
        let others_time = self.time_without(other, to);
        let to_time = self.time(to, self.share(expert, 1) - self.share(other, 0));
        let change = Change::Copy { expert, to, replaced: Some(other) };
        consider(from_time.max(to_time).max(others_time), change);
    }

    fn apply(&mut self, change: &Change) {
        match *change {
            Change::Copy { expert, to, replaced } => {
                if let Some(other) = replaced {
                    self.drop_from(other, to);
                }
                self.add_to(expert, to);
            }
            Change::Move { expert, from, to } => {
                self.add_to(expert, to);
                self.drop_from(expert, from);
            }
            Change::Drop { expert, from } => self.drop_from(expert, from),
            Change::Swap { expert, from, other, to } => {
                self.drop_from(expert, from);
                self.drop_from(other, to);
                self.add_to(expert, to);
                self.add_to(other, from);
            }
        }
    }

    fn add_to(&mut self, expert: u16, rank: usize) {
        let (now, after) = (self.share(expert, 0), self.share(expert, 1));
        let holders = &mut self.holders[usize::from(expert)];
        for holder in holders.iter() {
            self.sums[*holder] += after - now;
        }
        holders.push(rank);
        self.sums[rank] += after;
        self.ranks[rank].push(expert);
    }

    fn drop_from(&mut self, expert: u16, rank: usize) {
        let (now, after) = (self.share(expert, 0), self.share(expert, -1));
        let holders = &mut self.holders[usize::from(expert)];
        holders.retain(|holder| *holder != rank);
        for holder in holders.iter() {
            self.sums[*holder] += after - now;
        }
        self.sums[rank] -= now;
        self.ranks[rank].retain(|held| *held != expert);
    }
}
