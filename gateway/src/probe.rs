//! Probes backend servers without a caller's request: whether a group that was out of
//! reach can be reached again, by a connection that is made and closed, and whether
//! a restarted server leaves, by a health check.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::entity;
use loftcove_interface::protocol::{Health, Protocol};

use crate::{state, upstream};

/// Pause between two probes of a gateway. A probe costs two packets; the time
/// until one comes about is what callers lose after the way is open again.
const PAUSE: Duration = Duration::from_millis(200);

/// Probes groups that are out of reach until the process ends.
pub async fn run<P: Protocol>(gateway: Arc<state::Gateway<P>>) {
    loop {
        for (group, ranks) in gateway.dispatcher.unreachable_groups().await {
            let place = rand::random_range(0..ranks.len().max(1));
            let Some(target) = ranks.get(place) else { continue };
            if upstream::reaches(target.address).await {
                gateway.dispatcher.group_reached(group);
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Pause between two health checks of a backend server.
const HEALTH_PAUSE: Duration = Duration::from_millis(500);
/// Health checks of a gateway at a time.
const HEALTH_CHECKS: usize = 8;

/// Settles whether restarted backend servers leave whose earlier run said so, until the
/// process ends. They get nothing meanwhile.
pub async fn settle<P: Protocol>(gateway: Arc<state::Gateway<P>>) {
    loop {
        let unsettled = gateway.dispatcher.unsettled().await;
        for servers in unsettled.chunks(HEALTH_CHECKS) {
            let mut checks = tokio::task::JoinSet::new();
            for (server, target) in servers.iter().cloned() {
                checks.spawn(check(gateway.clone(), server, target));
            }
            checks.join_all().await;
        }
        tokio::time::sleep(HEALTH_PAUSE).await;
    }
}

async fn check<P: Protocol>(
    gateway: Arc<state::Gateway<P>>,
    server: entity::Server,
    target: state::Target,
) {
    let id = &target.run.id;
    let Some(path) = &target.health_path else {
        log::info!("server settled server={id} leaving=false reason=no-health-path");
        return gateway.dispatcher.settle(server, false);
    };
    gateway.metrics.health_checks.inc();
    let leaving = match upstream::check_health(target.address, path).await {
        Ok(head) => match P::health(&head, id) {
            Health::Serves => false,
            Health::Leaves => true,
            Health::Unknown => {
                log::info!("health check settled nothing server={id} status={}", head.status);
                return;
            }
        },
        Err(error) => {
            log::info!("health check settled nothing server={id} error=\"{error}\"");
            return;
        }
    };
    log::info!("server settled server={id} leaving={leaving} reason=health-check");
    gateway.dispatcher.settle(server, leaving);
}
