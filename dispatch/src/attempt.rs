//! Attempts to send a request to a backend server.

use std::sync::Arc;

use loftcove_decision::routing::policy;
use loftcove_decision::{balancer, clock, entity};

use crate::Inner;

/// An attempt to send.
#[derive(Debug, Clone)]
pub struct Attempt<T> {
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Backend server that was selected.
    pub server: entity::Server,
    /// The caller's data for reaching the server.
    pub target: T,
    /// Reason for the selection.
    pub reason: policy::Reason,
    /// Number of backend servers that were open for selection.
    pub open: usize,
    /// Load of the selected server, relative to its slots.
    pub score: f64,
    /// Ids of some backend servers that were skipped because they reported that they rest or leave.
    pub passed_over: Vec<Arc<str>>,
    /// Time of the selection.
    pub at: clock::Instant,
}

impl<T: Clone> Inner<T> {
    /// Returns the attempt of a dispatch, unless its backend server has no target.
    pub(crate) fn attempt(&self, dispatch: &balancer::Dispatch) -> Option<Attempt<T>> {
        let server = dispatch.choice.server;
        let chosen = dispatch.considered.iter().find(|c| c.server == server);
        let host = |id: &entity::Server| self.balancer.servers()[*id].listing.host.clone();
        Some(Attempt {
            passed_over: dispatch.passed_over.iter().map(host).collect(),
            number: dispatch.attempt,
            server,
            target: self.targets.get(&server)?.clone(),
            reason: dispatch.choice.reason,
            open: dispatch.considered.len(),
            score: chosen.map_or(0.0, |candidate| candidate.score),
            at: dispatch.at,
        })
    }
}
