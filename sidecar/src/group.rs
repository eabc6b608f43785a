//! The ranks of a group, as its driver reaches them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use loftcove_decision::map::switch;
use loftcove_interface::engine::{Engine, Map, Order, Verdict};
use loftcove_mirror::peer;
use loftcove_wire as wire;
use tonic::transport::Channel;

use crate::rank::{self, Rank, Step};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for a sidecar's state, which takes a few milliseconds.
const INSPECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Wait for a sidecar's state after which its engine is asked as well: a group
/// that is held should not wait for both, one after the other.
const HEDGE_TIME: Duration = Duration::from_millis(120);
/// Longest wait for a sidecar to have a map prepared; longer than it takes
/// until it says that the effect is not known.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Longest wait for a sidecar to carry out any other order, for which the
/// group may be standing still; then the engine is asked directly.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// Makes a client of an engine.
pub type Connect<E> = Box<dyn Fn(SocketAddr) -> E + Send + Sync>;

/// One rank.
struct Member<E> {
    client: wire::rank_client::RankClient<Channel>,
    /// The engine itself, for when its sidecar does not answer. The engine's
    /// word is then older, and each call has a price.
    engine: Rank<E>,
}

impl<E: Engine> Member<E> {
    /// Asks the sidecar for the state of its engine. Where the experts are asked
    /// for, the group may be standing still until they are known: the engine
    /// itself is asked as well if the sidecar takes long.
    async fn inspect(
        &self,
        address: SocketAddr,
        inspection: &wire::Inspection,
    ) -> Option<wire::Condition> {
        let mut client = self.client.clone();
        let call = tokio::time::timeout(INSPECT_TIMEOUT, client.inspect(inspection.clone()));
        let sidecar = async { Some(call.await.ok()?.ok()?.into_inner()) };
        if !inspection.experts {
            return sidecar.await;
        }
        tokio::pin!(sidecar);
        match tokio::time::timeout(HEDGE_TIME, sidecar.as_mut()).await {
            Ok(Some(condition)) => Some(condition),
            Ok(None) => self.inspect_engine(address, inspection).await,
            Err(_) => {
                let engine = self.inspect_engine(address, inspection);
                let (sidecar, engine) = future::join(sidecar, engine).await;
                sidecar.or(engine)
            }
        }
    }

    async fn inspect_engine(
        &self,
        address: SocketAddr,
        inspection: &wire::Inspection,
    ) -> Option<wire::Condition> {
        log::info!("sidecar silent engine={address} next=ask-engine");
        // A term is a matter between sidecars.
        let inspection = wire::Inspection { term: 0, ..inspection.clone() };
        match rank::inspect(&self.engine, &inspection).await {
            Ok(condition) => Some(condition),
            Err(error) => {
                log::info!("engine not inspected engine={address} error=\"{error}\"");
                None
            }
        }
    }
}

/// The ranks that are known, by the address of their engine.
pub struct Group<E> {
    own: SocketAddr,
    port: u16,
    connect: Connect<E>,
    members: BTreeMap<SocketAddr, Arc<Member<E>>>,
}

/// What the group came to say.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Name of the group.
    pub group: Arc<str>,
    /// Epoch of the group.
    pub epoch: u64,
    /// Address of the engine of each rank.
    pub ranks: Vec<SocketAddr>,
    /// State of each rank.
    pub conditions: Vec<wire::Condition>,
}

impl<E: Engine> Group<E> {
    /// A group with this sidecar's own engine; all sidecars listen on `port`.
    pub fn new(own: SocketAddr, port: u16, connect: Connect<E>) -> Group<E> {
        Group { own, port, connect, members: BTreeMap::new() }
    }

