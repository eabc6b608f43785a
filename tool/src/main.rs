//! The loftcove command-line tool for operators.
//!
//! - [`bundle`] proposes, approves, rolls forward and withdraws bundles, all in the store of the
//!   platform. Operators never change single machines.
//! - [`report`] requests the status of the processes, and their decisions about a request.
//! - [`day`] summarizes a day from its logs.
//! - [`key`] creates the keys of operators.

mod bundle;
mod day;
mod error;
mod key;
mod report;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use loftcove_bundle::sign;
use loftcove_platform::records;
use loftcove_settings::file;

const HELP: &str = "\
loftcove, the command-line tool for operators

usage:
  loftcove [--settings FILE] [--json] COMMAND

commands:
  bundle check FILE            check the text of a bundle
  bundle propose FILE          propose a bundle; prints its digest
  bundle approve DIGEST        approve the proposal of another operator
  bundle roll-forward DIGEST   put an approved bundle in force
  bundle withdraw              put the previous bundle in force again
  bundle status                print the bundle in force and the proposals
  bundle history               print all bundles that were in force
  bundle diff FILE FILE        print the differences between two bundles
  status                       print the status of all processes
  explain REQUEST-ID           print the decisions about a request
  explain-day [--svg FILE] LOG...   summarize a day from the logs of its hosts
  key new FILE                 create an operator's secret key; prints the public key

The settings file defaults to loftcove.toml.
";

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings and connections of a command.
pub struct Context {
    /// Settings of the tool.
    pub settings: file::Tool,
    /// Client of the platform.
    pub platform: records::Client,
    /// Whether the output is JSON.
    pub json: bool,
}

impl Context {
    /// Reads the operator's signing key.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or does not contain a key.
    pub fn signer(&self) -> Result<sign::Signer, error::Error> {
        let file = &self.settings.secret_file;
        let secret = std::fs::read_to_string(file)
            .map_err(|source| error::Error::File { file: file.clone(), source })?;
        Ok(sign::Signer::new(&self.settings.operator, &secret)?)
    }

    /// Returns the public keys of the operators.
    ///
    /// # Errors
    ///
    /// Returns an error if a key of the settings is invalid.
    pub fn keyring(&self) -> Result<sign::Keyring, error::Error> {
        Ok(sign::Keyring::new(&self.settings.operators)?)
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("loftcove: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), error::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let json = arguments.contains("--json");
    let settings: Option<PathBuf> = arguments.opt_value_from_str("--settings")?;
    let settings = settings.unwrap_or_else(|| PathBuf::from("loftcove.toml"));
    let context = || {
        let settings = file::Tool::read(&settings)?;
        let platform = records::Client::new(settings.platform_address, None, PLATFORM_TIMEOUT);
        Ok::<_, error::Error>(Context { settings, platform, json })
    };
    match arguments.subcommand()?.as_deref() {
        Some("bundle") => bundle::run(context, &mut arguments).await,
        Some("status") => report::status(&context()?).await,
        Some("explain") => {
            let request: String = arguments.free_from_str()?;
            report::explain(&context()?, &request).await
        }
        Some("explain-day") => day::run(&mut arguments),
        Some("key") => key::run(&mut arguments),
        Some(other) => Err(error::Error::Command(other.to_owned())),
        None => {
            print!("{HELP}");
            Ok(())
        }
    }
}
