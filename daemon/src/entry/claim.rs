//! Claims an idempotency key at its home, and settles the claim.
//!
//! The *home* of a key is the agent that grants the key. To *settle* a claim is to report the
//! outcome of the request to the home.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::home;
use loftcove_wire as wire;

use crate::entry::call;
use crate::entry::refusal::{Outcome, Refusal};
use crate::{link, process};

/// Timeout of one call to the home.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of times that a claim is sent. The token stays the same, so that a retry after a
/// lost answer is harmless.
const CLAIM_ATTEMPTS: u32 = 3;
/// Maximum number of times that a settlement is sent. If none arrives, the key stays claimed and
/// clients get the outcome `unknown`, which is safe but less useful.
const SETTLE_ATTEMPTS: u32 = 5;
/// Pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A claim of a key, which is settled at the latest when it is dropped.
pub struct Claim {
    process: Arc<process::Process>,
    key: home::key::Key,
    token: u128,
    /// Whether the claim must still be settled.
    unsettled: bool,
    /// Outcome that is reported if the claim is dropped without having been settled.
    fallback: Outcome,
}

/// Claims the request's key at its home.
///
/// # Errors
///
/// Returns a [`Refusal`] if the key is not granted. This request has not run then. The refusal
/// states what is known of earlier requests under the same key.
pub async fn acquire(
    process: &Arc<process::Process>,
    call: &call::Call,
    key: home::key::Key,
) -> Result<Claim, Refusal> {
    // From here on the home may have granted the claim, so it must be settled.
    let token: u128 = rand::random();
    let mut claim =
        Claim { process: process.clone(), key, token, unsettled: true, fallback: Outcome::NotRun };
    let message = wire::Key {
        key: key.bytes().to_vec().into(),
        fingerprint: call.fingerprint(),
        token: token.to_be_bytes().to_vec().into(),
    };
    let mut last = Refusal::Home;
    for attempt in 0..CLAIM_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        match send_claim(process, key, &message).await {
            Ok(home::keeper::Standing::Granted) => return Ok(claim),
            // The slot may just have been assigned to another home, so the claim is retried.
            Ok(standing @ home::keeper::Standing::NotHome) => last = Refusal::Claim(standing),
            Ok(standing) => {
                claim.unsettled = false;
                return Err(Refusal::Claim(standing));
            }
            Err(NoAnswer) => last = Refusal::Home,
        }
    }
    // Dropping the claim settles it as not run, in case that the home has granted it.
    Err(last)
}

/// The home is unknown or has not answered.
struct NoAnswer;

/// Sends the claim to the home once, and returns its answer.
async fn send_claim(
    process: &process::Process,
    key: home::key::Key,
    message: &wire::Key,
) -> Result<home::keeper::Standing, NoAnswer> {
    let link = link_to_home(process, key).ok_or(NoAnswer)?;
    let mut agent = link.agent.clone();
    let call = tokio::time::timeout(TIMEOUT, agent.claim(message.clone())).await;
    let grant = call.map_err(|_| NoAnswer)?.map_err(|_| NoAnswer)?.into_inner();
    Ok(match grant.standing() {
        wire::Standing::Granted => home::keeper::Standing::Granted,
        wire::Standing::Claimed => home::keeper::Standing::Claimed,
        wire::Standing::Ran => home::keeper::Standing::Ran,
        wire::Standing::Unknown | wire::Standing::Unspecified => home::keeper::Standing::Unknown,
        wire::Standing::NotHome => home::keeper::Standing::NotHome,
        wire::Standing::Full => home::keeper::Standing::Full,
        wire::Standing::Mismatch => home::keeper::Standing::Mismatch,
        wire::Standing::Future => home::keeper::Standing::Future,
    })
}

/// Returns the connection to the key's home, or `None` if the home is not in the host list.
fn link_to_home(process: &process::Process, key: home::key::Key) -> Option<Arc<link::Link>> {
    let homes = process.gossip.homes();
    let entry = homes.entry(key.slot(homes.slots.len()))?;
    let host = process.host(&entry.home.host)?;
    Some(process.links.get(host.address))
}

impl Claim {
    /// Records that an attempt is about to be sent. From here on the request may run.
    pub fn mark_sent(&mut self) {
        self.fallback = Outcome::Unknown;
    }

    /// Records that the attempt certainly never ran.
    pub fn mark_not_run(&mut self) {
        self.fallback = Outcome::NotRun;
    }

    /// Reports the outcome of the request to the home.
    pub fn settle(mut self, outcome: Outcome) {
        self.start_settlement(outcome);
    }

    /// Starts to send the settlement, unless the claim is settled already.
    fn start_settlement(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.unsettled, false) {
            return;
        }
        let outcome = match outcome {
            Outcome::Answered => wire::Outcome::Answered,
            Outcome::NotRun => wire::Outcome::NotRun,
            Outcome::Unknown => wire::Outcome::Unknown,
        };
        let message = wire::Settlement {
            key: self.key.bytes().to_vec().into(),
            token: self.token.to_be_bytes().to_vec().into(),
            outcome: outcome.into(),
        };
        tokio::spawn(send_settlement(self.process.clone(), self.key, message));
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        // The client disconnected, or the claim was not granted in time.
        self.start_settlement(self.fallback);
    }
}

/// Sends the settlement to the home until it is acknowledged.
async fn send_settlement(
    process: Arc<process::Process>,
    key: home::key::Key,
    message: wire::Settlement,
) {
    for _ in 0..SETTLE_ATTEMPTS {
        if let Some(link) = link_to_home(&process, key) {
            let mut agent = link.agent.clone();
            let call = tokio::time::timeout(TIMEOUT, agent.settle(message.clone())).await;
            if let Ok(Ok(_)) = call {
                return;
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    log::warn!("settlement not acknowledged key={key}");
}
