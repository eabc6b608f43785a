//! The backend server over HTTP.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use tokio::net::TcpStream;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call to the backend server failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made: nothing was sent.
    #[error("not connected")]
    Connect,
    /// The call was sent, or may have been.
    #[error("{0}")]
    Call(legacy::Error),
    /// The answer ended early or was not what it must be.
    #[error("bad answer")]
    Answer,
    /// The answer had an error status.
    #[error("status {0}")]
    Status(http::StatusCode),
    /// There was no answer in time.
    #[error("no answer in time")]
    Timeout,
}

/// Load of the backend server.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside.
    pub queued: u32,
    /// Duration of the last steps, microseconds.
    pub step_us: u32,
    /// Epoch of the expert map in use.
    pub epoch: u64,
}

/// Token counts of the experts on the rank.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Experts {
    /// Epoch that they were counted under.
    pub epoch: u64,
    /// By layer: expert and its tokens since the last call.
    pub layers: Vec<Vec<(u32, u32)>>,
}

/// Ends of the backend server that its agent noticed.
#[derive(Debug, Default)]
struct Ends {
    count: u64,
    /// Whether it took no connection at the last look.
    unreachable: bool,
}

/// A client of the backend server.
pub struct Client {
    address: SocketAddr,
    ends: Mutex<Ends>,
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client of the backend server at that address.
    pub fn new(address: SocketAddr) -> Client {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // Whether a call is made again is decided elsewhere.
            .retry_canceled_requests(false)
            .build(connector);
        Client { address, ends: Mutex::default(), http }
    }

    /// The URI of a path on the backend server, if the path makes one.
    pub fn uri(&self, path: &str) -> Option<http::Uri> {
        http::Uri::builder()
            .scheme(http::uri::Scheme::HTTP)
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .ok()
    }

    /// After a call that broke off: which end of the backend server it was, if
    /// that takes no connection. Calls that broke with the same end get the same
    /// number.
    pub async fn detect_end(&self) -> Option<u64> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let connects = matches!(connected.await, Ok(Ok(_)));
        // Each change is one assignment.
        let mut ends = self.ends.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let was_unreachable = std::mem::replace(&mut ends.unreachable, !connects);
        ends.count += u64::from(!connects && !was_unreachable);
        (!connects).then_some(ends.count)
    }

    /// The backend server answered: its next end is another one.
    fn record_response(&self) {
        self.ends.lock().unwrap_or_else(std::sync::PoisonError::into_inner).unreachable = false;
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] where nothing was sent, else [`Error::Call`].
    pub async fn send(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Error> {
        let answer = self.http.request(request).await;
        if answer.is_ok() {
            self.record_response();
        }
        answer.map_err(|error| match error.is_connect() {
            true => Error::Connect,
            false => Error::Call(error),
        })
    }

    /// Reads JSON from a path.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn read<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, Error> {
        let body = self.exchange(http::Method::GET, path, Bytes::new(), limit).await?;
        serde_json::from_slice(&body).map_err(|_| Error::Answer)
    }

    /// Posts an order to a path.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
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
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        let whole = async {
            let response = self.send(request).await?;
            if !response.status().is_success() {
                return Err(Error::Status(response.status()));
            }
            let body = response.into_body().collect().await.map_err(|_| Error::Answer)?;
            Ok(body.to_bytes())
        };
        tokio::time::timeout(limit, whole).await.map_err(|_| Error::Timeout)?
    }
}
