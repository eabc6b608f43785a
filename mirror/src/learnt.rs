//! What is logged of records that a host learns.
//!
//! Hundreds of hosts hear of each entry of each other one, most of them as all
//! start. So each record has a line while few come, and only a number of lines
//! in a flood; the next line then tells how many records were left out. Each
//! record is logged at the level debug as well.

use loftcove_decision::mirror::Record;

use crate::{Source, lines};

/// What is logged.
#[derive(Debug, Default)]
pub struct Learnt {
    lines: lines::Allowance,
}

impl Learnt {
    /// Logs a record that was news.
    pub fn log(&self, record: &Record, source: Source<'_>) {
        let (key, revision, removed) = (&record.key, record.revision, record.value.is_none());
        log::debug!("record learnt key={key} revision={revision} removed={removed} from={source}");
        if let Some(left_out) = self.lines.take() {
            log::info!(
                "learnt key={key} revision={revision} removed={removed} from={source} left_out={left_out}"
            );
        }
    }
}
