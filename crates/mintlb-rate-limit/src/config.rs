//! The table `[fleet]` of the operator's file, and what it comes to for one scheduler.

use crate::division::{Part, equal};
use crate::word::MOST;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;

/// The table as it is written. Times are seconds.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Words of a fleet with another name are not heard.
    #[serde(default = "name")]
    pub name: String,
    #[serde(default)]
    pub division: Division,
    /// Each scheduler of the fleet by its name, and the address (UDP) that it binds and its words come from.
    pub members: BTreeMap<String, SocketAddr>,
    /// Those of them that may divide, three or five: the others go by a majority of them.
    #[serde(default)]
    pub keepers: Vec<String>,
    /// For how long a member may spend what it was given when it hears nothing any more.
    #[serde(default = "lease")]
    pub lease: f64,
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

/// How the parts are made.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Division {
    /// Equal parts that never move, and need no word.
    Equal,
    /// Parts that follow the demand, for a lease at a time, by one of the keepers.
    #[default]
    Leases,
}

fn name() -> String {
    "mintlb".into()
}

fn lease() -> f64 {
    2.0
}

fn drift() -> f64 {
    0.001
}

/// What one scheduler does with it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberConfig {
    pub table: Config,
    /// Its own name, and where it binds.
    pub name: String,
    pub at: SocketAddr,
}

/// Seconds and rates that can be counted and bring something.
const LEASES: (f64, f64) = (0.2, 60.0);
const RATES: (f64, f64) = (0.01, 1e6);

impl MemberConfig {
    /// For the scheduler of this name. An error names the field.
    pub fn new(table: Config, name: &str) -> Result<MemberConfig, String> {
        let at = table.members.get(name).copied();
        let at = at.ok_or_else(|| format!("fleet.members: {name} is not among them"))?;
        let mut addresses = BTreeSet::new();
        for (name, at) in &table.members {
            if !addresses.insert(at) {
                return Err(format!(
                    "fleet.members.{name}: {at} is another member's, too"
                ));
            }
        }
        if !(0.0..0.5).contains(&table.drift) {
            return Err(format!(
                "fleet.drift: {} is none, from 0 up to 0.5 is needed",
                table.drift
            ));
        }
        let leases = table.division == Division::Leases;
        for (i, keeper) in table.keepers.iter().enumerate() {
            if !table.members.contains_key(keeper) || table.keepers[..i].contains(keeper) {
                return Err(format!(
                    "fleet.keepers[{i}]: {keeper:?} is no member, or named before"
                ));
            }
        }
        if leases && !matches!(table.keepers.len(), 1 | 3 | 5 | 7) {
            let n = table.keepers.len();
            return Err(format!(
                "fleet.keepers: {n} of them; three are needed, five for larger fleets"
            ));
        }
        if !(LEASES.0..=LEASES.1).contains(&table.lease) {
            let (least, most) = LEASES;
            return Err(format!(
                "fleet.lease: {} s is none, {least} to {most} is needed",
                table.lease
            ));
        }
        if table.budgets.len() > MOST {
            return Err(format!(
                "fleet.budgets: {} of them, {MOST} at most",
                table.budgets.len()
            ));
        }
        for (i, whole) in table.budgets.iter().enumerate() {
            let wrong =
                |field: &str, what: String| Err(format!("fleet.budgets[{i}].{field}: {what}"));
            if table.budgets[..i]
                .iter()
                .any(|other| other.name == whole.name)
            {
                return wrong(
                    "name",
                    format!("{:?} names another budget, too", whole.name),
                );
            }
            if whole.name.is_empty()
                || !whole
                    .name
                    .chars()
                    .all(|c| c.is_ascii_alphanumeric() || c == '-')
            {
                return wrong(
                    "name",
                    format!("{:?} is none: letters, digits and - make one", whole.name),
                );
            }
            if !(RATES.0..=RATES.1).contains(&whole.rate) {
                let (least, most) = RATES;
                return wrong(
                    "rate",
                    format!("{} is none, {least} to {most} is needed", whole.rate),
                );
            }
            // Less than one at once can never be spent.
            let least = if leases {
                1.0
            } else {
                table.members.len() as f64
            };
            if !(least..=RATES.1).contains(&whole.burst) {
                let why = format!(
                    "{} is none, {least} at least is needed: one for each part",
                    whole.burst
                );
                return wrong("burst", why);
            }
        }
        Ok(MemberConfig {
            name: name.to_string(),
            at,
            table,
        })
    }

    /// The part of a budget that is held without a word.
    pub fn unmoved(&self, whole: &Whole) -> Part {
        match self.table.division {
            Division::Equal => equal(whole, self.table.members.len()),
            Division::Leases => Part::NONE,
        }
    }
}

impl Display for MemberConfig {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        let Config {
            name,
            members,
            keepers,
            lease,
            division,
            ..
        } = &self.table;
        writeln!(
            f,
            "fleet {name}: {} binds {}, one of {} members",
            self.name,
            self.at,
            members.len()
        )?;
        match division {
            Division::Equal => writeln!(f, "equal parts, which never move")?,
            Division::Leases => {
                writeln!(f, "parts for {lease} s, by one of {}", keepers.join(", "))?
            }
        }
        self.table.budgets.iter().try_for_each(|whole| {
            let Whole {
                name,
                limits,
                rate,
                burst,
            } = whole;
            let part = self.unmoved(whole);
            let own = match division {
                Division::Equal => format!("; here {} and {}", part.rate, part.burst),
                Division::Leases => String::new(),
            };
            writeln!(
                f,
                "budget {name} ({limits:?}): {rate} a second, {burst} at once{own}"
            )
        })
    }
}
