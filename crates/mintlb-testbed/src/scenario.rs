//! A scenario as it is written: the fleet, its workers, the demand, the budgets and the script of faults.
//! `docs/rig.md` is the page for those who write them.

use serde::Deserialize;
use std::ops::Range;

/// Times are seconds from the moment when all processes serve.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub title: String,
    pub seconds: f64,
    pub processes: usize,
    /// Of these only so many are started at the beginning.
    pub started: Option<usize>,
    #[serde(default)]
    pub seed: u64,
    #[serde(default)]
    pub fleet: Fleet,
    /// What the way of words between every two processes is like at the beginning.
    #[serde(default)]
    pub words: Words,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub budgets: Vec<Budget>,
    pub zones: Vec<Zone>,
    pub types: Vec<Type>,
    pub demand: Vec<Demand>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn keepers() -> usize {
    3
}

/// The way of words in one direction. Shares are from 0 to 1, times in seconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Words {
    pub delay: f64,
    /// And up to so much more, for each word anew: words pass one another.
    pub jitter: f64,
    pub loss: f64,
    pub doubled: f64,
    /// This share is late by up to `late-by` beside.
    pub late: f64,
    pub late_by: f64,
    /// With this share an old word of this way is played again.
    pub old: f64,
    pub cut: bool,
}

