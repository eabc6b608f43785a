//! What is promised, checked on what clients and backend servers saw.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use loftcove_tests::request::Arrival;
use loftcove_tests::visits::{self, Excess, Exemption, Overrun, Sent, Visit};

use crate::client::{DEADLINE, End, Kind, Seen};
use crate::inject::Span;
use crate::plan::Process;

/// How much later than its deadline a request may end: the machine may be busy
/// with other things, and a paused process catches up first.
const LATE: Duration = Duration::from_secs(2);
/// Attempts that the routes of the soak allow.
const MAX_ATTEMPTS: usize = 2;
/// Time that a process takes to be well again after something was done to it.
const AFTER: Duration = Duration::from_millis(500);

/// A broken promise.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Breach {
    /// An answer is not the request's own or not whole.
    #[error("request {0}: its answer is not its own and whole: {1}")]
    Mixed(String, String),
    /// A request that may run once ran again, or one ran more often than allowed.
    #[error("request {0} reached {1} backend servers")]
    Repeated(String, usize),
    /// A request was told that it had not run, and had.
    #[error("request {0} ran and was answered {1}")]
    Denied(String, u16),
    /// A backend server got another request than a client sent.
    #[error("request {0} was changed on its way: {1}")]
    Changed(String, String),
    /// A request was cut off though its gateway was at most stopped as planned.
    #[error("request {0} was cut off by gateway {1}")]
    Lost(String, u8),
    /// A request had no answer long after its deadline.
    #[error("request {0} at gateway {1} took {2:?}")]
    Late(String, u8, Duration),
    /// A gateway went back to an older configuration.
    #[error("gateway {0} took the key of configuration {2} after one of {1}")]
    Back(u8, u64, u64),
    /// A gateway does not go by the newest configuration in time.
    #[error("gateway {0} does not go by configuration {1} after {2:?}")]
    Unforced(u8, u64, Duration),
    /// A planned stop took too long.
    #[error("{0:?} did not end after a planned stop")]
    Overdue(Process),
    /// A request under which servers end reached others after the third.
    #[error("{0} ended {1} servers, and reached {2} more after the third")]
    Poisoned(String, usize, usize),
    /// A request was refused for ends of servers that another one ended.
    #[error("request {0} was refused for ends that are not its own")]
    Blamed(String),
    /// A server that asked for rest, or said that it leaves, got requests.
    #[error("server {} had asked gateway {} for {:?} ms of rest (none: it leaves) in the answer to {}, and got {} requests, the first {}", .0.server, .0.gateway, .0.rest, .0.ids.0, .0.requests, .0.ids.1)]
    Disturbed(Excess),
    /// A server that named a rate limit got more than that from all gateways together.
    #[error("server {} had named {} requests a second and got {} within 4 s, {} allowed, the first {:?}", .0.server, .0.limit, .0.requests, .0.allowed, .0.ids[0])]
    Overrun(Overrun),
    /// A pass ran on two maps.
    #[error("{0} passes ran on two maps")]
    Maps(u64),
    /// Something does not work again after the faults.
    #[error("not well after the faults: {0}")]
    Unwell(String),
}

/// Retries that may reach a server after a request has ended three: the users'
/// bound, which holds from some seconds later on; here from the third end.
const RETRIES: usize = 3;

/// Requests that reached more servers than they may, by the ends of one kind of
/// servers and what reached these.
pub fn poisoned(ends: &[serde_json::Value], arrivals: &[serde_json::Value]) -> Vec<Breach> {
    let mut bodies: Vec<&str> = ends.iter().filter_map(|end| end["body"].as_str()).collect();
    bodies.sort_unstable();
    bodies.dedup();
    let check = |body: &str| {
        let own: Vec<_> = ends.iter().filter(|end| end["body"] == body).collect();
        let third = own.get(2)?["arrivals"].as_u64()? as usize;
        let later = arrivals.iter().skip(third).filter(|arrival| arrival["body"] == body).count();
        (later > RETRIES).then(|| Breach::Poisoned(body.to_owned(), own.len(), later))
    };
    bodies.into_iter().filter_map(check).collect()
}

/// Requests of clients that gateways refused, by their logs, as if they ended
/// servers.
pub fn blamed(seen: &[Seen], logs: &[(String, Vec<String>)]) -> Vec<Breach> {
    let ids: BTreeSet<&str> = requests_in(logs, "reason=ends-servers").collect();
    let blamed = seen.iter().filter(|seen| ids.contains(&*seen.id));
    blamed.map(|seen| Breach::Blamed(seen.id.clone())).collect()
}

