//! State that all requests of a gateway share.

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use loftcove_clock as boot;
use loftcove_decision::routing::rate;
use loftcove_decision::{balancer, fleet, lifecycle, pass, route};
use loftcove_dispatch as dispatch;
use loftcove_intake::{connections, grpc, memory};
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;
use loftcove_mirror::{self as mirror, catalog, membership, register};
use loftcove_settings::gateway as settings;
use loftcove_startup::limits;

use crate::{drain, metrics, moves, pulse, queue, quotas, shares, speed, upstream};

/// Fraction of the configured retry allowance that is used. The remainder covers clients whose
/// requests cross on the way, and counts that differ by timing.
const RETRY_MARGIN: f64 = 0.75;
/// Maximum number of requests that wait for a backend server.
const MAX_WAITING: usize = 512;
/// Minimum retry delay for the client of a rejected request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay for clients of a group that is unavailable. A group is unavailable for seconds, and
/// clients wait for at most a third of their time, so a shorter delay would mostly bring them back
/// too early.
const GROUP_RETRY_AFTER: Duration = Duration::from_millis(2_600);

/// How to reach a backend server.
#[derive(Debug, Clone)]
pub struct Target {
    /// Run of the server.
    pub run: fleet::Run,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Maximum number of idle connections that this gateway keeps to the server.
    pub max_connections: usize,
    /// Path of the health check, which reports whether the server serves.
    pub health_path: Option<Arc<str>>,
}

/// State of the gateway. Lock order, where more than one lock is held: the dispatcher, then the
/// mirror. The lock of the connection pool is never held together with another one.
pub struct Gateway<P> {
    /// Settings of the gateway.
    pub settings: settings::Gateway,
    /// Routes of the newest configuration. Empty until the first one has been received.
    pub routes: ArcSwapOption<route::Table>,
    /// Local copy of the store's contents.
    pub mirror: Arc<mirror::Mirror>,
    /// Dispatching decisions, and the requests that wait for them.
    pub dispatcher: Arc<dispatch::Dispatcher<Target>>,
    /// Pool of connections to backend servers.
    pub upstream: upstream::Pool,
    /// Bounds of the bytes that wait for clients.
    pub buffers: queue::Bounds,
    /// Memory that clients and backend servers make the process hold, other than `buffers`.
    pub memory: memory::Account,
    /// Connections and messages of other processes of the deployment.
    pub peers: grpc::Intake,
    /// Lifecycle of the process, which tells whether it serves, drains or stops.
    pub lifecycle: drain::Lifecycle,
    /// Metrics of the gateway.
    pub metrics: metrics::Metrics,
    /// Shares of the teams in the arriving requests.
    pub shares: shares::Shares,
    /// Bound on the log lines about moved streams.
    pub moves: moves::Log,
    /// Whether the process was stopped for a while.
    pub pulse: pulse::Pulse,
    protocol: PhantomData<P>,
}

impl<P: Protocol> Gateway<P> {
    /// Creates a gateway that has received neither a configuration nor a list of backend servers. Its
    /// process may use `bounds`, with the descriptors of `quotas`.
    pub fn new(
        settings: settings::Gateway,
        bounds: limits::Bounds,
        quotas: &quotas::Quotas,
    ) -> Gateway<P> {
        let ratio = settings.serving.retry_ratio * RETRY_MARGIN;
        let options = balancer::Options::default()
            .capacity(MAX_WAITING)
            .retry_ratio(ratio)
            .retry_reserve(0.0)
            .charge_full(true)
            .min_retry_after(MIN_RETRY_AFTER)
            .group_retry_after(GROUP_RETRY_AFTER);
        let lifecycle = drain::Lifecycle::new(quotas.clients.clone());
        let serving = &settings.serving;
        let kb = |kb: u64| usize::try_from(kb).unwrap_or(usize::MAX).saturating_mul(1_024);
        let queued = kb(serving.clients_buffer_mb().saturating_mul(1_024));
        // The host may allow less memory than the settings name.
        let limited = bounds.memory < kb(serving.memory_mb.saturating_mul(1_024));
        let queued = if limited { queued.min(bounds.memory / 8) } else { queued };
        let buffers = queue::Bounds::new(kb(serving.client_buffer_kb), queued);
        let memory = memory::Account::of_process(
            bounds.memory,
            queued + grpc::connection_memory(bounds.memory),
        );
        let peers = connections::Connections::of(quotas.peers.clone());
        let peers = grpc::Intake::of(peers, memory.clone());
        let metrics = metrics::Metrics::default();
        Gateway {
            settings,
            routes: ArcSwapOption::empty(),
            mirror: Arc::default(),
            dispatcher: Arc::new(dispatch::Dispatcher::new(&options)),
            upstream: upstream::Pool::new(quotas.servers.clone()),
            buffers,
            memory,
            peers,
            lifecycle,
            metrics,
            shares: shares::Shares::default(),
            moves: moves::Log::default(),
            pulse: pulse::Pulse::default(),
            protocol: PhantomData,
        }
    }

