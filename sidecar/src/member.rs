//! One rank of a group, as others reach it: through its sidecar, or its engine directly.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future;
use loftcove_intake::grpc::Channel;
use loftcove_interface::engine::{Engine, Order};
use loftcove_line::field;
use loftcove_wire as wire;
use tokio::time::error::Elapsed;

use crate::broadcast::Broadcast;
use crate::rank::{self, Rank};

/// Longest wait for a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the state from a sidecar, which takes a few milliseconds.
pub const INSPECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an answer from a sidecar after which its engine is queried as well. While a group
/// is held, it should not wait for one after the other.
pub const HEDGE_DELAY: Duration = Duration::from_millis(120);
/// Longest wait for a sidecar to have a map prepared. It exceeds the time after which the sidecar
/// reports that the effect is not known.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Longest wait for a sidecar to carry out any other order, for which the group may be blocked. The
/// engine is called directly afterwards.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// One rank.
pub struct Member<E> {
    /// Client of the rank's sidecar.
    pub client: wire::rank_client::RankClient<Channel>,
    /// The engine itself, for when its sidecar does not answer. Its reports are then older, and
    /// each call has a cost.
    pub engine: Rank<E>,
}

impl<E: Engine> Member<E> {
    /// Queries the sidecar for the state of its engine. If the experts are requested, the group may
    /// be blocked until they are known. In that case the engine itself is queried as well if the
    /// sidecar does not answer within `hedge_delay`.
    pub async fn inspect(
        &self,
        address: SocketAddr,
        inspection: &wire::Inspection,
        hedge_delay: Duration,
    ) -> Option<wire::Condition> {
        let mut client = self.client.clone();
        let call = tokio::time::timeout(INSPECT_TIMEOUT, client.inspect(inspection.clone()));
        let sidecar = async { Some(call.await.ok()?.ok()?.into_inner()) };
        if !inspection.experts {
            return sidecar.await;
        }
        tokio::pin!(sidecar);
        match tokio::time::timeout(hedge_delay, sidecar.as_mut()).await {
            Ok(Some(condition)) => Some(condition),
            Ok(None) => self.inspect_engine(address, inspection).await,
            Err(_) => {
                let engine = self.inspect_engine(address, inspection);
                let (sidecar, engine) = future::join(sidecar, engine).await;
                sidecar.or(engine)
            }
        }
    }

    /// Has the sidecar carry out a step. Sends the whole map if the sidecar does not hold the base
    /// map.
    pub async fn carry(&self, broadcast: &Broadcast) -> Result<wire::Result, String> {
        let result = self.carry_message(broadcast.message(), &broadcast.step.order).await?;
        if result.effect() != wire::Effect::BaseMissing {
            return Ok(result);
        }
        self.carry_message(broadcast.whole(), &broadcast.step.order).await
    }

    async fn carry_message(
        &self,
        message: &wire::Step,
        order: &Order,
    ) -> Result<wire::Result, String> {
        let mut client = self.client.clone();
        match tokio::time::timeout(order_timeout(order), client.carry(message.clone())).await {
            Ok(Ok(result)) => Ok(result.into_inner()),
            other => Err(cause(other)),
        }
    }

    async fn inspect_engine(
        &self,
        address: SocketAddr,
        inspection: &wire::Inspection,
    ) -> Option<wire::Condition> {
        log::info!("sidecar silent engine={address} next=ask-engine");
        // Terms are recorded by sidecars only.
        let inspection = wire::Inspection { term: 0, ..inspection.clone() };
        match rank::inspect(&self.engine, &inspection).await {
            Ok(condition) => Some(condition),
            Err(error) => {
                log::info!(
                    "cannot inspect engine engine={address} error={error}",
                    error = field::Quoted(&error)
                );
                None
            }
        }
    }
}

/// Returns the longest wait for a sidecar to carry out an order.
pub fn order_timeout(order: &Order) -> Duration {
    match order {
        Order::Prepare { .. } => PREPARE_TIMEOUT,
        _ => ORDER_TIMEOUT,
    }
}

/// Returns why a call failed.
pub fn cause<T>(call: Result<Result<T, tonic::Status>, Elapsed>) -> String {
    match call {
        Ok(Err(status)) => status.message().to_owned(),
        _ => "no answer in time".to_owned(),
    }
}
