//! Reads the driver's view of its group from the ranks and from the local copy of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use loftcove_decision::map::switch::{self, Switch};
use loftcove_decision::map::takeover;
use loftcove_decision::route;
use loftcove_decision::routing::speed::MIN_SLOWNESS;
use loftcove_interface::engine::{self, Engine};
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_mirror::membership;
use loftcove_wire as wire;

use crate::drive::{Driver, Plan, SAMPLE_SIZE, SLOWNESS_ROUNDS, Stopped};
use crate::group::{self, View};
use crate::publish;
use crate::state::{self, State};

impl<P: Protocol, S: Store, E: Engine> Driver<P, S, E> {
    /// Returns the engines of this sidecar's service, with their availability zones.
    pub(super) fn engines(&self) -> BTreeMap<SocketAddr, Arc<str>> {
        let service = &*self.settings.engine.service;
        let servers = self.catalog.servers().filter(|server| *server.service == *service);
        servers.map(|server| (server.address, server.zone.clone())).collect()
    }

    /// Returns the configuration of the engines and of their experts.
    pub(super) fn engine_config(&self) -> Option<(route::Engine, route::Experts)> {
        let service = &self.settings.engine.service;
        let services = &self.catalog.config()?.services;
        let engine = services.iter().find(|other| other.name == *service)?.engine.clone()?;
        let experts = engine.experts?;
        Some((engine, experts))
    }

    /// Determines which engine is which rank and which experts it holds, and completes or undoes a
    /// change that another driver has begun. Returns whether the state of the whole group is known.
    pub(super) async fn discover(
        &mut self,
        term: u64,
        place: &engine::Group,
        state: &mut State,
    ) -> Result<bool, Stopped> {
        let mut ranks = self.find_ranks(term, place).await?;
        let missing = place.size as usize - ranks.len();
        if missing > 0 {
            if missing == 1 {
                let ranks: Vec<_> = (0..place.size).map(|rank| ranks.remove(&rank)).collect();
                self.release_without(term, place, &ranks, state).await?;
            }
            log::info!("group incomplete epoch={} missing={missing}", place.epoch);
            return Ok(false);
        }
        let (addresses, conditions): (Vec<_>, Vec<_>) = ranks.into_values().unzip();
        state.view =
            View { group: place.name.clone(), epoch: place.epoch, ranks: addresses, conditions };
        // A driver that was just elected must not write that all ranks are usual.
        state.slowness = vec![1.0; state.view.ranks.len()];
        record_slowness(&mut state.slowness, &state.view.conditions);
        self.publish(term, place, state);
        let states: Vec<switch::Condition> =
            state.view.conditions.iter().map(group::condition).collect();
        if let Some(switch) = Switch::resume(&states) {
            log::warn!("unfinished change of an earlier driver version={}", switch.version());
            self.run_change(term, state, switch, &Plan::default()).await?;
            state.view.ranks.clear();
            return Ok(false);
        }
        if states.iter().any(|state| state.armed.is_some()) {
            // The ranks are armed, so that the earlier driver's change takes effect at its pass.
            state.view.ranks.clear();
            return Ok(false);
        }
        Ok(state::load_map(state))
    }

