//! Answers for the engine beside this sidecar, and carries out orders for it.
//!
//! An order is given again until the engine's own report shows its effect, or
//! shows that it can no longer be had. Each is valid only as the next one after
//! those that the engine has taken, so that one which is carried out late, and
//! after another, is refused by the engine. Orders of a driver that has been
//! replaced are refused here.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::map::fence;
use loftcove_interface::engine::{Counts, Engine, Error, Order, Report, Verdict};
use loftcove_wire as wire;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::group::Group;
use crate::maps::{self, Maps};
use crate::{codec, relay};

/// Longest time for an order until the driver is told that its effect is not
/// known. It asks again.
const ORDER_TIME: Duration = Duration::from_millis(1_200);
/// Time between two looks whether a map has been copied.
const COPY_POLL: Duration = Duration::from_millis(40);
/// Time after which an order that was accepted and shows no effect is given
/// again. One to prepare a map is left to the driver, who asks again.
const REPEAT_TIME: Duration = Duration::from_millis(500);
/// Pause after an order that the engine did not answer or refused.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after a report that failed; the pause doubles up to this while
/// the engine refuses connections, which takes no time.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(320);

/// Longest time between two looks at the counts for their difference to tell
/// the present demand: a change of the map, during which nobody looks, takes
/// less.
const LOOK_TIME: Duration = Duration::from_secs(5);

/// The engine and the highest term that was seen of a driver of its group.
pub struct Rank<E> {
    /// The engine.
    pub engine: E,
    fence: Mutex<fence::Fence>,
    maps: Mutex<Maps>,
    looked: Mutex<Option<Look>>,
    /// Whether the engine's reports are fresh, as they are on its own machine.
    fresh: bool,
}

/// Counts that a driver has had.
struct Look {
    at: boot::Instant,
    born: Option<u64>,
    counts: Vec<u64>,
}

impl Look {
    /// How often each expert was chosen from an earlier look to this one; none
    /// where the engine has started anew between them, and counts from zero.
    fn since(&self, before: &Look) -> Option<Vec<u32>> {
        if self.born != before.born || self.counts.len() != before.counts.len() {
            return None;
        }
        let pairs = self.counts.iter().zip(&before.counts);
        let grown = pairs.map(|(now, before)| now.checked_sub(*before));
        grown.map(|count| count.and_then(|count| u32::try_from(count).ok())).collect()
    }
}

/// An order of a driver.
#[derive(Debug, Clone)]
pub struct Step {
    /// Group that it is for.
    pub group: Arc<str>,
    /// Term of the driver.
    pub term: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// The order.
    pub order: Order,
}

impl<E: Engine> Rank<E> {
    /// A sidecar that has seen no term.
    pub fn new(engine: E) -> Rank<E> {
        Rank::with(engine, true)
    }

    /// An engine on another machine, whose reports are old: orders do not
    /// count on the number of orders that they tell.
    pub fn afar(engine: E) -> Rank<E> {
        Rank::with(engine, false)
    }

    fn with(engine: E, fresh: bool) -> Rank<E> {
        let (fence, maps, looked) = Default::default();
        Rank { engine, fence, maps, looked, fresh }
    }

    /// How often each expert was chosen since a driver last looked; empty where
    /// nobody did for long.
    async fn choices(&self) -> Result<Vec<u32>, Error> {
        let Counts { counts, born, .. } = self.engine.counts().await?;
        let now = Look { at: boot::Instant::now(), born, counts };
        let mut looked = lock(&self.looked);
        let before = looked.take().filter(|look| look.at.elapsed() < LOOK_TIME);
        let grown = before.and_then(|before| now.since(&before));
        *looked = Some(now);
        Ok(grown.unwrap_or_default())
    }

    /// The step that a message tells.
    async fn step(&self, message: &wire::Step) -> Result<Step, Fault> {
        let (version, pass) = (message.version, message.pass);
        let order = match message.operation() {
            wire::Operation::Unspecified => return Err(Fault::Malformed("no operation".into())),
            wire::Operation::Prepare => {
                let report = self.engine.report().await.map_err(Fault::Engine)?;
                let ranks = report.group.map_or(0, |group| group.size);
                let map = message.map.clone().unwrap_or_default();
                let map = lock(&self.maps).take(&map, ranks as usize);
                Order::Prepare { version, map: map.map_err(Fault::Map)? }
            }
            wire::Operation::Arm => Order::Arm { version, pass },
            wire::Operation::Disarm => Order::Disarm { version },
            wire::Operation::Hold => Order::Hold { pass },
            wire::Operation::Release => Order::Release { pass },
        };
        let group = (*message.group).into();
        Ok(Step { group, term: message.term, epoch: message.epoch, order })
    }

