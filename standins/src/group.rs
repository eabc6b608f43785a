//! A stand-in for backend servers on the users' platform: the ranks of a lock-step group, or plain
//! servers of a service.
//!
//! All ranks live in one process and begin each pass together. A pass in which two ranks have maps
//! of different versions or contents is counted as a violation. `x-standin-...` headers of a
//! request control how it is handled; see [`crate::worker`].
//!
//! The control address takes:
//!
//! - `PUT /orders?lost=N&late=N`: every Nth order is dropped, or is executed half a second late.
//!   Neither is answered.
//! - `PUT /popular?expert=N`: makes the experts N, N+R, N+2R and N+3R popular, for R ranks.
//! - `PUT /size?ranks=N`: the ranks report that the group has N of them; without N, their number again.
//! - `PUT /pace?rank=N&slowness=X`: the rank reports that its work takes X times as long. Passes
//!   keep their interval.
//! - `PUT /break` and `PUT /mend`: breaks the group, and re-forms it.
//! - `PUT /shed?server=ID&each=N&rest=TEXT`: every Nth request of the server, or of each server if
//!   no id is given, is answered 503 with `Retry-After: TEXT`, or without the header if the text is
//!   empty.
//! - `PUT /leave?server=ID&on=1`: all responses of the server carry `server-leaving`. With `on=0`
//!   the server has restarted.
//! - `PUT /limit?server=ID&rate=TEXT`: all responses of the server carry that rate limit, or none
//!   if the text is empty.
//! - `PUT /harmful?part=ID`: from now on, a server ends before it begins to answer a request whose
//!   prompt has that part, unless it is the last one.
//! - `PUT /harmless?part=ID`: undoes it.
//! - `GET /state`: counters and map versions.
//! - `GET /requests`: the requests that were executed.
//! - `GET /ends`: the servers that ended while they ran a request.
//! - `GET /floods`: id and bytes of each response without end whose connection was closed.
//! - `GET /visits`: all requests that reached the run of a server that they were meant for.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash as _, Hasher as _};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::sync::watch;

/// Number of layer sets, experts per set, experts of a set that a rank may hold, and experts of a
/// set that a rank may add in one map change.
pub const SHAPE: (usize, usize, usize, usize) = (2, 16, 6, 2);
/// Interval between passes.
const PASS_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a rank takes to copy a map.
const COPY_TIME: Duration = Duration::from_millis(40);
/// Delay of an order that is executed late.
const LATE_DELAY: Duration = Duration::from_millis(500);
/// Number of expert choices that one stream event adds to each set.
const CHOICES: u64 = 256;

/// Experts, by layer set.
type Experts = Vec<Vec<u16>>;

/// One rank's part of a map.
#[derive(Default)]
struct Map {
    version: u64,
    /// Experts on the rank.
    experts: Experts,
    /// Hash of the whole map, in the order in which it was received.
    content: u64,
}

#[derive(Default)]
struct Rank {
    map: Map,
    prepared: Option<Map>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    /// Number of accepted orders.
    orders: u64,
    active: u32,
    /// Slowness that the rank reports, or zero for the usual one.
    slowness: f64,
    counts: Vec<u64>,
}

/// Load shedding of a server.
struct Shed {
    /// Interval, in requests, between rejected requests.
    each: u64,
    /// Value of `Retry-After`, or empty for no header.
    rest: String,
    /// Number of requests received.
    count: u64,
}

struct State {
    name: String,
    epoch: u64,
    open: bool,
    pass: u64,
    ranks: Vec<Rank>,
    violations: u64,
    switches: u64,
    lost: u64,
    late: u64,
    /// Number of orders received.
    received: u64,
    requests: Vec<Value>,
    /// Responses without end whose connection was closed.
    floods: Vec<Value>,
    ends: Vec<Value>,
    /// Load shedding by server id, or for [`ALL`].
    sheds: BTreeMap<String, Shed>,
    leaving: BTreeSet<String>,
    /// Parts of prompts under which servers end.
    harmful: BTreeSet<String>,
    /// Size of the group that the ranks report instead of their number.
    reported_size: Option<u64>,
    /// Rate limit of each server, as its `server-limit` header has it.
    limits: BTreeMap<String, String>,
    /// Number of restarts of each server.
    starts: BTreeMap<String, u64>,
    visits: Vec<Value>,
    popular: u16,
}

