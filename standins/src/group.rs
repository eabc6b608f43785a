//! A stand-in for backend servers on the users' platform: the ranks of a
//! lock-step group, or plain servers of a service.
//!
//! All ranks live in one process and begin each pass together. A pass in which
//! two ranks hold maps of different versions or contents is counted as a violation. What a request
//! asks for by headers of its own (`x-standin-...`) happens to it; see
//! [`crate::worker`]. The control address takes `PUT /orders?lost=N&late=N`
//! (each Nth order is not carried out, or half a second later, and neither is
//! answered), `PUT /break` and `PUT /mend` (the group breaks, and forms anew),
//! `PUT /shed?server=ID&each=N&rest=TEXT` (each Nth request of the server, or of
//! each server without an id, is answered 503 with that `Retry-After`, without one
//! where the text is empty) and `PUT /leave?server=ID&on=1` (all answers of the
//! server say that it leaves; with `on=0` it has started again) and
//! `PUT /limit?server=ID&rate=TEXT` (all its answers name that rate limit, none where
//! the text is empty), and tells with `GET /state`,
//! `GET /requests`, `GET /ends` (servers that ended under a request) and
//! `GET /visits` (all that reached the run that it was meant for) what happened.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash as _, Hasher as _};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::sync::watch;

/// Sets of layers, experts of each, experts of a set that a rank may hold, and
/// may take in by one change.
pub const SHAPE: (usize, usize, usize, usize) = (2, 16, 6, 2);
/// Time of a pass.
const PASS: Duration = Duration::from_millis(10);
/// Time that copying a map takes.
const COPY: Duration = Duration::from_millis(40);
/// How late an order is that is carried out late.
const LATE: Duration = Duration::from_millis(500);
/// Choices that one event of a stream makes in each set.
const CHOICES: u64 = 256;

/// Experts by set.
type Experts = Vec<Vec<u16>>;

/// A map, as one rank has it.
#[derive(Default)]
struct Map {
    version: u64,
    /// The rank's own experts.
    experts: Experts,
    /// Hash of the whole of it, in the order in which it came.
    content: u64,
}

#[derive(Default)]
struct Rank {
    map: Map,
    prepared: Option<Map>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    orders: u64,
    active: u32,
    counts: Vec<u64>,
}

/// How a server sheds requests.
struct Shed {
    /// Each so-and-so-many-th is refused.
    each: u64,
    /// Time after which to come back, as the header says it.
    rest: String,
    /// Requests that have come.
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
    given: u64,
    requests: Vec<Value>,
    ends: Vec<Value>,
    /// By server, or by [`ALL`].
    sheds: BTreeMap<String, Shed>,
    leaving: BTreeSet<String>,
    /// The rate limit that each server names, as its header says it.
    limits: BTreeMap<String, String>,
    /// How often each server has started again.
    starts: BTreeMap<String, u64>,
    visits: Vec<Value>,
    popular: u16,
}

/// What a server says of itself in an answer.
pub struct Notice {
    /// Whether it leaves.
    pub leaving: bool,
    /// The rate limit that it names, as its header says it.
    pub limit: Option<String>,
}

/// Stands for all servers.
const ALL: &str = "*";

/// The group.
#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    passes: watch::Sender<u64>,
}

/// An order as it arrives.
#[derive(Debug, Clone, serde::Deserialize)]
pub struct Order {
    op: String,
    epoch: Option<u64>,
    version: Option<u64>,
    step: Option<u64>,
    map: Option<Vec<Vec<Vec<u16>>>>,
    expected_rev: Option<u64>,
}

fn dealt(rank: usize, ranks: usize) -> Experts {
    let (sets, experts, ..) = SHAPE;
    let held: Vec<u16> = (rank..experts).step_by(ranks).map(|expert| expert as u16).collect();
    vec![held; sets]
}

