//! A client with one kept connection.

use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Head, Reader};

pub struct Client {
    writer: TcpStream,
    reader: Reader,
}

/// An answer as far as it arrived.
#[derive(Debug, Default)]
pub struct Answer {
    /// Status, or 0 if the connection ended before a head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub whole: bool,
    pub error: Option<io::Error>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(20)))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Client { writer, reader })
    }

    /// Sends a request with a whole body.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u32,
        body: &[u8],
    ) -> io::Result<()> {
        self.begin(method, path, id, deadline_ms, body.len())?;
        self.writer.write_all(body)
    }

    /// Sends the head of a request whose body follows.
    pub fn begin(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u32,
        length: usize,
    ) -> io::Result<()> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: ficu.example\r\nx-attempt-id: {id}\r\n\
             x-deadline-ms: {deadline_ms}\r\nx-api-key: n2ctnfzs989\r\ncontent-length: {length}\r\n\r\n"
        );
        self.writer.write_all(head.as_bytes())
    }

    /// Returns the connection, to send a part of a body.
    pub fn writer(&mut self) -> &mut TcpStream {
        &mut self.writer
    }

    /// Reads the answer to its end, or as far as it comes.
    pub fn read(&mut self) -> Answer {
        let mut answer = Answer::default();
        if let Err(error) = self.read_into(&mut answer) {
            answer.error = Some(error);
        }
        answer
    }

    fn read_into(&mut self, answer: &mut Answer) -> io::Result<()> {
        let Some(head) = http::read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        answer.status = head.status();
        answer.head = head;
        if answer.head.chunked() {
            loop {
                let chunk = http::read_chunk(&mut self.reader)?;
                if chunk.is_empty() {
                    break;
                }
                answer.body.extend(chunk);
            }
        } else {
            answer.body = http::read_body(&mut self.reader, &answer.head)?;
        }
        answer.whole = true;
        Ok(())
    }
}
