//! Requests and parts of prompts under which backend servers ended, shared among gateways.
//!
//! The *end* of a server is the unplanned exit of one run of its process. A request's *standing*
//! is whether it is sound, suspected of ending servers or refused for it. A part of a prompt that
//! many requests share has a standing of its own.
//!
//! [`poison`] makes the decisions. Updates travel with the records that peers forward, in
//! milliseconds per hop. A newly followed peer sends all its items. A gateway also writes each
//! request or part that it refuses to the store, under a lease. The store's record survives a
//! restart of all gateways, and it is the second path to gateways that reach no peer.
//!
//! [`poison`]: loftcove_decision::poison

mod cases;
mod record;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::poison::{
    Abandoned, Burst, Digest, Item, Ledger, Mark, SETTLE_TIME, Standing, TRIAL_DELAY,
};
use loftcove_decision::{clock, fleet, rendezvous};
use loftcove_line::field;
use loftcove_wire as wire;
use tokio::sync::{broadcast, watch as channel};

pub(crate) use cases::Update;
use cases::{Cases, Kind};
pub use record::run;

use crate::{Mirror, Source, register};

/// Maximum number of items that a follower may lag behind. Past that, it receives all items again.
const BACKLOG: usize = 256;

/// Ends of backend servers that this process knows of, with the requests that they are counted
/// against.
pub struct Ends {
    origin: boot::Instant,
    state: Mutex<State>,
    updates: broadcast::Sender<Update>,
    changes: channel::Sender<u64>,
}

struct State {
    requests: Cases,
    parts: Cases,
    burst: Burst,
    abandoned: Abandoned,
}

impl State {
    fn of(&mut self, kind: Kind) -> &mut Cases {
        match kind {
            Kind::Request => &mut self.requests,
            Kind::Part => &mut self.parts,
        }
    }

    fn all(&mut self) -> [&mut Cases; 2] {
        [&mut self.requests, &mut self.parts]
    }

    /// Applies items that have settled and removes expired ones.
    fn expire(&mut self, now: clock::Instant) {
        self.parts.ledger.expire(now);
        self.explain();
        self.requests.ledger.expire(now);
        self.log_refusals(now);
    }

    /// Takes the ends that refused parts explain from the requests that were on these servers.
    fn explain(&mut self) {
        self.requests.ledger.set_explained(self.parts.ledger.explained_ends());
    }

    /// Applies items. Returns those that changed a ledger, and what follows from them.
    fn merge(
        &mut self,
        received: Vec<Update>,
        source: Option<Source<'_>>,
        now: clock::Instant,
    ) -> Vec<Update> {
        let mut updates = Vec::new();
        for Update { kind, item } in received {
            let State { requests, parts, abandoned, .. } = &mut *self;
            let cases = if kind == Kind::Part { parts } else { requests };
            let before = cases.ledger.standing(item.digest);
            if !cases.ledger.merge(&item, now) {
                continue;
            }
            let mut changed = vec![item.clone()];
            let blamed = if kind == Kind::Request { abandoned.blame(&item) } else { Vec::new() };
            for blamed in blamed {
                log::info!(
                    "server ended under an abandoned request digest={} server={}",
                    blamed.digest,
                    field::Text(&blamed.run.id)
                );
                if cases.ledger.merge(&blamed, now) {
                    changed.push(blamed);
                }
            }
            if item.mark != Mark::Cleared && cases.finished.contains(item.digest, now) {
                changed.extend(cases.ledger.clear(item.digest));
            }
            let after = cases.ledger.standing(item.digest);
            if before != after {
                cases::log_standing(kind, &item, after, source);
            }
            updates.extend(cases.updates(changed));
        }
        updates
    }

    fn log_refusals(&mut self, now: clock::Instant) {
        self.all().into_iter().for_each(|cases| cases.log_refusals(now));
    }
}

impl Default for Ends {
    /// Returns the state of a process that knows of no end.
    fn default() -> Ends {
        Ends {
            origin: boot::Instant::now(),
            state: Mutex::new(State {
                requests: Cases::new(Kind::Request, Ledger::default()),
                parts: Cases::new(Kind::Part, Ledger::of_parts()),
                burst: Burst::default(),
                abandoned: Abandoned::default(),
            }),
            updates: broadcast::Sender::new(BACKLOG),
            changes: channel::Sender::new(0),
        }
    }
}

impl Ends {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The ledger is consistent after each call, so a poisoned lock can be used.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn now(&self) -> clock::Instant {
        // The offset of one day makes times before the start of this process representable.
        let since = self.origin.elapsed() + ORIGIN_OFFSET;
        clock::Instant::from_micros(since.as_micros() as u64)
    }

    /// Records that a backend server ended under a request. `alone` is whether the request was the
    /// only suspect that this process had sent to the server.
    pub fn record_end(&self, run: &fleet::Run, digest: Digest, alone: bool) {
        self.record_end_with_parts(run, digest, alone, &[]);
    }

