//! What gateways know together of requests that end backend servers.
//!
//! Decisions are those of [`poison`]. News goes along with the records that
//! peers hand on, one hop in milliseconds; a peer that is followed anew tells
//! all that it knows. Whom a gateway refuses it also writes to the store, under
//! a lease: there it outlasts a restart of all gateways, and it is the second
//! way to gateways that reach no peer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::poison::{
    Abandoned, Burst, Digest, Finished, Item, Ledger, Mark, SETTLE_TIME, Standing,
};
use loftcove_decision::revision::Revision;
use loftcove_decision::{clock, fleet, mirror};
use loftcove_interface::store::{self, Store};
use loftcove_wire as wire;
use serde::{Deserialize, Serialize};
use tokio::sync::{broadcast, watch as channel};

use crate::{Mirror, OWN_PREFIX, Source};

/// Items that a follower may be behind before it is told everything anew.
const BACKLOG: usize = 256;
/// When a gateway writes what another one found and has not written: that one
/// may be gone, or the store may not answer it. The first is the time that a
/// write takes to come back by way of the store; the second is drawn by lot, so
/// that one writes and the others see it.
const WRITE_WAIT: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(1));
/// Time between two tries to write the same.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two looks for writes that are due, and for ends that no longer
/// count.
const LOOK_INTERVAL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// The ends of backend servers, as this process knows them.
pub struct Ends {
    origin: boot::Instant,
    state: Mutex<State>,
    news: broadcast::Sender<Item>,
    changes: channel::Sender<u64>,
}

#[derive(Default)]
struct State {
    ledger: Ledger,
    burst: Burst,
    finished: Finished,
    abandoned: Abandoned,
    /// Requests under which this process itself saw a server end.
    own: BTreeSet<Digest>,
    /// Requests whose refusal is logged.
    refused: BTreeSet<Digest>,
}

impl State {
    /// Takes what has settled and forgets what no longer counts.
    fn expire(&mut self, now: clock::Instant) {
        self.ledger.expire(now);
        self.log_refusals(now);
    }

    /// Logs each request that is refused from now on or no longer, with the evidence.
    fn log_refusals(&mut self, now: clock::Instant) {
        let convicted: BTreeSet<Digest> = self.ledger.refused().collect();
        for digest in convicted.difference(&self.refused) {
            let Some(verdict) = self.ledger.verdict(*digest) else { continue };
            let evidence = self.ledger.evidence(*digest, now);
            let evidence: Vec<String> = evidence.iter().map(ToString::to_string).collect();
            let (ends, ground, evidence) = (verdict.ends, verdict.ground, evidence.join(","));
            log::info!(
                "request refused digest={digest} ends={ends} ground={ground} evidence={evidence}"
            );
        }
        for digest in self.refused.difference(&convicted) {
            log::info!("request no longer refused digest={digest}");
        }
        self.refused = convicted;
    }
}

impl Default for Ends {
    fn default() -> Ends {
        Ends {
            origin: boot::Instant::now(),
            state: Mutex::default(),
            news: broadcast::Sender::new(BACKLOG),
            changes: channel::Sender::new(0),
        }
    }
}

impl Ends {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The ledger is whole after each call; a panic elsewhere is its own fault.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn now(&self) -> clock::Instant {
        // A day of uptime and more lies behind the origin, so that times before
        // the start of this process can be told.
        let since = self.origin.elapsed() + BEFORE;
        clock::Instant::from_micros(since.as_micros() as u64)
    }

    /// A backend server was found to have ended under a request, which may have
    /// been the only suspect that this process had sent there.
    pub fn record_end(&self, run: &fleet::Run, digest: Digest, alone: bool) {
        let now = self.now();
        let mut state = self.lock();
        state.own.insert(digest);
        let many = state.burst.found(run, now);
        drop(state);
        let Some(runs) = many else {
            let mark = if alone { Mark::Alone } else { Mark::Suspect };
            let item = Item { run: run.clone(), digest, mark, at: now };
            return self.apply(vec![item], None);
        };
        log::info!("ends not blamed on requests servers={} reason=many-at-once", runs.len());
        let mut state = self.lock();
        let cleared = state.ledger.clear_runs(&runs);
        state.log_refusals(now);
        drop(state);
        self.tell(cleared);
    }

    /// A request is given up that a backend server may run for so long.
    pub fn abandon(&self, run: &fleet::Run, digest: Digest, left: Duration) {
        let until = self.now() + left;
        log::info!("request abandoned digest={digest} server={} ms={}", run.id, left.as_millis());
        self.lock().abandoned.add(run, digest, until);
    }

    /// A request came to its end.
    pub fn clear(&self, digest: Digest) {
        let now = self.now();
        let mut state = self.lock();
        state.finished.add(digest, now);
        let cleared = state.ledger.clear(digest);
        state.log_refusals(now);
        drop(state);
        if !cleared.is_empty() {
            log::info!("request cleared digest={digest} ends={}", cleared.len());
            self.tell(cleared);
        }
    }

