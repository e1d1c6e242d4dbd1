//! The scenario file: fleet, workers, demand, budgets and the schedule of faults.
//! `docs/rig.md` documents the format for authors of scenarios.

use serde::Deserialize;
use std::ops::Range;

/// A parsed scenario. Times are seconds since all initially started processes became ready.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub title: String,
    /// Length of the run in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    pub processes: usize,
    /// How many processes are started at the beginning; all if absent.
    #[serde(rename = "started")]
    pub initially_started: Option<usize>,
    #[serde(default)]
    pub seed: u64,
    #[serde(default)]
    pub fleet: Fleet,
    /// Initial conditions of the datagram links between every two processes.
    #[serde(default, rename = "words")]
    pub link: LinkConditions,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub budgets: Vec<Budget>,
    pub zones: Vec<Zone>,
    #[serde(rename = "types")]
    pub project_types: Vec<ProjectType>,
    pub demand: Vec<Demand>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn default_voters() -> usize {
    3
}

/// Conditions of a datagram link in one direction. Probabilities are from 0 to 1, times in seconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkConditions {
    pub delay: f64,
    /// Upper bound of an additional random delay, drawn for each datagram, so that datagrams overtake one another.
    pub jitter: f64,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    /// Probability that a datagram is delayed further, by up to `late_by`.
    pub late: f64,
    pub late_by: f64,
    /// Probability, per datagram, that an earlier datagram of this link is replayed.
    #[serde(rename = "old")]
    pub replayed: f64,
    /// Nothing is delivered, except replayed datagrams.
    pub cut: bool,
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        let (jitter, loss, duplicated, late, late_by, replayed) = Default::default();
        LinkConditions {
            delay: 0.001,
            jitter,
            loss,
            duplicated,
            late,
            late_by,
            replayed,
            cut: false,
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    #[serde(default, rename = "division")]
    pub sharing: BudgetSharing,
    /// How many of the processes, counted from the first, are voters that elect the coordinator.
    #[serde(default = "default_voters", rename = "keepers")]
    pub voters: usize,
    /// Further keys of the table `[fleet]`, copied to the operators' file unchanged.
    #[serde(default, rename = "more")]
    pub extra: toml::Table,
}

/// How the processes share the budgets.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetSharing {
    #[default]
    Equal,
    /// Leased shares that follow the demand.
    Leases,
    /// Each process knows only itself and therefore uses the full budget: a misconfiguration that the audit must
    /// detect.
    Alone,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a process may still send new work to a worker after being told that it drains, in seconds.
    pub drain_grace: f64,
    /// Slow start: a worker has this share of its capacity when it starts, and all of it `slow_start` seconds later.
    #[serde(rename = "cold_from")]
    pub initial_share: f64,
    #[serde(rename = "warm_after")]
    pub slow_start: f64,
    /// A cold worker is overloaded when it is sent more than this multiple of its capacity over `overload_window`
    /// seconds.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall")]
    pub overload_window: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace: 0.5,
            initial_share: 0.3,
            slow_start: 9.0,
            overload_multiple: 3.0,
            overload_window: 3.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub name: String,
    #[serde(rename = "limits")]
    pub scope: BudgetScope,
    /// Attempts per second, over all processes.
    pub rate: f64,
    /// Attempts allowed at once in addition to the rate.
    pub burst: f64,
    /// Intervals `[from, to]` in which demand exceeds the budget, so that its utilisation is measured.
    #[serde(default, rename = "wanted")]
    pub saturated_intervals: Vec<[f64; 2]>,
}

/// Which attempts spend from a budget.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetScope {
    /// Every attempt of a work unit after its first.
    #[serde(rename = "again")]
    Retries,
}

