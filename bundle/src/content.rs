//! Content of a bundle, parsed from its TOML text and checked.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error;

/// Maximum size of a bundle's text, in bytes. A value of the platform holds a megabyte, and the
/// signatures and the JSON form need the rest.
pub const MAX_SIZE: usize = 900 * 1024;

/// Content of a bundle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Content {
    /// Deployment that the bundle is for.
    pub deployment: Arc<str>,
    /// Limits and weights of expert placement.
    #[serde(default)]
    pub placement: Placement,
    /// Models, each served by groups of ranks.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Plain services, which run beside the model engines.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Request classes.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// Teams that send requests.
    #[serde(default, rename = "team")]
    pub teams: Vec<Team>,
    /// Hosts whose backend servers must get no new requests.
    #[serde(default)]
    pub leaving: Vec<Arc<str>>,
}

/// Limits of expert placement and the weights of its costs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placement {
    /// Interval between two decisions, in seconds.
    pub interval_s: u32,
    /// Maximum number of expert loads that one decision may order for a group.
    pub moves: u32,
    /// Maximum number of copies of one expert.
    pub replicas: u32,
    /// Number of expert slots on each rank and layer beyond an even share.
    pub spare_slots: u32,
    /// Weight of step-time skew.
    pub skew_weight: f64,
    /// Weight of the cost of rebalancing.
    pub cost_weight: f64,
}

impl Default for Placement {
    fn default() -> Placement {
        Placement {
            interval_s: 60,
            moves: 64,
            replicas: 4,
            spare_slots: 1,
            skew_weight: 1.0,
            cost_weight: 1.0,
        }
    }
}

/// A model with its version, its adapters and the shape of its groups.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers give in requests.
    pub name: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Adapters, which callers may name instead of the model.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Rank groups that serve the model.
    pub groups: Vec<Arc<str>>,
    /// Number of layers with experts.
    pub layers: u32,
    /// Number of experts of each layer.
    pub experts: u32,
    /// Class of a request that names none.
    pub class: Arc<str>,
}

/// A plain service beside the model engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service in request paths and in the host list.
    pub name: Arc<str>,
    /// Class of a request that names none.
    pub class: Arc<str>,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name that callers give in requests.
    pub name: Arc<str>,
    /// Precedence among the classes; 0 is dispatched first.
    pub precedence: u32,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u32,
}

/// A team with its share and its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: Arc<str>,
    /// SHA-256 digest of the team's bearer token, in hexadecimal.
    pub token_sha256: String,
    /// Weight of the team's share of the capacity, relative to the other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of the team's requests that may be in flight or waiting at one entry host.
    #[serde(default = "default_limit")]
    pub limit: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_limit() -> u32 {
    256
}

/// Maximum number of layers, experts, replicas or spare slots.
const MAX_COUNT: f64 = 4096.0;
/// Parts of the store's keys that follow the name of a deployment and precede other names. A name
/// with one of them after a `/` would share keys with the deployment before the `/`. Other names
/// with `/` are allowed, as deployments may have them.
const KEY_PARTS: [&str; 3] = ["history", "maps", "proposals"];
/// Parts of the store's keys that gateways and sidecars use in the place of a deployment's name.
const OWN_KEYS: [&str; 6] = ["drivers", "ends", "gateways", "groups", "lifted", "parts"];
/// Maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: f64 = 3_600_000.0;

