//! Writes the members and the slow ranks of a driver's group to the store for the gateways.
//!
//! The writer is a task of its own: a change of the map takes seconds, and the record of a slow
//! rank must not become too old meanwhile.

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::store::Store;
use loftcove_mirror::{Mirror, membership};
use tokio::sync::watch;

/// Interval at which the record is compared with the wanted one. The store may have lost it.
const INTERVAL: Duration = Duration::from_millis(200);

/// The record that a driver wants to be in the store.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// Name of the group.
    pub group: Arc<str>,
    /// Present term of the driver, which rises with each change of the map.
    pub term: u64,
    /// Members and slow ranks.
    pub entry: membership::Entry,
}

/// Writes the wanted record when that is due, until it is stopped.
pub async fn run<S: Store>(
    mirror: Arc<Mirror>,
    store: Arc<S>,
    mut wanted: watch::Receiver<Option<Wanted>>,
) {
    let mut schedule = membership::Schedule::default();
    loop {
        let now = wanted.borrow_and_update().clone();
        if let Some(Wanted { group, term, entry }) = now {
            let known = membership::entry(&mirror, &group);
            if let Some(due) = schedule.due(&known, &entry, term, boot::Instant::now()) {
                membership::publish(&*store, &mirror, &group, &entry, due).await;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => {}
            changed = wanted.changed() => if changed.is_err() { return },
        }
    }
}
