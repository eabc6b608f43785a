//! The sidecar: stands beside a model engine, one rank of a group that runs in
//! lock-step, and changes the group's expert map.
//!
//! [`rank`] answers for the engine and carries out orders for it. One sidecar
//! of each group is its driver, by a lease in the store ([`election`]): it
//! collects what experts were chosen ([`demand`]), decides where they should be
//! ([`plan`], by what is [`known`]) and takes all ranks over to a new map
//! ([`drive`]), through [`group`]; in a large group by sidecars that pass on what
//! is meant for others ([`relay`]). A map travels as its difference from one
//! that the ranks hold ([`parcel`], [`maps`]). No request passes through a
//! sidecar.

pub mod codec;
pub mod demand;
mod drive;
pub mod election;
pub mod group;
pub mod known;
pub mod maps;
pub mod member;
mod metrics;
pub mod parcel;
pub mod plan;
pub mod rank;
pub mod relay;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use loftcove_interface::engine::Engine;
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_mirror::{Mirror, follow, peer};
use loftcove_settings::gateway as settings;
use loftcove_wire as wire;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tonic::transport::server::TcpIncoming;

/// Gateways that a sidecar follows: with two, it hears of changes while one is
/// cut off.
const FOLLOWED: usize = 2;
/// Longest time that a stopping driver may take to end a change it has begun.
const STOP_TIME: Duration = Duration::from_secs(3);

/// Why the sidecar could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("signals cannot be received: {0}")]
    Signal(std::io::Error),
}

/// Runs a sidecar until it is told to stop. `connect` makes a client of the
/// engine at an address.
///
/// # Errors
///
/// An [`Error`] of an address or of the signals.
pub async fn run<P: Protocol, S: Store, E: Engine>(
    file: &Path,
    settings: settings::Sidecar,
    store: S,
    connect: impl Fn(SocketAddr) -> E + Send + Sync + 'static,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let host = settings.host.clone();
    let peers = listen(settings.peering.peer_address).await?;
    let metrics_listener = listen(host.metrics_address).await?;
    let mirror: Arc<Mirror> = Arc::default();
    let own = follow::LocalHost { name: host.name.clone(), zone: host.zone.clone(), address: None };
    let known = Arc::new(follow::Peers::new(own, host.seeds.clone()));
    for follower in 0..FOLLOWED {
        tokio::spawn(follow::run(mirror.clone(), known.clone(), follower));
    }
    let metrics: Arc<metrics::Metrics> = Arc::default();
    tokio::spawn(metrics::serve(metrics.clone(), metrics_listener));
    let rank = Arc::new(rank::Rank::new(connect(settings.engine.address)));
    let port = settings.peering.peer_address.port();
    let group = group::Group::new(settings.engine.address, port, Box::new(connect));
    let group = Arc::new(group);
    tokio::spawn(serve(rank.clone(), group.clone(), peers));
    let driver = drive::Driver::<P, S, E>::new(drive::Parts {
        rank,
        mirror,
        store: Arc::new(store),
        settings: settings.clone(),
        group,
        metrics,
    });
    log::info!("started host={} engine={}", host.name, settings.engine.address);
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let mut driver = tokio::spawn(driver.run(stopped));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(file, &known),
        }
    }
    log::info!("stopping host={}", host.name);
    stop.send_replace(true);
    if tokio::time::timeout(STOP_TIME, &mut driver).await.is_err() {
        log::warn!("stopped within a change of the map");
    }
    log::info!("stopped host={}", host.name);
    Ok(())
}

fn reload(file: &Path, known: &follow::Peers) {
    match settings::Sidecar::read(file) {
        Ok(settings) => {
            log::info!("reloaded file={} seeds={}", file.display(), settings.host.seeds.len());
            known.set_seeds(settings.host.seeds);
        }
        Err(error) => log::error!("reload failed error=\"{error}\" next=keep"),
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

async fn serve<E: Engine>(
    rank: Arc<rank::Rank<E>>,
    group: Arc<group::Group<E>>,
    listener: TcpListener,
) {
    let service = wire::rank_server::RankServer::new(rank::Service::new(rank, group));
    let router = peer::server().add_service(service);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    if let Err(error) = router.serve_with_incoming(incoming).await {
        log::error!("peer service ended error=\"{error}\"");
    }
}
