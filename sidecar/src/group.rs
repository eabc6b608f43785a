//! The ranks of a group, as its driver and its relays reach them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future;
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use loftcove_clock as boot;
use loftcove_decision::map::{switch, tree};
use loftcove_intake::memory;
use loftcove_interface::engine::{Engine, Map, Order, Verdict};
use loftcove_line::field;
use loftcove_mirror::peer;
use loftcove_wire as wire;

use crate::broadcast::Broadcast;
use crate::member::{self, Member};
use crate::rank::{self, Rank};
use crate::relay::{self, Errand, Work};

/// Number of ranks up to which each rank is called directly. A message to one takes about a
/// millisecond of a small host's processor, so that up to this number direct calls are faster than
/// a relay.
const DIRECT: usize = 32;
/// Number of parts that more ranks are split into. Sixteen messages of 2 KB take 43 ms on a link of
/// 6 Mbit/s; two levels of parts reach 256 ranks, and three reach 4,096.
const PARTS: usize = 16;
/// Number of parts that ranks are split into if only sums are requested. It is about the square
/// root of the number of ranks, so that the driver reads as much as a relay.
const SUM_PARTS: usize = 4;
/// Time within which a relay must begin its answer. It takes a millisecond or two; an unavailable
/// relay must cost less than a tenth of a second.
const RELAY_TIMEOUT: Duration = Duration::from_millis(80);
/// Number of relays that are tried for a part before its ranks are called one by one.
const RELAY_TRIES: usize = 2;
/// Time for which a relay that did not answer is not used as one.
const RELAY_PENALTY: Duration = Duration::from_secs(5);

/// Function that creates a client of the engine at an address.
pub type Connect<E> = Box<dyn Fn(SocketAddr) -> E + Send + Sync>;

/// Known ranks by the address of their engine. At most one of the locks is held at a time, and none
/// across an await point.
pub struct Group<E> {
    own: SocketAddr,
    port: u16,
    connect: Connect<E>,
    memory: memory::Account,
    members: Mutex<BTreeMap<SocketAddr, Arc<Member<E>>>>,
    /// Availability zones of the engines, as far as they are known.
    zones: Mutex<BTreeMap<SocketAddr, Arc<str>>>,
    /// Relays that did not answer, and when.
    silent: Mutex<BTreeMap<SocketAddr, boot::Instant>>,
}

