//! What the platform tells a scheduler at its start.

use mintlb_http::list_service::ListMessage;
use mintlb_scheduler::settings::FlatSettings;
use nix::sys::resource::{Resource, getrlimit};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};

/// Where this scheduler runs, and as what.
#[derive(Debug, Deserialize)]
pub struct Placement {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they can.
    pub ops: Option<SocketAddr>,
    pub seed: String,
    pub limits: Machine,
    /// The list of workers as it was last had; it may be old.
    pub known: Option<ListMessage>,
    pub settings: Value,
    /// The clients' listening socket, where the platform has passed it on.
    #[serde(skip)]
    pub passed: Option<TcpListener>,
    /// The keys of the file, those of objects within objects by their path.
    #[serde(skip)]
    keys: BTreeSet<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Machine {
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Machine {
    /// What of it the system lets this process have: descriptors that it refuses are in no part's grant, or who takes
    /// them first would leave the others none.
    pub fn within_system(self) -> Machine {
        let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        Machine {
            sockets: self
                .sockets
                .min(usize::try_from(limit).unwrap_or(usize::MAX)),
            ..self
        }
    }
}

/// The settings that a new configuration may change while it serves, by the table that they stand in.
const CHANGING: [(&str, &[&str]); 4] = [
    ("", &["project_types", "excess_credit"]),
    ("family_info", &["class_kind", "class_stretch"]),
    (
        "permissions",
        &[
            "most_allocations",
            "parallel_tries",
            "may_cancel",
            "retry_after",
            "max_retry_after",
            "peers",
        ],
    ),
    ("prices", &["cross_zone", "peer"]),
];

impl Placement {
    pub fn read(path: &str) -> Result<Placement, String> {
        let json =
            std::fs::read_to_string(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        Placement::parse(&json).map_err(|e| format!("{path}: {e}"))
    }

    pub fn parse(json: &str) -> Result<Placement, String> {
        let mut read = serde_json::Deserializer::from_str(json);
        let mut placement: Placement =
            serde_path_to_error::deserialize(&mut read).map_err(|e| e.to_string())?;
        read.end().map_err(|e| e.to_string())?;
        placement.seed()?;
        let whole: Value = serde_json::from_str(json).map_err(|e| e.to_string())?;
        keys("", &whole, &mut placement.keys);
        Ok(placement)
    }

    /// A key that this one has and another lacks. What may be left out at a start may not be lost on the way: a
    /// file without it is not whole. `known` is for a start only.
    pub fn lost<'a>(&'a self, new: &'a Placement) -> Option<&'a str> {
        let lost = self.keys.difference(&new.keys).map(String::as_str);
        lost.filter(|key| *key != "known" && !key.starts_with("known."))
            .min_by_key(|key| key.len())
    }

    /// From now on the list's address is the new one's, and its keys are what the next one is held to. Whether the
    /// address is another.
    pub fn take(&mut self, new: Placement) -> bool {
        let moved = self.discovery != new.discovery;
        (self.discovery, self.keys) = (new.discovery, new.keys);
        moved
    }

    /// What of another configuration can't hold before the next start. The seed is new each time, the list that is
    /// known is older than the one that is followed, and of the settings the project types and their terms are taken.
    pub fn differs(&self, new: &Placement) -> Vec<String> {
        let fields = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.ops != new.ops),
            ("limits", self.limits != new.limits),
        ];
        let fields = fields
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(field, _)| field.to_string());
        let (old, new) = (self.lasting(), new.lasting());
        let mut differing = Vec::new();
        differ("settings", &old, &new, &mut differing);
        fields.chain(differing).collect()
    }

    /// The settings that hold until the next start.
    fn lasting(&self) -> Value {
        let mut settings = self.settings.clone();
        for (table, fields) in CHANGING {
            let of = if table.is_empty() {
                Some(&mut settings)
            } else {
                settings.get_mut(table)
            };
            if let Some(of) = of.and_then(Value::as_object_mut) {
                fields.iter().for_each(|field| drop(of.remove(*field)));
            }
            // A table that has nothing else is as none.
            if let Some(all) = settings
                .as_object_mut()
                .filter(|all| all.get(table) == Some(&json!({})))
            {
                all.remove(table);
            }
        }
        settings
    }

    pub fn seed(&self) -> Result<u64, String> {
        u64::from_str_radix(&self.seed, 16)
            .map_err(|e| format!("seed: {:?} is no number: {e}", self.seed))
    }

    /// The settings by path, as the decisions read them. On sockets the list must always be asked for, and schedulers
    /// have no way to tell one another anything, whatever is permitted.
    pub fn text(&self) -> FlatSettings {
        let mut pairs = Vec::new();
        flatten("", &self.settings, &mut pairs);
        // What a list that is pushed has counts as told from the first moment and without a watch, so that the grace is
        // the time for asking.
        let has =
            |path: &str, held: &str| pairs.iter().any(|(p, value)| p == path && value == held);
        let grace = pairs
            .iter()
            .find(|(path, _)| path == "rules.drain_grace")
            .map(|(_, value)| value.clone());
        if let Some(grace) = grace.filter(|_| has("discovery", "pushed")) {
            pairs.push(("rules.ask_within".into(), grace));
        }
        pairs.push(("discovery".into(), "on_request".into()));
        let peers = pairs
            .iter_mut()
            .find(|(path, value)| path == "permissions.peers" && value == "true");
        peers
            .into_iter()
            .for_each(|(_, value)| *value = "false".into());
        pairs.into_iter().collect()
    }
}

/// The paths at which two values differ, as deep as both are objects.
fn differ(path: &str, old: &Value, new: &Value, found: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            let all: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            let of = |fields: &serde_json::Map<String, Value>, key: &String| {
                fields.get(key).cloned().unwrap_or_default()
            };
            all.iter()
                .for_each(|key| differ(&format!("{path}.{key}"), &of(a, key), &of(b, key), found));
        }
        _ if old != new => found.push(path.to_string()),
        _ => {}
    }
}

/// The keys of objects within objects; what lists hold has its own fields.
fn keys(path: &str, value: &Value, found: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        keys(&path, value, found);
        found.insert(path);
    }
}

/// Nested values by path: plain lists joined with commas, lists of objects counted and numbered.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let below = |key: &str| {
        if path.is_empty() {
            key.to_string()
        } else {
            format!("{path}.{key}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(key, v)| flatten(&below(key), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((below("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| flatten(&below(&i.to_string()), v, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.push((path.into(), items.join(",")));
        }
        _ => pairs.push((path.into(), plain(value))),
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string)
}
