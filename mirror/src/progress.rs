//! How the watches of the store get on: since when each waits, when the store
//! last answered it, and how often no answer came.
//!
//! That the store answers other calls says nothing of a watch that waits: its
//! call, or the answer to it, may be lost while its connection stays open.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The watches of a host.
#[derive(Debug, Default)]
pub struct Progress {
    watches: Mutex<BTreeMap<&'static str, Watch>>,
}

/// The watch of one prefix.
#[derive(Debug, Clone, Copy, Default)]
pub struct Watch {
    /// Since when a call of it waits for its answer.
    waits: Option<Instant>,
    /// When the store last answered it.
    answered: Option<Instant>,
    /// Calls that got no answer.
    pub lost: u64,
}

impl Watch {
    /// How long the present call has been waiting.
    pub fn waited(&self) -> Option<Duration> {
        self.waits.map(|since| since.elapsed())
    }

    /// How long ago the store answered last.
    pub fn answer_age(&self) -> Option<Duration> {
        self.answered.map(|at| at.elapsed())
    }
}

impl Progress {
    /// The watches, by their prefix.
    pub fn watches(&self) -> BTreeMap<&'static str, Watch> {
        self.lock().clone()
    }

    /// A call waits until the guard is dropped.
    pub fn wait(&self, prefix: &'static str) -> Wait<'_> {
        self.lock().entry(prefix).or_default().waits = Some(Instant::now());
        Wait { progress: self, prefix }
    }

    /// The store answered a call.
    pub fn answered(&self, prefix: &'static str) {
        self.lock().entry(prefix).or_default().answered = Some(Instant::now());
    }

    /// A call got no answer.
    pub fn lost(&self, prefix: &'static str) {
        self.lock().entry(prefix).or_default().lost += 1;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, Watch>> {
        // Each change is one assignment.
        self.watches.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A call that waits.
#[derive(Debug)]
pub struct Wait<'a> {
    progress: &'a Progress,
    prefix: &'static str,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.progress.lock().entry(self.prefix).or_default().waits = None;
    }
}