impl Content {
    /// Parses and checks a bundle's text.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the text violates, with the line of a syntax error.
    pub fn parse(text: &str) -> Result<Content, error::Error> {
        if text.len() > MAX_SIZE {
            return Err(error::Error::Size { size: text.len(), limit: MAX_SIZE });
        }
        let content: Content = toml::from_str(text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            let line = 1 + text.as_bytes()[..start].iter().filter(|b| **b == b'\n').count();
            error::Error::Syntax { line, reason: error.message().to_owned() }
        })?;
        content.check()?;
        Ok(content)
    }

    /// Checks the rules that the syntax does not express: names are unique, references are
    /// declared, numbers are in range.
    fn check(&self) -> Result<(), error::Error> {
        unique("class", self.classes.iter().map(|class| &class.name))?;
        unique("team", self.teams.iter().map(|team| &team.name))?;
        let models = self.models.iter().flat_map(|m| std::iter::once(&m.name).chain(&m.adapters));
        unique("model", models.chain(self.services.iter().map(|service| &service.name)))?;
        unique("group", self.models.iter().flat_map(|model| &model.groups))?;
        self.check_placement()?;
        for model in &self.models {
            self.declared_class("model", &model.name, &model.class)?;
            range("model", &model.name, "layers", model.layers, 1.0, MAX_COUNT)?;
            range("model", &model.name, "experts", model.experts, 1.0, MAX_COUNT)?;
        }
        for service in &self.services {
            self.declared_class("service", &service.name, &service.class)?;
        }
        for class in &self.classes {
            range("class", &class.name, "deadline_ms", class.deadline_ms, 1.0, MAX_DEADLINE_MS)?;
        }
        self.teams.iter().try_for_each(check_team)
    }

    fn check_placement(&self) -> Result<(), error::Error> {
        let name: Arc<str> = "placement".into();
        let rules = &self.placement;
        range("section", &name, "interval_s", rules.interval_s, 1.0, 86_400.0)?;
        range("section", &name, "moves", rules.moves, 0.0, 1e6)?;
        range("section", &name, "replicas", rules.replicas, 1.0, MAX_COUNT)?;
        range("section", &name, "spare_slots", rules.spare_slots, 0.0, MAX_COUNT)?;
        range("section", &name, "skew_weight", rules.skew_weight, 0.0, 1e6)?;
        range("section", &name, "cost_weight", rules.cost_weight, 0.0, 1e6)
    }

    fn declared_class(
        &self,
        kind: &'static str,
        name: &Arc<str>,
        class: &Arc<str>,
    ) -> Result<(), error::Error> {
        if self.classes.iter().any(|known| known.name == *class) {
            return Ok(());
        }
        Err(error::Error::Undeclared { kind, name: name.clone(), target: class.clone() })
    }

    /// Checks that the names can be used in keys of the store and in paths of requests. Operators'
    /// commands call it before a bundle is proposed or approved. Processes do not: a bundle in force
    /// must be valid for all of them, also for those of releases without this check.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Name`] for the first name that cannot be used.
    pub fn check_names(&self) -> Result<(), error::Error> {
        let error = |kind, name: &Arc<str>, reason| {
            Err(error::Error::Name { kind, name: name.clone(), reason })
        };
        let mut parts = self.deployment.split('/');
        let own = parts.next().is_some_and(|first| OWN_KEYS.contains(&first));
        if own || parts.any(|part| KEY_PARTS.contains(&part)) {
            let reason = "its keys in the store are those of others";
            return error("deployment", &self.deployment, reason);
        }
        for service in &self.services {
            // Clients remove these from a path, percent-encoded or not.
            if matches!(&*service.name, "" | "." | "..") {
                return error("service", &service.name, "no request path can name it");
            }
        }
        Ok(())
    }

    /// Returns the model that a caller's name refers to. The name is that of a model or an adapter,
    /// optionally with `@version`, which must be the version in force.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let (base, version) = name.split_once('@').map_or((name, None), |(b, v)| (b, Some(v)));
        self.models
            .iter()
            .find(|model| *model.name == *base || model.adapters.iter().any(|a| **a == *base))
            .filter(|model| version.is_none_or(|version| *model.version == *version))
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }

    /// Returns the class with the given name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| *class.name == *name)
    }

    /// Returns the model that the group serves.
    pub fn model_of_group(&self, group: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.groups.iter().any(|known| **known == *group))
    }
}

fn check_team(team: &Team) -> Result<(), error::Error> {
    range("team", &team.name, "weight", team.weight, 1.0, 1e6)?;
    range("team", &team.name, "limit", team.limit, 1.0, 1e6)?;
    let digits = team.token_sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
    if team.token_sha256.len() == 64 && digits {
        return Ok(());
    }
    Err(error::Error::Token { name: team.name.clone() })
}

fn unique<'a>(
    kind: &'static str,
    names: impl Iterator<Item = &'a Arc<str>>,
) -> Result<(), error::Error> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(error::Error::Duplicate { kind, name: name.clone() });
        }
    }
    Ok(())
}

fn range(
    kind: &'static str,
    name: &Arc<str>,
    key: &'static str,
    value: impl Into<f64>,
    low: f64,
    high: f64,
) -> Result<(), error::Error> {
    let value = value.into();
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(error::Error::Range { kind, name: name.clone(), key, value, low, high })
}

impl fmt::Display for Content {
    /// Writes a line for each entry, in the order of the text. `bundle diff` compares these lines.
    /// Names that could be taken for further lines or fields are quoted.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "deployment {}", Quoted(&self.deployment))?;
        let p = &self.placement;
        writeln!(
            f,
            "placement interval_s={} moves={} replicas={} spare_slots={} skew_weight={} cost_weight={}",
            p.interval_s, p.moves, p.replicas, p.spare_slots, p.skew_weight, p.cost_weight
        )?;
        for m in &self.models {
            writeln!(
                f,
                "model {} version={} adapters={} groups={} layers={} experts={} class={}",
                Quoted(&m.name),
                Quoted(&m.version),
                join(&m.adapters),
                join(&m.groups),
                m.layers,
                m.experts,
                Quoted(&m.class)
            )?;
        }
        for s in &self.services {
            writeln!(f, "service {} class={}", Quoted(&s.name), Quoted(&s.class))?;
        }
        for c in &self.classes {
            writeln!(
                f,
                "class {} precedence={} repeatable={} deadline_ms={}",
                Quoted(&c.name),
                c.precedence,
                c.repeatable,
                c.deadline_ms
            )?;
        }
        for t in &self.teams {
            let token = &t.token_sha256[..8];
            writeln!(
                f,
                "team {} weight={} limit={} token_sha256={token}..",
                Quoted(&t.name),
                t.weight,
                t.limit
            )?;
        }
        for host in &self.leaving {
            writeln!(f, "leaving {}", Quoted(host))?;
        }
        Ok(())
    }
}

/// A name as a field of a line: quoted if it is empty or has other characters than letters, digits
/// and the punctuation that is usual in names.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let usual = |char: char| char.is_alphanumeric() || "-_.:/@+".contains(char);
        if !self.0.is_empty() && self.0.chars().all(usual) {
            return f.write_str(self.0);
        }
        write!(f, "{:?}", self.0)
    }
}

fn join(names: &[Arc<str>]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| Quoted(name).to_string()).collect();
    quoted.join(",")
}
