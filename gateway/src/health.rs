//! Serves readiness checks of the platform, and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use loftcove_intake as intake;
use loftcove_interface::protocol::Protocol;
use tokio::net::TcpListener;

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

/// Serves readiness and metrics on a listener until the process exits.
pub async fn serve<P: Protocol>(gateway: Arc<state::Gateway<P>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        let gateway = gateway.clone();
        let stream = intake::Bound::monitor().socket(stream);
        tokio::spawn(async move {
            let meter = stream.meter().clone();
            let service = hyper::service::service_fn(move |request: http::Request<_>| {
                let _: &hyper::body::Incoming = request.body();
                meter.record_use();
                let response = answer(&gateway, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("connection ended error=\"{error}\"");
            }
        });
    }
}
