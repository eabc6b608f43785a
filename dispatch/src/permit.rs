//! A request's guard.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::{balancer, entity};
use tokio::sync::mpsc;

use crate::{Dispatcher, Next};

/// A request between arrival and final answer. Dropping it before its end
/// means that the caller left.
pub struct Permit<T: Clone + Send> {
    dispatcher: Arc<Dispatcher<T>>,
    ticket: entity::Ticket,
    receiver: mpsc::UnboundedReceiver<Next<T>>,
    open: bool,
}

impl<T: Clone + Send> Permit<T> {
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher<T>>,
        ticket: entity::Ticket,
        receiver: mpsc::UnboundedReceiver<Next<T>>,
    ) -> Permit<T> {
        Permit { dispatcher, ticket, receiver, open: true }
    }

    /// What to do next with the request.
    pub async fn next(&mut self) -> Option<Next<T>> {
        let next = self.receiver.recv().await;
        if matches!(next, Some(Next::Refuse(_))) {
            // The balancer has ended it already.
            self.open = false;
        }
        next
    }

    /// The first part of the attempt's answer came after that time.
    pub fn begin(&self, after: Duration) {
        self.dispatcher.begin(self.ticket, after);
    }

    /// An event of the request's stream came after a pause, which is zero for
    /// the first one; events are wanted within `wanted`.
    pub fn event(&self, pause: Duration, wanted: Duration) {
        self.dispatcher.event(self.ticket, pause, wanted);
    }

    /// The attempt ended; unless it was answered, [`Permit::next`] tells what follows.
    pub fn end(&mut self, end: balancer::End) {
        if matches!(end, balancer::End::Answered | balancer::End::Abandoned) {
            self.open = false;
        }
        self.dispatcher.end(self.ticket, end);
    }
}

impl<T: Clone + Send> Drop for Permit<T> {
    fn drop(&mut self) {
        if self.open {
            self.dispatcher.end(self.ticket, balancer::End::Abandoned);
        }
        self.dispatcher.forget(self.ticket);
    }
}
