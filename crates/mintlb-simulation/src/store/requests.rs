//! Dispatchers' calls at a store; mirrors `store/requests`.

use super::{SHARDS, Store};
use crate::context::{Caller, Context, Time};
use crate::message;
use bytes::Bytes;
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_batch::messages::{self, StoreResponse};
use mintlb_batch::replica::{PagePlan, Proposal, Replica};
use std::time::Duration;

/// How long an answer waits until the followers have confirmed that nobody has taken over.
const CONFIRM: Duration = Duration::from_millis(700);

/// Calls of a shard that wait.
#[derive(Default)]
pub struct Waiting {
    /// For the commit of an index.
    commits: Vec<(u64, Caller, Proposal, Option<Submitted>)>,
    /// For a confirmation, until a time.
    confirmations: Vec<(Time, Caller, StoreResponse)>,
}

/// A job that came again has to be the same.
#[derive(Clone)]
struct Submitted {
    head: mintlb_batch::entry::JobHeader,
    raw: Bytes,
}

impl Store {
    /// A dispatcher's call.
    pub(super) fn call(
        &mut self,
        context: &mut Context,
        caller: Caller,
        call: messages::StoreRequest,
        raw: Bytes,
    ) {
        let now = context.now.into();
        let shard = match &call {
            messages::StoreRequest::Submit(submit) => submit.job.name().shard(),
            messages::StoreRequest::Read(read) => read.job.shard(),
            messages::StoreRequest::End(job) => job.shard(),
            messages::StoreRequest::Record(record) => record.job.shard(),
            _ => return,
        };
        if shard >= SHARDS {
            return;
        }
        let replica = &mut self.replicas[shard as usize];
        let (proposal, submitted) = match call {
            messages::StoreRequest::Submit(submit) => {
                let submitted = Submitted {
                    head: submit.job.clone(),
                    raw: raw.clone(),
                };
                let proposal = replica.submit(&submit, &raw, now);
                (proposal, Some(submitted))
            }
            messages::StoreRequest::End(job) => (replica.end(&job, now), None),
            messages::StoreRequest::Record(record) => (
                replica.record(&record.job, record.item, record.state, &raw, now),
                None,
            ),
            messages::StoreRequest::Read(read) => return self.page(context, caller, shard, &read),
            _ => return,
        };
        self.proposed(context, shard, caller, proposal, submitted);
        self.act(context, shard);
    }

    fn proposed(
        &mut self,
        context: &mut Context,
        shard: u32,
        caller: Caller,
        proposal: Proposal,
        submitted: Option<Submitted>,
    ) {
        let committed = self.replicas[shard as usize].commit_index();
        match proposal {
            Proposal::AfterCommit { index, .. } | Proposal::CompareItems { index, .. }
                if index > committed =>
            {
                self.waiting[shard as usize]
                    .commits
                    .push((index, caller, proposal, submitted));
            }
            proposal => self.finish(context, shard, caller, proposal, submitted),
        }
    }

    fn finish(
        &mut self,
        context: &mut Context,
        shard: u32,
        caller: Caller,
        proposal: Proposal,
        submitted: Option<Submitted>,
    ) {
        match proposal {
            Proposal::Immediate(StoreResponse::NotFound) => {
                self.confirm(context, shard, caller, StoreResponse::NotFound)
            }
            Proposal::Immediate(answer)
            | Proposal::AfterCommit {
                response: answer, ..
            } => reply(context, &caller, answer),
            // The jobs of the model have no quota.
            Proposal::NeedsAllowance(_) => reply(context, &caller, StoreResponse::NotPrimary),
            Proposal::CompareItems {
                index,
                response: answer,
            } => {
                let stored = self.read(shard, &[index]);
                let entry = stored
                    .first()
                    .and_then(|(_, bytes)| framing::decode::<Entry>(bytes));
                let same = match (entry, submitted) {
                    (Some((Entry::Accepted(head), stored)), Some(new)) => {
                        Replica::same_items(&head, &new.head)
                            && (stored.is_empty() || stored == new.raw)
                    }
                    _ => return reply(context, &caller, StoreResponse::Indeterminate),
                };
                reply(
                    context,
                    &caller,
                    if same {
                        answer
                    } else {
                        StoreResponse::Conflict
                    },
                );
            }
        }
    }

