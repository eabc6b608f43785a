//! Counters, gauges and histograms of a gateway.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use loftcove_decision::retry;
use loftcove_intake as intake;
use loftcove_interface::protocol::Protocol;
use loftcove_mirror::progress;
use loftcove_response::ending;
use loftcove_response::framing::Framing;
use loftcove_startup::{limits, listen, panics};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::request::Origin;
use crate::state;

/// Label for the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Requests {
    /// Outcome, such as `answered` or `refused`.
    outcome: &'static str,
}

/// Labels for the end of a backend server's response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ending {
    framing: &'static str,
    /// `complete`, or why the response is not complete.
    end: String,
}

/// Highest urgency that is counted by itself; less urgent requests count as this one.
const MAX_URGENCY: u32 = 9;

/// Labels for the outcome of a request. Each has a bounded number of values.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Outcome, such as `answered` or `refused`.
    outcome: &'static str,
    /// Reason; statuses of backend servers count by their class, such as `2xx`.
    reason: String,
    /// Urgency from 0, the most urgent, to 9; `-` if the request has no route.
    urgency: String,
    /// Class of the team: `large`, `small`, or `-` if the request has no route.
    team_class: &'static str,
}

impl Outcome {
    /// Returns the labels of an outcome. `origin` is given if the request has a route.
    pub fn new(outcome: &'static str, reason: &str, origin: Option<&Origin>) -> Outcome {
        let is_status = reason.len() == 3 && reason.bytes().all(|byte| byte.is_ascii_digit());
        let reason = if is_status { format!("{}xx", &reason[..1]) } else { reason.to_owned() };
        let urgency = origin.map(|origin| origin.urgency.min(MAX_URGENCY).to_string());
        Outcome {
            outcome,
            reason,
            urgency: urgency.unwrap_or_else(|| "-".to_owned()),
            team_class: origin.map_or("-", |origin| origin.class.label()),
        }
    }
}

/// Label for the key prefix of a store watch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Watched {
    prefix: &'static str,
}

/// Labels for failed listings of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailedListing {
    prefix: &'static str,
    cause: &'static str,
}

/// Metrics of the store watches at one moment.
#[derive(Debug, Default)]
struct Watches {
    waited: Family<Watched, Gauge<f64, AtomicU64>>,
    answer_age: Family<Watched, Gauge<f64, AtomicU64>>,
    lost: Family<Watched, Counter>,
    failed_listings: Family<FailedListing, Counter>,
    unreadable: Family<Watched, Counter>,
}

impl Watches {
    fn of(progress: &progress::Progress) -> Watches {
        let watches = Watches::default();
        for (prefix, watch) in progress.watches() {
            let label = Watched { prefix };
            let seconds = |time: Option<Duration>| time.map_or(0.0, |time| time.as_secs_f64());
            watches.waited.get_or_create(&label).set(seconds(watch.waited()));
            watches.answer_age.get_or_create(&label).set(seconds(watch.answer_age()));
            watches.lost.get_or_create(&label).inc_by(watch.lost);
        }
        for (prefix, listings) in progress.listings() {
            let unreadable = watches.unreadable.get_or_create(&Watched { prefix });
            unreadable.inc_by(listings.unreadable);
            for (cause, count) in listings.failed {
                let label = FailedListing { prefix, cause };
                watches.failed_listings.get_or_create(&label).inc_by(count);
            }
        }
        watches
    }

    fn register(self, registry: &mut Registry) {
        let waited = "Time that the present call of a watch has waited";
        registry.register("watch_waited_seconds", waited, self.waited);
        let age = "Time since the store last answered a watch";
        registry.register("watch_answer_age_seconds", age, self.answer_age);
        registry.register("watch_lost", "Calls of a watch without an answer", self.lost);
        let failed = "Listings of the store that failed, by cause";
        registry.register("failed_listings", failed, self.failed_listings);
        let unreadable = "Items of the store that could not be read";
        registry.register("unreadable_items", unreadable, self.unreadable);
    }
}

