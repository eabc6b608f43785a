//! Spreads the experts of one set over the ranks of a lock-step group.
//!
//! A pass waits for the rank that takes longest for its experts of each set, so
//! the search takes load off that rank, again and again, by the one change that
//! leaves the ranks it touches least busy: a copy of one of its experts goes to
//! another rank, or takes over from it, or it changes places with one there. A
//! slow rank counts as many times as loaded as it is slower. The search ends
//! where nothing helps by more than a threshold, or where the ranks are even
//! enough. The work of a round grows with the experts that a rank holds, and a
//! little with the ranks, not with all experts.

use std::cmp::Ordering;

/// Ranks that are looked at for help to the slowest one. In groups of up to so
/// many and one this is all of them; in larger ones looking at the least busy
/// takes a part of the time, and plans get no worse (`docs/CAPACITY.md`).
const HELPERS: usize = 48;

/// What a rank may hold and take in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Experts that a rank may hold.
    pub placements: usize,
    /// Experts that a rank may take in that it did not hold before.
    pub spare: usize,
}

/// When the search ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Goal {
    /// Load of the most loaded rank over the mean at which it is even enough.
    pub target_peak: f64,
    /// Least gain of one change, as a part of the mean load.
    pub min_gain: f64,
}

/// Experts of a set by rank.
pub type Ranks = Vec<Vec<u16>>;

/// What a set has to bear.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Load of each expert.
    pub load: &'a [f64],
    /// How many times as long as usual each rank takes; those that are not in
    /// it are as fast as usual.
    pub slowness: &'a [f64],
}

/// Time of the slowest rank over the least possible one; 1 is perfect. One
/// where there is no load.
pub fn peak(ranks: &Ranks, demand: Demand<'_>) -> f64 {
    let state = State::new(ranks, demand, Bounds { placements: usize::MAX, spare: 0 });
    state.peak()
}

/// Spreads the load. Experts that a rank does not hold in `before` count
/// against its bound. Returns `None` where nothing is gained.
pub fn spread(before: &Ranks, demand: Demand<'_>, bounds: Bounds, goal: Goal) -> Option<Ranks> {
    let mut search = Search::new(before, demand, bounds);
    let mut room = vec![usize::MAX; before.len()];
    let mut changed = false;
    while search.peak() > goal.target_peak && search.advance(goal.min_gain, &mut room) {
        changed = true;
    }
    changed.then_some(search.state.ranks)
}

/// A search that is taken further one change after the other.
pub struct Search<'a> {
    state: State<'a>,
    /// Changes that are left: each takes load off one rank, so that so many end
    /// any search.
    left: usize,
}

impl<'a> Search<'a> {
    /// A search that begins with a placement.
    pub fn new(before: &'a Ranks, demand: Demand<'a>, bounds: Bounds) -> Search<'a> {
        let left = before.len() * bounds.placements.min(demand.load.len()) * 2;
        Search { state: State::new(before, demand, bounds), left }
    }

    /// Time of the slowest rank over the least possible one.
    pub fn peak(&self) -> f64 {
        self.state.peak()
    }

    /// The placement that it has come to.
    pub fn ranks(&self) -> &Ranks {
        &self.state.ranks
    }

    /// Makes the next change, if it takes that part of the mean load off the
    /// slowest rank. `room` has the experts that each rank may still take in,
    /// over all sets, and is kept up. Returns whether there was a change.
    pub fn advance(&mut self, min_gain: f64, room: &mut [usize]) -> bool {
        if self.left == 0 {
            return false;
        }
        let Some(change) = self.state.best(min_gain, room) else { return false };
        self.left -= 1;
        let [one, other] = change.ranks();
        let before = (self.state.taken(one), self.state.taken(other));
        self.state.apply(&change);
        room[one] = room[one].saturating_add(before.0) - self.state.taken(one);
        if other != one {
            room[other] = room[other].saturating_add(before.1) - self.state.taken(other);
        }
        true
    }
}

/// A change of one or two ranks.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    /// The expert gets one more holder, in the place of `instead` if given,
    /// which other ranks hold too.
    Copy { expert: u16, to: usize, instead: Option<u16> },
    /// The expert leaves the rank for another one.
    Move { expert: u16, from: usize, to: usize },
    /// The expert leaves the rank; others that hold it take its part over.
    Drop { expert: u16, from: usize },
    /// Two experts change places.
    Swap { expert: u16, from: usize, other: u16, to: usize },
}

impl Change {
    /// The ranks that may take an expert in or give one up.
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
    /// Time that every rank would take if the load were spread at will.
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

    /// Load of an expert on each of its holders, if there were so many more.
    fn share(&self, expert: u16, more: isize) -> f64 {
        let holders = self.holders[usize::from(expert)].len() as isize + more;
        if holders <= 0 { 0.0 } else { self.load[usize::from(expert)] / holders as f64 }
    }

    /// Time that a rank would take with so much more load than it has.
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

    /// Experts that a rank holds and did not hold before.
    fn taken(&self, rank: usize) -> usize {
        let old = &self.before[rank];
        self.ranks[rank].iter().filter(|expert| !old.contains(expert)).count()
    }

