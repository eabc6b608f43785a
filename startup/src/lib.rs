//! What a process needs before it serves.
//!
//! Some of it may be missing for a while when a process starts, for reasons that pass: the process
//! before it has not ended yet, or a file is being replaced. A process that exits for that meets the
//! same state when it is started again. [`listen`] therefore waits for addresses, [`retry`] reads
//! settings again, and [`threads`] starts threads again that the operating system refuses. [`signals`]
//! are handled from the start, because by default they end the process. [`panics`] are counted, and
//! [`limits`] of the host are read.

pub mod limits;
pub mod listen;
pub mod panics;
pub mod retry;
pub mod signals;
pub mod threads;

/// How a run of a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The planned stop is complete.
    Stopped,
    /// The settings name another address than the one that the process still waits for. It has to
    /// begin again with them.
    Moved,
}
