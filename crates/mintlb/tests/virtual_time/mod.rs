//! The beanstalkd server and the scheduler's core in virtual time: sessions without sockets, advanced step by step.
#![allow(dead_code, reason = "each of the tests that share it uses a part")]

use bytes::{Bytes, BytesMut};
use mintlb::configuration::Configuration;
use mintlb::operator_config::OperatorConfig;
use mintlb::serve::StartupPlan;
use mintlb_beanstalkd::codec::{Command, CommandReader, Item, ProtocolError};
use mintlb_beanstalkd::hub::{Effect, Hub};
use mintlb_beanstalkd::machines::MachineInfo;
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

/// Messages of the core to the hub that are not delivered yet.
enum CoreMessage {
    Send(IpAddr, ProjectTypeSet, u64, AttemptRequest),
    Cancel(AttemptId),
    Answer(u64, Answer),
}

type CoreMessages = Arc<Mutex<VecDeque<CoreMessage>>>;

struct WorkerRoute(IpAddr, ProjectTypeSet, u64, CoreMessages);

impl Display for WorkerRoute {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl Endpoint for WorkerRoute {
    fn send(&self, request: AttemptRequest) -> Box<dyn CancelHandle> {
        let attempt = Box::new(Attempt(request.attempt_id, self.3.clone()));
        self.3
            .lock()
            .unwrap()
            .push_back(CoreMessage::Send(self.0, self.1, self.2, request));
        attempt
    }
    fn probe(&self, _: u64) {}
}

struct Attempt(AttemptId, CoreMessages);

impl CancelHandle for Attempt {
    fn cancel(self: Box<Self>) {
        self.1
            .lock()
            .unwrap()
            .push_back(CoreMessage::Cancel(self.0));
    }
}

struct AnswerSink(u64, CoreMessages);

impl Responder for AnswerSink {
    fn respond(self: Box<Self>, answer: Answer) {
        self.1
            .lock()
            .unwrap()
            .push_back(CoreMessage::Answer(self.0, answer));
    }
}

/// A session of a producer or a worker.
pub struct Peer {
    id: u64,
    reader: CommandReader,
    bytes: BytesMut,
    /// Bytes that it has received since the test last read them.
    pub received: Vec<u8>,
    /// It reads nothing.
    pub stuck: bool,
    /// Bytes that were sent to it, and that the hub does not know to be written yet.
    unconfirmed: usize,
    pub open: bool,
}

/// The hub, the core, and the sessions between them.
pub struct Simulation {
    hub: Hub,
    reducer: Reducer,
    in_flight: HashMap<AttemptId, Box<dyn CancelHandle>>,
    messages: CoreMessages,
    pub now: f64,
    /// When the reducer wants to be woken.
    wake_at: f64,
    pub peers: BTreeMap<String, Peer>,
    /// The sessions that may have something to do, which sockets would tell.
    runnable: BTreeSet<String>,
    session_names: HashMap<u64, String>,
    /// The core's final answers by job id.
    pub answers: BTreeMap<u64, Vec<Answer>>,
}

const BASE_CONFIG: &str = include_str!("../../../../examples/config.json");

/// An operator's file with the tubes `lookup` (idempotent), `create` (deduplicated) and `charge` (non-idempotent),
/// one for each project type, which report the ends of jobs in the tube `ends`. `settings` are further lines of the
/// table.
pub fn operator_file(settings: &str) -> String {
    let tube = |name| {
        format!(
            "[[beanstalkd.tubes]]\ntube = \"{name}\"\nproject_type = \"{name}\"\nends = \"ends\"\n"
        )
    };
    let tubes: String = ["lookup", "create", "charge"].map(tube).concat();
    format!("[beanstalkd]\nlisten = \"127.0.0.1:0\"\nconnections = 256\n{settings}\n{tubes}")
}

impl Simulation {
    /// With these settings of the beanstalkd table, changes of the configuration (old text, new text), and most jobs.
    pub fn new(settings: &str, changes: &[(&str, &str)], jobs: usize) -> Simulation {
        let base = changes
            .iter()
            .fold(BASE_CONFIG.to_string(), |text, (old, new)| {
                assert!(text.contains(old), "text to change not found: {old}");
                text.replace(old, new)
            });
        Simulation::build(&base, &operator_file(settings), jobs)
    }

    /// With this operator's file.
    pub fn with_operator_file(operator: &str) -> Simulation {
        Simulation::build(BASE_CONFIG, operator, 1000)
    }