    /// What is held of a request.
    pub fn standing(&self, digest: Digest) -> Standing {
        if *self.changes.borrow() == 0 {
            return Standing::Sound;
        }
        let now = self.now();
        let mut state = self.lock();
        state.expire(now);
        state.ledger.standing(digest)
    }

    fn awaits(&self, digest: Digest) -> bool {
        let now = self.now();
        *self.changes.borrow() > 0 && self.lock().ledger.awaits(digest, now)
    }

    fn unsettled(&self) -> bool {
        let now = self.now();
        self.lock().ledger.unsettled(now)
    }

    /// Waits until what is known of a request is also what others know: one that
    /// may have ended a server a moment ago is not sent again before.
    pub async fn wait_until_settled(&self, digest: Digest) {
        while self.awaits(digest) {
            tokio::time::sleep(SETTLE_TIME / 10).await;
        }
    }

    /// Whether a request is to run apart from other suspects.
    pub fn apart(&self, digest: Digest) -> bool {
        *self.changes.borrow() > 0 && self.lock().ledger.apart(digest)
    }

    /// Requests that are refused at present.
    pub fn refused_requests(&self) -> Vec<Digest> {
        let now = self.now();
        let mut state = self.lock();
        state.expire(now);
        state.ledger.refused().collect()
    }

