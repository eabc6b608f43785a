//! Charges retries to the retry budgets of pools.
//!
//! Each pool has a budget of its own, because a service allows retries as a part of the requests to
//! itself.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::balancer::{Balancer, Note};
use crate::{clock, entity, retry};

/// Minimum time between two [`Note::BudgetUsedUp`] of a pool.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

/// Retry budgets by pool.
#[derive(Debug)]
pub(super) struct Accounts {
    /// Budget of a pool that has had no request yet.
    initial: retry::Budget,
    share: retry::Share,
    accounts: BTreeMap<entity::Pool, Account>,
}

#[derive(Debug)]
struct Account {
    budget: retry::Budget,
    /// Time of the last [`Note::BudgetUsedUp`].
    noted: Option<clock::Instant>,
}

impl Accounts {
    /// Creates accounts that all begin with a budget.
    pub(super) fn new(initial: retry::Budget) -> Accounts {
        Accounts { initial, share: retry::Share::default(), accounts: BTreeMap::new() }
    }

    fn account(&mut self, pool: entity::Pool) -> &mut Account {
        let initial = &self.initial;
        let account = || Account { budget: initial.clone(), noted: None };
        self.accounts.entry(pool).or_insert_with(account)
    }

    /// Returns the budget of a pool.
    pub(super) fn budget(&mut self, pool: entity::Pool) -> &mut retry::Budget {
        &mut self.account(pool).budget
    }

    /// Sets the maximum number of retries in each budget to the smallest one of recent time.
    pub(super) fn set_reserve(&mut self, reserve: f64, now: clock::Instant) -> f64 {
        let reserve = self.share.update(reserve, now);
        self.initial.set_reserve(reserve);
        self.accounts.values_mut().for_each(|account| account.budget.set_reserve(reserve));
        reserve
    }
}

impl<P> Balancer<P> {
    /// Returns the states of the retry budgets of all pools that have had requests.
    pub fn retry_budgets(&self) -> impl Iterator<Item = (entity::Pool, retry::Status)> {
        let accounts = self.retries.accounts.iter();
        accounts.map(|(pool, account)| (*pool, account.budget.status()))
    }

    /// Withdraws a retry for a request to a pool. Returns whether the budget allows it.
    pub(super) fn charge_retry(&mut self, pool: entity::Pool, now: clock::Instant) -> bool {
        let account = self.retries.account(pool);
        if account.budget.withdraw() {
            return true;
        }
        if account.noted.is_none_or(|noted| now.since(noted) >= NOTE_INTERVAL) {
            account.noted = Some(now);
            self.notes.push(Note::BudgetUsedUp(pool, account.budget.status()));
        }
        false
    }
}
