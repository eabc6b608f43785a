//! Checks the records of clients and backend servers against loftcove's guarantees.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use loftcove_tests::request::Arrival;
use loftcove_tests::visits::{self, Allowance, Excess, Exemption, Overrun, Overspend, Sent, Visit};

use crate::client::{DEADLINE, End, Kind, Record};
use crate::inject::Span;
use crate::plan::Process;

/// Time after its deadline within which a request must end. The machine may be busy with other
/// work, and a paused process first handles its backlog.
const DEADLINE_TOLERANCE: Duration = Duration::from_secs(2);
/// Maximum number of attempts by the routes of the soak test.
const MAX_ATTEMPTS: usize = 2;
/// Time that a process needs to recover after a fault.
const FAULT_RECOVERY: Duration = Duration::from_millis(500);

/// A broken guarantee.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Breach {
    /// An answer belongs to another request or is incomplete.
    #[error("request {0}: answer of another request or incomplete answer: {1}")]
    WrongAnswer(String, String),
    /// A request reached more backend servers than its attempts allow.
    #[error("request {0} reached {1} backend servers")]
    TooManyAttempts(String, usize),
    /// A request ran although it was answered as not run.
    #[error("request {0} ran and was answered {1}")]
    RanButRejected(String, u16),
    /// A backend server received a request other than the one that the client sent.
    #[error("request {0} was changed in transit: {1}")]
    Changed(String, String),
    /// A request was cut off although its gateway had no fault other than a planned stop.
    #[error("request {0} was cut off by gateway {1}")]
    Lost(String, u8),
    /// A request ended long after its deadline.
    #[error("request {0} at gateway {1} took {2:?}")]
    TimedOut(String, u8, Duration),
    /// A gateway used an older configuration after a newer one.
    #[error("gateway {0} accepted the key of configuration {2} after that of configuration {1}")]
    OlderConfiguration(u8, u64, u64),
    /// A gateway did not apply the newest configuration in time.
    #[error("gateway {0} has not applied configuration {1} after {2:?}")]
    ConfigurationNotApplied(u8, u64, Duration),
    /// A process did not exit in time after a planned stop.
    #[error("{0:?} did not exit in time after a planned stop")]
    Overdue(Process),
    /// A process ended although it was not asked to, or failed after a planned stop. The last lines
    /// of its log follow.
    #[error("{0:?} ended by itself: {1}: {2}")]
    Ended(Process, std::process::ExitStatus, String),
    /// A process did not handle SIGHUP and SIGTERM within this time.
    #[error("{0:?} did not handle SIGHUP and SIGTERM within {1:?}")]
    Unhandled(Process, Duration),
    /// A request that ends servers, or requests with a part that does, reached too many servers
    /// after they had ended the number that users allow.
    #[error("{0} ended {1} servers, and reached {2} more after the first {3}")]
    Poisoned(String, usize, usize, usize),
    /// A request was rejected for ends of servers that another request or part caused.
    #[error("request {0} was rejected for ends that another request caused")]
    Blamed(String),
    /// A server received requests after it had requested rest or announced that it is leaving.
    #[error("server {} had requested from gateway {} {:?} ms of rest (none: it is leaving) in the answer to {}, and received {} requests, the first {}", .0.server, .0.gateway, .0.rest, .0.ids.0, .0.requests, .0.ids.1)]
    NoticeIgnored(Excess),
    /// A server received more requests from all gateways together than its rate limit allows.
    #[error("server {} had a limit of {} requests per second and received {} within 4 s, {} allowed, the first {:?}", .0.server, .0.limit, .0.requests, .0.allowed, .0.ids[0])]
    LimitExceeded(Overrun),
    /// The servers of a service received more retries from all gateways together than it allows.
    #[error("{} received {} retries of {} requests within 10 s, {} allowed", .0, .1.retries, .1.requests, .1.allowed)]
    TooManyRetries(&'static str, Overspend),
    /// Passes ran on two maps.
    #[error("{0} passes ran on two maps")]
    MixedMaps(u64),
    /// A gateway used more memory than it may.
    #[error("gateway {0} used {1} bytes of memory")]
    Memory(usize, u64),
    /// Something still fails after the end of the faults.
    #[error("not recovered after the faults: {0}")]
    NotRecovered(String),
}

/// Maximum number of retries that may reach a server after a request has ended [`REQUEST_ENDS`]
/// servers, or requests with one part [`PART_ENDS`]. The users' bound applies from some seconds after
/// that end; this check applies it at once.
const MAX_RETRIES: usize = 3;
const REQUEST_ENDS: usize = 3;
const PART_ENDS: usize = 5;

