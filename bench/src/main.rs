//! `bench placement|curve|routing|overload|rest|path|capacity|spread|poison|suspects`: prints a
//! measurement. `bench poison FILE` also draws it to an SVG file.

use loftcove_bench::{
    capacity, overload, path, placement, poison, rest, routing, spread, suspects,
};

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let which = arguments.subcommand().ok().flatten().unwrap_or_default();
    match which.as_str() {
        "placement" => placement::print(),
        "curve" => placement::print_curve(),
        "routing" => routing::print(),
        "overload" => overload::print(),
        "rest" => rest::print(),
        "path" => path::print(),
        "capacity" => capacity::print(),
        "spread" => spread::print(),
        "poison" => {
            poison::print();
            for file in arguments.finish() {
                if let Err(error) = poison::draw(file.as_ref()) {
                    eprintln!("cannot draw the chart: {error}");
                }
            }
        }
        "suspects" => suspects::print(),
        _ => println!(
            "usage: bench placement|curve|routing|overload|rest|path|capacity|spread|poison|suspects"
        ),
    }
}