    /// Waits until a request is refused; returns the servers that it ended.
    pub async fn wait_until_refused(&self, digest: Digest) -> u32 {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if let Standing::Refused(ends) = self.standing(digest) {
                return ends;
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

    /// Takes items; those that are news are handed on.
    fn apply(&self, items: Vec<Item>, source: Option<Source<'_>>) {
        let now = self.now();
        let mut state = self.lock();
        let mut news = Vec::new();
        for item in items {
            let before = state.ledger.standing(item.digest);
            if !state.ledger.merge(&item, now) {
                continue;
            }
            let mut told = vec![item.clone()];
            for blamed in state.abandoned.blame(&item) {
                log::info!(
                    "server ended under an abandoned request digest={} server={}",
                    blamed.digest,
                    blamed.run.id
                );
                if state.ledger.merge(&blamed, now) {
                    told.push(blamed);
                }
            }
            if item.mark != Mark::Cleared && state.finished.contains(item.digest, now) {
                told.extend(state.ledger.clear(item.digest));
            }
            let after = state.ledger.standing(item.digest);
            if before != after {
                log_standing(&item, after, source);
            }
            news.extend(told);
        }
        state.log_refusals(now);
        drop(state);
        self.tell(news);
    }

    fn tell(&self, items: Vec<Item>) {
        if items.is_empty() {
            return;
        }
        for item in items {
            // Nobody may be following at present.
            self.news.send(item).unwrap_or_default();
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// All items and, from then on, each new one.
    pub(crate) fn follow(&self) -> (Vec<Item>, broadcast::Receiver<Item>) {
        let state = self.lock();
        (state.ledger.items().collect(), self.news.subscribe())
    }

    /// An item as a peer is told it.
    pub(crate) fn to_wire(&self, item: &Item) -> wire::Mark {
        let age = self.now().since(item.at).as_millis();
        wire::Mark {
            server: item.run.id.to_string(),
            born: item.run.born,
            digest: item.digest.bytes().to_vec().into(),
            cleared: item.mark == Mark::Cleared,
            alone: item.mark == Mark::Alone,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Takes what a peer tells.
    pub(crate) fn receive(&self, marks: Vec<wire::Mark>, peer: &str) {
        let now = self.now();
        let mut items = Vec::new();
        for mark in marks {
            let Some(digest) = Digest::from_bytes(&mark.digest) else {
                log::error!("mark not readable peer={peer} bytes={}", mark.digest.len());
                continue;
            };
            items.push(Item {
                run: fleet::Run { id: mark.server.into(), born: mark.born },
                digest,
                mark: mark_of(mark.alone, mark.cleared),
                at: now.saturating_sub(Duration::from_millis(mark.age_ms.into())),
            });
        }
        if !items.is_empty() {
            self.apply(items, Some(Source::Peer(peer)));
        }
    }
}

fn mark_of(alone: bool, cleared: bool) -> Mark {
    match (cleared, alone) {
        (true, _) => Mark::Cleared,
        (false, true) => Mark::Alone,
        (false, false) => Mark::Suspect,
    }
}

/// Time that lies before a process's origin: more than any end is kept.
const BEFORE: Duration = Duration::from_secs(86_400);

/// Logs a change of what is held of a request.
fn log_standing(item: &Item, standing: Standing, source: Option<Source<'_>>) {
    let from = source.map_or_else(|| "own".to_owned(), |source| source.to_string());
    let (state, ends) = match standing {
        Standing::Sound => ("sound", 0),
        Standing::Suspect(ends) => ("suspect", ends),
        Standing::Refused(ends) => ("refused", ends),
    };
    log::info!(
        "server ended digest={} server={} alone={} standing={state} ends={ends} from={from}",
        item.digest,
        item.run.id,
        item.mark == Mark::Alone
    );
}

/// A request that is refused, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    ends: Vec<Ended>,
}

/// A backend server that it ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Ended {
    server: Arc<str>,
    born: Option<u64>,
    /// When, Unix milliseconds.
    at: u64,
    /// Whether it was the only suspect there.
    #[serde(default)]
    alone: bool,
}

fn prefix() -> String {
    format!("{OWN_PREFIX}ends/")
}

/// Keeps in the store whom this gateway refuses, and takes from it whom others
/// refused, until the process ends.
pub async fn run<S: Store>(mirror: Arc<Mirror>, store: Arc<S>) {
    let mut records = mirror.subscribe();
    let mut changes = mirror.ends.changes.subscribe();
    let mut read: BTreeMap<Arc<str>, Revision> = BTreeMap::new();
    // When each request is to be written that the store lacks.
    let mut due: BTreeMap<Digest, boot::Instant> = BTreeMap::new();
    loop {
        records.borrow_and_update();
        changes.borrow_and_update();
        mirror.ends.expire();
        mirror.ends.import(&mirror, &mut read);
        let lacking = mirror.ends.lacking(&mirror);
        due.retain(|digest, _| lacking.contains(digest));
        for digest in lacking {
            let at = *due.entry(digest).or_insert_with(|| mirror.ends.write_time(digest));
            if at <= boot::Instant::now() {
                due.insert(digest, boot::Instant::now() + WRITE_INTERVAL);
                mirror.ends.write(&*store, digest).await;
            }
        }
        let soon = !due.is_empty() || mirror.ends.unsettled();
        let look = if soon { LOOK_INTERVAL.0 } else { LOOK_INTERVAL.1 };
        tokio::select! {
            () = tokio::time::sleep(look) => {}
            _ = records.changed() => {}
            _ = changes.changed() => {}
        }
    }
}

impl Ends {
    /// Reads from the mirror what others have written.
    fn import(&self, mirror: &Mirror, read: &mut BTreeMap<Arc<str>, Revision>) {
        let records = mirror.below(&prefix());
        read.retain(|key, _| records.iter().any(|record| record.key == *key));
        for record in records {
            if read.insert(record.key.clone(), record.revision) == Some(record.revision) {
                continue;
            }
            self.apply(self.items_of(&record), Some(Source::Store));
        }
    }

    fn items_of(&self, record: &mirror::Record) -> Vec<Item> {
        let digest = record.key.strip_prefix(&prefix()).and_then(Digest::from_text);
        let entry = serde_json::from_slice::<Entry>(record.value.as_deref().unwrap_or_default());
        let (digest, entry) = match (digest, entry) {
            (Some(digest), Ok(entry)) => (digest, entry),
            (None, _) => {
                log::error!("ends not readable key={} error=\"no digest\"", record.key);
                return Vec::new();
            }
            (_, Err(error)) => {
                log::error!("ends not readable key={} error=\"{error}\"", record.key);
                return Vec::new();
            }
        };
        let (now, wall) = (self.now(), boot::unix_ms());
        let item = |ended: Ended| Item {
            run: fleet::Run { id: ended.server, born: ended.born },
            digest,
            mark: mark_of(ended.alone, false),
            at: now.saturating_sub(Duration::from_millis(wall.saturating_sub(ended.at))),
        };
        entry.ends.into_iter().map(item).collect()
    }

    /// Forgets what no longer counts.
    fn expire(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.expire(now);
        let State { ledger, own, .. } = &mut *state;
        own.retain(|digest| ledger.standing(*digest) != Standing::Sound);
    }

    /// When this process writes whom it refuses: at once where it saw an end itself.
    fn write_time(&self, digest: Digest) -> boot::Instant {
        let own = self.lock().own.contains(&digest);
        let wait = WRITE_WAIT.0 + WRITE_WAIT.1.mul_f64(rand::random());
        boot::Instant::now() + if own { Duration::ZERO } else { wait }
    }

    /// Requests that are refused and of which the mirror has no record.
    fn lacking(&self, mirror: &Mirror) -> Vec<Digest> {
        let mut refused = self.refused_requests();
        refused.retain(|digest| mirror.get(&format!("{}{digest}", prefix())).is_none());
        refused
    }

    async fn write<S: Store>(&self, store: &S, digest: Digest) {
        match self.try_write(store, digest).await {
            Ok(outcome) => log::info!("refusal kept digest={digest} outcome={outcome:?}"),
            Err(error) => log::warn!("refusal not kept digest={digest} error=\"{error}\""),
        }
    }

    async fn try_write<S: Store>(
        &self,
        store: &S,
        digest: Digest,
    ) -> Result<store::Outcome, store::Error> {
        let (now, wall) = (self.now(), boot::unix_ms());
        let items: Vec<Item> = self.lock().ledger.items().collect();
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
            key: format!("{}{digest}", prefix()).into(),
            value: Some(value.into()),
            expected: Some(Revision::ZERO),
            lease: Some(lease),
        };
        let outcome = store.write(&write).await?;
        if outcome != store::Outcome::Conflict {
            return Ok(outcome);
        }
        // Another gateway was first: its lease holds.
        store.end(lease).await?;
        Ok(outcome)
    }
}
