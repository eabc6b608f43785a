//! The gRPC service of every process, which peers and the command line tool call.

use std::sync::Arc;

use loftcove_wire as wire;
use tonic::{Request, Response, Status};

use crate::{process, status};

/// Implementation of the service.
pub struct Peer<S> {
    process: Arc<process::Process>,
    source: S,
}

impl<S: status::Source> Peer<S> {
    /// Creates the service of a process. `source` supplies the role's part of the status.
    pub fn new(process: Arc<process::Process>, source: S) -> Peer<S> {
        Peer { process, source }
    }
}

#[tonic::async_trait]
impl<S: status::Source> wire::peer_server::Peer for Peer<S> {
    async fn exchange(
        &self,
        request: Request<wire::Offer>,
    ) -> Result<Response<wire::Update>, Status> {
        let offer = request.into_inner();
        Ok(Response::new(self.process.gossip.answer(&offer.versions)))
    }

    async fn push(&self, request: Request<wire::Update>) -> Result<Response<wire::Ask>, Status> {
        for record in request.into_inner().records {
            self.process.apply_record(record);
        }
        Ok(Response::new(wire::Ask {}))
    }

    async fn status(&self, _: Request<wire::Ask>) -> Result<Response<wire::Snapshot>, Status> {
        let value = status::snapshot(&self.process, &self.source);
        let json =
            serde_json::to_vec(&value).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(wire::Snapshot { json: json.into() }))
    }

    async fn explain(
        &self,
        request: Request<wire::Subject>,
    ) -> Result<Response<wire::Explanation>, Status> {
        let lines = self.process.history.entries(&request.into_inner().request);
        Ok(Response::new(wire::Explanation { lines }))
    }
}
