//! A stand-in for a plain service whose calls may not be repeated.
//!
//! Every call is done and counted under its `idempotency-key`; `GET
//! /standin/runs` tells the counts. `x-standin-delay-ms` makes a call slow, `x-standin-cross`
//! has it answered with another request's id, `x-standin-end-ms` ends the process after that time,
//! `x-standin-shed: SECONDS` has it refused, with so much rest asked for,
//! `x-standin-limit: TEXT` has its answer name that rate limit,
//! `x-standin-bytes: N` makes its answer longer by so many bytes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;

use crate::server;

/// The stand-in.
#[derive(Clone, Default)]
pub struct Service {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

/// Reads a header as text.
pub fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

impl Service {
    /// Answers one call.
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
        if let Some(rest) = request.headers().get("x-standin-shed").cloned() {
            let mut refusal = server::text(503, "no room");
            refusal.headers_mut().insert(http::header::RETRY_AFTER, rest);
            return refusal;
        }
        let key = header(request.headers(), "idempotency-key").to_owned();
        let id = header(request.headers(), "x-request-id").to_owned();
        let delay = header(request.headers(), "x-standin-delay-ms").parse().unwrap_or(0);
        let crossing = request.headers().clone();
        // The call takes effect here; what follows can only lose its answer.
        {
            let mut runs = self.runs.lock().expect("no holder of the stand-in's lock panics");
            *runs.entry(key.clone()).or_default() += 1;
        }
        if let Ok(ms) = header(&crossing, "x-standin-end-ms").parse() {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            std::process::exit(0);
        }
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let body = server::read(request.into_body()).await;
        let padding = "x".repeat(header(&crossing, "x-standin-bytes").parse().unwrap_or(0));
        let answer =
            serde_json::json!({ "delivered": key, "bytes": body.len(), "padding": padding });
        let mut response = server::json(200, &answer);
        let crossed = !header(&crossing, "x-standin-cross").is_empty();
        let echo = if crossed { "another-request".to_owned() } else { id };
        if let Ok(id) = echo.parse() {
            response.headers_mut().insert("x-request-id", id);
        }
        if let Some(limit) = crossing.get("x-standin-limit").cloned() {
            response.headers_mut().insert("server-limit", limit);
        }
        response
    }
}
