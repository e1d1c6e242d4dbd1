//! The scheduler: all decisions about which work unit is sent to which worker, and when.
//!
//! The host calls the `on_...` methods of [`Scheduler`] for each event and carries out what the scheduler requests
//! through [`Host`]. The scheduler has no clock of its own: each call gets the time as `now`.
//!
//! A work unit is charged to its customer's share ([`FairShares`]), waits in one of the [`Queues`], and is sent to a
//! worker of the [`Fleet`] with headroom, as far as the [`RetryPolicy`] permits. `dispatch` applies the max-pressure
//! rule: the workers with headroom are served in order of their rank, which is headroom per second of start delay and
//! run time, each from the queue with the highest pressure, which is weight x service rate x length.
//!
//! Short names in this file: `w` is a worker, `wu` a work unit and `t` a project type.

mod reconfigure;
use crate::peer_message::{self, PeerMessage};
use crate::peers::Peers;
use crate::util::{DecayingMean, Rng, StartDelays, TIMER_TOLERANCE_S, TimerQueue, median};
use crate::worker_index::WorkerIndex;
use crate::{
    Attempt, Costs, DedupScope, Host, Idempotency, ListEntry, ListState, ListUpdate, Queue,
    SlowStart,
};
use crate::{LoadReport, Outcome, OutlierStatus, ProjectType, WorkUnit, Worker};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

enum Timer {
    Deadline(Weak<WorkUnit>),     // The client of the work unit stops waiting.
    QueueTimeout(Weak<WorkUnit>), // The scheduler gives up the work unit if it is still queued.
    StartOverdue(Weak<Attempt>),  // The attempt should have started by now.
    RequestList,
    SendPeerMessage,
    Redispatch, // Periodic, for headroom that appears without an event: trials of suspects, cold budgets, peer messages.
}

/// Customers' shares: work beyond its customer's share waits in a queue of lower weight (`excess_credit`). A share is
/// the customer's fraction of the sum of all quotas (work units per second), and applies to this scheduler's own work,
/// as that of others is not known: each arrival of a customer's work adds `fraction` tokens to every customer.
pub struct FairShares {
    fractions: Vec<f64>,
    tokens: Vec<f64>, // Token bucket of each customer: work units that it may still send within its share.
}

const MAX_TOKENS: f64 = 4.0; // Burst of a customer: work units that it may be ahead of its share.

impl FairShares {
    pub fn new(quotas: &[f64]) -> FairShares {
        let all = quotas.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        FairShares {
            fractions: quotas.iter().map(|q| q / all).collect(),
            tokens: vec![MAX_TOKENS; quotas.len()],
        }
    }

    fn charge(&mut self, wu: &WorkUnit) {
        let Some(c) = wu.customer.filter(|&c| c < self.fractions.len()) else {
            return;
        };
        self.tokens
            .iter_mut()
            .zip(&self.fractions)
            .for_each(|(tokens, fraction)| *tokens = (*tokens + fraction).min(MAX_TOKENS));
        wu.over_share.set(self.tokens[c] < 1.0);
        self.tokens[c] -= if wu.over_share.get() { 0.0 } else { 1.0 };
    }
}

/// FIFO queues: two for each project type, for work within and beyond its customer's share.
pub struct Queues {
    types: Vec<ProjectType>,
    served: Vec<bool>, // Project types that are configured now; the others remain for work that arrived before.
    excess_credit: f64,
    max_retry_after: f64, // Longest `Retry-After` that clients respect, in seconds; 0 if they get none.
    queues: Vec<Queue>, // At 2 x project type, and at 2 x project type + 1 for work beyond a share.
    run_times: Vec<f64>, // Smoothed run time of each project type over all workers, in seconds.
}

/// Work units of a queue that are checked against a worker, of those that the host permits there now. There are several
/// so that one which may not run there does not block the queue.
const MAX_CANDIDATES: usize = 8;
/// Until a run time is known, the longer of the promised turnaround and this share of the hard limit is assumed.
const INITIAL_RUN_TIME_SHARE: f64 = 1.0 / 16.0;

impl Queues {
    pub fn new(types: Vec<ProjectType>, excess_credit: f64, max_retry_after: f64) -> Queues {
        let queues = types
            .iter()
            .flat_map(|_| [Queue::default(), Queue::default()])
            .collect();
        let (run_times, served) = (
            types.iter().map(Queues::initial_run_time).collect(),
            vec![true; types.len()],
        );
        Queues {
            types,
            served,
            excess_credit,
            max_retry_after,
            queues,
            run_times,
        }
    }

    fn initial_run_time(t: &ProjectType) -> f64 {
        t.promised_turnaround
            .max(t.hard_limit * INITIAL_RUN_TIME_SHARE)
    }

    /// Weight of a queue: the credit of its project type, or 1 if that is 0; times `excess_credit` beyond a share.
    fn weight(&self, queue: usize) -> f64 {
        let credit = self.types[queue / 2].credit;
        let credit = if credit > 0.0 { credit } else { 1.0 };
        if queue % 2 == 1 {
            credit * self.excess_credit
        } else {
            credit
        }
    }

    /// When the scheduler gives up a queued work unit: its promised turnaround is over, or only its run time is left.
    /// If work waited longer, new work would wait behind it, and under overload all of it would be late.
    fn queue_timeout_at(&self, wu: &WorkUnit) -> f64 {
        let t = &self.types[wu.project_type()];
        let run_time = self.run_times[wu.project_type()].min(t.hard_limit / 4.0);
        (wu.arrived_at + t.promised_turnaround).min(wu.deadline - run_time)
    }

    /// How long the start of a work unit may be delayed. A turnaround that is stretched by the run time leaves more
    /// time; the run itself takes one multiple of that. The less credit a late answer loses, the longer the start may
    /// be delayed; `INITIAL_RUN_TIME_SHARE` only bounds the divisor here, so that the time is at most 16 times as long.
    fn max_delay(&self, project_type: usize) -> f64 {
        let t = &self.types[project_type];
        let in_time = t.promised_turnaround
            + (t.turnaround_stretch - 1.0).max(0.0) * self.run_times[project_type];
        in_time / (1.0 - t.late_credit).max(INITIAL_RUN_TIME_SHARE)
    }
}

