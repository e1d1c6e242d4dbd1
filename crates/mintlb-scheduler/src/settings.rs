//! Settings of a scheduler: values by path, parsed into the scheduler's parts.
//!
//! The bench adapter gets them as lines `path=value`, `mintlb serve` as nested JSON that is flattened to the same
//! paths. The paths are names of the settings file and do not change; some differ from the fields that they set.
//! Durations are in milliseconds, costs in points. `N` is the index of a project type or customer.
//!
//! - `project_types.N.effect`: [`ProjectType::idempotency`]; with `idempotency_key`, `group` is the scope in which
//!   workers drop a repeat, and `window` for how long.
//! - `family_info.class_kind` and `family_info.class_stretch`: lists of [`ProjectType::machine_kind`] and
//!   [`ProjectType::turnaround_stretch`], one item for each project type.
//! - `family_info.tells_start`: workers report when an attempt starts.
//! - `permissions.parallel_tries` and `permissions.most_allocations`: [`RetryPolicy::parallel_attempts`] and
//!   [`RetryPolicy::max_attempts`].
//! - `permissions.retry_after`: clients respect `Retry-After`, up to `permissions.max_retry_after`.
//! - `permissions.peers`: schedulers may exchange messages; `prices.peer` is [`Costs::peer_message`].
//! - `rules.cold_from`, `rules.warm_after`, `rules.fall_multiple`, `rules.fall`, `balancers`: the fields of
//!   [`SlowStart`], in this order; the first is a share of the capacity, the third a multiple.
//! - `rules.ask_within`: [`ListPolling::max_interval`], bounded by half of [`MAX_LIST_DELAY_S`].
//! - `discovery`: `on_request` if the scheduler has to request the worker list.
//! - `tenants.N.quota_per_s`: quota of a customer, in work units per second.

use crate::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use crate::util::Rng;
use crate::{Costs, DedupScope, Idempotency, ProjectType, SlowStart};
use std::collections::BTreeMap;
use std::str::FromStr;

/// A change in the worker list has to take effect within this many seconds after the list service knows it and can be
/// reached, even if requests failed before. Up to half of it may pass between two requests; the rest is for the request
/// itself.
pub const MAX_LIST_DELAY_S: f64 = 6.0;

/// Cost of a cross-zone attempt in points, if `prices.cross_zone` is not set.
const DEFAULT_CROSS_ZONE_COST: f64 = 0.021;

/// Settings that may change while a scheduler runs, beside the project types.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    pub retry_policy: RetryPolicy,
    /// Factor of the credit of work beyond its customer's share.
    pub excess_credit: f64,
    /// Longest `Retry-After` that clients respect, in seconds; 0 if they get none.
    pub max_retry_after: f64,
    pub costs: Costs,
}

/// Values by path. Paths that are never read are ignored.
pub struct FlatSettings(BTreeMap<String, String>);

impl FromIterator<(String, String)> for FlatSettings {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> FlatSettings {
        FlatSettings(pairs.into_iter().collect())
    }
}

impl FlatSettings {
    /// From lines `path=value`; lines without `=` are ignored.
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

    /// A duration in seconds; the setting is in milliseconds.
    pub fn seconds(&self, path: &str) -> Result<f64, String> {
        let ms: f64 = self.get(path)?;
        if ms.is_finite() {
            Ok(ms / 1000.0)
        } else {
            Err(format!(
                "the setting {path}={ms} is not a finite number of milliseconds"
            ))
        }
    }

    fn get_or<T: FromStr>(&self, path: &str, default: T) -> Result<T, String> {
        if self.0.contains_key(path) {
            self.get(path)
        } else {
            Ok(default)
        }
    }

    /// A comma-separated list; empty if the setting is absent.
    pub fn list(&self, path: &str) -> Vec<&str> {
        let value = self.0.get(path).map_or("", String::as_str);
        value
            .split(',')
            .map(str::trim)
            .filter(|v| !v.is_empty())
            .collect()
    }

