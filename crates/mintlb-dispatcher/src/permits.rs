//! Admission of a request to a worker, beside the scheduler's decisions: attempts, connections, memory, load, and where
//! its prompt is likely to be cached.

use crate::exchange::{Exchange, ExchangeMode};
use crate::prompts::{PREFERRED, Prompt, preferred};
use crate::routing::ServiceTerms;
use crate::shared::Shared;
use crate::statistics::RefusalReason;
use crate::workers::WorkerEntry;
use mintlb_core::dispatch_policy::{DispatchPolicy, Permission};
use mintlb_core::work::Payload;
use mintlb_scheduler::{WorkUnit, Worker};
use std::sync::Arc;

/// The share of a worker's memory that one dispatcher may fill.
const MEMORY_SHARE: f64 = 0.8;
/// The share of its latency target for which a request waits for a worker that is likely to have its prompt cached.
const WAIT_SHARE: f64 = 1.0 / 3.0;
/// The share of a worker's connections for dispatchers; the rest is left for health checks and imbalance.
const CONNECTION_SHARE: f64 = 0.8;
/// The least number of connections to a worker that each dispatcher may have.
const LEAST_CONNECTIONS: usize = 2;

/// The admission checks of a dispatcher.
pub struct Permits {
    shared: Arc<Shared>,
}

impl Permits {
    /// For the workers and routes of this dispatcher.
    pub fn new(shared: Arc<Shared>) -> Permits {
        Permits { shared }
    }

    /// Connections that this dispatcher may have to one worker.
    fn connections(&self, service: ServiceTerms) -> usize {
        let share = f64::from(service.max_connections) * CONNECTION_SHARE
            / self.shared.dispatcher_count() as f64;
        if service.max_connections == 0 {
            usize::MAX
        } else {
            (share as usize).max(LEAST_CONNECTIONS)
        }
    }

    fn refused(&self, reason: RefusalReason) -> Permission {
        self.shared.counters.on_refusal(reason);
        Permission::Refused
    }

    /// Whether one more request fits there.
    fn has_capacity(
        &self,
        worker: &WorkerEntry,
        prompt: Option<Prompt>,
        service: ServiceTerms,
    ) -> bool {
        let tokens = prompt.map_or(0, |prompt| prompt.tokens);
        let memory = service
            .kv_cache_tokens
            .map_or(u64::MAX, |all| (all as f64 * MEMORY_SHARE) as u64);
        let in_memory = worker.tokens() == 0 || worker.tokens() + tokens <= memory;
        worker.in_service() && in_memory && worker.requests() < self.connections(service)
    }

    /// The workers that are likely to have its prompt cached, the best first.
    fn preferred_workers(&self, exchange: &Exchange, prompt: Prompt) -> [Option<u64>; PREFERRED] {
        let workers = &self.shared.workers;
        let rank = || workers.with_service(&exchange.service, |ids| preferred(prompt.subject, ids));
        exchange.preferred(workers.age(), rank)
    }

    /// Whether another worker is likely to have its prompt cached, and has capacity for it.
    fn has_preferred_alternative(
        &self,
        exchange: &Exchange,
        prompt: Prompt,
        worker: &WorkerEntry,
        service: ServiceTerms,
    ) -> bool {
        let workers = &self.shared.workers;
        let best = self.preferred_workers(exchange, prompt);
        let others = || best.iter().flatten().filter_map(|id| workers.get(*id));
        !best.contains(&Some(worker.id))
            && others().any(|other| self.has_capacity(&other, Some(prompt), service))
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
        let service = self
            .shared
            .routing()
            .map(|table| table.service(&entry.service))
            .unwrap_or_default();
        if !exchange.may_be_sent() {
            return self.refused(RefusalReason::Attempts);
        }
        if !self.has_capacity(&entry, exchange.prompt, service) {
            return self.refused(RefusalReason::Capacity);
        }
        let load = entry.load();
        let has_free_slot = match exchange.mode {
            ExchangeMode::Live => load.has_free_slot(now),
            ExchangeMode::Item => load.has_free_slot_for_item(now, entry.requests() as f64),
        };
        if !has_free_slot {
            return self.refused(RefusalReason::Load);
        }
        if exchange.has_attempted(entry.id) && self.shared.workers.has_alternative(&entry) {
            return self.refused(RefusalReason::SecondAttempt);
        }
        let wait_until = wu.arrived_at + exchange.terms.target * WAIT_SHARE;
        match exchange.long_prompt().filter(|_| now < wait_until) {
            Some(prompt) if self.has_preferred_alternative(exchange, prompt, &entry, service) => {
                self.refused(RefusalReason::PreferredElsewhere);
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