/// Which work units may be sent again, and to which workers: one that may have run, only as its idempotency allows.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Whether a work unit may be in flight at several workers at once.
    pub parallel_attempts: bool,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Limit of the attempts of one work unit.
    pub max_attempts: usize,
}

impl RetryPolicy {
    /// Whether an attempt may have run, given its outcome if there is one. A cancelled one may have.
    fn may_have_run(outcome: Option<Outcome>) -> bool {
        !matches!(
            outcome,
            Some(Outcome::Full | Outcome::NoConnection | Outcome::Moot)
        )
    }

    /// Whether this work unit may be sent to this worker now.
    fn permits(&self, now: f64, idempotency: Idempotency, wu: &WorkUnit, worker: &Worker) -> bool {
        let attempts = wu.attempts.borrow();
        let is_open = |a: &&Rc<Attempt>| a.outcome.get().is_none();
        let is_there = attempts
            .iter()
            .filter(is_open)
            .any(|a| std::ptr::eq(&*a.worker, worker));
        let exhausted =
            wu.ended.get() || attempts.len() >= self.max_attempts.min(wu.max_attempts.get());
        if exhausted || is_there || !self.parallel_attempts && attempts.iter().any(|a| is_open(&a))
        {
            return false;
        }
        let Some(first) = attempts
            .iter()
            .find(|a| RetryPolicy::may_have_run(a.outcome.get()))
        else {
            return true;
        };
        let (a, b) = (&first.worker.entry, &worker.entry);
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { window, .. } if now >= first.sent_at + window => false,
            Idempotency::Deduplicated {
                scope: DedupScope::All,
                ..
            } => true,
            Idempotency::Deduplicated {
                scope: DedupScope::Zone,
                ..
            } => a.zone == b.zone,
            Idempotency::Deduplicated {
                scope: DedupScope::Cell,
                ..
            } => a.zone == b.zone && a.cell == b.cell,
        }
    }

    /// Whether the work unit may be deferred, that is, whether a repeat by its client is harmless.
    fn is_deferrable(&self, idempotency: Idempotency, wu: &WorkUnit) -> bool {
        match idempotency {
            Idempotency::Idempotent
            | Idempotency::Deduplicated {
                scope: DedupScope::All,
                ..
            } => true,
            _ => !wu
                .attempts
                .borrow()
                .iter()
                .any(|a| RetryPolicy::may_have_run(a.outcome.get())),
        }
    }

    /// Cancels all attempts in flight except `kept`, if cancelling is permitted.
    fn cancel_others(&self, host: &mut dyn Host, wu: &WorkUnit, kept: Option<&Rc<Attempt>>) {
        let attempts = wu.attempts.borrow();
        let open = attempts
            .iter()
            .filter(|a| self.may_cancel && a.outcome.get().is_none());
        open.filter(|a| kept.is_none_or(|k| !Rc::ptr_eq(a, k)))
            .for_each(|a| host.cancel(a));
    }
}

/// The workers, and what is known of their headroom, speed and health.
#[derive(Default)]
pub struct Fleet {
    slow_start: SlowStart,
    zone: u16,
    reports_starts: bool, // Workers report when an attempt starts.
    zone_factor: f64,     // Factor of the headroom of workers in other zones.
    peers: Peers,
    shares_load: bool, // Schedulers tell each other how many slots they hold at each worker.
    reports_slots: bool, // Some worker has reported its free slots.
    min_turnaround: f64, // Shortest promised turnaround, in seconds.
    workers: WorkerIndex,
    max_slots: f64, // The most slots observed at any worker: running for this scheduler at once, or reported as free.
    zones: BTreeMap<u16, StartDelays>, // By zone, as a scheduler seldom uses the same worker of a large fleet.
    unstarted: Vec<Rc<Attempt>>, // Attempts of this scheduler that have not started, at all workers.
    max_unstarted: f64,          // Limit of the number of unstarted attempts.
    failure_rate: DecayingMean,  // Share of failures among all outcomes.
    trial_intervals: Vec<f64>,   // By project type: seconds between two trials of a suspect.
    last_lost: Vec<f64>, // By project type: send time of the attempt that was last marked as lost.
}

/// A start is overdue after twice the zone's shortest start delay plus this share of the shortest promised turnaround.
const OVERDUE_START_SHARE: f64 = 0.2;
const CROSS_ZONE_PENALTY: f64 = 32.0; // Headroom in another zone is divided by 1 + this x `Costs::cross_zone`.
/// Messages sent by all schedulers together within the shortest promised turnaround.
const MESSAGES_PER_TURNAROUND: f64 = 128.0;
const MAX_MESSAGE_COST: f64 = 1.0 / 64.0; // No messages are exchanged that cost this many points or more per work unit.
const REPORTED_SLOTS_SHARE: f64 = 0.9; // Share of the most free slots reported that counts, as reports are noisy.
const PRIOR_WEIGHT: f64 = 4.0; // Weight, in work units, of the prior (the fleet's usual value) in a worker's run times.
/// Memory, in two units: of a worker's run times in work units, and of a zone's start delays in mean run times.
const RUN_TIME_MEMORY: f64 = 16.0;
const LIST_SPREAD_SCHEDULERS: f64 = 16.0; // Beyond this number, list requests are spread over more time.
const FLEET_GAIN: f64 = 1.0 / 32.0; // Weight of one work unit in means over many workers.
const FAILURE_GAIN: f64 = 0.25; // Weight of one outcome in a worker's failure rate.
/// A worker becomes a suspect if its failure rate exceeds the fleet's median by more than this plus the mean rate.
const SUSPECT_MARGIN: f64 = 0.2;
const TRIAL_TURNAROUNDS: f64 = 12.0; // Interval of trials of a suspect, in shortest promised turnarounds.
const MIN_SLOTS: f64 = 2.0; // Slots that each worker is assumed to have at least.
/// Range of the shortest promised turnaround in seconds; timer intervals are derived from it.
const TURNAROUND_BOUNDS_S: [f64; 2] = [0.01, 10.0];
/// Share that is used of what a worker may get before it has warmed up, as run times and random choices are uneven.
const COLD_BUDGET_SHARE: f64 = 1.0 / 3.0;
const RANK_JITTER: f64 = 0.5; // Random variation of a worker's rank when all schedulers know the same load.
const MAX_UNSTARTED: f64 = 8.0; // Upper bound of `max_unstarted`.

