//! Admission of requests to workers, in addition to the scheduler's decisions: checks attempts, connections, memory, load,
//! and where the prompt is likely to be cached.

use crate::exchange::{Exchange, ExchangeMode};
use crate::prefix_affinity::{PREFERRED_WORKERS, Prompt, preferred_workers};
use crate::routing::WorkerLimits;
use crate::shared::SharedState;
use crate::statistics::RefusalReason;
use crate::workers::WorkerEntry;
use mintlb_core::dispatch_policy::{DispatchPolicy, Permission};
use mintlb_core::work::Payload;
use mintlb_scheduler::{WorkUnit, Worker};
use std::sync::Arc;

/// Share of a worker's KV cache that the requests of one dispatcher may fill.
const KV_CACHE_SHARE: f64 = 0.8;
/// Share of its latency target that a request waits for a worker that is likely to have its prompt cached.
const PREFERRED_WORKER_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Share of a worker's connections that dispatchers use; the rest is left for health checks and imbalance.
const CONNECTION_SHARE: f64 = 0.8;
/// Number of connections to a worker that each dispatcher may have at least.
const MIN_CONNECTIONS: usize = 2;

/// The admission checks of a dispatcher.
pub struct Permits {
    shared: Arc<SharedState>,
}

impl Permits {
    /// Creates the checks on the state of a dispatcher.
    pub fn new(shared: Arc<SharedState>) -> Permits {
        Permits { shared }
    }

    /// Number of connections that this dispatcher may have to one worker.
    fn max_connections(&self, limits: WorkerLimits) -> usize {
        let share = f64::from(limits.max_connections) * CONNECTION_SHARE
            / self.shared.dispatcher_count() as f64;
        if limits.max_connections == 0 {
            usize::MAX
        } else {
            (share as usize).max(MIN_CONNECTIONS)
        }
    }

    fn refuse(&self, reason: RefusalReason) -> Permission {
        self.shared.counters.on_refusal(reason);
        Permission::Refused
    }

    /// Whether the worker is in service and has memory and a connection for one more request.
    fn has_capacity(
        &self,
        worker: &WorkerEntry,
        prompt: Option<Prompt>,
        limits: WorkerLimits,
    ) -> bool {
        let tokens = prompt.map_or(0, |prompt| prompt.tokens);
        let memory = limits
            .kv_cache_tokens
            .map_or(u64::MAX, |all| (all as f64 * KV_CACHE_SHARE) as u64);
        let fits_in_memory = worker.tokens() == 0 || worker.tokens() + tokens <= memory;
        worker.in_service() && fits_in_memory && worker.requests() < self.max_connections(limits)
    }

    /// The workers that are likely to have the prompt cached, the most likely first.
    fn preferred_workers(
        &self,
        exchange: &Exchange,
        prompt: Prompt,
    ) -> [Option<u64>; PREFERRED_WORKERS] {
        let workers = &self.shared.workers;
        let rank = || {
            workers.with_service(&exchange.service, |ids| {
                preferred_workers(prompt.prefix_hash, ids)
            })
        };
        exchange.preferred(workers.generation(), rank)
    }

    /// Whether another worker is likely to have the prompt cached, and has capacity for the request.
    fn has_preferred_alternative(
        &self,
        exchange: &Exchange,
        prompt: Prompt,
        worker: &WorkerEntry,
        limits: WorkerLimits,
    ) -> bool {
        let workers = &self.shared.workers;
        let best = self.preferred_workers(exchange, prompt);
        let others = || best.iter().flatten().filter_map(|id| workers.get(*id));
        !best.contains(&Some(worker.id))
            && others().any(|other| self.has_capacity(&other, Some(prompt), limits))
    }
}

impl DispatchPolicy for Permits {
    fn permits(&self, now: f64, wu: &WorkUnit, payload: &Payload, worker: &Worker) -> Permission {
        let Some(exchange) = payload.protocol_data.downcast_ref::<Exchange>() else {
            return Permission::Granted;
        };
        let Some(entry) = self.shared.workers.get(worker.entry.id) else {
            return Permission::Refused;
        };
        let limits = self
            .shared
            .routing()
            .map(|table| table.service(&entry.service))
            .unwrap_or_default();
        if !exchange.may_be_sent() {
            return self.refuse(RefusalReason::Attempts);
        }
        if !self.has_capacity(&entry, exchange.prompt, limits) {
            return self.refuse(RefusalReason::Capacity);
        }
        let load = entry.load();
        let has_free_slot = match exchange.mode {
            ExchangeMode::Live => load.has_free_slot(now),
            ExchangeMode::Item => load.has_free_slot_for_item(now, entry.requests() as f64),
        };
        if !has_free_slot {
            return self.refuse(RefusalReason::Load);
        }
        if exchange.has_attempted(entry.id) && self.shared.workers.has_alternative(&entry) {
            return self.refuse(RefusalReason::SecondAttempt);
        }
        let wait_until =
            wu.arrived_at + exchange.route.target_latency * PREFERRED_WORKER_WAIT_SHARE;
        match exchange.long_prompt().filter(|_| now < wait_until) {
            Some(prompt) if self.has_preferred_alternative(exchange, prompt, &entry, limits) => {
                self.refuse(RefusalReason::PreferredElsewhere);
                Permission::NotBefore(wait_until)
            }
            _ => Permission::Granted,
        }
    }

    fn preferred_worker(&self, payload: &Payload) -> Option<u64> {
        let exchange = payload.protocol_data.downcast_ref::<Exchange>()?;
        let prompt = exchange.long_prompt()?;
        self.preferred_workers(exchange, prompt)[0]
    }
}
