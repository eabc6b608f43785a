//! Server-sent events: the boundaries between them, and their ids.
//!
//! Lines end with LF, CR or CRLF. A blank line ends an event. A line that begins with a colon is a
//! comment and belongs to no event.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Media type of event streams.
const MEDIA_TYPE: &[u8] = b"text/event-stream";

/// Maximum size of an event that is reassembled. A longer event is passed on in pieces, and its
/// stream cannot be resumed within it.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// What the headers of a response declare its body to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Media {
    /// An event stream.
    Events,
    /// Something else.
    Other,
    /// No media type is declared.
    Unknown,
}

impl Media {
    /// Reads the media type.
    pub fn of(headers: &http::HeaderMap) -> Media {
        let Some(value) = headers.get(http::header::CONTENT_TYPE) else { return Media::Unknown };
        let name = value.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
        match name.trim_ascii().eq_ignore_ascii_case(MEDIA_TYPE) {
            true => Media::Events,
            false => Media::Other,
        }
    }
}

/// Where the received part of an event stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Position {
    /// Before the first event.
    Start,
    /// After an event, and before the next one.
    Between,
    /// Inside an event or a line.
    Inside,
}

/// Returns where a whole body ends if it is read as an event stream.
pub fn position(body: &[u8]) -> Position {
    let mut scanner = Scanner::default();
    scanner.push(body);
    scanner.position()
}

/// Finds the boundaries between events in a byte stream.
#[derive(Debug, Default)]
pub struct Scanner {
    line: Line,
    /// Whether the last byte was a CR, which a LF may complete.
    after_cr: bool,
    /// Whether a field of an event has begun since the last boundary.
    in_event: bool,
    /// Whether an event has ended.
    any: bool,
}

/// What the current line is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    /// The line has no byte yet.
    #[default]
    Blank,
    Comment,
    Field,
}

/// What a byte completes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Nothing,
    /// A line that is a field of an event.
    Field,
    /// An event.
    Event,
    /// A blank line or a comment between events.
    Separator,
}

impl Scanner {
    fn step(&mut self, byte: u8) -> Step {
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match byte {
            b'\n' if after_cr => {
                if self.in_event {
                    Step::Nothing
                } else {
                    Step::Separator
                }
            }
            b'\n' | b'\r' => match std::mem::take(&mut self.line) {
                Line::Field => Step::Field,
                Line::Blank if self.in_event => {
                    (self.in_event, self.any) = (false, true);
                    Step::Event
                }
                Line::Comment if self.in_event => Step::Nothing,
                Line::Blank | Line::Comment => Step::Separator,
            },
            b':' if self.line == Line::Blank => {
                self.line = Line::Comment;
                Step::Nothing
            }
            _ if self.line == Line::Blank => {
                (self.line, self.in_event) = (Line::Field, true);
                Step::Nothing
            }
            _ => Step::Nothing,
        }
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, data: &[u8]) {
        for byte in data {
            self.step(*byte);
        }
    }

    /// Returns where the bytes added so far end.
    pub fn position(&self) -> Position {
        match (self.in_event || self.line != Line::Blank, self.any) {
            (true, _) => Position::Inside,
            (false, true) => Position::Between,
            (false, false) => Position::Start,
        }
    }

    /// Continues after an interrupted event with the next event.
    fn skip_event(&mut self) {
        *self = Scanner { any: self.any, ..Scanner::default() };
    }
}

/// Reassembles events. Its output ends between events, so that another backend server can resume
/// the stream from there.
#[derive(Debug)]
pub struct Splitter {
    scanner: Scanner,
    buffer: BytesMut,
    /// Start of the current line in the buffer, unless it has been passed on.
    line_start: Option<usize>,
    /// The event that has not ended yet.
    event: Event,
    first_id: Option<Arc<str>>,
    last_id: Option<Arc<str>>,
    /// Id after which the stream was last resumed.
    resumed_after: Option<Arc<str>>,
    /// Whether a resumed stream went back to an event that was output before.
    repeated: bool,
    /// Whether the output ends inside an event.
    piece: bool,
    /// Whether the output ends with something after which no stream can be resumed: an event
    /// without an id, or a piece of one.
    unmarked: bool,
}

