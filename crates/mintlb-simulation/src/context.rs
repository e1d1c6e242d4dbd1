//! The context of one event: what a simulated process reads, and the effects that it requests.

use crate::message::{Answer, Body, Call, ClientResponse, Packet};
use crate::mutations::Mutation;
use crate::random::Random;
use mintlb_common::record::Record;
use mintlb_register::message::AcceptedValue;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time since the model's start.
pub type Time = Duration;

/// A timer of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timer {
    /// The overlay wants its tick.
    Gossip,
    /// The commit under way is on disk.
    Disk,
    /// A proposal's timer.
    Attempt {
        /// The task.
        task: u64,
        /// Only the newest timer counts.
        generation: u64,
    },
    /// A task's time is over.
    Deadline(u64),
    /// A call's time is over.
    CallLost(u64),
    /// The membership's pause is over.
    Member,
    /// Pings are sent and the leader runs its tasks.
    Step,
    /// The singleton tasks run again.
    Singleton,
    /// Expired worker heartbeats are looked for.
    Workers,
    /// A store's replicas are ticked.
    Tick,
    /// A store's heartbeat is due.
    Heartbeat,
    /// A dispatcher retries a call on a job.
    Retry(u64),
    /// An answer waits no longer for a neighbour's confirmation.
    Confirm(u64),
}

/// An effect that a process requests.
#[derive(Clone, Debug)]
pub enum Out {
    /// Send this.
    Send(Box<Packet>),
    /// Wake me.
    Wake(Duration, Timer),
    /// Respond to a client.
    Respond(u64, ClientResponse),
    /// This was learnt to be chosen.
    Chosen(AcceptedValue),
    /// This record is newly in force here.
    InForce(Arc<Record>),
    /// For the trace.
    Note(String),
}

/// One event's surroundings.
pub struct Context<'a> {
    /// Since the model's start.
    pub now: Time,
    /// The same as an instant of the steady clock.
    pub instant: Instant,
    /// The machine's time of day, in ms; it may go back.
    pub wall_ms: u64,
    /// The process's address.
    pub own: SocketAddr,
    /// The process's incarnation.
    pub incarnation: u64,
    /// Draws.
    pub random: &'a mut Random,
    /// The mutation under test.
    pub mutation: Mutation,
    /// How long the disk takes for a commit.
    pub commit_time: Duration,
    /// What is to be done.
    pub out: Vec<Out>,
}

impl Context<'_> {
    /// Sends a message.
    pub fn send(&mut self, packet: Packet) {
        self.out.push(Out::Send(Box::new(packet)));
    }

    /// Sends a call.
    pub fn call(&mut self, to: SocketAddr, id: u64, call: Call) {
        let body = Body::Call {
            id,
            incarnation: self.incarnation,
            call,
        };
        self.send(Packet {
            from: self.own,
            from_incarnation: self.incarnation,
            to,
            to_incarnation: None,
            body,
        });
    }

    /// Answers a call.
    pub fn answer(&mut self, caller: &Caller, answer: Answer) {
        let body = Body::Answer {
            id: caller.id,
            answer,
        };
        self.send(Packet {
            from: self.own,
            from_incarnation: self.incarnation,
            to: caller.address,
            to_incarnation: Some(caller.incarnation),
            body,
        });
    }

    /// Sets a timer.
    pub fn wake(&mut self, after: Duration, timer: Timer) {
        self.out.push(Out::Wake(after, timer));
    }
}

/// Who made a call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its address.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its number of the call.
    pub id: u64,
}
