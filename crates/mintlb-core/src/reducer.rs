//! All changes of state, on one thread: what was read goes in, what is to be done comes out.
//!
//! The decisions act through their door; here it writes down [`Action`]s. Nothing in this file reads, writes or
//! waits, so that each case can be played in a test.

use crate::budget::{Expense, SharedBudgets};
use crate::dispatch_policy::{DispatchPolicy, Permission};
use crate::membership::{Membership, MembershipUpdate, WorkerSource};
use crate::metrics::Gauges;
use crate::project_types::{NamedProjectType, ProjectTypes};
use crate::work::{
    AllocationId, AllocationRequest, AllocationResult, Answer, Endpoint, Payload, Responder,
    Submission,
};
use mintlb_scheduler::decide::Scheduler;
use mintlb_scheduler::settings::ReloadableSettings;
use mintlb_scheduler::{
    Allocation, Host, ListUpdate, LoadReport, Outcome, ProjectType, WorkUnit, Worker,
};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::collections::hash_map::Entry;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// What was read.
pub enum Event {
    Submitted(Submission),
    /// The client has gone away.
    ClientLeft(u64),
    /// Nothing more is to be tried for it: its answer is due now.
    NoMoreAttempts(u64),
    Started(AllocationId),
    Finished(AllocationResult),
    LoadReported(u64, LoadReport),
    /// A worker that fetches its work waits for so many work units; it had heard of so many orders by then.
    WorkerPolled {
        worker: u64,
        requested: u64,
        requests_seen: u64,
    },
    /// A source has told of workers; the list service also which version that was.
    MembershipChanged(Option<u64>, MembershipUpdate),
    /// The list service has failed.
    ListFailed,
    /// The list service is at another address.
    ListMoved,
    TimerFired,
    /// The program ends: what is still held gets its answer now.
    DrainDeadline,
}

/// What is to be done.
pub enum Action {
    Send {
        endpoint: Arc<dyn Endpoint>,
        request: AllocationRequest,
    },
    /// Gives up an allocation.
    Cancel(AllocationId),
    Answer {
        work_unit: u64,
        /// `None` if the work unit was not taken.
        project_type: Option<usize>,
        responder: Box<dyn Responder>,
        answer: Answer,
    },
    Probe {
        worker: u64,
        endpoint: Arc<dyn Endpoint>,
    },
    Watch {
        after: Option<u64>,
    },
    WakeIn(f64),
    Log(String),
}

struct Held {
    work_unit: Rc<WorkUnit>,
    client_request_id: Option<Box<[u8]>>,
    payload: Payload,
    /// Where the final answer goes, until it is given.
    responder: Option<Box<dyn Responder>>,
}

pub struct Reducer {
    scheduler: Scheduler,
    project_types: ProjectTypes,
    /// Allocations that may be out at once, and how many seconds before its client's limit one ends.
    most_out: usize,
    margin: f64,
    held: FxHashMap<u64, Held>,
    /// The clients' ids of what is held, and of what is over, up to when its client would have given up.
    ids: HashSet<Box<[u8]>>,
    over: VecDeque<(f64, Box<[u8]>)>,
    /// What is out, and what takes it back as far as it is not written.
    out: FxHashMap<AllocationId, CancellationToken>,
    membership: Membership,
    version: Option<u64>,
    /// Limits of many schedulers together, where there are any.
    purse: Option<Arc<dyn SharedBudgets>>,
    /// What else is asked whether work may go to a worker, where anything is.
    permit: Option<Arc<dyn DispatchPolicy>>,
    look_at: f64,
}

/// The module's door onto the backs.
struct OpenDoor<'a> {
    now: f64,
    most_out: usize,
    margin: f64,
    version: Option<u64>,
    held: &'a mut FxHashMap<u64, Held>,
    out: &'a mut FxHashMap<AllocationId, CancellationToken>,
    membership: &'a Membership,
    purse: Option<&'a dyn SharedBudgets>,
    has: Cell<Option<bool>>,
    permit: Option<&'a dyn DispatchPolicy>,
    /// The earliest time at which what was refused may be permitted.
    look_at: Cell<f64>,
    acts: Vec<Action>,
    /// Allocations whose outcome is known without a word from the worker.
    known: Vec<AllocationResult>,
    /// Work units that may be over.
    touched: Vec<u64>,
}

