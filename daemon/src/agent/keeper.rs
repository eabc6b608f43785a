//! The agent as a home of idempotency keys, and as a witness of other homes.
//!
//! The state machine is [`home::keeper`]. The table of homes, its *slots*, *homes* and *witnesses*
//! are defined in [`home::table`].

use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use loftcove_decision::home;
use loftcove_line::field;
use loftcove_platform::store::Store as _;
use loftcove_platform::{key, store};
use loftcove_wire as wire;

use crate::agent::Agent;
use crate::{clock, homes};

/// Reads of the platform in one lease. Two of them may fail before the lease expires.
const READS_PER_LEASE: u32 = 3;
/// Time limit for handing slots over on a planned stop.
const RETIRE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of attempts to hand slots over on a planned stop.
const RETIRE_ATTEMPTS: u32 = 5;

/// Locks the state machine.
pub fn lock(agent: &Agent) -> MutexGuard<'_, home::keeper::Keeper> {
    agent.keeper.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Decides a claim of a key.
pub fn claim(agent: &Agent, claim: home::keeper::Claim) -> wire::Standing {
    let (now, wall) = (agent.process.clock.now(), agent.process.clock.wall());
    let mut keeper = lock(agent);
    let standing = keeper.claim(claim, now, wall);
    debug_assert_eq!(keeper.verify(), Ok(()));
    drop(keeper);
    let text = format!("key={} choice={standing:?}", claim.key);
    agent.process.history.record(&claim.key.to_string(), text);
    match standing {
        home::keeper::Standing::Granted => wire::Standing::Granted,
        home::keeper::Standing::Claimed => wire::Standing::Claimed,
        home::keeper::Standing::Ran => wire::Standing::Ran,
        home::keeper::Standing::Unknown => wire::Standing::Unknown,
        home::keeper::Standing::NotHome => wire::Standing::NotHome,
        home::keeper::Standing::Full => wire::Standing::Full,
        home::keeper::Standing::Mismatch => wire::Standing::Mismatch,
        home::keeper::Standing::Future => wire::Standing::Future,
    }
}

/// While the table lists this host, confirms its slots, renews the promises of their witnesses and
/// takes over the slots of silent homes.
pub async fn run(agent: Arc<Agent>) {
    let lease = Duration::from_millis(agent.process.settings.homes.lease_ms);
    let pause = lease / READS_PER_LEASE;
    let mut changed = agent.process.gossip.subscribe();
    loop {
        if is_listed(&agent) {
            read_table(&agent).await;
            if write_due_change(&agent).await {
                read_table(&agent).await;
            }
            renew_promises(&agent).await;
        }
        let became_listed = async {
            // The table is read immediately when it first lists this host.
            while changed.changed().await.is_ok() {
                if is_listed(&agent) && !lock(&agent).listed() {
                    return;
                }
            }
        };
        tokio::select! {
            _ = tokio::time::sleep(clock::jitter(pause, 0.8..1.0)) => {}
            _ = became_listed => {}
        }
    }
}

/// Returns whether the newest table that this process has received lists this host.
fn is_listed(agent: &Agent) -> bool {
    let own = &agent.process.settings.process.host;
    let table = agent.process.gossip.homes();
    let listed = table
        .slots
        .iter()
        .any(|entry| entry.home.host == *own || entry.witness.as_ref() == Some(own));
    listed || lock(agent).listed()
}

/// Reads the table from the platform. The read confirms this host's slots.
async fn read_table(agent: &Agent) {
    let name = key::homes(&agent.process.settings.process.deployment);
    let began = agent.process.clock.now();
    let entry = match agent.process.platform.get(&name).await {
        Ok(Some(entry)) => entry,
        Ok(None) => return,
        Err(error) => {
            log::warn!("homes not confirmed error={error}", error = field::Quoted(&error));
            return;
        }
    };
    let Ok(table) = serde_json::from_slice(&entry.value) else {
        log::error!("homes not readable revision={}", entry.revision);
        return;
    };
    lock(agent).confirm(entry.revision, table, began, agent.process.clock.wall());
    apply_table(agent, entry);
}

