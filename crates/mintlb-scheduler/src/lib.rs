//! Data types of the scheduler, and the [`Host`] trait through which it acts.
//!
//! The program that embeds the scheduler (the dispatcher, `mintlb serve` or the bench adapter) is its host. The host
//! creates [`WorkUnit`]s, reports events to [`decide::Scheduler`] and carries out what the scheduler asks for through
//! [`Host`]. All times and durations are in seconds, times by the clock from which the host takes `now` (in mintlb-core
//! the Unix time). The host assigns the `id` fields.
//!
//! Each send of a work unit to a worker is an [`Attempt`].

pub mod decide;
pub mod peer_message;
pub mod peers;
pub mod settings;
pub mod util;
pub mod worker_index;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use util::DecayingMean;

/// Workers among which a repeated [`Idempotency::Deduplicated`] work unit is recognised and dropped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DedupScope {
    /// All workers.
    All,
    /// Workers of the same zone.
    Zone,
    /// Workers of the same cell.
    Cell,
}

/// Whether a work unit may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Running it again is harmless.
    Idempotent,
    /// Workers in `scope` drop a repeat that arrives within `window` seconds of the first send.
    Deduplicated { scope: DedupScope, window: f64 },
    /// Once it may have run, it must not be sent again.
    NonIdempotent,
}

/// Properties shared by all work units of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ProjectType {
    /// Points earned by a work unit that completes in time; also the weight of its queue.
    pub credit: f64,
    /// Share of `credit` that is still earned after the promised turnaround, from 0 to 1.
    pub late_credit: f64,
    /// Latency target: seconds from arrival to completion.
    pub promised_turnaround: f64,
    /// The promised turnaround is longer by this multiple of the work unit's own run time. The run itself takes one
    /// multiple; only the rest is time to wait.
    pub turnaround_stretch: f64,
    /// Longest time that a client may wait, in seconds.
    pub hard_limit: f64,
    pub idempotency: Idempotency,
    /// The only kind of machine that runs it; `None` if any kind does.
    pub machine_kind: Option<u16>,
}

/// A project type as it is configured from now on.
pub struct ProjectTypeUpdate {
    /// Index by which work units refer to it.
    pub number: usize,
    /// Number of the project type that this one replaces with changed properties; it takes over what was learned of it.
    pub predecessor: Option<usize>,
    pub project_type: ProjectType,
}

/// How an attempt ended. The host logs the variants' names (`outcome` of `allocation back`), and `mintlb count`
/// reads them there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Completed,
    /// The worker ran it, or may have run it, and failed.
    Error,
    /// The worker turned it away, or the host withdrew it before it was sent completely: it did not run.
    Full,
    /// The worker did not answer in time: it may have run.
    TimedOut,
    /// No connection to the worker was established: it did not run.
    NoConnection,
    /// The connection was lost after the request was sent: it may have run.
    Dropped,
    /// Cancelled by the scheduler through [`Host::cancel`]: it may have run.
    Recalled,
    /// The host could not send it and a retry is pointless, so the scheduler gives up its work unit: it did not run.
    Moot,
}

/// Load reported by a worker; a value that it did not report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub free_slots: Option<f64>,
}

/// State of a worker in the worker list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListState {
    Ready,
    /// It finishes what it has and gets nothing new.
    Draining,
    Gone,
}

/// Set of project types that a worker runs. Only the first 64 project types can be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProjectTypeSet(u64);

impl Default for ProjectTypeSet {
    /// All project types.
    fn default() -> ProjectTypeSet {
        ProjectTypeSet(u64::MAX)
    }
}

impl ProjectTypeSet {
    pub const EMPTY: ProjectTypeSet = ProjectTypeSet(0);

    pub fn contains(self, project_type: usize) -> bool {
        self.0 == u64::MAX
            || self
                .0
                .checked_shr(project_type as u32)
                .is_some_and(|bits| bits & 1 == 1)
    }

    pub fn difference(self, other: ProjectTypeSet) -> ProjectTypeSet {
        ProjectTypeSet(self.0 & !other.0)
    }

    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// Formats the numbers of the project types, joined by `+`.
impl std::fmt::Display for ProjectTypeSet {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let types: Vec<String> = (0..64)
            .filter(|t| self.0 >> t & 1 == 1)
            .map(|t| t.to_string())
            .collect();
        f.write_str(&types.join("+"))
    }
}