impl Fleet {
    pub fn new(
        slow_start: SlowStart,
        zone: u16,
        reports_starts: bool,
        costs: Costs,
        types: &[ProjectType],
    ) -> Fleet {
        let (max_slots, max_unstarted, last_lost) =
            (MIN_SLOTS, MAX_UNSTARTED, vec![f64::MIN; types.len()]);
        let mut fleet = Fleet {
            slow_start,
            zone,
            reports_starts,
            last_lost,
            max_slots,
            max_unstarted,
            ..Fleet::default()
        };
        fleet.set_costs(costs);
        fleet.set_intervals(types, &vec![true; types.len()]);
        fleet
    }

    fn set_costs(&mut self, costs: Costs) {
        // Each work unit is reported twice, when it is sent and when it has ended.
        let messages =
            (self.slow_start.scheduler_count - 1.0) * 2.0 * peer_message::ENTRY_BYTES as f64
                / peer_message::MAX_BYTES as f64;
        self.shares_load = costs
            .peer_message
            .is_some_and(|points| points * messages < MAX_MESSAGE_COST);
        self.zone_factor = 1.0 / (1.0 + CROSS_ZONE_PENALTY * costs.cross_zone);
        self.peers.set_enabled(self.shares_load, &self.workers);
    }

    /// Sets the times that depend on the project types.
    fn set_intervals(&mut self, types: &[ProjectType], served: &[bool]) {
        let turnarounds = types
            .iter()
            .zip(served)
            .filter(|(_, s)| **s)
            .map(|(t, _)| t.promised_turnaround);
        self.min_turnaround = turnarounds
            .fold(TURNAROUND_BOUNDS_S[1], f64::min)
            .max(TURNAROUND_BOUNDS_S[0]);
        self.peers.max_work_duration = types.iter().map(|t| t.hard_limit).fold(0.0, f64::max);
        // A failed trial must not often cost work that can't be repeated.
        let non_idempotent = |t: &ProjectType| t.idempotency == Idempotency::NonIdempotent;
        let intervals = types.iter().map(|t| {
            if non_idempotent(t) {
                t.hard_limit
            } else {
                TRIAL_TURNAROUNDS * self.min_turnaround
            }
        });
        self.trial_intervals = intervals.collect();
    }

    /// Applies one entry of the worker list. A worker with a new start time is a new process: what was known of the old
    /// one no longer holds, nor do the slots held there. `debt`, in slots x seconds of run time, is the initial debt of
    /// its budget: it spreads the schedulers' first sends to a cold worker.
    fn update(&mut self, now: f64, entry: &ListEntry, types: usize, debt: f64, inherited: bool) {
        if let Some(w) = self.workers.get(entry.id).cloned() {
            let same = entry.state == ListState::Ready && w.entry.started_at == entry.started_at;
            if same || entry.state == ListState::Draining {
                return w.state.set(entry.state);
            }
            self.workers.remove(&w);
        }
        if entry.state != ListState::Gone {
            let concurrency_limit = self
                .workers
                .mean_concurrency_limit()
                .with_prior(self.max_slots, f64::MIN_POSITIVE);
            // The scheduler process that this one replaces may have sent its whole budget, so that counts as sent.
            let inherited_debt = if inherited {
                self.cold_rate(now, entry) * self.slow_start.overload_window
            } else {
                0.0
            };
            self.workers.insert(Rc::new(Worker::new(
                entry.clone(),
                concurrency_limit,
                types,
                (-debt - inherited_debt, now),
            )));
        }
    }

    /// Expected seconds from send to start at a worker. The last known delay of the worker decays to the mean of its
    /// zone, and that to zero; otherwise one long delay would keep work away for good.
    fn expected_delay(&self, now: f64, w: &Worker, mean_run_time: f64) -> f64 {
        if self.shares_load {
            let excess = (self.slots_held(w, mean_run_time) + 1.0 - self.max_slots).max(0.0)
                / self.max_slots;
            return excess * mean_run_time * w.slowness.borrow().with_prior(1.0, PRIOR_WEIGHT);
        }
        let decay = |duration: f64, since: f64| 1.0 / (1.0 + (now - since) / duration);
        // The delays of other workers do not apply to a cold worker, as its budget keeps its queue short.
        let zone = self
            .zones
            .get(&w.entry.zone)
            .filter(|_| !self.slow_start.is_cold(now, &w.entry));
        let zone_delay = zone.map_or(0.0, |z| {
            z.mean.with_prior(0.0, 0.0) * decay(RUN_TIME_MEMORY * mean_run_time, z.updated_at)
        });
        let (delay, at) = w.start_delay.get();
        zone_delay + (delay - zone_delay) * decay(mean_run_time, at)
    }

    /// Seconds between two messages of this scheduler to the others.
    fn message_interval(&self) -> f64 {
        self.min_turnaround * self.slow_start.scheduler_count / MESSAGES_PER_TURNAROUND
    }

    /// Slots held at a worker by this scheduler and, as far as reported and not ended since, by the others.
    fn slots_held(&self, w: &Worker, mean_run_time: f64) -> f64 {
        w.slots_in_flight.get()
            + w.peer_slots_total.get() / (1.0 + self.message_interval() / mean_run_time)
    }

    /// Further slots that this scheduler may use at a worker now; zero or less is none.
    fn headroom(&self, now: f64, w: &Worker, mean_run_time: f64) -> f64 {
        // Unstarted work of this scheduler shows that the worker's slots are taken, by others or permanently.
        let has_unstarted = self.reports_starts && w.unstarted.get() > 0;
        let is_spent = self.slow_start.is_cold(now, &w.entry) && self.cold_budget(now, w) <= 0.0;
        if w.state.get() != ListState::Ready || has_unstarted || is_spent {
            return 0.0;
        }
        // A worker that pulls its work has headroom for exactly what it asks for.
        if let Some(requests) = w.open_requests.get() {
            return requests.max(0) as f64;
        }
        let limit = if self.shares_load {
            self.max_slots
        } else {
            w.concurrency_limit.get()
        };
        match self.slots_held(w, mean_run_time) {
            0.0 => limit.max(1.0),
            slots => (limit - slots).round(),
        }
    }

