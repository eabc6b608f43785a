//! Serves the mirror to its followers.
//!
//! A large record is only *offered* to a follower in another zone, by its key and revision. The
//! follower fetches it if it lacks it. Most followers have received it from a peer in their own
//! zone, and traffic between zones is expensive.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_line::field;
use loftcove_wire as wire;
use tokio::sync::{broadcast, mpsc};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::{Mirror, followers};

/// Number of batches that may be queued for a slow follower.
const QUEUED_BATCHES: usize = 4;

/// Size from which a record counts as large, in bytes: an offer takes a tenth of that.
const LARGE_RECORD_BYTES: usize = 1_024;

/// Interval at which offers to a follower in another zone are repeated. A record that the follower
/// could not fetch is offered again well within the shortest bound for a configuration, two
/// seconds.
const OFFER_INTERVAL: Duration = Duration::from_millis(800);

/// The mirror's gRPC service.
pub struct Service {
    mirror: Arc<Mirror>,
    zone: Arc<str>,
}

impl Service {
    /// Creates a service for the mirror of a host in a zone.
    pub fn new(mirror: Arc<Mirror>, zone: Arc<str>) -> Service {
        Service { mirror, zone }
    }
}

#[tonic::async_trait]
impl wire::mirror_server::Mirror for Service {
    type FollowStream = ReceiverStream<Result<wire::Batch, Status>>;

    async fn follow(
        &self,
        request: Request<wire::Follower>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let follower = request.into_inner();
        let (sender, receiver) = mpsc::channel(QUEUED_BATCHES);
        match followers::Slot::acquire(&self.mirror, &follower) {
            Ok(slot) => {
                log::debug!(
                    "follower connected host={} zone={}",
                    field::Text(&follower.host),
                    field::Text(&follower.zone)
                );
                let same_zone = *follower.zone == *self.zone;
                let locality = if same_zone { Locality::SameZone } else { Locality::OtherZone };
                tokio::spawn(send_updates(self.mirror.clone(), locality, sender, slot));
            }
            Err(alternatives) => {
                log::debug!(
                    "follower redirected host={} others={}",
                    field::Text(&follower.host),
                    alternatives.len()
                );
                let others = alternatives.iter().map(followers::Peer::to_wire).collect();
                let distance = self.mirror.distance.get();
                let batch = wire::Batch { others, distance, ..Default::default() };
                // The queue is empty, so sending fails only if the receiver was dropped.
                sender.try_send(Ok(batch)).unwrap_or_default();
            }
        }
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn tell(&self, request: Request<wire::Marks>) -> Result<Response<wire::Ask>, Status> {
        let peer = request.remote_addr().map_or_else(|| "?".to_owned(), |peer| peer.to_string());
        self.mirror.ends.receive(request.into_inner().marks, &peer);
        Ok(Response::new(wire::Ask {}))
    }

    async fn fetch(&self, request: Request<wire::Wanted>) -> Result<Response<wire::Item>, Status> {
        let wanted = request.into_inner();
        let record = self.mirror.newest_of(&wanted.key);
        let min_revision = Revision::new(wanted.era, wanted.revision);
        let record = record.filter(|record| record.revision >= min_revision);
        let record = record.ok_or_else(|| Status::not_found("no such record"))?;
        Ok(Response::new(to_item(record, Locality::SameZone)))
    }
}

/// Locality of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Locality {
    /// In the same zone.
    SameZone,
    /// In another zone.
    OtherZone,
}

async fn send_updates(
    mirror: Arc<Mirror>,
    locality: Locality,
    sender: mpsc::Sender<Result<wire::Batch, Status>>,
    _slot: followers::Slot,
) {
    let (mut batch, mut updates) = mirror.follow();
    let (mut ends, mut end_updates) = mirror.ends.follow();
    let mut distance = mirror.distance.subscribe();
    let mut offers = tokio::time::interval(OFFER_INTERVAL);
    offers.reset();
    loop {
        let items = batch.drain(..).map(|record| to_item(record, locality)).collect();
        let marks = ends.drain(..).map(|item| mirror.ends.to_wire(&item)).collect();
        let message = wire::Batch {
            items,
            distance: *distance.borrow_and_update(),
            marks,
            others: Vec::new(),
        };
        if sender.send(Ok(message)).await.is_err() {
            return;
        }
        let record = tokio::select! {
            record = updates.recv() => record,
            end = end_updates.recv() => {
                match end {
                    Ok(end) => ends.push(end),
                    Err(broadcast::error::RecvError::Lagged(_)) => {
                        (ends, end_updates) = mirror.ends.follow();
                    }
                    Err(broadcast::error::RecvError::Closed) => return,
                }
                while let Ok(end) = end_updates.try_recv() {
                    ends.push(end);
                }
                continue;
            }
            _ = distance.changed() => continue,
            _ = offers.tick(), if locality == Locality::OtherZone => {
                batch = mirror.records_of_size(LARGE_RECORD_BYTES);
                continue;
            }
            () = sender.closed() => return,
        };
        match record {
            Ok(record) => batch.push(record),
            Err(broadcast::error::RecvError::Lagged(_)) => (batch, updates) = mirror.follow(),
            Err(broadcast::error::RecvError::Closed) => return,
        }
        while let Ok(record) = updates.try_recv() {
            batch.push(record);
        }
    }
}

fn to_item(record: Record, locality: Locality) -> wire::Item {
    let removed = record.value.is_none();
    let value = record.value.unwrap_or_default();
    let offered = locality == Locality::OtherZone && value.len() >= LARGE_RECORD_BYTES;
    wire::Item {
        key: record.key.to_string(),
        revision: record.revision.number,
        era: record.revision.era,
        removed,
        value: if offered { Default::default() } else { value },
        offered,
    }
}