    fn build(base: &str, operator: &str, jobs: usize) -> Simulation {
        let operator = OperatorConfig::parse(operator).unwrap();
        let plan = StartupPlan::new(Configuration::parse(base).unwrap(), operator).unwrap();
        let now = 1e9;
        let room = Capacity::new(jobs, 8 << 20);
        let hub = Hub::new(
            plan.subsystems.beanstalkd.unwrap(),
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
        let (in_flight, messages, peers, runnable, session_names, answers) = Default::default();
        Simulation {
            hub,
            reducer,
            in_flight,
            messages,
            now,
            wake_at: f64::MAX,
            peers,
            runnable,
            session_names,
            answers,
        }
    }

    fn reduce(&mut self, event: Event) {
        if let Event::Finished(result) = &event {
            self.in_flight.remove(&result.attempt_id);
        }
        for action in self.reducer.reduce(self.now, event) {
            match action {
                Action::Send { endpoint, request } => drop(
                    self.in_flight
                        .insert(request.attempt_id, endpoint.send(request)),
                ),
                Action::Cancel(attempt) => self
                    .in_flight
                    .remove(&attempt)
                    .into_iter()
                    .for_each(|attempt| attempt.cancel()),
                Action::Answer {
                    responder, answer, ..
                } => responder.respond(answer),
                Action::WakeIn(after) => self.wake_at = self.now + after,
                Action::Log(_) | Action::Probe { .. } | Action::Watch { .. } => {}
            }
        }
    }

    /// Delivers all messages and runs all sessions until there is nothing left to do.
    pub fn run_until_idle(&mut self) {
        loop {
            let mut progressed = false;
            for effect in self.hub.take_effects(Vec::new()) {
                progressed = true;
                match effect {
                    Effect::Submit {
                        id,
                        project_type,
                        customer,
                        arrived,
                        time_budget,
                        body,
                    } => {
                        assert!(customer.is_none() && arrived == self.now && time_budget == 3.0);
                        self.hand_in(id, project_type, body);
                    }
                    Effect::MemberChanged(change) => {
                        let route = WorkerRoute(
                            change.machine,
                            change.type_set,
                            change.generation,
                            self.messages.clone(),
                        );
                        let (host, endpoint) = (
                            Some(change.machine),
                            Some(Arc::new(route) as Arc<dyn Endpoint>),
                        );
                        let member = Member {
                            name: change.name,
                            entry: change.list_entry,
                            host,
                            endpoint,
                        };
                        let update = MembershipUpdate {
                            source: WorkerSource::SelfRegistered,
                            full: false,
                            members: vec![member],
                        };
                        self.reduce(Event::MembershipChanged(None, update));
                    }
                    Effect::CoreEvent(event) => self.reduce(event),
                    Effect::WakeSession(id) => {
                        self.runnable.extend(self.session_names.get(&id).cloned())
                    }
                }
            }
            let messages: Vec<CoreMessage> = self.messages.lock().unwrap().drain(..).collect();
            for message in messages {
                progressed = true;
                match message {
                    CoreMessage::Send(machine, runs, generation, request) => {
                        self.hub.deliver_attempt(machine, runs, generation, request)
                    }
                    CoreMessage::Cancel(attempt) => self.hub.cancel_attempt(self.now, attempt),
                    CoreMessage::Answer(id, answer) => {
                        self.answers.entry(id).or_default().push(answer.clone());
                        self.hub.request_answered(self.now, id, answer);
                    }
                }
            }
            for name in std::mem::take(&mut self.runnable) {
                if self.run_session(&name) {
                    progressed = true;
                    self.runnable.insert(name);
                }
            }
            if !progressed {
                return;
            }
        }
    }

    /// Runs the commands that a session has sent, and delivers the replies. Returns whether there was anything to do.
    fn run_session(&mut self, name: &str) -> bool {
        let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.open) else {
            return false;
        };
        let (mut progressed, mut room) = (false, None);
        while !self.hub.is_blocked(peer.id) && !self.hub.is_closing(peer.id) {
            let Some(item) = peer.reader.next(&mut peer.bytes) else {
                break;
            };
            progressed = true;
            match item {
                Item::PutHeader(bytes) => room = self.hub.reserve_body(bytes),
                Item::Command(command) => {
                    let room = if matches!(command, Command::Put(..)) {
                        room.take()
                    } else {
                        None
                    };
                    self.hub.command(self.now, peer.id, command, room);
                }
                Item::ProtocolError(fault) => {
                    self.hub.queue_output(peer.id, fault.reply());
                    if fault == ProtocolError::UnknownBodyLength {
                        self.hub.close_when_flushed(peer.id);
                    }
                }
            }
        }
        if !peer.stuck && peer.unconfirmed > 0 {
            self.hub
                .record_written(peer.id, std::mem::take(&mut peer.unconfirmed));
            progressed = true;
        }
        let output = self.hub.take_output(self.now, peer.id, Vec::new());
        peer.received.extend_from_slice(&output);
        peer.unconfirmed += output.len();
        if !peer.stuck && peer.unconfirmed > 0 {
            self.hub
                .record_written(peer.id, std::mem::take(&mut peer.unconfirmed));
        }
        progressed |= !output.is_empty();
        if self.hub.is_closing(peer.id) {
            peer.open = false;
            self.hub.connection_closed(self.now, peer.id);
            progressed = true;
        }
        progressed
    }

