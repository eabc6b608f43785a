//! HTTP/1.1 over blocking sockets: heads, bodies with a length or in chunks.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// Start line, split at blanks.
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

pub type Reader = BufReader<TcpStream>;

/// Reads a head, or `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut Reader) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if head.line.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.splitn(3, ' ').map(str::to_owned).collect();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; an empty one is the last.
pub fn read_chunk(reader: &mut Reader) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = String::new();
    reader.read_line(&mut end)?;
    Ok(chunk)
}

/// Reads a whole body by its length or chunks. A body with neither is empty.
pub fn read_body(reader: &mut Reader, head: &Head) -> io::Result<Vec<u8>> {
    if head.chunked() {
        let mut whole = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(whole);
            }
            whole.extend(chunk);
        }
    }
    let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes a response with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut whole = text.into_bytes();
    whole.extend_from_slice(body);
    stream.write_all(&whole)
}
