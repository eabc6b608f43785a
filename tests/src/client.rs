//! A client with a persistent connection to a gateway.

use std::net::SocketAddr;

use http_body_util::{BodyExt as _, Full};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::request::Request;

/// Maximum size of a TCP segment of a client with a small window, in bytes.
const SEGMENT: u32 = 536;
/// Size of the receive buffer of a client with a small window, in bytes. Most of a long answer
/// stays in the sender's buffer.
const WINDOW: u32 = 4_096;

/// Connects a client with a small receive window.
pub async fn connect_with_small_window(address: SocketAddr) -> tokio::net::TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket can be made");
    socket2::SockRef::from(&socket).set_tcp_mss(SEGMENT).expect("the segment size can be set");
    socket.set_recv_buffer_size(WINDOW).expect("the buffer size can be set");
    socket.connect(address).await.expect("the gateway listens")
}

/// A client that reuses one HTTP/1 connection.
pub struct Client {
    sender: hyper::client::conn::http1::SendRequest<Full<bytes::Bytes>>,
}

impl Client {
    /// Connects to a gateway, or returns `None` if the connection fails.
    pub async fn connect(address: SocketAddr) -> Option<Client> {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let handshake = hyper::client::conn::http1::handshake(io).await;
        let (sender, connection) = handshake.ok()?;
        tokio::spawn(async move {
            connection.await.ok();
        });
        Some(Client { sender })
    }

    /// Sends a request and returns the response with its body unread, or `None` if the
    /// connection ended.
    pub async fn send(
        &mut self,
        request: &Request,
    ) -> Option<http::Response<hyper::body::Incoming>> {
        self.sender.ready().await.ok()?;
        let mut builder = http::Request::builder().method(request.method).uri(&request.path);
        for (name, value) in &request.headers {
            builder = builder.header(name, value);
        }
        let message = builder.body(Full::from(request.body.clone()));
        self.sender.send_request(message.expect("the request is well formed")).await.ok()
    }
}

/// Sends a request as HTTP/1.0. Returns the response's bytes as text, and whether the connection
/// closed in order.
pub async fn send_http_1_0(address: SocketAddr, request: &Request) -> (String, bool) {
    let text = request.text().replacen("HTTP/1.1", "HTTP/1.0", 1);
    let stream = tokio::net::TcpStream::connect(address).await;
    let mut stream = stream.expect("the gateway listens");
    stream.write_all(text.as_bytes()).await.expect("the gateway takes the request");
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).await;
    (String::from_utf8_lossy(&bytes).into_owned(), ended.is_ok())
}

/// Reads a body. Returns the text received and whether the body was complete.
pub async fn read(response: http::Response<hyper::body::Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&data));
            }
            Err(_) => return (text, false),
        }
    }
    (text, true)
}
