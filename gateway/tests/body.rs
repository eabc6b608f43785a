//! A streamed response that breaks off, served by the HTTP library that serves clients.
//!
//! Guards against this failure: a request that had reached a backend server ended without a
//! response, at a gateway without any injected fault. The stream broke off before the connection
//! had written the response's head, and an error of the body drops everything that is not written
//! yet.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use loftcove_gateway::{body, queue};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Returns what a client reads of a response whose parts are all available before the first write.
async fn read(parts: Vec<Result<Bytes, body::Broken>>) -> String {
    let (sender, receiver) = queue::Bounds::new(64 * 1024, 64 * 1024).open();
    for part in parts {
        match part {
            Ok(bytes) => sender.send(bytes).await.unwrap(),
            Err(body::Broken) => sender.fail(),
        }
    }
    drop(sender);
    let answer = body::Flushed::new(body::Body::Stream { receiver, left: None });
    let response = Arc::new(Mutex::new(Some(http::Response::new(answer))));
    let service = hyper::service::service_fn(move |_| {
        let response = response.lock().unwrap().take().unwrap();
        async move { Ok::<_, Infallible>(response) }
    });
    let (mut client, server) = tokio::io::duplex(64 * 1024);
    let serve = http1::Builder::new().serve_connection(TokioIo::new(server), service);
    let served = tokio::spawn(async move { serve.await.is_ok() });
    client.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).await.unwrap();
    assert!(!served.await.unwrap(), "the connection ends with an error: {text}");
    text
}

/// The client learns that its request ran and that the response is incomplete.
#[tokio::test]
async fn writes_the_head_of_a_response_that_breaks_off_first() {
    let text = read(vec![Err(body::Broken)]).await;
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
    assert!(!text.contains("0\r\n\r\n"), "{text:?}");
}

/// Parts that precede the break are delivered.
#[tokio::test]
async fn writes_the_parts_that_precede_a_break() {
    let parts = ["first", "second"].map(|part| Ok(Bytes::from_static(part.as_bytes())));
    let text = read(parts.into_iter().chain([Err(body::Broken)]).collect()).await;
    assert!(text.contains("5\r\nfirst\r\n") && text.contains("6\r\nsecond\r\n"), "{text:?}");
    assert!(!text.contains("0\r\n\r\n"), "{text:?}");
}

/// Guards against a response that looks complete because its source ended without saying so, such
/// as a task that panicked or was dropped when the process exits.
#[tokio::test]
async fn a_response_whose_source_is_dropped_is_not_complete() {
    let response = read(vec![Ok(Bytes::from_static(b"first"))]);
    // A client that takes the response to be complete waits for the next one.
    let text = tokio::time::timeout(Duration::from_secs(5), response).await.unwrap();
    assert!(text.contains("5\r\nfirst\r\n"), "{text:?}");
    assert!(!text.contains("0\r\n\r\n"), "{text:?}");
}