impl FromIterator<usize> for ProjectTypeSet {
    fn from_iter<I: IntoIterator<Item = usize>>(types: I) -> ProjectTypeSet {
        ProjectTypeSet(
            types
                .into_iter()
                .filter(|t| *t < 64)
                .fold(0, |bits, t| bits | 1 << t),
        )
    }
}

/// Entry of the worker list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    pub id: u64,
    /// Where it runs; an attempt to a zone other than that of the scheduler costs [`Costs::cross_zone`].
    pub zone: u16,
    /// Subdivision of its zone; only [`DedupScope::Cell`] depends on it.
    pub cell: u64,
    pub machine_kind: u16,
    pub state: ListState,
    /// When the process last started, by the clock of `now`; 0 if that was long ago: such a worker is never cold.
    pub started_at: f64,
    pub project_types: ProjectTypeSet,
    /// The worker pulls its work: it has headroom for exactly as much as it asks for.
    pub pulls_work: bool,
}

impl ListEntry {
    /// Key by which schedulers identify the worker to each other: a hash of its id and start time, so that a restarted
    /// process gets another key.
    pub fn peer_key(&self) -> u16 {
        ((self.id ^ self.started_at.to_bits()).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48) as u16
    }
}

/// Slow start: a worker that has just started (a "cold" worker) gets only a limited share of its work until it has
/// warmed up. This is how much all schedulers together may send one.
#[derive(Clone, Copy, Default)]
pub struct SlowStart {
    /// Share of its full capacity that a worker has at its start.
    pub initial_share: f64,
    /// Seconds from the start until the worker has its full capacity.
    pub duration: f64,
    /// A worker is overloaded by more than this multiple of what it can run within `overload_window`.
    pub overload_multiple: f64,
    /// Seconds over which the work sent to a worker is summed.
    pub overload_window: f64,
    /// Number of schedulers that share the allowance. It also sets the interval of messages between schedulers and the
    /// spread of list requests.
    pub scheduler_count: f64,
}

impl SlowStart {
    pub(crate) fn is_cold(&self, now: f64, entry: &ListEntry) -> bool {
        entry.started_at > 0.0 && now < entry.started_at + self.duration
    }

    /// Lower bound of the share of its full capacity that the worker has now.
    pub(crate) fn least_share(&self, now: f64, entry: &ListEntry) -> f64 {
        let age = ((now - entry.started_at) / self.duration).clamp(0.0, 1.0);
        self.initial_share + (1.0 - self.initial_share) * age
    }
}

/// Costs beside wasted work, in points (the unit of [`ProjectType::credit`]).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Points charged for each attempt to another zone.
    pub cross_zone: f64,
    /// Points charged per work unit if one full peer message is sent for each; `None` if schedulers may not exchange
    /// messages.
    pub peer_message: Option<f64>,
}

