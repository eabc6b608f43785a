//! The loftcove daemon: `loftcoved run FILE`, `loftcoved gateway FILE`,
//! `loftcoved sidecar FILE`, `loftcoved check FILE`, `loftcoved settings`.
//!
//! `loftcoved run` has two roles. In the role `entry` ([`entry`]), the process accepts clients'
//! requests and selects a backend server for each. In the role `agent` ([`agent`]), it is the proxy
//! of one backend server and ensures that no attempt starts twice and no stale order is executed.
//! [`process`] contains the state that both roles share. All decisions are made by the state
//! machines of the crate `loftcove-decision`, which this crate supplies with events. The roles for
//! the users' machines, gateway and sidecar, are separate crates ([`system`]).

mod admin;
mod agent;
mod clock;
mod entry;
mod exchange;
mod explain;
mod force;
mod gossip;
mod homes;
mod intake;
mod leader;
mod life;
mod link;
mod logging;
mod metrics;
mod peer;
mod process;
mod sink;
mod source;
mod status;
mod stop;
mod system;

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use loftcove_line::field;
use loftcove_line::message;
use loftcove_settings::{error, file, gateway};
use loftcove_startup::{End, listen, signals, threads};

/// Subcommand of the command line.
enum Command {
    Run(PathBuf),
    Gateway(PathBuf),
    Sidecar(PathBuf),
    Check(PathBuf),
    Settings,
    Help,
}

/// Reason why the daemon failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    #[error(transparent)]
    Settings(#[from] error::Error),
    #[error(transparent)]
    Process(#[from] process::Error),
    #[error(transparent)]
    Threads(#[from] threads::Error),
    #[error("cannot install signal handlers: {0}")]
    Signal(std::io::Error),
    #[error("cannot wait for a signal: {0}")]
    SignalWait(std::io::Error),
}

const HELP: &str = "\
loftcoved, the loftcove daemon

usage:
  loftcoved run FILE      run with the settings of FILE
  loftcoved gateway FILE  run a gateway with the settings of FILE
  loftcoved sidecar FILE  run a sidecar with the settings of FILE
  loftcoved check FILE    check the settings of FILE
  loftcoved settings      print the reference of all settings
";

fn main() -> ExitCode {
    match parse().map_err(Error::from).and_then(execute) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error.to_string());
            ExitCode::FAILURE
        }
    }
}

/// Longest time for which a process that fails waits for the reader of standard error.
const ERROR_TIMEOUT: Duration = Duration::from_millis(250);

/// Prints an error to standard error. If that fails, or its reader takes nothing, the error is lost:
/// the process must end with its exit status all the same.
fn print_error(text: &str) {
    // The errors of the parser of settings have several lines.
    let text: Vec<String> = text.lines().map(|line| message::Printable(line).to_string()).collect();
    let line = Arc::<str>::from(format!("loftcoved: {}\n", text.join("\n")));
    let print = |line: &str| std::io::stderr().write_all(line.as_bytes()).unwrap_or_default();
    let (done, printed) = mpsc::channel::<()>();
    let thread = std::thread::Builder::new().spawn({
        let line = line.clone();
        move || {
            print(&line);
            drop(done);
        }
    });
    match thread {
        // Receiving fails as soon as the thread has dropped its end.
        Ok(_) => printed.recv_timeout(ERROR_TIMEOUT).unwrap_or_default(),
        Err(_) => print(&line),
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
        Some("gateway") => Ok(Command::Gateway(path(&mut arguments)?)),
        Some("sidecar") => Ok(Command::Sidecar(path(&mut arguments)?)),
        Some("check") => Ok(Command::Check(path(&mut arguments)?)),
        Some("settings") => Ok(Command::Settings),
        _ => Ok(Command::Help),
    }
}

