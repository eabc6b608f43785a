//! Accepts and serves clients' connections.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use loftcove_decision::lifecycle;
use loftcove_intake as intake;
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;
use loftcove_startup::listen;
use tokio::net::{TcpListener, TcpStream};

use crate::{client, drain, exchange, flow, state};

/// Idle timeout of a connection before the configuration's timeout is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Added to the idle timeout, so that the gateway never closes a connection first if its client
/// keeps to the configured timeout.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Added to the time limit of heads, for packets that are sent again.
const HEAD_MARGIN: Duration = Duration::from_secs(1);
/// Memory of a connection beside the parser's buffer, in bytes.
const CONNECTION_BYTES: usize = 8 * 1024 + intake::RECEIVE_MEMORY;
/// Minimum size of a request's head that is accepted.
const MIN_HEADER_BYTES: usize = 16 * 1024;
/// Maximum time that sent bytes may stay unacknowledged. After it, the connection of a client that
/// was cut off is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections from when the address is available until the process is about to exit. The
/// operating system refuses later ones, so that clients know that nothing of their requests was
/// read.
pub async fn run<P: Protocol>(gateway: Arc<state::Gateway<P>>, listener: listen::Listener) {
    let mut phases = gateway.lifecycle.phases();
    let accept = async {
        let listener = listener.wait().await;
        intake::bound_receive_buffers(&listener);
        gateway.lifecycle.set_listening();
        accept(&gateway, &listener).await;
    };
    tokio::select! {
        () = accept => {}
        () = phases.wait(lifecycle::Phase::Stopped) => {}
    }
}

async fn accept<P: Protocol>(gateway: &Arc<state::Gateway<P>>, listener: &TcpListener) {
    loop {
        gateway.lifecycle.wait_for_capacity().await;
        match listener.accept().await {
            Ok((stream, address)) => {
                let buffer = 2 * max_head(gateway);
                let bound = intake::Bound::new(buffer, intake::count::Peer::CLIENT);
                let meter = bound.meter(address.to_string());
                let bytes = buffer + CONNECTION_BYTES;
                let memory = gateway.lifecycle.clients.hold(&gateway.memory, bytes).await;
                let connection = drain::Lifecycle::connect(gateway, meter, memory);
                tokio::spawn(serve(gateway.clone(), (stream, buffer), connection));
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

/// Returns the maximum size of a request's head.
fn max_head<P: Protocol>(gateway: &state::Gateway<P>) -> usize {
    let limits = gateway.routes.load().as_ref().map(|table| table.limits);
    limits.map_or(MIN_HEADER_BYTES, |limits| limits.header_bytes.max(MIN_HEADER_BYTES))
}

/// Serves a connection whose parser buffers up to `buffer` bytes.
async fn serve<P: Protocol>(
    gateway: Arc<state::Gateway<P>>,
    (stream, buffer): (TcpStream, usize),
    connection: drain::Connection<P>,
) {
    let options = stream.set_nodelay(true).and_then(|()| {
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
    });
    if let Err(error) = options {
        log::debug!("client's connection has ended error={error}", error = field::Quoted(&error));
        return;
    }
    let stall = Duration::from_millis(gateway.settings.serving.client_stall_ms);
    let limits = gateway.routes.load().as_ref().map(|table| table.limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout) + IDLE_MARGIN;
    let head = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.header_timeout) + HEAD_MARGIN;
    let progress = connection.exchange().progress.clone();
    let stream = client::Socket::new(stream, stall, progress.clone()).with_head_limit(head);
    let mut phases = gateway.lifecycle.phases();
    let guard = exchange::Guard(connection.exchange().clone());
    let service = {
        let (gateway, exchange) = (gateway.clone(), connection.exchange().clone());
        hyper::service::service_fn(move |request| {
            flow::handle(gateway.clone(), exchange.clone(), request)
        })
    };
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's timeout also covers the time between two requests.
        .header_read_timeout(idle)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let ended = tokio::select! {
        biased;
        // Nothing of a request that the client sends meanwhile is read.
        () = progress.connection().closing() => {
            if !progress.connection().is_idle() {
                connection.exchange().abandon(&"closed for others");
            }
            Ok(())
        }
        ended = served.as_mut() => ended,
        () = phases.wait(lifecycle::Phase::Stopped) => {
            // Closes an idle connection at once. A response in progress is completed first.
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if progress.stalled() {
        gateway.metrics.clients_stalled.inc();
    }
    guard.finish(ended);
}
