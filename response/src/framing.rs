//! How the end of a response's body is marked (RFC 9112, section 6.3).
//!
//! Requests are sent without `TE`, so that a server may use no transfer coding except `chunked`. Any
//! other coding leaves a body that cannot be decoded. A length beside a coding, or two lengths,
//! describe two different bodies. Such a head gives no framing, and its response is of no use.
//!
//! A server that stops inside a line of a head and then sends another response on the same connection
//! leaves one head with the status and some fields of the first response, and with the framing of the
//! second one. Such a line contains a status line, by which it is recognized.
//!
//! A server's framing applies to its own connection. The response to the client has a framing of its
//! own, without these fields; see [`remove_fields`].

use std::fmt;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode, Version};
use hyper::ext::ReasonPhrase;

/// Framing of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// The body has a length.
    Length,
    /// The body comes in chunks.
    Chunked,
    /// The body ends when the server closes the connection.
    Close,
}

/// Why the head of a response does not determine where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body has a transfer coding that is not `chunked` alone, or one that the version or the
    /// status does not allow.
    #[error("unsupported transfer coding")]
    Coding,
    /// The length is not a decimal number of bytes below 2^64, differs from another one, or is
    /// above zero for a status without a body.
    #[error("invalid length")]
    Length,
    /// The body has a length and a transfer coding.
    #[error("both a length and a transfer coding")]
    Ambiguous,
    /// The status is not one of a final response. No request asks for another protocol.
    #[error("not a status of a final response")]
    Status,
    /// A line contains the status line of another response, which has followed the line's beginning.
    #[error("cut short by another response")]
    Merged,
}

impl Framing {
    /// Reads the framing of the response to a request with this method.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the head contradicts itself, needs an unsupported coding, has an
    /// invalid status, or consists of parts of two heads.
    pub fn of(method: &Method, head: &http::response::Parts) -> Result<Framing, Error> {
        if !(200..600).contains(&head.status.as_u16()) {
            return Err(Error::Status);
        }
        let reason = head.extensions.get::<ReasonPhrase>().map_or(&b""[..], ReasonPhrase::as_bytes);
        let mut values = head.headers.values().map(http::HeaderValue::as_bytes);
        if contains_status_line(reason) || values.any(contains_status_line) {
            return Err(Error::Merged);
        }
        let length = length(&head.headers)?;
        let chunked = is_chunked(&head.headers)?;
        if chunked && length.is_some() {
            return Err(Error::Ambiguous);
        }
        if chunked && head.version < Version::HTTP_11 {
            return Err(Error::Coding);
        }
        match (head.status, length) {
            (StatusCode::NO_CONTENT, _) if chunked => return Err(Error::Coding),
            (StatusCode::NO_CONTENT, Some(1..)) => return Err(Error::Length),
            // The fields describe the response to a GET request.
            (StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED, _) => return Ok(Framing::Empty),
            _ if *method == Method::HEAD => return Ok(Framing::Empty),
            _ => {}
        }
        Ok(match length {
            Some(_) => Framing::Length,
            None if chunked => Framing::Chunked,
            None => Framing::Close,
        })
    }

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Empty => "empty",
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        }
    }
}

/// Removes the fields that frame the body of a response to a request with this method on the server's
/// connection. The length in a response to a HEAD request describes a body that is not sent, and is
/// kept.
pub fn remove_fields(method: &Method, headers: &mut HeaderMap) {
    headers.remove(TRANSFER_ENCODING);
    if *method != Method::HEAD {
        headers.remove(CONTENT_LENGTH);
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Returns whether a line contains `HTTP/`, a version and a status.
fn contains_status_line(line: &[u8]) -> bool {
    const FORM: &[u8] = b"HTTP/0.0 000";
    let matches = |(form, byte): (&u8, &u8)| match form {
        b'0' => byte.is_ascii_digit(),
        _ => byte == form,
    };
    line.windows(FORM.len()).any(|part| FORM.iter().zip(part).all(matches))
}

/// Returns whether the body is in chunks.
fn is_chunked(headers: &HeaderMap) -> Result<bool, Error> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    let chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
    if chunked && codings.next().is_none() { Ok(true) } else { Err(Error::Coding) }
}

/// Returns the length of the body in bytes. It may be repeated, in one field or in several.
fn length(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let mut length = None;
    let values = headers.get_all(CONTENT_LENGTH).iter();
    for text in values.flat_map(|value| value.as_bytes().split(|byte| *byte == b',')) {
        let next = parse(text.trim_ascii())?;
        if *length.get_or_insert(next) != next {
            return Err(Error::Length);
        }
    }
    Ok(length)
}

fn parse(digits: &[u8]) -> Result<u64, Error> {
    // The standard library's parser accepts a sign.
    if !digits.iter().all(u8::is_ascii_digit) {
        return Err(Error::Length);
    }
    std::str::from_utf8(digits).ok().and_then(|text| text.parse().ok()).ok_or(Error::Length)
}
