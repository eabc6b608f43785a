//! Relaying of messages to several ranks on behalf of the driver of their group.
//!
//! In a large group, a driver that sends to every rank itself uses more bandwidth and processor
//! time than a change may take. So it sends an errand to one rank of each part
//! ([`loftcove_decision::map::tree`]). That rank is the relay: it sends on to the other ranks of
//! the part and returns their findings. A relay makes no decisions: each rank checks term, epoch
//! and group itself, and ranks that do not answer the relay are left to the driver.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use loftcove_interface::engine::Engine;
use loftcove_line::field;
use loftcove_wire as wire;
use tokio::sync::mpsc;
use tonic::Status;

use crate::group::Group;
use crate::rank::{self, Rank};

/// Number of messages with findings that are buffered for a slow caller.
pub const QUEUE: usize = 4;
/// Maximum number of ranks of an errand, far more than a group has.
const MAX_ENGINES: usize = 1 << 16;
/// Maximum time limit of an errand.
const MAX_LIMIT: Duration = Duration::from_secs(5);
/// Part of the time limit that a relay reserves for answers of its own relays to reach it.
const HOP_TIME: Duration = Duration::from_millis(25);
/// Maximum number of findings of steps in one message.
const BATCH: usize = 64;

/// Reasons why an errand is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An address has neither 6 nor 18 bytes.
    #[error("address of an engine is malformed")]
    Address,
    /// The errand lists more ranks than any group has.
    #[error("errand names too many engines")]
    Engines,
    /// The errand contains neither a step nor an inspection.
    #[error("errand asks for nothing")]
    Work,
}

/// Work to do at each rank.
#[derive(Debug, Clone)]
pub enum Work {
    /// Carry out a step.
    Step(wire::Step),
    /// Read the state.
    Inspection(wire::Inspection),
}

/// Task of a relay.
#[derive(Debug, Clone)]
pub struct Errand {
    /// Work to do at each rank.
    pub work: Work,
    /// Engines of the ranks.
    pub engines: Vec<SocketAddr>,
    /// Time after which the caller stops waiting.
    pub limit: Duration,
}

impl Errand {
    /// Decodes an errand.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the message is malformed.
    pub fn read(message: wire::Errand) -> Result<Errand, Error> {
        if message.engines.len() > MAX_ENGINES {
            return Err(Error::Engines);
        }
        let engines =
            message.engines.iter().map(|bytes| decode_address(bytes).ok_or(Error::Address));
        let work = match (message.step, message.inspection) {
            (Some(step), _) => Work::Step(step),
            (None, Some(inspection)) => Work::Inspection(inspection),
            (None, None) => return Err(Error::Work),
        };
        Ok(Errand {
            work,
            engines: engines.collect::<Result<_, _>>()?,
            limit: Duration::from_millis(u64::from(message.limit_ms)).min(MAX_LIMIT),
        })
    }

    /// Encodes the errand.
    pub fn message(&self) -> wire::Errand {
        let (step, inspection) = match &self.work {
            Work::Step(step) => (Some(step.clone()), None),
            Work::Inspection(inspection) => (None, Some(inspection.clone())),
        };
        wire::Errand {
            step,
            inspection,
            engines: self.engines.iter().map(encode_address).collect(),
            limit_ms: self.limit.as_millis() as u32,
        }
    }
}

fn encode_address(address: &SocketAddr) -> Bytes {
    let mut octets = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    octets.extend(address.port().to_be_bytes());
    octets.into()
}

