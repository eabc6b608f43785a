//! A small deployment: the store, and gateways as processes with the deploy file's command.

use std::collections::BTreeSet;
use std::fs;
use std::io::{BufReader, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::child;
use crate::http;
use crate::store::Store;

/// Address on the loopback interface; each host has its own last byte.
pub fn host_ip(last: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 20 + (process >> 8 & 127) as u8, process as u8, last))
}

/// Returns an address with a free port on a host. No two calls return the same port.
pub fn free_address(last: u8) -> SocketAddr {
    static USED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((host_ip(last), 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        if USED.lock().unwrap().insert(address.port()) {
            return address;
        }
    }
}

pub struct Gateway {
    pub name: String,
    pub process: Child,
    pub client: SocketAddr,
    pub ready: SocketAddr,
}

pub struct System {
    pub store: Store,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.process.kill().ok();
            gateway.process.wait().ok();
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

/// Sends a signal to a process that this case started.
pub fn signal(process: &Child, name: &str) {
    let sent = Command::new("kill").args([&format!("-{name}"), &process.id().to_string()]).status();
    assert!(sent.is_ok_and(|status| status.success()), "signal not sent");
}

impl System {
    /// Starts the store and `gateways` gateways, one in each zone in turn.
    pub fn start(gateways: u8, program: &Path) -> System {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let store_address = free_address(1);
        let store = Store::start(store_address);
        let addresses: Vec<[SocketAddr; 4]> =
            (0..gateways).map(|number| [0; 4].map(|_| free_address(10 + number))).collect();
        let seeds: Vec<String> =
            addresses.iter().take(3).map(|all| format!("\"{}\"", all[2])).collect();
        let mut system = System { store, gateways: Vec::new(), folder };
        for (number, [client, ready, peer, metrics]) in addresses.into_iter().enumerate() {
            let name = format!("edge-{number}");
            let text = format!(
                "[host]\nname = \"{name}\"\nzone = \"zone-{}\"\nseeds = [{}]\n\
                 store_address = \"{store_address}\"\nmetrics_address = \"{metrics}\"\n\
                 [listen]\nclient_address = \"{client}\"\nready_address = \"{ready}\"\n\
                 peer_address = \"{peer}\"\n\
                 [serving]\ngrace_s = 8\nretry_ratio = 0.2\nretry_slack = 92\n\
                 config_bound_ms = 2000\ndrain_bound_ms = 2000\nmemory_mb = 260\n\
                 max_descriptors = 4100\n",
                number % 3,
                seeds.join(", ")
            );
            let file = system.folder.join(format!("{name}.toml"));
            fs::write(&file, text).expect("the settings can be written");
            let log = fs::File::create(system.folder.join(format!("{name}.log"))).expect("a log");
            let mut command = Command::new(program);
            command
                .arg("gateway")
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(log.try_clone().expect("a second handle"))
                .stderr(log);
            let process = child::start(&mut command).expect("the gateway starts");
            system.gateways.push(Gateway { name, process, client, ready });
        }
        system
    }

    /// Writes the configuration and the entries of the workers.
    pub fn configure(&self, workers: &[(String, SocketAddr)]) {
        let route = |name: &str, kind: &str, timeout: u32, attempts: u32| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"ficu.example\",\"path_prefix\":\"/{name}/\",\
                 \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout},\"goal_ms\":400,\"priority\":1,\
                 \"service\":\"drafter\",\"max_attempts\":{attempts},\"anonymous\":false,\
                 \"sticky\":false,\"resumable\":{},\"gap_target_ms\":120}}",
                kind == "streaming"
            )
        };
        let routes = [
            route("draft", "streaming", 8_000, 2),
            route("tide", "idempotent", 1_500, 2),
            route("tile", "non_idempotent", 8_000, 1),
        ];
        self.store.put(
            "op/config",
            &format!(
                "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"drafter\",\
                 \"health_path\":\"/healthz\",\"max_conns\":188}}],\"limits\":{{\
                 \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
                 \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
                 \"tenants\":[{{\"name\":\"pilots\",\"api_keys\":[\"n2ctnfzs989\"],\
                 \"priority\":1}}]}}",
                routes.join(",")
            ),
        );
        for (number, (id, address)) in workers.iter().enumerate() {
            self.put_worker(id, *address, number);
        }
    }

    /// Writes the entry of a worker, as a worker does.
    pub fn put_worker(&self, id: &str, address: SocketAddr, number: usize) {
        self.store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"drafter\",\"address\":\"{address}\",\"zone\":\"zone-{}\",\
                 \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
                number % 3
            ),
        );
    }

    /// Waits until all gateways are ready. Returns whether they are.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.gateways.iter().all(|gateway| is_ready(gateway.ready)) {
                // The gateways have read their settings, and their logs stay open.
                fs::remove_dir_all(&self.folder).ok();
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Asks a gateway whether it is ready, as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        write!(stream, "GET /v1/readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")?;
        let head = http::read_head(&mut BufReader::new(stream))?;
        Ok(head.map_or(0, |head| head.status()))
    };
    ask().is_ok_and(|status| status == 200)
}