    /// Connects from the machine `127.0.0.N`, where N is the digit at the end of the name, or 1.
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
        let (reader, bytes, received) = (
            CommandReader::new(self.hub.max_body_bytes()),
            BytesMut::new(),
            Vec::new(),
        );
        let peer = Peer {
            id,
            reader,
            bytes,
            received,
            stuck: false,
            unconfirmed: 0,
            open: true,
        };
        self.peers.insert(name.into(), peer);
        self.session_names.insert(id, name.into());
    }

    /// Makes the peer stop reading, or read again.
    pub fn set_stuck(&mut self, name: &str, stuck: bool) {
        self.peers.get_mut(name).unwrap().stuck = stuck;
        self.runnable.insert(name.into());
        self.run_until_idle();
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
        self.runnable.insert(name.into());
        self.run_until_idle();
    }

    /// Closes the session's connection.
    pub fn disconnect(&mut self, name: &str) {
        let peer = self.peers.remove(name).unwrap();
        self.session_names.remove(&peer.id);
        if peer.open {
            self.hub.connection_closed(self.now, peer.id);
        }
        self.run_until_idle();
    }

    /// Advances the time, and runs all timers that are due meanwhile.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        loop {
            let next = self.wake_at.min(self.hub.next_due().unwrap_or(f64::MAX));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if self.wake_at <= self.now {
                self.wake_at = f64::MAX;
                self.reduce(Event::TimerFired);
            }
            self.hub.run_due(self.now);
            self.run_until_idle();
        }
        self.now = end;
        self.run_until_idle();
    }

    /// A message of the list service: for each machine its digit, its state and when it started.
    pub fn update_machines(&mut self, full: bool, machines: &[(u8, ListState, f64)]) {
        let places = machines.iter().map(|&(digit, listed, start_time)| {
            let (zone, cell, kind) = (0, u64::from(digit), 0);
            (
                IpAddr::from([127, 0, 0, digit]),
                MachineInfo {
                    zone,
                    cell,
                    kind,
                    listed,
                    start_time,
                },
            )
        });
        self.hub
            .apply_membership(full, places.collect::<Vec<_>>().into_iter());
        self.run_until_idle();
    }

    /// The start of the graceful shutdown.
    pub fn stop(&mut self) {
        self.hub.begin_shutdown(self.now);
        self.run_until_idle();
    }

    /// The end of the graceful shutdown: all open requests are answered now.
    pub fn reach_drain_deadline(&mut self) {
        self.reduce(Event::DrainDeadline);
        self.run_until_idle();
    }

    fn hand_in(&mut self, id: u64, project_type: usize, body: Bytes) {
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
            responder: Box::new(AnswerSink(id, self.messages.clone())),
        }));
    }

    /// Submits a request as a client of another protocol would.
    pub fn submit(&mut self, id: u64, project_type: usize, body: &'static [u8]) {
        self.hand_in(id, project_type, Bytes::from_static(body));
        self.run_until_idle();
    }

    /// What a peer has received since the last call, as words with single spaces.
    pub fn take_received(&mut self, name: &str) -> String {
        let received = self
            .peers
            .get_mut(name)
            .map(|peer| std::mem::take(&mut peer.received))
            .unwrap_or_default();
        String::from_utf8_lossy(&received)
            .split_ascii_whitespace()
            .collect::<Vec<_>>()
            .join(" ")
    }

    /// The client of a submitted request leaves.
    pub fn client_leaves(&mut self, id: u64) {
        self.reduce(Event::ClientLeft(id));
        self.run_until_idle();
    }

    /// The number of requests that the core holds.
    pub fn open_requests(&self) -> usize {
        self.reducer.held_count()
    }

    pub fn totals(&self) -> &mintlb_beanstalkd::hub::Totals {
        &self.hub.totals
    }
}
