//! Hosts that serve their copy of the store on loopback.

use std::net::SocketAddr;
use std::sync::Arc;

use loftcove_intake::{grpc, memory};
use loftcove_mirror::{Mirror, peer, serve};
use loftcove_wire as wire;

/// Starts a host in a zone; returns its copy and where it serves it.
pub async fn host(zone: &str) -> (Arc<Mirror>, SocketAddr) {
    let mirror: Arc<Mirror> = Arc::default();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = serve::Service::new(mirror.clone(), zone.into());
    let server = grpc::Service(wire::mirror_server::MirrorServer::new(service));
    let incoming =
        grpc::incoming(listener, grpc::Intake::new(1_024, memory::Account::new(256 << 20)));
    tokio::spawn(peer::server().add_service(server).serve_with_incoming(incoming));
    (mirror, address)
}
