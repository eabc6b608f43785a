//! Moves of streams from ranks that are too slow for a single stream to other ranks of their group.
//!
//! Such a rank gets no new streams, but those that it has hold up the group until they end, which
//! takes seconds. See `docs/design/rank-speed.md`.

use crate::balancer::{Action, Balancer, Candidate, Dispatch, End, Move, Pending, State};
use crate::routing::policy;
use crate::{clock, entity, retry};

/// Slowness from which streams are moved away from a rank. A move costs the prompt once more, which
/// a rank that is only slightly slower does not repay.
pub(super) const MIN_MOVE_SLOWNESS: f64 = 1.5;

/// The attempt of a request before its move.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    server: entity::Server,
    sent: Option<clock::Instant>,
    /// Whether the attempt has had an event.
    streams: bool,
}

impl Origin {
    /// Returns the backend server to which the request returns if its move is cancelled.
    pub(super) fn server(&self) -> entity::Server {
        self.server
    }
}

impl Pending {
    /// Returns whether the request may be moved to another backend server.
    fn movable(&self) -> bool {
        // A suspect must stay the only one on its server, and known to run there.
        if self.moved || self.arrival.suspect.is_some() || !self.arrival.resumable {
            return false;
        }
        retry::is_safe(&retry::Failure {
            execution: retry::Execution::MayHaveRun,
            repeatable: self.arrival.repeatable,
            answer_begun: self.begun,
            resumable: self.arrival.resumable,
            runs: self.runs + 1,
            max_runs: self.arrival.max_attempts,
            failures: self.failures,
        })
    }
}

impl<P: policy::Policy> Balancer<P> {
    /// Moves streams of all groups that have slow ranks.
    pub(super) fn move_all_streams(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let groups = self.groups.keys().filter(|id| !self.groups[*id].speeds.avoided.is_empty());
        let groups: Vec<entity::Group> = groups.collect();
        groups.into_iter().for_each(|id| self.move_streams(id, now, actions));
    }

    /// Moves the streams of a group that run on a rank with target zero, as far as another rank is
    /// open for them and the retry budget allows it.
    pub(super) fn move_streams(
        &mut self,
        id: entity::Group,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let avoided = &self.groups[id].speeds.avoided;
        let busy = avoided.iter().filter(|(server, _)| self.servers[*server].in_flight > 0);
        let busy: Vec<(entity::Server, f64)> = busy.copied().collect();
        if busy.is_empty() || self.groups[id].unavailable(now) {
            return;
        }
        let from = |pending: &Pending| {
            busy.iter().find(|(server, _)| pending.state == State::Sent(*server)).copied()
        };
        let movable = self.pending.iter().filter(|(_, pending)| pending.movable());
        let movable = movable.filter_map(|(ticket, pending)| Some((*ticket, from(pending)?)));
        let movable: Vec<(entity::Ticket, (entity::Server, f64))> = movable.collect();
        for (ticket, (server, slowness)) in movable {
            let Some(dispatch) = self.move_stream(ticket, id, server, now) else { continue };
            actions.push(Action::Move(Move { dispatch, from: server, slowness }));
        }
    }

    /// Moves one stream. Returns `None` and changes nothing if it must stay.
    fn move_stream(
        &mut self,
        ticket: entity::Ticket,
        id: entity::Group,
        from: entity::Server,
        now: clock::Instant,
    ) -> Option<Dispatch> {
        let pending = self.pending.get(&ticket)?;
        let request = policy::Request { prefix: pending.arrival.prefix };
        let considered = self.open_for_move(pending, id, now);
        let candidates: Vec<entity::Server> = considered.iter().map(|c| c.server).collect();
        let choice = self.policy.choose(&self.servers, &candidates, &request, now)?;
        // A stream that stays is considered again later, so that this counts as no denial.
        let budget = self.retries.budget(pending.arrival.pool);
        if !budget.allows() || !budget.withdraw() {
            return None;
        }
        budget.release();
        let passed_over = self.passed_over(self.servers[from].listing.pool, now);
        let pending = self.pending.get_mut(&ticket)?;
        let sent = pending.sent;
        pending.moved = true;
        pending.charged = true;
        let streams = std::mem::take(&mut pending.streams);
        pending.origin = Some(Origin { server: from, sent, streams });
        pending.runs += 1;
        pending.attempts += 1;
        pending.state = State::Sent(choice.server);
        pending.sent = Some(now);
        pending.tried.push(choice.server);
        let attempt = pending.attempts;
        // The rank may have been listed in another group since the dispatch. The group's count of
        // streams in flight is unchanged, so that the stream keeps its place under the bound.
        if let Some(group) = pending.group {
            self.groups[group].begun -= u32::from(streams);
        }
        self.record_end(from, End::Abandoned, sent, now);
        self.servers[choice.server].sent(now);
        self.tally.retries += 1;
        self.tally.moved += 1;
        Some(Dispatch { ticket, attempt, choice, considered, passed_over, at: now })
    }

    /// Returns the ranks of a group that are open for one of its streams. Ranks of other zones
    /// are included only if no local one is open.
    fn open_for_move(
        &self,
        pending: &Pending,
        id: entity::Group,
        now: clock::Instant,
    ) -> Vec<Candidate> {
        let open = self.servers.usable(pending.arrival.pool).filter(|(server, record)| {
            record.listing.group == Some(id)
                && record.weight > 0.0
                && record.open(now)
                && !pending.tried.contains(server)
                && !self.runs_suspect(*server)
        });
        let (local, remote): (Vec<_>, Vec<_>) =
            open.map(|(server, _)| server).partition(|server| self.servers[*server].listing.local);
        self.with_scores(if local.is_empty() { &remote } else { &local }, now)
    }

    /// Cancels the move of a request whose attempt on the old backend server goes on, or ended
    /// before the move was carried out. Nothing was sent to the new server. The request is not
    /// moved again.
    pub fn cancel_move(&mut self, ticket: entity::Ticket, now: clock::Instant) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let (Some(origin), State::Sent(server)) = (pending.origin.take(), pending.state) else {
            return;
        };
        let pool = pending.arrival.pool;
        let sent = std::mem::replace(&mut pending.sent, origin.sent);
        let streams = std::mem::replace(&mut pending.streams, origin.streams);
        if let Some(group) = pending.group {
            let group = &mut self.groups[group];
            group.begun = group.begun + u32::from(origin.streams) - u32::from(streams);
        }
        pending.state = State::Sent(origin.server);
        pending.runs -= 1;
        pending.attempts -= 1;
        pending.tried.pop();
        self.record_end(server, End::Withheld, sent, now);
        self.servers[origin.server].in_flight += 1;
        self.retries.budget(pool).refund();
        self.tally.retries -= 1;
        self.tally.moved -= 1;
    }
}
