//! What the settings mean: values by path, read into the parts of the decision module. Both wires bring
//! them here, the bench's as `path=value` lines, the sockets' as nested JSON made flat in the same way.

use crate::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use crate::util::Rng;
use crate::{Costs, DedupScope, Idempotency, ProjectType, SlowStart};
use std::collections::BTreeMap;
use std::str::FromStr;

/// What the list has to tell counts as told so many seconds after it had it and could be reached, heard or not, whatever
/// call failed. Half of it may pass from one question to the next; the rest is a call's.
pub const MAX_LIST_DELAY_S: f64 = 6.0;

/// Points for each allocation that crosses zones, where no price is set.
const CROSSING: f64 = 0.021;

/// What may change while a scheduler serves, beside the project types.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    pub retry_policy: RetryPolicy,
    pub excess_credit: f64,
    /// How long clients heed advice on when to come back; 0 where they get none.
    pub max_retry_after: f64,
    pub costs: Costs,
}

/// The values by path; those that nobody asks for are passed over.
pub struct FlatSettings(BTreeMap<String, String>);

impl FromIterator<(String, String)> for FlatSettings {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> FlatSettings {
        FlatSettings(pairs.into_iter().collect())
    }
}

impl FlatSettings {
    pub fn new(lines: &str) -> FlatSettings {
        let pairs = lines.lines().filter_map(|line| line.split_once('='));
        pairs
            .map(|(path, value)| (path.to_string(), value.to_string()))
            .collect()
    }

