//! The nouns of mintlb, and the door through which its decisions act.
//!
//! A front (today the bench's adapter) makes the work units, hands them to
//! [`decide::Scheduler`] and carries out what comes through its [`Door`].
//! Times are seconds with fractions; `id` fields belong to the front.

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

/// Which workers drop a repeat of a receipted work unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    Deduplicated { scope: DedupScope, window: f64 },
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ProjectType {
    pub credit: f64,
    /// The part of the credit still earned after the promised turnaround.
    pub late_credit: f64,
    pub promised_turnaround: f64,
    /// The promise is longer by this many times the work's own running time.
    pub turnaround_stretch: f64,
    pub hard_limit: f64,
    pub idempotency: Idempotency,
    /// The only kind of machine that runs it, if there is one.
    pub machine_kind: Option<u16>,
}

/// A project type, its number from now on, and the number of the one that it continues with other terms: what was
/// learned of that one holds for it, too.
pub struct ProjectTypeUpdate {
    pub number: usize,
    pub predecessor: Option<usize>,
    pub project_type: ProjectType,
}

/// How an allocation ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Completed,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Dropped,
    Recalled,
    Moot,
}

/// What a worker said of its load; an absent value is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub free_slots: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListState {
    Ready,
    Draining,
    Gone,
}

/// The project types that a worker runs, of the first 64.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProjectTypeSet(u64);

impl Default for ProjectTypeSet {
    /// All of them.
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

/// The types by their numbers.
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

/// One line of the list of workers.
#[derive(Clone, Debug)]
pub struct ListEntry {
    pub id: u64,
    pub zone: u16,
    pub cell: u64,
    pub machine_kind: u16,
    pub state: ListState,
    /// When the process last started; 0 is long ago.
    pub started_at: f64,
    pub project_types: ProjectTypeSet,
    /// It fetches its work: it has room for what it asks for, and for nothing else.
    pub pulls_work: bool,
}

impl ListEntry {
    /// The id and the start scattered evenly, the same everywhere: a process is another after each start.
    pub fn peer_key(&self) -> u16 {
        ((self.id ^ self.started_at.to_bits()).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48) as u16
    }
}

/// The figures of the rule on cold workers.
#[derive(Clone, Copy, Default)]
pub struct SlowStart {
    pub initial_share: f64,
    pub duration: f64,
    pub overload_multiple: f64,
    pub overload_window: f64,
    /// How many schedulers there are to keep it together.
    pub scheduler_count: f64,
}

impl SlowStart {
    pub(crate) fn is_cold(&self, now: f64, entry: &ListEntry) -> bool {
        entry.started_at > 0.0 && now < entry.started_at + self.duration
    }

    /// The least part of its capacity that it has now.
    pub(crate) fn least_share(&self, now: f64, entry: &ListEntry) -> f64 {
        let age = ((now - entry.started_at) / self.duration).clamp(0.0, 1.0);
        self.initial_share + (1.0 - self.initial_share) * age
    }
}

/// What costs points beside work in vain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// For each allocation that crosses zones.
    pub cross_zone: f64,
    /// For each full message a work unit, where schedulers may tell one another anything.
    pub peer_message: Option<f64>,
}

