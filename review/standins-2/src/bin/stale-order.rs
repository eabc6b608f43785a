//! While the driver of a group of sixteen ranks changes the map in an outage of the store, one
//! machine is cut off for a second and the driver's own stands still for a little longer.
//!
//! usage: stale-order RECORD, with TROUBLE=0 without the disruptions.

use std::io;
use std::net::Ipv4Addr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use review_standins_2::engine::{self, Group};
use review_standins_2::link::Link;
use review_standins_2::process::{Folder, Gateway, Ports, Process};
use review_standins_2::record::Record;
use review_standins_2::store::Store;

/// Port of all sidecars for each other.
const PEER_PORT: u16 = 7_340;
const SERVICE: &str = "assistente-pratico";
const ZONES: [&str; 3] = ["itajai", "rio-grande", "paranagua"];
/// Time in which the sidecars read their settings.
const STARTING: Duration = Duration::from_secs(2);
/// Time in which the group comes to rest with a map for the first demand.
const SETTLING: Duration = Duration::from_secs(30);
/// Time without an order after which it has.
const QUIET: Duration = Duration::from_millis(2_500);
/// Time from the outage of the store to the shift of the demand.
const OUTAGE_LEAD: Duration = Duration::from_millis(300);
/// Longest time of the outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time within which the hold keeps a pass from beginning after the first order to arm a rank.
const HOLDING: Duration = Duration::from_millis(300);
/// How long one machine is cut off, and how long the driver's stands still: less than `stall_ms`,
/// after which the platform breaks the group.
const CUT: Duration = Duration::from_millis(1_000);
const FREEZE: Duration = Duration::from_millis(1_400);
/// Time for which passes are checked after a change.
const AFTERWARDS: Duration = Duration::from_secs(2);
/// Changes that are disturbed, until one breaks the rule.
const ROUNDS: usize = 5;
/// Ranks whose experts of map 0 become popular, in turn.
const POPULAR: [usize; 5] = [5, 11, 2, 14, 8];

fn config() -> String {
    let (sets, experts, places, spare) =
        (engine::SETS, engine::EXPERTS, engine::PLACES, engine::SPARE);
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"aviso\",\"host\":\"carta.example\",\
         \"path_prefix\":\"/aviso/\",\"route_kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":400,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"anonymous\":true,\
         \"resumable\":true,\"gap_target_ms\":120}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_conns\":188,\"engine\":{{\"slots\":12,\
         \"kv_capacity\":372000,\"step_ms\":5.85,\"per_seq_ms\":0.355,\"stride\":5,\
         \"link_mbps\":180000.0,\"read_per_s\":61200,\"form_ms\":600,\"sets\":{sets},\
         \"experts\":{experts},\"placements\":{places},\"spare\":{spare},\"expert_share\":0.85,\
         \"expert_mb\":880.0}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

struct Deployment {
    group: Group,
    store: Store,
    sidecars: Vec<Process>,
    links: Vec<Link>,
    _gateways: Vec<Gateway>,
}

fn start(record: &Record) -> io::Result<Deployment> {
    let folder = Folder::create("stale-order")?;
    let (store, store_address) = Store::start()?;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let subnet = [64 | low & 63, high];
    let group = Group::start(subnet, record.clone())?;
    store.put("op/config", &config());
    let zone = |rank: usize| ZONES[rank % ZONES.len()];
    for rank in 0..engine::RANKS {
        let (ip, zone) = (engine::machine(subnet, rank), zone(rank));
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{ip}:{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":0}}",
            engine::PORT
        );
        store.put(&format!("servers/i-{rank}"), &entry);
    }
    let ports = [Ports::free(0)?, Ports::free(1)?];
    let seeds = [ports[0].control, ports[1].control];
    let mut gateways = Vec::new();
    for (ports, zone) in ports.into_iter().zip(ZONES) {
        let name = format!("edge-{zone}-1");
        gateways.push(Gateway::start(&folder.0, (&name, zone), ports, &seeds, store_address)?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other("a gateway is not ready"));
        }
    }
    let (mut sidecars, mut links) = (Vec::new(), Vec::new());
    for rank in 0..engine::RANKS {
        let name = format!("side-{}-{rank}", zone(rank));
        let machine = engine::machine(subnet, rank);
        let own = (Ipv4Addr::new(127, subnet[0], subnet[1], 150 + rank as u8), PEER_PORT).into();
        let addresses = (own, (machine, engine::PORT).into());
        let store = (store_address, SERVICE);
        let place = (&*name, zone(rank));
        sidecars.push(Process::start_sidecar(&folder.0, place, addresses, &seeds, store)?);
        links.push(Link::start((machine, PEER_PORT).into(), own)?);
    }
    std::thread::sleep(STARTING);
    Ok(Deployment { group, store, sidecars, links, _gateways: gateways })
}

