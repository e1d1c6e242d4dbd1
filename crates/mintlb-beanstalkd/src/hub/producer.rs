//! The put command, and submission of ready jobs to the core.

use super::reply::{Reply, line};
use super::timers::Timer;
use super::{Effect, Hub};
use crate::codec::{Put, Tube};
use crate::job::{Job, State};
use bytes::Bytes;
use mintlb_core::capacity::CapacityPermit;

/// Minimum time-to-run; the protocol raises 0 to this.
const MIN_TTR_S: u32 = 1;

impl Hub {
    /// `put`: accepts or refuses a job.
    pub(super) fn put(
        &mut self,
        now: f64,
        id: u64,
        put: Put,
        body: Bytes,
        body_permit: Option<CapacityPermit>,
    ) -> Reply {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Reply::default();
        };
        session.is_producer = true;
        let tube = session.used.clone();
        match self.admit(&tube, &put, body_permit) {
            Ok(capacity) => {
                let job = self.take_job(now, tube, put, body, capacity);
                line(format!("INSERTED {job}"))
            }
            Err(refusal) => {
                self.totals.refused += 1;
                Reply::Borrowed(refusal)
            }
        }
    }

    /// Reserves the capacity for a job, or returns the reply that refuses the put.
    fn admit(
        &self,
        tube: &Tube,
        put: &Put,
        body_permit: Option<CapacityPermit>,
    ) -> Result<(CapacityPermit, CapacityPermit), &'static [u8]> {
        if self.stopping || self.leaving {
            return Err(b"DRAINING\r\n");
        }
        if self.plan.route(tube).is_none() || f64::from(put.delay) > self.plan.table.longest_delay {
            return Err(b"BAD_FORMAT\r\n");
        }
        body_permit
            .and_then(|body| Some((body, self.capacity.reserve_work_unit()?)))
            .ok_or(b"OUT_OF_MEMORY\r\n")
    }

    /// Adds an accepted job. It becomes ready now, or when both its delay and its tube's pause have ended.
    fn take_job(
        &mut self,
        now: f64,
        tube: Tube,
        put: Put,
        body: Bytes,
        capacity: (CapacityPermit, CapacityPermit),
    ) -> u64 {
        let id = self.job_ids.next();
        let pause = self.pauses.get(&tube).map_or(0.0, |(until, _)| until - now);
        let delay = f64::from(put.delay).max(pause);
        let put = Put {
            ttr: put.ttr.max(MIN_TTR_S),
            ..put
        };
        let mut job = Job {
            capacity: Some(capacity),
            ..Job::new(tube, put, now, body)
        };
        self.totals.accepted += 1;
        if delay > 0.0 {
            job.state = State::Delayed { until: now + delay };
            self.jobs.add(id, job);
            self.set_timer(now + delay, Timer::DelayOver { job: id });
        } else {
            self.jobs.add(id, job);
            self.submit(now, id);
        }
        id
    }

    /// Submits a ready job to the core as a request. Its hard limit counts from now.
    pub(super) fn submit(&mut self, now: f64, id: u64) {
        self.jobs.set_state(id, State::Ready);
        let Some(job) = self.jobs.get(id) else { return };
        let Some(route) = self.plan.route(&job.tube) else {
            return;
        };
        self.effects.push(Effect::Submit {
            id,
            project_type: route.project_type,
            customer: route.customer,
            arrived: now,
            time_budget: route.hard_limit,
            body: job.body.clone(),
        });
    }
}