fn decode_address(octets: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = octets.split_last_chunk::<2>()?;
    let ip: IpAddr = match ip.len() {
        4 => Ipv4Addr::from(<[u8; 4]>::try_from(ip).ok()?).into(),
        16 => Ipv6Addr::from(<[u8; 16]>::try_from(ip).ok()?).into(),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

/// Adds the counts of a rank to a sum.
pub fn add_counts(sum: &mut Vec<u32>, counts: &[u32]) {
    if sum.is_empty() {
        sum.resize(counts.len(), 0);
    }
    if sum.len() == counts.len() {
        sum.iter_mut().zip(counts).for_each(|(sum, count)| *sum = sum.saturating_add(*count));
    }
}

/// Runs an errand until its time limit, or until its caller disconnects.
pub async fn run<E: Engine>(
    group: Arc<Group<E>>,
    local: Arc<Rank<E>>,
    errand: Errand,
    sender: mpsc::Sender<Result<wire::Findings, Status>>,
) {
    let limit = errand.limit.saturating_sub(HOP_TIME);
    let served = async {
        match &errand.work {
            Work::Step(_) => serve_step(&group, &local, &errand, limit, &sender).await,
            Work::Inspection(_) => serve_inspection(&group, &local, &errand, limit, &sender).await,
        }
    };
    tokio::select! {
        () = served => {}
        () = sender.closed() => log::info!("errand cancelled reason=caller-left"),
    }
}

/// Returns the results of a step in the order in which the ranks answer.
async fn serve_step<E: Engine>(
    group: &Group<E>,
    local: &Rank<E>,
    errand: &Errand,
    limit: Duration,
    sender: &mpsc::Sender<Result<wire::Findings, Status>>,
) {
    let found = parts(group, local, errand, limit);
    let mut found = found.ready_chunks(BATCH);
    let end = tokio::time::sleep(limit);
    tokio::pin!(end);
    loop {
        let chunk = tokio::select! {
            chunk = found.next() => chunk,
            () = &mut end => None,
        };
        let Some(chunk) = chunk else { return };
        let findings = chunk.into_iter().flat_map(|findings| findings.findings).collect();
        let message = wire::Findings { findings, counts: Vec::new() };
        if sender.send(Ok(message)).await.is_err() {
            return;
        }
    }
}

/// Returns the states that were received within the limit, and the sum of the counts.
async fn serve_inspection<E: Engine>(
    group: &Group<E>,
    local: &Rank<E>,
    errand: &Errand,
    limit: Duration,
    sender: &mpsc::Sender<Result<wire::Findings, Status>>,
) {
    let mut all = wire::Findings::default();
    let collect = async {
        let mut found = parts(group, local, errand, limit);
        while let Some(findings) = found.next().await {
            add_counts(&mut all.counts, &findings.counts);
            all.findings.extend(findings.findings);
        }
    };
    if tokio::time::timeout(limit, collect).await.is_err() {
        log::info!("errand timed out engines={}", errand.engines.len());
    }
    // The caller may have disconnected.
    sender.send(Ok(all)).await.unwrap_or_default();
}

/// Splits an errand into parts and runs them independently of each other.
fn parts<'a, E: Engine>(
    group: &'a Group<E>,
    local: &'a Rank<E>,
    errand: &'a Errand,
    limit: Duration,
) -> FuturesUnordered<impl Future<Output = wire::Findings> + 'a> {
    let places: Vec<usize> = (0..errand.engines.len()).collect();
    let (own, others): (Vec<usize>, Vec<usize>) =
        places.into_iter().partition(|place| errand.engines[*place] == group.own());
    let addresses: Vec<SocketAddr> = others.iter().map(|place| errand.engines[*place]).collect();
    let split = group.parts(&addresses).into_iter();
    let split = split.map(|part| part.into_iter().map(|place| others[place]).collect());
    let all: Vec<Vec<usize>> = split.chain(own.into_iter().map(|place| vec![place])).collect();
    all.into_iter().map(|part| serve_part(group, local, errand, part, limit)).collect()
}

async fn serve_part<E: Engine>(
    group: &Group<E>,
    local: &Rank<E>,
    errand: &Errand,
    part: Vec<usize>,
    limit: Duration,
) -> wire::Findings {
    let engines: Vec<SocketAddr> = part.iter().map(|place| errand.engines[*place]).collect();
    let mut findings = match engines[..] {
        [engine] if engine == group.own() => serve_own(local, &errand.work).await,
        [engine] => group.call_rank(engine, &errand.work, limit).await,
        _ => {
            let errand = Errand { work: errand.work.clone(), engines, limit };
            group.call_relay(&errand).await.unwrap_or_default()
        }
    };
    // Places refer to the part. They are converted to places of this errand.
    findings.findings.retain(|finding| (finding.place as usize) < part.len());
    for finding in &mut findings.findings {
        finding.place = part[finding.place as usize] as u32;
    }
    findings
}

/// Does the work at this sidecar's own engine.
async fn serve_own<E: Engine>(local: &Rank<E>, work: &Work) -> wire::Findings {
    match work {
        Work::Step(step) => match local.carry_message(step).await {
            Ok(result) => step_findings(result),
            // Logged where the error occurred; the driver calls the rank directly.
            Err(_) => wire::Findings::default(),
        },
        Work::Inspection(inspection) => match rank::inspect(local, inspection).await {
            Ok(condition) => inspection_findings(condition),
            Err(error) => {
                log::info!(
                    "cannot inspect engine engine=own error={error}",
                    error = field::Quoted(&error)
                );
                wire::Findings::default()
            }
        },
    }
}

/// Converts the result of a step at one rank to findings.
pub fn step_findings(result: wire::Result) -> wire::Findings {
    let epoch = result.condition.map(|condition| condition.epoch);
    let condition = epoch.map(|epoch| wire::Condition { epoch, ..wire::Condition::default() });
    let finding = wire::Finding { place: 0, effect: result.effect, condition };
    wire::Findings { findings: vec![finding], counts: Vec::new() }
}

/// Converts the state of one rank to findings.
pub fn inspection_findings(mut condition: wire::Condition) -> wire::Findings {
    let counts = std::mem::take(&mut condition.counts);
    let finding = wire::Finding { condition: Some(condition), ..wire::Finding::default() };
    wire::Findings { findings: vec![finding], counts }
}