fn apply_table(agent: &Agent, entry: store::Entry) {
    let kind = wire::Kind::Homes.into();
    agent.process.apply_record(wire::Record { kind, revision: entry.revision, value: entry.value });
}

/// Returns the agents that may be homes.
fn elect_candidates(agent: &Agent) -> Vec<home::table::Candidate> {
    homes::elect(&agent.process.gossip.hosts(), agent.process.settings.homes.per_zone)
}

/// Writes the change of the table that is due, if any. Returns whether a write was attempted.
async fn write_due_change(agent: &Agent) -> bool {
    let Some((revision, mut next, cause)) = due_change(agent) else { return false };
    next.nonce = format!("{:032x}", rand::random::<u128>());
    let name = key::homes(&agent.process.settings.process.deployment);
    let value: Bytes = serde_json::to_vec(&next).unwrap_or_default().into();
    let result = agent.process.platform.swap(&name, revision, value).await;
    agent.process.history.record("homes", format!("choice={cause} result={result:?}"));
    true
}

fn due_change(agent: &Agent) -> Option<(u64, home::table::Table, &'static str)> {
    let elected = elect_candidates(agent);
    let now = agent.process.clock.now();
    let wall = agent.process.clock.wall();
    let list = agent.process.gossip.hosts();
    let gone = |host: &str| !list.hosts.iter().any(|listed| *listed.id == *host && !listed.leaving);
    let mut keeper = lock(agent);
    let revision = keeper.table().0;
    if revision == 0 {
        return None;
    }
    if let Some(next) = keeper.retake(&elected) {
        return Some((revision, next, "retake"));
    }
    if let Some(home) = keeper.silent_homes(now).into_iter().next() {
        let next = keeper.take_over(&home, &elected);
        return Some((revision, next, "take-over"));
    }
    if let Some(next) = keeper.mend_witnesses(gone, &elected, now) {
        return Some((revision, next, "mend-witnesses"));
    }
    keeper.settle_slots(wall).map(|next| (revision, next, "settle"))
}

/// Asks the witnesses of this home's slots to renew their promises not to take the slots over.
async fn renew_promises(agent: &Agent) {
    let limit = Duration::from_millis(agent.process.settings.homes.lease_ms) / READS_PER_LEASE;
    let witnesses = lock(agent).witnesses();
    let calls = witnesses.into_iter().map(|witness| async move {
        let Some(host) = agent.process.host(&witness) else { return };
        let mut client = agent.process.links.get(host.address).agent.clone();
        let renewal = wire::Renewal {
            home: agent.process.settings.process.host.to_string(),
            incarnation: agent.process.incarnation,
        };
        let asked = agent.process.clock.now();
        let answer = tokio::time::timeout(limit, client.renew(renewal)).await;
        if let Ok(Ok(promise)) = answer {
            let hold = Duration::from_millis(u64::from(promise.into_inner().hold_ms));
            lock(agent).record_promise(&witness, hold, asked);
        }
    });
    futures_util::future::join_all(calls).await;
}

/// Stops granting keys and hands the slots over to their witnesses, on a planned stop. An
/// unreachable platform delays the stop by [`RETIRE_TIMEOUT`] at most. The witnesses then take the
/// slots over on their own, because this home no longer renews its promises.
pub async fn retire(agent: &Agent) {
    if tokio::time::timeout(RETIRE_TIMEOUT, hand_over_slots(agent)).await.is_err() {
        log::warn!("homes not handed over");
    }
}

async fn hand_over_slots(agent: &Agent) {
    for _ in 0..RETIRE_ATTEMPTS {
        let elected = elect_candidates(agent);
        let (revision, next) = {
            let mut keeper = lock(agent);
            (keeper.table().0, keeper.retire(&elected))
        };
        let Some(mut next) = next else { return };
        next.nonce = format!("{:032x}", rand::random::<u128>());
        let name = key::homes(&agent.process.settings.process.deployment);
        let value: Bytes = serde_json::to_vec(&next).unwrap_or_default().into();
        let written = agent.process.platform.swap(&name, revision, value).await;
        agent.process.history.record("homes", format!("choice=hand-over result={written:?}"));
        // The read shows whether a write without a response succeeded, and applies the new table
        // so that peers receive it.
        read_table(agent).await;
    }
}
