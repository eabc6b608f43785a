//! Detection of poison requests: requests that end the backend servers that run them.
//!
//! The *end* of a server is the unplanned exit of one run of its process. When a
//! server ends under a request, the client retries the request at any gateway. Each
//! end fails all requests on that server, and in a lock-step group the requests of all
//! ranks, for seconds. Without a count across attempts, one request ended a server with
//! each retry of its client: eight servers, in a group that then served 46% of a minute
//! and a half.
//!
//! The [`Ledger`] records the servers that ended and the requests that were on them. A
//! server runs up to a few dozen requests at a time, and at most one of them ended it,
//! so a single end only makes its requests suspects. The balancer
//! ([`crate::balancer`]) places each suspect as the only suspect on a server, so that
//! the next end is better evidence. A request is refused
//!
//! - after two ends, if it was on one of the two servers as the only request that has
//!   not completed elsewhere;
//! - after three ends, if no other request was on as many;
//! - after four ends in any case.
//!
//! A plain count would also refuse requests that were interrupted by two different
//! poison requests. An end that is attributed to one request does not count against
//! others. A request that completes anywhere is cleared.
//!
//! A part of a prompt can end servers as well, whatever else the requests with it hold.
//! Each of these requests is new, so that none is on two ends. A second ledger
//! ([`Ledger::of_parts`]) therefore records the parts of the requests that were on a server
//! before their answers had begun, under digests of their own. A part is refused after three
//! ends if no other one was on as many, and after four in any case. A part with which an
//! answer has begun anywhere is cleared: a part that many requests share is cleared at once.
//!
//! Ends that a refused part explains count against no request: sound requests that were on
//! several of these servers would otherwise be the only ones with as many ends.
//!
//! Gateways exchange single [`Item`]s. A merge keeps the higher mark, so the result does
//! not depend on the order of items or on duplicates.

mod abandoned;
mod burst;
mod evaluation;
mod finished;
mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use sha2::Digest as _;

pub use self::abandoned::Abandoned;
pub use self::burst::Burst;
pub use self::finished::Finished;
pub use self::verdict::{Evidence, Ground, Verdict};
use crate::{clock, fleet};

/// Length of a digest in bytes; 2^64 requests are expected before two share a digest.
const DIGEST_BYTES: usize = 16;

/// Time after an end before it counts as proof. Gateways detect an end up to 0.25 s
/// apart; until all of them have reported, a request that is known to have been on the
/// server looks like the only one.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time for which an end counts, and so for which a request is refused after its last
/// end. Equal to the longest lease of the store, which preserves refusals across a
/// restart of all gateways.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Time after the last end of a refused part until one request with it is sent as a trial.
/// Doubles with each end beyond those that got it refused.
pub const TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Shortest time between two reported ends of one server for them to count as two. A
/// server takes at least a second to restart, and an end is detected within 0.4 s.
const SAME_END_TIME: Duration = Duration::from_millis(500);
/// Maximum number of recorded ends. 128 ends with [`MAX_REQUESTS_PER_END`] requests each
/// are 8,192 marks, about 0.5 MB. The oldest end that supports no refusal is evicted
/// first.
const MAX_ENDS: usize = 128;
/// Maximum number of recorded requests per end; a backend server runs and queues fewer.
const MAX_REQUESTS_PER_END: usize = 64;

/// Identifier of a request's content, or of a part of a prompt: the same for all attempts and
/// at all gateways.
///
/// It is a cryptographic hash, so that no client can craft a request that is taken for
/// another client's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Hashes the parts of a request. All callers must pass the parts in the same order.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hash = sha2::Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Digest(bytes)
    }

    /// Returns the bytes of the digest.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the digest with these bytes, or `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Digest> {
        bytes.try_into().ok().map(Digest)
    }

    /// Parses the hexadecimal text form that `Display` writes.
    pub fn from_text(text: &str) -> Option<Digest> {
        let number =
            u128::from_str_radix(text, 16).ok().filter(|_| text.len() == 2 * DIGEST_BYTES)?;
        Some(Digest(number.to_be_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Assessment of a request that was on a backend server that ended. A higher mark
/// replaces a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mark {
    /// The request may have ended the server.
    Suspect,
    /// As `Suspect`; in addition, the request was already suspect when it was dispatched,
    /// and its gateway had sent no other suspect to the server.
    Alone,
    /// The request did not end the server.
    Cleared,
}

/// One request on one backend server that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Run of the backend server.
    pub run: fleet::Run,
    /// Digest of the request.
    pub digest: Digest,
    /// Assessment of the request.
    pub mark: Mark,
    /// Time at which the backend server ended, as detected.
    pub at: clock::Instant,
}

/// Assessment of a request across all recorded ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No unexplained end involves the request.
    Sound,
    /// The request was on this many servers whose end is not explained.
    Suspect(u32),
    /// The request ended this many servers and is refused.
    Refused(u32),
}

