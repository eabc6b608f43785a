//! Input and output types of the balancer.

use std::fmt;
use std::time::Duration;

use crate::routing::policy;
use crate::{admission, clock, entity, outage, pace, poison, retry, shortage};

/// A request that arrives at the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Pool whose backend servers can answer the request.
    pub pool: entity::Pool,
    /// Team that sent the request.
    pub team: entity::Team,
    /// Precedence of the request class; 0 is dispatched first.
    pub precedence: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether another backend server can continue an answer that has begun.
    pub resumable: bool,
    /// Maximum number of attempts that may run.
    pub max_attempts: u32,
    /// Time by which the answer must be complete.
    pub deadline: clock::Instant,
    /// Time until which the request may wait for a backend server.
    pub expires: clock::Instant,
    /// Time by which the answer should begin, if known. The request does not wait so long
    /// that its answer would be expected to begin later.
    pub begin_by: Option<clock::Instant>,
    /// Hash of the prompt prefix; zero if there is none.
    pub prefix: u64,
    /// Digest of the request if it is a suspect, which may have ended a backend server.
    pub suspect: Option<poison::Digest>,
}

/// Settings of the balancer. [`Default`] gives the usual values; each setter changes one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    pub(super) capacity: usize,
    pub(super) retry_ratio: f64,
    pub(super) retry_reserve: f64,
    pub(super) charge_full: bool,
    pub(super) min_retry_after: Duration,
    pub(super) group_retry_after: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            capacity: 1_024,
            retry_ratio: 0.1,
            retry_reserve: crate::retry::RESERVE,
            charge_full: false,
            min_retry_after: Duration::from_secs(1),
            group_retry_after: Duration::from_secs(2),
        }
    }
}

impl Options {
    /// Sets the maximum number of waiting requests.
    pub fn capacity(mut self, capacity: usize) -> Options {
        self.capacity = capacity;
        self
    }

    /// Sets the number of retries that each request adds to the budget.
    pub fn retry_ratio(mut self, ratio: f64) -> Options {
        self.retry_ratio = ratio;
        self
    }

    /// Sets the maximum number of retries that the budget accumulates.
    pub fn retry_reserve(mut self, reserve: f64) -> Options {
        self.retry_reserve = reserve;
        self
    }

    /// Sets whether an attempt after one that found no slot is charged to the retry budget.
    /// It is where requests are sent to backend servers directly, because a rejected
    /// attempt costs them work.
    pub fn charge_full(mut self, charge: bool) -> Options {
        self.charge_full = charge;
        self
    }

    /// Sets the minimum retry delay for the client of a rejected request.
    pub fn min_retry_after(mut self, time: Duration) -> Options {
        self.min_retry_after = time;
        self
    }

    /// Sets the retry delay for clients of a pool whose groups are unavailable.
    pub fn group_retry_after(mut self, time: Duration) -> Options {
        self.group_retry_after = time;
        self
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer is complete.
    Answered,
    /// The attempt was rejected because no slot was free: it never ran.
    Full,
    /// Nothing was sent because the selected backend server has asked for rest, leaves or
    /// has a rate limit.
    Withheld,
    /// The attempt certainly never ran, for another reason.
    NeverRan,
    /// The backend server could not be connected to: the attempt certainly never ran, and
    /// other requests would not reach the server either.
    Unreachable,
    /// The group of the backend server is broken: the attempt certainly never ran, and no
    /// other rank of the group can run it.
    GroupDown,
    /// The attempt ran or may have run, and there is no complete answer.
    MayHaveRun {
        /// Whether the client has received a part of the answer.
        answer_begun: bool,
    },
    /// The host of the backend server did not acknowledge the request in time. The attempt may
    /// have run, and other requests would most likely not be acknowledged either.
    Unacknowledged {
        /// Whether the client has received a part of the answer, from an earlier attempt.
        answer_begun: bool,
    },
    /// The backend server ended while it ran the attempt.
    ServerEnded,
    /// The answer broke off, and no other backend server can continue it.
    BrokenOff {
        /// Whether the backend server ended while it ran the attempt.
        server_ended: bool,
    },
    /// The client has disconnected, so there is nobody to answer.
    Abandoned,
}

impl End {
    /// Returns whether nothing follows for the request.
    pub fn is_final(self) -> bool {
        matches!(self, End::Answered | End::Abandoned | End::BrokenOff { .. })
    }
}

/// The final outcome of a request without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The reason why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Admission rejected the request.
    Admission(admission::Refusal),
    /// The pool has no usable backend server.
    NoBackend,
    /// The attempts are used up, or another one would not be safe.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// All groups that serve the pool are unavailable, and ranks or entries report that the
    /// group is broken.
    Broken,
    /// All groups that serve the pool are unavailable, and the streams of the group have no
    /// events.
    Stalled,
    /// All groups that serve the pool are unavailable, and no rank can be connected to.
    Unreached,
    /// The bound on the streams of the groups or the queue does not let the answer begin in time.
    Shortage,
    /// The backend server ended while it ran the request.
    ServerEnded,
    /// All backend servers of the pool rest. The first rest ends after the given time.
    Resting(Duration),
    /// The rate limits of the pool's backend servers are used up. A client that retries
    /// after the given time can be served within them.
    Limited(Duration),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Admission(refusal) => refusal.fmt(f),
            Reason::NoBackend => f.write_str("no-backend"),
            Reason::Attempts => f.write_str("attempts"),
            Reason::Budget => f.write_str("retry-budget"),
            Reason::Broken => f.write_str("broken"),
            Reason::Stalled => f.write_str("stalled"),
            Reason::Shortage => f.write_str("shortage"),
            Reason::Unreached => f.write_str("unreached"),
            Reason::ServerEnded => f.write_str("server-ended"),
            Reason::Resting(_) => f.write_str("servers-rest"),
            Reason::Limited(_) => f.write_str("rate-limit"),
        }
    }
}

