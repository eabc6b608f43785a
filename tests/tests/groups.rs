//! A lock-step group is taken to better maps, and never runs a pass on two.

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

/// Waits until the group has gone over to another map since.
async fn moved(system: &System, since: u64) {
    until("the group has another map", || async {
        switches(system).await > since && system.group_state().await["held"] == 0
    })
    .await;
}

async fn sound(system: &System) {
    let state = system.group_state().await;
    assert_eq!(state["violations"], 0, "{state}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_map_follows_the_demand() {
    let system = System::start(PLAN).await;
    let _load = Load::start(&system).await;
    moved(&system, 0).await;
    let before = switches(&system).await;
    system.group_control("/popular?expert=9").await;
    moved(&system, before).await;
    sound(&system).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_late_orders_leave_one_map() {
    let system = System::start(PLAN).await;
    system.group_control("/orders?lost=3&late=5").await;
    let _load = Load::start(&system).await;
    let mut before = 0;
    for expert in [1, 2, 3, 0] {
        system.group_control(&format!("/popular?expert={expert}")).await;
        moved(&system, before).await;
        before = switches(&system).await;
        sound(&system).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_sidecar_takes_over_from_a_driver_that_is_gone() {
    let mut system = System::start(PLAN).await;
    let _load = Load::start(&system).await;
    moved(&system, 0).await;
    for expert in [1, 2] {
        let driver = driver(&system).await;
        // Paused, it keeps its connections and its lease for a while.
        system.sidecars[driver].signal(libc::SIGSTOP);
        let before = switches(&system).await;
        system.group_control(&format!("/popular?expert={expert}")).await;
        form_anew(&system).await;
        moved(&system, before).await;
        system.sidecars[driver].signal(libc::SIGCONT);
        sound(&system).await;
    }
    let driver = driver(&system).await;
    system.sidecars[driver].kill().await;
    system.start_sidecar(driver as u8);
    let before = switches(&system).await;
    form_anew(&system).await;
    moved(&system, before).await;
    sound(&system).await;
}

/// Has the group break and form anew, with the map that it opens with.
async fn form_anew(system: &System) {
    system.group_control("/break").await;
    system.group_control("/mend").await;
}

/// The sidecar that was elected last and has not resigned.
async fn driver(system: &System) -> usize {
    let term = |index: usize| {
        let log = system.sidecars[index].log();
        let own = log.iter().filter(|line| line.contains("driver elected"));
        own.filter_map(|line| line.rsplit("term=").next()?.trim().parse::<u64>().ok()).max()
    };
    (0..system.sidecars.len()).max_by_key(|index| term(*index)).expect("there are sidecars")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_that_formed_anew_gets_a_map_again() {
    let system = System::start(PLAN).await;
    let _load = Load::start(&system).await;
    moved(&system, 0).await;
    let before = switches(&system).await;
    form_anew(&system).await;
    moved(&system, before).await;
    sound(&system).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_cannot_be_reached_does_not_fill_the_log() {
    let mut system = System::start(Plan { proxied: true, ..PLAN }).await;
    let _load = Load::start(&system).await;
    moved(&system, 0).await;
    let driver = driver(&system).await;
    let other = (driver + 1) % usize::from(PLAN.ranks);
    system.link(&format!("rank-{other}"), "cut").await;
    system.group_control("/popular?expert=9").await;
    let log = || system.sidecars[driver].log();
    until("the change is given up", || async {
        log().iter().any(|line| line.contains("outcome=Abandoned"))
    })
    .await;
    let failed = log().iter().filter(|line| line.contains("report failed")).count();
    assert!((1..=30).contains(&failed), "{failed} lines in four seconds");
    sound(&system).await;
}

const TWO_GROUPS: Plan =
    Plan { gateways: 2, ranks: 6, groups: 2, plain: 1, sidecars: true, proxied: false };

/// Waits until a group has gone over to another map.
async fn moves(system: &System, group: u8) {
    until("the group has another map", || async {
        let state = system.group_state_of(group).await;
        state["switches"].as_u64().unwrap_or(0) > 0 && state["held"] == 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_maps_of_two_groups_of_one_service_change() {
    let system = System::start(TWO_GROUPS).await;
    let _load = Load::start(&system).await;
    for group in 0..TWO_GROUPS.groups {
        moves(&system, group).await;
        let state = system.group_state_of(group).await;
        assert_eq!(state["violations"], 0, "{state}");
    }
    // Neither group's driver took the other's term for that of its successor.
    let superseded = |sidecar: &loftcove_tests::process::Process| {
        sidecar.log().iter().filter(|line| line.contains("superseded")).count()
    };
    let count: usize = system.sidecars.iter().map(superseded).sum();
    assert_eq!(count, 0, "rounds stopped");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_group_serves_while_the_other_is_broken() {
    let system = System::start(TWO_GROUPS).await;
    let load = Load::start(&system).await;
    // Each driver has told the gateways its members before it changes the map.
    moves(&system, 0).await;
    moves(&system, 1).await;
    drop(load);
    system.group_control("/break?group=0").await;
    for _ in 0..40 {
        let answer = system.request(0, &Request::new("/draft/")).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_driver_that_starts_again_goes_on_at_once() {
    let mut system = System::start(PLAN).await;
    let load = Load::start(&system).await;
    moved(&system, 0).await;
    let driver = driver(&system).await;
    system.sidecars[driver].kill().await;
    system.start_sidecar(driver as u8);
    // It does not wait until the lease of its earlier run lapses.
    until("it drives again", || async {
        let log = system.sidecars[driver].log();
        let own = log.iter().position(|line| line.contains("earlier run drove"));
        own.is_some_and(|own| log[own..].iter().any(|line| line.contains("driver elected")))
    })
    .await;
    drop(load);
    sound(&system).await;
}
