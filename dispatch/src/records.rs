//! Counts of the records of runs of backend servers.

use crate::{Dispatcher, Inner};

/// Numbers of records of runs of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Records {
    /// Runs with a record.
    pub held: usize,
    /// Those of them that are listed.
    pub listed: usize,
    /// Targets of runs.
    pub targets: usize,
    /// Records that were removed since the start.
    pub removed: u64,
}

impl<T: Clone + Send> Dispatcher<T> {
    /// Returns the numbers of records of runs of backend servers.
    pub fn records(&self) -> Records {
        self.lock().records()
    }
}

impl<T: Clone> Inner<T> {
    fn records(&self) -> Records {
        let servers = self.balancer.servers();
        Records {
            held: servers.iter().count(),
            listed: servers.listed_count(),
            targets: self.targets.len(),
            removed: self.removed,
        }
    }

    /// Counts and logs the records that were removed at a time.
    pub(crate) fn log_removals(&mut self, count: u64) {
        if count == 0 {
            return;
        }
        self.removed += count;
        let Records { held, listed, .. } = self.records();
        log::info!("server records removed count={count} kept={held} listed={listed}");
    }
}
