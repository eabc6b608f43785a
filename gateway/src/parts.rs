//! Rejects requests with a part of a prompt under which backend servers end.

use loftcove_decision::poison;
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;

use crate::request::Request;
use crate::state::Gateway;

impl<P: Protocol> Gateway<P> {
    /// Returns whether the request is to be sent as a trial of a refused part of its prompt.
    pub(crate) fn begins_trial(&self, request: &Request) -> bool {
        let (ends, name) = (&self.mirror.ends, &self.settings.host.name);
        let Some((part, _)) = ends.refused_part(&request.parts) else { return false };
        let others = request.parts.iter().copied().filter(|other| *other != part);
        let others: Vec<poison::Digest> = others.collect();
        // An end would not show which of two refused parts caused it.
        ends.refused_part(&others).is_none() && ends.begins_trial(part, name, &self.mirror)
    }

    /// Returns whether a part of the request's prompt is refused because servers ended under
    /// requests with it. Logs the part.
    pub(crate) fn has_refused_part(&self, request: &Request) -> bool {
        let found = self.mirror.ends.refused_part(request.refusable_parts());
        if let Some(found) = found {
            self.log_refused_part(request, found);
        }
        found.is_some()
    }

    pub(crate) fn log_refused_part(
        &self,
        request: &Request,
        (digest, ends): (poison::Digest, u32),
    ) {
        let (id, part) = (&request.meta.id, request.part_id(digest));
        log::info!(
            "prompt part ends servers request={id} part={part} digest={digest} ends={ends}",
            id = field::Text(id)
        );
    }
}
