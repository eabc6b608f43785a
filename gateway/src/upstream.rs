//! Connections to backend servers.
//!
//! A connection carries one request at a time. It is kept only after a complete response; the HTTP
//! library closes an idle connection on which anything else arrives. A request that must not run
//! twice is sent over a new connection: on a kept one, a late response to an earlier request could
//! be taken for its response, or the backend server might be closing the connection.
//!
//! A connection whose response is not complete when its user drops it is reset ([`socket`]), so
//! that the backend server does not go on for a client that has left.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};
use hyper_util::rt::TokioIo;
use loftcove_clock as boot;
use loftcove_decision::fleet;
use loftcove_intake::{self as intake, descriptors};
use loftcove_line::field;
use loftcove_response::framing::Framing;
use tokio::net::TcpStream;

use crate::socket;
use crate::state::Target;

/// Connect timeout. A backend server in the same region accepts within milliseconds, in another
/// region within a tenth of a second. A lost packet would be sent again after about a second, and
/// another backend server answers sooner than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between two attempts to take a descriptor for a connection.
const DESCRIPTOR_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time that sent bytes may stay unacknowledged. A request has half of its remaining time
/// instead, if that is shorter, so that as much is left for another backend server.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time that the bytes of a request may stay unacknowledged. A lost packet is sent again
/// after 200 ms, and another region acknowledges it within a tenth of a second.
const MIN_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time of a connection before a TCP keepalive probe, and the interval between two probes. The
/// operating system counts both in whole seconds. An unacknowledged probe ends the connection in
/// the same way as unacknowledged bytes ([`UNACKNOWLEDGED_TIMEOUT`]).
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a response on a kept connection after which the other connections kept to the same
/// backend server are closed. What silenced one has most likely silenced all of them, and each
/// would cost a request. A backend server that serves at all sends a response head within this
/// time.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Time that an idle connection is kept if the backend server reports no keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Subtracted from the keep-alive time that a backend server reports, so that it does not close a
/// connection while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum size of a response's head, which is also that of the parser's buffer.
const MAX_HEAD: usize = 64 * 1024;

const BOUND: intake::Bound = intake::Bound::new(MAX_HEAD, intake::count::Peer::SERVER);

type Sender = http1::SendRequest<Full<Bytes>>;
/// Body of a response, which is still arriving.
pub type Body = intake::body::Body<Incoming>;

/// Why an attempt has no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part, and no response was received.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The request was sent, at least in part, and the host did not acknowledge all of it in time.
    /// The backend server may have read it nevertheless.
    #[error("not acknowledged: {0}")]
    Unacknowledged(String),
    /// Nothing was sent, because the backend server should get no more requests for now.
    #[error("the server asked for rest, names a rate limit, leaves or is drained")]
    Withheld,
}

/// A response whose head has been received.
pub struct Reply {
    /// Head of the response, and its body.
    pub response: http::Response<Body>,
    /// Connection that the response arrives on.
    pub connection: Connection,
}

/// A connection in use. Dropping it closes the connection, with a reset unless the response was
/// [completed](Connection::complete).
pub struct Connection {
    link: Link,
    run: fleet::Run,
}

impl Connection {
    /// Records that the response is complete, or that the rest of it is of no use and the backend
    /// server runs nothing for it.
    pub fn complete(&self) {
        self.link.handle.set_outstanding(false);
    }
}

/// A connection and the task that drives it, which ends when the connection is dropped.
struct Link {
    sender: Sender,
    handle: socket::Handle,
    meter: intake::Meter,
    task: tokio::task::AbortHandle,
    /// Counts the connection as open. It is taken from a connection that is closed for another one.
    descriptor: Option<descriptors::Descriptor>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Sends a request that has `left` until its deadline.
    async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
        left: Duration,
    ) -> Result<http::Response<Body>, TrySendError<http::Request<Full<Bytes>>>> {
        let limit = (left / 2).clamp(MIN_UNACKNOWLEDGED_TIMEOUT, UNACKNOWLEDGED_TIMEOUT);
        self.handle.set_unacknowledged_timeout(limit);
        self.handle.set_outstanding(true);
        let answer = self.sender.try_send_request(request).await;
        // All of the request has arrived, and the limit for probes applies to the rest.
        self.handle.set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT);
        let answer = answer?;
        self.meter.record_use();
        Ok(answer.map(|body| intake::body::Body::new(body, self.meter.clone())))
    }
}

