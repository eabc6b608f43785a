//! What is known of digests of one kind: requests, or parts of prompts.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use loftcove_decision::clock;
use loftcove_decision::poison::{Digest, Finished, Item, Ledger, Mark, Standing};
use loftcove_line::field;

use crate::{OWN_PREFIX, Source};

/// What a digest identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// A request.
    Request,
    /// A part of a prompt.
    Part,
}

impl Kind {
    pub(super) const ALL: [Kind; 2] = [Kind::Request, Kind::Part];

    /// Returns the prefix of the keys of the store's records.
    pub(super) fn prefix(self) -> String {
        match self {
            Kind::Request => format!("{OWN_PREFIX}ends/"),
            Kind::Part => format!("{OWN_PREFIX}parts/"),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Request => "request",
            Kind::Part => "prompt part",
        })
    }
}

/// An item about a request or a part of a prompt.
#[derive(Debug, Clone)]
pub(crate) struct Update {
    pub(super) kind: Kind,
    pub(super) item: Item,
}

/// What is known of digests of one kind.
pub(super) struct Cases {
    pub(super) kind: Kind,
    pub(super) ledger: Ledger,
    /// Requests that completed, or parts with which an answer has begun.
    pub(super) finished: Finished,
    /// Digests under which this process itself found a server ended.
    pub(super) own: BTreeSet<Digest>,
    /// Digests whose refusal has been logged.
    refused: BTreeSet<Digest>,
    /// Times at which this process has last sent a request with a refused part as a trial.
    pub(super) trials: BTreeMap<Digest, clock::Instant>,
}

impl Cases {
    pub(super) fn new(kind: Kind, ledger: Ledger) -> Cases {
        let (finished, own, refused, trials) = Default::default();
        Cases { kind, ledger, finished, own, refused, trials }
    }

    /// Records that a request completed, or that an answer has begun with a part. Returns the
    /// updates to send to other gateways.
    pub(super) fn clear(&mut self, digest: Digest, now: clock::Instant) -> Vec<Update> {
        self.finished.add(digest, now);
        let cleared = self.ledger.clear(digest);
        self.log_refusals(now);
        if !cleared.is_empty() {
            log::info!("{} cleared digest={digest} ends={}", self.kind, cleared.len());
        }
        self.updates(cleared)
    }

    pub(super) fn updates(&self, items: Vec<Item>) -> Vec<Update> {
        items.into_iter().map(|item| Update { kind: self.kind, item }).collect()
    }

    /// Logs each digest whose refusal began, with the evidence, or stopped.
    pub(super) fn log_refusals(&mut self, now: clock::Instant) {
        let kind = self.kind;
        let current: BTreeSet<Digest> = self.ledger.refused().collect();
        for digest in current.difference(&self.refused) {
            let Some(verdict) = self.ledger.verdict(*digest) else { continue };
            let evidence = self.ledger.evidence(*digest, now);
            let evidence: Vec<String> = evidence.iter().map(ToString::to_string).collect();
            let (ends, ground, evidence) = (verdict.ends, verdict.ground, evidence.join(","));
            log::info!(
                "{kind} refused digest={digest} ends={ends} ground={ground} evidence={evidence}"
            );
        }
        for digest in self.refused.difference(&current) {
            log::info!("{kind} no longer refused digest={digest}");
        }
        self.refused = current;
    }
}
/// Logs a change of a standing.
pub(super) fn log_standing(
    kind: Kind,
    item: &Item,
    standing: Standing,
    source: Option<Source<'_>>,
) {
    let from = source.map_or_else(|| "own".to_owned(), |source| source.to_string());
    let from = field::Text(&from);
    let (state, ends) = match standing {
        Standing::Sound => ("sound", 0),
        Standing::Suspect(ends) => ("suspect", ends),
        Standing::Refused(ends) => ("refused", ends),
    };
    let subject = if kind == Kind::Part { "under prompt part " } else { "" };
    log::info!(
        "server ended {subject}digest={} server={} alone={} standing={state} ends={ends} from={from}",
        item.digest,
        field::Text(&item.run.id),
        item.mark == Mark::Alone
    );
}