/// Returns what ends servers under a request with this body, and the number of ends after which
/// its retries are bounded.
fn cause(body: &str) -> (&str, usize) {
    match body.strip_prefix("part ").and_then(|rest| rest.split_once(' ')) {
        Some((caller, _)) => (&body[.."part ".len() + caller.len()], PART_ENDS),
        None => (body, REQUEST_ENDS),
    }
}

/// Returns the requests and parts that reached too many servers after these ends. `ends` and
/// `arrivals` are the ends of one kind of servers and the requests that reached these.
pub fn poisoned(ends: &[serde_json::Value], arrivals: &[serde_json::Value]) -> Vec<Breach> {
    let of = |row: &serde_json::Value| row["body"].as_str().map(|body| cause(body).0.to_owned());
    let bodies = ends.iter().filter_map(|end| end["body"].as_str());
    let causes: BTreeSet<(&str, usize)> = bodies.map(cause).collect();
    let check = |(cause, allowed): (&str, usize)| {
        let is_own = |row: &&serde_json::Value| of(row).as_deref() == Some(cause);
        let own: Vec<_> = ends.iter().filter(is_own).collect();
        let last = own.get(allowed - 1)?["arrivals"].as_u64()? as usize;
        let later = arrivals.iter().skip(last).filter(is_own).count();
        let breach = || Breach::Poisoned(cause.to_owned(), own.len(), later, allowed);
        (later > MAX_RETRIES).then(breach)
    };
    causes.into_iter().filter_map(check).collect()
}

/// Returns the requests of clients that gateways rejected, by their logs, as requests that end
/// servers or have a part that does.
pub fn blamed(records: &[Record], logs: &[(String, Vec<String>)]) -> Vec<Breach> {
    let ids = requests_in(logs, "reason=ends-servers");
    let by_part = requests_in(logs, "reason=prompt-part-ends-servers");
    let ids: BTreeSet<&str> = ids.chain(by_part).collect();
    let blamed = records.iter().filter(|record| ids.contains(&*record.id));
    blamed.map(|record| Breach::Blamed(record.id.clone())).collect()
}

/// Returns the ids of the requests in the lines that contain a text.
fn requests_in<'a>(
    logs: &'a [(String, Vec<String>)],
    text: &'a str,
) -> impl Iterator<Item = &'a str> {
    let lines = logs.iter().flat_map(|(_, lines)| lines).filter(move |line| line.contains(text));
    lines.filter_map(|line| line.split_once("request=")?.1.split(' ').next())
}

/// Records of a run.
pub struct Evidence {
    /// Requests as their clients saw them.
    pub records: Vec<Record>,
    /// Requests that reached backend servers, by their id.
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    /// Faults of processes.
    pub spans: Vec<Span>,
    /// Requests that reached servers, including rejected ones.
    pub visits: Vec<Visit>,
    /// Faults of the links of servers, with their start and end.
    pub harms: Vec<(String, (Instant, Instant))>,
}

/// Converts instants of this process to times of day, in Unix milliseconds.
struct Clock(Instant, u64);

impl Clock {
    fn now() -> Clock {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock(Instant::now(), since.as_millis() as u64)
    }

    fn ms(&self, at: Instant) -> u64 {
        self.1 - self.0.saturating_duration_since(at).as_millis() as u64
    }
}

/// Excuses a gateway and a server during faults of the gateway and of the server's links.
struct Faults<'a> {
    evidence: &'a Evidence,
    clock: Clock,
}

impl Faults<'_> {
    fn overlaps(&self, (since, until): (Instant, Instant), from: u64, to: u64) -> bool {
        self.clock.ms(since) <= to && self.clock.ms(until + FAULT_RECOVERY) >= from
    }
}

impl Exemption for Faults<'_> {
    fn applies(&self, gateway: u8, server: &str, from: u64, to: u64) -> bool {
        let spans = &self.evidence.spans;
        let mut own = spans.iter().filter(|span| span.process == Process::Gateway(gateway));
        let mut harms = self.evidence.harms.iter().filter(|(name, _)| name == server);
        own.any(|span| self.overlaps(span.time, from, to))
            || harms.any(|(_, time)| self.overlaps(*time, from, to))
    }
}

impl Evidence {
    /// Returns all broken guarantees to clients and backend servers.
    pub fn breaches(&self) -> Vec<Breach> {
        let mut breaches: Vec<Breach> = Vec::new();
        for record in &self.records {
            let arrivals = self.arrivals.get(&record.id).map_or(&[][..], Vec::as_slice);
            breaches.extend(wrong_answer(record, self.was_cut(record, arrivals)));
            breaches.extend(too_many_attempts(record, arrivals.len()));
            breaches.extend(ran_but_rejected(record, arrivals.len()));
            breaches.extend(arrivals.iter().find_map(|arrival| changed(record, arrival)));
            breaches.extend(self.lost(record, arrivals.len()));
            breaches.extend(self.late(record));
        }
        breaches.extend(self.older_configurations());
        breaches.extend(self.ignored_notices());
        breaches
    }

