//! Requests that end the backend servers that run them.
//!
//! The pattern: a backend server ends under a request, and its caller asks
//! again, at any gateway. Each end takes all requests of that server along,
//! and in a lock-step group those of all ranks, for seconds. Without a count
//! over all tries, one request ended as many servers as its caller had
//! patience for: eight, in a group that then served 46% of a minute and a half.
//!
//! What is counted are servers that ended, by the requests that were on them
//! ([`Ledger`]). Up to a few dozen are on one at a time, and one of them is to
//! blame at the most, so a single end makes suspects and no more. Where a suspect
//! runs next is arranged so that it tells more ([`crate::balancer`]): as the only
//! suspect there. A request is refused when it was on two servers that ended, on
//! one of them as the only request that has not come to its end elsewhere; at the
//! third if nobody else was on as many, at the fourth in any case. Counting alone
//! would refuse those that were cut by two others. What is blamed on one request
//! is not counted against others, and a request that comes to its end anywhere is
//! cleared.
//!
//! Gateways tell each other of single [`Item`]s. Merging takes the higher mark,
//! so that it does not matter in which order and how often they come.

mod abandoned;
mod burst;
mod finished;

mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use sha2::Digest as _;

pub use self::abandoned::Abandoned;
pub use self::burst::Burst;
pub use self::finished::Finished;

pub use self::verdict::{Evidence, Ground, Verdict};
use crate::{clock, fleet};

/// Bytes of a digest: two requests share one by chance once in 2^64 of them.
const DIGEST_BYTES: usize = 16;

/// Ends from which a request is refused that one of them proves.
const PROVEN_ENDS: u32 = 2;
/// Ends from which it is refused whoever else was there, if nobody was on as many.
const LEADING_ENDS: u32 = 3;
/// Ends from which it is refused in any case.
const CERTAIN_ENDS: u32 = 4;
/// Time from an end until what is known of it proves anything: gateways find it up
/// to 0.25 s apart, and until all have told, whoever is known to have been there
/// seems to have been alone.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time for which a request is held back while it is open whether it or another one
/// ended a server: the others' callers ask again within it.
const UNDECIDED_TIME: Duration = Duration::from_millis(1_500);
/// How long an end counts, and so for how long a request is refused after the
/// last one: the longest lease of the store, which keeps it over a restart of
/// all gateways.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Time between two ends of one server, as they are told, from which they are two.
/// It takes a second and more to be back; an end is found within 0.4 s.
const SAME_END_TIME: Duration = Duration::from_millis(500);
/// Ends that are kept: 128 with [`MAX_REQUESTS_PER_END`] each are 8,192 marks, some
/// 0.5 MB. Of more, the oldest that convicts nobody goes first.
const MAX_ENDS: usize = 128;
/// Requests that are kept of one end: a backend server runs and queues fewer.
const MAX_REQUESTS_PER_END: usize = 64;

/// Names what a caller asks for, whichever of its tries it is: the same at all
/// gateways. Made by a cryptographic hash, so that no caller can choose a
/// request that is taken for another's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of a request by its parts, in an order that all callers of
    /// this function keep to.
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

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// The digest with those bytes, if they are as many as one has.
    pub fn from_bytes(bytes: &[u8]) -> Option<Digest> {
        bytes.try_into().ok().map(Digest)
    }

    /// The digest with that text form.
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

/// What is held of a request that was on a backend server that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mark {
    /// It may have ended it.
    Suspect,
    /// The same, and it was suspect before: its gateway had sent no other suspect there.
    Alone,
    /// It did not.
    Cleared,
}

/// One request on one backend server that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Run of the backend server.
    pub run: fleet::Run,
    /// The request.
    pub digest: Digest,
    /// What is held of it.
    pub mark: Mark,
    /// When the backend server ended, as far as is known.
    pub at: clock::Instant,
}

/// What is held of a request over all ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Sound,
    /// It was on so many servers that ended, which nothing else explains.
    Suspect(u32),
    /// It ended so many servers, and is refused.
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

    /// The only request there that may have ended it.
    fn sole(&self) -> Option<Digest> {
        single(self.suspects())
    }

    /// The only one there that was suspect before it was sent.
    fn alone(&self) -> Option<Digest> {
        let alone = self.marks.iter().filter(|(_, mark)| **mark == Mark::Alone);
        single(alone.map(|(digest, _)| *digest))
    }
}

