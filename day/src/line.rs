//! Parser for the lines of a log.

use std::borrow::Cow;
use std::time::{Duration, SystemTime};

use loftcove_line::field;

/// A parsed line.
///
/// Two forms are parsed. A line of a single host's log begins with the time of day. In a log merged
/// from several hosts, seconds since some start and the name of the host precede the time of day.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line<'a> {
    /// Time at which it was written.
    pub at: Time,
    /// Host that wrote it, if the line names the host.
    pub host: Option<&'a str>,
    /// Message, without the level and the module.
    pub text: &'a str,
}

/// Time at which a line was written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Time {
    /// Seconds since the start of the merged log.
    Seconds(f64),
    /// Time of day by the clock of the host.
    Wall(SystemTime),
}

impl Time {
    /// Returns the seconds since `start`. [`Time::Seconds`] is returned as it is.
    pub fn seconds_since(self, start: SystemTime) -> f64 {
        match self {
            Time::Seconds(seconds) => seconds,
            Time::Wall(at) => match at.duration_since(start) {
                Ok(since) => since.as_secs_f64(),
                Err(before) => -before.duration().as_secs_f64(),
            },
        }
    }
}

impl<'a> Line<'a> {
    /// Parses a line. Returns `None` if it does not have one of the two forms.
    pub fn parse(line: &'a str) -> Option<Line<'a>> {
        let line = line.trim();
        let (head, rest) = line.split_once(' ')?;
        if let Ok(at) = humantime::parse_rfc3339(head) {
            return Some(Line { at: Time::Wall(at), host: None, text: message(rest)? });
        }
        let seconds: f64 = head.parse().ok().filter(|seconds: &f64| seconds.is_finite())?;
        let (host, rest) = rest.split_once(' ')?;
        let (day, rest) = rest.split_once(' ')?;
        humantime::parse_rfc3339(day).ok()?;
        Some(Line { at: Time::Seconds(seconds), host: Some(host), text: message(rest)? })
    }

    /// Returns the value of a field `name=value` as it was before quotes and escapes. Text within a
    /// quoted value is not searched for fields.
    pub fn field(&self, name: &str) -> Option<Cow<'a, str>> {
        let mut rest = self.text;
        while !rest.is_empty() {
            let end = rest.find([' ', '=']).unwrap_or(rest.len());
            let (word, after) = rest.split_at(end);
            let Some(value) = after.strip_prefix('=') else {
                rest = after.strip_prefix(' ').unwrap_or(after);
                continue;
            };
            let (value, after) = field::split(value);
            if word == name {
                return Some(value);
            }
            rest = after;
        }
        None
    }

    /// Returns the value of a field in milliseconds.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.field(name)?.parse().ok().map(Duration::from_millis)
    }
}

/// Returns the message that follows the level and the module.
fn message(rest: &str) -> Option<&str> {
    let rest = rest.strip_prefix('[')?;
    let (_level, rest) = rest.split_once("] ")?;
    let (_module, text) = rest.split_once(": ")?;
    Some(text)
}