impl BudgetScope {
    /// The value of `limits` in the operators' file.
    pub fn as_str(self) -> &'static str {
        match self {
            BudgetScope::Retries => "again",
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: String,
    pub workers: usize,
    /// Work units that each worker runs at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// A started work unit runs to its end even when its connection closes.
    #[serde(default, rename = "runs_on")]
    pub runs_after_disconnect: bool,
}

fn default_slots() -> usize {
    4
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProjectType {
    pub name: String,
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    #[serde(default = "default_credit")]
    pub credit: f64,
    /// In seconds.
    pub promised_turnaround: f64,
    /// Deadline of each request, in seconds.
    pub hard_limit: f64,
    /// Mean run time in seconds; each work unit takes between 0.5 and 1.5 times as long.
    #[serde(rename = "runs")]
    pub mean_run_time: f64,
    /// How long workers deduplicate a repeated work unit, in seconds. Used only by `Idempotency::Deduplicated`.
    #[serde(default = "default_dedup_window", rename = "window")]
    pub dedup_window: f64,
}

fn default_credit() -> f64 {
    1.0
}

fn default_dedup_window() -> f64 {
    15.0
}

/// Whether a work unit may be run more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    #[serde(rename = "rerunnable")]
    Idempotent,
    /// Repeats are dropped within a zone.
    #[serde(rename = "receipted")]
    Deduplicated,
    #[serde(rename = "exclusive")]
    NonIdempotent,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Name of the project type.
    #[serde(rename = "type")]
    pub project_type: String,
    #[serde(default)]
    pub from: f64,
    /// The end of the run if absent.
    pub to: Option<f64>,
    /// Work units per second, over all processes.
    pub rate: f64,
    /// Weight of each process; equal if empty.
    #[serde(default, rename = "on")]
    pub process_weights: Vec<f64>,
    /// If present, all demand goes to one process at a time, which changes after this many seconds.
    #[serde(rename = "each")]
    pub rotation_period: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "toml::Table")]
pub struct Fault {
    pub at: f64,
    pub action: FaultAction,
}

/// In the file, `at` stands in the same table as the action's own fields.
impl TryFrom<toml::Table> for Fault {
    type Error = String;

    fn try_from(mut table: toml::Table) -> Result<Fault, String> {
        let at = match table.remove("at") {
            Some(toml::Value::Float(at)) => at,
            Some(toml::Value::Integer(at)) => at as f64,
            _ => return Err("at: expected a number of seconds".into()),
        };
        let action = table
            .try_into()
            .map_err(|e: toml::de::Error| e.message().to_string())?;
        Ok(Fault { at, action })
    }
}

