//! A group of two ranks with a better map than its current one.

#![allow(clippy::field_reassign_with_default, reason = "other fields are private")]

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::route;
use loftcove_sidecar::state::State;

/// Returns the state of a group whose first rank has nearly all of the work.
pub fn uneven_state() -> State {
    let mut state = State::default();
    state.map = Arc::new(vec![vec![vec![0, 1], vec![2, 3]]]);
    state.slowness = vec![1.0; 2];
    state.fill = 1.0;
    state.demand.add(&[1_000, 1_000, 1, 1]);
    state
}

/// Returns an engine that copies experts of `mb` megabytes at `mbps`.
pub fn engine(mbps: f64, mb: f64) -> (route::Engine, route::Experts) {
    let experts =
        route::Experts { sets: 1, count: 4, placements: 3, spare: 1, share: 0.5, size_mb: mb };
    let engine = route::Engine {
        slots: 8,
        memory_tokens: 10_000,
        step: Duration::from_millis(10),
        step_per_stream: Duration::from_millis(1),
        steps: 1,
        copy_mbps: mbps,
        read_per_s: 1_000.0,
        form: Duration::ZERO,
        experts: Some(experts),
    };
    (engine, experts)
}
