//! Sidecar of a model engine. An engine is one rank of a group that runs in lock-step; its sidecar
//! takes part in changing the group's expert map.
//!
//! [`rank`] reports the state of the engine and carries out orders for it. One sidecar of each
//! group is its driver, elected by a lease in the store ([`election`]). The driver collects how
//! often experts are chosen ([`demand`]), decides where they should be placed ([`plan`], based on
//! its [`state`]) and switches all ranks to a new map ([`drive`]) through [`group`]. In a large
//! group, sidecars relay messages to others ([`relay`]). A map is sent as its difference from one
//! that the ranks hold ([`broadcast`], [`maps`]). Requests of clients don't pass through a sidecar.
//!
//! A *pass* is one step of the engines that all ranks of the group begin together. An *epoch* is
//! the time from one formation of the group to the next. A *term* is the time for which a driver is
//! elected. A group is *held* while a rank keeps it from beginning a certain pass.

pub mod broadcast;
pub mod codec;
pub mod demand;
mod drive;
pub mod election;
pub mod group;
pub mod maps;
pub mod member;
mod metrics;
pub mod plan;
mod publish;
pub mod rank;
pub mod relay;
pub mod state;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use loftcove_intake::{connections, descriptors, grpc, memory, monitor};
use loftcove_interface::engine::Engine;
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_line::field;
use loftcove_mirror::{Mirror, follow, peer};
use loftcove_settings::gateway as settings;
use loftcove_startup::{End, limits, listen, signals};
use loftcove_wire as wire;
use tokio::net::TcpListener;

/// Gateways that a sidecar follows. With two, it receives updates while one is unreachable.
const FOLLOWERS: usize = 2;
/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// File descriptors of the process itself. A driver connects to the ranks of its group, in a large
/// one by way of relays, and to engines whose sidecars do not answer.
const OWN_DESCRIPTORS: usize = 512;
/// Longest time that a stopping driver may take to complete a change that it has begun.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs a sidecar until it receives a signal to stop, or until its address for peers changes in the
/// settings while it waits for it. `connect` creates a client of the engine at an address.
pub async fn run<P: Protocol, S: Store, E: Engine>(
    file: &Path,
    settings: settings::Sidecar,
    store: S,
    connect: impl Fn(SocketAddr) -> E + Send + Sync + 'static,
    mut signals: signals::Receiver,
) -> End {
    let host = settings.host.clone();
    let peer_listener =
        listen::Listener::open("peers", settings.peering.peer_address, ACCEPT_BACKLOG);
    let metrics_listener = listen::Listener::open("metrics", host.metrics_address, ACCEPT_BACKLOG);
    let setting =
        limits::Bounds::of_settings(settings.limits.memory_mb, settings.limits.max_descriptors);
    let bounds = limits::enforce(setting);
    let account = descriptors::Account::of_process(bounds.descriptors, OWN_DESCRIPTORS);
    let metrics_quota = monitor::quota(&account);
    let intake = grpc::Intake::of(
        connections::Connections::of(grpc::quota(&account, bounds.memory)),
        memory::Account::of_process(bounds.memory, grpc::connection_memory(bounds.memory)),
    );
    let mirror: Arc<Mirror> = Arc::default();
    let own = follow::LocalHost { name: host.name.clone(), zone: host.zone.clone(), address: None };
    let peers = follow::Peers::new(own, host.seeds.clone());
    let peers = Arc::new(peers.with_memory(intake.memory.clone()));
    for follower in 0..FOLLOWERS {
        tokio::spawn(follow::run(mirror.clone(), peers.clone(), follower));
    }
    let metrics = Arc::new(metrics::Metrics::new(intake.clone()));
    tokio::spawn(metrics::serve(metrics.clone(), metrics_listener, metrics_quota));
    let rank = Arc::new(rank::Rank::new(connect(settings.engine.address)));
    let address = settings.peering.peer_address;
    let group = group::Group::new(settings.engine.address, address.port(), Box::new(connect));
    let group = Arc::new(group.with_memory(intake.memory.clone()));
    let service = (rank.clone(), group.clone());
    log::info!("started host={} engine={}", field::Text(&host.name), settings.engine.address);
    let store = Arc::new(store);
    let dependencies = move || drive::Dependencies {
        rank: rank.clone(),
        mirror: mirror.clone(),
        store: store.clone(),
        settings: settings.clone(),
        group: group.clone(),
        metrics: metrics.clone(),
    };
    let (stop, mut stopped) = tokio::sync::watch::channel(false);
    let (listens, mut listening) = tokio::sync::watch::channel(false);
    let mut driver = tokio::spawn(async move {
        // Until the previous process of this host has ended, it may still drive the group: a second
        // driver would take its term in the middle of a change.
        let listener = tokio::select! {
            listener = peer_listener.wait() => listener,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        listens.send_replace(true);
        let (rank, group) = service;
        tokio::spawn(serve(rank, group, listener, intake));
        drive::run::<P, S, E>(dependencies, stopped).await;
    });
    let moved = async {
        let read = || Some(settings::Sidecar::read(file).ok()?.peering.peer_address);
        // An error means that the driver's task has ended, which keeps the address.
        let listens = async { listening.wait_for(|listening| *listening).await.map(drop) };
        tokio::select! {
            biased;
            _ = listens => std::future::pending().await,
            () = listen::moved(address, read) => {}
        }
    };
    tokio::pin!(moved);
    loop {
        tokio::select! {
            signal = signals.next() => match signal {
                signals::Signal::Reload => reload(file, &peers),
                signals::Signal::Stop => break,
            },
            () = &mut moved => return End::Moved,
        }
    }
    log::info!("stopping host={}", field::Text(&host.name));
    stop.send_replace(true);
    if tokio::time::timeout(STOP_TIMEOUT, &mut driver).await.is_err() {
        log::warn!("stop timeout expired during a map change");
    }
    log::info!("stopped host={}", field::Text(&host.name));
    End::Stopped
}

fn reload(file: &Path, peers: &follow::Peers) {
    match settings::Sidecar::read(file) {
        Ok(settings) => {
            log::info!("reloaded file={} seeds={}", file.display(), settings.host.seeds.len());
            peers.set_seeds(settings.host.seeds);
        }
        Err(error) => {
            log::error!("reload failed error={error} next=keep", error = field::Quoted(&error))
        }
    }
}

async fn serve<E: Engine>(
    rank: Arc<rank::Rank<E>>,
    group: Arc<group::Group<E>>,
    listener: TcpListener,
    intake: grpc::Intake,
) {
    let service = wire::rank_server::RankServer::new(rank::Service::new(rank, group));
    let router = peer::server().add_service(grpc::Service(service));
    if let Err(error) = router.serve_with_incoming(grpc::incoming(listener, intake)).await {
        log::error!("peer service ended error={error}", error = field::Quoted(&error));
    }
}
