//! Serves readers of readiness and metrics.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use loftcove_line::field;
use tokio::net::TcpListener;

use crate::{Bound, connections, descriptors};

/// Maximum number of connections of readers. A readiness check each second and some readers of
/// metrics use a few.
const MAX_CONNECTIONS: usize = 64;
/// Part of an account of descriptors that is reserved for one listener, as a divisor.
const RESERVED_PART: usize = 16;
/// Pause after an error of the listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Adds a quota for the connections of one listener to the account of a process.
pub fn quota(account: &descriptors::Account) -> descriptors::Quota {
    let reserved = (account.capacity() / RESERVED_PART).min(MAX_CONNECTIONS);
    account.quota(descriptors::Share { reserved, max: MAX_CONNECTIONS })
}

/// Answers the requests of a listener by their path until the process exits.
pub async fn serve<A>(listener: TcpListener, quota: descriptors::Quota, answer: A)
where
    A: Fn(&str) -> http::Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    let open = connections::Connections::of(quota);
    loop {
        open.wait_for_room().await;
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let stream = Bound::monitor().socket(stream);
        let (connection, answer) = (open.open_connection(), answer.clone());
        tokio::spawn(async move {
            let state = connection.state().clone();
            let meter = stream.meter().clone();
            let requests = state.clone();
            let service = hyper::service::service_fn(move |request: http::Request<_>| {
                let _: &hyper::body::Incoming = request.body();
                meter.record_use();
                let _request = requests.begin();
                let response = answer(request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = auto::Builder::new(TokioExecutor::new());
            builder.http1().timer(TokioTimer::new());
            builder.http2().timer(TokioTimer::new());
            let served = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                ended = served => if let Err(error) = ended {
                    log::debug!("connection of a monitor ended error={error}", error = field::Quoted(&error));
                },
                () = state.closing() => {}
            }
        });
    }
}
