//! The gRPC service of an agent, which entry hosts and other agents call.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::{attempt, clock, home};
use loftcove_wire as wire;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::agent::{Agent, keeper, orders, run, server};

/// Maximum time between two reports of a watch.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for reading the backend server's token counts.
const COUNTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Implementation of the service.
pub struct Service {
    agent: Arc<Agent>,
}

impl Service {
    /// Creates the service of an agent.
    pub fn new(agent: Arc<Agent>) -> Service {
        Service { agent }
    }
}

type Stream<T> = Pin<Box<ReceiverStream<Result<T, Status>>>>;

#[tonic::async_trait]
impl wire::agent_server::Agent for Service {
    type DispatchStream = Stream<wire::Frame>;
    type WatchStream = Stream<wire::Report>;

    async fn dispatch(
        &self,
        request: Request<wire::Attempt>,
    ) -> Result<Response<Self::DispatchStream>, Status> {
        let frames = run::start(&self.agent, request.into_inner())?;
        Ok(Response::new(Box::pin(ReceiverStream::new(frames))))
    }

    async fn revoke(
        &self,
        request: Request<wire::Revocation>,
    ) -> Result<Response<wire::Fate>, Status> {
        let message = request.into_inner();
        let id = message.id.as_ref().and_then(run::parse_id);
        let id = id.ok_or(Status::invalid_argument("revocation without an id"))?;
        let expiry = clock::Wall::from_millis(message.expiry_ms);
        let phase = run::lock(&self.agent).revoke(id, expiry, self.agent.process.clock.wall());
        let phase = match phase {
            attempt::Phase::Never => wire::Phase::Never,
            attempt::Phase::Running => wire::Phase::Running,
            attempt::Phase::Ended => wire::Phase::Ended,
            attempt::Phase::Unknown => wire::Phase::Unknown,
        };
        Ok(Response::new(wire::Fate { phase: phase.into() }))
    }

    async fn watch(
        &self,
        request: Request<wire::Subscription>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let spacing = Duration::from_millis(u64::from(request.into_inner().spacing_ms));
        let (sender, receiver) = mpsc::channel(1);
        let mut reports = self.agent.load.subscribe();
        tokio::spawn(async move {
            loop {
                let report = *reports.borrow_and_update();
                if sender.send(Ok(report)).await.is_err() {
                    return;
                }
                tokio::time::sleep(spacing).await;
                tokio::select! {
                    changed = reports.changed() => if changed.is_err() { return },
                    _ = tokio::time::sleep(REPORT_INTERVAL.saturating_sub(spacing)) => {}
                    _ = sender.closed() => return,
                }
            }
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn claim(&self, request: Request<wire::Key>) -> Result<Response<wire::Grant>, Status> {
        let message = request.into_inner();
        let claim = home::keeper::Claim {
            key: parse_key(&message.key)?,
            fingerprint: message.fingerprint,
            token: parse_token(&message.token)?,
        };
        let standing = keeper::claim(&self.agent, claim);
        Ok(Response::new(wire::Grant { standing: standing.into() }))
    }

    async fn settle(
        &self,
        request: Request<wire::Settlement>,
    ) -> Result<Response<wire::Receipt>, Status> {
        let message = request.into_inner();
        let outcome = match message.outcome() {
            wire::Outcome::Answered => home::keeper::Outcome::Ran,
            wire::Outcome::NotRun => home::keeper::Outcome::NotRun,
            wire::Outcome::Unknown | wire::Outcome::Unspecified => home::keeper::Outcome::Unknown,
        };
        let token = parse_token(&message.token)?;
        let known = keeper::lock(&self.agent).settle(parse_key(&message.key)?, token, outcome);
        Ok(Response::new(wire::Receipt { known }))
    }

    async fn renew(
        &self,
        request: Request<wire::Renewal>,
    ) -> Result<Response<wire::Promise>, Status> {
        let message = request.into_inner();
        let home =
            home::table::Holder { host: message.home.into(), incarnation: message.incarnation };
        let now = self.agent.process.clock.now();
        let hold = keeper::lock(&self.agent).renew(&home, now);
        Ok(Response::new(wire::Promise { hold_ms: hold.as_millis() as u32 }))
    }

    async fn command(
        &self,
        request: Request<wire::Order>,
    ) -> Result<Response<wire::Verdict>, Status> {
        Ok(Response::new(orders::execute(&self.agent, request.into_inner()).await))
    }

    async fn popularity(&self, _: Request<wire::Ask>) -> Result<Response<wire::Counts>, Status> {
        let read = self.agent.server.read::<server::Experts>("/experts", COUNTS_TIMEOUT).await;
        let experts = read.map_err(|error| Status::unavailable(error.to_string()))?;
        let layer = |counts: Vec<(u32, u32)>| {
            let (experts, tokens) = counts.into_iter().unzip();
            wire::Layer { experts, tokens }
        };
        let layers = experts.layers.into_iter().map(layer).collect();
        Ok(Response::new(wire::Counts { epoch: experts.epoch, layers }))
    }
}

fn parse_key(bytes: &[u8]) -> Result<home::key::Key, Status> {
    home::key::Key::from_bytes(bytes).map_err(|error| Status::invalid_argument(error.to_string()))
}

fn parse_token(bytes: &[u8]) -> Result<u128, Status> {
    let bytes: [u8; 16] =
        bytes.try_into().map_err(|_| Status::invalid_argument("a token has 16 bytes"))?;
    Ok(u128::from_be_bytes(bytes))
}
