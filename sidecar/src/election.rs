//! Which sidecar drives a group: whoever holds the group's key in the store.
//!
//! The key goes with a lease, and its revision is the driver's term, which
//! only rises, also where the store has lost the key. A driver that has lost the key without knowing it does no harm:
//! sidecars refuse orders of a lower term than they have seen.

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::store::{self, Store};
use loftcove_mirror::{Mirror, OWN_PREFIX};
use tokio::sync::{Notify, watch};

/// How long the key outlasts a driver that died. No map changes meanwhile.
const TTL: Duration = Duration::from_millis(2_500);
/// Time between two renewals.
const RENEWAL: Duration = Duration::from_millis(800);
/// First pause after a renewal that failed; it doubles up to the time between
/// two. A renewal lost on a silent connection, which takes 0.7 s, and the next
/// one come within the time that the key outlasts the one before.
const RETRY: Duration = Duration::from_millis(100);

/// Between the name of a host and the number of a run.
const RUN_MARK: char = '#';

/// The key of a group's driver.
pub fn key(group: &str) -> Arc<str> {
    format!("{OWN_PREFIX}drivers/{group}").into()
}

/// A term as driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Its number, the ordinal of the key's revision.
    pub number: u64,
    /// Lease of its key.
    pub lease: store::Lease,
}

/// Name that a run of a sidecar drives by; each run has its own.
pub fn run_name(host: &str) -> String {
    format!("{host}{RUN_MARK}{:08x}", rand::random::<u32>())
}

/// Whether a group's driver was this host's sidecar, in an earlier run or in a term that
/// it has left: its term need not run out.
pub fn was_own(mirror: &Mirror, key: &str, name: &str) -> bool {
    let Some(value) = mirror.record(key).and_then(|record| record.value) else { return false };
    let host = |name: &str| name.rsplit_once(RUN_MARK).map(|(host, _)| host.to_owned());
    let driver = std::str::from_utf8(&value).unwrap_or_default();
    host(driver).is_some() && host(driver) == host(name)
}

/// Revision of a key, zero where it does not exist.
pub fn revision(mirror: &Mirror, key: &str) -> store::Revision {
    mirror.record(key).map_or(store::Revision::ZERO, |record| record.revision)
}

/// Tries to become driver, once, in the place of the one whose key has the
/// revision `known`; zero where there is none. `name` tells this run of this
/// host from all others.
pub async fn stand<S: Store>(
    store: &S,
    mirror: &Mirror,
    group: &str,
    name: &str,
    known: store::Revision,
) -> Result<Option<Term>, store::Error> {
    let lease = store.grant(TTL).await?;
    let write = store::Write {
        key: key(group),
        value: Some(name.to_owned().into()),
        expected: Some(known),
        lease: Some(lease),
    };
    match store.write(&write).await {
        Ok(store::Outcome::Done(revision)) => {
            return Ok(Some(Term { number: revision.ordinal(), lease }));
        }
        Ok(_) => {}
        // The write may have been done: the copy of the store will show it.
        Err(store::Error::Lost(reason)) => {
            log::warn!("election unsettled group={group} reason=\"{reason}\" next=read-back");
            tokio::time::sleep(RENEWAL).await;
            let own = mirror.record(&key(group)).filter(|record| {
                record.value.as_ref().is_some_and(|value| value == name.as_bytes())
            });
            if let Some(record) = own {
                return Ok(Some(Term { number: record.revision.ordinal(), lease }));
            }
        }
        Err(error) => return Err(error),
    }
    store.revoke(lease).await?;
    Ok(None)
}

/// Renewals of a term, as its driver follows them.
#[derive(Debug)]
pub struct Renewals {
    /// When the last one was sent that came to an end.
    last: watch::Sender<boot::Mark>,
    /// Asks for one now.
    wanted: Notify,
}

impl Default for Renewals {
    fn default() -> Renewals {
        Renewals { last: watch::Sender::new(boot::Mark::now()), wanted: Notify::new() }
    }
}

impl Renewals {
    /// Waits for a renewal if the host was suspended since the last one: the
    /// term may have lapsed meanwhile, and the timer of the next renewal does
    /// not count that time. Returns whether it was.
    pub async fn check(&self) -> bool {
        let Some(time) = self.last.borrow().suspended_for() else { return false };
        log::warn!("host suspended ms={} next=renew", time.as_millis());
        let mut last = self.last.subscribe();
        self.wanted.notify_one();
        // Both end together with the driver.
        last.changed().await.unwrap_or_default();
        true
    }
}

/// Renews a term; returns when it is over. Where the store does not answer,
/// the term goes on: nobody else can have begun one without the store, and if
/// somebody has, sidecars refuse this one's orders.
pub async fn keep<S: Store>(
    store: &S,
    mirror: &Mirror,
    group: &str,
    term: Term,
    renewals: &Renewals,
) {
    let mut changes = mirror.subscribe();
    let mut away = false;
    let mut pause = RENEWAL;
    loop {
        if revision(mirror, &key(group)).ordinal() > term.number {
            return;
        }
        let sent = boot::Mark::now();
        let kept = store.renew(term.lease).await;
        if kept == Ok(false) {
            return;
        }
        renewals.last.send_replace(sent);
        match kept {
            Ok(_) => {
                pause = RENEWAL;
                if std::mem::take(&mut away) {
                    log::info!("dependency regained name=store");
                }
            }
            Err(error) => {
                pause = if away { (pause * 2).min(RENEWAL) } else { RETRY };
                // Heeded no longer than until the next renewal: the term hangs on it.
                pause = pause.max(error.rest().min(RENEWAL));
                if !std::mem::replace(&mut away, true) {
                    log::warn!("dependency lost name=store error=\"{error}\"");
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = renewals.wanted.notified() => {}
            _ = changes.changed() => {}
        }
    }
}
