//! Gateways, sidecars, backend servers and a store, as on the users' machines.
//!
//! Each system has loopback addresses of its own, so that all its hosts can
//! listen on the same ports, as they do there.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::Client;
use crate::request::Request;
use crate::{caller, failure, process, until, visits};

/// Host of all routes.
pub const HOST: &str = "vale.example";
/// Key of the team `clinica`.
pub const KEY: &str = "key-of-the-clinic";
/// Service of the lock-step group.
pub const MODEL: &str = "modelo";
/// Plain service.
pub const SMS: &str = "gateway-sms";

const CLIENT_PORT: u16 = 8_000;
const READY_PORT: u16 = 8_001;
const PEER_PORT: u16 = 8_002;
const METRICS_PORT: u16 = 9_464;
const SERVER_PORT: u16 = 8_100;

/// Time after which operator and backend servers write again what the store has lost.
const WRITTEN_AGAIN: Duration = Duration::from_millis(500);

/// Last part of the address of the first rank's host, and of its sidecar where
/// the proxy listens in its place.
const FIRST_RANK: u8 = 100;
const FIRST_PROXIED: u8 = 170;

/// What is started.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Gateways.
    pub gateways: u8,
    /// Ranks of all lock-step groups together.
    pub ranks: u8,
    /// Lock-step groups, of the same size.
    pub groups: u8,
    /// Plain servers.
    pub plain: u8,
    /// Whether each rank has a sidecar.
    pub sidecars: bool,
    /// Whether connections to backend servers, to the store and to sidecars go
    /// through the fault-injecting proxy; see [`System::link`].
    pub proxied: bool,
}

/// The system.
pub struct System {
    /// What was started.
    pub plan: Plan,
    /// The store's stand-in.
    pub store: process::Process,
    /// Talks to the store's stand-in.
    pub control: caller::Caller,
    /// The group's stand-in, and who talks to it.
    pub group: (process::Process, caller::Caller),
    /// The plain servers' stand-in, and who talks to it.
    pub plain: (process::Process, caller::Caller),
    /// Gateways.
    pub gateways: Vec<process::Process>,
    /// Sidecars.
    pub sidecars: Vec<process::Process>,
    /// Names and logs of processes that were replaced by a later start.
    pub replaced: Vec<(String, process::Log)>,
    proxy: Option<process::Process>,
    folder: process::Folder,
    net: Net,
    store_address: SocketAddr,
    /// What the platform last wrote, or removed, by key.
    written: Mutex<BTreeMap<String, Option<Value>>>,
    /// Addresses at which hosts reach the store through the proxy.
    stores: BTreeMap<String, SocketAddr>,
    version: u64,
}

/// Addresses below 127.0.0.0/8 that no other system has, of this process or of another one,
/// while this is held.
struct Net {
    bytes: [u8; 2],
    /// Bound for as long as the addresses are taken.
    _reservation: std::net::UdpSocket,
}

/// Host and port whose binding reserves a net's addresses; no program uses them.
const RESERVED: (u8, u16) = (254, 21_000);

impl Net {
    fn reserve() -> Net {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        loop {
            let number = std::process::id() * 4 + NEXT.fetch_add(1, Ordering::Relaxed);
            let bytes = [16 + (number / 256 % 200) as u8, (number % 256) as u8];
            let address = Ipv4Addr::new(127, bytes[0], bytes[1], RESERVED.0);
            if let Ok(reservation) = std::net::UdpSocket::bind((address, RESERVED.1)) {
                return Net { bytes, _reservation: reservation };
            }
        }
    }
}

impl Drop for System {
    /// Keeps the logs of a test that fails: the failure may not come again.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        match failure::save(&self.logs(), &[]) {
            Ok(folder) => eprintln!("logs of the failed run are in {}", folder.display()),
            Err(error) => eprintln!("logs of the failed run were not kept: {error}"),
        }
    }
}

