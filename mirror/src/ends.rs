//! Requests and parts of prompts under which backend servers ended, shared among gateways.
//!
//! The *end* of a server is the unplanned exit of one run of its process. A request's *standing*
//! is whether it is sound, suspected of ending servers or refused for it. A part of a prompt that
//! many requests share has a standing of its own.
//!
//! [`poison`] makes the decisions. Updates travel with the records that peers forward, in
//! milliseconds per hop. A newly followed peer sends all its items. A gateway also writes each
//! request or part that it refuses to the store, under a lease. The store's record survives a restart of
//! all gateways, and it is the second path to gateways that reach no peer.
//!
//! [`poison`]: loftcove_decision::poison

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::poison::{
    Abandoned, Burst, Digest, Finished, Item, Ledger, Mark, SETTLE_TIME, Standing, TRIAL_DELAY,
};
use loftcove_decision::revision::Revision;
use loftcove_decision::{clock, fleet, mirror, rendezvous};
use loftcove_interface::store::{self, Store};
use loftcove_wire as wire;
use serde::{Deserialize, Serialize};
use tokio::sync::{broadcast, watch as channel};

use crate::{Mirror, OWN_PREFIX, Source, register};

/// Maximum number of items that a follower may lag behind. Past that, it receives all items again.
const BACKLOG: usize = 256;
/// Fixed delay and maximum random delay before a gateway writes a refusal that rests on ends that
/// other gateways found. The gateway that found them may have exited, or the store may not answer
/// it. The fixed delay is the time that a write takes to come back through the store. With the
/// random one, a single gateway writes and the others read its record.
const WRITE_DELAY: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(1));
/// Interval between two attempts to write the same record.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two checks for due writes and expired ends: while a write is pending or an
/// item is unsettled, and otherwise.
const CHECK_INTERVALS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// Ends of backend servers that this process knows of, with the requests that they are counted
/// against.
pub struct Ends {
    origin: boot::Instant,
    state: Mutex<State>,
    updates: broadcast::Sender<Update>,
    changes: channel::Sender<u64>,
}

/// What a digest identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// A request.
    Request,
    /// A part of a prompt.
    Part,
}

impl Kind {
    const ALL: [Kind; 2] = [Kind::Request, Kind::Part];

    /// Returns the prefix of the keys of the store's records.
    fn prefix(self) -> String {
        match self {
            Kind::Request => format!("{OWN_PREFIX}ends/"),
            Kind::Part => format!("{OWN_PREFIX}parts/"),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Request => "request",
            Kind::Part => "prompt part",
        })
    }
}

/// An item about a request or a part of a prompt.
#[derive(Debug, Clone)]
pub(crate) struct Update {
    kind: Kind,
    item: Item,
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
}

/// What is known of digests of one kind.
struct Cases {
    kind: Kind,
    ledger: Ledger,
    /// Requests that completed, or parts with which an answer has begun.
    finished: Finished,
    /// Digests under which this process itself found a server ended.
    own: BTreeSet<Digest>,
    /// Digests whose refusal has been logged.
    refused: BTreeSet<Digest>,
    /// Times at which this process has last sent a request with a refused part as a trial.
    trials: BTreeMap<Digest, clock::Instant>,
}

impl Cases {
    fn new(kind: Kind, ledger: Ledger) -> Cases {
        let (finished, own, refused, trials) = Default::default();
        Cases { kind, ledger, finished, own, refused, trials }
    }

    /// Applies items that have settled and removes expired ones.
    fn expire(&mut self, now: clock::Instant) {
        self.ledger.expire(now);
        self.log_refusals(now);
    }

    /// Records that a request completed, or that an answer has begun with a part. Returns the
    /// updates to send to other gateways.
    fn clear(&mut self, digest: Digest, now: clock::Instant) -> Vec<Update> {
        self.finished.add(digest, now);
        let cleared = self.ledger.clear(digest);
        self.log_refusals(now);
        if !cleared.is_empty() {
            log::info!("{} cleared digest={digest} ends={}", self.kind, cleared.len());
        }
        self.updates(cleared)
    }

    fn updates(&self, items: Vec<Item>) -> Vec<Update> {
        items.into_iter().map(|item| Update { kind: self.kind, item }).collect()
    }

