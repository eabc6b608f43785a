//! A group of many ranks in this process. Each rank has the service of a sidecar on an address of
//! its own; its engine is an in-memory table.

#![allow(dead_code, reason = "each test uses a part")]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_intake::{grpc, memory};
use loftcove_interface::engine::{
    Counts, Engine, Error, Group as Place, Held, Map, Order, Report, Verdict,
};
use loftcove_sidecar::group::Group;
use loftcove_sidecar::rank::{Rank, Service, Step};
use loftcove_wire as wire;
use tokio::net::TcpListener;

/// Name of the group.
pub const GROUP: &str = "modelo-0";
/// Term of the driver.
pub const TERM: u64 = 7;
/// Epoch of the group.
pub const EPOCH: u64 = 3;
/// Number of layer sets.
pub const SETS: usize = 10;

/// State of an engine, and what was called on it.
#[derive(Debug, Default)]
pub struct State {
    pub prepared: Option<(u64, Arc<Map>)>,
    pub armed: Option<(u64, u64)>,
    pub held: Option<u64>,
    /// Switch that a late order arms right after the next report.
    pub late_arm: Option<(u64, u64)>,
    pub orders: u64,
    /// Orders that were rejected because of the count that they state.
    pub conflicts: u64,
    pub counts: Vec<u64>,
    /// Start time of the engine, if it reports one.
    pub born: Option<u64>,
    /// Orders that were sent to the engine directly, without its sidecar.
    pub remote_orders: u64,
}

/// An engine that copies immediately.
#[derive(Clone)]
pub struct Table {
    rank: u32,
    size: u32,
    pub state: Arc<Mutex<State>>,
    near: bool,
}

impl Engine for Table {
    async fn report(&self) -> Result<Report, Error> {
        let mut state = self.state.lock().unwrap();
        let group = Place {
            name: GROUP.into(),
            epoch: EPOCH,
            rank: self.rank,
            size: self.size,
            open: true,
        };
        let report = Report {
            slowness: 1.0,
            group: Some(group),
            orders: state.orders,
            busy: false,
            queued: 0,
            active: 1,
            pass: 100,
            map: 0,
            prepared: state.prepared.as_ref().map(|(version, _)| *version),
            armed: state.armed,
            held: state.held,
        };
        if let Some(late) = state.late_arm.take() {
            state.armed = Some(late);
            state.orders += 1;
        }
        Ok(report)
    }

    async fn counts(&self) -> Result<Counts, Error> {
        let state = self.state.lock().unwrap();
        Ok(Counts { pass: 100, epoch: EPOCH, born: state.born, counts: state.counts.clone() })
    }

    async fn lists(&self) -> Result<(Held, Option<Held>), Error> {
        Ok((Held { version: 0, experts: Vec::new() }, None))
    }

    async fn order(&self, order: &Order, _: u64, after: Option<u64>) -> Result<Verdict, Error> {
        let mut state = self.state.lock().unwrap();
        if after.is_some_and(|orders| orders != state.orders) {
            state.conflicts += 1;
            return Ok(Verdict::Conflict);
        }
        state.orders += 1;
        state.remote_orders += u64::from(!self.near);
        match order {
            Order::Prepare { version, map } => state.prepared = Some((*version, map.clone())),
            Order::Arm { version, pass } => state.armed = Some((*version, *pass)),
            Order::Disarm { .. } => state.armed = None,
            Order::Hold { pass } => state.held = Some(*pass),
            Order::Release { .. } => state.held = None,
        }
        Ok(Verdict::Accepted)
    }
}

/// Fault of a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Connections are refused.
    Gone,
    /// Connections are accepted, and nothing is sent on them.
    Silent,
}

/// Ranks of the group.
pub struct Ranks {
    /// Addresses of the engines, by rank.
    pub engines: Vec<SocketAddr>,
    /// The engines, by rank.
    pub tables: Vec<Table>,
    /// The group as rank 0, the driver, reaches it.
    pub group: Arc<Group<Table>>,
    /// Rank of the driver, rank 0.
    pub driver: Arc<Rank<Table>>,
}

const ENGINE_PORT: u16 = 8_100;
const ZONES: usize = 5;

