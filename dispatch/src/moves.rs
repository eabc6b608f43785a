//! Moves of requests in flight from slow ranks to others.

use std::sync::Arc;

use loftcove_decision::{balancer, clock, entity};
use tokio::sync::mpsc;

use crate::{Attempt, Dispatcher, Inner, Next};

/// A request in flight that is moved to another backend server. Its attempt is to be dropped, which
/// cancels it, and the new one is to be sent. An event stream continues after its last event.
#[derive(Debug, Clone)]
pub struct Move<T> {
    /// Attempt that replaces the one in flight.
    pub attempt: Attempt<T>,
    /// Id of the slow rank.
    pub from: Arc<str>,
    /// Slowness of that rank: the time that its work takes, as a multiple of the usual time.
    pub slowness: f64,
}

impl<T: Clone + Send> Dispatcher<T> {
    pub(crate) fn decline_move(&self, ticket: entity::Ticket) {
        let now = self.now();
        self.lock().balancer.cancel_move(ticket, now);
    }
}

impl<T: Clone> Inner<T> {
    pub(crate) fn move_of(&self, moved: &balancer::Move) -> Option<Move<T>> {
        Some(Move {
            attempt: self.attempt(&moved.dispatch)?,
            from: self.balancer.servers()[moved.from].listing.host.clone(),
            slowness: moved.slowness,
        })
    }

    /// Cancels a move that the request has not read yet, because its attempt ends. Nothing else can
    /// be unread while an attempt is in flight.
    pub(crate) fn cancel_unread_move(
        &mut self,
        ticket: entity::Ticket,
        unread: &mut mpsc::UnboundedReceiver<Next<T>>,
        now: clock::Instant,
    ) {
        while let Ok(next) = unread.try_recv() {
            if matches!(next, Next::Move(_)) {
                self.balancer.cancel_move(ticket, now);
            }
        }
    }
}
