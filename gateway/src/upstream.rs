//! Connections to backend servers.
//!
//! One request at a time goes over a connection. A connection is kept only
//! after a whole answer; one on which anything else arrives is closed by the
//! HTTP library. Where a request must not run twice, it goes over a connection
//! of its own: on a kept one, a late answer could take its place, or the
//! backend server might just be closing it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use loftcove_clock as boot;
use loftcove_decision::fleet;
use tokio::net::TcpStream;

use crate::state::Target;

/// Longest wait for a connection. A backend server within a region accepts
/// within milliseconds, across regions within a tenth of a second; a packet
/// that is lost would be sent again after about a second, which is later than
/// another backend server answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// How long nothing may come over a connection before it is probed, and the time
/// between two probes; the system counts both in whole seconds. A probe that is
/// not acknowledged ends the connection as sent bytes do ([`UNACKNOWLEDGED_TIMEOUT`]).
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a kept connection may be silent before the others that are
/// kept to the same backend server are not used again: what silenced one has
/// most likely silenced them all, and each would cost a request. Heads come
/// within this time where the backend server serves at all.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept where the backend server says nothing.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// What is taken off the time that a backend server keeps idle connections, so
/// that it does not close one while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why an attempt got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part, and no answer came.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Nothing was sent: the backend server wants nothing any more.
    #[error("the server asked for rest, names a rate limit, leaves or is drained")]
    Withheld,
}

/// An answer whose head has come.
pub struct Reply {
    /// Its head, and the body that is still to come.
    pub response: http::Response<Incoming>,
    /// The connection that it comes over.
    pub connection: Connection,
}

/// A connection that is in use; dropping it closes it.
pub struct Connection {
    sender: Sender,
    run: fleet::Run,
}

/// Kept connections, by the backend server's run.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<fleet::Run, Vec<Idle>>>,
}

struct Idle {
    sender: Sender,
    until: boot::Instant,
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, HashMap<fleet::Run, Vec<Idle>>> {
        // A holder that panicked leaves at worst one connection less.
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sends a request and waits for the head of the answer. With `fresh`, it
    /// goes over a new connection. Whether it is still `wanted` is asked right
    /// before it is sent: a connection may take [`CONNECT_TIMEOUT`] to come about,
    /// and a busy process longer than that.
    ///
    /// # Errors
    ///
    /// An [`Error`] that tells whether the request may have arrived.
    pub async fn send(
        &self,
        target: &Target,
        mut request: http::Request<Full<Bytes>>,
        fresh: bool,
        wanted: impl Fn() -> bool,
    ) -> Result<Reply, Error> {
        while let Some(mut sender) = self.take_idle(&target.run).filter(|_| !fresh) {
            if !wanted() {
                return Err(Error::Withheld);
            }
            let mut guard = Guard::new(self, &target.run);
            let answer = sender.try_send_request(request).await;
            guard.answered = answer.is_ok();
            drop(guard);
            match answer {
                Ok(response) => return Ok(reply(response, sender, target)),
                Err(mut error) => match error.take_message() {
                    // The connection had ended before.
                    Some(unsent) => request = unsent,
                    None => return Err(Error::NoAnswer(error.into_error().to_string())),
                },
            }
        }
        let mut sender = connect(target.address).await?;
        if !wanted() {
            return Err(Error::Withheld);
        }
        match sender.try_send_request(request).await {
            Ok(response) => Ok(reply(response, sender, target)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if unsent { Error::NotSent(reason) } else { Error::NoAnswer(reason) })
            }
        }
    }

    fn take_idle(&self, run: &fleet::Run) -> Option<Sender> {
        let mut idle = self.lock();
        let kept = idle.get_mut(run)?;
        while let Some(idle) = kept.pop() {
            if idle.sender.is_ready() && boot::Instant::now() < idle.until {
                return Some(idle.sender);
            }
        }
        None
    }

    /// Keeps a connection whose answer was whole, for as long as the backend
    /// server keeps it.
    pub fn put(&self, target: &Target, connection: Connection, keep_alive: Option<Duration>) {
        let time = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |time| time.saturating_sub(IDLE_MARGIN));
        let mut idle = self.lock();
        let kept = idle.entry(connection.run.clone()).or_default();
        let now = boot::Instant::now();
        kept.retain(|idle| now < idle.until && !idle.sender.is_closed());
        if kept.len() < target.max_connections {
            kept.push(Idle { sender: connection.sender, until: now + time });
        }
    }

    /// Closes the kept connections to backend servers that are not wanted.
    pub fn retain(&self, wanted: impl Fn(&fleet::Run) -> bool) {
        self.lock().retain(|run, _| wanted(run));
    }
}

/// A call on a kept connection, which may have fallen silent. Dropping it after
/// a long wait without an answer, also where the wait is given up, closes the
/// other connections that are kept to the backend server.
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
                "kept connections closed server={} count={count} silent_ms={ms}",
                self.run.id
            );
        }
    }
}

fn reply(response: http::Response<Incoming>, sender: Sender, target: &Target) -> Reply {
    Reply { response, connection: Connection { sender, run: target.run.clone() } }
}

/// Longest wait for the answer to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks a backend server whether it serves; returns the head of the answer. A new
/// connection can_connect the run that has the address now.
///
/// # Errors
///
/// An [`Error`].
pub async fn check_health(address: SocketAddr, path: &str) -> Result<http::response::Parts, Error> {
    let to_error = |error: &dyn std::error::Error| Error::NoAnswer(error.to_string());
    let request = http::Request::get(path).header(http::header::HOST, address.to_string());
    let request = request.body(Full::default()).map_err(|error| to_error(&error))?;
    let mut sender = connect(address).await?;
    let answer = tokio::time::timeout(HEALTH_TIMEOUT, sender.send_request(request)).await;
    let answer = answer.map_err(|error| to_error(&error))?.map_err(|error| to_error(&error))?;
    Ok(answer.into_parts().0)
}

/// Whether a connection to a backend server comes about. Nothing is sent on it.
pub async fn can_connect(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

async fn connect(address: SocketAddr) -> Result<Sender, Error> {
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
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| to_error(&error))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to backend server ended error=\"{error}\"");
        }
    });
    Ok(sender)
}