    /// What this scheduler may still send a cold worker, in slots x seconds of run time: until it has warmed up, a
    /// worker gets only a limited share of its work. A token bucket that is refilled at `COLD_BUDGET_SHARE` of what is
    /// allowed for the worker's least capacity now. Each send spends slots x the usual run time of its project type,
    /// also one that the worker turns away.
    fn cold_budget(&self, now: f64, w: &Worker) -> f64 {
        let (left, at) = w.cold_budget.get();
        let rate = self.cold_rate(now, &w.entry);
        let left = (left + rate * (now - at)).min(rate * self.slow_start.overload_window / 2.0);
        w.cold_budget.set((left, now));
        left
    }

    /// Refill rate of that budget, per second.
    fn cold_rate(&self, now: f64, entry: &ListEntry) -> f64 {
        let share = self.slow_start.least_share(now, entry);
        self.slow_start.overload_multiple * share * self.max_slots
            / self.slow_start.scheduler_count.max(1.0)
            * COLD_BUDGET_SHARE
    }

    /// Whether the number of unstarted attempts allows another. Many schedulers that each leave work waiting at full
    /// workers would build long queues; `max_unstarted` does for the fleet what `concurrency_limit` does for a worker.
    /// Attempts unstarted for longer than `max_delay` do not count, so that they do not stop all other work.
    fn may_add_unstarted(&self, now: f64, queues: &Queues) -> bool {
        let max_delay = |wu: Rc<WorkUnit>| queues.max_delay(wu.project_type());
        let is_waiting = |a: &&Rc<Attempt>| {
            a.work_unit
                .upgrade()
                .is_some_and(|wu| now - a.sent_at < max_delay(wu))
        };
        let waiting = self.unstarted.iter().filter(is_waiting).count() as f64;
        !self.reports_starts || waiting < self.max_unstarted
    }

    /// Shrinks `max_unstarted` by up to a quarter if a start came after `max_delay`; else grows it by a quarter if half
    /// of it is used.
    fn adjust_max_unstarted(&mut self, late: bool, cost: f64) {
        let growth = if self.unstarted.len() as f64 + 1.0 > self.max_unstarted / 2.0 {
            1.25
        } else {
            1.0
        };
        self.max_unstarted = (self.max_unstarted * if late { 1.0 - cost / 4.0 } else { growth })
            .clamp(1.0, MAX_UNSTARTED);
    }

    fn record_send(&mut self, now: f64, attempt: &Rc<Attempt>, wu: &WorkUnit, run_time: f64) {
        let w = &attempt.worker;
        wu.attempts.borrow_mut().push(attempt.clone());
        self.unstarted.push(attempt.clone());
        self.workers.track(w);
        w.health.borrow_mut()[wu.project_type()].next_trial =
            now + self.trial_intervals[wu.project_type()];
        w.record_send(wu.slots, run_time);
        self.peers.record_change(w, self.shares_load);
    }

    /// Start delay in seconds beyond which the worker's slots are assumed to have been taken when the work was sent.
    fn overdue_after(&self, w: &Worker) -> f64 {
        self.zones.get(&w.entry.zone).map_or(0.0, |z| z.min * 2.0)
            + OVERDUE_START_SHARE * self.min_turnaround
    }

    /// Marks non-idempotent work as lost that has not started in time: the worker, or the connection to it, may lose
    /// work without an error. Lost work must not keep other work from that worker for as long as its client waits.
    fn mark_lost(&mut self, host: &mut dyn Host, now: f64, attempt: &Attempt, wu: &WorkUnit) {
        attempt.mark_lost(wu.slots);
        self.peers.record_change(&attempt.worker, self.shares_load);
        self.last_lost[wu.project_type()] = attempt.sent_at;
        self.unstarted.retain(|a| !std::ptr::eq(&**a, attempt));
        self.update_health(host, now, &attempt.worker, wu.project_type(), 1.0);
    }

    fn record_start(&mut self, now: f64, attempt: &Attempt, slots: f64) {
        attempt.start(now, slots);
        let w = &attempt.worker;
        let delay = now - attempt.sent_at;
        w.record_start_delay(now, delay);
        if delay > self.overdue_after(w) {
            w.halve_concurrency_limit();
        }
        self.zones
            .entry(w.entry.zone)
            .or_insert(StartDelays::new(delay))
            .add(now, delay, 1.0 - FLEET_GAIN);
        self.unstarted.retain(|a| !std::ptr::eq(&**a, attempt));
        if w.open_requests.get().is_none() {
            self.record_slots(w, w.slots_running.get());
        }
    }

    fn record_slots(&mut self, w: &Worker, slots: f64) {
        w.peak_slots.set(w.peak_slots.get().max(slots));
        self.max_slots = self.max_slots.max(slots);
    }

    /// Discards what was learned of workers when all are gone. The failure rate stays, as it depends on the work.
    fn forget(&mut self) {
        self.zones.clear();
        self.max_unstarted = MAX_UNSTARTED;
    }

