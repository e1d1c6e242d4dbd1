//! Per-second statistics over the logs of several schedulers (`mintlb count`). They show what no single log shows, such
//! as the work that all schedulers together send to a new worker.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::{Display, Formatter};

/// Seconds for which a worker counts as new after a scheduler's log first names it.
const NEW_WORKER_S: f64 = 10.0;
const DAY_S: f64 = 86_400.0;

#[derive(Debug, Default)]
struct SecondStats {
    /// First attempts of requests. The logs call an attempt an allocation, and a request a work unit.
    first_attempts: usize,
    /// Further attempts of requests: retries and parallel attempts.
    further_attempts: usize,
    /// Attempts at new workers.
    to_new_workers: usize,
    /// Seconds from an attempt's sending to its start.
    start_delays_s: Vec<f64>,
    /// Change of the number of started attempts in flight.
    running_change: i64,
    /// Change of the number of attempts in flight that have not started.
    waiting_change: i64,
    /// Workers reported as suspect.
    suspects: usize,
    /// Ended attempts by outcome.
    outcomes: BTreeMap<String, usize>,
    /// Answered requests by answer.
    answers: BTreeMap<String, usize>,
}

/// Statistics of all logs read so far. [`Display`] prints them as a table with one row for each second.
#[derive(Debug, Default)]
pub struct LogStats {
    /// The time of the first line read, in seconds of its day. Row times are relative to it.
    base_s: Option<f64>,
    seconds: BTreeMap<i64, SecondStats>,
}

/// The state of reading one scheduler's log. Times are in seconds relative to [`LogStats::base_s`].
#[derive(Default)]
struct LogReader {
    /// The attempts in flight, each with the time of its sending and whether it has started.
    in_flight: HashMap<AttemptId, (f64, bool)>,
    /// The workers that were named recently, by address.
    new_workers: VecDeque<(f64, String)>,
    /// The time when the scheduler began to serve.
    serving_since: Option<f64>,
    last_line_at: f64,
}

/// Splits a log line into its time, in seconds of its day, and its message. Anything before the time, such as the
/// prefix of a log collector, is ignored.
fn split_line(line: &str) -> Option<(f64, &str)> {
    let (position, level) = [" INFO ", " DEBG ", " WARN "]
        .iter()
        .find_map(|level| Some((line.find(level)?, level)))?;
    let clock = line[..position].rsplit(' ').next()?;
    let mut fields = clock.split(':').map(|field| field.parse::<f64>().ok());
    let (hours, minutes, seconds) = (fields.next()??, fields.next()??, fields.next()??);
    Some((
        hours * 3600.0 + minutes * 60.0 + seconds,
        &line[position + level.len()..],
    ))
}

/// The number of the request at its scheduler, and the number of the attempt within the request.
type AttemptId = (String, String);

fn attempt_id(text: &str) -> Option<AttemptId> {
    Some((
        field(text, "wu")?.to_string(),
        field(text, "n")?.to_string(),
    ))
}

/// The value of the field `name` in a line's message.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let found = text
        .split(", ")
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix(": "));
    found.map(str::trim_end)
}

impl LogStats {
    /// Reads all lines of one scheduler's log. Lines in another format are skipped.
    pub fn read<'a>(&mut self, lines: impl Iterator<Item = &'a str>) {
        let mut log = LogReader::default();
        for line in lines {
            if let Some((time, text)) = split_line(line) {
                let base = *self.base_s.get_or_insert(time);
                // Only the time of day is read, and the first log need not be the earliest: a line counts as less than
                // half a day away from the base, so 00:00 after 23:59 is on the next day.
                let now = (time - base + DAY_S / 2.0).rem_euclid(DAY_S) - DAY_S / 2.0;
                log.last_line_at = now;
                self.read_line(&mut log, now, text);
            }
        }
        self.end_in_flight(&mut log);
    }

    /// Ends all attempts in flight, as the scheduler that sent them has ended.
    fn end_in_flight(&mut self, log: &mut LogReader) {
        let last_line_at = log.last_line_at;
        for (_, (_, started)) in log.in_flight.drain() {
            self.end_attempt(last_line_at, started);
        }
    }

    fn second(&mut self, now: f64) -> &mut SecondStats {
        self.seconds.entry(now.floor() as i64).or_default()
    }

    fn end_attempt(&mut self, now: f64, started: bool) {
        let stats = self.second(now);
        *if started {
            &mut stats.running_change
        } else {
            &mut stats.waiting_change
        } -= 1;
    }

    fn read_line(&mut self, log: &mut LogReader, now: f64, text: &str) {
        if text.starts_with("serving") {
            self.end_in_flight(log);
            log.new_workers.clear();
            log.serving_since = Some(now);
        } else if let Some(worker) = text.strip_prefix("worker ") {
            self.second(now).suspects += usize::from(worker.contains("a suspect"));
            if let Some((_, address)) = worker
                .split_once(" at ")
                .filter(|_| log.serving_since.is_some())
            {
                log.new_workers
                    .push_back((now, address.trim_end().to_string()));
            }
        } else if text.starts_with("allocation sent") {
            let Some(id) = attempt_id(text) else { return };
            while log
                .new_workers
                .pop_front_if(|(since, _)| *since + NEW_WORKER_S < now)
                .is_some()
            {}
            let destination = field(text, "worker").unwrap_or_default();
            let is_new_worker = log
                .new_workers
                .iter()
                .any(|(_, address)| address == destination);
            let stats = self.second(now);
            *if id.1 == "0" {
                &mut stats.first_attempts
            } else {
                &mut stats.further_attempts
            } += 1;
            stats.to_new_workers += usize::from(is_new_worker);
            stats.waiting_change += 1;
            log.in_flight.insert(id, (now, false));
        } else if text.starts_with("allocation started") {
            let Some((sent_at, started)) =
                attempt_id(text).and_then(|id| log.in_flight.get_mut(&id))
            else {
                return;
            };
            if !std::mem::replace(started, true) {
                let delay = now - *sent_at;
                let stats = self.second(now);
                stats.start_delays_s.push(delay);
                stats.waiting_change -= 1;
                stats.running_change += 1;
            }
        } else if text.starts_with("allocation ") {
            if let Some((_, started)) = attempt_id(text).and_then(|id| log.in_flight.remove(&id)) {
                self.end_attempt(now, started);
                let outcome = field(text, "outcome").unwrap_or("called off").to_string();
                *self.second(now).outcomes.entry(outcome).or_default() += 1;
            }
        } else if text.starts_with("answered") {
            let answer = field(text, "answer").unwrap_or_default().to_string();
            *self.second(now).answers.entry(answer).or_default() += 1;
        }
    }

    /// Whether no attempt was read. Schedulers log attempts only with `--verbose`.
    pub fn is_empty(&self) -> bool {
        self.seconds
            .values()
            .all(|stats| stats.first_attempts + stats.further_attempts == 0)
    }
}