/// Ids of the requests of which a line with that text tells.
fn requests_in<'a>(
    logs: &'a [(String, Vec<String>)],
    text: &'a str,
) -> impl Iterator<Item = &'a str> {
    let lines = logs.iter().flat_map(|(_, lines)| lines).filter(move |line| line.contains(text));
    lines.filter_map(|line| line.split_once("request=")?.1.split(' ').next())
}

/// What is known of a run.
pub struct Evidence {
    /// What clients saw.
    pub seen: Vec<Seen>,
    /// What backend servers got, by id.
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    /// What was done to processes.
    pub spans: Vec<Span>,
    /// What reached servers, also where it was refused.
    pub visits: Vec<Visit>,
    /// Times in which the links of servers were harmed.
    pub harms: Vec<(String, (Instant, Instant))>,
}

/// Time of day, Unix milliseconds, of an instant of this process.
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

/// What was done to gateways and to the links of servers.
struct Done<'a> {
    evidence: &'a Evidence,
    clock: Clock,
}

impl Done<'_> {
    fn overlaps(&self, (since, until): (Instant, Instant), from: u64, to: u64) -> bool {
        self.clock.ms(since) <= to && self.clock.ms(until + AFTER) >= from
    }
}

impl Exemption for Done<'_> {
    fn applies(&self, gateway: u8, server: &str, from: u64, to: u64) -> bool {
        let spans = &self.evidence.spans;
        let mut own = spans.iter().filter(|span| span.process == Process::Gateway(gateway));
        let mut harms = self.evidence.harms.iter().filter(|(name, _)| name == server);
        own.any(|span| self.overlaps(span.time, from, to))
            || harms.any(|(_, time)| self.overlaps(*time, from, to))
    }
}

impl Evidence {
    /// All promises that were broken to clients and backend servers.
    pub fn breaches(&self) -> Vec<Breach> {
        let mut breaches: Vec<Breach> = Vec::new();
        for seen in &self.seen {
            let arrivals = self.arrivals.get(&seen.id).map_or(&[][..], Vec::as_slice);
            breaches.extend(own(seen));
            breaches.extend(repeated(seen, arrivals.len()));
            breaches.extend(denied(seen, arrivals.len()));
            breaches.extend(arrivals.iter().find_map(|arrival| changed(seen, arrival)));
            breaches.extend(self.lost(seen, arrivals.len()));
            breaches.extend(self.late(seen));
        }
        breaches.extend(self.back());
        breaches.extend(self.disturbed());
        breaches
    }

    /// Servers that got more than they had asked for, the worst of each kind.
    fn disturbed(&self) -> Vec<Breach> {
        let done = Done { evidence: self, clock: Clock::now() };
        let sent = self.seen.iter().map(|seen| {
            let (at, answered) = (done.clock.ms(seen.time.0), done.clock.ms(seen.time.1));
            (seen.id.clone(), Sent { gateway: seen.gateway, at, answered })
        });
        let sent: BTreeMap<String, Sent> = sent.collect();
        let unrested = visits::worst(visits::rest_violations(&self.visits, &sent, &done));
        let undrained = visits::worst(visits::drain_violations(&self.visits, &sent, &done));
        let overruns =
            visits::overruns(&self.visits, &sent, &done).into_iter().map(Breach::Overrun);
        unrested.into_iter().chain(undrained).map(Breach::Disturbed).chain(overruns).collect()
    }

    /// Whether something worse than a planned stop was done to a gateway around
    /// that time.
    fn harmed(&self, gateway: u8, (from, to): (Instant, Instant)) -> bool {
        self.spans.iter().any(|span| {
            span.process == Process::Gateway(gateway)
                && !span.planned
                && span.time.0 <= to
                && span.time.1 + AFTER >= from
        })
    }

    /// A connection that ends without an answer though the request was passed on.
    fn lost(&self, seen: &Seen, arrivals: usize) -> Option<Breach> {
        let cut = seen.end == End::Closed && arrivals > 0;
        let lost = cut && !self.harmed(seen.gateway, seen.time);
        lost.then(|| Breach::Lost(seen.id.clone(), seen.gateway))
    }