/// All ends that are known, and what follows from them.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// By the run and the time of its end.
    ends: BTreeMap<(fleet::Run, clock::Instant), End>,
    /// Why each request that is refused is.
    refused: BTreeMap<Digest, Verdict>,
    /// Ends of each other request that was on a server whose end is not explained.
    suspected: BTreeMap<Digest, u32>,
    /// Until when requests are not sent again that were tried beside others: these
    /// may come to their end before, and leave it as the only one, or end a server.
    undecided: BTreeMap<Digest, clock::Instant>,
    /// When that was worked out.
    evaluated_at: clock::Instant,
}

impl Ledger {
    /// Takes what is told of a request. Returns whether it was news.
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

    /// The end that an item tells of: a known one, or a further one of its server.
    /// A server that is back is taken for its run of before until its entry tells
    /// the new one, by some gateways longer than by others.
    fn key(&self, item: &Item) -> (fleet::Run, clock::Instant) {
        let apart = |at: clock::Instant| at.since(item.at).max(item.at.since(at));
        let mut known = self.ends.keys().filter(|(run, _)| run.id == item.run.id);
        let same = known.find(|(_, at)| apart(*at) < SAME_END_TIME);
        same.cloned().unwrap_or_else(|| (item.run.clone(), item.at))
    }

    /// A request came to its end: it ended no server. Returns what others are
    /// to be told.
    pub fn clear(&mut self, digest: Digest) -> Vec<Item> {
        self.clear_where(|_, suspect| suspect == digest)
    }

    /// Those servers ended by another cause than a request. Returns what others
    /// are to be told.
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

    /// What is held of a request.
    pub fn standing(&self, digest: Digest) -> Standing {
        if let Some(verdict) = self.refused.get(&digest) {
            return Standing::Refused(verdict.ends);
        }
        self.suspected.get(&digest).map_or(Standing::Sound, |ends| Standing::Suspect(*ends))
    }

    /// Whether a request is to run apart from other suspects: it was on a server
    /// that ended, and has not come to its end since. That others explain the end
    /// does not clear it, as several may have been there that end their servers.
    pub fn apart(&self, digest: Digest) -> bool {
        self.ends.values().any(|end| end.suspects().any(|suspect| suspect == digest))
    }

    /// Requests that are refused.
    pub fn refused(&self) -> impl Iterator<Item = Digest> {
        self.refused.keys().copied()
    }

    /// Why a request is refused, if it is.
    pub fn verdict(&self, digest: Digest) -> Option<Verdict> {
        self.refused.get(&digest).copied()
    }

    /// The ends that are held against a request, and who else was there.
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

    /// All that is known, each request on each server.
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

    /// Forgets ends that no longer count, and takes what has settled.
    pub fn expire(&mut self, now: clock::Instant) {
        let before = self.ends.len();
        self.ends.retain(|_, end| now.since(end.at) < RETENTION);
        let settles = self.unsettled(self.evaluated_at) && now > self.evaluated_at;
        self.evaluated_at = self.evaluated_at.max(now);
        if self.ends.len() < before || settles {
            self.evaluate();
        }
    }

    /// Whether there is an end that others may still tell of.
    pub fn unsettled(&self, now: clock::Instant) -> bool {
        self.ends.values().any(|end| !end.settled(now))
    }

