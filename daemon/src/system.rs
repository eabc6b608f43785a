//! Runs the gateway and the sidecar, which are the roles on the users' machines, with the
//! platform's adapter.

use std::path::Path;

use loftcove_line::field;
use loftcove_platform::{adapter, engine, kv};
use loftcove_settings::{error, gateway as settings};
use loftcove_startup::{End, retry, signals};

use crate::{Error, logging, sink};

/// Runs a gateway with the settings of the file at `path`.
pub fn gateway(path: &Path) -> Result<(), Error> {
    let run = |settings: settings::Gateway, signals| {
        // The log did not exist when the settings were read.
        settings.left_out.log();
        let store =
            kv::Client::new(settings.host.store_address).with_source(settings.host.source_address);
        loftcove_gateway::run::<adapter::Adapter, _>(path, settings, store, signals)
    };
    execute(path, settings::Gateway::read, |settings| &settings.host, run)
}

/// Runs a sidecar with the settings of the file at `path`.
pub fn sidecar(path: &Path) -> Result<(), Error> {
    let run = |settings: settings::Sidecar, signals| {
        settings.left_out.log();
        let store =
            kv::Client::new(settings.host.store_address).with_source(settings.host.source_address);
        let connect = engine::Client::new;
        loftcove_sidecar::run::<adapter::Adapter, _, _>(path, settings, store, connect, signals)
    };
    execute(path, settings::Sidecar::read, |settings| &settings.host, run)
}

/// Reads the settings of a role with `from_file` and calls `run` with them, again if it has to begin
/// again with other settings.
fn execute<T, F: Future<Output = End>>(
    path: &Path,
    from_file: impl Fn(&Path) -> Result<T, error::Error>,
    host: impl Fn(&T) -> &settings::Host,
    run: impl Fn(T, signals::Receiver) -> F,
) -> Result<(), Error> {
    let mut signals = signals::Signals::install().map_err(Error::Signal)?;
    let Some(mut settings) = read(&mut signals, path, &from_file)? else { return Ok(()) };
    let Some(writer) = logging::to_stdout(host(&settings).log_level, &mut signals)? else {
        return Ok(());
    };
    let result = loop {
        let workers = host(&settings).workers;
        let run = async |signals| Ok(run(settings, signals).await);
        match crate::block_on(workers, &mut signals, run) {
            Ok(End::Stopped) => break Ok(()),
            Ok(End::Moved) => match read(&mut signals, path, &from_file) {
                Ok(Some(next)) => settings = next,
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            },
            Err(error) => break Err(error),
        }
    };
    finish(writer, result)
}

/// Reads the settings of the file at `path`. If they are incomplete or wrong, reads them again for a
/// while, because the file may be being replaced. Returns `None` if the process is to stop meanwhile.
pub fn read<T>(
    signals: &mut signals::Signals,
    path: &Path,
    read: impl Fn(&Path) -> Result<T, error::Error>,
) -> Result<Option<T>, Error> {
    // The log does not exist yet.
    let notify = |error: &error::Error| {
        let seconds = retry::TIMEOUT.as_secs();
        crate::print_error(&format!("{error}; reading again for up to {seconds} s"));
    };
    retry::read(signals, || read(path), notify).map_err(|error| match error {
        retry::Error::Read(error) => Error::Settings(error),
        retry::Error::Signal(error) => Error::SignalWait(error),
    })
}

/// Logs a failure and writes the remaining log lines to standard output.
fn finish(writer: sink::Writer, result: Result<(), Error>) -> Result<(), Error> {
    if let Err(error) = &result {
        log::error!("failed error={error}", error = field::Quoted(&error));
    }
    writer.finish();
    result
}
