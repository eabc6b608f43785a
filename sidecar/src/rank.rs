//! Reports the state of the engine beside this sidecar and carries out orders for it.
//!
//! An order is repeated until the engine's report shows its effect, or shows that it can no longer
//! take effect. Each order states the number of orders that the engine has accepted before it, so
//! that the engine rejects an order that arrives late, after another one. Orders of a driver that
//! has been replaced are rejected here: the *fence* of a rank is the highest term that it has
//! received.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::map::{fence, version};
use loftcove_interface::engine::{Counts, Engine, Error, Order, Report, Verdict};
use loftcove_line::field;
use loftcove_wire as wire;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::group::Group;
use crate::maps;
use crate::{codec, relay};

/// Time after which the driver is told that the effect of an order is not known. The driver then
/// repeats the order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval at which the sidecar checks whether a map has been copied.
const COPY_POLL: Duration = Duration::from_millis(40);
/// Time after which an accepted order that shows no effect is repeated. An order to prepare a map
/// is not repeated here, but by the driver.
const REPEAT_DELAY: Duration = Duration::from_millis(500);
/// Pause after an order that the engine rejected, and first pause after a report that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after a report that failed. The pause doubles up to this while the engine refuses
/// connections, because such a failure takes no time.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(320);

/// Maximum age of the previous counts for their difference to show the current demand. A change of
/// the map, during which no counts are read, takes less time.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(5);

/// The engine and the highest term received from a driver of its group.
pub struct Rank<E> {
    /// Client of the engine.
    pub engine: E,
    fence: Mutex<fence::Fence>,
    maps: Mutex<maps::Cache>,
    last_sample: Mutex<Option<Sample>>,
    /// Whether the engine's reports are up to date, as they are if it runs on the same machine.
    fresh: bool,
}

/// Counts that were returned to a driver.
struct Sample {
    at: boot::Instant,
    born: Option<u64>,
    counts: Vec<u64>,
}

impl Sample {
    /// Returns how often each expert was chosen since an earlier sample, or `None` if the engine
    /// was restarted in between, because it then counts from zero.
    fn since(&self, before: &Sample) -> Option<Vec<u32>> {
        if self.born != before.born || self.counts.len() != before.counts.len() {
            return None;
        }
        let pairs = self.counts.iter().zip(&before.counts);
        let growth = pairs.map(|(now, before)| now.checked_sub(*before));
        growth.map(|count| count.and_then(|count| u32::try_from(count).ok())).collect()
    }
}

/// Order of a driver.
#[derive(Debug, Clone)]
pub struct Step {
    /// Group that the order is for.
    pub group: Arc<str>,
    /// Term of the driver.
    pub term: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Order to the engine.
    pub order: Order,
    /// Version that the engine must not be armed with for an order to release to be carried out.
    pub unless_armed: Option<u64>,
}

impl<E: Engine> Rank<E> {
    /// Creates a rank that has received no term.
    pub fn new(engine: E) -> Rank<E> {
        Rank::with(engine, true)
    }

    /// Creates a rank whose engine runs on another machine. Its reports may be outdated, so that
    /// orders are sent without the number of accepted orders that a report contains.
    pub fn remote(engine: E) -> Rank<E> {
        Rank::with(engine, false)
    }

    fn with(engine: E, fresh: bool) -> Rank<E> {
        let (fence, maps, last_sample) = Default::default();
        Rank { engine, fence, maps, last_sample, fresh }
    }

    /// Returns how often each expert was chosen since a driver last read the counts, or an empty
    /// list if none did within [`MAX_SAMPLE_AGE`].
    async fn count_growth(&self) -> Result<Vec<u32>, Error> {
        let Counts { counts, born, .. } = self.engine.counts().await?;
        let now = Sample { at: boot::Instant::now(), born, counts };
        let mut last_sample = lock(&self.last_sample);
        let before = last_sample.take().filter(|sample| sample.at.elapsed() < MAX_SAMPLE_AGE);
        let growth = before.and_then(|before| now.since(&before));
        *last_sample = Some(now);
        Ok(growth.unwrap_or_default())
    }

