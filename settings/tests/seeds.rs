//! Seeds that are not an IP address and a port are left out.
//!
//! Guards against a process that does not start because of one of its seeds, although seeds may be
//! stale.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::path::{Path, PathBuf};

use loftcove_settings::{error, file, gateway};

const HOST: &str = "name = \"h\"\nzone = \"z\"\nstore_address = \"127.0.0.1:1\"\n\
                    metrics_address = \"127.0.0.1:2\"\n";
const GATEWAY: &str = "[listen]\nclient_address = \"127.0.0.1:3\"\nready_address = \"127.0.0.1:4\"\n\
                       peer_address = \"127.0.0.1:5\"\n[serving]\n";
const SIDECAR: &str = "[peering]\npeer_address = \"127.0.0.1:5\"\n[engine]\n\
                       address = \"127.0.0.1:6\"\nservice = \"s\"\n";
const SEEDS: &str = "seeds = [\"old-host:8229\", \"10.1.0.40:8229\", \"\", 7, \"10.1.0.41\", \
                     \"[fd00::1]:8229\"]\n";

fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/mensageira-vale").join(name)
}

fn read<T>(
    name: &str,
    text: &str,
    read: impl Fn(&Path) -> Result<T, error::Error>,
) -> Result<T, error::Error> {
    let file =
        std::env::temp_dir().join(format!("loftcove-seeds-{name}-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let settings = read(&file);
    std::fs::remove_file(&file).unwrap();
    settings
}

fn assert_seeds(seeds: &[std::net::SocketAddr], left_out: bool) {
    let expected = ["10.1.0.40:8229", "[fd00::1]:8229"].map(|seed| seed.parse().unwrap());
    assert_eq!(seeds, expected);
    assert!(left_out);
}

#[test]
fn the_seeds_that_are_addresses_are_used() {
    let text = format!("[host]\n{SEEDS}{HOST}{GATEWAY}");
    let gateway = read("gateway", &text, gateway::Gateway::read).unwrap();
    assert_seeds(&gateway.host.seeds, !gateway.left_out.is_empty());
    let text = format!("[host]\n{SEEDS}{HOST}{SIDECAR}");
    let sidecar = read("sidecar", &text, gateway::Sidecar::read).unwrap();
    assert_seeds(&sidecar.host.seeds, !sidecar.left_out.is_empty());
    let text = std::fs::read_to_string(shipped("entry.toml")).unwrap();
    let text = text.replacen("[process]\n", &format!("[process]\n{SEEDS}"), 1);
    let daemon = read("daemon", &text, file::Daemon::read).unwrap();
    assert_seeds(&daemon.process.seeds, !daemon.left_out.is_empty());
}

#[test]
fn without_wrong_seeds_none_is_left_out() {
    let text = format!("[host]\nseeds = [\"10.1.0.40:8229\"]\n{HOST}{GATEWAY}");
    assert!(read("right", &text, gateway::Gateway::read).unwrap().left_out.is_empty());
    let text = format!("[host]\n{HOST}{GATEWAY}");
    assert!(read("absent", &text, gateway::Gateway::read).unwrap().left_out.is_empty());
}

/// An operator of the tool can correct the file at once, so that the tool does not guess.
#[test]
fn the_tool_rejects_a_wrong_seed() {
    let text = std::fs::read_to_string(shipped("tool.toml")).unwrap();
    let error = read("tool", &format!("{SEEDS}{text}"), file::Tool::read).unwrap_err().to_string();
    assert!(error.contains(":1: key `seeds`: must be IP addresses with ports"), "{error}");
}
