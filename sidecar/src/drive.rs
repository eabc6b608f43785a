//! Drives a group: decides where its experts should be, and takes it there.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt as _};
use loftcove_decision::map::switch::{self, Switch};
use loftcove_decision::map::version;
use loftcove_decision::{fleet, route};
use loftcove_interface::engine::{self, Engine, Map};
use loftcove_interface::protocol::{Place, Protocol, Record};
use loftcove_interface::store::Store;
use loftcove_mirror::{Mirror, membership};
use loftcove_settings::gateway as settings;
use loftcove_wire as wire;
use tokio::sync::watch;

use crate::election::{self, Term};
use crate::group::{self, Connect, Group, View};
use crate::known::{self, Known, Stall};
use crate::metrics::Metrics;
use crate::plan;
use crate::rank::{Rank, Step};

/// Time between two looks at the counts.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks whether the group has opened, or has a driver.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Ranks whose counts are read: requests spread evenly, so that these stand
/// for all.
const SAMPLE: usize = 16;
/// Rounds from one look at the speed of all ranks to the next, where counts are
/// read from a part of them: a second, at the price of a small message a rank.
const SLOWNESS_ROUNDS: u32 = 5;
/// Slowness from which a rank counts as slow; what is below is left to the
/// spread of the load.
const SLOW: f64 = 1.2;
/// Time that a sidecar stays out after it stood for election in vain.
const ELECTION_PAUSE: Duration = Duration::from_millis(1_500);
/// Times that the pass is chosen anew because it began before it was held.
const MAX_HOLDS: u32 = 8;
/// Longest time for all ranks to prepare. Copying takes less than a second.
const PREPARE_TIME: Duration = Duration::from_secs(4);
/// Time between two looks whether the switch has taken place, and their number.
const SETTLE_POLL: Duration = Duration::from_millis(20);
/// See [`SETTLE_POLL`].
const SETTLE_POLLS: u32 = 25;
/// Time that a rank lets each lower one go first at an election.
const PAUSE_BY_RANK: Duration = Duration::from_millis(40);

/// What a driver works with.
pub struct Parts<S, E> {
    /// The engine beside it.
    pub rank: Arc<Rank<E>>,
    /// What is known of the store.
    pub mirror: Arc<Mirror>,
    /// The store.
    pub store: Arc<S>,
    /// Settings.
    pub settings: settings::Sidecar,
    /// Makes a client of an engine.
    pub connect: Connect<E>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// The driver.
pub struct Driver<P, S, E> {
    rank: Arc<Rank<E>>,
    mirror: Arc<Mirror>,
    store: Arc<S>,
    settings: settings::Sidecar,
    metrics: Arc<Metrics>,
    group: Group<E>,
    name: String,
    /// When it stood for election in vain.
    defeated: Option<Instant>,
    protocol: PhantomData<P>,
}

/// Why a change was left as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Stopped {
    /// The group has broken, or has formed anew.
    #[error("epoch is over")]
    Epoch,
    /// Another driver has a higher term.
    #[error("superseded")]
    Superseded,
    /// The term has made as many maps as it may.
    #[error("term is used up")]
    Exhausted,
}

impl<P: Protocol, S: Store, E: Engine> Driver<P, S, E> {
    /// A driver that is not elected.
    pub fn new(parts: Parts<S, E>) -> Driver<P, S, E> {
        let settings = parts.settings;
        let port = settings.peering.peer_address.port();
        let group = Group::new(settings.engine.address, port, parts.connect);
        Driver {
            rank: parts.rank,
            mirror: parts.mirror,
            store: parts.store,
            metrics: parts.metrics,
            group,
            name: election::run_name(&settings.host.name),
            settings,
            defeated: None,
            protocol: PhantomData,
        }
    }

