//! Bounds for gRPC connections between processes.
//!
//! The pieces of a connection belong to [`Service`] on the side that accepts it, and to [`Channel`]
//! on the other one. Both record the heads and bodies that they receive.

use std::net::IpAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures_util::Stream;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use loftcove_line::field;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::futures::OwnedNotified;
use tonic::server::NamedService;
use tonic::transport::server::{Connected, TcpConnectInfo};
use tonic::transport::{self, channel};
use tower::ServiceExt as _;

use crate::{Bound, Meter, Socket, body, connections, count, descriptors, memory, message};

/// Bytes of all messages that may arrive on an accepted connection before they are read, and those of
/// one call, which leave a part to the others.
const SERVER_WINDOW: u32 = 128 * 1024;
const SERVER_STREAM_WINDOW: u32 = 96 * 1024;
/// Maximum number of calls in progress on an accepted connection.
const MAX_STREAMS: u32 = 256;
/// Maximum size of the headers of a call, in bytes.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Bytes that may arrive on a connection of a [`Channel`] before they are read. The process decides
/// how many of these it has.
const CLIENT_WINDOW: u32 = 1024 * 1024;
/// Memory of an accepted connection, in bytes: its window and the rest.
const CONNECTION_BYTES: usize = SERVER_WINDOW as usize + 8 * 1024;
const SERVER_BOUND: Bound =
    Bound::new(SERVER_WINDOW as usize, count::Peer::PROCESS).with_control_frames();
const CLIENT_BOUND: Bound =
    Bound::new(CLIENT_WINDOW as usize, count::Peer::PROCESS).with_control_frames();

/// Body of a call, whose messages take their memory from the account of the process.
pub type Body = message::Body<body::Body<tonic::body::Body>>;

/// Part of an account of descriptors that is reserved for connections from other processes, as a
/// divisor, and its maximum.
const RESERVED_PART: usize = 8;
const MAX_RESERVED: usize = 128;

/// Part of the memory of a process that is for accepted connections, as a divisor.
const MEMORY_PART: usize = 16;
/// Minimum number of connections that are accepted, whatever the memory.
const MIN_CONNECTIONS: usize = 16;

/// Returns the number of connections from other processes that a process with `memory` bytes accepts.
fn max_connections(memory: usize) -> usize {
    (memory / MEMORY_PART / CONNECTION_BYTES).max(MIN_CONNECTIONS)
}

/// Returns the bytes that the connections from other processes hold, of the `memory` of a process.
/// They are not in its account, so that what clients send does not keep other processes out.
pub fn connection_memory(memory: usize) -> usize {
    max_connections(memory) * CONNECTION_BYTES
}

/// Adds a quota for connections from other processes to the account of a process with `memory` bytes.
/// They may use half of the account.
pub fn quota(account: &descriptors::Account, memory: usize) -> descriptors::Quota {
    let max = max_connections(memory).min(account.capacity() / 2);
    let reserved = (account.capacity() / RESERVED_PART).min(MAX_RESERVED).min(max);
    account.quota(descriptors::Share { reserved, max })
}

