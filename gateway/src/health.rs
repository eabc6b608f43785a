//! Serves readiness checks of the platform, and metrics.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use loftcove_intake::{descriptors, monitor};
use loftcove_interface::protocol::Protocol;
use loftcove_startup::listen;

use crate::state;

const METRICS_PATH: &str = "/metrics";

fn answer<P: Protocol>(gateway: &state::Gateway<P>, path: &str) -> http::Response<Full<Bytes>> {
    let (status, text) = match path {
        METRICS_PATH => (http::StatusCode::OK, gateway.metrics.encode(gateway)),
        path if path == P::READY_PATH && gateway.lifecycle.ready() => {
            (http::StatusCode::OK, "ready\n".to_owned())
        }
        path if path == P::READY_PATH => {
            (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
        _ => (http::StatusCode::NOT_FOUND, "no such path\n".to_owned()),
    };
    let mut response = http::Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

/// Serves readiness and metrics on a listener, once its address is available, until the process
/// exits.
pub async fn serve<P: Protocol>(
    gateway: Arc<state::Gateway<P>>,
    listener: listen::Listener,
    quota: descriptors::Quota,
) {
    let listener = listener.wait().await;
    monitor::serve(listener, quota, move |path| answer(&gateway, path)).await;
}
