//! Listens to callers, HTTP/1.1 and HTTP/2.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use loftcove_decision::lifecycle;
use tokio::net::{TcpListener, TcpStream};

use crate::entry::{Entry, flow};

/// Longest wait for a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of headers before the connection is given up; the typed answer for
/// headers over the limit comes well before.
const MAX_HEADER_BUFFER: usize = 64 * 1024;

/// Listens until the process ends.
pub async fn run(entry: Arc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(entry.clone(), stream));
            }
            Err(error) => {
                // Out of file descriptors, mostly: others must end first.
                log::error!("accept failed error=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(entry: Arc<Entry>, stream: TcpStream) {
    // Tokens are small and must not wait for one another.
    stream.set_nodelay(true).unwrap_or_default();
    let mut phase = entry.process.lifecycle.subscribe();
    let service = hyper::service::service_fn(move |request| flow::handle(entry.clone(), request));
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BUFFER);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(MAX_HEADER_BUFFER as u32);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let draining =
        async { phase.wait_for(|phase| *phase == lifecycle::Phase::Draining).await.is_ok() };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = draining => {
            // Answers in flight go on; the connection takes no new request.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection ended error=\"{error}\"");
    }
}
