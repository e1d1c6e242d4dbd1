//! Batch jobs at a dispatcher: clients' calls, and the execution of leased items.
//!
//! Without I/O: [`submission`], [`page`], [`progress`], [`queue`], [`concurrency_limit`]. Connected to the stores and the
//! reducer: [`calls`], [`runner`]. Counts for the log: [`statistics`].

pub mod calls;
pub mod concurrency_limit;
pub mod page;
pub mod progress;
pub mod queue;
pub mod runner;
pub mod statistics;
pub mod submission;

use crate::batch_executor::{BatchExecutor, BatchHandler};
use arc_swap::ArcSwap;
use mintlb_batch::client::BatchClient;
use mintlb_batch::messages::DispatcherId;
use mintlb_common::placement::Placement;
use mintlb_common::record::{ENDED_JOB_PREFIX, PLACEMENT, Record};
use mintlb_common::transport::Transport;
use mintlb_gossip::GossipService;
use std::sync::Arc;

/// Starts the handler of batch calls and the runner of leased items. `dispatcher_id` identifies the owner of leases and
/// differs for each start of a dispatcher.
pub fn start(
    transport: Arc<Transport>,
    gossip: Arc<GossipService>,
    batch_executor: BatchExecutor,
    dispatcher_id: DispatcherId,
) -> Arc<dyn BatchHandler> {
    let placement = Arc::new(ArcSwap::from_pointee(Placement::default()));
    let current = placement.clone();
    let client = Arc::new(BatchClient::new(
        transport,
        Arc::new(move || current.load_full()),
    ));
    let runner = runner::ItemRunner::start(client.clone(), batch_executor, dispatcher_id);
    let job_end_runner = runner.clone();
    gossip.subscribe(Arc::new(move |record: &Record| {
        if record.key == PLACEMENT {
            match minicbor::decode(&record.body) {
                Ok(newer) => placement.store(Arc::new(newer)),
                Err(error) => {
                    log::warn!("batch: can't decode placement {}: {error}", record.version)
                }
            }
        } else if let Some(job_id) = record.key.strip_prefix(ENDED_JOB_PREFIX) {
            job_end_runner.job_ended(&String::from_utf8_lossy(&record.body), job_id);
        }
    }));
    Arc::new(calls::BatchCallHandler::new(
        client,
        runner,
        gossip,
        dispatcher_id,
    ))
}
