//! Streams under a fractional limit.

/// Credit in stream-seconds. A limit of 0.6 streams admits one stream during 0.6 of the time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Credit {
    balance: f64,
}

impl Credit {
    /// Returns the credit after `time` seconds with that limit and number of streams. The balance stays within `cap`
    /// stream-seconds of zero, so that neither idle time nor a limit that has fallen has an
    /// effect for longer than one stream.
    #[must_use]
    pub fn after(self, limit: f64, streams: u32, time: f64, cap: f64) -> Credit {
        let unused = (limit - f64::from(streams)).clamp(-1.0, 1.0);
        Credit { balance: (self.balance + unused * time).clamp(-cap, cap) }
    }

    /// Returns the credit, stream-seconds.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Returns the credit without `amount` stream-seconds.
    #[must_use]
    pub fn less(self, amount: f64) -> Credit {
        Credit { balance: self.balance - amount }
    }

    /// Returns whether one more stream may start.
    pub fn admits(&self, limit: f64, streams: u32) -> bool {
        let streams = f64::from(streams);
        streams + 1.0 <= limit || (streams < limit && self.balance >= 0.0)
    }
}
