//! What is kept by a project type's number, as types come, change and go; and what is told of the fleet. Nothing is
//! decided here.

use super::{Fleet, Queues, RetryPolicy, Scheduler};
use crate::{Costs, OutlierStatus, ProjectTypeUpdate, Queue, WorkUnit, Worker};
use std::rc::Rc;

impl Queues {
    pub(super) fn any(&self) -> bool {
        self.queues.iter().any(|q| q.len() > 0)
    }

    pub(super) fn of(&mut self, wu: &WorkUnit) -> &mut Queue {
        &mut self.queues[2 * wu.project_type + wu.excess.get() as usize]
    }

    /// Over the project types that are served.
    pub(super) fn mean_run(&self) -> f64 {
        let served = || {
            self.running
                .iter()
                .zip(&self.served)
                .filter(|(_, served)| **served)
        };
        served().map(|(running, _)| running).sum::<f64>() / served().count().max(1) as f64
    }

    /// No work is of the one that had this number before, if one had.
    fn take(
        &mut self,
        ProjectTypeUpdate {
            number,
            predecessor,
            project_type,
        }: &ProjectTypeUpdate,
    ) {
        let running =
            predecessor.map_or_else(|| Queues::unheard(project_type), |old| self.running[old]);
        if *number == self.types.len() {
            self.types.push(project_type.clone());
            self.served.push(true);
            self.running.push(running);
            self.queues.extend([Queue::default(), Queue::default()]);
        }
        (self.running[*number], self.served[*number]) = (running, true);
        self.types[*number] = project_type.clone();
    }
}

impl Fleet {
    fn take(
        &mut self,
        ProjectTypeUpdate {
            number,
            predecessor,
            ..
        }: &ProjectTypeUpdate,
    ) {
        let doubt = predecessor.map_or(f64::MIN, |old| self.doubts[old]);
        self.doubts.resize(self.doubts.len().max(number + 1), doubt);
        self.doubts[*number] = doubt;
        self.workers
            .all()
            .for_each(|w| w.take_type(*number, *predecessor));
    }
}

impl Scheduler {
    pub fn worker(&self, id: u64) -> Option<&Rc<Worker>> {
        self.fleet.workers.get(id)
    }

    /// How many workers are listed, and how many of them are suspects for some project type.
    pub fn worker_counts(&self) -> (usize, usize) {
        let serves = |(j, s): (usize, &OutlierStatus)| s.suspect && self.buffers.served[j];
        let avoided = |w: &&Rc<Worker>| (0..).zip(&*w.standing.borrow()).any(serves);
        (
            self.fleet.workers.all().count(),
            self.fleet.workers.all().filter(avoided).count(),
        )
    }

    /// New work is of these project types from now on, and of no others; what came before keeps its own.
    pub fn reconfigure(
        &mut self,
        types: &[ProjectTypeUpdate],
        repeats: RetryPolicy,
        credit: (f64, f64),
        costs: Costs,
    ) {
        self.buffers.served.fill(false);
        for one in types {
            self.fleet.take(one);
            self.buffers.take(one);
        }
        self.fleet
            .measure(&self.buffers.types, &self.buffers.served);
        (self.buffers.excess_credit, self.buffers.most_come_back) = credit;
        self.fleet.cost(costs);
        self.repeats = repeats;
    }
}
