//! The `explain-day` command: summarizes a day from the logs of its hosts.

use std::fs::File;
use std::io::{BufRead as _, BufReader, Read};
use std::path::{Path, PathBuf};

use indicatif::{ProgressBar, ProgressStyle};
use loftcove_day::{plot, summary, text};

use crate::error;

/// Runs `explain-day [--svg FILE] LOG...`.
///
/// # Errors
///
/// Returns an error if a log cannot be read or the plot cannot be written.
pub fn run(arguments: &mut pico_args::Arguments) -> Result<(), error::Error> {
    let svg: Option<PathBuf> = arguments.opt_value_from_str("--svg")?;
    let mut logs: Vec<PathBuf> = Vec::new();
    while let Some(log) = arguments.opt_free_from_str()? {
        logs.push(log);
    }
    if logs.is_empty() {
        return Err(error::Error::NoLogs);
    }
    let mut reader = summary::Reader::default();
    for log in &logs {
        read_log(log, &mut reader)?;
    }
    let day = reader.finish();
    print!("{}", text::Text(&day));
    if let Some(svg) = svg {
        plot::write(&day, &svg)?;
        println!("\nplot: {}", svg.display());
    }
    Ok(())
}

/// Reads one log. Shows a progress bar on a terminal.
fn read_log(log: &Path, reader: &mut summary::Reader) -> Result<(), error::Error> {
    let file_error = |source| error::Error::File { file: log.to_owned(), source };
    let file = File::open(log).map_err(file_error)?;
    let bar = ProgressBar::new(file.metadata().map_err(file_error)?.len());
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {bytes}/{total_bytes} {eta}") {
        bar.set_style(style);
    }
    let host = log.file_stem().map(|stem| stem.to_string_lossy().into_owned());
    let host = host.unwrap_or_default();
    let mut lines = BufReader::new(bar.wrap_read(file));
    let mut line = Vec::new();
    while read_line(&mut lines, &mut line).map_err(file_error)? {
        reader.push_line(&String::from_utf8_lossy(&line), &host);
    }
    bar.finish_and_clear();
    Ok(())
}

/// Maximum length of a line, in bytes. Lines of loftcove's logs are far shorter. The limit bounds
/// the memory use if a file is not a log.
const MAX_LINE: u64 = 64 * 1024;

/// Reads the next line, or up to [`MAX_LINE`] bytes of a longer one. Returns false at the end of
/// the file.
fn read_line(lines: &mut impl std::io::BufRead, line: &mut Vec<u8>) -> std::io::Result<bool> {
    line.clear();
    Ok(lines.by_ref().take(MAX_LINE).read_until(b'\n', line)? > 0)
}
