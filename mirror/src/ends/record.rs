//! Refusals in the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::poison::{Digest, Item, Mark, Standing};
use loftcove_decision::revision::Revision;
use loftcove_decision::{fleet, mirror};
use loftcove_intake::list;
use loftcove_interface::store::{self, Store};
use loftcove_line::field;
use serde::{Deserialize, Serialize};

use super::cases::{Cases, Kind, Update};
use super::{Ends, mark_from_flags};
use crate::{Mirror, Source};

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

/// Record of a refused request or part in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Entry {
    ends: Vec<Ended>,
}

/// A record as it is read: an invalid end doesn't invalidate the others.
#[derive(Deserialize)]
struct Raw {
    ends: list::Readable<Ended>,
}

impl Raw {
    /// Returns the ends that can be read. The others are logged.
    fn read_ends(self, key: &str) -> Vec<Ended> {
        let list::Readable { items, left_out, fault } = self.ends;
        if let Some(error) = fault {
            log::error!(
                "ends left out key={} count={left_out} error={error}",
                field::Text(key),
                error = field::Quoted(&error)
            );
        }
        items
    }
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
        let raw = serde_json::from_slice::<Raw>(record.value.as_deref().unwrap_or_default());
        let (digest, raw) = match (digest, raw) {
            (Some(digest), Ok(raw)) => (digest, raw),
            (None, _) => {
                log::error!(
                    "invalid record of ends key={} error=\"no digest\"",
                    field::Text(&record.key)
                );
                return Vec::new();
            }
            (_, Err(error)) => {
                log::error!(
                    "invalid record of ends key={} error={error}",
                    field::Text(&record.key),
                    error = field::Quoted(&error)
                );
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
        let ends = raw.read_ends(&record.key);
        ends.into_iter().map(|ended| Update { kind, item: item(ended) }).collect()
    }

    /// Removes expired items.
    fn expire(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.expire(now);
        for cases in state.all() {
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
            Err(error) => log::warn!(
                "refusal not kept digest={digest} error={error}",
                error = field::Quoted(&error)
            ),
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