/// State of a server that it reports in a response.
pub struct Notice {
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Rate limit of the server, as its `server-limit` header has it.
    pub limit: Option<String>,
}

/// Key that stands for all servers.
const ALL: &str = "*";

/// A group of backend servers.
#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    passes: watch::Sender<u64>,
}

/// An order, as received.
#[derive(Debug, Clone, serde::Deserialize)]
pub struct Order {
    op: String,
    epoch: Option<u64>,
    version: Option<u64>,
    step: Option<u64>,
    map: Option<Vec<Vec<Vec<u16>>>>,
    expected_rev: Option<u64>,
}

/// Returns the experts that a rank holds in the initial even map.
fn round_robin(rank: usize, ranks: usize) -> Experts {
    let (sets, experts, ..) = SHAPE;
    let held: Vec<u16> = (rank..experts).step_by(ranks).map(|expert| expert as u16).collect();
    vec![held; sets]
}

impl Group {
    /// Creates a group with the given number of ranks.
    pub fn new(name: &str, ranks: usize) -> Group {
        let mut state = State {
            name: name.to_owned(),
            epoch: 0,
            open: true,
            pass: 0,
            ranks: (0..ranks).map(|_| Rank::default()).collect(),
            violations: 0,
            switches: 0,
            lost: 0,
            late: 0,
            received: 0,
            requests: Vec::new(),
            floods: Vec::new(),
            ends: Vec::new(),
            sheds: BTreeMap::new(),
            leaving: BTreeSet::new(),
            harmful: BTreeSet::new(),
            reported_size: None,
            limits: BTreeMap::new(),
            starts: BTreeMap::new(),
            visits: Vec::new(),
            popular: 0,
        };
        state.form_epoch();
        Group { state: Arc::new(Mutex::new(state)), passes: watch::Sender::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the stand-in's lock panics")
    }

    /// Begins passes while requests run. Never returns.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(PASS_INTERVAL).await;
            if self.lock().begin_pass() {
                self.passes.send_modify(|count| *count += 1);
            }
        }
    }

    /// Returns a receiver that is notified of each pass.
    pub fn passes(&self) -> watch::Receiver<u64> {
        self.passes.subscribe()
    }

    /// Returns whether the group is open.
    pub fn is_open(&self) -> bool {
        self.lock().open
    }

    /// Adds `change` to the number of active requests of a rank.
    pub fn adjust_active(&self, rank: usize, change: i32) {
        let mut state = self.lock();
        let active = &mut state.ranks[rank].active;
        *active = active.saturating_add_signed(change);
    }

    /// Returns the number of active requests of a rank.
    pub fn active(&self, rank: usize) -> u32 {
        self.lock().ranks[rank].active
    }

    /// Counts the expert choices of one stream event on a rank.
    pub fn count_choices(&self, rank: usize) {
        let mut state = self.lock();
        let (sets, experts, ..) = SHAPE;
        let popular = usize::from(state.popular);
        let ranks = state.ranks.len();
        for set in 0..sets {
            // The initial even map places these four experts on one rank. They get seven in eight
            // choices.
            for index in 0..4 {
                let expert = (popular + index * ranks) % experts;
                state.ranks[rank].counts[set * experts + expert] += CHOICES * 7 / 32;
            }
            for expert in 0..experts {
                state.ranks[rank].counts[set * experts + expert] += CHOICES / 8 / experts as u64;
            }
        }
    }

    /// Returns how often a request was executed by any server.
    pub fn attempts(&self, id: &str) -> usize {
        let is_attempt = |request: &&Value| request["headers"]["x-attempt-id"] == id;
        self.lock().requests.iter().filter(is_attempt).count()
    }

    /// Records a request that is executed.
    pub fn record_request(&self, request: Value) {
        self.lock().requests.push(request);
    }

    /// Records a response without end whose connection was closed.
    pub fn record_flood(&self, flood: Value) {
        self.lock().floods.push(flood);
    }

    /// Records that a server ended while it ran a request with that body, and breaks the group.
    pub fn record_end(&self, server: &str, body: &str) {
        let mut state = self.lock();
        state.open = false;
        let arrivals = state.requests.len();
        let end = json!({ "server": server, "body": body, "arrivals": arrivals, "back": false });
        state.ends.push(end);
    }

    /// Records that a request reached the run of a server that it was meant for.
    ///
    /// Returns the value of `Retry-After`, which may be empty, if the request is to be rejected.
    pub fn record_arrival(&self, server: &str, request: &str) -> Option<String> {
        self.lock().record_arrival(server, request)
    }

    /// Returns the state that a server reports in its response to a request, and records it.
    pub fn notice(&self, server: &str, request: &str) -> Notice {
        self.lock().notice(server, request)
    }

    /// Returns whether a server ends under a request with that list of the parts of its prompt.
    pub fn is_harmful(&self, parts: &str) -> bool {
        let Some((shared, _)) = parts.rsplit_once(',') else { return false };
        let mut ids = shared.split(',').filter_map(|part| part.split(':').next());
        let state = self.lock();
        ids.any(|id| state.harmful.contains(id))
    }

    /// Returns whether a server is leaving.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.lock().leaving.contains(server)
    }

    /// Records that a server restarted. A lock-step group re-forms.
    pub fn restart(&self, server: &str, lockstep: bool) {
        let mut state = self.lock();
        state.clear_reported(server);
        for end in state.ends.iter_mut().filter(|end| end["server"] == server) {
            end["back"] = json!(true);
        }
        if lockstep {
            state.form_epoch();
        }
    }

    /// Returns the report of a rank.
    pub fn report(&self, rank: usize) -> Value {
        let state = self.lock();
        let own = &state.ranks[rank];
        json!({
            "stage": "both",
            "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "group": {
                "name": state.name, "epoch": state.epoch, "rank": rank,
                "state": if state.open { "open" } else { "broken" },
            },
            "size": state.reported_size.unwrap_or(state.ranks.len() as u64),
            "busy": false,
            "seq": own.orders,
            "queued": 0,
            "active": own.active,
            "pace": own.slowness.max(1.0),
            "step": state.pass,
            "map": own.map.version,
            "prepared": own.prepared.as_ref().map(|prepared| prepared.version),
            "armed": own.armed.map(|(version, step)| json!({ "version": version, "step": step })),
            "held": own.held,
        })
    }

    /// Returns the expert counts of a rank, or its experts if `lists` is set.
    pub fn picked(&self, rank: usize, lists: bool) -> Value {
        let state = self.lock();
        let own = &state.ranks[rank];
        if !lists {
            return json!({ "step": state.pass, "epoch": state.epoch, "counts": own.counts });
        }
        let list = |map: &Map| json!({ "version": map.version, "experts": map.experts });
        json!({
            "epoch": state.epoch,
            "map": list(&own.map),
            "prepared": own.prepared.as_ref().map(list),
        })
    }

    /// Executes an order and returns the response status, or `None` if the order is not answered.
    pub async fn order(&self, rank: usize, order: Order) -> Option<u16> {
        let delivery = self.lock().next_delivery();
        match delivery {
            Delivery::Answered => {}
            Delivery::Lost => return None,
            Delivery::Late => {
                let group = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(LATE_DELAY).await;
                    group.apply(rank, &order);
                });
                return None;
            }
        }
        Some(self.apply(rank, &order))
    }

    fn apply(&self, rank: usize, order: &Order) -> u16 {
        let prepared = {
            let mut state = self.lock();
            if order.op == "prepare" {
                state.check_prepare(rank, order)
            } else {
                return state.apply(rank, order);
            }
        };
        let Ok(map) = prepared else { return 409 };
        let group = self.clone();
        let epoch = order.epoch;
        tokio::spawn(async move {
            tokio::time::sleep(COPY_TIME).await;
            let mut state = group.lock();
            if epoch == Some(state.epoch) && state.ranks[rank].highest == map.version {
                state.ranks[rank].prepared = Some(map);
            }
        });
        202
    }

    /// Handles a call to the control address.
    pub fn control(&self, path: &str, query: &BTreeMap<String, String>) -> Value {
        let mut state = self.lock();
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        match path {
            "/orders" => (state.lost, state.late) = (number("lost"), number("late")),
            "/popular" => state.popular = number("expert") as u16,
            "/size" => state.reported_size = query.get("ranks").and_then(|text| text.parse().ok()),
            "/pace" => state.set_slowness(query),
            "/break" => state.open = false,
            "/mend" => state.form_epoch(),
            "/shed" => state.set_shed(query),
            "/leave" => state.set_leaving(query),
            "/limit" => state.set_limit(query),
            "/harmful" => state.harmful.extend(query.get("part").cloned()),
            "/harmless" => {
                query.get("part").map(|part| state.harmful.remove(part));
            }
            "/requests" => return Value::Array(state.requests.clone()),
            "/floods" => return Value::Array(state.floods.clone()),
            "/visits" => return Value::Array(state.visits.clone()),
            "/ends" => return Value::Array(state.ends.clone()),
            _ => {}
        }
        json!({
            "epoch": state.epoch,
            "pass": state.pass,
            "violations": state.violations,
            "switches": state.switches,
            "maps": state.ranks.iter().map(|rank| rank.map.version).collect::<Vec<_>>(),
            "held": state.ranks.iter().filter(|rank| rank.held.is_some()).count(),
            "active": state.ranks.iter().map(|rank| rank.active).sum::<u32>(),
        })
    }
}

