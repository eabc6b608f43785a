//! What a backend server says of its own near future in an answer.

use std::fmt;
use std::time::Duration;

use crate::clock;

/// Longest rest that is kept; a longer one is cut to it. Runs of backend servers last for
/// hours at the most between two releases, so this is as good as "until its
/// end", and keeps sums of times far from overflow.
pub const LONGEST_REST: Duration = Duration::from_secs(24 * 60 * 60);

/// How long a backend server wants no request from whom it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Rest {
    /// It asks for none.
    #[default]
    None,
    /// It wants none for that time, from the moment of its answer.
    For(Duration),
    /// It asks for some, and for how long cannot be read.
    Unreadable,
}

/// What an answer says besides its request's own matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Whether it wants a rest.
    pub rest: Rest,
    /// Whether it is about to end: it wants nothing new in this run.
    pub leaving: bool,
}

impl Notice {
    /// Whether it says nothing.
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

/// Longest part of a rest by which a gateway comes back later than it may, and
/// the longest such time: gateways that were refused together come back one
/// after the other. 300 of them that were asked for 3 s come over 0.75 s.
const RETURN_JITTER: (f64, Duration) = (0.25, Duration::from_secs(1));

/// What has changed by a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It gets nothing for that time.
    Rests(Duration),
    /// It gets nothing more in this run.
    Leaves,
}

/// Whether a backend server that rested may take requests again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Trial {
    /// It may.
    #[default]
    Passed,
    /// It gets one request, to see whether it takes it.
    Due,
    /// That one is on its way.
    Sent,
}

/// Whether a run leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Departure {
    /// It has not said so.
    #[default]
    None,
    /// It or an earlier run under its id has said so.
    Unsettled,
    /// It has said so.
    Announced,
}

/// Longest part of a rest that a run takes over from an earlier one: a restart is how
/// operators end a longer one that was asked for by mistake.
const MAX_INHERITED_REST: Duration = Duration::from_secs(60);

/// What a run of a backend server has said, as far as it still holds. Only that
/// run's end or time lifts it: a later answer that says nothing does not.
#[derive(Debug, Clone, Default)]
pub struct Standing {
    /// Until when it rests; past where it does not.
    until: clock::Instant,
    /// Since when it has rested without a break.
    since: clock::Instant,
    /// Whether a rest is going on that has not been seen to end.
    resting: bool,
    trial: Trial,
    departure: Departure,
}

impl Standing {
    /// Takes a notice that was read at that time; `jitter`, from 0 to 1, says how
    /// late within the spread it gets requests again.
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

    /// Returns the change where a rest begins; one that is asked for within
    /// another only moves its end, and never forward.
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

    /// Whether it wants nothing at present.
    pub fn rests(&self, now: clock::Instant) -> bool {
        self.resting && now < self.until
    }

    /// Until when it wants nothing.
    pub fn until(&self) -> clock::Instant {
        self.until
    }

    /// Takes over what an earlier run under the same id said: this run may have said it
    /// itself, as a restarted server serves before its entry tells the new start.
    /// Returns whether it is no longer certain that this run stays.
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

    /// Whether it has said that it leaves, or may have.
    pub fn leaving(&self) -> bool {
        self.departure != Departure::None
    }

    /// Whether it is uncertain which run said that it leaves.
    pub fn unsettled(&self) -> bool {
        self.departure == Departure::Unsettled
    }

    /// Settles whether it leaves, where that is uncertain.
    pub fn settle(&mut self, leaving: bool) {
        if self.unsettled() {
            self.departure = if leaving { Departure::Announced } else { Departure::None };
        }
    }

    /// Whether it may get one more request now. After a rest it gets one alone,
    /// until it has begun to answer it: few at first, and more only if it takes them.
    pub fn admits(&self, now: clock::Instant) -> bool {
        !self.leaving() && !self.rests(now) && self.trial != Trial::Sent
    }

    /// A request is sent to it.
    pub fn sent(&mut self) {
        if self.trial == Trial::Due {
            self.trial = Trial::Sent;
        }
    }

    /// It answers a request that was sent then.
    pub fn answered(&mut self, sent: clock::Instant) {
        if sent >= self.until {
            self.trial = Trial::Passed;
        }
    }

    /// A request that was sent then is over, with an answer or without.
    pub fn request_ended(&mut self, sent: clock::Instant) {
        if self.trial == Trial::Sent && sent >= self.until {
            self.trial = Trial::Due;
        }
    }

    /// Notes the end of a rest: how long it lasted, once.
    pub fn end_rest(&mut self, now: clock::Instant) -> Option<Duration> {
        if !self.resting || now < self.until {
            return None;
        }
        self.resting = false;
        Some(self.until.since(self.since))
    }
}