impl System {
    /// What all processes of ours have logged, those included that were replaced.
    pub fn logs(&self) -> Vec<(String, Vec<String>)> {
        let gateways = self.gateways.iter().enumerate();
        let gateways =
            gateways.map(|(number, process)| (format!("gateway-{number}"), process.log()));
        let sidecars = self.sidecars.iter().enumerate();
        let sidecars =
            sidecars.map(|(number, process)| (format!("sidecar-{number}"), process.log()));
        let earlier = self.replaced.iter().enumerate();
        let earlier = earlier.map(|(n, (name, log))| (format!("{name}-replaced-{n}"), log.lines()));
        gateways.chain(sidecars).chain(earlier).collect()
    }

    /// Starts everything, with a first configuration.
    pub async fn start(plan: Plan) -> System {
        let mut store = process::Process::start("standin-platform", &[]);
        let store_address = store.read_address().await;
        let net = Net::reserve();
        assert!(plan.ranks <= FIRST_PROXIED - FIRST_RANK, "addresses for so many ranks");
        let lockstep = servers(net.bytes, FIRST_RANK, plan.ranks, "rank");
        let plain = servers(net.bytes, 50, plan.plain, "plain");
        let proxy = plan.proxied.then(|| process::Process::start("fault-proxy", &[]));
        let mut system = System {
            plan,
            store,
            control: caller::Caller::new(store_address, ""),
            group: servers_of(&lockstep, Some(plan.groups), plan.proxied).await,
            plain: servers_of(&plain, None, plan.proxied).await,
            gateways: Vec::new(),
            sidecars: Vec::new(),
            replaced: Vec::new(),
            proxy,
            folder: process::Folder::new(),
            net,
            store_address,
            written: Mutex::default(),
            stores: BTreeMap::new(),
            version: 1,
        };
        system.interpose(lockstep.iter().chain(&plain)).await;
        system.configure(1, &[KEY]).await;
        for (service, list) in [(MODEL, &lockstep), (SMS, &plain)] {
            for (id, address) in list {
                system.put_entry(id, service, *address, "ready").await;
            }
        }
        for index in 0..plan.gateways {
            system.interpose_store(&format!("gateway-{index}")).await;
            system.start_gateway(index);
        }
        if plan.sidecars {
            for rank in 0..plan.ranks {
                system.interpose_store(&format!("sidecar-{rank}")).await;
                system.interpose_sidecar(rank).await;
                system.start_sidecar(rank);
            }
        }
        for index in 0..plan.gateways {
            system.wait_ready(index).await;
        }
        system
    }

    /// Puts the proxy before the backend servers, each a target with its id.
    async fn interpose(&mut self, servers: impl Iterator<Item = &(String, SocketAddr)>) {
        let Some(proxy) = &mut self.proxy else { return };
        for (id, address) in servers {
            let real = real_address(*address, true);
            proxy.send_command(&format!("target {id} norte {real} {address}")).await;
        }
    }

    /// Puts the proxy before a sidecar, as the target `sidecar-RANK`. Drivers reach
    /// it at its engine's host.
    async fn interpose_sidecar(&mut self, rank: u8) {
        let (listen, real) = (self.rank_ip(rank), self.sidecar_ip(rank));
        let Some(proxy) = &mut self.proxy else { return };
        let line = format!("target sidecar-{rank} norte {real}:{PEER_PORT} {listen}:{PEER_PORT}");
        proxy.send_command(&line).await;
    }

