//! History of recent decisions, which are logged and stored for `loftcove explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use loftcove_line::field;

/// Maximum number of stored decisions.
const CAPACITY: usize = 8_192;
/// Log target of decisions.
pub const TARGET: &str = "decision";

/// The most recent decisions. Its lock is the last in the lock order of the process.
#[derive(Debug, Default)]
pub struct History {
    lines: Mutex<VecDeque<Line>>,
}

#[derive(Debug)]
struct Line {
    subject: Box<str>,
    text: Box<str>,
}

impl History {
    /// Logs and stores a decision about `subject`, which is the id of a request or key, or the name
    /// of a record, group or task.
    pub fn record(&self, subject: &str, text: String) {
        log::info!(target: TARGET, "request={} {text}", field::Text(subject));
        let mut lines = self.lock();
        if lines.len() >= CAPACITY {
            lines.pop_front();
        }
        lines.push_back(Line { subject: subject.into(), text: text.into() });
    }

    /// Returns the decisions about a subject, oldest first.
    pub fn entries(&self, subject: &str) -> Vec<String> {
        let lines = self.lock();
        let matching = lines.iter().filter(|line| *line.subject == *subject);
        matching.map(|line| line.text.to_string()).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Line>> {
        // A panic of another task cannot leave the queue in an inconsistent state.
        self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
