//! A client's connection, which is kept for several requests.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http;

/// Longest time that a client waits for the next bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// What a client has of an answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub stamp: Option<String>,
    pub body: String,
    /// Whether the body has come to the end that its framing marks.
    pub complete: bool,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Client { reader: BufReader::new(writer.try_clone()?), writer })
    }

    /// Sends a request whole, in one write.
    pub fn send(&mut self, method: &str, path: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = if method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let text = format!("{method} {path} HTTP/1.1\r\n{headers}{length}\r\n{body}");
        self.writer.write_all(text.as_bytes())
    }

    /// Sends a request whose last byte follows at `rest`.
    pub fn send_torn(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        rest: Instant,
    ) -> io::Result<()> {
        let length = body.len();
        let (begin, end) = body.split_at(length - 1);
        let text =
            format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{begin}");
        self.writer.write_all(text.as_bytes())?;
        std::thread::sleep(rest.saturating_duration_since(Instant::now()));
        self.writer.write_all(end.as_bytes())
    }

    /// Reads an answer. An error means that the connection ended without a head.
    pub fn read(&mut self) -> io::Result<Answer> {
        let head = http::read_head(&mut self.reader)?;
        let head = head.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed"))?;
        let (status, stamp) = (head.status(), head.get("x-server-stamp").map(str::to_owned));
        let (mut body, mut complete) = (Vec::new(), true);
        if head.get("transfer-encoding").is_some() {
            loop {
                match http::read_chunk(&mut self.reader) {
                    Ok(Some(chunk)) => body.extend(chunk),
                    Ok(None) => break,
                    Err(_) => {
                        complete = false;
                        break;
                    }
                }
            }
        } else {
            match http::read_body(&mut self.reader, &head) {
                Ok(whole) => body = whole,
                Err(_) => complete = false,
            }
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Answer { status, stamp, body, complete })
    }

    /// Returns whether bytes arrive within `time` although no request waits.
    pub fn has_stray_bytes(&mut self, time: Duration) -> io::Result<bool> {
        if !self.reader.buffer().is_empty() {
            return Ok(true);
        }
        self.writer.set_read_timeout(Some(time))?;
        let stray = self.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
        self.writer.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(stray)
    }
}