    /// Carries out the step that a message tells.
    pub async fn carry_message(&self, message: &wire::Step) -> Result<wire::Result, Fault> {
        let step = match self.step(message).await {
            Ok(step) => step,
            Err(Fault::Map(maps::Error::BaseMissing)) => {
                log::info!("map not made version={} reason=base-missing", message.version);
                let effect = wire::Effect::BaseMissing.into();
                return Ok(wire::Result { effect, condition: None });
            }
            Err(fault) => {
                log::error!("step not taken term={} error=\"{fault}\"", message.term);
                return Err(fault);
            }
        };
        let (effect, report) = self.carry(&step).await;
        let condition = report.map(|report| condition(0, &report));
        Ok(wire::Result { effect: effect.into(), condition })
    }

    /// Takes a term of a driver of the engine's present group; returns the
    /// highest one seen. A term of zero claims nothing.
    pub fn see(&self, group: &Arc<str>, term: u64) -> u64 {
        let mut fence = lock(&self.fence);
        let before = fence.observe(group, 0);
        let highest = fence.observe(group, term);
        if highest > before && before > 0 {
            log::info!("driver changed group={group} term={term} before={before}");
        }
        highest
    }

    /// Carries an order out.
    pub async fn carry(&self, step: &Step) -> (wire::Effect, Option<Report>) {
        let end = boot::Instant::now() + ORDER_TIME;
        let mut seen = None;
        let mut refusals = 0;
        let mut accepted: Option<boot::Instant> = None;
        let mut pause = RETRY_PAUSE;
        while boot::Instant::now() < end {
            let report = match self.engine.report().await {
                Ok(report) => report,
                Err(error) => {
                    if pause == RETRY_PAUSE {
                        log::warn!("report failed order={:?} error=\"{error}\"", kind(&step.order));
                    }
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
                    continue;
                }
            };
            seen = Some(report.clone());
            let own = report.group.as_ref().filter(|own| own.name == step.group);
            if own.is_some_and(|own| self.see(&own.name, step.term) > step.term) {
                return (wire::Effect::Superseded, seen);
            }
            match judge(step, &report) {
                Standing::Shown => return (wire::Effect::Confirmed, seen),
                Standing::Over => return (wire::Effect::Refused, seen),
                Standing::Open if accepted.is_some_and(|at| under_way(&step.order, at)) => {
                    tokio::time::sleep(COPY_POLL).await;
                }
                Standing::Open => {
                    match self.give(step, &report).await {
                        Ok(Verdict::Accepted) => accepted = Some(boot::Instant::now()),
                        Ok(Verdict::Conflict | Verdict::Refused(_)) => {
                            refusals += 1;
                            if refusals > MAX_REFUSALS {
                                return (wire::Effect::Refused, seen);
                            }
                            tokio::time::sleep(RETRY_PAUSE).await;
                        }
                        // Not known: the next report tells.
                        Err(Error::NoAnswer(_) | Error::Protocol { .. }) => {}
                    }
                }
            }
        }
        (wire::Effect::Unknown, seen)
    }

    /// Gives the order once, without a look at the engine's state.
    pub async fn give_unseen(&self, step: &Step) -> Result<Verdict, Error> {
        let verdict = self.engine.order(&step.order, step.epoch, None).await;
        log::info!(
            "order kind={} term={} epoch={} from=afar outcome={verdict:?}",
            kind(&step.order),
            step.term,
            step.epoch
        );
        verdict
    }

    /// Gives the order once.
    async fn give(&self, step: &Step, report: &Report) -> Result<Verdict, Error> {
        let after = self.fresh.then_some(report.orders);
        let verdict = self.engine.order(&step.order, step.epoch, after).await;
        log::info!(
            "order kind={} term={} epoch={} pass={} orders={} outcome={verdict:?}",
            kind(&step.order),
            step.term,
            step.epoch,
            report.pass,
            report.orders
        );
        verdict
    }
}

/// Why a message of a step is not carried out.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The message makes no sense.
    #[error("step is malformed: {0}")]
    Malformed(String),
    /// Its map cannot be made.
    #[error("map of the step: {0}")]
    Map(maps::Error),
    /// The engine does not tell its place.
    #[error(transparent)]
    Engine(Error),
}

