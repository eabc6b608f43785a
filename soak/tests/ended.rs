//! The soak test reports processes that end by themselves, while its faults go on.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::os::unix::process::ExitStatusExt as _;
use std::sync::Arc;
use std::time::Duration;

use loftcove_soak::check::Breach;
use loftcove_soak::inject::{Ended, Injector};
use loftcove_soak::plan::{Event, Fault, Process};
use loftcove_soak::{client, inject};
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 3, ranks: 2, groups: 1, plain: 1, sidecars: true, proxied: true };

fn event(at_ms: u64, lasts_ms: u64, fault: Fault) -> Event {
    Event { at: Duration::from_millis(at_ms), lasts: Duration::from_millis(lasts_ms), fault }
}

/// Guards against ends that the soak did not ask for but hides: those of processes without a fault,
/// that of a process in a planned stop, and that of one that a new process has replaced already.
#[tokio::test(flavor = "multi_thread")]
async fn processes_that_end_by_themselves_are_breaches() {
    let mut system = System::start(PLAN).await;
    inject::write_starts(&system).await;
    let shared: Arc<client::Shared> = Arc::default();
    // A process writes its log at intervals.
    for child in [&system.gateways[0], &system.sidecars[0]] {
        until("the process logs", || async { !child.log().is_empty() }).await;
    }
    system.gateways[0].signal(libc::SIGKILL);
    system.sidecars[0].signal(libc::SIGKILL);
    for gateway in [1, 2] {
        let (id, log) = (system.gateways[gateway].id(), system.gateways[gateway].log_handle());
        tokio::spawn(async move {
            let stops =
                || async { log.lines().iter().any(|line| line.contains("stopping in_flight=")) };
            until("the gateway stops", stops).await;
            let mut kill = std::process::Command::new("kill");
            assert!(kill.args(["-KILL", &id.to_string()]).status().unwrap().success());
        });
    }
    let mut injector = Injector::new(&mut system, &shared);
    let events = [
        event(200, 100, Fault::Stop(Process::Gateway(1))),
        event(250, 0, Fault::Overlap(Process::Gateway(2))),
        event(300, 0, Fault::Replace(Process::Sidecar(1))),
        event(1_500, 0, Fault::Reload(Process::Sidecar(0))),
    ];
    injector.run(&events).await;
    let breaches: Vec<Breach> = injector.ended.iter().map(Ended::breach).collect();
    let mut ended: Vec<_> = breaches
        .iter()
        .map(|breach| match breach {
            Breach::Ended(process, status, lines) => (*process, status.signal(), !lines.is_empty()),
            other => panic!("{other}"),
        })
        .collect();
    ended.sort();
    let killed = |process| (process, Some(libc::SIGKILL), true);
    let expected = [
        killed(Process::Gateway(0)),
        killed(Process::Gateway(1)),
        killed(Process::Gateway(2)),
        killed(Process::Sidecar(0)),
    ];
    assert_eq!(ended, expected);
    // An end that was not asked for excuses nothing.
    let mut spans: Vec<_> =
        injector.spans.iter().map(|span| (span.process, span.planned)).collect();
    spans.sort();
    let faults =
        [(Process::Gateway(1), true), (Process::Gateway(2), true), (Process::Sidecar(1), false)];
    assert_eq!(spans, faults);
    // All were started again.
    for gateway in 0..PLAN.gateways {
        until("the gateway is ready", || async { system.is_ready(gateway).await }).await;
    }
    assert!(inject::restart_ended(&mut system, &Default::default()).is_empty());
}

/// Guards against users of ports that keep no process from them, and against processes that end by
/// that, by signals soon after their start, or because the previous process still stops.
#[tokio::test(flavor = "multi_thread")]
async fn processes_wait_for_ports_that_the_soak_uses() {
    let mut system = System::start(PLAN).await;
    inject::write_starts(&system).await;
    let shared: Arc<client::Shared> = Arc::default();
    let mut events = vec![
        event(0, 20, Fault::Early(Process::Gateway(2))),
        event(0, 5, Fault::Overlap(Process::Sidecar(1))),
    ];
    for round in 0..4 {
        let (first, listens) = (round % 2, round < 2);
        let hosts = [
            (Process::Gateway(0), first),
            (Process::Gateway(1), first + 2),
            (Process::Sidecar(0), first),
        ];
        // A process writes its log at intervals of 200 ms, and the next round kills it.
        let occupy = |(process, port)| Fault::Occupy { process, port, listens };
        events.extend(hosts.map(occupy).map(|fault| event(500 * u64::from(round), 300, fault)));
    }
    let mut injector = Injector::new(&mut system, &shared);
    injector.run(&events).await;
    let ended: Vec<Breach> = injector.ended.iter().map(Ended::breach).collect();
    assert!(ended.is_empty() && injector.unhandled.is_empty(), "{ended:?}");
    let mut spans: Vec<_> =
        injector.spans.iter().map(|span| (span.process, span.planned)).collect();
    spans.retain(|(process, _)| [Process::Gateway(2), Process::Sidecar(1)].contains(process));
    spans.sort();
    let planned =
        [(Process::Gateway(2), false), (Process::Gateway(2), true), (Process::Sidecar(1), true)];
    assert_eq!(spans, planned);
    let ([first, second, ..], [.., third, fourth]) =
        (system.gateway_addresses(0), system.gateway_addresses(1));
    let gateways = [first, second, third, fourth].into_iter();
    for address in gateways.chain(system.sidecar_addresses(0)) {
        let text = format!("address={address} waited_ms=0 ");
        let waited = || async {
            let logs = system.logs();
            logs.iter().flat_map(|(_, lines)| lines).filter(|line| line.contains(&text)).count()
                == 2
        };
        until(&format!("processes wait twice for {address}"), waited).await;
    }
}

/// Guards against restarts that the soak draws only for some kinds of processes.
#[test]
fn draws_each_kind_of_restart_for_gateways_and_sidecars() {
    use loftcove_soak::plan;
    let size =
        plan::Size { gateways: 3, ranks: 4, plain: 3, clients: 12, time: Duration::from_secs(8) };
    let kinds = ["replace", "overlap", "early", "occupy"];
    let events: Vec<Event> = (0..20).flat_map(|seed| plan::draw(seed, &size)).collect();
    for kind in kinds {
        let of_kind = events.iter().filter(|event| event.fault.name() == kind);
        let gateways =
            of_kind.clone().filter(|event| format!("{:?}", event.fault).contains("Gateway"));
        assert!(gateways.clone().count() > 0 && gateways.count() < of_kind.count(), "{kind}");
    }
}