    /// Returns the servers that received too many requests after a notice or over their limit: the
    /// worst case of each notice, and every case of a limit.
    fn ignored_notices(&self) -> Vec<Breach> {
        let faults = Faults { evidence: self, clock: Clock::now() };
        let sent = self.records.iter().map(|record| {
            let (at, answered) = (faults.clock.ms(record.time.0), faults.clock.ms(record.time.1));
            (record.id.clone(), Sent { gateway: record.gateway, at, answered })
        });
        let sent: BTreeMap<String, Sent> = sent.collect();
        let unrested = visits::worst(visits::rest_violations(&self.visits, &sent, &faults));
        let undrained = visits::worst(visits::drain_violations(&self.visits, &sent, &faults));
        let overruns =
            visits::overruns(&self.visits, &sent, &faults).into_iter().map(Breach::LimitExceeded);
        unrested.into_iter().chain(undrained).map(Breach::NoticeIgnored).chain(overruns).collect()
    }

    /// Returns the services whose servers received more retries than they allow. No fault excuses
    /// them: the allowance is one for all processes of a window.
    pub fn overspent(&self, allowance: Allowance) -> Vec<Breach> {
        let clock = Clock::now();
        let check = |(service, ranks): (&'static str, bool)| {
            let of_service = |visit: &&Visit| visit.server.starts_with("rank") == ranks;
            let visits: Vec<Visit> = self.visits.iter().filter(of_service).cloned().collect();
            let to_service = |record: &&Record| matches!(record.kind, Kind::Draft(_)) == ranks;
            let sent = self.records.iter().filter(to_service);
            let sent: Vec<u64> = sent.map(|record| clock.ms(record.time.0)).collect();
            let over = visits::overspend(&visits, &sent, allowance)?;
            Some(Breach::TooManyRetries(service, over))
        };
        [("ranks", true), ("plain servers", false)].into_iter().filter_map(check).collect()
    }

    /// Returns whether a link fault may have closed the connection of a response that only the end
    /// of the connection marks. If it closed between two events, nothing shows that the response
    /// is not complete.
    fn was_cut(&self, record: &Record, arrivals: &[Arrival]) -> bool {
        let reached = |name: &str| arrivals.iter().any(|arrival| arrival.0["server"] == name);
        let (from, to) = record.time;
        let mut harms = self.harms.iter().filter(|(name, _)| reached(name));
        record.unframed && harms.any(|(_, time)| time.0 <= to && time.1 >= from)
    }

    /// Returns whether a gateway had a fault other than a planned stop around a time.
    fn had_fault(&self, gateway: u8, (from, to): (Instant, Instant)) -> bool {
        self.spans.iter().any(|span| {
            span.process == Process::Gateway(gateway)
                && !span.planned
                && span.time.0 <= to
                && span.time.1 + FAULT_RECOVERY >= from
        })
    }

    /// Returns a breach if the connection ended without an answer although the request had reached
    /// a backend server.
    fn lost(&self, record: &Record, arrivals: usize) -> Option<Breach> {
        let cut = record.end == End::Closed && arrivals > 0;
        let lost = cut && !self.had_fault(record.gateway, record.time);
        lost.then(|| Breach::Lost(record.id.clone(), record.gateway))
    }

    /// Returns the answers that were complete at a gateway, by its log, but not at the client: the
    /// connection was closed before they were written.
    pub fn cut_answers(&self, logs: &[(String, Vec<String>)]) -> Vec<Breach> {
        let answered: BTreeSet<&str> = requests_in(logs, "outcome=answered").collect();
        let cut = |record: &&Record| matches!(record.end, End::Answer { whole: false, .. });
        let cut = self.records.iter().filter(cut).filter(|record| answered.contains(&*record.id));
        let cut = cut.filter(|record| !self.had_fault(record.gateway, record.time));
        cut.map(|record| Breach::Lost(record.id.clone(), record.gateway)).collect()
    }

    /// Returns a breach if a request ended long after its deadline.
    fn late(&self, record: &Record) -> Option<Breach> {
        let time = record.time.1 - record.time.0;
        let late = record.end != End::NoConnection && time > DEADLINE + DEADLINE_TOLERANCE;
        let late = late && !self.had_fault(record.gateway, record.time);
        late.then(|| Breach::TimedOut(record.id.clone(), record.gateway, time))
    }

