//! A lock-step group switches to better maps and never runs a pass on two maps.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 2, ranks: 4, groups: 1, plain: 1, sidecars: true, proxied: false };

/// Keeps streams running until dropped.
struct Load {
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    async fn start(system: &System) -> Load {
        let mut tasks = Vec::new();
        for _ in 0..4 {
            let mut client = system.client(0).await;
            tasks.push(tokio::spawn(async move {
                loop {
                    let request = Request::new("/draft/").with("x-standin-events", "100");
                    let Some(response) = client.send(&request).await else { return };
                    loftcove_tests::client::read(response).await;
                }
            }));
        }
        Load { tasks }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

async fn switches(system: &System) -> u64 {
    system.group_state().await["switches"].as_u64().unwrap_or(0)
}

/// Waits until the group has switched maps more than `since` times and is not held.
async fn wait_switched(system: &System, since: u64) {
    until("the group has another map", || async {
        switches(system).await > since && system.group_state().await["held"] == 0
    })
    .await;
}

/// Checks that no pass ran on two maps.
async fn assert_no_violations(system: &System) {
    let state = system.group_state().await;
    assert_eq!(state["violations"], 0, "{state}");
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_the_map_with_the_demand() {
    let system = System::start(PLAN).await;
    let _load = Load::start(&system).await;
    wait_switched(&system, 0).await;
    let before = switches(&system).await;
    system.group_control("/popular?expert=9").await;
    wait_switched(&system, before).await;
    assert_no_violations(&system).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keeps_one_map_despite_lost_and_late_orders() {
    let system = System::start(PLAN).await;
    system.group_control("/orders?lost=3&late=5").await;
    let _load = Load::start(&system).await;
    let mut before = 0;
    for expert in [1, 2, 3, 0] {
        system.group_control(&format!("/popular?expert={expert}")).await;
        wait_switched(&system, before).await;
        before = switches(&system).await;
        assert_no_violations(&system).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn elects_another_driver_when_the_driver_is_paused_or_killed() {
    let mut system = System::start(PLAN).await;
    let _load = Load::start(&system).await;
    wait_switched(&system, 0).await;
    for expert in [1, 2] {
        let driver = driver(&system).await;
        // A paused process keeps its connections, and its lease until the lease expires.
        system.sidecars[driver].signal(libc::SIGSTOP);
        let before = switches(&system).await;
        system.group_control(&format!("/popular?expert={expert}")).await;
        reform(&system).await;
        wait_switched(&system, before).await;
        system.sidecars[driver].signal(libc::SIGCONT);
        assert_no_violations(&system).await;
    }
    let driver = driver(&system).await;
    system.sidecars[driver].kill().await;
    system.start_sidecar(driver as u8);
    let before = switches(&system).await;
    reform(&system).await;
    wait_switched(&system, before).await;
    assert_no_violations(&system).await;
}

/// Breaks the group and lets it form again, with its initial map.
async fn reform(system: &System) {
    system.group_control("/break").await;
    system.group_control("/mend").await;
}

/// Returns the sidecar that was elected last, which has the highest term.
async fn driver(system: &System) -> usize {
    let term = |index: usize| {
        let log = system.sidecars[index].log();
        let own = log.iter().filter(|line| line.contains("driver elected"));
        own.filter_map(|line| line.rsplit("term=").next()?.trim().parse::<u64>().ok()).max()
    };
    (0..system.sidecars.len()).max_by_key(|index| term(*index)).expect("there are sidecars")
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_the_map_again_after_the_group_has_reformed() {
    let system = System::start(PLAN).await;
    let _load = Load::start(&system).await;
    wait_switched(&system, 0).await;
    let before = switches(&system).await;
    reform(&system).await;
    wait_switched(&system, before).await;
    assert_no_violations(&system).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_log_lines_about_an_unreachable_engine() {
    let mut system = System::start(Plan { proxied: true, ..PLAN }).await;
    let _load = Load::start(&system).await;
    wait_switched(&system, 0).await;
    let driver = driver(&system).await;
    let other = (driver + 1) % usize::from(PLAN.ranks);
    system.link(&format!("rank-{other}"), "cut").await;
    system.group_control("/popular?expert=9").await;
    let log = || system.sidecars[driver].log();
    until("the change is aborted", || async {
        log().iter().any(|line| line.contains("outcome=Abandoned"))
    })
    .await;
    let failed = log().iter().filter(|line| line.contains("report failed")).count();
    assert!((1..=30).contains(&failed), "{failed} lines in four seconds");
    assert_no_violations(&system).await;
}

const TWO_GROUPS: Plan =
    Plan { gateways: 2, ranks: 6, groups: 2, plain: 1, sidecars: true, proxied: false };

/// Waits until a group has switched to another map and is not held.
async fn wait_group_switched(system: &System, group: u8) {
    until("the group has another map", || async {
        let state = system.group_state_of(group).await;
        state["switches"].as_u64().unwrap_or(0) > 0 && state["held"] == 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_the_maps_of_two_groups_of_one_service() {
    let system = System::start(TWO_GROUPS).await;
    let _load = Load::start(&system).await;
    for group in 0..TWO_GROUPS.groups {
        wait_group_switched(&system, group).await;
        let state = system.group_state_of(group).await;
        assert_eq!(state["violations"], 0, "{state}");
    }
    // No driver took the term of the other group's driver for that of its own successor.
    let superseded = |sidecar: &loftcove_tests::process::Process| {
        sidecar.log().iter().filter(|line| line.contains("superseded")).count()
    };
    let count: usize = system.sidecars.iter().map(superseded).sum();
    assert_eq!(count, 0, "rounds stopped");
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_from_one_group_while_the_other_is_broken() {
    let system = System::start(TWO_GROUPS).await;
    system.earn_retries(0).await;
    let load = Load::start(&system).await;
    // A driver reports the members of its group to the gateways before it changes the map.
    wait_group_switched(&system, 0).await;
    wait_group_switched(&system, 1).await;
    drop(load);
    system.group_control("/break?group=0").await;
    for _ in 0..40 {
        let answer = system.request(0, &Request::new("/draft/")).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reelects_a_restarted_driver_at_once() {
    let mut system = System::start(PLAN).await;
    let load = Load::start(&system).await;
    wait_switched(&system, 0).await;
    let driver = driver(&system).await;
    system.sidecars[driver].kill().await;
    system.start_sidecar(driver as u8);
    // The sidecar does not wait until the lease of its earlier run expires.
    until("the restarted sidecar drives again", || async {
        let log = system.sidecars[driver].log();
        let own = log.iter().position(|line| line.contains("earlier run drove"));
        own.is_some_and(|own| log[own..].iter().any(|line| line.contains("driver elected")))
    })
    .await;
    drop(load);
    assert_no_violations(&system).await;
}
