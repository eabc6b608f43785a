//! The role `entry`: accepts clients' requests and selects a backend server for each.
//!
//! - [`server`] accepts connections, and [`call`] reads and validates a request.
//! - [`flow`] handles the request: it claims its idempotency key with [`claim`], selects a server
//!   with [`dispatcher`], and makes attempts with [`dispatch`].
//! - [`relay`] relays the answer to the client, and [`refusal`] answers requests that are rejected.
//! - [`follow`] receives the load reports of the agents.
//! - [`assignment`] assigns homes to the slots of idempotency keys.
//! - [`drive`] changes the expert maps of groups.

mod assignment;
mod call;
mod claim;
mod dispatch;
mod dispatcher;
mod drive;
mod flow;
mod follow;
mod refusal;
mod relay;
mod server;

use std::sync::Arc;

use loftcove_intake::{connections, descriptors, grpc, memory};
use loftcove_line::field;
use loftcove_settings::file;
use loftcove_startup::signals;
use loftcove_wire as wire;
use tokio::net::TcpListener;
use tonic::codec::CompressionEncoding;

use crate::{Error, link, peer, process, stop};

/// State that the tasks of an entry host share.
pub struct Entry {
    /// State of the process, independent of its role.
    pub process: Arc<process::Process>,
    /// Queue of the requests, and choice of a backend server for each.
    pub dispatcher: Arc<dispatcher::Dispatcher>,
    /// Groups whose expert maps this process drives.
    pub groups: drive::Groups,
    /// Memory that clients make the process hold.
    pub memory: memory::Account,
    /// Bound of the connections from clients.
    pub clients: connections::Connections,
}

/// File descriptors that the settings name and that clients' connections do not use: those of the
/// platform, agents and other entry hosts.
const RESERVED_DESCRIPTORS: usize = 1_024;

impl Entry {
    fn new(process: Arc<process::Process>, settings: &file::Entry) -> Entry {
        let account = &process.intake.descriptors;
        let left = account.capacity().saturating_sub(account.reserved());
        let max = settings.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).min(left);
        let quota = account.quota(descriptors::Share { reserved: max / 2, max });
        let clients = connections::Connections::of(quota);
        let memory = process.intake.peers.memory.clone();
        // A process creates one entry host, so that the cell is empty.
        process.metrics.clients.set(clients.clone()).unwrap_or_default();
        Entry {
            dispatcher: Arc::new(dispatcher::Dispatcher::new(settings, process.clock)),
            process,
            groups: drive::Groups::default(),
            memory,
            clients,
        }
    }
}

/// Runs the entry host until a planned stop has completed. `peers` and `clients` listen on its
/// addresses for other hosts and for clients.
///
/// # Errors
///
/// Returns an [`Error`] if the deployment's key cannot be sent.
pub async fn run(
    process: Arc<process::Process>,
    peers: TcpListener,
    clients: TcpListener,
    signals: signals::Receiver,
) -> Result<(), Error> {
    // Validation of the settings ensures that the section exists for this role.
    let settings = process.settings.entry.clone().expect("an entry has its section");
    let entry = Arc::new(Entry::new(process.clone(), &settings));
    tokio::spawn(follow::run(entry.clone()));
    tokio::spawn(dispatcher::tick(entry.dispatcher.clone()));
    tokio::spawn(assignment::run(entry.clone()));
    tokio::spawn(drive::run(entry.clone()));
    tokio::spawn(server::run(entry.clone(), clients));
    let key = link::Key::new(&process.settings.process.key).map_err(crate::process::Error::Key)?;
    let service = wire::peer_server::PeerServer::new(peer::Peer::new(process.clone(), entry))
        .accept_compressed(CompressionEncoding::Gzip)
        .send_compressed(CompressionEncoding::Gzip)
        .max_decoding_message_size(wire::MAX_MESSAGE)
        .max_encoding_message_size(wire::MAX_MESSAGE);
    let service = tonic::service::interceptor::InterceptedService::new(service, key.verifier());
    let router = grpc::server().add_service(grpc::Service(service));
    let incoming = grpc::incoming(peers, process.intake.peers.clone());
    tokio::spawn(async move {
        if let Err(error) = router.serve_with_incoming(incoming).await {
            log::error!("peer service ended error={error}", error = field::Quoted(&error));
        }
    });
    stop::wait(&process, signals, || async {}).await;
    Ok(())
}

impl crate::status::Source for Arc<Entry> {
    fn servers(&self) -> Vec<crate::status::Server> {
        self.dispatcher.servers()
    }

    fn teams(&self) -> Vec<crate::status::Team> {
        self.dispatcher.teams()
    }

    fn groups(&self) -> Vec<crate::status::Group> {
        self.groups.status()
    }
}
