//! Counts the outcomes of requests by second and availability zone.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::SystemTime;

use crate::ends;
use crate::line::{Line, Time};
use crate::outage::{Outage, Outages};
use crate::{demand, rest};

/// Zone of hosts whose zone is not in the logs.
const UNKNOWN_ZONE: &str = "?";

/// Requests of one second and zone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Row {
    /// Final answers by `outcome/reason`. Answers of a backend server are `answered/STATUS`, and
    /// complete streams are `answered/whole`.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of attempts that were sent.
    pub attempts: u64,
    /// Number of failed attempts by cause.
    pub failed: BTreeMap<String, u64>,
    /// Time to the first event of each complete stream, in milliseconds.
    pub first_ms: Vec<u64>,
    /// Longest pause of each complete stream, in milliseconds.
    pub pause_ms: Vec<u64>,
}

impl Row {
    /// Adds the counts and times of another row.
    pub fn merge(&mut self, other: &Row) {
        for (name, count) in &other.outcomes {
            *self.outcomes.entry(name.clone()).or_default() += count;
        }
        for (name, count) in &other.failed {
            *self.failed.entry(name.clone()).or_default() += count;
        }
        self.attempts += other.attempts;
        self.first_ms.extend(&other.first_ms);
        self.pause_ms.extend(&other.pause_ms);
    }

    /// Returns the number of final answers with an outcome.
    pub fn count_of(&self, outcome: &str) -> u64 {
        let has_outcome = |name: &&String| name.split('/').next() == Some(outcome);
        let names = self.outcomes.keys().filter(has_outcome);
        names.map(|name| self.outcomes[name]).sum()
    }

    /// Returns the number of all final answers.
    pub fn total(&self) -> u64 {
        self.outcomes.values().sum()
    }
}

/// A line of a driver, which is printed unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Time of the line, in seconds.
    pub at: f64,
    /// Host that wrote it.
    pub host: String,
    /// Message of the line.
    pub text: String,
}

/// Summary of a day.
#[derive(Debug, Default, PartialEq)]
pub struct Day {
    /// Requests by second and zone.
    pub rows: BTreeMap<(i64, String), Row>,
    /// Final answers by urgency and by team.
    pub demand: demand::Demand,
    /// Outages of groups.
    pub outages: Vec<Outage>,
    /// Requests that were rejected because servers ended under them, by their digest, and the
    /// number of other suspects.
    pub suspects: ends::Summary,
    /// Parts of prompts that were refused because servers ended under requests with them, and the
    /// number of other parts on such servers.
    pub parts: ends::Summary,
    /// Backend servers that requested rest or announced that they are leaving.
    pub rests: rest::Servers,
    /// Lines about drivers, such as that one was elected or deposed.
    pub drivers: Vec<Event>,
    /// Number of changes of expert maps that were decided.
    pub changes: u64,
    /// Number of losses of each dependency, by name.
    pub lost: BTreeMap<String, u64>,
    /// Number of lines that were read.
    pub lines: u64,
    /// Number of lines that could not be parsed.
    pub unparsed: u64,
}

/// Builds the summary of a day from the lines of its logs.
#[derive(Debug, Default)]
pub struct Reader {
    day: Day,
    zones: BTreeMap<String, String>,
    outages: Outages,
    suspects: ends::Suspects,
    parts: ends::Suspects,
    /// Time of day of the first line, from which seconds are counted.
    start: Option<SystemTime>,
}

impl Reader {
    /// Reads a line of a log. `host` is the host of the log; it is used if the line names no host.
    pub fn push_line(&mut self, line: &str, host: &str) {
        self.day.lines += 1;
        let Some(line) = Line::parse(line) else {
            self.day.unparsed += u64::from(!line.trim().is_empty());
            return;
        };
        if let Time::Wall(at) = line.at {
            self.start.get_or_insert(at);
        }
        let at = line.at.seconds_since(self.start.unwrap_or(SystemTime::UNIX_EPOCH));
        let host = line.host.unwrap_or(host);
        self.apply(&line, host, at);
    }

    /// Returns the summary of the lines that were read.
    pub fn finish(mut self) -> Day {
        self.day.outages = self.outages.finish();
        self.day.suspects = self.suspects.finish();
        self.day.parts = self.parts.finish();
        self.day
    }

