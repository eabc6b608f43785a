//! The project's own programs, started as the deploy file says.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client::Client;

/// A temporary folder. A helper removes it when this value is dropped or when the case's driver ends,
/// in whatever way: both close the helper's input.
pub struct Folder(pub PathBuf, Child);

/// What the helper does; its first argument is the folder.
const REMOVE_AT_END: &str = "trap '' HUP INT TERM; cat > /dev/null; rm -rf \"$0\"";

impl Folder {
    pub fn create(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        let mut helper = Command::new("sh");
        helper.arg("-c").arg(REMOVE_AT_END).arg(&path).stdin(Stdio::piped());
        let helper = helper.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        fs::create_dir_all(&path)?;
        Ok(Folder(path, helper))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(self.1.stdin.take());
        self.1.wait().map(drop).unwrap_or_default();
    }
}

/// Ports of a gateway.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
}

impl Ports {
    /// Returns free ports of the loopback address of a gateway's own. Other programs connect from
    /// 127.0.0.1, so that none of their connections takes a port meanwhile.
    pub fn free(gateway: u8) -> io::Result<Ports> {
        let process = std::process::id();
        let [_, _, third, second] = process.to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 | second & 63, third, 10 + gateway);
        let listeners: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>()?;
        let address = |number: usize| listeners[number].local_addr();
        Ok(Ports {
            front: address(0)?,
            ready: address(1)?,
            control: address(2)?,
            metrics: address(3)?,
        })
    }
}

/// Returns whether the other end of a connection belongs to a process.
pub fn connects(process: u32, stream: &TcpStream) -> bool {
    let Ok(SocketAddr::V4(peer)) = stream.peer_addr() else { return false };
    let address = u32::from_le_bytes(peer.ip().octets());
    let wanted = format!("{address:08X}:{:04X}", peer.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let row = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut row = row.filter(|row| row.get(1) == Some(&wanted.as_str()));
    let Some(inode) =
        row.next().and_then(|row| row.get(9).map(|inode| format!("socket:[{inode}]")))
    else {
        return false;
    };
    let open = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    let mut open = open.filter_map(|entry| fs::read_link(entry.path()).ok());
    open.any(|target| target.to_str() == Some(&inode))
}

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Has the system kill this process when the case's driver ends, in whatever way.
fn end_with_parent() -> io::Result<()> {
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// A process of the project. It is killed when this value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(folder: &Path, (role, name): (&str, &str), settings: &str) -> io::Result<Process> {
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/loftcoved");
        command.arg(role).arg(&path);
        command.stdin(Stdio::null()).stdout(Stdio::from(log)).stderr(Stdio::null());
        // Safety: the call takes no memory and touches none of this process.
        unsafe { command.pre_exec(end_with_parent) };
        Ok(Process { child: command.spawn()? })
    }

    /// Starts the sidecar of an engine, with the settings of the template for sidecars. It listens
    /// at `own`, and its peers reach it through a link at the address of its engine's machine.
    pub fn start_sidecar(
        folder: &Path,
        (name, zone): (&str, &str),
        (own, engine): (SocketAddr, SocketAddr),
        seeds: &[SocketAddr],
        (store, service): (SocketAddr, &str),
    ) -> io::Result<Process> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "[host]\nname = \"{name}\"\nzone = \"{zone}\"\nseeds = [{}]\nstore_address = \"{store}\"\n\
             metrics_address = \"{}:9464\"\n\n[peering]\npeer_address = \"{own}\"\n\n\
             [engine]\naddress = \"{engine}\"\nservice = \"{service}\"\n",
            seeds.join(", "),
            own.ip()
        );
        Process::start(folder, ("sidecar", name), &text)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let process = self.child.id().to_string();
        Command::new("kill").arg(format!("-{name}")).arg(process).status().map(drop)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A gateway and its ports.
pub struct Gateway {
    pub ports: Ports,
    pub process: Process,
}

impl Gateway {
    /// Starts a gateway with the settings of the template for gateways, filled in with the figures
    /// of the small deployments.
    pub fn start(
        folder: &Path,
        (name, zone): (&str, &str),
        ports: Ports,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> io::Result<Gateway> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "[host]\nname = \"{name}\"\nzone = \"{zone}\"\nseeds = [{}]\nstore_address = \"{store}\"\n\
             metrics_address = \"{}\"\n\n[listen]\nclient_address = \"{}\"\nready_address = \"{}\"\n\
             peer_address = \"{}\"\n\n[serving]\ngrace_s = 8\nretry_ratio = 0.2\nretry_slack = 92\n\
             config_bound_ms = 2000\ndrain_bound_ms = 2000\nmemory_mb = 260\nmax_descriptors = 4100\n",
            seeds.join(", "),
            ports.metrics,
            ports.front,
            ports.ready,
            ports.control
        );
        Ok(Gateway { ports, process: Process::start(folder, ("gateway", name), &text)? })
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut client = Client::connect(self.ports.ready)?;
            client.send("GET", "/v1/readyz", "Host: ready\r\n", "")?;
            Ok(client.read()?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if TcpStream::connect(self.ports.front).is_ok() && self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
