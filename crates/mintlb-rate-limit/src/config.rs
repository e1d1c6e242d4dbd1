//! The settings of a fleet, the table `[fleet]` of the operator's file, and their validation for one scheduler.

use crate::message::MAX_BUDGETS;
use crate::share::{Share, equal_share};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;

/// The settings as they are written in the file. Times are in seconds.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Messages of a fleet with another name are dropped.
    #[serde(default = "default_name")]
    pub name: String,
    #[serde(default)]
    pub division: Division,
    /// The schedulers of the fleet by name, each with the UDP address that it binds and sends from.
    pub members: BTreeMap<String, SocketAddr>,
    /// The members that elect one of themselves as coordinator by a majority: usually three, or five in larger fleets.
    #[serde(default, rename = "keepers")]
    pub voters: Vec<String>,
    /// How long a member that receives no more messages may use the shares that it was last granted.
    #[serde(default = "default_lease")]
    pub lease: f64,
    /// The largest relative error of a member's clock: one of its seconds lasts `1 - drift` to `1 + drift` true
    /// seconds.
    #[serde(default = "default_drift")]
    pub drift: f64,
    #[serde(default)]
    pub budgets: Vec<BudgetConfig>,
}

/// A limit of the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BudgetConfig {
    pub name: String,
    #[serde(rename = "limits")]
    pub scope: BudgetScope,
    /// Tokens per second, over the whole fleet.
    pub rate: f64,
    /// Tokens that may be spent at once after a pause, over the whole fleet.
    pub burst: f64,
}

/// What a budget limits. The names of the variants are part of the budgets' keys, on which all members must agree.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetScope {
    /// Attempts after the first one of a work unit: retries and duplicates.
    Again,
}

/// How a budget is divided into shares.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Division {
    /// Equal shares that never change. Members exchange no messages.
    Equal,
    /// Shares that follow the demand, granted by the coordinator for a lease at a time.
    #[default]
    Leases,
}

fn default_name() -> String {
    "mintlb".into()
}

fn default_lease() -> f64 {
    2.0
}

fn default_drift() -> f64 {
    0.001
}

/// The validated settings of one scheduler in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberConfig {
    pub fleet: Config,
    /// The scheduler's own name, a key of the members.
    pub name: String,
    /// The UDP address that it binds.
    pub address: SocketAddr,
}

/// The range of a lease, in seconds.
const LEASE_RANGE: (f64, f64) = (0.2, 60.0);
/// The range of a budget's rate, in tokens per second: its thousandths fit into 32 bits, and are not 0. The upper bound
/// is that of its burst, too.
const RATE_RANGE: (f64, f64) = (0.01, 1e6);

impl MemberConfig {
    /// Validates the settings for the scheduler of this name. An error begins with the path of the wrong field.
    pub fn new(fleet: Config, name: &str) -> Result<MemberConfig, String> {
        let address = fleet.members.get(name).copied();
        let address = address
            .ok_or_else(|| format!("fleet.members: no entry for this scheduler, {name:?}"))?;
        let mut addresses = BTreeSet::new();
        for (name, address) in &fleet.members {
            if !addresses.insert(address) {
                return Err(format!(
                    "fleet.members.{name}: {address} is also the address of another member"
                ));
            }
        }
        if !(0.0..0.5).contains(&fleet.drift) {
            return Err(format!(
                "fleet.drift: {} is out of range; must be at least 0 and below 0.5",
                fleet.drift
            ));
        }
        let uses_leases = fleet.division == Division::Leases;
        for (i, voter) in fleet.voters.iter().enumerate() {
            if !fleet.members.contains_key(voter) || fleet.voters[..i].contains(voter) {
                return Err(format!(
                    "fleet.keepers[{i}]: {voter:?} is not a member, or is listed twice"
                ));
            }
        }
        if uses_leases && !matches!(fleet.voters.len(), 1 | 3 | 5 | 7) {
            let n = fleet.voters.len();
            return Err(format!(
                "fleet.keepers: {n} listed; must be 1, 3, 5 or 7: use 3, or 5 in larger fleets"
            ));
        }
        if !(LEASE_RANGE.0..=LEASE_RANGE.1).contains(&fleet.lease) {
            let (min, max) = LEASE_RANGE;
            return Err(format!(
                "fleet.lease: {} s is out of range; must be {min} to {max} s",
                fleet.lease
            ));
        }
        if fleet.budgets.len() > MAX_BUDGETS {
            return Err(format!(
                "fleet.budgets: {} listed; at most {MAX_BUDGETS} are supported",
                fleet.budgets.len()
            ));
        }
        for (i, budget) in fleet.budgets.iter().enumerate() {
            let invalid =
                |field: &str, reason: String| Err(format!("fleet.budgets[{i}].{field}: {reason}"));
            if fleet.budgets[..i]
                .iter()
                .any(|other| other.name == budget.name)
            {
                return invalid(
                    "name",
                    format!("{:?} is also the name of another budget", budget.name),
                );
            }
            if budget.name.is_empty()
                || !budget
                    .name
                    .chars()
                    .all(|c| c.is_ascii_alphanumeric() || c == '-')
            {
                return invalid(
                    "name",
                    format!("{:?} is not valid; use letters, digits and -", budget.name),
                );
            }
            if !(RATE_RANGE.0..=RATE_RANGE.1).contains(&budget.rate) {
                let (min, max) = RATE_RANGE;
                return invalid(
                    "rate",
                    format!("{} is out of range; must be {min} to {max}", budget.rate),
                );
            }
            // A share with a burst below one token could never be spent.
            let min = if uses_leases {
                1.0
            } else {
                fleet.members.len() as f64
            };
            if !(min..=RATE_RANGE.1).contains(&budget.burst) {
                let reason = format!(
                    "{} is out of range; must be at least {min}, one token for each share",
                    budget.burst
                );
                return invalid("burst", reason);
            }
        }
        Ok(MemberConfig {
            name: name.to_string(),
            address,
            fleet,
        })
    }

    /// The share of a budget that is held without a grant of the coordinator.
    pub fn fixed_share(&self, budget: &BudgetConfig) -> Share {
        match self.fleet.division {
            Division::Equal => equal_share(budget, self.fleet.members.len()),
            Division::Leases => Share::NONE,
        }
    }
}

impl Display for MemberConfig {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        let Config {
            name,
            members,
            voters,
            lease,
            division,
            ..
        } = &self.fleet;
        writeln!(
            f,
            "fleet {name}: this scheduler is {} at {}, one of {} members",
            self.name,
            self.address,
            members.len()
        )?;
        match division {
            Division::Equal => writeln!(f, "equal shares that never change")?,
            Division::Leases => {
                writeln!(f, "leases of {lease} s, by one of {}", voters.join(", "))?
            }
        }
        self.fleet.budgets.iter().try_for_each(|budget| {
            let BudgetConfig {
                name,
                scope,
                rate,
                burst,
            } = budget;
            let share = self.fixed_share(budget);
            let own_share = match division {
                Division::Equal => format!(
                    "; own share {} per second, burst {}",
                    share.rate, share.burst
                ),
                Division::Leases => String::new(),
            };
            writeln!(
                f,
                "budget {name} ({scope:?}): {rate} per second, burst {burst}{own_share}"
            )
        })
    }
}
