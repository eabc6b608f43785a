//! Assigns the slots of idempotency keys to agents.
//!
//! The *home* of a slot is the agent that grants the slot's keys, and its *witness* is an agent on
//! another host that may take the slot over. A slot is *orphaned* if it has lost both. The table of
//! homes is stored in the platform. This module creates it, and assigns another home to each
//! orphaned slot.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use loftcove_decision::home;
use loftcove_platform::key;
use loftcove_platform::store::{self, Store as _};
use loftcove_wire as wire;

use crate::entry::Entry;
use crate::{clock, homes, leader, process};

/// Mean interval between two checks of the table.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Name of the task in the election of the entry host that performs it.
const TASK: &str = "homes";

/// Checks the table periodically until the process exits.
pub async fn run(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(clock::jitter(CHECK_INTERVAL, 0.5..1.5)).await;
        if needs_update(&entry.process) && leader::is_self(&entry.process, TASK, |_| true).await {
            update_table(&entry.process).await;
        }
    }
}

/// Returns whether the last received table is missing or has an orphaned slot.
fn needs_update(process: &process::Process) -> bool {
    let table = process.gossip.homes();
    table.slots.is_empty() || table.slots.iter().any(|entry| orphaned(process, entry))
}

/// Returns whether neither home nor witness of the slot is in the host list.
fn orphaned(process: &process::Process, entry: &home::table::Entry) -> bool {
    let is_unlisted = |host: &str| process.host(host).is_none();
    is_unlisted(&entry.home.host)
        && entry.witness.as_ref().is_none_or(|witness| is_unlisted(witness))
}

/// Reads the table from the platform, and creates it or reassigns its orphaned slots. A table must
/// be whole: a slot that is left out would get a second home.
async fn update_table(process: &process::Process) {
    let settings = &process.settings.homes;
    let elected = homes::elect(&process.gossip.hosts(), settings.per_zone);
    if elected.is_empty() {
        return;
    }
    let name = key::homes(&process.settings.process.deployment);
    let Ok(entry) = process.platform.get(&name).await else { return };
    let nonce = format!("{:032x}", rand::random::<u128>());
    let Some(entry) = entry else {
        let table = home::table::Table::found(&elected, settings.slots as usize, nonce);
        write_table(process, &name, 0, &table, "found").await;
        return;
    };
    let mut table = match serde_json::from_slice::<home::table::Table>(&entry.value) {
        Ok(table) => table,
        Err(error) => {
            log::error!("invalid table of homes key={name:?} error={:?}", error.to_string());
            return;
        }
    };
    table.nonce = nonce;
    let successor = |slot: usize, _: &home::table::Entry| {
        let host = elected.get(slot % elected.len())?.host.clone();
        Some(home::table::Holder { host, incarnation: home::table::NO_RUN })
    };
    let changed = table.reassign(
        |slot| orphaned(process, slot),
        successor,
        &elected,
        home::table::Way::Orphaned,
    );
    if changed {
        write_table(process, &name, entry.revision, &table, "adopt").await;
    } else {
        apply(process, entry);
    }
}

/// Writes the table if its revision is still the expected one. Applies the result locally.
async fn write_table(
    process: &process::Process,
    name: &str,
    expected: store::Revision,
    table: &home::table::Table,
    cause: &str,
) {
    let value: Bytes = serde_json::to_vec(table).unwrap_or_default().into();
    let result = store::swap_confirmed(&process.platform, name, expected, value.clone()).await;
    let won = matches!(result, Ok(store::Outcome::Won(_)));
    process.history.record(TASK, format!("choice={cause} won={won}"));
    match result {
        Ok(store::Outcome::Won(revision)) => apply(process, store::Entry { revision, value }),
        Ok(store::Outcome::Overtaken(Some(entry)) | store::Outcome::Conflict(Some(entry))) => {
            apply(process, entry);
        }
        Ok(store::Outcome::Overtaken(None) | store::Outcome::Conflict(None)) | Err(_) => {}
    }
}

/// Applies a table that was read or written, without waiting for gossip.
fn apply(process: &process::Process, entry: store::Entry) {
    let kind = wire::Kind::Homes.into();
    process.apply_record(wire::Record { kind, revision: entry.revision, value: entry.value });
}
