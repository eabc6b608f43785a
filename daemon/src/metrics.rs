//! Metrics of the process, served at `/metrics`.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label with the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Reason of a refusal; empty for an answer.
    pub reason: String,
}

/// Label with the kind of a platform call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Call {
    /// `read`, `watch` or `write`.
    pub kind: &'static str,
}

/// All metrics.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests with their final outcome.
    pub requests: Family<Outcome, Counter>,
    /// Attempts sent to agents, or run by this agent.
    pub attempts: Counter,
    /// Frames of an attempt that had ended, or of another, which were dropped.
    pub dropped_frames: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Generation in force.
    pub generation: Gauge,
    /// Calls to the platform.
    pub platform_calls: Family<Call, Gauge>,
    /// Bytes of records taken from and handed to peers.
    pub exchanged_bytes: Counter,
    /// Changes of expert maps that this process brought in force.
    pub map_changes: Counter,
}

impl Metrics {
    /// The text form of all metrics.
    pub fn encode(&self) -> String {
        let mut registry = Registry::with_prefix("loftcove");
        registry.register("requests", "Requests by final outcome", self.requests.clone());
        registry.register("attempts", "Attempts sent or run", self.attempts.clone());
        registry.register("dropped_frames", "Late or foreign frames", self.dropped_frames.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register("generation", "Generation in force", self.generation.clone());
        registry.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        registry.register("exchanged_bytes", "Bytes of records", self.exchanged_bytes.clone());
        registry.register("map_changes", "Expert maps brought in force", self.map_changes.clone());
        let mut out = String::new();
        // Writing to a string cannot fail.
        text::encode(&mut out, &registry).unwrap_or_default();
        out
    }

    /// Counts a request's final outcome.
    pub fn count(&self, outcome: &'static str, reason: String) {
        self.requests.get_or_create(&Outcome { outcome, reason }).inc();
    }
}
