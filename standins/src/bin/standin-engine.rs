//! The stand-in for one rank: `standin-engine --rank N [--followers A,B,..]
//! [--step-us N] [--layers N] [--experts N] [--listen ADDRESS]`.

use std::net::SocketAddr;
use std::time::Duration;

use loftcove_standins::{engine, server};

#[tokio::main]
async fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let address = arguments.opt_value_from_str("--listen").expect("--listen takes an address");
    let followers: Option<String> =
        arguments.opt_value_from_str("--followers").expect("--followers takes addresses");
    let mut number = |name: &'static str, default: u64| -> u64 {
        let value = arguments.opt_value_from_str(name).expect("the option takes a number");
        value.unwrap_or(default)
    };
    let parse = |text: &str| text.parse::<SocketAddr>().expect("a follower is an address");
    let followers = followers.unwrap_or_default();
    let config = engine::Config {
        rank: number("--rank", 0) as u32,
        followers: followers.split(',').filter(|text| !text.is_empty()).map(parse).collect(),
        step: Duration::from_micros(number("--step-us", 5_000)),
        layers: number("--layers", 4) as u32,
        experts: number("--experts", 8) as u32,
    };
    let listener = server::listen(address.unwrap_or(([127, 0, 0, 1], 0).into())).await;
    let launches_steps = config.rank == 0;
    let stand_in = engine::Engine::new(config);
    if launches_steps {
        tokio::spawn(stand_in.clone().run_steps());
    }
    server::serve(listener, move |request| stand_in.clone().handle(request)).await;
}
