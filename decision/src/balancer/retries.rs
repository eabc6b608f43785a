//! Charges retries to the retry budget.

use std::time::Duration;

use crate::balancer::{Balancer, Note};
use crate::{clock, entity, retry};

/// Minimum time between two [`Note::BudgetUsedUp`].
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

impl<P> Balancer<P> {
    /// Returns the state of the retry budget.
    pub fn retry_budget(&self) -> retry::Status {
        self.budget.status()
    }

    /// Withdraws a retry for a request to a pool. Returns whether the budget allows it.
    pub(super) fn charge_retry(&mut self, pool: entity::Pool, now: clock::Instant) -> bool {
        if self.budget.withdraw() {
            return true;
        }
        if self.denial_noted.is_none_or(|noted| now.since(noted) >= NOTE_INTERVAL) {
            self.denial_noted = Some(now);
            self.notes.push(Note::BudgetUsedUp(pool, self.budget.status()));
        }
        false
    }
}