/// State of the group as its ranks reported it.
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
    /// Creates a group with this sidecar's own engine. All sidecars listen on `port`.
    pub fn new(own: SocketAddr, port: u16, connect: Connect<E>) -> Group<E> {
        let (members, zones, silent) = Default::default();
        Group { own, port, connect, memory: memory::Account::default(), members, zones, silent }
    }

    /// Sets the account from which messages of the ranks take their memory.
    pub fn with_memory(mut self, memory: memory::Account) -> Group<E> {
        self.memory = memory;
        self
    }

    /// Returns the address of this sidecar's own engine.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Sets the addresses of the engines with their zones and removes all other engines.
    pub fn set_engines(&self, engines: BTreeMap<SocketAddr, Arc<str>>) {
        lock(&self.members).retain(|address, _| engines.contains_key(address));
        lock(&self.silent).retain(|address, _| engines.contains_key(address));
        *lock(&self.zones) = engines;
    }

    /// Returns the rank of an engine.
    fn member(&self, address: SocketAddr) -> Option<Arc<Member<E>>> {
        if let Some(member) = lock(&self.members).get(&address) {
            return Some(member.clone());
        }
        let sidecar = SocketAddr::new(address.ip(), self.port);
        let endpoint = match peer::endpoint(sidecar, member::CONNECT_TIMEOUT, self.memory.clone()) {
            Ok(endpoint) => endpoint,
            Err(error) => {
                log::error!(
                    "invalid sidecar address address={sidecar} error={error}",
                    error = field::Quoted(&error)
                );
                return None;
            }
        };
        let client = wire::rank_client::RankClient::new(endpoint.connect_lazy());
        let engine = Rank::remote((self.connect)(address));
        let member = Arc::new(Member { client, engine });
        Some(lock(&self.members).entry(address).or_insert(member).clone())
    }

    /// Splits the ranks into the parts that they are reached in, as indices into `engines`. If
    /// there are few ranks, each is a part.
    pub fn parts(&self, engines: &[SocketAddr]) -> Vec<Vec<usize>> {
        if engines.len() <= DIRECT {
            return (0..engines.len()).map(|place| vec![place]).collect();
        }
        self.split(engines, PARTS)
    }

    fn split(&self, engines: &[SocketAddr], parts: usize) -> Vec<Vec<usize>> {
        let zones = lock(&self.zones).clone();
        tree::split(engines.iter().map(|engine| zones.get(engine).cloned()), parts)
    }

    /// Queries the state of some ranks concurrently. Ranks that do not answer are omitted.
    async fn inspect_directly(
        &self,
        local: &Rank<E>,
        engines: &[SocketAddr],
        inspection: &wire::Inspection,
        hedge_delay: Duration,
    ) -> Vec<(SocketAddr, wire::Condition)> {
        let ask = async |address: SocketAddr| {
            let condition = if address == self.own {
                rank::inspect(local, inspection).await.ok()?
            } else {
                self.member(address)?.inspect(address, inspection, hedge_delay).await?
            };
            Some((address, condition))
        };
        let answers = future::join_all(engines.iter().map(|engine| ask(*engine))).await;
        answers.into_iter().flatten().collect()
    }

    /// Reads the state of ranks, through relays if there are many. Ranks that do not answer are
    /// omitted.
    pub async fn survey(
        &self,
        local: &Rank<E>,
        engines: &[SocketAddr],
        inspection: &wire::Inspection,
    ) -> Survey {
        self.survey_parts(local, engines, inspection, self.parts(engines)).await
    }

    /// Reads how often experts were chosen at some ranks. Relays return the sum.
    pub async fn sum(
        &self,
        local: &Rank<E>,
        engines: &[SocketAddr],
        inspection: &wire::Inspection,
    ) -> Survey {
        self.survey_parts(local, engines, inspection, self.split(engines, SUM_PARTS)).await
    }

    async fn survey_parts(
        &self,
        local: &Rank<E>,
        engines: &[SocketAddr],
        inspection: &wire::Inspection,
        parts: Vec<Vec<usize>>,
    ) -> Survey {
        let mut parts: FuturesUnordered<_> = parts
            .into_iter()
            .map(|part| part.into_iter().map(|place| engines[place]).collect::<Vec<_>>())
            .map(|part| self.survey_part(local, part, inspection))
            .collect();
        let mut survey = Survey::default();
        while let Some(part) = parts.next().await {
            relay::add_counts(&mut survey.counts, &part.counts);
            survey.conditions.extend(part.conditions);
        }
        survey
    }

    async fn survey_part(
        &self,
        local: &Rank<E>,
        part: Vec<SocketAddr>,
        inspection: &wire::Inspection,
    ) -> Survey {
        let mut survey = Survey::default();
        let work = Work::Inspection(inspection.clone());
        let mut on_finding = |engine, finding: wire::Finding| {
            survey.conditions.extend(finding.condition.map(|condition| (engine, condition)));
        };
        let (left, counts) =
            self.serve_by_relay(&part, &work, member::INSPECT_TIMEOUT, &mut on_finding).await;
        survey.counts = counts;
        // If experts are not requested, ranks that did not answer a relay are left to the next
        // survey.
        let direct = part.len() == 1 || inspection.experts;
        let left = if direct { left } else { Vec::new() };
        // A rank that was left by a relay has been waited for already.
        let hedge_delay = if part.len() == 1 { member::HEDGE_DELAY } else { Duration::ZERO };
        let direct = self.inspect_directly(local, &left, inspection, hedge_delay).await;
        for (engine, mut condition) in direct {
            relay::add_counts(&mut survey.counts, &std::mem::take(&mut condition.counts));
            survey.conditions.push((engine, condition));
        }
        survey
    }

    /// Carries out an order at the ranks of a part, through a relay if there are several. Ranks
    /// that lack the base map, as all do after a restart, are sent the whole map, through a relay
    /// too.
    pub async fn deliver(
        &self,
        local: &Rank<E>,
        part: Vec<SocketAddr>,
        broadcast: &Broadcast,
    ) -> Vec<(SocketAddr, Answer)> {
        let limit = member::order_timeout(&broadcast.step.order);
        let mut all = Vec::new();
        let mut base_missing = Vec::new();
        let mut on_finding = |engine, finding: wire::Finding| match finding.effect() {
            wire::Effect::BaseMissing => base_missing.push(engine),
            effect => all.push((engine, Answer::new(effect, finding.condition))),
        };
        let work = Work::Step(broadcast.message().clone());
        let (mut left, _) = self.serve_by_relay(&part, &work, limit, &mut on_finding).await;
        if !base_missing.is_empty() {
            let mut on_finding = |engine, finding: wire::Finding| {
                all.push((engine, Answer::new(finding.effect(), finding.condition)));
            };
            let work = Work::Step(broadcast.whole().clone());
            left.extend(self.serve_by_relay(&base_missing, &work, limit, &mut on_finding).await.0);
        }
        let carry = async |engine| (engine, self.carry(local, engine, broadcast).await);
        all.extend(future::join_all(left.into_iter().map(carry)).await);
        all
    }

    /// Has relays serve a part. Returns the ranks that were not served, and the sum of the counts.
    async fn serve_by_relay(
        &self,
        part: &[SocketAddr],
        work: &Work,
        limit: Duration,
        on_finding: &mut impl FnMut(SocketAddr, wire::Finding),
    ) -> (Vec<SocketAddr>, Vec<u32>) {
        let mut engines = part.to_vec();
        // A rank that recently did not answer is the last choice for a relay, and so is the
        // driver's own rank.
        engines.sort_by_key(|engine| self.is_silent(*engine) || *engine == self.own);
        let mut silent = Vec::new();
        while engines.len() > 1 && silent.len() < RELAY_TRIES {
            let errand = Errand { work: work.clone(), engines: engines.clone(), limit };
            let Some(findings) = self.call_relay(&errand).await else {
                silent.push(engines.remove(0));
                continue;
            };
            let mut left: Vec<Option<SocketAddr>> = engines.into_iter().map(Some).collect();
            for finding in findings.findings {
                if let Some(engine) = left.get_mut(finding.place as usize).and_then(Option::take) {
                    on_finding(engine, finding);
                }
            }
            silent.extend(left.into_iter().flatten());
            return (silent, findings.counts);
        }
        silent.extend(engines);
        (silent, Vec::new())
    }

    fn is_silent(&self, engine: SocketAddr) -> bool {
        lock(&self.silent).get(&engine).is_some_and(|at| at.elapsed() < RELAY_PENALTY)
    }

    /// Sends an errand to its first rank, which acts as the relay. Returns `None` if that rank does
    /// not begin its answer in time.
    pub async fn call_relay(&self, errand: &Errand) -> Option<wire::Findings> {
        let relay = *errand.engines.first()?;
        let mut client = self.member(relay)?.client.clone();
        let call = tokio::time::timeout(RELAY_TIMEOUT, client.relay(errand.message())).await;
        let mut stream = match call {
            Ok(Ok(answer)) => answer.into_inner(),
            other => {
                let cause = member::cause(other);
                log::info!(
                    "relay did not answer engine={relay} cause={cause}",
                    cause = field::Quoted(&cause)
                );
                lock(&self.silent).insert(relay, boot::Instant::now());
                return None;
            }
        };
        let mut all = wire::Findings::default();
        let read = async {
            while let Some(findings) = stream.message().await? {
                all.findings.extend(findings.findings);
                relay::add_counts(&mut all.counts, &findings.counts);
            }
            Ok::<(), tonic::Status>(())
        };
        match tokio::time::timeout(errand.limit, read).await {
            Ok(Ok(())) => {}
            other => {
                let cause = member::cause(other);
                log::info!(
                    "relay answer incomplete engine={relay} cause={cause}",
                    cause = field::Quoted(&cause)
                );
                lock(&self.silent).insert(relay, boot::Instant::now());
            }
        }
        Some(all)
    }

    /// Does work at one rank through its sidecar. Returns no findings if the sidecar does not
    /// answer.
    pub async fn call_rank(
        &self,
        engine: SocketAddr,
        work: &Work,
        limit: Duration,
    ) -> wire::Findings {
        let Some(member) = self.member(engine) else { return wire::Findings::default() };
        let mut client = member.client.clone();
        let call = async {
            match work {
                Work::Step(step) => client
                    .carry(step.clone())
                    .await
                    .map(|result| relay::step_findings(result.into_inner())),
                Work::Inspection(inspection) => client
                    .inspect(inspection.clone())
                    .await
                    .map(|condition| relay::inspection_findings(condition.into_inner())),
            }
        };
        match tokio::time::timeout(limit, call).await {
            Ok(Ok(findings)) => findings,
            other => {
                let cause = member::cause(other);
                log::info!(
                    "rank did not answer relay engine={engine} cause={cause}",
                    cause = field::Quoted(&cause)
                );
                wire::Findings::default()
            }
        }
    }

    /// Carries out an order at a rank. Calls the engine directly if the sidecar does not answer.
    async fn carry(&self, local: &Rank<E>, engine: SocketAddr, broadcast: &Broadcast) -> Answer {
        let step = &broadcast.step;
        if engine == self.own {
            let (effect, report) = local.carry(step).await;
            return Answer::new(effect, report.map(|report| rank::condition(0, &report)));
        }
        let Some(member) = self.member(engine) else {
            return Answer::new(wire::Effect::Unknown, None);
        };
        // The driver sends this order to the engine itself. If the driver's host freezes right
        // afterwards, the host that the group waits for is another one.
        if matches!(step.order, Order::Hold { .. })
            && matches!(member.engine.order_unchecked(step).await, Ok(Verdict::Accepted))
        {
            return Answer::new(wire::Effect::Confirmed, None);
        }
        match member.carry(broadcast).await {
            Ok(result) => Answer::new(result.effect(), result.condition),
            Err(cause) => {
                log::info!(
                    "sidecar passed over engine={engine} cause={cause}",
                    cause = field::Quoted(&cause)
                );
                let (effect, report) = member.engine.carry(step).await;
                Answer::new(effect, report.map(|report| rank::condition(0, &report)))
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each change is one insertion or removal; a panic cannot leave half of one.
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Result of a survey of several ranks.
#[derive(Debug, Default)]
pub struct Survey {
    /// States of the ranks, by the address of their engine.
    pub conditions: Vec<(SocketAddr, wire::Condition)>,
    /// Sum over the ranks of how often each expert was chosen.
    pub counts: Vec<u32>,
}

/// Answer of a rank to an order.
#[derive(Debug)]
pub struct Answer {
    /// Effect of the order.
    pub effect: wire::Effect,
    /// State of the engine after the order.
    pub condition: Option<wire::Condition>,
}

impl Answer {
    fn new(effect: wire::Effect, condition: Option<wire::Condition>) -> Answer {
        Answer { effect, condition }
    }
}

/// Converts an order of the state machine to one for an engine.
pub fn order(order: switch::Order, map: &Arc<Map>) -> Order {
    match order {
        switch::Order::Prepare { version } => Order::Prepare { version, map: map.clone() },
        switch::Order::Hold { pass } => Order::Hold { pass },
        switch::Order::Arm { version, pass } => Order::Arm { version, pass },
        switch::Order::Disarm { version } => Order::Disarm { version },
        switch::Order::Release { pass } | switch::Order::ReleaseUnarmed { pass, .. } => {
            Order::Release { pass }
        }
    }
}

/// Converts the state of a rank to the form that the state machine uses.
pub fn condition(condition: &wire::Condition) -> switch::Condition {
    let armed = (condition.armed_version, condition.armed_pass);
    switch::Condition {
        map: condition.map,
        prepared: (condition.prepared != 0).then_some(condition.prepared),
        armed: (condition.armed_version != 0).then_some(armed),
        held: condition.holds.then_some(condition.held_pass),
    }
}
