//! The `status` and `explain` commands, which call the processes of the deployment.

use std::net::SocketAddr;
use std::time::Duration;

use loftcove_intake::{grpc, memory};
use loftcove_platform::hosts::{self, List as _};
use loftcove_wire as wire;
use tonic::codec::CompressionEncoding;
use tonic::metadata::{Ascii, MetadataValue};

use crate::{Context, error};

/// Timeout of the calls to one process.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(2);

type Client = wire::peer_client::PeerClient<grpc::Channel>;

/// Connects to a process. Returns `None` if the process is unreachable.
async fn connect(address: SocketAddr) -> Option<Client> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}")).ok()?;
    let memory = memory::Account::default();
    let endpoint = grpc::Endpoint::new(endpoint.connect_timeout(PROCESS_TIMEOUT), None, memory);
    let channel = endpoint.connect().await.ok()?;
    Some(Client::new(channel).accept_compressed(CompressionEncoding::Gzip))
}

/// Returns a request that has the deployment's key in its metadata.
fn with_key<T>(context: &Context, message: T) -> Result<tonic::Request<T>, error::Error> {
    let key: MetadataValue<Ascii> =
        context.settings.key.parse().map_err(|_| error::Error::InvalidKey)?;
    let mut request = tonic::Request::new(message);
    request.metadata_mut().insert(wire::KEY_ENTRY, key);
    Ok(request)
}

/// Returns the host list of the platform or, during an outage of the platform, of a seed process.
async fn load_hosts(context: &Context) -> Result<hosts::Snapshot, error::Error> {
    let error = match context.platform.hosts(0, Duration::ZERO).await {
        Ok(list) => return Ok(list),
        Err(error) => error,
    };
    for seed in &context.settings.seeds {
        let versions = Vec::new();
        let request = with_key(context, wire::Offer { host: "loftcove".to_owned(), versions })?;
        if let Some(list) = fetch_hosts(*seed, request).await {
            return Ok(list);
        }
    }
    Err(error.into())
}

/// Returns the host list of one process, or `None` if the process does not return one in time.
async fn fetch_hosts(
    seed: SocketAddr,
    request: tonic::Request<wire::Offer>,
) -> Option<hosts::Snapshot> {
    let call = async {
        let mut client = connect(seed).await?;
        Some(client.exchange(request).await.ok()?.into_inner())
    };
    let update = tokio::time::timeout(PROCESS_TIMEOUT, call).await.ok()??;
    let record = update.records.into_iter().find(|record| record.kind() == wire::Kind::Hosts)?;
    serde_json::from_slice(&record.value).ok()
}

/// Returns the status of one process, or `None` if it does not answer in time.
async fn fetch_status(
    context: &Context,
    host: &hosts::Host,
) -> Result<Option<serde_json::Value>, error::Error> {
    let request = with_key(context, wire::Ask {})?;
    let call = async {
        let mut client = connect(host.address).await?;
        let answer = client.status(request).await.ok()?.into_inner();
        serde_json::from_slice(&answer.json).ok()
    };
    Ok(tokio::time::timeout(PROCESS_TIMEOUT, call).await.unwrap_or(None))
}

/// Runs `loftcove status`.
pub async fn status(context: &Context) -> Result<(), error::Error> {
    let list = load_hosts(context).await?;
    let calls = list.hosts.iter().map(|host| fetch_status(context, host));
    let answers = futures_util::future::join_all(calls).await;
    let mut all = Vec::new();
    for (host, answer) in list.hosts.iter().zip(answers) {
        let unreached =
            || serde_json::json!({ "host": host.id, "zone": host.zone, "phase": "unreached" });
        all.push(answer?.unwrap_or_else(unreached));
    }
    if context.json {
        println!("{}", serde_json::Value::Array(all));
        return Ok(());
    }
    for process in &all {
        print_process(process);
    }
    Ok(())
}

/// Returns a name as a field of a line: quoted if it could be taken for further fields or lines.
fn field(text: &str) -> String {
    let syntax = |char: char| char.is_whitespace() || char.is_control() || "\"\\=".contains(char);
    if text.is_empty() || text.contains(syntax) { format!("{text:?}") } else { text.to_owned() }
}

fn print_process(process: &serde_json::Value) {
    let text = |key: &str| match &process[key] {
        serde_json::Value::String(text) => field(text),
        serde_json::Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    println!(
        "host={} zone={} phase={} generation={} in_flight={}",
        text("host"),
        text("zone"),
        text("phase"),
        text("generation"),
        text("in_flight")
    );
    let rows = |key: &str| process[key].as_array().cloned().unwrap_or_default();
    for server in rows("servers") {
        println!(
            "  server={} state={} in_flight={} window={}",
            server["host"], server["state"], server["in_flight"], server["window"]
        );
    }
    for team in rows("teams") {
        println!("  team={} held={} limit={}", team["name"], team["held"], team["limit"]);
    }
    for group in rows("groups") {
        println!("  group={} epoch={} skew={}", group["name"], group["epoch"], group["skew"]);
    }
}

/// Runs `loftcove explain`.
pub async fn explain(context: &Context, request: &str) -> Result<(), error::Error> {
    let list = load_hosts(context).await?;
    let calls = list.hosts.iter().map(|host| fetch_explanation(context, host, request));
    let answers = futures_util::future::join_all(calls).await;
    let mut found = false;
    for (host, lines) in list.hosts.iter().zip(answers) {
        for line in lines? {
            found = true;
            if context.json {
                println!("{}", serde_json::json!({ "host": host.id, "decision": line }));
            } else {
                println!("host={} {line}", field(&host.id));
            }
        }
    }
    if found { Ok(()) } else { Err(error::Error::UnknownRequest(request.to_owned())) }
}

/// Returns the decisions of one process about a request; none if it does not answer in time.
async fn fetch_explanation(
    context: &Context,
    host: &hosts::Host,
    request: &str,
) -> Result<Vec<String>, error::Error> {
    let message = with_key(context, wire::Subject { request: request.to_owned() })?;
    let call = async {
        let mut client = connect(host.address).await?;
        Some(client.explain(message).await.ok()?.into_inner().lines)
    };
    Ok(tokio::time::timeout(PROCESS_TIMEOUT, call).await.ok().flatten().unwrap_or_default())
}