    fn page(&mut self, context: &mut Context, caller: Caller, shard: u32, read: &messages::Read) {
        let replica = &self.replicas[shard as usize];
        if !replica.is_serving() {
            return reply(context, &caller, StoreResponse::NotPrimary);
        }
        match replica.page(&read.job, read.start_after, read.max_bytes) {
            Some(plan) if !plan.entries.is_empty() => self.texts(context, &caller, shard, plan),
            Some(plan) => self.confirm(context, shard, caller, StoreResponse::Page(plan.page)),
            None => self.confirm(context, shard, caller, StoreResponse::NotFound),
        }
        self.act(context, shard);
    }

    fn texts(&self, context: &mut Context, caller: &Caller, shard: u32, plan: PagePlan) {
        let mut page = plan.page;
        let stored = self.read(shard, &plan.entries);
        let texts: Vec<Bytes> = stored
            .iter()
            .filter_map(|(_, bytes)| Some(framing::decode::<Entry>(bytes)?.1))
            .collect();
        if texts.len() != page.results.len() {
            return reply(context, caller, StoreResponse::Indeterminate);
        }
        page.results
            .iter_mut()
            .zip(&texts)
            .for_each(|(result, text)| result.length = text.len() as u64);
        let raw: Vec<u8> = texts.iter().flat_map(|text| text.to_vec()).collect();
        context.answer(
            caller,
            message::Answer::Batch(StoreResponse::Page(page), raw.into()),
        );
    }

    /// Answers once this is confirmed to be the primary in charge still.
    fn confirm(
        &mut self,
        context: &mut Context,
        shard: u32,
        caller: Caller,
        answer: StoreResponse,
    ) {
        let until = context.now + CONFIRM;
        self.waiting[shard as usize]
            .confirmations
            .push((until, caller, answer));
        self.on_confirmed(context, shard);
    }

    /// The followers have given a sign.
    pub(super) fn on_confirmed(&mut self, context: &mut Context, shard: u32) {
        let replica = &mut self.replicas[shard as usize];
        let waiting = &mut self.waiting[shard as usize];
        if waiting.confirmations.is_empty() {
            return;
        }
        let serving = replica.is_serving();
        if serving && !replica.confirm(context.now.into()) {
            return;
        }
        for (_, caller, answer) in waiting.confirmations.drain(..) {
            reply(
                context,
                &caller,
                if serving {
                    answer
                } else {
                    StoreResponse::Indeterminate
                },
            );
        }
    }

    /// The log is committed up to here.
    pub(super) fn on_committed(&mut self, context: &mut Context, shard: u32, through: u64) {
        let waiting = std::mem::take(&mut self.waiting[shard as usize].commits);
        for (index, caller, proposal, submitted) in waiting {
            match index <= through {
                true => self.finish(context, shard, caller, proposal, submitted),
                false => {
                    self.waiting[shard as usize]
                        .commits
                        .push((index, caller, proposal, submitted));
                }
            }
        }
    }

    /// What waited is answered as unsure.
    pub(super) fn on_stepped_down(&mut self, context: &mut Context, shard: u32) {
        let waiting = std::mem::take(&mut self.waiting[shard as usize]);
        let callers = waiting.commits.into_iter().map(|(_, caller, ..)| caller);
        let others = waiting
            .confirmations
            .into_iter()
            .map(|(_, caller, _)| caller);
        callers
            .chain(others)
            .for_each(|caller| reply(context, &caller, StoreResponse::Indeterminate));
    }

    /// Those that have waited too long for a confirmation.
    pub(super) fn give_up_waiting(&mut self, context: &mut Context) {
        for waiting in &mut self.waiting {
            let is_expired = |(until, ..): &(Time, Caller, StoreResponse)| *until <= context.now;
            let callers: Vec<Caller> = waiting
                .confirmations
                .iter()
                .filter(|w| is_expired(w))
                .map(|(_, caller, _)| caller.clone())
                .collect();
            waiting.confirmations.retain(|w| !is_expired(w));
            callers
                .iter()
                .for_each(|caller| reply(context, caller, StoreResponse::Indeterminate));
        }
    }
}

fn reply(context: &mut Context, caller: &Caller, answer: StoreResponse) {
    context.answer(caller, message::Answer::Batch(answer, Bytes::new()));
}
