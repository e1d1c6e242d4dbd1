//! Dispatch of client commands.

use super::Hub;
use super::reply::Reply;
use crate::codec::Command;
use crate::job::TubeJobs;
use mintlb_core::capacity::CapacityPermit;

impl Hub {
    /// Runs a session's command. A put comes with the capacity that was reserved for its body, if there was
    /// any.
    pub fn command(
        &mut self,
        now: f64,
        session: u64,
        command: Command,
        body_room: Option<CapacityPermit>,
    ) {
        if !self.sessions.contains_key(&session) {
            return;
        }
        *self.totals.commands.entry(command.name()).or_default() += 1;
        if let Some(reply) = self.execute(now, session, command, body_room) {
            self.say(session, &reply);
        }
    }

    /// Runs a command; the reply, unless it comes later or not at all.
    fn execute(
        &mut self,
        now: f64,
        session: u64,
        command: Command,
        body_room: Option<CapacityPermit>,
    ) -> Option<Reply> {
        Some(match command {
            Command::Reserve => return self.reserve(now, session, None),
            Command::ReserveWithTimeout(seconds) => {
                return self.reserve(now, session, Some(f64::from(seconds)));
            }
            Command::ReserveJob(job) => return self.reserve_job(now, session, job),
            Command::Quit => {
                self.end(session);
                return None;
            }
            Command::Put(put, body) => self.put(now, session, put, body, body_room),
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
