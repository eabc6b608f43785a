//! Frames of HTTP/2 (RFC 9113), written byte by byte.

use tokio::io::{AsyncRead, AsyncReadExt as _};

/// What a client sends before its first frame.
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Type of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A piece of a body.
    Data = 0,
    /// The head of a message.
    Headers = 1,
    /// Priority of a stream.
    Priority = 2,
    /// Parameters of the connection.
    Settings = 4,
    /// A probe.
    Ping = 6,
    /// The rest of a head.
    Continuation = 9,
    /// A type without a meaning, which is ignored.
    Unknown = 0xfa,
}

/// Flag of a head whose fields are complete.
pub const END_HEADERS: u8 = 4;
/// Flag of settings that were received, and of the answer to a probe.
pub const ACK: u8 = 1;
/// Length of the head of a frame, in bytes.
const HEAD_LENGTH: usize = 9;

/// Returns a frame of a stream, or of the connection if `stream` is 0.
pub fn encode(kind: Kind, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    let head = [&length[1..], &[kind as u8, flags], &stream.to_be_bytes()].concat();
    [&head, payload].concat()
}

/// Reads a frame. Returns its type, flags and payload.
///
/// # Errors
///
/// Returns an error if the connection ends before.
pub async fn read(reader: &mut (impl AsyncRead + Unpin)) -> std::io::Result<(u8, u8, Vec<u8>)> {
    let mut head = [0; HEAD_LENGTH];
    reader.read_exact(&mut head).await?;
    let [high, middle, low, kind, flags, ..] = head;
    let mut payload = vec![0; u32::from_be_bytes([0, high, middle, low]) as usize];
    reader.read_exact(&mut payload).await?;
    Ok((kind, flags, payload))
}

/// Returns the fields of a head, without compression.
pub fn fields(fields: &[(&str, &str)]) -> Vec<u8> {
    let text = |text: &str| [&[text.len() as u8], text.as_bytes()].concat();
    // A literal without indexing, with a new name.
    fields.iter().flat_map(|(name, value)| [vec![0], text(name), text(value)].concat()).collect()
}
