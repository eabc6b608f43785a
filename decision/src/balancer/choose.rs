//! Which backend server the balancer sends a request to, and which it takes out.

use crate::balancer::{Action, Balancer, Candidate, Dispatch, Place, SPILL_MARGIN, SPILL_SCORE};
use crate::routing::{eject, policy, server};
use crate::{clock, entity};

impl<P: policy::Policy> Balancer<P> {
    /// Open backend servers: those of the own zone, unless they are all
    /// loaded and others are clearly less so.
    ///
    /// Those that have failed the request before are left out while there are
    /// others, wherever these are.
    fn open(
        &self,
        pool: entity::Pool,
        tried: &[entity::Server],
        now: clock::Instant,
    ) -> Vec<Candidate> {
        let takes = |server: entity::Server| self.takes(&self.servers[server], now);
        let free = |server: entity::Server| !self.on_trial(server);
        // A backend server on which a suspect runs gets nothing else.
        let kept = !self.trials.is_empty()
            && self.servers.usable(pool).any(|(server, _)| takes(server) && free(server));
        let open = || {
            self.servers
                .usable(pool)
                .filter(|(server, _)| takes(*server) && (!kept || free(*server)))
        };
        let fresh = open().any(|(server, _)| !tried.contains(&server));
        let open = open().filter(|(server, _)| !fresh || !tried.contains(server));
        let (local, remote): (Vec<_>, Vec<_>) =
            open.map(|(server, _)| server).partition(|server| self.servers[*server].listing.local);
        let (local, remote) = (self.weigh(&local, now), self.weigh(&remote, now));
        let least = |list: &[Candidate]| {
            list.iter().map(|candidate| candidate.score).fold(f64::INFINITY, f64::min)
        };
        let (at_home, abroad) = (least(&local), least(&remote));
        let spill = at_home >= SPILL_SCORE && abroad + SPILL_MARGIN < at_home;
        if local.is_empty() || spill { remote } else { local }
    }

    fn weigh(&self, servers: &[entity::Server], now: clock::Instant) -> Vec<Candidate> {
        let score = |server: &entity::Server| self.servers[*server].score(now);
        servers.iter().map(|server| Candidate { server: *server, score: score(server) }).collect()
    }

    pub(super) fn send(
        &mut self,
        ticket: entity::Ticket,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&ticket) else { return };
        let (pool, suspect) = (pending.arrival.pool, pending.arrival.suspect);
        let considered = match suspect {
            Some(digest) => self.weigh(&self.open_apart(pending, digest, now), now),
            None => self.open(pool, &pending.tried, now),
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
            self.trials.insert(choice.server, digest);
        }
        pending.attempts += 1;
        pending.place = Place::Sent(choice.server);
        pending.sent = Some(now);
        pending.tried.push(choice.server);
        pending.group = self.servers[choice.server].listing.group;
        if let Some(group) = pending.group {
            self.groups[group].enter(now);
        }
        self.servers[choice.server].sent(now);
        if pending.attempts == 1 {
            self.tally.first += 1;
            self.budget.deposit();
        } else {
            self.tally.again += 1;
        }
        self.queue.depart(pool, now);
        let attempt = pending.attempts;
        let dispatch = Dispatch { ticket, attempt, choice, considered, passed_over, at: now };
        actions.push(Action::Send(dispatch));
    }

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

    pub(super) fn try_eject(&mut self, server: entity::Server, now: clock::Instant) {
        let pool = self.servers[server].listing.pool;
        let usable: Vec<_> = self.servers.usable(pool).collect();
        // One that rests is out by its own word; the floor is for what is left.
        let is_out =
            |record: &server::Record| record.health.ejected(now) || record.standing.rests(now);
        let out = usable.iter().filter(|(_, record)| is_out(record)).count();
        if eject::floor_allows(usable.len(), out) {
            self.servers[server].health.eject(now);
        }
    }
}
