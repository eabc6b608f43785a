//! Connections to backend servers whose response is not complete.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use loftcove_decision::fleet;
use loftcove_gateway::Target;
use loftcove_gateway::upstream::{Error, Pool};
use loftcove_intake::descriptors::Quota;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Time within which a server must see that its client has left.
const LIMIT: Duration = Duration::from_millis(500);
/// More than the operating system buffers for a connection that nobody reads.
const LARGE: usize = 32 << 20;

struct Server {
    listener: TcpListener,
    pool: Arc<Pool>,
    target: Target,
}

impl Server {
    async fn start() -> Server {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Target {
            run: fleet::Run { id: "i-1".into(), born: None },
            address: listener.local_addr().unwrap(),
            max_connections: 4,
            health_path: None,
        };
        Server { listener, pool: Arc::new(Pool::new(Quota::alone(64))), target }
    }

    /// Sends a request in a task of its own. Returns the task and the connection, which nobody
    /// reads: a part of the request is in it.
    async fn send(&self, size: usize) -> (tokio::task::JoinHandle<()>, TcpStream) {
        let (pool, target) = (self.pool.clone(), self.target.clone());
        let task = tokio::spawn(async move {
            let left = Duration::from_secs(60);
            let _reply = pool.send(&target, request(size), true, left, || true).await;
        });
        let (stream, _) = self.listener.accept().await.unwrap();
        assert_ne!(stream.peek(&mut [0]).await.unwrap(), 0);
        (task, stream)
    }
}

fn request(size: usize) -> http::Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(vec![0; size]));
    http::Request::post("/").header("host", "a").body(body).unwrap()
}

/// Reads until the end of the connection. Returns the number of bytes and the error at the end.
async fn read_all(stream: &mut TcpStream) -> (usize, Option<ErrorKind>) {
    let (mut size, mut buffer) = (0, vec![0; 1 << 16]);
    loop {
        match tokio::time::timeout(LIMIT, stream.read(&mut buffer)).await.unwrap() {
            Ok(0) => return (size, None),
            Ok(read) => size += read,
            Err(error) => return (size, Some(error.kind())),
        }
    }
}

/// Guards against a normal close, after which the server takes the request for one that waits: it
/// reads the end of the stream, and what the host had not acknowledged is delivered later.
#[tokio::test]
async fn resets_the_connection_of_a_client_that_left() {
    let server = Server::start().await;
    for size in [0, LARGE] {
        let (task, mut stream) = server.send(size).await;
        task.abort();
        assert!(task.await.unwrap_err().is_cancelled());
        let (read, end) = read_all(&mut stream).await;
        assert_eq!(end, Some(ErrorKind::ConnectionReset));
        assert!(size == 0 || read < size, "{read} bytes of a request of {size}");
    }
}

/// Guards against a reset within a response that has begun: the server could go on for long before
/// it writes again.
#[tokio::test]
async fn resets_the_connection_of_a_response_that_is_not_complete() {
    let server = Server::start().await;
    let (pool, target) = (server.pool.clone(), server.target.clone());
    let reply = tokio::spawn(async move {
        pool.send(&target, request(0), true, Duration::from_secs(60), || true).await
    });
    let (mut stream, _) = server.listener.accept().await.unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbegin").await.unwrap();
    drop(reply.await.unwrap().unwrap());
    assert_eq!(read_all(&mut stream).await.1, Some(ErrorKind::ConnectionReset));
}

/// Guards against resets after complete responses, which a server would count as failures.
#[tokio::test]
async fn closes_the_connection_of_a_complete_response_normally() {
    let server = Server::start().await;
    let (pool, target) = (server.pool.clone(), server.target.clone());
    let reply = tokio::spawn(async move {
        pool.send(&target, request(0), true, Duration::from_secs(60), || true).await
    });
    let (mut stream, _) = server.listener.accept().await.unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nend").await.unwrap();
    let reply = reply.await.unwrap().unwrap();
    assert_eq!(reply.response.into_body().collect().await.unwrap().to_bytes(), "end");
    server.pool.put(&server.target, reply.connection, None);
    server.pool.retain(|_| false);
    assert_eq!(read_all(&mut stream).await.1, None);
}

/// Guards against a request that waits for a host which accepts no bytes until its deadline, and
/// against one that is reported as not sent.
#[tokio::test]
async fn gives_up_a_host_that_accepts_no_bytes_within_the_remaining_time() {
    let server = Server::start().await;
    let left = Duration::from_secs(4);
    let sent = server.pool.send(&server.target, request(LARGE), true, left, || true);
    let error = tokio::time::timeout(left, sent).await.unwrap().err().unwrap();
    assert!(matches!(error, Error::Unacknowledged(_)), "{error}");
}
