//! The role `agent`: stands before one backend server.
//!
//! [`service`] answers entry hosts, [`run`] carries an attempt out, [`poll`]
//! keeps the backend server's load, [`keeper`] is its part as a home of
//! idempotency keys, [`orders`] its gate for expert maps.

mod keeper;
mod orders;
mod poll;
mod run;
mod server;
mod service;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_decision::{attempt, home, lifecycle};
use loftcove_settings::file;
use loftcove_wire as wire;
use tokio::net::TcpListener;
use tonic::codec::CompressionEncoding;
use tonic::transport::server::TcpIncoming;

use crate::{Error, link, peer, process, stop};

/// Attempts that are remembered at the most.
const MAX_ATTEMPTS: usize = 200_000;
/// How long an agent that drains still answers questions about its attempts
/// after the last has ended: its streams close, and no entry host asks more.
const LINGER: Duration = Duration::from_millis(100);

/// What the tasks of an agent share. Lock order: `attempts`, `keeper`, `gate`,
/// each held for one step only and never together.
pub struct Agent {
    /// The process.
    pub process: Arc<process::Process>,
    /// Its section of the settings.
    pub settings: file::Agent,
    /// Attempts.
    pub attempts: Mutex<attempt::Table>,
    /// Its part as a home.
    pub keeper: Mutex<home::keeper::Keeper>,
    /// The backend server's load.
    pub load: poll::Load,
    /// Its gate for expert maps.
    pub orders: orders::Orders,
    /// The backend server.
    pub server: server::Client,
}

/// Runs until a planned stop is over.
///
/// # Errors
///
/// An [`Error`] of an address or of the signals.
pub async fn run(process: Arc<process::Process>, peers: TcpListener) -> Result<(), Error> {
    let signals = stop::Signals::new()?;
    // The role was checked with the settings.
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
    let router = tonic::transport::Server::builder().add_service(peer).add_service(service);
    let incoming = TcpIncoming::from(peers).with_nodelay(Some(true));
    tokio::spawn(async move {
        if let Err(error) = router.serve_with_incoming(incoming).await {
            log::error!("agent service ended error=\"{error}\"");
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
    let me = home::table::Holder {
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
    let keeper = home::keeper::Keeper::new(me, rules);
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
    /// Whether the agent takes new work.
    pub fn accepts_work(&self) -> bool {
        let serving = self.process.lifecycle.phase() == lifecycle::Phase::Serving;
        serving && !self.process.leaving(&self.process.settings.process.host)
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
