//! What the protocol tells of itself, as YAML.

use crate::codec::Tube;
use crate::hub::{Hub, bodied};
use crate::job::{InTube, State};
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeVal;
use nix::unistd::gethostname;
use std::collections::BTreeSet;
use std::fmt::Write;

/// A YAML list.
pub fn list<'a>(names: impl Iterator<Item = &'a Tube>) -> Vec<u8> {
    let text = names.fold(String::from("---\n"), |text, name| text + "- " + name + "\n");
    bodied("OK", text.as_bytes())
}

/// A YAML dictionary.
fn pairs(pairs: &[(&str, String)]) -> Vec<u8> {
    let text = pairs.iter().fold(String::from("---\n"), |mut text, (key, value)| {
        writeln!(text, "{key}: {value}").ok();
        text
    });
    bodied("OK", text.as_bytes())
}

fn seconds(time: Option<TimeVal>) -> String {
    time.map_or_else(String::new, |t| format!("{}.{:06}", t.tv_sec(), t.tv_usec()))
}

const NOT_FOUND: &[u8] = b"NOT_FOUND\r\n";

impl Hub {
    pub(crate) fn list_tubes(&self) -> Vec<u8> {
        let mut tubes: BTreeSet<Tube> = self.plan.routes.iter().map(|route| route.tube.clone()).collect();
        tubes.extend(self.plan.routes.iter().filter_map(|route| route.ends.clone()));
        tubes.extend(self.jobs.tubes().cloned());
        tubes.insert(self.usual.clone());
        for session in self.sessions.values() {
            tubes.insert(session.used.clone());
            tubes.extend(session.watched.iter().cloned());
        }
        list(tubes.iter())
    }

    pub(crate) fn stats_job(&self, now: f64, id: u64) -> Vec<u8> {
        let Some(job) = self.jobs.get(id) else { return NOT_FOUND.to_vec() };
        let holder = job.holder.and_then(|session| self.sessions.get(&session)?.held.get(&id));
        let (state, left) = match job.state {
            State::Delayed { until } => ("delayed", until - now),
            State::Ready => ("ready", 0.0),
            State::Reserved => ("reserved", holder.map_or(0.0, |held| held.deadline - now)),
            State::Buried(_) => ("buried", 0.0),
            State::Ended(end) => (end.word(), 0.0),
        };
        let counts = job.counts;
        let mut text = vec![
            ("id", id.to_string()),
            ("tube", format!("\"{}\"", job.tube)),
            ("state", state.to_string()),
            ("pri", job.put.priority.to_string()),
            ("age", ((now - job.put_at).max(0.0) as u64).to_string()),
            ("delay", job.put.delay.to_string()),
            ("ttr", job.put.ttr.to_string()),
            ("time-left", (left.max(0.0) as u64).to_string()),
            ("file", "0".to_string()),
            ("reserves", counts.reserves.to_string()),
            ("timeouts", counts.timeouts.to_string()),
            ("releases", counts.releases.to_string()),
            ("buries", counts.buries.to_string()),
            ("kicks", counts.kicks.to_string()),
        ];
        // Not the protocol's: how its work unit ended, and when it is best put again.
        if let Some(end) = job.end {
            text.push(("end", end.word().to_string()));
        }
        if let Some(crate::job::End::Deferred(come_back)) = job.end {
            text.push(("come-back", format!("{come_back:.3}")));
        }
        pairs(&text)
    }

