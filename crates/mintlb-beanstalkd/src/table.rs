//! Settings of the table `[beanstalkd]` in the operator's file, their validation, and the tube routes derived from
//! them.

use crate::codec::Tube;
use mintlb_scheduler::{Idempotency, ProjectType, ProjectTypeSet};
use serde::Deserialize;
use std::net::SocketAddr;

/// The settings as written in the file. Times are in seconds.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of connections of producers and workers together; reduces the number available to HTTP clients.
    pub connections: usize,
    /// Maximum number of tubes that one connection may watch.
    #[serde(default = "default_watched")]
    pub watched: usize,
    /// How long a finished job's record and its notice are kept. Worker groups without connections are removed after
    /// the same time.
    #[serde(default = "default_keep_ends_s")]
    pub keep_ends: f64,
    /// Maximum number of finished jobs and notices that are kept; the oldest are discarded first.
    #[serde(default = "default_ends")]
    pub ends: usize,
    /// Only machines reported by the list service get jobs.
    #[serde(default)]
    pub listed: bool,
    /// A machine that is not listed counts as started (cold) when it is first seen.
    #[serde(default = "default_cold")]
    pub cold: bool,
    /// Maximum delay of a put, a release or a pause. A longer put is refused; the others are shortened.
    #[serde(default = "default_longest_delay_s")]
    pub longest_delay: f64,
    /// The tubes that accept jobs.
    #[serde(default)]
    pub tubes: Vec<TubeTable>,
}

/// An entry of `[[beanstalkd.tubes]]`: a tube that accepts jobs.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TubeTable {
    pub tube: String,
    pub project_type: String,
    pub customer: Option<String>,
    /// Which workers run the project type; must be the same for all of its tubes.
    #[serde(default)]
    pub workers: WorkerProtocols,
    /// The tube that receives notices of finished jobs; no notices are sent if absent.
    pub ends: Option<String>,
    /// What a `release` of a job from this tube implies.
    #[serde(default)]
    pub release: ReleaseMeaning,
}

/// Which workers run a project type, by protocol.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerProtocols {
    /// Only workers that connect with the beanstalkd protocol.
    #[default]
    Beanstalkd,
    /// Only workers that are called over HTTP.
    Http,
    /// Workers of either protocol.
    Both,
}

/// Whether a released job may have run. The default is safe; `NeverRan` trusts workers to release only jobs that
/// they have not begun.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseMeaning {
    /// The worker may have begun the job.
    #[default]
    MayHaveRun,
    /// The worker has not begun the job.
    NeverRan,
}

fn default_watched() -> usize {
    64
}
fn default_keep_ends_s() -> f64 {
    60.0
}
fn default_ends() -> usize {
    10_000
}
fn default_cold() -> bool {
    true
}
fn default_longest_delay_s() -> f64 {
    3600.0
}

/// How the jobs of a tube are submitted to the scheduler.
#[derive(Clone, Debug)]
pub struct Route {
    pub tube: Tube,
    /// Index of the scheduler's project type.
    pub project_type: usize,
    /// Index of the customer that the jobs count for, if one is configured.
    pub customer: Option<usize>,
    pub effect: Idempotency,
    /// Hard limit of a job in seconds, counted from when it becomes ready.
    pub hard_limit: f64,
    /// The tube that receives notices of finished jobs; no notices are sent if absent.
    pub ends: Option<Tube>,
    pub release: ReleaseMeaning,
}

impl Route {
    /// Whether its jobs may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.effect == Idempotency::Idempotent
    }

    /// Whether its jobs must never run twice, even after a failure.
    pub fn is_exclusive(&self) -> bool {
        self.effect == Idempotency::NonIdempotent
    }
}

/// Validated settings, with the routes derived from them and the scheduler's project types.
#[derive(Clone, Debug)]
pub struct Plan {
    pub table: Table,
    pub routes: Vec<Route>,
    /// The project types that beanstalkd workers run.
    pub runs: ProjectTypeSet,
    /// The subset of `runs` that no HTTP workers run.
    pub only: ProjectTypeSet,
}

/// Index of `name` in `names`, or an error that lists the known names.
fn index_of(names: &[String], name: &str, what: &str) -> Result<usize, String> {
    let index = names.iter().position(|n| n == name);
    index.ok_or_else(|| {
        format!(
            "unknown {what} {name:?}, expected one of: {}",
            names.join(", ")
        )
    })
}

/// Validates a tube name with the protocol's own parser.
fn parse_tube_name(name: &str) -> Result<Tube, String> {
    let line = format!("use {name}\r\n");
    let mut bytes = line.as_bytes().into();
    match crate::codec::CommandReader::new(0).next(&mut bytes) {
        Some(crate::codec::Item::Command(crate::codec::Command::Use(tube))) => Ok(tube),
        _ => Err(format!(
            "{name:?} is not a valid tube name: 1 to 200 letters, digits or -+/;.$_(), not starting with -"
        )),
    }
}

