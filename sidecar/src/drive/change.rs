//! How a driver takes a change of the map to its end.

use std::sync::Arc;
use std::time::Instant;

use futures_util::stream::{FuturesUnordered, StreamExt as _};
use loftcove_decision::map::switch::{self, Switch};
use loftcove_interface::engine::{Engine, Map};
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_wire as wire;

use crate::drive::{Driver, MAX_HOLDS, PREPARE_TIME, Stopped};
use crate::group;
use crate::known::{self, Known};
use crate::rank::Step;

impl<P: Protocol, S: Store, E: Engine> Driver<P, S, E> {
    /// Takes a change to its end.
    pub(super) async fn change(
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
            if !switch.committed() && begun.elapsed() > PREPARE_TIME + known.copying * 2 {
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
