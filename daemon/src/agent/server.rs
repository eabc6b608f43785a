//! HTTP client of the backend server.
//!
//! An *end* of a backend server is a crash or exit of its process. The agent numbers the ends that
//! it detects, so that calls that failed with the same end are recognized.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use loftcove_intake as intake;
use loftcove_response::framing::Framing;
use serde::Deserialize;
use tokio::net::TcpStream;
use tower::ServiceExt as _;
use tower::util::MapResponse;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a backend server that accepts a connection is checked again after a call broke. It
/// is far longer than a process takes to close its connections, and far shorter than a server takes
/// to restart.
pub const BREAK_RECHECK: Duration = Duration::from_millis(150);
/// Delay before a backend server that accepts a connection is checked again after a response whose
/// end only its connection marks. Each such response waits for it.
pub const ENDING_RECHECK: Duration = Duration::from_millis(20);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of the head of a response, which is also that of the parser's buffer, in bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Maximum size of the body of a report, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;
const BOUND: intake::Bound = intake::Bound::new(MAX_HEAD, intake::count::Peer::SERVER);

type Socket = TokioIo<intake::Socket<TcpStream>>;
type Connector = MapResponse<HttpConnector, fn(TokioIo<TcpStream>) -> Socket>;
/// Body of a response, which is still arriving.
pub type Body = intake::body::Body<Incoming>;

/// Reason why a call to the backend server failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was established, so that nothing was sent.
    #[error("not connected")]
    Connect,
    /// The call failed after it was sent, or may have been sent.
    #[error("{0}")]
    Call(legacy::Error),
    /// The response was incomplete or malformed, or the path was invalid.
    #[error("bad answer")]
    Answer,
    /// The response had an error status.
    #[error("status {0}")]
    Status(http::StatusCode),
    /// The call exceeded its time limit.
    #[error("no answer in time")]
    Timeout,
}

/// Load of the backend server.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the backend server's own queue.
    pub queued: u32,
    /// Duration of the last steps, in microseconds.
    pub step_us: u32,
    /// Epoch of the expert map in use.
    pub epoch: u64,
}

/// Token counts of the experts on a rank.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Experts {
    /// Epoch of the expert map under which they were counted.
    pub epoch: u64,
    /// For each layer, the experts with their token counts since the last call.
    pub layers: Vec<Vec<(u32, u32)>>,
}

/// Ends of the backend server that this agent has detected.
#[derive(Debug, Default)]
struct Ends {
    count: u64,
    /// Whether the backend server accepted no connection at the last check.
    unreachable: bool,
}

/// A client of the backend server.
pub struct Client {
    address: SocketAddr,
    ends: Mutex<Ends>,
    http: legacy::Client<Connector, Full<Bytes>>,
}

impl Client {
    /// Creates a client of the backend server at `address`.
    pub fn new(address: SocketAddr) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let bounded: fn(TokioIo<TcpStream>) -> Socket =
            |stream| TokioIo::new(BOUND.socket(stream.into_inner()));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // The entry host decides about retries.
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_HEAD)
            .build(connector.map_response(bounded));
        Client { address, ends: Mutex::default(), http }
    }

    /// Returns the URI of a path on the backend server, or `None` if the path is invalid.
    pub fn uri(&self, path: &str) -> Option<http::Uri> {
        http::Uri::builder()
            .scheme(http::uri::Scheme::HTTP)
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .ok()
    }

    /// Returns the number of the end if the backend server accepts no connection.
    async fn detect_end(&self) -> Option<u64> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let connects = matches!(connected.await, Ok(Ok(_)));
        // The state is valid after a panic of another task: each field changes by one assignment.
        let mut ends = self.ends.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let was_unreachable = std::mem::replace(&mut ends.unreachable, !connects);
        ends.count += u64::from(!connects && !was_unreachable);
        (!connects).then_some(ends.count)
    }

    /// Checks after a call whether the backend server has ended. Returns the number of the end if
    /// it accepts no connection, now or after `delay`: the port of an exiting process may still be
    /// open while its connections are closed. Calls that failed with the same end get the same
    /// number.
    pub async fn detect_end_twice(&self, delay: Duration) -> Option<u64> {
        if let Some(end) = self.detect_end().await {
            return Some(end);
        }
        tokio::time::sleep(delay).await;
        self.detect_end().await
    }

    /// Records that the backend server has responded. Its next end gets a new number.
    fn record_response(&self) {
        self.ends.lock().unwrap_or_else(std::sync::PoisonError::into_inner).unreachable = false;
    }

    /// Sends a request and waits for the head of the response. The caller checks the framing of the
    /// response. If it is invalid, the connection carries no further request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if nothing was sent, and [`Error::Call`] otherwise.
    pub async fn send(
        &self,
        mut request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Body>, Error> {
        let method = request.method().clone();
        let connection = capture_connection(&mut request);
        let answer = self.http.request(request).await;
        let answer = answer.map_err(|error| match error.is_connect() {
            true => Error::Connect,
            false => Error::Call(error),
        })?;
        self.record_response();
        let (head, body) = answer.into_parts();
        // The pool may hold the connection already, because a response without a body is complete.
        if Framing::of(&method, &head).is_err()
            && let Some(connection) = &*connection.connection_metadata()
        {
            connection.poison();
        }
        let meter = head.extensions.get::<intake::Meter>().cloned().unwrap_or_default();
        meter.record_use();
        let body = intake::body::Body::new(body, meter);
        Ok(http::Response::from_parts(head, body))
    }

    /// Gets a JSON value from a path, within the time limit.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the call fails.
    pub async fn read<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, Error> {
        let body = self.exchange(http::Method::GET, path, Bytes::new(), limit).await?;
        serde_json::from_slice(&body).map_err(|_| Error::Answer)
    }

    /// Posts an order to a path, within the time limit.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the call fails.
    pub async fn order(&self, path: &str, body: Bytes, limit: Duration) -> Result<(), Error> {
        self.exchange(http::Method::POST, path, body, limit).await.map(drop)
    }

    async fn exchange(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let uri = self.uri(path).ok_or(Error::Answer)?;
        let mut request = http::Request::new(Full::new(body));
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri;
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            Framing::of(&method, &head).map_err(|_| Error::Answer)?;
            if !head.status.is_success() {
                return Err(Error::Status(head.status));
            }
            let body = Limited::new(body, MAX_BODY).collect().await;
            let body = body.map_err(|_| Error::Answer)?;
            Ok(body.to_bytes())
        };
        tokio::time::timeout(limit, whole).await.map_err(|_| Error::Timeout)?
    }
}
