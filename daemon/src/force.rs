//! The bundle in force, verified whoever handed it over.

use std::sync::{Arc, Mutex};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use loftcove_bundle::{content, envelope, error, sign};
use loftcove_decision::generation;

/// A verified bundle.
#[derive(Debug)]
pub struct Bundle {
    /// Its generation.
    pub generation: generation::Generation,
    /// Digest of its text.
    pub digest: sign::Digest,
    /// What it states.
    pub content: content::Content,
}

/// Why a bundle that was heard of was not put in force.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// It is not newer than the one in force.
    #[error("generation {received} is not above {current}")]
    Outdated {
        /// Generation heard of.
        received: generation::Generation,
        /// Generation in force.
        current: generation::Generation,
    },
    /// It is for another deployment.
    #[error("it is for the deployment {0}")]
    Deployment(Arc<str>),
    /// Its signatures or content do not hold.
    #[error(transparent)]
    Invalid(#[from] error::Error),
}

/// The bundle in force. Readers never wait.
pub struct Force {
    keyring: sign::Keyring,
    deployment: Arc<str>,
    gate: Mutex<generation::Gate>,
    bundle: ArcSwapOption<Bundle>,
}

impl Force {
    /// Nothing in force yet.
    pub fn new(keyring: sign::Keyring, deployment: Arc<str>) -> Force {
        Force { keyring, deployment, gate: Mutex::default(), bundle: ArcSwapOption::empty() }
    }

    /// The bundle in force, if there is one.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.load_full()
    }

    /// The generation in force; zero before the first bundle.
    pub fn generation(&self) -> u64 {
        self.bundle().map_or(0, |bundle| bundle.generation.0)
    }

    /// Verifies an envelope and puts it in force if it is newer.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; what was in force stays so.
    pub fn apply(&self, json: &Bytes) -> Result<Arc<Bundle>, Refusal> {
        let envelope = envelope::Envelope::parse(json)?;
        let received = generation::Generation(envelope.roll.generation);
        let current = self.lock().current();
        if received <= current {
            return Err(Refusal::Outdated { received, current });
        }
        let content = envelope.open(&self.keyring)?;
        if content.deployment != self.deployment {
            return Err(Refusal::Deployment(content.deployment));
        }
        let digest = envelope.digest();
        let bundle = Arc::new(Bundle { generation: received, digest, content });
        // Two envelopes may have been verified at a time: the gate decides,
        // and the store happens under its lock so that it cannot fall back.
        let mut gate = self.lock();
        if !gate.accept(received) {
            return Err(Refusal::Outdated { received, current: gate.current() });
        }
        self.bundle.store(Some(bundle.clone()));
        drop(gate);
        Ok(bundle)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, generation::Gate> {
        self.gate.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
