//! The schedulers that the bench runs, by number. Events become calls of a scheduler, and what it asks for becomes
//! actions of the reply.

use crate::frame::{Batch, Bytes, Reply};
use mintlb_scheduler::decide::Scheduler;
use mintlb_scheduler::settings::FlatSettings;
use mintlb_scheduler::{
    Attempt, Host, ListEntry, ListState, ListUpdate, LoadReport, Outcome, ProjectTypeSet, WorkUnit,
    Worker,
};
use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// Bytes of an entry of a worker list.
const LIST_ENTRY_BYTES: usize = 25;

#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u16, Instance>,
    worker_lists: BTreeMap<u16, Vec<ListEntry>>,
}

struct Instance {
    scheduler: Scheduler,
    /// By id. Those that have ended by a timer are removed only when there are many.
    work_units: HashMap<u64, Rc<WorkUnit>>,
    type_count: usize,
    customer_count: usize,
    load_fields: Vec<String>,
}

/// Host of one scheduler: adds what it asks for to the reply.
struct ReplyHost<'a> {
    number: u16,
    reply: &'a mut Reply,
}

fn id_of(attempt: &Attempt) -> Option<[u8; 8]> {
    attempt.work_unit.upgrade().map(|wu| wu.id.to_be_bytes())
}

fn ms(seconds: f64) -> [u8; 8] {
    (seconds * 1000.0).to_be_bytes()
}

impl Host for ReplyHost<'_> {
    fn send_attempt(&mut self, attempt: &Attempt) {
        let worker = attempt.worker.entry.id.to_be_bytes();
        if let Some(id) = id_of(attempt) {
            self.reply
                .push_action(16, self.number, &[&id, &ms(0.0), &worker[2..]]);
        }
    }
    fn cancel(&mut self, attempt: &Attempt) {
        if let Some(id) = id_of(attempt) {
            self.reply
                .push_action(19, self.number, &[&id, &attempt.number.to_be_bytes()]);
        }
    }
    fn defer(&mut self, wu: &WorkUnit, retry_after: f64) {
        self.reply
            .push_action(17, self.number, &[&wu.id.to_be_bytes(), &ms(retry_after)]);
    }
    fn abort(&mut self, wu: &WorkUnit) {
        self.reply
            .push_action(18, self.number, &[&wu.id.to_be_bytes()]);
    }
    fn probe(&mut self, worker: &Worker) {
        self.reply
            .push_action(21, self.number, &[&worker.entry.id.to_be_bytes()[2..]]);
    }
    fn request_worker_list(&mut self) {
        self.reply.push_action(26, self.number, &[&[1]]);
    }
    fn broadcast(&mut self, bytes: &[u8]) {
        self.reply.push_broadcast(self.number, bytes);
    }
    fn set_timer(&mut self, seconds: f64) {
        self.reply.push_action(20, self.number, &[&ms(seconds)]);
    }
    fn log(&mut self, line: &str) {
        self.reply.push_text(24, self.number, line);
    }
}

impl Instance {
    fn new(seed: u64, settings: &FlatSettings) -> Result<Instance, String> {
        Ok(Instance {
            scheduler: settings.scheduler(seed)?,
            work_units: HashMap::new(),
            type_count: settings.project_types()?.len(),
            customer_count: settings.customer_count()?,
            load_fields: settings
                .list("stats.fields")
                .iter()
                .map(|f| f.to_string())
                .collect(),
        })
    }

    fn work_unit(&self, event: Bytes, now: f64) -> Result<Rc<WorkUnit>, String> {
        let (project_type, customer_number) =
            (usize::from(event.u16(11)), usize::from(event.u16(13)));
        if project_type >= self.type_count {
            return Err(format!(
                "project type {project_type} of {} is out of range",
                self.type_count
            ));
        }
        if customer_number > 0 && customer_number >= self.customer_count {
            return Err(format!(
                "customer {customer_number} of {} is out of range",
                self.customer_count
            ));
        }
        let customer = (self.customer_count > 0).then_some(customer_number);
        let (slots, time_budget) = (event.f32(39), event.f64(23) / 1000.0);
        Ok(WorkUnit::new(
            event.u64(3),
            project_type,
            customer,
            slots,
            now,
            time_budget,
        ))
    }

    fn report(&self, event: Bytes, at: usize) -> Result<LoadReport, String> {
        let n = usize::from(event.u8(at));
        if n > self.load_fields.len().min(4) {
            return Err(format!(
                "a load report of {n} values, but stats.fields names {}",
                self.load_fields.len()
            ));
        }
        let free_slots_at = self.load_fields.iter().take(n).position(|f| f == "x0");
        Ok(LoadReport {
            free_slots: free_slots_at.map(|i| event.f32(at + 1 + 4 * i)),
        })
    }

