//! Decides whether a failed attempt is retried.
//!
//! A retry has two conditions. It must be safe: an attempt that certainly never
//! started can always be retried, one that may have started only if the class
//! is repeatable and the client has received nothing of the answer. And the
//! retry budget must allow it: requests add to the budget and retries
//! draw on it, so that an outage does not multiply the load that caused it. Each service has
//! a budget of its own: requests to one service don't add to the retries of another one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock;

/// Default capacity of the budget, in retries.
pub const RESERVE: f64 = 10.0;

/// Fraction of a fixed reserve that is available initially. A full reserve for each
/// process would multiply the retries during a rolling restart.
const INITIAL_FRACTION: f64 = 0.3;

/// Default maximum number of attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries that were charged to a budget, and those that it did not allow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Retries that were withdrawn.
    pub charged: u64,
    /// Withdrawn retries that were returned because nothing was sent.
    pub refunded: u64,
    /// Retries that the budget did not allow.
    pub denied: u64,
}

/// State of a retry budget, for metrics and logs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Status {
    /// Retries that are available.
    pub available: f64,
    /// Maximum number of retries that the budget accumulates.
    pub reserve: f64,
    /// Withdrawn retries that are still to be sent.
    pub waiting: u32,
    /// Counts since the start of the process.
    pub counts: Counts,
}

/// Retry budget of a process for the requests to one service.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    available: f64,
    /// Withdrawn retries that are still to be sent.
    waiting: u32,
    counts: Counts,
}

impl Budget {
    /// Returns a budget of at most `reserve` retries, part of which is available
    /// initially. Each request adds `ratio` of a retry.
    pub fn new(ratio: f64, reserve: f64) -> Budget {
        let available = reserve * INITIAL_FRACTION;
        Budget { ratio, reserve, available, waiting: 0, counts: Counts::default() }
    }

    /// Returns the state for metrics and logs.
    pub fn status(&self) -> Status {
        let Budget { available, reserve, waiting, counts, .. } = *self;
        Status { available, reserve, waiting, counts }
    }

    /// Returns whether [`withdraw`](Budget::withdraw) would succeed.
    pub fn allows(&self) -> bool {
        self.available >= 1.0
    }

    /// Sets the maximum number of retries in the budget. No retry is added: where several
    /// processes share an allowance, each start would add to the retries of a window.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
        self.available = self.available.min(self.capacity());
    }

    /// Returns how many retries may be available: the reserve without those that wait, which will be
    /// sent in addition.
    fn capacity(&self) -> f64 {
        (self.reserve - f64::from(self.waiting)).max(0.0)
    }

    /// Adds the share of a request as it arrives, once for each request.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.ratio).min(self.capacity());
    }

    /// Returns a withdrawn retry that was not sent after all.
    pub fn refund(&mut self) {
        self.available = (self.available + 1.0).min(self.capacity());
        self.counts.refunded += 1;
    }

    /// Withdraws one retry, which waits until [`release`](Budget::release). Returns whether there
    /// was one.
    pub fn withdraw(&mut self) -> bool {
        if !self.allows() {
            self.counts.denied += 1;
            return false;
        }
        self.available -= 1.0;
        self.waiting += 1;
        self.counts.charged += 1;
        true
    }

    /// Records that a withdrawn retry is sent, or will not be sent.
    pub fn release(&mut self) {
        self.waiting -= 1;
    }

    /// Records that a retry waits again, because its backend server was not to get it.
    pub fn hold(&mut self) {
        self.waiting += 1;
        self.available = self.available.min(self.capacity());
    }
}

/// Time for which a share of the allowance stays as small as it was. A gateway whose registration
/// has expired may still run, cut off or without the store, and use its share. A cut rarely lasts
/// longer, and a share that is too small for this time costs only a part of the saved retries.
pub const SHARE_HOLD: Duration = Duration::from_secs(600);

/// Smallest share of recent time in an allowance that several processes divide by the number of
/// processes that they know.
#[derive(Debug, Clone, Default)]
pub struct Share {
    /// Shares in ascending order, each with the last time at which it was in force.
    smallest: VecDeque<(f64, clock::Instant)>,
}

impl Share {
    /// Records that `share` is in force from `now`, by the processes that are known now. Returns
    /// the smallest share that was in force within [`SHARE_HOLD`].
    pub fn update(&mut self, share: f64, now: clock::Instant) -> f64 {
        if let Some((_, until)) = self.smallest.back_mut() {
            // The newest share was in force until now.
            *until = now;
        }
        while self.smallest.back().is_some_and(|(other, _)| *other >= share) {
            self.smallest.pop_back();
        }
        self.smallest.push_back((share, now));
        while self.smallest.front().is_some_and(|(_, until)| now.since(*until) > SHARE_HOLD) {
            self.smallest.pop_front();
        }
        self.smallest.front().map_or(share, |(smallest, _)| *smallest)
    }
}

/// Whether a failed attempt was executed, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The attempt never started and never will.
    NeverRan,
    /// The attempt started or may have started.
    MayHaveRun,
    /// The backend server ended during the attempt, possibly because of it. A retry
    /// could end the next server and with it all other requests there. The client
    /// can send the request again, which is then identified as the same request.
    ServerEnded,
}

/// A failed attempt and the state of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether the attempt was executed.
    pub execution: Execution,
    /// Whether requests of the class may be executed more than once.
    pub repeatable: bool,
    /// Whether the client has received a part of the answer.
    pub answer_begun: bool,
    /// Whether another backend server can resume an answer that has begun.
    pub resumable: bool,
    /// Number of attempts that ran or may have run.
    pub runs: u32,
    /// Maximum number of attempts that may run.
    pub max_runs: u32,
    /// Number of failed attempts, whether they ran or not.
    pub failures: u32,
}

/// Returns whether a retry would be safe, regardless of the budget.
pub fn is_safe(failure: &Failure) -> bool {
    let can_continue = failure.resumable || !failure.answer_begun;
    if !can_continue || failure.runs >= failure.max_runs || failure.failures >= MAX_ATTEMPTS {
        return false;
    }
    match failure.execution {
        Execution::NeverRan => true,
        Execution::MayHaveRun => failure.repeatable,
        Execution::ServerEnded => false,
    }
}
