//! What a driver asks of its group, and of the copy of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use loftcove_clock as boot;
use loftcove_decision::map::switch::{self, Switch};
use loftcove_decision::route;
use loftcove_interface::engine::{self, Engine};
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_mirror::membership;
use loftcove_wire as wire;

use crate::drive::{Driver, PUBLISH_PAUSE, Plan, SAMPLE, SLOW, SLOWNESS_ROUNDS, Stopped};
use crate::group::{self, View};
use crate::known::{self, Known};

impl<P: Protocol, S: Store, E: Engine> Driver<P, S, E> {
    /// Engines of this sidecar's service, with their zones.
    pub(super) fn engines(&self) -> BTreeMap<SocketAddr, Arc<str>> {
        let service = &*self.settings.engine.service;
        let servers = self.catalog.servers().filter(|server| *server.service == *service);
        servers.map(|server| (server.address, server.zone.clone())).collect()
    }

    /// What the configuration says of the engines and of their experts.
    pub(super) fn experts(&self) -> Option<(route::Engine, route::Experts)> {
        let service = &self.settings.engine.service;
        let services = &self.catalog.config()?.services;
        let engine = services.iter().find(|other| other.name == *service)?.engine.clone()?;
        let experts = engine.experts?;
        Some((engine, experts))
    }

    /// Learns which engine is which rank and what they hold, and ends what
    /// another driver has begun. Returns whether the whole group is known.
    pub(super) async fn learn(
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
            self.change(term, known, switch, &Plan::default()).await?;
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
        &self,
        term: u64,
        place: &engine::Group,
    ) -> Result<Vec<Option<(SocketAddr, wire::Condition)>>, Stopped> {
        let engines = self.engines();
        self.group.set(engines.clone());
        let group = place.name.to_string();
        let inspection = wire::Inspection { term, counts: false, experts: true, group };
        let before = membership::entry(&self.mirror, &place.name);
        let (members, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
            engines.into_keys().partition(|engine| before.members.contains(engine));
        let mut ranks = vec![None; place.size as usize];
        for addresses in [members, others] {
            if ranks.iter().all(Option::is_some) {
                break;
            }
            let survey = self.group.survey(&self.rank, &addresses, &inspection).await;
            for (address, condition) in survey.conditions {
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
    /// group, unless they know. Nothing waits for it.
    pub(super) fn publish(&mut self, place: &engine::Group, ranks: &[SocketAddr]) {
        let mut members = ranks.to_vec();
        members.sort();
        let entry = membership::Entry { service: self.settings.engine.service.clone(), members };
        let recent = self.published.is_some_and(|at| at.elapsed() < PUBLISH_PAUSE);
        if recent || membership::entry(&self.mirror, &place.name) == entry {
            return;
        }
        self.published = Some(boot::Instant::now());
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
        let ended = self.change(term, known, switch, &Plan::default()).await;
        known.view.ranks.clear();
        ended.map(|_| ())
    }

    /// Reads the counts of a sample of the ranks.
    pub(super) async fn count(&self, term: u64, slots: u32, known: &mut Known) {
        let ranks = &known.view.ranks;
        let stride = ranks.len().div_ceil(SAMPLE).max(1);
        let sample: Vec<SocketAddr> = ranks.iter().copied().step_by(stride).collect();
        let group = known.view.group.to_string();
        let inspection = wire::Inspection { term, counts: true, experts: false, group };
        let survey = self.group.sum(&self.rank, &sample, &inspection).await;
        let epoch = known.view.epoch;
        let conditions = survey.conditions.into_iter().map(|(_, condition)| condition);
        let same: Vec<wire::Condition> = conditions.filter(|c| c.epoch == epoch).collect();
        let requests: u32 = same.iter().map(|condition| condition.active + condition.queued).sum();
        let slots = slots * same.len() as u32;
        known.fill = f64::from(requests) / f64::from(slots.max(1));
        self.see_slowness(term, known, &same).await;
        known.demand.take(&survey.counts);
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
            all = self.group.survey(&self.rank, &known.view.ranks, &inspection).await.conditions;
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
}