/// How an order is delivered.
enum Delivery {
    Answered,
    Lost,
    Late,
}

impl State {
    fn set_shed(&mut self, query: &BTreeMap<String, String>) {
        let text = |name: &str| query.get(name).cloned();
        let server = text("server").unwrap_or_else(|| ALL.to_owned());
        let each = text("each").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.sheds.remove(&server);
        if each > 0 {
            let rest = text("rest").unwrap_or_default();
            self.sheds.insert(server, Shed { each, rest, count: 0 });
        }
    }

    fn set_leaving(&mut self, query: &BTreeMap<String, String>) {
        let Some(server) = query.get("server") else { return };
        if query.get("on").is_some_and(|on| on == "1") {
            self.leaving.insert(server.clone());
        } else {
            self.clear_reported(server);
        }
    }

    fn set_limit(&mut self, query: &BTreeMap<String, String>) {
        let Some(server) = query.get("server") else { return };
        match query.get("rate").filter(|rate| !rate.is_empty()) {
            Some(rate) => self.limits.insert(server.clone(), rate.clone()),
            None => self.limits.remove(server),
        };
    }

    fn set_slowness(&mut self, query: &BTreeMap<String, String>) {
        let rank = query.get("rank").and_then(|rank| rank.parse::<usize>().ok());
        let slowness = query.get("slowness").and_then(|slowness| slowness.parse().ok());
        if let Some(rank) = rank.and_then(|rank| self.ranks.get_mut(rank)) {
            rank.slowness = slowness.unwrap_or(0.0);
        }
    }

