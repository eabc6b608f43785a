//! Metrics of a sidecar and the HTTP server that exposes them.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use loftcove_intake::{self as intake, descriptors, grpc, monitor};
use loftcove_startup::{limits, listen, panics};
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Whether this sidecar drives its group.
    pub driving: Gauge,
    /// Terms that this sidecar was elected for.
    pub elected: Counter,
    /// Drivers that this sidecar deposed because they left their group held.
    pub deposed: Counter,
    /// Drivers of this sidecar that panicked and were replaced.
    pub failed: Counter,
    /// Slow ranks of the group that this sidecar drives.
    pub slow_ranks: Gauge,
    /// Maps that the group switched to.
    pub switched: Counter,
    /// Changes that were aborted.
    pub abandoned: Counter,
    /// Time of a change from the decision to its end, in seconds.
    pub change: Histogram,
    /// Time from the order that holds the group to the end of the change, in seconds. The group is
    /// blocked for at most the last part of it.
    pub held: Histogram,
    /// What other processes take from this one.
    intake: grpc::Intake,
}

impl Metrics {
    /// Creates the metrics of a process whose peers use `intake`.
    pub fn new(intake: grpc::Intake) -> Metrics {
        Metrics {
            intake,
            driving: Gauge::default(),
            elected: Counter::default(),
            deposed: Counter::default(),
            failed: Counter::default(),
            slow_ranks: Gauge::default(),
            switched: Counter::default(),
            abandoned: Counter::default(),
            // From 20 ms to 10 s, doubling.
            change: Histogram::new(exponential_buckets(0.02, 2.0, 10)),
            // From 5 ms to 5 s, doubling.
            held: Histogram::new(exponential_buckets(0.005, 2.0, 11)),
        }
    }

    fn encode(&self) -> String {
        let mut registry = Registry::with_prefix("loftcove");
        registry.register("driving", "Whether this sidecar drives", self.driving.clone());
        registry.register("elected", "Terms elected for", self.elected.clone());
        let failed = "Drivers that panicked and were replaced";
        registry.register("driver_failed", failed, self.failed.clone());
        registry.register("deposed", "Drivers deposed", self.deposed.clone());
        registry.register("slow_ranks", "Slow ranks of the driven group", self.slow_ranks.clone());
        registry.register("map_switched", "Maps gone over to", self.switched.clone());
        registry.register("map_abandoned", "Changes given up", self.abandoned.clone());
        registry.register("map_change_seconds", "Time of a change", self.change.clone());
        registry.register("map_held_seconds", "Time from hold to end", self.held.clone());
        self.intake.register(&mut registry);
        intake::count::register(&mut registry);
        limits::register(&mut registry);
        listen::register(&mut registry);
        panics::register(&mut registry);
        let mut out = String::new();
        // Writing to a string cannot fail.
        text::encode(&mut out, &registry).unwrap_or_default();
        out
    }
}

/// Responds to every path with the metrics, once the address is available, until the process exits.
pub async fn serve(metrics: Arc<Metrics>, listener: listen::Listener, quota: descriptors::Quota) {
    let listener = listener.wait().await;
    let answer = move |_: &str| http::Response::new(Full::<Bytes>::from(metrics.encode()));
    monitor::serve(listener, quota, answer).await;
}
