//! Text of others in lines of the log.
//!
//! A line of the log is a message followed by fields `name=value`. Keys of the store, ids of servers,
//! headers and error texts come from others and contain any characters. Two layers keep them from
//! forging fields or lines:
//!
//! - [`message::Printable`] escapes whatever would end a line or is not printable. The logger applies
//!   it to each message, whichever code logs it.
//! - [`field::Text`] and [`field::Quoted`] write a value so that it is one field, which
//!   [`field::split`] reads back. The code that logs a value of others applies them.
//!
//! Both leave plain text unchanged and don't allocate.

pub mod field;
pub mod message;
