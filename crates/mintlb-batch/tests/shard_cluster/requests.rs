//! Requests of dispatchers to the replicas; what is acknowledged goes to the oracle.

use super::{Expected, HOST, ITEM_TOKENS, MAX_QUEUED_TOKENS, ShardCluster};
use bytes::Bytes;
use mintlb_batch::entry::{Entry, ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::framing;
use mintlb_batch::messages::{JobName, StoreResponse, Submit};
use mintlb_batch::quota::{QuotaAccount, QuotaCounter, Shortage, Verdict};
use mintlb_batch::replica::Proposal;

/// The route of all jobs.
const ROUTE: &str = "r";

impl ShardCluster {
    /// Acknowledges a request at once or once it is committed.
    fn propose(&mut self, store_index: usize, proposal: Proposal, expected: Expected) {
        match proposal {
            Proposal::Immediate(StoreResponse::Recorded | StoreResponse::Ended) => {
                self.acknowledge(store_index, expected)
            }
            Proposal::Immediate(_) | Proposal::NeedsAllowance(_) => (),
            Proposal::AfterCommit { index, .. } => {
                self.stores[store_index].pending.push((index, expected))
            }
            Proposal::CompareItems { index, .. } => {
                let replica = self.stores[store_index].replica.as_ref().unwrap();
                match index <= replica.commit_index() {
                    true => self.acknowledge(store_index, expected),
                    false => self.stores[store_index].pending.push((index, expected)),
                }
            }
        }
        self.run_effects(store_index);
    }

    pub fn submit(&mut self, store_index: usize, job: String, items: usize) {
        let Some(replica) = &mut self.stores[store_index].replica else {
            return;
        };
        let payload = |item: usize| format!("payload {job} {item};");
        let heads = (0..items).map(|item| ItemHeader {
            id: format!("{job}-{item}"),
            tokens: ITEM_TOKENS,
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
            route: ROUTE.to_string(),
            terms,
            items: heads.collect(),
            tenant: None,
        };
        let submit = Submit {
            epoch: replica.epoch(),
            owner: 7,
            max_queued_tokens: MAX_QUEUED_TOKENS,
            job: head,
        };
        let proposal = self.admit(store_index, &submit, &raw);
        self.propose(store_index, proposal, Expected::Accepted { job, items });
    }

    /// Submits a job, and acquires an allowance for it if it needs one.
    fn admit(&mut self, store_index: usize, submit: &Submit, raw: &Bytes) -> Proposal {
        let account = QuotaAccount::from(&submit.job);
        loop {
            let replica = self.stores[store_index].replica.as_mut().unwrap();
            let proposal = replica.submit(submit, raw, self.now.into());
            let Proposal::NeedsAllowance(Shortage { held, tokens, .. }) = proposal else {
                return proposal;
            };
            let acquire = |quota: &mut QuotaCounter, recalled| {
                quota.acquire(MAX_QUEUED_TOKENS, held, tokens, recalled)
            };
            let mut verdict = acquire(&mut self.quota, None);
            if verdict == Verdict::NeedsRecall {
                // There is no other shard to recall from.
                verdict = acquire(&mut self.quota, Some(1));
            }
            let replica = self.stores[store_index].replica.as_mut().unwrap();
            match verdict {
                Verdict::Granted(tokens) => {
                    assert!(replica.raise_allowance(&account, held, tokens))
                }
                Verdict::Outdated { generation } if generation >= held.generation => {
                    replica.void_allowances_through(&account, generation)
                }
                _ => return Proposal::Immediate(StoreResponse::QuotaExceeded),
            }
        }
    }

    pub fn record(&mut self, store_index: usize, job: String, item: u32) {
        let Some(replica) = &mut self.stores[store_index].replica else {
            return;
        };
        let text = format!("text {} of {job} {item}", self.random.below(1000));
        let name = name(&job);
        let proposal = replica.record(
            &name,
            item,
            ItemState::Completed,
            &text.into(),
            self.now.into(),
        );
        self.propose(store_index, proposal, Expected::Recorded { job });
    }

    pub fn end(&mut self, store_index: usize, job: String) {
        let Some(replica) = &mut self.stores[store_index].replica else {
            return;
        };
        let proposal = replica.end(&name(&job), self.now.into());
        self.propose(store_index, proposal, Expected::Ended { job });
    }

    /// Reads all results of a job at a store, if that serves.
    pub fn read(&mut self, store_index: usize, job: &str) {
        let store = &mut self.stores[store_index];
        let Some(replica) = &mut store.replica else {
            return;
        };
        if !replica.is_serving() {
            return;
        }
        let is_confirmed = replica.confirm(self.now.into());
        let plan = replica.page(&name(job), 0, u64::MAX);
        let results = plan.map(|plan| {
            let entries = plan.entries.iter().zip(&plan.page.results);
            let texts = entries.map(|(index, result)| {
                let bytes = store
                    .disk
                    .entries
                    .get(index)
                    .expect("the text of a result is on disk");
                let (_, raw) = framing::decode::<Entry>(bytes).unwrap();
                (
                    result.item.clone(),
                    String::from_utf8(raw.to_vec()).unwrap(),
                )
            });
            (plan.page.total, texts.collect::<Vec<_>>())
        });
        self.oracle.read(job, results, is_confirmed, self.now);
        self.run_effects(store_index);
    }

    /// Leases all unleased items of a store, and gives them back.
    pub fn lease(&mut self, store_index: usize) {
        let Some(replica) = &mut self.stores[store_index].replica else {
            return;
        };
        let is_confirmed = replica.confirm(self.now.into());
        let leased = if is_confirmed {
            replica.lease(9, 1000, u64::MAX, self.now.into())
        } else {
            Vec::new()
        };
        replica.release(9);
        for plan in leased {
            self.oracle
                .leased(&plan.head.job.id, &plan.head.item, self.now);
            let bytes = self.stores[store_index]
                .disk
                .entries
                .get(&plan.payload.entry)
                .expect("a leased payload is on disk");
            let (_, raw) = framing::decode::<Entry>(bytes).unwrap();
            let payload = raw.slice(plan.payload.range);
            let expected = format!("payload {} {};", plan.head.job.id, plan.head.index);
            assert_eq!(payload, expected.as_bytes());
        }
        self.run_effects(store_index);
    }
}

pub fn name(job: &str) -> JobName {
    JobName {
        host: HOST.to_string(),
        id: job.to_string(),
    }
}
