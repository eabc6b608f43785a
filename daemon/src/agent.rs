//! The role `agent`: proxy of one backend server.
//!
//! [`service`] serves the calls of entry hosts and other agents. [`run`] executes an attempt on the
//! backend server ([`server`]). [`poll`] polls and reports the backend server's load. [`keeper`] is
//! the agent as a home of idempotency keys, which decides claims of them. [`orders`] executes
//! orders for expert maps and rejects stale ones.

mod keeper;
mod orders;
mod poll;
mod run;
mod server;
mod service;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_decision::{attempt, home, lifecycle};
use loftcove_intake::grpc;
use loftcove_line::field;
use loftcove_settings::file;
use loftcove_startup::signals;
use loftcove_wire as wire;
use tokio::net::TcpListener;
use tonic::codec::CompressionEncoding;

use crate::{Error, link, peer, process, stop};

/// Maximum number of attempts that are remembered.
const MAX_ATTEMPTS: usize = 200_000;
/// Time for which a draining agent still answers calls about its attempts after the last one has
/// ended. Its streams close in this time, and entry hosts send no more calls.
const LINGER: Duration = Duration::from_millis(100);

/// State that the tasks of an agent share. Lock order: `attempts`, `keeper`, `gate`. Each is held
/// for one step only, and never together with another.
pub struct Agent {
    /// The process.
    pub process: Arc<process::Process>,
    /// The agent's section of the settings.
    pub settings: file::Agent,
    /// Attempts that were started or revoked.
    pub attempts: Mutex<attempt::Table>,
    /// State as a home and witness of idempotency keys.
    pub keeper: Mutex<home::keeper::Keeper>,
    /// Load of the backend server.
    pub load: poll::Load,
    /// Gate for orders about expert maps.
    pub orders: orders::Orders,
    /// Client of the backend server.
    pub server: server::Client,
}

/// Runs the agent until a planned stop has completed.
///
/// # Errors
///
/// Returns an [`Error`] if the deployment's key cannot be sent.
pub async fn run(
    process: Arc<process::Process>,
    peers: TcpListener,
    signals: signals::Receiver,
) -> Result<(), Error> {
    // Reading the settings checks that the section of the role exists.
    let settings = process.settings.agent.clone().expect("an agent has its section");
    let agent = Arc::new(new(process.clone(), settings));
    tokio::spawn(poll::run(agent.clone()));
    tokio::spawn(keeper::run(agent.clone()));
    tokio::spawn(orders::run(agent.clone()));
    let key = link::Key::new(&process.settings.process.key).map_err(crate::process::Error::Key)?;
    let peer = wire::peer_server::PeerServer::new(peer::Peer::new(process.clone(), agent.clone()))
        .accept_compressed(CompressionEncoding::Gzip)
        .send_compressed(CompressionEncoding::Gzip)
        .max_decoding_message_size(wire::MAX_MESSAGE)
        .max_encoding_message_size(wire::MAX_MESSAGE);
    let service = wire::agent_server::AgentServer::new(service::Service::new(agent.clone()))
        .max_decoding_message_size(wire::MAX_MESSAGE)
        .max_encoding_message_size(wire::MAX_MESSAGE);
    let check = key.verifier();
    let peer = tonic::service::interceptor::InterceptedService::new(peer, check.clone());
    let service = tonic::service::interceptor::InterceptedService::new(service, check);
    let router = grpc::server().add_service(grpc::Service(peer));
    let router = router.add_service(grpc::Service(service));
    let incoming = grpc::incoming(peers, process.intake.peers.clone());
    tokio::spawn(async move {
        if let Err(error) = router.serve_with_incoming(incoming).await {
            log::error!("agent service failed error={error}", error = field::Quoted(&error));
        }
    });
    let drain = agent.clone();
    stop::wait(&process, signals, || async move {
        drain.load.publish(&drain);
        keeper::retire(&drain).await;
    })
    .await;
    tokio::time::sleep(LINGER).await;
    Ok(())
}

fn new(process: Arc<process::Process>, settings: file::Agent) -> Agent {
    let homes = &process.settings.homes;
    let skew = Duration::from_millis(homes.skew_ms);
    let attempts = attempt::Table::new(process.incarnation, skew, MAX_ATTEMPTS);
    let local = home::table::Holder {
        host: process.settings.process.host.clone(),
        incarnation: process.incarnation,
    };
    let rules = home::keeper::Rules {
        lease: Duration::from_millis(homes.lease_ms),
        grace: Duration::from_millis(homes.grace_ms),
        skew,
        window: Duration::from_millis(homes.window_ms),
        capacity: settings.max_keys,
    };
    let keeper = home::keeper::Keeper::new(local, rules);
    let server = server::Client::new(settings.server_address);
    Agent {
        attempts: Mutex::new(attempts),
        keeper: Mutex::new(keeper),
        load: poll::Load::new(process.incarnation, settings.slots),
        orders: orders::Orders::default(),
        server,
        settings,
        process,
    }
}

impl Agent {
    /// Returns whether the agent accepts new work.
    pub fn accepts_work(&self) -> bool {
        let serving = self.process.lifecycle.phase() == lifecycle::Phase::Serving;
        serving && !self.process.is_leaving(&self.process.settings.process.host)
    }
}

impl crate::status::Source for Arc<Agent> {
    fn servers(&self) -> Vec<crate::status::Server> {
        let report = self.load.report();
        let state = match () {
            _ if report.leaving => "leaving",
            _ if !report.alive => "down",
            _ => "usable",
        };
        vec![crate::status::Server {
            host: self.process.settings.process.host.to_string(),
            state,
            in_flight: report.running,
            window: report.slots,
        }]
    }

    fn teams(&self) -> Vec<crate::status::Team> {
        Vec::new()
    }

    fn groups(&self) -> Vec<crate::status::Group> {
        if self.settings.rank.is_none() {
            return Vec::new();
        }
        let name = self.settings.backend.to_string();
        vec![crate::status::Group { name, epoch: self.load.report().epoch, skew: None }]
    }
}
