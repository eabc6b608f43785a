//! A client that keeps its connection to a gateway.

use std::net::SocketAddr;

use http_body_util::{BodyExt as _, Full};

use crate::request::Request;

/// Bytes of a segment, and of the buffer of a client behind a small window: most
/// of a long answer waits at the sender.
const SEGMENT: u32 = 536;
/// See [`SEGMENT`].
const WINDOW: u32 = 4_096;

/// Connects as a client behind a small window.
pub async fn connect_with_small_window(address: SocketAddr) -> tokio::net::TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket can be made");
    socket2::SockRef::from(&socket).set_tcp_mss(SEGMENT).expect("the segments can be small");
    socket.set_recv_buffer_size(WINDOW).expect("the buffer can be small");
    socket.connect(address).await.expect("somebody listens")
}

/// A client that keeps its connection.
pub struct Client {
    sender: hyper::client::conn::http1::SendRequest<Full<bytes::Bytes>>,
}

impl Client {
    /// Connects to a gateway, if it listens.
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

    /// Sends a request; returns the answer whose body is still to come, or
    /// `None` where the connection ended.
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

/// Reads a body to its end; the second is whether it was whole.
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