    /// Records that a backend server ended under a request whose answer had not begun, with the
    /// shared parts of its prompt. Parts with which an answer has begun lately, anywhere that this
    /// process knows of, are left out.
    pub fn record_end_with_parts(
        &self,
        run: &fleet::Run,
        digest: Digest,
        alone: bool,
        parts: &[Digest],
    ) {
        let now = self.now();
        let mut state = self.lock();
        state.requests.own.insert(digest);
        let burst = state.burst.found(run, now);
        if let Some(runs) = burst {
            let mut updates = Vec::new();
            for cases in state.all() {
                let cleared = cases.ledger.clear_runs(&runs);
                updates.extend(cases.updates(cleared));
            }
            state.explain();
            state.log_refusals(now);
            drop(state);
            let count = runs.len();
            log::info!("ends not attributed to requests servers={count} reason=many-at-once");
            return self.publish(updates);
        }
        let suspects = parts.iter().filter(|part| !state.parts.finished.contains(**part, now));
        let suspects: Vec<Digest> = suspects.copied().collect();
        state.parts.own.extend(&suspects);
        drop(state);
        let update = |kind, digest, mark| Update {
            kind,
            item: Item { run: run.clone(), digest, mark, at: now },
        };
        let mark = if alone { Mark::Alone } else { Mark::Suspect };
        let mut updates = vec![update(Kind::Request, digest, mark)];
        let suspects = suspects.into_iter().map(|part| update(Kind::Part, part, Mark::Suspect));
        updates.extend(suspects);
        self.apply(updates, None);
    }

    /// Records that a request was abandoned. The backend server may still run it for `left`.
    pub fn abandon(&self, run: &fleet::Run, digest: Digest, left: Duration) {
        let until = self.now() + left;
        log::info!(
            "request abandoned digest={digest} server={} ms={}",
            field::Text(&run.id),
            left.as_millis()
        );
        self.lock().abandoned.add(run, digest, until);
    }

    /// Clears a request, as it completed.
    pub fn clear(&self, digest: Digest) {
        let now = self.now();
        let updates = self.lock().requests.clear(digest, now);
        self.publish(updates);
    }

    /// Clears parts of a prompt, as an answer has begun with them.
    pub fn clear_parts(&self, parts: &[Digest]) {
        if parts.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        let cleared = parts.iter().flat_map(|part| state.parts.clear(*part, now));
        let cleared: Vec<Update> = cleared.collect();
        if !cleared.is_empty() {
            state.explain();
            state.log_refusals(now);
        }
        drop(state);
        self.publish(cleared);
    }

    /// Returns the first of some parts of a prompt that is refused, with the number of servers that
    /// it ended.
    pub fn refused_part(&self, parts: &[Digest]) -> Option<(Digest, u32)> {
        if parts.is_empty() || *self.changes.borrow() == 0 {
            return None;
        }
        let now = self.now();
        let mut state = self.lock();
        state.expire(now);
        parts.iter().find_map(|part| match state.parts.ledger.standing(*part) {
            Standing::Refused(ends) => Some((*part, ends)),
            Standing::Sound | Standing::Suspect(_) => None,
        })
    }

    /// Returns whether a request with a refused part is to be sent as a trial. Only one gateway does
    /// this for a part, by the names of the registered ones, and only at long intervals.
    pub fn begins_trial(&self, part: Digest, own: &str, mirror: &Mirror) -> bool {
        let now = self.now();
        let due = |state: &State| {
            let recent = |at: &clock::Instant| now.since(*at) < TRIAL_DELAY;
            state.parts.ledger.trial_time(part).is_some_and(|due| due <= now)
                && !state.parts.trials.get(&part).is_some_and(recent)
        };
        if !due(&self.lock()) {
            return false;
        }
        let names: Vec<Arc<str>> =
            register::entries(mirror).into_iter().map(|(name, _)| name).collect();
        let order = rendezvous::order(&part.to_string(), &names);
        if order.first().is_none_or(|first| ***first != *own) {
            return false;
        }
        let mut state = self.lock();
        let begins = due(&state);
        if begins {
            state.parts.trials.insert(part, now);
            log::info!("prompt part on trial digest={part}");
        }
        begins
    }

    /// Waits until one of some parts of a prompt is refused. Returns it with the number of servers
    /// that it ended.
    pub async fn wait_until_part_refused(&self, parts: &[Digest]) -> (Digest, u32) {
        self.wait_for(|| self.refused_part(parts)).await
    }

    /// Returns the standing of a request.
    pub fn standing(&self, digest: Digest) -> Standing {
        if *self.changes.borrow() == 0 {
            return Standing::Sound;
        }
        let now = self.now();
        let mut state = self.lock();
        state.expire(now);
        state.requests.ledger.standing(digest)
    }

    fn awaits(&self, digest: Digest) -> bool {
        let now = self.now();
        *self.changes.borrow() > 0 && self.lock().requests.ledger.awaits(digest, now)
    }

