//! The ranks of a group, as its driver reaches them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use loftcove_decision::map::switch;
use loftcove_interface::engine::{Engine, Map, Order};
use loftcove_wire as wire;
use tonic::transport::{Channel, Endpoint};

use crate::rank::{self, Rank, Step};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for a sidecar's state, which takes a few milliseconds.
const INSPECT_TIMEOUT: Duration = Duration::from_millis(300);
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
            let Ok(endpoint) = Endpoint::from_shared(format!("http://{sidecar}")) else {
                log::error!("sidecar's address is not usable address={sidecar}");
                continue;
            };
            let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
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
        inspection: wire::Inspection,
    ) -> Vec<(SocketAddr, wire::Condition)> {
        let ask = async |address: SocketAddr| {
            if address == self.own {
                let condition = rank::inspect(local, inspection).await.ok()?;
                return Some((address, condition));
            }
            let mut client = self.members.get(&address)?.client.clone();
            let answer = tokio::time::timeout(INSPECT_TIMEOUT, client.inspect(inspection)).await;
            Some((address, answer.ok()?.ok()?.into_inner()))
        };
        let answers = future::join_all(addresses.iter().map(|address| ask(*address))).await;
        answers.into_iter().flatten().collect()
    }

    /// Asks some engines for their state, past their sidecars.
    pub async fn inspect_engines(
        &self,
        addresses: &[SocketAddr],
    ) -> Vec<(SocketAddr, wire::Condition)> {
        let inspection = wire::Inspection { term: 0, counts: false, experts: true };
        let ask = async |address: SocketAddr| {
            let member = self.members.get(&address)?.clone();
            match rank::inspect(&member.engine, inspection).await {
                Ok(condition) => Some((address, condition)),
                Err(error) => {
                    log::info!("engine not inspected engine={address} error=\"{error}\"");
                    None
                }
            }
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
