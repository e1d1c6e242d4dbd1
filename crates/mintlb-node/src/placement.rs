//! What the platform tells a scheduler at its start.

use mintlb::settings::Text;
use mintlb_http::list::Listing;
use serde::Deserialize;
use serde_json::Value;
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
    pub known: Option<Listing>,
    pub settings: Value,
    /// The clients' listening socket, where the platform has passed it on.
    #[serde(skip)]
    pub passed: Option<TcpListener>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Machine {
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Placement {
    pub fn read(path: &str) -> Result<Placement, String> {
        let json = std::fs::read_to_string(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        Placement::parse(&json).map_err(|e| format!("{path}: {e}"))
    }

    pub fn parse(json: &str) -> Result<Placement, String> {
        let mut json = serde_json::Deserializer::from_str(json);
        let placement: Placement = serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())?;
        placement.seed()?;
        Ok(placement)
    }

    /// What of another configuration can't hold before the next start. The seed is new each time, and the
    /// list that is known is older than the one that is followed.
    pub fn differs(&self, new: &Placement) -> Vec<&'static str> {
        let fields = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.ops != new.ops),
            ("limits", self.limits != new.limits),
            ("settings", self.settings != new.settings),
        ];
        fields.into_iter().filter(|(_, differs)| *differs).map(|(field, _)| field).collect()
    }

    pub fn seed(&self) -> Result<u64, String> {
        u64::from_str_radix(&self.seed, 16).map_err(|e| format!("seed: {:?} is no number: {e}", self.seed))
    }

    /// The settings by path, as the decisions read them. On sockets the list must always be asked for.
    pub fn text(&self) -> Text {
        let mut pairs = Vec::new();
        flatten("", &self.settings, &mut pairs);
        pairs.push(("discovery".into(), "on_request".into()));
        pairs.into_iter().collect()
    }
}

/// Nested values by path: plain lists joined with commas, lists of objects counted and numbered.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, v)| flatten(&below(key), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((below("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.push((path.into(), items.join(",")));
        }
        _ => pairs.push((path.into(), plain(value))),
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}
