//! One line of a log.

use std::time::{Duration, SystemTime};

/// A line, split.
///
/// Two forms are read: that of a single host's log, which begins with the time
/// of day, and that of logs put together, where seconds from some start and the
/// name of the host stand before it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line<'a> {
    /// When it was written.
    pub at: Time,
    /// The host that wrote it, where the line names it.
    pub host: Option<&'a str>,
    /// Its text, without the level and the module.
    pub text: &'a str,
}

/// When a line was written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Time {
    /// Seconds from the start that the logs were put together by.
    Seconds(f64),
    /// Time of day of the host.
    Wall(SystemTime),
}

impl Time {
    /// Seconds since `start`, which only counts for times of day.
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
    /// Splits a line; `None` where it is none of ours.
    pub fn parse(line: &'a str) -> Option<Line<'a>> {
        let line = line.trim();
        let (head, rest) = line.split_once(' ')?;
        if let Ok(at) = humantime::parse_rfc3339(head) {
            return Some(Line { at: Time::Wall(at), host: None, text: text(rest)? });
        }
        let seconds: f64 = head.parse().ok().filter(|seconds: &f64| seconds.is_finite())?;
        let (host, rest) = rest.split_once(' ')?;
        let (day, rest) = rest.split_once(' ')?;
        humantime::parse_rfc3339(day).ok()?;
        Some(Line { at: Time::Seconds(seconds), host: Some(host), text: text(rest)? })
    }

    /// The value of a field `name=value`; quotes around it are left out.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut rest = self.text;
        loop {
            let place = rest.find(name)?;
            let begins = place == 0 || rest.as_bytes()[place - 1] == b' ';
            let value = &rest[place + name.len()..];
            match value.strip_prefix('=') {
                Some(value) if begins => return Some(unquoted(value)),
                _ => rest = value,
            }
        }
    }

    /// A field in milliseconds.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.field(name)?.parse().ok().map(Duration::from_millis)
    }
}

/// What follows the level and the module.
fn text(rest: &str) -> Option<&str> {
    let rest = rest.strip_prefix('[')?;
    let (_level, rest) = rest.split_once("] ")?;
    let (_module, text) = rest.split_once(": ")?;
    Some(text)
}

fn unquoted(value: &str) -> &str {
    if let Some(quoted) = value.strip_prefix('"') {
        return quoted.split('"').next().unwrap_or_default();
    }
    value.split(' ').next().unwrap_or_default()
}
