//! beanstalkd's hub and the core in virtual time: sessions without sockets, played step by step.
#![allow(dead_code, reason = "each of the tests that share it uses a part")]

use bytes::{Bytes, BytesMut};
use mintlb::operator::Operator;
use mintlb::placement::Placement;
use mintlb::serve::Plan;
use mintlb_beanstalkd::codec::{Command, Fault, Item, Reader};
use mintlb_beanstalkd::hub::{Deed, Hub};
use mintlb_beanstalkd::machines::Place;
use mintlb_core::capacity::Capacity;
use mintlb_core::membership::{Member, MembershipUpdate, WorkerSource};
use mintlb_core::project_types::ProjectTypes;
use mintlb_core::reducer::{Action, Event, Reducer};
use mintlb_core::work::{
    Answer, AttemptId, AttemptRequest, CancelHandle, Endpoint, Payload, Responder, Submission,
    WorkUnitIds,
};
use mintlb_scheduler::{ListState, ProjectTypeSet};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt::{Display, Formatter};
use std::net::IpAddr;
use std::sync::{Arc, Mutex};

/// What the core says, on its way to the hub.
enum Word {
    Order(IpAddr, ProjectTypeSet, u64, AttemptRequest),
    Recall(AttemptId),
    Answer(u64, Answer),
}

type Words = Arc<Mutex<VecDeque<Word>>>;

struct Way(IpAddr, ProjectTypeSet, u64, Words);

impl Display for Way {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl Endpoint for Way {
    fn send(&self, order: AttemptRequest) -> Box<dyn CancelHandle> {
        let out = Box::new(Out(order.attempt_id, self.3.clone()));
        self.3
            .lock()
            .unwrap()
            .push_back(Word::Order(self.0, self.1, self.2, order));
        out
    }
    fn probe(&self, _: u64) {}
}

struct Out(AttemptId, Words);

impl CancelHandle for Out {
    fn cancel(self: Box<Self>) {
        self.1.lock().unwrap().push_back(Word::Recall(self.0));
    }
}

struct JobEnd(u64, Words);

impl Responder for JobEnd {
    fn respond(self: Box<Self>, answer: Answer) {
        self.1
            .lock()
            .unwrap()
            .push_back(Word::Answer(self.0, answer));
    }
}

pub struct Peer {
    id: u64,
    reader: Reader,
    bytes: BytesMut,
    /// What it was sent and has not been asked for yet.
    pub got: Vec<u8>,
    /// It takes no bytes.
    pub stuck: bool,
    pending: usize,
    pub open: bool,
}

pub struct World {
    hub: Hub,
    reducer: Reducer,
    out: HashMap<AttemptId, Box<dyn CancelHandle>>,
    words: Words,
    pub now: f64,
    wake: f64,
    pub peers: BTreeMap<String, Peer>,
    /// Who has something to do, as the sockets would know it.
    active: BTreeSet<String>,
    names: HashMap<u64, String>,
    /// Final answers of the core, by job.
    pub answers: BTreeMap<u64, Vec<Answer>>,
}

const BASE: &str = include_str!("../../../../examples/config.json");

/// Tubes `lookup` (rerunnable), `create` (receipted) and `charge` (exclusive), each for its project type, with their
/// ends in the tube `ends`; `more` stands in the table itself.
pub fn table(more: &str) -> String {
    let tube = |name| {
        format!(
            "[[beanstalkd.tubes]]\ntube = \"{name}\"\nproject_type = \"{name}\"\nends = \"ends\"\n"
        )
    };
    let tubes: String = ["lookup", "create", "charge"].map(tube).concat();
    format!("[beanstalkd]\nlisten = \"127.0.0.1:0\"\nconnections = 256\n{more}\n{tubes}")
}

impl World {
    pub fn new(more: &str, changes: &[(&str, &str)], jobs: usize) -> World {
        let base = changes.iter().fold(BASE.to_string(), |text, (old, new)| {
            assert!(text.contains(old), "nothing to change: {old}");
            text.replace(old, new)
        });
        World::with(&base, &table(more), jobs)
    }

    /// With this text for the operator's file.
    pub fn from(operator: &str) -> World {
        World::with(BASE, operator, 1000)
    }

