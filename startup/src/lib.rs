//! What a process needs before it serves.
//!
//! Some of it may be missing for a while when a process starts, for reasons that pass: the process
//! before it has not ended yet, or a file is being replaced. A process that exits for that meets the
//! same state when it is started again. [`listen`] therefore waits for addresses. [`signals`] are handled
//! from the start, because by default they end the process. [`threads`] are requested again if the
//! operating system refuses them.

pub mod listen;
pub mod signals;
pub mod threads;