impl Plan {
    /// Validates the settings. `names` and `types` are the scheduler's project types in the same order. An error
    /// names the field.
    pub fn new(
        table: Table,
        names: &[String],
        types: &[ProjectType],
        customers: &[String],
    ) -> Result<Plan, String> {
        let field_error = |field: &str, why: String| format!("beanstalkd.{field}: {why}");
        let positive = [
            ("connections", table.connections),
            ("watched", table.watched),
            ("ends", table.ends),
        ];
        if let Some((field, _)) = positive.iter().find(|(_, value)| *value == 0) {
            return Err(field_error(field, "must be at least 1, is 0".into()));
        }
        for (field, value) in [
            ("keep_ends", table.keep_ends),
            ("longest_delay", table.longest_delay),
        ] {
            if !(0.0..=86_400.0).contains(&value) {
                return Err(field_error(
                    field,
                    format!("must be between 0 and 86400 s, is {value} s"),
                ));
            }
        }
        if table.tubes.is_empty() {
            return Err(field_error("tubes", "at least one tube is required".into()));
        }
        let (mut routes, mut worker_protocols): (Vec<Route>, Vec<Option<WorkerProtocols>>) =
            (Vec::new(), vec![None; types.len()]);
        for (i, entry) in table.tubes.iter().enumerate() {
            let field_error =
                |field: &str, why: String| format!("beanstalkd.tubes[{i}].{field}: {why}");
            let checked_tube =
                |field, name: &str| parse_tube_name(name).map_err(|why| field_error(field, why));
            let name = checked_tube("tube", &entry.tube)?;
            if routes.iter().any(|r| r.tube == name) {
                return Err(field_error("tube", format!("{name:?} is configured twice")));
            }
            let project_type = index_of(names, &entry.project_type, "project type")
                .map_err(|why| field_error("project_type", why))?;
            let customer = match &entry.customer {
                Some(name) => Some(
                    index_of(customers, name, "customer")
                        .map_err(|why| field_error("customer", why))?,
                ),
                None => None,
            };
            if project_type >= 64 {
                return Err(field_error(
                    "project_type",
                    "only the first 64 project types can be used".into(),
                ));
            }
            let project_type_config = &types[project_type];
            if worker_protocols[project_type]
                .replace(entry.workers)
                .is_some_and(|other| other != entry.workers)
            {
                return Err(field_error(
                    "workers",
                    format!(
                        "another tube of {:?} has a different value",
                        entry.project_type
                    ),
                ));
            }
            if project_type_config.machine_kind.is_some()
                && entry.workers != WorkerProtocols::Http
                && !table.listed
            {
                let why = "the project type requires a kind of machine, which only the list service reports: set listed = true";
                return Err(field_error("workers", why.into()));
            }
            let ends = entry
                .ends
                .as_deref()
                .map(|name| checked_tube("ends", name))
                .transpose()?;
            routes.push(Route {
                tube: name,
                project_type,
                customer,
                effect: project_type_config.idempotency,
                hard_limit: project_type_config.hard_limit,
                ends,
                release: entry.release,
            });
        }
        for (i, route) in routes.iter().enumerate() {
            if let Some(ends) = route
                .ends
                .as_ref()
                .filter(|ends| routes.iter().any(|r| r.tube == **ends))
            {
                let why = format!("{ends:?} takes jobs, so it cannot be used for notices as well");
                return Err(format!("beanstalkd.tubes[{i}].ends: {why}"));
            }
        }
        let types_run_by = |wanted: &[WorkerProtocols]| -> ProjectTypeSet {
            let matching = (0..)
                .zip(&worker_protocols)
                .filter(|(_, r)| r.is_some_and(|r| wanted.contains(&r)));
            matching.map(|(i, _)| i).collect()
        };
        let (runs, only) = (
            types_run_by(&[WorkerProtocols::Beanstalkd, WorkerProtocols::Both]),
            types_run_by(&[WorkerProtocols::Beanstalkd]),
        );
        Ok(Plan {
            table,
            routes,
            runs,
            only,
        })
    }

    /// The route of a tube; `None` if it does not accept jobs.
    pub fn route(&self, tube: &str) -> Option<&Route> {
        self.routes.iter().find(|route| &*route.tube == tube)
    }

    /// Whether a tube receives notices of finished jobs.
    pub fn is_notice_tube(&self, tube: &str) -> bool {
        self.routes
            .iter()
            .any(|route| route.ends.as_deref() == Some(tube))
    }

    /// The project types run by a worker that watches these tubes. All tubes of a project type share one queue.
    pub fn project_types_of(&self, watched: &[Tube]) -> ProjectTypeSet {
        let routes = self
            .routes
            .iter()
            .filter(|r| self.runs.contains(r.project_type) && watched.contains(&r.tube));
        routes.map(|route| route.project_type).collect()
    }
}
