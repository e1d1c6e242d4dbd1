//! Instances by number; what is read turns straight into calls, and the answers into actions.

use crate::frame::{Batch, Bytes, Reply};
use mintlb_scheduler::decide::Scheduler;
use mintlb_scheduler::settings::FlatSettings;
use mintlb_scheduler::{
    Allocation, Host, ListEntry, ListState, ListUpdate, LoadReport, Outcome, ProjectTypeSet,
    WorkUnit, Worker,
};
use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

const LINE: usize = 25;

#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u16, Instance>,
    censuses: BTreeMap<u16, Vec<ListEntry>>,
}

struct Instance {
    scheduler: Scheduler,
    /// The work units held, by id; walked only to forget those that a timer has ended.
    held: HashMap<u64, Rc<WorkUnit>>,
    types: usize,
    customers: usize,
    fields: Vec<String>,
}

/// The module's door onto the wire.
struct WireDoor<'a> {
    me: u16,
    reply: &'a mut Reply,
}

fn id_of(alloc: &Allocation) -> Option<[u8; 8]> {
    alloc.work_unit.upgrade().map(|wu| wu.id.to_be_bytes())
}

fn ms(seconds: f64) -> [u8; 8] {
    (seconds * 1000.0).to_be_bytes()
}

impl Host for WireDoor<'_> {
    fn allocate(&mut self, alloc: &Allocation) {
        let worker = alloc.worker.entry.id.to_be_bytes();
        if let Some(id) = id_of(alloc) {
            self.reply.act(16, self.me, &[&id, &ms(0.0), &worker[2..]]);
        }
    }
    fn cancel(&mut self, alloc: &Allocation) {
        if let Some(id) = id_of(alloc) {
            self.reply
                .act(19, self.me, &[&id, &alloc.number.to_be_bytes()]);
        }
    }
    fn defer(&mut self, wu: &WorkUnit, come_back: f64) {
        self.reply
            .act(17, self.me, &[&wu.id.to_be_bytes(), &ms(come_back)]);
    }
    fn abort(&mut self, wu: &WorkUnit) {
        self.reply.act(18, self.me, &[&wu.id.to_be_bytes()]);
    }
    fn probe(&mut self, worker: &Worker) {
        self.reply
            .act(21, self.me, &[&worker.entry.id.to_be_bytes()[2..]]);
    }
    fn request_worker_list(&mut self) {
        self.reply.act(26, self.me, &[&[1]]);
    }
    fn broadcast(&mut self, bytes: &[u8]) {
        self.reply.tell(self.me, bytes);
    }
    fn set_timer(&mut self, seconds: f64) {
        self.reply.act(20, self.me, &[&ms(seconds)]);
    }
    fn log(&mut self, line: &str) {
        self.reply.say(24, self.me, line);
    }
}

impl Instance {
    fn new(seed: u64, text: &FlatSettings) -> Result<Instance, String> {
        Ok(Instance {
            scheduler: text.scheduler(seed)?,
            held: HashMap::new(),
            types: text.project_types()?.len(),
            customers: text.customer_count()?,
            fields: text
                .list("stats.fields")
                .iter()
                .map(|f| f.to_string())
                .collect(),
        })
    }

    fn work_unit(&self, event: Bytes, now: f64) -> Result<Rc<WorkUnit>, String> {
        let (profile, billing) = (usize::from(event.u16(11)), usize::from(event.u16(13)));
        if profile >= self.types {
            return Err(format!(
                "project type {profile} of {} is out of range",
                self.types
            ));
        }
        if billing > 0 && billing >= self.customers {
            return Err(format!(
                "customer {billing} of {} is out of range",
                self.customers
            ));
        }
        let customer = (self.customers > 0).then_some(billing);
        let (slots, budget) = (event.f32(39), event.f64(23) / 1000.0);
        Ok(WorkUnit::new(
            event.u64(3),
            profile,
            customer,
            slots,
            now,
            budget,
        ))
    }

    fn report(&self, event: Bytes, at: usize) -> Result<LoadReport, String> {
        let n = usize::from(event.u8(at));
        if n > self.fields.len().min(4) {
            return Err(format!(
                "a load report of {n} values, {} are named",
                self.fields.len()
            ));
        }
        let at_slot = self.fields.iter().take(n).position(|f| f == "x0");
        Ok(LoadReport {
            free_slots: at_slot.map(|i| event.f32(at + 1 + 4 * i)),
        })
    }

