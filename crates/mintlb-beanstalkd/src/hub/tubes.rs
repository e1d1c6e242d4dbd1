//! Tube commands: use, watch, ignore, pause-tube, and the lists of tubes.

use super::Hub;
use super::reply::{NOT_FOUND, Reply, line, yaml_list};
use crate::codec::Tube;
use crate::session::Session;
use std::collections::BTreeSet;

impl Hub {
    /// `use`: selects the tube for the session's puts, peeks and kicks.
    pub(super) fn use_tube(&mut self, id: u64, tube: Tube) -> Reply {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Reply::default();
        };
        session.used = tube;
        using(session)
    }

    /// `watch`: adds a tube to those the session reserves from.
    pub(super) fn watch(&mut self, id: u64, tube: Tube) -> Reply {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Reply::default();
        };
        if !session.watched.contains(&tube) {
            if session.watched.len() >= self.plan.table.watched {
                return Reply::Borrowed(b"OUT_OF_MEMORY\r\n");
            }
            session.watched.push(tube);
        }
        watching(session)
    }

    /// `ignore`: removes a tube from those the session reserves from, unless it is the last one.
    pub(super) fn ignore(&mut self, id: u64, tube: &Tube) -> Reply {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Reply::default();
        };
        if session.watched.len() == 1 && session.watched.contains(tube) {
            return Reply::Borrowed(b"NOT_IGNORED\r\n");
        }
        session.watched.retain(|watched| watched != tube);
        watching(session)
    }

    /// `pause-tube`: jobs put during the pause are delayed until its end.
    pub(super) fn pause_tube(&mut self, now: f64, tube: Tube, delay: f64) -> Reply {
        // Only configured tubes, so that memory does not grow with names chosen by clients.
        if self.plan.route(&tube).is_none() && !self.plan.is_notice_tube(&tube) {
            return Reply::Borrowed(NOT_FOUND);
        }
        let seconds = delay.min(self.plan.table.longest_delay);
        self.jobs.update_tube(&tube, |tube| tube.paused += 1);
        self.pauses.insert(tube, (now + seconds, seconds));
        Reply::Borrowed(b"PAUSED\r\n")
    }

    /// `list-tube-used`.
    pub(super) fn list_tube_used(&self, id: u64) -> Reply {
        self.sessions.get(&id).map(using).unwrap_or_default()
    }

    /// `list-tubes-watched`.
    pub(super) fn list_tubes_watched(&self, id: u64) -> Reply {
        self.sessions
            .get(&id)
            .map(|session| yaml_list(session.watched.iter()))
            .unwrap_or_default()
    }

    /// `list-tubes`: all configured tubes, and all others that exist.
    pub(super) fn list_tubes(&self) -> Reply {
        let mut tubes: BTreeSet<Tube> = self
            .plan
            .routes
            .iter()
            .map(|route| route.tube.clone())
            .collect();
        tubes.extend(
            self.plan
                .routes
                .iter()
                .filter_map(|route| route.ends.clone()),
        );
        tubes.extend(self.jobs.tubes().cloned());
        tubes.insert(self.default_tube.clone());
        for session in self.sessions.values() {
            tubes.insert(session.used.clone());
            tubes.extend(session.watched.iter().cloned());
        }
        yaml_list(tubes.iter())
    }

    /// Whether a tube exists: it is configured, has been given jobs, or is used or watched.
    pub(super) fn is_tube(&self, tube: &str) -> bool {
        tube == &*self.default_tube
            || self.jobs.tube(tube).is_some()
            || self.plan.route(tube).is_some()
            || self.plan.is_notice_tube(tube)
            || self
                .sessions
                .values()
                .any(|session| &*session.used == tube || session.watches(tube))
    }
}

fn using(session: &Session) -> Reply {
    line(format!("USING {}", session.used))
}

fn watching(session: &Session) -> Reply {
    line(format!("WATCHING {}", session.watched.len()))
}