/// Pool of idle connections, by run of the backend server.
pub struct Pool {
    idle: Mutex<HashMap<fleet::Run, Vec<Idle>>>,
    /// Quota of all connections, also those in use.
    quota: descriptors::Quota,
}

struct Idle {
    link: Link,
    until: boot::Instant,
}

impl Pool {
    /// Creates an empty pool whose connections use a quota.
    pub fn new(quota: descriptors::Quota) -> Pool {
        Pool { idle: Mutex::default(), quota }
    }

    /// Takes a descriptor for a connection, or that of an idle connection, which is closed.
    fn take_descriptor(&self) -> Option<descriptors::Descriptor> {
        self.quota.try_take().or_else(|| {
            let mut idle = self.lock();
            let runs = idle.values_mut().filter(|kept| !kept.is_empty());
            let oldest = runs.min_by_key(|kept| kept[0].until)?.remove(0);
            // The connection is closed while the lock is not held.
            drop(idle);
            let mut link = oldest.link;
            link.descriptor.take()
        })
    }

    /// Opens a connection to a backend server.
    async fn connect(&self, target: &Target) -> Result<Link, Error> {
        let taken = async {
            loop {
                match self.take_descriptor() {
                    Some(descriptor) => return descriptor,
                    None => tokio::time::sleep(DESCRIPTOR_INTERVAL).await,
                }
            }
        };
        let descriptor = tokio::time::timeout(CONNECT_TIMEOUT, taken).await;
        let full = |_| Error::NotSent("all descriptors are in use".to_owned());
        let descriptor = descriptor.map_err(full)?;
        connect(target.address, BOUND.meter(&*target.run.id), descriptor).await
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<fleet::Run, Vec<Idle>>> {
        // If a lock holder panicked, the pool lacks at most one connection.
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sends a request that has `left` until its deadline, and waits for the head of the response.
    /// With `fresh`, it uses a new connection. `wanted` is called right before the request is sent,
    /// because connecting may take [`CONNECT_TIMEOUT`], and longer in a busy process.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that tells whether the request may have reached the server.
    pub async fn send(
        &self,
        target: &Target,
        mut request: http::Request<Full<Bytes>>,
        fresh: bool,
        left: Duration,
        wanted: impl Fn() -> bool,
    ) -> Result<Reply, Error> {
        while let Some(mut link) = self.take_idle(&target.run).filter(|_| !fresh) {
            if !wanted() {
                return Err(Error::Withheld);
            }
            let mut guard = Guard::new(self, &target.run);
            let answer = link.send(request, left).await;
            guard.answered = answer.is_ok();
            drop(guard);
            match answer {
                Ok(response) => return Ok(reply(response, link, target)),
                Err(mut error) => match error.take_message() {
                    // The connection had already ended.
                    Some(unsent) => request = unsent,
                    None => return Err(broken(&error.into_error())),
                },
            }
        }
        let mut link = self.connect(target).await?;
        if !wanted() {
            return Err(Error::Withheld);
        }
        match link.send(request, left).await {
            Ok(response) => Ok(reply(response, link, target)),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => Error::NotSent(error.into_error().to_string()),
                None => broken(&error.into_error()),
            }),
        }
    }

