//! Ways to choose between backend servers that are open.
//!
//! All but [`Blend`] are baselines that the benchmark compares it with.

use std::fmt;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

use crate::routing::server;
use crate::{clock, entity};

/// Way to choose one of the candidates, which are open and in the order of
/// their ids.
pub trait Policy {
    /// The choice, or `None` where there is no candidate.
    fn choose(
        &mut self,
        table: &server::Table,
        candidates: &[entity::Server],
        request: &Request,
        now: clock::Instant,
    ) -> Option<Choice>;
}

/// What a policy may know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Request {
    /// Hash of the prompt's beginning, for prefix caches; zero where there is none.
    pub prefix: u64,
}

/// Why the choice fell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// There was one candidate.
    Only,
    /// Least score of those looked at.
    LeastScore,
    /// Drawn by lot.
    Lot,
    /// Its cache should hold the prompt's beginning.
    Affinity,
    /// No other suspect of servers' ends is there.
    Apart,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Only => "only-candidate",
            Reason::LeastScore => "least-score",
            Reason::Lot => "lot",
            Reason::Affinity => "affinity",
            Reason::Apart => "apart",
        })
    }
}

/// A choice and its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The chosen backend server.
    pub server: entity::Server,
    /// Why it was chosen.
    pub reason: Reason,
}

fn least(
    candidates: impl Iterator<Item = entity::Server>,
    score: impl Fn(entity::Server) -> f64,
) -> Option<Choice> {
    let server = candidates.min_by(|a, b| score(*a).total_cmp(&score(*b)))?;
    Some(Choice { server, reason: Reason::LeastScore })
}

/// Baseline: by lot.
#[derive(Debug)]
pub struct Lot {
    /// Source of the draws.
    pub rng: ChaCha8Rng,
}

impl Policy for Lot {
    fn choose(
        &mut self,
        _table: &server::Table,
        candidates: &[entity::Server],
        _request: &Request,
        _now: clock::Instant,
    ) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let server = candidates[self.rng.random_range(0..candidates.len())];
        Some(Choice { server, reason: Reason::Lot })
    }
}

/// Baseline: least load by the last reports, which herds while they are old.
#[derive(Debug)]
pub struct Reported;

impl Policy for Reported {
    fn choose(
        &mut self,
        table: &server::Table,
        candidates: &[entity::Server],
        _request: &Request,
        _now: clock::Instant,
    ) -> Option<Choice> {
        least(candidates.iter().copied(), |server| table[server].reported_score())
    }
}

/// Baseline: the less loaded of two drawn by lot, by the last reports
/// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
#[derive(Debug)]
pub struct Two {
    /// Source of the draws.
    pub rng: ChaCha8Rng,
}

impl Policy for Two {
    fn choose(
        &mut self,
        table: &server::Table,
        candidates: &[entity::Server],
        _request: &Request,
        _now: clock::Instant,
    ) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || candidates[self.rng.random_range(0..candidates.len())];
        let pair = [draw(), draw()];
        least(pair.into_iter(), |server| table[server].reported_score())
    }
}

/// Own requests in flight plus faded reports, over a sample of the candidates.
#[derive(Debug)]
pub struct Blend {
    /// Source of the draws.
    pub rng: ChaCha8Rng,
    /// Candidates looked at; two or three keep entry hosts from herding.
    pub sample: usize,
    /// How far above the least score a backend server with the prompt's
    /// beginning in its cache may lie and still be chosen.
    pub affinity_slack: f64,
}

impl Blend {
    /// Candidate that all entry hosts prefer for a prefix, by rendezvous.
    fn preferred(
        table: &server::Table,
        candidates: &[entity::Server],
        prefix: u64,
    ) -> Option<entity::Server> {
        let weight = |server: &entity::Server| {
            xxh3::xxh3_64_with_seed(&table[*server].hash.to_le_bytes(), prefix)
        };
        candidates.iter().copied().max_by_key(weight)
    }
}

impl Policy for Blend {
    fn choose(
        &mut self,
        table: &server::Table,
        candidates: &[entity::Server],
        request: &Request,
        now: clock::Instant,
    ) -> Option<Choice> {
        if let [server] = candidates {
            return Some(Choice { server: *server, reason: Reason::Only });
        }
        let score = |server: entity::Server| table[server].score(now);
        let size = self.sample.min(candidates.len());
        let drawn = rand::seq::index::sample(&mut self.rng, candidates.len(), size);
        let best = least(drawn.into_iter().map(|index| candidates[index]), score)?;
        if request.prefix == 0 {
            return Some(best);
        }
        let preferred = Blend::preferred(table, candidates, request.prefix)?;
        if score(preferred) <= score(best.server) + self.affinity_slack {
            return Some(Choice { server: preferred, reason: Reason::Affinity });
        }
        Some(best)
    }
}
