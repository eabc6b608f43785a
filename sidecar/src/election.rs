//! Election of the driver of a group: the driver is the sidecar that holds the group's key in the
//! store.
//!
//! The key is bound to a lease. Its revision is the driver's term, which only rises, even if the
//! store has lost the key. A driver that has lost the key without noticing does no harm: sidecars
//! reject orders of a lower term than the highest one they have received.

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::store::{self, Store};
use loftcove_line::field;
use loftcove_mirror::{Mirror, OWN_PREFIX};
use tokio::sync::{Notify, watch};

/// Time that the key outlasts a driver that crashed. No map is changed meanwhile.
const TTL: Duration = Duration::from_millis(2_500);
/// Interval between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);
/// First pause after a failed renewal. The pause doubles up to [`RENEWAL_INTERVAL`]. If a renewal
/// is lost on a silent connection, which takes 0.7 s, the next one still falls within the time that
/// the key outlasts the one before.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time that a sidecar which lost an election waits for the winner's key before it stands again.
const LOSS_PAUSE: Duration = Duration::from_millis(1_500);

/// Separator between the name of a host and the identifier of a run.
const RUN_SEPARATOR: char = '#';

/// Returns the key of a group's driver.
pub fn key(group: &str) -> Arc<str> {
    format!("{OWN_PREFIX}drivers/{group}").into()
}

/// Term of a driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Number of the term: the ordinal of the key's revision.
    pub number: u64,
    /// Lease of the key.
    pub lease: store::Lease,
}

/// An election that this sidecar has lost.
#[derive(Debug, Clone, Copy)]
pub struct Loss {
    /// Revision of the driver's key that this sidecar tried to replace.
    revision: store::Revision,
    at: boot::Instant,
}

impl Loss {
    /// Records that the election to replace the key of this revision was lost now.
    pub fn new(revision: store::Revision) -> Loss {
        Loss { revision, at: boot::Instant::now() }
    }

    /// Returns whether this sidecar waits before it stands again, if the driver's key has the given
    /// revision in the local copy of the store. Once the winner's key is known, the sidecar waits
    /// no longer: that driver, too, may have to be replaced.
    pub fn pauses(&self, revision: store::Revision) -> bool {
        revision == self.revision && self.at.elapsed() < LOSS_PAUSE
    }
}

/// Returns a name, unique to each run of a sidecar, under which that run drives.
pub fn run_name(host: &str) -> String {
    format!("{host}{RUN_SEPARATOR}{:08x}", rand::random::<u32>())
}

/// Returns whether a group's driver was this host's sidecar, in an earlier run or in a term that it
/// has resigned. Such a term can be replaced without waiting until it expires.
pub fn is_own(mirror: &Mirror, key: &str, name: &str) -> bool {
    let Some(value) = mirror.record(key).and_then(|record| record.value) else { return false };
    let host = |name: &str| name.rsplit_once(RUN_SEPARATOR).map(|(host, _)| host.to_owned());
    let driver = std::str::from_utf8(&value).unwrap_or_default();
    host(driver).is_some() && host(driver) == host(name)
}

/// Returns the revision of a key, or zero if the key does not exist.
pub fn revision(mirror: &Mirror, key: &str) -> store::Revision {
    mirror.record(key).map_or(store::Revision::ZERO, |record| record.revision)
}

/// Tries once to become driver in place of the one whose key has the revision `held_revision`,
/// which is zero if there is none. `name` identifies this run of this host.
pub async fn campaign<S: Store>(
    store: &S,
    mirror: &Mirror,
    group: &str,
    name: &str,
    held_revision: store::Revision,
) -> Result<Option<Term>, store::Error> {
    let lease = store.grant(TTL).await?;
    let write = store::Write {
        key: key(group),
        value: Some(name.to_owned().into()),
        expected: Some(held_revision),
        lease: Some(lease),
    };
    match store.write(&write).await {
        Ok(store::Outcome::Done(revision)) => {
            return Ok(Some(Term { number: revision.ordinal(), lease }));
        }
        Ok(_) => {}
        // The write may have succeeded; in that case the local copy of the store will contain it.
        Err(store::Error::Lost(reason)) => {
            log::warn!(
                "election result unknown group={group} reason={reason} next=read-back",
                reason = field::Quoted(&reason),
                group = field::Text(group)
            );
            tokio::time::sleep(RENEWAL_INTERVAL).await;
            let own = mirror.record(&key(group)).filter(|record| {
                record.value.as_ref().is_some_and(|value| value == name.as_bytes())
            });
            if let Some(record) = own {
                return Ok(Some(Term { number: record.revision.ordinal(), lease }));
            }
        }
        Err(error) => {
            end(store, group, lease).await;
            return Err(error);
        }
    }
    end(store, group, lease).await;
    Ok(None)
}

