//! Metrics of the process, served at `/metrics`.

use std::sync::OnceLock;

use loftcove_intake::{self as intake, connections, grpc};
use loftcove_startup::{limits, listen};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels with the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Reason of a rejection; empty for an answered request.
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
    /// Number of requests, by final outcome.
    pub requests: Family<Outcome, Counter>,
    /// Number of attempts sent to agents, or executed by this agent.
    pub attempts: Counter,
    /// Number of dropped frames, which belonged to another attempt or to one that had ended.
    pub dropped_frames: Counter,
    /// Number of requests in flight.
    pub in_flight: Gauge,
    /// Generation of the bundle in force.
    pub generation: Gauge,
    /// Number of calls to the platform, by kind.
    pub platform_calls: Family<Call, Gauge>,
    /// Bytes of the records that this process has applied.
    pub exchanged_bytes: Counter,
    /// Number of expert maps that this process has put in force.
    pub map_changes: Counter,
    /// What others make the process hold.
    pub intake: OnceLock<grpc::Intake>,
    /// Connections of an entry host's clients. An agent has none.
    pub clients: OnceLock<connections::Connections>,
}

impl Metrics {
    /// Returns all metrics in text form.
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
        intake::count::register(&mut registry);
        limits::register(&mut registry);
        listen::register(&mut registry);
        if let Some(intake) = self.intake.get() {
            intake.register(&mut registry);
        }
        if let Some(clients) = self.clients.get() {
            clients.register(&mut registry, "connections_closed_for_others");
        }
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