    /// Whether others may still tell of an end that a request is suspect of, or may
    /// show soon whether it was that one.
    pub fn awaits(&self, digest: Digest, now: clock::Instant) -> bool {
        if self.undecided.get(&digest).is_some_and(|until| now < *until) {
            return true;
        }
        let mut recent = self.ends.values().filter(|end| !end.settled(now));
        recent.any(|end| end.suspects().any(|suspect| suspect == digest))
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Works out who is to blame, from the surest ground down. An end is explained
    /// by a request that is refused for it, and then says nothing of others: what
    /// was found on a weaker ground before is taken back by a proof that comes later.
    fn evaluate(&mut self) {
        self.refused.clear();
        let mut open: Vec<&End> = self.ends.values().collect();
        loop {
            let counts = count(&open);
            let Some((ground, guilty)) = guilty(&open, &counts, self.evaluated_at) else {
                self.undecided = undecided(&open, &counts);
                self.suspected = counts;
                return;
            };
            open.retain(|end| !end.suspects().any(|digest| guilty.contains(&digest)));
            for digest in guilty {
                self.refused.insert(digest, Verdict { ends: counts[&digest], ground });
            }
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
    /// The first [`Fault`] found.
    pub fn verify(&self) -> Result<(), Fault> {
        if self.ends.len() > MAX_ENDS {
            return Err(Fault::Ends);
        }
        if self.ends.values().any(|end| end.marks.len() > MAX_REQUESTS_PER_END) {
            return Err(Fault::Requests);
        }
        if self.refused.values().any(|verdict| verdict.ends < PROVEN_ENDS) {
            return Err(Fault::Grounds);
        }
        Ok(())
    }
}

/// A broken invariant of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The number of ends is bounded.
    #[error("more ends than are kept")]
    Ends,
    /// The number of requests of an end is bounded.
    #[error("more requests of an end than are kept")]
    Requests,
    /// Nobody is refused for a single end.
    #[error("a request is refused for a single end")]
    Grounds,
}

fn count(ends: &[&End]) -> BTreeMap<Digest, u32> {
    let mut counts = BTreeMap::new();
    for digest in ends.iter().flat_map(|end| end.suspects()) {
        *counts.entry(digest).or_insert(0) += 1;
    }
    counts
}

fn single<T>(mut all: impl Iterator<Item = T>) -> Option<T> {
    all.next().filter(|_| all.next().is_none())
}

/// Requests that are refused on the surest ground there is.
fn guilty(
    ends: &[&End],
    counts: &BTreeMap<Digest, u32>,
    now: clock::Instant,
) -> Option<(Ground, BTreeSet<Digest>)> {
    let settled: Vec<&End> = ends.iter().copied().filter(|end| end.settled(now)).collect();
    let proven = |of: fn(&End) -> Option<Digest>| -> BTreeSet<Digest> {
        let found = settled.iter().filter_map(|end| of(end));
        found.filter(|digest| counts[digest] >= PROVEN_ENDS).collect()
    };
    // A mark that others are still to tell of is the weakest of these.
    let sure = |end: &End| end.alone().filter(|digest| end.sole() == Some(*digest));
    let grounds = [
        (Ground::OnlyRequestOnTrial, proven(sure)),
        (Ground::OnlyRequest, proven(End::sole)),
        (Ground::Count, leaders(&count(&settled))),
    ];
    grounds.into_iter().find(|(_, guilty)| !guilty.is_empty())
}

/// Until when each request is held back that was the only suspect on a server that ended,
/// beside requests that had ended none: one of these may have ended it.
fn undecided(ends: &[&End], counts: &BTreeMap<Digest, u32>) -> BTreeMap<Digest, clock::Instant> {
    let mut until = BTreeMap::new();
    for end in ends {
        let Some(digest) = end.alone().filter(|digest| counts[digest] >= PROVEN_ENDS) else {
            continue;
        };
        let at = until.entry(digest).or_insert(end.at);
        *at = end.at.max(*at);
    }
    until.values_mut().for_each(|at| *at = *at + UNDECIDED_TIME);
    until
}

/// Requests with the most ends of all, if these are enough whoever else was there. Two that
/// were on the same servers look alike: the next end, of one of them alone, tells them apart.
fn leaders(counts: &BTreeMap<Digest, u32>) -> BTreeSet<Digest> {
    let most = counts.values().max().copied().unwrap_or(0);
    let leaders: BTreeSet<Digest> =
        counts.iter().filter(|(_, ends)| **ends == most).map(|(digest, _)| *digest).collect();
    let enough = most >= CERTAIN_ENDS || most >= LEADING_ENDS && leaders.len() == 1;
    if enough { leaders } else { BTreeSet::new() }
}
