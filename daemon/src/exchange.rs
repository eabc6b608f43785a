//! Periodic exchange of records with a random peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loftcove_platform::hosts;
use loftcove_wire as wire;
use rand::Rng as _;
use rand::seq::IndexedRandom as _;

use crate::{clock, process};

/// One in this many exchanges is with any host or seed, in any zone and role. Thereby records cross
/// a healed network partition, and entry hosts receive records that only agents still have.
const REMOTE_RATIO: u32 = 4;
/// Time limit for each call of an exchange.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Exchanges records until the process exits.
pub async fn run(process: Arc<process::Process>) {
    let pause = Duration::from_millis(process.settings.process.exchange_ms);
    loop {
        if let Some(address) = select_peer(&process)
            && let Err(status) = exchange(&process, address).await
        {
            log::debug!("exchange failed peer={address} status={}", status.code());
        }
        // Jitter prevents that all processes exchange at the same time.
        tokio::time::sleep(clock::jitter(pause, 0.8..1.2)).await;
    }
}

/// Selects a random peer, usually an entry host of the same zone.
fn select_peer(process: &process::Process) -> Option<SocketAddr> {
    let own = &process.settings.process;
    let list = process.gossip.hosts();
    let others = || list.hosts.iter().filter(|host| host.id != own.host);
    let local = others()
        .filter(|host| host.zone == own.zone && host.role == hosts::Role::Entry)
        .map(|host| host.address);
    let mut candidates: Vec<SocketAddr> = local.collect();
    let remote = candidates.is_empty() || rand::rng().random_ratio(1, REMOTE_RATIO);
    if remote {
        let seeds = own.seeds.iter().copied().filter(|seed| *seed != own.peer_address);
        candidates = others().map(|host| host.address).chain(seeds).collect();
    }
    candidates.choose(&mut rand::rng()).copied()
}

async fn exchange(process: &process::Process, address: SocketAddr) -> Result<(), tonic::Status> {
    let mut peer = process.links.get(address).peer.clone();
    let offer = wire::Offer {
        host: process.settings.process.host.to_string(),
        versions: process.gossip.versions(),
    };
    let call = tokio::time::timeout(TIMEOUT, peer.exchange(offer));
    let update =
        call.await.map_err(|_| tonic::Status::deadline_exceeded("exchange"))??.into_inner();
    let wanted: Vec<wire::Kind> = update.wanted().collect();
    for record in update.records {
        process.apply_record(record);
    }
    if !wanted.is_empty() {
        let records = process.gossip.records(wanted.into_iter());
        let push = peer.push(wire::Update { records, wanted: Vec::new() });
        tokio::time::timeout(TIMEOUT, push)
            .await
            .map_err(|_| tonic::Status::deadline_exceeded("push"))??;
    }
    Ok(())
}