/// Update from the worker list service, or from workers that connect by themselves.
pub enum ListUpdate<'a> {
    /// Entries that have changed.
    Changes(&'a [ListEntry]),
    /// The full list: a worker that is not in it is gone.
    Full(&'a [ListEntry]),
    /// The last full list known before this scheduler process started; it may be out of date.
    Cached(&'a [ListEntry]),
    /// Like `Cached`, but the scheduler process that this one replaces still sends work.
    Inherited(&'a [ListEntry]),
    /// Changed entries of workers that the list service does not name.
    SelfRegistered(&'a [ListEntry]),
    /// A request to the list service failed.
    Failed,
}

impl<'a> ListUpdate<'a> {
    /// The entries, and whether they are the full list.
    pub(crate) fn entries(&self) -> Option<(&'a [ListEntry], bool)> {
        match *self {
            ListUpdate::Failed => None,
            ListUpdate::SelfRegistered(entries) | ListUpdate::Changes(entries) => {
                Some((entries, false))
            }
            ListUpdate::Full(entries)
            | ListUpdate::Cached(entries)
            | ListUpdate::Inherited(entries) => Some((entries, true)),
        }
    }
}

/// Outlier detection for one worker and project type.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierStatus {
    /// Smoothed share of failures among the outcomes.
    pub(crate) failure_rate: f64,
    /// The failure rate is an outlier: the worker gets single trials only.
    pub(crate) suspect: bool,
    /// A suspect gets no work of the type before this time.
    pub(crate) next_trial: f64,
    /// When work of the type last started there.
    pub(crate) last_start: f64,
}

/// A worker process and what this scheduler knows of it; a restarted process is another `Worker`.
#[derive(Debug)]
pub struct Worker {
    pub entry: ListEntry,
    pub(crate) state: Cell<ListState>,
    /// Attempts of this scheduler without an outcome.
    pub(crate) in_flight: Cell<usize>,
    /// Those of them that are not known to have started.
    pub(crate) unstarted: Cell<usize>,
    /// Slots of the attempts in flight.
    pub(crate) slots_in_flight: Cell<f64>,
    /// Slots of those that have started.
    pub(crate) slots_running: Cell<f64>,
    /// Slots that this scheduler may have in flight there; adapted to late starts and completions.
    pub(crate) concurrency_limit: Cell<f64>,
    /// Smoothed run time by project type.
    pub(crate) run_times: RefCell<Vec<DecayingMean>>,
    /// Smoothed ratio of its run times to the fleet's.
    pub(crate) slowness: RefCell<DecayingMean>,
    /// Smoothed time from send to start, and when it was last updated.
    pub(crate) start_delay: Cell<(f64, f64)>,
    /// Outlier status by project type.
    pub(crate) health: RefCell<Vec<OutlierStatus>>,
    /// When `slowness` was last updated.
    pub(crate) slowness_at: Cell<f64>,
    /// The worker is ranked individually: this scheduler has sent it something, or another reported slots there.
    pub(crate) tracked: Cell<bool>,
    /// The most slots observed there at once: running for this scheduler, or reported as free.
    pub(crate) peak_slots: Cell<f64>,
    /// Slots held there by each other scheduler, and when that was reported.
    pub(crate) peer_slots: RefCell<Vec<(u8, f64)>>,
    pub(crate) peer_slots_total: Cell<f64>,
    /// A change of `slots_in_flight` waits to be sent to the other schedulers.
    pub(crate) change_queued: Cell<bool>,
    /// Token bucket that limits sends to a cold worker: tokens left, in slots x seconds of run time, and when it was
    /// last refilled.
    pub(crate) cold_budget: Cell<(f64, f64)>,
    /// The last load report, and when it arrived; 0 if none has.
    pub(crate) report: Cell<(LoadReport, f64)>,
    /// Slots sent there since the last load report. It is updated, but nothing reads it.
    pub(crate) slots_sent_since_report: Cell<f64>,
    /// For a worker that pulls its work: work units that it has requested beyond those sent to it.
    pub(crate) open_requests: Cell<Option<i64>>,
    /// Work units ever sent to it.
    pub(crate) sent_count: Cell<u64>,
}

/// FIFO queue of work units.
#[derive(Debug, Default)]
pub struct Queue(VecDeque<Rc<WorkUnit>>);

impl Queue {
    pub(crate) fn push(&mut self, wu: &Rc<WorkUnit>, front: bool) {
        wu.queued.set(true);
        if front {
            self.0.push_front(wu.clone())
        } else {
            self.0.push_back(wu.clone())
        }
    }

    /// Adds a work unit behind those that arrived before it.
    pub(crate) fn insert_by_arrival(&mut self, wu: &Rc<WorkUnit>) {
        wu.queued.set(true);
        let at = self.0.iter().rposition(|w| w.arrived_at <= wu.arrived_at);
        self.0.insert(at.map_or(0, |at| at + 1), wu.clone());
    }

    pub(crate) fn remove(&mut self, wu: &Rc<WorkUnit>) {
        if wu.queued.replace(false) {
            self.0
                .iter()
                .position(|w| Rc::ptr_eq(w, wu))
                .map(|at| self.0.remove(at));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The first `limit` work units that `permits` accepts; those that it refuses do not count.
    pub(crate) fn first_permitted(
        &self,
        limit: usize,
        permits: impl Fn(&WorkUnit) -> bool,
    ) -> impl Iterator<Item = &Rc<WorkUnit>> {
        self.0.iter().filter(move |wu| permits(wu)).take(limit)
    }
}

/// A request or batch item to be run by one worker.
#[derive(Debug)]
pub struct WorkUnit {
    pub id: u64,
    /// Number of its project type.
    pub(crate) project_type: Cell<usize>,
    /// `None` if the host has no customers configured.
    pub customer: Option<usize>,
    /// Slots that it takes up at a worker, at least 1.
    pub slots: f64,
    pub arrived_at: f64,
    /// When its client stops waiting for the answer.
    pub deadline: f64,
    /// Limit of its attempts, as configured when it arrived.
    pub(crate) max_attempts: Cell<usize>,
    /// It arrived when its customer had used up its share.
    pub(crate) over_share: Cell<bool>,
    /// It has its final answer, or its client is gone.
    pub(crate) ended: Cell<bool>,
    pub(crate) queued: Cell<bool>,
    pub(crate) attempts: RefCell<Vec<Rc<Attempt>>>,
}

/// One send of a work unit to a worker.
#[derive(Debug)]
pub struct Attempt {
    pub work_unit: Weak<WorkUnit>,
    pub worker: Rc<Worker>,
    /// Index among the attempts of its work unit.
    pub number: u16,
    pub sent_at: f64,
    pub(crate) started_at: Cell<Option<f64>>,
    /// It has not started for so long that its slots no longer count as taken.
    pub(crate) lost: Cell<bool>,
    pub(crate) outcome: Cell<Option<Outcome>>,
}

impl WorkUnit {
    /// A work unit that has just arrived; `time_budget` is the number of seconds from its arrival to its deadline.
    pub fn new(
        id: u64,
        project_type: usize,
        customer: Option<usize>,
        slots: f64,
        arrived_at: f64,
        time_budget: f64,
    ) -> Rc<WorkUnit> {
        Rc::new(WorkUnit {
            id,
            project_type: Cell::new(project_type),
            customer,
            slots: if slots.is_finite() {
                slots.max(1.0)
            } else {
                1.0
            },
            arrived_at,
            deadline: arrived_at + time_budget,
            max_attempts: Cell::new(usize::MAX),
            over_share: Cell::new(false),
            ended: Cell::new(false),
            queued: Cell::new(false),
            attempts: RefCell::default(),
        })
    }

    /// Number of its project type. It changes if the number is given up, see
    /// [`Scheduler::replace_number`](crate::decide::Scheduler::replace_number).
    pub fn project_type(&self) -> usize {
        self.project_type.get()
    }

    pub fn attempt(&self, number: u16) -> Option<Rc<Attempt>> {
        self.attempts.borrow().get(number as usize).cloned()
    }

    /// Whether an attempt was sent before.
    pub fn is_retry(&self) -> bool {
        !self.attempts.borrow().is_empty()
    }

    /// Whether an attempt of it is in flight.
    pub(crate) fn has_open_attempt(&self) -> bool {
        self.attempts
            .borrow()
            .iter()
            .any(|a| a.outcome.get().is_none())
    }

    /// Whether it has its final answer, or its client is gone.
    pub fn ended(&self) -> bool {
        self.ended.get()
    }

    /// Whether it has ended with no attempt in flight, so that the host may drop it.
    pub fn is_settled(&self) -> bool {
        self.ended.get() && !self.has_open_attempt()
    }
}

impl Attempt {
    /// Records that it has started at its worker, possibly after it was marked as lost.
    pub(crate) fn start(&self, now: f64, slots: f64) {
        self.started_at.set(Some(now));
        if self.lost.replace(false) {
            self.worker.restore_lost(slots);
        }
        self.worker.record_start(slots);
    }

    /// Releases its slots at the worker, unless it was marked as lost and they are released already.
    pub(crate) fn release(&self, slots: f64) {
        if !self.lost.get() {
            self.worker
                .release_slots(slots, self.started_at.get().is_some());
        }
    }

    pub(crate) fn mark_lost(&self, slots: f64) {
        self.release(slots);
        self.lost.set(true);
    }

    /// Seconds since its start, or since it was sent if no start was reported.
    pub(crate) fn run_time(&self, now: f64) -> f64 {
        now - self.started_at.get().unwrap_or(self.sent_at)
    }

    pub(crate) fn new(wu: &Rc<WorkUnit>, worker: &Rc<Worker>, sent_at: f64) -> Rc<Attempt> {
        Rc::new(Attempt {
            work_unit: Rc::downgrade(wu),
            worker: worker.clone(),
            number: wu.attempts.borrow().len() as u16,
            sent_at,
            started_at: Cell::new(None),
            lost: Cell::new(false),
            outcome: Cell::new(None),
        })
    }
}

impl Worker {
    /// Whether new work may be sent to it: it is listed as ready, and the process has not restarted since.
    pub fn accepts_new_work(&self) -> bool {
        self.state.get() == ListState::Ready
    }

    /// A worker of which only its entry in the list is known.
    pub(crate) fn new(
        entry: ListEntry,
        concurrency_limit: f64,
        types: usize,
        cold_budget: (f64, f64),
    ) -> Worker {
        Worker {
            state: Cell::new(entry.state),
            open_requests: Cell::new(entry.pulls_work.then_some(0)),
            in_flight: Cell::new(0),
            unstarted: Cell::new(0),
            slots_in_flight: Cell::new(0.0),
            slots_running: Cell::new(0.0),
            concurrency_limit: Cell::new(concurrency_limit),
            run_times: RefCell::new(vec![DecayingMean::default(); types]),
            slowness: RefCell::default(),
            start_delay: Cell::new((0.0, 0.0)),
            health: RefCell::new(vec![OutlierStatus::default(); types]),
            slowness_at: Cell::new(0.0),
            peer_slots_total: Cell::new(0.0),
            peak_slots: Cell::new(0.0),
            tracked: Cell::new(false),
            peer_slots: RefCell::default(),
            change_queued: Cell::new(false),
            cold_budget: Cell::new(cold_budget),
            report: Cell::new((LoadReport::default(), 0.0)),
            slots_sent_since_report: Cell::new(0.0),
            sent_count: Cell::new(0),
            entry,
        }
    }

    /// Prepares for a project type with this number; it takes over what was learned of its predecessor.
    pub(crate) fn set_project_type(&self, number: usize, predecessor: Option<usize>) {
        fn copy<T: Copy + Default>(values: &mut Vec<T>, number: usize, predecessor: Option<usize>) {
            let learned = predecessor.map_or_else(T::default, |old| values[old]);
            values.resize(values.len().max(number + 1), T::default());
            values[number] = learned;
        }
        copy(&mut self.run_times.borrow_mut(), number, predecessor);
        copy(&mut self.health.borrow_mut(), number, predecessor);
    }

    /// Key of the group of interchangeable workers that it belongs to: zone, kind of machine and project types.
    pub(crate) fn group_key(&self) -> (u16, u16, ProjectTypeSet) {
        (
            self.entry.zone,
            self.entry.machine_kind,
            self.entry.project_types,
        )
    }

    pub(crate) fn record_send(&self, slots: f64, run_time: f64) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.unstarted.set(self.unstarted.get() + 1);
        self.slots_in_flight.set(self.slots_in_flight.get() + slots);
        self.slots_sent_since_report
            .set(self.slots_sent_since_report.get() + slots);
        self.open_requests
            .set(self.open_requests.get().map(|requests| requests - 1));
        self.sent_count.set(self.sent_count.get() + 1);
        let (budget, at) = self.cold_budget.get();
        self.cold_budget.set((budget - slots * run_time, at));
    }

    /// Counts an attempt again that was marked as lost and has started after all.
    pub(crate) fn restore_lost(&self, slots: f64) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.unstarted.set(self.unstarted.get() + 1);
        self.slots_in_flight.set(self.slots_in_flight.get() + slots);
    }

    /// Records how many slots another scheduler holds there.
    pub(crate) fn record_peer_slots(&self, now: f64, from: usize, slots: u8) {
        let mut peer_slots = self.peer_slots.borrow_mut();
        let schedulers = peer_slots.len().max(from + 1);
        peer_slots.resize(schedulers, (0, now));
        peer_slots[from] = (slots, now);
        self.peer_slots_total
            .set(peer_slots.iter().map(|(slots, _)| f64::from(*slots)).sum());
    }

    /// Discards what other schedulers reported before this time.
    pub(crate) fn expire_peer_slots(&self, before: f64) {
        let mut peer_slots = self.peer_slots.borrow_mut();
        peer_slots
            .iter_mut()
            .filter(|(_, at)| *at < before)
            .for_each(|(slots, _)| *slots = 0);
        self.peer_slots_total
            .set(peer_slots.iter().map(|(slots, _)| f64::from(*slots)).sum());
    }

    /// The slots held there to report to the other schedulers; clears `change_queued`.
    pub(crate) fn slots_for_peers(&self) -> u8 {
        self.change_queued.set(false);
        self.slots_in_flight.get().ceil().clamp(0.0, 255.0) as u8
    }

    /// Records how long an attempt took to start there.
    pub(crate) fn record_start_delay(&self, now: f64, delay: f64) {
        let (old, _) = self.start_delay.get();
        self.start_delay.set((old + (delay - old) / 2.0, now));
    }

    /// The log line for a worker that has become a suspect, or is none any more.
    pub(crate) fn suspect_log_line(&self, was: bool, project_type: usize, over: f64) -> String {
        let now_is = if was {
            "trusted again"
        } else {
            "a suspect, sent single trials only"
        };
        let id = self.entry.id;
        format!(
            "worker {id:012x} is {now_is}, project type {project_type}: {over:.2} over the fleet's median"
        )
    }

    pub(crate) fn halve_concurrency_limit(&self) {
        self.concurrency_limit
            .set((self.concurrency_limit.get() / 2.0).max(1.0));
    }

    /// Records a load report. One whose number of free slots is negative or not finite is ignored. It dispatches
    /// nothing: the number is used at the worker's next outcome.
    pub fn record_report(&self, now: f64, report: LoadReport) {
        if report.free_slots.is_some_and(|f| f.is_finite() && f >= 0.0) {
            self.report.set((report, now));
            self.slots_sent_since_report.set(0.0);
        }
    }

    /// Records that a worker that pulls its work waits for `waiting` work units. `received` is how many of all work
    /// units ever sent to it have arrived there; the others are on their way and count against `waiting`. This
    /// dispatches nothing: the host calls [`decide::Scheduler::on_timer`] afterwards.
    pub fn record_pull(&self, waiting: u64, received: u64) {
        self.open_requests.set(Some(
            waiting as i64 + received as i64 - self.sent_count.get() as i64,
        ));
    }

    pub(crate) fn record_start(&self, slots: f64) {
        self.unstarted.set(self.unstarted.get() - 1);
        self.slots_running.set(self.slots_running.get() + slots);
    }

    pub(crate) fn release_slots(&self, slots: f64, had_started: bool) {
        self.in_flight.set(self.in_flight.get() - 1);
        // Rounding errors of fractional slots must not leave an idle worker with a remainder.
        let remainder_factor = if self.in_flight.get() == 0 { 0.0 } else { 1.0 };
        self.slots_in_flight
            .set((self.slots_in_flight.get() - slots) * remainder_factor);
        if had_started {
            self.slots_running
                .set((self.slots_running.get() - slots) * remainder_factor);
        } else {
            self.unstarted.set(self.unstarted.get() - 1);
        }
    }

    /// Slots of this scheduler's attempts in flight there.
    pub fn slots_in_flight(&self) -> f64 {
        self.slots_in_flight.get()
    }
}

/// The program that embeds a scheduler: carries out its decisions and answers its questions.
pub trait Host {
    /// Whether limits outside the scheduler allow this attempt now.
    fn permits(&self, _wu: &WorkUnit, _worker: &Worker) -> bool {
        true
    }
    /// Id of the worker that would serve the work unit best, if the host knows one; asked when the work unit arrives.
    /// The scheduler only makes this worker a candidate at each dispatch from then on. A host that keeps work for it
    /// refuses other workers in `permits`.
    fn preferred_worker(&self, _wu: &WorkUnit) -> Option<u64> {
        None
    }
    /// Sends an attempt to its worker.
    fn send_attempt(&mut self, attempt: &Attempt);
    /// Cancels an attempt in flight; its outcome is reported all the same.
    fn cancel(&mut self, attempt: &Attempt);
    /// Gives the final answer that the work unit was turned away and that a repeat is harmless, best after
    /// `retry_after` seconds.
    fn defer(&mut self, wu: &WorkUnit, retry_after: f64);
    /// Gives the final answer that leaves open whether the work unit has run.
    fn abort(&mut self, wu: &WorkUnit);
    /// Requests a load report from a worker. The scheduler itself never calls it.
    fn probe(&mut self, worker: &Worker);
    /// Requests the worker list from the list service.
    fn request_worker_list(&mut self);
    /// Sends a message to all other schedulers. Messages may be lost, and a host without a way to send them drops them.
    fn broadcast(&mut self, _bytes: &[u8]) {}
    /// Requests a call of [`decide::Scheduler::on_timer`] this many seconds from now.
    fn set_timer(&mut self, seconds: f64);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