    fn with(base: &str, operator: &str, jobs: usize) -> World {
        let operator = Operator::parse(operator).unwrap();
        let plan = Plan::new(Placement::parse(base).unwrap(), operator).unwrap();
        let now = 1e9;
        let room = Capacity::new(jobs, 8 << 20);
        let hub = Hub::new(
            plan.plans.beanstalkd.unwrap(),
            "w".into(),
            now,
            1 << 16,
            WorkUnitIds::default(),
            room,
        );
        let mut reducer = Reducer::new(
            plan.scheduler,
            ProjectTypes::new(plan.types),
            1 << 20,
            0.002,
        );
        reducer.start(now, None, false);
        let (out, words, peers, active, names, answers) = Default::default();
        World {
            hub,
            reducer,
            out,
            words,
            now,
            wake: f64::MAX,
            peers,
            active,
            names,
            answers,
        }
    }

    fn reduce(&mut self, event: Event) {
        if let Event::Finished(back) = &event {
            self.out.remove(&back.attempt_id);
        }
        for act in self.reducer.reduce(self.now, event) {
            match act {
                Action::Send {
                    endpoint: to,
                    request: order,
                } => drop(self.out.insert(order.attempt_id, to.send(order))),
                Action::Cancel(attempt) => self
                    .out
                    .remove(&attempt)
                    .into_iter()
                    .for_each(|out| out.cancel()),
                Action::Answer {
                    responder: to,
                    answer,
                    ..
                } => to.respond(answer),
                Action::WakeIn(after) => self.wake = self.now + after,
                Action::Log(_) | Action::Probe { .. } | Action::Watch { .. } => {}
            }
        }
    }

    /// Until nothing moves any more.
    pub fn pump(&mut self) {
        loop {
            let mut moved = false;
            for deed in self.hub.deeds(Vec::new()) {
                moved = true;
                match deed {
                    Deed::Arrive {
                        id,
                        project_type,
                        customer,
                        arrived,
                        time_budget,
                        body,
                    } => {
                        assert!(customer.is_none() && arrived == self.now && time_budget == 3.0);
                        self.arrives(id, project_type, body);
                    }
                    Deed::Member(change) => {
                        let way = Way(
                            change.machine,
                            change.runs,
                            change.generation,
                            self.words.clone(),
                        );
                        let (host, reach) = (
                            Some(change.machine),
                            Some(Arc::new(way) as Arc<dyn Endpoint>),
                        );
                        let member = Member {
                            name: change.name,
                            entry: change.line,
                            host,
                            endpoint: reach,
                        };
                        let told = MembershipUpdate {
                            source: WorkerSource::SelfRegistered,
                            full: false,
                            members: vec![member],
                        };
                        self.reduce(Event::MembershipChanged(None, told));
                    }
                    Deed::Tell(event) => self.reduce(event),
                    Deed::Wake(id) => self.active.extend(self.names.get(&id).cloned()),
                }
            }
            let words: Vec<Word> = self.words.lock().unwrap().drain(..).collect();
            for word in words {
                moved = true;
                match word {
                    Word::Order(machine, runs, generation, order) => {
                        self.hub.order(machine, runs, generation, order)
                    }
                    Word::Recall(attempt) => self.hub.recall(self.now, attempt),
                    Word::Answer(id, answer) => {
                        self.answers.entry(id).or_default().push(answer.clone());
                        self.hub.ended(self.now, id, answer);
                    }
                }
            }
            for name in std::mem::take(&mut self.active) {
                if self.serve(&name) {
                    moved = true;
                    self.active.insert(name);
                }
            }
            if !moved {
                return;
            }
        }
    }

    /// A session's turn: its commands, then what it is to be sent.
    fn serve(&mut self, name: &str) -> bool {
        let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.open) else {
            return false;
        };
        let (mut moved, mut room) = (false, None);
        while !self.hub.is_blocked(peer.id) && !self.hub.is_over(peer.id) {
            let Some(item) = peer.reader.next(&mut peer.bytes) else {
                break;
            };
            moved = true;
            match item {
                Item::Coming(bytes) => room = self.hub.body_room(bytes),
                Item::Command(command) => {
                    let room = if matches!(command, Command::Put(..)) {
                        room.take()
                    } else {
                        None
                    };
                    self.hub.command(self.now, peer.id, command, room);
                }
                Item::Fault(fault) => {
                    self.hub.say(peer.id, fault.reply());
                    if fault == Fault::Unframed {
                        self.hub.end(peer.id);
                    }
                }
            }
        }
        if !peer.stuck && peer.pending > 0 {
            self.hub.wrote(peer.id, std::mem::take(&mut peer.pending));
            moved = true;
        }
        let out = self.hub.take_out(self.now, peer.id, Vec::new());
        peer.got.extend_from_slice(&out);
        peer.pending += out.len();
        if !peer.stuck && peer.pending > 0 {
            self.hub.wrote(peer.id, std::mem::take(&mut peer.pending));
        }
        moved |= !out.is_empty();
        if self.hub.is_over(peer.id) {
            peer.open = false;
            self.hub.closed(self.now, peer.id);
            moved = true;
        }
        moved
    }