/// Writes the driver's key again under its lease, which gives the driver a later term. Returns
/// `None` if the local copy of the store does not show that `name` drives, or if the key has
/// changed.
///
/// # Errors
///
/// Returns the store's error. If that is [`store::Error::Lost`], the key may have been written; the
/// former term then remains usable, because the driver is the same.
pub async fn advance<S: Store>(
    store: &S,
    mirror: &Mirror,
    group: &str,
    name: &str,
    term: Term,
) -> Result<Option<Term>, store::Error> {
    let key = key(group);
    let own = mirror.record(&key).filter(|record| is_value(record.value.as_deref(), name));
    let Some(record) = own else { return Ok(None) };
    let write = store::Write {
        key,
        value: Some(name.to_owned().into()),
        expected: Some(record.revision),
        lease: Some(term.lease),
    };
    let store::Outcome::Done(revision) = store.write(&write).await? else { return Ok(None) };
    Ok(Some(Term { number: revision.ordinal(), lease: term.lease }))
}

/// Returns whether a key's value names this run.
fn is_value(value: Option<&[u8]>, name: &str) -> bool {
    value.is_some_and(|value| value == name.as_bytes())
}

/// Ends the lease of a lost election. If the store fails to end it, it expires.
async fn end<S: Store>(store: &S, group: &str, lease: store::Lease) {
    if let Err(error) = store.revoke(lease).await {
        log::warn!(
            "cannot end lease group={group} error={error} next=lapse",
            error = field::Quoted(&error),
            group = field::Text(group)
        );
    }
}

/// Renewals of a term, as observed by its driver.
#[derive(Debug)]
pub struct Renewals {
    /// Time at which the last completed renewal was sent.
    last: watch::Sender<boot::Mark>,
    /// Requests an immediate renewal.
    requested: Notify,
}

impl Default for Renewals {
    fn default() -> Renewals {
        Renewals { last: watch::Sender::new(boot::Mark::now()), requested: Notify::new() }
    }
}

impl Renewals {
    /// Waits for a renewal if the host was suspended since the last one, and returns whether it
    /// was. The term may have expired meanwhile, and the timer of the next renewal does not count
    /// the time of the suspension.
    pub async fn check(&self) -> bool {
        let Some(time) = self.last.borrow().suspended_for() else { return false };
        log::warn!("host suspended ms={} next=renew", time.as_millis());
        let mut last = self.last.subscribe();
        self.requested.notify_one();
        // The sender is dropped only together with the driver.
        last.changed().await.unwrap_or_default();
        true
    }
}

/// Renews the term of the run `name` until it ends. If the store does not respond, the term
/// continues: no other sidecar can begin a term without the store, and if one has begun, sidecars
/// reject this driver's orders.
pub async fn renew<S: Store>(
    store: &S,
    mirror: &Mirror,
    group: &str,
    name: &str,
    term: Term,
    renewals: &Renewals,
) {
    let replaced = || {
        let record = mirror.record(&key(group));
        // The driver's own later terms have its name too.
        record.is_some_and(|record| {
            record.revision.ordinal() > term.number && !is_value(record.value.as_deref(), name)
        })
    };
    let mut changes = mirror.subscribe();
    let mut store_lost = false;
    let mut pause = RENEWAL_INTERVAL;
    loop {
        if replaced() {
            return;
        }
        let sent = boot::Mark::now();
        let renewed = store.renew(term.lease).await;
        if renewed == Ok(false) {
            return;
        }
        renewals.last.send_replace(sent);
        match renewed {
            Ok(_) => {
                pause = RENEWAL_INTERVAL;
                if std::mem::take(&mut store_lost) {
                    log::info!("dependency regained name=store");
                }
            }
            Err(error) => {
                pause = if store_lost { (pause * 2).min(RENEWAL_INTERVAL) } else { RETRY_PAUSE };
                // The pause that the store asks for is limited to the interval between two
                // renewals, because the term depends on them.
                pause = pause.max(error.rest().min(RENEWAL_INTERVAL));
                if !std::mem::replace(&mut store_lost, true) {
                    log::warn!(
                        "dependency lost name=store error={error}",
                        error = field::Quoted(&error)
                    );
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = renewals.requested.notified() => {}
            _ = changes.changed() => {}
        }
    }
}