    /// Releases the slots of an attempt, and updates the concurrency limit and the failure rate of its worker.
    fn record_outcome(
        &mut self,
        host: &mut dyn Host,
        now: f64,
        attempt: &Attempt,
        wu: &WorkUnit,
        outcome: Outcome,
    ) {
        let w = &attempt.worker;
        attempt.release(wu.slots);
        self.peers.record_change(&attempt.worker, self.shares_load);
        if let (
            LoadReport {
                free_slots: Some(free),
            },
            _,
        ) = w.report.get()
        {
            self.reports_slots = true;
            self.record_slots(w, (free * REPORTED_SLOTS_SHARE).round());
        }
        self.unstarted.retain(|a| !std::ptr::eq(&**a, attempt));
        let failed = match outcome {
            Outcome::Completed => 0.0,
            Outcome::Error | Outcome::NoConnection | Outcome::Dropped => 1.0,
            // A time-out without a start indicates a silent worker; one of a long run indicates nothing.
            Outcome::TimedOut if attempt.started_at.get().is_none() && !attempt.lost.get() => 1.0,
            Outcome::Full => return w.halve_concurrency_limit(),
            Outcome::TimedOut | Outcome::Recalled | Outcome::Moot => return,
        };
        if outcome == Outcome::Completed {
            let ceiling = if self.reports_starts {
                self.max_slots
            } else {
                4.0 * MIN_SLOTS
            };
            w.concurrency_limit
                .set((w.concurrency_limit.get() + 1.0).min(ceiling));
        }
        self.update_health(host, now, w, wu.project_type(), failed);
    }

    /// Outlier detection: a worker whose failure rate for a project type is far above the fleet's median becomes a
    /// suspect, as quick failures free its slots and attract more work. A suspect gets single trials, at intervals
    /// while they fail. The higher the failure rate of the whole fleet, the less a single failure counts.
    fn update_health(&mut self, host: &mut dyn Host, now: f64, w: &Worker, i: usize, failed: f64) {
        let threshold = SUSPECT_MARGIN + self.failure_rate.with_prior(0.0, 1.0 / FLEET_GAIN);
        self.failure_rate.add(failed, 1.0 - FLEET_GAIN);
        let mut status = w.health.borrow()[i];
        status.failure_rate += (failed - status.failure_rate) * FAILURE_GAIN;
        w.health.borrow_mut()[i] = status;
        let all = self
            .workers
            .ready()
            .map(|w| w.health.borrow()[i].failure_rate)
            .chain([status.failure_rate]);
        let failing = status.failure_rate > SUSPECT_MARGIN / 2.0;
        let excess = status.failure_rate - if failing { median(all.collect()) } else { 0.0 };
        let was = status.suspect;
        status.suspect = excess > threshold || was && excess > SUSPECT_MARGIN / 2.0;
        if was != status.suspect {
            host.log(&w.suspect_log_line(was, i, excess));
        }
        status.next_trial = now + failed * self.trial_intervals[i];
        w.health.borrow_mut()[i] = status;
    }
}

/// Requests for the worker list: one after the start, and the next when one has failed. Delays are random, and grow
/// with the number of failures. After a success nothing is requested: changes arrive as further calls of
/// [`Scheduler::on_list_update`], until one reports a failure.
#[derive(Default)]
pub struct ListPolling {
    /// Whether the scheduler has to request the list; otherwise the host delivers it without a request.
    pub on_request: bool,
    /// The next request follows the previous one within this many seconds, however that ends.
    pub max_interval: f64,
    /// Consecutive failures, counted from -1 after a list from the service and from 0 if there was none yet. At -1 the
    /// retry follows within a sixth of `max_interval`. A failure at 1 is logged: the third after a list, else the
    /// second.
    pub failures: i32,
    /// Time of the last request; `None` while the next one is scheduled.
    pub last_request: Option<f64>,
}

/// One scheduler; the module documentation explains how it decides.
pub struct Scheduler {
    rng: Rng,
    timers: TimerQueue<Timer>,
    shares: FairShares,
    queues: Queues,
    retry: RetryPolicy,
    fleet: Fleet,
    polling: ListPolling,
    redispatch_armed: bool, // A [`Timer::Redispatch`] is scheduled.
    message_armed: bool,    // A [`Timer::SendPeerMessage`] is scheduled.
}

impl Scheduler {
    /// A scheduler made of these parts.
    pub fn new(
        rng: Rng,
        parts: (FairShares, Queues, RetryPolicy, Fleet),
        polling: ListPolling,
    ) -> Scheduler {
        let ((shares, queues, retry, fleet), timers) = (parts, TimerQueue::default());
        Scheduler {
            rng,
            timers,
            shares,
            queues,
            retry,
            fleet,
            polling,
            redispatch_armed: false,
            message_armed: false,
        }
    }

    /// Begins to request the worker list.
    pub fn start(&mut self, host: &mut dyn Host, now: f64) {
        self.polling.last_request = Some(now);
        self.schedule_list_request(now);
        self.dispatch_and_arm(host, now);
    }

    /// Schedules the next list request, unless one is scheduled already, however many failures are reported.
    fn schedule_list_request(&mut self, now: f64) {
        let Some(last_request) = self
            .polling
            .last_request
            .take()
            .filter(|_| self.polling.on_request)
        else {
            return;
        };
        // Schedulers that start together must not send requests together, but each has to learn of changes soon.
        let spread = (self.fleet.slow_start.scheduler_count / LIST_SPREAD_SCHEDULERS).max(1.0)
            * 2f64.powi(self.polling.failures.max(0))
            / 8.0;
        let max_interval = self.polling.max_interval;
        let latest = if self.polling.failures < 0 {
            max_interval / 6.0
        } else {
            (last_request + max_interval - now).max(0.0)
        };
        self.timers.add(
            now + latest.min(max_interval * spread) * self.rng.uniform(),
            Timer::RequestList,
        );
    }

    /// The worker list has changed, or a request for it has failed.
    pub fn on_list_update(&mut self, host: &mut dyn Host, now: f64, update: ListUpdate) {
        let Some((entries, is_full)) = update.entries() else {
            (self.polling.failures == 1)
                .then(|| host.log("worker list is out of reach; using the last known list"));
            self.schedule_list_request(now);
            self.polling.failures += 1;
            return self.dispatch_and_arm(host, now);
        };
        // Only these come from the list service itself.
        let is_live = matches!(update, ListUpdate::Full(_) | ListUpdate::Changes(_));
        self.polling.failures = if is_live { -1 } else { self.polling.failures };
        let gone = if is_full {
            self.fleet.workers.entries_for_missing(entries)
        } else {
            Vec::new()
        };
        if !gone.is_empty() && gone.len() == self.fleet.workers.all().count() {
            self.fleet.forget();
        }
        for entry in gone.iter().chain(entries) {
            let debt = self.rng.uniform() * self.queues.mean_run_time();
            self.fleet.update(
                now,
                entry,
                self.queues.types.len(),
                debt,
                matches!(update, ListUpdate::Inherited(_)),
            );
        }
        // The slots observed at workers that are gone say nothing of those that are left.
        self.fleet.max_slots = self
            .fleet
            .workers
            .all()
            .map(|w| w.peak_slots.get())
            .fold(MIN_SLOTS, f64::max);
        self.fleet.reports_slots = self.fleet.workers.all().any(|w| w.report.get().1 > 0.0);
        if self.fleet.workers.ready().next().is_none() {
            host.log("worker list has no ready worker; queued work is deferred when it times out");
        }
        self.dispatch_and_arm(host, now);
    }

