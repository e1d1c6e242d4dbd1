//! The statistics commands: stats, stats-job, stats-tube.

use super::Hub;
use super::reply::{NOT_FOUND, Reply, yaml_dictionary};
use crate::job::{FinalStatus, Job, State, TubeJobs};
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeVal;
use nix::unistd::gethostname;

/// Key and value of a YAML dictionary.
type Pair = (&'static str, String);

/// Command counters of `stats`: statistics key and command name.
const COMMAND_COUNTERS: [(&str, &str); 22] = [
    ("cmd-put", "put"),
    ("cmd-peek", "peek"),
    ("cmd-peek-ready", "peek-ready"),
    ("cmd-peek-delayed", "peek-delayed"),
    ("cmd-peek-buried", "peek-buried"),
    ("cmd-reserve", "reserve"),
    ("cmd-reserve-with-timeout", "reserve-with-timeout"),
    ("cmd-delete", "delete"),
    ("cmd-release", "release"),
    ("cmd-use", "use"),
    ("cmd-watch", "watch"),
    ("cmd-ignore", "ignore"),
    ("cmd-bury", "bury"),
    ("cmd-kick", "kick"),
    ("cmd-touch", "touch"),
    ("cmd-stats", "stats"),
    ("cmd-stats-job", "stats-job"),
    ("cmd-stats-tube", "stats-tube"),
    ("cmd-list-tubes", "list-tubes"),
    ("cmd-list-tube-used", "list-tube-used"),
    ("cmd-list-tubes-watched", "list-tubes-watched"),
    ("cmd-pause-tube", "pause-tube"),
];

/// Statistics of beanstalkd's persistent log, which this server does not have; reported as 0.
const BINLOG_KEYS: [&str; 5] = [
    "binlog-oldest-index",
    "binlog-current-index",
    "binlog-records-migrated",
    "binlog-records-written",
    "binlog-max-size",
];

impl Hub {
    /// `stats-job`: state and counters of a job.
    pub(super) fn stats_job(&self, now: f64, id: u64) -> Reply {
        let Some(job) = self.jobs.get(id) else {
            return Reply::Borrowed(NOT_FOUND);
        };
        let (state, seconds_left) = self.state_of(now, id, job);
        let counts = job.counts;
        let mut pairs = vec![
            ("id", id.to_string()),
            ("tube", quoted(&job.tube)),
            ("state", state.to_string()),
            ("pri", job.put.priority.to_string()),
            ("age", whole_seconds(now - job.put_at)),
            ("delay", job.put.delay.to_string()),
            ("ttr", job.put.ttr.to_string()),
            ("time-left", whole_seconds(seconds_left)),
            ("file", "0".to_string()),
            ("reserves", counts.reserves.to_string()),
            ("timeouts", counts.timeouts.to_string()),
            ("releases", counts.releases.to_string()),
            ("buries", counts.buries.to_string()),
            ("kicks", counts.kicks.to_string()),
        ];
        // Extensions of the protocol: the final status, and the seconds after which to put a deferred job again.
        if let Some(status) = job.final_status {
            pairs.push(("end", status.as_str().to_string()));
        }
        if let Some(FinalStatus::Deferred(retry_after)) = job.final_status {
            pairs.push(("come-back", format!("{retry_after:.3}")));
        }
        yaml_dictionary(&pairs)
    }

    /// A job's state as spelled in `stats-job`, and the seconds until the state changes by itself.
    fn state_of(&self, now: f64, id: u64, job: &Job) -> (&'static str, f64) {
        let holder = job
            .last_session
            .and_then(|session| self.sessions.get(&session));
        let lease = holder.and_then(|session| session.leases.get(&id));
        match job.state {
            State::Delayed { until } => ("delayed", until - now),
            State::Ready => ("ready", 0.0),
            State::Reserved => ("reserved", lease.map_or(0.0, |lease| lease.deadline - now)),
            State::Buried(_) => ("buried", 0.0),
            State::Finished(status) => (status.as_str(), 0.0),
        }
    }

    /// `stats-tube`: job and session counts of a tube.
    pub(super) fn stats_tube(&self, now: f64, tube: &str) -> Reply {
        if !self.is_tube(tube) {
            return Reply::Borrowed(NOT_FOUND);
        }
        let no_jobs = TubeJobs::default();
        let jobs = self.jobs.tube(tube).unwrap_or(&no_jobs);
        let using = self
            .sessions
            .values()
            .filter(|session| &*session.used == tube);
        let watching = || {
            self.sessions
                .values()
                .filter(|session| session.watches(tube))
        };
        let (until, pause) = self
            .pauses
            .get(tube)
            .copied()
            .filter(|(until, _)| *until > now)
            .unwrap_or((now, 0.0));
        yaml_dictionary(&[
            ("name", quoted(tube)),
            ("current-jobs-urgent", jobs.urgent.to_string()),
            ("current-jobs-ready", jobs.ready.len().to_string()),
            ("current-jobs-reserved", jobs.reserved.to_string()),
            ("current-jobs-delayed", jobs.delayed.len().to_string()),
            ("current-jobs-buried", jobs.buried.len().to_string()),
            ("total-jobs", jobs.total.to_string()),
            ("current-using", using.count().to_string()),
            ("current-watching", watching().count().to_string()),
            (
                "current-waiting",
                watching()
                    .filter(|session| session.is_blocked())
                    .count()
                    .to_string(),
            ),
            ("cmd-delete", jobs.deleted.to_string()),
            ("cmd-pause-tube", jobs.paused.to_string()),
            ("pause", whole_seconds(pause)),
            ("pause-time-left", whole_seconds(until - now)),
        ])
    }

    /// `stats`: server-wide statistics, with lines in the protocol's order.
    pub(super) fn stats(&self, now: f64) -> Reply {
        let mut pairs = self.job_stats();
        pairs.extend(self.command_stats());
        pairs.extend(self.total_stats());
        pairs.extend(self.session_stats());
        pairs.extend(self.process_stats(now));
        pairs.extend(BINLOG_KEYS.map(|key| (key, "0".to_string())));
        pairs.extend(self.server_stats());
        pairs.extend(self.extra_stats());
        yaml_dictionary(&pairs)
    }

    fn job_stats(&self) -> Vec<Pair> {
        let count = |figure: fn(&TubeJobs) -> usize| self.jobs.count(figure).to_string();
        vec![
            ("current-jobs-urgent", count(|tube| tube.urgent)),
            ("current-jobs-ready", count(|tube| tube.ready.len())),
            ("current-jobs-reserved", count(|tube| tube.reserved)),
            ("current-jobs-delayed", count(|tube| tube.delayed.len())),
            ("current-jobs-buried", count(|tube| tube.buried.len())),
        ]
    }

    fn command_stats(&self) -> impl Iterator<Item = Pair> {
        let count = |command| {
            self.totals
                .commands
                .get(command)
                .copied()
                .unwrap_or(0)
                .to_string()
        };
        COMMAND_COUNTERS
            .into_iter()
            .map(move |(key, command)| (key, count(command)))
    }

    fn total_stats(&self) -> [Pair; 4] {
        [
            ("job-timeouts", self.totals.timeouts.to_string()),
            ("total-jobs", self.totals.accepted.to_string()),
            ("max-job-size", self.max_job_bytes.to_string()),
            ("current-tubes", self.jobs.tubes().count().to_string()),
        ]
    }

    fn session_stats(&self) -> [Pair; 5] {
        let sessions = || self.sessions.values();
        [
            ("current-connections", self.sessions.len().to_string()),
            (
                "current-producers",
                sessions()
                    .filter(|session| session.is_producer)
                    .count()
                    .to_string(),
            ),
            (
                "current-workers",
                sessions()
                    .filter(|session| session.is_worker)
                    .count()
                    .to_string(),
            ),
            (
                "current-waiting",
                sessions()
                    .filter(|session| session.is_blocked())
                    .count()
                    .to_string(),
            ),
            ("total-connections", self.totals.connections.to_string()),
        ]
    }

    fn process_stats(&self, now: f64) -> [Pair; 5] {
        let usage = getrusage(UsageWho::RUSAGE_SELF).ok();
        [
            ("pid", std::process::id().to_string()),
            (
                "version",
                quoted(concat!("mintlb ", env!("CARGO_PKG_VERSION"))),
            ),
            (
                "rusage-utime",
                processor_time(usage.map(|usage| usage.user_time())),
            ),
            (
                "rusage-stime",
                processor_time(usage.map(|usage| usage.system_time())),
            ),
            ("uptime", whole_seconds(now - self.started_at)),
        ]
    }

    fn server_stats(&self) -> [Pair; 5] {
        [
            ("draining", self.stopping.to_string()),
            ("id", quoted(&self.name)),
            (
                "hostname",
                quoted(&gethostname().unwrap_or_default().to_string_lossy()),
            ),
            ("os", quoted(std::env::consts::OS)),
            ("platform", quoted(std::env::consts::ARCH)),
        ]
    }

    /// Lines that extend the protocol.
    fn extra_stats(&self) -> [Pair; 5] {
        [
            ("jobs-completed", self.totals.completed.to_string()),
            ("jobs-deferred", self.totals.deferred.to_string()),
            ("jobs-aborted", self.totals.aborted.to_string()),
            ("jobs-withdrawn", self.totals.withdrawn.to_string()),
            ("machines", self.group_count().to_string()),
        ]
    }
}

fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}

/// Rounds down to whole seconds; negative values give 0.
fn whole_seconds(seconds: f64) -> String {
    (seconds.max(0.0) as u64).to_string()
}

/// Formats seconds with six decimals; empty if the time is not available.
fn processor_time(time: Option<TimeVal>) -> String {
    time.map_or_else(String::new, |time| {
        format!("{}.{:06}", time.tv_sec(), time.tv_usec())
    })
}
