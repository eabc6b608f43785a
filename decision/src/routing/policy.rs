//! Load-balancing policies.
//!
//! Each policy selects one of the candidates, which are the open backend servers of a
//! pool. All but [`Blend`] are baselines that the benchmark compares it with.

use std::fmt;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

use crate::routing::server;
use crate::{clock, entity};

/// A load-balancing policy.
pub trait Policy {
    /// Selects one of the candidates, which are open and in the order of their ids.
    /// Returns `None` if there is no candidate.
    fn choose(
        &mut self,
        table: &server::Table,
        candidates: &[entity::Server],
        request: &Request,
        now: clock::Instant,
    ) -> Option<Choice>;
}

/// Properties of a request that policies use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Request {
    /// Hash of the prompt's prefix, for prefix caches; zero if there is none.
    pub prefix: u64,
}

/// Reason for a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// There was only one candidate.
    Only,
    /// The server had the lowest score of the sampled candidates.
    LeastScore,
    /// The server was selected uniformly at random.
    Lot,
    /// The server's cache should hold the prompt's prefix.
    Affinity,
    /// The server runs no other request that is suspected of ending servers.
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
    /// The selected backend server.
    pub server: entity::Server,
    /// Reason for the selection.
    pub reason: Reason,
}

fn least(
    candidates: impl Iterator<Item = entity::Server>,
    score: impl Fn(entity::Server) -> f64,
) -> Option<Choice> {
    let server = candidates.min_by(|a, b| score(*a).total_cmp(&score(*b)))?;
    Some(Choice { server, reason: Reason::LeastScore })
}

/// Baseline: uniform random selection.
#[derive(Debug)]
pub struct Lot {
    /// Random number generator.
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

/// Baseline: lowest load by the last reports. All entry hosts herd on the same server
/// until the next report.
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

/// Baseline: the less loaded of two random candidates, by the last reports
/// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
#[derive(Debug)]
pub struct Two {
    /// Random number generator.
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

/// Lowest score in a random sample of the candidates. The score combines own requests in
/// flight with reported load that decays with its age.
#[derive(Debug)]
pub struct Blend {
    /// Random number generator.
    pub rng: ChaCha8Rng,
    /// Size of the sample; two or three candidates prevent herding of entry hosts.
    pub sample: usize,
    /// Maximum difference to the lowest score at which a backend server with the prompt's
    /// prefix in its cache is still selected.
    pub affinity_slack: f64,
}

impl Blend {
    /// Returns the candidate that all entry hosts prefer for a prefix, by rendezvous hashing.
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

    /// Draws `size` distinct candidates, each with a probability in proportion to its weight.
    /// Candidates of equal weight are drawn uniformly.
    fn draw(
        &mut self,
        table: &server::Table,
        candidates: &[entity::Server],
        size: usize,
    ) -> Vec<entity::Server> {
        let weight = |server: &entity::Server| table[*server].weight;
        let first = candidates.first().map_or(1.0, weight);
        if candidates.iter().all(|server| weight(server) == first) {
            let drawn = rand::seq::index::sample(&mut self.rng, candidates.len(), size);
            return drawn.into_iter().map(|index| candidates[index]).collect();
        }
        let mut total: f64 = candidates.iter().map(weight).sum();
        let mut drawn: Vec<entity::Server> = Vec::with_capacity(size);
        while drawn.len() < size {
            let mut left = self.rng.random::<f64>() * total;
            let rest = || candidates.iter().filter(|server| !drawn.contains(server));
            let found = rest().find(|server| {
                left -= weight(server);
                left < 0.0
            });
            // Rounding may leave a remainder after the last candidate.
            let found = found.or_else(|| rest().rfind(|server| weight(server) > 0.0));
            let Some(found) = found.copied() else { break };
            total -= weight(&found);
            drawn.push(found);
        }
        drawn
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
        let drawn = self.draw(table, candidates, size);
        let best = least(drawn.into_iter(), score)?;
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