    pub(crate) fn stats_tube(&self, now: f64, tube: &str) -> Vec<u8> {
        if !self.is_tube(tube) {
            return NOT_FOUND.to_vec();
        }
        let (none, count) = (InTube::default(), |n: usize| n.to_string());
        let jobs = self.jobs.tube(tube).unwrap_or(&none);
        let sessions = || self.sessions.values();
        let watching = || sessions().filter(|s| s.watched.iter().any(|w| &**w == tube));
        let (until, pause) = self.pauses.get(tube).copied().unwrap_or_default();
        let paused = until > now;
        pairs(&[
            ("name", format!("\"{tube}\"")),
            ("current-jobs-urgent", count(jobs.urgent)),
            ("current-jobs-ready", count(jobs.ready.len())),
            ("current-jobs-reserved", count(jobs.reserved)),
            ("current-jobs-delayed", count(jobs.delayed.len())),
            ("current-jobs-buried", count(jobs.buried.len())),
            ("total-jobs", jobs.total.to_string()),
            ("current-using", count(sessions().filter(|s| &*s.used == tube).count())),
            ("current-watching", count(watching().count())),
            ("current-waiting", count(watching().filter(|s| s.is_blocked()).count())),
            ("cmd-delete", jobs.deleted.to_string()),
            ("cmd-pause-tube", jobs.paused.to_string()),
            ("pause", if paused { pause as u64 } else { 0 }.to_string()),
            ("pause-time-left", if paused { (until - now) as u64 } else { 0 }.to_string()),
        ])
    }

    pub(crate) fn stats(&self, now: f64) -> Vec<u8> {
        let count = |n: usize| n.to_string();
        let sessions = || self.sessions.values();
        let mut text = vec![
            ("current-jobs-urgent", count(self.jobs.count(|t| t.urgent))),
            ("current-jobs-ready", count(self.jobs.count(|t| t.ready.len()))),
            ("current-jobs-reserved", count(self.jobs.count(|t| t.reserved))),
            ("current-jobs-delayed", count(self.jobs.count(|t| t.delayed.len()))),
            ("current-jobs-buried", count(self.jobs.count(|t| t.buried.len()))),
        ];
        const COMMANDS: [(&str, &str); 22] = [
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
        for (key, command) in COMMANDS {
            text.push((key, self.totals.commands.get(command).copied().unwrap_or(0).to_string()));
        }
        let totals = &self.totals;
        let used = getrusage(UsageWho::RUSAGE_SELF).ok();
        text.extend([
            ("job-timeouts", totals.timeouts.to_string()),
            ("total-jobs", totals.taken.to_string()),
            ("max-job-size", self.most_bytes().to_string()),
            ("current-tubes", count(self.jobs.tubes().count())),
            ("current-connections", count(self.sessions.len())),
            ("current-producers", count(sessions().filter(|s| s.produces).count())),
            ("current-workers", count(sessions().filter(|s| s.works).count())),
            ("current-waiting", count(sessions().filter(|s| s.is_blocked()).count())),
            ("total-connections", totals.connections.to_string()),
            ("pid", std::process::id().to_string()),
            ("version", format!("\"mintlb {}\"", env!("CARGO_PKG_VERSION"))),
            ("rusage-utime", seconds(used.map(|used| used.user_time()))),
            ("rusage-stime", seconds(used.map(|used| used.system_time()))),
            ("uptime", ((now - self.began).max(0.0) as u64).to_string()),
            ("binlog-oldest-index", "0".to_string()),
            ("binlog-current-index", "0".to_string()),
            ("binlog-records-migrated", "0".to_string()),
            ("binlog-records-written", "0".to_string()),
            ("binlog-max-size", "0".to_string()),
            ("draining", self.stopping.to_string()),
            ("id", format!("\"{}\"", self.name)),
            ("hostname", format!("\"{}\"", gethostname().unwrap_or_default().to_string_lossy())),
            ("os", format!("\"{}\"", std::env::consts::OS)),
            ("platform", format!("\"{}\"", std::env::consts::ARCH)),
            // Not the protocol's.
            ("jobs-completed", totals.completed.to_string()),
            ("jobs-deferred", totals.deferred.to_string()),
            ("jobs-aborted", totals.aborted.to_string()),
            ("jobs-withdrawn", totals.withdrawn.to_string()),
            ("machines", self.groups().to_string()),
        ]);
        pairs(&text)
    }
}
