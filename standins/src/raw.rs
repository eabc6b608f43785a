//! Responses that are written byte by byte, with any framing and any end.
//!
//! Headers of a request select one:
//!
//! - `x-standin-framing: length|chunked|close|http-1.0`: how the end of the body is marked. With
//!   `close` and `http-1.0`, only the end of the connection marks it.
//! - `x-standin-cut: PLACE`: where the response ends early: `before-head`, `in-head`, and within
//!   the piece that `x-standin-break` numbers, which is the first one by default: `before`, `in-line`,
//!   `after-line` (before the blank line) or `after`. Only the first attempt is cut.
//! - `x-standin-end: mark|close|reset|silence`: what follows there: the end mark of the framing,
//!   an orderly close, which is the default, a reset, or nothing until the peer disconnects.
//! - `x-standin-fields: NAME=VALUE;NAME=VALUE`: fields to add to the head.
//! - `x-standin-head: STATUS|LINE|LINE`: a head that is written as given, with `%XX` for a byte. The
//!   status line replaces that of the response unless it is empty, and the lines replace the fields
//!   that the framing needs. Only the first attempt has it.
//! - `x-standin-head-cut: N`: the first attempt's head ends after N bytes, or -N bytes before its end,
//!   and `x-standin-end` follows.
//! - `x-standin-head-lines: lf`: a line feed ends each line of the head.
//! - `x-standin-before: TEXT` and `x-standin-then: TEXT`: bytes before the head, and after one that
//!   `x-standin-head-cut` cuts, with `%XX` for a byte. Only the first attempt has them.
//! - `x-standin-body-cut: N`: the first attempt's response ends N bytes behind its head, as they are on
//!   the connection, with `x-standin-then` and `x-standin-end`. The pieces wait for no passes.
//! - `x-standin-trailer: LINE`: a trailer of a response in chunks.
//! - `x-standin-padding: FIRST,NEXT`: bytes that pad the data of each event, of the first attempt
//!   and of all others, instead of `x-standin-event-bytes`.
//! - `x-standin-next: KIND`: how all attempts but the first contradict the first one: `status-204`,
//!   `status-206`, `media` (plain text), `coding`, `from-start` (the whole stream again), `repeat`
//!   (the last event again), or `back` (an id that the first attempt sent follows the next event).
//!
//! The connection is closed after each response. A response that is whole announces it, unless its
//! fields say otherwise.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Heads, as `x-standin-head` takes them, that are invalid or don't determine the body, whatever its
/// framing is.
pub const INVALID_HEADS: [&str; 12] = [
    "|transfer-encoding: chunked|content-length: 7",
    "|transfer-encoding: gzip, chunked",
    "|transfer-encoding: chunked, gzip",
    "|transfer-encoding: gzip",
    "|transfer-encoding: identity|content-length: 7",
    "|content-length: 7|content-length: 8",
    "|content-length: seven",
    "|no field",
    "|na me: blank",
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 999 High",
];

/// How the end of the body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    Close,
    Http10,
}

/// Where a response ends early, within the piece of that number if it is inside the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    BeforeHead,
    InHead,
    Before,
    InLine,
    AfterLine,
    After,
}

/// What follows where a response ends early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Mark,
    Close,
    Reset,
    Silence,
}

/// How an attempt contradicts the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contradiction {
    /// Status 204, without a body.
    NoContent,
    /// Status 206.
    PartialContent,
    /// Another media type.
    Media,
    /// A content coding.
    Coding,
    /// The whole stream from its start.
    FromStart,
    /// The last event again.
    Repeat,
    /// The next event, and then one that the first attempt sent.
    Back,
}

impl Contradiction {
    /// Reads how all attempts but the first contradict the first one.
    pub fn read(headers: &http::HeaderMap) -> Option<Contradiction> {
        match text(headers, "x-standin-next") {
            "status-204" => Some(Contradiction::NoContent),
            "status-206" => Some(Contradiction::PartialContent),
            "media" => Some(Contradiction::Media),
            "coding" => Some(Contradiction::Coding),
            "from-start" => Some(Contradiction::FromStart),
            "repeat" => Some(Contradiction::Repeat),
            "back" => Some(Contradiction::Back),
            _ => None,
        }
    }

    /// Returns the numbers of the events of a stream that was resumed at `next`, up to `last`.
    pub fn events(contradiction: Option<Contradiction>, next: u64, last: u64) -> Vec<u64> {
        match contradiction {
            Some(Contradiction::NoContent) => Vec::new(),
            Some(Contradiction::FromStart) => (1..=last).collect(),
            Some(Contradiction::Repeat) => (next - 1..=last).collect(),
            Some(Contradiction::Back) => [next, 1].into_iter().chain(next + 1..=last).collect(),
            _ => (next..=last).collect(),
        }
    }
}

/// Returns the fields to add to the head.
pub fn fields(headers: &http::HeaderMap) -> impl Iterator<Item = (&str, &str)> {
    text(headers, "x-standin-fields").split(';').filter_map(|field| field.split_once('='))
}

