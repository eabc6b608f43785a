//! Checks of the requests that reached backend servers against what the servers had asked for.
//!
//! A server asks for a *rest* when it rejects a request with a time in its header `retry-after`;
//! it reports in answers that it is leaving; and it names a rate limit in answers. The checks
//! count requests in the way that the users count them. Times are Unix milliseconds of one
//! machine's clock.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Time after an answer with a rest or a rate limit during which requests are not counted.
const SETTLE_MS: u64 = 500;
/// Number of requests from one gateway that may reach a server during the remaining rest.
pub const MAX_REQUESTS_DURING_REST: usize = 2;
/// Time after a gateway passed on an answer of a leaving server until the server must be drained.
/// Requests that clients send to that gateway later must not reach it.
pub const DRAIN_MS: u64 = 2_000;

/// A request that reached the run of a server that it was meant for.
#[derive(Debug, Clone, PartialEq)]
pub struct Visit {
    /// Id of the server.
    pub server: String,
    /// Number of restarts of the server before this run.
    pub run: u64,
    /// Id of the request.
    pub request: String,
    /// Time of arrival.
    pub at: u64,
    /// Header value with the rest that the server asked for, if it rejected the request.
    pub shed: Option<String>,
    /// Whether the answer reported that the server is leaving. False if there was no answer.
    pub leaving: bool,
    /// Rate limit of the server when the request arrived, in requests per second.
    pub limit: Option<f64>,
    /// Whether the answer named a rate limit.
    pub told: bool,
}

impl Visit {
    /// Reads a row that the stand-in for backend servers reports.
    pub fn read(row: &Value) -> Visit {
        let text = |name: &str| row[name].as_str().map(str::to_owned);
        let number = |name: &str| row[name].as_u64().unwrap_or_default();
        Visit {
            server: text("server").unwrap_or_default(),
            run: number("run"),
            request: text("request").unwrap_or_default(),
            at: number("at"),
            shed: text("shed"),
            leaving: row["leaving"] == true,
            limit: text("limit").and_then(|text| text.parse().ok()),
            told: row["told"] == true,
        }
    }

    /// Returns the rest that the server asked for, in milliseconds, if the header is valid.
    fn rest_ms(&self) -> Option<u64> {
        let seconds: f64 = self.shed.as_ref()?.parse().ok()?;
        (seconds >= 0.0).then_some((seconds * 1_000.0) as u64)
    }
}

/// Times of a request at its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Gateway that the request was sent to.
    pub gateway: u8,
    /// Time when the request was sent.
    pub at: u64,
    /// Time when the answer had been received.
    pub answered: u64,
}

/// Requests that reached a server although it was resting or leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Excess {
    /// Id of the server.
    pub server: String,
    /// Gateway that sent the requests.
    pub gateway: u8,
    /// Rest that the server had asked for, in milliseconds, or `None` if it was leaving.
    pub rest: Option<u64>,
    /// Number of requests that reached the server.
    pub requests: usize,
    /// Start and end of the time in which requests are counted.
    pub span: (u64, u64),
    /// Ids of the request whose answer had the rest or the leave, and of the first one counted.
    pub ids: (String, String),
}

/// Returns the excess with the most requests.
pub fn worst(excesses: Vec<Excess>) -> Option<Excess> {
    excesses.into_iter().max_by_key(|excess| excess.requests)
}

/// Exempts requests from the checks, because a test disturbed a gateway or its connection to a
/// server.
pub trait Exemption {
    /// Returns whether such a disturbance happened between the two times.
    fn applies(&self, gateway: u8, server: &str, from: u64, to: u64) -> bool;
}

/// An exemption that never applies.
pub struct NoExemption;

impl Exemption for NoExemption {
    fn applies(&self, _gateway: u8, _server: &str, _from: u64, _to: u64) -> bool {
        false
    }
}