impl Deployment {
    /// Stops a machine with its sidecar and its engine, or lets it go on.
    fn set_frozen(&self, rank: usize, frozen: bool, record: &Record) -> io::Result<()> {
        self.sidecars[rank].signal(if frozen { "STOP" } else { "CONT" })?;
        self.group.set_frozen(rank, frozen);
        let what = if frozen { "stands still" } else { "goes on" };
        record.line(&format!("the machine of rank {rank} {what}"));
        Ok(())
    }

    /// Cuts a machine off from all other machines of the system, or ends the cut.
    fn set_cut(&self, rank: usize, cut: bool, record: &Record) {
        self.links[rank].set_cut(cut);
        self.group.set_cut(rank, cut.then(|| self.sidecars[rank].id()));
        let what = if cut { "is cut off" } else { "is back" };
        record.line(&format!("the machine of rank {rank} {what}"));
    }

    /// Waits until the driver leaves the map as it is.
    fn settle(&self) -> bool {
        let end = Instant::now() + SETTLING;
        while Instant::now() < end {
            let quiet = self.group.last_order().is_some_and(|at| at.elapsed() > QUIET);
            if quiet && self.group.switches() > 0 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Returns the rank on whose machine the driver runs: a driver orders the rank behind its own one to
/// hold the group.
fn driver_of(holder: usize) -> usize {
    (holder + engine::RANKS - 1) % engine::RANKS
}

/// Plays one change of the map. Returns whether each pass began on one map.
fn play(site: &Deployment, number: usize, trouble: bool, record: &Record) -> io::Result<bool> {
    if !site.settle() {
        return Err(io::Error::other("no map was changed, or changes did not end"));
    }
    record.line(&format!("round {number}: the map is at rest"));
    if trouble {
        site.store.set_down(true);
        record.line("the store is down");
    }
    let down = Instant::now();
    std::thread::sleep(OUTAGE_LEAD);
    site.group.set_popular(POPULAR[number % POPULAR.len()]);
    record.line("the demand shifts");
    let holder = site.group.wait_for("hold", down, OUTAGE.saturating_sub(down.elapsed()));
    let Some(holder) = holder else {
        return Err(io::Error::other("the map was not changed"));
    };
    if trouble {
        disturb(site, (holder, down), record)?;
    }
    std::thread::sleep(AFTERWARDS);
    Ok(site.group.mixed() == 0)
}

/// Brings the store back, cuts a machine off and freezes the driver's. They return one after the
/// other.
fn disturb(site: &Deployment, (holder, down): (usize, Instant), record: &Record) -> io::Result<()> {
    let driver = driver_of(holder);
    let other = (driver + engine::RANKS / 2) % engine::RANKS;
    site.set_cut(other, true, record);
    let cut = Instant::now();
    site.store.set_down(false);
    record.line(&format!("the store is back after {} ms", down.elapsed().as_millis()));
    if !site.group.wait_until_held(HOLDING) {
        return Err(io::Error::other("the group was not held"));
    }
    site.set_frozen(driver, true, record)?;
    let frozen = Instant::now();
    std::thread::sleep(CUT.saturating_sub(cut.elapsed()));
    site.set_cut(other, false, record);
    std::thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
    site.set_frozen(driver, false, record)
}

fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let site = start(record)?;
    for number in 0..ROUNDS {
        if !play(&site, number, trouble, record)? {
            record.line("the rule was broken");
            return Ok(false);
        }
    }
    record.line("the rule held");
    Ok(true)
}

fn main() -> ExitCode {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&path) else { return ExitCode::from(2) };
    match run(&record, trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