impl Group {
    /// A group of so many ranks.
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
            given: 0,
            requests: Vec::new(),
            ends: Vec::new(),
            sheds: BTreeMap::new(),
            leaving: BTreeSet::new(),
            limits: BTreeMap::new(),
            starts: BTreeMap::new(),
            visits: Vec::new(),
            popular: 0,
        };
        state.form();
        Group { state: Arc::new(Mutex::new(state)), passes: watch::Sender::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the stand-in's lock panics")
    }

    /// Begins passes while requests run, until the process ends.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(PASS).await;
            if self.lock().begin_pass() {
                self.passes.send_modify(|count| *count += 1);
            }
        }
    }

    /// Follows the passes.
    pub fn passes(&self) -> watch::Receiver<u64> {
        self.passes.subscribe()
    }

    /// Whether the group is open.
    pub fn is_open(&self) -> bool {
        self.lock().open
    }

    /// A request begins or ends at a rank.
    pub fn adjust_active(&self, rank: usize, change: i32) {
        let mut state = self.lock();
        let active = &mut state.ranks[rank].active;
        *active = active.saturating_add_signed(change);
    }

    /// An event of a stream was made at a rank: its experts were chosen.
    pub fn count_choices(&self, rank: usize) {
        let mut state = self.lock();
        let (sets, experts, ..) = SHAPE;
        let popular = usize::from(state.popular);
        let ranks = state.ranks.len();
        for set in 0..sets {
            // Seven in eight choices fall on experts that are dealt to one rank.
            for near in 0..4 {
                let expert = (popular + near * ranks) % experts;
                state.ranks[rank].counts[set * experts + expert] += CHOICES * 7 / 32;
            }
            for expert in 0..experts {
                state.ranks[rank].counts[set * experts + expert] += CHOICES / 8 / experts as u64;
            }
        }
    }

    /// Keeps what a request looked like.
    pub fn record_request(&self, request: Value) {
        self.lock().requests.push(request);
    }

    /// A server ends under a request with that body: its group breaks.
    pub fn record_end(&self, server: &str, body: &str) {
        let mut state = self.lock();
        state.open = false;
        let arrivals = state.requests.len();
        let end = json!({ "server": server, "body": body, "arrivals": arrivals, "back": false });
        state.ends.push(end);
    }

    /// A request reached the run of a server that it was meant for. Returns the time after which to come back, as the
    /// header says it, where the request is to be refused.
    pub fn record_arrival(&self, server: &str, request: &str) -> Option<String> {
        self.lock().record_arrival(server, request)
    }

    /// What a server says of itself in its answer to a request.
    pub fn notice(&self, server: &str, request: &str) -> Notice {
        self.lock().notice(server, request)
    }

    /// Whether a server says that it leaves.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.lock().leaving.contains(server)
    }

    /// A server that had ended is back; a lock-step group forms anew.
    pub fn restart(&self, server: &str, lockstep: bool) {
        let mut state = self.lock();
        state.start(server);
        for end in state.ends.iter_mut().filter(|end| end["server"] == server) {
            end["back"] = json!(true);
        }
        if lockstep {
            state.form();
        }
    }

    /// Report of a rank.
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
            "size": state.ranks.len(),
            "busy": false,
            "seq": own.orders,
            "queued": 0,
            "active": own.active,
            "pace": 1.0,
            "step": state.pass,
            "map": own.map.version,
            "prepared": own.prepared.as_ref().map(|prepared| prepared.version),
            "armed": own.armed.map(|(version, step)| json!({ "version": version, "step": step })),
            "held": own.held,
        })
    }

    /// Counts of a rank, or the experts that it holds.
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

    /// Takes an order; `None` where it gets no answer.
    pub async fn order(&self, rank: usize, order: Order) -> Option<u16> {
        let fate = self.lock().fate();
        match fate {
            Fate::Answered => {}
            Fate::Lost => return None,
            Fate::Late => {
                let group = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(LATE).await;
                    group.take(rank, &order);
                });
                return None;
            }
        }
        Some(self.take(rank, &order))
    }

    fn take(&self, rank: usize, order: &Order) -> u16 {
        let prepared = {
            let mut state = self.lock();
            if order.op == "prepare" {
                state.check_prepare(rank, order)
            } else {
                return state.take(rank, order);
            }
        };
        let Ok(map) = prepared else { return 409 };
        let group = self.clone();
        let epoch = order.epoch;
        tokio::spawn(async move {
            tokio::time::sleep(COPY).await;
            let mut state = group.lock();
            if epoch == Some(state.epoch) && state.ranks[rank].highest == map.version {
                state.ranks[rank].prepared = Some(map);
            }
        });
        202
    }

    /// Answers a call to the control address.
    pub fn control(&self, path: &str, query: &BTreeMap<String, String>) -> Value {
        let mut state = self.lock();
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        match path {
            "/orders" => (state.lost, state.late) = (number("lost"), number("late")),
            "/popular" => state.popular = number("expert") as u16,
            "/break" => state.open = false,
            "/mend" => state.form(),
            "/shed" => state.set_shed(query),
            "/leave" => state.set_leaving(query),
            "/limit" => state.set_limit(query),
            "/requests" => return Value::Array(state.requests.clone()),
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

enum Fate {
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
            self.start(server);
        }
    }

    fn set_limit(&mut self, query: &BTreeMap<String, String>) {
        let Some(server) = query.get("server") else { return };
        match query.get("rate").filter(|rate| !rate.is_empty()) {
            Some(rate) => self.limits.insert(server.clone(), rate.clone()),
            None => self.limits.remove(server),
        };
    }

    /// A server starts again: what it said before is over.
    fn start(&mut self, server: &str) {
        self.leaving.remove(server);
        self.limits.remove(server);
        *self.starts.entry(server.to_owned()).or_default() += 1;
    }

    fn record_arrival(&mut self, server: &str, request: &str) -> Option<String> {
        let own = if self.sheds.contains_key(server) { server } else { ALL };
        let shed = self.sheds.get_mut(own).and_then(|shed| {
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

    /// What a server says of itself in its answer to a request, which is kept with the
    /// request's visit.
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

    fn form(&mut self) {
        let ranks = self.ranks.len();
        self.epoch += 1;
        self.open = true;
        for (rank, own) in self.ranks.iter_mut().enumerate() {
            let counts = std::mem::take(&mut own.counts);
            let active = own.active;
            let map = Map { experts: dealt(rank, ranks), ..Map::default() };
            *own = Rank { map, counts, active, ..Rank::default() };
            own.counts.resize(SHAPE.0 * SHAPE.1, 0);
        }
    }

    /// Begins a pass, unless one is held or nothing runs.
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
                rank.map = rank.prepared.take().expect("an armed rank is prepared");
                self.switches += 1;
            }
        }
        // Maps are compared to the letter: two of one version may differ too.
        let maps: BTreeSet<(u64, u64)> =
            self.ranks.iter().map(|rank| (rank.map.version, rank.map.content)).collect();
        self.violations += u64::from(maps.len() > 1);
        true
    }

    fn fate(&mut self) -> Fate {
        self.given += 1;
        let each = |nth: u64| nth > 0 && self.given.is_multiple_of(nth);
        match () {
            () if each(self.lost) => Fate::Lost,
            () if each(self.late) => Fate::Late,
            () => Fate::Answered,
        }
    }

    fn fits(&self, rank: usize, order: &Order) -> bool {
        let epoch = order.epoch.is_none_or(|epoch| epoch == self.epoch);
        let own = &self.ranks[rank];
        epoch && self.open && order.expected_rev.is_none_or(|orders| orders == own.orders)
    }

    fn check_prepare(&mut self, rank: usize, order: &Order) -> Result<Map, ()> {
        let fits = self.fits(rank, order);
        let (.., placements, spare) = SHAPE;
        let own = &mut self.ranks[rank];
        let version = order.version.unwrap_or(0);
        let map = order.map.as_ref().ok_or(())?;
        let experts: Experts = map.iter().map(|set| set[rank].clone()).collect();
        let within = experts.iter().zip(&own.map.experts).all(|(new, old)| {
            let taken = new.iter().filter(|expert| !old.contains(expert)).count();
            new.len() <= placements && taken <= spare
        });
        if !fits || !within || version <= own.highest || own.armed.is_some() {
            return Err(());
        }
        own.highest = version;
        own.prepared = None;
        let mut hasher = std::hash::DefaultHasher::new();
        map.hash(&mut hasher);
        Ok(Map { version, experts, content: hasher.finish() })
    }

    fn take(&mut self, rank: usize, order: &Order) -> u16 {
        let fits = self.fits(rank, order);
        let pass = self.pass;
        let own = &mut self.ranks[rank];
        let version = order.version.unwrap_or(0);
        let step = order.step.unwrap_or(0);
        if !fits {
            return 409;
        }
        let accepted = match order.op.as_str() {
            "arm" => {
                let fits =
                    own.prepared.as_ref().is_some_and(|p| p.version == version) && step > pass;
                own.armed = if fits { Some((version, step)) } else { own.armed };
                fits
            }
            "disarm" => {
                let fits = own.armed.is_some_and(|(armed, _)| armed == version);
                own.armed = if fits { None } else { own.armed };
                fits
            }
            "hold" => {
                let fits = step > pass && own.held.is_none_or(|held| held == step);
                own.held = if fits { Some(step) } else { own.held };
                fits
            }
            "go" => {
                own.held = own.held.filter(|held| *held != step);
                true
            }
            _ => return 400,
        };
        if accepted { 202 } else { 409 }
    }
}
