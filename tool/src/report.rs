//! Asks the processes for their status and for explanations.

use std::net::SocketAddr;
use std::time::Duration;

use loftcove_platform::hosts::{self, List as _};
use loftcove_wire as wire;
use tonic::codec::CompressionEncoding;
use tonic::metadata::{Ascii, MetadataValue};

use crate::{Context, error};

/// Longest wait for one process.
const TIMEOUT: Duration = Duration::from_secs(2);

type Client = wire::peer_client::PeerClient<tonic::transport::Channel>;

async fn connect(address: SocketAddr) -> Option<Client> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}")).ok()?;
    let channel = endpoint.connect_timeout(TIMEOUT).connect().await.ok()?;
    Some(Client::new(channel).accept_compressed(CompressionEncoding::Gzip))
}

fn keyed<T>(context: &Context, message: T) -> Result<tonic::Request<T>, error::Error> {
    let key: MetadataValue<Ascii> = context.settings.key.parse().map_err(|_| error::Error::Key)?;
    let mut request = tonic::Request::new(message);
    request.metadata_mut().insert(wire::KEY_ENTRY, key);
    Ok(request)
}

/// The host list: from the platform or, in its outage, from a process.
async fn hosts(context: &Context) -> Result<hosts::Snapshot, error::Error> {
    let fault = match context.platform.hosts(0, Duration::ZERO).await {
        Ok(list) => return Ok(list),
        Err(fault) => fault,
    };
    for seed in &context.settings.seeds {
        let versions = Vec::new();
        let request = keyed(context, wire::Offer { host: "loftcove".to_owned(), versions })?;
        if let Some(list) = hosts_of(*seed, request).await {
            return Ok(list);
        }
    }
    Err(fault.into())
}

async fn hosts_of(
    seed: SocketAddr,
    request: tonic::Request<wire::Offer>,
) -> Option<hosts::Snapshot> {
    let mut client = connect(seed).await?;
    let update = client.exchange(request).await.ok()?.into_inner();
    let record = update.records.into_iter().find(|record| record.kind() == wire::Kind::Hosts)?;
    serde_json::from_slice(&record.value).ok()
}

async fn snapshot(
    context: &Context,
    host: &hosts::Host,
) -> Result<Option<serde_json::Value>, error::Error> {
    let request = keyed(context, wire::Ask {})?;
    let ask = async {
        let mut client = connect(host.address).await?;
        let answer = client.status(request).await.ok()?.into_inner();
        serde_json::from_slice(&answer.json).ok()
    };
    Ok(tokio::time::timeout(TIMEOUT, ask).await.unwrap_or(None))
}

/// `loftcove status`.
pub async fn status(context: &Context) -> Result<(), error::Error> {
    let list = hosts(context).await?;
    let calls = list.hosts.iter().map(|host| snapshot(context, host));
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

fn print_process(process: &serde_json::Value) {
    let text = |key: &str| match &process[key] {
        serde_json::Value::String(text) => text.clone(),
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

/// `loftcove explain`.
pub async fn explain(context: &Context, request: &str) -> Result<(), error::Error> {
    let list = hosts(context).await?;
    let calls = list.hosts.iter().map(|host| explanation(context, host, request));
    let answers = futures_util::future::join_all(calls).await;
    let mut known = false;
    for (host, lines) in list.hosts.iter().zip(answers) {
        for line in lines? {
            known = true;
            if context.json {
                println!("{}", serde_json::json!({ "host": host.id, "decision": line }));
            } else {
                println!("host={} {line}", host.id);
            }
        }
    }
    if known { Ok(()) } else { Err(error::Error::NotKnown(request.to_owned())) }
}

async fn explanation(
    context: &Context,
    host: &hosts::Host,
    request: &str,
) -> Result<Vec<String>, error::Error> {
    let message = keyed(context, wire::Subject { request: request.to_owned() })?;
    let ask = async {
        let mut client = connect(host.address).await?;
        Some(client.explain(message).await.ok()?.into_inner().lines)
    };
    Ok(tokio::time::timeout(TIMEOUT, ask).await.ok().flatten().unwrap_or_default())
}