    /// Applies a parsed line to the summary.
    fn apply(&mut self, line: &Line<'_>, host: &str, at: f64) {
        let text = line.text;
        if text.starts_with("outcome request=") {
            self.outcome(line, host, at);
        } else if text.starts_with("refused request=") {
            let reason = value(line, "reason");
            self.count(host, at, format!("refused/{reason}"));
            self.record_demand(line, "refused", &reason);
        } else if text.starts_with("attempt request=") {
            self.row(host, at).attempts += 1;
        } else if text.starts_with("attempt failed request=") {
            let cause = value(line, "cause").into_owned();
            *self.row(host, at).failed.entry(cause).or_default() += 1;
        } else if text.starts_with("group down ") {
            let ground = value(line, "ground");
            self.outages.record_down(&value(line, "group"), host, &ground, at);
        } else if text.starts_with("group up ") {
            self.outages.record_up(&value(line, "group"), host, at);
        } else if text.starts_with("server ended digest=") {
            let field = |name| value(line, name);
            let (digest, server) = (field("digest"), field("server"));
            self.suspects.record_standing(&digest, &server, &field("standing"), host, at);
        } else if text.starts_with("request ends servers ") {
            self.suspects.record_refusal(&value(line, "digest"), at);
        } else if text.starts_with("server ended under prompt part ") {
            let field = |name| value(line, name);
            let (digest, server) = (field("digest"), field("server"));
            self.parts.record_standing(&digest, &server, &field("standing"), host, at);
        } else if text.starts_with("prompt part refused ") {
            self.parts.record_verdict(&value(line, "digest"), host, at);
        } else if text.starts_with("prompt part ends servers ") {
            self.parts.record_refusal(&value(line, "digest"), at);
        } else if text.starts_with("server rests ") {
            let ms = line.millis("ms").map_or(0, |time| time.as_millis() as u64);
            self.server(line).record_rest(host, ms, at);
        } else if text.starts_with("server leaves ") {
            self.server(line).record_leave(at);
        } else if text.starts_with("driver ") {
            let event = Event { at, host: host.to_owned(), text: text.to_owned() };
            self.day.drivers.push(event);
        } else if text.starts_with("placement ") {
            self.day.changes += u64::from(line.field("change").as_deref() == Some("true"));
        } else if text.starts_with("dependency lost ") {
            let name = value(line, "name").into_owned();
            *self.day.lost.entry(name).or_default() += 1;
        } else if text.starts_with("started host=") {
            self.outages.record_start(host);
            if let Some(zone) = line.field("zone") {
                self.zones.insert(host.to_owned(), zone.into_owned());
            }
        }
    }

    /// Returns the record of the backend server that a line names.
    fn server(&mut self, line: &Line<'_>) -> &mut rest::Record {
        let server = value(line, "server").into_owned();
        self.day.rests.entry(server).or_default()
    }

    /// Counts the final answer of a request.
    fn outcome(&mut self, line: &Line<'_>, host: &str, at: f64) {
        let outcome = value(line, "outcome");
        let reason = value(line, "reason");
        self.count(host, at, format!("{outcome}/{reason}"));
        self.record_demand(line, &outcome, &reason);
        if reason != "whole" {
            return;
        }
        let millis = |name: &str| line.millis(name).map(|time| time.as_millis() as u64);
        let (first, pause) = (millis("first_ms"), millis("pause_ms"));
        let row = self.row(host, at);
        row.first_ms.extend(first);
        row.pause_ms.extend(pause);
    }

    fn record_demand(&mut self, line: &Line<'_>, outcome: &str, reason: &str) {
        let origin = (line.field("urgency"), line.field("team"));
        self.day.demand.record((origin.0.as_deref(), origin.1.as_deref()), outcome, reason);
    }

    fn count(&mut self, host: &str, at: f64, name: String) {
        *self.row(host, at).outcomes.entry(name).or_default() += 1;
    }

    fn row(&mut self, host: &str, at: f64) -> &mut Row {
        let zone = self.zones.get(host).map_or(UNKNOWN_ZONE, String::as_str);
        self.day.rows.entry((at.floor() as i64, zone.to_owned())).or_default()
    }
}

/// Returns the value of a field, or `?` if the line does not have it.
fn value<'a>(line: &Line<'a>, name: &str) -> Cow<'a, str> {
    line.field(name).unwrap_or(Cow::Borrowed("?"))
}

/// Returns the value at a quantile, where `part` is between 0 and 1, or `None` if there are no
/// values.
pub fn quantile(values: &[u64], part: f64) -> Option<u64> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * part).round() as usize).copied()
}