    /// Applies a configuration if it is newer than the current one.
    fn apply_config(&self, config: &Arc<route::Config>) {
        let current = self.routes.load().as_ref().map(|table| table.version);
        if current.is_some_and(|version| version >= config.version) {
            return;
        }
        let version = config.version;
        self.routes.store(Some(Arc::new(route::Table::new(config.as_ref().clone()))));
        self.metrics.config_version.set(version as i64);
        log::info!("configuration version={version} before={}", current.unwrap_or(0));
    }

    /// Applies the mirror's current routes and backend servers.
    fn refresh(&self, catalog: &mut catalog::Catalog<P>) {
        catalog.update(&self.mirror);
        if let Some(config) = catalog.config() {
            self.apply_config(config);
        }
        let servers: Vec<(&fleet::Server, boot::Instant)> = catalog.servers_cold_until().collect();
        let drained = servers.iter().filter(|(server, _)| catalog.drained(server)).count();
        self.metrics.drained_servers.set(drained as i64);
        self.metrics.unusable_entries.set(catalog.unusable() as i64);
        let entries = register::entries(&self.mirror);
        let gateways = entries.len().max(1);
        let number = entries.iter().position(|(name, _)| *name == self.settings.host.name);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let share = balancer::Share { number: count(number.unwrap_or(0)), of: count(gateways) };
        self.dispatcher.set_share_of_servers(share);
        let host = &self.settings.host;
        let own = rate::Peer { name: host.name.clone(), zone: host.zone.clone() };
        let listed = entries.into_iter().map(|(name, entry)| rate::Peer { name, zone: entry.zone });
        self.dispatcher.set_peers(rate::Peers::new(own, listed));
        for run in self.mirror.lifts.take_updates(&self.mirror) {
            if let Some(time) = self.dispatcher.lift_limit(&run) {
                let ms = time.as_millis();
                log::info!(
                    "server limit lifted server={} ms={ms} from=store",
                    field::Text(&run.id)
                );
            }
        }
        self.set_retry_reserve(gateways);
        let usable = !servers.is_empty();
        self.update_servers(catalog, &servers, gateways);
        // A gateway without backend servers could only reject requests.
        if usable && self.routes.load().is_some() {
            self.lifecycle.handle(lifecycle::Event::Ready);
        }
    }

    /// Divides the fixed part of the retry allowance among the gateways.
    fn set_retry_reserve(&self, gateways: usize) {
        let reserve = self.settings.serving.retry_slack * RETRY_MARGIN / gateways as f64;
        let reserve = self.dispatcher.set_reserve(reserve);
        let before = self.metrics.gateways.set(gateways as i64);
        if before != gateways as i64 {
            log::info!("retry budget reserve={reserve:.2} gateways={gateways} before={before}");
        }
    }

    /// Returns service and group of each engine, as the drivers have written them. They are used
    /// for engines whose entries don't name their group.
    fn groups_by_member(&self) -> BTreeMap<SocketAddr, (Arc<str>, Arc<str>)> {
        let mut groups = BTreeMap::new();
        for known in membership::entries(&self.mirror) {
            for member in known.entry.members {
                groups.insert(member, (known.entry.service.clone(), known.group.clone()));
            }
        }
        groups
    }

