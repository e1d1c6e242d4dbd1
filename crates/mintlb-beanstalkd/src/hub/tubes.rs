//! The commands on tubes: use, watch, ignore, pause, and the lists of tubes.

use super::Hub;
use super::reply::{NOT_FOUND, Reply, line, yaml_list};
use crate::codec::Tube;
use crate::session::Session;
use std::collections::BTreeSet;

impl Hub {
    /// `use`: the tube for the session's puts, peeks and kicks.
    pub(super) fn use_tube(&mut self, id: u64, tube: Tube) -> Reply {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Reply::default();
        };
        session.used = tube;
        using(session)
    }

    /// `watch`: one more tube for the session's reserves.
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

    /// `ignore`: one tube less for the session's reserves, but never none.
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

    /// `pause-tube`: what is put into it in the next seconds is delayed until these are over.
    pub(super) fn pause_tube(&mut self, now: f64, tube: Tube, delay: f64) -> Reply {
        // Only tubes of the operator's file: memory must not grow with the names that clients make up.
        if self.plan.route(&tube).is_none() && !self.plan.tells_ends(&tube) {
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

    /// `list-tubes`: the tubes of the operator's file, and those that are in use.
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

    /// A tube exists while it is in the operator's file, holds jobs, or is used or watched.
    pub(super) fn is_tube(&self, tube: &str) -> bool {
        tube == &*self.default_tube
            || self.jobs.tube(tube).is_some()
            || self.plan.route(tube).is_some()
            || self.plan.tells_ends(tube)
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
