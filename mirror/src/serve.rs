//! Hands the copy on to those who follow it.
//!
//! Followers in other zones are only offered large records: mostly they have
//! them from a peer of their own zone, and traffic between zones is dear.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_wire as wire;
use tokio::sync::{broadcast, mpsc};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::{Mirror, followers};

/// Batches that may wait for a slow follower.
const QUEUE: usize = 4;

/// Size from which a record counts as large, bytes: an offer takes a tenth.
const LARGE: usize = 1_024;

/// Time between two offers of the same record to a follower in another zone: one
/// that a follower did not get to fetch is made good well within the shortest
/// bound for a configuration, two seconds.
const OFFER_INTERVAL: Duration = Duration::from_millis(800);

/// The service.
pub struct Service {
    mirror: Arc<Mirror>,
    zone: Arc<str>,
}

impl Service {
    /// A service that hands on this copy, of a host in that zone.
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
        let (sender, receiver) = mpsc::channel(QUEUE);
        match followers::Place::take(&self.mirror, &follower) {
            Ok(place) => {
                log::debug!("follower came host={} zone={}", follower.host, follower.zone);
                let near = *follower.zone == *self.zone;
                let reach = if near { Reach::Near } else { Reach::Far };
                tokio::spawn(feed(self.mirror.clone(), reach, sender, place));
            }
            Err(others) => {
                log::debug!("follower redirected host={} others={}", follower.host, others.len());
                let others = others.iter().map(followers::Peer::to_wire).collect();
                let distance = self.mirror.distance.get();
                let batch = wire::Batch { others, distance, ..Default::default() };
                // The queue is empty, and its reader may have left.
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
        let least = Revision::new(wanted.era, wanted.revision);
        let record = record.filter(|record| record.revision >= least);
        let record = record.ok_or_else(|| Status::not_found("no such record"))?;
        Ok(Response::new(item(record, Reach::Near)))
    }
}

/// Where a follower is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// In the same zone.
    Near,
    /// In another zone.
    Far,
}

async fn feed(
    mirror: Arc<Mirror>,
    reach: Reach,
    sender: mpsc::Sender<Result<wire::Batch, Status>>,
    _place: followers::Place,
) {
    let (mut batch, mut news) = mirror.follow();
    let (mut ends, mut ended) = mirror.ends.follow();
    let mut distance = mirror.distance.subscribe();
    let mut offers = tokio::time::interval(OFFER_INTERVAL);
    offers.reset();
    loop {
        let items = batch.drain(..).map(|record| item(record, reach)).collect();
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
            record = news.recv() => record,
            end = ended.recv() => {
                match end {
                    Ok(end) => ends.push(end),
                    Err(broadcast::error::RecvError::Lagged(_)) => {
                        (ends, ended) = mirror.ends.follow();
                    }
                    Err(broadcast::error::RecvError::Closed) => return,
                }
                while let Ok(end) = ended.try_recv() {
                    ends.push(end);
                }
                continue;
            }
            _ = distance.changed() => continue,
            _ = offers.tick(), if reach == Reach::Far => {
                batch = mirror.larger_than(LARGE);
                continue;
            }
            () = sender.closed() => return,
        };
        match record {
            Ok(record) => batch.push(record),
            Err(broadcast::error::RecvError::Lagged(_)) => (batch, news) = mirror.follow(),
            Err(broadcast::error::RecvError::Closed) => return,
        }
        while let Ok(record) = news.try_recv() {
            batch.push(record);
        }
    }
}

fn item(record: Record, reach: Reach) -> wire::Item {
    let removed = record.value.is_none();
    let value = record.value.unwrap_or_default();
    let offered = reach == Reach::Far && value.len() >= LARGE;
    wire::Item {
        key: record.key.to_string(),
        revision: record.revision.number,
        era: record.revision.era,
        removed,
        value: if offered { Default::default() } else { value },
        offered,
    }
}
