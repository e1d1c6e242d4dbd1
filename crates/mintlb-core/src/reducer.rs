//! All changes of state, on one thread: what was read goes in, what is to be done comes out.
//!
//! The decisions act through their door; here it writes down [`Act`]s. Nothing in this file reads, writes or
//! waits, so that each case can be played in a test.

use crate::figures::Now;
use crate::members::{Members, Source, Told};
use crate::permit::{Permission, Permit};
use crate::spend::{Purse, Spend};
use crate::types::{Named, Types};
use crate::work::{AllocId, Answer, Arrival, Back, Order, Payload, Reach, Settle};
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
    Arrived(Arrival),
    /// The client has gone away.
    Left(u64),
    /// Nothing more is to be tried for it: its answer is due now.
    GivenUp(u64),
    Started(AllocId),
    Back(Back),
    Sampled(u64, LoadReport),
    /// A worker that fetches its work waits for so many work units; it had heard of so many orders by then.
    Asks {
        worker: u64,
        waiting: u64,
        orders: u64,
    },
    /// A source has told of workers; the list service also which version that was.
    Members(Option<u64>, Told),
    /// The list service has failed.
    ListFailed,
    /// The list service is at another address.
    ListMoved,
    Woke,
    /// The program ends: what is still held gets its answer now.
    LastCall,
}

/// What is to be done.
pub enum Act {
    Send {
        to: Arc<dyn Reach>,
        order: Order,
    },
    /// Gives up an allocation.
    Recall(AllocId),
    Answer {
        wu: u64,
        /// `None` if the work unit was not taken.
        project_type: Option<usize>,
        to: Box<dyn Settle>,
        answer: Answer,
    },
    Probe {
        worker: u64,
        to: Arc<dyn Reach>,
    },
    Watch {
        after: Option<u64>,
    },
    WakeIn(f64),
    Log(String),
}

struct Held {
    wu: Rc<WorkUnit>,
    client_id: Option<Box<[u8]>>,
    payload: Payload,
    /// Where the final answer goes, until it is given.
    answer: Option<Box<dyn Settle>>,
}

pub struct Reducer {
    scheduler: Scheduler,
    types: Types,
    /// Allocations that may be out at once, and how many seconds before its client's limit one ends.
    most_out: usize,
    margin: f64,
    held: FxHashMap<u64, Held>,
    /// The clients' ids of what is held, and of what is over, up to when its client would have given up.
    ids: HashSet<Box<[u8]>>,
    over: VecDeque<(f64, Box<[u8]>)>,
    /// What is out, and what takes it back as far as it is not written.
    out: FxHashMap<AllocId, CancellationToken>,
    members: Members,
    version: Option<u64>,
    /// Limits of many schedulers together, where there are any.
    purse: Option<Arc<dyn Purse>>,
    /// What else is asked whether work may go to a worker, where anything is.
    permit: Option<Arc<dyn Permit>>,
    look_at: f64,
}

/// The module's door onto the backs.
struct OpenDoor<'a> {
    now: f64,
    most_out: usize,
    margin: f64,
    version: Option<u64>,
    held: &'a mut FxHashMap<u64, Held>,
    out: &'a mut FxHashMap<AllocId, CancellationToken>,
    members: &'a Members,
    purse: Option<&'a dyn Purse>,
    has: Cell<Option<bool>>,
    permit: Option<&'a dyn Permit>,
    /// The earliest time at which what was refused may be permitted.
    look_at: Cell<f64>,
    acts: Vec<Act>,
    /// Allocations whose outcome is known without a word from the worker.
    known: Vec<Back>,
    /// Work units that may be over.
    touched: Vec<u64>,
}

impl OpenDoor<'_> {
    fn answer(&mut self, id: u64, answer: Answer) {
        self.touched.push(id);
        let held = self.held.get_mut(&id);
        if let Some((to, wu)) = held.and_then(|held| Some((held.answer.take()?, &held.wu))) {
            let project_type = Some(wu.project_type);
            self.acts.push(Act::Answer {
                wu: id,
                project_type,
                to,
                answer,
            });
        }
    }
}

