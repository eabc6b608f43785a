//! Makes operators' keys.

use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::PathBuf;

use loftcove_bundle::sign;

use crate::error;

/// Only the operator may read the secret key.
const MODE: u32 = 0o600;

/// `loftcove key new FILE`.
pub fn run(arguments: &mut pico_args::Arguments) -> Result<(), error::Error> {
    match arguments.subcommand()?.as_deref() {
        Some("new") => new(&arguments.free_from_str::<PathBuf>()?),
        other => Err(error::Error::Command(format!("key {}", other.unwrap_or_default()))),
    }
}

fn new(file: &PathBuf) -> Result<(), error::Error> {
    let secret = hex::encode(rand::random::<[u8; 32]>());
    let signer = sign::Signer::new("", &secret)?;
    let fault = |source| error::Error::File { file: file.clone(), source };
    let mut options = std::fs::OpenOptions::new();
    let options = options.write(true).create_new(true).mode(MODE);
    let mut out = options.open(file).map_err(fault)?;
    writeln!(out, "{secret}").map_err(fault)?;
    println!("{}", signer.public());
    Ok(())
}
