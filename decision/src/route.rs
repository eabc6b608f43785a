//! Routes: which services answer a request, within which time, and for which teams.
//!
//! A [`Config`] is one version of the operators' configuration; a [`Table`] is the
//! same configuration, indexed for lookups. A table is immutable: each new version has a
//! new table, and a process only switches to a table of a higher version.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// How a request may be retried after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming {
        /// Whether another backend server may resume the stream after an event. This
        /// implies that the request may run more than once.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether the request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Streaming { resumable: true })
    }

    /// Returns whether another backend server can resume the response after an event.
    pub fn resumable(self) -> bool {
        self == Kind::Streaming { resumable: true }
    }

    /// Returns whether the response is a stream of events.
    pub fn streaming(self) -> bool {
        matches!(self, Kind::Streaming { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name of the requests that the route matches.
    pub host: Arc<str>,
    /// Path prefix of the requests that the route matches, with a slash at both ends.
    pub prefix: Arc<str>,
    /// How the route's requests may be retried.
    pub kind: Kind,
    /// Longest time from a request to the end of its response.
    pub timeout: Duration,
    /// Target time to the response, or to its first event.
    pub objective: Duration,
    /// Target for the longest pause between two events.
    pub pause: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Services that answer the requests; at least one.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the service for a request. `draw` is a uniformly distributed random number.
    pub fn target(&self, draw: u32) -> &Arc<str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = (u64::from(draw) * total) >> 32;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return &target.service;
            }
            point -= weight;
        }
        &self.targets[0].service
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Maximum number of connections that a backend server accepts from all gateways
    /// together.
    pub max_connections: u32,
    /// Requests a second that a cold backend server can serve; zero if cold servers can
    /// serve as many as warm ones.
    pub cold_rate: f64,
    /// Path of the health check of the service's backend servers.
    pub health_path: Option<Arc<str>>,
    /// Properties of the service's model engines, if it has any.
    pub engine: Option<Engine>,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests that an engine runs at a time.
    pub slots: u32,
    /// Number of tokens that fit into an engine's memory.
    pub memory_tokens: u64,
    /// Duration of a step without load.
    pub step: Duration,
    /// Time that each stream of an engine adds to a step; zero if unknown.
    pub step_per_stream: Duration,
    /// Number of steps that a pass covers.
    pub steps: u32,
    /// Bandwidth at which an engine copies, in megabits a second; zero if unknown.
    pub copy_mbps: f64,
    /// Number of prompt tokens that an engine reads in a second.
    pub read_per_s: f64,
    /// Time that the group takes to become available once all its ranks are present.
    pub form: Duration,
    /// Experts, if the engines are ranks of a group.
    pub experts: Option<Experts>,
}

/// Properties of the experts of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Experts {
    /// Number of sets of layers; the layers of a set share one placement.
    pub sets: usize,
    /// Number of experts in each set.
    pub count: usize,
    /// Maximum number of experts of one set that a rank holds.
    pub placements: usize,
    /// Maximum number of experts of one set that a rank receives in one change.
    pub spare: usize,
    /// Fraction of a pass's work that the experts account for.
    pub share: f64,
    /// Size of one expert of a set, in megabytes.
    pub size_mb: f64,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: Arc<str>,
    /// Keys that authenticate the team's requests.
    pub keys: Vec<Arc<str>>,
    /// Priority, which outranks that of the route; 0 is the most urgent.
    pub priority: u32,
}

/// Size and time limits for clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version number; newer versions are higher.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; `None` if no request needs a key.
    pub teams: Option<Vec<Team>>,
    /// Limits for clients.
    pub limits: Limits,
}

/// Reason why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// No route of the request's host has a prefix that matches its path.
    #[error("no-route")]
    NoRoute,
    /// The request has no key, or an unknown one.
    #[error("unknown-key")]
    UnknownKey,
}

/// Route and team of an accepted request.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Team of the request, if its key belongs to one.
    pub team: Option<Arc<Team>>,
}

impl Grant {
    /// Returns the precedence of the request; 0 is the most urgent. The team's priority
    /// outranks the route's.
    pub fn precedence(&self) -> u32 {
        /// Upper bound on the priority of a route; higher ones are reduced below it.
        const TEAM_FACTOR: u32 = 1_000;
        let team = self.team.as_ref().map_or(0, |team| team.priority);
        team * TEAM_FACTOR + self.route.priority.min(TEAM_FACTOR - 1)
    }
}

/// A configuration indexed for lookups.
#[derive(Debug)]
pub struct Table {
    /// Version of the configuration.
    pub version: u64,
    /// Limits for clients.
    pub limits: Limits,
    /// Routes by host name, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Teams by key; `None` if no request needs a key.
    keys: Option<HashMap<Arc<str>, Arc<Team>>>,
    services: BTreeMap<Arc<str>, Arc<Service>>,
}

impl Table {
    /// Builds the table of a configuration.
    pub fn new(config: Config) -> Table {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in config.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = config.teams.map(|teams| {
            let teams = teams.into_iter().map(Arc::new);
            let rows = teams.flat_map(|team| {
                let keys = team.keys.clone().into_iter();
                keys.map(move |key| (key, team.clone())).collect::<Vec<_>>()
            });
            rows.collect()
        });
        let services = config.services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Table { version: config.version, limits: config.limits, hosts, keys, services }
    }

    /// Looks up the route and the team of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`]; a missing route is reported before an unknown key.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Grant, Refusal> {
        let routes = self.hosts.get(host).ok_or(Refusal::NoRoute)?;
        let route = routes.iter().find(|route| path.starts_with(&*route.prefix));
        let route = route.ok_or(Refusal::NoRoute)?.clone();
        let Some(keys) = &self.keys else { return Ok(Grant { route, team: None }) };
        let team = key.and_then(|key| keys.get(key)).cloned();
        if team.is_none() && !route.anonymous {
            return Err(Refusal::UnknownKey);
        }
        Ok(Grant { route, team })
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
