//! Whether a response is complete.
//!
//! A body that ended before the length or last chunk of its framing is not. Of a body that ended in
//! order:
//!
//! | framing | event stream that ends between events | inside an event | without an event | other body |
//! | --- | --- | --- | --- | --- |
//! | a length or chunks | complete | cut | complete | complete |
//! | the connection | complete | cut | cut | complete |
//!
//! A server that marks the end of the body can still have lost the source of its stream inside an
//! event, and readers discard that event. Without a declared media type, the mark is decisive.
//!
//! If the connection alone ends the body and was closed in order, a body that was cut right after
//! an event is not distinguishable from a complete one, nor is any cut body that is no event stream.
//! The operating system also closes the connections of a process that ends, so the caller of
//! [`check`] has to find out whether the server's process is gone.

use crate::event::{Media, Position};
use crate::framing::Framing;

/// Why a response is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Error {
    /// The connection failed, or closed before the end of a body with a length or chunks.
    #[error("broken-off")]
    Broken,
    /// Too many bytes arrived without a piece of the body, and the connection was closed.
    #[error("no-content")]
    NoContent,
    /// The body had not ended at the deadline.
    #[error("deadline")]
    TimedOut,
    /// The event stream ended inside an event or a line.
    #[error("inside-event")]
    InsideEvent,
    /// The event stream ended with its connection before the first event.
    #[error("no-event")]
    NoEvent,
    /// The server's process ended as it closed the connection, which was all that marked the end.
    #[error("server-ended")]
    ServerEnded,
    /// The response was to continue an event stream, and went back in it.
    #[error("repeated-event")]
    Repeated,
    /// Only the end of the connection marked the end, and it was noticed so late that another
    /// process of the server may run meanwhile.
    #[error("noticed-late")]
    NoticedLate,
}

/// Checks a body that ended in order, with its last byte at `position` if it is read as an event
/// stream.
///
/// # Errors
///
/// Returns an [`Error`] if the stream is not complete.
pub fn check(framing: Framing, media: Media, position: Position) -> Result<(), Error> {
    let events = match media {
        Media::Events => true,
        Media::Unknown => framing == Framing::Close,
        Media::Other => false,
    };
    match position {
        Position::Inside if events => Err(Error::InsideEvent),
        Position::Start if events && framing == Framing::Close => Err(Error::NoEvent),
        Position::Start | Position::Between | Position::Inside => Ok(()),
    }
}
