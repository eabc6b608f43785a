//! Requests as they reached backend servers, and whether these got more than
//! they had asked for.
//!
//! Counts as the users do. Times are Unix milliseconds of one machine's clock.

use std::collections::BTreeMap;

use serde_json::Value;

/// Time after an answer that asks for rest from which on requests count.
const SETTLE_MS: u64 = 500;
/// Requests that may reach a server from one gateway in the rest of that time.
pub const MAX_REQUESTS_DURING_REST: usize = 2;
/// Time after a gateway passed on that a server leaves from which on no request
/// that a client sends may reach it.
pub const DRAIN_MS: u64 = 2_000;

/// A request that reached the run of a server that it was meant for.
#[derive(Debug, Clone, PartialEq)]
pub struct Visit {
    /// The server.
    pub server: String,
    /// How often it had started again before.
    pub run: u64,
    /// Id of the request.
    pub request: String,
    /// When it came.
    pub at: u64,
    /// The rest that the server asked for, as its header said it, where it
    /// refused the request.
    pub shed: Option<String>,
    /// Whether its answer said that the server leaves; not where none was given.
    pub leaving: bool,
    /// The rate limit that the server named as the request came, requests a second.
    pub limit: Option<f64>,
    /// Whether its answer named one.
    pub told: bool,
}

impl Visit {
    /// Reads what the servers' stand-in tells.
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

    /// The rest that it asked for, where the header can be read.
    fn rest(&self) -> Option<u64> {
        let seconds: f64 = self.shed.as_ref()?.parse().ok()?;
        (seconds >= 0.0).then_some((seconds * 1_000.0) as u64)
    }
}

/// A request as its client sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Gateway that it was sent to.
    pub gateway: u8,
    /// When it was sent.
    pub at: u64,
    /// When its answer had come.
    pub answered: u64,
}

/// A server that got more than it had asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Excess {
    /// The server.
    pub server: String,
    /// The gateway that sent to it.
    pub gateway: u8,
    /// What it had asked for, milliseconds; none where it was leaving.
    pub rest: Option<u64>,
    /// Requests that reached it all the same.
    pub requests: usize,
    /// From when to when they would have counted.
    pub span: (u64, u64),
    /// Request whose answer said so, and the first one that came all the same.
    pub ids: (String, String),
}

/// The one that got most.
pub fn worst(excesses: Vec<Excess>) -> Option<Excess> {
    excesses.into_iter().max_by_key(|excess| excess.requests)
}

/// What excuses a gateway: something was done to it, or to its way to a server.
pub trait Exemption {
    /// Whether that happened between the two times.
    fn applies(&self, gateway: u8, server: &str, from: u64, to: u64) -> bool;
}

/// Nothing was done to anybody.
pub struct NoExemption;

impl Exemption for NoExemption {
    fn applies(&self, _gateway: u8, _server: &str, _from: u64, _to: u64) -> bool {
        false
    }
}

/// Servers that asked a gateway for rest and got more than [`MAX_REQUESTS_DURING_REST`] requests
/// from it in that time.
pub fn rest_violations(
    visits: &[Visit],
    sent: &BTreeMap<String, Sent>,
    excuse: &impl Exemption,
) -> Vec<Excess> {
    let mut excesses = Vec::new();
    for ((gateway, server, _), visits) in by_pair(visits, sent) {
        for asked in &visits {
            let Some(rest) = asked.rest() else { continue };
            let span = (asked.at + SETTLE_MS, asked.at + rest);
            let came = visits.iter().filter(|visit| span.0 <= visit.at && visit.at <= span.1);
            let came = came.filter(|visit| !excuse.applies(gateway, server, asked.at, visit.at));
            let came: Vec<&&Visit> = came.collect();
            let requests = came.len();
            if requests > MAX_REQUESTS_DURING_REST {
                let server = server.to_owned();
                let ids = (asked.request.clone(), came[0].request.clone());
                excesses.push(Excess { server, gateway, rest: Some(rest), requests, span, ids });
            }
        }
    }
    excesses
}

/// Servers that had said that they leave, and got requests that clients sent
/// [`DRAIN_MS`] after their gateway had passed that on.
pub fn drain_violations(
    visits: &[Visit],
    sent: &BTreeMap<String, Sent>,
    excuse: &impl Exemption,
) -> Vec<Excess> {
    let mut excesses = Vec::new();
    for ((gateway, server, _), visits) in by_pair(visits, sent) {
        let passed_on = visits.iter().filter(|visit| visit.leaving && visit.shed.is_none());
        let told = passed_on.filter_map(|visit| Some((sent.get(&visit.request)?.answered, visit)));
        let Some((told, first)) = told.min_by_key(|(answered, _)| *answered) else { continue };
        let span = (told + DRAIN_MS, u64::MAX);
        let sent = visits.iter().filter_map(|visit| Some((sent.get(&visit.request)?, visit)));
        let late = sent.filter(|(sent, _)| sent.at > span.0);
        let late = late.filter(|(sent, _)| !excuse.applies(gateway, server, told, sent.at));
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

/// Visits by gateway, server and run.
fn by_pair<'a>(
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

/// Time from the first answer that names a rate limit on in which requests do not count.
pub const LIMIT_SETTLE_MS: u64 = 3_000;
/// Span over which requests at a server that names a limit are counted.
pub const LIMIT_SPAN_MS: u64 = 4_000;

/// A server that got more requests than the rate limit that it named allows.
#[derive(Debug, Clone, PartialEq)]
pub struct Overrun {
    /// The server.
    pub server: String,
    /// The limit, requests a second.
    pub limit: f64,
    /// Requests of all gateways that had been told.
    pub requests: usize,
    /// Requests that are allowed.
    pub allowed: f64,
    /// From when to when.
    pub span: (u64, u64),
    /// Those requests, each with its gateway.
    pub ids: Vec<(String, u8)>,
}

/// Servers that got more within some [`LIMIT_SPAN_MS`] than one and a half times what
/// their rate limit allows, and five requests: by all gateways together that had
/// passed on an answer that names it, half a second before or earlier.
pub fn overruns(
    visits: &[Visit],
    sent: &BTreeMap<String, Sent>,
    excuse: &impl Exemption,
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
                overruns.extend(overrun(period, sent, excuse));
            }
        }
    }
    overruns
}

/// The worst overrun in a time in which a server named a limit all along.
fn overrun(
    visits: &[&Visit],
    sent: &BTreeMap<String, Sent>,
    excuse: &impl Exemption,
) -> Option<Overrun> {
    let first = visits.iter().find(|visit| visit.told)?;
    let mut told: BTreeMap<u8, u64> = BTreeMap::new();
    for sent in visits.iter().filter(|visit| visit.told).filter_map(|v| sent.get(&v.request)) {
        let passed_on = told.entry(sent.gateway).or_insert(u64::MAX);
        *passed_on = sent.answered.min(*passed_on);
    }
    let counts = |visit: &&&Visit| {
        let gateway = sent.get(&visit.request).map(|sent| sent.gateway);
        gateway.is_some_and(|gateway| {
            let told = told.get(&gateway).copied().unwrap_or(u64::MAX);
            let since = told.saturating_add(SETTLE_MS).max(first.at + LIMIT_SETTLE_MS);
            visit.at >= since && !excuse.applies(gateway, &visit.server, told, visit.at)
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
