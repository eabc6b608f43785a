//! State of the watches of the store: since when each waits, when the store last answered it, and
//! how many of its calls and listings failed.
//!
//! Answers to other calls don't show that a waiting watch still works: its call, or the answer to
//! it, may be lost while its connection stays open.

use loftcove_clock as boot;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The watches of a host.
#[derive(Debug, Default)]
pub struct Progress {
    watches: Mutex<BTreeMap<&'static str, Watch>>,
    listings: Mutex<BTreeMap<&'static str, Listings>>,
}

/// Counts of the listings of one prefix.
#[derive(Debug, Clone, Default)]
pub struct Listings {
    /// Number of listings that failed, by cause.
    pub failed: BTreeMap<&'static str, u64>,
    /// Number of items, in listings and changes, that could not be read.
    pub unreadable: u64,
    /// Cause of the last listing's failure, if it failed.
    last_cause: Option<&'static str>,
    /// Whether only a part of the items was read at the last listing.
    pub incomplete: bool,
}

/// State of the watch of one prefix.
#[derive(Debug, Clone, Copy, Default)]
pub struct Watch {
    /// Time since which a call waits for its answer.
    waiting_since: Option<boot::Instant>,
    /// Time of the store's last answer.
    answered_at: Option<boot::Instant>,
    /// Number of calls that got no answer, or that the store rejected.
    pub lost: u64,
    /// Whether the last call was answered.
    last_call_answered: bool,
}

impl Listings {
    /// Records that no listing is failing or incomplete any more. The counts stay.
    fn end_failure(&mut self) {
        self.last_cause = None;
        self.incomplete = false;
    }
}

impl Watch {
    /// Returns how long the current call has been waiting.
    pub fn waited(&self) -> Option<Duration> {
        self.waiting_since.map(|since| since.elapsed())
    }

    /// Returns the time since the store's last answer.
    pub fn answer_age(&self) -> Option<Duration> {
        self.answered_at.map(|at| at.elapsed())
    }
}

impl Progress {
    /// Returns the watches by prefix.
    pub fn watches(&self) -> BTreeMap<&'static str, Watch> {
        self.lock().clone()
    }

    /// Returns the counts of listings by prefix.
    pub fn listings(&self) -> BTreeMap<&'static str, Listings> {
        self.lock_listings().clone()
    }

    /// Records that a listing was read completely.
    pub fn listed(&self, prefix: &'static str) {
        self.lock_listings().entry(prefix).or_default().end_failure();
    }

    /// Records that a listing failed. Returns whether the listing before it did not fail for the
    /// same cause.
    pub fn listing_failed(&self, prefix: &'static str, cause: &'static str) -> bool {
        let mut listings = self.lock_listings();
        let listings = listings.entry(prefix).or_default();
        *listings.failed.entry(cause).or_default() += 1;
        listings.last_cause.replace(cause) != Some(cause)
    }

    /// Records that only a part of the items was read.
    pub fn set_incomplete(&self, prefix: &'static str) {
        self.lock_listings().entry(prefix).or_default().incomplete = true;
    }

    /// Adds to the number of items that could not be read.
    pub fn add_unreadable(&self, prefix: &'static str, count: usize) {
        self.lock_listings().entry(prefix).or_default().unreadable += count as u64;
    }

    /// Records that a call waits until the guard is dropped.
    pub fn wait(&self, prefix: &'static str) -> Wait<'_> {
        self.lock().entry(prefix).or_default().waiting_since = Some(boot::Instant::now());
        Wait { progress: self, prefix }
    }

    /// Records that the store answered a call. Returns the time since the answer before, if the
    /// previous call failed.
    pub fn answered(&self, prefix: &'static str) -> Option<Duration> {
        let mut watches = self.lock();
        let watch = watches.entry(prefix).or_default();
        let silent = watch.answer_age().filter(|_| !watch.last_call_answered);
        watch.answered_at = Some(boot::Instant::now());
        watch.last_call_answered = true;
        silent
    }

    /// Records that a call got no answer, or that the store rejected it. Returns whether the
    /// previous call was answered.
    pub fn failed(&self, prefix: &'static str) -> bool {
        let mut watches = self.lock();
        let watch = watches.entry(prefix).or_default();
        watch.lost += 1;
        std::mem::take(&mut watch.last_call_answered)
    }

    /// Removes the watch of a prefix that is no longer watched.
    pub fn forget(&self, prefix: &'static str) {
        self.lock().remove(prefix);
        if let Some(listings) = self.lock_listings().get_mut(prefix) {
            listings.end_failure();
        }
    }

    /// Returns whether the last call of each watch was answered.
    pub fn all_answered(&self) -> bool {
        self.lock().values().all(|watch| watch.last_call_answered)
    }

    fn lock_listings(&self) -> MutexGuard<'_, BTreeMap<&'static str, Listings>> {
        // A panic in between miscounts at most one listing.
        self.listings.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, Watch>> {
        // Each change is one assignment.
        self.watches.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Guard of a waiting call.
#[derive(Debug)]
pub struct Wait<'a> {
    progress: &'a Progress,
    prefix: &'static str,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if let Some(watch) = self.progress.lock().get_mut(self.prefix) {
            watch.waiting_since = None;
        }
    }
}
