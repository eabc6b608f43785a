//! The waiters of one precedence, and which team's turn it is.

use std::collections::{BTreeMap, VecDeque};

use cranelift_entity::SecondaryMap;

use crate::admission::{Share, Waiter};
use crate::{clock, entity};

/// The waiters of one precedence.
#[derive(Debug, Default)]
pub(super) struct Band {
    virtual_time: f64,
    finish: BTreeMap<entity::Team, f64>,
    pub(super) teams: BTreeMap<entity::Team, VecDeque<Waiter>>,
    pub(super) len: usize,
}

/// End of a team's waiters at which one joins.
#[derive(Clone, Copy)]
pub(super) enum End {
    Front,
    Back,
}

impl Band {
    pub(super) fn insert(&mut self, waiter: Waiter, end: End) {
        let line = self.teams.entry(waiter.team).or_default();
        match end {
            End::Front => line.push_front(waiter),
            End::Back => line.push_back(waiter),
        }
        self.len += 1;
    }

    pub(super) fn oldest(&self) -> Option<clock::Instant> {
        self.teams.values().filter_map(|line| line.front()).map(|waiter| waiter.since).min()
    }

    /// Those who wait, longest first.
    pub(super) fn by_age(&self) -> Vec<Waiter> {
        let mut waiters: Vec<Waiter> = self.teams.values().flatten().copied().collect();
        waiters.sort_by_key(|waiter| waiter.since);
        waiters
    }

    pub(super) fn pop(&mut self, shares: &SecondaryMap<entity::Team, Share>) -> Option<Waiter> {
        let start = |team: &entity::Team| {
            self.finish.get(team).copied().unwrap_or(0.0).max(self.virtual_time)
        };
        let (team, begin) = self
            .teams
            .keys()
            .map(|team| (*team, start(team)))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        self.virtual_time = begin;
        self.finish.insert(team, begin + 1.0 / f64::from(shares[team].weight));
        // A team whose finish lies behind the virtual time starts afresh anyway.
        let now = self.virtual_time;
        self.finish.retain(|_, finish| *finish > now);
        let waiter = self.teams.get_mut(&team)?.pop_front();
        self.shrink(team);
        waiter
    }

    pub(super) fn pop_last(&mut self, team: entity::Team) -> Option<Waiter> {
        let waiter = self.teams.get_mut(&team)?.pop_back();
        self.shrink(team);
        waiter
    }

    pub(super) fn remove(&mut self, team: entity::Team, ticket: entity::Ticket) -> Option<Waiter> {
        let line = self.teams.get_mut(&team)?;
        let index = line.iter().position(|waiter| waiter.ticket == ticket)?;
        let waiter = line.remove(index);
        self.shrink(team);
        waiter
    }

    /// Accounts for one waiter less of the team.
    fn shrink(&mut self, team: entity::Team) {
        self.len -= 1;
        if self.teams.get(&team).is_some_and(VecDeque::is_empty) {
            self.teams.remove(&team);
        }
    }

    /// Takes out those that may not wait beyond `now`, or whose answer would be
    /// late if they were sent and answered by `sent`.
    pub(super) fn sweep(
        &mut self,
        now: clock::Instant,
        sent: clock::Instant,
        late: &mut Vec<Waiter>,
    ) {
        let before = late.len();
        let over = |waiter: &Waiter| waiter.deadline <= sent || waiter.expires <= now;
        for line in self.teams.values_mut() {
            late.extend(line.iter().filter(|waiter| over(waiter)));
            line.retain(|waiter| !over(waiter));
        }
        self.teams.retain(|_, line| !line.is_empty());
        self.len -= late.len() - before;
    }
}