/// What the list service had to say.
pub enum ListUpdate<'a> {
    Changes(&'a [ListEntry]),
    /// The full list: a worker that is not in it is gone.
    Full(&'a [ListEntry]),
    /// The full list as last had, before this start; it may be old.
    Cached(&'a [ListEntry]),
    /// The same, of a process that takes over from one that still sends.
    Inherited(&'a [ListEntry]),
    /// Changes of workers that the list service does not name.
    SelfRegistered(&'a [ListEntry]),
    Failed,
}

impl<'a> ListUpdate<'a> {
    /// The lines, and whether they are all that there are.
    pub(crate) fn entries(&self) -> Option<(&'a [ListEntry], bool)> {
        match *self {
            ListUpdate::Failed => None,
            ListUpdate::SelfRegistered(lines) | ListUpdate::Changes(lines) => Some((lines, false)),
            ListUpdate::Full(lines) | ListUpdate::Cached(lines) | ListUpdate::Inherited(lines) => {
                Some((lines, true))
            }
        }
    }
}

/// How a worker does with a project type: its smoothed share of failures, whether that makes it a suspect,
/// when it may be tried next, and when work of the type last started there.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierStatus {
    pub(crate) failures: f64,
    pub(crate) suspect: bool,
    pub(crate) next_trial: f64,
    pub(crate) started: f64,
}

/// A process on a machine; one that starts again is another `Worker`.
#[derive(Debug)]
pub struct Worker {
    pub entry: ListEntry,
    pub(crate) state: Cell<ListState>,
    /// Our allocations there that have no outcome yet, those of them not told to have started, and slots.
    pub(crate) out: Cell<usize>,
    pub(crate) unstarted: Cell<usize>,
    pub(crate) slots_out: Cell<f64>,
    /// Slots of ours seen running.
    pub(crate) running: Cell<f64>,
    pub(crate) allowance: Cell<f64>,
    /// Smoothed running time and its weight, for each project type.
    pub(crate) heard: RefCell<Vec<DecayingMean>>,
    /// How many times the usual it takes for the same work.
    pub(crate) pace: RefCell<DecayingMean>,
    /// Smoothed time from sending to starting, and when it was last heard.
    pub(crate) delay: Cell<(f64, f64)>,
    pub(crate) standing: RefCell<Vec<OutlierStatus>>,
    /// When its pace was last heard.
    pub(crate) heard_at: Cell<f64>,
    /// It was sent something, or others told of it.
    pub(crate) met: Cell<bool>,
    /// The most slots seen there at once, ours that ran or those that it told were free.
    pub(crate) lanes: Cell<f64>,
    /// The other schedulers' slots there as each last told, and when; the sum; whether ours are yet to be told.
    pub(crate) theirs: RefCell<Vec<(u8, f64)>>,
    pub(crate) others: Cell<f64>,
    pub(crate) noted: Cell<bool>,
    /// Budget for a cold worker, and when it was last topped up.
    pub(crate) budget: Cell<(f64, f64)>,
    pub(crate) report: Cell<(LoadReport, f64)>,
    /// Our slots sent since the last report.
    pub(crate) sent_since: Cell<f64>,
    /// One that fetches its work: how many work units it asks for beyond those it was sent.
    pub(crate) asks: Cell<Option<i64>>,
    /// How many it was ever sent.
    pub(crate) sends: Cell<u64>,
}

/// A buffer, first come first served.
#[derive(Debug, Default)]
pub struct Queue(VecDeque<Rc<WorkUnit>>);

impl Queue {
    pub(crate) fn put(&mut self, wu: &Rc<WorkUnit>, first: bool) {
        wu.waiting.set(true);
        if first {
            self.0.push_front(wu.clone())
        } else {
            self.0.push_back(wu.clone())
        }
    }

    pub(crate) fn take_out(&mut self, wu: &Rc<WorkUnit>) {
        if wu.waiting.replace(false) {
            self.0
                .iter()
                .position(|w| Rc::ptr_eq(w, wu))
                .map(|at| self.0.remove(at));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The first ones of those that may be sent at all: what has to wait must not hide the others.
    pub(crate) fn first(
        &self,
        most: usize,
        may: impl Fn(&WorkUnit) -> bool,
    ) -> impl Iterator<Item = &Rc<WorkUnit>> {
        self.0.iter().filter(move |wu| may(wu)).take(most)
    }
}

#[derive(Debug)]
pub struct WorkUnit {
    pub id: u64,
    pub project_type: usize,
    pub customer: Option<usize>,
    pub slots: f64,
    pub arrived_at: f64,
    /// When this try's client gives up.
    pub deadline: f64,
    /// How many allocations it may have, as it was when it came.
    pub(crate) most: Cell<usize>,
    pub(crate) excess: Cell<bool>,
    pub(crate) ended: Cell<bool>,
    pub(crate) waiting: Cell<bool>,
    pub(crate) allocs: RefCell<Vec<Rc<Allocation>>>,
}

#[derive(Debug)]
pub struct Allocation {
    pub work_unit: Weak<WorkUnit>,
    pub worker: Rc<Worker>,
    pub number: u16,
    pub sent_at: f64,
    pub(crate) started: Cell<Option<f64>>,
    /// Its slot at the worker is counted no more, as no start was told for too long.
    pub(crate) lost: Cell<bool>,
    pub(crate) outcome: Cell<Option<Outcome>>,
}

impl WorkUnit {
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
            project_type,
            customer,
            slots: if slots.is_finite() {
                slots.max(1.0)
            } else {
                1.0
            },
            arrived_at,
            deadline: arrived_at + time_budget,
            most: Cell::new(usize::MAX),
            excess: Cell::new(false),
            ended: Cell::new(false),
            waiting: Cell::new(false),
            allocs: RefCell::default(),
        })
    }

    pub fn allocation(&self, number: u16) -> Option<Rc<Allocation>> {
        self.allocs.borrow().get(number as usize).cloned()
    }

    /// Whether it had an allocation before.
    pub fn is_retry(&self) -> bool {
        !self.allocs.borrow().is_empty()
    }

    /// Is an allocation of it out?
    pub(crate) fn is_out(&self) -> bool {
        self.allocs
            .borrow()
            .iter()
            .any(|a| a.outcome.get().is_none())
    }

    /// Whether it has its final answer, or its client has left.
    pub fn ended(&self) -> bool {
        self.ended.get()
    }

    /// Ended, with no outcome outstanding: the front may forget it.
    pub fn is_settled(&self) -> bool {
        self.ended.get() && !self.is_out()
    }
}

impl Allocation {
    /// It has started at its worker, also after it was taken for lost there.
    pub(crate) fn start(&self, now: f64, slots: f64) {
        self.started.set(Some(now));
        if self.lost.replace(false) {
            self.worker.found(slots);
        }
        self.worker.began(slots);
    }

    /// It holds no slot at its worker any more, as far as we count them.
    pub(crate) fn free(&self, slots: f64) {
        if !self.lost.get() {
            self.worker.gave_back(slots, self.started.get().is_some());
        }
    }

    pub(crate) fn lose(&self, slots: f64) {
        self.free(slots);
        self.lost.set(true);
    }

    /// How long it has run, from its start where that was told.
    pub(crate) fn ran(&self, now: f64) -> f64 {
        now - self.started.get().unwrap_or(self.sent_at)
    }

    pub(crate) fn new(wu: &Rc<WorkUnit>, worker: &Rc<Worker>, sent_at: f64) -> Rc<Allocation> {
        Rc::new(Allocation {
            work_unit: Rc::downgrade(wu),
            worker: worker.clone(),
            number: wu.allocs.borrow().len() as u16,
            sent_at,
            started: Cell::new(None),
            lost: Cell::new(false),
            outcome: Cell::new(None),
        })
    }
}

impl Worker {
    /// Whether something new may go to it: it is listed as ready, and is still the process that it was.
    pub fn accepts_new_work(&self) -> bool {
        self.state.get() == ListState::Ready
    }

    /// A worker of which nothing is known but its line in the list.
    pub(crate) fn new(
        entry: ListEntry,
        allowance: f64,
        types: usize,
        budget: (f64, f64),
    ) -> Worker {
        Worker {
            state: Cell::new(entry.state),
            asks: Cell::new(entry.pulls_work.then_some(0)),
            out: Cell::new(0),
            unstarted: Cell::new(0),
            slots_out: Cell::new(0.0),
            running: Cell::new(0.0),
            allowance: Cell::new(allowance),
            heard: RefCell::new(vec![DecayingMean::default(); types]),
            pace: RefCell::default(),
            delay: Cell::new((0.0, 0.0)),
            standing: RefCell::new(vec![OutlierStatus::default(); types]),
            heard_at: Cell::new(0.0),
            others: Cell::new(0.0),
            lanes: Cell::new(0.0),
            met: Cell::new(false),
            theirs: RefCell::default(),
            noted: Cell::new(false),
            budget: Cell::new(budget),
            report: Cell::new((LoadReport::default(), 0.0)),
            sent_since: Cell::new(0.0),
            sends: Cell::new(0),
            entry,
        }
    }

    /// A project type has this number from now on, and what was heard of the one that it continues.
    pub(crate) fn take_type(&self, number: usize, continues: Option<usize>) {
        fn take<T: Copy + Default>(of: &mut Vec<T>, number: usize, continues: Option<usize>) {
            let heard = continues.map_or_else(T::default, |old| of[old]);
            of.resize(of.len().max(number + 1), T::default());
            of[number] = heard;
        }
        take(&mut self.heard.borrow_mut(), number, continues);
        take(&mut self.standing.borrow_mut(), number, continues);
    }

    /// Its zone and kind, and what it runs.
    pub(crate) fn kin(&self) -> (u16, u16, ProjectTypeSet) {
        (
            self.entry.zone,
            self.entry.machine_kind,
            self.entry.project_types,
        )
    }

    pub(crate) fn took(&self, slots: f64, work: f64) {
        self.out.set(self.out.get() + 1);
        self.unstarted.set(self.unstarted.get() + 1);
        self.slots_out.set(self.slots_out.get() + slots);
        self.sent_since.set(self.sent_since.get() + slots);
        self.asks.set(self.asks.get().map(|asks| asks - 1));
        self.sends.set(self.sends.get() + 1);
        let (budget, at) = self.budget.get();
        self.budget.set((budget - slots * work, at));
    }

    /// What was lost has started after all.
    pub(crate) fn found(&self, slots: f64) {
        self.out.set(self.out.get() + 1);
        self.unstarted.set(self.unstarted.get() + 1);
        self.slots_out.set(self.slots_out.get() + slots);
    }

    /// Another scheduler holds so many slots there.
    pub(crate) fn hear(&self, now: f64, from: usize, slots: u8) {
        let mut theirs = self.theirs.borrow_mut();
        let most = theirs.len().max(from + 1);
        theirs.resize(most, (0, now));
        theirs[from] = (slots, now);
        self.others
            .set(theirs.iter().map(|(slots, _)| f64::from(*slots)).sum());
    }

    /// What was told before that moment holds no more.
    pub(crate) fn void(&self, before: f64) {
        let mut theirs = self.theirs.borrow_mut();
        theirs
            .iter_mut()
            .filter(|(_, at)| *at < before)
            .for_each(|(slots, _)| *slots = 0);
        self.others
            .set(theirs.iter().map(|(slots, _)| f64::from(*slots)).sum());
    }

    /// What the others are told that we hold there.
    pub(crate) fn tell(&self) -> u8 {
        self.noted.set(false);
        self.slots_out.get().ceil().clamp(0.0, 255.0) as u8
    }

    /// A job of ours took this long to start there.
    pub(crate) fn heard_start(&self, now: f64, delay: f64) {
        let (old, _) = self.delay.get();
        self.delay.set((old + (delay - old) / 2.0, now));
    }

    /// For the log, that it is a suspect from now on, or was one.
    pub(crate) fn judged(&self, was: bool, project_type: usize, over: f64) -> String {
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

    pub(crate) fn halve(&self) {
        self.allowance.set((self.allowance.get() / 2.0).max(1.0));
    }

    /// What it has told of its load. Reports may be absurd: what is no number of slots is no report.
    pub fn record_report(&self, now: f64, report: LoadReport) {
        if report.free_slots.is_some_and(|f| f.is_finite() && f >= 0.0) {
            self.report.set((report, now));
            self.sent_since.set(0.0);
        }
    }

    /// One that fetches its work waits for so many work units. Of those it was sent it had heard of so many by
    /// then; the others are on their way, and take up as many.
    pub fn record_pull(&self, waiting: u64, orders: u64) {
        self.asks.set(Some(
            waiting as i64 + orders as i64 - self.sends.get() as i64,
        ));
    }

    pub(crate) fn began(&self, slots: f64) {
        self.unstarted.set(self.unstarted.get() - 1);
        self.running.set(self.running.get() + slots);
    }

    pub(crate) fn gave_back(&self, slots: f64, had_started: bool) {
        self.out.set(self.out.get() - 1);
        // Empty is empty, whatever sums of fractions leave.
        let left = if self.out.get() == 0 { 0.0 } else { 1.0 };
        self.slots_out.set((self.slots_out.get() - slots) * left);
        if had_started {
            self.running.set((self.running.get() - slots) * left);
        } else {
            self.unstarted.set(self.unstarted.get() - 1);
        }
    }

    /// Our slots there that have no outcome yet.
    pub fn slots_in_flight(&self) -> f64 {
        self.slots_out.get()
    }
}

/// All that the decisions can do.
pub trait Host {
    /// Whether limits that are not this scheduler's alone let the work unit have an allocation there now.
    fn permits(&self, _wu: &WorkUnit, _worker: &Worker) -> bool {
        true
    }
    /// The worker that would serve the work unit best, where the front knows of one.
    fn preferred_worker(&self, _wu: &WorkUnit) -> Option<u64> {
        None
    }
    fn allocate(&mut self, alloc: &Allocation);
    fn cancel(&mut self, alloc: &Allocation);
    /// A final answer: turned away, trying again is harmless.
    fn defer(&mut self, wu: &WorkUnit, come_back: f64);
    /// A final answer that promises nothing.
    fn abort(&mut self, wu: &WorkUnit);
    fn probe(&mut self, worker: &Worker);
    fn request_worker_list(&mut self);
    /// Tells all other schedulers; where there is no way to, it is lost like any word may be.
    fn broadcast(&mut self, _bytes: &[u8]) {}
    /// Asks for a call of `woke` this many seconds from now.
    fn set_timer(&mut self, seconds: f64);
    fn log(&mut self, line: &str);
}