    /// Logs each digest whose refusal began, with the evidence, or stopped.
    fn log_refusals(&mut self, now: clock::Instant) {
        let kind = self.kind;
        let current: BTreeSet<Digest> = self.ledger.refused().collect();
        for digest in current.difference(&self.refused) {
            let Some(verdict) = self.ledger.verdict(*digest) else { continue };
            let evidence = self.ledger.evidence(*digest, now);
            let evidence: Vec<String> = evidence.iter().map(ToString::to_string).collect();
            let (ends, ground, evidence) = (verdict.ends, verdict.ground, evidence.join(","));
            log::info!(
                "{kind} refused digest={digest} ends={ends} ground={ground} evidence={evidence}"
            );
        }
        for digest in self.refused.difference(&current) {
            log::info!("{kind} no longer refused digest={digest}");
        }
        self.refused = current;
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
                cases.log_refusals(now);
                updates.extend(cases.updates(cleared));
            }
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
        log::info!("request abandoned digest={digest} server={} ms={}", run.id, left.as_millis());
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
        state.parts.expire(now);
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
        state.requests.expire(now);
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
        let cases = state.of(kind);
        cases.expire(now);
        cases.ledger.refused().collect()
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
        let mut updates = Vec::new();
        for Update { kind, item } in received {
            let State { requests, parts, abandoned, .. } = &mut *state;
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
                    blamed.run.id
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
                log_standing(kind, &item, after, source);
            }
            updates.extend(cases.updates(changed));
        }
        state.all().into_iter().for_each(|cases| cases.log_refusals(now));
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
        let mut updates = Vec::new();
        for mark in marks {
            let Some(digest) = Digest::from_bytes(&mark.digest) else {
                log::error!("invalid mark peer={peer} bytes={}", mark.digest.len());
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

/// Logs a change of a standing.
fn log_standing(kind: Kind, item: &Item, standing: Standing, source: Option<Source<'_>>) {
    let from = source.map_or_else(|| "own".to_owned(), |source| source.to_string());
    let (state, ends) = match standing {
        Standing::Sound => ("sound", 0),
        Standing::Suspect(ends) => ("suspect", ends),
        Standing::Refused(ends) => ("refused", ends),
    };
    let subject = if kind == Kind::Part { "under prompt part " } else { "" };
    log::info!(
        "server ended {subject}digest={} server={} alone={} standing={state} ends={ends} from={from}",
        item.digest,
        item.run.id,
        item.mark == Mark::Alone
    );
}

/// Record of a refused request or part in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    ends: Vec<Ended>,
}

/// A backend server that the request or part ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Ended {
    server: Arc<str>,
    born: Option<u64>,
    /// Time at which the end was found, in Unix milliseconds.
    at: u64,
    /// Whether the request was the only suspect on the server.
    #[serde(default)]
    alone: bool,
}

/// Runs the task that writes this gateway's refusals to the store and reads those of other gateways
/// from the mirror. Runs until the process exits.
pub async fn run<S: Store>(mirror: Arc<Mirror>, store: Arc<S>) {
    let mut records = mirror.subscribe();
    let mut changes = mirror.ends.changes.subscribe();
    let mut read: BTreeMap<Arc<str>, Revision> = BTreeMap::new();
    // Times at which to write refusals that the store lacks.
    let mut due: BTreeMap<(Kind, Digest), boot::Instant> = BTreeMap::new();
    loop {
        records.borrow_and_update();
        changes.borrow_and_update();
        mirror.ends.expire();
        mirror.ends.import(&mirror, &mut read);
        let unwritten = mirror.ends.unwritten(&mirror);
        due.retain(|refused, _| unwritten.contains(refused));
        for (kind, digest) in unwritten {
            let write_time = || mirror.ends.write_time(kind, digest);
            let at = *due.entry((kind, digest)).or_insert_with(write_time);
            if at <= boot::Instant::now() {
                due.insert((kind, digest), boot::Instant::now() + WRITE_RETRY_INTERVAL);
                mirror.ends.write(&*store, kind, digest).await;
            }
        }
        let soon = !due.is_empty() || mirror.ends.unsettled();
        let interval = if soon { CHECK_INTERVALS.0 } else { CHECK_INTERVALS.1 };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            _ = records.changed() => {}
            _ = changes.changed() => {}
        }
    }
}

impl Ends {
    /// Applies records in the mirror that are new or have a new revision.
    fn import(&self, mirror: &Mirror, read: &mut BTreeMap<Arc<str>, Revision>) {
        let below = |kind: Kind| mirror.below(&kind.prefix()).into_iter().map(move |r| (kind, r));
        let records: Vec<(Kind, mirror::Record)> = Kind::ALL.into_iter().flat_map(below).collect();
        read.retain(|key, _| records.iter().any(|(_, record)| record.key == *key));
        for (kind, record) in records {
            if read.insert(record.key.clone(), record.revision) == Some(record.revision) {
                continue;
            }
            self.apply(self.updates_from_record(kind, &record), Some(Source::Store));
        }
    }