/// What a fault does. `who` lists process numbers.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do", deny_unknown_fields)]
pub enum FaultAction {
    /// Sends SIGKILL.
    Kill {
        #[serde(rename = "who")]
        targets: Vec<usize>,
    },
    /// Sends SIGTERM.
    Term {
        #[serde(rename = "who")]
        targets: Vec<usize>,
    },
    /// Sends SIGSTOP.
    Stop {
        #[serde(rename = "who")]
        targets: Vec<usize>,
    },
    /// Sends SIGCONT.
    #[serde(rename = "go")]
    Continue {
        #[serde(rename = "who")]
        targets: Vec<usize>,
    },
    /// Starts the processes, or restarts them under the same name.
    Start {
        #[serde(rename = "who")]
        targets: Vec<usize>,
    },
    /// Makes this share of the zone's work units fail at their end.
    Fail { zone: String, share: f64 },
    /// Multiplies the run times of the zone's workers.
    Slow {
        zone: String,
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Makes the zone's workers accept work without answering it, or ends that.
    Hang {
        zone: String,
        #[serde(rename = "on")]
        enabled: bool,
    },
    /// Stops the zone's workers: their connections are reset and new ones refused.
    Down { zone: String },
    /// Restarts the zone's stopped workers; they start cold.
    Up { zone: String },
    /// Makes the list service report the zone's workers as draining, or as serving again.
    Drain {
        zone: String,
        #[serde(rename = "on")]
        enabled: bool,
    },
    /// Partitions these processes from the zone in one or both directions.
    Cut {
        #[serde(rename = "who")]
        targets: Vec<usize>,
        zone: String,
        #[serde(rename = "way")]
        direction: Direction,
    },
    /// Ends a partition.
    Heal {
        #[serde(rename = "who")]
        targets: Vec<usize>,
        zone: String,
    },
    /// Changes the budget in the configuration files of these processes, which reload them on SIGHUP.
    #[serde(rename = "whole")]
    SetBudget {
        #[serde(rename = "who")]
        targets: Vec<usize>,
        budget: String,
        rate: f64,
        burst: f64,
    },
    /// Changes the conditions of the datagram links from some processes to others. An empty list means all processes.
    #[serde(rename = "words")]
    SetLink {
        #[serde(default)]
        from: Vec<usize>,
        #[serde(default)]
        to: Vec<usize>,
        /// The links in the opposite direction change, too.
        #[serde(default, rename = "back")]
        both_directions: bool,
        #[serde(default, rename = "words")]
        conditions: LinkConditions,
    },
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    Both,
    /// From processes to workers.
    #[serde(rename = "there")]
    ToWorkers,
    /// From workers to processes.
    #[serde(rename = "back")]
    FromWorkers,
}

impl Scenario {
    pub fn read(path: &str) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| format!("{path}: cannot read the file: {e}"))?;
        Scenario::parse(&text).map_err(|e| format!("{path}: {e}"))
    }

    /// Parses and validates a scenario. Errors name the line, the path of the field and what is expected.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let line = |span: Option<Range<usize>>| {
            let before = span.and_then(|span| text.get(..span.start));
            before.map_or_else(String::new, |before| {
                format!("line {}: ", before.matches('\n').count() + 1)
            })
        };
        let deserializer = toml::Deserializer::parse(text)
            .map_err(|e| format!("{}{}", line(e.span()), e.message()))?;
        let scenario: Scenario = serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let (path, inner) = (e.path().to_string(), e.into_inner());
            format!("{}{path}: {}", line(inner.span()), inner.message())
        })?;
        scenario.validate()?;
        Ok(scenario)
    }

    fn validate(&self) -> Result<(), String> {
        let invalid = |field: String, reason: String| Err(format!("{field}: {reason}"));
        let positive = |value: f64| value.is_finite() && value > 0.0;
        if !(1..=MAX_PROCESSES).contains(&self.processes) {
            return invalid(
                "processes".into(),
                format!("{} is outside 1 to {MAX_PROCESSES}", self.processes),
            );
        }
        if self
            .initially_started
            .is_some_and(|started| started > self.processes)
        {
            return invalid(
                "started".into(),
                format!("must not exceed the {} processes", self.processes),
            );
        }
        if !(positive(self.duration_s) && self.duration_s <= MAX_DURATION_S) {
            return invalid(
                "seconds".into(),
                format!(
                    "{} is not above 0 and at most {MAX_DURATION_S}",
                    self.duration_s
                ),
            );
        }
        if self.zones.is_empty() || self.zones.iter().any(|z| z.workers == 0 || z.slots == 0) {
            return invalid(
                "zones".into(),
                "expected at least one zone, and at least one worker and one slot in each".into(),
            );
        }
        if self.zones.iter().map(|z| z.workers).sum::<usize>() > MAX_WORKERS {
            return invalid("zones".into(), format!("more than {MAX_WORKERS} workers"));
        }
        for (i, budget) in self.budgets.iter().enumerate() {
            if !positive(budget.rate) || !positive(budget.burst) {
                return invalid(
                    format!("budgets[{i}]"),
                    "rate and burst must be above 0".into(),
                );
            }
            if budget
                .saturated_intervals
                .iter()
                .any(|[from, to]| !(from < to && *to <= self.duration_s))
            {
                return invalid(
                    format!("budgets[{i}].wanted"),
                    "expected [from, to] within the duration of the run".into(),
                );
            }
        }
        for (i, t) in self.project_types.iter().enumerate() {
            if ![
                t.credit,
                t.promised_turnaround,
                t.hard_limit,
                t.mean_run_time,
                t.dedup_window,
            ]
            .into_iter()
            .all(positive)
            {
                return invalid(
                    format!("types[{i}]"),
                    "credit and times must be above 0".into(),
                );
            }
        }
        for (i, demand) in self.demand.iter().enumerate() {
            if !self
                .project_types
                .iter()
                .any(|t| t.name == demand.project_type)
            {
                return invalid(
                    format!("demand[{i}].type"),
                    format!("unknown type {:?}", demand.project_type),
                );
            }
            if !(demand.rate.is_finite() && (0.0..=MAX_DEMAND_PER_S).contains(&demand.rate)) {
                return invalid(
                    format!("demand[{i}].rate"),
                    format!("must be 0 to {MAX_DEMAND_PER_S}"),
                );
            }
            if !(demand.process_weights.is_empty()
                || demand.process_weights.len() == self.processes)
            {
                return invalid(
                    format!("demand[{i}].on"),
                    "expected one weight per process".into(),
                );
            }
            if demand
                .process_weights
                .iter()
                .any(|w| !(w.is_finite() && *w >= 0.0))
                || demand.rotation_period.is_some_and(|e| e < 0.05)
            {
                return invalid(
                    format!("demand[{i}]"),
                    "`on` must not be negative, `each` must be at least 0.05 s".into(),
                );
            }
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let (processes, zone) = fault.action.affected();
            if processes.iter().any(|p| *p >= self.processes) {
                return invalid(
                    format!("faults[{i}].who"),
                    format!("process numbers are 0 to {}", self.processes - 1),
                );
            }
            if matches!(&fault.action, FaultAction::SetLink { to, .. } if to.iter().any(|p| *p >= self.processes))
            {
                return invalid(
                    format!("faults[{i}].to"),
                    format!("process numbers are 0 to {}", self.processes - 1),
                );
            }
            if let FaultAction::SetBudget {
                budget,
                rate,
                burst,
                ..
            } = &fault.action
            {
                let known = self.budgets.iter().any(|known| known.name == *budget);
                if !known || !positive(*rate) || !positive(*burst) {
                    return invalid(
                        format!("faults[{i}]"),
                        "expected an existing budget, with rate and burst above 0".into(),
                    );
                }
            }
            if zone.is_some_and(|zone| !self.zones.iter().any(|z| z.name == zone)) {
                return invalid(
                    format!("faults[{i}].zone"),
                    format!("unknown zone {:?}", zone.unwrap_or("")),
                );
            }
            if !(0.0..=self.duration_s).contains(&fault.at) {
                return invalid(
                    format!("faults[{i}].at"),
                    "not within the duration of the run".into(),
                );
            }
        }
        Ok(())
    }

    /// How long the previous budget may remain in use after the last configuration file has changed, in seconds.
    pub fn budget_settle_time(&self) -> f64 {
        let lease = self
            .fleet
            .extra
            .get("lease")
            .and_then(|v| v.as_float().or(v.as_integer().map(|i| i as f64)));
        1.1 * lease.unwrap_or(2.0) + 0.3
    }

    /// All workers, each as the index of its zone and its index within the zone.
    pub fn workers(&self) -> impl Iterator<Item = (usize, usize)> {
        self.zones
            .iter()
            .enumerate()
            .flat_map(|(z, zone)| (0..zone.workers).map(move |w| (z, w)))
    }
}

