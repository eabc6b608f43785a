//! One rank of a group, as others reach it: by its sidecar, and past it.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future;
use loftcove_interface::engine::{Engine, Order};
use loftcove_wire as wire;
use tokio::time::error::Elapsed;
use tonic::transport::Channel;

use crate::broadcast::Broadcast;
use crate::rank::{self, Rank};

/// Longest wait for a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for a sidecar's state, which takes a few milliseconds.
pub const INSPECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Wait for a sidecar's state after which its engine is asked as well: a group
/// that is held should not wait for both, one after the other.
const HEDGE_DELAY: Duration = Duration::from_millis(120);
/// Longest wait for a sidecar to have a map prepared; longer than it takes
/// until it says that the effect is not known.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Longest wait for a sidecar to carry out any other order, for which the
/// group may be standing still; then the engine is asked directly.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// One rank.
pub struct Member<E> {
    /// Its sidecar.
    pub client: wire::rank_client::RankClient<Channel>,
    /// The engine itself, for when its sidecar does not answer. The engine's
    /// word is then older, and each call has a price.
    pub engine: Rank<E>,
}

impl<E: Engine> Member<E> {
    /// Asks the sidecar for the state of its engine. Where the experts are asked
    /// for, the group may be standing still until they are known: the engine
    /// itself is asked as well if the sidecar takes long.
    pub async fn inspect(
        &self,
        address: SocketAddr,
        inspection: &wire::Inspection,
    ) -> Option<wire::Condition> {
        let mut client = self.client.clone();
        let call = tokio::time::timeout(INSPECT_TIMEOUT, client.inspect(inspection.clone()));
        let sidecar = async { Some(call.await.ok()?.ok()?.into_inner()) };
        if !inspection.experts {
            return sidecar.await;
        }
        tokio::pin!(sidecar);
        match tokio::time::timeout(HEDGE_DELAY, sidecar.as_mut()).await {
            Ok(Some(condition)) => Some(condition),
            Ok(None) => self.inspect_engine(address, inspection).await,
            Err(_) => {
                let engine = self.inspect_engine(address, inspection);
                let (sidecar, engine) = future::join(sidecar, engine).await;
                sidecar.or(engine)
            }
        }
    }

    /// Has the sidecar carry a step out, told by the whole map where it does not
    /// hold the one of before.
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
        // A term is a matter between sidecars.
        let inspection = wire::Inspection { term: 0, ..inspection.clone() };
        match rank::inspect(&self.engine, &inspection).await {
            Ok(condition) => Some(condition),
            Err(error) => {
                log::info!("engine not inspected engine={address} error=\"{error}\"");
                None
            }
        }
    }
}

/// Longest wait for a sidecar to carry out an order.
pub fn order_timeout(order: &Order) -> Duration {
    match order {
        Order::Prepare { .. } => PREPARE_TIMEOUT,
        _ => ORDER_TIMEOUT,
    }
}

/// Why a call came to nothing.
pub fn cause<T>(call: Result<Result<T, tonic::Status>, Elapsed>) -> String {
    match call {
        Ok(Err(status)) => status.message().to_owned(),
        _ => "no answer in time".to_owned(),
    }
}
