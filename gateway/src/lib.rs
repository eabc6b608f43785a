//! The gateway: takes clients' requests and sends each to a backend server.
//!
//! A request's way: [`server`] takes the connection, [`request`] reads the
//! request and finds its route, [`flow`] takes it from attempt to attempt,
//! [`upstream`] sends an attempt, and [`answer`] or, for streams, [`stream`]
//! hands the answer on. [`state`] holds what all requests share; it follows
//! the configuration and the list of backend servers through the mirror.
//! [`probe`] finds out when a group can be reached again, and whether a backend
//! server that started again leaves, [`ended`] whether a
//! backend server ended under a request, [`notice`] what servers say of their
//! own near future.
//! [`exchange`] logs which request a client's connection leaves without an answer.
//! [`health`] tells the platform whether the gateway is ready, [`drain`] is
//! the planned stop.

mod answer;
pub mod body;
mod drain;
mod ended;
mod event;
mod exchange;
mod flow;
mod health;
mod metrics;
mod notice;
mod probe;
mod request;
mod server;
mod state;
mod stream;
mod upstream;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_mirror::{self as mirror, ends, follow, lifts, peer, register, serve, watch};
use loftcove_settings::gateway as settings;
use loftcove_wire as wire;
use tokio::net::TcpListener;
use tonic::codec::CompressionEncoding;
use tonic::transport::server::TcpIncoming;

/// Peers that a gateway follows. With three, a change reaches a gateway while
/// two of its peers are cut off from the store as well.
const FOLLOWED: usize = 3;

/// Why the gateway could not run.
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

/// Runs a gateway until a planned stop is over.
///
/// # Errors
///
/// An [`Error`] of an address or of the signals.
pub async fn run<P: Protocol, S: Store>(
    file: &Path,
    settings: settings::Gateway,
    store: S,
) -> Result<(), Error> {
    let signals = drain::Signals::new().map_err(Error::Signal)?;
    let store = Arc::new(store);
    let listen = settings.listen.clone();
    let host = settings.host.clone();
    let clients = bind(listen.client_address, CLIENT_BACKLOG)?;
    let ready = bind(listen.ready_address, SMALL_BACKLOG)?;
    let peers = bind(listen.peer_address, SMALL_BACKLOG)?;
    let metrics = bind(host.metrics_address, SMALL_BACKLOG)?;
    let gateway = Arc::new(state::Gateway::<P>::new(settings));
    for subject in subjects::<P>(&gateway.settings.serving) {
        let own = register::Own {
            name: host.name.clone(),
            zone: host.zone.clone(),
            seed: host.seeds.contains(&listen.peer_address),
            bound: shortest_bound(&gateway.settings.serving),
        };
        let wanted = move |mirror: &mirror::Mirror| register::watches(mirror, &own);
        tokio::spawn(watch::run(gateway.mirror.clone(), store.clone(), subject, wanted));
    }
    let own = follow::LocalHost {
        name: host.name.clone(),
        zone: host.zone.clone(),
        address: Some(listen.peer_address),
    };
    let known = Arc::new(follow::Peers::new(own, host.seeds.clone()));
    for follower in 0..FOLLOWED {
        tokio::spawn(follow::run(gateway.mirror.clone(), known.clone(), follower));
    }
    let entry = register::Entry { address: listen.peer_address, zone: host.zone.clone() };
    tokio::spawn(ends::run(gateway.mirror.clone(), store.clone()));
    tokio::spawn(lifts::run(gateway.mirror.clone(), store.clone()));
    tokio::spawn(register::run(gateway.mirror.clone(), store, host.name.clone(), entry));
    tokio::spawn(gateway.mirror.clone().expire());
    tokio::spawn(serve_peers(gateway.mirror.clone(), host.zone.clone(), peers));
    tokio::spawn(health::serve(gateway.clone(), ready));
    tokio::spawn(health::serve(gateway.clone(), metrics));
    tokio::spawn(state::follow(gateway.clone()));
    tokio::spawn(probe::run(gateway.clone()));
    tokio::spawn(probe::settle(gateway.clone()));
    tokio::spawn(notice_suspensions(gateway.mirror.clone()));
    let dispatcher = gateway.dispatcher.clone();
    tokio::spawn(async move { dispatcher.run().await });
    tokio::spawn(server::run(gateway.clone(), clients));
    log::info!("started host={} zone={} clients={}", host.name, host.zone, listen.client_address);
    drain::wait(&gateway, &known, file, signals).await;
    log::info!("stopped host={}", host.name);
    Ok(())
}

/// Time within which a change of loftcove's own keys is to be known: peers'
/// addresses, members and drivers of groups. All of these go on by what was
/// known before, and entries of peers outlast their owners by as long.
const OWN_BOUND: Duration = Duration::from_secs(20);

/// What a gateway watches in the store.
fn subjects<P: Protocol>(serving: &settings::Serving) -> [watch::Subject; 3] {
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1_000.0);
    [
        watch::Subject {
            prefix: P::CONFIG_PREFIX,
            bound: ms(serving.config_bound_ms),
            entries: false,
        },
        watch::Subject {
            prefix: P::SERVERS_PREFIX,
            bound: ms(serving.drain_bound_ms),
            entries: true,
        },
        watch::Subject { prefix: mirror::OWN_PREFIX, bound: OWN_BOUND, entries: false },
    ]
}

/// Shortest of the bounds for what the operators and the backend servers change.
fn shortest_bound(serving: &settings::Serving) -> Duration {
    Duration::from_secs_f64(serving.config_bound_ms.min(serving.drain_bound_ms) / 1_000.0)
}

/// Connections that may wait to be accepted: all clients of a zone may come
/// back at once after the other gateways have gone.
const CLIENT_BACKLOG: u32 = 1_024;
/// The same, for the platform's and our own processes.
const SMALL_BACKLOG: u32 = 128;

fn bind(address: SocketAddr, backlog: u32) -> Result<TcpListener, Error> {
    let fault = |source| Error::Listen { address, source };
    let socket = tokio::net::TcpSocket::new_v4().map_err(fault)?;
    socket.set_reuseaddr(true).map_err(fault)?;
    socket.bind(address).map_err(fault)?;
    socket.listen(backlog).map_err(fault)
}

/// Has the store asked for what was missed, each time that the host has been
/// suspended.
async fn notice_suspensions(mirror: Arc<mirror::Mirror>) {
    loop {
        let time = boot::wait_for_suspension().await;
        mirror.resumed_from_suspend(time);
    }
}

async fn serve_peers(mirror: Arc<mirror::Mirror>, zone: Arc<str>, listener: TcpListener) {
    let service = wire::mirror_server::MirrorServer::new(serve::Service::new(mirror, zone))
        .send_compressed(CompressionEncoding::Gzip);
    let router = peer::server().add_service(service);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    if let Err(error) = router.serve_with_incoming(incoming).await {
        log::error!("peer service ended error=\"{error}\"");
    }
}
