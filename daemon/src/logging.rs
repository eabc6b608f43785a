//! Sets logging up.

use loftcove_settings::file;

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
    // Only a second initialisation can fail, and there is none.
    simplelog::WriteLogger::init(filter(level), config(), std::io::stderr()).unwrap_or_default();
}

/// Logs to standard output without ever waiting for its reader.
pub fn to_stdout(level: file::Level) -> sink::Sink {
    let sink = sink::Sink::default();
    sink.spawn();
    // See above.
    simplelog::WriteLogger::init(filter(level), config(), sink.clone()).unwrap_or_default();
    sink
}
