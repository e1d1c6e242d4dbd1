//! The configuration that the platform gives to a scheduler: one JSON file, read at start and at each reload.

use mintlb_http::list_service::ListMessage;
use mintlb_scheduler::settings::FlatSettings;
use nix::sys::resource::{Resource, getrlimit};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};

/// The contents of the configuration file.
#[derive(Debug, Deserialize)]
pub struct Configuration {
    /// The scheduler's name. Sibling processes on one listening socket have the same one.
    pub name: String,
    /// The address for clients, unless a listening socket is inherited.
    pub listen: SocketAddr,
    /// The address of the list service.
    pub discovery: SocketAddr,
    /// The address of the admin socket; without it there is none.
    pub ops: Option<SocketAddr>,
    /// The seed of the scheduler's random numbers, in hexadecimal.
    pub seed: String,
    pub limits: MachineLimits,
    /// The last known list of workers, which may be stale. Read at start only.
    #[serde(rename = "known")]
    pub known_workers: Option<ListMessage>,
    /// The scheduling rules, project types and permissions.
    pub settings: Value,
    /// The listening socket for clients, if the platform passed one to this process.
    #[serde(skip)]
    pub inherited_socket: Option<TcpListener>,
    /// The paths of all keys of the file.
    #[serde(skip)]
    keys: BTreeSet<String>,
}

/// The resources of the machine that the program may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct MachineLimits {
    pub memory_mb: usize,
    /// File descriptors.
    pub sockets: usize,
}

impl MachineLimits {
    /// The limits, with no more file descriptors than the system allows this process (`RLIMIT_NOFILE`). Descriptors
    /// beyond that must not be divided among the parts of the program: those that open theirs first would leave none
    /// for the others.
    pub fn capped_by_system(self) -> MachineLimits {
        let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        MachineLimits {
            sockets: self
                .sockets
                .min(usize::try_from(limit).unwrap_or(usize::MAX)),
            ..self
        }
    }
}

/// The settings that a reload can change, each list with the table that contains them; `""` is the top level.
const RELOADABLE_SETTINGS: [(&str, &[&str]); 4] = [
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

impl Configuration {
    /// Reads and parses the file at `path`.
    pub fn read(path: &str) -> Result<Configuration, String> {
        let json =
            std::fs::read_to_string(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        Configuration::parse(&json).map_err(|e| format!("{path}: {e}"))
    }

    /// Parses the file's text. An error names the path of the field.
    pub fn parse(json: &str) -> Result<Configuration, String> {
        let mut deserializer = serde_json::Deserializer::from_str(json);
        let mut configuration: Configuration =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|e| e.to_string())?;
        deserializer.end().map_err(|e| e.to_string())?;
        configuration.seed()?;
        let value: Value = serde_json::from_str(json).map_err(|e| e.to_string())?;
        collect_keys("", &value, &mut configuration.keys);
        Ok(configuration)
    }

    /// A key that this configuration has and `new` lacks, if there is one. Keys that are optional at start count, too,
    /// since a reloaded file without them is taken to be incomplete. `known` is exempt, as it is read at start only.
    pub fn missing_key<'a>(&'a self, new: &'a Configuration) -> Option<&'a str> {
        let missing = self.keys.difference(&new.keys).map(String::as_str);
        missing
            .filter(|key| *key != "known" && !key.starts_with("known."))
            .min_by_key(|key| key.len())
    }

    /// Takes over the list service's address and the keys of `new`; [`Configuration::missing_key`] holds the next
    /// reload to these keys. Returns whether the address has changed.
    pub fn apply(&mut self, new: Configuration) -> bool {
        let address_changed = self.discovery != new.discovery;
        (self.discovery, self.keys) = (new.discovery, new.keys);
        address_changed
    }

    /// The paths of the fields that differ in `new` and take effect only at a restart. Not compared are the seed,
    /// which is a new one in each file, and the known workers, which are older than the watched list.
    pub fn restart_only_changes(&self, new: &Configuration) -> Vec<String> {
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
        let (old, new) = (self.restart_only_settings(), new.restart_only_settings());
        let mut changed_settings = Vec::new();
        diff("settings", &old, &new, &mut changed_settings);
        fields.chain(changed_settings).collect()
    }

    /// The settings that a reload can't change.
    fn restart_only_settings(&self) -> Value {
        let mut settings = self.settings.clone();
        for (table, fields) in RELOADABLE_SETTINGS {
            let object = if table.is_empty() {
                Some(&mut settings)
            } else {
                settings.get_mut(table)
            };
            if let Some(object) = object.and_then(Value::as_object_mut) {
                fields.iter().for_each(|field| drop(object.remove(*field)));
            }
            // An empty table equals a missing one.
            if let Some(top_level) = settings
                .as_object_mut()
                .filter(|top_level| top_level.get(table) == Some(&json!({})))
            {
                top_level.remove(table);
            }
        }
        settings
    }

    /// The seed as a number.
    pub fn seed(&self) -> Result<u64, String> {
        u64::from_str_radix(&self.seed, 16)
            .map_err(|e| format!("seed: {:?} is not a hexadecimal number: {e}", self.seed))
    }

    /// The settings by path, as `mintlb-scheduler` reads them. Two of them are overridden: this program always has to
    /// ask the list service, and has no channel for messages between schedulers, whatever the file permits.
    pub fn scheduler_settings(&self) -> FlatSettings {
        let mut pairs = Vec::new();
        flatten("", &self.settings, &mut pairs);
        // Changes of a pushed list count as known at once, even before the watch is open, so the list has to be asked
        // for within the drain grace period.
        let has =
            |path: &str, text: &str| pairs.iter().any(|(p, value)| p == path && value == text);
        let drain_grace = pairs
            .iter()
            .find(|(path, _)| path == "rules.drain_grace")
            .map(|(_, value)| value.clone());
        if let Some(drain_grace) = drain_grace.filter(|_| has("discovery", "pushed")) {
            pairs.push(("rules.ask_within".into(), drain_grace));
        }
        pairs.push(("discovery".into(), "on_request".into()));
        let peer_messages = pairs
            .iter_mut()
            .find(|(path, value)| path == "permissions.peers" && value == "true");
        peer_messages
            .into_iter()
            .for_each(|(_, value)| *value = "false".into());
        pairs.into_iter().collect()
    }
}

/// Collects the paths at which two values differ, descending where both are objects.
fn diff(path: &str, old: &Value, new: &Value, found: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            let keys: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            let get = |fields: &serde_json::Map<String, Value>, key: &String| {
                fields.get(key).cloned().unwrap_or_default()
            };
            keys.iter()
                .for_each(|key| diff(&format!("{path}.{key}"), &get(a, key), &get(b, key), found));
        }
        _ if old != new => found.push(path.to_string()),
        _ => {}
    }
}

/// Collects the paths of all keys in nested objects. It does not descend into arrays, whose items may have different
/// fields.
fn collect_keys(path: &str, value: &Value, found: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        collect_keys(&path, value, found);
        found.insert(path);
    }
}

/// Flattens nested values to pairs of path and text. An array of scalars becomes one text with commas; an array of
/// objects becomes its `count` and the fields of each item under its index.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let child_path = |key: &str| {
        if path.is_empty() {
            key.to_string()
        } else {
            format!("{path}.{key}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(key, v)| flatten(&child_path(key), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((child_path("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| flatten(&child_path(&i.to_string()), v, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.push((path.into(), items.join(",")));
        }
        _ => pairs.push((path.into(), scalar_text(value))),
    }
}

fn scalar_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string)
}
