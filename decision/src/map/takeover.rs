//! Decides what happens to a change of the map while one rank, usually that of the frozen driver,
//! cannot be queried. `docs/design/map-epochs.md` lists the states and the reasons.

use crate::map::switch::Condition;
use crate::map::version::{self, Arming};

/// What is done with a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// The remaining ranks are armed, and the group is released.
    Forward,
    /// The armed ranks are disarmed, and the group is released.
    Undo,
    /// Nothing; the state is to be read again.
    Wait,
}

/// Reason for an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Reason {
    /// No rank holds the pass after the last one that has begun. The group is not blocked, or a
    /// late order to arm would not be rejected after the release.
    #[error("next pass is not held")]
    NotHeld,
    /// No rank has a map prepared.
    #[error("no rank is prepared")]
    NotPrepared,
    /// Another rank than that of the driver, or more than one, cannot be queried.
    #[error("a rank other than the driver's is unknown")]
    OtherUnknown,
    /// A rank is armed for another map or pass, or is not prepared, or ranks are armed out of
    /// order.
    #[error("ranks are in a state that the order of arming excludes")]
    Inconsistent,
    /// The driver's own rank is armed only after the holder, which is not armed.
    #[error("holder is not armed")]
    HolderUnarmed,
    /// Nothing shows whether the driver's own rank is armed.
    #[error("driver's rank may be armed")]
    DriverUnknown,
    /// A third rank other than the marker is armed only after the driver's own.
    #[error("a third rank is armed")]
    ThirdArmed,
    /// The driver's own rank is armed only after all others, and one of them is not armed.
    #[error("another rank is not armed")]
    OtherUnarmed,
}

/// Decision about a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Version of the map.
    pub version: u64,
    /// Pass that the group is held before.
    pub pass: u64,
    /// What is done with the change.
    pub action: Action,
    /// Why.
    pub reason: Reason,
}

/// Decides about the change of a group whose ranks have these states; `None` is a rank that cannot
/// be queried. `pass` is the last pass that has begun.
pub fn decide(ranks: &[Option<Condition>], pass: u64) -> Decision {
    let known = || ranks.iter().flatten();
    let held = known().find_map(|rank| rank.held).filter(|held| *held == pass + 1);
    let version = known().find_map(|rank| rank.prepared);
    let decision = |action, reason| Decision {
        version: version.unwrap_or(0),
        pass: held.unwrap_or(0),
        action,
        reason,
    };
    let wait = |reason| decision(Action::Wait, reason);
    let Some(held) = held else { return wait(Reason::NotHeld) };
    let Some(version) = version else { return wait(Reason::NotPrepared) };
    let driver = version::driver(version, ranks.len());
    if (0..ranks.len()).any(|rank| ranks[rank].is_some() != (rank != driver)) {
        return wait(Reason::OtherUnknown);
    }
    if version::arming(version, ranks.len()) == Arming::OwnLast {
        return match known().all(|rank| rank.armed.is_some()) {
            true => wait(Reason::DriverUnknown),
            false => decision(Action::Undo, Reason::OtherUnarmed),
        };
    }
    let armed = |rank: &Condition| rank.armed.is_some();
    let expected = |rank: &Condition| {
        rank.prepared == Some(version)
            && rank.armed.is_none_or(|armed| armed == (version, held))
            && rank.held.is_none_or(|pass| pass == held)
    };
    let holder = version::holder(version, ranks.len());
    let holds = |rank: usize| ranks[rank].is_some_and(|state| state.held.is_some());
    let holder_armed = ranks[holder].as_ref().is_some_and(armed);
    let marker = version::marker(version, ranks.len());
    let is_armed = |rank: usize| ranks[rank].as_ref().is_some_and(armed);
    let is_holder = |rank: usize| version::is_holder(version, ranks.len(), rank);
    let third_armed = (0..ranks.len()).any(|rank| !is_holder(rank) && is_armed(rank));
    let others_hold = (0..ranks.len()).any(|rank| holds(rank) && !is_holder(rank));
    // Before a third rank is armed, the marker is armed only while it holds the group.
    let marker_released = marker.is_some_and(|marker| is_armed(marker) && !holds(marker));
    if !known().all(expected) || others_hold || marker_released && !third_armed {
        return wait(Reason::Inconsistent);
    }
    match (holder_armed, third_armed) {
        (true, true) => decision(Action::Forward, Reason::ThirdArmed),
        (true, false) => wait(Reason::DriverUnknown),
        (false, false) => decision(Action::Undo, Reason::HolderUnarmed),
        (false, true) => wait(Reason::Inconsistent),
    }
}
