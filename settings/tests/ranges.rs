//! Each number in a settings file has a range, and a value out of it is an error.
//!
//! Guards against a value that is accepted and ends the process later, such as a grace of -1 s, or
//! that makes it useless, such as 0 file descriptors.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::path::{Path, PathBuf};

use loftcove_settings::{error, file, gateway, reference};

const NUMBERS: [&str; 4] = ["u32", "u64", "usize", "f64"];

/// Settings of a gateway and of a sidecar, without values that have defaults.
const HOST: &str = "[host]\nname = \"h\"\nzone = \"z\"\nstore_address = \"127.0.0.1:1\"\n\
                    metrics_address = \"127.0.0.1:2\"\n";
const GATEWAY: &str = "[listen]\nclient_address = \"127.0.0.1:3\"\nready_address = \"127.0.0.1:4\"\n\
                       peer_address = \"127.0.0.1:5\"\n[serving]\n";
const SIDECAR: &str = "[peering]\npeer_address = \"127.0.0.1:5\"\n[engine]\n\
                       address = \"127.0.0.1:6\"\nservice = \"s\"\n";

/// A kind of settings file: a valid text, and how it is read.
struct Kind {
    text: String,
    read: fn(&Path) -> Result<(), error::Error>,
    sections: Vec<reference::Section>,
}

fn shipped(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/mensageira-vale");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

fn kinds() -> [Kind; 4] {
    let daemon = |name: &str, section| Kind {
        text: format!("{}\n[homes]\n", shipped(name)),
        read: |path| file::Daemon::read(path).map(drop),
        sections: vec![
            file::Process::REFERENCE,
            file::Platform::REFERENCE,
            file::Homes::REFERENCE,
            section,
        ],
    };
    [
        daemon("entry.toml", file::Entry::REFERENCE),
        daemon("agent.toml", file::Agent::REFERENCE),
        Kind {
            text: format!("{HOST}{GATEWAY}"),
            read: |path| gateway::Gateway::read(path).map(drop),
            sections: vec![
                gateway::Host::REFERENCE,
                gateway::Listen::REFERENCE,
                gateway::Serving::REFERENCE,
            ],
        },
        Kind {
            text: format!("{HOST}{SIDECAR}"),
            read: |path| gateway::Sidecar::read(path).map(drop),
            sections: vec![
                gateway::Host::REFERENCE,
                gateway::Peering::REFERENCE,
                gateway::Engine::REFERENCE,
            ],
        },
    ]
}

/// A file that is removed when dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str) -> File {
        File(std::env::temp_dir().join(format!("loftcove-{name}-{}.toml", std::process::id())))
    }
}

impl Drop for File {
    fn drop(&mut self) {
        std::fs::remove_file(&self.0).ok();
    }
}

/// Sets a key of a section. Returns the text and the key's line.
fn set(text: &str, section: &str, key: &str, value: &str) -> (String, usize) {
    let mut lines: Vec<String> = Vec::new();
    let (mut current, mut number) = (String::new(), 0);
    for line in text.lines() {
        if line.starts_with('[') {
            current = line.to_owned();
        }
        let own = current == format!("[{section}]");
        if own && line.starts_with(&format!("{key} = ")) {
            continue;
        }
        lines.push(line.to_owned());
        if own && line.starts_with('[') {
            lines.push(format!("{key} = {value}"));
            number = lines.len();
        }
    }
    assert!(number > 0, "{section}");
    (lines.join("\n"), number)
}

#[test]
fn each_number_has_a_range() {
    for section in file::DAEMON_SECTIONS.iter().chain(&gateway::SECTIONS) {
        for key in section.keys.iter().filter(|key| NUMBERS.contains(&key.kind)) {
            assert!(key.range.is_some(), "{} {}", section.path, key.name);
        }
    }
}

#[test]
fn values_out_of_range_are_errors_that_name_file_line_key_and_range() {
    let file = File::new("ranges");
    let mut checked = 0;
    for kind in kinds() {
        for section in &kind.sections {
            for key in section.keys {
                let Some(range) = key.range else { continue };
                let (min, max) = (range.min.replace('_', ""), range.max.replace('_', ""));
                let error = |value: &str| {
                    let (text, line) = set(&kind.text, section.path, key.name, value);
                    std::fs::write(&file.0, text).unwrap();
                    let error = (kind.read)(&file.0).err().map(|error| error.to_string());
                    (error.unwrap_or_default(), line)
                };
                for value in [&min, &max] {
                    let (error, _) = error(value);
                    assert!(!error.contains("must be from"), "{value}: {error}");
                }
                let max: f64 = max.parse().unwrap();
                let mut wrong = vec![format!("{}", max + 1.0)];
                match (key.kind, min.parse::<f64>().unwrap()) {
                    ("f64", _) => {
                        wrong.extend(["-1", "-1e300", "1e300", "inf", "nan"].map(String::from))
                    }
                    (_, 0.0) => {}
                    (_, min) => wrong.push(format!("{}", min - 1.0)),
                }
                for value in wrong {
                    let (error, line) = error(&value);
                    let file = file.0.display();
                    let expected = format!("{file}:{line}: key `{}`: must be {range}", key.name);
                    assert_eq!(error, expected, "{value}");
                    checked += 1;
                }
                if key.kind != "f64" {
                    let (error, line) = error("-1");
                    let place = format!("{}:{line}: key `{}`: ", file.0.display(), key.name);
                    assert!(error.starts_with(&place), "{error}");
                }
            }
        }
    }
    assert!(checked > 60, "{checked}");
}
