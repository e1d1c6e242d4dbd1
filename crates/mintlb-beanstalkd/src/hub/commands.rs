//! Dispatch of client commands.

use super::Hub;
use super::reply::Reply;
use crate::codec::Command;
use crate::job::TubeJobs;
use mintlb_core::capacity::CapacityPermit;

impl Hub {
    /// Runs a session's command. `body_permit` is the capacity reserved for a put's body, if any was available.
    pub fn command(
        &mut self,
        now: f64,
        session: u64,
        command: Command,
        body_permit: Option<CapacityPermit>,
    ) {
        if !self.sessions.contains_key(&session) {
            return;
        }
        *self.totals.commands.entry(command.name()).or_default() += 1;
        if let Some(reply) = self.execute(now, session, command, body_permit) {
            self.queue_output(session, &reply);
        }
    }

    /// Runs a command. Returns `None` if the reply is sent later or the command has none.
    fn execute(
        &mut self,
        now: f64,
        session: u64,
        command: Command,
        body_permit: Option<CapacityPermit>,
    ) -> Option<Reply> {
        Some(match command {
            Command::Reserve => return self.reserve(now, session, None),
            Command::ReserveWithTimeout(seconds) => {
                return self.reserve(now, session, Some(f64::from(seconds)));
            }
            Command::ReserveJob(job) => return self.reserve_job(now, session, job),
            Command::Quit => {
                self.close_when_flushed(session);
                return None;
            }
            Command::Put(put, body) => self.put(now, session, put, body, body_permit),
            Command::Use(tube) => self.use_tube(session, tube),
            Command::Watch(tube) => self.watch(session, tube),
            Command::Ignore(tube) => self.ignore(session, &tube),
            Command::PauseTube(tube, delay) => self.pause_tube(now, tube, f64::from(delay)),
            Command::Delete(job) => self.delete(now, session, job).into(),
            Command::Release {
                id,
                priority,
                delay,
            } => self.release(now, session, id, priority, delay).into(),
            Command::Bury { id, priority } => self.bury(now, session, id, priority).into(),
            Command::Touch(job) => self.touch(now, session, job).into(),
            Command::Kick(bound) => self.kick(now, session, bound as usize),
            Command::KickJob(job) => self.kick_job(now, job).into(),
            Command::Peek(job) => self.peek(job),
            Command::PeekReady => self.peek_first(session, TubeJobs::first_ready),
            Command::PeekDelayed => self.peek_first(session, TubeJobs::first_delayed),
            Command::PeekBuried => self.peek_first(session, TubeJobs::first_buried),
            Command::Stats => self.stats(now),
            Command::StatsJob(job) => self.stats_job(now, job),
            Command::StatsTube(tube) => self.stats_tube(now, &tube),
            Command::ListTubes => self.list_tubes(),
            Command::ListTubeUsed => self.list_tube_used(session),
            Command::ListTubesWatched => self.list_tubes_watched(session),
        })
    }
}