    /// A work unit has arrived; it is queued, and sent at once if a worker has headroom for it.
    pub fn on_arrival(&mut self, host: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>) {
        self.shares.charge(wu);
        wu.max_attempts.set(self.retry.max_attempts);
        // Untracked workers become candidates by a random draw only. The one that the host names is tracked, so that it
        // is always a candidate; whether the work may go elsewhere is for `Host::permits` to say.
        if let Some(preferred) = host.preferred_worker(wu) {
            self.fleet.workers.track_by_id(preferred);
        }
        self.queues.queue_of(wu).push(wu, false);
        self.timers
            .add(wu.deadline, Timer::Deadline(Rc::downgrade(wu)));
        self.timers.add(
            self.queues.queue_timeout_at(wu),
            Timer::QueueTimeout(Rc::downgrade(wu)),
        );
        self.dispatch_and_arm(host, now);
    }

    /// An attempt has started at its worker. Of parallel attempts the first to start is kept.
    pub fn on_start(&mut self, host: &mut dyn Host, now: f64, attempt: &Rc<Attempt>) {
        // A repeated notice, or one after the outcome, says nothing of what was sent since.
        let is_new = attempt.outcome.get().is_none() && attempt.started_at.get().is_none();
        if let Some(wu) = attempt.work_unit.upgrade().filter(|_| is_new) {
            attempt.worker.health.borrow_mut()[wu.project_type()].last_start = now;
            self.fleet.record_start(now, attempt, wu.slots);
            let is_too_late = now - attempt.sent_at > self.queues.max_delay(wu.project_type());
            self.fleet.adjust_max_unstarted(
                is_too_late,
                1.0 - self.queues.types[wu.project_type()].late_credit,
            );
            self.queues.queue_of(&wu).remove(&wu);
            let attempts = wu.attempts.borrow();
            // If another already runs, keep that one: else, of two starts reported together, each would cancel the
            // other.
            let is_running =
                |a: &&Rc<Attempt>| a.outcome.get().is_none() && a.started_at.get().is_some();
            let first = attempts
                .iter()
                .filter(is_running)
                .find(|a| !Rc::ptr_eq(a, attempt))
                .unwrap_or(attempt);
            self.retry.cancel_others(host, &wu, Some(first));
        }
        self.dispatch_and_arm(host, now);
    }

    /// An attempt has ended; `ended` if its work unit has its final answer with that.
    pub fn on_outcome(
        &mut self,
        host: &mut dyn Host,
        now: f64,
        attempt: &Rc<Attempt>,
        outcome: Outcome,
        ended: bool,
    ) {
        let Some(wu) = attempt
            .work_unit
            .upgrade()
            .filter(|_| attempt.outcome.get().is_none())
        else {
            return;
        };
        attempt.outcome.set(Some(outcome));
        self.fleet.record_outcome(host, now, attempt, &wu, outcome);
        if outcome == Outcome::Completed {
            let run_time = attempt.run_time(now);
            let usual_run_time = &mut self.queues.run_times[wu.project_type()];
            *usual_run_time += (run_time - *usual_run_time) * FLEET_GAIN;
            attempt.worker.run_times.borrow_mut()[wu.project_type()]
                .add(run_time, 1.0 - 1.0 / RUN_TIME_MEMORY);
            attempt
                .worker
                .slowness
                .borrow_mut()
                .add(run_time / *usual_run_time, 1.0 - FLEET_GAIN);
            attempt.worker.slowness_at.set(now);
        }
        if ended {
            self.close(host, &wu);
        } else if !wu.ended.get() && !wu.has_open_attempt() {
            self.queues.queue_of(&wu).remove(&wu);
            self.requeue(host, now, &wu, outcome);
        }
        self.dispatch_and_arm(host, now);
    }

    /// Puts a work unit whose attempt has ended without completing it at the front of its queue, or gives it up.
    fn requeue(&mut self, host: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>, outcome: Outcome) {
        let idempotency = self.queues.types[wu.project_type()].idempotency;
        let is_over = outcome == Outcome::Moot || now >= self.queues.queue_timeout_at(wu);
        if is_over
            || !self
                .fleet
                .workers
                .ready()
                .any(|w| self.retry.permits(now, idempotency, wu, w))
        {
            self.give_up(host, now, wu);
        } else {
            self.queues.queue_of(wu).push(wu, true);
        }
    }

    /// The scheduler gives up a work unit: it gives the final answer now, deferred if a repeat is harmless and the
    /// deadline has not passed, else aborted.
    pub fn give_up(&mut self, host: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>) {
        if self
            .retry
            .is_deferrable(self.queues.types[wu.project_type()].idempotency, wu)
            && now < wu.deadline
        {
            let turnaround = self.queues.types[wu.project_type()].promised_turnaround;
            host.defer(wu, (turnaround / 2.0).min(self.queues.max_retry_after));
        } else {
            host.abort(wu);
        }
        self.close(host, wu);
    }

    /// Ends a work unit: it leaves its queue, and its attempts in flight are cancelled.
    fn close(&mut self, host: &mut dyn Host, wu: &Rc<WorkUnit>) {
        self.queues.queue_of(wu).remove(wu);
        if !wu.ended.replace(true) {
            self.retry.cancel_others(host, wu, None);
        }
    }

