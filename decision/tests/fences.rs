//! Tests that the fence of a rank compares terms within one group only.
//!
//! They guard against the rejection of valid orders after a rank was moved to a group whose driver
//! has a lower term than that of its previous group.

use std::sync::Arc;

use loftcove_decision::map::fence::Fence;
use proptest::prelude::*;

/// A driver of one of two groups sends an order to a rank, or the rank is moved to a group.
#[derive(Debug, Clone)]
enum Event {
    Order { group: usize, term: u64 },
    Move { group: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..2_usize, 1..20_u64).prop_map(|(group, term)| Event::Order { group, term }),
        1 => (0..2_usize).prop_map(|group| Event::Move { group }),
    ]
}

#[test]
fn a_higher_term_of_another_group_has_no_effect() {
    let groups: [Arc<str>; 2] = ["g-1".into(), "g-2".into()];
    let mut fence = Fence::default();
    assert_eq!(fence.observe(&groups[0], 5), 5);
    assert_eq!(fence.observe(&groups[0], 3), 5);
    // The rank is moved: the term of the first group no longer counts.
    assert_eq!(fence.observe(&groups[1], 2), 2);
}

proptest! {
    #[test]
    fn returns_the_highest_term_of_the_current_group(
        events in proptest::collection::vec(event(), 1..60)
    ) {
        let groups: [Arc<str>; 2] = ["g-1".into(), "g-2".into()];
        let mut fence = Fence::default();
        let mut own = 0;
        // Group of the last order that the rank received, and highest term of that group.
        let mut last = (0, 0);
        for event in events {
            match event {
                Event::Move { group } => own = group,
                Event::Order { group, term } if group == own => {
                    let highest = if last.0 == own { last.1.max(term) } else { term };
                    last = (own, highest);
                    prop_assert_eq!(fence.observe(&groups[own], term), highest);
                }
                // A rank rejects orders of another group by the name of the group.
                Event::Order { .. } => {}
            }
        }
    }
}