    /// Whether a rank has given up an expert, which it may have back at no cost.
    fn lacks(&self, rank: usize) -> bool {
        self.before[rank].iter().any(|expert| !self.ranks[rank].contains(expert))
    }

    /// Whether a rank may take an expert in, with `leaving` gone from it.
    fn may_take(&self, rank: usize, expert: u16, leaving: Option<u16>, room: &[usize]) -> bool {
        let held = &self.ranks[rank];
        if held.contains(&expert) {
            return false;
        }
        if held.len() + 1 - usize::from(leaving.is_some()) > self.bounds.placements {
            return false;
        }
        let old = &self.before[rank];
        if old.contains(&expert) {
            return true;
        }
        let kept = held.iter().filter(|held| Some(**held) != leaving);
        let new = kept.filter(|held| !old.contains(held)).count();
        new < self.bounds.spare && new < self.taken(rank).saturating_add(room[rank])
    }

    /// The other ranks that may help one, as many as are looked at, by their
    /// numbers: those that are least busy.
    fn helpers(&self, from: usize, limit: f64, room: &[usize]) -> Vec<usize> {
        // A rank that is as busy, or that may take nothing in, cannot help.
        let may = |rank: usize| room[rank] > 0 || self.taken(rank) > 0 || self.lacks(rank);
        let helps = |rank: &usize| *rank != from && self.time(*rank, 0.0) < limit && may(*rank);
        let mut ranks: Vec<usize> = (0..self.ranks.len()).filter(helps).collect();
        if ranks.len() > HELPERS {
            let by_time = |a: &usize, b: &usize| self.time(*a, 0.0).total_cmp(&self.time(*b, 0.0));
            ranks.select_nth_unstable_by(HELPERS, by_time);
            ranks.truncate(HELPERS);
            ranks.sort_unstable();
        }
        ranks
    }

    /// The change that leaves the ranks it touches least busy, if it takes
    /// enough off the slowest rank.
    fn best(&self, min_gain: f64, room: &[usize]) -> Option<Change> {
        let from = self.slowest();
        let limit = self.time(from, 0.0) - min_gain * self.ideal;
        let helpers = self.helpers(from, limit, room);
        let mut best: Option<(f64, Change)> = None;
        let mut offer = |worst: f64, change: Change| {
            let better = best.is_none_or(|(least, _)| worst.total_cmp(&least) == Ordering::Less);
            if worst < limit && better {
                best = Some((worst, change));
            }
        };
        for expert in &self.ranks[from] {
            self.offer_drop(*expert, from, &mut offer);
            for to in &helpers {
                self.offers(*expert, (from, *to), room, &mut offer);
            }
        }
        best.map(|(_, change)| change)
    }

    /// The expert leaves the rank if others hold it too.
    fn offer_drop(&self, expert: u16, from: usize, offer: &mut impl FnMut(f64, Change)) {
        let holders = &self.holders[usize::from(expert)];
        if holders.len() < 2 {
            return;
        }
        let share = self.share(expert, 0);
        let worst = self.time(from, -share).max(self.time_without(expert, from));
        offer(worst, Change::Drop { expert, from });
    }

    /// Time of the slowest of the other holders of an expert that leaves a rank.
    fn time_without(&self, expert: u16, leaving: usize) -> f64 {
        let more = self.share(expert, -1) - self.share(expert, 0);
        let others = self.holders[usize::from(expert)].iter().filter(|rank| **rank != leaving);
        others.map(|rank| self.time(*rank, more)).fold(0.0, f64::max)
    }

    fn offers(
        &self,
        expert: u16,
        (from, to): (usize, usize),
        room: &[usize],
        offer: &mut impl FnMut(f64, Change),
    ) {
        let share = self.share(expert, 0);
        if share <= 0.0 {
            return;
        }
        let after_copy = self.share(expert, 1);
        let relieved = self.time(from, after_copy - share);
        if self.may_take(to, expert, None, room) {
            let change = Change::Copy { expert, to, instead: None };
            offer(relieved.max(self.time(to, after_copy)), change);
            let change = Change::Move { expert, from, to };
            offer(self.time(from, -share).max(self.time(to, share)), change);
        }
        for other in &self.ranks[to] {
            let other_share = self.share(*other, 0);
            if self.may_take(to, expert, Some(*other), room) {
                self.offer_instead(expert, to, *other, relieved, offer);
                let gives = share - other_share;
                if gives > 0.0 && self.may_take(from, *other, Some(expert), room) {
                    let worst = self.time(from, -gives).max(self.time(to, gives));
                    offer(worst, Change::Swap { expert, from, other: *other, to });
                }
            }
        }
    }

    /// A copy in the place of one of an expert that others hold too: these
    /// take over its part.
    fn offer_instead(
        &self,
        expert: u16,
        to: usize,
        other: u16,
        relieved: f64,
        offer: &mut impl FnMut(f64, Change),
    ) {
        if self.holders[usize::from(other)].len() < 2 {
            return;
        }
        let others = self.time_without(other, to);
        let here = self.time(to, self.share(expert, 1) - self.share(other, 0));
        let change = Change::Copy { expert, to, instead: Some(other) };
        offer(relieved.max(here).max(others), change);
    }

    fn apply(&mut self, change: &Change) {
        match *change {
            Change::Copy { expert, to, instead } => {
                if let Some(other) = instead {
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