/// Returns the number of bytes that pad the data of each event, if it depends on the attempt.
pub fn padding(headers: &http::HeaderMap, first: bool) -> Option<usize> {
    let (one, next) = text(headers, "x-standin-padding").split_once(',')?;
    if first { one } else { next }.parse().ok()
}

/// Status line and lines of a head that are written as given.
#[derive(Debug, Clone)]
struct Head {
    status: Vec<u8>,
    lines: Vec<Vec<u8>>,
}

impl Head {
    /// Reads the head from the headers of a request, if they have one.
    fn read(headers: &http::HeaderMap) -> Option<Head> {
        let text = text(headers, "x-standin-head");
        let mut lines = (!text.is_empty()).then(|| text.split('|').map(decode))?;
        Some(Head { status: lines.next().unwrap_or_default(), lines: lines.collect() })
    }
}

/// Replaces `%XX` by the byte with that hexadecimal number.
fn decode(text: &str) -> Vec<u8> {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (number, rest) = part.split_at(2);
        bytes.push(u8::from_str_radix(number, 16).expect("two hexadecimal digits"));
        bytes.extend_from_slice(rest.as_bytes());
    }
    bytes
}

/// Bytes around a head, and where the head ends early.
#[derive(Debug, Clone)]
struct Frame {
    before: Vec<u8>,
    /// Place of the cut, from the start of the head or, below zero, from its end; what is written
    /// there, and what follows.
    cut: Option<(isize, Vec<u8>, End)>,
    /// The same for the body.
    body_cut: Option<(usize, Vec<u8>, End)>,
    line_feeds: bool,
}

impl Frame {
    fn read(headers: &http::HeaderMap, end: End) -> Frame {
        let cut = text(headers, "x-standin-head-cut").parse().ok();
        let body_cut = text(headers, "x-standin-body-cut").parse().ok();
        let then = || decode(text(headers, "x-standin-then"));
        Frame {
            before: decode(text(headers, "x-standin-before")),
            cut: cut.map(|place| (place, then(), end)),
            body_cut: body_cut.map(|place| (place, then(), end)),
            line_feeds: text(headers, "x-standin-head-lines") == "lf",
        }
    }

    /// Returns the head with the bytes before it, up to the cut.
    fn apply(&self, head: Vec<u8>) -> Vec<u8> {
        let mut head = head;
        if self.line_feeds {
            head.retain(|byte| *byte != b'\r');
        }
        if let Some((place, then, _)) = &self.cut {
            let length = head.len();
            let place = place.checked_rem_euclid(length as isize).unwrap_or(0);
            head.truncate(place as usize);
            head.extend_from_slice(then);
        }
        [&*self.before, &head].concat()
    }
}

/// Framing, head and end of a response.
#[derive(Debug, Clone)]
pub struct Script {
    framing: Framing,
    head: Option<Head>,
    frame: Option<Box<Frame>>,
    trailer: Box<[u8]>,
    cut: Option<(Place, usize, End)>,
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

impl Script {
    /// Reads the script from the headers of a request, if they have one. `first` is whether this is
    /// the first attempt.
    pub fn read(headers: &http::HeaderMap, first: bool) -> Option<Script> {
        let framing = match text(headers, "x-standin-framing") {
            "length" => Framing::Length,
            "chunked" => Framing::Chunked,
            "close" => Framing::Close,
            "http-1.0" => Framing::Http10,
            _ => return None,
        };
        let place = match text(headers, "x-standin-cut") {
            "before-head" => Some(Place::BeforeHead),
            "in-head" => Some(Place::InHead),
            "before" => Some(Place::Before),
            "in-line" => Some(Place::InLine),
            "after-line" => Some(Place::AfterLine),
            "after" => Some(Place::After),
            _ => None,
        };
        let end = match text(headers, "x-standin-end") {
            "mark" => End::Mark,
            "reset" => End::Reset,
            "silence" => End::Silence,
            _ => End::Close,
        };
        let place = place.filter(|_| first);
        let number = text(headers, "x-standin-break").parse().unwrap_or(1);
        let head = Head::read(headers).filter(|_| first);
        let frame = first.then(|| Box::new(Frame::read(headers, end)));
        let trailer = decode(text(headers, "x-standin-trailer")).into();
        let cut = place.map(|place| (place, number, end));
        Some(Script { framing, head, frame, trailer, cut })
    }

    /// Returns whether the peer receives the head.
    pub fn delivers_head(&self) -> bool {
        !matches!(self.cut, Some((Place::BeforeHead | Place::InHead, _, _)))
    }

    /// Returns whether the head is written as given or ends early, so that the peer may not use its
    /// fields.
    pub fn has_given_head(&self) -> bool {
        self.head.is_some() || self.frame.as_ref().is_some_and(|frame| frame.cut.is_some())
    }