/// Returns the servers that asked a gateway for a rest and received more than
/// [`MAX_REQUESTS_DURING_REST`] requests from it during that rest.
pub fn rest_violations(
    visits: &[Visit],
    sent: &BTreeMap<String, Sent>,
    exemption: &impl Exemption,
) -> Vec<Excess> {
    let mut excesses = Vec::new();
    for ((gateway, server, _), visits) in by_gateway_and_run(visits, sent) {
        for asked in &visits {
            let Some(rest) = asked.rest_ms() else { continue };
            let span = (asked.at + SETTLE_MS, asked.at + rest);
            let arrived = visits.iter().filter(|visit| span.0 <= visit.at && visit.at <= span.1);
            let arrived =
                arrived.filter(|visit| !exemption.applies(gateway, server, asked.at, visit.at));
            let arrived: Vec<&&Visit> = arrived.collect();
            let requests = arrived.len();
            if requests > MAX_REQUESTS_DURING_REST {
                let server = server.to_owned();
                let ids = (asked.request.clone(), arrived[0].request.clone());
                excesses.push(Excess { server, gateway, rest: Some(rest), requests, span, ids });
            }
        }
    }
    excesses
}

/// Returns the servers that had reported that they leave, and received requests that clients sent
/// more than [`DRAIN_MS`] after their gateway had passed that answer on.
pub fn drain_violations(
    visits: &[Visit],
    sent: &BTreeMap<String, Sent>,
    exemption: &impl Exemption,
) -> Vec<Excess> {
    let mut excesses = Vec::new();
    for ((gateway, server, _), visits) in by_gateway_and_run(visits, sent) {
        let passed_on = visits.iter().filter(|visit| visit.leaving && visit.shed.is_none());
        let reports =
            passed_on.filter_map(|visit| Some((sent.get(&visit.request)?.answered, visit)));
        let Some((since, first)) = reports.min_by_key(|(answered, _)| *answered) else { continue };
        let span = (since + DRAIN_MS, u64::MAX);
        let sent = visits.iter().filter_map(|visit| Some((sent.get(&visit.request)?, visit)));
        let late = sent.filter(|(sent, _)| sent.at > span.0);
        let late = late.filter(|(sent, _)| !exemption.applies(gateway, server, since, sent.at));
        let late: Vec<&Visit> = late.map(|(_, visit)| *visit).collect();
        let requests = late.len();
        if requests > 0 {
            let server = server.to_owned();
            let ids = (first.request.clone(), late[0].request.clone());
            excesses.push(Excess { server, gateway, rest: None, requests, span, ids });
        }
    }
    excesses
}

