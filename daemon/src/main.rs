//! The loftcove daemon: `loftcoved run FILE`, `loftcoved check FILE`,
//! `loftcoved settings`.
//!
//! One program with two roles. As an `entry` ([`entry`]) it takes callers'
//! requests and decides where each goes; as an `agent` ([`agent`]) it stands
//! before one backend server and sees to it that no attempt starts twice and
//! no stale order passes. What both share is in [`process`]; all decisions are
//! made by the crate `loftcove-decision`, which this one feeds.

mod admin;
mod agent;
mod clock;
mod entry;
mod exchange;
mod explain;
mod force;
mod gossip;
mod homes;
mod leader;
mod life;
mod link;
mod metrics;
mod peer;
mod process;
mod source;
mod status;
mod stop;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use loftcove_settings::{error, file};

/// What the command line asks for.
enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Settings,
    Help,
}

/// Why the daemon ended badly.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    #[error(transparent)]
    Settings(#[from] error::Error),
    #[error(transparent)]
    Process(#[from] process::Error),
    #[error("{address}: {source}")]
    Listen { address: std::net::SocketAddr, source: std::io::Error },
    #[error("the runtime could not start: {0}")]
    Runtime(std::io::Error),
    #[error("signals cannot be received: {0}")]
    Signal(std::io::Error),
}

const HELP: &str = "\
loftcoved, the loftcove daemon

usage:
  loftcoved run FILE      run with the settings of FILE
  loftcoved check FILE    check the settings of FILE
  loftcoved settings      print the reference of all settings
";

fn main() -> ExitCode {
    match parse().map_err(Error::from).and_then(execute) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("loftcoved: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse() -> Result<Command, pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let path = |arguments: &mut pico_args::Arguments| arguments.free_from_str::<PathBuf>();
    match arguments.subcommand()?.as_deref() {
        Some("run") => Ok(Command::Run(path(&mut arguments)?)),
        Some("check") => Ok(Command::Check(path(&mut arguments)?)),
        Some("settings") => Ok(Command::Settings),
        _ => Ok(Command::Help),
    }
}

fn execute(command: Command) -> Result<(), Error> {
    match command {
        Command::Run(path) => run(&path),
        Command::Check(path) => {
            let settings = file::Daemon::read(&path)?;
            process::Process::new(settings)?;
            println!("{}: ok", path.display());
            Ok(())
        }
        Command::Settings => {
            for section in &file::DAEMON_SECTIONS {
                println!("{section}");
            }
            Ok(())
        }
        Command::Help => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn run(path: &Path) -> Result<(), Error> {
    let settings = file::Daemon::read(path)?;
    log_to_stderr(settings.process.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.process.workers)
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let process = Arc::new(process::Process::new(settings)?);
    runtime.block_on(serve(process))?;
    runtime.shutdown_background();
    Ok(())
}

async fn serve(process: Arc<process::Process>) -> Result<(), Error> {
    let own = &process.settings.process;
    log::info!(
        "start host={} zone={} role={:?} incarnation={}",
        own.host,
        own.zone,
        own.role,
        process.incarnation
    );
    if let Some(address) = own.admin_address {
        let listener = listen(address, "admin").await?;
        tokio::spawn(admin::serve(process.clone(), listener));
    }
    let peers = listen(own.peer_address, "peer").await?;
    source::spawn(&process);
    tokio::spawn(exchange::run(process.clone()));
    match own.role {
        file::Role::Entry => entry::run(process.clone(), peers).await?,
        file::Role::Agent => agent::run(process.clone(), peers).await?,
    }
    log::info!("stop host={}", own.host);
    Ok(())
}

/// Listens and says where, since the port may come from the system.
async fn listen(
    address: std::net::SocketAddr,
    what: &str,
) -> Result<tokio::net::TcpListener, Error> {
    let fault = |source| Error::Listen { address, source };
    let listener = tokio::net::TcpListener::bind(address).await.map_err(fault)?;
    let bound = listener.local_addr().map_err(fault)?;
    println!("listening {what} {bound}");
    Ok(listener)
}

fn log_to_stderr(level: file::Level) {
    let level = match level {
        file::Level::Error => simplelog::LevelFilter::Error,
        file::Level::Warn => simplelog::LevelFilter::Warn,
        file::Level::Info => simplelog::LevelFilter::Info,
        file::Level::Debug => simplelog::LevelFilter::Debug,
    };
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("loftcoved")
        .add_filter_allow_str("loftcove")
        .add_filter_allow_str(explain::TARGET)
        .set_target_level(simplelog::LevelFilter::Error)
        .set_thread_level(simplelog::LevelFilter::Off)
        .build();
    // Only a second initialisation can fail, and there is none.
    simplelog::WriteLogger::init(level, config, std::io::stderr()).unwrap_or_default();
}
