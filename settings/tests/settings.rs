//! Faults of a settings file name file, line and key, and the reference is whole.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::path::Path;

use loftcove_settings::file;

fn shipped(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy").join(name)
}

/// Reads the shipped file with one text replaced by another; returns the fault.
fn fault(from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(shipped("cartamar/entry.toml")).unwrap();
    assert!(text.contains(from), "{from}");
    let path = std::env::temp_dir().join(format!("loftcove-settings-{}.toml", std::process::id()));
    std::fs::write(&path, text.replacen(from, to, 1)).unwrap();
    let fault = file::Daemon::read(&path).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    fault.replace(&*path.to_string_lossy(), "FILE")
}

#[test]
fn one_clear_fault_for_each_mistake() {
    let faults = [
        fault("zone = ", "zoen = "),
        fault("role = \"entry\"\n", ""),
        fault("role = \"entry\"", "role = \"router\""),
        fault("127.0.0.1:7400", "localhost:7400"),
        fault("\n[entry]", "\n[agent]"),
        fault("replace-the-key-of-the-deployment", "short"),
        fault("[platform]\n", "exchange_ms = 0\n[platform]\n"),
    ];
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn shipped_settings_are_right() {
    for deployment in ["mensageira-vale", "cartamar"] {
        for role in ["entry", "agent"] {
            file::Daemon::read(&shipped(&format!("{deployment}/{role}.toml"))).unwrap();
        }
        file::Tool::read(&shipped(&format!("{deployment}/tool.toml"))).unwrap();
    }
}

#[test]
fn the_operators_page_holds_the_reference() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    for section in file::DAEMON_SECTIONS.iter().chain(&loftcove_settings::gateway::SECTIONS) {
        let section = section.to_string();
        assert!(page.contains(&section), "docs/OPERATIONS.md lacks:\n{section}");
    }
}
