//! Requests that were on backend servers that ended, and parts of their prompts, combined from the
//! logs of all hosts.
//!
//! The *end* of a server is the unplanned exit of one run of its process. Each request that was on
//! the server is a suspect, and so is each part of its prompt that other requests may share. The
//! *standing* of a suspect at a host is `refused` once the host rejects the request because
//! servers ended under it.

use std::collections::{BTreeMap, BTreeSet};

/// A request that was on a backend server that ended, or a part of its prompt.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Suspect {
    /// Backend servers that ended while the request was on them.
    pub servers: BTreeSet<String>,
    /// Time of the first line about it, in seconds.
    pub since: f64,
    /// Times at which the first and the last host began to reject it, in seconds, if any did.
    pub refused: Option<(f64, f64)>,
    /// Hosts that began to reject it.
    pub hosts: BTreeSet<String>,
    /// Number of times that it was rejected.
    pub refusals: u64,
}

/// Suspects that were rejected, each with its digest, by the time at which they became suspects, and
/// the number of the others.
pub type Summary = (Vec<(String, Suspect)>, u64);

/// Suspects by the digest of their request or part.
#[derive(Debug, Default)]
pub struct Suspects(BTreeMap<String, Suspect>);

impl Suspects {
    /// Records that a host changed the standing of a request because a server ended.
    pub fn record_standing(
        &mut self,
        digest: &str,
        server: &str,
        standing: &str,
        host: &str,
        at: f64,
    ) {
        self.suspect(digest, at).servers.insert(server.to_owned());
        if standing == "refused" {
            self.record_verdict(digest, host, at);
        }
    }

    /// Records that a host began to reject requests.
    pub fn record_verdict(&mut self, digest: &str, host: &str, at: f64) {
        let suspect = self.suspect(digest, at);
        if !suspect.hosts.insert(host.to_owned()) {
            return;
        }
        let (first, last) = suspect.refused.unwrap_or((at, at));
        suspect.refused = Some((first.min(at), last.max(at)));
    }

    /// Records that a host rejected a request. This may be logged before the lines about the
    /// servers that ended.
    pub fn record_refusal(&mut self, digest: &str, at: f64) {
        let suspect = self.suspect(digest, at);
        suspect.refusals += 1;
    }

    /// Returns the suspect that a line of the time `at` is about.
    fn suspect(&mut self, digest: &str, at: f64) -> &mut Suspect {
        let new = || Suspect { since: at, ..Suspect::default() };
        let suspect = self.0.entry(digest.to_owned()).or_insert_with(new);
        suspect.since = suspect.since.min(at);
        suspect
    }

    /// Returns the summary.
    pub fn finish(self) -> Summary {
        let was_refused = |suspect: &Suspect| suspect.refused.is_some() || suspect.refusals > 0;
        let (mut refused, others): (Vec<_>, Vec<_>) =
            self.0.into_iter().partition(|(_, suspect)| was_refused(suspect));
        refused.sort_by(|a, b| a.1.since.total_cmp(&b.1.since));
        (refused, others.len() as u64)
    }
}