impl OpenDoor<'_> {
    fn answer(&mut self, id: u64, answer: Answer) {
        self.touched.push(id);
        let held = self.held.get_mut(&id);
        if let Some((responder, work_unit)) =
            held.and_then(|held| Some((held.responder.take()?, &held.work_unit)))
        {
            let project_type = Some(work_unit.project_type);
            self.acts.push(Action::Answer {
                work_unit: id,
                project_type,
                responder,
                answer,
            });
        }
    }
}

impl Host for OpenDoor<'_> {
    fn permits(&self, work_unit: &WorkUnit, worker: &Worker) -> bool {
        if let Some((permit, held)) = self.permit.zip(self.held.get(&work_unit.id)) {
            match permit.permits(self.now, work_unit, &held.payload, worker) {
                Permission::Granted => {}
                Permission::Refused => return false,
                Permission::NotBefore(at) => {
                    self.look_at.set(self.look_at.get().min(at));
                    return false;
                }
            }
        }
        let Some(purse) = self.purse.filter(|_| work_unit.is_retry()) else {
            return true;
        };
        // Asked for each work unit that waits and each worker: the answer holds until something is sent.
        let has = self
            .has
            .get()
            .unwrap_or_else(|| purse.has_available(Expense { is_retry: true }));
        self.has.set(Some(has));
        has
    }
    fn preferred_worker(&self, work_unit: &WorkUnit) -> Option<u64> {
        let (permit, held) = self.permit.zip(self.held.get(&work_unit.id))?;
        permit.preferred_worker(&held.payload)
    }
    fn allocate(&mut self, alloc: &Allocation) {
        let Some(work_unit) = alloc.work_unit.upgrade() else {
            return;
        };
        let id = (work_unit.id, alloc.number);
        let full = self.out.len() >= self.most_out;
        let withdrawn = CancellationToken::new();
        self.out.insert(id, withdrawn.clone());
        let is_retry = alloc.number > 0;
        let reservation = self
            .purse
            .filter(|_| is_retry)
            .map(|purse| purse.reserve(Expense { is_retry }));
        self.has.set(None);
        // What was permitted a moment ago may have lapsed.
        let full = full || reservation.as_ref().is_some_and(Option::is_none);
        match (
            self.membership.endpoint(alloc.worker.entry.id),
            self.held.get(&work_unit.id),
        ) {
            // Without a descriptor or a budget to spare it is not sent, and that is known at once.
            (Some(_), Some(_)) if full => self
                .known
                .push(AllocationResult::from_outcome(id, Outcome::Moot)),
            (Some(endpoint), Some(held)) => {
                let (project_type, customer) = (work_unit.project_type, work_unit.customer);
                let (payload, deadline) = (held.payload.clone(), work_unit.deadline - self.margin);
                let reservation = reservation.flatten();
                let request = AllocationRequest {
                    allocation_id: id,
                    project_type,
                    customer,
                    payload,
                    deadline,
                    reservation,
                    withdrawn,
                };
                self.acts.push(Action::Send {
                    endpoint: endpoint.clone(),
                    request,
                });
            }
            _ => self
                .known
                .push(AllocationResult::from_outcome(id, Outcome::NoConnection)),
        }
    }
    fn cancel(&mut self, alloc: &Allocation) {
        let Some(work_unit) = alloc.work_unit.upgrade() else {
            return;
        };
        let id = (work_unit.id, alloc.number);
        self.acts.push(Action::Cancel(id));
        self.known
            .push(AllocationResult::from_outcome(id, Outcome::Recalled));
    }
    fn defer(&mut self, work_unit: &WorkUnit, come_back: f64) {
        self.answer(work_unit.id, Answer::Deferred(come_back));
    }
    fn abort(&mut self, work_unit: &WorkUnit) {
        self.answer(work_unit.id, Answer::Aborted);
    }
    fn probe(&mut self, worker: &Worker) {
        let worker = worker.entry.id;
        if let Some(endpoint) = self.membership.endpoint(worker) {
            self.acts.push(Action::Probe {
                worker,
                endpoint: endpoint.clone(),
            });
        }
    }
    fn request_worker_list(&mut self) {
        self.acts.push(Action::Watch {
            after: self.version,
        });
    }
    fn set_timer(&mut self, seconds: f64) {
        self.acts.push(Action::WakeIn(seconds));
    }
    fn log(&mut self, line: &str) {
        self.acts.push(Action::Log(line.into()));
    }
}