    fn event(
        &mut self,
        door: &mut WireDoor,
        now: f64,
        batch: &Batch,
        event: Bytes,
        censuses: &BTreeMap<u16, Vec<ListEntry>>,
    ) -> Result<(), String> {
        match event.u8(0) {
            22 => {
                let wu = self.work_unit(event, now)?;
                self.held.insert(wu.id, wu.clone());
                self.scheduler.on_arrival(door, now, &wu);
                self.forget(&wu);
            }
            17 => {
                let alloc = self
                    .held
                    .get(&event.u64(3))
                    .and_then(|wu| wu.allocation(event.u16(18)));
                if let Some(alloc) = alloc.filter(|_| event.u8(17) == 1) {
                    self.scheduler.on_start(door, now, &alloc);
                }
            }
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
                let Some(wu) = self.held.get(&event.u64(3)).cloned() else {
                    return Ok(());
                };
                if let Some(alloc) = wu.allocation(event.u16(11)) {
                    alloc.worker.record_report(now, report);
                    self.scheduler
                        .on_outcome(door, now, &alloc, outcome, event.u8(29) != 0);
                }
                self.forget(&wu);
            }
            25 => {
                if let Some(wu) = self.held.get(&event.u64(3)).cloned() {
                    self.scheduler.on_client_gone(door, now, &wu);
                    self.forget(&wu);
                }
            }
            21 => {
                self.scheduler.on_timer(door, now);
                if self.held.len() > 64 {
                    self.held.retain(|_, wu| !wu.is_settled());
                }
            }
            27 => {
                let report = self.report(event, 19)?;
                let id = event.worker(3);
                let worker = self.scheduler.worker(id).cloned();
                if let Some(worker) = worker.filter(|_| event.u16(9) == 200) {
                    worker.record_report(now, report);
                }
            }
            19 => {
                let lines = || {
                    let slot = event.u16(8);
                    censuses
                        .get(&slot)
                        .ok_or_else(|| format!("there is no list number {slot}"))
                };
                let news = match event.u8(3) {
                    0 => ListUpdate::Changes(lines()?),
                    1 => ListUpdate::Full(lines()?),
                    2 => ListUpdate::Cached(lines()?),
                    3 => ListUpdate::Failed,
                    other => return Err(format!("unknown kind of list {other}")),
                };
                self.scheduler.on_list_update(door, now, news);
            }
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

    fn forget(&mut self, wu: &WorkUnit) {
        if wu.is_settled() {
            self.held.remove(&wu.id);
        }
    }
}

fn census(items: &[u8]) -> Result<Vec<ListEntry>, String> {
    let lines = items.chunks_exact(LINE).map(Bytes).map(|e| {
        let listed = match e.u8(14) {
            0 => ListState::Gone,
            1 => ListState::Ready,
            2 => ListState::Draining,
            other => return Err(format!("unknown worker state {other}")),
        };
        let (zone, cell, kind) = (e.u16(10), e.u16(12).into(), e.u16(15));
        let came_up = e.f64(17) / 1000.0;
        Ok(ListEntry {
            id: e.worker(4),
            zone,
            cell,
            machine_kind: kind,
            state: listed,
            started_at: came_up,
            project_types: ProjectTypeSet::default(),
            pulls_work: false,
        })
    });
    lines.collect()
}

fn said(panic: Box<dyn Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
    format!("the decisions failed: {}", text.unwrap_or_default())
}

impl Instances {
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        for (i, event) in batch.events().enumerate() {
            let met = self.event(batch, event, &mut reply);
            met.map_err(|why| format!("batch {}, event {i}: {why}", batch.number))?;
        }
        Ok(reply.finish(batch.number))
    }

    fn event(&mut self, batch: &Batch, event: Bytes, reply: &mut Reply) -> Result<(), String> {
        let me = event.u16(1);
        let now = batch.clock / 1000.0;
        match event.u8(0) {
            24 => {
                self.censuses
                    .insert(me, census(batch.tail(event, 3, LINE)?)?);
            }
            26 => {
                let text = std::str::from_utf8(batch.tail(event, 11, 1)?);
                let text =
                    FlatSettings::new(text.map_err(|e| format!("the settings are no text: {e}"))?);
                let mut instance = Instance::new(event.u64(3), &text)?;
                instance.scheduler.start(&mut WireDoor { me, reply }, now);
                self.instances.insert(me, instance);
            }
            20 => {
                self.instances.remove(&me);
            }
            code => {
                let Some(instance) = self.instances.get_mut(&me) else {
                    return Err(format!(
                        "event code {code} for scheduler {me}, which is not running"
                    ));
                };
                let mut door = WireDoor { me, reply };
                let done = catch_unwind(AssertUnwindSafe(|| {
                    instance.event(&mut door, now, batch, event, &self.censuses)
                }));
                match done {
                    Ok(met) => met?,
                    Err(panic) => {
                        self.instances.remove(&me);
                        reply.say(25, me, &said(panic));
                    }
                }
            }
        }
        Ok(())
    }
}
