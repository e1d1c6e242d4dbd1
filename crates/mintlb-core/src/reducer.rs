//! All state changes, on one thread: an [`Event`] goes in, the resulting [`Action`]s come out.
//!
//! The scheduler acts through its `Host` trait, whose implementation here records [`Action`]s. Nothing in this file
//! performs I/O or waits, so that every case can be replayed in a test.

use crate::budget::{Expense, SharedBudgets};
use crate::dispatch_policy::{DispatchPolicy, Permission};
use crate::membership::{Membership, MembershipUpdate, WorkerSource};
use crate::metrics::Gauges;
use crate::project_types::{NamedProjectType, ProjectTypes};
use crate::work::{
    Answer, AttemptId, AttemptRequest, AttemptResult, Endpoint, Payload, Responder, Submission,
};
use mintlb_scheduler::decide::Scheduler;
use mintlb_scheduler::settings::ReloadableSettings;
use mintlb_scheduler::{
    Attempt, Host, ListUpdate, LoadReport, Outcome, ProjectType, WorkUnit, Worker,
};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::collections::hash_map::Entry;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// An input of the reducer.
pub enum Event {
    /// A frontend has submitted a work unit.
    Submitted(Submission),
    /// The client of this work unit has disconnected.
    ClientLeft(u64),
    /// No further attempt is possible for this work unit: its answer is due now.
    NoMoreAttempts(u64),
    /// A worker has started an attempt.
    Started(AttemptId),
    /// An attempt has ended.
    Finished(AttemptResult),
    /// A worker has reported its load.
    LoadReported(u64, LoadReport),
    /// A worker that fetches its work has asked for more.
    WorkerPolled {
        worker: u64,
        /// Work units that it asks for.
        requested: u64,
        /// Attempt requests that it had received by then.
        requests_seen: u64,
    },
    /// A source has reported workers; from the list service, with the version of the list.
    MembershipChanged(Option<u64>, MembershipUpdate),
    /// The watch of the list service has ended.
    ListFailed,
    /// The list service has a new address.
    ListMoved,
    /// The timer of [`Action::WakeIn`] is due.
    TimerFired,
    /// The time for draining is over: every work unit still held gets its answer now.
    DrainDeadline,
}

/// An effect to be carried out by the executor.
pub enum Action {
    /// Sends an attempt to a worker.
    Send {
        endpoint: Arc<dyn Endpoint>,
        request: AttemptRequest,
    },
    /// Cancels an attempt in flight.
    Cancel(AttemptId),
    /// Gives the client its final answer.
    Answer {
        work_unit: u64,
        /// `None` if the work unit was not accepted.
        project_type: Option<usize>,
        responder: Box<dyn Responder>,
        answer: Answer,
    },
    /// Requests a load report from a worker.
    Probe {
        worker: u64,
        endpoint: Arc<dyn Endpoint>,
    },
    /// Watches the list service for changes after this version.
    Watch { after: Option<u64> },
    /// Sends a timer event after this many seconds.
    WakeIn(f64),
    /// Writes a line to the log.
    Log(String),
}

/// A work unit with its request, until it is over.
struct HeldWorkUnit {
    work_unit: Rc<WorkUnit>,
    client_request_id: Option<Box<[u8]>>,
    payload: Payload,
    /// Receives the final answer; `None` once it is given, or the client has disconnected.
    responder: Option<Box<dyn Responder>>,
}

/// The state of a scheduler process.
pub struct Reducer {
    scheduler: Scheduler,
    project_types: ProjectTypes,
    /// Limit on the attempts in flight.
    max_in_flight: usize,
    /// Seconds before the client's limit at which an attempt times out.
    send_margin: f64,
    held: FxHashMap<u64, HeldWorkUnit>,
    /// The client request ids of work units that are held, or listed in `recent_request_ids`.
    request_ids: HashSet<Box<[u8]>>,
    /// The client request ids of work units that are over, with the time at which the client would have given up.
    recent_request_ids: VecDeque<(f64, Box<[u8]>)>,
    /// The attempts in flight, with the tokens that stop the writing of what is not written yet.
    in_flight: FxHashMap<AttemptId, CancellationToken>,
    membership: Membership,
    list_version: Option<u64>,
    /// Budgets shared by several schedulers, if configured.
    budgets: Option<Arc<dyn SharedBudgets>>,
    /// An additional check whether work may be sent to a worker, if set.
    policy: Option<Arc<dyn DispatchPolicy>>,
    recheck_at: f64,
}