    /// Returns the gateways that accepted an outdated key after they had applied a newer
    /// configuration, within one run of their process. A configuration accepts its own key and the
    /// previous one.
    fn older_configurations(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        let mut newest: BTreeMap<u8, (u64, Instant)> = BTreeMap::new();
        let mut records: Vec<&Record> = self.records.iter().collect();
        records.sort_by_key(|record| record.time.1);
        for record in records {
            let accepted = matches!(&record.end, End::Answer { head, .. } if head.status == 200);
            if !accepted {
                continue;
            }
            let known = newest.get(&record.gateway).copied();
            // A new run may start with an older configuration, which is the first that it receives.
            let same_run =
                known.is_some_and(|(_, at)| !self.restarted(record.gateway, at, record.time.0));
            match known {
                Some((number, at)) if same_run && at < record.time.0 && record.key + 1 < number => {
                    breaches.push(Breach::OlderConfiguration(record.gateway, number, record.key));
                }
                Some((number, _)) if same_run && number >= record.key => {}
                _ => {
                    newest.insert(record.gateway, (record.key, record.time.1));
                }
            }
        }
        breaches
    }

    fn restarted(&self, gateway: u8, from: Instant, to: Instant) -> bool {
        self.spans.iter().any(|span| {
            span.process == Process::Gateway(gateway) && span.time.0 <= to && span.time.1 >= from
        })
    }
}

/// Returns a breach if the answer belongs to another request or is incomplete. With `was_cut`, it may
/// look complete after any event.
fn wrong_answer(record: &Record, was_cut: bool) -> Option<Breach> {
    let End::Answer { head, body, whole } = &record.end else { return None };
    let breach = |reason: String| Some(Breach::WrongAnswer(record.id.clone(), reason));
    if head.request.as_ref().is_some_and(|id| *id != record.id) {
        return breach(format!("it names {:?}", head.request));
    }
    let Some(signature) = &head.signature else {
        return if (200..300).contains(&head.status) {
            breach("unsigned".to_owned())
        } else {
            None
        };
    };
    let Some(server) = signature.strip_suffix(&format!(".{}", record.id)) else {
        return breach(format!("signed {signature}"));
    };
    // It has no second response.
    if record.invalid_head && record.kind == Kind::Receipt {
        return breach(format!("status {} of an invalid head", head.status));
    }
    match record.kind {
        Kind::Receipt | Kind::Alert
            if *whole && !was_cut && *body != format!("answer of {server}") =>
        {
            breach(format!("body {body}"))
        }
        Kind::Draft(events) if head.status == 200 => {
            stream_fault(events, record.padding, body, *whole && !was_cut).and_then(breach)
        }
        _ => None,
    }
}

/// Returns what is wrong with a stream: its events must be in order, and complete if it is whole. The
/// events of the first attempt, and those of the ones that continue it, have a padding each.
fn stream_fault(
    events: u64,
    (first, next): (usize, usize),
    body: &str,
    whole: bool,
) -> Option<String> {
    let (mut rest, mut resumed, mut number) = (body, false, 1);
    while number <= events {
        let strip = |padding: usize| {
            let padding = "x".repeat(padding);
            rest.strip_prefix(&*format!("id: {number}\ndata: piece {number}{padding}\n\n"))
        };
        let of_first = strip(first).filter(|_| !resumed);
        let Some(left) = of_first.or_else(|| strip(next)) else { break };
        (rest, resumed, number) = (left, of_first.is_none(), number + 1);
    }
    if whole && (number <= events || !rest.is_empty()) {
        return Some(format!("{} of {events} events, and complete", number - 1));
    }
    let inside = !body.is_empty() && !body.ends_with("\n\n");
    let fault = if inside { "a part of an event" } else { "events are not in order" };
    (!rest.is_empty()).then(|| fault.to_owned())
}

/// Returns a breach if the request reached too many backend servers.
fn too_many_attempts(record: &Record, arrivals: usize) -> Option<Breach> {
    let max = if record.kind == Kind::Receipt { 1 } else { MAX_ATTEMPTS };
    (arrivals > max).then(|| Breach::TooManyAttempts(record.id.clone(), arrivals))
}

/// Returns a breach if a request that may run only once ran although it was answered as not run.
fn ran_but_rejected(record: &Record, arrivals: usize) -> Option<Breach> {
    let End::Answer { head, .. } = &record.end else { return None };
    let rejected = matches!(head.status, 408 | 421 | 429 | 503);
    let ran = rejected && record.kind == Kind::Receipt && arrivals > 0;
    ran.then(|| Breach::RanButRejected(record.id.clone(), head.status))
}

/// Returns a breach if a request reached a backend server changed.
fn changed(record: &Record, arrival: &Arrival) -> Option<Breach> {
    let path = match record.kind {
        Kind::Receipt => "/receipt/soak",
        Kind::Alert => "/alert/soak",
        Kind::Draft(_) => "/draft/soak",
    };
    (!arrival.is_intact(path)).then(|| Breach::Changed(record.id.clone(), arrival.0.to_string()))
}
