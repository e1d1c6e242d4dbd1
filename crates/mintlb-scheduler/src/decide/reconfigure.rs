//! Changes of the settings and project types while the scheduler runs. Also small accessors of the queues (`has_work`,
//! `queue_of`, `mean_run_time`) and of the fleet (`worker`, `worker_counts`).

use super::{Fleet, Queues, RetryPolicy, Scheduler};
use crate::{Costs, OutlierStatus, ProjectTypeUpdate, Queue, WorkUnit, Worker};
use std::rc::Rc;

impl Queues {
    pub(super) fn has_work(&self) -> bool {
        self.queues.iter().any(|q| q.len() > 0)
    }

    pub(super) fn queue_of(&mut self, wu: &WorkUnit) -> &mut Queue {
        &mut self.queues[2 * wu.project_type() + wu.over_share.get() as usize]
    }

    /// Mean run time over the project types in service, in seconds.
    pub(super) fn mean_run_time(&self) -> f64 {
        let served = || {
            self.run_times
                .iter()
                .zip(&self.served)
                .filter(|(_, served)| **served)
        };
        served().map(|(run_time, _)| run_time).sum::<f64>() / served().count().max(1) as f64
    }

    /// Sets a project type. If another had its number before, no work of that one is left.
    fn set_project_type(
        &mut self,
        ProjectTypeUpdate {
            number,
            predecessor,
            project_type,
        }: &ProjectTypeUpdate,
    ) {
        let run_time = predecessor.map_or_else(
            || Queues::initial_run_time(project_type),
            |old| self.run_times[old],
        );
        if *number == self.types.len() {
            self.types.push(project_type.clone());
            self.served.push(true);
            self.run_times.push(run_time);
            self.queues.extend([Queue::default(), Queue::default()]);
        }
        (self.run_times[*number], self.served[*number]) = (run_time, true);
        self.types[*number] = project_type.clone();
    }
}

impl Fleet {
    fn set_project_type(
        &mut self,
        ProjectTypeUpdate {
            number,
            predecessor,
            ..
        }: &ProjectTypeUpdate,
    ) {
        let last_lost = predecessor.map_or(f64::MIN, |old| self.last_lost[old]);
        self.last_lost
            .resize(self.last_lost.len().max(number + 1), last_lost);
        self.last_lost[*number] = last_lost;
        self.workers
            .all()
            .for_each(|w| w.set_project_type(*number, *predecessor));
    }
}

impl Scheduler {
    /// Gives a work unit another project type of the same kind of worker and the same idempotency, so that the number of its
    /// former one can be used again. It waits and is retried by the terms of the other one from now on.
    pub fn replace_number(&mut self, wu: &Rc<WorkUnit>, number: usize) {
        let is_queued = wu.queued.get();
        self.queues.queue_of(wu).remove(wu);
        wu.project_type.set(number);
        if is_queued {
            self.queues.queue_of(wu).insert_by_arrival(wu);
        }
    }

    /// The listed worker with this id.
    pub fn worker(&self, id: u64) -> Option<&Rc<Worker>> {
        self.fleet.workers.get(id)
    }

    /// The number of listed workers, and of those that are suspects for some project type.
    pub fn worker_counts(&self) -> (usize, usize) {
        let is_suspect = |(j, s): (usize, &OutlierStatus)| s.suspect && self.queues.served[j];
        let is_avoided = |w: &&Rc<Worker>| (0..).zip(&*w.health.borrow()).any(is_suspect);
        (
            self.fleet.workers.all().count(),
            self.fleet.workers.all().filter(is_avoided).count(),
        )
    }

    /// Changes the settings. New work units are of these project types from now on; those that arrived before keep
    /// theirs. `excess_credit_and_retry_after` holds the factor of the credit of work beyond its customer's share, and
    /// the longest `Retry-After` in seconds.
    pub fn reconfigure(
        &mut self,
        types: &[ProjectTypeUpdate],
        retry: RetryPolicy,
        excess_credit_and_retry_after: (f64, f64),
        costs: Costs,
    ) {
        self.queues.served.fill(false);
        for update in types {
            self.fleet.set_project_type(update);
            self.queues.set_project_type(update);
        }
        self.fleet
            .set_intervals(&self.queues.types, &self.queues.served);
        (self.queues.excess_credit, self.queues.max_retry_after) = excess_credit_and_retry_after;
        self.fleet.set_costs(costs);
        self.retry = retry;
    }
}
