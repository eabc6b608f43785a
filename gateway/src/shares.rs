//! Shares of the teams in the arriving requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use loftcove_clock as boot;

/// Time after which a request counts half: some requests of each team arrive at each gateway
/// within it, and a burst of several seconds shows.
const HALF_TIME: Duration = Duration::from_secs(10);
/// Count below which a team is forgotten, which bounds the number of teams.
const MIN_COUNT: f64 = 0.5;

/// Class of a team by its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The team sends more than its even share of the requests.
    Large,
    /// The team sends at most its even share.
    Small,
}

impl Class {
    /// Returns the class as a label.
    pub fn label(self) -> &'static str {
        match self {
            Class::Large => "large",
            Class::Small => "small",
        }
    }
}

/// Recent requests of each team.
#[derive(Debug, Default)]
pub struct Shares(Mutex<Counts>);

#[derive(Debug, Default)]
struct Counts {
    teams: BTreeMap<Arc<str>, f64>,
    /// Time of the last halving.
    halved: Option<boot::Instant>,
}

impl Shares {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        // The counts are estimates, so an update that a panic cut short does no harm.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request of a team and returns the team's class.
    pub fn record(&self, team: &Arc<str>, now: boot::Instant) -> Class {
        let mut counts = self.lock();
        let halved = *counts.halved.get_or_insert(now);
        let halvings = now.saturating_duration_since(halved).as_secs() / HALF_TIME.as_secs();
        if halvings > 0 {
            let factor = 0.5_f64.powi(halvings.min(64) as i32);
            counts.teams.values_mut().for_each(|count| *count *= factor);
            counts.teams.retain(|_, count| *count >= MIN_COUNT);
            counts.halved = Some(now);
        }
        *counts.teams.entry(team.clone()).or_default() += 1.0;
        let total: f64 = counts.teams.values().sum();
        let even = total / counts.teams.len() as f64;
        if counts.teams[team] > even { Class::Large } else { Class::Small }
    }
}
