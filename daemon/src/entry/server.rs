//! Accepts and serves clients' connections, over HTTP/1.1 and HTTP/2.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use loftcove_decision::lifecycle;
use loftcove_gateway::client;
use loftcove_intake::{self as intake, connections, memory};
use loftcove_line::field;
use tokio::net::{TcpListener, TcpStream};

use crate::entry::{Entry, flow};

/// Timeout of the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of headers, in bytes, before the connection is closed. It is well above
/// `call::MAX_HEADER_BYTES`, so that headers over that limit get an error response first.
const MAX_HEADER_BUFFER: usize = 64 * 1024;
/// Bytes of all bodies of a connection that may arrive over HTTP/2 before they are read.
const WINDOW: u32 = 64 * 1024;
/// Maximum number of requests in progress on a connection over HTTP/2.
const MAX_STREAMS: u32 = 128;
/// Memory of a connection, in bytes: the parser's buffer, the receive buffer and the rest.
const CONNECTION_BYTES: usize = MAX_HEADER_BUFFER + intake::RECEIVE_MEMORY + 8 * 1024;
const BOUND: intake::Bound =
    intake::Bound::new(WINDOW as usize, intake::count::Peer::CLIENT).with_control_frames();

/// Accepts connections until the process exits.
pub async fn run(entry: Arc<Entry>, listener: TcpListener) {
    intake::bound_receive_buffers(&listener);
    loop {
        entry.clients.wait_for_room().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let memory = entry.clients.hold(&entry.memory, CONNECTION_BYTES).await;
                let connection = entry.clients.open_connection();
                tokio::spawn(serve_connection(entry.clone(), stream, (connection, memory)));
            }
            Err(error) => {
                // Mostly the process is out of file descriptors, and other connections must end
                // first.
                log::error!("accept failed error={error}", error = field::Quoted(&error));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves one connection until it ends.
async fn serve_connection(
    entry: Arc<Entry>,
    stream: TcpStream,
    (connection, _memory): (connections::Connection, memory::Hold),
) {
    // Tokens are small, and Nagle's algorithm would delay them.
    stream.set_nodelay(true).unwrap_or_default();
    let mut phase = entry.process.lifecycle.subscribe();
    let peer = stream.peer_addr().map_or_else(|_| "?".to_owned(), |peer| peer.to_string());
    let state = connection.state().clone();
    let progress = client::Progress::new(BOUND.meter(peer)).with_connection(state.clone());
    let progress = Arc::new(progress);
    let stream = client::Socket::without_limit(stream, progress.clone());
    let service = hyper::service::service_fn(move |request| {
        flow::handle(entry.clone(), progress.clone(), request)
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BUFFER);
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_connection_window_size(WINDOW)
        .initial_stream_window_size(WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BUFFER as u32);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let draining =
        async { phase.wait_for(|phase| *phase == lifecycle::Phase::Draining).await.is_ok() };
    let ended = tokio::select! {
        biased;
        () = state.closing() => return,
        ended = served.as_mut() => ended,
        _ = draining => {
            // Answers in flight are completed, but the connection accepts no new request.
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("client connection ended error={error}", error = field::Quoted(&error));
    }
}