impl Display for LogStats {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        writeln!(
            f,
            "second  first  again  to new  started  median     9/10  running  waiting  suspects  ends"
        )?;
        let first = self.seconds.keys().next().copied().unwrap_or_default();
        let (mut running, mut waiting) = (0, 0);
        for (second, stats) in &self.seconds {
            running += stats.running_change;
            waiting += stats.waiting_change;
            let mut delays = stats.start_delays_s.clone();
            delays.sort_unstable_by(f64::total_cmp);
            let quantile = |tenths: usize| {
                delays
                    .get(delays.len() * tenths / 10)
                    .copied()
                    .unwrap_or_default()
            };
            let ends: Vec<String> = stats
                .outcomes
                .iter()
                .chain(&stats.answers)
                .map(|(name, count)| format!("{name} {count}"))
                .collect();
            writeln!(
                f,
                "{:6} {:6} {:6} {:7} {:8} {:7.3} {:8.3} {running:8} {waiting:8} {:9}  {}",
                second - first,
                stats.first_attempts,
                stats.further_attempts,
                stats.to_new_workers,
                delays.len(),
                quantile(5),
                quantile(9),
                stats.suspects,
                ends.join(", ")
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_line_is_counted_once_in_its_second() {
        let one = "0.1 Dec 01 23:59:59.100 INFO worker aa is w1 at 10.0.0.1:1\n\
            Dec 01 23:59:59.200 INFO serving, listen: x, name: n1\n\
            Dec 01 23:59:59.300 DEBG allocation sent, wu: 1, n: 0, project type: 0, worker: 10.0.0.1:1\n\
            Dec 01 23:59:59.400 DEBG allocation started, wu: 1, n: 0\n\
            Dec 01 23:59:59.500 DEBG allocation started, wu: 1, n: 0\n\
            no log line\n\
            Dec 02 00:00:00.100 INFO worker bb is w2 at 10.0.0.2:1\n\
            Dec 02 00:00:00.200 DEBG allocation sent, wu: 1, n: 1, project type: 0, worker: 10.0.0.2:1\n\
            Dec 02 00:00:00.300 DEBG allocation called off, wu: 1, n: 1\n\
            Dec 02 00:00:00.400 DEBG allocation back, wu: 1, n: 0, outcome: Completed\n\
            Dec 02 00:00:00.400 DEBG answered, wu: 1, answer: completed\n\
            Dec 02 00:00:00.500 INFO worker bb is a suspect, sent single trials only, project type 0: 0.25 over";
        // Killed with one attempt running and one not started, and then restarted.
        let other = "Dec 01 23:59:59.600 DEBG allocation sent, wu: 1, n: 0, project type: 1, worker: 10.0.0.1:1\n\
            Dec 01 23:59:59.700 DEBG allocation started, wu: 1, n: 0\n\
            Dec 01 23:59:59.800 DEBG allocation sent, wu: 2, n: 0, project type: 1, worker: 10.0.0.1:1\n\
            Dec 02 00:00:01.100 INFO serving, listen: y, name: n2";
        let mut stats = LogStats::default();
        stats.read(one.lines());
        stats.read(other.lines());
        let rows: Vec<String> = stats
            .to_string()
            .lines()
            .skip(1)
            .map(|row| row.split_whitespace().collect::<Vec<_>>().join(" "))
            .collect();
        assert_eq!(
            rows,
            [
                "0 3 0 0 2 0.100 0.100 2 1 0",
                "1 0 1 1 0 0.000 0.000 1 1 1 Completed 1, called off 1, completed 1",
                "2 0 0 0 0 0.000 0.000 0 0 0"
            ]
        );
        assert!(!stats.is_empty() && LogStats::default().is_empty());
    }
}
