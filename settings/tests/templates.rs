//! The templates that the platform fills give valid settings, whatever values it has.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::path::Path;

use loftcove_settings::{error, gateway};
use serde_json::{Value, json};

/// Values as the platform has them.
fn values() -> Value {
    json!({
        "node_name": "edge-1", "zone": "sala", "ip": "10.1.0.40", "service": "modelo",
        "app": "10.1.0.43:8228",
        "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220", "control": "10.1.0.40:8229"},
        "internal_ports": [7340, 7355],
        "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
        "platform": {"address": "10.200.1.7:8223"},
        "limits": {"memory_mb": 160, "max_fds": 4100},
        "bounds": {
            "grace_s": 6, "retry_budget_ratio": 0.5, "budget_slack": 0, "config_ms": 3000,
            "drain_ms": 2500,
        },
    })
}

/// Fills a template as the platform does: values, values as JSON, and blocks that stand for each
/// entry of a list, or once if there is a value.
fn fill(template: &str, values: &Value, entry: Option<(&Value, bool)>) -> String {
    let Some((before, rest)) = template.split_once("{{") else { return template.to_owned() };
    let (gap, rest) = rest.split_once("}}").unwrap();
    let mut text = before.to_owned();
    let value = |name: &str| match name {
        "." => entry.map(|(entry, _)| entry),
        name => values.pointer(&format!("/{}", name.replace('.', "/"))),
    };
    if let Some(name) = gap.strip_prefix('#') {
        let (block, rest) = rest.split_once(&format!("{{{{/{name}}}}}")).unwrap();
        match value(name) {
            None | Some(Value::Null | Value::Bool(false)) => {}
            Some(Value::Array(list)) => {
                for (index, item) in list.iter().enumerate() {
                    text += &fill(block, values, Some((item, index + 1 == list.len())));
                }
            }
            Some(value) => text += &fill(block, values, Some((value, true))),
        }
        return text + &fill(rest, values, entry);
    }
    text += &match (gap, gap.strip_suffix("|json")) {
        (",", _) => if entry.unwrap().1 { "" } else { "," }.to_owned(),
        (_, Some(name)) => value(name).unwrap_or(&Value::Null).to_string(),
        (name, None) => match value(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        },
    };
    text + &fill(rest, values, entry)
}

/// Returns the filled template of a role.
fn filled(role: &str, values: &Value) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/templates");
    fill(&std::fs::read_to_string(folder.join(format!("{role}.toml"))).unwrap(), values, None)
}

fn read<T>(
    name: &str,
    text: &str,
    read: impl Fn(&Path) -> Result<T, error::Error>,
) -> Result<T, String> {
    let file = format!("loftcove-template-{name}-{}.toml", std::process::id());
    let file = std::env::temp_dir().join(file);
    std::fs::write(&file, text).unwrap();
    let settings = read(&file);
    std::fs::remove_file(&file).unwrap();
    settings.map_err(|error| error.to_string())
}

/// Guards against a value that does not reach its setting.
#[test]
fn the_platforms_values_reach_the_settings() {
    let gateway = read("all", &filled("gateway", &values()), gateway::Gateway::read).unwrap();
    let serving = &gateway.serving;
    assert_eq!((serving.grace_s, serving.retry_ratio, serving.retry_slack), (6.0, 0.5, 0.0));
    assert_eq!((serving.config_bound_ms, serving.drain_bound_ms), (3_000.0, 2_500.0));
    assert_eq!((serving.memory_mb, serving.max_descriptors), (160, 4_100));
    assert_eq!((&*gateway.host.name, &*gateway.host.zone), ("edge-1", "sala"));
    let seeds = ["10.1.0.40:8229", "10.2.0.29:8229"].map(|seed| seed.parse().unwrap());
    assert_eq!(gateway.host.seeds, seeds);
    assert_eq!(gateway.host.store_address.to_string(), "10.200.1.7:8223");
    assert_eq!(gateway.host.metrics_address.to_string(), "10.1.0.40:9464");
    assert_eq!(gateway.listen.client_address.to_string(), "10.1.0.40:8227");
    assert_eq!(gateway.listen.ready_address.to_string(), "10.1.0.40:8220");
    assert_eq!(gateway.listen.peer_address.to_string(), "10.1.0.40:8229");
    let sidecar = read("all", &filled("sidecar", &values()), gateway::Sidecar::read).unwrap();
    assert_eq!(sidecar.host.seeds, seeds);
    assert_eq!(sidecar.peering.peer_address.to_string(), "10.1.0.40:7340");
    assert_eq!(sidecar.engine.address.to_string(), "10.1.0.43:8228");
    assert_eq!(&*sidecar.engine.service, "modelo");
}

/// Guards against a process that does not start because the platform has no value for a setting
/// that has a default.
#[test]
fn a_value_that_the_platform_does_not_have_gets_the_default() {
    let all = values();
    for (table, keys) in [("bounds", &all["bounds"]), ("limits", &all["limits"])] {
        for key in keys.as_object().unwrap().keys() {
            let mut values = values();
            values[table].as_object_mut().unwrap().remove(key);
            let read = read("one", &filled("gateway", &values), gateway::Gateway::read);
            assert!(read.is_ok(), "{key}: {read:?}");
        }
    }
    let mut values = values();
    for table in ["bounds", "limits", "seeds"] {
        values.as_object_mut().unwrap().remove(table);
    }
    let gateway = read("none", &filled("gateway", &values), gateway::Gateway::read).unwrap();
    assert_eq!((gateway.serving.grace_s, gateway.serving.memory_mb), (8.0, 256));
    assert!(gateway.host.seeds.is_empty());
    let sidecar = read("none", &filled("sidecar", &values), gateway::Sidecar::read).unwrap();
    assert!(sidecar.host.seeds.is_empty());
}

/// Guards against settings that are taken for complete while the file is being written, so that
/// the defaults apply in place of the rest.
#[test]
fn settings_that_are_cut_off_anywhere_are_an_error() {
    let values = values();
    for role in ["gateway", "sidecar"] {
        let text = filled(role, &values);
        let read = |text: &str| match role {
            "gateway" => read("cut", text, gateway::Gateway::read).map(drop),
            _ => read("cut", text, gateway::Sidecar::read).map(drop),
        };
        assert_eq!(read(&text), Ok(()));
        for end in 0..text.trim_end().len() {
            assert!(read(&text[..end]).is_err(), "{role}: {}", &text[..end]);
        }
    }
}
