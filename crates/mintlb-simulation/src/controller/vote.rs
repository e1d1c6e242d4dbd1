//! A controller's replica on a simulated disk: the driver of the program's [`ReplicaCore`], which
//! keeps one commit at a time under way.

use crate::context::{Caller, Context, Timer};
use crate::random::Random;
use mintlb_control::controller::register::replica_core::{
    Command, Commit, ReplicaCore, ReplicaState, StateWrite,
};
use mintlb_control::controller::register::stopped_workers::StoppedWorker;
use mintlb_register::message::{AcceptedValue, Request};
use mintlb_register::replica_set::{Replica, ReplicaId};

/// What a disk holds.
#[derive(Clone, Debug, Default)]
pub struct VoteDisk {
    /// The replica's identity, drawn when the disk was first used.
    pub id: ReplicaId,
    /// Its state.
    pub state: ReplicaState,
}

impl VoteDisk {
    /// Applies a batch at the end of its sync.
    fn apply(&mut self, commit: Commit) {
        for change in commit.stopped_workers {
            self.state.stopped_workers.insert(change.stored);
        }
        let Some(StateWrite { promised, accepted }) = commit.write else {
            return;
        };
        let acceptor = &mut self.state.acceptor;
        acceptor.promised = promised;
        if accepted.is_some() {
            acceptor.accepted = accepted;
        }
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

/// A replica in its process.
pub struct LocalReplica {
    identity: Replica,
    core: ReplicaCore<ReplyTo>,
    disk: VoteDisk,
    /// The commit under way.
    commit: Option<Commit>,
}

impl LocalReplica {
    /// A replica with what its disk holds.
    pub fn new(
        context: &Context,
        disk: VoteDisk,
        address: String,
        node_name: String,
    ) -> LocalReplica {
        let identity = Replica {
            id: disk.id,
            address,
            node_name,
            zone: "z".to_string(),
            region: Some("r".to_string()),
            counts_toward_quorum: Some(true),
        };
        let mut core = ReplicaCore::new(disk.id, disk.state.clone());
        plant(context, &mut core);
        LocalReplica {
            identity,
            core,
            disk,
            commit: None,
        }
    }

    /// What the set says of it.
    pub fn identity(&self) -> &Replica {
        &self.identity
    }

    /// The value that it accepted last, which may not be chosen.
    pub fn accepted(&self) -> Option<AcceptedValue> {
        self.core.accepted().cloned()
    }

    /// Handles a request; returns the commands that concern its callers.
    pub fn request(
        &mut self,
        context: &mut Context,
        request: Request,
        to: ReplyTo,
    ) -> Vec<Command<ReplyTo>> {
        let commands = self.core.on_request(request, to);
        self.carry_out(context, commands)
    }

    /// Stores a worker that has announced its drain or end; returns the commands that concern its callers.
    pub fn store_stopped_worker(
        &mut self,
        context: &mut Context,
        stopped: StoppedWorker,
        to: ReplyTo,
    ) -> Vec<Command<ReplyTo>> {
        let commands = self.core.on_worker_stopped(stopped, to);
        self.carry_out(context, commands)
    }

    /// The workers that are published after a restart.
    pub fn retained_stopped_workers(&self, wall_ms: u64) -> Vec<StoppedWorker> {
        let stopped = self.core.stopped_workers().iter();
        let retained = stopped.filter(|worker| worker.is_retained(wall_ms));
        retained.cloned().collect()
    }

    /// The commit under way is on disk; returns the commands that concern its callers.
    pub fn committed(&mut self, context: &mut Context) -> Vec<Command<ReplyTo>> {
        let Some(commit) = self.commit.take() else {
            return Vec::new();
        };
        let generation = commit.generation;
        self.disk.apply(commit);
        let commands = self.core.on_commit_succeeded(generation);
        self.carry_out(context, commands)
    }

    /// The process ends: the commit under way has got to the disk or not, what waited has not.
    pub fn crash(mut self, random: &mut Random) -> VoteDisk {
        if let Some(commit) = self.commit
            && random.with_probability(50)
        {
            self.disk.apply(commit);
        }
        self.disk
    }

    /// Carries out the commands to the disk and returns the others.
    fn carry_out(
        &mut self,
        context: &mut Context,
        mut commands: Vec<Command<ReplyTo>>,
    ) -> Vec<Command<ReplyTo>> {
        let count = commands.len();
        commands.retain(|command| !matches!(command, Command::StartCommit));
        let has_to_start = commands.len() < count;
        if has_to_start && let Some(commit) = self.core.begin_commit() {
            self.commit = Some(commit);
            context.wake(context.commit_time, Timer::Disk);
        }
        commands
    }
}

/// Plants the faults of the core.
#[cfg(feature = "mutations")]
fn plant(context: &Context, core: &mut ReplicaCore<ReplyTo>) {
    use crate::mutations::Mutation;
    use mintlb_control::controller::register::replica_core::Mutation as CoreMutation;

    core.plant(match context.mutation {
        Mutation::PromiseNotSynced => CoreMutation::PromiseNotSynced,
        Mutation::AnswerBeforeSync => CoreMutation::AnswerBeforeSync,
        Mutation::DrainKeptInMemory => CoreMutation::StoppedWorkerInMemory,
        _ => CoreMutation::None,
    });
}

/// Without the feature there is nothing to plant.
#[cfg(not(feature = "mutations"))]
fn plant(_context: &Context, _core: &mut ReplicaCore<ReplyTo>) {}
