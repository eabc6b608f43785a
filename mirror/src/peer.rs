//! Connections between loftcove's own processes.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Endpoint, Error, Server};

/// How often a connection is probed, and how long the probe may take. A
/// connection that has fallen silent shows within the two, which is less than
/// the shortest bound for a change, two seconds; the next one tells all anew.
const PROBE: (Duration, Duration) = (Duration::from_millis(800), Duration::from_millis(700));

/// The same on the side that was called, which only lets go of what the caller
/// left: less often, as it costs each connection once more.
const RELEASE: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(2));

/// A server for peers. Connections that fall silent end.
pub fn server() -> Server {
    Server::builder()
        .http2_keepalive_interval(Some(RELEASE.0))
        .http2_keepalive_timeout(Some(RELEASE.1))
}

/// How to connect to a peer. Whoever calls it need not notice by itself that an
/// open connection has fallen silent.
///
/// # Errors
///
/// That of an address that is no part of a URI.
pub fn endpoint(address: SocketAddr, connect_timeout: Duration) -> Result<Endpoint, Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
    Ok(endpoint
        .connect_timeout(connect_timeout)
        .http2_keep_alive_interval(PROBE.0)
        .keep_alive_timeout(PROBE.1)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true))
}