fn addresses(ranks: usize, port: u16) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = std::process::id() * 16 + NEXT.fetch_add(1, Ordering::Relaxed);
    // The second octet and part of the third identify the test, with values above those of other
    // tests; the rest of the third octet and the fourth identify the rank.
    let second = 230 + (number % 20) as u8;
    let address = |rank: usize| {
        Ipv4Addr::new(
            127,
            second,
            (rank / 200) as u8 + (number / 20 % 30) as u8 * 8,
            (rank % 200) as u8 + 10,
        )
    };
    (0..ranks).map(|rank| (address(rank), port).into()).collect()
}

/// Starts `size` ranks, some of them with a fault.
pub async fn start(size: usize, faults: &BTreeMap<usize, Fault>) -> Ranks {
    let engines = addresses(size, ENGINE_PORT);
    let port = free_port(engines[0]).await;
    let table = |rank: usize| Table {
        rank: rank as u32,
        size: size as u32,
        state: Arc::default(),
        near: true,
    };
    let tables: Vec<Table> = (0..size).map(table).collect();
    let zones: BTreeMap<SocketAddr, Arc<str>> =
        engines.iter().enumerate().map(|(rank, engine)| (*engine, zone(rank))).collect();
    let mut driver = None;
    for rank in 0..size {
        let group = Arc::new(group(&engines, &tables, rank, port));
        group.set_engines(zones.clone());
        let own = Arc::new(Rank::new(tables[rank].clone()));
        driver.get_or_insert_with(|| (group.clone(), own.clone()));
        let address = (engines[rank].ip(), port);
        match faults.get(&rank) {
            Some(Fault::Gone) => continue,
            Some(Fault::Silent) => {
                let listener = TcpListener::bind(address).await.unwrap();
                tokio::spawn(async move {
                    let mut open = Vec::new();
                    while let Ok(stream) = listener.accept().await {
                        open.push(stream);
                    }
                });
                continue;
            }
            None => {}
        }
        let listener = TcpListener::bind(address).await.unwrap();
        let service = wire::rank_server::RankServer::new(Service::new(own, group));
        let intake = grpc::Intake::new(1_024, memory::Account::new(256 << 20));
        let server = loftcove_mirror::peer::server().add_service(grpc::Service(service));
        tokio::spawn(server.serve_with_incoming(grpc::incoming(listener, intake)));
    }
    let (group, driver) = driver.unwrap();
    Ranks { engines, tables, group, driver }
}

async fn free_port(address: SocketAddr) -> u16 {
    let listener = TcpListener::bind((address.ip(), 0)).await.unwrap();
    listener.local_addr().unwrap().port()
}

fn zone(rank: usize) -> Arc<str> {
    format!("zone-{}", rank % ZONES).into()
}

fn group(engines: &[SocketAddr], tables: &[Table], rank: usize, port: u16) -> Group<Table> {
    let by_address: BTreeMap<SocketAddr, Table> =
        engines.iter().copied().zip(tables.iter().cloned()).collect();
    let connect = move |address: SocketAddr| Table { near: false, ..by_address[&address].clone() };
    Group::new(engines[rank], port, Box::new(connect))
}

/// Creates a group whose engines are not reached.
pub fn unreached(own: SocketAddr) -> Group<Table> {
    let table = Table { rank: 0, size: 1, state: Arc::default(), near: false };
    Group::new(own, ENGINE_PORT, Box::new(move |_| table.clone()))
}

/// Creates a step of the driver.
pub fn step(order: Order) -> Step {
    Step { group: GROUP.into(), term: TERM, epoch: EPOCH, order, unless_armed: None }
}

impl Ranks {
    /// Delivers a step to all ranks and returns the effects by address.
    pub async fn deliver(
        &self,
        broadcast: &loftcove_sidecar::broadcast::Broadcast,
    ) -> BTreeMap<SocketAddr, wire::Effect> {
        let parts = self.group.parts(&self.engines).into_iter();
        let parts = parts.map(|part| part.into_iter().map(|place| self.engines[place]).collect());
        let all = parts.map(|part| self.group.deliver(&self.driver, part, broadcast));
        let all = futures_util::future::join_all(all).await;
        all.into_iter().flatten().map(|(engine, answer)| (engine, answer.effect)).collect()
    }
}

/// Longest time that a test waits for something that takes milliseconds.
pub const PATIENCE: Duration = Duration::from_secs(20);
