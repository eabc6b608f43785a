//! Queues of relayed responses between backend servers and clients' connections.
//!
//! A queue counts the bytes that its client's connection has not yet written, and all queues
//! together count theirs. Over a bound, the sender waits, so that nothing more is read from the
//! backend server. Bytes are handed over without being copied.

use std::sync::Arc;

use bytes::{Buf, Bytes};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::body::Broken;

/// Bytes of memory that a waiting part takes beside its contents. Without it, many tiny parts could
/// take far more memory than their contents.
const PART_OVERHEAD: usize = 128;

/// Bounds of all queues of a gateway.
#[derive(Debug)]
pub struct Bounds {
    client: usize,
    clients: usize,
    /// Bytes that may still be queued for all clients together.
    free: Arc<Semaphore>,
}

impl Bounds {
    /// Creates bounds, in bytes, for one client and for all clients together. Each is at least 1
    /// and at most `u32::MAX`.
    pub fn new(client: usize, clients: usize) -> Bounds {
        let clamp = |bytes: usize| bytes.clamp(1, u32::MAX as usize);
        let (client, clients) = (clamp(client), clamp(clients));
        Bounds { client, clients, free: Arc::new(Semaphore::new(clients)) }
    }

    /// Opens a queue for one response.
    pub fn open(&self) -> (Sender, Receiver) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let sender = Sender {
            client: (self.client, Arc::new(Semaphore::new(self.client))),
            clients: (self.clients, self.free.clone()),
            parts: sender,
        };
        (sender, Receiver { parts: receiver })
    }

    /// Returns the number of bytes that are queued for all clients together.
    pub fn queued(&self) -> usize {
        self.clients.saturating_sub(self.free.available_permits())
    }
}

/// The connection of the client has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the client's connection has ended")]
pub struct Closed;

/// What a queue carries.
#[derive(Debug)]
enum Message {
    Part(Part),
    /// The response is complete.
    End,
    /// The response ends early.
    Broken,
}

/// Sending end of a queue. The response breaks off if it is dropped before [`Sender::finish`].
#[derive(Debug)]
pub struct Sender {
    /// Bound of this queue, and the bytes that it may still take.
    client: (usize, Arc<Semaphore>),
    /// Bound of all queues, and the bytes that they may still take.
    clients: (usize, Arc<Semaphore>),
    parts: mpsc::UnboundedSender<Message>,
}

impl Sender {
    /// Queues bytes if the bounds allow it at once. Otherwise it returns them.
    ///
    /// # Errors
    ///
    /// Returns the bytes if a bound is reached or the client's connection has ended.
    pub fn try_send(&self, bytes: Bytes) -> Result<(), Bytes> {
        let size = bytes.len().saturating_add(PART_OVERHEAD);
        let take = |(bound, free): &(usize, Arc<Semaphore>)| {
            free.clone().try_acquire_many_owned(share(size, *bound)).ok()
        };
        let held = take(&self.client).zip(take(&self.clients));
        let Some((client, clients)) = held else { return Err(bytes) };
        let held = Some(Held { _client: client, _clients: clients });
        let part = Message::Part(Part { bytes, _held: held });
        self.parts.send(part).map_err(|error| match error.0 {
            Message::Part(part) => part.bytes,
            Message::End | Message::Broken => Bytes::new(),
        })
    }

    /// Queues bytes as soon as the bounds allow. A part that is larger than a whole bound is
    /// queued alone.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the client's connection has ended.
    pub async fn send(&self, bytes: Bytes) -> Result<(), Closed> {
        let size = bytes.len().saturating_add(PART_OVERHEAD);
        let acquire = async {
            // The bound of the client comes first, so that a client that reads nothing does not
            // hold bytes of the common bound that it cannot use.
            let client = acquire(&self.client, size).await?;
            Ok(Held { _client: client, _clients: acquire(&self.clients, size).await? })
        };
        let held = tokio::select! {
            biased;
            held = acquire => held?,
            () = self.closed() => return Err(Closed),
        };
        let part = Message::Part(Part { bytes, _held: Some(held) });
        self.parts.send(part).map_err(|_| Closed)
    }

    /// Ends the complete response.
    pub fn finish(&self) {
        // The client may have disconnected meanwhile.
        self.parts.send(Message::End).unwrap_or_default();
    }

    /// Ends the response early, without waiting for the parts before it.
    pub fn fail(&self) {
        // The client may have disconnected meanwhile.
        self.parts.send(Message::Broken).unwrap_or_default();
    }

    /// Waits until the client's connection has ended.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}

/// Returns the bytes of a bound that a part takes, at most all of them.
fn share(size: usize, bound: usize) -> u32 {
    u32::try_from(size.min(bound)).unwrap_or(u32::MAX)
}

/// Takes bytes of a bound.
async fn acquire(
    (bound, free): &(usize, Arc<Semaphore>),
    size: usize,
) -> Result<OwnedSemaphorePermit, Closed> {
    // The semaphores are never closed.
    free.clone().acquire_many_owned(share(size, *bound)).await.map_err(|_| Closed)
}

/// Receiving end of a queue.
#[derive(Debug)]
pub struct Receiver {
    parts: mpsc::UnboundedReceiver<Message>,
}

impl Receiver {
    /// Polls for the next part of the response, or `None` at its end.
    pub fn poll_recv(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Part, Broken>>> {
        self.parts.poll_recv(context).map(|message| match message {
            Some(Message::Part(part)) => Some(Ok(part)),
            Some(Message::End) => None,
            Some(Message::Broken) | None => Some(Err(Broken)),
        })
    }
}

/// Share of a part in both bounds. Dropping it releases the share.
#[derive(Debug)]
struct Held {
    _client: OwnedSemaphorePermit,
    _clients: OwnedSemaphorePermit,
}

/// Part of a response. It counts as queued until the connection has written and dropped it.
#[derive(Debug)]
pub struct Part {
    bytes: Bytes,
    _held: Option<Held>,
}

impl From<Bytes> for Part {
    /// Creates a part that no queue counts.
    fn from(bytes: Bytes) -> Part {
        Part { bytes, _held: None }
    }
}

impl Buf for Part {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
