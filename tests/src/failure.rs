//! Keeps what is known of a run that failed.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Folder of kept runs, below the folder of built programs.
const FOLDER: &str = "failures";

/// Writes the logs, by the names of their processes, and other files of a failed run to a
/// folder of its own, and returns that.
///
/// # Errors
///
/// What the system said.
pub fn save(logs: &[(String, Vec<String>)], files: &[(&str, String)]) -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let built =
        own.ancestors().find(|folder| folder.ends_with("debug") || folder.ends_with("release"));
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let name = own.file_stem().unwrap_or_default().to_string_lossy();
    let folder = built.unwrap_or(Path::new(".")).join(FOLDER).join(format!("{name}-{since}"));
    write(&folder, logs, files)?;
    Ok(folder)
}

/// Writes the same to a given folder.
///
/// # Errors
///
/// What the system said.
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
