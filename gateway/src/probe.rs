//! Finds out when a group that was out of reach can be reached again, without
//! a caller's request: a connection is made and closed.

use std::sync::Arc;
use std::time::Duration;

use loftcove_interface::protocol::Protocol;

use crate::{state, upstream};

/// Pause between two probes of a gateway. A probe costs two packets; the time
/// until one comes about is what callers lose after the way is open again.
const PAUSE: Duration = Duration::from_millis(200);

/// Probes groups that are out of reach until the process ends.
pub async fn run<P: Protocol>(gateway: Arc<state::Gateway<P>>) {
    loop {
        for (group, ranks) in gateway.dispatcher.out_of_reach().await {
            let place = rand::random_range(0..ranks.len().max(1));
            let Some(target) = ranks.get(place) else { continue };
            if upstream::reaches(target.address).await {
                gateway.dispatcher.reached(group);
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}
