//! A stand-in for a plain service whose calls are not idempotent.
//!
//! Every call is executed and counted under its `idempotency-key`; `GET /standin/runs` returns the
//! counts. Request headers control how a call is handled:
//!
//! - `x-standin-delay-ms: N` delays the response by N milliseconds.
//! - `x-standin-cross` answers with the id of another request.
//! - `x-standin-end-ms: N` exits the process N milliseconds after the call was executed.
//! - `x-standin-linger-ms: N`: with `x-standin-end-ms`, the call's connection is aborted N
//!   milliseconds before the process exits. With `x-standin-framing: close` it is closed in order
//!   instead, after a part of a response without a length or chunks.
//! - `x-standin-shed: SECONDS` rejects the call before it is executed, with `Retry-After: SECONDS`.
//! - `x-standin-limit: TEXT` adds the rate limit TEXT to the response, as `server-limit`.
//! - `x-standin-bytes: N` pads the response by N bytes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;

use crate::server;

/// A stand-in for a plain service.
#[derive(Clone, Default)]
pub struct Service {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

/// Returns the value of a header, or an empty string if it is missing or not text.
pub fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

impl Service {
    /// Handles one call.
    pub async fn handle(self, request: http::Request<Incoming>) -> http::Response<server::Body> {
        match request.uri().path() {
            "/standin/runs" => {
                let runs = self.runs.lock().expect("no holder of the stand-in's lock panics");
                return server::json(200, &serde_json::json!(*runs));
            }
            "/load" => {
                let load = serde_json::json!({
                    "running": 0, "queued": 0, "step_us": 0, "epoch": 0,
                });
                return server::json(200, &load);
            }
            _ => {}
        }
        if let Some(retry_after) = request.headers().get("x-standin-shed").cloned() {
            let mut rejection = server::text(503, "no room");
            rejection.headers_mut().insert(http::header::RETRY_AFTER, retry_after);
            return rejection;
        }
        let key = header(request.headers(), "idempotency-key").to_owned();
        let id = header(request.headers(), "x-request-id").to_owned();
        let delay = header(request.headers(), "x-standin-delay-ms").parse().unwrap_or(0);
        let headers = request.headers().clone();
        // The call takes effect here. Failures after this point can only lose its response.
        {
            let mut runs = self.runs.lock().expect("no holder of the stand-in's lock panics");
            *runs.entry(key.clone()).or_default() += 1;
        }
        if let Ok(ms) = header(&headers, "x-standin-end-ms").parse() {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            let linger = header(&headers, "x-standin-linger-ms").parse().unwrap_or(0);
            let in_order = header(&headers, "x-standin-framing") == "close";
            return exit_after(Duration::from_millis(linger), in_order).await;
        }
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let body = server::read(request.into_body()).await;
        let padding = "x".repeat(header(&headers, "x-standin-bytes").parse().unwrap_or(0));
        let answer =
            serde_json::json!({ "delivered": key, "bytes": body.len(), "padding": padding });
        let mut response = server::json(200, &answer);
        let crossed = !header(&headers, "x-standin-cross").is_empty();
        let echo = if crossed { "another-request".to_owned() } else { id };
        if let Ok(id) = echo.parse() {
            response.headers_mut().insert("x-request-id", id);
        }
        if let Some(limit) = headers.get("x-standin-limit").cloned() {
            response.headers_mut().insert("server-limit", limit);
        }
        response
    }
}

/// Ends the response early, in order or not, and exits the process after the given time.
async fn exit_after(time: Duration, in_order: bool) -> http::Response<server::Body> {
    if time.is_zero() {
        std::process::exit(0);
    }
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        std::process::exit(0);
    });
    let (sender, body) = server::channel();
    let mut response = http::Response::new(body);
    if in_order {
        sender.send(Ok("{\"delivered\"".into())).await.ok();
        // HTTP/1.0 has no chunks.
        *response.version_mut() = http::Version::HTTP_10;
    } else {
        sender.send(Err(std::io::ErrorKind::ConnectionAborted.into())).await.ok();
    }
    response
}
