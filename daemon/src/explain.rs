//! Decisions, logged and kept for `loftcove explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

/// Decisions that are kept.
const CAPACITY: usize = 8_192;
/// Target of the decisions' log lines.
pub const TARGET: &str = "decision";

/// The decisions of the last requests. Its lock is taken last of all.
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
    /// Logs a decision about a request, or about whatever has that id, and keeps it.
    pub fn record(&self, subject: &str, text: String) {
        log::info!(target: TARGET, "request={subject} {text}");
        let mut lines = self.lock();
        if lines.len() >= CAPACITY {
            lines.pop_front();
        }
        lines.push_back(Line { subject: subject.into(), text: text.into() });
    }

    /// The decisions about one subject, oldest first.
    pub fn entries(&self, subject: &str) -> Vec<String> {
        let lines = self.lock();
        let matching = lines.iter().filter(|line| *line.subject == *subject);
        matching.map(|line| line.text.to_string()).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Line>> {
        // A panic elsewhere cannot leave the queue half changed.
        self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
