//! Takes clients' connections.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use loftcove_decision::lifecycle;
use loftcove_interface::protocol::Protocol;
use tokio::net::{TcpListener, TcpStream};

use crate::{drain, exchange, flow, state};

/// Longest time that a connection is idle before the configuration's limit is
/// known, and what is added to that limit, so that we never close first on a
/// client that keeps to it.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// See [`IDLE_TIME`].
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Least room for a request's head.
const MIN_HEAD: usize = 16 * 1024;
/// Longest time that sent bytes may stay unacknowledged: a client that was cut
/// off holds its connection no longer.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);

/// Takes connections until the process is about to end. Later ones are refused by the
/// system, so that clients know that nothing was read.
pub async fn run<P: Protocol>(gateway: Arc<state::Gateway<P>>, listener: TcpListener) {
    let mut closing = gateway.life.closing();
    tokio::select! {
        () = accept(&gateway, &listener) => {}
        () = closing.wait(lifecycle::Phase::Stopped) => {}
    }
}

async fn accept<P: Protocol>(gateway: &Arc<state::Gateway<P>>, listener: &TcpListener) {
    loop {
        gateway.life.room().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let open = drain::Life::connected(gateway);
                tokio::spawn(serve(gateway.clone(), stream, open));
            }
            Err(error) => {
                // Out of file descriptors, mostly: others must end first.
                log::error!("accept failed error=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve<P: Protocol>(
    gateway: Arc<state::Gateway<P>>,
    stream: TcpStream,
    open: drain::Open<P>,
) {
    let options = stream
        .set_nodelay(true)
        .and_then(|()| socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = options {
        log::debug!("client's connection has ended error=\"{error}\"");
        return;
    }
    let limits = gateway.routes.load().as_ref().map(|table| table.limits);
    let idle = limits.map_or(IDLE_TIME, |limits| limits.idle_timeout) + IDLE_MARGIN;
    let head = limits.map_or(MIN_HEAD, |limits| limits.header_bytes.max(MIN_HEAD));
    let mut closing = gateway.life.closing();
    let report = exchange::Report(open.exchange().clone());
    let service = {
        let (gateway, exchange) = (gateway.clone(), open.exchange().clone());
        hyper::service::service_fn(move |request| {
            flow::handle(gateway.clone(), exchange.clone(), request)
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the time between two requests as well.
        .header_read_timeout(idle)
        .max_buf_size(head * 2)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing.wait(lifecycle::Phase::Stopped) => {
            // Closes at once where it is idle; an answer in flight goes on.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    report.ended(ended);
}