    /// Takes the addresses of the engines.
    pub fn set(&mut self, engines: &[SocketAddr]) {
        self.members.retain(|address, _| engines.contains(address));
        for address in engines {
            if self.members.contains_key(address) {
                continue;
            }
            let sidecar = SocketAddr::new(address.ip(), self.port);
            let endpoint = match peer::endpoint(sidecar, CONNECT_TIMEOUT) {
                Ok(endpoint) => endpoint,
                Err(error) => {
                    log::error!(
                        "sidecar's address is not usable address={sidecar} error=\"{error}\""
                    );
                    continue;
                }
            };
            let client = wire::rank_client::RankClient::new(endpoint.connect_lazy());
            let engine = Rank::afar((self.connect)(*address));
            self.members.insert(*address, Arc::new(Member { client, engine }));
        }
    }

    /// Asks some ranks for their state, all at once; those that do not answer
    /// are left out.
    pub async fn inspect(
        &self,
        local: &Rank<E>,
        addresses: &[SocketAddr],
        inspection: &wire::Inspection,
    ) -> Vec<(SocketAddr, wire::Condition)> {
        let ask = async |address: SocketAddr| {
            let condition = if address == self.own {
                rank::inspect(local, inspection).await.ok()?
            } else {
                self.members.get(&address)?.inspect(address, inspection).await?
            };
            Some((address, condition))
        };
        let answers = future::join_all(addresses.iter().map(|address| ask(*address))).await;
        answers.into_iter().flatten().collect()
    }

    /// Carries an order out at a rank, past its sidecar if that does not answer.
    pub async fn carry(&self, local: &Rank<E>, address: SocketAddr, step: &Step) -> Carried {
        if address == self.own {
            let (effect, report) = local.carry(step).await;
            return Carried::new(effect, report.map(|report| rank::condition(0, &report)));
        }
        let Some(member) = self.members.get(&address).cloned() else {
            return Carried::new(wire::Effect::Unknown, None);
        };
        // The driver gives this order itself: if its host freezes right after
        // it, the host that the group waits for is another one.
        if matches!(step.order, Order::Hold { .. })
            && matches!(member.engine.give_unseen(step).await, Ok(Verdict::Accepted))
        {
            return Carried::new(wire::Effect::Confirmed, None);
        }
        let mut client = member.client.clone();
        let limit = match step.order {
            Order::Prepare { .. } => PREPARE_TIMEOUT,
            _ => ORDER_TIMEOUT,
        };
        let call = client.carry(rank::message(step));
        match tokio::time::timeout(limit, call).await {
            Ok(Ok(answer)) => {
                let result = answer.into_inner();
                Carried::new(result.effect(), result.condition)
            }
            other => {
                let cause = match other {
                    Ok(Err(status)) => status.message().to_owned(),
                    _ => "no answer in time".to_owned(),
                };
                log::info!("sidecar passed over engine={address} cause=\"{cause}\"");
                let (effect, report) = member.engine.carry(step).await;
                Carried::new(effect, report.map(|report| rank::condition(0, &report)))
            }
        }
    }
}

/// What came of an order.
#[derive(Debug)]
pub struct Carried {
    /// Its effect.
    pub effect: wire::Effect,
    /// State of the engine after it.
    pub condition: Option<wire::Condition>,
}

impl Carried {
    fn new(effect: wire::Effect, condition: Option<wire::Condition>) -> Carried {
        Carried { effect, condition }
    }
}

/// The engine's order for one of the machine's.
pub fn order(order: switch::Order, map: &Arc<Map>) -> Order {
    match order {
        switch::Order::Prepare { version } => Order::Prepare { version, map: map.clone() },
        switch::Order::Hold { pass } => Order::Hold { pass },
        switch::Order::Arm { version, pass } => Order::Arm { version, pass },
        switch::Order::Disarm { version } => Order::Disarm { version },
        switch::Order::Release { pass } => Order::Release { pass },
    }
}

/// The machine's view of a rank's state.
pub fn condition(condition: &wire::Condition) -> switch::Condition {
    let armed = (condition.armed_version, condition.armed_pass);
    switch::Condition {
        map: condition.map,
        prepared: (condition.prepared != 0).then_some(condition.prepared),
        armed: (condition.armed_version != 0).then_some(armed),
        held: condition.holds.then_some(condition.held_pass),
    }
}
