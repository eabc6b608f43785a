//! Whether a backend server ended under a request.
//!
//! A connection that breaks says little: the path may have been reset, the
//! backend server may have cut one request, or its group may have broken since
//! another rank ended. One that has ended itself takes no connection either.

use std::sync::Arc;

use loftcove_interface::protocol::Protocol;

use crate::request::Request;
use crate::state::{Gateway, Target};
use crate::upstream;

impl<P: Protocol> Gateway<P> {
    /// The connection to a backend server broke under a request: finds out
    /// whether it lives, and logs that.
    pub(crate) fn broke(self: &Arc<Gateway<P>>, request: &Arc<Request>, target: &Target) {
        let (request, target) = (request.clone(), target.clone());
        tokio::spawn(async move {
            let lives = upstream::reaches(target.address).await;
            log::info!(
                "connection broke request={} digest={} server={} lives={lives} ms={}",
                request.meta.id,
                request.digest,
                target.run.id,
                request.came.elapsed().as_millis()
            );
        });
    }
}