    /// Decodes the step of a message.
    async fn step(&self, message: &wire::Step) -> Result<Step, Fault> {
        let (version, pass) = (message.version, message.pass);
        let order = match message.operation() {
            wire::Operation::Unspecified => {
                return Err(Fault::Malformed("no operation".into()));
            }
            wire::Operation::Prepare => {
                let report = self.engine.report().await.map_err(Fault::Engine)?;
                let ranks = report.group.map_or(0, |group| group.size);
                let map = message.map.clone().unwrap_or_default();
                let map = lock(&self.maps).decode(&map, ranks as usize);
                Order::Prepare { version, map: map.map_err(Fault::Map)? }
            }
            wire::Operation::Arm => Order::Arm { version, pass },
            wire::Operation::Disarm => Order::Disarm { version },
            wire::Operation::Hold => Order::Hold { pass },
            wire::Operation::Release => Order::Release { pass },
        };
        let group = (*message.group).into();
        let release = message.operation() == wire::Operation::Release;
        let unless_armed = (release && version != 0).then_some(version);
        Ok(Step { group, term: message.term, epoch: message.epoch, order, unless_armed })
    }

    /// Carries out the step of a message.
    pub async fn carry_message(&self, message: &wire::Step) -> Result<wire::Result, Fault> {
        let step = match self.step(message).await {
            Ok(step) => step,
            Err(Fault::Map(maps::Error::BaseMissing)) => {
                log::info!("cannot decode map version={} reason=base-missing", message.version);
                let effect = wire::Effect::BaseMissing.into();
                return Ok(wire::Result { effect, condition: None });
            }
            Err(fault) => {
                log::error!(
                    "step rejected term={} error={fault}",
                    message.term,
                    fault = field::Quoted(&fault)
                );
                return Err(fault);
            }
        };
        let (effect, report) = self.carry(&step).await;
        let condition = report.map(|report| condition(0, &report));
        Ok(wire::Result { effect: effect.into(), condition })
    }

    /// Records the term of a driver of the engine's current group and returns the highest one
    /// received. A term of zero records nothing.
    pub fn observe(&self, group: &Arc<str>, term: u64) -> u64 {
        let mut fence = lock(&self.fence);
        let before = fence.observe(group, 0);
        let highest = fence.observe(group, term);
        if highest > before && before > 0 {
            log::info!(
                "term changed group={group} term={term} before={before}",
                group = field::Text(group)
            );
        }
        highest
    }

