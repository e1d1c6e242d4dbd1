//! The table `[beanstalkd]` of the operator's file, and the routes of tubes that follow from it.

use crate::codec::Tube;
use mintlb_scheduler::{Idempotency, ProjectType, ProjectTypeSet};
use serde::Deserialize;
use std::net::SocketAddr;

/// The table as written in the file. Times are in seconds.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The most connections of producers and workers together, taken from the share of HTTP clients.
    pub connections: usize,
    /// The most tubes that one connection may watch.
    #[serde(default = "watched")]
    pub watched: usize,
    /// How long a finished job's record, and the notice of it, are kept.
    #[serde(default = "keep_ends")]
    pub keep_ends: f64,
    /// The most finished jobs and notices that are kept; the oldest are discarded first.
    #[serde(default = "ends")]
    pub ends: usize,
    /// Only machines that the list service names get jobs.
    #[serde(default)]
    pub listed: bool,
    /// A machine that the list does not name counts as started (cold) when it is first seen.
    #[serde(default = "cold")]
    pub cold: bool,
    /// The longest delay of a put, a release or a pause.
    #[serde(default = "longest_delay")]
    pub longest_delay: f64,
    /// The tubes that take jobs.
    #[serde(default)]
    pub tubes: Vec<TubeTable>,
}

/// A row of the table: a tube that takes jobs.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TubeTable {
    pub tube: String,
    pub project_type: String,
    pub customer: Option<String>,
    /// Which workers run the project type; all its tubes must agree.
    #[serde(default)]
    pub workers: Runners,
    /// The tube for notices of its finished jobs.
    pub ends: Option<String>,
    /// What a release says about the job.
    #[serde(default)]
    pub release: Reading,
}

/// The workers that run a project type, by their protocol.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Runners {
    /// Only workers that speak beanstalkd's protocol.
    #[default]
    Beanstalkd,
    /// Only workers that are called over HTTP.
    Http,
    /// Workers of either protocol.
    Both,
}

/// How a release is read. The default is safe; `NeverRan` trusts workers to release only jobs they have not
/// begun.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Reading {
    /// The worker may have begun the job.
    #[default]
    MayHaveRun,
    /// The worker has not begun the job.
    NeverRan,
}

fn watched() -> usize {
    64
}
fn keep_ends() -> f64 {
    60.0
}
fn ends() -> usize {
    10_000
}
fn cold() -> bool {
    true
}
fn longest_delay() -> f64 {
    3600.0
}

/// Where the jobs of a tube go.
#[derive(Clone, Debug)]
pub struct Route {
    pub tube: Tube,
    pub project_type: usize,
    pub customer: Option<usize>,
    pub effect: Idempotency,
    /// Seconds from when a job is ready to its hard limit.
    pub hard_limit: f64,
    /// The tube for notices of its finished jobs.
    pub ends: Option<Tube>,
    pub release: Reading,
}

impl Route {
    /// Its jobs may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.effect == Idempotency::Idempotent
    }

    /// Its jobs must not run twice, whatever happens.
    pub fn is_exclusive(&self) -> bool {
        self.effect == Idempotency::NonIdempotent
    }
}

/// The checked table with the routes that follow from it and the scheduler's project types.
#[derive(Clone, Debug)]
pub struct Plan {
    pub table: Table,
    pub routes: Vec<Route>,
    /// The project types that beanstalkd's workers run.
    pub runs: ProjectTypeSet,
    /// Those of them that no other workers run.
    pub only: ProjectTypeSet,
}

/// The number of a name, or an error that lists the known names.
fn known(names: &[String], name: &str, what: &str) -> Result<usize, String> {
    let at = names.iter().position(|n| n == name);
    at.ok_or_else(|| format!("there is no {what} {name:?}, only {}", names.join(", ")))
}

/// A name of a tube, checked by the protocol's own reader.
fn tube(name: &str) -> Result<Tube, String> {
    let line = format!("use {name}\r\n");
    let mut bytes = line.as_bytes().into();
    match crate::codec::Reader::new(0).next(&mut bytes) {
        Some(crate::codec::Item::Command(crate::codec::Command::Use(tube))) => Ok(tube),
        _ => Err(format!(
            "{name:?} is no name of a tube: 1 to 200 letters, digits and -+/;.$_(), no - first"
        )),
    }
}

