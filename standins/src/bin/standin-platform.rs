//! The stand-in for the platform: `standin-platform [--listen ADDRESS]`.

use loftcove_standins::{server, store};

#[tokio::main]
async fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let address = arguments.opt_value_from_str("--listen").expect("--listen takes an address");
    let listener = server::listen(address.unwrap_or(([127, 0, 0, 1], 0).into())).await;
    let platform = store::Store::default();
    server::serve(listener, move |request| platform.clone().handle(request)).await;
}