fn execute(command: Command) -> Result<(), Error> {
    match command {
        Command::Run(path) => run(&path),
        Command::Gateway(path) => system::gateway(&path),
        Command::Sidecar(path) => system::sidecar(&path),
        Command::Check(path) => {
            let settings = file::Daemon::read(&path)?;
            process::Process::new(settings)?;
            println!("{}: ok", path.display());
            Ok(())
        }
        Command::Settings => {
            let sections = file::DAEMON_SECTIONS.iter().chain(&gateway::SECTIONS);
            for section in sections {
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
    let mut signals = signals::Signals::install().map_err(Error::Signal)?;
    loop {
        let Some(settings) = system::read(&mut signals, path, file::Daemon::read)? else {
            return Ok(());
        };
        logging::to_stderr(settings.process.log_level);
        settings.left_out.log();
        let workers = settings.process.workers;
        let process = Arc::new(process::Process::new(settings)?);
        let end = block_on(workers, &mut signals, |signals| serve(process, path, signals))?;
        if end == End::Stopped {
            return Ok(());
        }
    }
}

/// Runs the future that `run` returns to completion on a runtime with `workers` threads. Other tasks
/// are cancelled when it completes.
fn block_on<F: Future<Output = Result<End, Error>>>(
    workers: usize,
    signals: &mut signals::Signals,
    run: impl FnOnce(signals::Receiver) -> F,
) -> Result<End, Error> {
    let runtime = threads::start(signals, "runtime", || build_runtime(workers))?;
    let Some(runtime) = runtime else {
        log::info!("stopped before the runtime started");
        return Ok(End::Stopped);
    };
    let result = runtime.block_on(async { run(signals.receiver().map_err(Error::Signal)?).await });
    runtime.shutdown_background();
    result
}

fn build_runtime(workers: usize) -> std::io::Result<tokio::runtime::Runtime> {
    // The library panics if a thread is refused, which a check leaves unlikely but possible.
    threads::check(workers)?;
    let build =
        || tokio::runtime::Builder::new_multi_thread().worker_threads(workers).enable_all().build();
    std::panic::catch_unwind(build)
        .unwrap_or_else(|_| Err(std::io::Error::other("a thread was refused")))
}

async fn serve(
    process: Arc<process::Process>,
    file: &Path,
    mut signals: signals::Receiver,
) -> Result<End, Error> {
    let own = &process.settings.process;
    log::info!(
        "start host={} zone={} role={:?} incarnation={}",
        field::Text(&own.host),
        field::Text(&own.zone),
        own.role,
        process.incarnation
    );
    if let Some(address) = own.admin_address {
        serve_admin(process.clone(), address);
    }
    // The other hosts know the process by this address. Until the previous process of the host has
    // ended, this one takes no part in anything.
    let peers = listen::Listener::open("peer", own.peer_address, ACCEPT_BACKLOG);
    let read = || Some(file::Daemon::read(file).ok()?.process.peer_address);
    let peers = match wait_for(peers, listen::moved(own.peer_address, read), &mut signals).await {
        Ok(peers) => peers,
        Err(end) => return Ok(end),
    };
    print_address("peer", &peers);
    let http = match process.settings.entry.as_ref().filter(|_| own.role == file::Role::Entry) {
        Some(entry) => {
            let http = listen::Listener::open("http", entry.http_address, ACCEPT_BACKLOG);
            let read = || Some(file::Daemon::read(file).ok()?.entry?.http_address);
            let moved = listen::moved(entry.http_address, read);
            match wait_for(http, moved, &mut signals).await {
                Ok(http) => Some(http),
                Err(end) => return Ok(end),
            }
        }
        None => None,
    };
    source::spawn(&process);
    tokio::spawn(exchange::run(process.clone()));
    match http {
        Some(http) => {
            print_address("http", &http);
            entry::run(process.clone(), peers, http, signals).await?;
        }
        None => agent::run(process.clone(), peers, signals).await?,
    }
    log::info!("stop host={}", field::Text(&own.host));
    Ok(End::Stopped)
}

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Serves health checks and metrics, once their address is available.
fn serve_admin(process: Arc<process::Process>, address: std::net::SocketAddr) {
    let listener = listen::Listener::open("admin", address, ACCEPT_BACKLOG);
    if let Some(bound) = listener.bound() {
        print_address("admin", bound);
    }
    tokio::spawn(async move { admin::serve(process, listener.wait().await).await });
}

/// Waits for a listener's address. Returns how the run ends if the process is to stop before, or if
/// `moved` completes before.
async fn wait_for(
    listener: listen::Listener,
    moved: impl Future<Output = ()>,
    signals: &mut signals::Receiver,
) -> Result<tokio::net::TcpListener, End> {
    tokio::select! {
        biased;
        listener = listener.wait() => Ok(listener),
        () = moved => Err(End::Moved),
        () = stop::wait_for_stop(signals) => {
            log::info!("stop before start reason=address-not-available");
            Err(End::Stopped)
        }
    }
}

/// Prints the address of a listener, because the operating system may have chosen the port.
fn print_address(what: &str, listener: &tokio::net::TcpListener) {
    match listener.local_addr() {
        // Unlike `println!`, this does not panic if nothing can be written.
        Ok(address) => {
            writeln!(std::io::stdout(), "listening {what} {address}").unwrap_or_default();
        }
        Err(error) => log::warn!(
            "address of listener unknown listener={what} error={error}",
            error = field::Quoted(&error)
        ),
    }
}
