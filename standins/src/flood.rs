//! Responses that go on without end and never become complete.
//!
//! `x-standin-flood: FORM` selects what is repeated until the peer closes the connection.
//! `x-standin-flood-at: SERVER` limits it to that server, and `x-standin-flood-rate: slow` sends a few
//! bytes at a time instead of [`BLOCK`] each millisecond.

use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Forms in the place of the head of a response.
pub const HEAD_FORMS: [&str; 5] =
    ["garbage", "status-line", "header-line", "header-lines", "interim"];
/// Forms after a head, none of which is a piece of a body.
pub const EMPTY_FORMS: [&str; 3] = ["chunk-size", "chunk-extension", "trailers"];
/// Forms that are pieces of a body.
pub const BODY_FORMS: [&str; 5] = ["body", "chunks", "error-body", "events", "comments"];
/// Forms after a whole response.
pub const EXTRA_FORMS: [&str; 2] = ["extra", "extra-response"];

/// Size of the writes at full speed, in bytes.
const BLOCK: usize = 16 * 1024;
/// Size of the writes at low speed, in bytes.
const SLOW_BLOCK: usize = 64;
/// Time for which a response goes on at the most.
const MAX_TIME: Duration = Duration::from_secs(20);

/// A response without end.
#[derive(Debug, Clone)]
pub struct Flood {
    prefix: String,
    unit: &'static str,
    slow: bool,
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

impl Flood {
    /// Reads the form of the response of `server` from the headers of a request, if they have one.
    pub fn read(headers: &http::HeaderMap, server: &str) -> Option<Flood> {
        let only = text(headers, "x-standin-flood-at");
        if !only.is_empty() && only != server {
            return None;
        }
        let (form, id) = (text(headers, "x-standin-flood"), text(headers, "x-attempt-id"));
        let slow = text(headers, "x-standin-flood-rate") == "slow";
        let head = |status: u16, fields: &str| {
            format!(
                "HTTP/1.1 {status} Status\r\nx-attempt-id: {id}\r\n\
                 x-server-stamp: {server}.{id}\r\n{fields}\r\n"
            )
        };
        let chunked = || head(200, "transfer-encoding: chunked\r\n");
        let events = || head(200, "content-type: text/event-stream\r\n");
        let (prefix, unit) = match form {
            "garbage" => (String::new(), "\0garbage "),
            "status-line" => ("HTTP/1.1 200 ".to_owned(), "O"),
            "header-line" => ("HTTP/1.1 200 OK\r\nx: ".to_owned(), "a"),
            "header-lines" => ("HTTP/1.1 200 OK\r\n".to_owned(), "x: a\r\n"),
            "interim" => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            "chunk-size" => (chunked(), "0"),
            "chunk-extension" => (chunked() + "1;", "a"),
            "trailers" => (chunked() + "0\r\n", "x: a\r\n"),
            "body" => (head(200, ""), "a"),
            "chunks" => (chunked(), "1\r\na\r\n"),
            "error-body" => (head(500, ""), "a"),
            "events" => (events(), "id: 1\ndata: a\n\n"),
            "comments" => (events(), ": a\n\n"),
            "extra" => (head(200, "content-length: 5\r\n") + "whole", "a"),
            "extra-response" => (
                head(200, "content-length: 5\r\n") + "whole",
                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            ),
            _ => return None,
        };
        Some(Flood { prefix, unit, slow })
    }

    /// Writes the response until the peer closes the connection, and returns the number of bytes
    /// that the operating system took.
    pub async fn play(self, mut stream: TcpStream) -> u64 {
        let mut sent = 0;
        // A peer that closes the connection ends the response.
        tokio::time::timeout(MAX_TIME, self.write(&mut stream, &mut sent)).await.ok();
        sent
    }

    async fn write(&self, stream: &mut TcpStream, sent: &mut u64) -> std::io::Result<()> {
        stream.write_all(self.prefix.as_bytes()).await?;
        let (size, pause) = if self.slow {
            (SLOW_BLOCK, Duration::from_millis(10))
        } else {
            (BLOCK, Duration::from_millis(1))
        };
        let block = self.unit.repeat(size.div_ceil(self.unit.len()));
        loop {
            stream.write_all(block.as_bytes()).await?;
            *sent += block.len() as u64;
            tokio::time::sleep(pause).await;
        }
    }
}
