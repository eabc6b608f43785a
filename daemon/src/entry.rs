//! The role `entry`: takes callers' requests and decides where each goes.
//!
//! [`server`] listens, [`call`] reads what a caller asks, [`flow`] takes it
//! through [`claim`], [`dispatcher`] and [`dispatch`], and [`relay`] hands the answer
//! on. [`follow`] keeps the load of the agents, [`assignment`] looks after the
//! homes of idempotency keys, [`drive`] after the expert maps.

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

use loftcove_wire as wire;
use tokio::net::TcpListener;
use tonic::codec::CompressionEncoding;
use tonic::transport::server::TcpIncoming;

use crate::{Error, link, listen, peer, process, stop};

/// What the tasks of an entry host share.
pub struct Entry {
    /// The process.
    pub process: Arc<process::Process>,
    /// Its decisions.
    pub dispatcher: Arc<dispatcher::Dispatcher>,
    /// Groups that it drives.
    pub groups: drive::Groups,
}

/// Runs until a planned stop is over.
///
/// # Errors
///
/// An [`Error`] of an address or of the signals.
pub async fn run(process: Arc<process::Process>, peers: TcpListener) -> Result<(), Error> {
    let signals = stop::Signals::new()?;
    // The role was checked with the settings.
    let settings = process.settings.entry.clone().expect("an entry has its section");
    let dispatcher = Arc::new(dispatcher::Dispatcher::new(&settings, process.clock));
    let groups = drive::Groups::default();
    let entry = Arc::new(Entry { process: process.clone(), dispatcher, groups });
    let callers = listen(settings.http_address, "http").await?;
    tokio::spawn(follow::run(entry.clone()));
    tokio::spawn(dispatcher::tick(entry.dispatcher.clone()));
    tokio::spawn(assignment::run(entry.clone()));
    tokio::spawn(drive::run(entry.clone()));
    tokio::spawn(server::run(entry.clone(), callers));
    let key = link::Key::new(&process.settings.process.key).map_err(crate::process::Error::Key)?;
    let service = wire::peer_server::PeerServer::new(peer::Peer::new(process.clone(), entry))
        .accept_compressed(CompressionEncoding::Gzip)
        .send_compressed(CompressionEncoding::Gzip)
        .max_decoding_message_size(wire::MAX_MESSAGE)
        .max_encoding_message_size(wire::MAX_MESSAGE);
    let service = tonic::service::interceptor::InterceptedService::new(service, key.verifier());
    let router = tonic::transport::Server::builder().add_service(service);
    let incoming = TcpIncoming::from(peers).with_nodelay(Some(true));
    tokio::spawn(async move {
        if let Err(error) = router.serve_with_incoming(incoming).await {
            log::error!("peer service ended error=\"{error}\"");
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
