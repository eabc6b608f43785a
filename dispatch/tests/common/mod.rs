//! A service with one backend server, and requests for it.

use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::fleet;
use loftcove_dispatch as dispatch;

const SERVICE: &str = "service";

/// Returns the list entry of a run with `slots` slots.
pub fn listing(run: &fleet::Run, slots: u32) -> dispatch::Listing<fleet::Run> {
    dispatch::Listing {
        run: run.clone(),
        pool: SERVICE.into(),
        rank: None,
        zone: "norte".into(),
        local: true,
        leaving: false,
        drained: false,
        cold: None,
        slots,
        target: run.clone(),
    }
}

/// Returns a request that is due after `time`.
pub fn arrival(time: Duration) -> dispatch::Arrival {
    let due = boot::Instant::now() + time;
    dispatch::Arrival {
        pool: SERVICE.into(),
        team: "team".into(),
        precedence: 0,
        repeatable: true,
        resumable: false,
        max_attempts: 2,
        due,
        begin_by: due,
        suspect: None,
    }
}