/// Records the actions of the scheduler during one call, with the state that it needs for them.
struct ActionCollector<'a> {
    now: f64,
    max_in_flight: usize,
    send_margin: f64,
    list_version: Option<u64>,
    held: &'a mut FxHashMap<u64, HeldWorkUnit>,
    in_flight: &'a mut FxHashMap<AttemptId, CancellationToken>,
    membership: &'a Membership,
    budgets: Option<&'a dyn SharedBudgets>,
    has_budget: Cell<Option<bool>>,
    policy: Option<&'a dyn DispatchPolicy>,
    /// The earliest time at which a refused work unit may be permitted.
    recheck_at: Cell<f64>,
    actions: Vec<Action>,
    /// Results of attempts that are known without a response from the worker.
    immediate_results: Vec<AttemptResult>,
    /// Work units that may have ended during this call.
    possibly_ended: Vec<u64>,
}

impl ActionCollector<'_> {
    fn answer(&mut self, id: u64, answer: Answer) {
        self.possibly_ended.push(id);
        let held = self.held.get_mut(&id);
        if let Some((responder, work_unit)) =
            held.and_then(|held| Some((held.responder.take()?, &held.work_unit)))
        {
            let project_type = Some(work_unit.project_type());
            self.actions.push(Action::Answer {
                work_unit: id,
                project_type,
                responder,
                answer,
            });
        }
    }
}

impl Host for ActionCollector<'_> {
    fn permits(&self, work_unit: &WorkUnit, worker: &Worker) -> bool {
        if let Some((policy, held)) = self.policy.zip(self.held.get(&work_unit.id)) {
            match policy.permits(self.now, work_unit, &held.payload, worker) {
                Permission::Granted => {}
                Permission::Refused => return false,
                Permission::NotBefore(at) => {
                    self.recheck_at.set(self.recheck_at.get().min(at));
                    return false;
                }
            }
        }
        let Some(budgets) = self.budgets.filter(|_| work_unit.is_retry()) else {
            return true;
        };
        // Called for each queued work unit and each worker: the answer is cached until something is sent.
        let has_budget = self
            .has_budget
            .get()
            .unwrap_or_else(|| budgets.has_available(Expense { is_retry: true }));
        self.has_budget.set(Some(has_budget));
        has_budget
    }
    fn preferred_worker(&self, work_unit: &WorkUnit) -> Option<u64> {
        let (policy, held) = self.policy.zip(self.held.get(&work_unit.id))?;
        policy.preferred_worker(&held.payload)
    }
    fn send_attempt(&mut self, attempt: &Attempt) {
        let Some(work_unit) = attempt.work_unit.upgrade() else {
            return;
        };
        let id = (work_unit.id, attempt.number);
        let is_unsendable = self.in_flight.len() >= self.max_in_flight;
        let withdrawn = CancellationToken::new();
        self.in_flight.insert(id, withdrawn.clone());
        let is_retry = attempt.number > 0;
        let reservation = self
            .budgets
            .filter(|_| is_retry)
            .map(|budgets| budgets.reserve(Expense { is_retry }));
        self.has_budget.set(None);
        // The budget may have expired since it was checked.
        let is_unsendable = is_unsendable || reservation.as_ref().is_some_and(Option::is_none);
        match (
            self.membership.endpoint(attempt.worker.entry.id),
            self.held.get(&work_unit.id),
        ) {
            // Without a free connection slot or budget it is not sent, and its outcome is known at once.
            (Some(_), Some(_)) if is_unsendable => self
                .immediate_results
                .push(AttemptResult::from_outcome(id, Outcome::Moot)),
            (Some(endpoint), Some(held)) => {
                let (project_type, customer) = (work_unit.project_type(), work_unit.customer);
                let (payload, deadline) =
                    (held.payload.clone(), work_unit.deadline - self.send_margin);
                let reservation = reservation.flatten();
                let request = AttemptRequest {
                    attempt_id: id,
                    project_type,
                    customer,
                    payload,
                    deadline,
                    reservation,
                    withdrawn,
                };
                self.actions.push(Action::Send {
                    endpoint: endpoint.clone(),
                    request,
                });
            }
            _ => self
                .immediate_results
                .push(AttemptResult::from_outcome(id, Outcome::NoConnection)),
        }
    }
    fn cancel(&mut self, attempt: &Attempt) {
        let Some(work_unit) = attempt.work_unit.upgrade() else {
            return;
        };
        let id = (work_unit.id, attempt.number);
        self.actions.push(Action::Cancel(id));
        self.immediate_results
            .push(AttemptResult::from_outcome(id, Outcome::Recalled));
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
            self.actions.push(Action::Probe {
                worker,
                endpoint: endpoint.clone(),
            });
        }
    }
    fn request_worker_list(&mut self) {
        self.actions.push(Action::Watch {
            after: self.list_version,
        });
    }
    fn set_timer(&mut self, seconds: f64) {
        self.actions.push(Action::WakeIn(seconds));
    }
    fn log(&mut self, line: &str) {
        self.actions.push(Action::Log(line.into()));
    }
}

