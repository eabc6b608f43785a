//! Guard of a request in the dispatcher.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::{balancer, entity};
use tokio::sync::mpsc;

use crate::{Dispatcher, Next};

/// Guard of a request from its arrival to its final answer. Dropping it before the end of the
/// request means that the client disconnected.
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

    /// Waits for the next step of the request. While an attempt is in flight, this can only be a
    /// [`Next::Move`]. Cancelling the wait loses no step. Returns none if the dispatcher has removed the
    /// request.
    pub async fn next(&mut self) -> Option<Next<T>> {
        let next = self.receiver.recv().await;
        if matches!(next, Some(Next::Refuse(_))) {
            // The balancer has already ended the request.
            self.open = false;
        }
        next
    }

    /// Declines a move that [`Permit::next`] returned: the attempt that was to be replaced goes on.
    pub fn decline_move(&self) {
        self.dispatcher.decline_move(self.ticket);
    }

    /// Returns whether an attempt that has ended or was replaced may have run.
    pub fn may_have_run(&self) -> bool {
        self.dispatcher.lock().balancer.may_have_run(self.ticket)
    }

    /// Reports that the first part of the attempt's answer arrived, `after` it was sent.
    pub fn begin(&self, after: Duration) {
        self.dispatcher.begin(self.ticket, after, &self.receiver);
    }

    /// Reports that an event of the request's stream arrived after `pause`, which is zero for the
    /// first event. The target for the time between events is `wanted`.
    pub fn event(&self, pause: Duration, wanted: Duration) {
        self.dispatcher.event(self.ticket, pause, wanted);
    }

    /// Reports the end of the attempt. Unless the end is final, [`Permit::next`] returns the next
    /// step.
    pub fn end(&mut self, end: balancer::End) {
        if end.is_final() {
            self.open = false;
        }
        self.dispatcher.end(self.ticket, end, &mut self.receiver);
    }
}

impl<T: Clone + Send> Drop for Permit<T> {
    fn drop(&mut self) {
        if self.open {
            self.dispatcher.end(self.ticket, balancer::End::Abandoned, &mut self.receiver);
        }
        self.dispatcher.remove_waiter(self.ticket);
    }
}