    /// Item of a list that has one for each project type; `None` if the list is absent or too short.
    fn list_item<T: FromStr>(&self, path: &str, i: usize) -> Result<Option<T>, String> {
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

    /// The project types with their names, which must be unique and not empty.
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
                    "the setting project_types.{i}.name={name} is a duplicate"
                ));
            }
        }
        Ok(named)
    }

    /// A finite number that is not negative.
    fn non_negative(&self, path: &str) -> Result<f64, String> {
        let value: f64 = self.get(path)?;
        let is_valid = value.is_finite() && value >= 0.0;
        is_valid.then_some(value).ok_or_else(|| {
            format!("the setting {path}={value} is not a finite number of at least 0")
        })
    }

    /// The settings that may change while a scheduler runs.
    pub fn reloadable(&self) -> Result<ReloadableSettings, String> {
        let max_attempts = self.get("permissions.most_allocations")?;
        if max_attempts == 0 {
            return Err(
                "the setting permissions.most_allocations=0 allows no work to be sent".to_string(),
            );
        }
        Ok(ReloadableSettings {
            retry_policy: RetryPolicy {
                parallel_attempts: self.get("permissions.parallel_tries")?,
                may_cancel: self.get("permissions.may_cancel")?,
                max_attempts,
            },
            excess_credit: self.get_or("excess_credit", 1.0)?,
            max_retry_after: match self.get("permissions.retry_after")? {
                true => self.seconds("permissions.max_retry_after")?,
                false => 0.0,
            },
            costs: self.costs()?,
        })
    }

    fn project_type(&self, i: usize) -> Result<ProjectType, String> {
        let path = |key: &str| format!("project_types.{i}.{key}");
        let effect: String = self.get(&path("effect"))?;
        let idempotency = match effect.as_str() {
            "read_like" => Idempotency::Idempotent,
            "non_idempotent" => Idempotency::NonIdempotent,
            "idempotency_key" => {
                let group: String = self.get(&path("group"))?;
                let scope = match group.as_str() {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    "cell" => DedupScope::Cell,
                    _ => {
                        return Err(format!(
                            "the setting {}={group} cannot be read",
                            path("group")
                        ));
                    }
                };
                Idempotency::Deduplicated {
                    scope,
                    window: self.seconds(&path("window"))?,
                }
            }
            _ => {
                return Err(format!(
                    "the setting {}={effect} cannot be read",
                    path("effect")
                ));
            }
        };
        let hard_limit = self.seconds(&path("hard_limit"))?;
        if hard_limit <= 0.0 {
            return Err(format!(
                "the setting {}={} must be greater than 0",
                path("hard_limit"),
                hard_limit * 1e3
            ));
        }
        let kind: Option<i32> = self.list_item("family_info.class_kind", i)?;
        Ok(ProjectType {
            credit: self.non_negative(&path("credit"))?,
            late_credit: self.non_negative(&path("late_credit"))?,
            turnaround_stretch: self
                .list_item("family_info.class_stretch", i)?
                .unwrap_or(0.0),
            promised_turnaround: self.non_negative(&path("promised_turnaround"))? / 1000.0,
            hard_limit,
            idempotency,
            machine_kind: kind.and_then(|k| u16::try_from(k).ok()),
        })
    }

    /// Number of customers; 0 if none are configured.
    pub fn customer_count(&self) -> Result<usize, String> {
        self.get_or("tenants.count", 0)
    }

    fn quotas(&self) -> Result<Vec<f64>, String> {
        (0..self.customer_count()?)
            .map(|i| self.get(&format!("tenants.{i}.quota_per_s")))
            .collect()
    }

    /// The costs; without the settings a default for cross-zone attempts applies, and schedulers exchange no
    /// messages.
    fn costs(&self) -> Result<Costs, String> {
        let non_negative_or = |path: &str, default: f64| {
            if self.0.contains_key(path) {
                self.non_negative(path)
            } else {
                Ok(default)
            }
        };
        let message_cost = non_negative_or("prices.peer", 0.0)?;
        Ok(Costs {
            cross_zone: non_negative_or("prices.cross_zone", DEFAULT_CROSS_ZONE_COST)?,
            peer_message: self
                .get_or("permissions.peers", false)?
                .then_some(message_cost),
        })
    }

    /// A scheduler with these settings.
    pub fn scheduler(&self, seed: u64) -> Result<Scheduler, String> {
        let scheduler_count: usize = self.get("balancers")?;
        let slow_start = SlowStart {
            initial_share: self.get("rules.cold_from")?,
            duration: self.seconds("rules.warm_after")?,
            overload_multiple: self.get("rules.fall_multiple")?,
            overload_window: self.seconds("rules.fall")?,
            scheduler_count: scheduler_count as f64,
        };
        let discovery: String = self.get("discovery")?;
        let ReloadableSettings {
            retry_policy,
            excess_credit,
            max_retry_after,
            costs,
        } = self.reloadable()?;
        let types = self.project_types()?;
        let reports_starts = self.get_or("family_info.tells_start", false)?;
        let fleet = Fleet::new(slow_start, self.get("zone")?, reports_starts, costs, &types);
        let queues = Queues::new(types, excess_credit, max_retry_after);
        let list_polling = ListPolling {
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
                queues,
                retry_policy,
                fleet,
            ),
            list_polling,
        ))
    }
}
