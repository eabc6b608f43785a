//! Saves the logs and other files of a failed test run.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Folder of saved runs, below the folder of built programs.
const FOLDER: &str = "failures";

/// Writes the logs of a failed run, by process name, and other files to a new folder, and returns
/// its path.
///
/// # Errors
///
/// If the folder or a file cannot be written.
pub fn save(logs: &[(String, Vec<String>)], files: &[(&str, String)]) -> std::io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let built =
        current.ancestors().find(|folder| folder.ends_with("debug") || folder.ends_with("release"));
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let name = current.file_stem().unwrap_or_default().to_string_lossy();
    let folder = built.unwrap_or(Path::new(".")).join(FOLDER).join(format!("{name}-{since}"));
    write(&folder, logs, files)?;
    Ok(folder)
}

/// Writes the logs of a failed run, by process name, and other files to a folder.
///
/// # Errors
///
/// If the folder or a file cannot be written.
pub fn write(
    folder: &Path,
    logs: &[(String, Vec<String>)],
    files: &[(&str, String)],
) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    for (name, text) in files {
        std::fs::write(folder.join(name), text)?;
    }
    for (name, lines) in logs {
        std::fs::write(folder.join(format!("{name}.log")), lines.join("\n"))?;
    }
    Ok(())
}