/// Returns a builder of servers for [`incoming`] connections.
pub fn server() -> transport::Server {
    transport::Server::builder()
        .initial_connection_window_size(SERVER_WINDOW)
        .initial_stream_window_size(SERVER_STREAM_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .http2_max_header_list_size(MAX_HEADER_BYTES)
}

/// Pause after an error of the listener. Mostly the process is out of file descriptors, and other
/// connections must end first.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval between two log lines about errors of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What the connections and messages of other processes take from this one.
#[derive(Debug, Clone)]
pub struct Intake {
    /// Bound of the connections.
    pub connections: connections::Connections,
    /// Account of the memory that peers make the process hold.
    pub memory: memory::Account,
    /// Connections that were refused because all others had work.
    pub refused: Counter,
}

impl Intake {
    /// Creates an intake of its own, whatever else the process has open.
    pub fn new(max_connections: usize, memory: memory::Account) -> Intake {
        Intake::of(connections::Connections::new(max_connections), memory)
    }

    /// Creates the intake of a process.
    pub fn of(connections: connections::Connections, memory: memory::Account) -> Intake {
        Intake { connections, memory, refused: Counter::default() }
    }

    /// Registers the metrics of the account and of the connections.
    pub fn register(&self, registry: &mut Registry) {
        self.memory.register(registry);
        let refused = "Connections of peers that were refused because all others had work";
        registry.register("peer_connections_refused", refused, self.refused.clone());
        self.connections.register(registry, "peer_connections_closed_for_others");
    }
}

/// Time that a connection waits for others without work to be closed for it.
const ROOM_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns whether another connection may be open. Closes one without work for it if necessary, which
/// takes a moment.
async fn make_room(connections: &connections::Connections) -> bool {
    let room = async {
        while !connections.make_room() {
            if connections.all_work() {
                return false;
            }
            connections.wait().await;
        }
        true
    };
    tokio::time::timeout(ROOM_TIMEOUT, room).await.unwrap_or(false)
}

/// Accepts connections, also after errors of the listener, some of which would end the library's
/// service for good.
pub fn incoming(
    listener: TcpListener,
    intake: Intake,
) -> impl Stream<Item = std::io::Result<Connection>> {
    let state = (listener, intake, None);
    futures_util::stream::unfold(state, |(listener, intake, mut logged)| async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    if !make_room(&intake.connections).await {
                        intake.refused.inc();
                        if logged.is_none_or(|at: Instant| at.elapsed() >= LOG_INTERVAL) {
                            let (open, refused) = (intake.connections.open(), intake.refused.get());
                            log::warn!(
                                "connection refused listener=peers peer={peer} open={open} \
                                 refused={refused}"
                            );
                            logged = Some(Instant::now());
                        }
                        continue;
                    }
                    // Fails if the connection has ended, which its reader finds out.
                    stream.set_nodelay(true).unwrap_or_default();
                    let open = intake.connections.open_connection();
                    let closing = Box::pin(open.state().closing_owned());
                    let account = intake.memory.clone();
                    let connection =
                        Connection { socket: SERVER_BOUND.socket(stream), open, closing, account };
                    return Some((Ok(connection), (listener, intake, logged)));
                }
                Err(error) => {
                    if logged.is_none_or(|at: Instant| at.elapsed() >= LOG_INTERVAL) {
                        log::error!(
                            "accept failed listener=peers error={error} next=retry",
                            error = field::Quoted(&error)
                        );
                        logged = Some(Instant::now());
                    }
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    })
}

/// A connection that was accepted.
#[derive(Debug)]
pub struct Connection {
    socket: Socket<TcpStream>,
    open: connections::Connection,
    /// Completes when the connection is to be closed for others.
    closing: Pin<Box<OwnedNotified>>,
    account: memory::Account,
}

/// Where a request comes from.
#[derive(Debug, Clone)]
pub struct Origin {
    addresses: TcpConnectInfo,
    meter: Meter,
    state: Arc<connections::State>,
    account: memory::Account,
}

impl Connected for Connection {
    type ConnectInfo = Origin;

    fn connect_info(&self) -> Origin {
        let addresses = self.socket.get_ref().connect_info();
        let state = self.open.state().clone();
        let (meter, account) = (self.socket.meter().clone(), self.account.clone());
        Origin { addresses, meter, state, account }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = Pin::new(&mut self.socket).poll_read(context, buffer);
        // What has arrived is read first.
        if read.is_pending() && self.closing.as_mut().poll(context).is_ready() {
            let kind = std::io::ErrorKind::ConnectionAborted;
            return Poll::Ready(Err(std::io::Error::new(kind, "closed for other connections")));
        }
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

/// A service whose requests arrive on [`incoming`] connections.
#[derive(Debug, Clone)]
pub struct Service<S>(pub S);

impl<S: NamedService> NamedService for Service<S> {
    const NAME: &'static str = S::NAME;
}

impl<S, B> tower::Service<http::Request<tonic::body::Body>> for Service<S>
where
    S: tower::Service<http::Request<Body>, Response = http::Response<B>>,
{
    type Response = http::Response<message::Reply<B>>;
    type Error = S::Error;
    type Future = Served<S::Future>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, mut request: http::Request<tonic::body::Body>) -> Served<S::Future> {
        let origin = request.extensions_mut().remove::<Origin>();
        let (meter, held) = match origin {
            Some(origin) => {
                request.extensions_mut().insert(origin.addresses);
                let running = origin.state.begin();
                (origin.meter, message::Held::new(&origin.account, Some(running)))
            }
            // Not reached: all requests arrive on connections of `incoming`.
            None => (Meter::default(), message::Held::new(&memory::Account::default(), None)),
        };
        meter.record_use();
        let keep = held.clone();
        let request =
            request.map(|body| message::Body::request(body::Body::new(body, meter), keep));
        Served { inner: Box::pin(self.0.call(request)), held }
    }
}

/// A call that is being served.
#[derive(Debug)]
pub struct Served<F> {
    inner: Pin<Box<F>>,
    held: Arc<message::Held>,
}

impl<F, B, E> Future for Served<F>
where
    F: Future<Output = Result<http::Response<B>, E>>,
{
    type Output = Result<http::Response<message::Reply<B>>, E>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let response = ready!(self.inner.as_mut().poll(context))?;
        let held = self.held.clone();
        Poll::Ready(Ok(response.map(|body| message::Reply::new(body, held))))
    }
}

