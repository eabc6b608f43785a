//! The stand-in for a plain service: `standin-service [--listen ADDRESS]`.

use loftcove_standins::{server, service};

#[tokio::main]
async fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let address = arguments.opt_value_from_str("--listen").expect("--listen takes an address");
    let listener = server::listen(address.unwrap_or(([127, 0, 0, 1], 0).into())).await;
    let stand_in = service::Service::default();
    server::serve(listener, move |request| stand_in.clone().handle(request)).await;
}
