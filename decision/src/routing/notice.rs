//! Announcements of a backend server about itself, in its responses.
//!
//! A server can ask for a *rest*, a time during which it wants no requests from the
//! gateway that it answers, and can announce that it *leaves*, which means that it wants
//! no new requests in this run. After a rest, the first request is a trial: the server
//! gets no other one until it has begun to answer it.

use std::fmt;
use std::time::Duration;

use crate::clock;

/// Longest rest; a longer one is truncated to it. A run of a backend server lasts for
/// hours at most between two releases, so this amounts to "until the run ends", and it
/// keeps sums of times far from overflow.
pub const LONGEST_REST: Duration = Duration::from_secs(24 * 60 * 60);

/// Rest that a response asks for: the server wants no requests from this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Rest {
    /// The server asks for no rest.
    #[default]
    None,
    /// The server asks for a rest of this duration, from the time of its response.
    For(Duration),
    /// The server asks for a rest whose duration cannot be parsed.
    Unreadable,
}

/// Announcements of the server in one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Rest that the server asks for.
    pub rest: Rest,
    /// Whether the server is about to exit and wants no new requests in this run.
    pub leaving: bool,
}

impl Notice {
    /// Returns whether the notice announces nothing.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}

impl fmt::Display for Rest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rest::None => f.write_str("-"),
            Rest::For(time) => write!(f, "{}", time.as_millis()),
            Rest::Unreadable => f.write_str("unreadable"),
        }
    }
}

/// Maximum delay after a rest before a gateway sends again, as a fraction of the rest and
/// as an absolute time. It spreads out gateways that were rejected together: 300 gateways
/// that were asked for a rest of 3 s return over 0.75 s.
const RETURN_JITTER: (f64, Duration) = (0.25, Duration::from_secs(1));

/// State change that a notice caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server starts to rest for this time and gets no requests.
    Rests(Duration),
    /// The server leaves and gets no more requests in this run.
    Leaves,
}

/// State of the trial request after a rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Trial {
    /// The server accepted the trial request, or never rested.
    #[default]
    Passed,
    /// The next request is the trial request.
    Due,
    /// The trial request is in flight.
    Sent,
}

/// Whether a run leaves, as far as the server has announced it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Departure {
    /// No departure was announced.
    #[default]
    None,
    /// Either this run or an earlier one under the same id announced its departure.
    Unsettled,
    /// This run announced its departure.
    Announced,
}

/// Longest rest that a run inherits from an earlier one. Operators restart a server to end
/// a longer rest that was requested by mistake.
const MAX_INHERITED_REST: Duration = Duration::from_secs(60);

/// Announcements of a run of a backend server that are still in force. They are lifted
/// only when they expire or the run ends, not by a later response without a notice.
#[derive(Debug, Clone, Default)]
pub struct Standing {
    /// End of the rest; in the past if the server does not rest.
    until: clock::Instant,
    /// Start of the current uninterrupted rest.
    since: clock::Instant,
    /// Whether a rest has begun whose end was not yet reported by [`Standing::end_rest`].
    resting: bool,
    trial: Trial,
    departure: Departure,
}

impl Standing {
    /// Applies a notice that was received at `now`. `jitter`, from 0 to 1, is the fraction
    /// of [`RETURN_JITTER`] by which the server gets requests later.
    pub fn apply(&mut self, notice: &Notice, jitter: f64, now: clock::Instant) -> Option<Change> {
        let leaves = notice.leaving && self.departure != Departure::Announced;
        if notice.leaving {
            self.departure = Departure::Announced;
        }
        let rests = match notice.rest {
            Rest::For(time) if !time.is_zero() => self.rest(time.min(LONGEST_REST), jitter, now),
            Rest::For(_) | Rest::None | Rest::Unreadable => None,
        };
        if leaves { Some(Change::Leaves) } else { rests }
    }

    /// Starts or extends a rest. Returns the change if a rest starts. A request for a rest
    /// during another one only moves its end, and never to an earlier time.
    fn rest(&mut self, time: Duration, jitter: f64, now: clock::Instant) -> Option<Change> {
        let delay =
            time.mul_f64(RETURN_JITTER.0).min(RETURN_JITTER.1).mul_f64(jitter.clamp(0.0, 1.0));
        self.until = self.until.max(now + time + delay);
        self.trial = Trial::Due;
        if self.resting {
            return None;
        }
        (self.resting, self.since) = (true, now);
        Some(Change::Rests(self.until.since(now)))
    }

    /// Returns whether the server rests.
    pub fn rests(&self, now: clock::Instant) -> bool {
        self.resting && now < self.until
    }

    /// Returns the end of the latest rest.
    pub fn until(&self) -> clock::Instant {
        self.until
    }

    /// Inherits the announcements of an earlier run under the same id. They may come from
    /// this run, as a restarted server serves before its entry has the new start time.
    /// Returns whether this makes it uncertain whether the run leaves.
    pub fn inherit(&mut self, earlier: &Standing, now: clock::Instant) -> bool {
        if earlier.rests(now) {
            self.until = self.until.max(earlier.until.min(now + MAX_INHERITED_REST));
            self.trial = Trial::Due;
            self.since = if self.resting { self.since } else { now };
            self.resting = true;
        }
        let unsettled = earlier.leaving() && self.departure == Departure::None;
        if unsettled {
            self.departure = Departure::Unsettled;
        }
        unsettled
    }

    /// Returns whether the run announced its departure, or may have.
    pub fn leaving(&self) -> bool {
        self.departure != Departure::None
    }

    /// Returns whether it is uncertain which run announced its departure.
    pub fn unsettled(&self) -> bool {
        self.departure == Departure::Unsettled
    }

    /// Sets whether the run leaves, if that is uncertain.
    pub fn settle(&mut self, leaving: bool) {
        if self.unsettled() {
            self.departure = if leaving { Departure::Announced } else { Departure::None };
        }
    }

    /// Returns whether the server may get one more request. After a rest it gets a single
    /// trial request, and further ones only once it has begun to answer that one.
    pub fn admits(&self, now: clock::Instant) -> bool {
        !self.leaving() && !self.rests(now) && self.trial != Trial::Sent
    }

    /// Records that a request is sent to the server.
    pub fn sent(&mut self) {
        if self.trial == Trial::Due {
            self.trial = Trial::Sent;
        }
    }

    /// Records that the server began to answer a request that was sent at `sent`.
    pub fn answered(&mut self, sent: clock::Instant) {
        if sent >= self.until {
            self.trial = Trial::Passed;
        }
    }

    /// Records that a request that was sent at `sent` ended, with or without a response.
    pub fn request_ended(&mut self, sent: clock::Instant) {
        if self.trial == Trial::Sent && sent >= self.until {
            self.trial = Trial::Due;
        }
    }

    /// Ends a rest whose time is over. Returns its duration, once for each rest.
    pub fn end_rest(&mut self, now: clock::Instant) -> Option<Duration> {
        if !self.resting || now < self.until {
            return None;
        }
        self.resting = false;
        Some(self.until.since(self.since))
    }
}