/// Where a [`Channel`] connects to.
#[derive(Debug, Clone)]
pub struct Endpoint {
    inner: transport::Endpoint,
    connector: HttpConnector,
    account: memory::Account,
}

impl Endpoint {
    /// Creates an endpoint. Connections use the local address `source`, if there is one. Messages take
    /// their memory from `account`.
    pub fn new(
        inner: transport::Endpoint,
        source: Option<IpAddr>,
        account: memory::Account,
    ) -> Endpoint {
        let inner = inner
            .initial_connection_window_size(CLIENT_WINDOW)
            .initial_stream_window_size(CLIENT_WINDOW);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(source);
        Endpoint { inner, connector, account }
    }

    /// Connects.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established.
    pub async fn connect(self) -> Result<Channel, transport::Error> {
        let (current, connector) = (Current::default(), self.connector);
        let accepted = current.clone();
        let connector = connector.map_response(move |stream| accepted.bound(stream));
        let inner = self.inner.connect_with_connector(connector).await?;
        Ok(Channel { inner, current, account: self.account })
    }

    /// Returns a channel that connects on the first call.
    pub fn connect_lazy(self) -> Channel {
        let (current, connector) = (Current::default(), self.connector);
        let accepted = current.clone();
        let connector = connector.map_response(move |stream| accepted.bound(stream));
        let inner = self.inner.connect_with_connector_lazy(connector);
        Channel { inner, current, account: self.account }
    }
}

/// Meter of the last connection of a channel.
#[derive(Debug, Clone, Default)]
struct Current(Arc<Mutex<Meter>>);

impl Current {
    fn get(&self) -> Meter {
        // Each update is a plain assignment, so a panic elsewhere leaves no inconsistent state.
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies the bound to the next connection.
    fn bound(&self, stream: TokioIo<TcpStream>) -> TokioIo<Socket<TcpStream>> {
        let socket = CLIENT_BOUND.socket(stream.into_inner());
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = socket.meter().clone();
        TokioIo::new(socket)
    }
}

/// A channel for calls to another process.
#[derive(Debug, Clone)]
pub struct Channel {
    inner: channel::Channel,
    current: Current,
    account: memory::Account,
}

impl tower::Service<http::Request<tonic::body::Body>> for Channel {
    type Response = http::Response<Body>;
    type Error = transport::Error;
    type Future = Response;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), transport::Error>> {
        tower::Service::poll_ready(&mut self.inner, context)
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Response {
        let inner = Box::pin(tower::Service::call(&mut self.inner, request));
        Response { inner, current: self.current.clone(), account: self.account.clone() }
    }
}

/// A response that has not arrived yet.
pub struct Response {
    inner: Pin<Box<channel::ResponseFuture>>,
    current: Current,
    account: memory::Account,
}

impl Future for Response {
    type Output = Result<http::Response<Body>, transport::Error>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let response = ready!(self.inner.as_mut().poll(context))?;
        let meter = self.current.get();
        meter.record_use();
        let held = message::Held::new(&self.account, None);
        let body = |body| message::Body::response(body::Body::new(body, meter), held);
        Poll::Ready(Ok(response.map(body)))
    }
}