    fn handle_event(
        &mut self,
        host: &mut ReplyHost,
        now: f64,
        batch: &Batch,
        event: Bytes,
        worker_lists: &BTreeMap<u16, Vec<ListEntry>>,
    ) -> Result<(), String> {
        match event.u8(0) {
            // A work unit arrives.
            22 => {
                let wu = self.work_unit(event, now)?;
                self.work_units.insert(wu.id, wu.clone());
                self.scheduler.on_arrival(host, now, &wu);
                self.remove_if_settled(&wu);
            }
            // A message from a worker; 1 reports the start of an attempt.
            17 => {
                let attempt = self
                    .work_units
                    .get(&event.u64(3))
                    .and_then(|wu| wu.attempt(event.u16(18)));
                if let Some(attempt) = attempt.filter(|_| event.u8(17) == 1) {
                    self.scheduler.on_start(host, now, &attempt);
                }
            }
            // An attempt has ended.
            23 => {
                let outcome = match event.u16(19) {
                    200 => Outcome::Completed,
                    500 => Outcome::Error,
                    503 => Outcome::Full,
                    504 => Outcome::TimedOut,
                    502 => Outcome::NoConnection,
                    598 => Outcome::Dropped,
                    499 => Outcome::Recalled,
                    410 => Outcome::Moot,
                    other => return Err(format!("unknown outcome {other}")),
                };
                let report = self.report(event, 31)?;
                let Some(wu) = self.work_units.get(&event.u64(3)).cloned() else {
                    return Ok(());
                };
                if let Some(attempt) = wu.attempt(event.u16(11)) {
                    attempt.worker.record_report(now, report);
                    self.scheduler
                        .on_outcome(host, now, &attempt, outcome, event.u8(29) != 0);
                }
                self.remove_if_settled(&wu);
            }
            // The client of a work unit has gone.
            25 => {
                if let Some(wu) = self.work_units.get(&event.u64(3)).cloned() {
                    self.scheduler.on_client_gone(host, now, &wu);
                    self.remove_if_settled(&wu);
                }
            }
            // The timer has fired.
            21 => {
                self.scheduler.on_timer(host, now);
                if self.work_units.len() > 64 {
                    self.work_units.retain(|_, wu| !wu.is_settled());
                }
            }
            // The answer to a probe.
            27 => {
                let report = self.report(event, 19)?;
                let id = event.worker(3);
                let worker = self.scheduler.worker(id).cloned();
                if let Some(worker) = worker.filter(|_| event.u16(9) == 200) {
                    worker.record_report(now, report);
                }
            }
            // The list service has answered.
            19 => {
                let entries = || {
                    let slot = event.u16(8);
                    worker_lists
                        .get(&slot)
                        .ok_or_else(|| format!("there is no worker list with number {slot}"))
                };
                let update = match event.u8(3) {
                    0 => ListUpdate::Changes(entries()?),
                    1 => ListUpdate::Full(entries()?),
                    2 => ListUpdate::Cached(entries()?),
                    3 => ListUpdate::Failed,
                    other => return Err(format!("unknown kind of list {other}")),
                };
                self.scheduler.on_list_update(host, now, update);
            }
            // A message from another scheduler.
            18 => {
                let bytes = batch.tail(event, 5, 1)?;
                self.scheduler
                    .on_peer_message(now, event.u16(3).into(), bytes);
            }
            16 => {}
            other => return Err(format!("unknown event code {other}")),
        }
        Ok(())
    }

    /// Removes the work unit if nothing more can happen to it.
    fn remove_if_settled(&mut self, wu: &WorkUnit) {
        if wu.is_settled() {
            self.work_units.remove(&wu.id);
        }
    }
}

fn parse_worker_list(items: &[u8]) -> Result<Vec<ListEntry>, String> {
    let entries = items.chunks_exact(LIST_ENTRY_BYTES).map(Bytes).map(|e| {
        let state = match e.u8(14) {
            0 => ListState::Gone,
            1 => ListState::Ready,
            2 => ListState::Draining,
            other => return Err(format!("unknown worker state {other}")),
        };
        let (zone, cell, machine_kind) = (e.u16(10), e.u16(12).into(), e.u16(15));
        let started_at = e.f64(17) / 1000.0;
        Ok(ListEntry {
            id: e.worker(4),
            zone,
            cell,
            machine_kind,
            state,
            started_at,
            project_types: ProjectTypeSet::default(),
            pulls_work: false,
        })
    });
    entries.collect()
}

fn panic_text(panic: Box<dyn Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
    format!("the decisions failed: {}", text.unwrap_or_default())
}

impl Instances {
    pub fn handle(&mut self, batch: &Batch) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        for (i, event) in batch.events().enumerate() {
            let handled = self.handle_event(batch, event, &mut reply);
            handled.map_err(|why| format!("batch {}, event {i}: {why}", batch.number))?;
        }
        Ok(reply.encode(batch.number))
    }

    fn handle_event(
        &mut self,
        batch: &Batch,
        event: Bytes,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let number = event.u16(1);
        let now = batch.clock_ms / 1000.0;
        match event.u8(0) {
            // A worker list, to be referred to by its number.
            24 => {
                self.worker_lists.insert(
                    number,
                    parse_worker_list(batch.tail(event, 3, LIST_ENTRY_BYTES)?)?,
                );
            }
            // A scheduler starts.
            26 => {
                let text = std::str::from_utf8(batch.tail(event, 11, 1)?);
                let settings = FlatSettings::new(
                    text.map_err(|e| format!("the settings are not valid UTF-8: {e}"))?,
                );
                let mut instance = Instance::new(event.u64(3), &settings)?;
                instance
                    .scheduler
                    .start(&mut ReplyHost { number, reply }, now);
                self.instances.insert(number, instance);
            }
            // A scheduler stops.
            20 => {
                self.instances.remove(&number);
            }
            code => {
                let Some(instance) = self.instances.get_mut(&number) else {
                    return Err(format!(
                        "event code {code} for scheduler {number}, which is not running"
                    ));
                };
                let mut host = ReplyHost { number, reply };
                let result = catch_unwind(AssertUnwindSafe(|| {
                    instance.handle_event(&mut host, now, batch, event, &self.worker_lists)
                }));
                match result {
                    Ok(handled) => handled?,
                    Err(panic) => {
                        self.instances.remove(&number);
                        reply.push_text(25, number, &panic_text(panic));
                    }
                }
            }
        }
        Ok(())
    }
}
