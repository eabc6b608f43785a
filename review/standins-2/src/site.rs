//! A small deployment: three workers of one service, a store and two gateways. Figures are those of
//! the sheet of the site `cartamar-sul`.

use std::io;
use std::time::Duration;

use crate::process::{Folder, Gateway, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Fault, Worker};

pub const HOST: &str = "carta.example";
pub const KEY: &str = "k1praticagem";
pub const SERVICE: &str = "assistente-pratico";
/// Deadline of streams, and the timeout of their route.
pub const STREAM_MS: u64 = 8_000;
/// Deadline of other requests, and the timeout of their routes.
pub const SHORT_MS: u64 = 1_500;
const ZONES: [&str; 3] = ["itajai", "rio-grande", "paranagua"];
const START_LIMIT: Duration = Duration::from_secs(15);

pub struct Site {
    pub gateways: Vec<Gateway>,
    pub store: Store,
}

fn route(name: &str, kind: &str, (timeout, goal, attempts): (u64, u64, u32)) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
         \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout},\"goal_ms\":{goal},\"priority\":1,\
         \"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\"anonymous\":false,\
         \"resumable\":{},\"gap_target_ms\":120}}",
        kind == "streaming"
    )
}

fn config() -> String {
    let routes = [
        route("aviso", "streaming", (STREAM_MS, 400, 2)),
        route("tabua", "idempotent", (SHORT_MS, 300, 2)),
        route("tile", "non_idempotent", (SHORT_MS, 300, 1)),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_conns\":188}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"praticagem\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Returns the headers of a client's request.
pub fn headers(id: &str, deadline_ms: u64) -> String {
    format!(
        "Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Api-Key: {KEY}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         X-Model: m\r\nX-Token-Count: 674,300\r\nX-Prompt-Prefix: a1:40,b2:634\r\n"
    )
}

impl Site {
    /// Starts the deployment. The first worker has the given fault, the others are sound.
    pub fn start(
        name: &str,
        record: &Record,
        stream: (u32, Duration),
        fault: Fault,
    ) -> io::Result<Site> {
        let folder = Folder::create(name)?;
        let (store, address) = Store::start()?;
        store.put("op/config", &config());
        for (number, zone) in ZONES.iter().enumerate() {
            let worker = Worker {
                id: format!("i-{number}"),
                service: SERVICE.to_owned(),
                zone: (*zone).to_owned(),
                stream,
                record: record.clone(),
                answered: Default::default(),
                fault: if number == 0 { fault } else { Fault::Sound },
            };
            worker.start(&store)?;
        }
        let ports = [Ports::free(0)?, Ports::free(1)?];
        let seeds = [ports[0].control, ports[1].control];
        let mut gateways = Vec::new();
        for (ports, zone) in ports.into_iter().zip(ZONES) {
            let name = format!("edge-{zone}-1");
            gateways.push(Gateway::start(&folder.0, (&name, zone), ports, &seeds, address)?);
        }
        for gateway in &gateways {
            if !gateway.wait_ready(START_LIMIT) {
                return Err(io::Error::other("a gateway is not ready"));
            }
        }
        // A gateway is ready once it knows one worker. The others follow within milliseconds.
        std::thread::sleep(Duration::from_millis(500));
        Ok(Site { gateways, store })
    }
}
