//! How the end of a response's body is marked (RFC 9112, section 6.3).

use std::fmt;

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

impl Framing {
    /// Returns the framing of the response to a request with this method.
    pub fn of(method: &http::Method, head: &http::response::Parts) -> Framing {
        let bodyless =
            matches!(head.status, http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED);
        if bodyless || head.status.is_informational() || *method == http::Method::HEAD {
            return Framing::Empty;
        }
        // The transfer coding takes precedence over a length.
        if let Some(coding) =
            head.headers.get_all(http::header::TRANSFER_ENCODING).iter().next_back()
        {
            let last = coding.as_bytes().rsplit(|byte| *byte == b',').next().unwrap_or_default();
            let chunked = last.trim_ascii().eq_ignore_ascii_case(b"chunked");
            return if chunked { Framing::Chunked } else { Framing::Close };
        }
        match head.headers.contains_key(http::header::CONTENT_LENGTH) {
            true => Framing::Length,
            false => Framing::Close,
        }
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

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