    /// Address of a rank's host.
    fn rank_ip(&self, rank: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.bytes[0], self.net.bytes[1], FIRST_RANK + rank)
    }

    /// Address that a rank's sidecar listens on: another one if the proxy listens
    /// on its own.
    fn sidecar_ip(&self, rank: u8) -> Ipv4Addr {
        let first = if self.proxy.is_some() { FIRST_PROXIED } else { FIRST_RANK };
        Ipv4Addr::new(127, self.net.bytes[0], self.net.bytes[1], first + rank)
    }

    /// Puts the proxy between a host and the store, as the target `store-HOST`.
    async fn interpose_store(&mut self, host: &str) {
        let Some(proxy) = &mut self.proxy else { return };
        let line = format!("target store-{host} norte {}", self.store_address);
        let answer = proxy.send_command(&line).await;
        let address = answer.rsplit(' ').next().and_then(|text| text.parse().ok());
        self.stores.insert(host.to_owned(), address.expect("the proxy tells its address"));
    }

    /// Sets a fault of all connections to a target of the proxy, or to `*`; see
    /// `loftcove_standins::proxy`.
    pub async fn link(&mut self, target: &str, fault: &str) {
        let proxy = self.proxy.as_mut().expect("the system has a proxy");
        assert_eq!(proxy.send_command(&format!("link * {target} {fault}")).await, "set");
    }

    /// Address that clients connect to at a gateway.
    pub fn client_address(&self, gateway: u8) -> SocketAddr {
        (self.gateway_ip(gateway), CLIENT_PORT).into()
    }

    /// Starts one more gateway beside a system, without peers, with lines for its
    /// section `[serving]`; its number is 5.
    pub async fn start_without_peers(system: &System, serving: &str) -> process::Process {
        let ip = system.gateway_ip(5);
        let text = format!(
            "[host]\nname = \"lonely\"\nzone = \"norte\"\nstore_address = \"{}\"\n\
             metrics_address = \"{ip}:{METRICS_PORT}\"\n\
             [listen]\nclient_address = \"{ip}:{CLIENT_PORT}\"\n\
             ready_address = \"{ip}:{READY_PORT}\"\npeer_address = \"{ip}:{PEER_PORT}\"\n\
             [serving]\n{serving}",
            system.store_address
        );
        let file = system.folder.write("lonely.toml", &text);
        let mut gateway = process::Process::start("loftcoved", &["gateway".to_owned(), file]);
        gateway.log_output();
        until("it listens", || async {
            tokio::net::TcpStream::connect((ip, CLIENT_PORT)).await.is_ok()
        })
        .await;
        gateway
    }

    /// Address of a gateway's host.
    pub fn gateway_ip(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.bytes[0], self.net.bytes[1], 10 + index)
    }

    /// Id of a rank's backend server.
    pub fn rank_id(&self, rank: u8) -> String {
        format!("rank-{rank}")
    }

    /// Writes the entry of a backend server.
    pub async fn put_entry(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        self.put(&format!("servers/{id}"), &entry(service, address, state)).await;
    }

    /// Writes the entry of a backend server that started then, Unix milliseconds.
    pub async fn put_entry_of_run(&self, id: &str, service: &str, address: SocketAddr, born: u64) {
        let mut entry = entry(service, address, "ready");
        entry["born"] = json!(born);
        self.put(&format!("servers/{id}"), &entry).await;
    }

    /// Writes the entries of all ranks with what each now tells of its group, as
    /// the platform's backend servers do. Until this is called, their entries tell
    /// nothing of it.
    pub async fn put_rank_entries(&self) {
        for rank in 0..self.plan.ranks {
            let address = SocketAddr::from((self.rank_ip(rank), SERVER_PORT));
            let engine = caller::Caller::new(real_address(address, self.proxy.is_some()), "");
            let report = engine.read("/v1/report").await;
            let mut entry = entry(MODEL, address, "ready");
            entry["group"] = report["group"].clone();
            entry["size"] = report["size"].clone();
            self.put(&format!("servers/{}", self.rank_id(rank)), &entry).await;
        }
    }

    /// Address of a plain server.
    pub fn plain_address(&self, index: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.net.bytes[0], self.net.bytes[1], 50 + index), SERVER_PORT).into()
    }

    /// Writes a key as the platform does.
    pub async fn put(&self, key: &str, value: &Value) {
        let path = format!("/standin/put?key={key}");
        let answer = self.control.request("PUT", &path, &[], &value.to_string()).await;
        assert_eq!(answer.status, 200);
        self.wrote(key, Some(value.clone()));
    }

    fn wrote(&self, key: &str, value: Option<Value>) {
        let mut written = self.written.lock().expect("no holder of the keys panics");
        written.insert(key.to_owned(), value);
    }

    /// Has the store come back from the copy that was taken last, after it was away for
    /// that time; operator and backend servers write again what they wrote, half a second
    /// later.
    pub async fn restore_store(&self, away: Duration) {
        self.store_control("fault/down").await;
        tokio::time::sleep(away).await;
        self.store_control("restore").await;
        self.store_control("fault/none").await;
        tokio::time::sleep(WRITTEN_AGAIN).await;
        let written = self.written.lock().expect("no holder of the keys panics").clone();
        for (key, value) in written {
            match value {
                Some(value) => self.put(&key, &value).await,
                None => self.remove(&key).await,
            }
        }
    }

    /// Removes a key as the platform does.
    pub async fn remove(&self, key: &str) {
        let path = format!("/standin/put?key={key}");
        assert_eq!(self.control.request("DELETE", &path, &[], "").await.status, 200);
        self.wrote(key, None);
    }

    /// Tells the store's stand-in something.
    pub async fn store_control(&self, what: &str) {
        let answer = self.control.request("PUT", &format!("/standin/{what}"), &[], "").await;
        assert_eq!(answer.status, 200);
    }

    /// Writes a configuration whose one team has the keys.
    pub async fn configure(&mut self, version: u64, keys: &[&str]) {
        self.version = version;
        let route = |name: &str, kind: &str, service: &str| {
            json!({
                "name": name, "host": HOST, "path_prefix": format!("/{name}/"),
                "route_kind": kind, "timeout_ms": 4_000, "goal_ms": 2_000, "priority": 1,
                "service": service, "max_attempts": 2, "anonymous": name == "open",
                "sticky": true, "resumable": true, "gap_target_ms": 1_000,
            })
        };
        let (sets, experts, placements, spare) = loftcove_standins::group::SHAPE;
        let config = json!({
            "version": version,
            "routes": [
                route("draft", "streaming", MODEL),
                route("receipt", "non_idempotent", SMS),
                route("alert", "idempotent", SMS),
                route("open", "idempotent", SMS),
            ],
            "services": [
                { "name": MODEL, "health_path": "/healthz", "max_conns": 200, "engine": {
                    "slots": 12, "kv_capacity": 100_000, "step_ms": 5.0, "read_per_s": 60_000.0,
                    "form_ms": 100.0, "sets": sets, "experts": experts,
                    "placements": placements, "spare": spare, "expert_mb": 1.0,
                    "expert_share": 0.8,
                } },
                { "name": SMS, "health_path": "/healthz", "max_conns": 100 },
            ],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 65_536,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": [{ "name": "clinica", "api_keys": keys, "priority": 1 }],
        });
        self.put("op/config", &config).await;
    }

    fn host_section(&self, name: &str, ip: Ipv4Addr) -> String {
        let seeds: Vec<String> = (0..self.plan.gateways.min(3))
            .map(|index| format!("\"{}:{PEER_PORT}\"", self.gateway_ip(index)))
            .collect();
        format!(
            "[host]\nname = \"{name}\"\nzone = \"norte\"\nseeds = [{}]\nstore_address = \"{}\"\n\
             source_address = \"{ip}\"\nmetrics_address = \"{ip}:{METRICS_PORT}\"\n",
            seeds.join(", "),
            self.stores.get(name).unwrap_or(&self.store_address)
        )
    }

    /// Starts a gateway, or starts it again.
    pub fn start_gateway(&mut self, index: u8) {
        let ip = self.gateway_ip(index);
        let name = format!("gateway-{index}");
        let text = format!(
            "{}[listen]\nclient_address = \"{ip}:{CLIENT_PORT}\"\n\
             ready_address = \"{ip}:{READY_PORT}\"\npeer_address = \"{ip}:{PEER_PORT}\"\n\
             [serving]\ngrace_s = 8\nretry_ratio = 0.2\nretry_slack = 90\n",
            self.host_section(&name, ip)
        );
        let file = self.folder.write(&format!("{name}.toml"), &text);
        let arguments = ["gateway".to_owned(), file];
        let mut gateway = process::Process::start("loftcoved", &arguments);
        gateway.log_output();
        let index = usize::from(index);
        if index < self.gateways.len() {
            let replaced = std::mem::replace(&mut self.gateways[index], gateway);
            self.replaced.push((name, replaced.log_handle()));
        } else {
            self.gateways.push(gateway);
        }
    }

    /// Starts a rank's sidecar, or starts it again.
    pub fn start_sidecar(&mut self, rank: u8) {
        let (ip, own) = (self.rank_ip(rank), self.sidecar_ip(rank));
        let name = format!("sidecar-{rank}");
        let text = format!(
            "{}[peering]\npeer_address = \"{own}:{PEER_PORT}\"\n\
             [engine]\naddress = \"{ip}:{SERVER_PORT}\"\nservice = \"{MODEL}\"\n",
            self.host_section(&name, ip)
        );
        let file = self.folder.write(&format!("{name}.toml"), &text);
        let arguments = ["sidecar".to_owned(), file];
        let mut sidecar = process::Process::start("loftcoved", &arguments);
        sidecar.log_output();
        let rank = usize::from(rank);
        if rank < self.sidecars.len() {
            let replaced = std::mem::replace(&mut self.sidecars[rank], sidecar);
            self.replaced.push((name, replaced.log_handle()));
        } else {
            self.sidecars.push(sidecar);
        }
    }

    /// Whether a gateway calls itself ready.
    pub async fn is_ready(&self, index: u8) -> bool {
        let address = (self.gateway_ip(index), READY_PORT).into();
        caller::Caller::new(address, "").request("GET", "/v1/readyz", &[], "").await.status == 200
    }

    /// Waits until a gateway is ready and knows all backend servers.
    pub async fn wait_ready(&self, index: u8) {
        let what = format!("gateway {index} serves");
        until(&what, || async {
            let request = Request::new("/alert/ready");
            self.is_ready(index).await && self.request(index, &request).await.status == 200
        })
        .await;
    }

    /// Metrics of a gateway.
    pub async fn metrics(&self, index: u8) -> String {
        let address = (self.gateway_ip(index), METRICS_PORT).into();
        caller::Caller::new(address, "").request("GET", "/metrics", &[], "").await.body
    }

    /// Sends a request through a gateway and reads the whole answer.
    pub async fn request(&self, gateway: u8, request: &Request) -> caller::Answer {
        let address = (self.gateway_ip(gateway), CLIENT_PORT).into();
        let headers: Vec<(&str, &str)> =
            request.headers.iter().map(|(name, value)| (&**name, &**value)).collect();
        caller::Caller::new(address, "")
            .request(request.method, &request.path, &headers, &request.body)
            .await
    }

    /// Connects a client to a gateway that keeps its connection.
    pub async fn client(&self, gateway: u8) -> Client {
        let client = Client::connect(self.client_address(gateway)).await;
        client.expect("the gateway listens")
    }

    /// State of the first lock-step group.
    pub async fn group_state(&self) -> Value {
        self.group_state_of(0).await
    }

    /// State of a lock-step group.
    pub async fn group_state_of(&self, group: u8) -> Value {
        self.group.1.read(&format!("/state?group={group}")).await
    }

    /// Tells the lock-step group something.
    pub async fn group_control(&self, what: &str) {
        assert_eq!(self.group.1.request("PUT", what, &[], "").await.status, 200);
    }

    /// Ends of backend servers under requests, oldest first: those of a lock-step
    /// group, or of the plain servers.
    pub async fn ends(&self, group: Option<u8>) -> Vec<Value> {
        self.rows(group, "/ends").await
    }

    /// Requests that reached the backend servers of a lock-step group, or the
    /// plain ones.
    pub async fn received(&self, group: Option<u8>) -> Vec<Value> {
        self.rows(group, "/requests").await
    }

    /// Requests that reached the run that they were meant for, over all servers,
    /// those that were refused among them.
    pub async fn visits(&self) -> Vec<visits::Visit> {
        let mut all = Vec::new();
        for group in (0..self.plan.groups).map(Some).chain([None]) {
            let rows = self.rows(group, "/visits").await;
            all.extend(rows.iter().map(visits::Visit::read));
        }
        all
    }

    /// Tells the servers of a lock-step group, or the plain ones, something.
    pub async fn servers_control(&self, group: Option<u8>, what: &str) {
        let control = if group.is_some() { &self.group.1 } else { &self.plain.1 };
        let path = format!("{what}&group={}", group.unwrap_or(0));
        assert_eq!(control.request("PUT", &path, &[], "").await.status, 200);
    }

    async fn rows(&self, group: Option<u8>, what: &str) -> Vec<Value> {
        let control = if group.is_some() { &self.group.1 } else { &self.plain.1 };
        let rows = control.read(&format!("{what}?group={}", group.unwrap_or(0))).await;
        rows.as_array().cloned().unwrap_or_default()
    }

    /// Waits until a backend server that ended is back, and writes its entry
    /// with that start, as the platform's backend servers do.
    pub async fn wait_restarted(&self, id: &str, born: u64) {
        let number = id.rsplit('-').next().and_then(|text| text.parse().ok());
        let number: u8 = number.expect("an id ends with a number");
        let (service, address) = match id.starts_with("rank") {
            true => (MODEL, SocketAddr::from((self.rank_ip(number), SERVER_PORT))),
            false => (SMS, self.plain_address(number)),
        };
        until("the server is back", || async {
            let mut ends = self.ends(None).await;
            for group in 0..self.plan.groups {
                ends.extend(self.ends(Some(group)).await);
            }
            ends.iter().all(|end| end["server"] != id || end["back"] == true)
        })
        .await;
        self.put_entry_of_run(id, service, address, born).await;
    }

    /// Has the servers of a lock-step group, or the plain ones, that ended since
    /// the last call start again, and waits until all gateways serve; `seen`
    /// counts the ends of before.
    pub async fn restart_ended(&self, group: Option<u8>, seen: &mut usize) {
        let ends = self.ends(group).await;
        for end in &ends[*seen..] {
            *seen += 1;
            let server = end["server"].as_str().expect("an end names its server");
            self.wait_restarted(server, *seen as u64).await;
        }
        let path = if group.is_some() { "/draft/" } else { "/alert/" };
        let sound = Request::new(path).with("x-standin-events", "2");
        for gateway in 0..self.plan.gateways {
            until("the gateway serves", || async {
                self.request(gateway, &sound).await.status == 200
            })
            .await;
        }
    }

    /// Requests with that id that reached backend servers, over all of them.
    pub async fn arrivals(&self, id: &str) -> Vec<Value> {
        let mut all = self.all_arrivals().await;
        all.retain(|request| request["headers"]["x-attempt-id"] == id);
        all
    }

    /// Requests that reached backend servers, over all of them.
    pub async fn all_arrivals(&self) -> Vec<Value> {
        let mut all = Vec::new();
        for group in (0..self.plan.groups).map(Some).chain([None]) {
            all.extend(self.received(group).await);
        }
        all
    }
}