    /// Applies the speeds of the ranks that are known and not too old.
    fn apply_speeds(&self, catalog: &catalog::Catalog<P>, speeds: &mut speed::Tracker) {
        speeds.observe(membership::entries(&self.mirror), boot::Instant::now());
        for speed::Current { group, service, slow } in speeds.current(boot::Instant::now()) {
            let service = &service;
            let ids = slow.iter().flat_map(|rank| {
                let at = move |server: &&fleet::Server| {
                    server.address == rank.address && server.service == *service
                };
                let ids = catalog.servers().filter(at).map(|server| server.run().id);
                ids.map(|id| (id, rank.slowness))
            });
            let ids: Vec<(Arc<str>, f64)> = ids.collect();
            self.dispatcher.set_speeds(&group, &ids);
        }
    }

    fn update_servers(
        &self,
        catalog: &catalog::Catalog<P>,
        servers: &[(&fleet::Server, boot::Instant)],
        gateways: usize,
    ) {
        let routes = self.routes.load();
        let connections = |service: &str| {
            let service = routes.as_ref().and_then(|table| table.service(service).cloned());
            let total = service.map_or(u32::MAX, |service| service.max_connections) as usize;
            (total / gateways).max(1)
        };
        let lockstep = |service: &str| {
            let service = routes.as_ref().and_then(|table| table.service(service));
            service.is_some_and(|service| {
                service.engine.as_ref().is_some_and(|engine| engine.experts.is_some())
            })
        };
        let health_path = |service: &str| {
            let service = routes.as_ref().and_then(|table| table.service(service));
            service.and_then(|service| service.health_path.clone())
        };
        let groups = self.groups_by_member();
        let rank = |server: &fleet::Server| match &server.rank {
            Some(rank) => {
                dispatch::Rank { group: rank.group.clone(), reported: Some(rank.clone()) }
            }
            None => {
                let known = groups.get(&server.address);
                let known = known.filter(|(service, _)| *service == server.service);
                // A service counts as one group until its members are known.
                let group =
                    known.map_or_else(|| server.service.clone(), |(_, group)| group.clone());
                dispatch::Rank { group, reported: None }
            }
        };
        let cold = |server: &fleet::Server, until: boot::Instant| {
            let service = routes.as_ref().and_then(|table| table.service(&server.service));
            let rate = service.map_or(0.0, |service| service.cold_rate);
            (rate > 0.0 && !server.cold.is_zero()).then_some((until, rate))
        };
        let listing = |(server, until): &(&fleet::Server, boot::Instant)| dispatch::Listing {
            run: server.run(),
            pool: server.service.clone(),
            rank: lockstep(&server.service).then(|| rank(server)),
            zone: server.zone.clone(),
            local: *server.zone == *self.settings.host.zone,
            leaving: server.draining,
            drained: catalog.drained(server),
            cold: cold(server, *until),
            slots: server.slots,
            target: Target {
                run: server.run(),
                address: server.address,
                max_connections: connections(&server.service),
                health_path: health_path(&server.service),
            },
        };
        for service in routes.iter().flat_map(|table| table.services()) {
            if let Some(engine) = &service.engine {
                let cost = pass::Cost::new(engine.step, engine.step_per_stream, engine.steps);
                self.dispatcher.set_cost(&service.name, cost);
                self.dispatcher.set_form_time(&service.name, engine.form);
            }
        }
        self.dispatcher.list(servers.iter().map(listing).collect());
        let runs: BTreeSet<fleet::Run> = servers.iter().map(|(server, _)| server.run()).collect();
        self.upstream.retain(|run| runs.contains(run));
    }
}

/// Applies each change of the mirror to the gateway until the process exits.
pub async fn follow<P: Protocol>(gateway: Arc<Gateway<P>>) {
    let mut changes = gateway.mirror.subscribe();
    let mut catalog = catalog::Catalog::default();
    let mut speeds = speed::Tracker::default();
    loop {
        changes.borrow_and_update();
        gateway.refresh(&mut catalog);
        gateway.apply_speeds(&catalog, &mut speeds);
        loop {
            let check = speeds.next_check(boot::Instant::now());
            tokio::select! {
                changed = changes.changed() => match changed {
                    Ok(()) => break,
                    Err(_) => return,
                },
                () = tokio::time::sleep(check.unwrap_or_default()), if check.is_some() => {
                    gateway.apply_speeds(&catalog, &mut speeds);
                }
            }
        }
    }
}