    /// A machine is told by the digit at a name's end, or its first.
    pub fn connect(&mut self, name: &str) {
        let digit = name
            .chars()
            .last()
            .and_then(|c| c.to_digit(10))
            .unwrap_or(1);
        self.connect_from(name, [127, 0, 0, digit as u8].into());
    }

    pub fn connect_from(&mut self, name: &str, machine: IpAddr) {
        let id = self.hub.connect(machine);
        let (reader, bytes, got) = (
            Reader::new(self.hub.most_bytes()),
            BytesMut::new(),
            Vec::new(),
        );
        let peer = Peer {
            id,
            reader,
            bytes,
            got,
            stuck: false,
            pending: 0,
            open: true,
        };
        self.peers.insert(name.into(), peer);
        self.names.insert(id, name.into());
    }

    pub fn stick(&mut self, name: &str, stuck: bool) {
        self.peers.get_mut(name).unwrap().stuck = stuck;
        self.active.insert(name.into());
        self.pump();
    }

    pub fn send(&mut self, name: &str, bytes: &[u8]) {
        if !self.peers.contains_key(name) {
            self.connect(name);
        }
        self.peers
            .get_mut(name)
            .unwrap()
            .bytes
            .extend_from_slice(bytes);
        self.active.insert(name.into());
        self.pump();
    }

    pub fn cut(&mut self, name: &str) {
        let peer = self.peers.remove(name).unwrap();
        self.names.remove(&peer.id);
        if peer.open {
            self.hub.closed(self.now, peer.id);
        }
        self.pump();
    }

    /// Time goes on, through all that is due.
    pub fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        loop {
            let next = self.wake.min(self.hub.next_due().unwrap_or(f64::MAX));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if self.wake <= self.now {
                self.wake = f64::MAX;
                self.reduce(Event::TimerFired);
            }
            self.hub.woke(self.now);
            self.pump();
        }
        self.now = end;
        self.pump();
    }

    /// What the list says of a machine.
    pub fn list(&mut self, full: bool, machines: &[(u8, ListState, f64)]) {
        let places = machines.iter().map(|&(digit, listed, came_up)| {
            let (zone, cell, kind) = (0, u64::from(digit), 0);
            (
                IpAddr::from([127, 0, 0, digit]),
                Place {
                    zone,
                    cell,
                    kind,
                    listed,
                    came_up,
                },
            )
        });
        self.hub.hear(full, places.collect::<Vec<_>>().into_iter());
        self.pump();
    }

    pub fn stop(&mut self) {
        self.hub.stop(self.now);
        self.pump();
    }

    pub fn last_call(&mut self) {
        self.reduce(Event::DrainDeadline);
        self.pump();
    }

    fn arrives(&mut self, id: u64, project_type: usize, body: Bytes) {
        self.reduce(Event::Submitted(Submission {
            id,
            client_request_id: None,
            project_type,
            customer: None,
            slots: 1.0,
            arrived_at: self.now,
            time_budget: 3.0,
            payload: Payload {
                body,
                non_idempotent: true,
                protocol_data: Arc::new(()),
            },
            responder: Box::new(JobEnd(id, self.words.clone())),
        }));
    }

    /// A client of another protocol brings work, as the HTTP front would.
    pub fn arrive(&mut self, id: u64, project_type: usize, body: &'static [u8]) {
        self.arrives(id, project_type, Bytes::from_static(body));
        self.pump();
    }

    /// What a peer was sent since it was last asked, its words in a row.
    pub fn heard(&mut self, name: &str) -> String {
        let got = self
            .peers
            .get_mut(name)
            .map(|peer| std::mem::take(&mut peer.got))
            .unwrap_or_default();
        String::from_utf8_lossy(&got)
            .split_ascii_whitespace()
            .collect::<Vec<_>>()
            .join(" ")
    }

    /// Its client has left.
    pub fn leave(&mut self, id: u64) {
        self.reduce(Event::ClientLeft(id));
        self.pump();
    }

    /// How many work units the core holds.
    pub fn held(&self) -> usize {
        self.reducer.held_count()
    }

    pub fn totals(&self) -> &mintlb_beanstalkd::hub::Totals {
        &self.hub.totals
    }
}