    pub fn get<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let value = self
            .0
            .get(path)
            .ok_or_else(|| format!("the setting {path} is missing"))?;
        value
            .trim()
            .parse()
            .map_err(|_| format!("the setting {path}={value} cannot be read"))
    }

    pub fn seconds(&self, path: &str) -> Result<f64, String> {
        let ms: f64 = self.get(path)?;
        if ms.is_finite() {
            Ok(ms / 1000.0)
        } else {
            Err(format!("the setting {path}={ms} is no time"))
        }
    }

    fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        if self.0.contains_key(path) {
            self.get(path)
        } else {
            Ok(absent)
        }
    }

    pub fn list(&self, path: &str) -> Vec<&str> {
        let value = self.0.get(path).map_or("", String::as_str);
        value
            .split(',')
            .map(str::trim)
            .filter(|v| !v.is_empty())
            .collect()
    }

    /// One of a list with an item for each project type.
    fn item<T: FromStr>(&self, path: &str, i: usize) -> Result<Option<T>, String> {
        let Some(value) = self.list(path).get(i).copied() else {
            return Ok(None);
        };
        value
            .parse()
            .map(Some)
            .map_err(|_| format!("the setting {path}: {value} cannot be read"))
    }

    pub fn project_types(&self) -> Result<Vec<ProjectType>, String> {
        let count: usize = self.get("project_types.count")?;
        (0..count).map(|i| self.project_type(i)).collect()
    }

    /// By their names, each of which is there once.
    pub fn named_types(&self) -> Result<Vec<(String, ProjectType)>, String> {
        let types = self.project_types()?.into_iter().enumerate();
        let name = |i: usize| self.get::<String>(&format!("project_types.{i}.name"));
        let named = types
            .map(|(i, t)| Ok((name(i)?, t)))
            .collect::<Result<Vec<_>, String>>()?;
        for (i, (name, _)) in named.iter().enumerate() {
            if name.is_empty() {
                return Err(format!("the setting project_types.{i}.name is empty"));
            }
            if named[..i].iter().any(|(other, _)| other == name) {
                return Err(format!(
                    "the setting project_types.{i}.name={name} is there twice"
                ));
            }
        }
        Ok(named)
    }

    /// A number that counts or measures something: absent, endless or below 0 it means nothing.
    fn amount(&self, path: &str) -> Result<f64, String> {
        let value: f64 = self.get(path)?;
        let good = value.is_finite() && value >= 0.0;
        good.then_some(value)
            .ok_or_else(|| format!("the setting {path}={value} is no amount"))
    }

    /// What may change while a scheduler serves.
    pub fn reloadable(&self) -> Result<ReloadableSettings, String> {
        let max_allocations = self.get("permissions.most_allocations")?;
        if max_allocations == 0 {
            return Err(
                "the setting permissions.most_allocations=0 lets no work go anywhere".to_string(),
            );
        }
        Ok(ReloadableSettings {
            retry_policy: RetryPolicy {
                parallel_attempts: self.get("permissions.parallel_tries")?,
                may_cancel: self.get("permissions.may_cancel")?,
                max_allocations,
            },
            excess_credit: self.or("excess_credit", 1.0)?,
            max_retry_after: match self.get("permissions.retry_after")? {
                true => self.seconds("permissions.max_retry_after")?,
                false => 0.0,
            },
            costs: self.costs()?,
        })
    }

    fn project_type(&self, i: usize) -> Result<ProjectType, String> {
        let at = |key: &str| format!("project_types.{i}.{key}");
        let effect: String = self.get(&at("effect"))?;
        let idempotency = match effect.as_str() {
            "read_like" => Idempotency::Idempotent,
            "non_idempotent" => Idempotency::NonIdempotent,
            "idempotency_key" => {
                let group: String = self.get(&at("group"))?;
                let scope = match group.as_str() {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    "cell" => DedupScope::Cell,
                    _ => {
                        return Err(format!(
                            "the setting {}={group} cannot be read",
                            at("group")
                        ));
                    }
                };
                Idempotency::Deduplicated {
                    scope,
                    window: self.seconds(&at("window"))?,
                }
            }
            _ => {
                return Err(format!(
                    "the setting {}={effect} cannot be read",
                    at("effect")
                ));
            }
        };
        let hard_limit = self.seconds(&at("hard_limit"))?;
        if hard_limit <= 0.0 {
            return Err(format!(
                "the setting {}={} is no time to do work in",
                at("hard_limit"),
                hard_limit * 1e3
            ));
        }
        let kind: Option<i32> = self.item("family_info.class_kind", i)?;
        Ok(ProjectType {
            credit: self.amount(&at("credit"))?,
            late_credit: self.amount(&at("late_credit"))?,
            turnaround_stretch: self.item("family_info.class_stretch", i)?.unwrap_or(0.0),
            promised_turnaround: self.amount(&at("promised_turnaround"))? / 1000.0,
            hard_limit,
            idempotency,
            machine_kind: kind.and_then(|k| u16::try_from(k).ok()),
        })
    }

    pub fn customer_count(&self) -> Result<usize, String> {
        self.or("tenants.count", 0)
    }

    fn quotas(&self) -> Result<Vec<f64>, String> {
        (0..self.customer_count()?)
            .map(|i| self.get(&format!("tenants.{i}.quota_per_s")))
            .collect()
    }

    /// Where they are not told, crossing costs what it did where this was first tried, and nobody tells anything.
    fn costs(&self) -> Result<Costs, String> {
        let or = |path: &str, absent: f64| {
            if self.0.contains_key(path) {
                self.amount(path)
            } else {
                Ok(absent)
            }
        };
        let message = or("prices.peer", 0.0)?;
        Ok(Costs {
            cross_zone: or("prices.cross_zone", CROSSING)?,
            peer_message: self.or("permissions.peers", false)?.then_some(message),
        })
    }

    pub fn scheduler(&self, seed: u64) -> Result<Scheduler, String> {
        let schedulers: usize = self.get("balancers")?;
        let cold = SlowStart {
            initial_share: self.get("rules.cold_from")?,
            duration: self.seconds("rules.warm_after")?,
            overload_multiple: self.get("rules.fall_multiple")?,
            overload_window: self.seconds("rules.fall")?,
            scheduler_count: schedulers as f64,
        };
        let discovery: String = self.get("discovery")?;
        let ReloadableSettings {
            retry_policy,
            excess_credit,
            max_retry_after,
            costs,
        } = self.reloadable()?;
        let types = self.project_types()?;
        let tells_start = self.or("family_info.tells_start", false)?;
        let fleet = Fleet::new(cold, self.get("zone")?, tells_start, costs, &types);
        let buffers = Queues::new(types, excess_credit, max_retry_after);
        let follow = ListPolling {
            on_request: discovery == "on_request",
            max_interval: self
                .seconds("rules.ask_within")?
                .min(MAX_LIST_DELAY_S / 2.0),
            ..ListPolling::default()
        };
        Ok(Scheduler::new(
            Rng::new(seed),
            (
                FairShares::new(&self.quotas()?),
                buffers,
                retry_policy,
                fleet,
            ),
            follow,
        ))
    }
}
