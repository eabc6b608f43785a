//! A term fences the orders of one group, whatever other groups' terms are.

use std::sync::Arc;

use loftcove_decision::map::fence::Fence;
use proptest::prelude::*;

/// A driver of one of two groups orders a rank, which may be moved between them.
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
fn a_higher_term_of_another_group_supersedes_nobody() {
    let groups: [Arc<str>; 2] = ["g-1".into(), "g-2".into()];
    let mut fence = Fence::default();
    assert_eq!(fence.observe(&groups[0], 5), 5);
    assert_eq!(fence.observe(&groups[0], 3), 5);
    // The rank is moved: the first group's term says nothing any more.
    assert_eq!(fence.observe(&groups[1], 2), 2);
}

proptest! {
    #[test]
    fn an_order_passes_if_it_has_the_highest_term_of_its_group(
        events in proptest::collection::vec(event(), 1..60)
    ) {
        let groups: [Arc<str>; 2] = ["g-1".into(), "g-2".into()];
        let mut fence = Fence::default();
        let mut own = 0;
        // Group and term of the last order that the rank took.
        let mut last = (0, 0);
        for event in events {
            match event {
                Event::Move { group } => own = group,
                Event::Order { group, term } if group == own => {
                    let highest = if last.0 == own { last.1.max(term) } else { term };
                    last = (own, highest);
                    prop_assert_eq!(fence.observe(&groups[own], term), highest);
                }
                // A rank refuses orders of another group by the group's name.
                Event::Order { .. } => {}
            }
        }
    }
}
