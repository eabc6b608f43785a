//! Requests as they reached backend servers, and whether these got more than
//! they had asked for.
//!
//! Counts as the users do. Times are Unix milliseconds of one machine's clock.

use std::collections::BTreeMap;

use serde_json::Value;

/// Time after an answer that asks for rest from which on requests count.
const SETTLE_MS: u64 = 500;
/// Requests that may reach a server from one gateway in the rest of that time.
pub const ALLOWED: usize = 2;
/// Time after a gateway passed on that a server leaves from which on no request
/// that a client sends may reach it.
pub const DRAIN_MS: u64 = 2_000;

/// A request that reached the run of a server that it was meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Visit {
    /// The server.
    pub server: String,
    /// How often it had ended before.
    pub run: u64,
    /// Id of the request.
    pub request: String,
    /// When it came.
    pub at: u64,
    /// The rest that the server asked for, as its header said it, where it
    /// turned the request away.
    pub shed: Option<String>,
    /// Whether the answer said that the server leaves.
    pub leaving: bool,
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
}

/// The one that got most.
pub fn worst(excesses: Vec<Excess>) -> Option<Excess> {
    excesses.into_iter().max_by_key(|excess| excess.requests)
}

/// Servers that asked a gateway for rest and got more than [`ALLOWED`] requests
/// from it in that time.
pub fn unrested(visits: &[Visit], sent: &BTreeMap<String, Sent>) -> Vec<Excess> {
    let pairs = by_pair(visits, sent);
    let check = |(gateway, visits): (u8, &[&Visit])| -> Vec<Excess> {
        let asked = visits.iter().filter_map(|visit| Some((visit, visit.rest()?)));
        let excess = asked.filter_map(|(asked, rest)| {
            let span = (asked.at + SETTLE_MS, asked.at + rest);
            let came = visits.iter().filter(|visit| span.0 <= visit.at && visit.at <= span.1);
            let requests = came.count();
            let server = asked.server.clone();
            let excess = Excess { server, gateway, rest: Some(rest), requests, span };
            (requests > ALLOWED).then_some(excess)
        });
        excess.collect()
    };
    pairs.iter().flat_map(|((gateway, ..), visits)| check((*gateway, visits))).collect()
}

/// Servers that had said that they leave, and got requests that clients sent
/// [`DRAIN_MS`] after their gateway had passed that on.
pub fn undrained(visits: &[Visit], sent: &BTreeMap<String, Sent>) -> Vec<Excess> {
    let pairs = by_pair(visits, sent);
    let check = |(gateway, visits): (u8, &[&Visit])| -> Option<Excess> {
        let passed_on = visits.iter().filter(|visit| visit.leaving && visit.shed.is_none());
        let told = passed_on.filter_map(|visit| sent.get(&visit.request)).map(|sent| sent.answered);
        let from = told.min()? + DRAIN_MS;
        let late = |visit: &&&Visit| sent.get(&visit.request).is_some_and(|sent| sent.at > from);
        let requests = visits.iter().filter(late).count();
        let server = visits.first()?.server.clone();
        let excess = Excess { server, gateway, rest: None, requests, span: (from, u64::MAX) };
        (requests > 0).then_some(excess)
    };
    pairs.iter().filter_map(|((gateway, ..), visits)| check((*gateway, visits))).collect()
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
