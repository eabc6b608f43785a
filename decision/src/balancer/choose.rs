//! Selection of a backend server for a request, and ejection of failing ones.

use crate::balancer::{Action, Balancer, Candidate, Dispatch, SPILL_MARGIN, SPILL_SCORE, State};
use crate::routing::{eject, policy, server};
use crate::{clock, entity};

impl<P: policy::Policy> Balancer<P> {
    /// Returns the open backend servers of the local zone. Returns those of other zones if
    /// none is open locally, or if all local ones are loaded and another zone has a clearly
    /// less loaded one.
    ///
    /// Backend servers that have failed the request before are excluded while others are
    /// open in any zone.
    fn open_servers(
        &self,
        pool: entity::Pool,
        tried: &[entity::Server],
        now: clock::Instant,
    ) -> Vec<Candidate> {
        let usable = self.servers.usable(pool);
        let mut open: Vec<(entity::Server, &server::Record)> =
            usable.filter(|(_, record)| self.can_accept(record, now)).collect();
        // A backend server that runs a suspect gets no other request while others are open.
        if !self.suspects.is_empty() {
            prefer(&mut open, |server, _| !self.runs_suspect(server));
        }
        // A rank that is too slow for a single stream would hold up all streams of its group.
        if self.groups.values().any(|group| group.speeds.excluded > 0) {
            prefer(&mut open, |_, record| record.weight > 0.0);
        }
        prefer(&mut open, |server, _| !tried.contains(&server));
        let scored = open.into_iter().map(|(server, record)| {
            (record.listing.local, Candidate { server, score: record.score(now) })
        });
        let (local, remote): (Vec<_>, Vec<_>) = scored.partition(|(local, _)| *local);
        let candidates = |list: Vec<(bool, Candidate)>| {
            list.into_iter().map(|(_, candidate)| candidate).collect::<Vec<Candidate>>()
        };
        let (local, remote) = (candidates(local), candidates(remote));
        let least = |list: &[Candidate]| {
            list.iter().map(|candidate| candidate.score).fold(f64::INFINITY, f64::min)
        };
        let (least_local, least_remote) = (least(&local), least(&remote));
        let spill = least_local >= SPILL_SCORE && least_remote + SPILL_MARGIN < least_local;
        if local.is_empty() || spill { remote } else { local }
    }

    /// Pairs each backend server with its current score.
    pub(super) fn with_scores(
        &self,
        servers: &[entity::Server],
        now: clock::Instant,
    ) -> Vec<Candidate> {
        let score = |server: &entity::Server| self.servers[*server].score(now);
        servers.iter().map(|server| Candidate { server: *server, score: score(server) }).collect()
    }

    /// Dispatches a waiting request to a backend server that the policy selects.
    pub(super) fn send(
        &mut self,
        ticket: entity::Ticket,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&ticket) else { return };
        let (pool, suspect) = (pending.arrival.pool, pending.arrival.suspect);
        let considered = match suspect {
            Some(digest) => self.with_scores(&self.open_for_suspect(pending, digest, now), now),
            None => self.open_servers(pool, &pending.tried, now),
        };
        let passed_over = self.passed_over(pool, now);
        let candidates: Vec<entity::Server> = considered.iter().map(|c| c.server).collect();
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let request = policy::Request { prefix: pending.arrival.prefix };
        let Some(mut choice) = self.policy.choose(&self.servers, &candidates, &request, now) else {
            return;
        };
        if let Some(digest) = suspect {
            choice.reason = policy::Reason::Apart;
            self.suspects.insert(choice.server, digest);
        }
        pending.attempts += 1;
        pending.state = State::Sent(choice.server);
        pending.sent = Some(now);
        pending.tried.push(choice.server);
        pending.group = self.servers[choice.server].listing.group;
        if let Some(group) = pending.group {
            let service = self.queue.mean_service_time(pool);
            self.groups[group].record_sent(service, now);
            let (precedence, team) = (pending.arrival.precedence, pending.arrival.team);
            self.gates.entry(pool).or_default().record_start(precedence, team, now);
        }
        self.servers[choice.server].sent(now);
        if pending.charged {
            self.retries.budget(pool).release();
        }
        if pending.attempts == 1 {
            self.tally.first_attempts += 1;
        } else {
            self.tally.retries += 1;
        }
        self.queue.record_departure(pool, now);
        let attempt = pending.attempts;
        let dispatch = Dispatch { ticket, attempt, choice, considered, passed_over, at: now };
        actions.push(Action::Send(dispatch));
    }

    /// Returns whether a backend server answers slower than the median of its pool by more
    /// than [`eject::SLOW_FACTOR`]. Fewer than three measured servers give no median.
    pub(super) fn slow(&self, server: entity::Server) -> bool {
        let pool = self.servers[server].listing.pool;
        let mut paces: Vec<f64> =
            self.servers.usable(pool).filter_map(|(_, record)| record.health.latency()).collect();
        paces.sort_by(f64::total_cmp);
        let (Some(own), Some(median)) =
            (self.servers[server].health.latency(), paces.get(paces.len() / 2))
        else {
            return false;
        };
        paces.len() >= 3 && own > median * eject::SLOW_FACTOR
    }

    /// Ejects a backend server unless too few of its pool would stay in use.
    pub(super) fn try_eject(&mut self, server: entity::Server, now: clock::Instant) {
        let pool = self.servers[server].listing.pool;
        let usable: Vec<_> = self.servers.usable(pool).collect();
        // A resting backend server has excluded itself. It counts as ejected for the floor,
        // which is the minimum part of the pool that stays in use.
        let is_out =
            |record: &server::Record| record.health.ejected(now) || record.standing.rests(now);
        let out = usable.iter().filter(|(_, record)| is_out(record)).count();
        if eject::floor_allows(usable.len(), out) {
            self.servers[server].health.eject(now);
        }
    }
}

/// Keeps the backend servers that satisfy `wanted`, if any does.
fn prefer(
    open: &mut Vec<(entity::Server, &server::Record)>,
    wanted: impl Fn(entity::Server, &server::Record) -> bool,
) {
    if open.iter().any(|(server, record)| wanted(*server, record)) {
        open.retain(|(server, record)| wanted(*server, record));
    }
}