    /// Stands for election and drives, again and again, until it is stopped.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut stall = Stall::default();
        while !*stop.borrow_and_update() {
            let Some((group, term)) = self.elect(&mut stall).await else {
                tokio::select! {
                    () = tokio::time::sleep(IDLE_INTERVAL) => {}
                    _ = stop.changed() => {}
                }
                continue;
            };
            log::info!("driver elected group={group} term={}", term.number);
            self.metrics.driving.set(1);
            self.drive(&group, term, &stop).await;
            self.metrics.driving.set(0);
            log::info!("driver resigned group={group} term={}", term.number);
            if let Err(error) = self.store.end(term.lease).await {
                log::warn!("lease not ended error=\"{error}\" next=lapse");
            }
        }
    }

    /// Stands for election if the group has no driver, or if its driver left
    /// it standing still within a change of the map.
    async fn elect(&mut self, stall: &mut Stall) -> Option<(Arc<str>, Term)> {
        let report = self.rank.engine.report().await.ok()?;
        let place = report.group.clone().filter(|place| place.open)?;
        let key = election::key(&place.name);
        let known = election::revision(&self.mirror, &key);
        let stalled = stall.look(&report, known);
        let defeated = self.defeated.is_some_and(|at| at.elapsed() < ELECTION_PAUSE);
        let own = election::was_own(&self.mirror, &key, &self.name);
        if (known != 0 && !stalled && !own) || defeated || self.engines().is_empty() {
            return None;
        }
        // The lowest rank goes first, so that few stand at once.
        if !own {
            let part = 1.0 + rand::random::<f64>();
            tokio::time::sleep(PAUSE_BY_RANK.mul_f64(f64::from(place.rank) * part)).await;
        }
        if election::revision(&self.mirror, &key) != known {
            return None;
        }
        if own {
            log::info!("earlier run drove group={} term={known}", place.name);
        } else if known != 0 {
            log::warn!("driver deposed group={} term={known} pass={}", place.name, report.pass);
        }
        let stand = election::stand(&*self.store, &self.mirror, &place.name, &self.name, known);
        let term = match stand.await {
            Ok(term) => term,
            Err(error) => {
                log::warn!("election failed group={} error=\"{error}\"", place.name);
                None
            }
        };
        self.defeated = term.is_none().then(Instant::now);
        term.map(|term| (place.name, term))
    }

    /// Addresses of the engines of this sidecar's service.
    fn engines(&self) -> Vec<SocketAddr> {
        let service = &*self.settings.engine.service;
        let servers = self.servers().into_iter().filter(|server| *server.service == *service);
        let mut addresses: Vec<SocketAddr> = servers.map(|server| server.address).collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    fn servers(&self) -> Vec<fleet::Server> {
        let records = P::PREFIXES.iter().flat_map(|prefix| self.mirror.below(prefix));
        let servers = records.filter(|record| matches!(P::place(&record.key), Place::Server(_)));
        let read = |record: loftcove_decision::mirror::Record| match P::record(
            &record.key,
            &record.value.unwrap_or_default(),
        ) {
            Ok(Record::Server(server)) => Some(server),
            Ok(_) => None,
            Err(error) => {
                log::error!("record not readable error=\"{error}\"");
                None
            }
        };
        servers.filter_map(read).collect()
    }

    /// Slots of an engine, and what the configuration says of the experts.
    fn experts(&self) -> Option<(route::Engine, route::Experts)> {
        let records = P::PREFIXES.iter().flat_map(|prefix| self.mirror.below(prefix));
        let config = records
            .filter(|record| P::place(&record.key) == Place::Config)
            .find_map(|record| P::record(&record.key, &record.value?).ok());
        let Some(Record::Config(config)) = config else { return None };
        let service = &self.settings.engine.service;
        let service = config.services.into_iter().find(|other| other.name == *service)?;
        let engine = service.engine?;
        let experts = engine.experts?;
        Some((engine, experts))
    }

    /// Drives until the term is over or the process is to stop.
    async fn drive(&mut self, group: &str, term: Term, stop: &watch::Receiver<bool>) {
        let (mirror, store) = (self.mirror.clone(), self.store.clone());
        let name: Arc<str> = group.into();
        let kept = tokio::spawn(async move {
            election::keep(&*store, &mirror, &name, term).await;
        });
        let mut known = Known::default();
        while !kept.is_finished() && !*stop.borrow() {
            let begun = Instant::now();
            if let Err(stopped) = self.round(term.number, &mut known).await {
                log::info!("round stopped term={} reason=\"{stopped}\"", term.number);
                if matches!(stopped, Stopped::Superseded | Stopped::Exhausted) {
                    break;
                }
                known.next_epoch();
            }
            tokio::time::sleep(INTERVAL.saturating_sub(begun.elapsed())).await;
        }
        kept.abort();
    }

    /// One round: learn, decide, change.
    async fn round(&mut self, term: u64, known: &mut Known) -> Result<(), Stopped> {
        let Ok(report) = self.rank.engine.report().await else { return Ok(()) };
        known.see_pass(report.pass);
        let Some(place) = report.group.filter(|place| place.open) else {
            known.view.ranks.clear();
            return Ok(());
        };
        let Some((engine, experts)) = self.experts() else { return Ok(()) };
        // A hold between two rounds is one of an earlier driver that came late.
        let stale_hold = report.held.is_some();
        if known.view.epoch != place.epoch || known.view.ranks.is_empty() || stale_hold {
            known.next_epoch();
            if !self.learn(term, &place, known).await? {
                return Ok(());
            }
        }
        self.count(term, engine.slots, known).await;
        plan::notice_shift(known, &experts);
        let Some(stage) = plan::decide(known, &engine, &experts) else { return Ok(()) };
        known.versions += 1;
        if known.versions >= version::MAPS_OF_A_TERM {
            return Err(Stopped::Exhausted);
        }
        let ranks = known.view.ranks.len();
        let version = version::encode(term, known.versions, place.rank as usize, ranks);
        let switch = Switch::new(ranks, version);
        let copying = stage.time.saturating_sub(known.switch_time());
        let map = Arc::new(stage.map);
        let begun = Instant::now();
        if self.change(term, known, switch, &map).await? == switch::Outcome::Switched {
            known.map = Arc::unwrap_or_clone(map);
            self.settle(version).await;
            known.see_switch(begun.elapsed(), copying);
        }
        Ok(())
    }

    /// Waits until the switch has taken place: an engine refuses to prepare
    /// another map before. A group without requests begins no pass.
    async fn settle(&self, version: u64) {
        for _ in 0..SETTLE_POLLS {
            match self.rank.engine.report().await {
                Ok(report) if report.map == version => return,
                _ => tokio::time::sleep(SETTLE_POLL).await,
            }
        }
    }

    /// Learns which engine is which rank and what they hold, and ends what
    /// another driver has begun. Returns whether the whole group is known.
    async fn learn(
        &mut self,
        term: u64,
        place: &engine::Group,
        known: &mut Known,
    ) -> Result<bool, Stopped> {
        let ranks = self.find(term, place).await?;
        let missing = ranks.iter().filter(|rank| rank.is_none()).count();
        if missing == 1 {
            self.release_without(term, place, &ranks, known).await?;
        }
        let Some(ranks) = ranks.into_iter().collect::<Option<Vec<_>>>() else {
            log::info!("group not known whole epoch={} missing={missing}", place.epoch);
            return Ok(false);
        };
        let (addresses, conditions): (Vec<_>, Vec<_>) = ranks.into_iter().unzip();
        self.publish(place, &addresses);
        known.view =
            View { group: place.name.clone(), epoch: place.epoch, ranks: addresses, conditions };
        let states: Vec<switch::Condition> =
            known.view.conditions.iter().map(group::condition).collect();
        if let Some(switch) = Switch::resume(&states) {
            log::warn!("change of an earlier driver found version={}", switch.version());
            let map = Arc::default();
            self.change(term, known, switch, &map).await?;
            known.view.ranks.clear();
            return Ok(false);
        }
        if states.iter().any(|state| state.armed.is_some()) {
            // An earlier driver's change takes place at its pass.
            known.view.ranks.clear();
            return Ok(false);
        }
        Ok(known::take_map(known))
    }

    /// Finds the engine of each rank: asks those that were its members before,
    /// and the service's others only where some are missing.
    async fn find(
        &mut self,
        term: u64,
        place: &engine::Group,
    ) -> Result<Vec<Option<(SocketAddr, wire::Condition)>>, Stopped> {
        let engines = self.engines();
        self.group.set(&engines);
        let group = place.name.to_string();
        let inspection = wire::Inspection { term, counts: false, experts: true, group };
        let before = membership::of(&self.mirror, &place.name);
        let (members, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
            engines.into_iter().partition(|engine| before.members.contains(engine));
        let mut ranks = vec![None; place.size as usize];
        for addresses in [members, others] {
            if ranks.iter().all(Option::is_some) {
                break;
            }
            for (address, condition) in
                self.group.inspect(&self.rank, &addresses, &inspection).await
            {
                if condition.group != *place.name {
                    continue;
                }
                if condition.term > term {
                    return Err(Stopped::Superseded);
                }
                let same = condition.epoch == place.epoch;
                if let Some(slot) = ranks.get_mut(condition.rank as usize).filter(|_| same) {
                    *slot = Some((address, condition));
                }
            }
        }
        Ok(ranks)
    }

    /// Tells the gateways, through the store, which engines belong to the
    /// group. Nothing waits for it.
    fn publish(&self, place: &engine::Group, ranks: &[SocketAddr]) {
        let mut members = ranks.to_vec();
        members.sort();
        let entry = membership::Entry { service: self.settings.engine.service.clone(), members };
        let (mirror, store) = (self.mirror.clone(), self.store.clone());
        let group = place.name.clone();
        tokio::spawn(async move { membership::publish(&*store, &mirror, &group, &entry).await });
    }

    /// Lets the group go on that a driver left held whose own rank is the only
    /// one that did not answer, and cannot have been armed.
    async fn release_without(
        &self,
        term: u64,
        place: &engine::Group,
        ranks: &[Option<(SocketAddr, wire::Condition)>],
        known: &mut Known,
    ) -> Result<(), Stopped> {
        let state = |rank: &Option<(SocketAddr, wire::Condition)>| {
            rank.as_ref().map(|(_, condition)| group::condition(condition))
        };
        let states: Vec<Option<switch::Condition>> = ranks.iter().map(state).collect();
        let pass = ranks.iter().flatten().map(|(_, condition)| condition.pass).max();
        let Some(switch) = Switch::resume_without(&states, pass.unwrap_or(0)) else {
            return Ok(());
        };
        log::warn!(
            "held group let go on without its driver's rank version={} pass={}",
            switch.version(),
            switch.pass()
        );
        // The rank that did not answer gets no order.
        let own = self.settings.engine.address;
        let address = |rank: &Option<(SocketAddr, wire::Condition)>| {
            rank.as_ref().map_or(own, |(address, _)| *address)
        };
        known.view.group = place.name.clone();
        known.view.epoch = place.epoch;
        known.view.ranks = ranks.iter().map(address).collect();
        let ended = self.change(term, known, switch, &Arc::default()).await;
        known.view.ranks.clear();
        ended.map(|_| ())
    }

    /// Reads the counts of a sample of the ranks.
    async fn count(&self, term: u64, slots: u32, known: &mut Known) {
        let ranks = &known.view.ranks;
        let stride = ranks.len().div_ceil(SAMPLE).max(1);
        let sample: Vec<SocketAddr> = ranks.iter().copied().step_by(stride).collect();
        let group = known.view.group.to_string();
        let inspection = wire::Inspection { term, counts: true, experts: false, group };
        let answers = self.group.inspect(&self.rank, &sample, &inspection).await;
        let epoch = known.view.epoch;
        let same: Vec<wire::Condition> =
            answers.into_iter().map(|(_, c)| c).filter(|c| c.epoch == epoch).collect();
        let requests: u32 = same.iter().map(|condition| condition.active + condition.queued).sum();
        let slots = slots * same.len() as u32;
        known.fill = f64::from(requests) / f64::from(slots.max(1));
        self.see_slowness(term, known, &same).await;
        known.demand.take(same.into_iter().map(|c| (c.rank, c.counts)).collect());
    }

    /// Takes how slow ranks are: at each round those of the sample, and at some
    /// rounds all others.
    async fn see_slowness(&self, term: u64, known: &mut Known, sample: &[wire::Condition]) {
        let ranks = known.view.ranks.len();
        known.slowness.resize(ranks, 1.0);
        known.rounds += 1;
        let mut all = Vec::new();
        if sample.len() < ranks && known.rounds >= SLOWNESS_ROUNDS {
            known.rounds = 0;
            let group = known.view.group.to_string();
            let inspection = wire::Inspection { term, counts: false, experts: false, group };
            all = self.group.inspect(&self.rank, &known.view.ranks, &inspection).await;
        }
        let others = all.iter().map(|(_, condition)| condition);
        for condition in sample.iter().chain(others) {
            let Some(slowness) = known.slowness.get_mut(condition.rank as usize) else { continue };
            let now = if condition.slowness < SLOW { 1.0 } else { condition.slowness };
            if (now - *slowness).abs() > f64::EPSILON {
                log::info!("rank's speed changed rank={} slowness={now:.2}", condition.rank);
            }
            *slowness = now;
        }
    }

    /// Takes a change to its end.
    async fn change(
        &self,
        term: u64,
        known: &mut Known,
        mut switch: Switch,
        map: &Arc<Map>,
    ) -> Result<switch::Outcome, Stopped> {
        let begun = Instant::now();
        let mut holds = 0;
        let mut held = begun;
        let outcome = loop {
            if let Some(outcome) = switch.outcome() {
                break outcome;
            }
            if switch.prepared() {
                holds += 1;
                let Ok(report) = self.rank.engine.report().await else { continue };
                if holds > MAX_HOLDS {
                    break switch::Outcome::Abandoned;
                }
                switch.hold(report.pass + known.ahead());
                held = Instant::now();
            }
            self.phase(term, known, &mut switch, map).await?;
            if !switch.committed() && begun.elapsed() > PREPARE_TIME {
                break switch::Outcome::Abandoned;
            }
        };
        let time = begun.elapsed();
        if holds > 0 {
            self.metrics.held.observe(held.elapsed().as_secs_f64());
            known.arm_time = held.elapsed().max(known.arm_time.mul_f64(known::ARM_TIME_KEPT));
        }
        log::info!(
            "map change outcome={outcome:?} term={term} epoch={} version={} pass={} holds={holds} ms={}",
            known.view.epoch,
            switch.version(),
            switch.pass(),
            time.as_millis()
        );
        self.metrics.change.observe(time.as_secs_f64());
        match outcome {
            switch::Outcome::Switched => self.metrics.switched.inc(),
            switch::Outcome::Abandoned => self.metrics.abandoned.inc(),
        };
        Ok(outcome)
    }

    /// Gives the orders of the present phase and takes their effects.
    async fn phase(
        &self,
        term: u64,
        known: &Known,
        switch: &mut Switch,
        map: &Arc<Map>,
    ) -> Result<(), Stopped> {
        let epoch = known.view.epoch;
        let carry = async |rank: usize, order: switch::Order| {
            let group = known.view.group.clone();
            let step = Step { group, term, epoch, order: group::order(order, map) };
            let address = known.view.ranks[rank];
            (rank, order, self.group.carry(&self.rank, address, &step).await)
        };
        let orders = switch.orders();
        let mut running: FuturesUnordered<_> =
            orders.into_iter().map(|(rank, order)| carry(rank, order)).collect();
        while let Some((rank, order, carried)) = running.next().await {
            if carried.condition.is_some_and(|condition| condition.epoch != epoch) {
                return Err(Stopped::Epoch);
            }
            let effect = match carried.effect {
                wire::Effect::Confirmed => switch::Effect::Confirmed,
                wire::Effect::Refused => switch::Effect::Refused,
                wire::Effect::Superseded => return Err(Stopped::Superseded),
                wire::Effect::Unknown | wire::Effect::Unspecified => switch::Effect::Unknown,
            };
            if effect != switch::Effect::Confirmed {
                log::info!("order rank={rank} order={order:?} effect={effect:?}");
            }
            switch.effect(rank, order, effect);
        }
        Ok(())
    }
}
