//! Lifted rate limits of backend servers, shared among all gateways.
//!
//! Most gateways send nothing to a server that reports a rate limit, so they would find out only
//! after minutes that it is lifted. The first gateway to learn it from an answer writes a record to
//! the store, under a lease. The removal of a record means nothing. While the store is unavailable,
//! each gateway learns it from answers to its own requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::fleet;
use loftcove_decision::revision::Revision;
use loftcove_interface::store::{self, Store};
use loftcove_line::field;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{Mirror, OWN_PREFIX};

/// Time for which a record is kept. It is longer than any gateway lags behind the store.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum random delay before a write, in which another gateway that learnt the same may write
/// first.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(400);
/// Interval between two attempts to write the same record, and the time after which the write is
/// abandoned.
const RETRY: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(60));

/// Lifted limits that a gateway learnt from answers and read from records. To prevent a deadlock,
/// its lock is acquired before the mirror's, never while the mirror's is held.
#[derive(Debug, Default)]
pub struct Lifts {
    state: Mutex<State>,
    added: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Runs whose lifted limits are not yet written.
    pending: BTreeMap<fleet::Run, Pending>,
    /// Revisions of the records that have been read, by server.
    read: BTreeMap<Arc<str>, Revision>,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    learnt: boot::Instant,
    /// Time of the next attempt to write.
    due: boot::Instant,
    /// Revision of the server's record when the lift was learnt; zero if there was no record.
    revision: Revision,
}

/// Record of a lifted limit in the store.
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
        // Each change is one insertion or removal, so a poisoned lock can be used.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Discards the unwritten lift of a run, as the run reports a limit again.
    pub fn discard_pending(&self, run: &fleet::Run) {
        self.lock().pending.remove(run);
    }

    /// Returns the runs whose limits other gateways found to be lifted since the last call.
    pub fn take_updates(&self, mirror: &Mirror) -> Vec<fleet::Run> {
        let records = mirror.below(&prefix());
        let mut state = self.lock();
        state.read.retain(|server, _| records.iter().any(|record| *record.key == *key(server)));
        let mut updates = Vec::new();
        for record in records {
            let Some(server) = record.key.strip_prefix(&prefix()) else { continue };
            let server: Arc<str> = server.into();
            if state.read.insert(server.clone(), record.revision) == Some(record.revision) {
                continue;
            }
            match serde_json::from_slice::<Entry>(record.value.as_deref().unwrap_or_default()) {
                Ok(entry) => updates.push(fleet::Run { id: server, born: entry.born }),
                Err(error) => {
                    log::error!(
                        "invalid lift record key={} error={error}",
                        field::Text(&record.key),
                        error = field::Quoted(&error)
                    )
                }
            }
        }
        updates
    }
}

impl Mirror {
    /// Records that a run's rate limit is lifted, as an answer of the run showed.
    pub fn record_lift(&self, run: &fleet::Run) {
        let revision = self.record(&key(&run.id)).map_or(Revision::ZERO, |record| record.revision);
        let learnt = boot::Instant::now();
        let due = learnt + MAX_WRITE_DELAY.mul_f64(rand::random());
        self.lifts.lock().pending.insert(run.clone(), Pending { learnt, due, revision });
        self.lifts.added.notify_one();
    }

    /// Returns the next lift that is due. The error is the time until one is due, or none if no
    /// lift is pending.
    fn next_lift(&self) -> Result<fleet::Run, Option<Duration>> {
        let mut state = self.lifts.lock();
        state.pending.retain(|run, pending| {
            let record =
                self.record(&key(&run.id)).map_or(Revision::ZERO, |record| record.revision);
            pending.learnt.elapsed() < RETRY.1 && record == pending.revision
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

/// Runs the task that writes this gateway's lifts to the store until the process exits.
pub async fn run<S: Store>(mirror: Arc<Mirror>, store: Arc<S>) {
    loop {
        match mirror.next_lift() {
            Ok(run) => write(&mirror, &*store, &run).await,
            Err(wait) => {
                let wait = tokio::time::sleep(wait.unwrap_or(RETRY.1));
                tokio::select! {
                    () = wait => {}
                    () = mirror.lifts.added.notified() => {}
                }
            }
        }
    }
}

async fn write<S: Store>(mirror: &Mirror, store: &S, run: &fleet::Run) {
    match try_write(store, run).await {
        Ok(outcome) => {
            log::info!("lift written server={} outcome={outcome:?}", field::Text(&run.id));
            mirror.lifts.lock().pending.remove(run);
        }
        Err(error) => log::warn!(
            "lift not written server={} error={error}",
            field::Text(&run.id),
            error = field::Quoted(&error)
        ),
    }
}

async fn try_write<S: Store>(store: &S, run: &fleet::Run) -> Result<store::Outcome, store::Error> {
    let value = serde_json::to_vec(&Entry { born: run.born })
        .map_err(|error| store::Error::Protocol { status: 0, reason: error.to_string() })?;
    let lease = store.grant(RETENTION).await?;
    let write = store::Write {
        key: key(&run.id).into(),
        value: Some(value.into()),
        expected: None,
        lease: Some(lease),
    };
    store.write(&write).await
}
