//! Probes backend servers independently of requests. A connection that is opened and closed shows
//! whether an unreachable group is reachable again. A health check shows whether a restarted server
//! is leaving.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::entity;
use loftcove_interface::protocol::{Health, Protocol};
use loftcove_line::field;

use crate::{state, upstream};

/// Interval between two rounds of probes by a gateway. A probe costs two packets. The time until
/// the next probe is what clients lose after the group has become reachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Probes unreachable groups until the process exits.
pub async fn run<P: Protocol>(gateway: Arc<state::Gateway<P>>) {
    loop {
        for (group, ranks) in gateway.dispatcher.unreachable_groups().await {
            let index = rand::random_range(0..ranks.len().max(1));
            let Some(target) = ranks.get(index) else { continue };
            if upstream::can_connect(target.address).await {
                gateway.dispatcher.group_reached(group);
            }
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Interval between two health checks of a backend server.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of concurrent health checks by a gateway.
const MAX_HEALTH_CHECKS: usize = 8;

/// Finds out whether a restarted backend server is leaving if its earlier run reported that it
/// leaves. Runs until the process exits. Such servers get no requests until this is known.
pub async fn check_restarted<P: Protocol>(gateway: Arc<state::Gateway<P>>) {
    loop {
        let unsettled = gateway.dispatcher.unsettled().await;
        for servers in unsettled.chunks(MAX_HEALTH_CHECKS) {
            let mut checks = tokio::task::JoinSet::new();
            for (server, target) in servers.iter().cloned() {
                checks.spawn(check(gateway.clone(), server, target));
            }
            checks.join_all().await;
        }
        tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

async fn check<P: Protocol>(
    gateway: Arc<state::Gateway<P>>,
    server: entity::Server,
    target: state::Target,
) {
    let id = &target.run.id;
    let Some(path) = &target.health_path else {
        log::info!(
            "leaving state determined server={id} leaving=false reason=no-health-path",
            id = field::Text(id)
        );
        return gateway.dispatcher.settle(server, false);
    };
    gateway.metrics.health_checks.inc();
    let leaving = match gateway.upstream.check_health(&target, path).await {
        Ok(head) => match P::health(&head, id) {
            Health::Serving => false,
            Health::Leaving => true,
            Health::Unknown => {
                log::info!(
                    "health check inconclusive server={id} status={}",
                    head.status,
                    id = field::Text(id)
                );
                return;
            }
        },
        Err(error) => {
            log::info!(
                "health check inconclusive server={id} error={error}",
                error = field::Quoted(&error),
                id = field::Text(id)
            );
            return;
        }
    };
    log::info!(
        "leaving state determined server={id} leaving={leaving} reason=health-check",
        id = field::Text(id)
    );
    gateway.dispatcher.settle(server, leaving);
}
