//! Initializes logging.

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

/// Logs to standard error.
pub fn to_stderr(level: file::Level) {
    // Only a second initialization fails, and each process initializes logging once.
    simplelog::WriteLogger::init(filter(level), config(), std::io::stderr()).unwrap_or_default();
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
    // Only a second initialization fails, and each process initializes logging once.
    simplelog::WriteLogger::init(filter(level), config(), sink.clone()).unwrap_or_default();
    let lines = sink.clone();
    panics::install(move |line| lines.append(line.as_bytes()));
    threads::start(signals, "log", || sink.spawn())
}
