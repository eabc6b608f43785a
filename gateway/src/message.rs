//! Messages to backend servers.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use loftcove_interface::protocol::{Forward, Protocol, Unsendable};

use crate::request::Request;
use crate::state::Target;

/// Lowest urgency that backend servers distinguish. 0 is the most urgent.
const MAX_PRIORITY: u32 = 9;

/// Returns the message for a backend server. `left` is the time until the deadline, and
/// `resume_after` the id of the event after which a stream resumes.
///
/// # Errors
///
/// Returns [`Unsendable`] if the backend server would not get one of the texts as it is.
pub fn new<P: Protocol>(
    request: &Request,
    target: &Target,
    left: Duration,
    resume_after: Option<Arc<str>>,
) -> Result<http::Request<Full<bytes::Bytes>>, Unsendable> {
    let forward = Forward {
        instance: target.run.id.clone(),
        team: request.grant.team.as_ref().map(|team| team.name.clone()),
        left: Some(left),
        priority: Some(request.grant.precedence().min(MAX_PRIORITY) as u8),
        resume_after,
    };
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.head.method.clone();
    *message.uri_mut() = origin_form(&request.head.uri);
    *message.headers_mut() = P::forward(&request.head, &forward)?;
    Ok(message)
}

/// Returns path and query alone, which is the form of a request to an origin server.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let mut parts = http::uri::Parts::default();
    parts.path_and_query = uri.path_and_query().cloned();
    http::Uri::from_parts(parts).unwrap_or_default()
}