    fn unsettled(&self) -> bool {
        let now = self.now();
        self.lock().all().iter().any(|cases| cases.ledger.unsettled(now))
    }

    /// Waits until other gateways have the same items about a request. A request that may have just
    /// ended a server is not dispatched again before then.
    pub async fn wait_until_settled(&self, digest: Digest) {
        while self.awaits(digest) {
            tokio::time::sleep(SETTLE_TIME / 10).await;
        }
    }

    /// Returns whether a request must run apart from other suspects.
    pub fn apart(&self, digest: Digest) -> bool {
        *self.changes.borrow() > 0 && self.lock().requests.ledger.apart(digest)
    }

    /// Returns the requests that are currently refused.
    pub fn refused_requests(&self) -> Vec<Digest> {
        self.refused(Kind::Request)
    }

    /// Returns the parts of prompts that are currently refused.
    pub fn refused_parts(&self) -> Vec<Digest> {
        self.refused(Kind::Part)
    }

    fn refused(&self, kind: Kind) -> Vec<Digest> {
        let now = self.now();
        let mut state = self.lock();
        state.expire(now);
        state.of(kind).ledger.refused().collect()
    }

    /// Waits until a request is refused. Returns the number of servers that it ended.
    pub async fn wait_until_refused(&self, digest: Digest) -> u32 {
        let refused = || match self.standing(digest) {
            Standing::Refused(ends) => Some(ends),
            Standing::Sound | Standing::Suspect(_) => None,
        };
        self.wait_for(refused).await
    }

    /// Waits until `found` returns a value, which it may after each change.
    async fn wait_for<T>(&self, found: impl Fn() -> Option<T>) -> T {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(value) = found() {
                return value;
            }
            let settled = tokio::time::sleep(SETTLE_TIME);
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        std::future::pending::<()>().await;
                    }
                }
                () = settled, if self.unsettled() => {}
            }
        }
    }

    /// Applies items and forwards those that change the ledger.
    fn apply(&self, received: Vec<Update>, source: Option<Source<'_>>) {
        let now = self.now();
        let mut state = self.lock();
        // Parts come first, as they may explain the ends that requests were on.
        let (parts, requests) = received.into_iter().partition(|update| update.kind == Kind::Part);
        let mut updates = state.merge(parts, source, now);
        state.explain();
        updates.extend(state.merge(requests, source, now));
        state.log_refusals(now);
        drop(state);
        self.publish(updates);
    }

    fn publish(&self, updates: Vec<Update>) {
        if updates.is_empty() {
            return;
        }
        for update in updates {
            // Sending fails if no peer follows this process.
            self.updates.send(update).unwrap_or_default();
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns all items and a receiver of each later one.
    pub(crate) fn follow(&self) -> (Vec<Update>, broadcast::Receiver<Update>) {
        let mut state = self.lock();
        let all = state.all().into_iter().flat_map(|cases| {
            let items = cases.ledger.items().collect();
            cases.updates(items)
        });
        (all.collect(), self.updates.subscribe())
    }

    /// Converts an update to its wire form.
    pub(crate) fn to_wire(&self, Update { kind, item }: &Update) -> wire::Mark {
        let age = self.now().since(item.at).as_millis();
        wire::Mark {
            server: item.run.id.to_string(),
            born: item.run.born,
            digest: item.digest.bytes().to_vec().into(),
            cleared: item.mark == Mark::Cleared,
            alone: item.mark == Mark::Alone,
            part: *kind == Kind::Part,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Applies marks received from a peer.
    pub(crate) fn receive(&self, marks: Vec<wire::Mark>, peer: &str) {
        let now = self.now();
        let total = marks.len();
        let mut updates = Vec::with_capacity(total);
        for mark in marks {
            let Some(digest) = Digest::from_bytes(&mark.digest) else {
                log::error!(
                    "invalid mark peer={peer} bytes={}",
                    mark.digest.len(),
                    peer = field::Text(peer)
                );
                continue;
            };
            let item = Item {
                run: fleet::Run { id: mark.server.into(), born: mark.born },
                digest,
                mark: mark_from_flags(mark.alone, mark.cleared),
                at: now.saturating_sub(Duration::from_millis(mark.age_ms.into())),
            };
            updates.push(Update { kind: if mark.part { Kind::Part } else { Kind::Request }, item });
        }
        let left_out = total - updates.len();
        if left_out > 0 {
            log::error!("marks left out peer={peer} count={left_out}");
        }
        if !updates.is_empty() {
            self.apply(updates, Some(Source::Peer(peer)));
        }
    }
}

fn mark_from_flags(alone: bool, cleared: bool) -> Mark {
    match (cleared, alone) {
        (true, _) => Mark::Cleared,
        (false, true) => Mark::Alone,
        (false, false) => Mark::Suspect,
    }
}

/// Offset of a process's origin. It is longer than the retention of any end.
const ORIGIN_OFFSET: Duration = Duration::from_secs(86_400);
