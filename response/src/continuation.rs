//! Whether further attempts may continue a response whose head the client has received, and what
//! that head may state.
//!
//! Another server's run of the same request words its response anew. A field that describes the
//! bytes of the first run's body is therefore removed from the head if another run may continue it:
//! with a length, the client would cut the body there and take it to be complete.
//!
//! | field | of a response that may be continued | reason |
//! | --- | --- | --- |
//! | `Content-Length` | removed | two runs differ in length |
//! | `Content-MD5`, `Digest`, `Content-Digest`, `Repr-Digest` | removed | they cover the bytes of one run |
//! | strong `ETag`, `Last-Modified` | removed | they identify the bytes of one run |
//! | weak `ETag` | kept | both runs are equivalent |
//! | `Accept-Ranges` | removed | byte positions differ between runs |
//! | `Content-Range`, status 206 | not continued | the body is a part at a byte position |
//! | no body (HEAD, 204, 304) | not continued | there is nothing to continue |
//!
//! All other fields are those of the first server.

use http::header::{ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, ETAG, LAST_MODIFIED};
use http::{HeaderMap, HeaderName, StatusCode};

use crate::event::Media;
use crate::framing::Framing;

/// Fields that describe the bytes of one run's body (RFC 9110, RFC 9530; RFC 1864 and RFC 3230 for
/// the older ones).
const BYTES_OF_ONE_RUN: [HeaderName; 7] = [
    CONTENT_LENGTH,
    HeaderName::from_static("content-md5"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("repr-digest"),
    LAST_MODIFIED,
    ACCEPT_RANGES,
];

/// Removes the fields that hold for one run's body only.
pub fn remove_promises(headers: &mut HeaderMap) {
    for name in &BYTES_OF_ONE_RUN {
        headers.remove(name);
    }
    let weak = |value: &http::HeaderValue| value.as_bytes().trim_ascii_start().starts_with(b"W/");
    if !headers.get_all(ETAG).iter().all(weak) {
        headers.remove(ETAG);
    }
}

/// The head that the client has received of a response that may be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Base {
    status: StatusCode,
}

/// Why a response does not continue another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Contradiction {
    /// The status differs.
    #[error("other status {0}")]
    Status(StatusCode),
    /// The response is a part at a byte position.
    #[error("byte range")]
    Range,
    /// The body has another media type.
    #[error("other media type")]
    Media,
    /// The response has no body.
    #[error("no body")]
    Empty,
}

impl Base {
    /// Returns the base for a response with this head, or `None` if no other attempt may continue
    /// it.
    pub fn new(head: &http::response::Parts, framing: Framing, media: Media) -> Option<Base> {
        let base = Base { status: head.status };
        (head.status.is_success() && base.check(head, framing, media).is_ok()).then_some(base)
    }

    /// Checks that a response with this head can continue the body.
    ///
    /// # Errors
    ///
    /// Returns the [`Contradiction`] between the two heads.
    pub fn check(
        self,
        next: &http::response::Parts,
        framing: Framing,
        media: Media,
    ) -> Result<(), Contradiction> {
        if next.status != self.status {
            return Err(Contradiction::Status(next.status));
        }
        if next.status == StatusCode::PARTIAL_CONTENT || next.headers.contains_key(CONTENT_RANGE) {
            return Err(Contradiction::Range);
        }
        match (media, framing) {
            (Media::Other, _) => Err(Contradiction::Media),
            (_, Framing::Empty) => Err(Contradiction::Empty),
            (Media::Events | Media::Unknown, _) => Ok(()),
        }
    }
}
