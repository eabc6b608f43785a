//! Initializes logging. All messages go through one logger, which keeps each of them on one line.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::io::Write as _;

use loftcove_line::message;
use loftcove_settings::file;
use loftcove_startup::{panics, signals, threads};

use crate::{explain, sink};

fn filter(level: file::Level) -> simplelog::LevelFilter {
    match level {
        file::Level::Error => simplelog::LevelFilter::Error,
        file::Level::Warn => simplelog::LevelFilter::Warn,
        file::Level::Info => simplelog::LevelFilter::Info,
        file::Level::Debug => simplelog::LevelFilter::Debug,
    }
}

fn config() -> simplelog::Config {
    simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("loftcove")
        .add_filter_allow_str(explain::TARGET)
        .set_target_level(simplelog::LevelFilter::Error)
        .set_thread_level(simplelog::LevelFilter::Off)
        .build()
}

/// Logger that escapes what is not printable in messages. They contain text of others, of which a
/// line break would otherwise begin a line.
struct Logger<W: std::io::Write + Send + 'static>(Box<simplelog::WriteLogger<W>>);

impl<W: std::io::Write + Send + 'static> Logger<W> {
    /// Logs to `out` from now on. Returns `false` if the process already has a logger, which stays.
    fn init(level: file::Level, out: W) -> bool {
        let level = filter(level);
        let logger = Logger(simplelog::WriteLogger::new(level, config(), out));
        let first = log::set_boxed_logger(Box::new(logger)).is_ok();
        if first {
            log::set_max_level(level);
        }
        first
    }
}

impl<W: std::io::Write + Send + 'static> log::Log for Logger<W> {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        self.0.log(
            &log::Record::builder()
                .metadata(record.metadata().clone())
                .module_path(record.module_path())
                .file(record.file())
                .line(record.line())
                .args(format_args!("{}", message::Printable(record.args())))
                .build(),
        );
    }

    fn flush(&self) {
        self.0.flush();
    }
}

/// Logs to standard error.
pub fn to_stderr(level: file::Level) {
    if Logger::init(level, std::io::stderr()) {
        panics::install(print_panic);
    }
}

/// Writes the line of a panic to standard error, with the backtrace if the environment asks for it.
fn print_panic(line: &str) {
    let mut out = std::io::stderr().lock();
    // A failure of standard error is ignored, because it cannot be logged anywhere else.
    out.write_all(line.as_bytes()).unwrap_or_default();
    let backtrace = Backtrace::capture();
    if backtrace.status() == BacktraceStatus::Captured {
        write!(out, "{backtrace}").unwrap_or_default();
    }
}

/// Logs to standard output through a buffer, so that a slow reader never blocks the caller. Returns
/// `None` if a stop is requested before the thread that writes the lines exists.
///
/// # Errors
///
/// Returns an error if the thread is refused.
pub fn to_stdout(
    level: file::Level,
    signals: &mut signals::Signals,
) -> Result<Option<sink::Writer>, threads::Error> {
    let sink = sink::Sink::default();
    Logger::init(level, sink.clone());
    let lines = sink.clone();
    panics::install(move |line| {
        lines.append(line.as_bytes());
        // A panic of the main thread ends the process. Others are not printed, because the reader of
        // standard error could block their threads.
        if std::thread::current().name() == Some("main") {
            print_panic(line);
        }
    });
    threads::start(signals, "log", || sink.spawn())
}
