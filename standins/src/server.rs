//! A small HTTP server for the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::StreamExt as _;
use http_body_util::{BodyExt, Full, StreamBody, combinators};
use hyper::body::{Frame, Incoming};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;

/// Response body.
pub type Body = combinators::BoxBody<Bytes, std::io::Error>;

/// Returns a response with a status and a JSON body.
pub fn json(status: u16, value: &impl serde::Serialize) -> http::Response<Body> {
    text(status, serde_json::to_vec(value).expect("a message of a stand-in has a JSON form"))
}

/// Returns a response with a status and a plain body.
pub fn text(status: u16, text: impl Into<Bytes>) -> http::Response<Body> {
    let body = Full::new(text.into()).map_err(|never: Infallible| match never {}).boxed();
    http::Response::builder()
        .status(status)
        .body(body)
        .expect("a status and a body form a valid response")
}

/// Returns a streamed body with its sender.
///
/// The body ends when the sender is dropped, and is aborted when the sender sends an error.
pub fn channel() -> (tokio::sync::mpsc::Sender<std::io::Result<Bytes>>, Body) {
    let (sender, mut receiver) = tokio::sync::mpsc::channel(16);
    let stream = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    let frames = stream.map(|chunk: std::io::Result<Bytes>| chunk.map(Frame::data));
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}

/// Reads the whole body of a request. A body that cannot be read is returned empty.
pub async fn read(body: Incoming) -> Bytes {
    body.collect().await.map(|whole| whole.to_bytes()).unwrap_or_default()
}

/// Listens on an address and prints `listening ADDRESS` with the bound one.
pub async fn listen(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).await.expect("the stand-in's address is free");
    println!("listening {}", listener.local_addr().expect("a bound listener has an address"));
    listener
}

/// Serves connections. Never returns.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(http::Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response<Body>> + Send + 'static,
{
    loop {
        let Ok((stream, peer)) = listener.accept().await else { continue };
        // Without Nagle's algorithm: tokens are small and must not wait for one another.
        stream.set_nodelay(true).ok();
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = hyper::service::service_fn(move |mut request: http::Request<_>| {
                // Some stand-ins distinguish callers by address.
                request.extensions_mut().insert(peer);
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            builder.serve_connection(TokioIo::new(stream), service).await.ok();
        });
    }
}
