//! Records of the ends of responses and of final answers, in the log and in the metrics.

use std::fmt;

use loftcove_clock as boot;
use loftcove_decision::route;
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;
use loftcove_response::ending;
use loftcove_response::framing::Framing;

use crate::metrics;
use crate::request::{Origin, Refusal, Request};
use crate::state::{Gateway, Target};

impl<P: Protocol> Gateway<P> {
    /// Returns team and urgency of an arriving request, and counts it for the shares of the teams.
    pub(crate) fn origin(&self, grant: &route::Grant) -> Origin {
        let team = grant.team.as_ref().map_or_else(|| "-".into(), |team| team.name.clone());
        let class = self.shares.record(&team, boot::Instant::now());
        Origin { team, urgency: grant.route.priority, class }
    }

    /// Logs and counts a request's outcome. `detail` follows the reason in the log.
    pub(crate) fn done(
        &self,
        request: &Request,
        outcome: &'static str,
        reason: &str,
        detail: &dyn fmt::Display,
    ) {
        let (time, origin) = (request.received.elapsed(), &request.origin);
        self.metrics.ended(metrics::Outcome::new(outcome, reason, Some(origin)), time);
        log::info!(
            "outcome request={} outcome={outcome} reason={reason}{detail} ms={} team={} \
             urgency={}",
            field::Text(&request.meta.id),
            time.as_millis(),
            field::Text(&origin.team),
            origin.urgency
        );
    }

    /// Counts how a backend server's response ended, and logs it unless its framing shows that it
    /// is complete.
    pub(crate) fn record_ending(
        &self,
        request: &Request,
        target: &Target,
        framing: Framing,
        ending: Result<(), ending::Error>,
    ) {
        self.metrics.response_ended(framing, ending);
        if framing != Framing::Close && ending.is_ok() {
            return;
        }
        let end = ending.err().map_or_else(|| "complete".to_owned(), |error| error.to_string());
        log::info!(
            "response ended request={} server={} framing={framing} end={end} ms={}",
            field::Text(&request.meta.id),
            field::Text(&target.run.id),
            request.received.elapsed().as_millis()
        );
    }

    /// Logs and counts a request that is rejected without an attempt.
    pub(crate) fn log_refusal(
        &self,
        (id, origin): (Option<&str>, Option<&Origin>),
        refusal: Refusal,
        received: boot::Instant,
    ) {
        let (status, _) = refusal.answer();
        let reason = refusal.to_string();
        let label = metrics::Outcome::new("refused", &reason, origin);
        self.metrics.ended(label, received.elapsed());
        let (team, urgency) = match origin {
            Some(origin) => (field::Text(&origin.team), origin.urgency.to_string()),
            None => (field::Text("-"), "-".to_owned()),
        };
        log::info!(
            "refused request={} reason={reason} status={status} team={team} urgency={urgency}",
            field::Text(id.unwrap_or("-"))
        );
    }
}