impl Default for Words {
    fn default() -> Words {
        let (jitter, loss, doubled, late, late_by, old) = Default::default();
        Words {
            delay: 0.001,
            jitter,
            loss,
            doubled,
            late,
            late_by,
            old,
            cut: false,
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    #[serde(default)]
    pub division: Division,
    /// So many of the first processes may divide.
    #[serde(default = "keepers")]
    pub keepers: usize,
    /// More of the table `[fleet]`, as it stands in the operator's file.
    #[serde(default)]
    pub more: toml::Table,
}

/// How the processes share the budgets.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Division {
    #[default]
    Equal,
    /// Parts that follow the demand.
    Leases,
    /// Each is told of itself alone, and holds the whole: what a wrong file does, and what the audit must show.
    Alone,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// After hearing of a drain something new may still be sent for so long.
    pub drain_grace: f64,
    /// A worker that has just started can do this part of its work, and all of it so many seconds later.
    pub cold_from: f64,
    pub warm_after: f64,
    /// Sent more than so many times what it can do, for so many seconds, it falls over.
    pub fall_multiple: f64,
    pub fall: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace: 0.5,
            cold_from: 0.3,
            warm_after: 9.0,
            fall_multiple: 3.0,
            fall: 3.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub name: String,
    pub limits: Limits,
    pub rate: f64,
    pub burst: f64,
    /// When demand exceeds it, so that what is used of it counts.
    #[serde(default)]
    pub wanted: Vec<[f64; 2]>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Limits {
    /// Allocations after a work unit's first.
    Again,
}

impl Limits {
    /// As it stands in the operator's file.
    pub fn word(self) -> &'static str {
        match self {
            Limits::Again => "again",
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: String,
    pub workers: usize,
    /// Work units that each of them runs at once.
    #[serde(default = "slots")]
    pub slots: usize,
    /// What has begun runs to its end, also when its connection is gone.
    #[serde(default)]
    pub runs_on: bool,
}

fn slots() -> usize {
    4
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Type {
    pub name: String,
    pub effect: Effect,
    #[serde(default = "one")]
    pub credit: f64,
    pub promised_turnaround: f64,
    pub hard_limit: f64,
    /// How long it runs on average; each work unit between a half and three halves of it.
    pub runs: f64,
    /// For how long a receipted one's workers drop a repeat.
    #[serde(default = "window")]
    pub window: f64,
}

fn one() -> f64 {
    1.0
}

fn window() -> f64 {
    15.0
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Rerunnable,
    /// Repeats are dropped within a zone.
    Receipted,
    Exclusive,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    #[serde(rename = "type")]
    pub of: String,
    #[serde(default)]
    pub from: f64,
    /// By default the end.
    pub to: Option<f64>,
    /// Work units a second, over all processes.
    pub rate: f64,
    /// Weights by process, all alike by default.
    #[serde(default)]
    pub on: Vec<f64>,
    /// All of it at one process after another, each for so many seconds.
    pub each: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "toml::Table")]
pub struct Fault {
    pub at: f64,
    pub deed: Deed,
}

/// Its time stands beside what is done, and each deed has fields of its own.
impl TryFrom<toml::Table> for Fault {
    type Error = String;

    fn try_from(mut table: toml::Table) -> Result<Fault, String> {
        let at = match table.remove("at") {
            Some(toml::Value::Float(at)) => at,
            Some(toml::Value::Integer(at)) => at as f64,
            _ => return Err("at: a number of seconds is needed".into()),
        };
        let deed = table
            .try_into()
            .map_err(|e: toml::de::Error| e.message().to_string())?;
        Ok(Fault { at, deed })
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do", deny_unknown_fields)]
pub enum Deed {
    /// SIGKILL.
    Kill {
        who: Vec<usize>,
    },
    /// SIGTERM.
    Term {
        who: Vec<usize>,
    },
    /// SIGSTOP, and SIGCONT.
    Stop {
        who: Vec<usize>,
    },
    Go {
        who: Vec<usize>,
    },
    /// Started, or started anew under its name.
    Start {
        who: Vec<usize>,
    },
    /// From now on this part of the zone's work units fail at their end.
    Fail {
        zone: String,
        share: f64,
    },
    /// The zone's workers take so many times as long.
    Slow {
        zone: String,
        times: f64,
    },
    /// The zone's workers take work and answer none.
    Hang {
        zone: String,
        on: bool,
    },
    /// The zone's workers die, and resets and refusals tell; then they come back cold.
    Down {
        zone: String,
    },
    Up {
        zone: String,
    },
    /// The list says that they drain, or serve.
    Drain {
        zone: String,
        on: bool,
    },
    /// Between these processes and the zone nothing gets through in a direction, or all does again.
    Cut {
        who: Vec<usize>,
        zone: String,
        way: Way,
    },
    Heal {
        who: Vec<usize>,
        zone: String,
    },
    /// The file of these processes gives the budget another whole, and SIGHUP has them read it.
    Whole {
        who: Vec<usize>,
        budget: String,
        rate: f64,
        burst: f64,
    },
    /// From now on the way of words from these processes to those is like that, `back` too if that is said. None named
    /// is all of them.
    Words {
        #[serde(default)]
        from: Vec<usize>,
        #[serde(default)]
        to: Vec<usize>,
        #[serde(default)]
        back: bool,
        #[serde(default)]
        words: Words,
    },
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    Both,
    /// What the processes send.
    There,
    /// What the workers answer.
    Back,
}

impl Scenario {
    pub fn read(path: &str) -> Result<Scenario, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        Scenario::parse(&text).map_err(|e| format!("{path}: {e}"))
    }

    /// An error names the field by its path, the line, and what would be right.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let line = |span: Option<Range<usize>>| {
            let before = span.and_then(|span| text.get(..span.start));
            before.map_or_else(String::new, |before| {
                format!("line {}: ", before.matches('\n').count() + 1)
            })
        };
        let read = toml::Deserializer::parse(text)
            .map_err(|e| format!("{}{}", line(e.span()), e.message()))?;
        let scenario: Scenario = serde_path_to_error::deserialize(read).map_err(|e| {
            let (path, inner) = (e.path().to_string(), e.into_inner());
            format!("{}{path}: {}", line(inner.span()), inner.message())
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        let wrong = |field: String, what: String| Err(format!("{field}: {what}"));
        let positive = |value: f64| value.is_finite() && value > 0.0;
        if !(1..=MOST).contains(&self.processes) {
            return wrong(
                "processes".into(),
                format!("{}, 1 to {MOST} are played", self.processes),
            );
        }
        if self.started.is_some_and(|started| started > self.processes) {
            return wrong(
                "started".into(),
                format!("more than the {} processes", self.processes),
            );
        }
        if !(positive(self.seconds) && self.seconds <= LONGEST) {
            return wrong(
                "seconds".into(),
                format!("{}, up to {LONGEST} are played", self.seconds),
            );
        }
        if self.zones.is_empty() || self.zones.iter().any(|z| z.workers == 0 || z.slots == 0) {
            return wrong(
                "zones".into(),
                "one zone and in each one worker with one slot at least".into(),
            );
        }
        if self.zones.iter().map(|z| z.workers).sum::<usize>() > MOST_WORKERS {
            return wrong("zones".into(), format!("{MOST_WORKERS} workers at most"));
        }
        for (i, budget) in self.budgets.iter().enumerate() {
            if !positive(budget.rate) || !positive(budget.burst) {
                return wrong(format!("budgets[{i}]"), "rate and burst are over 0".into());
            }
            if budget
                .wanted
                .iter()
                .any(|[from, to]| !(from < to && *to <= self.seconds))
            {
                return wrong(
                    format!("budgets[{i}].wanted"),
                    "[from, to] within the seconds".into(),
                );
            }
        }
        for (i, t) in self.types.iter().enumerate() {
            if ![
                t.credit,
                t.promised_turnaround,
                t.hard_limit,
                t.runs,
                t.window,
            ]
            .into_iter()
            .all(positive)
            {
                return wrong(format!("types[{i}]"), "credit and times are over 0".into());
            }
        }
        for (i, demand) in self.demand.iter().enumerate() {
            if !self.types.iter().any(|t| t.name == demand.of) {
                return wrong(
                    format!("demand[{i}].type"),
                    format!("there is no type {:?}", demand.of),
                );
            }
            if !(demand.rate.is_finite() && (0.0..=FASTEST).contains(&demand.rate)) {
                return wrong(format!("demand[{i}].rate"), format!("0 to {FASTEST}"));
            }
            if !(demand.on.is_empty() || demand.on.len() == self.processes) {
                return wrong(
                    format!("demand[{i}].on"),
                    "a weight for each process".into(),
                );
            }
            if demand.on.iter().any(|w| !(w.is_finite() && *w >= 0.0))
                || demand.each.is_some_and(|e| e < 0.05)
            {
                return wrong(
                    format!("demand[{i}]"),
                    "weights from 0 on, each from 0.05 s on".into(),
                );
            }
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let (who, zone) = fault.deed.touches();
            if who.iter().any(|p| *p >= self.processes) {
                return wrong(
                    format!("faults[{i}].who"),
                    format!("processes are 0 to {}", self.processes - 1),
                );
            }
            if matches!(&fault.deed, Deed::Words { to, .. } if to.iter().any(|p| *p >= self.processes))
            {
                return wrong(
                    format!("faults[{i}].to"),
                    format!("processes are 0 to {}", self.processes - 1),
                );
            }
            if let Deed::Whole {
                budget,
                rate,
                burst,
                ..
            } = &fault.deed
            {
                let known = self.budgets.iter().any(|known| known.name == *budget);
                if !known || !positive(*rate) || !positive(*burst) {
                    return wrong(
                        format!("faults[{i}]"),
                        "a budget that there is, rate and burst over 0".into(),
                    );
                }
            }
            if zone.is_some_and(|zone| !self.zones.iter().any(|z| z.name == zone)) {
                return wrong(
                    format!("faults[{i}].zone"),
                    format!("there is no zone {:?}", zone.unwrap_or("")),
                );
            }
            if !(0.0..=self.seconds).contains(&fault.at) {
                return wrong(format!("faults[{i}].at"), "within the seconds".into());
            }
        }
        Ok(())
    }

    /// How long after the last file has changed a whole may still be the one before.
    pub fn settles(&self) -> f64 {
        let lease = self
            .fleet
            .more
            .get("lease")
            .and_then(|v| v.as_float().or(v.as_integer().map(|i| i as f64)));
        1.1 * lease.unwrap_or(2.0) + 0.3
    }

    /// The workers, as the number of their zone and of them in it.
    pub fn workers(&self) -> impl Iterator<Item = (usize, usize)> {
        self.zones
            .iter()
            .enumerate()
            .flat_map(|(z, zone)| (0..zone.workers).map(move |w| (z, w)))
    }
}

const MOST: usize = 40;
const MOST_WORKERS: usize = 60;
const LONGEST: f64 = 3600.0;
const FASTEST: f64 = 5000.0;

impl Deed {
    /// The processes and the zone that it is about.
    pub fn touches(&self) -> (&[usize], Option<&str>) {
        match self {
            Deed::Kill { who }
            | Deed::Term { who }
            | Deed::Stop { who }
            | Deed::Go { who }
            | Deed::Start { who } => (who, None),
            Deed::Cut { who, zone, .. } | Deed::Heal { who, zone } => (who, Some(zone)),
            Deed::Fail { zone, .. }
            | Deed::Slow { zone, .. }
            | Deed::Hang { zone, .. }
            | Deed::Down { zone }
            | Deed::Up { zone }
            | Deed::Drain { zone, .. } => (&[], Some(zone)),
            Deed::Words { from, .. } => (from, None),
            Deed::Whole { who, .. } => (who, None),
        }
    }

    /// For the story: what was done.
    pub fn shown(&self) -> String {
        format!("{self:?}")
    }
}