/// A backend server that was considered for a request, with its score at that time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub server: entity::Server,
    /// The score; lower is less loaded.
    pub score: f64,
}

/// An attempt to be sent to a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub ticket: entity::Ticket,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The selected backend server and the reason.
    pub choice: policy::Choice,
    /// Open backend servers that were considered.
    pub considered: Vec<Candidate>,
    /// Some of the backend servers that were excluded because they rest, leave or have
    /// used up a rate limit.
    pub passed_over: Vec<entity::Server>,
    /// Time of the selection.
    pub at: clock::Instant,
}

/// An attempt that replaces the one of a stream that runs on a slow rank. The attempt on the slow
/// rank is to be dropped, and the stream resumed after its last event.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The new attempt.
    pub dispatch: Dispatch,
    /// The slow rank.
    pub from: entity::Server,
    /// Slowness of that rank, as a multiple of the usual time.
    pub slowness: f64,
}

/// The capacity of a pool's groups as one gateway knows it, in streams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Streams that this gateway may have in flight.
    pub bound: f64,
    /// Streams of this gateway in flight.
    pub in_flight: u32,
    /// Streams of all gateways together, by recent answers.
    pub streams: f64,
    /// Streams of all gateways together that fit.
    pub fitting: f64,
    /// Time since the last answer that reported the number of streams of its rank.
    pub age: Duration,
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "bound={:.1} in_flight={} streams={:.0} fitting={:.0} age_ms={}",
            self.bound,
            self.in_flight,
            self.streams,
            self.fitting,
            self.age.as_millis()
        )
    }
}

/// A request to be rejected now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// The request.
    pub ticket: entity::Ticket,
    /// Outcome to report to the client.
    pub outcome: Outcome,
    /// Reason of the rejection.
    pub reason: Reason,
    /// Time after which the client should retry.
    pub retry_after: Duration,
    /// Capacity that was known, if the reason is [`Reason::Shortage`].
    pub capacity: Option<Capacity>,
}

/// A state change of a group or backend server, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// The group became unavailable for the given reason.
    GroupDown(entity::Group, outage::Ground),
    /// The group is available again after the given time.
    GroupUp(entity::Group, Duration),
    /// The rest of the backend server ended after the given time.
    Rested(entity::Server, Duration),
    /// The record of a run that is no longer listed was removed.
    Removed(entity::Server),
    /// It is uncertain whether the backend server leaves, because either it or an earlier
    /// run announced it. The server gets no requests until this is settled.
    Unsettled(entity::Server),
    /// The group carries as many streams of this gateway as its bound allows.
    Bound(entity::Group, pace::Bound),
    /// The retry budget of the pool did not allow a retry. Noted at most once per second for
    /// each pool.
    BudgetUsedUp(entity::Pool, retry::Status),
    /// The limit of a precedence or team holds requests for the group's pool back although the
    /// bound has room.
    Shortage(entity::Group, shortage::Limit),
}

/// An action that the owner of the balancer must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send(Dispatch),
    /// Replace the attempt of a request in flight.
    Move(Move),
    /// Reject a request.
    Refuse(Refusal),
}