    /// Records a restart of a server, which clears what its earlier run reported.
    fn clear_reported(&mut self, server: &str) {
        self.leaving.remove(server);
        self.limits.remove(server);
        *self.starts.entry(server.to_owned()).or_default() += 1;
    }

    fn record_arrival(&mut self, server: &str, request: &str) -> Option<String> {
        let key = if self.sheds.contains_key(server) { server } else { ALL };
        let shed = self.sheds.get_mut(key).and_then(|shed| {
            shed.count += 1;
            shed.count.is_multiple_of(shed.each).then(|| shed.rest.clone())
        });
        let run = self.starts.get(server).copied().unwrap_or(0);
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.visits.push(json!({
            "server": server, "run": run, "request": request, "at": at.as_millis() as u64,
            "shed": shed, "leaving": false, "limit": self.limits.get(server), "told": false,
        }));
        shed
    }

    /// Returns the state that a server reports in its response to a request, and records it with
    /// that request's visit.
    fn notice(&mut self, server: &str, request: &str) -> Notice {
        let leaving = self.leaving.contains(server);
        let limit = self.limits.get(server).cloned();
        let mut visits = self.visits.iter_mut().rev();
        let visit = visits.find(|visit| visit["server"] == server && visit["request"] == request);
        if let Some(visit) = visit {
            visit["leaving"] = json!(leaving);
            visit["told"] = json!(limit.is_some());
        }
        Notice { leaving, limit }
    }

