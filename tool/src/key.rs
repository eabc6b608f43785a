//! The `key` command: creates the keys of operators.

use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::PathBuf;

use loftcove_bundle::sign;

use crate::error;

/// Mode of the file of a secret key: only the operator may read it.
const SECRET_FILE_MODE: u32 = 0o600;

/// Runs `loftcove key new FILE`.
pub fn run(arguments: &mut pico_args::Arguments) -> Result<(), error::Error> {
    match arguments.subcommand()?.as_deref() {
        Some("new") => create(&arguments.free_from_str::<PathBuf>()?),
        other => Err(error::Error::Command(format!("key {}", other.unwrap_or_default()))),
    }
}

/// Writes a new secret key to a file that must not exist yet, and prints the public key.
fn create(file: &PathBuf) -> Result<(), error::Error> {
    let secret = hex::encode(rand::random::<[u8; 32]>());
    let signer = sign::Signer::new("", &secret)?;
    let file_error = |source| error::Error::File { file: file.clone(), source };
    let mut options = std::fs::OpenOptions::new();
    let options = options.write(true).create_new(true).mode(SECRET_FILE_MODE);
    let mut out = options.open(file).map_err(file_error)?;
    writeln!(out, "{secret}").map_err(file_error)?;
    println!("{}", signer.public());
    Ok(())
}