    /// A message from another scheduler. It dispatches nothing; queued work waits for `Timer::Redispatch` or an event.
    pub fn on_peer_message(&mut self, now: f64, from: usize, bytes: &[u8]) {
        let is_expected =
            self.fleet.shares_load && (from as f64) < self.fleet.slow_start.scheduler_count;
        if let Some(message) = PeerMessage::decode(now, bytes).filter(|_| is_expected) {
            self.fleet
                .peers
                .apply(now, from, &message, &mut self.fleet.workers);
        }
    }

    /// The client has gone, or the host has answered it by itself.
    pub fn on_client_gone(&mut self, host: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>) {
        self.close(host, wu);
        self.dispatch_and_arm(host, now);
    }

    /// The timer set by [`Host::set_timer`] has fired, or workers may have new headroom.
    pub fn on_timer(&mut self, host: &mut dyn Host, now: f64) {
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                Timer::Deadline(wu) => match wu.upgrade() {
                    Some(wu) if !wu.ended.get() => self.give_up(host, now, &wu),
                    _ => {}
                },
                Timer::QueueTimeout(wu) => wu
                    .upgrade()
                    .iter()
                    .for_each(|wu| self.on_queue_timeout(host, now, wu)),
                Timer::StartOverdue(attempt) => self.on_start_overdue(host, now, attempt),
                Timer::RequestList => {
                    self.polling.last_request = Some(now);
                    host.request_worker_list();
                }
                Timer::Redispatch => self.redispatch_armed = false,
                Timer::SendPeerMessage => {
                    self.message_armed = false;
                    self.fleet
                        .peers
                        .next_message(now)
                        .iter()
                        .for_each(|message| host.broadcast(&message.encode()));
                }
            }
        }
        self.dispatch_and_arm(host, now);
    }

    /// Gives up a work unit that waits in its queue with no attempt in flight. One that was sent but has not started
    /// while it could earn its credit is cancelled, if a repeat is harmless: left in the workers' queues by hundreds of
    /// schedulers, such work would make all work behind it late, too.
    fn on_queue_timeout(&mut self, host: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>) {
        let (t, max_delay) = (
            &self.queues.types[wu.project_type()],
            self.queues.max_delay(wu.project_type()),
        );
        if wu.queued.get() && !wu.has_open_attempt() {
            return self.give_up(host, now, wu);
        }
        let may_withdraw =
            self.retry.may_cancel && self.fleet.reports_starts && t.late_credit == 0.0;
        let is_running = wu
            .attempts
            .borrow()
            .iter()
            .any(|a| a.outcome.get().is_none() && a.started_at.get().is_some());
        if may_withdraw && !is_running && !wu.ended.get() {
            if now < wu.arrived_at + max_delay - TIMER_TOLERANCE_S {
                // It was sent and may still start in time: look again when that time is over.
                self.timers.add(
                    wu.arrived_at + max_delay,
                    Timer::QueueTimeout(Rc::downgrade(wu)),
                );
            } else if self.retry.is_deferrable(t.idempotency, wu) {
                // It was sent and has not started in time: giving it up cancels its attempts.
                return self.give_up(host, now, wu);
            }
        }
        // If it is queued for another attempt while one is in flight, it waits for that no longer.
        self.queues.queue_of(wu).remove(wu);
    }

    /// An attempt has not started in time: its worker is full with work of other schedulers, or silent.
    /// Non-idempotent work is marked as lost there. Other work is queued for a second attempt if there is time left
    /// to run it, unless some worker has reported its free slots.
    fn on_start_overdue(&mut self, host: &mut dyn Host, now: f64, attempt: Weak<Attempt>) {
        let overdue = attempt
            .upgrade()
            .filter(|a| a.started_at.get().is_none() && a.outcome.get().is_none());
        let Some((attempt, wu)) = overdue.and_then(|a| Some((a.clone(), a.work_unit.upgrade()?)))
        else {
            return;
        };
        let (i, may_queue) = (wu.project_type(), !wu.ended.get() && !wu.queued.get());
        if self.queues.types[i].idempotency == Idempotency::NonIdempotent {
            self.fleet.mark_lost(host, now, &attempt, &wu);
        } else if may_queue
            && !self.fleet.reports_slots
            && now + self.queues.run_times[i] < wu.deadline
        {
            self.queues.queue_of(&wu).push(&wu, true);
        }
    }

    /// Dispatches queued work and arms the timer; called after each event.
    fn dispatch_and_arm(&mut self, host: &mut dyn Host, now: f64) {
        if self.queues.has_work() {
            self.dispatch(host, now);
            if self.queues.has_work() && !self.redispatch_armed {
                self.redispatch_armed = true;
                let delay = if self.fleet.shares_load {
                    self.fleet.message_interval()
                } else {
                    self.fleet.min_turnaround / 2.0
                };
                self.timers.add(now + delay, Timer::Redispatch);
            }
        }
        if !self.message_armed && self.fleet.peers.has_changes() {
            self.message_armed = true;
            self.timers
                .add(now + self.fleet.message_interval(), Timer::SendPeerMessage);
        }
        let is_void = |due: &_| matches!(due, Timer::Deadline(wu) | Timer::QueueTimeout(wu) if wu.strong_count() == 0);
        self.timers.arm(host, now, is_void);
    }

    /// The max-pressure rule. Workers with headroom are served in order of headroom / (time to start and run there);
    /// each gets at most one work unit per call, from the queue with the highest pressure that has one which may run
    /// there. The next event or `Timer::Redispatch` fills headroom that remains.
    fn dispatch(&mut self, host: &mut dyn Host, now: f64) {
        let mean_run_time = self.queues.mean_run_time();
        let workers = self.fleet.workers.candidates(&mut self.rng, |w| {
            self.fleet.headroom(now, w, mean_run_time) > 0.0
        });
        // `max_unstarted` does not apply to cold workers: the schedulers' budgets bound the queue of each.
        let (mut ready, mut may_add) =
            (Vec::new(), self.fleet.may_add_unstarted(now, &self.queues));
        for (i, w) in workers.iter().enumerate() {
            let mut headroom = self.fleet.headroom(now, w, mean_run_time);
            if self.fleet.shares_load {
                // All schedulers know the same load: without jitter one worker would get the work of all.
                headroom =
                    headroom.min(1.0) * (1.0 + RANK_JITTER * (2.0 * self.rng.uniform() - 1.0));
            }
            headroom *= if w.entry.zone == self.fleet.zone {
                1.0
            } else {
                self.fleet.zone_factor
            };
            if headroom > 0.0 && (may_add || self.fleet.slow_start.is_cold(now, &w.entry)) {
                let run_time = w.slowness.borrow().with_prior(1.0, PRIOR_WEIGHT) * mean_run_time;
                // The bit patterns of non-negative floats sort like the floats.
                let rank = headroom / (self.fleet.expected_delay(now, w, mean_run_time) + run_time);
                ready.push((rank.to_bits(), self.rng.uniform().to_bits(), i));
            }
        }
        ready.sort_unstable_by(|a, b| b.cmp(a));
        for is_first in [true, false] {
            ready.retain(|&(_, _, i)| {
                let may_send = self.queues.has_work()
                    && (may_add || self.fleet.slow_start.is_cold(now, &workers[i].entry));
                let is_sent = may_send && self.offer(host, now, &workers[i], is_first);
                may_add &= !is_sent || self.fleet.may_add_unstarted(now, &self.queues);
                !is_sent
            });
        }
    }

    /// Sends a work unit to this worker if one may run there; returns whether it did.
    fn offer(&mut self, host: &mut dyn Host, now: f64, w: &Rc<Worker>, is_first: bool) -> bool {
        let Some(wu) = self.pick(host, now, w, is_first) else {
            return false;
        };
        self.queues.queue_of(&wu).remove(&wu);
        let i = wu.project_type();
        let attempt = Attempt::new(&wu, w, now);
        self.fleet
            .record_send(now, &attempt, &wu, self.queues.run_times[i]);
        host.send_attempt(&attempt);
        // Work that may be repeated is sent elsewhere when its start is overdue, so only non-idempotent work can block
        // a worker for good.
        if self.retry.parallel_attempts && self.retry.may_cancel && self.fleet.reports_starts {
            let non_idempotent = self.queues.types[i].idempotency == Idempotency::NonIdempotent;
            let due_in = if non_idempotent {
                self.queues.max_delay(i)
            } else {
                self.fleet.overdue_after(w)
            };
            self.timers
                .add(now + due_in, Timer::StartOverdue(Rc::downgrade(&attempt)));
        }
        true
    }

    /// The work unit for this worker from the queue with the highest pressure that has one which may run there. First
    /// round: all project types except those in doubt at this worker; second round: only those. In doubt is a
    /// non-idempotent type of which an attempt was recently marked as lost, at any worker, if none of the type has
    /// started at this worker since that one was sent. Trials of a suspect are in both rounds.
    fn pick(&self, host: &dyn Host, now: f64, w: &Worker, is_first: bool) -> Option<Rc<WorkUnit>> {
        let mean_run_time = self.queues.mean_run_time();
        let headroom = if w.open_requests.get().is_some() {
            f64::MAX
        } else {
            self.fleet.headroom(now, w, mean_run_time).max(1.0)
        };
        // A worker that holds nothing may get a work unit of any number of slots, also of more than its limit.
        let fits =
            |wu: &WorkUnit| self.fleet.slots_held(w, mean_run_time) == 0.0 || wu.slots <= headroom;
        let permits = |wu: &WorkUnit| host.permits(wu, w);
        let health = w.health.borrow();
        let delay = self.fleet.expected_delay(now, w, mean_run_time);
        let mut best: Option<(f64, &Rc<WorkUnit>)> = None;
        for (i, queue) in self
            .queues
            .queues
            .iter()
            .enumerate()
            .filter(|(_, q)| q.len() > 0)
        {
            let t = &self.queues.types[i / 2];
            // The service rate is the inverse of the smoothed run time, with the fleet's mean as prior.
            let usual_run_time =
                self.queues.run_times[i / 2] * w.slowness.borrow().with_prior(1.0, PRIOR_WEIGHT);
            let run_time = w.run_times.borrow()[i / 2]
                .with_prior(usual_run_time, PRIOR_WEIGHT)
                .max(f64::MIN_POSITIVE);
            let pressure = self.queues.weight(i) * queue.len() as f64 / run_time;
            let is_unfit = !w.entry.project_types.contains(i / 2)
                || t.machine_kind.is_some_and(|k| k != w.entry.machine_kind);
            // No work goes where the expected start delay or the worker's slowness, which decays, would make it late.
            let fleet_run_time = self.queues.run_times[i / 2];
            let tolerance = t.promised_turnaround
                + (t.turnaround_stretch - 1.0).max(0.0) * fleet_run_time / 2.0;
            let decay = 1.0 + (now - w.slowness_at.get()) / mean_run_time;
            let is_too_slow = delay + ((run_time - fleet_run_time) / decay).max(0.0) > tolerance;
            let OutlierStatus {
                suspect,
                next_trial,
                last_start,
                ..
            } = health[i / 2];
            let non_idempotent = t.idempotency == Idempotency::NonIdempotent;
            // Non-idempotent work avoids workers where other types fail, and after a loss those where it is in doubt.
            let is_served = |j: usize| j != i / 2 && self.queues.served[j];
            let is_avoided =
                non_idempotent && (0..).zip(&*health).any(|(j, s)| s.suspect && is_served(j));
            let lost_at = self.fleet.last_lost[i / 2];
            let is_in_doubt = non_idempotent
                && last_start < lost_at
                && now < lost_at + self.fleet.trial_intervals[i / 2];
            let is_excluded = is_unfit || is_too_slow || is_avoided || suspect && now < next_trial;
            let is_in_turn = suspect || is_first != is_in_doubt;
            if is_in_turn && !is_excluded && best.is_none_or(|b| pressure > b.0) {
                let is_runnable =
                    |wu: &&Rc<WorkUnit>| fits(wu) && self.retry.permits(now, t.idempotency, wu, w);
                best = queue
                    .first_permitted(MAX_CANDIDATES, permits)
                    .find(is_runnable)
                    .map(|wu| (pressure, wu))
                    .or(best);
            }
        }
        best.map(|b| b.1.clone())
    }
}
