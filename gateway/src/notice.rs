//! Applies what backend servers report about leaving, resting and rate limits. Changes are logged.
//!
//! A server that asks for a *rest* gets no requests for a time.

use loftcove_decision::routing::{notice, rate};
use loftcove_dispatch as dispatch;
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;

use crate::request::Request;
use crate::state::{Gateway, Target};

impl<P: Protocol> Gateway<P> {
    /// Applies what a response reports about its backend server leaving or resting.
    pub(crate) fn apply_notice(
        &self,
        request: &Request,
        attempt: &dispatch::Attempt<Target>,
        status: http::StatusCode,
        notice: &notice::Notice,
    ) {
        if notice.is_empty() {
            return;
        }
        let (server, status) = (attempt.target.run.id.clone(), status.as_u16());
        if notice.rest == notice::Rest::Unreadable {
            log::warn!(
                "rest not understood request={} server={server} status={status}",
                field::Text(&request.meta.id),
                server = field::Text(&server)
            );
        }
        let born = born(&attempt.target);
        match self.dispatcher.apply_notice(attempt.server, notice) {
            None => {}
            Some(notice::Change::Rests(time)) => {
                self.metrics.rests.inc();
                log::info!(
                    "server rests server={server} born={born} asked_ms={} ms={} request={} \
                     status={status}",
                    notice.rest,
                    time.as_millis(),
                    field::Text(&request.meta.id),
                    server = field::Text(&server)
                );
            }
            Some(notice::Change::Leaves) => log::info!(
                "server leaves server={server} born={born} request={} status={status}",
                field::Text(&request.meta.id),
                server = field::Text(&server)
            ),
        }
    }

    /// Applies what a response reports about its backend server's rate limit.
    pub(crate) fn apply_limit(
        &self,
        request: &Request,
        attempt: &dispatch::Attempt<Target>,
        status: http::StatusCode,
        notice: rate::Notice,
    ) {
        let (id, server, status) = (&request.meta.id, &attempt.target.run.id, status.as_u16());
        if notice == rate::Notice::Unreadable {
            log::warn!(
                "limit not understood request={id} server={server} status={status}",
                id = field::Text(id),
                server = field::Text(server)
            );
        }
        match self.dispatcher.apply_rate_notice(attempt.server, notice, attempt.at) {
            None => {}
            Some(rate::Change::Limited(limit, before)) => {
                self.metrics.limits.inc();
                self.mirror.lifts.discard_pending(&attempt.target.run);
                let before = before.map_or_else(|| "-".to_owned(), |before| before.to_string());
                let pace = self.dispatcher.pace(attempt.server);
                log::info!(
                    "server limited server={server} born={} per_second={limit} before={before} \
                     holder={} interval_ms={} request={id} status={status}",
                    born(&attempt.target),
                    pace.is_some_and(|pace| pace.holder),
                    pace.map_or(0, |pace| pace.interval.as_millis()),
                    server = field::Text(server),
                    id = field::Text(id)
                );
            }
            Some(rate::Change::Lifted(time)) => {
                self.mirror.record_lift(&attempt.target.run);
                log::info!(
                    "server limit lifted server={server} born={} ms={} request={id} \
                     status={status}",
                    born(&attempt.target),
                    time.as_millis(),
                    server = field::Text(server),
                    id = field::Text(id)
                );
            }
        }
    }
}

/// Returns the start time of a run, or `-` if its entry has none.
fn born(target: &Target) -> String {
    target.run.born.map_or_else(|| "-".to_owned(), |born| born.to_string())
}
