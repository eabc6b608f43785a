//! The gateway accepts clients' HTTP requests and sends each of them to a backend server.
//!
//! Path of a request: [`server`] accepts the connection, [`request`] reads the request and finds
//! its route, and [`flow`] makes one attempt after another until the request has a final response.
//! [`upstream`] sends an attempt over a [`socket`] that is reset if its response is not complete.
//! [`answer`] relays the response to the client or, for event streams, [`stream`] does. [`state`]
//! holds what all requests share and keeps it up to date with the configuration and the list of
//! backend servers, which the mirror provides.
//!
//! Supporting modules: [`probe`] finds out whether an unreachable group is reachable again and
//! whether a restarted backend server is leaving. [`ended`] finds out whether a backend server
//! ended under a request, and whether a response is complete. [`notice`] applies what servers
//! report about leaving, resting and rate limits. [`queue`] bounds the bytes that wait for clients,
//! and [`client`] disconnects a client that takes none of them. [`exchange`] logs each request that
//! a client's connection leaves without a complete response. [`shares`] classifies teams for the
//! metrics. [`pulse`] finds out whether the process was stopped for a while. [`health`] reports to the platform whether the gateway is ready, and [`drain`]
//! implements the planned stop.

mod answer;
pub mod body;
pub mod client;
pub mod deadline;
mod drain;
mod ended;
mod exchange;
mod flow;
mod health;
mod message;
mod metrics;
mod moves;
mod notice;
mod outcome;
mod parts;
mod probe;
pub mod pulse;
pub mod queue;
mod quotas;
mod request;
mod server;
pub mod shares;
pub mod socket;
pub mod speed;
mod state;
mod stream;
pub mod upstream;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_intake::grpc;
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_line::field;
use loftcove_mirror::{self as mirror, ends, follow, lifts, peer, register, serve, watch};
use loftcove_settings::gateway as settings;
use loftcove_startup::{End, limits, listen, signals};
use loftcove_wire as wire;
pub use state::Target;
use tonic::codec::CompressionEncoding;

/// Number of peers that a gateway follows. With three, a change still reaches a gateway while two
/// of its peers are cut off from the store too.
const FOLLOWED_PEERS: usize = 3;