#[derive(Debug, Default)]
struct Event {
    id: Option<Arc<str>>,
    has_data: bool,
}

impl Default for Splitter {
    fn default() -> Splitter {
        Splitter {
            scanner: Scanner::default(),
            buffer: BytesMut::new(),
            line_start: Some(0),
            event: Event::default(),
            first_id: None,
            last_id: None,
            resumed_after: None,
            repeated: false,
            piece: false,
            unmarked: false,
        }
    }
}

impl Splitter {
    /// Adds bytes, and returns the events that they complete, up to one that was output before the
    /// stream was resumed. See [`Splitter::has_repeated`].
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        let begin = self.buffer.len();
        self.buffer.extend_from_slice(data);
        let mut end = 0;
        for index in begin..self.buffer.len() {
            match self.scanner.step(self.buffer[index]) {
                Step::Nothing => {}
                Step::Field => self.end_field(index),
                Step::Event if self.repeats() => {
                    self.repeated = true;
                    break;
                }
                Step::Event => {
                    self.end_event();
                    end = index + 1;
                }
                Step::Separator => end = index + 1,
            }
            if matches!(self.buffer[index], b'\n' | b'\r') {
                self.line_start = Some(index + 1);
            }
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES && self.repeats() {
            self.repeated = true;
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES && !self.repeated {
            end = self.buffer.len();
            (self.piece, self.unmarked) = (true, true);
        }
        self.line_start = self.line_start.and_then(|start| start.checked_sub(end));
        (end > 0).then(|| self.buffer.split_to(end).freeze())
    }

    fn end_field(&mut self, index: usize) {
        let Some(start) = self.line_start else {
            self.event.has_data = true;
            return;
        };
        let line = &self.buffer[start..index];
        if let Some(id) = line.strip_prefix(b"id:") {
            // The id is sent in a header, whose parsers trim blanks and tabs. The server would not know
            // an id that has lost other characters, and might start the stream again.
            let id = std::str::from_utf8(id).ok().map(|id| id.trim_matches([' ', '\t']));
            self.event.id = id.filter(|id| !id.is_empty()).map(Arc::from);
        }
        self.event.has_data |= line.starts_with(b"data");
    }

    fn end_event(&mut self) {
        self.piece = false;
        let event = std::mem::take(&mut self.event);
        match event.id {
            Some(id) => {
                self.first_id.get_or_insert_with(|| id.clone());
                (self.last_id, self.unmarked) = (Some(id), false);
            }
            None => self.unmarked |= event.has_data,
        }
    }

    /// Returns whether the current event has an id that was output before the stream was resumed. Ids
    /// that are numbers rise within a stream. Of other ids, the first and the last one are compared.
    fn repeats(&self) -> bool {
        let (Some(id), Some(after)) = (&self.event.id, &self.resumed_after) else { return false };
        match (id.parse::<u64>(), after.parse::<u64>()) {
            (Ok(id), Ok(after)) => id <= after,
            _ => id == after || Some(id) == self.first_id.as_ref(),
        }
    }

    /// Returns whether a resumed stream went back to an event that was output before it was resumed.
    /// Nothing is output from there on.
    pub fn has_repeated(&self) -> bool {
        self.repeated
    }

    /// Returns where the received part of the stream ends.
    pub fn position(&self) -> Position {
        self.scanner.position()
    }

    /// Returns whether the output ends between events.
    pub fn is_between(&self) -> bool {
        !self.piece
    }

    /// Returns whether another backend server can resume the stream exactly after the output, or
    /// repeat it if there was none.
    pub fn can_resume(&self) -> bool {
        !self.unmarked
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    /// Returns the remaining bytes when the stream has ended.
    pub fn finish(&mut self) -> Option<Bytes> {
        let buffer = self.buffer.split().freeze();
        (!buffer.is_empty()).then_some(buffer)
    }

    /// Discards the incomplete event of a broken stream, which is then resumed after the output.
    pub fn discard(&mut self) {
        self.resumed_after = self.last_id.clone();
        self.buffer.clear();
        self.line_start = Some(0);
        self.event = Event::default();
        self.scanner.skip_event();
    }
}
