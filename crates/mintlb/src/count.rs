//! Counts over many schedulers' logs, by second: what one log alone can't show.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::{Display, Formatter};

/// Seconds for which a worker counts as new after a scheduler has named it.
const NEW: f64 = 10.0;
const DAY: f64 = 86_400.0;

#[derive(Debug, Default)]
struct Second {
    /// Work units sent for the first time, and further attempts of theirs.
    first: usize,
    again: usize,
    to_new: usize,
    /// Seconds from sending to the start.
    delays: Vec<f64>,
    /// Changes of what runs, and of what was sent and has not started.
    running: i64,
    waiting: i64,
    suspects: usize,
    outcomes: BTreeMap<String, usize>,
    answers: BTreeMap<String, usize>,
}

/// Counts of all logs read so far.
#[derive(Debug, Default)]
pub struct Counts {
    /// The first moment read, in seconds of its day.
    base: Option<f64>,
    seconds: BTreeMap<i64, Second>,
}

/// One scheduler's log, as far as it is read.
#[derive(Default)]
struct Log {
    /// When each attempt that is out was sent, and whether it has started.
    out: HashMap<Id, (f64, bool)>,
    /// Workers named lately, by address.
    named: VecDeque<(f64, String)>,
    /// When it began to serve.
    began: Option<f64>,
    last: f64,
}

/// The moment of a line, in seconds of its day, and its text: what stands before the moment is another's.
fn parts(line: &str) -> Option<(f64, &str)> {
    let (at, level) = [" INFO ", " DEBG ", " WARN "]
        .iter()
        .find_map(|l| Some((line.find(l)?, l)))?;
    let clock = line[..at].rsplit(' ').next()?;
    let mut fields = clock.split(':').map(|field| field.parse::<f64>().ok());
    let (hours, minutes, seconds) = (fields.next()??, fields.next()??, fields.next()??);
    Some((
        hours * 3600.0 + minutes * 60.0 + seconds,
        &line[at + level.len()..],
    ))
}

/// A work unit's number at its scheduler, and the attempt's among its own.
type Id = (String, String);

fn attempt(text: &str) -> Option<Id> {
    Some((
        field(text, "wu")?.to_string(),
        field(text, "n")?.to_string(),
    ))
}

/// The value of a field in a line's text.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let found = text
        .split(", ")
        .find_map(|part| part.strip_prefix(name)?.strip_prefix(": "));
    found.map(str::trim_end)
}

impl Counts {
    /// The lines of one scheduler's log; those that are no line of its log are passed over.
    pub fn read<'a>(&mut self, lines: impl Iterator<Item = &'a str>) {
        let mut log = Log::default();
        for line in lines {
            if let Some((moment, text)) = parts(line) {
                let base = *self.base.get_or_insert(moment);
                // The earliest log need not be the first; half a day back is the day after.
                let now = (moment - base + DAY / 2.0).rem_euclid(DAY) - DAY / 2.0;
                log.last = now;
                self.line(&mut log, now, text);
            }
        }
        self.cut(&mut log);
    }

    /// The scheduler has ended: what it had out is nobody's any more.
    fn cut(&mut self, log: &mut Log) {
        let last = log.last;
        for (_, (_, started)) in log.out.drain() {
            self.leaves(last, started);
        }
    }

    fn at(&mut self, now: f64) -> &mut Second {
        self.seconds.entry(now.floor() as i64).or_default()
    }

    fn leaves(&mut self, now: f64, started: bool) {
        let second = self.at(now);
        *if started {
            &mut second.running
        } else {
            &mut second.waiting
        } -= 1;
    }

    fn line(&mut self, log: &mut Log, now: f64, text: &str) {
        if text.starts_with("serving") {
            self.cut(log);
            log.named.clear();
            log.began = Some(now);
        } else if let Some(worker) = text.strip_prefix("worker ") {
            self.at(now).suspects += usize::from(worker.contains("a suspect"));
            if let Some((_, address)) = worker.split_once(" at ").filter(|_| log.began.is_some()) {
                log.named.push_back((now, address.trim_end().to_string()));
            }
        } else if text.starts_with("allocation sent") {
            let Some(id) = attempt(text) else { return };
            while log
                .named
                .pop_front_if(|(since, _)| *since + NEW < now)
                .is_some()
            {}
            let to = field(text, "worker").unwrap_or_default();
            let is_new = log.named.iter().any(|(_, address)| address == to);
            let second = self.at(now);
            *if id.1 == "0" {
                &mut second.first
            } else {
                &mut second.again
            } += 1;
            second.to_new += usize::from(is_new);
            second.waiting += 1;
            log.out.insert(id, (now, false));
        } else if text.starts_with("allocation started") {
            let Some((sent, started)) = attempt(text).and_then(|id| log.out.get_mut(&id)) else {
                return;
            };
            if !std::mem::replace(started, true) {
                let delay = now - *sent;
                let second = self.at(now);
                second.delays.push(delay);
                second.waiting -= 1;
                second.running += 1;
            }
        } else if text.starts_with("allocation ") {
            if let Some((_, started)) = attempt(text).and_then(|id| log.out.remove(&id)) {
                self.leaves(now, started);
                let outcome = field(text, "outcome").unwrap_or("called off").to_string();
                *self.at(now).outcomes.entry(outcome).or_default() += 1;
            }
        } else if text.starts_with("answered") {
            let answer = field(text, "answer").unwrap_or_default().to_string();
            *self.at(now).answers.entry(answer).or_default() += 1;
        }
    }

    /// Whether any attempt was seen: without `--verbose` a log has none.
    pub fn is_empty(&self) -> bool {
        self.seconds
            .values()
            .all(|second| second.first + second.again == 0)
    }
}

