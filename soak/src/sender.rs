//! Peers of the processes under test that send bytes without end, or hold memory and connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use loftcove_standins::crowd::{self, Crowd};
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

/// Maximum body of the configuration, in bytes.
const BODY: usize = 65_536;
/// Size of a head that does not end, in bytes.
const HEAD: usize = 16_000;
/// Maximum pause between two crowds, and maximum time for which one stays.
const MAX_CROWD_PAUSE: Duration = Duration::from_millis(2_500);
/// Range of the number of clients of a crowd.
const CROWD: std::ops::Range<usize> = 5..60;

/// Lets crowds of clients hold memory and connections of gateways until [`client::Shared::stop`] is
/// set. No request of a crowd is complete, so none reaches a backend server.
pub async fn run_crowds(shared: Arc<client::Shared>, clients: Vec<SocketAddr>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(41));
    while !shared.stop.load(Ordering::Relaxed) {
        tokio::time::sleep(rng.random_range(Duration::ZERO..MAX_CROWD_PAUSE)).await;
        let key = client::key(shared.newest.load(Ordering::Relaxed));
        let request = Request::new("/alert/").key(&key).text();
        let head = request.split("content-length").next().unwrap_or_default();
        let mut forms = crowd::Form::unfinished(head, BODY);
        forms.extend(crowd::Form::excessive(head, BODY));
        forms.extend([crowd::Form::idle(), crowd::Form::unfinished_head(HEAD)]);
        let first = rng.random_range(0..forms.len());
        forms.rotate_left(first);
        let kinds = rng.random_range(1..=forms.len());
        let address = clients[rng.random_range(0..clients.len())];
        let (count, returning) = (rng.random_range(CROWD), rng.random_bool(0.5));
        let _crowd = Crowd::start(address, &forms[..kinds], count, returning);
        tokio::time::sleep(rng.random_range(Duration::ZERO..MAX_CROWD_PAUSE)).await;
    }
}
