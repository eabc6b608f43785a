//! No signal for a reload ends a process, and a signal for a stop always begins a planned stop.
//!
//! Guards against a process that a signal ends because its handler is not installed yet, or not at
//! all.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::io::Write as _;
use std::time::Duration;

use loftcove_tests::process::Process;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::{cluster, until};

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 2, sidecars: true, proxied: false };

/// Time within which a process handles a signal.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Writes settings to a pipe, once a process reads from it. Calls `before` first.
async fn write_settings(file: &str, text: &str, before: impl FnOnce()) {
    let path = file.to_owned();
    // Opening the pipe succeeds once the process has opened it, too.
    let open = move || std::fs::OpenOptions::new().write(true).open(path).unwrap();
    let opened = tokio::time::timeout(TIMEOUT, tokio::task::spawn_blocking(open)).await;
    let mut pipe = opened.expect("the settings are read").unwrap();
    before();
    pipe.write_all(text.as_bytes()).unwrap();
}

/// Starts a process that reads its settings from a pipe, and sends it a signal before it can read
/// any. Returns the process and the path of the pipe.
async fn start_and_signal(
    system: &System,
    role: &str,
    text: &str,
    signal: i32,
) -> (Process, String) {
    let file = system.folder.pipe(&format!("{role}-{signal}.pipe"));
    let mut process = Process::start("loftcoved", &[role.to_owned(), file.clone()]);
    process.log_output();
    write_settings(&file, text, || process.signal(signal)).await;
    (process, file)
}

/// Stops the first gateway and the first sidecar, and returns their roles and settings.
async fn stop_first(system: &mut System) -> [(&'static str, String); 2] {
    system.gateways[0].kill().await;
    system.sidecars[0].kill().await;
    [("gateway", system.gateway_settings(0)), ("sidecar", system.sidecar_settings(0))]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_that_arrives_before_the_settings_are_read_does_not_end_a_process() {
    let mut system = System::start(PLAN).await;
    for (role, text) in stop_first(&mut system).await {
        let (mut process, file) = start_and_signal(&system, role, &text, libc::SIGHUP).await;
        // The process reads the settings again as soon as it has started.
        until("the process starts", || async {
            process.log().iter().any(|line| line.contains("started host="))
        })
        .await;
        write_settings(&file, &text, || {}).await;
        until("the settings are reloaded", || async {
            process.log().iter().any(|line| line.contains("reloaded file="))
        })
        .await;
        process.signal(libc::SIGTERM);
        assert!(process.wait().await, "{role}: {:?}", process.log());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_that_is_requested_before_the_settings_are_read_is_planned() {
    let mut system = System::start(PLAN).await;
    for (role, text) in stop_first(&mut system).await {
        for signal in [libc::SIGTERM, libc::SIGINT] {
            let (mut process, _) = start_and_signal(&system, role, &text, signal).await;
            assert!(process.wait().await, "{role} {signal}: {:?}", process.log());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_interrupt_stops_a_sidecar_as_planned() {
    let mut system = System::start(PLAN).await;
    system.sidecars[0].signal(libc::SIGINT);
    assert!(system.sidecars[0].wait().await, "{:?}", system.sidecars[0].log());
}

/// The settings of these roles do not change while they run, so that a reload has no effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_reload_does_not_end_an_entry_host_or_an_agent() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default()).await;
    for member in cluster.members.values() {
        member.process.signal(libc::SIGHUP);
        until("the signal is handled", || async {
            member.process.log().iter().any(|line| line.contains("reload ignored"))
        })
        .await;
    }
    let entry = cluster.entries().remove(0);
    assert_eq!(cluster.caller(&entry).chat(cluster::MODEL, true, 3).await.status, 200);
    for member in cluster.members.values_mut() {
        assert!(!member.process.has_exited());
    }
}
