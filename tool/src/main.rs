//! The loftcove command-line tool, for operators.
//!
//! [`bundle`] proposes, approves, rolls forward and withdraws bundles, all in
//! the platform's service; [`report`] asks the processes for their status and
//! explanations; [`day`] sums up a day by its logs; [`key`] makes operators' keys. Operators never touch single
//! machines.

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
loftcove, the operators' tool

usage:
  loftcove [--settings FILE] [--json] COMMAND

commands:
  bundle check FILE            check a bundle's text
  bundle propose FILE          put it forward; prints its digest
  bundle approve DIGEST        agree to another operator's proposal
  bundle roll-forward DIGEST   put an approved bundle in force
  bundle withdraw              put the bundle before the present one in force again
  bundle status                what is in force, and what is proposed
  bundle history               what was in force
  bundle diff FILE FILE        what two texts state differently
  status                       all processes, as they see themselves
  explain REQUEST-ID           the decisions about a request
  explain-day [--svg FILE] LOG...   sum up a day by the logs of its hosts
  key new FILE                 make an operator's secret key; prints the public one

The settings default to loftcove.toml.
";

/// Longest wait for the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// What a command works with.
pub struct Context {
    /// The settings.
    pub settings: file::Tool,
    /// The platform.
    pub platform: records::Client,
    /// Whether to print JSON.
    pub json: bool,
}

impl Context {
    /// The operator's signing key.
    ///
    /// # Errors
    ///
    /// Where the file cannot be read or is no key.
    pub fn signer(&self) -> Result<sign::Signer, error::Error> {
        let file = &self.settings.secret_file;
        let secret = std::fs::read_to_string(file)
            .map_err(|source| error::Error::File { file: file.clone(), source })?;
        Ok(sign::Signer::new(&self.settings.operator, &secret)?)
    }

    /// The operators' public keys.
    ///
    /// # Errors
    ///
    /// Where one is no key.
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
