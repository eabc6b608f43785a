//! A rank of the stand-in counts the orders that it accepts, and rejects an order that states
//! another count. Tests of late orders depend on that.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_standins::group::Group;
use serde_json::{Value, json};

async fn order(group: &Group, order: Value) -> Option<u16> {
    group.order(0, serde_json::from_value(order).unwrap()).await
}

#[tokio::test]
async fn rejects_an_order_that_states_an_earlier_count() {
    let group = Group::new("g0", 2);
    assert_eq!(group.report(0)["seq"], 0);
    let hold =
        |step: u64, orders: u64| json!({ "op": "hold", "step": step, "expected_rev": orders });
    assert_eq!(order(&group, hold(1, 0)).await, Some(202));
    assert_eq!(group.report(0)["seq"], 1);
    let release = |orders: u64| json!({ "op": "go", "step": 1, "expected_rev": orders });
    assert_eq!(order(&group, release(0)).await, Some(409));
    assert_eq!(group.report(0)["held"], 1);
    assert_eq!(order(&group, release(1)).await, Some(202));
    assert_eq!(group.report(0)["held"], Value::Null);
    assert_eq!(group.report(0)["seq"], 2);
    // A rejected order does not count.
    assert_eq!(order(&group, json!({ "op": "disarm", "version": 9 })).await, Some(409));
    assert_eq!(group.report(0)["seq"], 2);
    assert_eq!(group.report(1)["seq"], 0);
}
