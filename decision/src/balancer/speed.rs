//! Speeds of the ranks of a group, and the weights that follow from them.
//!
//! The weights are computed when the speeds, the list of servers or the bound of the group
//! change, and not for each request: a gateway has a fraction of a core, and a group may
//! have hundreds of ranks. See `docs/design/rank-speed.md`.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::balancer::{Action, Balancer, moves};
use crate::routing::{policy, server, speed};
use crate::{clock, entity};

/// Ratio of a rank's slowness to the previous one from which it counts as slowed down.
const RISE: f64 = 1.1;

/// Slow ranks of a group.
#[derive(Debug, Clone, Default)]
pub(super) struct Table {
    /// Slow ranks, by the id of the backend server.
    slow: BTreeMap<Arc<str>, Slow>,
    /// Records whose weight was set.
    weighted: Vec<entity::Server>,
    /// Number of ranks whose target is zero.
    pub(super) excluded: u32,
    /// Ranks whose streams are moved to others, each with its slowness.
    pub(super) avoided: Vec<(entity::Server, f64)>,
}

/// A slow rank.
#[derive(Debug, Clone, Copy)]
struct Slow {
    slowness: f64,
    /// Time at which this gateway learned that the rank is slow.
    since: clock::Instant,
    /// Mean number of streams of the group's ranks at that time.
    streams: f64,
}

impl Slow {
    /// Returns the number of streams that the rank probably has. Streams from before it was
    /// known to be slow end, and a rank whose target is zero gets no new ones. Its newest
    /// report is usually outdated, because a gateway gets few answers from one rank.
    fn streams(&self, target: f64, record: &server::Record, now: clock::Instant) -> f64 {
        let age = now.since(self.since).as_secs_f64();
        let left = self.streams * 0.5_f64.powf(age / server::REPORT_HALF_LIFE.as_secs_f64());
        let expected = if target > 0.0 { target } else { left };
        record.load(now).max(expected)
    }
}

impl<P: policy::Policy> Balancer<P> {
    /// Sets the slow ranks of a group, each with the id of its backend server and its slowness,
    /// which is the time that its work takes as a multiple of the usual time. All other ranks
    /// count as equally fast. Ranks may be listed later than their speeds are set.
    pub fn set_speeds(
        &mut self,
        id: entity::Group,
        slow: &[(Arc<str>, f64)],
        now: clock::Instant,
    ) -> Vec<Action> {
        let before = std::mem::take(&mut self.groups[id].speeds.slow);
        let streams = self.mean_streams(id);
        let mut risen = false;
        let speeds = slow.iter().map(|(host, slowness)| {
            let known = before.get(host).copied();
            risen |= known.is_none_or(|known| *slowness > known.slowness * RISE);
            let known = known.unwrap_or(Slow { slowness: *slowness, since: now, streams });
            (host.clone(), Slow { slowness: *slowness, ..known })
        });
        let speeds: BTreeMap<Arc<str>, Slow> = speeds.collect();
        let pairs = || before.iter().zip(&speeds);
        let same = before.len() == speeds.len()
            && pairs().all(|((a, before), (b, after))| a == b && before.slowness == after.slowness);
        let group = &mut self.groups[id];
        group.speeds.slow = speeds;
        let mut actions = Vec::new();
        if same {
            // Streams that could not be moved earlier may be now.
            self.move_streams(id, now, &mut actions);
            return actions;
        }
        if risen {
            group.pace.forget_recent_skews(now);
        }
        self.refresh_weights(id, now);
        self.move_streams(id, now, &mut actions);
        actions.extend(self.dispatch_all_waiting(now));
        actions
    }

    /// Returns the number of ranks that count as slow, over all groups.
    pub fn slow_ranks(&self) -> usize {
        self.groups.values().map(|group| group.speeds.slow.len()).sum()
    }

    /// Updates the weights of the ranks of all groups, after the list of servers changed.
    pub(super) fn refresh_all_weights(&mut self, now: clock::Instant) {
        let slow = |id: &entity::Group| !self.groups[*id].speeds.slow.is_empty();
        let groups: Vec<entity::Group> = self.groups.keys().filter(slow).collect();
        groups.into_iter().for_each(|id| self.refresh_weights(id, now));
    }

    /// Updates the weights of the ranks of a server's group, after the server came or went.
    pub(super) fn refresh_weights_of(&mut self, server: entity::Server, now: clock::Instant) {
        if let Some(group) = self.servers[server].listing.group {
            self.refresh_weights(group, now);
        }
    }

    /// Updates the weights of a group's ranks, and the time that slow ranks add to a pass.
    pub(super) fn refresh_weights(&mut self, id: entity::Group, now: clock::Instant) {
        let speeds = &mut self.groups[id].speeds;
        if speeds.slow.is_empty() && speeds.weighted.is_empty() {
            return;
        }
        speeds.avoided.clear();
        for server in std::mem::take(&mut speeds.weighted) {
            if let Some(record) = self.servers.get_mut(server) {
                record.weight = 1.0;
            }
        }
        let streams = self.mean_streams(id);
        let speeds = &self.groups[id].speeds;
        let slow = speeds.slow.iter().filter_map(|(host, slow)| {
            let server = self.servers.find(host)?;
            let record = &self.servers[server];
            let member = record.present() && record.listing.group == Some(id);
            member.then_some((server, *slow))
        });
        let slow: Vec<(entity::Server, Slow)> = slow.collect();
        let excluded = speeds.excluded;
        let (mut part, mut none, mut avoided) = (0.0_f64, 0, Vec::new());
        if let Some((first, _)) = slow.first() {
            let pool = self.servers[*first].listing.pool;
            let (ranks, slots) = self.members(pool, id);
            let cost = self.costs.get(&pool).copied().unwrap_or_default();
            let usual = ranks.saturating_sub(slow.len() as u32);
            let streams = streams * f64::from(ranks.saturating_sub(excluded));
            let view = speed::View { cost, usual, slots, streams };
            let slowness: Vec<f64> = slow.iter().map(|(_, slow)| slow.slowness).collect();
            let targets = speed::Targets::new(&view, &slowness);
            for ((server, slow), (target, weight)) in
                slow.iter().zip(targets.slow.iter().zip(targets.weights()))
            {
                let record = &mut self.servers[*server];
                record.weight = weight;
                let streams = slow.streams(*target, record, now);
                part = part.max(speed::own_part(&cost, slow.slowness, streams));
                none += u32::from(*target <= 0.0);
                if *target <= 0.0 && slow.slowness >= moves::MIN_MOVE_SLOWNESS {
                    avoided.push((*server, slow.slowness));
                }
            }
        }
        let group = &mut self.groups[id];
        group.speeds.excluded = none;
        group.speeds.avoided = avoided;
        group.speeds.weighted = slow.into_iter().map(|(server, _)| server).collect();
        group.pace.set_slow_part(part);
    }

    /// Returns the mean number of streams of the group's ranks, by recent answers. Before the
    /// first answer, all gateways are assumed to have as many streams as this one.
    fn mean_streams(&self, id: entity::Group) -> f64 {
        let group = &self.groups[id];
        group.pace.streams().unwrap_or_else(|| {
            let of_group =
                |record: &server::Record| record.listed && record.listing.group == Some(id);
            let ranks = self.servers.iter().filter(|(_, record)| of_group(record)).count();
            f64::from(group.in_flight * self.share.of) / ranks.max(1) as f64
        })
    }
}
