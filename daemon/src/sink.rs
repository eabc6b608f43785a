//! Bounded buffer for log lines, which a separate thread writes to standard output.
//!
//! A task that logs only appends to the buffer and never waits for the reader of standard output.
//! Lines that exceed the capacity are dropped and counted. The count is logged with the next write.

use std::io::Write;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Maximum number of buffered bytes.
const CAPACITY: usize = 512 * 1024;
/// Interval between two writes, each of which wakes the thread once.
const PERIOD: Duration = Duration::from_millis(200);
/// Longest time for the last write. A stopping process must exit before it is killed, and a planned
/// stop leaves 250 ms.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// Buffered lines and the number of those dropped since the last write.
#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Writer that appends lines to the buffer.
#[derive(Clone, Default)]
pub struct Sink {
    buffer: Arc<Mutex<Buffer>>,
}

impl Sink {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Appends a line, or a part of one, to the buffer.
    pub fn append(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > CAPACITY {
            buffer.dropped += u64::from(line.ends_with(b"\n"));
        } else {
            buffer.bytes.extend_from_slice(line);
        }
    }

    /// Writes all buffered lines to `out`.
    fn flush_to(&self, out: &mut impl Write) {
        let (mut bytes, dropped) = {
            let mut buffer = self.lock();
            (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.dropped))
        };
        if dropped > 0 {
            bytes.extend_from_slice(format!("log lines dropped count={dropped}\n").as_bytes());
        }
        // A failure of standard output is ignored, because it cannot be logged anywhere else.
        out.write_all(&bytes).and_then(|()| out.flush()).unwrap_or_default();
    }

    /// Starts the thread that writes the buffered lines to standard output.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it refuses the thread.
    pub fn spawn(&self) -> std::io::Result<Writer> {
        let sink = self.clone();
        let (stop, stopped) = mpsc::channel::<mpsc::Sender<()>>();
        std::thread::Builder::new().spawn(move || {
            loop {
                let done = stopped.recv_timeout(PERIOD);
                sink.flush_to(&mut std::io::stdout());
                match done {
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                    // Nobody may wait any more.
                    Ok(done) => return done.send(()).unwrap_or_default(),
                }
            }
        })?;
        Ok(Writer(stop))
    }
}

/// Thread that writes the buffered lines.
pub struct Writer(mpsc::Sender<mpsc::Sender<()>>);

impl Writer {
    /// Writes the remaining lines. Lines that standard output does not take in time are lost.
    pub fn finish(self) {
        let (done, written) = mpsc::channel();
        if self.0.send(done).is_ok() {
            written.recv_timeout(LAST_WRITE_TIMEOUT).unwrap_or_default();
        }
    }
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.append(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