impl Host for OpenDoor<'_> {
    fn permits(&self, wu: &WorkUnit, worker: &Worker) -> bool {
        if let Some((permit, held)) = self.permit.zip(self.held.get(&wu.id)) {
            match permit.permits(self.now, wu, &held.payload, worker) {
                Permission::Granted => {}
                Permission::Refused => return false,
                Permission::NotBefore(at) => {
                    self.look_at.set(self.look_at.get().min(at));
                    return false;
                }
            }
        }
        let Some(purse) = self.purse.filter(|_| wu.is_retry()) else {
            return true;
        };
        // Asked for each work unit that waits and each worker: the answer holds until something is sent.
        let has = self
            .has
            .get()
            .unwrap_or_else(|| purse.has(Spend { again: true }));
        self.has.set(Some(has));
        has
    }
    fn preferred_worker(&self, wu: &WorkUnit) -> Option<u64> {
        let (permit, held) = self.permit.zip(self.held.get(&wu.id))?;
        permit.preferred(&held.payload)
    }
    fn allocate(&mut self, alloc: &Allocation) {
        let Some(wu) = alloc.work_unit.upgrade() else {
            return;
        };
        let id = (wu.id, alloc.number);
        let full = self.out.len() >= self.most_out;
        let taken_back = CancellationToken::new();
        self.out.insert(id, taken_back.clone());
        let again = alloc.number > 0;
        let slip = self
            .purse
            .filter(|_| again)
            .map(|purse| purse.slip(Spend { again }));
        self.has.set(None);
        // What was permitted a moment ago may have lapsed.
        let full = full || slip.as_ref().is_some_and(Option::is_none);
        match (
            self.members.reach(alloc.worker.entry.id),
            self.held.get(&wu.id),
        ) {
            // Without a descriptor or a budget to spare it is not sent, and that is known at once.
            (Some(_), Some(_)) if full => self.known.push(Back::with(id, Outcome::Moot)),
            (Some(to), Some(held)) => {
                let (project_type, customer) = (wu.project_type, wu.customer);
                let (payload, until) = (held.payload.clone(), wu.deadline - self.margin);
                let slip = slip.flatten();
                let order = Order {
                    alloc: id,
                    project_type,
                    customer,
                    payload,
                    until,
                    slip,
                    taken_back,
                };
                self.acts.push(Act::Send {
                    to: to.clone(),
                    order,
                });
            }
            _ => self.known.push(Back::with(id, Outcome::NoConnection)),
        }
    }
    fn cancel(&mut self, alloc: &Allocation) {
        let Some(wu) = alloc.work_unit.upgrade() else {
            return;
        };
        let id = (wu.id, alloc.number);
        self.acts.push(Act::Recall(id));
        self.known.push(Back::with(id, Outcome::Recalled));
    }
    fn defer(&mut self, wu: &WorkUnit, come_back: f64) {
        self.answer(wu.id, Answer::Deferred(come_back));
    }
    fn abort(&mut self, wu: &WorkUnit) {
        self.answer(wu.id, Answer::Aborted);
    }
    fn probe(&mut self, worker: &Worker) {
        let worker = worker.entry.id;
        if let Some(to) = self.members.reach(worker) {
            self.acts.push(Act::Probe {
                worker,
                to: to.clone(),
            });
        }
    }
    fn request_worker_list(&mut self) {
        self.acts.push(Act::Watch {
            after: self.version,
        });
    }
    fn set_timer(&mut self, seconds: f64) {
        self.acts.push(Act::WakeIn(seconds));
    }
    fn log(&mut self, line: &str) {
        self.acts.push(Act::Log(line.into()));
    }
}

impl Reducer {
    pub fn new(scheduler: Scheduler, types: Types, most_out: usize, margin: f64) -> Reducer {
        let (held, ids, over, out, members) = Default::default();
        let (version, purse, permit, look_at) = (None, None, None, f64::INFINITY);
        Reducer {
            scheduler,
            types,
            most_out,
            margin,
            held,
            ids,
            over,
            out,
            members,
            version,
            purse,
            permit,
            look_at,
        }
    }