impl Reducer {
    /// A reducer without workers or work units. `send_margin` is in seconds.
    pub fn new(
        scheduler: Scheduler,
        project_types: ProjectTypes,
        max_in_flight: usize,
        send_margin: f64,
    ) -> Reducer {
        let (held, request_ids, recent_request_ids, in_flight, membership) = Default::default();
        let (list_version, budgets, policy, recheck_at) = (None, None, None, f64::INFINITY);
        Reducer {
            scheduler,
            project_types,
            max_in_flight,
            send_margin,
            held,
            request_ids,
            recent_request_ids,
            in_flight,
            membership,
            list_version,
            budgets,
            policy,
            recheck_at,
        }
    }

    /// Sets an additional check for sending work to a worker.
    pub fn set_dispatch_policy(&mut self, policy: Arc<dyn DispatchPolicy>) {
        self.policy = Some(policy);
    }

    /// The earliest time, in Unix seconds, at which a work unit that was refused since the last call may be permitted.
    /// A timer event is due then, in addition to those that the scheduler asks for.
    pub fn take_recheck_time(&mut self) -> Option<f64> {
        let at = std::mem::replace(&mut self.recheck_at, f64::INFINITY);
        at.is_finite().then_some(at)
    }

    /// Limits attempts by these shared budgets as well.
    pub fn set_shared_budgets(&mut self, budgets: Arc<dyn SharedBudgets>) {
        self.budgets = Some(budgets);
    }

    /// The number of work units held.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// The active project types.
    pub fn project_types(&self) -> &[NamedProjectType] {
        self.project_types.active()
    }

    /// Replaces the project types and terms for new work. Events received before must be reduced before, as they use
    /// the previous project type numbers.
    pub fn reconfigure(&mut self, types: &[(String, ProjectType)], terms: &ReloadableSettings) {
        let held: FxHashSet<usize> = self
            .held
            .values()
            .map(|held| held.work_unit.project_type())
            .collect();
        let changes = self.project_types.update(types, &held);
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
        self.give_up_former_numbers();
    }

    /// Work units of former project types take the numbers of active ones, if there are too many numbers.
    fn give_up_former_numbers(&mut self) {
        let successors = self.project_types.successors();
        if successors.is_empty() {
            return;
        }
        let mut held: Vec<&HeldWorkUnit> = self.held.values().collect();
        held.sort_unstable_by_key(|held| held.work_unit.id);
        for held in held {
            if let Some(number) = successors.get(&held.work_unit.project_type()) {
                self.scheduler.replace_number(&held.work_unit, *number);
            }
        }
    }

    /// Current values for the metrics page.
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

    /// Starts the scheduler with the last known worker list and its version, if any, and returns the first actions.
    /// `takes_over` is set if another process that still sends is being replaced.
    pub fn start(
        &mut self,
        now: f64,
        cached: Option<(u64, MembershipUpdate)>,
        takes_over: bool,
    ) -> Vec<Action> {
        self.list_version = cached.as_ref().map(|(version, _)| *version);
        let entries = cached
            .map(|(_, update)| self.membership.apply(update).1)
            .unwrap_or_default();
        self.with_collector(now, |scheduler, collector| {
            scheduler.start(collector, now);
            let list_update = if takes_over {
                ListUpdate::Inherited(&entries)
            } else {
                ListUpdate::Cached(&entries)
            };
            scheduler.on_list_update(collector, now, list_update);
        })
    }