impl From<Fault> for Status {
    fn from(fault: Fault) -> Status {
        match fault {
            Fault::Malformed(_) | Fault::Map(_) => Status::invalid_argument(fault.to_string()),
            Fault::Engine(error) => Status::unavailable(error.to_string()),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // Each change is one assignment or insertion; a panic cannot leave half of one.
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Times that an engine may refuse an order, in a state in which it should
/// take it, before the refusal is believed: another order may have come
/// between the report and this one.
const MAX_REFUSALS: u32 = 2;

/// How an order stands by the engine's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The report shows its effect.
    Shown,
    /// It can no longer be had.
    Over,
    /// It is to be given.
    Open,
}

/// Whether an order that was accepted then may yet show its effect by itself:
/// copying takes as long as it takes, and reports do not tell of it.
fn under_way(order: &Order, accepted: boot::Instant) -> bool {
    matches!(order, Order::Prepare { .. }) || accepted.elapsed() < REPEAT_TIME
}

fn judge(step: &Step, report: &Report) -> Standing {
    let Some(group) = &report.group else { return Standing::Over };
    if group.name != step.group || group.epoch != step.epoch {
        return Standing::Over;
    }
    match &step.order {
        Order::Prepare { version, .. } => match report.prepared {
            Some(prepared) if prepared == *version => Standing::Shown,
            Some(prepared) if prepared > *version => Standing::Over,
            _ if report.map >= *version => Standing::Over,
            _ => Standing::Open,
        },
        Order::Arm { version, pass } => match report.armed {
            Some(armed) if armed == (*version, *pass) => Standing::Shown,
            _ if report.map == *version => Standing::Shown,
            _ if report.pass >= *pass => Standing::Over,
            _ => Standing::Open,
        },
        Order::Disarm { version } => match report.armed {
            Some((armed, _)) if armed == *version => Standing::Open,
            _ => Standing::Shown,
        },
        Order::Hold { pass } => match report.held {
            Some(held) if held == *pass => Standing::Shown,
            _ if report.pass >= *pass => Standing::Over,
            _ => Standing::Open,
        },
        Order::Release { pass } => match report.held {
            Some(held) if held == *pass => Standing::Open,
            _ => Standing::Shown,
        },
    }
}

fn kind(order: &Order) -> &'static str {
    match order {
        Order::Prepare { .. } => "prepare",
        Order::Arm { .. } => "arm",
        Order::Disarm { .. } => "disarm",
        Order::Hold { .. } => "hold",
        Order::Release { .. } => "release",
    }
}

/// The service that other sidecars call.
pub struct Service<E> {
    rank: Arc<Rank<E>>,
    group: Arc<Group<E>>,
}

impl<E: Engine> Service<E> {
    /// A service for this engine, which relays to the others of its group.
    pub fn new(rank: Arc<Rank<E>>, group: Arc<Group<E>>) -> Service<E> {
        Service { rank, group }
    }
}

/// A report as a message.
pub fn condition(term: u64, report: &Report) -> wire::Condition {
    let group = report.group.as_ref();
    let (armed_version, armed_pass) = report.armed.unwrap_or_default();
    wire::Condition {
        term,
        group: group.map(|group| group.name.to_string()).unwrap_or_default(),
        epoch: group.map_or(0, |group| group.epoch),
        rank: group.map_or(0, |group| group.rank),
        size: group.map_or(0, |group| group.size),
        open: group.is_some_and(|group| group.open),
        pass: report.pass,
        map: report.map,
        prepared: report.prepared.unwrap_or(0),
        armed_version,
        armed_pass,
        holds: report.held.is_some(),
        held_pass: report.held.unwrap_or(0),
        active: report.active,
        queued: report.queued,
        experts: Vec::new(),
        slowness: report.slowness,
        counts: Vec::new(),
    }
}

/// State of an engine, with what else is asked for.
pub async fn inspect<E: Engine>(
    rank: &Rank<E>,
    inspection: &wire::Inspection,
) -> Result<wire::Condition, Error> {
    let report = rank.engine.report().await?;
    let own = report.group.as_ref();
    // A driver of another group learns only that this engine is not one of its.
    let term = own.map_or(0, |own| {
        let same = *own.name == *inspection.group;
        rank.see(&own.name, if same { inspection.term } else { 0 })
    });
    let mut condition = condition(term, &report);
    if condition.group != inspection.group {
        return Ok(condition);
    }
    if inspection.counts {
        condition.counts = rank.choices().await?;
    }
    if inspection.experts {
        let (held, _) = rank.engine.lists().await?;
        condition.experts = codec::flatten(&held.experts);
    }
    Ok(condition)
}

#[tonic::async_trait]
impl<E: Engine> wire::rank_server::Rank for Service<E> {
    async fn inspect(
        &self,
        request: Request<wire::Inspection>,
    ) -> Result<Response<wire::Condition>, Status> {
        let condition = inspect(&self.rank, &request.into_inner()).await;
        condition.map(Response::new).map_err(|error| Status::unavailable(error.to_string()))
    }

    async fn carry(&self, request: Request<wire::Step>) -> Result<Response<wire::Result>, Status> {
        let result = self.rank.carry_message(&request.into_inner()).await?;
        Ok(Response::new(result))
    }

    type RelayStream = ReceiverStream<Result<wire::Findings, Status>>;

    async fn relay(
        &self,
        request: Request<wire::Errand>,
    ) -> Result<Response<Self::RelayStream>, Status> {
        let errand = relay::Errand::read(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let (sender, receiver) = mpsc::channel(relay::QUEUE);
        tokio::spawn(relay::run(self.group.clone(), self.rank.clone(), errand, sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}
