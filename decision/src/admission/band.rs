//! The waiters of one precedence, scheduled by start-time fair queueing over teams.

use std::collections::{BTreeMap, VecDeque};

use cranelift_entity::SecondaryMap;

use crate::admission::{Share, Waiter};
use crate::{clock, entity};

/// The waiters of one precedence.
#[derive(Debug, Default)]
pub(super) struct Band {
    virtual_time: f64,
    finish: BTreeMap<entity::Team, f64>,
    /// Waiters of each team in the order of their deadlines.
    pub(super) teams: BTreeMap<entity::Team, VecDeque<Waiter>>,
    pub(super) len: usize,
}

/// Place of a waiter among those of its team with the same deadline.
#[derive(Clone, Copy)]
pub(super) enum End {
    Front,
    Back,
}

impl Band {
    /// Inserts a waiter. The earliest deadline of a team goes first: a client that retries has
    /// less time left than others, and would be rejected again behind newer requests.
    pub(super) fn insert(&mut self, waiter: Waiter, end: End) {
        let waiters = self.teams.entry(waiter.team).or_default();
        let place = match end {
            End::Front => waiters.partition_point(|other| other.deadline < waiter.deadline),
            End::Back => waiters.partition_point(|other| other.deadline <= waiter.deadline),
        };
        waiters.insert(place, waiter);
        self.len += 1;
    }

    /// Returns the time at which the oldest waiter of the eligible teams was queued.
    pub(super) fn oldest(
        &self,
        mut eligible: impl FnMut(entity::Team) -> bool,
    ) -> Option<clock::Instant> {
        let teams = self.teams.iter().filter(|(team, _)| eligible(**team));
        teams.flat_map(|(_, waiters)| waiters).map(|waiter| waiter.since).min()
    }

    /// Returns how many waiters are served at most before a new one by fair queueing.
    pub(super) fn ahead(
        &self,
        newcomer: &Waiter,
        shares: &SecondaryMap<entity::Team, Share>,
    ) -> f64 {
        let own = self.teams.get(&newcomer.team).map_or(0, VecDeque::len);
        let turns = (own + 1) as f64 / f64::from(shares[newcomer.team].weight);
        let of_team = |(team, waiters): (&entity::Team, &VecDeque<Waiter>)| match *team {
            team if team == newcomer.team => own as f64,
            team => (waiters.len() as f64).min(turns * f64::from(shares[team].weight)),
        };
        self.teams.iter().map(of_team).sum()
    }

    /// Returns the waiters, oldest first.
    pub(super) fn by_age(&self) -> Vec<Waiter> {
        let mut waiters: Vec<Waiter> = self.teams.values().flatten().copied().collect();
        waiters.sort_by_key(|waiter| waiter.since);
        waiters
    }

    /// Removes and returns the next waiter of the eligible teams.
    pub(super) fn pop(
        &mut self,
        shares: &SecondaryMap<entity::Team, Share>,
        mut eligible: impl FnMut(entity::Team) -> bool,
    ) -> Option<Waiter> {
        let start = |team: &entity::Team| {
            self.finish.get(team).copied().unwrap_or(0.0).max(self.virtual_time)
        };
        let (team, start_time) = self
            .teams
            .keys()
            .filter(|team| eligible(**team))
            .map(|team| (*team, start(team)))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        self.virtual_time = start_time;
        self.finish.insert(team, start_time + 1.0 / f64::from(shares[team].weight));
        // A finish time at or before the virtual time no longer affects the order.
        let now = self.virtual_time;
        self.finish.retain(|_, finish| *finish > now);
        let waiter = self.teams.get_mut(&team)?.pop_front();
        self.record_removal(team);
        waiter
    }

    pub(super) fn pop_last(&mut self, team: entity::Team) -> Option<Waiter> {
        let waiter = self.teams.get_mut(&team)?.pop_back();
        self.record_removal(team);
        waiter
    }

    pub(super) fn remove(&mut self, team: entity::Team, ticket: entity::Ticket) -> Option<Waiter> {
        let waiters = self.teams.get_mut(&team)?;
        let index = waiters.iter().position(|waiter| waiter.ticket == ticket)?;
        let waiter = waiters.remove(index);
        self.record_removal(team);
        waiter
    }

    /// Updates the counts after the removal of one waiter of the team.
    fn record_removal(&mut self, team: entity::Team) {
        self.len -= 1;
        if self.teams.get(&team).is_some_and(VecDeque::is_empty) {
            self.teams.remove(&team);
        }
    }

    /// Moves to `late` the waiters that expire by `now`, and those whose deadline
    /// is not after `answered`, the time at which an answer would be complete.
    pub(super) fn remove_expired(
        &mut self,
        now: clock::Instant,
        answered: clock::Instant,
        late: &mut Vec<Waiter>,
    ) {
        let before = late.len();
        let expired = |waiter: &Waiter| waiter.deadline <= answered || waiter.expires <= now;
        for waiters in self.teams.values_mut() {
            late.extend(waiters.iter().filter(|waiter| expired(waiter)));
            waiters.retain(|waiter| !expired(waiter));
        }
        self.teams.retain(|_, waiters| !waiters.is_empty());
        self.len -= late.len() - before;
    }
}
