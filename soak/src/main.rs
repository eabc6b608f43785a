//! `loftcove-soak [--seed N] [--runs N] [--seconds N] [--gateways N] [--ranks N]
//! [--plain N] [--clients N] [--keep FOLDER]`: plays seeds, fresh ones unless one
//! is given, and prints a line for each; ends with 1 if a promise was broken.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use loftcove_soak::{plan, run};

/// Why it could not run.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The command line is not understood.
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    /// Logs could not be written.
    #[error("logs cannot be written: {0}")]
    Logs(#[from] std::io::Error),
}

struct Options {
    seeds: Vec<u64>,
    size: plan::Size,
    keep: Option<PathBuf>,
}

fn options() -> Result<Options, Error> {
    let mut arguments = pico_args::Arguments::from_env();
    let seed: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let runs: usize = arguments.opt_value_from_str("--runs")?.unwrap_or(1);
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(10);
    let size = plan::Size {
        gateways: arguments.opt_value_from_str("--gateways")?.unwrap_or(3),
        ranks: arguments.opt_value_from_str("--ranks")?.unwrap_or(4),
        plain: arguments.opt_value_from_str("--plain")?.unwrap_or(3),
        clients: arguments.opt_value_from_str("--clients")?.unwrap_or(12),
        time: Duration::from_secs(seconds),
    };
    let keep = arguments.opt_value_from_os_str("--keep", |text| {
        Ok::<_, std::convert::Infallible>(PathBuf::from(text))
    })?;
    let seeds = match seed {
        Some(seed) => vec![seed],
        // Short enough to be copied by hand.
        None => (0..runs).map(|_| u64::from(rand::random::<u32>())).collect(),
    };
    Ok(Options { seeds, size, keep })
}

fn keep(folder: &Path, seed: u64, report: &run::Report) -> Result<(), Error> {
    let folder = folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder)?;
    let events: Vec<String> = report.events.iter().map(|event| format!("{event:?}")).collect();
    std::fs::write(folder.join("events.txt"), events.join("\n"))?;
    let breaches: Vec<String> = report.breaches.iter().map(ToString::to_string).collect();
    std::fs::write(folder.join("breaches.txt"), breaches.join("\n"))?;
    for (name, lines) in &report.logs {
        std::fs::write(folder.join(format!("{name}.log")), lines.join("\n"))?;
    }
    Ok(())
}

async fn soak() -> Result<bool, Error> {
    let options = options()?;
    let mut sound = true;
    for seed in options.seeds {
        let report = run::seed(seed, &options.size).await;
        println!(
            "seed={seed} faults={} requests={} answered={} switches={} breaches={}",
            report.events.len(),
            report.requests.0,
            report.requests.1,
            report.switches,
            report.breaches.len()
        );
        report.breaches.iter().take(10).for_each(|breach| println!("  {breach}"));
        if !report.breaches.is_empty() {
            sound = false;
            if let Some(folder) = &options.keep {
                keep(folder, seed, &report)?;
            }
        }
    }
    Ok(sound)
}

#[tokio::main]
async fn main() -> ExitCode {
    match soak().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