/// The end of one backend server.
#[derive(Debug, Clone)]
struct End {
    at: clock::Instant,
    marks: BTreeMap<Digest, Mark>,
}

impl End {
    fn suspects(&self) -> impl Iterator<Item = Digest> {
        let suspects = self.marks.iter().filter(|(_, mark)| **mark != Mark::Cleared);
        suspects.map(|(digest, _)| *digest)
    }

    fn settled(&self, now: clock::Instant) -> bool {
        now.since(self.at) >= SETTLE_TIME
    }

    /// Returns the only request that may have ended the server.
    fn sole(&self) -> Option<Digest> {
        evaluation::single(self.suspects())
    }

    /// Returns the only request that was already suspect when it was dispatched there.
    fn alone(&self) -> Option<Digest> {
        let alone = self.marks.iter().filter(|(_, mark)| **mark == Mark::Alone);
        evaluation::single(alone.map(|(digest, _)| *digest))
    }
}

/// All recorded ends of servers and the refusals that follow from them.
#[derive(Debug, Clone)]
pub struct Ledger {
    thresholds: evaluation::Thresholds,
    /// Recorded ends by run and time.
    ends: BTreeMap<(fleet::Run, clock::Instant), End>,
    /// Ends that a digest of another ledger explains, by id and time.
    explained: BTreeSet<(Arc<str>, clock::Instant)>,
    /// Refused requests, each with the reason.
    refused: BTreeMap<Digest, Verdict>,
    /// Number of unexplained ends of each request that is not refused.
    suspected: BTreeMap<Digest, u32>,
    /// Times until which requests are deferred that were tried beside others. Until then
    /// the others may complete, which leaves the request as the only suspect, or may end
    /// a server.
    undecided: BTreeMap<Digest, clock::Instant>,
    /// Time up to which ends were assessed as settled.
    evaluated_at: clock::Instant,
}

impl Default for Ledger {
    /// Returns an empty ledger of requests.
    fn default() -> Ledger {
        Ledger::new(evaluation::REQUEST_THRESHOLDS)
    }
}

impl Ledger {
    fn new(thresholds: evaluation::Thresholds) -> Ledger {
        Ledger {
            thresholds,
            ends: BTreeMap::new(),
            explained: BTreeSet::new(),
            refused: BTreeMap::new(),
            suspected: BTreeMap::new(),
            undecided: BTreeMap::new(),
            evaluated_at: clock::Instant::default(),
        }
    }

    /// Returns an empty ledger of parts of prompts.
    pub fn of_parts() -> Ledger {
        Ledger::new(evaluation::PART_THRESHOLDS)
    }

    /// Merges an item. Returns whether it changed the ledger.
    pub fn merge(&mut self, item: &Item, now: clock::Instant) -> bool {
        if now.since(item.at) >= RETENTION {
            return false;
        }
        let key = self.key(item);
        let at = key.1;
        let end = self.ends.entry(key).or_insert_with(|| End { at, marks: BTreeMap::new() });
        let known = end.marks.get(&item.digest);
        if known >= Some(&item.mark) || known.is_none() && end.marks.len() >= MAX_REQUESTS_PER_END {
            return false;
        }
        end.marks.insert(item.digest, item.mark);
        self.evaluated_at = self.evaluated_at.max(now);
        self.evaluate();
        self.evict();
        true
    }

    /// Returns the key of the end that an item belongs to: a recorded end of the same
    /// server at about the same time, or else a new one. Runs are not compared: a gateway
    /// takes a restarted server for its earlier run until it receives the server's new
    /// entry, which some gateways receive later than others.
    fn key(&self, item: &Item) -> (fleet::Run, clock::Instant) {
        let mut known = self.ends.keys().filter(|(run, _)| run.id == item.run.id);
        let same = known.find(|(_, at)| is_same_end(*at, item.at));
        same.cloned().unwrap_or_else(|| (item.run.clone(), item.at))
    }

