//! HTTP/2 connections between loftcove processes.

use std::net::SocketAddr;
use std::time::Duration;

use loftcove_intake::{grpc, memory};
use tonic::transport::{self, Error, Server};

/// Keepalive interval and timeout on the client side. Their sum bounds the time until a connection
/// that silently drops packets is detected. It is less than the shortest bound for a change, two
/// seconds; the next connection transfers everything again.
const CLIENT_KEEPALIVE: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_millis(700));

/// Keepalive interval and timeout on the server side. There they only serve to close connections
/// that the client abandoned, so the probes are less frequent: they add to the client's on each
/// connection.
const SERVER_KEEPALIVE: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(2));

/// Returns a server for the [`grpc::incoming`] connections of peers that closes connections on which keepalive probes fail.
pub fn server() -> Server {
    grpc::server()
        .http2_keepalive_interval(Some(SERVER_KEEPALIVE.0))
        .http2_keepalive_timeout(Some(SERVER_KEEPALIVE.1))
}

/// Returns an endpoint that connects to a peer, whose messages use `account`. Keepalive probes detect
/// an open connection that silently drops packets, so the caller need not.
///
/// # Errors
///
/// Returns an error if the address cannot be part of a URI.
pub fn endpoint(
    address: SocketAddr,
    connect_timeout: Duration,
    account: memory::Account,
) -> Result<grpc::Endpoint, Error> {
    let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(connect_timeout)
        .http2_keep_alive_interval(CLIENT_KEEPALIVE.0)
        .keep_alive_timeout(CLIENT_KEEPALIVE.1)
        .keep_alive_while_idle(true);
    Ok(grpc::Endpoint::new(endpoint, None, account))
}