impl Reducer {
    pub fn new(
        scheduler: Scheduler,
        project_types: ProjectTypes,
        most_out: usize,
        margin: f64,
    ) -> Reducer {
        let (held, ids, over, out, membership) = Default::default();
        let (version, purse, permit, look_at) = (None, None, None, f64::INFINITY);
        Reducer {
            scheduler,
            project_types,
            most_out,
            margin,
            held,
            ids,
            over,
            out,
            membership,
            version,
            purse,
            permit,
            look_at,
        }
    }

    /// From now on requests go only where this permits it, too.
    pub fn set_dispatch_policy(&mut self, permit: Arc<dyn DispatchPolicy>) {
        self.permit = Some(permit);
    }

    /// The earliest time of the clock at which something that was refused since the last call may be permitted:
    /// [`Event::TimerFired`] is due then, whatever else wakes it.
    pub fn take_recheck_time(&mut self) -> Option<f64> {
        let at = std::mem::replace(&mut self.look_at, f64::INFINITY);
        at.is_finite().then_some(at)
    }

    /// From now on allocations are sent within these limits, too.
    pub fn set_shared_budgets(&mut self, purse: Arc<dyn SharedBudgets>) {
        self.purse = Some(purse);
    }

    /// How many work units are held.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// The project types in service.
    pub fn project_types(&self) -> &[NamedProjectType] {
        self.project_types.active()
    }

    /// New work is of these project types and under these terms from now on; an error, and nothing has changed. All
    /// that was read before must have been reduced before, as it goes by the numbers of then.
    pub fn reconfigure(
        &mut self,
        types: &[(String, ProjectType)],
        terms: &ReloadableSettings,
    ) -> Result<(), String> {
        let held: FxHashSet<usize> = self
            .held
            .values()
            .map(|held| held.work_unit.project_type)
            .collect();
        let changes = self
            .project_types
            .update(types, |number| held.contains(&number))?;
        let ReloadableSettings {
            retry_policy,
            excess_credit,
            max_retry_after,
            costs,
        } = terms.clone();
        self.scheduler.reconfigure(
            &changes,
            retry_policy,
            (excess_credit, max_retry_after),
            costs,
        );
        Ok(())
    }

    /// What is so now, for the figures.
    pub fn gauges(&self) -> Gauges {
        let (listed_workers, avoided_workers) = self.scheduler.worker_counts();
        let open_work_units = self
            .held
            .values()
            .filter(|held| held.responder.is_some())
            .count();
        Gauges {
            open_work_units,
            listed_workers,
            avoided_workers,
        }
    }

    /// The start: what the list last said, and which version that was, then whatever the decisions ask for first.
    /// `takes_over` from a process that still sends.
    pub fn start(
        &mut self,
        now: f64,
        known: Option<(u64, MembershipUpdate)>,
        takes_over: bool,
    ) -> Vec<Action> {
        self.version = known.as_ref().map(|(version, _)| *version);
        let lines = known
            .map(|(_, told)| self.membership.apply(told).1)
            .unwrap_or_default();
        self.with_door(now, |scheduler, door| {
            scheduler.start(door, now);
            let news = if takes_over {
                ListUpdate::Inherited(&lines)
            } else {
                ListUpdate::Cached(&lines)
            };
            scheduler.on_list_update(door, now, news);
        })
    }

