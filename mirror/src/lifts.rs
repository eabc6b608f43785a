//! Rate limits of backend servers that were lifted, told to all gateways.
//!
//! Most gateways send nothing to a server that names a rate limit, and hear of its end
//! after minutes. Whoever hears it first by an answer writes it to the store, under a
//! lease; that a record goes says nothing. Without the store each gateway hears it
//! by itself.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::fleet;
use loftcove_decision::revision::Revision;
use loftcove_interface::store::{self, Store};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{Mirror, OWN_PREFIX};

/// How long a record is kept: longer than any gateway is behind the store.
const KEPT: Duration = Duration::from_secs(60);
/// Longest time, by lot, that a gateway waits for another one to write what both have
/// heard.
const WAIT: Duration = Duration::from_millis(400);
/// Time between two tries to write the same, and until it is given up.
const RETRY: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(60));

/// What a gateway has heard and read. Its lock is taken before that of the copy of the
/// store, never within it.
#[derive(Debug, Default)]
pub struct Lifts {
    state: Mutex<State>,
    heard: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Runs whose limits were lifted and which are to be written.
    pending: BTreeMap<fleet::Run, Pending>,
    /// Revisions of the records that were read, by server.
    read: BTreeMap<Arc<str>, Revision>,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    heard: boot::Instant,
    /// When it is to be written.
    due: boot::Instant,
    /// Revision of the server's record at that time, zero where there was none.
    revision: Revision,
}

/// A record.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    born: Option<u64>,
}

fn prefix() -> String {
    format!("{OWN_PREFIX}lifted/")
}

fn key(server: &str) -> String {
    format!("{}{server}", prefix())
}

impl Lifts {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is one insertion or removal.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A run names a rate limit: what is not yet written of its end is out of date.
    pub fn discard_pending(&self, run: &fleet::Run) {
        self.lock().pending.remove(run);
    }

    /// Runs whose limits others found lifted, since the last call.
    pub fn take_updates(&self, mirror: &Mirror) -> Vec<fleet::Run> {
        let records = mirror.below(&prefix());
        let mut state = self.lock();
        state.read.retain(|server, _| records.iter().any(|record| *record.key == *key(server)));
        let mut news = Vec::new();
        for record in records {
            let Some(server) = record.key.strip_prefix(&prefix()) else { continue };
            let server: Arc<str> = server.into();
            if state.read.insert(server.clone(), record.revision) == Some(record.revision) {
                continue;
            }
            match serde_json::from_slice::<Entry>(record.value.as_deref().unwrap_or_default()) {
                Ok(entry) => news.push(fleet::Run { id: server, born: entry.born }),
                Err(error) => log::error!("lift not readable key={} error=\"{error}\"", record.key),
            }
        }
        news
    }
}

impl Mirror {
    /// An answer of a run showed that its rate limit is lifted.
    pub fn record_lift(&self, run: &fleet::Run) {
        let revision = self.record(&key(&run.id)).map_or(Revision::ZERO, |record| record.revision);
        let heard = boot::Instant::now();
        let due = heard + WAIT.mul_f64(rand::random());
        self.lifts.lock().pending.insert(run.clone(), Pending { heard, due, revision });
        self.lifts.heard.notify_one();
    }

    /// The next lift that is due, or how long it is until then.
    fn next_lift(&self) -> Result<fleet::Run, Option<Duration>> {
        let mut state = self.lifts.lock();
        state.pending.retain(|run, pending| {
            let record =
                self.record(&key(&run.id)).map_or(Revision::ZERO, |record| record.revision);
            pending.heard.elapsed() < RETRY.1 && record == pending.revision
        });
        let next = state.pending.iter_mut().min_by_key(|(_, pending)| pending.due);
        let Some((run, pending)) = next else { return Err(None) };
        let now = boot::Instant::now();
        if now < pending.due {
            return Err(Some(pending.due.saturating_duration_since(now)));
        }
        pending.due = now + RETRY.0;
        Ok(run.clone())
    }
}

/// Writes lifts that this gateway heard of until the process ends.
pub async fn run<S: Store>(mirror: Arc<Mirror>, store: Arc<S>) {
    loop {
        match mirror.next_lift() {
            Ok(run) => write(&mirror, &*store, &run).await,
            Err(wait) => {
                let wait = tokio::time::sleep(wait.unwrap_or(RETRY.1));
                tokio::select! {
                    () = wait => {}
                    () = mirror.lifts.heard.notified() => {}
                }
            }
        }
    }
}

async fn write<S: Store>(mirror: &Mirror, store: &S, run: &fleet::Run) {
    match try_write(store, run).await {
        Ok(outcome) => {
            log::info!("limit's end told server={} outcome={outcome:?}", run.id);
            mirror.lifts.lock().pending.remove(run);
        }
        Err(error) => log::warn!("limit's end not told server={} error=\"{error}\"", run.id),
    }
}

async fn try_write<S: Store>(store: &S, run: &fleet::Run) -> Result<store::Outcome, store::Error> {
    let value = serde_json::to_vec(&Entry { born: run.born })
        .map_err(|error| store::Error::Protocol { status: 0, reason: error.to_string() })?;
    let lease = store.grant(KEPT).await?;
    let write = store::Write {
        key: key(&run.id).into(),
        value: Some(value.into()),
        expected: None,
        lease: Some(lease),
    };
    store.write(&write).await
}
