//! The operators' routes: which backend may answer a request, for how long,
//! and for whom.
//!
//! A [`Config`] is what operators wrote, at one version; a [`Table`] is the
//! same laid out for look-ups. A table never changes: a new version makes a
//! new one, and a process goes over to it only forwards.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// What may be done with a request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a series of events.
    Streaming {
        /// Whether another backend server may go on after an event, which
        /// also means that it may run more than once.
        resumable: bool,
    },
}

impl Kind {
    /// Whether the request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Streaming { resumable: true })
    }

    /// Whether it is answered with a series of events.
    pub fn streaming(self) -> bool {
        matches!(self, Kind::Streaming { .. })
    }
}

/// A service that a route sends a part of its requests to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its part, relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that it is for.
    pub host: Arc<str>,
    /// Beginning of the paths that it is for, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be done with its requests.
    pub kind: Kind,
    /// Longest time from a request to the end of its answer.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is wanted.
    pub objective: Duration,
    /// Longest wanted pause between two events.
    pub pause: Option<Duration>,
    /// Urgency; 0 goes first.
    pub priority: u32,
    /// Services that answer; at least one.
    pub targets: Vec<Target>,
    /// Backend servers that one request may be sent to at the most.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// The service for a request, by a number drawn evenly from all `u32`.
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
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one of its backend servers takes from everybody together.
    pub max_connections: u32,
    /// Requests a second that one of them can serve while it is cold; zero where cold
    /// ones can serve as many as others.
    pub cold_rate: f64,
    /// Path at which its backend servers tell whether they serve.
    pub health_path: Option<Arc<str>>,
    /// What is known of its model engines, if it has any.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs at a time.
    pub slots: u32,
    /// Tokens that an engine has memory for.
    pub memory_tokens: u64,
    /// Time of a step without any work.
    pub step: Duration,
    /// Time that each stream of an engine adds to a step; zero where it is not told.
    pub step_per_stream: Duration,
    /// Steps that a pass plays.
    pub steps: u32,
    /// Bandwidth at which an engine copies, megabits a second; zero where it is
    /// not told.
    pub copy_mbps: f64,
    /// Prompt tokens that an engine reads in a second.
    pub read_per_s: f64,
    /// How long the group takes to open once all its ranks are there.
    pub form: Duration,
    /// Experts, if the engines are ranks of a group.
    pub experts: Option<Experts>,
}

/// Experts of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Experts {
    /// Sets of layers that share their placement.
    pub sets: usize,
    /// Experts of each set.
    pub count: usize,
    /// Experts of one set that a rank may hold.
    pub placements: usize,
    /// Experts of one set that a rank may take in by one change.
    pub spare: usize,
    /// Part of a pass's work that is the experts'.
    pub share: f64,
    /// Size of one expert of a set, megabytes.
    pub size_mb: f64,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: Arc<str>,
    /// Keys that its requests may bear.
    pub keys: Vec<Arc<str>>,
    /// Urgency, which goes before that of the route; 0 goes first.
    pub priority: u32,
}

/// What a client may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// The operators' configuration at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its version; a later one is higher.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; `None` where requests need no key at all.
    pub teams: Option<Vec<Team>>,
    /// Limits for clients.
    pub limits: Limits,
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// No route of its host begins its path.
    #[error("no-route")]
    NoRoute,
    /// It bears no key, or an unknown one.
    #[error("unknown-key")]
    UnknownKey,
}

/// What a request may do.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Its route.
    pub route: Arc<Route>,
    /// Its team, if it bears a key.
    pub team: Option<Arc<Team>>,
}

impl Grant {
    /// Urgency of the request: the team's goes before the route's.
    pub fn precedence(&self) -> u32 {
        /// More than any priority of a route.
        const TEAM_FACTOR: u32 = 1_000;
        let team = self.team.as_ref().map_or(0, |team| team.priority);
        team * TEAM_FACTOR + self.route.priority.min(TEAM_FACTOR - 1)
    }
}

/// A configuration laid out for look-ups.
#[derive(Debug)]
pub struct Table {
    /// The configuration's version.
    pub version: u64,
    /// Limits for clients.
    pub limits: Limits,
    /// By host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: Option<HashMap<Arc<str>, Arc<Team>>>,
    services: BTreeMap<Arc<str>, Arc<Service>>,
}

impl Table {
    /// Lays a configuration out.
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

    /// Finds a request's route and team.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; a missing route goes before an unknown key.
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

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