    pub fn reduce(&mut self, now: f64, event: Event) -> Vec<Action> {
        match event {
            Event::Submitted(a)
                if self.held.contains_key(&a.id)
                    || !self.is_new(now, a.client_request_id.as_deref()) =>
            {
                vec![Action::Answer {
                    work_unit: a.id,
                    project_type: None,
                    responder: a.responder,
                    answer: Answer::Duplicate,
                }]
            }
            Event::Submitted(a) => {
                let work_unit = WorkUnit::new(
                    a.id,
                    a.project_type,
                    a.customer,
                    a.slots,
                    a.arrived_at,
                    a.time_budget,
                );
                let (client_request_id, payload) = (a.client_request_id, a.payload);
                let held = Held {
                    work_unit: work_unit.clone(),
                    client_request_id,
                    payload,
                    responder: Some(a.responder),
                };
                self.held.insert(a.id, held);
                self.with_door(now, |scheduler, door| {
                    scheduler.on_arrival(door, now, &work_unit)
                })
            }
            Event::ClientLeft(id) => {
                let Some(held) = self.held.get_mut(&id) else {
                    return Vec::new();
                };
                held.responder = None;
                let work_unit = held.work_unit.clone();
                self.with_door(now, |scheduler, door| {
                    door.touched.push(id);
                    scheduler.on_client_gone(door, now, &work_unit);
                })
            }
            Event::NoMoreAttempts(id) => {
                let open = self.held.get(&id).filter(|held| held.responder.is_some());
                let Some(work_unit) = open.map(|held| held.work_unit.clone()) else {
                    return Vec::new();
                };
                self.with_door(now, |scheduler, door| {
                    scheduler.give_up(door, now, &work_unit)
                })
            }
            Event::Started((id, number)) => {
                let alloc = self
                    .held
                    .get(&id)
                    .and_then(|held| held.work_unit.allocation(number));
                let Some(alloc) = alloc.filter(|_| self.out.contains_key(&(id, number))) else {
                    return Vec::new();
                };
                self.with_door(now, |scheduler, door| scheduler.on_start(door, now, &alloc))
            }
            Event::Finished(told) => {
                self.with_door(now, |scheduler, door| back(scheduler, door, told))
            }
            Event::LoadReported(worker, report) => {
                if let Some(worker) = self.scheduler.worker(worker).cloned() {
                    worker.record_report(now, report);
                }
                Vec::new()
            }
            Event::WorkerPolled {
                worker,
                requested,
                requests_seen,
            } => {
                let Some(worker) = self.scheduler.worker(worker).cloned() else {
                    return Vec::new();
                };
                worker.record_pull(requested, requests_seen);
                self.with_door(now, |scheduler, door| scheduler.on_timer(door, now))
            }
            Event::ListFailed => self.with_door(now, |s, door| {
                s.on_list_update(door, now, ListUpdate::Failed)
            }),
            Event::MembershipChanged(version, told) => {
                self.version = version.or(self.version);
                // Only what the list says is a sign of life of the list.
                let from_list = told.source == WorkerSource::ListService;
                let (full, lines) = self.membership.apply(told);
                let news = match full {
                    true => ListUpdate::Full(&lines),
                    false if from_list => ListUpdate::Changes(&lines),
                    false => ListUpdate::SelfRegistered(&lines),
                };
                let acts = self.with_door(now, |s, door| s.on_list_update(door, now, news));
                self.take_back();
                acts
            }
            // At once, whatever was to be asked of the old one: nothing it says from now on is heard. Another service
            // may be another deployment's, with versions of its own.
            Event::ListMoved => {
                self.version = None;
                vec![Action::Watch { after: None }]
            }
            Event::TimerFired => self.with_door(now, |s, door| s.on_timer(door, now)),
            Event::DrainDeadline => self.last_call(now),
        }
    }