    fn updates_from_record(&self, kind: Kind, record: &mirror::Record) -> Vec<Update> {
        let digest = record.key.strip_prefix(&kind.prefix()).and_then(Digest::from_text);
        let entry = serde_json::from_slice::<Entry>(record.value.as_deref().unwrap_or_default());
        let (digest, entry) = match (digest, entry) {
            (Some(digest), Ok(entry)) => (digest, entry),
            (None, _) => {
                log::error!("invalid record of ends key={} error=\"no digest\"", record.key);
                return Vec::new();
            }
            (_, Err(error)) => {
                log::error!("invalid record of ends key={} error=\"{error}\"", record.key);
                return Vec::new();
            }
        };
        let (now, wall) = (self.now(), boot::unix_ms());
        let item = |ended: Ended| Item {
            run: fleet::Run { id: ended.server, born: ended.born },
            digest,
            mark: mark_from_flags(ended.alone, false),
            at: now.saturating_sub(Duration::from_millis(wall.saturating_sub(ended.at))),
        };
        entry.ends.into_iter().map(|ended| Update { kind, item: item(ended) }).collect()
    }

    /// Removes expired items.
    fn expire(&self) {
        let now = self.now();
        let mut state = self.lock();
        for cases in state.all() {
            cases.expire(now);
            let Cases { ledger, own, trials, .. } = cases;
            own.retain(|digest| ledger.standing(*digest) != Standing::Sound);
            trials.retain(|digest, _| ledger.standing(*digest) != Standing::Sound);
        }
    }

    /// Returns the time at which this process writes a refusal. It writes immediately if it found
    /// an end itself.
    fn write_time(&self, kind: Kind, digest: Digest) -> boot::Instant {
        let own = self.lock().of(kind).own.contains(&digest);
        let wait = WRITE_DELAY.0 + WRITE_DELAY.1.mul_f64(rand::random());
        boot::Instant::now() + if own { Duration::ZERO } else { wait }
    }

    /// Returns the refused requests and parts of which the mirror has no record.
    fn unwritten(&self, mirror: &Mirror) -> Vec<(Kind, Digest)> {
        let refused = |kind| self.refused(kind).into_iter().map(move |digest| (kind, digest));
        let mut refused: Vec<(Kind, Digest)> = Kind::ALL.into_iter().flat_map(refused).collect();
        refused
            .retain(|(kind, digest)| mirror.get(&format!("{}{digest}", kind.prefix())).is_none());
        refused
    }

    async fn write<S: Store>(&self, store: &S, kind: Kind, digest: Digest) {
        match self.try_write(store, kind, digest).await {
            Ok(outcome) => log::info!("refusal kept digest={digest} outcome={outcome:?}"),
            Err(error) => log::warn!("refusal not kept digest={digest} error=\"{error}\""),
        }
    }

    async fn try_write<S: Store>(
        &self,
        store: &S,
        kind: Kind,
        digest: Digest,
    ) -> Result<store::Outcome, store::Error> {
        let (now, wall) = (self.now(), boot::unix_ms());
        let items: Vec<Item> = self.lock().of(kind).ledger.items().collect();
        let own = items.iter().filter(|item| item.digest == digest && item.mark != Mark::Cleared);
        let ended = own.map(|item| Ended {
            server: item.run.id.clone(),
            born: item.run.born,
            at: wall.saturating_sub(now.since(item.at).as_millis() as u64),
            alone: item.mark == Mark::Alone,
        });
        let entry = Entry { ends: ended.collect() };
        let value = serde_json::to_vec(&entry)
            .map_err(|error| store::Error::Protocol { status: 0, reason: error.to_string() })?;
        let lease = store.grant(loftcove_decision::poison::RETENTION).await?;
        let write = store::Write {
            key: format!("{}{digest}", kind.prefix()).into(),
            value: Some(value.into()),
            expected: Some(Revision::ZERO),
            lease: Some(lease),
        };
        let outcome = store.write(&write).await?;
        if outcome != store::Outcome::Conflict {
            return Ok(outcome);
        }
        // Another gateway's record came first and has its own lease.
        store.revoke(lease).await?;
        Ok(outcome)
    }
}
