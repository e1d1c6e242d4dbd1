//! A controller's replica with its disk; mirrors `controller/register/local_replica.rs` and `controller/register/acceptor_storage.rs`: an answer
//! waits for the commit of all that was asked for before it, and what waits is committed at once.

use crate::context::{Caller, Context, Timer};
use crate::planted::Planted;
use crate::random::Random;
use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::message::{AcceptedValue, Reply, Request};
use mintlb_register::replica_set::{Replica, ReplicaId};
use std::collections::VecDeque;

/// What a disk holds.
#[derive(Clone, Debug, Default)]
pub struct VoteDisk {
    /// The replica's identity, drawn when the disk was first used.
    pub id: ReplicaId,
    /// Its vote.
    pub vote: AcceptorState,
}

impl VoteDisk {
    fn apply(&mut self, write: &DurableWrite) {
        self.vote.apply(write);
    }
}

/// Who waits for a reply.
#[derive(Clone, Debug)]
pub enum ReplyTo {
    /// Another process.
    Remote(Caller),
    /// A call of this process.
    Local(u64),
    /// The founding of a register with this value.
    Found(AcceptedValue),
    /// Nobody.
    Nobody,
}

struct Job {
    sync: DurableWrite,
    reply: Reply,
    to: ReplyTo,
}

/// A replica in its process.
pub struct LocalReplica {
    identity: Replica,
    acceptor: Acceptor,
    disk: VoteDisk,
    jobs: VecDeque<Job>,
    committing: usize,
}

impl LocalReplica {
    /// A replica with what its disk holds.
    pub fn new(disk: VoteDisk, address: String, node_name: String) -> LocalReplica {
        let identity = Replica {
            id: disk.id,
            address,
            node_name,
            zone: "z".to_string(),
        };
        let acceptor = Acceptor::new(disk.id, disk.vote.clone());
        LocalReplica {
            identity,
            acceptor,
            disk,
            jobs: VecDeque::new(),
            committing: 0,
        }
    }

    /// What the set says of it.
    pub fn identity(&self) -> &Replica {
        &self.identity
    }

    /// The value that it accepted last, which may not be chosen.
    pub fn accepted(&self) -> Option<AcceptedValue> {
        self.acceptor.state().accepted.clone()
    }

    /// Handles a request; returns the replies that can be given at once.
    pub fn answer(
        &mut self,
        context: &mut Context,
        request: Request,
        to: ReplyTo,
    ) -> Vec<(ReplyTo, Reply)> {
        let answered = self.acceptor.handle(request);
        let at_once = match context.planted {
            Planted::AnswerBeforeSync => true,
            Planted::PromiseNotSynced => matches!(answered.durable_write, DurableWrite::Promise(_)),
            _ => false,
        };
        if at_once {
            let sync = match context.planted {
                Planted::PromiseNotSynced => DurableWrite::Nothing,
                _ => answered.durable_write,
            };
            self.queue(
                context,
                Job {
                    sync,
                    reply: answered.reply.clone(),
                    to: ReplyTo::Nobody,
                },
            );
            return vec![(to, answered.reply)];
        }
        if answered.durable_write == DurableWrite::Nothing && self.jobs.is_empty() {
            return vec![(to, answered.reply)];
        }
        self.queue(
            context,
            Job {
                sync: answered.durable_write,
                reply: answered.reply,
                to,
            },
        );
        Vec::new()
    }

    /// The commit under way is on disk; returns the replies that can be given now.
    pub fn committed(&mut self, context: &mut Context) -> Vec<(ReplyTo, Reply)> {
        let done: Vec<Job> = self.jobs.drain(..self.committing).collect();
        self.committing = 0;
        done.iter().for_each(|job| self.disk.apply(&job.sync));
        self.begin_commit(context);
        done.into_iter().map(|job| (job.to, job.reply)).collect()
    }

    /// The process ends: the commit under way has got to the disk or not, what waited has not.
    pub fn crash(mut self, random: &mut Random) -> VoteDisk {
        if random.chance(50) {
            for job in self.jobs.iter().take(self.committing) {
                self.disk.apply(&job.sync);
            }
        }
        self.disk
    }

    fn queue(&mut self, context: &mut Context, job: Job) {
        self.jobs.push_back(job);
        self.begin_commit(context);
    }

    fn begin_commit(&mut self, context: &mut Context) {
        if self.committing == 0 && !self.jobs.is_empty() {
            self.committing = self.jobs.len();
            context.wake(context.commit_time, Timer::Disk);
        }
    }
}