    /// Returns whether the response is written to its end, with the head of its framing.
    fn is_whole(&self) -> bool {
        let cut_off = |frame: &Frame| frame.cut.is_some() || frame.body_cut.is_some();
        let cut = self.cut.is_some() || self.frame.as_deref().is_some_and(cut_off);
        !cut && self.head.is_none()
    }

    /// Writes a response with these pieces of the body, the first of which has the number `first`.
    /// Each piece waits for a pass, if there are passes.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer has disconnected.
    pub async fn play(
        self,
        mut stream: TcpStream,
        head: &http::response::Parts,
        (first, pieces): (usize, Vec<Bytes>),
        mut passes: Option<watch::Receiver<u64>>,
    ) -> std::io::Result<()> {
        let mut head = self.serialize(head, pieces.iter().map(Bytes::len).sum());
        if let Some(frame) = &self.frame {
            head = frame.apply(head);
            if let Some((.., end)) = frame.cut {
                stream.write_all(&head).await?;
                return finish(stream, end).await;
            }
            if let Some((place, then, end)) = &frame.body_cut {
                let mut body: Vec<u8> =
                    pieces.iter().flat_map(|piece| self.encode(piece)).collect();
                body.extend(self.mark());
                body.truncate(*place);
                stream.write_all(&[&*head, &body, then].concat()).await?;
                return finish(stream, *end).await;
            }
        }
        match self.cut {
            Some((Place::BeforeHead, _, end)) => return finish(stream, end).await,
            Some((Place::InHead, _, end)) => {
                stream.write_all(&head[..head.len() / 2]).await?;
                return finish(stream, end).await;
            }
            _ => stream.write_all(&head).await?,
        }
        for (index, piece) in pieces.iter().enumerate() {
            if let Some(passes) = &mut passes {
                passes.changed().await.ok();
            }
            let cut = self.cut.filter(|(_, number, _)| *number == first + index);
            let Some((place, _, end)) = cut else {
                self.write(&mut stream, piece).await?;
                continue;
            };
            let length = match place {
                Place::InLine => piece.len() * 2 / 3,
                Place::AfterLine => piece.len() - 1,
                Place::After => piece.len(),
                Place::BeforeHead | Place::InHead | Place::Before => 0,
            };
            self.write(&mut stream, &piece[..length]).await?;
            if end == End::Mark {
                self.write_mark(&mut stream).await?;
            }
            return finish(stream, end).await;
        }
        self.write_mark(&mut stream).await?;
        finish(stream, End::Close).await
    }

    fn serialize(&self, head: &http::response::Parts, length: usize) -> Vec<u8> {
        let version = if self.framing == Framing::Http10 { "1.0" } else { "1.1" };
        let given = self.head.as_ref().map(|head| head.status.clone());
        let status = format!("HTTP/{version} {}", head.status).into_bytes();
        let mut lines = vec![given.filter(|status| !status.is_empty()).unwrap_or(status)];
        for (name, value) in &head.headers {
            lines.push([name.as_str().as_bytes(), b": ", value.as_bytes()].concat());
        }
        match (&self.head, self.framing) {
            (Some(head), _) => lines.extend(head.lines.iter().cloned()),
            (None, Framing::Length) => lines.push(format!("content-length: {length}").into()),
            (None, Framing::Chunked) => lines.push(b"transfer-encoding: chunked".to_vec()),
            (None, Framing::Close | Framing::Http10) => {}
        }
        // A peer that keeps the connection may send a request on it before the close arrives, and
        // loses that request.
        if self.is_whole() && !head.headers.contains_key(http::header::CONNECTION) {
            lines.push(b"connection: close".to_vec());
        }
        lines.push(Vec::new());
        lines.into_iter().flat_map(|line| [line, b"\r\n".to_vec()].concat()).collect()
    }

    /// Returns a piece of the body as it is on the connection.
    fn encode(&self, data: &[u8]) -> Vec<u8> {
        if self.framing != Framing::Chunked || data.is_empty() {
            return data.to_vec();
        }
        let size = format!("{:x}\r\n", data.len());
        [size.as_bytes(), data, b"\r\n"].concat()
    }

    /// Returns what marks the end of the body.
    fn mark(&self) -> Vec<u8> {
        match self.framing {
            Framing::Chunked if self.trailer.is_empty() => b"0\r\n\r\n".to_vec(),
            Framing::Chunked => [b"0\r\n", &*self.trailer, b"\r\n\r\n"].concat(),
            Framing::Length | Framing::Close | Framing::Http10 => Vec::new(),
        }
    }

    async fn write(&self, stream: &mut TcpStream, data: &[u8]) -> std::io::Result<()> {
        stream.write_all(&self.encode(data)).await
    }

    async fn write_mark(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&self.mark()).await
    }
}

async fn finish(mut stream: TcpStream, end: End) -> std::io::Result<()> {
    match end {
        End::Mark | End::Close => stream.shutdown().await,
        End::Reset => socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
        End::Silence => {
            while stream.read(&mut [0; 64]).await? > 0 {}
            Ok(())
        }
    }
}
