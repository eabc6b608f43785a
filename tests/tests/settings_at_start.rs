//! A process that starts while its settings file is being replaced reads it again, and settings that
//! stay wrong are an error.
//!
//! Guards against a process that exits as it starts because its settings file is missing, empty or
//! half written for a moment, and against one that accepts settings with which it fails later.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::path::Path;
use std::time::{Duration, Instant};

use loftcove_tests::process::{Folder, Process, program, run};
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 2, sidecars: true, proxied: false };

/// Line on standard error at the first failure.
const READING_AGAIN: &str = "reading again for up to 10 s";

/// Time for which a process reads wrong settings again.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A subcommand, settings for it, and a text in its output once it has started.
struct Role {
    command: &'static str,
    text: String,
    started: &'static str,
}

/// Stops the first gateway and the first sidecar, and returns all roles with settings.
async fn roles(system: &mut System) -> [Role; 3] {
    system.gateways[0].kill().await;
    system.sidecars[0].kill().await;
    let started = "started host=";
    [
        Role { command: "gateway", text: system.gateway_settings(0), started },
        Role { command: "sidecar", text: system.sidecar_settings(0), started },
        Role { command: "run", text: entry_settings(), started: "listening http" },
    ]
}

/// Returns the shipped settings of an entry host, with ports that the operating system chooses.
fn entry_settings() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/mensageira-vale/entry.toml");
    let text = std::fs::read_to_string(path).unwrap();
    text.replace(":7400", ":0").replace(":7401", ":0").replace(":8080", ":0")
}

/// Returns the first half of a text, which ends within a line.
fn half(text: &str) -> &str {
    let end = text[..text.len() / 2].trim_end().len();
    &text[..end - 1]
}

fn start(role: &Role, file: &str) -> Process {
    let mut process = Process::start("loftcoved", &[role.command.to_owned(), file.to_owned()]);
    process.log_output();
    process
}

fn count(process: &Process, text: &str) -> usize {
    process.log().iter().filter(|line| line.contains(text)).count()
}

/// Waits until a process writes a line, and checks that it does not exit meanwhile.
async fn wait_line(process: &Process, text: &str) {
    until(text, || async {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id()));
        let ended = stat.is_ok_and(|stat| stat.contains(") Z "));
        assert!(!ended || count(process, text) > 0, "exited: {:?}", process.log());
        count(process, text) > 0
    })
    .await;
}

/// Starts each role with settings of which `before` is present, completes them with `complete`, and
/// checks that the process starts and stops as planned.
async fn start_early(before: impl Fn(&str) -> Option<&str>, complete: impl Fn(&Folder, &str)) {
    let mut system = System::start(PLAN).await;
    for role in roles(&mut system).await {
        let file = system.folder.path("settings.toml");
        match before(&role.text) {
            Some(text) => std::fs::write(&file, text).unwrap(),
            None => drop(std::fs::remove_file(&file)),
        }
        let mut process = start(&role, &file);
        wait_line(&process, READING_AGAIN).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        complete(&system.folder, &role.text);
        wait_line(&process, role.started).await;
        assert_eq!(count(&process, READING_AGAIN), 1, "{:?}", process.log());
        process.signal(libc::SIGTERM);
        assert!(process.wait().await, "{}: {:?}", role.command, process.log());
    }
}

fn write_in_place(folder: &Folder, text: &str) {
    folder.write("settings.toml", text);
}

