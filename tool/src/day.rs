//! Sums up a day by the logs of its hosts.

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
/// Where a log cannot be read or the picture cannot be written.
pub fn run(arguments: &mut pico_args::Arguments) -> Result<(), error::Error> {
    let svg: Option<PathBuf> = arguments.opt_value_from_str("--svg")?;
    let mut logs: Vec<PathBuf> = Vec::new();
    while let Some(log) = arguments.opt_free_from_str()? {
        logs.push(log);
    }
    if logs.is_empty() {
        return Err(error::Error::Logs);
    }
    let mut reader = summary::Reader::default();
    for log in &logs {
        read(log, &mut reader)?;
    }
    let day = reader.finish();
    print!("{}", text::Text(&day));
    if let Some(svg) = svg {
        plot::write(&day, &svg)?;
        println!("\npicture: {}", svg.display());
    }
    Ok(())
}

/// Reads one log, with a progress bar on a terminal.
fn read(log: &Path, reader: &mut summary::Reader) -> Result<(), error::Error> {
    let fault = |source| error::Error::File { file: log.to_owned(), source };
    let file = File::open(log).map_err(fault)?;
    let bar = ProgressBar::new(file.metadata().map_err(fault)?.len());
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {bytes}/{total_bytes} {eta}") {
        bar.set_style(style);
    }
    let host = log.file_stem().map(|stem| stem.to_string_lossy().into_owned());
    let host = host.unwrap_or_default();
    let mut lines = BufReader::new(bar.wrap_read(file));
    let mut line = Vec::new();
    while next(&mut lines, &mut line).map_err(fault)? {
        reader.take(&String::from_utf8_lossy(&line), &host);
    }
    bar.finish_and_clear();
    Ok(())
}

/// Longest line that is looked at, bytes: ours are far shorter, and what is no
/// log must not fill the memory.
const LONGEST_LINE: u64 = 64 * 1024;

/// Reads the next line, or a part of one that is too long.
fn next(lines: &mut impl std::io::BufRead, line: &mut Vec<u8>) -> std::io::Result<bool> {
    line.clear();
    Ok(lines.by_ref().take(LONGEST_LINE).read_until(b'\n', line)? > 0)
}
