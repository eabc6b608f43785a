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
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tonic::server::NamedService;
use tonic::transport::server::{Connected, TcpConnectInfo};
use tonic::transport::{self, channel};
use tower::ServiceExt as _;

use crate::{Bound, Meter, Socket, body, count};

/// Bytes of a body that may arrive on a connection before they are read.
const WINDOW: u32 = 1024 * 1024;
const BOUND: Bound = Bound::new(WINDOW as usize, count::Peer::PROCESS).with_control_frames();

type Body = body::Body<tonic::body::Body>;

/// Returns a builder of servers for [`incoming`] connections.
pub fn server() -> transport::Server {
    transport::Server::builder()
        .initial_connection_window_size(WINDOW)
        .initial_stream_window_size(WINDOW)
}

/// Pause after an error of the listener. Mostly the process is out of file descriptors, and other
/// connections must end first.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval between two log lines about errors of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Accepts connections, also after errors of the listener, some of which would end the library's
/// service for good.
pub fn incoming(listener: TcpListener) -> impl Stream<Item = std::io::Result<Connection>> {
    futures_util::stream::unfold((listener, None), |(listener, mut logged)| async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Fails if the connection has ended, which its reader finds out.
                    stream.set_nodelay(true).unwrap_or_default();
                    let connection = Connection(BOUND.socket(stream));
                    return Some((Ok(connection), (listener, logged)));
                }
                Err(error) => {
                    if logged.is_none_or(|at: Instant| at.elapsed() >= LOG_INTERVAL) {
                        log::error!("accept failed listener=peers error=\"{error}\" next=retry");
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
pub struct Connection(Socket<TcpStream>);

/// Where a request comes from.
#[derive(Debug, Clone)]
pub struct Origin {
    addresses: TcpConnectInfo,
    meter: Meter,
}

impl Connected for Connection {
    type ConnectInfo = Origin;

    fn connect_info(&self) -> Origin {
        let addresses = self.0.get_ref().connect_info();
        Origin { addresses, meter: self.0.meter().clone() }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

/// A service whose requests arrive on [`incoming`] connections.
#[derive(Debug, Clone)]
pub struct Service<S>(pub S);

impl<S: NamedService> NamedService for Service<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> tower::Service<http::Request<tonic::body::Body>> for Service<S>
where
    S: tower::Service<http::Request<Body>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, mut request: http::Request<tonic::body::Body>) -> S::Future {
        let origin = request.extensions_mut().remove::<Origin>();
        let meter = origin.map_or_else(Meter::default, |origin| {
            request.extensions_mut().insert(origin.addresses);
            origin.meter
        });
        meter.record_use();
        self.0.call(request.map(|body| body::Body::new(body, meter)))
    }
}

/// Where a [`Channel`] connects to.
#[derive(Debug, Clone)]
pub struct Endpoint {
    inner: transport::Endpoint,
    connector: HttpConnector,
}

impl Endpoint {
    /// Creates an endpoint. Connections use the local address `source`, if there is one.
    pub fn new(inner: transport::Endpoint, source: Option<IpAddr>) -> Endpoint {
        let inner = inner.initial_connection_window_size(WINDOW).initial_stream_window_size(WINDOW);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(source);
        Endpoint { inner, connector }
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
        Ok(Channel { inner, current })
    }

    /// Returns a channel that connects on the first call.
    pub fn connect_lazy(self) -> Channel {
        let (current, connector) = (Current::default(), self.connector);
        let accepted = current.clone();
        let connector = connector.map_response(move |stream| accepted.bound(stream));
        Channel { inner: self.inner.connect_with_connector_lazy(connector), current }
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
        let socket = BOUND.socket(stream.into_inner());
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = socket.meter().clone();
        TokioIo::new(socket)
    }
}

/// A channel for calls to another process.
#[derive(Debug, Clone)]
pub struct Channel {
    inner: channel::Channel,
    current: Current,
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
        Response { inner, current: self.current.clone() }
    }
}

/// A response that has not arrived yet.
pub struct Response {
    inner: Pin<Box<channel::ResponseFuture>>,
    current: Current,
}

impl Future for Response {
    type Output = Result<http::Response<Body>, transport::Error>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let response = ready!(self.inner.as_mut().poll(context))?;
        let meter = self.current.get();
        meter.record_use();
        Poll::Ready(Ok(response.map(|body| body::Body::new(body, meter))))
    }
}
