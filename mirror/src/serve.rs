//! Hands the copy on to those who follow it.

use std::sync::Arc;

use loftcove_decision::mirror::Record;
use loftcove_wire as wire;
use tokio::sync::{broadcast, mpsc};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::Mirror;

/// Batches that may wait for a slow follower.
const QUEUE: usize = 4;

/// The service.
pub struct Service {
    mirror: Arc<Mirror>,
}

impl Service {
    /// A service that hands on this copy.
    pub fn new(mirror: Arc<Mirror>) -> Service {
        Service { mirror }
    }
}

#[tonic::async_trait]
impl wire::mirror_server::Mirror for Service {
    type FollowStream = ReceiverStream<Result<wire::Batch, Status>>;

    async fn follow(
        &self,
        request: Request<wire::Follower>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let host = request.into_inner().host;
        log::debug!("follower came host={host}");
        let (sender, receiver) = mpsc::channel(QUEUE);
        tokio::spawn(feed(self.mirror.clone(), sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

async fn feed(mirror: Arc<Mirror>, sender: mpsc::Sender<Result<wire::Batch, Status>>) {
    let (mut batch, mut news) = mirror.follow();
    let mut distance = mirror.distance.subscribe();
    loop {
        let items = batch.drain(..).map(item).collect();
        let message = wire::Batch { items, distance: *distance.borrow_and_update() };
        if sender.send(Ok(message)).await.is_err() {
            return;
        }
        let record = tokio::select! {
            record = news.recv() => record,
            _ = distance.changed() => continue,
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

fn item(record: Record) -> wire::Item {
    wire::Item {
        key: record.key.to_string(),
        revision: record.revision,
        removed: record.value.is_none(),
        value: record.value.unwrap_or_default(),
    }
}