    /// Applies an event at `now`, in seconds of Unix time.
    pub fn reduce(&mut self, now: f64, event: Event) -> Vec<Action> {
        match event {
            Event::Submitted(submission)
                if self.held.contains_key(&submission.id)
                    || !self.claim_request_id(now, submission.client_request_id.as_deref()) =>
            {
                vec![Action::Answer {
                    work_unit: submission.id,
                    project_type: None,
                    responder: submission.responder,
                    answer: Answer::Duplicate,
                }]
            }
            Event::Submitted(submission) => {
                let work_unit = WorkUnit::new(
                    submission.id,
                    submission.project_type,
                    submission.customer,
                    submission.slots,
                    submission.arrived_at,
                    submission.time_budget,
                );
                let (client_request_id, payload) =
                    (submission.client_request_id, submission.payload);
                let held = HeldWorkUnit {
                    work_unit: work_unit.clone(),
                    client_request_id,
                    payload,
                    responder: Some(submission.responder),
                };
                self.held.insert(submission.id, held);
                self.with_collector(now, |scheduler, collector| {
                    scheduler.on_arrival(collector, now, &work_unit)
                })
            }
            Event::ClientLeft(id) => {
                let Some(held) = self.held.get_mut(&id) else {
                    return Vec::new();
                };
                held.responder = None;
                let work_unit = held.work_unit.clone();
                self.with_collector(now, |scheduler, collector| {
                    collector.possibly_ended.push(id);
                    scheduler.on_client_gone(collector, now, &work_unit);
                })
            }
            Event::NoMoreAttempts(id) => {
                let unanswered = self.held.get(&id).filter(|held| held.responder.is_some());
                let Some(work_unit) = unanswered.map(|held| held.work_unit.clone()) else {
                    return Vec::new();
                };
                self.with_collector(now, |scheduler, collector| {
                    scheduler.give_up(collector, now, &work_unit)
                })
            }
            Event::Started((id, number)) => {
                let attempt = self
                    .held
                    .get(&id)
                    .and_then(|held| held.work_unit.attempt(number));
                let Some(attempt) = attempt.filter(|_| self.in_flight.contains_key(&(id, number)))
                else {
                    return Vec::new();
                };
                self.with_collector(now, |scheduler, collector| {
                    scheduler.on_start(collector, now, &attempt)
                })
            }
            Event::Finished(result) => self.with_collector(now, |scheduler, collector| {
                finish_attempt(scheduler, collector, result)
            }),
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
                self.with_collector(now, |scheduler, collector| {
                    scheduler.on_timer(collector, now)
                })
            }
            Event::ListFailed => self.with_collector(now, |s, collector| {
                s.on_list_update(collector, now, ListUpdate::Failed)
            }),
            Event::MembershipChanged(version, update) => {
                self.list_version = version.or(self.list_version);
                // Only updates from the list service show that it is alive.
                let from_list = update.source == WorkerSource::ListService;
                let (full, entries) = self.membership.apply(update);
                let list_update = match full {
                    true => ListUpdate::Full(&entries),
                    false if from_list => ListUpdate::Changes(&entries),
                    false => ListUpdate::SelfRegistered(&entries),
                };
                let actions = self.with_collector(now, |s, collector| {
                    s.on_list_update(collector, now, list_update)
                });
                self.withdraw_unwritten();
                actions
            }
            // Immediately, whatever request to the old address was due: its responses are ignored from now on. The new
            // service may belong to another deployment, with versions of its own.
            Event::ListMoved => {
                self.list_version = None;
                vec![Action::Watch { after: None }]
            }
            Event::TimerFired => {
                self.with_collector(now, |s, collector| s.on_timer(collector, now))
            }
            Event::DrainDeadline => self.answer_all(now),
        }
    }

    /// Stops the writing of requests to workers that accept nothing new, or have been replaced by another process
    /// (rules 3 and 4): a connection may be established long after the list has reported that.
    fn withdraw_unwritten(&self) {
        for ((id, number), withdrawn) in &self.in_flight {
            let attempt = self
                .held
                .get(id)
                .and_then(|held| held.work_unit.attempt(*number));
            if attempt.is_some_and(|attempt| !attempt.worker.accepts_new_work()) {
                withdrawn.cancel();
            }
        }
    }

    /// Claims the id for a new request; `false` if another request has it. A duplicate must not reach a worker, which
    /// would take it for the same work, nor affect the answer to the other request.
    fn claim_request_id(&mut self, now: f64, client_request_id: Option<&[u8]>) -> bool {
        while let Some((_, id)) = self
            .recent_request_ids
            .pop_front_if(|(until, _)| *until <= now)
        {
            self.request_ids.remove(&id);
        }
        client_request_id.is_none_or(|id| self.request_ids.insert(id.into()))
    }

    /// Has the scheduler give up every unanswered work unit.
    fn answer_all(&mut self, now: f64) -> Vec<Action> {
        let unanswered = self.held.values().filter(|held| held.responder.is_some());
        let unanswered: Vec<Rc<WorkUnit>> = unanswered.map(|held| held.work_unit.clone()).collect();
        self.with_collector(now, |scheduler, collector| {
            unanswered
                .iter()
                .for_each(|work_unit| scheduler.give_up(collector, now, work_unit));
        })
    }

    fn with_collector(
        &mut self,
        now: f64,
        call: impl FnOnce(&mut Scheduler, &mut ActionCollector),
    ) -> Vec<Action> {
        let actions = self
            .membership
            .take_log_lines()
            .into_iter()
            .map(Action::Log)
            .collect();
        let mut collector = ActionCollector {
            now,
            max_in_flight: self.max_in_flight,
            send_margin: self.send_margin,
            list_version: self.list_version,
            held: &mut self.held,
            in_flight: &mut self.in_flight,
            membership: &self.membership,
            budgets: self.budgets.as_deref(),
            has_budget: Cell::new(None),
            policy: self.policy.as_deref(),
            recheck_at: Cell::new(f64::INFINITY),
            actions,
            immediate_results: Vec::new(),
            possibly_ended: Vec::new(),
        };
        call(&mut self.scheduler, &mut collector);
        while let Some(result) = collector.immediate_results.pop() {
            finish_attempt(&mut self.scheduler, &mut collector, result);
        }
        let ActionCollector {
            actions,
            possibly_ended,
            recheck_at,
            ..
        } = collector;
        self.recheck_at = self.recheck_at.min(recheck_at.get());
        for id in possibly_ended {
            if let Entry::Occupied(held) = self.held.entry(id)
                && held.get().work_unit.ended()
            {
                // Even where attempts must not be cancelled, requests that are not fully written must not be sent.
                let attempts =
                    (0..).map_while(|n| held.get().work_unit.attempt(n).map(|_| (id, n)));
                attempts
                    .filter_map(|id| self.in_flight.get(&id))
                    .for_each(CancellationToken::cancel);
                if !held.get().work_unit.is_settled() {
                    continue;
                }
                let HeldWorkUnit {
                    work_unit,
                    client_request_id,
                    ..
                } = held.remove();
                self.recent_request_ids
                    .extend(client_request_id.map(|id| (work_unit.deadline, id)));
            }
        }
        actions
    }
}

/// Applies the result of an attempt. Only the first result counts.
fn finish_attempt(
    scheduler: &mut Scheduler,
    collector: &mut ActionCollector,
    result: AttemptResult,
) {
    let now = collector.now;
    if collector.in_flight.remove(&result.attempt_id).is_none() {
        return;
    }
    let Some(work_unit) = collector
        .held
        .get(&result.attempt_id.0)
        .map(|held| held.work_unit.clone())
    else {
        return;
    };
    let Some(attempt) = work_unit.attempt(result.attempt_id.1) else {
        return;
    };
    collector.possibly_ended.push(work_unit.id);
    let completed = result.outcome == Outcome::Completed;
    if completed {
        collector.answer(work_unit.id, Answer::Completed(result.result));
    }
    attempt.worker.record_report(now, result.report);
    scheduler.on_outcome(collector, now, &attempt, result.outcome, completed);
}
