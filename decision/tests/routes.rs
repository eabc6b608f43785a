//! Lookup of a request's route by the longest path prefix, and of its team by its key.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::route::{Config, Kind, Limits, Refusal, Route, Table, Target, Team};

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target =
        |(service, weight): &(&str, u32)| Target { service: (*service).into(), weight: *weight };
    Route {
        name: name.into(),
        host: "vale.example".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause: None,
        priority: 2,
        targets: targets.iter().map(target).collect(),
        max_attempts: 2,
        anonymous: name == "open",
    }
}

fn table(teams: Option<Vec<Team>>) -> Table {
    let limits = Limits {
        header_bytes: 1_024,
        body_bytes: 1_024,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let routes = vec![
        route("all", "/", &[("a", 1)]),
        route("deep", "/x/y/", &[("b", 1)]),
        route("shallow", "/x/", &[("c", 1)]),
        route("open", "/open/", &[("d", 1)]),
    ];
    Table::new(Config { version: 7, routes, services: Vec::new(), teams, limits })
}

fn teams() -> Option<Vec<Team>> {
    let team = |name: &str, keys: &[&str], priority| Team {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        priority,
    };
    Some(vec![team("clinica", &["k1", "k2"], 0), team("loja", &["k3"], 1)])
}

#[test]
fn selects_the_route_with_the_longest_prefix() {
    let table = table(None);
    let name = |path| table.find("vale.example", path, None).unwrap().route.name.to_string();
    assert_eq!(name("/x/y/z"), "deep");
    assert_eq!(name("/x/yz"), "shallow");
    assert_eq!(name("/q"), "all");
    assert_eq!(table.find("other.example", "/x/", None), Err(Refusal::NoRoute));
}

#[test]
fn finds_the_team_by_key_and_rejects_unknown_keys() {
    let table = table(teams());
    let grant = table.find("vale.example", "/x/", Some("k3")).unwrap();
    assert_eq!(&*grant.team.as_ref().unwrap().name, "loja");
    assert_eq!(table.find("vale.example", "/x/", Some("k9")), Err(Refusal::UnknownKey));
    assert_eq!(table.find("vale.example", "/x/", None), Err(Refusal::UnknownKey));
    assert_eq!(table.find("vale.example", "/open/", None).unwrap().team, None);
}

#[test]
fn team_priority_outranks_route_priority() {
    let table = table(teams());
    let precedence = |key| table.find("vale.example", "/x/", Some(key)).unwrap().precedence();
    assert!(precedence("k1") < precedence("k3"));
}

#[test]
fn splits_requests_by_target_weight() {
    let route = route("split", "/", &[("a", 90), ("b", 10), ("never", 0)]);
    // The midpoints of a thousand equal intervals of the range of draws.
    let draws =
        (0..1_000_u64).map(|part| ((2 * part + 1) * (u64::from(u32::MAX) + 1) / 2_000) as u32);
    let to_b = draws.filter(|draw| &**route.target(*draw) == "b").count();
    assert_eq!(to_b, 100);
}
