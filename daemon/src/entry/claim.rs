//! Claims an idempotency key at its home, and settles the claim.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::home;
use loftcove_wire as wire;

use crate::entry::call;
use crate::entry::refusal::{Outcome, Refusal};
use crate::{link, process};

/// Longest wait for one answer of the home.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often a claim is made; with the same token, so that a lost answer does no harm.
const CLAIM_TRIES: u32 = 3;
/// How often a settlement is sent. One that is lost leaves the key claimed,
/// which callers see as `unknown`: safe, and less useful.
const SETTLE_TRIES: u32 = 5;
/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(150);

/// A claim that was granted.
pub struct Claim {
    process: Arc<process::Process>,
    key: home::key::Key,
    token: u128,
    open: bool,
    /// What the home is told if nothing better is known when the claim is dropped.
    fallback: Outcome,
}

/// Claims the key of the request.
///
/// # Errors
///
/// A [`Refusal`]; this ask has not run, and the refusal says what is known of
/// earlier ones.
pub async fn acquire(
    process: &Arc<process::Process>,
    call: &call::Call,
    key: home::key::Key,
) -> Result<Claim, Refusal> {
    // From here on the claim may stand at the home, so it must be settled.
    let token: u128 = rand::random();
    let mut claim =
        Claim { process: process.clone(), key, token, open: true, fallback: Outcome::NotRun };
    let message = wire::Key {
        key: key.bytes().to_vec().into(),
        fingerprint: call.fingerprint(),
        token: token.to_be_bytes().to_vec().into(),
    };
    let mut last = Refusal::Home;
    for attempt in 0..CLAIM_TRIES {
        if attempt > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        match ask(process, key, &message).await {
            Ok(home::keeper::Standing::Granted) => return Ok(claim),
            // The table may just have changed.
            Ok(standing @ home::keeper::Standing::NotHome) => last = Refusal::Claim(standing),
            Ok(standing) => {
                claim.open = false;
                return Err(Refusal::Claim(standing));
            }
            Err(Unreached) => last = Refusal::Home,
        }
    }
    // Dropping the claim gives it back, should it stand.
    Err(last)
}

/// The home gave no answer.
struct Unreached;

async fn ask(
    process: &process::Process,
    key: home::key::Key,
    message: &wire::Key,
) -> Result<home::keeper::Standing, Unreached> {
    let link = home_of(process, key).ok_or(Unreached)?;
    let mut agent = link.agent.clone();
    let call = tokio::time::timeout(TIMEOUT, agent.claim(message.clone())).await;
    let grant = call.map_err(|_| Unreached)?.map_err(|_| Unreached)?.into_inner();
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

fn home_of(process: &process::Process, key: home::key::Key) -> Option<Arc<link::Link>> {
    let homes = process.gossip.homes();
    let entry = homes.entry(key.slot(homes.slots.len()))?;
    let host = process.host(&entry.home.host)?;
    Some(process.links.get(host.address))
}

impl Claim {
    /// An attempt is about to leave: from here on the request may run.
    pub fn mark_sent(&mut self) {
        self.fallback = Outcome::Unknown;
    }

    /// The attempt surely never ran.
    pub fn mark_not_run(&mut self) {
        self.fallback = Outcome::NotRun;
    }

    /// Tells the home what became of the request.
    pub fn settle(mut self, outcome: Outcome) {
        self.send(outcome);
    }

    fn send(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.open, false) {
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
        tokio::spawn(settle(self.process.clone(), self.key, message));
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        // The caller left, or the claim was not granted in time.
        self.send(self.fallback);
    }
}

async fn settle(process: Arc<process::Process>, key: home::key::Key, message: wire::Settlement) {
    for _ in 0..SETTLE_TRIES {
        if let Some(link) = home_of(&process, key) {
            let mut agent = link.agent.clone();
            let call = tokio::time::timeout(TIMEOUT, agent.settle(message.clone())).await;
            if let Ok(Ok(_)) = call {
                return;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    log::warn!("settlement lost key={key}");
}