    /// Returns the last pass that the engine has begun, or `None` if it reports none before `end`.
    pub async fn last_pass(&self, end: boot::Instant) -> Option<u64> {
        let mut pause = RETRY_PAUSE;
        while boot::Instant::now() < end {
            if let Ok(report) = self.engine.report().await {
                return Some(report.pass);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
        None
    }

    /// Carries out a step. Returns its effect and the last report of the engine.
    pub async fn carry(&self, step: &Step) -> (wire::Effect, Option<Report>) {
        let end = boot::Instant::now() + ORDER_TIMEOUT;
        let mut seen = None;
        let mut refusals = 0;
        let mut accepted: Option<boot::Instant> = None;
        let mut pause = RETRY_PAUSE;
        while boot::Instant::now() < end {
            let report = match self.engine.report().await {
                Ok(report) => report,
                Err(error) => {
                    if pause == RETRY_PAUSE {
                        log::warn!(
                            "report failed order={:?} error={error}",
                            kind(&step.order),
                            error = field::Quoted(&error)
                        );
                    }
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                    continue;
                }
            };
            seen = Some(report.clone());
            let own = report.group.as_ref().filter(|own| own.name == step.group);
            if own.is_some_and(|own| self.observe(&own.name, step.term) > step.term) {
                return (wire::Effect::Superseded, seen);
            }
            match progress(step, &report) {
                Progress::Done => return (wire::Effect::Confirmed, seen),
                Progress::Impossible => return (wire::Effect::Refused, seen),
                Progress::Pending if accepted.is_some_and(|at| in_progress(&step.order, at)) => {
                    tokio::time::sleep(COPY_POLL).await;
                }
                Progress::Pending => {
                    match self.order_once(step, &report).await {
                        Ok(Verdict::Accepted) => accepted = Some(boot::Instant::now()),
                        Ok(Verdict::Conflict | Verdict::Refused(_)) => {
                            refusals += 1;
                            if refusals > MAX_REFUSALS {
                                return (wire::Effect::Refused, seen);
                            }
                            tokio::time::sleep(RETRY_PAUSE).await;
                        }
                        // The effect is not known; the next report shows it.
                        Err(Error::NoAnswer(_) | Error::Protocol { .. }) => {}
                    }
                }
            }
        }
        (wire::Effect::Unknown, seen)
    }

    /// Sends the order once, without reading the engine's state first.
    pub async fn order_unchecked(&self, step: &Step) -> Result<Verdict, Error> {
        let verdict = self.engine.order(&step.order, step.epoch, None).await;
        log::info!(
            "order kind={} term={} epoch={} from=afar outcome={verdict:?}",
            kind(&step.order),
            step.term,
            step.epoch
        );
        verdict
    }

    /// Sends the order once.
    async fn order_once(&self, step: &Step, report: &Report) -> Result<Verdict, Error> {
        // The condition of a step must still hold when the engine carries out its order.
        let conditional = step.unless_armed.is_some() || is_armed_held(step, report);
        let after = (self.fresh || conditional).then_some(report.orders);
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

/// Reasons why the step of a message is not carried out.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The message is malformed.
    #[error("step is malformed: {0}")]
    Malformed(String),
    /// The map of the step cannot be decoded.
    #[error("map of the step: {0}")]
    Map(maps::Error),
    /// The engine does not report its place in the group.
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

/// Number of times that an engine may reject an order, in a state in which it should accept it,
/// before the order counts as refused. Another order may have arrived between the report and this
/// one.
const MAX_REFUSALS: u32 = 2;

/// Progress of an order according to the engine's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The report shows the effect of the order.
    Done,
    /// The order can no longer take effect.
    Impossible,
    /// The order is to be sent.
    Pending,
}

/// Returns whether an order accepted at `accepted` may still take effect without being repeated.
/// Copying may take arbitrarily long, and reports do not show its progress.
fn in_progress(order: &Order, accepted: boot::Instant) -> bool {
    matches!(order, Order::Prepare { .. }) || accepted.elapsed() < REPEAT_DELAY
}

fn progress(step: &Step, report: &Report) -> Progress {
    let Some(group) = &report.group else { return Progress::Impossible };
    if group.name != step.group || group.epoch != step.epoch {
        return Progress::Impossible;
    }
    match &step.order {
        Order::Prepare { version, .. } => match report.prepared {
            Some(prepared) if prepared == *version => Progress::Done,
            Some(prepared) if prepared > *version => Progress::Impossible,
            _ if report.map >= *version => Progress::Impossible,
            _ => Progress::Pending,
        },
        Order::Arm { version, pass } => match report.armed {
            Some(armed) if armed == (*version, *pass) => Progress::Done,
            _ if report.map == *version => Progress::Done,
            _ if report.pass >= *pass => Progress::Impossible,
            _ if is_armed_held(step, report) && report.held != Some(*pass) => Progress::Impossible,
            _ => Progress::Pending,
        },
        Order::Disarm { version } => match report.armed {
            Some((armed, _)) if armed == *version => Progress::Pending,
            _ => Progress::Done,
        },
        Order::Hold { pass } => match report.held {
            Some(held) if held == *pass => Progress::Done,
            _ if report.pass >= *pass => Progress::Impossible,
            _ => Progress::Pending,
        },
        Order::Release { pass } => match report.held {
            Some(held) if held == *pass && is_excluded(step, report) => Progress::Impossible,
            Some(held) if held == *pass => Progress::Pending,
            _ => Progress::Done,
        },
    }
}

/// Returns whether the step arms or disarms a rank that may be armed only while it holds the group.
fn is_armed_held(step: &Step, report: &Report) -> bool {
    let (Order::Arm { version, .. } | Order::Disarm { version }) = step.order else {
        return false;
    };
    let place = report.group.as_ref();
    place.is_some_and(|own| version::is_armed_held(version, own.size as usize, own.rank as usize))
}

/// Returns whether the engine is armed with the version that the step excludes.
fn is_excluded(step: &Step, report: &Report) -> bool {
    let armed = report.armed.map(|(version, _)| version);
    armed.is_some() && armed == step.unless_armed
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

/// gRPC service that other sidecars call.
pub struct Service<E> {
    rank: Arc<Rank<E>>,
    group: Arc<Group<E>>,
}

impl<E: Engine> Service<E> {
    /// Creates the service for this engine. It relays to other ranks of the group.
    pub fn new(rank: Arc<Rank<E>>, group: Arc<Group<E>>) -> Service<E> {
        Service { rank, group }
    }
}

/// Encodes a report.
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

/// Returns the state of an engine, with the counts and experts that the inspection asks for.
pub async fn inspect<E: Engine>(
    rank: &Rank<E>,
    inspection: &wire::Inspection,
) -> Result<wire::Condition, Error> {
    let report = rank.engine.report().await?;
    let own = report.group.as_ref();
    // A driver of another group receives no more than that this engine does not belong to its
    // group.
    let term = own.map_or(0, |own| {
        let same = *own.name == *inspection.group;
        rank.observe(&own.name, if same { inspection.term } else { 0 })
    });
    let mut condition = condition(term, &report);
    if condition.group != inspection.group {
        return Ok(condition);
    }
    if inspection.counts {
        condition.counts = rank.count_growth().await?;
    }
    if inspection.experts {
        let (held, _) = rank.engine.lists().await?;
        condition.experts = codec::encode(&held.experts);
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