    /// From now on requests go only where this permits it, too.
    pub fn take_permit(&mut self, permit: Arc<dyn Permit>) {
        self.permit = Some(permit);
    }

    /// The earliest time of the clock at which something that was refused since the last call may be permitted:
    /// [`Event::Woke`] is due then, whatever else wakes it.
    pub fn take_look(&mut self) -> Option<f64> {
        let at = std::mem::replace(&mut self.look_at, f64::INFINITY);
        at.is_finite().then_some(at)
    }

    /// From now on allocations are sent within these limits, too.
    pub fn take_purse(&mut self, purse: Arc<dyn Purse>) {
        self.purse = Some(purse);
    }

    /// How many work units are held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// The project types in service.
    pub fn types(&self) -> &[Named] {
        self.types.served()
    }

    /// New work is of these project types and under these terms from now on; an error, and nothing has changed. All
    /// that was read before must have been reduced before, as it goes by the numbers of then.
    pub fn retune(
        &mut self,
        types: &[(String, ProjectType)],
        terms: &ReloadableSettings,
    ) -> Result<(), String> {
        let held: FxHashSet<usize> = self
            .held
            .values()
            .map(|held| held.wu.project_type)
            .collect();
        let changes = self.types.change(types, |number| held.contains(&number))?;
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
    pub fn now(&self) -> Now {
        let (listed, avoided) = self.scheduler.worker_counts();
        let open = self
            .held
            .values()
            .filter(|held| held.answer.is_some())
            .count();
        Now {
            open,
            listed,
            avoided,
        }
    }

    /// The start: what the list last said, and which version that was, then whatever the decisions ask for first.
    /// `takes_over` from a process that still sends.
    pub fn start(&mut self, now: f64, known: Option<(u64, Told)>, takes_over: bool) -> Vec<Act> {
        self.version = known.as_ref().map(|(version, _)| *version);
        let lines = known
            .map(|(_, told)| self.members.hear(told).1)
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

    pub fn reduce(&mut self, now: f64, event: Event) -> Vec<Act> {
        match event {
            Event::Arrived(a)
                if self.held.contains_key(&a.id) || !self.is_new(now, a.client_id.as_deref()) =>
            {
                vec![Act::Answer {
                    wu: a.id,
                    project_type: None,
                    to: a.answer,
                    answer: Answer::Repeated,
                }]
            }
            Event::Arrived(a) => {
                let wu = WorkUnit::new(
                    a.id,
                    a.project_type,
                    a.customer,
                    a.slots,
                    a.arrived,
                    a.time_budget,
                );
                let (client_id, payload) = (a.client_id, a.payload);
                let held = Held {
                    wu: wu.clone(),
                    client_id,
                    payload,
                    answer: Some(a.answer),
                };
                self.held.insert(a.id, held);
                self.with_door(now, |scheduler, door| scheduler.on_arrival(door, now, &wu))
            }
            Event::Left(id) => {
                let Some(held) = self.held.get_mut(&id) else {
                    return Vec::new();
                };
                held.answer = None;
                let wu = held.wu.clone();
                self.with_door(now, |scheduler, door| {
                    door.touched.push(id);
                    scheduler.on_client_gone(door, now, &wu);
                })
            }
            Event::GivenUp(id) => {
                let open = self.held.get(&id).filter(|held| held.answer.is_some());
                let Some(wu) = open.map(|held| held.wu.clone()) else {
                    return Vec::new();
                };
                self.with_door(now, |scheduler, door| scheduler.give_up(door, now, &wu))
            }
            Event::Started((id, number)) => {
                let alloc = self
                    .held
                    .get(&id)
                    .and_then(|held| held.wu.allocation(number));
                let Some(alloc) = alloc.filter(|_| self.out.contains_key(&(id, number))) else {
                    return Vec::new();
                };
                self.with_door(now, |scheduler, door| scheduler.on_start(door, now, &alloc))
            }
            Event::Back(told) => self.with_door(now, |scheduler, door| back(scheduler, door, told)),
            Event::Sampled(worker, report) => {
                if let Some(worker) = self.scheduler.worker(worker).cloned() {
                    worker.record_report(now, report);
                }
                Vec::new()
            }
            Event::Asks {
                worker,
                waiting,
                orders,
            } => {
                let Some(worker) = self.scheduler.worker(worker).cloned() else {
                    return Vec::new();
                };
                worker.record_pull(waiting, orders);
                self.with_door(now, |scheduler, door| scheduler.on_timer(door, now))
            }
            Event::ListFailed => self.with_door(now, |s, door| {
                s.on_list_update(door, now, ListUpdate::Failed)
            }),
            Event::Members(version, told) => {
                self.version = version.or(self.version);
                // Only what the list says is a sign of life of the list.
                let from_list = told.source == Source::List;
                let (full, lines) = self.members.hear(told);
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
                vec![Act::Watch { after: None }]
            }
            Event::Woke => self.with_door(now, |s, door| s.on_timer(door, now)),
            Event::LastCall => self.last_call(now),
        }
    }

    /// What is still to be written to a worker that takes nothing new, or is another process by now, stays unwritten
    /// (rules 3 and 4): a connection may come up long after the list has told of that.
    fn take_back(&self) {
        for ((id, number), taken_back) in &self.out {
            let alloc = self
                .held
                .get(id)
                .and_then(|held| held.wu.allocation(*number));
            if alloc.is_some_and(|alloc| !alloc.worker.accepts_new_work()) {
                taken_back.cancel();
            }
        }
    }

    /// Each request has an id of its own. Who sends another's must not reach a worker with it, which would
    /// take it for the same work, nor touch the answer that the other is owed.
    fn is_new(&mut self, now: f64, client_id: Option<&[u8]>) -> bool {
        while let Some((_, id)) = self.over.pop_front_if(|(until, _)| *until <= now) {
            self.ids.remove(&id);
        }
        client_id.is_none_or(|id| self.ids.insert(id.into()))
    }

    /// What is still unanswered is given up; how, the decisions know.
    fn last_call(&mut self, now: f64) -> Vec<Act> {
        let open = self.held.values().filter(|held| held.answer.is_some());
        let open: Vec<Rc<WorkUnit>> = open.map(|held| held.wu.clone()).collect();
        self.with_door(now, |scheduler, door| {
            open.iter().for_each(|wu| scheduler.give_up(door, now, wu));
        })
    }

    fn with_door(
        &mut self,
        now: f64,
        call: impl FnOnce(&mut Scheduler, &mut OpenDoor),
    ) -> Vec<Act> {
        let acts = self.members.said().into_iter().map(Act::Log).collect();
        let mut door = OpenDoor {
            now,
            most_out: self.most_out,
            margin: self.margin,
            version: self.version,
            held: &mut self.held,
            out: &mut self.out,
            members: &self.members,
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
                && held.get().wu.ended()
            {
                // Where nothing may be called off, what is not written yet still may not go.
                let allocs = (0..).map_while(|n| held.get().wu.allocation(n).map(|_| (id, n)));
                allocs
                    .filter_map(|id| self.out.get(&id))
                    .for_each(CancellationToken::cancel);
                if !held.get().wu.is_settled() {
                    continue;
                }
                let Held { wu, client_id, .. } = held.remove();
                self.over.extend(client_id.map(|id| (wu.deadline, id)));
            }
        }
        acts
    }
}

/// An outcome, once for each allocation: a later word on it says nothing.
fn back(scheduler: &mut Scheduler, door: &mut OpenDoor, told: Back) {
    let now = door.now;
    if door.out.remove(&told.alloc).is_none() {
        return;
    }
    let Some(wu) = door.held.get(&told.alloc.0).map(|held| held.wu.clone()) else {
        return;
    };
    let Some(alloc) = wu.allocation(told.alloc.1) else {
        return;
    };
    door.touched.push(wu.id);
    let completed = told.outcome == Outcome::Completed;
    if completed {
        door.answer(wu.id, Answer::Completed(told.result));
    }
    alloc.worker.record_report(now, told.report);
    scheduler.on_outcome(door, now, &alloc, told.outcome, completed);
}