/// Label for a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Service {
    service: String,
}

/// Metrics of the retry budgets at one moment.
#[derive(Debug, Default)]
struct Retries {
    available: Family<Service, Gauge<f64, AtomicU64>>,
    reserve: Family<Service, Gauge<f64, AtomicU64>>,
    waiting: Family<Service, Gauge>,
    charged: Family<Service, Counter>,
    refunded: Family<Service, Counter>,
    denied: Family<Service, Counter>,
}

impl Retries {
    fn of<P: Protocol>(gateway: &state::Gateway<P>) -> Retries {
        let retries = Retries::default();
        for (service, budget) in gateway.dispatcher.retry_budgets() {
            let label = Service { service: service.to_string() };
            let retry::Status { available, reserve, waiting, counts } = budget;
            retries.available.get_or_create(&label).set(available);
            retries.reserve.get_or_create(&label).set(reserve);
            retries.waiting.get_or_create(&label).set(waiting.into());
            retries.charged.get_or_create(&label).inc_by(counts.charged);
            retries.refunded.get_or_create(&label).inc_by(counts.refunded);
            retries.denied.get_or_create(&label).inc_by(counts.denied);
        }
        retries
    }

    fn register(self, registry: &mut Registry) {
        let available = "Retries that the budget of a service allows at present";
        registry.register("retry_budget_available", available, self.available);
        let reserve = "Maximum number of retries that the budget accumulates";
        registry.register("retry_budget_reserve", reserve, self.reserve);
        let waiting = "Charged retries that are still to be sent";
        registry.register("retry_budget_waiting", waiting, self.waiting);
        registry.register("retries_charged", "Retries charged to the budget", self.charged);
        let refunded = "Charged retries of which nothing was sent";
        registry.register("retries_refunded", refunded, self.refunded);
        registry.register("retries_denied", "Retries that the budget denied", self.denied);
    }
}

/// Metrics of the capacity of the lock-step groups at one moment, in streams.
#[derive(Debug, Default)]
struct Capacities {
    bound: Family<Service, Gauge<f64, AtomicU64>>,
    in_flight: Family<Service, Gauge>,
    streams: Family<Service, Gauge<f64, AtomicU64>>,
    fitting: Family<Service, Gauge<f64, AtomicU64>>,
}

impl Capacities {
    fn of<P: Protocol>(gateway: &state::Gateway<P>) -> Capacities {
        let capacities = Capacities::default();
        for (service, capacity) in gateway.dispatcher.capacities() {
            let label = Service { service: service.to_string() };
            capacities.bound.get_or_create(&label).set(capacity.bound);
            capacities.in_flight.get_or_create(&label).set(capacity.in_flight.into());
            capacities.streams.get_or_create(&label).set(capacity.streams);
            capacities.fitting.get_or_create(&label).set(capacity.fitting);
        }
        capacities
    }

    fn register(self, registry: &mut Registry) {
        let bound = "Streams that this gateway may have in flight";
        registry.register("group_bound", bound, self.bound);
        let in_flight = "Streams of this gateway in flight";
        registry.register("group_in_flight", in_flight, self.in_flight);
        let streams = "Streams of all gateways in flight, by recent answers";
        registry.register("group_streams", streams, self.streams);
        let fitting = "Streams of all gateways that fit";
        registry.register("group_fitting", fitting, self.fitting);
    }
}