type Listed = Vec<(String, SocketAddr)>;

fn servers(net: [u8; 2], first: u8, count: u8, name: &str) -> Listed {
    let address = |index| (Ipv4Addr::new(127, net[0], net[1], first + index), SERVER_PORT).into();
    (0..count).map(|index| (format!("{name}-{index}"), address(index))).collect()
}

/// Address that a server listens on: another one if the proxy listens on its own.
fn real_address(address: SocketAddr, proxied: bool) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() + u16::from(proxied))
}

/// Starts backend servers, as lock-step groups where a number of these is given.
async fn servers_of(
    servers: &Listed,
    groups: Option<u8>,
    proxied: bool,
) -> (process::Process, caller::Caller) {
    let row =
        |(id, address): &(String, SocketAddr)| format!("{id}={}", real_address(*address, proxied));
    let list: Vec<String> = servers.iter().map(row).collect();
    let mut arguments = vec!["--servers".to_owned(), list.join(",")];
    if let Some(groups) = groups {
        arguments.extend(["--lockstep".to_owned(), "--groups".to_owned(), groups.to_string()]);
    }
    let mut group = process::Process::start("standin-group", &arguments);
    let control = group.read_address().await;
    (group, caller::Caller::new(control, ""))
}

/// Longest time that anything may take that the users bound by two seconds, on
/// a machine that is busy with other things as well.
pub const BOUND: Duration = Duration::from_secs(10);

/// An entry of a backend server, as the platform's backend servers write it.
fn entry(service: &str, address: SocketAddr, state: &str) -> Value {
    json!({
        "service": service, "address": address, "zone": "norte", "version": "v1",
        "slots": 12, "state": state, "cold_left_ms": 0, "seq": 1,
    })
}