impl Display for Counts {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        writeln!(
            f,
            "second  first  again  to new  started  median     9/10  running  waiting  suspects  ends"
        )?;
        let first = self.seconds.keys().next().copied().unwrap_or_default();
        let (mut running, mut waiting) = (0, 0);
        for (at, second) in &self.seconds {
            running += second.running;
            waiting += second.waiting;
            let mut delays = second.delays.clone();
            delays.sort_unstable_by(f64::total_cmp);
            let part = |tenths: usize| {
                delays
                    .get(delays.len() * tenths / 10)
                    .copied()
                    .unwrap_or_default()
            };
            let ends: Vec<String> = second
                .outcomes
                .iter()
                .chain(&second.answers)
                .map(|(what, n)| format!("{what} {n}"))
                .collect();
            writeln!(
                f,
                "{:6} {:6} {:6} {:7} {:8} {:7.3} {:8.3} {running:8} {waiting:8} {:9}  {}",
                at - first,
                second.first,
                second.again,
                second.to_new,
                delays.len(),
                part(5),
                part(9),
                second.suspects,
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
    fn each_line_counts_once_in_its_second() {
        let one = "0.1 Dec 01 23:59:59.100 INFO worker aa is w1 at 10.0.0.1:1\n\
            Dec 01 23:59:59.200 INFO serving, listen: x, name: n1\n\
            Dec 01 23:59:59.300 DEBG allocation sent, wu: 1, n: 0, project type: 0, worker: 10.0.0.1:1\n\
            Dec 01 23:59:59.400 DEBG allocation started, wu: 1, n: 0\n\
            Dec 01 23:59:59.500 DEBG allocation started, wu: 1, n: 0\n\
            no line of a log\n\
            Dec 02 00:00:00.100 INFO worker bb is w2 at 10.0.0.2:1\n\
            Dec 02 00:00:00.200 DEBG allocation sent, wu: 1, n: 1, project type: 0, worker: 10.0.0.2:1\n\
            Dec 02 00:00:00.300 DEBG allocation called off, wu: 1, n: 1\n\
            Dec 02 00:00:00.400 DEBG allocation back, wu: 1, n: 0, outcome: Completed\n\
            Dec 02 00:00:00.400 DEBG answered, wu: 1, answer: completed\n\
            Dec 02 00:00:00.500 INFO worker bb is a suspect, sent single trials only, project type 0: 0.25 over";
        // Killed with one running and one unstarted, and started again.
        let other = "Dec 01 23:59:59.600 DEBG allocation sent, wu: 1, n: 0, project type: 1, worker: 10.0.0.1:1\n\
            Dec 01 23:59:59.700 DEBG allocation started, wu: 1, n: 0\n\
            Dec 01 23:59:59.800 DEBG allocation sent, wu: 2, n: 0, project type: 1, worker: 10.0.0.1:1\n\
            Dec 02 00:00:01.100 INFO serving, listen: y, name: n2";
        let mut counts = Counts::default();
        counts.read(one.lines());
        counts.read(other.lines());
        let rows: Vec<String> = counts
            .to_string()
            .lines()
            .skip(1)
            .map(|l| l.split_whitespace().collect::<Vec<_>>().join(" "))
            .collect();
        assert_eq!(
            rows,
            [
                "0 3 0 0 2 0.100 0.100 2 1 0",
                "1 0 1 1 0 0.000 0.000 1 1 1 Completed 1, called off 1, completed 1",
                "2 0 0 0 0 0.000 0.000 0 0 0"
            ]
        );
        assert!(!counts.is_empty() && Counts::default().is_empty());
    }
}