    /// Forms the group in its next epoch, with the initial even map.
    fn form_epoch(&mut self) {
        let ranks = self.ranks.len();
        self.epoch += 1;
        self.open = true;
        for (rank, own) in self.ranks.iter_mut().enumerate() {
            let counts = std::mem::take(&mut own.counts);
            let (orders, active, slowness) = (own.orders, own.active, own.slowness);
            let map = Map { experts: round_robin(rank, ranks), ..Map::default() };
            *own = Rank { map, counts, orders, active, slowness, ..Rank::default() };
            own.counts.resize(SHAPE.0 * SHAPE.1, 0);
        }
    }

    /// Begins the next pass, unless it is held, no request runs or the group is broken.
    fn begin_pass(&mut self) -> bool {
        let next = self.pass + 1;
        let active = self.ranks.iter().any(|rank| rank.active > 0);
        if !self.open || !active || self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return false;
        }
        self.pass = next;
        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|(_, at)| at == next) {
                rank.armed = None;
                rank.map = rank.prepared.take().expect("an armed rank has a prepared map");
                self.switches += 1;
            }
        }
        // Compares contents too: two maps of the same version may differ.
        let maps: BTreeSet<(u64, u64)> =
            self.ranks.iter().map(|rank| (rank.map.version, rank.map.content)).collect();
        self.violations += u64::from(maps.len() > 1);
        true
    }

    fn next_delivery(&mut self) -> Delivery {
        self.received += 1;
        let each = |nth: u64| nth > 0 && self.received.is_multiple_of(nth);
        match () {
            () if each(self.lost) => Delivery::Lost,
            () if each(self.late) => Delivery::Late,
            () => Delivery::Answered,
        }
    }

    /// Returns whether an order matches the open group's epoch and the rank's order sequence.
    fn is_current(&self, rank: usize, order: &Order) -> bool {
        let epoch = order.epoch.is_none_or(|epoch| epoch == self.epoch);
        let own = &self.ranks[rank];
        epoch && self.open && order.expected_rev.is_none_or(|orders| orders == own.orders)
    }

    fn check_prepare(&mut self, rank: usize, order: &Order) -> Result<Map, ()> {
        let current = self.is_current(rank, order);
        let (.., placements, spare) = SHAPE;
        let own = &mut self.ranks[rank];
        let version = order.version.unwrap_or(0);
        let map = order.map.as_ref().ok_or(())?;
        let experts: Experts = map.iter().map(|set| set[rank].clone()).collect();
        let within = experts.iter().zip(&own.map.experts).all(|(new, old)| {
            let added = new.iter().filter(|expert| !old.contains(expert)).count();
            new.len() <= placements && added <= spare
        });
        if !current || !within || version <= own.highest || own.armed.is_some() {
            return Err(());
        }
        own.highest = version;
        own.prepared = None;
        own.orders += 1;
        let mut hasher = std::hash::DefaultHasher::new();
        map.hash(&mut hasher);
        Ok(Map { version, experts, content: hasher.finish() })
    }

    fn apply(&mut self, rank: usize, order: &Order) -> u16 {
        let current = self.is_current(rank, order);
        let pass = self.pass;
        let own = &mut self.ranks[rank];
        let version = order.version.unwrap_or(0);
        let step = order.step.unwrap_or(0);
        if !current {
            return 409;
        }
        let accepted = match order.op.as_str() {
            "arm" => {
                let accepted =
                    own.prepared.as_ref().is_some_and(|p| p.version == version) && step > pass;
                own.armed = if accepted { Some((version, step)) } else { own.armed };
                accepted
            }
            "disarm" => {
                let accepted = own.armed.is_some_and(|(armed, _)| armed == version);
                own.armed = if accepted { None } else { own.armed };
                accepted
            }
            "hold" => {
                let accepted = step > pass && own.held.is_none_or(|held| held == step);
                own.held = if accepted { Some(step) } else { own.held };
                accepted
            }
            "go" => {
                own.held = own.held.filter(|held| *held != step);
                true
            }
            _ => return 400,
        };
        own.orders += u64::from(accepted);
        if accepted { 202 } else { 409 }
    }
}
