//! The bundle in force: the verified bundle of the highest generation that this process has
//! received.
//!
//! Each bundle is verified, regardless of whether the platform or a peer sent it.

use std::sync::{Arc, Mutex};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use loftcove_bundle::{content, envelope, error, sign};
use loftcove_decision::generation;

/// A verified bundle.
#[derive(Debug)]
pub struct Bundle {
    /// Generation of the bundle.
    pub generation: generation::Generation,
    /// Digest of the signed text.
    pub digest: sign::Digest,
    /// Settings that the bundle contains.
    pub content: content::Content,
}

/// Reason why a received bundle was not put in force.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The bundle is not newer than the one in force.
    #[error("generation {received} is not above {current}")]
    Outdated {
        /// Generation of the received bundle.
        received: generation::Generation,
        /// Generation of the bundle in force.
        current: generation::Generation,
    },
    /// The bundle is for another deployment.
    #[error("the bundle is for the deployment {0}")]
    Deployment(Arc<str>),
    /// The signatures or the content are invalid.
    #[error(transparent)]
    Invalid(#[from] error::Error),
}

/// Holder of the bundle in force. Readers never block.
pub struct Force {
    keyring: sign::Keyring,
    deployment: Arc<str>,
    gate: Mutex<generation::Gate>,
    bundle: ArcSwapOption<Bundle>,
}

impl Force {
    /// Creates a holder without a bundle.
    pub fn new(keyring: sign::Keyring, deployment: Arc<str>) -> Force {
        Force { keyring, deployment, gate: Mutex::default(), bundle: ArcSwapOption::empty() }
    }

    /// Returns the bundle in force, or `None` before the first one.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.load_full()
    }

    /// Returns the generation in force, or zero before the first bundle.
    pub fn generation(&self) -> u64 {
        self.bundle().map_or(0, |bundle| bundle.generation.0)
    }

    /// Verifies an envelope and puts its bundle in force if it is newer.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`]. The bundle in force then stays the same.
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
        // Two envelopes may be verified concurrently. The gate decides which one is newer. The
        // bundle is stored under its lock, because an older bundle must not replace a newer one.
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
