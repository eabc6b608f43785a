//! Cases of the review: `review-standins CASE FOLDER PROGRAM`, or `review-standins worker ID ADDRESS MODE`. `FOLDER` gets `record.txt`, and
//! `PROGRAM` is loftcoved. With `TROUBLE=0` the disruption is left out.

mod child;
mod client;
mod drain;
mod http;
mod json;
mod memory;
mod reborn;
mod record;
mod splice;
mod store;
mod stream_worker;
mod system;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit statuses of a case.
mod exit {
    pub const HELD: u8 = 0;
    pub const BROKEN: u8 = 1;
    pub const NOT_RUN: u8 = 2;
}

pub struct Case {
    pub folder: PathBuf,
    pub program: String,
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [name, id, address, mode] = &arguments[..] {
        if name == "worker" {
            return stream_worker::run(id, address, mode);
        }
    }
    let [name, folder, program] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER PROGRAM");
        return ExitCode::from(exit::NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { folder: folder.into(), program: program.clone(), trouble };
    child::limit_time(i32::from(exit::NOT_RUN));
    // A panic of a case means that it could not run.
    let run = std::panic::catch_unwind(|| match &**name {
        // The cases `drain` and `memory` have no folder of their own.
        "drain" => drain::run(&case),
        "memory" => memory::run(&case),
        "reborn" => reborn::run(&case),
        "splice" => splice::run(&case),
        _ => ExitCode::from(exit::NOT_RUN),
    });
    run.unwrap_or(ExitCode::from(exit::NOT_RUN))
}