    /// What is still to be written to a worker that takes nothing new, or is another process by now, stays unwritten
    /// (rules 3 and 4): a connection may come up long after the list has told of that.
    fn take_back(&self) {
        for ((id, number), withdrawn) in &self.out {
            let alloc = self
                .held
                .get(id)
                .and_then(|held| held.work_unit.allocation(*number));
            if alloc.is_some_and(|alloc| !alloc.worker.accepts_new_work()) {
                withdrawn.cancel();
            }
        }
    }

    /// Each request has an id of its own. Who sends another's must not reach a worker with it, which would
    /// take it for the same work, nor touch the answer that the other is owed.
    fn is_new(&mut self, now: f64, client_request_id: Option<&[u8]>) -> bool {
        while let Some((_, id)) = self.over.pop_front_if(|(until, _)| *until <= now) {
            self.ids.remove(&id);
        }
        client_request_id.is_none_or(|id| self.ids.insert(id.into()))
    }

    /// What is still unanswered is given up; how, the decisions know.
    fn last_call(&mut self, now: f64) -> Vec<Action> {
        let open = self.held.values().filter(|held| held.responder.is_some());
        let open: Vec<Rc<WorkUnit>> = open.map(|held| held.work_unit.clone()).collect();
        self.with_door(now, |scheduler, door| {
            open.iter()
                .for_each(|work_unit| scheduler.give_up(door, now, work_unit));
        })
    }

    fn with_door(
        &mut self,
        now: f64,
        call: impl FnOnce(&mut Scheduler, &mut OpenDoor),
    ) -> Vec<Action> {
        let acts = self
            .membership
            .take_log_lines()
            .into_iter()
            .map(Action::Log)
            .collect();
        let mut door = OpenDoor {
            now,
            most_out: self.most_out,
            margin: self.margin,
            version: self.version,
            held: &mut self.held,
            out: &mut self.out,
            membership: &self.membership,
            purse: self.purse.as_deref(),
            has: Cell::new(None),
            permit: self.permit.as_deref(),
            look_at: Cell::new(f64::INFINITY),
            acts,
            known: Vec::new(),
            touched: Vec::new(),
        };
        call(&mut self.scheduler, &mut door);
        while let Some(told) = door.known.pop() {
            back(&mut self.scheduler, &mut door, told);
        }
        let OpenDoor {
            acts,
            touched,
            look_at,
            ..
        } = door;
        self.look_at = self.look_at.min(look_at.get());
        for id in touched {
            if let Entry::Occupied(held) = self.held.entry(id)
                && held.get().work_unit.ended()
            {
                // Where nothing may be called off, what is not written yet still may not go.
                let allocs =
                    (0..).map_while(|n| held.get().work_unit.allocation(n).map(|_| (id, n)));
                allocs
                    .filter_map(|id| self.out.get(&id))
                    .for_each(CancellationToken::cancel);
                if !held.get().work_unit.is_settled() {
                    continue;
                }
                let Held {
                    work_unit,
                    client_request_id,
                    ..
                } = held.remove();
                self.over
                    .extend(client_request_id.map(|id| (work_unit.deadline, id)));
            }
        }
        acts
    }
}

/// An outcome, once for each allocation: a later word on it says nothing.
fn back(scheduler: &mut Scheduler, door: &mut OpenDoor, told: AllocationResult) {
    let now = door.now;
    if door.out.remove(&told.allocation_id).is_none() {
        return;
    }
    let Some(work_unit) = door
        .held
        .get(&told.allocation_id.0)
        .map(|held| held.work_unit.clone())
    else {
        return;
    };
    let Some(alloc) = work_unit.allocation(told.allocation_id.1) else {
        return;
    };
    door.touched.push(work_unit.id);
    let completed = told.outcome == Outcome::Completed;
    if completed {
        door.answer(work_unit.id, Answer::Completed(told.result));
    }
    alloc.worker.record_report(now, told.report);
    scheduler.on_outcome(door, now, &alloc, told.outcome, completed);
}
