//! Values that are right but written in another form are read.
//!
//! Guards against a process that does not start because a whole number has the form of a fraction,
//! or a fraction that of a whole number.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_settings::gateway;

const HOST: &str = "[host]\nname = \"g\"\nzone = \"z\"\nstore_address = \"127.0.0.1:1\"\n\
                    metrics_address = \"127.0.0.1:2\"\n[listen]\nclient_address = \"127.0.0.1:3\"\n\
                    ready_address = \"127.0.0.1:4\"\npeer_address = \"127.0.0.1:5\"\n[serving]\n";

/// Reads a gateway's settings with these lines in the section `[serving]`.
fn read(name: &str, serving: &str) -> Result<gateway::Serving, String> {
    let file = format!("loftcove-{name}-{}.toml", std::process::id());
    let file = std::env::temp_dir().join(file);
    std::fs::write(&file, format!("{HOST}{serving}\n")).unwrap();
    let settings = gateway::Gateway::read(&file);
    std::fs::remove_file(&file).unwrap();
    settings.map(|settings| settings.serving).map_err(|error| error.to_string())
}

#[test]
fn a_whole_number_may_be_written_as_a_fraction() {
    let serving = "memory_mb = 260.0\nmax_descriptors = 4.2e3\nclient_stall_ms = 500.0";
    let serving = read("whole", serving).unwrap();
    assert_eq!(serving.memory_mb, 260);
    assert_eq!(serving.max_descriptors, 4_200);
    assert_eq!(serving.client_stall_ms, 500);
}

#[test]
fn a_fraction_may_be_written_as_a_whole_number() {
    let serving = read("fraction", "grace_s = 8\nretry_ratio = 0\nretry_slack = 90").unwrap();
    assert_eq!((serving.grace_s, serving.retry_ratio, serving.retry_slack), (8.0, 0.0, 90.0));
}

#[test]
fn a_number_that_is_not_whole_is_an_error() {
    for wrong in ["260.5", "-1", "-1.0", "nan", "inf", "1e300", "\"260\"", "true", "[260]"] {
        let error = read("not-whole", &format!("memory_mb = {wrong}")).unwrap_err();
        assert!(error.contains(":11: key `memory_mb`: invalid "), "{wrong}: {error}");
        assert!(error.contains("expected a whole number that is not negative"), "{error}");
    }
}
