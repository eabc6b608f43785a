//! `bench placement|curve|routing|overload|path|capacity|spread`: prints a measurement.

use loftcove_bench::{capacity, overload, path, placement, routing, spread};

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let which = arguments.subcommand().ok().flatten().unwrap_or_default();
    match which.as_str() {
        "placement" => placement::print(),
        "curve" => placement::print_curve(),
        "routing" => routing::print(),
        "overload" => overload::print(),
        "path" => path::print(),
        "capacity" => capacity::print(),
        "spread" => spread::print(),
        _ => println!("usage: bench placement|curve|routing|overload|path|capacity|spread"),
    }
}
