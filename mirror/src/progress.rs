//! How the watches of the store get on: since when each waits, when the store
//! last answered it, and how often no answer came.
//!
//! That the store answers other calls says nothing of a watch that waits: its
//! call, or the answer to it, may be lost while its connection stays open.

use loftcove_clock as boot;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The watches of a host.
#[derive(Debug, Default)]
pub struct Progress {
    watches: Mutex<BTreeMap<&'static str, Watch>>,
}

/// The watch of one prefix.
#[derive(Debug, Clone, Copy, Default)]
pub struct Watch {
    /// Since when a call of it waits for its answer.
    waits: Option<boot::Instant>,
    /// When the store last answered it.
    answered: Option<boot::Instant>,
    /// Calls that got no answer, or that the store refused.
    pub lost: u64,
    /// Whether the last call was answered.
    heard: bool,
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
        self.lock().entry(prefix).or_default().waits = Some(boot::Instant::now());
        Wait { progress: self, prefix }
    }

    /// The store answered a call. Returns how long it had been silent, if the
    /// call before got no answer.
    pub fn answered(&self, prefix: &'static str) -> Option<Duration> {
        let mut watches = self.lock();
        let watch = watches.entry(prefix).or_default();
        let silent = watch.answer_age().filter(|_| !watch.heard);
        watch.answered = Some(boot::Instant::now());
        watch.heard = true;
        silent
    }

    /// A call got no answer, or the store refused it. Returns whether the call
    /// before was answered.
    pub fn failed(&self, prefix: &'static str) -> bool {
        let mut watches = self.lock();
        let watch = watches.entry(prefix).or_default();
        watch.lost += 1;
        std::mem::take(&mut watch.heard)
    }

    /// The prefix is not watched any more.
    pub fn forget(&self, prefix: &'static str) {
        self.lock().remove(prefix);
    }

    /// Whether the last call of each watch was answered.
    pub fn all_answered(&self) -> bool {
        self.lock().values().all(|watch| watch.heard)
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
        if let Some(watch) = self.progress.lock().get_mut(self.prefix) {
            watch.waits = None;
        }
    }
}
