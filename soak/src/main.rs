//! Runs seeds of the soak test and prints one line for each; see [`HELP`].

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use loftcove_soak::{client, plan, run};

const HELP: &str = "\
loftcove-soak, the soak test with injected faults

usage:
  loftcove-soak [options]

options:
  --seed N          run this seed; the default is random seeds
  --runs N          number of seeds, run one after the other (1)
  --seconds N       time during which faults are injected (10)
  --gateways N      number of gateways (3)
  --ranks N         number of ranks of lock-step groups (4)
  --plain N         number of plain servers (3)
  --clients N       number of clients (12)
  --faults KIND,..  only faults of these kinds
  --times N         with --faults: multiplies how often they occur (1)
  --without KIND,.. all faults except those of these kinds
  --callers POLICY  patient: most wait for Retry-After; immediate: none does (patient)
  --keep FOLDER     folder for faults, breaches and logs of seeds with a breach (soak-failures)
  --keep-all        write them for all seeds

Exits with 1 if a guarantee was broken, and with 2 if the soak test could not run.
";

/// Reason for which the soak test could not run.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The command line is invalid.
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    /// The argument does not exist.
    #[error("unknown argument {0}")]
    Unknown(String),
    /// Logs could not be written.
    #[error("cannot write logs: {0}")]
    Logs(#[from] std::io::Error),
}

/// Selects the faults of a seed that are injected.
enum Faults {
    /// Only the faults of some kinds, and the factor by which they occur more often.
    Only(Vec<String>, u32),
    /// All faults except those of some kinds.
    Without(Vec<String>),
}

struct Options {
    seeds: Vec<u64>,
    size: plan::Size,
    faults: Faults,
    callers: client::Policy,
    keep: PathBuf,
    keep_all: bool,
}

impl Options {
    fn events(&self, seed: u64) -> Vec<plan::Event> {
        match &self.faults {
            Faults::Only(kinds, times) => plan::draw_kinds(seed, &self.size, kinds, *times),
            Faults::Without(kinds) => plan::draw_without(seed, &self.size, kinds),
        }
    }
}

fn parse_options(mut arguments: pico_args::Arguments) -> Result<Options, Error> {
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
    let keep = keep.unwrap_or_else(|| PathBuf::from("soak-failures"));
    let callers = arguments.opt_value_from_str("--callers")?.unwrap_or_default();
    let times = arguments.opt_value_from_str("--times")?.unwrap_or(1);
    let only = parse_kinds(&mut arguments, "--faults")?;
    let without = parse_kinds(&mut arguments, "--without")?;
    let faults = match only {
        Some(only) => Faults::Only(only, times),
        None => Faults::Without(without.unwrap_or_default()),
    };
    let keep_all = arguments.contains("--keep-all");
    let rest = arguments.finish();
    if let Some(unknown) = rest.first() {
        return Err(Error::Unknown(unknown.to_string_lossy().into_owned()));
    }
    let seeds = match seed {
        Some(seed) => vec![seed],
        // 32 bits, so that a seed is short enough to be copied by hand.
        None => (0..runs).map(|_| u64::from(rand::random::<u32>())).collect(),
    };
    Ok(Options { seeds, size, faults, callers, keep, keep_all })
}

/// Returns the kinds of faults that an option lists.
fn parse_kinds(
    arguments: &mut pico_args::Arguments,
    option: &'static str,
) -> Result<Option<Vec<String>>, Error> {
    let text: Option<String> = arguments.opt_value_from_str(option)?;
    Ok(text.map(|text| text.split(',').map(str::to_owned).collect()))
}

async fn soak() -> Result<bool, Error> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(true);
    }
    let options = parse_options(arguments)?;
    let mut passed = true;
    for &seed in &options.seeds {
        let events = options.events(seed);
        let report = run::play(seed, &options.size, options.callers, events).await;
        let ends: Vec<String> =
            report.ends.iter().map(|(end, count)| format!("{end}:{count}")).collect();
        println!(
            "seed={seed} faults={} requests={} answered={} refused={} ends={} switches={} breaches={}",
            report.events.len(),
            report.requests.0,
            report.requests.1,
            report.refused,
            ends.join(","),
            report.switches,
            report.breaches.len()
        );
        report.breaches.iter().take(10).for_each(|breach| println!("  {breach}"));
        let broken = !report.breaches.is_empty();
        passed &= !broken;
        if broken || options.keep_all {
            let folder = options.keep.join(format!("seed-{seed}-{}", std::process::id()));
            report.save(&folder)?;
            println!("  kept in {}", folder.display());
        }
    }
    Ok(passed)
}

#[tokio::main]
async fn main() -> ExitCode {
    match soak().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("loftcove-soak: {error}\n\n{HELP}");
            ExitCode::from(2)
        }
    }
}
