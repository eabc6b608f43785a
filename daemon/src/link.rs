//! Connections to loftcove's other processes, and the key they bear.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_wire as wire;
use subtle::ConstantTimeEq as _;
use tonic::codec::CompressionEncoding;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a silent connection is probed, and how long the probe may take.
const KEEP_ALIVE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(3));

/// A channel whose calls bear the deployment's key.
pub type Transport = InterceptedService<Channel, Key>;

/// The deployment's key, as callers send it and servers check it.
#[derive(Clone)]
pub struct Key {
    value: MetadataValue<Ascii>,
}

/// The deployment's key has characters that no header may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the deployment's key must be printable ASCII")]
pub struct KeyError;

impl Key {
    /// Takes the key of the settings.
    ///
    /// # Errors
    ///
    /// [`KeyError`].
    pub fn new(text: &str) -> Result<Key, KeyError> {
        Ok(Key { value: text.parse().map_err(|_| KeyError)? })
    }

    /// The check for servers.
    pub fn verifier(&self) -> Verifier {
        Verifier { key: self.clone() }
    }
}

impl tonic::service::Interceptor for Key {
    fn call(
        &mut self,
        mut request: tonic::Request<()>,
    ) -> Result<tonic::Request<()>, tonic::Status> {
        request.metadata_mut().insert(wire::KEY_ENTRY, self.value.clone());
        Ok(request)
    }
}

/// Refuses calls without the deployment's key.
#[derive(Clone)]
pub struct Verifier {
    key: Key,
}

impl tonic::service::Interceptor for Verifier {
    fn call(&mut self, request: tonic::Request<()>) -> Result<tonic::Request<()>, tonic::Status> {
        let given = request.metadata().get(wire::KEY_ENTRY);
        let given = given.map_or(&b""[..], |value| value.as_encoded_bytes());
        // The comparison's time must not tell how much of the key was right.
        if bool::from(given.ct_eq(self.key.value.as_encoded_bytes())) {
            return Ok(request);
        }
        Err(tonic::Status::unauthenticated("the deployment's key is missing or wrong"))
    }
}

/// One process, with a client for each of its services.
#[derive(Clone)]
pub struct Link {
    /// Every process serves this.
    pub peer: wire::peer_client::PeerClient<Transport>,
    /// Agents serve this.
    pub agent: wire::agent_client::AgentClient<Transport>,
}

/// The links of this process, one for each address.
pub struct Table {
    key: Key,
    source: Option<IpAddr>,
    links: Mutex<BTreeMap<SocketAddr, Arc<Link>>>,
}

impl Table {
    /// An empty table; connections come from `source`, if it is given.
    pub fn new(key: Key, source: Option<IpAddr>) -> Table {
        Table { key, source, links: Mutex::new(BTreeMap::new()) }
    }

    /// The link to an address; it connects when it is used.
    pub fn get(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let fresh = || Arc::new(connect(address, self.source, self.key.clone()));
        links.entry(address).or_insert_with(fresh).clone()
    }

    /// Drops the links to addresses that are not in the host list any more.
    pub fn retain(&self, wanted: impl Fn(SocketAddr) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        links.retain(|address, _| wanted(*address));
    }
}

fn connect(address: SocketAddr, source: Option<IpAddr>, key: Key) -> Link {
    let endpoint = Endpoint::from(http_uri(address))
        .connect_timeout(CONNECT_TIMEOUT)
        .local_address(source)
        .http2_keep_alive_interval(KEEP_ALIVE.0)
        .keep_alive_timeout(KEEP_ALIVE.1)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true);
    let channel = endpoint.connect_lazy();
    let peer = wire::peer_client::PeerClient::with_interceptor(channel.clone(), key.clone())
        .accept_compressed(CompressionEncoding::Gzip)
        .send_compressed(CompressionEncoding::Gzip)
        .max_decoding_message_size(wire::MAX_MESSAGE)
        .max_encoding_message_size(wire::MAX_MESSAGE);
    let agent = wire::agent_client::AgentClient::with_interceptor(channel, key)
        .max_decoding_message_size(wire::MAX_MESSAGE)
        .max_encoding_message_size(wire::MAX_MESSAGE);
    Link { peer, agent }
}

fn http_uri(address: SocketAddr) -> http::Uri {
    let built = http::Uri::builder()
        .scheme(http::uri::Scheme::HTTP)
        .authority(address.to_string())
        .path_and_query("/")
        .build();
    // An address by numbers and a port always is an authority.
    built.expect("an address is a well-formed authority")
}

/// Whether a call surely never left this process: no connection was made.
pub fn never_sent(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
