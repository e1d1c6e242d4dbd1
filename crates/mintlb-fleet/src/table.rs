//! The table `[fleet]` of the operator's file, and what it comes to for one scheduler.

use crate::division::{Part, equal};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;

/// The table as it is written. Times are seconds.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Each scheduler of the fleet by its name, and the address (UDP) that it binds and its words come from.
    pub members: BTreeMap<String, SocketAddr>,
    /// A second of a member's clock is at most this much longer or shorter than a true one, in parts of it.
    #[serde(default = "drift")]
    pub drift: f64,
    #[serde(default)]
    pub budgets: Vec<Whole>,
}

/// One limit of the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Whole {
    pub name: String,
    pub limits: Limits,
    /// So many a second, over the whole fleet.
    pub rate: f64,
    /// And so many at once after a pause.
    pub burst: f64,
}

/// What is limited.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Limits {
    /// Allocations after a work unit's first: retries and second copies.
    Again,
}

fn drift() -> f64 {
    0.001
}

/// What one scheduler does with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub table: Table,
    /// Its own name, and where it binds.
    pub name: String,
    pub at: SocketAddr,
}

impl Plan {
    /// For the scheduler of this name. An error names the field.
    pub fn new(table: Table, name: &str) -> Result<Plan, String> {
        let at = table.members.get(name).copied();
        let at = at.ok_or_else(|| format!("fleet.members: {name} is not among them"))?;
        let mut addresses = BTreeSet::new();
        for (name, at) in &table.members {
            if !addresses.insert(at) {
                return Err(format!("fleet.members.{name}: {at} is another member's, too"));
            }
        }
        if !(0.0..0.5).contains(&table.drift) {
            return Err(format!("fleet.drift: {} is none, from 0 up to 0.5 is needed", table.drift));
        }
        for (i, whole) in table.budgets.iter().enumerate() {
            let wrong = |field: &str, what: String| Err(format!("fleet.budgets[{i}].{field}: {what}"));
            if table.budgets[..i].iter().any(|other| other.name == whole.name) {
                return wrong("name", format!("{:?} names another budget, too", whole.name));
            }
            if whole.name.is_empty() || !whole.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') {
                return wrong("name", format!("{:?} is none: letters, digits and - make one", whole.name));
            }
            if !(whole.rate.is_finite() && whole.rate > 0.0) {
                return wrong("rate", format!("{} is none, over 0 is needed", whole.rate));
            }
            let least = table.members.len() as f64;
            if !(whole.burst.is_finite() && whole.burst >= least) {
                let why = format!("{} is too little, {least} at least: one for each member", whole.burst);
                return wrong("burst", why);
            }
        }
        Ok(Plan { name: name.to_string(), at, table })
    }

    /// The part of each budget that is held without a word.
    pub fn parts(&self) -> impl Iterator<Item = (&Whole, Part)> {
        let among = self.table.members.len();
        self.table.budgets.iter().map(move |whole| (whole, equal(whole, among)))
    }
}

impl Display for Plan {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        writeln!(f, "fleet: {} binds {}, one of {} members", self.name, self.at, self.table.members.len())?;
        self.parts().try_for_each(|(whole, part)| {
            let Whole { name, limits, rate, burst } = whole;
            writeln!(
                f,
                "budget {name} ({limits:?}): {rate} a second, {burst} at once; here {} and {}",
                part.rate, part.burst
            )
        })
    }
}
