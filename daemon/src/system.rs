//! Runs the gateway and the sidecar, which are the roles on the users' machines, with the
//! platform's adapter.

use std::path::Path;

use loftcove_platform::{adapter, engine, kv};
use loftcove_settings::{error, gateway as settings};
use loftcove_startup::signals;

use crate::{Error, logging, sink};

/// Runs a gateway with the settings of the file at `path`.
pub fn gateway(path: &Path) -> Result<(), Error> {
    let mut signals = signals::Signals::install().map_err(Error::Signal)?;
    let settings = read(settings::Gateway::read(path))?;
    let Some(writer) = logging::to_stdout(settings.host.log_level, &mut signals)? else {
        return Ok(());
    };
    let store =
        kv::Client::new(settings.host.store_address).with_source(settings.host.source_address);
    let workers = settings.host.workers;
    let run =
        |signals| loftcove_gateway::run::<adapter::Adapter, _>(path, settings, store, signals);
    finish(writer, crate::block_on(workers, signals, run))
}

/// Runs a sidecar with the settings of the file at `path`.
pub fn sidecar(path: &Path) -> Result<(), Error> {
    let mut signals = signals::Signals::install().map_err(Error::Signal)?;
    let settings = read(settings::Sidecar::read(path))?;
    let Some(writer) = logging::to_stdout(settings.host.log_level, &mut signals)? else {
        return Ok(());
    };
    let store =
        kv::Client::new(settings.host.store_address).with_source(settings.host.source_address);
    let workers = settings.host.workers;
    let run = |signals| {
        loftcove_sidecar::run::<adapter::Adapter, _, _>(
            path,
            settings,
            store,
            engine::Client::new,
            signals,
        )
    };
    finish(writer, crate::block_on(workers, signals, run))
}

fn read<T>(settings: Result<T, error::Error>) -> Result<T, Error> {
    settings.map_err(Error::from)
}

/// Logs a failure and writes the remaining log lines to standard output.
fn finish(writer: sink::Writer, result: Result<(), Error>) -> Result<(), Error> {
    if let Err(error) = &result {
        log::error!("failed error=\"{error}\"");
    }
    writer.finish();
    result
}
