//! Entries of another writer among those of the backend servers, and reports of engines, with values
//! that no server sends.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_tests::request::Request;
use loftcove_tests::system::{KEY, MODEL, Plan, SMS, System};
use loftcove_tests::{caller, cluster, until};
use serde_json::json;

const PLAN: Plan =
    Plan { gateways: 2, ranks: 3, groups: 1, plain: 2, sidecars: true, proxied: false };

/// Services of the entries, and the states in them. Servers of services with routes get no requests.
const SERVICES: [(&str, &str); 3] =
    [(SMS, "draining"), (MODEL, "draining"), ("without-route", "ready")];
/// Number of odd entries that are written at a time.
const BATCH: usize = 24;

/// Time within which a driver is elected and determines the ranks.
const ELECTION_TIME: std::time::Duration = std::time::Duration::from_secs(10);
/// More than a sidecar of a small group needs, in bytes.
const MAX_MEMORY: u64 = 128 << 20;

/// Returns an entry with a field replaced by this text.
fn entry((service, state): (&str, &str), field: &str, text: &str) -> String {
    let entry = json!({
        "service": service, "address": "127.0.0.1:9", "zone": "norte", "version": "v1",
        "slots": 10, "state": state, "cold_left_ms": 0, "seq": 4, "born": 7,
        "group": { "name": "g0-9", "epoch": 2, "rank": 1, "state": "open" }, "size": 3,
    });
    let marker = json!("marker");
    let mut marked = entry;
    match field.strip_prefix("group.") {
        Some(inner) => marked["group"][inner] = marker,
        None => marked[field] = marker,
    }
    marked.to_string().replace("\"marker\"", text)
}

/// Returns entries with odd values.
fn odd_entries(service: (&str, &str)) -> Vec<String> {
    let nested =
        |open: &str, close: &str, levels: usize| open.repeat(levels) + &close.repeat(levels);
    let numbers = [
        "-1",
        "0",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
        "1.8e19",
        "1.8e22",
        "1e308",
        "1e400",
        "-1e308",
        "0.5",
        "1e-320",
        "null",
        "\"7\"",
    ];
    let fields = [
        "slots",
        "cold_left_ms",
        "seq",
        "born",
        "size",
        "group.epoch",
        "group.rank",
        "group",
        "new",
    ];
    let numbered = fields.iter().flat_map(|field| numbers.map(|text| entry(service, field, text)));
    let addresses = [
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:65536\"",
        "\"127.0.0.1:-1\"",
        "\"0.0.0.0:80\"",
        "\"255.255.255.255:80\"",
        "\"224.0.0.1:80\"",
        "\"[::1]:80\"",
        "\"127.0.0.1\"",
        "7",
    ];
    let addressed = addresses.map(|text| entry(service, "address", text));
    let deep = ["address", "service", "group", "new"].into_iter().flat_map(|field| {
        [
            entry(service, field, &nested("[", "]", 100_000)),
            entry(service, field, &nested("{\"a\":", "}", 50_000).replacen("}", "1}", 1)),
            entry(service, field, &"[".repeat(300_000)),
        ]
    });
    let others = [
        String::new(),
        nested("[", "]", 200_000),
        "\"".to_owned() + &"x".repeat(600_000),
        entry(service, "zone", &format!("\"{}\"", "z".repeat(400_000))),
    ];
    numbered.chain(addressed).chain(deep).chain(others).collect()
}

/// Writes the text of an entry that no server writes.
async fn write(system: &System, id: &str, text: &str) {
    let path = format!("/standin/put?key=servers/{id}");
    assert_eq!(system.control.request("PUT", &path, &[], text).await.status, 200);
}

/// Checks that all gateways and sidecars run, follow the store and serve.
async fn check(system: &mut System, version: u64, after: &str) {
    let key = format!("key-{version}");
    system.configure(version, &[KEY, &key]).await;
    for gateway in 0..PLAN.gateways {
        until(&format!("gateway {gateway} follows after {after}"), || async {
            system.request(gateway, &Request::new("/alert/").key(&key)).await.status == 200
        })
        .await;
        for path in ["/receipt/", "/draft/"] {
            let answer = system.request(gateway, &Request::new(path)).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{path} after {after}");
        }
    }
    let processes = system.gateways.iter_mut().chain(&mut system.sidecars);
    for process in processes {
        assert!(!process.has_exited(), "{:?} after {after}", process.log().last());
        let panicked = process.log().iter().any(|line| line.contains("panicked"));
        assert!(!panicked, "panic after {after}");
    }
}

// Guards against an entry of another writer that ends the processes that read it, or keeps them from
// the entries and the configuration behind it.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_neither_ends_a_process_nor_stops_its_updates() {
    let mut system = System::start(PLAN).await;
    let entries: Vec<String> = SERVICES.into_iter().flat_map(odd_entries).collect();
    let mut version = 1;
    for batch in entries.chunks(BATCH) {
        for (number, text) in batch.iter().enumerate() {
            write(&system, &format!("odd-{number}"), text).await;
        }
        version += 1;
        let shortened = batch.iter().map(|text| &text[..text.len().min(120)]);
        check(&mut system, version, &shortened.collect::<Vec<&str>>().join("\n")).await;
    }
    // Processes that start read the whole list at once.
    system.gateways[0].kill().await;
    system.start_gateway(0);
    system.sidecars[0].kill().await;
    system.start_sidecar(0);
    system.wait_ready(0).await;
    check(&mut system, version + 1, "a restart").await;
}

