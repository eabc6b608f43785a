//! gRPC connections to other processes of the deployment, authenticated by its key.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_intake::{grpc, memory};
use loftcove_wire as wire;
use subtle::ConstantTimeEq as _;
use tonic::codec::CompressionEncoding;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::interceptor::InterceptedService;
use tonic::transport;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two keep-alive probes of a silent connection, and time limit of a probe.
const KEEP_ALIVE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(3));

/// A channel that adds the deployment's key to each call.
pub type Transport = InterceptedService<grpc::Channel, Key>;

/// The deployment's key, which clients send and servers verify.
#[derive(Clone)]
pub struct Key {
    value: MetadataValue<Ascii>,
}

/// The deployment's key contains characters that are not allowed in a header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the deployment's key must consist of printable ASCII characters")]
pub struct KeyError;

impl Key {
    /// Converts the key of the settings.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if the key contains other characters than printable ASCII.
    pub fn new(text: &str) -> Result<Key, KeyError> {
        Ok(Key { value: text.parse().map_err(|_| KeyError)? })
    }

    /// Returns the interceptor with which a server verifies the key.
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

/// Rejects calls without the deployment's key.
#[derive(Clone)]
pub struct Verifier {
    key: Key,
}

impl tonic::service::Interceptor for Verifier {
    fn call(&mut self, request: tonic::Request<()>) -> Result<tonic::Request<()>, tonic::Status> {
        let given = request.metadata().get(wire::KEY_ENTRY);
        let given = given.map_or(&b""[..], |value| value.as_encoded_bytes());
        // A comparison in constant time does not reveal how much of the key was correct.
        if bool::from(given.ct_eq(self.key.value.as_encoded_bytes())) {
            return Ok(request);
        }
        Err(tonic::Status::unauthenticated("the deployment's key is missing or wrong"))
    }
}

/// Clients of the services of another process.
#[derive(Clone)]
pub struct Link {
    /// Client of the service of every process.
    pub peer: wire::peer_client::PeerClient<Transport>,
    /// Client of the service of agents.
    pub agent: wire::agent_client::AgentClient<Transport>,
}

/// The links of this process, by address.
pub struct Table {
    key: Key,
    source: Option<IpAddr>,
    memory: memory::Account,
    links: Mutex<BTreeMap<SocketAddr, Arc<Link>>>,
}

impl Table {
    /// Creates an empty table. Connections use the local address `source`, if there is one, and
    /// messages take their memory from `memory`.
    pub fn new(key: Key, source: Option<IpAddr>, memory: memory::Account) -> Table {
        Table { key, source, memory, links: Mutex::new(BTreeMap::new()) }
    }

    /// Returns the link to an address. It connects on the first call.
    pub fn get(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let fresh =
            || Arc::new(connect(address, self.source, self.key.clone(), self.memory.clone()));
        links.entry(address).or_insert_with(fresh).clone()
    }

    /// Drops the links to the addresses for which `wanted` returns false, such as those that are no
    /// longer in the host list.
    pub fn retain(&self, wanted: impl Fn(SocketAddr) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        links.retain(|address, _| wanted(*address));
    }
}

fn connect(address: SocketAddr, source: Option<IpAddr>, key: Key, memory: memory::Account) -> Link {
    let endpoint = transport::Endpoint::from(http_uri(address))
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE.0)
        .keep_alive_timeout(KEEP_ALIVE.1)
        .keep_alive_while_idle(true);
    let channel = grpc::Endpoint::new(endpoint, source, memory).connect_lazy();
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
    // A numeric address with a port is always a valid authority.
    built.expect("an address is a well-formed authority")
}

/// Returns whether a call was certainly not sent, because no connection was established.
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