// The addresses of processes, relays and workers in the loopback network leave room for no more.
const MAX_PROCESSES: usize = 40;
const MAX_WORKERS: usize = 60;
const MAX_DURATION_S: f64 = 3600.0;
const MAX_DEMAND_PER_S: f64 = 5000.0;

impl FaultAction {
    /// The processes and the zone that the action applies to.
    pub fn affected(&self) -> (&[usize], Option<&str>) {
        match self {
            FaultAction::Kill { targets }
            | FaultAction::Term { targets }
            | FaultAction::Stop { targets }
            | FaultAction::Continue { targets }
            | FaultAction::Start { targets } => (targets, None),
            FaultAction::Cut { targets, zone, .. } | FaultAction::Heal { targets, zone } => {
                (targets, Some(zone))
            }
            FaultAction::Fail { zone, .. }
            | FaultAction::Slow { zone, .. }
            | FaultAction::Hang { zone, .. }
            | FaultAction::Down { zone }
            | FaultAction::Up { zone }
            | FaultAction::Drain { zone, .. } => (&[], Some(zone)),
            FaultAction::SetLink { from, .. } => (from, None),
            FaultAction::SetBudget { targets, .. } => (targets, None),
        }
    }

    /// Description for the event log.
    pub fn describe(&self) -> String {
        format!("{self:?}")
    }
}
