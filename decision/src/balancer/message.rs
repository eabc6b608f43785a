//! What goes into the balancer and what comes out of it.

use std::fmt;
use std::time::Duration;

use crate::routing::policy;
use crate::{admission, clock, entity, outage, pace, poison};

/// A request as it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Pool that can answer it.
    pub pool: entity::Pool,
    /// Team that sent it.
    pub team: entity::Team,
    /// Precedence of its class; 0 goes first.
    pub precedence: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether another backend server can go on with a begun answer.
    pub resumable: bool,
    /// Attempts that may run at the most.
    pub max_attempts: u32,
    /// When its answer is due.
    pub deadline: clock::Instant,
    /// Until when it may wait for a backend server.
    pub expires: clock::Instant,
    /// By when its answer should begin, if that is known: it waits no longer
    /// than leaves time for it.
    pub begin_by: Option<clock::Instant>,
    /// Hash of the prompt's beginning; zero where there is none.
    pub prefix: u64,
    /// What it is, if it may have ended a backend server.
    pub suspect: Option<poison::Digest>,
}

/// Settings of the machine. [`Default`] gives what most callers take; the
/// setters change one each.
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
    /// Requests that may wait.
    pub fn capacity(mut self, capacity: usize) -> Options {
        self.capacity = capacity;
        self
    }

    /// Retries granted for each first attempt.
    pub fn retry_ratio(mut self, ratio: f64) -> Options {
        self.retry_ratio = ratio;
        self
    }

    /// Retries that may be saved up.
    pub fn retry_reserve(mut self, reserve: f64) -> Options {
        self.retry_reserve = reserve;
        self
    }

    /// Whether an attempt after one that found no slot is a retry by the
    /// budget. It is where backend servers are asked directly, so that a
    /// refused attempt costs them something.
    pub fn charge_full(mut self, charge: bool) -> Options {
        self.charge_full = charge;
        self
    }

    /// Shortest time after which a refused caller is told to come back.
    pub fn min_retry_after(mut self, time: Duration) -> Options {
        self.min_retry_after = time;
        self
    }

    /// Time after which a caller is told to come back whose pool's group is
    /// broken.
    pub fn group_retry_after(mut self, time: Duration) -> Options {
        self.group_retry_after = time;
        self
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer was whole.
    Answered,
    /// The agent refused it for want of a slot: never ran.
    Full,
    /// Nothing was sent, since the backend server has asked for rest, leaves or names
    /// a rate limit.
    Withheld,
    /// It surely never ran, for another cause.
    NeverRan,
    /// No connection to the backend server: it surely never ran, and others
    /// would not get there either.
    Unreachable,
    /// The backend server's group is broken: it surely never ran, and no other
    /// rank can run it.
    GroupDown,
    /// It ran, or may have, and there is no whole answer.
    MayHaveRun {
        /// Whether the caller has seen a part of the answer.
        answer_begun: bool,
    },
    /// The backend server ended under it.
    ServerEnded,
    /// The caller left; there is nobody to answer.
    Abandoned,
}

/// Final outcome of a request without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It truly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Admission refused it.
    Admission(admission::Refusal),
    /// The pool has no usable backend server.
    NoBackend,
    /// Its attempts are used up, or another would not be safe.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// All groups that serve the pool are broken or stand still.
    GroupDown,
    /// Its backend server ended under it.
    ServerEnded,
    /// All backend servers of the pool rest, the first one for that time.
    Resting(Duration),
    /// The rate limits of the pool's backend servers are used up; a caller that comes
    /// back after that time finds some of them left.
    Limited(Duration),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Admission(refusal) => refusal.fmt(f),
            Reason::NoBackend => f.write_str("no-backend"),
            Reason::Attempts => f.write_str("attempts"),
            Reason::Budget => f.write_str("retry-budget"),
            Reason::GroupDown => f.write_str("group-down"),
            Reason::ServerEnded => f.write_str("server-ended"),
            Reason::Resting(_) => f.write_str("servers-rest"),
            Reason::Limited(_) => f.write_str("rate-limit"),
        }
    }
}

/// A backend server that was weighed, with its score at that time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub server: entity::Server,
    /// Its score; lower is less loaded.
    pub score: f64,
}

/// A request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub ticket: entity::Ticket,
    /// Which attempt this is, from 1.
    pub attempt: u32,
    /// The choice and its reason.
    pub choice: policy::Choice,
    /// Those that were open and weighed.
    pub considered: Vec<Candidate>,
    /// Some of those that rest or leave, by what they said themselves.
    pub passed_over: Vec<entity::Server>,
    /// When it was chosen.
    pub at: clock::Instant,
}

/// A request to be given its final answer now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub ticket: entity::Ticket,
    /// What it may be told.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// A change of what is believed of a group, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// The group does not serve, for that reason.
    GroupDown(entity::Group, outage::Ground),
    /// The group serves again, after that time.
    GroupUp(entity::Group, Duration),
    /// The backend server's rest is over; it had lasted that long.
    Rested(entity::Server, Duration),
    /// It is uncertain whether the backend server leaves, as it or an earlier run said
    /// so; it gets nothing until that is settled.
    Unsettled(entity::Server),
    /// The group carries as many own streams as its bound allows.
    Bound(entity::Group, pace::Ground),
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send(Dispatch),
    /// Give a final answer.
    Refuse(Refusal),
}