/// Metrics of a gateway.
#[derive(Debug)]
pub struct Metrics {
    /// Number of requests, by outcome.
    requests: Family<Requests, Counter>,
    /// Number of requests, by outcome, reason, urgency and class of the team.
    outcomes: Family<Outcome, Counter>,
    /// Number of responses of backend servers, by framing and end.
    endings: Family<Ending, Counter>,
    /// Number of attempts that were sent.
    pub attempts: Counter,
    /// Number of streams that were resumed on another backend server.
    pub resumed: Counter,
    /// Number of streams that were moved away from slow ranks.
    pub moved: Counter,
    /// Number of requests under which their backend server ended.
    pub servers_ended: Counter,
    /// Responses that were rejected because their head does not determine the body.
    pub invalid_heads: Counter,
    /// Number of times that a backend server asked for a rest.
    pub rests: Counter,
    /// Number of times that a backend server reported a rate limit or a changed one.
    pub limits: Counter,
    /// Number of health checks of restarted backend servers whose earlier run was leaving.
    pub health_checks: Counter,
    /// Number of clients that were disconnected because they took nothing.
    pub clients_stalled: Counter,
    /// Time that the dispatcher takes to accept a request, in seconds.
    pub dispatch: Histogram,
    /// Time to the head of a response, in seconds.
    pub first_byte: Histogram,
    /// Time to the end of a response, in seconds.
    pub whole: Histogram,
    /// Version of the current configuration.
    pub config_version: Gauge,
    /// Number of store entries that describe no usable backend server.
    pub unusable_entries: Gauge,
    /// Number of listed backend servers in drained availability zones.
    pub drained_servers: Gauge,
    /// Number of gateways among which the retry budgets are divided.
    pub gateways: Gauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        // Buckets from 4 ms to 16 s, doubling.
        let histogram = || Histogram::new(exponential_buckets(0.004, 2.0, 13));
        Metrics {
            requests: Family::default(),
            outcomes: Family::default(),
            endings: Family::default(),
            attempts: Counter::default(),
            resumed: Counter::default(),
            moved: Counter::default(),
            servers_ended: Counter::default(),
            invalid_heads: Counter::default(),
            rests: Counter::default(),
            limits: Counter::default(),
            health_checks: Counter::default(),
            clients_stalled: Counter::default(),
            // Buckets from 1 us to 33 ms, doubling.
            dispatch: Histogram::new(exponential_buckets(0.000_001, 2.0, 16)),
            first_byte: histogram(),
            whole: histogram(),
            config_version: Gauge::default(),
            unusable_entries: Gauge::default(),
            drained_servers: Gauge::default(),
            gateways: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Counts a request's outcome and records its duration.
    pub fn ended(&self, outcome: Outcome, after: Duration) {
        self.requests.get_or_create(&Requests { outcome: outcome.outcome }).inc();
        self.outcomes.get_or_create(&outcome).inc();
        self.whole.observe(after.as_secs_f64());
    }

    /// Counts the end of a backend server's response.
    pub fn response_ended(&self, framing: Framing, ending: Result<(), ending::Error>) {
        let end = ending.err().map_or_else(|| "complete".to_owned(), |error| error.to_string());
        self.endings.get_or_create(&Ending { framing: framing.as_str(), end }).inc();
    }

    /// Returns all metrics in the text format.
    pub fn encode<P: Protocol>(&self, gateway: &state::Gateway<P>) -> String {
        let waiting: Gauge = Gauge::default();
        waiting.set(gateway.dispatcher.waiting() as i64);
        let in_flight: Gauge = Gauge::default();
        in_flight.set(gateway.lifecycle.in_flight() as i64);
        let connections: Gauge = Gauge::default();
        connections.set(gateway.lifecycle.connections() as i64);
        let mut registry = Registry::with_prefix("loftcove");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        let outcomes = "Requests by outcome, reason, urgency and class of the team";
        registry.register("outcomes", outcomes, self.outcomes.clone());
        let endings = "Responses of backend servers by framing and end";
        registry.register("response_ends", endings, self.endings.clone());
        intake::count::register(&mut registry);
        limits::register(&mut registry);
        listen::register(&mut registry);
        panics::register(&mut registry);
        gateway.peers.register(&mut registry);
        gateway.lifecycle.clients.register(&mut registry, "connections_closed_for_others");
        registry.register("attempts", "Attempts sent", self.attempts.clone());
        registry.register("resumed", "Streams resumed", self.resumed.clone());
        let moved = "Streams moved away from slow ranks";
        registry.register("streams_moved", moved, self.moved.clone());
        let ended = "Requests under which their backend server ended";
        registry.register("server_ended", ended, self.servers_ended.clone());
        let invalid = "Responses rejected because their head does not determine the body";
        registry.register("invalid_heads", invalid, self.invalid_heads.clone());
        registry.register("server_rests", "Rests that servers asked for", self.rests.clone());
        let changes = "Rate limits that servers named, each change of one";
        registry.register("server_limits", changes, self.limits.clone());
        let limited: Gauge = Gauge::default();
        limited.set(gateway.dispatcher.limited() as i64);
        registry.register("servers_limited", "Servers that name a rate limit", limited);
        let checks = "Health checks of restarted servers whose earlier run left";
        registry.register("health_checks", checks, self.health_checks.clone());
        let (resting, leaving): (Gauge, Gauge) = Default::default();
        let noticed = gateway.dispatcher.resting_and_leaving();
        resting.set(noticed.0 as i64);
        leaving.set(noticed.1 as i64);
        registry.register("servers_resting", "Servers that rest at present", resting);
        let reported = "Listed servers that told in their answers that they leave";
        registry.register("servers_leaving", reported, leaving);
        let (held, listed, removed): (Gauge, Gauge, Counter) = Default::default();
        let records = gateway.dispatcher.records();
        held.set(records.held as i64);
        listed.set(records.listed as i64);
        removed.inc_by(records.removed);
        registry.register("server_records", "Runs of servers with a record", held);
        registry.register("servers_listed", "Runs of servers that are listed", listed);
        registry.register("server_records_removed", "Records of runs removed", removed);
        Retries::of(gateway).register(&mut registry);
        Capacities::of(gateway).register(&mut registry);
        let refused: Gauge = Gauge::default();
        refused.set(gateway.mirror.ends.refused_requests().len() as i64);
        registry.register("requests_that_end_servers", "Requests that are refused for it", refused);
        let refused: Gauge = Gauge::default();
        refused.set(gateway.mirror.ends.refused_parts().len() as i64);
        let parts = "Parts of prompts that are refused for ending servers";
        registry.register("prompt_parts_that_end_servers", parts, refused);
        let dispatch = "Time that the dispatcher takes to accept a request";
        registry.register("dispatch_seconds", dispatch, self.dispatch.clone());
        registry.register("first_byte_seconds", "Time to the head", self.first_byte.clone());
        registry.register("whole_seconds", "Time to the end", self.whole.clone());
        registry.register("config_version", "Configuration", self.config_version.clone());
        let unusable = "Entries that name no backend server to use";
        registry.register("unusable_entries", unusable, self.unusable_entries.clone());
        let drained = "Servers in zones that are drained";
        registry.register("servers_drained", drained, self.drained_servers.clone());
        let gateways = "Gateways among which the retry budgets are divided";
        registry.register("gateways", gateways, self.gateways.clone());
        let slow: Gauge = Gauge::default();
        slow.set(gateway.dispatcher.slow_ranks() as i64);
        registry.register("slow_ranks", "Ranks that count as slow at present", slow);
        let followers: Gauge = Gauge::default();
        followers.set(gateway.mirror.followers.count() as i64);
        registry.register("followers", "Hosts that follow this one", followers);
        registry.register("waiting", "Requests that wait", waiting);
        let queued: Gauge = Gauge::default();
        queued.set(gateway.buffers.queued() as i64);
        registry.register("client_buffer_bytes", "Bytes that wait for clients", queued);
        let stalled = "Clients that were disconnected because they took nothing";
        registry.register("clients_stalled", stalled, self.clients_stalled.clone());
        registry.register("in_flight", "Requests in flight", in_flight);
        registry.register("connections", "Connections of clients", connections);
        Watches::of(&gateway.mirror.progress).register(&mut registry);
        let mut out = String::new();
        // Writing to a string cannot fail.
        text::encode(&mut out, &registry).unwrap_or_default();
        out
    }
}
