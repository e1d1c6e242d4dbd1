//! A model of stores with one shard: virtual time, disks that lose what is not synced, messages that are
//! lost, repeated and reordered, a register of the placement that everybody hears of late.

#![allow(dead_code)]

pub mod checks;
pub mod disk;
pub mod machines;
pub mod plays;

use bytes::Bytes;
use checks::Told;
use disk::Disk;
use machines::Machine;
use mintlb_batch::entry::{Entry, ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::framing;
use mintlb_batch::messages::{JobName, StoreResponse, Submit};
use mintlb_batch::peer::{EntryLength, Envelope, PeerMessage};
use mintlb_batch::placement_planner::StoreTable;
use mintlb_batch::replica::{AfterSync, DiskWrite, Effect, Proposal, Replica, ReplicaSettings};
use mintlb_common::placement::{Placement, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

pub const HOST: &str = "h";
pub const SHARD: u32 = 0;
pub const LIMIT: u64 = 900;
/// The time at the model's start.
pub const START: Duration = Duration::from_secs(1000);
pub const STATUS: Duration = Duration::from_secs(100_000);

/// What a caller waits for.
#[derive(Clone, Debug)]
pub enum Expected {
    Accepted { job: String, items: usize },
    Listed { job: String },
    Ended { job: String },
}

/// A store: its disk outlives its process.
pub struct Store {
    pub id: StoreId,
    pub disk: Disk,
    /// Writes on their way to the disk, with what follows each.
    pub pending: Vec<(Vec<DiskWrite>, Vec<AfterSync>)>,
    pub replica: Option<Replica>,
    pub waiting: Vec<(u64, Expected)>,
    /// Index of the newest placement it has heard of.
    pub placement: usize,
    pub zone: String,
    pub cut: bool,
    /// Does nothing; what is sent to it waits.
    pub frozen: bool,
    pub machine: Machine,
}

pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % most.max(1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

pub struct Model {
    pub random: Random,
    pub now: Duration,
    pub tolerance: usize,
    pub stores: Vec<Store>,
    pub messages: Vec<(Envelope, Bytes)>,
    /// All placements, in the order in which the register took them.
    pub placements: Vec<Placement>,
    pub table: StoreTable,
    pub told: Told,
    /// Disks that were lost, and when.
    pub lost_disks: BTreeMap<StoreId, Duration>,
    /// Nodes that are to be emptied.
    pub decommissioning: Vec<String>,
    /// A lot was accepted since this was last cleared.
    pub accepted_now: bool,
    pub catch_up: Duration,
    /// Nobody calls, so that a primary does not notice that it can't commit.
    pub idle: bool,
    /// No controller does anything until then.
    pub paused_until: Duration,
    pub history: Vec<String>,
    pub next_id: StoreId,
    pub next_lot: u64,
    pub losses: u64,
    pub takeovers: u64,
}

impl Model {
    pub fn new(seed: u64, count: usize, tolerance: usize) -> Model {
        let now = START;
        let mut model = Model {
            random: Random(seed),
            now,
            tolerance,
            stores: Vec::new(),
            messages: Vec::new(),
            placements: vec![Placement::default()],
            table: StoreTable::new(now),
            told: Told::default(),
            lost_disks: BTreeMap::new(),
            decommissioning: Vec::new(),
            accepted_now: false,
            catch_up: Duration::from_secs(if tolerance == 1 { 5 } else { 6 }),
            idle: false,
            paused_until: Duration::ZERO,
            history: Vec::new(),
            next_id: 1,
            next_lot: 0,
            losses: 0,
            takeovers: 0,
        };
        for _ in 0..count {
            model.add_store();
        }
        model
    }

    pub fn add_store(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        self.stores.push(Store {
            id,
            disk: Disk::default(),
            pending: Vec::new(),
            replica: None,
            waiting: Vec::new(),
            placement: 0,
            zone: format!("z{}", id % 3),
            cut: false,
            frozen: false,
            machine: Machine::new(id, self.now),
        });
        let place = self.stores.len() - 1;
        self.start(place);
    }

    fn settings(&self, id: StoreId) -> ReplicaSettings {
        ReplicaSettings {
            store_id: id,
            tolerance: self.tolerance,
            result_retention: STATUS,
        }
    }

    /// Starts the process with what is on its disk.
    pub fn start(&mut self, place: usize) {
        let settings = self.settings(self.stores[place].id);
        let store = &mut self.stores[place];
        let replica = Replica::load(
            SHARD,
            settings,
            store.disk.meta.clone(),
            store.disk.load(),
            self.now,
        );
        store.replica = Some(replica);
        store.placement = 0;
        store.machine.started(self.now);
    }

    pub fn act(&mut self, place: usize) {
        loop {
            let Some(replica) = &mut self.stores[place].replica else {
                return;
            };
            let effects = replica.take_effects();
            if effects.is_empty() {
                return;
            }
            let (mut writes, mut after) = (Vec::new(), Vec::new());
            for effect in effects {
                match effect {
                    Effect::Write(write) => writes.push(write),
                    Effect::AfterSync(next) => after.push(next),
                    Effect::Send(envelope) => self.messages.push((envelope, Bytes::new())),
                    Effect::SendEntries(envelope, indexes) => {
                        self.send_entries(place, envelope, &indexes)
                    }
                    Effect::Committed(through) => self.committed(place, through),
                    Effect::SteppedDown => self.stores[place].waiting.clear(),
                    Effect::Confirmed | Effect::ReportChanged | Effect::Replicated(_) => (),
                }
            }
            let store = &mut self.stores[place];
            if writes.is_empty() && store.pending.is_empty() {
                let replica = store.replica.as_mut().unwrap();
                after
                    .into_iter()
                    .for_each(|after| replica.on_synced(after, self.now));
            } else {
                store.pending.push((writes, after));
            }
        }
    }

    fn send_entries(&mut self, place: usize, mut envelope: Envelope, indexes: &[u64]) {
        let entries = &self.stores[place].disk.entries;
        let found: Vec<(u64, Bytes)> = indexes
            .iter()
            .filter_map(|i| Some((*i, entries.get(i)?.clone())))
            .collect();
        let (PeerMessage::Append(append) | PeerMessage::Fetched(append)) = &mut envelope.message
        else {
            return;
        };
        let length = |(index, bytes): &(u64, Bytes)| EntryLength {
            index: *index,
            length: bytes.len() as u64,
        };
        append.entries = found.iter().map(length).collect();
        let raw: Vec<u8> = found.iter().flat_map(|(_, bytes)| bytes.to_vec()).collect();
        self.messages.push((envelope, raw.into()));
    }

    /// The disk has everything that was on its way.
    pub fn sync(&mut self, place: usize) {
        let store = &mut self.stores[place];
        if store.frozen {
            return;
        }
        let pending = std::mem::take(&mut store.pending);
        let mut follow = Vec::new();
        for (writes, after) in pending {
            store.disk.apply(writes);
            follow.extend(after);
        }
        if let Some(replica) = &mut store.replica {
            follow
                .into_iter()
                .for_each(|after| replica.on_synced(after, self.now));
        }
        self.act(place);
    }

    /// Delivers the message at this place of the row.
    pub fn deliver(&mut self, message: usize, keep: bool) {
        if message >= self.messages.len() {
            return;
        }
        let (envelope, raw) = match keep {
            true => self.messages[message].clone(),
            false => self.messages.remove(message),
        };
        let cut = |id: StoreId| self.stores.iter().any(|store| store.id == id && store.cut);
        if cut(envelope.from) || cut(envelope.to) {
            return;
        }
        let Some(place) = self.stores.iter().position(|store| store.id == envelope.to) else {
            return;
        };
        if self.stores[place].frozen {
            return self.messages.push((envelope, raw));
        }
        let Some(replica) = &mut self.stores[place].replica else {
            return;
        };
        replica.on_message(envelope, raw, self.now);
        self.act(place);
    }

    /// A store hears of a newer placement.
    pub fn hear(&mut self, place: usize) {
        let newest = self.placements.len() - 1;
        let store = &mut self.stores[place];
        if store.cut || store.frozen || store.placement >= newest {
            return;
        }
        let next =
            store.placement + 1 + self.random.below((newest - store.placement) as u64) as usize;
        store.placement = next;
        let (Some(replica), Some(shard)) =
            (&mut store.replica, self.placements[next].shards.first())
        else {
            return;
        };
        replica.set_assignment(shard, self.now);
        self.act(place);
    }

    pub fn tick(&mut self, passed: Duration) {
        self.now += passed;
        for place in 0..self.stores.len() {
            if self.stores[place].frozen {
                continue;
            }
            if let Some(replica) = &mut self.stores[place].replica {
                replica.tick(self.now);
                self.act(place);
            }
        }
    }

    fn committed(&mut self, place: usize, through: u64) {
        let waiting = std::mem::take(&mut self.stores[place].waiting);
        for (index, expected) in waiting {
            match index <= through {
                true => self.tell(place, expected),
                false => self.stores[place].waiting.push((index, expected)),
            }
        }
    }

    fn tell(&mut self, place: usize, expected: Expected) {
        let (now, random) = (self.now, self.random.below(2));
        match expected {
            Expected::Accepted { job, items } => {
                self.accepted_now = true;
                self.told.accepted(job, items, now);
            }
            Expected::Ended { job } => self.told.ended(job, now),
            Expected::Listed { job } => {
                self.told.records += 1;
                if random == 0 {
                    self.read(place, &job);
                }
            }
        }
    }

    /// A dispatcher calls a store; the answer is told at once or once it is committed.
    fn propose(&mut self, place: usize, proposal: Proposal, expected: Expected) {
        match proposal {
            Proposal::Immediate(StoreResponse::Recorded | StoreResponse::Ended) => {
                self.tell(place, expected)
            }
            Proposal::Immediate(_) => (),
            Proposal::AfterCommit { index, .. } => {
                self.stores[place].waiting.push((index, expected))
            }
            Proposal::CompareItems { index, .. } => {
                let replica = self.stores[place].replica.as_ref().unwrap();
                match index <= replica.commit_index() {
                    true => self.tell(place, expected),
                    false => self.stores[place].waiting.push((index, expected)),
                }
            }
        }
        self.act(place);
    }

    pub fn submit(&mut self, place: usize, job: String, items: usize) {
        let Some(replica) = &mut self.stores[place].replica else {
            return;
        };
        let payload = |item: usize| format!("payload {job} {item};");
        let heads = (0..items).map(|item| ItemHeader {
            id: format!("{job}-{item}"),
            tokens: 30,
            length: payload(item).len() as u64,
        });
        let raw: Bytes = (0..items).map(payload).collect::<String>().into();
        let terms = JobTerms {
            retention_ms: 1_000_000_000,
            ..JobTerms::default()
        };
        let head = JobHeader {
            host: HOST.to_string(),
            id: job.clone(),
            route: "r".to_string(),
            terms,
            items: heads.collect(),
        };
        let submit = Submit {
            epoch: replica.epoch(),
            owner: 7,
            max_queued_tokens: LIMIT,
            job: head,
        };
        let proposal = replica.submit(submit, &raw, self.now);
        self.propose(place, proposal, Expected::Accepted { job, items });
    }

    pub fn record(&mut self, place: usize, job: String, item: u32) {
        let Some(replica) = &mut self.stores[place].replica else {
            return;
        };
        let text = format!("text {} of {job} {item}", self.random.below(1000));
        let name = name(&job);
        let proposal = replica.record(&name, item, ItemState::Completed, &text.into(), self.now);
        self.propose(place, proposal, Expected::Listed { job });
    }

    pub fn end(&mut self, place: usize, job: String) {
        let Some(replica) = &mut self.stores[place].replica else {
            return;
        };
        let proposal = replica.end(&name(&job), self.now);
        self.propose(place, proposal, Expected::Ended { job });
    }

    /// A reader reads the whole lot at a store, if that is sure enough to answer.
    pub fn read(&mut self, place: usize, job: &str) {
        let store = &mut self.stores[place];
        let Some(replica) = &mut store.replica else {
            return;
        };
        if !replica.is_serving() {
            return;
        }
        let sure = replica.confirm(self.now);
        let plan = replica.page(&name(job), 0, u64::MAX);
        let results = plan.map(|plan| {
            let entries = plan.entries.iter().zip(&plan.page.results);
            let texts = entries.map(|(index, result)| {
                let bytes = store
                    .disk
                    .entries
                    .get(index)
                    .expect("a listed text is on disk");
                let (_, raw) = framing::decode::<Entry>(bytes).unwrap();
                (
                    result.item.clone(),
                    String::from_utf8(raw.to_vec()).unwrap(),
                )
            });
            (plan.page.total, texts.collect::<Vec<_>>())
        });
        self.told.read(job, results, sure, self.now);
        self.act(place);
    }

    /// Leases everything that is open at a store and gives it back.
    pub fn lease(&mut self, place: usize) {
        let Some(replica) = &mut self.stores[place].replica else {
            return;
        };
        let sure = replica.confirm(self.now);
        let leased = if sure {
            replica.lease(9, 1000, u64::MAX, self.now)
        } else {
            Vec::new()
        };
        replica.release(9);
        for plan in leased {
            self.told
                .leased(&plan.head.job.id, &plan.head.item, self.now);
            let bytes = self.stores[place]
                .disk
                .entries
                .get(&plan.payload.entry)
                .expect("a leased payload is on disk");
            let (_, raw) = framing::decode::<Entry>(bytes).unwrap();
            let payload = raw.slice(plan.payload.range);
            let expected = format!("payload {} {};", plan.head.job.id, plan.head.index);
            assert_eq!(payload, expected.as_bytes());
        }
        self.act(place);
    }
}

pub fn name(job: &str) -> JobName {
    JobName {
        host: HOST.to_string(),
        id: job.to_string(),
    }
}

/// By position, what readers were told.
pub type Results = BTreeMap<String, Vec<(String, String)>>;
