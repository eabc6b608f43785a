//! Whether a response is complete.
//!
//! For a body that ended in order:
//!
//! | framing | event stream that ends between events | inside an event | without an event | other body |
//! | --- | --- | --- | --- | --- |
//! | a length or chunks | complete | cut | complete | complete |
//! | the connection | complete | cut | cut | complete |
//!
//! With a length or chunks, the server itself marks the end of the body. An event stream can still
//! end inside an event if the server lost its source, and readers discard that event.
//!
//! Without framing, a body that was cut right after an event, and any cut body that is no event
//! stream, is not distinguishable from a complete one if the server closed the connection in order.

use crate::event::Position;
use crate::framing::Framing;

/// Why a response is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Error {
    /// The connection failed, or closed before the end of a body with a length or chunks.
    #[error("broken-off")]
    Broken,
    /// The body had not ended at the deadline.
    #[error("deadline")]
    TimedOut,
    /// The event stream ended inside an event or a line.
    #[error("inside-event")]
    InsideEvent,
    /// The event stream ended with its connection before the first event.
    #[error("no-event")]
    NoEvent,
}

/// Checks the end of an event stream whose last byte is at `position`.
///
/// # Errors
///
/// Returns an [`Error`] if the stream is not complete.
pub fn check(framing: Framing, position: Position) -> Result<(), Error> {
    match position {
        Position::Inside => Err(Error::InsideEvent),
        Position::Start if framing == Framing::Close => Err(Error::NoEvent),
        Position::Start | Position::Between => Ok(()),
    }
}