    /// Determines the engine of each rank that answers. Queries the previous members first, and the
    /// other engines of the service only if ranks are missing. The number of ranks is what an engine
    /// reports, so nothing is allocated by it.
    async fn find_ranks(
        &self,
        term: u64,
        place: &engine::Group,
    ) -> Result<BTreeMap<u32, (SocketAddr, wire::Condition)>, Stopped> {
        let engines = self.engines();
        self.group.set_engines(engines.clone());
        let group = place.name.to_string();
        let inspection = wire::Inspection { term, counts: false, experts: true, group };
        let before = membership::entry(&self.mirror, &place.name);
        let (members, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
            engines.into_keys().partition(|engine| before.members.contains(engine));
        let mut ranks = BTreeMap::new();
        for addresses in [members, others] {
            if ranks.len() == place.size as usize {
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
                if condition.epoch == place.epoch && condition.rank < place.size {
                    ranks.insert(condition.rank, (address, condition));
                }
            }
        }
        Ok(ranks)
    }

    /// Has the engines of the group and its slow ranks written to the store for the gateways. Runs
    /// in the background.
    pub(super) fn publish(&self, term: u64, place: &engine::Group, state: &State) {
        let mut members = state.view.ranks.clone();
        members.sort();
        let ranks = state.view.ranks.iter().zip(&state.slowness);
        let slow = ranks.filter(|(_, slowness)| **slowness >= MIN_SLOWNESS);
        let slow = slow
            .map(|(address, slowness)| membership::Slow { address: *address, slowness: *slowness });
        let mut slow: Vec<membership::Slow> = slow.collect();
        slow.sort_by_key(|rank| rank.address);
        self.metrics.slow_ranks.set(slow.len() as i64);
        let measured_in = (!slow.is_empty()).then_some(term);
        let service = self.settings.engine.service.clone();
        let entry = membership::Entry { service, members, slow, term: measured_in };
        let wanted = publish::Wanted { group: place.name.clone(), term, entry };
        self.wanted.send_replace(Some(wanted));
    }

    /// Releases a group that a driver left held, if the driver's own rank is the only one that did
    /// not answer and the others show whether that rank is armed.
    async fn release_without(
        &self,
        term: u64,
        place: &engine::Group,
        ranks: &[Option<(SocketAddr, wire::Condition)>],
        state: &mut State,
    ) -> Result<(), Stopped> {
        let to_condition = |rank: &Option<(SocketAddr, wire::Condition)>| {
            rank.as_ref().map(|(_, condition)| group::condition(condition))
        };
        let states: Vec<Option<switch::Condition>> = ranks.iter().map(to_condition).collect();
        let pass = ranks.iter().flatten().map(|(_, condition)| condition.pass).max();
        let pass = pass.unwrap_or(0);
        let decision = takeover::decide(&states, pass);
        let Some(switch) = Switch::resume_without(&states, pass) else {
            // A group that is not held is surveyed in each round, and there is nothing to decide.
            if decision.reason != takeover::Reason::NotHeld {
                log::info!(
                    "change left as it is version={} reason=\"{}\"",
                    decision.version,
                    decision.reason
                );
            }
            return Ok(());
        };
        log::warn!(
            "releasing held group without its driver's rank version={} pass={} action={:?} reason=\"{}\"",
            switch.version(),
            switch.pass(),
            decision.action,
            decision.reason
        );
        // The rank that did not answer is sent no order, so that any address does.
        let own = self.settings.engine.address;
        let address = |rank: &Option<(SocketAddr, wire::Condition)>| {
            rank.as_ref().map_or(own, |(address, _)| *address)
        };
        state.view.group = place.name.clone();
        state.view.epoch = place.epoch;
        state.view.ranks = ranks.iter().map(address).collect();
        let ended = self.run_change(term, state, switch, &Plan::default()).await;
        state.view.ranks.clear();
        ended.map(|_| ())
    }

    /// Reads the counts of a sample of the ranks.
    pub(super) async fn read_counts(&self, term: u64, slots: u32, state: &mut State) {
        let ranks = &state.view.ranks;
        let stride = ranks.len().div_ceil(SAMPLE_SIZE).max(1);
        let sample: Vec<SocketAddr> = ranks.iter().copied().step_by(stride).collect();
        let group = state.view.group.to_string();
        let inspection = wire::Inspection { term, counts: true, experts: false, group };
        let survey = self.group.sum(&self.rank, &sample, &inspection).await;
        let epoch = state.view.epoch;
        let conditions = survey.conditions.into_iter().map(|(_, condition)| condition);
        let same: Vec<wire::Condition> = conditions.filter(|c| c.epoch == epoch).collect();
        let requests: u32 = same.iter().map(|condition| condition.active + condition.queued).sum();
        let slots = slots * same.len() as u32;
        state.fill = f64::from(requests) / f64::from(slots.max(1));
        self.update_slowness(term, state, &same).await;
        state.demand.add(&survey.counts);
    }

    /// Updates the slowness of the ranks: of the sample in each round, and of all ranks every
    /// [`SLOWNESS_ROUNDS`] rounds.
    async fn update_slowness(&self, term: u64, state: &mut State, sample: &[wire::Condition]) {
        let ranks = state.view.ranks.len();
        state.slowness.resize(ranks, 1.0);
        state.rounds += 1;
        let mut all = Vec::new();
        if sample.len() < ranks && state.rounds >= SLOWNESS_ROUNDS {
            state.rounds = 0;
            let group = state.view.group.to_string();
            let inspection = wire::Inspection { term, counts: false, experts: false, group };
            all = self.group.survey(&self.rank, &state.view.ranks, &inspection).await.conditions;
        }
        let others = all.iter().map(|(_, condition)| condition);
        record_slowness(&mut state.slowness, sample.iter().chain(others));
    }
}

/// Records the slowness that ranks report.
fn record_slowness<'a>(
    slowness: &mut [f64],
    conditions: impl IntoIterator<Item = &'a wire::Condition>,
) {
    for condition in conditions {
        let Some(before) = slowness.get_mut(condition.rank as usize) else { continue };
        let now = if condition.slowness < MIN_SLOWNESS { 1.0 } else { condition.slowness };
        if (now - *before).abs() > f64::EPSILON {
            log::info!("rank slowness changed rank={} slowness={now:.2}", condition.rank);
        }
        *before = now;
    }
}