fn rename(folder: &Folder, text: &str) {
    let next = folder.write("settings.next", text);
    std::fs::rename(next, folder.path("settings.toml")).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_are_missing_at_first_are_read_later() {
    start_early(|_| None, rename).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_are_empty_at_first_are_read_later() {
    start_early(|_| Some(""), write_in_place).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_are_half_written_are_read_once_they_are_complete() {
    start_early(|text| Some(half(text)), write_in_place).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_are_half_written_are_read_once_they_are_replaced() {
    start_early(|text| Some(half(text)), rename).await;
}

/// Starts `loftcoved` with each command and settings, all at the same time, and checks that each
/// process exits with status 1 and names the key.
async fn start_wrong(system: &System, wrong: &[(&str, String, &str)]) {
    let mut processes = Vec::new();
    for (number, (command, text, key)) in wrong.iter().enumerate() {
        let file = system.folder.write(&format!("wrong-{number}.toml"), text);
        let child = tokio::process::Command::new(program("loftcoved"))
            .args([*command, file.as_str()])
            .stderr(std::process::Stdio::piped())
            .kill_on_drop(true)
            .spawn();
        processes.push((command, key, Instant::now(), child.unwrap()));
    }
    for (command, key, started, child) in processes {
        let output = child.wait_with_output();
        let output = tokio::time::timeout(TIMEOUT * 3, output).await.expect("it exits").unwrap();
        let lines = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{command}: {lines}");
        assert!(started.elapsed() >= TIMEOUT, "{command}: {lines}");
        let lines: Vec<&str> = lines.lines().collect();
        assert_eq!(lines.len(), 2, "{command}: {lines:?}");
        assert!(lines[0].ends_with(READING_AGAIN), "{command}: {lines:?}");
        let name = format!(": key `{key}`: ");
        assert!(lines.iter().all(|line| line.contains(&name)), "{command}: {lines:?}");
    }
}

/// Guards against a process that waits for ever, or that hides what is wrong.
#[tokio::test(flavor = "multi_thread")]
async fn settings_that_stay_wrong_end_the_process_with_the_error() {
    let mut system = System::start(PLAN).await;
    let roles = roles(&mut system).await;
    let wrong =
        roles.map(|role| (role.command, role.text.replacen("zone = ", "zoen = ", 1), "zoen"));
    start_wrong(&system, &wrong).await;
}

/// Guards against values that are accepted at the start and end the process later, as a grace of
/// -1 s did at the stop.
#[tokio::test(flavor = "multi_thread")]
async fn values_out_of_range_end_the_process_as_it_starts() {
    let mut system = System::start(PLAN).await;
    let [gateway, sidecar, entry] = roles(&mut system).await;
    let mut wrong = Vec::new();
    for (key, value) in [("grace_s", "-1"), ("grace_s", "1e300"), ("retry_ratio", "nan")] {
        let text: Vec<&str> =
            gateway.text.lines().filter(|line| !line.starts_with(&format!("{key} = "))).collect();
        wrong.push((gateway.command, format!("{}\n{key} = {value}\n", text.join("\n")), key));
    }
    wrong.push((gateway.command, format!("{}memory_mb = 0\n", gateway.text), "memory_mb"));
    let no_worker = |text: &str, section: &str| {
        text.replacen(&format!("{section}\n"), &format!("{section}\nworkers = 0\n"), 1)
    };
    wrong.push((sidecar.command, no_worker(&sidecar.text, "[host]"), "workers"));
    wrong.push((entry.command, no_worker(&entry.text, "[process]"), "workers"));
    start_wrong(&system, &wrong).await;
}

/// Guards against a reload that takes values that a start rejects, or that ends the process.
#[tokio::test(flavor = "multi_thread")]
async fn a_reload_of_values_out_of_range_keeps_the_settings() {
    let mut system = System::start(PLAN).await;
    let text = system.gateway_settings(0).replacen("grace_s = 8", "grace_s = -1", 1);
    system.folder.write("gateway-0.toml", &text);
    let text = system.sidecar_settings(0).replacen("[host]\n", "[host]\nworkers = 0\n", 1);
    system.folder.write("sidecar-0.toml", &text);
    for (process, key) in [(&system.gateways[0], "grace_s"), (&system.sidecars[0], "workers")] {
        process.signal(libc::SIGHUP);
        wait_line(process, "reload failed").await;
        let line = format!("key `{key}`: must be from ");
        assert!(process.log().iter().any(|text| text.contains(&line)), "{:?}", process.log());
    }
    for process in [&mut system.gateways[0], &mut system.sidecars[0]] {
        process.signal(libc::SIGTERM);
        assert!(process.wait().await, "{:?}", process.log());
    }
}

/// Guards against a stop that waits for settings, or that is reported as a failure, and against a
/// reload that ends a process that has no settings yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_waits_for_settings_can_be_stopped() {
    let mut system = System::start(PLAN).await;
    for role in roles(&mut system).await {
        for signal in [libc::SIGTERM, libc::SIGINT] {
            let mut process = start(&role, &system.folder.path("none.toml"));
            wait_line(&process, READING_AGAIN).await;
            process.signal(libc::SIGHUP);
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert!(!process.has_exited(), "{}: {:?}", role.command, process.log());
            let asked = Instant::now();
            process.signal(signal);
            assert!(process.wait().await, "{}: {:?}", role.command, process.log());
            assert!(asked.elapsed() < TIMEOUT / 2);
        }
    }
}

/// Guards against a check of a settings file that waits as a process does.
#[tokio::test(flavor = "multi_thread")]
async fn a_check_of_wrong_settings_fails_at_once() {
    let folder = Folder::new();
    let file = folder.write("settings.toml", half(&entry_settings()));
    let started = Instant::now();
    let output = run("loftcoved", &["check", &file]).await;
    assert!(!output.success && !output.stderr.contains(READING_AGAIN), "{}", output.stderr);
    assert!(started.elapsed() < TIMEOUT / 2);
}

/// Guards against a process that does not start, or that keeps old seeds at a reload, because one
/// of its seeds is not an IP address and a port.
#[tokio::test(flavor = "multi_thread")]
async fn a_seed_that_is_no_address_is_left_out() {
    const LEFT_OUT: &str = "seeds left out count=1 seeds=[\"old-host:8002\"]";
    let mut system = System::start(PLAN).await;
    for role in roles(&mut system).await {
        let text = match role.command {
            "run" => role.text.replacen("[process]\n", "[process]\nseeds = []\n", 1),
            _ => role.text.clone(),
        };
        let text = text.replacen("seeds = [", "seeds = [\"old-host:8002\", ", 1);
        let file = system.folder.write("seeds.toml", &text);
        let mut process = start(&role, &file);
        wait_line(&process, role.started).await;
        assert_eq!(count(&process, LEFT_OUT), 1, "{}: {:?}", role.command, process.log());
        if role.command != "run" {
            process.signal(libc::SIGHUP);
            // One seed is left: the address of the only gateway.
            wait_line(&process, "reloaded file=").await;
            assert_eq!(count(&process, " seeds=1"), 1, "{:?}", process.log());
            assert_eq!(count(&process, LEFT_OUT), 2, "{:?}", process.log());
        }
        process.signal(libc::SIGTERM);
        assert!(process.wait().await, "{}: {:?}", role.command, process.log());
    }
}
