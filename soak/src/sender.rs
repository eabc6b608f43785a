//! Peers that send bytes without end to the processes under test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use loftcove_standins::sender::Form;
use loftcove_tests::request::Request;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use crate::client;

/// Maximum pause between two connections.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Time for which a process that is stopped or cut off is tried.
const LIMIT: Duration = Duration::from_secs(1);

/// Sends to the addresses for clients and for other processes until [`client::Shared::stop`] is
/// set. That a connection is closed is left to the end-to-end tests: here, the requests of others
/// show what it costs.
pub async fn run(
    shared: Arc<client::Shared>,
    clients: Vec<SocketAddr>,
    processes: Vec<SocketAddr>,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(29));
    let request = Request::new("/receipt/soak").text();
    let http1 = Form::http1(request.split("content-length").next().unwrap_or_default());
    let http2 = Form::http2_client("/loftcove.v1.Mirror/Follow");
    while !shared.stop.load(Ordering::Relaxed) {
        let (addresses, forms) =
            if rng.random_bool(0.5) { (&clients, &http1) } else { (&processes, &http2) };
        let address = addresses[rng.random_range(0..addresses.len())];
        let form = &forms[rng.random_range(0..forms.len())];
        // A process that is down accepts no connection.
        tokio::time::timeout(LIMIT, form.send(address, LIMIT)).await.ok();
        tokio::time::sleep(rng.random_range(Duration::ZERO..MAX_PAUSE)).await;
    }
}