// Guards against a sidecar that reserves memory for as many ranks as its engine reports, and ends.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_size_of_a_group_ends_no_sidecar() {
    let mut system = System::start(PLAN).await;
    let incomplete = |system: &System| {
        let logs = system.sidecars.iter().map(|sidecar| {
            sidecar.log().iter().filter(|line| line.contains("group incomplete")).count()
        });
        logs.sum::<usize>()
    };
    for size in [u64::from(u32::MAX), 1 << 30, 1 << 24, 4] {
        let before = incomplete(&system);
        let group = &system.group.1;
        group.request("PUT", &format!("/size?ranks={size}"), &[], "").await;
        // The driver determines the ranks of each epoch.
        group.request("PUT", "/break", &[], "").await;
        group.request("PUT", "/mend", &[], "").await;
        let began = tokio::time::Instant::now();
        while incomplete(&system) == before && began.elapsed() < ELECTION_TIME {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        for sidecar in &mut system.sidecars {
            assert!(!sidecar.has_exited(), "size {size} ended a sidecar");
            assert!(sidecar.usage().peak_memory < MAX_MEMORY, "size {size}");
        }
        assert!(incomplete(&system) > before, "size {size}: no driver has looked for the ranks");
    }
}

/// Returns an entry of the host list with a field replaced by this text.
fn host(field: &str, text: &str) -> String {
    let mut host = json!({
        "id": "odd", "zone": "sala-braga", "role": "agent", "address": "127.0.0.1:9",
        "backend": "without-route", "rank": 0, "leaving": true,
    });
    host[field] = json!("marker");
    host.to_string().replace("\"marker\"", text)
}

fn odd_hosts() -> Vec<String> {
    let texts = [
        "-1",
        "4294967295",
        "4294967296",
        "18446744073709551616",
        "1e400",
        "0.5",
        "null",
        "\"\"",
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:65536\"",
        "\"0.0.0.0:80\"",
        "\"entry\"",
        "\"other\"",
        "[7]",
    ];
    let fields = ["id", "zone", "role", "address", "backend", "rank", "leaving", "new"];
    let odd = fields.iter().flat_map(|field| texts.map(|text| host(field, text)));
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let deep = ["address", "rank", "new"].map(|field| host(field, &nested));
    odd.chain(deep).chain([String::new(), nested, "\"".repeat(600_000)]).collect()
}

// Guards against an entry of another writer in the host list that ends entry hosts or agents, or
// keeps them from the list behind it.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_host_neither_ends_a_process_nor_stops_its_updates() {
    let zones = vec!["sala-braga"];
    let plan = cluster::Plan { zones, services: 2, ..cluster::Plan::default() };
    let mut cluster = cluster::Cluster::start(plan).await;
    let entry = cluster.entries().remove(0);
    let agent = cluster.agents(cluster::SERVICE).remove(0);
    let control = caller::Caller::new(cluster.platform_address, "");
    let client = cluster.caller(&entry);
    let address = cluster.members[&agent].proxy_address;
    let omitted = |cluster: &cluster::Cluster| {
        let log = cluster.members[&entry].process.log();
        log.iter().any(|line| line.contains("host omitted key=hosts/odd-"))
    };
    let mut leaving = false;
    for batch in odd_hosts().chunks(BATCH) {
        for (number, text) in batch.iter().enumerate() {
            let path = format!("/standin/put?key=hosts/odd-{number}");
            assert_eq!(control.request("PUT", &path, &[], text).await.status, 200);
        }
        leaving = !leaving;
        let own = json!({
            "id": agent, "zone": "sala-braga", "role": "agent", "address": address,
            "backend": cluster::SERVICE, "rank": null, "leaving": leaving,
        });
        let path = format!("/standin/put?key=hosts/{agent}");
        control.request("PUT", &path, &[], &own.to_string()).await;
        let state = if leaving { "leaving" } else { "usable" };
        until("the entry host follows the list", || async {
            let status = cluster.status().await;
            let servers = status[&entry]["servers"].as_array().cloned().unwrap_or_default();
            servers.iter().any(|server| server["host"] == *agent && server["state"] == state)
        })
        .await;
        let key = uuid::Uuid::now_v7().to_string();
        let answer = client.deliver(cluster::SERVICE, &key, &[]).await;
        assert_eq!((answer.status, &*answer.outcome()), (200, "answered"), "{answer:?}");
        assert!(client.chat(cluster::MODEL, true, 3).await.complete);
        assert!(omitted(&cluster), "the entry host has read an odd entry");
        for (name, member) in &mut cluster.members {
            assert!(!member.process.has_exited(), "{name}");
            assert!(!member.process.log().iter().any(|line| line.contains("panicked")), "{name}");
        }
    }
}
