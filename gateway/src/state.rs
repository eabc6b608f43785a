//! What all requests of a gateway share.

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
use loftcove_interface::protocol::Protocol;
use loftcove_mirror::{self as mirror, catalog, membership, register};
use loftcove_settings::gateway as settings;

use crate::{drain, metrics, upstream};

/// Part of the retries allowed by the settings that is used: the rest is for
/// clients whose requests cross, and for counts that differ by timing.
const RETRY_MARGIN: f64 = 0.75;
/// Requests that may wait for a backend server.
const MAX_WAITING: usize = 512;
/// Shortest time after which a refused client is told to come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(300);
/// Time after which a client is told to come back whose group is broken. Groups
/// are down for seconds, and clients wait for a third of their time at most:
/// sooner would mostly be too soon.
const GROUP_RETURN: Duration = Duration::from_millis(2_600);

/// Where a backend server takes requests.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its run.
    pub run: fleet::Run,
    /// Address.
    pub address: SocketAddr,
    /// Connections that this gateway may keep to it.
    pub max_connections: usize,
    /// Path at which it tells whether it serves.
    pub health_path: Option<Arc<str>>,
}

/// The gateway. Lock order, where more than one is held: the dispatcher, then
/// the mirror; the pool of connections is taken alone.
pub struct Gateway<P> {
    /// Its settings.
    pub settings: settings::Gateway,
    /// Routes of the newest configuration; none before the first one.
    pub routes: ArcSwapOption<route::Table>,
    /// What is known of the store.
    pub mirror: Arc<mirror::Mirror>,
    /// Decisions, and the requests that wait for them.
    pub dispatcher: Arc<dispatch::Dispatcher<Target>>,
    /// Connections to backend servers.
    pub upstream: upstream::Pool,
    /// Whether it serves, drains or stops.
    pub life: drain::Life,
    /// Counters.
    pub metrics: metrics::Metrics,
    protocol: PhantomData<P>,
}

impl<P: Protocol> Gateway<P> {
    /// A gateway that knows nothing yet.
    pub fn new(settings: settings::Gateway) -> Gateway<P> {
        let ratio = settings.serving.retry_ratio * RETRY_MARGIN;
        let options = balancer::Options::default()
            .capacity(MAX_WAITING)
            .retry_ratio(ratio)
            .retry_reserve(0.0)
            .charge_full(true)
            .min_retry_after(SHORTEST_RETURN)
            .group_retry_after(GROUP_RETURN);
        let life = drain::Life::new(settings.serving.max_descriptors);
        Gateway {
            settings,
            routes: ArcSwapOption::empty(),
            mirror: Arc::default(),
            dispatcher: Arc::new(dispatch::Dispatcher::new(&options)),
            upstream: upstream::Pool::default(),
            life,
            metrics: metrics::Metrics::default(),
            protocol: PhantomData,
        }
    }

    /// Takes a configuration if it is newer than the present one.
    fn take_config(&self, config: &Arc<route::Config>) {
        let present = self.routes.load().as_ref().map(|table| table.version);
        if present.is_some_and(|version| version >= config.version) {
            return;
        }
        let version = config.version;
        self.routes.store(Some(Arc::new(route::Table::new(config.as_ref().clone()))));
        self.metrics.config_version.set(version as i64);
        log::info!("configuration version={version} before={}", present.unwrap_or(0));
    }

    /// Brings routes and backend servers up to the mirror.
    fn refresh(&self, catalog: &mut catalog::Catalog<P>) {
        catalog.update(&self.mirror);
        if let Some(config) = catalog.config() {
            self.take_config(config);
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
                log::info!("server limit lifted server={} ms={ms} from=store", run.id);
            }
        }
        let serving = &self.settings.serving;
        self.dispatcher.set_reserve(serving.retry_slack * RETRY_MARGIN / gateways as f64);
        let usable = !servers.is_empty();
        self.list(catalog, &servers, gateways);
        // Without backend servers it could only refuse.
        if usable && self.routes.load().is_some() {
            self.life.handle(lifecycle::Event::Ready);
        }
    }

    /// Service and group of each engine, as drivers have written them: for
    /// engines whose entries do not tell.
    fn groups(&self) -> BTreeMap<SocketAddr, (Arc<str>, Arc<str>)> {
        let mut groups = BTreeMap::new();
        for (group, entry) in membership::entries(&self.mirror) {
            for member in entry.members {
                groups.insert(member, (entry.service.clone(), group.clone()));
            }
        }
        groups
    }

    fn list(
        &self,
        catalog: &catalog::Catalog<P>,
        servers: &[(&fleet::Server, boot::Instant)],
        gateways: usize,
    ) {
        let routes = self.routes.load();
        let connections = |service: &str| {
            let service = routes.as_ref().and_then(|table| table.service(service).cloned());
            let most = service.map_or(u32::MAX, |service| service.max_connections) as usize;
            (most / gateways).max(1)
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
        let groups = self.groups();
        let rank = |server: &fleet::Server| match &server.rank {
            Some(rank) => {
                dispatch::Rank { group: rank.group.clone(), reported: Some(rank.clone()) }
            }
            None => {
                let known = groups.get(&server.address);
                let known = known.filter(|(service, _)| *service == server.service);
                // Until its members are known, a service counts as one group.
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
        self.upstream.keep(|run| runs.contains(run));
    }
}

/// Brings the gateway up to the mirror whenever it changes, until the process
/// ends.
pub async fn follow<P: Protocol>(gateway: Arc<Gateway<P>>) {
    let mut changes = gateway.mirror.subscribe();
    let mut catalog = catalog::Catalog::default();
    loop {
        changes.borrow_and_update();
        gateway.refresh(&mut catalog);
        if changes.changed().await.is_err() {
            return;
        }
    }
}
