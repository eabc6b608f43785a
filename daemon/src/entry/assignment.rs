//! Assigns the slots of idempotency keys to agents: writes the first table of
//! homes, and gives those that have lost their agent another one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use loftcove_decision::home;
use loftcove_platform::key;
use loftcove_platform::store::{self, Store as _};
use loftcove_wire as wire;

use crate::entry::Entry;
use crate::{clock, homes, leader, process};

/// Time between two looks.
const PAUSE: Duration = Duration::from_secs(1);
/// Name of the task among those that one entry host should do.
const TASK: &str = "homes";

/// Runs until the process ends.
pub async fn run(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(clock::jitter(PAUSE, 0.5..1.5)).await;
        if wanted(&entry.process) && leader::is_me(&entry.process, TASK, |_| true).await {
            tend(&entry.process).await;
        }
    }
}

/// Whether the table, as far as this process has heard, needs anything.
fn wanted(process: &process::Process) -> bool {
    let table = process.gossip.homes();
    table.slots.is_empty() || table.slots.iter().any(|entry| orphaned(process, entry))
}

/// Whether home and witness are both gone from the host list.
fn orphaned(process: &process::Process, entry: &home::table::Entry) -> bool {
    let gone = |host: &str| process.host(host).is_none();
    gone(&entry.home.host) && entry.witness.as_ref().is_none_or(|witness| gone(witness))
}

async fn tend(process: &process::Process) {
    let rules = &process.settings.homes;
    let elected = homes::elect(&process.gossip.hosts(), rules.per_zone);
    if elected.is_empty() {
        return;
    }
    let name = key::homes(&process.settings.process.deployment);
    let Ok(entry) = process.platform.get(&name).await else { return };
    let nonce = format!("{:032x}", rand::random::<u128>());
    let Some(entry) = entry else {
        let table = home::table::Table::found(&elected, rules.slots as usize, nonce);
        write(process, &name, 0, &table, "found").await;
        return;
    };
    let Ok(mut table) = serde_json::from_slice::<home::table::Table>(&entry.value) else { return };
    table.nonce = nonce;
    let heir = |slot: usize, _: &home::table::Entry| {
        let host = elected.get(slot % elected.len())?.host.clone();
        Some(home::table::Holder { host, incarnation: home::table::NO_RUN })
    };
    let changed =
        table.reassign(|slot| orphaned(process, slot), heir, &elected, home::table::Way::Orphaned);
    if changed {
        write(process, &name, entry.revision, &table, "adopt").await;
    } else {
        take(process, entry);
    }
}

async fn write(
    process: &process::Process,
    name: &str,
    expected: store::Revision,
    table: &home::table::Table,
    cause: &str,
) {
    let value: Bytes = serde_json::to_vec(table).unwrap_or_default().into();
    let fate = store::swap_confirmed(&process.platform, name, expected, value.clone()).await;
    let won = matches!(fate, Ok(store::Outcome::Won(_)));
    process.history.record(TASK, format!("choice={cause} won={won}"));
    match fate {
        Ok(store::Outcome::Won(revision)) => take(process, store::Entry { revision, value }),
        Ok(store::Outcome::Overtaken(Some(entry)) | store::Outcome::Conflict(Some(entry))) => {
            take(process, entry);
        }
        Ok(store::Outcome::Overtaken(None) | store::Outcome::Conflict(None)) | Err(_) => {}
    }
}

fn take(process: &process::Process, entry: store::Entry) {
    let kind = wire::Kind::Homes.into();
    process.take(wire::Record { kind, revision: entry.revision, value: entry.value });
}