/// Groups visits by gateway, server and run.
fn by_gateway_and_run<'a>(
    visits: &'a [Visit],
    sent: &BTreeMap<String, Sent>,
) -> BTreeMap<(u8, &'a str, u64), Vec<&'a Visit>> {
    let mut pairs: BTreeMap<(u8, &str, u64), Vec<&Visit>> = BTreeMap::new();
    for visit in visits {
        let Some(sent) = sent.get(&visit.request) else { continue };
        pairs.entry((sent.gateway, &visit.server, visit.run)).or_default().push(visit);
    }
    pairs
}

/// Time after the first answer that names a rate limit during which requests are not counted.
pub const LIMIT_SETTLE_MS: u64 = 3_000;
/// Length of the span over which requests at a server that names a limit are counted.
pub const LIMIT_SPAN_MS: u64 = 4_000;

/// Requests that reached a server above the rate limit that it named.
#[derive(Debug, Clone, PartialEq)]
pub struct Overrun {
    /// Id of the server.
    pub server: String,
    /// Rate limit, in requests per second.
    pub limit: f64,
    /// Number of requests of all gateways that had received the limit.
    pub requests: usize,
    /// Number of requests that are allowed.
    pub allowed: f64,
    /// Times of the first and the last of these requests.
    pub span: (u64, u64),
    /// Ids of these requests, each with its gateway.
    pub ids: Vec<(String, u8)>,
}

/// Returns the servers that received more requests within a span of [`LIMIT_SPAN_MS`] than one
/// and a half times their rate limit plus five requests. Requests of all gateways are added up
/// that had passed on an answer with the limit at least half a second earlier.
pub fn overruns(
    visits: &[Visit],
    sent: &BTreeMap<String, Sent>,
    exemption: &impl Exemption,
) -> Vec<Overrun> {
    let mut runs: BTreeMap<(&str, u64), Vec<&Visit>> = BTreeMap::new();
    for visit in visits {
        runs.entry((&visit.server, visit.run)).or_default().push(visit);
    }
    let mut overruns = Vec::new();
    for mut visits in runs.into_values() {
        visits.sort_by_key(|visit| visit.at);
        for period in visits.chunk_by(|one, next| one.limit.is_some() == next.limit.is_some()) {
            if period[0].limit.is_some() {
                overruns.extend(worst_overrun(period, sent, exemption));
            }
        }
    }
    overruns
}

/// Returns the worst overrun in a period in which a server had a limit throughout.
fn worst_overrun(
    visits: &[&Visit],
    sent: &BTreeMap<String, Sent>,
    exemption: &impl Exemption,
) -> Option<Overrun> {
    let first = visits.iter().find(|visit| visit.told)?;
    let mut received: BTreeMap<u8, u64> = BTreeMap::new();
    for sent in visits.iter().filter(|visit| visit.told).filter_map(|v| sent.get(&v.request)) {
        let passed_on = received.entry(sent.gateway).or_insert(u64::MAX);
        *passed_on = sent.answered.min(*passed_on);
    }
    let counts = |visit: &&&Visit| {
        let gateway = sent.get(&visit.request).map(|sent| sent.gateway);
        gateway.is_some_and(|gateway| {
            let received = received.get(&gateway).copied().unwrap_or(u64::MAX);
            let since = received.saturating_add(SETTLE_MS).max(first.at + LIMIT_SETTLE_MS);
            visit.at >= since && !exemption.applies(gateway, &visit.server, received, visit.at)
        })
    };
    let counted: Vec<&Visit> = visits.iter().filter(counts).copied().collect();
    let spans = counted.iter().enumerate().map(|(index, begin)| {
        let rest = &counted[index..];
        &rest[..rest.partition_point(|visit| visit.at <= begin.at + LIMIT_SPAN_MS)]
    });
    let over = spans.filter_map(|span| {
        let limit = span.iter().filter_map(|visit| visit.limit).fold(0.0, f64::max);
        let allowed = limit * 1.5 * LIMIT_SPAN_MS as f64 / 1_000.0 + 5.0;
        (span.len() as f64 > allowed).then(|| Overrun {
            server: span[0].server.clone(),
            limit,
            requests: span.len(),
            allowed,
            span: (span[0].at, span[span.len() - 1].at),
            ids: span.iter().map(|v| (v.request.clone(), sent[&v.request].gateway)).collect(),
        })
    });
    over.max_by_key(|overrun| overrun.requests)
}

/// Length of the window over which retries are counted.
pub const RETRY_WINDOW_MS: u64 = 10_000;

/// Retries that a service allows within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Part of the requests to the service.
    pub ratio: f64,
    /// Retries beyond that part.
    pub slack: f64,
}

/// More retries at the servers of a service within a window than it allows.
#[derive(Debug, Clone, PartialEq)]
pub struct Overspend {
    /// Number of arrivals beyond the first one of each request.
    pub retries: usize,
    /// Number of requests of clients to the service.
    pub requests: usize,
    /// Number of retries that are allowed.
    pub allowed: f64,
    /// Start of the window.
    pub from: u64,
}

/// Returns the window with the most retries above the allowance, over all gateways. `visits` are
/// the requests that reached servers of the service, and `sent` the times of all requests to it.
/// The requests are those of the window, of the one before it, or of the one half a window before
/// it, whichever are most.
pub fn overspend(visits: &[Visit], sent: &[u64], allowance: Allowance) -> Option<Overspend> {
    let mut visits: Vec<&Visit> = visits.iter().collect();
    visits.sort_by_key(|visit| visit.at);
    let mut seen = BTreeSet::new();
    let retries: Vec<u64> =
        visits.iter().filter(|visit| !seen.insert(&visit.request)).map(|visit| visit.at).collect();
    let requests_from =
        |from: u64| sent.iter().filter(|at| (from..from + RETRY_WINDOW_MS).contains(at)).count();
    let windows = retries.iter().enumerate().map(|(index, from)| {
        let end = retries.partition_point(|at| *at < from + RETRY_WINDOW_MS);
        let starts = [0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS];
        let starts = starts.into_iter().map(|before| from.saturating_sub(before));
        let requests = starts.map(requests_from).max().unwrap_or_default();
        let allowed = allowance.ratio * requests as f64 + allowance.slack;
        Overspend { retries: end - index, requests, allowed, from: *from }
    });
    let excess = |window: &Overspend| window.retries as f64 - window.allowed;
    let worst = windows.max_by(|one, other| excess(one).total_cmp(&excess(other)));
    worst.filter(|window| excess(window) > 0.0)
}
