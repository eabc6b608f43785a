//! Execution of a change of the map by the driver.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures_util::stream::{FuturesUnordered, StreamExt as _};
use loftcove_clock as boot;
use loftcove_decision::map::switch::{self, Switch};
use loftcove_interface::engine::Engine;
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_wire as wire;

use crate::broadcast::Broadcast;
use crate::drive::{Driver, MAX_HOLDS, PREPARE_TIMEOUT, Plan, Stopped};
use crate::group::{self, Answer};
use crate::rank::Step;
use crate::state::{self, State};

impl<P: Protocol, S: Store, E: Engine> Driver<P, S, E> {
    /// Carries a change out to its end.
    pub(super) async fn run_change(
        &self,
        term: u64,
        state: &mut State,
        mut switch: Switch,
        plan: &Plan,
    ) -> Result<switch::Outcome, Stopped> {
        let begun = boot::Instant::now();
        let limit = PREPARE_TIMEOUT + state.copy_time * 2;
        let mut holds = 0;
        let mut held = begun;
        let outcome = loop {
            if let Some(outcome) = switch.outcome() {
                break outcome;
            }
            if switch.prepared() {
                holds += 1;
                if holds > MAX_HOLDS {
                    break switch::Outcome::Abandoned;
                }
                let Some(pass) = self.rank.last_pass(begun + limit).await else {
                    break switch::Outcome::Abandoned;
                };
                switch.hold(pass + state.lead());
                held = boot::Instant::now();
            }
            self.run_phase(term, state, &mut switch, plan).await?;
            if !switch.committed() && begun.elapsed() > limit {
                break switch::Outcome::Abandoned;
            }
        };
        let time = begun.elapsed();
        if holds > 0 {
            self.metrics.held.observe(held.elapsed().as_secs_f64());
            state.arm_time = held.elapsed().max(state.arm_time.mul_f64(state::ARM_TIME_DECAY));
        }
        log::info!(
            "map change outcome={outcome:?} term={term} epoch={} version={} pass={} holds={holds} ms={}",
            state.view.epoch,
            switch.version(),
            switch.pass(),
            time.as_millis()
        );
        self.metrics.change.observe(time.as_secs_f64());
        match outcome {
            switch::Outcome::Switched => self.metrics.switched.inc(),
            switch::Outcome::Abandoned => self.metrics.abandoned.inc(),
            switch::Outcome::Undecided => 0,
        };
        Ok(outcome)
    }

    /// Sends the orders of the current phase and applies their effects.
    async fn run_phase(
        &self,
        term: u64,
        state: &State,
        switch: &mut Switch,
        plan: &Plan,
    ) -> Result<(), Stopped> {
        let epoch = state.view.epoch;
        let orders = switch.orders();
        // All orders of a phase are the same.
        let Some(order) = orders.first().map(|(_, order)| *order) else { return Ok(()) };
        let group = state.view.group.clone();
        let unless_armed = match order {
            switch::Order::ReleaseUnarmed { version, .. } => Some(version),
            _ => None,
        };
        let step = Step { group, term, epoch, order: group::order(order, &plan.map), unless_armed };
        let broadcast = Broadcast::new(step, plan.source.clone());
        let ranks: BTreeMap<SocketAddr, usize> =
            orders.iter().map(|(rank, _)| (state.view.ranks[*rank], *rank)).collect();
        let engines: Vec<SocketAddr> = ranks.keys().copied().collect();
        let parts = self.group.parts(&engines).into_iter();
        let parts = parts.map(|part| part.into_iter().map(|place| engines[place]).collect());
        let begun = boot::Instant::now();
        let mut running: FuturesUnordered<_> =
            parts.map(|part| self.group.deliver(&self.rank, part, &broadcast)).collect();
        while let Some(delivered) = running.next().await {
            for (engine, answer) in delivered {
                apply(switch, (ranks[&engine], order), answer, epoch)?;
            }
        }
        log::info!(
            "phase ended order={order:?} ranks={} map_bytes={} ms={}",
            engines.len(),
            broadcast.map_bytes(),
            begun.elapsed().as_millis()
        );
        Ok(())
    }
}

/// Applies the answer of a rank to an order.
fn apply(
    switch: &mut Switch,
    (rank, order): (usize, switch::Order),
    answer: Answer,
    epoch: u64,
) -> Result<(), Stopped> {
    if answer.condition.is_some_and(|condition| condition.epoch != epoch) {
        return Err(Stopped::Epoch);
    }
    let effect = match answer.effect {
        wire::Effect::Confirmed => switch::Effect::Confirmed,
        wire::Effect::Refused => switch::Effect::Refused,
        wire::Effect::Superseded => return Err(Stopped::Superseded),
        wire::Effect::Unknown | wire::Effect::BaseMissing | wire::Effect::Unspecified => {
            switch::Effect::Unknown
        }
    };
    if effect != switch::Effect::Confirmed {
        log::info!("order rank={rank} order={order:?} effect={effect:?}");
    }
    switch.effect(rank, order, effect);
    Ok(())
}