    /// Clears a request that completed, and so ended no server. Returns the items to send
    /// to other gateways.
    pub fn clear(&mut self, digest: Digest) -> Vec<Item> {
        self.clear_where(|_, suspect| suspect == digest)
    }

    /// Clears all requests on these runs, which ended for a cause other than a request.
    /// Returns the items to send to other gateways.
    pub fn clear_runs(&mut self, runs: &[fleet::Run]) -> Vec<Item> {
        self.clear_where(|run, _| runs.contains(run))
    }

    fn clear_where(&mut self, cleared: impl Fn(&fleet::Run, Digest) -> bool) -> Vec<Item> {
        let items = self.items().filter(|item| item.mark != Mark::Cleared);
        let items = items.filter(|item| cleared(&item.run, item.digest));
        let items: Vec<Item> = items.map(|item| Item { mark: Mark::Cleared, ..item }).collect();
        for item in &items {
            if let Some(end) = self.ends.get_mut(&(item.run.clone(), item.at)) {
                end.marks.insert(item.digest, Mark::Cleared);
            }
        }
        if !items.is_empty() {
            self.evaluate();
        }
        items
    }

    /// Returns the assessment of a request.
    pub fn standing(&self, digest: Digest) -> Standing {
        if let Some(verdict) = self.refused.get(&digest) {
            return Standing::Refused(verdict.ends);
        }
        self.suspected.get(&digest).map_or(Standing::Sound, |ends| Standing::Suspect(*ends))
    }

    /// Returns whether a request must be isolated from other suspects: it was on a server
    /// that ended and has not completed since. An end that another request explains does
    /// not clear it, as several poison requests may have been on that server.
    pub fn apart(&self, digest: Digest) -> bool {
        self.ends.values().any(|end| end.suspects().any(|suspect| suspect == digest))
    }

    /// Returns the refused requests.
    pub fn refused(&self) -> impl Iterator<Item = Digest> {
        self.refused.keys().copied()
    }

    /// Returns why a request is refused, or `None` if it is not.
    pub fn verdict(&self, digest: Digest) -> Option<Verdict> {
        self.refused.get(&digest).copied()
    }

    /// Returns the time from which one request with a refused part may be sent as a trial, or
    /// `None` if the part is not refused. If an answer begins, the refusal was wrong or its
    /// cause is gone; without a trial, none would begin until the ends are forgotten.
    pub fn trial_time(&self, digest: Digest) -> Option<clock::Instant> {
        let verdict = self.refused.get(&digest)?;
        let held = |end: &&End| end.suspects().any(|suspect| suspect == digest);
        let last = self.ends.values().filter(held).map(|end| end.at).max()?;
        let more = verdict.ends.saturating_sub(self.thresholds.leading);
        Some(last + TRIAL_DELAY * 2_u32.saturating_pow(more))
    }

    /// Returns the ends that count against a request, each with the number of other
    /// requests on that server.
    pub fn evidence(&self, digest: Digest, now: clock::Instant) -> Vec<Evidence> {
        let held = self.ends.iter().filter_map(|((run, _), end)| {
            let mark = *end.marks.get(&digest).filter(|mark| **mark != Mark::Cleared)?;
            let others = [Mark::Suspect, Mark::Alone, Mark::Cleared].map(|kind| {
                let same = |(other, mark): &(&Digest, &Mark)| **other != digest && **mark == kind;
                end.marks.iter().filter(same).count()
            });
            Some(Evidence { run: run.clone(), age: now.since(end.at), mark, others })
        });
        held.collect()
    }

