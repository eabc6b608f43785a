//! The stand-in for backend servers on the users' platform:
//! `standin-group --servers ID=ADDRESS,.. [--lockstep] [--groups N]`.
//!
//! The servers are split, in their order, into N groups of the same size (by default 1). A call to
//! the control address applies to the group that the query's `group` selects, counted from 0, or to
//! the first group without it. Prints `listening ADDRESS` for its control address once all servers
//! listen.

use std::net::SocketAddr;

use loftcove_standins::group::Group;
use loftcove_standins::worker::Worker;
use loftcove_standins::{server, store};
use tokio::net::TcpListener;

#[tokio::main]
async fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let lockstep = arguments.contains("--lockstep");
    let groups: usize =
        arguments.opt_value_from_str("--groups").expect("--groups takes a number").unwrap_or(1);
    let servers: String =
        arguments.value_from_str("--servers").expect("--servers takes ids with addresses");
    let servers: Vec<(&str, SocketAddr)> = servers
        .split(',')
        .filter_map(|part| part.split_once('='))
        .map(|(id, address)| (id, address.parse().expect("a server has an address")))
        .collect();
    let ranks = servers.len().div_ceil(groups).max(1);
    let groups: Vec<Group> =
        (0..groups).map(|number| Group::new(&format!("g{number}"), ranks)).collect();
    for (number, (id, address)) in servers.into_iter().enumerate() {
        let (group, rank) = (&groups[number / ranks], number % ranks);
        let listener = TcpListener::bind(address).await.expect("the server's address is free");
        let address = address.to_string().into();
        let (group, ends) = (group.clone(), Default::default());
        let worker = Worker { group, rank, id: id.into(), address, lockstep, ends };
        tokio::spawn(worker.run(listener));
    }
    for group in &groups {
        tokio::spawn(group.clone().run());
    }
    let control = server::listen(([127, 0, 0, 1], 0).into()).await;
    server::serve(control, move |request| {
        let query = store::parse_query(request.uri().query().unwrap_or_default());
        let number = query.get("group").and_then(|text| text.parse().ok()).unwrap_or(0);
        let group: &Group = groups.get(number).unwrap_or(&groups[0]);
        let answer = group.control(request.uri().path(), &query);
        async move { server::json(200, &answer) }
    })
    .await;
}
