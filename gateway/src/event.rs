//! Cuts a series of events into whole ones.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Longest event that is put together; a longer one is passed on in pieces
/// and cannot be resumed.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Puts events together. What it hands out ends with an event, so that another
/// backend server can go on behind it.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<Arc<str>>,
}

impl Splitter {
    /// Takes bytes; returns the whole events that they complete.
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        self.buffer.extend_from_slice(data);
        let end = match last_blank_line(&self.buffer) {
            Some(end) => end,
            None if self.buffer.len() > MAX_EVENT_BYTES => self.buffer.len(),
            None => return None,
        };
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    /// What is left when the stream has ended.
    pub fn finish(&mut self) -> Option<Bytes> {
        let buffer = self.buffer.split().freeze();
        (!buffer.is_empty()).then_some(buffer)
    }

    /// Drops the part of an event that was broken off.
    pub fn discard(&mut self) {
        self.buffer.clear();
    }
}

/// End of the last blank line.
fn last_blank_line(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}

/// The id that the last `id:` line gives.
fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().into())
}
