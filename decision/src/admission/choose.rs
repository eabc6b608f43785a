//! Selection of the next waiter of a pool.

use cranelift_entity::SecondaryMap;

use crate::admission::{Pool, STARVATION_INTERVAL, Share, Waiter};
use crate::entity;

impl Pool {
    /// Removes and returns the next waiter among those whose precedence and team are eligible.
    pub(super) fn pop(
        &mut self,
        shares: &SecondaryMap<entity::Team, Share>,
        mut eligible: impl FnMut(u32, entity::Team) -> bool,
    ) -> Option<Waiter> {
        let (mut urgent, mut oldest_other) = (None, None);
        for (precedence, band) in &self.bands {
            let Some(oldest) = band.oldest(|team| eligible(*precedence, team)) else { continue };
            if urgent.is_none() {
                urgent = Some(*precedence);
            } else if oldest_other.is_none_or(|(other, _)| oldest < other) {
                oldest_other = Some((oldest, *precedence));
            }
        }
        let urgent = urgent?;
        let oldest_other = oldest_other.map(|(_, precedence)| precedence);
        let chosen = match oldest_other {
            Some(other) if self.urgent_streak + 1 >= STARVATION_INTERVAL => other,
            _ => urgent,
        };
        self.urgent_streak =
            if chosen == urgent && oldest_other.is_some() { self.urgent_streak + 1 } else { 0 };
        self.bands.get_mut(&chosen)?.pop(shares, |team| eligible(chosen, team))
    }
}