impl Plan {
    /// Checks a table against the scheduler's project types, with their names, and customers. An error names
    /// the field.
    pub fn new(
        table: Table,
        names: &[String],
        types: &[ProjectType],
        customers: &[String],
    ) -> Result<Plan, String> {
        let at = |field: &str, why: String| format!("beanstalkd.{field}: {why}");
        let least = [
            ("connections", table.connections),
            ("watched", table.watched),
            ("ends", table.ends),
        ];
        if let Some((field, _)) = least.iter().find(|(_, value)| *value == 0) {
            return Err(at(field, "0 is too little, 1 at least".into()));
        }
        for (field, value) in [
            ("keep_ends", table.keep_ends),
            ("longest_delay", table.longest_delay),
        ] {
            if !(0.0..=86_400.0).contains(&value) {
                return Err(at(field, format!("{value} s is no time from 0 to 86400")));
            }
        }
        if table.tubes.is_empty() {
            return Err(at("tubes", "none is named, so no job could be put".into()));
        }
        let (mut routes, mut runners): (Vec<Route>, Vec<Option<Runners>>) =
            (Vec::new(), vec![None; types.len()]);
        for (i, row) in table.tubes.iter().enumerate() {
            let at = |field: &str, why: String| format!("beanstalkd.tubes[{i}].{field}: {why}");
            let tube_of = |field, name: &str| tube(name).map_err(|why| at(field, why));
            let name = tube_of("tube", &row.tube)?;
            if routes.iter().any(|r| r.tube == name) {
                return Err(at("tube", format!("{name:?} is there twice")));
            }
            let project_type = known(names, &row.project_type, "project type")
                .map_err(|why| at("project_type", why))?;
            let customer = match &row.customer {
                Some(name) => {
                    Some(known(customers, name, "customer").map_err(|why| at("customer", why))?)
                }
                None => None,
            };
            if project_type >= 64 {
                return Err(at("project_type", "only the first 64 can be mapped".into()));
            }
            let t = &types[project_type];
            if runners[project_type]
                .replace(row.workers)
                .is_some_and(|other| other != row.workers)
            {
                return Err(at(
                    "workers",
                    format!("another tube of {:?} says otherwise", row.project_type),
                ));
            }
            if t.machine_kind.is_some() && row.workers != Runners::Http && !table.listed {
                let why = "the project type needs a kind of machine, which only the list tells: set listed = true";
                return Err(at("workers", why.into()));
            }
            let ends = row
                .ends
                .as_deref()
                .map(|name| tube_of("ends", name))
                .transpose()?;
            routes.push(Route {
                tube: name,
                project_type,
                customer,
                effect: t.idempotency,
                hard_limit: t.hard_limit,
                ends,
                release: row.release,
            });
        }
        for (i, route) in routes.iter().enumerate() {
            if let Some(ends) = route
                .ends
                .as_ref()
                .filter(|ends| routes.iter().any(|r| r.tube == **ends))
            {
                let why = format!("{ends:?} takes jobs, and can't tell of ends, too");
                return Err(format!("beanstalkd.tubes[{i}].ends: {why}"));
            }
        }
        let of = |wanted: &[Runners]| -> ProjectTypeSet {
            let named = (0..)
                .zip(&runners)
                .filter(|(_, r)| r.is_some_and(|r| wanted.contains(&r)));
            named.map(|(i, _)| i).collect()
        };
        let (runs, only) = (
            of(&[Runners::Beanstalkd, Runners::Both]),
            of(&[Runners::Beanstalkd]),
        );
        Ok(Plan {
            table,
            routes,
            runs,
            only,
        })
    }

    /// The route of a tube that takes jobs.
    pub fn route(&self, tube: &str) -> Option<&Route> {
        self.routes.iter().find(|route| &*route.tube == tube)
    }

    /// A tube is for notices.
    pub fn tells_ends(&self, tube: &str) -> bool {
        self.routes
            .iter()
            .any(|route| route.ends.as_deref() == Some(tube))
    }

    /// The project types that a worker runs which watches these tubes. Tubes of one project type are one
    /// queue.
    pub fn runs_of(&self, watched: &[Tube]) -> ProjectTypeSet {
        let routes = self
            .routes
            .iter()
            .filter(|r| self.runs.contains(r.project_type) && watched.contains(&r.tube));
        routes.map(|route| route.project_type).collect()
    }
}
