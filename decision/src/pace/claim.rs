//! The part of a group's free capacity that one gateway claims.
//!
//! Gateways claim free capacity at the same time and exchange no messages, so their parts should
//! add up to the whole. Parts in proportion to the streams in flight do, but they are out of date
//! when requests move from one gateway to another: the streams follow only as fast as the parts
//! allow. A gateway may therefore claim its part of the demand instead, as far as it accounts for
//! the growth of the group. If one gateway grows and the group does not, the others leave the
//! capacity to it. If all of them grow, as in a burst, each accounts for its own part only.

/// Weight of the newest update in the earlier means. They are about a second old, in which streams
/// begin and end.
const EARLIER_GAIN: f64 = 0.1;

/// Mean numbers of streams, both over the same answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Streams {
    /// Streams of this gateway.
    pub(super) own: f64,
    /// Streams of all gateways.
    pub(super) group: f64,
}

/// Follows the growth of a gateway and of its group.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Claim {
    earlier: Streams,
}

impl Claim {
    /// Returns the part of the free capacity that the gateway claims at an update, from
    /// `1 / gateways` to 1. `demand` is the number of streams that its requests would keep in
    /// flight.
    pub(super) fn update(&mut self, streams: Streams, demand: f64, gateways: f64) -> f64 {
        let grown = self.grown_part(streams);
        self.earlier.own += EARLIER_GAIN * (streams.own - self.earlier.own);
        self.earlier.group += EARLIER_GAIN * (streams.group - self.earlier.group);
        let group = streams.group.max(1.0);
        let demanded = (demand / group).min(grown);
        (streams.own / group).max(demanded).clamp(1.0 / gateways, 1.0)
    }

    /// Returns the part of the group's growth that is due to this gateway.
    fn grown_part(&self, streams: Streams) -> f64 {
        let own = (streams.own - self.earlier.own).max(0.0);
        let group = streams.group - self.earlier.group;
        own / group.max(own).max(1.0)
    }
}
