//! Log lines for *learnt* records: records that are newer than the ones known before.
//!
//! Hundreds of hosts receive each entry of every other host, most of them while all start. The
//! lines at level `info` are therefore rate limited; after a burst, the next line gives the number
//! of suppressed lines as `left_out`. At level `debug` every record has a line.

use loftcove_decision::mirror::Record;
use loftcove_line::field;

use crate::{Source, log_limit};

/// Logger with a rate limit at level `info`.
#[derive(Debug, Default)]
pub struct Logger {
    limiter: log_limit::Limiter,
}

impl Logger {
    /// Logs a learnt record and the source that it was received from.
    pub fn log(&self, record: &Record, source: Source<'_>) {
        let (revision, removed) = (record.revision, record.value.is_none());
        let key = field::Text(&record.key);
        log::debug!(
            "record learnt key={key} revision={revision} removed={removed} from={}",
            field::Text(&source.to_string())
        );
        if let Some(left_out) = self.limiter.acquire() {
            log::info!(
                "learnt key={key} revision={revision} removed={removed} from={} left_out={left_out}",
                field::Text(&source.to_string())
            );
        }
    }
}