    /// Returns an item for each request on each recorded end.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        self.ends.iter().flat_map(|((run, _), end)| {
            let marks = end.marks.iter();
            marks.map(|(digest, mark)| Item {
                run: run.clone(),
                digest: *digest,
                mark: *mark,
                at: end.at,
            })
        })
    }

    /// Removes expired ends, and assesses ends that have settled since the last call.
    pub fn expire(&mut self, now: clock::Instant) {
        let before = self.ends.len();
        self.ends.retain(|_, end| now.since(end.at) < RETENTION);
        let settles = self.unsettled(self.evaluated_at) && now > self.evaluated_at;
        self.evaluated_at = self.evaluated_at.max(now);
        if self.ends.len() < before || settles {
            self.evaluate();
        }
    }

    /// Returns whether other gateways may still report on any of the ends.
    pub fn unsettled(&self, now: clock::Instant) -> bool {
        self.ends.values().any(|end| !end.settled(now))
    }

    /// Returns whether a request must wait: other gateways may still report on an end that
    /// it is suspected of, or the fate of other requests may soon decide the suspicion.
    pub fn awaits(&self, digest: Digest, now: clock::Instant) -> bool {
        if self.undecided.get(&digest).is_some_and(|until| now < *until) {
            return true;
        }
        let mut recent = self.ends.values().filter(|end| !end.settled(now));
        recent.any(|end| end.suspects().any(|suspect| suspect == digest))
    }

    /// Returns whether no end is recorded.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Recomputes the refusals, from the strongest ground to the weakest. An end is
    /// explained by a request that is refused for it, and then counts against no other
    /// request. As all refusals are recomputed, later proof revokes an earlier refusal on
    /// a weaker ground.
    fn evaluate(&mut self) {
        self.refused.clear();
        let ends = self.ends.iter().filter(|(key, _)| !self.is_explained(key));
        let mut open: Vec<&End> = ends.map(|(_, end)| end).collect();
        loop {
            let counts = evaluation::count(&open);
            let Some((ground, guilty)) =
                evaluation::guilty(&open, &counts, self.thresholds, self.evaluated_at)
            else {
                self.undecided = evaluation::undecided(&open, &counts, self.thresholds);
                self.suspected = counts;
                return;
            };
            open.retain(|end| !end.suspects().any(|digest| guilty.contains(&digest)));
            for digest in guilty {
                self.refused.insert(digest, Verdict { ends: counts[&digest], ground });
            }
        }
    }

    fn is_explained(&self, (run, at): &(fleet::Run, clock::Instant)) -> bool {
        let ends = self.explained.iter();
        ends.into_iter().any(|(id, other)| *id == run.id && is_same_end(*at, *other))
    }

    /// Returns the ends that refused digests explain, by id and time.
    pub fn explained_ends(&self) -> BTreeSet<(Arc<str>, clock::Instant)> {
        if self.refused.is_empty() {
            return BTreeSet::new();
        }
        let refused = |end: &End| end.suspects().any(|digest| self.refused.contains_key(&digest));
        let ends = self.ends.iter().filter(|(_, end)| refused(end));
        ends.map(|((run, at), _)| (run.id.clone(), *at)).collect()
    }

    /// Sets the ends that digests of another ledger explain. They count against no digest of
    /// this one.
    pub fn set_explained(&mut self, ends: BTreeSet<(Arc<str>, clock::Instant)>) {
        if self.explained != ends {
            self.explained = ends;
            self.evaluate();
        }
    }

    fn evict(&mut self) {
        while self.ends.len() > MAX_ENDS {
            let refuses_nobody =
                |end: &End| !end.suspects().any(|digest| self.refused.contains_key(&digest));
            let oldest = self.ends.iter().min_by_key(|(_, end)| (!refuses_nobody(end), end.at));
            let Some(key) = oldest.map(|(key, _)| key.clone()) else { return };
            self.ends.remove(&key);
            self.evaluate();
        }
    }

    /// Checks the ledger's invariants.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        if self.ends.len() > MAX_ENDS {
            return Err(Fault::Ends);
        }
        if self.ends.values().any(|end| end.marks.len() > MAX_REQUESTS_PER_END) {
            return Err(Fault::Requests);
        }
        if self.refused.values().any(|verdict| verdict.ends < self.thresholds.proven) {
            return Err(Fault::Grounds);
        }
        Ok(())
    }
}

/// Returns whether two times at which a server was found ended are of the same end.
fn is_same_end(one: clock::Instant, other: clock::Instant) -> bool {
    one.since(other).max(other.since(one)) < SAME_END_TIME
}

/// A violated invariant of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// More than [`MAX_ENDS`] ends are recorded.
    #[error("number of recorded ends exceeds the limit")]
    Ends,
    /// More than [`MAX_REQUESTS_PER_END`] requests are recorded for one end.
    #[error("number of recorded requests of an end exceeds the limit")]
    Requests,
    /// A request is refused for a single end.
    #[error("a request is refused after a single end")]
    Grounds,
}
