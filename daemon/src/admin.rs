//! Health checks and metrics over HTTP, for operators and monitoring.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use loftcove_decision::lifecycle;
use loftcove_intake::monitor;
use tokio::net::TcpListener;

use crate::{metrics, process};

/// Returns whether [`answer`] serves a path.
pub fn is_path(path: &str) -> bool {
    matches!(path, "/healthz" | "/readyz" | "/metrics")
}

/// Returns the response for a path.
pub fn answer(process: &process::Process, path: &str) -> http::Response<Full<Bytes>> {
    let (status, text) = match path {
        "/healthz" => (http::StatusCode::OK, "ok\n".to_owned()),
        "/readyz" if process.lifecycle.phase() == lifecycle::Phase::Serving => {
            (http::StatusCode::OK, "ready\n".to_owned())
        }
        "/readyz" => (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/metrics" => (http::StatusCode::OK, encode(process)),
        _ => (http::StatusCode::NOT_FOUND, "no such path\n".to_owned()),
    };
    let mut response = http::Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

/// Updates the gauges that are read on demand, and returns all metrics in text form.
fn encode(process: &process::Process) -> String {
    let calls = process.platform.calls();
    let kinds = [("read", &calls.reads), ("watch", &calls.watches), ("write", &calls.writes)];
    for (kind, count) in kinds {
        let gauge = process.metrics.platform_calls.get_or_create(&metrics::Call { kind });
        gauge.set(count.load(Ordering::Relaxed) as i64);
    }
    process.metrics.in_flight.set(process.lifecycle.in_flight() as i64);
    process.metrics.encode()
}

/// Serves the paths on a separate address until the process exits.
pub async fn serve(process: Arc<process::Process>, listener: TcpListener) {
    monitor::serve(listener, process.intake.monitors.clone(), move |path| answer(&process, path))
        .await;
}
