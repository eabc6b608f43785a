//! Whether an attempt that failed may be followed by another.
//!
//! Two things decide. Safety: an attempt that surely never started may always
//! be followed, one that may have started only where the class may be
//! repeated and the caller has seen nothing of the answer. Thrift: retries
//! come out of a budget that first attempts pay into, so that an outage does
//! not multiply the load that caused it.

/// Most retries that may be saved up, where nothing else is set.
pub const RESERVE: f64 = 10.0;

/// Part of the reserve that is there at once. Processes that are restarted one
/// after the other must not bring a full reserve each.
const FIRST_PART: f64 = 0.3;

/// Attempts of one request at the most, where nothing else is set.
pub const MAX_ATTEMPTS: u32 = 4;

/// The budget of a process.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    saved: f64,
}

impl Budget {
    /// A budget of `reserve` retries, a part of which is there at once, and
    /// into which each first attempt pays `ratio` of a retry.
    pub fn new(ratio: f64, reserve: f64) -> Budget {
        Budget { ratio, reserve, saved: reserve * FIRST_PART }
    }

    /// Sets how many retries may be saved up. A first reserve is there in part.
    pub fn set_reserve(&mut self, reserve: f64) {
        if self.reserve == 0.0 {
            self.saved = reserve * FIRST_PART;
        }
        self.reserve = reserve;
        self.saved = self.saved.min(reserve);
    }

    /// A first attempt was sent.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.reserve);
    }

    /// A first attempt that was counted was not sent after all.
    pub fn cancel_deposit(&mut self) {
        self.saved = (self.saved - self.ratio).max(0.0);
    }

    /// Takes one retry out, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// What is known of an attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It never started and never will.
    NeverRan,
    /// It started, or may have.
    MayHaveRun,
    /// Its server ended while it ran, maybe by its doing. Another attempt could
    /// end the next one, which takes the requests of all others there along; the
    /// caller can ask again, and is then known.
    ServerEnded,
}

/// What the failed attempt's request is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What is known of the attempt.
    pub execution: Execution,
    /// Whether the class may be repeated.
    pub repeatable: bool,
    /// Whether the caller has seen a part of the answer.
    pub answer_begun: bool,
    /// Whether another backend server can go on with a begun answer.
    pub resumable: bool,
    /// Attempts that ran, or may have.
    pub runs: u32,
    /// Attempts that may run at the most.
    pub max_runs: u32,
    /// Attempts that failed, whether they ran or not.
    pub failures: u32,
}

/// Whether another attempt would be safe, the budget aside.
pub fn is_safe(failure: &Failure) -> bool {
    let resumed = failure.resumable || !failure.answer_begun;
    if !resumed || failure.runs >= failure.max_runs || failure.failures >= MAX_ATTEMPTS {
        return false;
    }
    match failure.execution {
        Execution::NeverRan => true,
        Execution::MayHaveRun => failure.repeatable,
        Execution::ServerEnded => false,
    }
}
