//! Requests that were on backend servers that ended, put together from what all
//! hosts held of them.

use std::collections::{BTreeMap, BTreeSet};

/// A request, by its digest.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Suspect {
    /// Backend servers that ended while it was there.
    pub servers: BTreeSet<String>,
    /// When the first host held it suspect, seconds.
    pub since: f64,
    /// When the first and the last host began to refuse it, if they did.
    pub refused: Option<(f64, f64)>,
    /// Hosts that did.
    pub hosts: BTreeSet<String>,
    /// Times that it was refused for it.
    pub refusals: u64,
}

/// All of them, by digest.
#[derive(Debug, Default)]
pub struct Suspects(BTreeMap<String, Suspect>);

impl Suspects {
    /// A host changed what it holds of a request.
    pub fn record_standing(
        &mut self,
        digest: &str,
        server: &str,
        standing: &str,
        host: &str,
        at: f64,
    ) {
        let new = || Suspect { since: at, ..Suspect::default() };
        let suspect = self.0.entry(digest.to_owned()).or_insert_with(new);
        suspect.since = suspect.since.min(at);
        suspect.servers.insert(server.to_owned());
        if standing != "refused" || !suspect.hosts.insert(host.to_owned()) {
            return;
        }
        let (first, last) = suspect.refused.unwrap_or((at, at));
        suspect.refused = Some((first.min(at), last.max(at)));
    }

    /// A request was refused.
    pub fn record_refusal(&mut self, digest: &str) {
        self.0.entry(digest.to_owned()).or_default().refusals += 1;
    }

    /// Those that were refused, by when they first were, and the number of others.
    pub fn finish(self) -> (Vec<(String, Suspect)>, u64) {
        let of = |suspect: &Suspect| suspect.refused.is_some() || suspect.refusals > 0;
        let (mut refused, others): (Vec<_>, Vec<_>) =
            self.0.into_iter().partition(|(_, suspect)| of(suspect));
        refused.sort_by(|a, b| a.1.since.total_cmp(&b.1.since));
        (refused, others.len() as u64)
    }
}