    /// Answers that came to their end at a gateway, by its log, and not at the client:
    /// a connection was closed before they were written out.
    pub fn unwritten(&self, logs: &[(String, Vec<String>)]) -> Vec<Breach> {
        let answered: BTreeSet<&str> = requests_in(logs, "outcome=answered").collect();
        let cut = |seen: &&Seen| matches!(seen.end, End::Answer { whole: false, .. });
        let cut = self.seen.iter().filter(cut).filter(|seen| answered.contains(&*seen.id));
        let cut = cut.filter(|seen| !self.harmed(seen.gateway, seen.time));
        cut.map(|seen| Breach::Lost(seen.id.clone(), seen.gateway)).collect()
    }

    fn late(&self, seen: &Seen) -> Option<Breach> {
        let time = seen.time.1 - seen.time.0;
        let late = seen.end != End::NoConnection && time > DEADLINE + LATE;
        let late = late && !self.harmed(seen.gateway, seen.time);
        late.then(|| Breach::Late(seen.id.clone(), seen.gateway, time))
    }

    /// Gateways that took an older key after a newer configuration, within one
    /// life. A configuration takes its own key and the one before.
    fn back(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        let mut newest: BTreeMap<u8, (u64, Instant)> = BTreeMap::new();
        let mut seen: Vec<&Seen> = self.seen.iter().collect();
        seen.sort_by_key(|seen| seen.time.1);
        for seen in seen {
            let taken = matches!(&seen.end, End::Answer { head, .. } if head.status == 200);
            if !taken {
                continue;
            }
            let known = newest.get(&seen.gateway).copied();
            // A new life may begin with what it first hears of.
            let lives = known.is_some_and(|(_, at)| !self.restarted(seen.gateway, at, seen.time.0));
            match known {
                Some((number, at)) if lives && at < seen.time.0 && seen.key + 1 < number => {
                    breaches.push(Breach::Back(seen.gateway, number, seen.key));
                }
                Some((number, _)) if lives && number >= seen.key => {}
                _ => {
                    newest.insert(seen.gateway, (seen.key, seen.time.1));
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

fn own(seen: &Seen) -> Option<Breach> {
    let End::Answer { head, body, whole } = &seen.end else { return None };
    let mixed = |reason: String| Some(Breach::Mixed(seen.id.clone(), reason));
    if head.request.as_ref().is_some_and(|id| *id != seen.id) {
        return mixed(format!("it names {:?}", head.request));
    }
    let Some(signature) = &head.signature else {
        return if (200..300).contains(&head.status) { mixed("unsigned".to_owned()) } else { None };
    };
    let Some(server) = signature.strip_suffix(&format!(".{}", seen.id)) else {
        return mixed(format!("signed {signature}"));
    };
    match seen.kind {
        Kind::Receipt | Kind::Alert if *whole && *body != format!("answer of {server}") => {
            mixed(format!("body {body}"))
        }
        Kind::Draft(events) if head.status == 200 => {
            events_fit(events, body, *whole).and_then(mixed)
        }
        _ => None,
    }
}

/// Whether a stream has its events in order, and all of them if it is whole.
fn events_fit(events: u64, body: &str, whole: bool) -> Option<String> {
    let all: String = (1..=events).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect();
    if whole && body != all {
        return Some(format!("{} of {} bytes, and complete", body.len(), all.len()));
    }
    (!all.starts_with(body)).then(|| "its events are not in order".to_owned())
}

fn repeated(seen: &Seen, arrivals: usize) -> Option<Breach> {
    let most = if seen.kind == Kind::Receipt { 1 } else { MAX_ATTEMPTS };
    (arrivals > most).then(|| Breach::Repeated(seen.id.clone(), arrivals))
}

fn denied(seen: &Seen, arrivals: usize) -> Option<Breach> {
    let End::Answer { head, .. } = &seen.end else { return None };
    let denied = matches!(head.status, 408 | 421 | 429 | 503);
    let ran = denied && seen.kind == Kind::Receipt && arrivals > 0;
    ran.then(|| Breach::Denied(seen.id.clone(), head.status))
}

fn changed(seen: &Seen, arrival: &Arrival) -> Option<Breach> {
    let path = match seen.kind {
        Kind::Receipt => "/receipt/soak",
        Kind::Alert => "/alert/soak",
        Kind::Draft(_) => "/draft/soak",
    };
    (!arrival.is_intact(path)).then(|| Breach::Changed(seen.id.clone(), arrival.0.to_string()))
}