    fn take_idle(&self, run: &fleet::Run) -> Option<Link> {
        let mut idle = self.lock();
        let kept = idle.get_mut(run)?;
        while let Some(idle) = kept.pop() {
            if idle.link.sender.is_ready() && boot::Instant::now() < idle.until {
                return Some(idle.link);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response, for as long as the backend
    /// server keeps it open.
    pub fn put(&self, target: &Target, connection: Connection, keep_alive: Option<Duration>) {
        let time = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |time| time.saturating_sub(IDLE_MARGIN));
        connection.complete();
        if connection.link.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let kept = idle.entry(connection.run.clone()).or_default();
        let now = boot::Instant::now();
        kept.retain(|idle| now < idle.until && !idle.link.sender.is_closed());
        if kept.len() < target.max_connections {
            kept.push(Idle { link: connection.link, until: now + time });
        }
    }

    /// Sends a health check to a backend server and returns the head of the response. It uses a new
    /// connection, which reaches the run that has the address now.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no response is received, or one with an invalid head.
    pub async fn check_health(
        &self,
        target: &Target,
        path: &str,
    ) -> Result<http::response::Parts, Error> {
        let to_error = |error: &dyn std::error::Error| Error::NoAnswer(error.to_string());
        let request =
            http::Request::get(path).header(http::header::HOST, target.address.to_string());
        let request = request.body(Full::default()).map_err(|error| to_error(&error))?;
        let mut link = self.connect(target).await?;
        link.handle.set_outstanding(true);
        let answer = tokio::time::timeout(HEALTH_TIMEOUT, link.sender.send_request(request)).await;
        let answer = answer.map_err(|error| to_error(&error))?.map_err(|error| to_error(&error))?;
        let head = answer.into_parts().0;
        Framing::of(&http::Method::GET, &head).map_err(|error| to_error(&error))?;
        link.handle.set_outstanding(false);
        Ok(head)
    }

    /// Closes the idle connections of all runs except those that `wanted` accepts.
    pub fn retain(&self, wanted: impl Fn(&fleet::Run) -> bool) {
        self.lock().retain(|run, _| wanted(run));
    }
}

/// Guard of a call on a kept connection, which may no longer deliver anything. If the guard is
/// dropped after a long wait without a response, also by cancellation, it closes the other idle
/// connections to the backend server.
struct Guard<'a> {
    pool: &'a Pool,
    run: &'a fleet::Run,
    since: boot::Instant,
    answered: bool,
}

impl<'a> Guard<'a> {
    fn new(pool: &'a Pool, run: &'a fleet::Run) -> Guard<'a> {
        Guard { pool, run, since: boot::Instant::now(), answered: false }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let silent = self.since.elapsed();
        if self.answered || silent < SILENCE_LIMIT {
            return;
        }
        if let Some(kept) = self.pool.lock().remove(self.run).filter(|kept| !kept.is_empty()) {
            let (count, ms) = (kept.len(), silent.as_millis());
            log::info!(
                "idle connections closed server={} count={count} silent_ms={ms}",
                field::Text(&self.run.id)
            );
        }
    }
}

fn reply(response: http::Response<Body>, link: Link, target: &Target) -> Reply {
    Reply { response, connection: Connection { link, run: target.run.clone() } }
}

/// Returns the error of a connection that ended before the head of the response.
fn broken(error: &hyper::Error) -> Error {
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(cause) = source {
        let io = cause.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::TimedOut) {
            return Error::Unacknowledged(error.to_string());
        }
        source = cause.source();
    }
    match intake::excess(error) {
        Some(excess) => Error::NoAnswer(excess.to_string()),
        None => Error::NoAnswer(error.to_string()),
    }
}

/// Maximum time to wait for the response to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether the backend server at an address accepts a connection. Nothing is sent on it.
pub async fn can_connect(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Returns whether the host of the backend server at an address refuses connections, because no
/// process listens there.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let refused = |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
    connected.is_ok_and(|connected| connected.as_ref().is_err_and(refused))
}

async fn connect(
    address: SocketAddr,
    meter: intake::Meter,
    descriptor: descriptors::Descriptor,
) -> Result<Link, Error> {
    let to_error = |error: &dyn std::error::Error| Error::NotSent(error.to_string());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|error| to_error(&error))?.map_err(|error| to_error(&error))?;
    stream.set_nodelay(true).map_err(|error| to_error(&error))?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)).map_err(|error| to_error(&error))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes).map_err(|error| to_error(&error))?;
    let (socket, handle) = socket::new(stream);
    let socket = intake::Socket::new(socket, meter.clone());
    let mut builder = http1::Builder::new();
    let handshake = builder.max_buf_size(MAX_HEAD).handshake(TokioIo::new(socket)).await;
    let (sender, connection) = handshake.map_err(|error| to_error(&error))?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(
                "connection to backend server ended error={error}",
                error = field::Quoted(&error)
            );
        }
    });
    Ok(Link { sender, handle, meter, task: task.abort_handle(), descriptor: Some(descriptor) })
}
