//! Peers that send bytes without end: clients over HTTP/1.1, and both ends of HTTP/2.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::frame::{self, Kind};

/// Size of the writes, in bytes. One is made each millisecond.
const BLOCK: usize = 16 * 1024;

/// What is sent: a text, and what is repeated after it.
#[derive(Debug, Clone)]
pub struct Form {
    /// Name of the form.
    pub name: &'static str,
    prefix: Vec<u8>,
    unit: Vec<u8>,
}

/// What became of a connection.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Time until the peer closed it.
    pub open: Duration,
    /// Number of bytes that the operating system took.
    pub sent: u64,
}

impl Form {
    /// Returns the forms of a client over HTTP/1.1. `head` begins the request of those that have a
    /// body, without its framing.
    pub fn http1(head: &str) -> Vec<Form> {
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let form = |name, prefix: &str, unit: &str| Form {
            name,
            prefix: prefix.as_bytes().to_vec(),
            unit: unit.as_bytes().to_vec(),
        };
        vec![
            form("garbage", "", "\0garbage "),
            form("blank-lines", "", "\r\n"),
            form("request-line", "POST /", "a"),
            form("header-line", "POST / HTTP/1.1\r\nx: ", "a"),
            form("header-lines", "POST / HTTP/1.1\r\n", "x: a\r\n"),
            form("chunk-size", &chunked, "0"),
            form("chunk-extension", &format!("{chunked}1;"), "a"),
            form("trailers", &format!("{chunked}0\r\n"), "x: a\r\n"),
        ]
    }

    /// Returns the forms of frames of a connection over HTTP/2, after `prefix`.
    fn frames(prefix: &[u8]) -> Vec<Form> {
        let form = |name, unit| Form { name, prefix: prefix.to_vec(), unit };
        vec![
            form("ping", frame::encode(Kind::Ping, 0, 0, &[0; 8])),
            form("settings", frame::encode(Kind::Settings, 0, 0, &[])),
            form("unknown", frame::encode(Kind::Unknown, 0, 0, &[])),
            form("priority", frame::encode(Kind::Priority, 0, 1, &[0, 0, 0, 3, 0])),
        ]
    }

    /// Returns the forms of a client over HTTP/2. Those that need one send a call of `path`.
    pub fn http2_client(path: &str) -> Vec<Form> {
        let start = [frame::PREFACE, &frame::encode(Kind::Settings, 0, 0, &[])].concat();
        let fields = frame::fields(&[
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "a"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ]);
        let with_call =
            [start.clone(), frame::encode(Kind::Headers, frame::END_HEADERS, 1, &fields)].concat();
        let part = [start.clone(), frame::encode(Kind::Headers, 0, 1, &fields)].concat();
        let mut forms = Form::frames(&start);
        forms.extend([
            Form {
                name: "empty-data",
                prefix: with_call,
                unit: frame::encode(Kind::Data, 0, 1, &[]),
            },
            Form {
                name: "continuation",
                prefix: part,
                unit: frame::encode(Kind::Continuation, 0, 1, &frame::fields(&[("x", "a")])),
            },
            Form { name: "preface", prefix: Vec::new(), unit: b"PRI * HTTP/2.0\r\n".to_vec() },
        ]);
        forms
    }

    /// Returns the forms of a server over HTTP/2, which it sends once it has a call.
    pub fn http2_server() -> Vec<Form> {
        let fields = frame::fields(&[(":status", "200"), ("content-type", "application/grpc")]);
        let response = frame::encode(Kind::Headers, frame::END_HEADERS, 1, &fields);
        let mut forms = Form::frames(&[]);
        forms.extend([
            Form {
                name: "empty-data",
                prefix: response,
                unit: frame::encode(Kind::Data, 0, 1, &[]),
            },
            Form {
                name: "continuation",
                prefix: frame::encode(Kind::Headers, 0, 1, &fields),
                unit: frame::encode(Kind::Continuation, 0, 1, &frame::fields(&[("x", "a")])),
            },
        ]);
        forms
    }

    /// Sends the form to an address until the peer closes the connection, for `limit` at the most.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established.
    pub async fn send(&self, address: SocketAddr, limit: Duration) -> std::io::Result<End> {
        let stream = TcpStream::connect(address).await?;
        Ok(self.write(stream, limit, Peer::Server).await)
    }

    /// Accepts a connection over HTTP/2 and sends the form once it has a call, until the peer closes
    /// the connection, for `limit` at the most.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no connection, or if it breaks before the call.
    pub async fn serve(&self, listener: &TcpListener, limit: Duration) -> std::io::Result<End> {
        let (mut stream, _) = listener.accept().await?;
        let settings = frame::encode(Kind::Settings, 0, 0, &[]);
        let ack = frame::encode(Kind::Settings, frame::ACK, 0, &[]);
        stream.write_all(&[settings, ack].concat()).await?;
        stream.read_exact(&mut [0; frame::PREFACE.len()]).await?;
        loop {
            let (kind, ..) = frame::read(&mut stream).await?;
            if kind == Kind::Headers as u8 {
                return Ok(self.write(stream, limit, Peer::Client).await);
            }
        }
    }

    async fn write(&self, stream: TcpStream, limit: Duration, peer: Peer) -> End {
        let begun = Instant::now();
        let mut sent = 0;
        let (mut reader, mut writer) = stream.into_split();
        let block = self.unit.repeat(BLOCK.div_ceil(self.unit.len()));
        let (answers, mut next_answer) = mpsc::unbounded_channel::<Vec<u8>>();
        let write = async {
            writer.write_all(&self.prefix).await?;
            loop {
                while let Ok(answer) = next_answer.try_recv() {
                    writer.write_all(&answer).await?;
                }
                writer.write_all(&block).await?;
                sent += block.len() as u64;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let read = async {
            match peer {
                Peer::Server => while reader.read(&mut [0; 1_024]).await? > 0 {},
                // A client closes a connection on which its probes are not answered.
                Peer::Client => loop {
                    let (kind, flags, payload) = frame::read(&mut reader).await?;
                    if (kind, flags) == (Kind::Ping as u8, 0) {
                        let answer = frame::encode(Kind::Ping, frame::ACK, 0, &payload);
                        answers.send(answer).unwrap_or_default();
                    }
                },
            }
            Ok(())
        };
        // A peer that closes the connection ends the flood.
        let ended = tokio::time::timeout(limit, async {
            let ended: std::io::Result<()> = tokio::select! {
                ended = read => ended,
                ended = write => ended,
            };
            ended.ok()
        });
        ended.await.ok();
        End { open: begun.elapsed(), sent }
    }
}

/// What is at the other end of a connection.
#[derive(Debug, Clone, Copy)]
enum Peer {
    Client,
    Server,
}