/// Runs a gateway until its planned stop is complete, or until its address for clients changes in the
/// settings while it waits for it. It waits for all addresses that are not available, and is not
/// ready while it waits for the one for clients.
pub async fn run<P: Protocol, S: Store>(
    file: &Path,
    settings: settings::Gateway,
    store: S,
    signals: signals::Receiver,
) -> End {
    let store = Arc::new(store);
    let addresses = settings.listen.clone();
    let host = settings.host.clone();
    let clients = listen::Listener::open("clients", addresses.client_address, CLIENT_BACKLOG);
    let ready = listen::Listener::open("readiness", addresses.ready_address, INTERNAL_BACKLOG);
    let peer_listener = listen::Listener::open("peers", addresses.peer_address, INTERNAL_BACKLOG);
    let metrics = listen::Listener::open("metrics", host.metrics_address, INTERNAL_BACKLOG);
    let serving = &settings.serving;
    let setting = limits::Bounds::of_settings(serving.memory_mb, serving.max_descriptors);
    let bounds = limits::enforce(setting);
    let quotas = quotas::Quotas::new(bounds, setting.descriptors);
    let gateway = Arc::new(state::Gateway::<P>::new(settings, bounds, &quotas));
    for subject in subjects::<P>(&gateway.settings.serving) {
        let own = register::Own {
            name: host.name.clone(),
            zone: host.zone.clone(),
            seed: host.seeds.contains(&addresses.peer_address),
            bound: shortest_bound(&gateway.settings.serving),
        };
        let wanted = move |mirror: &mirror::Mirror| register::watches(mirror, &own);
        tokio::spawn(watch::run(gateway.mirror.clone(), store.clone(), subject, wanted));
    }
    let own = follow::LocalHost {
        name: host.name.clone(),
        zone: host.zone.clone(),
        address: Some(addresses.peer_address),
    };
    let peers = follow::Peers::new(own, host.seeds.clone());
    let peers = Arc::new(peers.with_memory(gateway.memory.clone()));
    for follower in 0..FOLLOWED_PEERS {
        tokio::spawn(follow::run(gateway.mirror.clone(), peers.clone(), follower));
    }
    let entry = register::Entry { address: addresses.peer_address, zone: host.zone.clone() };
    tokio::spawn(ends::run(gateway.mirror.clone(), store.clone()));
    tokio::spawn(lifts::run(gateway.mirror.clone(), store.clone()));
    let registration = register::run(gateway.mirror.clone(), store, host.name.clone(), entry);
    {
        let mut listening = gateway.lifecycle.listening();
        tokio::spawn(async move {
            // Gateways share limits by their entries, so that each one that serves needs one. Before,
            // the entry may still be that of the previous process of this host. The sender lives as
            // long as the process.
            listening.wait_for(|listening| *listening).await.map(drop).unwrap_or_default();
            registration.await;
        });
    }
    tokio::spawn(gateway.mirror.clone().expire());
    let intake = gateway.peers.clone();
    tokio::spawn(serve_peers(gateway.mirror.clone(), host.zone.clone(), peer_listener, intake));
    tokio::spawn(health::serve(gateway.clone(), ready, quotas.readiness));
    tokio::spawn(health::serve(gateway.clone(), metrics, quotas.metrics));
    tokio::spawn(state::follow(gateway.clone()));
    tokio::spawn(probe::run(gateway.clone()));
    tokio::spawn(probe::check_restarted(gateway.clone()));
    {
        let gateway = gateway.clone();
        tokio::spawn(async move { gateway.pulse.run().await });
    }
    tokio::spawn(resync_after_suspension(gateway.mirror.clone()));
    let dispatcher = gateway.dispatcher.clone();
    tokio::spawn(async move { dispatcher.run().await });
    tokio::spawn(server::run(gateway.clone(), clients));
    log::info!(
        "started host={} zone={} clients={}",
        field::Text(&host.name),
        field::Text(&host.zone),
        addresses.client_address
    );
    let end = drain::wait(&gateway, &peers, file, signals).await;
    if end == End::Stopped {
        log::info!("stopped host={}", field::Text(&host.name));
    }
    end
}

/// Time limit for learning of a change of loftcove's own keys: addresses of peers, members and
/// drivers of groups. All users of these keys continue with the last known values, and an entry of
/// a peer outlasts its owner by the same time.
const OWN_KEYS_BOUND: Duration = Duration::from_secs(20);

/// Returns the key prefixes that a gateway watches in the store.
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
        watch::Subject { prefix: mirror::OWN_PREFIX, bound: OWN_KEYS_BOUND, entries: false },
    ]
}

/// Returns the shorter of the time limits for changes by operators and by backend servers.
fn shortest_bound(serving: &settings::Serving) -> Duration {
    Duration::from_secs_f64(serving.config_bound_ms.min(serving.drain_bound_ms) / 1_000.0)
}

/// Maximum number of connections that wait to be accepted. All clients of a zone may reconnect at
/// once after the other gateways have stopped.
const CLIENT_BACKLOG: u32 = 1_024;
/// Accept backlog for connections from the platform and from loftcove's own processes.
const INTERNAL_BACKLOG: u32 = 128;

/// Makes the mirror ask the store for missed changes after each suspension of the host.
async fn resync_after_suspension(mirror: Arc<mirror::Mirror>) {
    loop {
        let time = boot::wait_for_suspension().await;
        mirror.resumed_from_suspend(time);
    }
}

async fn serve_peers(
    mirror: Arc<mirror::Mirror>,
    zone: Arc<str>,
    listener: listen::Listener,
    intake: grpc::Intake,
) {
    let listener = listener.wait().await;
    let service = wire::mirror_server::MirrorServer::new(serve::Service::new(mirror, zone))
        .send_compressed(CompressionEncoding::Gzip);
    let router = peer::server().add_service(grpc::Service(service));
    if let Err(error) = router.serve_with_incoming(grpc::incoming(listener, intake)).await {
        log::error!("peer service ended error={error}", error = field::Quoted(&error));
    }
}
