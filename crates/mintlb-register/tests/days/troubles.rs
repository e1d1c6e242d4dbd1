//! What befalls the machines, within the operators' promise: at most f of them count as lost at once.

use super::machine::{Machine, Purpose, address};
use super::{CATCH_UP, Day, Event, Planted};
use mintlb_register::acceptor::{Acceptor, AcceptorState};
use mintlb_register::change::Change;
use mintlb_register::replica_set::ReplicaId;

impl Day {
    /// Machines that count as lost now, or will before this trouble is over.
    fn lost(&self) -> usize {
        self.machines
            .iter()
            .filter(|machine| self.now < machine.lost_until)
            .count()
    }

    pub fn may_lose(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        let counted = self.now < machine.lost_until;
        machine.is_up && !machine.stopping && !counted && self.lost() < self.tolerated_failures
    }

    pub fn trouble(&mut self) {
        if self.calm {
            return;
        }
        let pause = if self.roll(3) == 0 {
            50
        } else {
            200 + self.roll(3000)
        };
        self.after(pause, Event::Trouble);
        let kind = self.roll(20);
        if kind == 0 {
            return self.lose_all_power();
        }
        let may: Vec<usize> = (0..self.machines.len())
            .filter(|at| self.may_lose(*at))
            .collect();
        if may.is_empty() {
            return;
        }
        let at = may[self.roll(may.len() as u64) as usize];
        match kind {
            1..=4 => self.restart(at),
            5..=9 => self.wipe(at),
            10..=11 => self.freeze(at),
            12..=14 => self.cut(at),
            15..=17 => self.replace(at),
            _ => self.replace_as_planned(at),
        }
    }

    /// Right after an operator's order was acknowledged.
    pub fn trouble_after_an_answer(&mut self) {
        if !self.calm && self.roll(10) == 0 {
            self.lose_all_power();
        }
    }

    fn goes_down(&mut self, at: usize, down: u64, most_kept: u64) {
        self.note(format!("machine {at} is down for {down} ms"));
        let kept = self.roll(most_kept + 1) as usize;
        let machine = &mut self.machines[at];
        machine.die(kept);
        machine.troubled_at = self.now;
        machine.lost_until = self.now + down + CATCH_UP;
        self.after(down, Event::Start { machine: at });
    }

    fn restart(&mut self, at: usize) {
        let down = 200 + self.roll(8000);
        self.goes_down(at, down, 2);
    }

    /// Its disk is lost.
    pub fn wipe(&mut self, at: usize) {
        self.disks += 1;
        let down = 100 + self.roll(2000);
        self.goes_down(at, down, 2);
        let id = self.fresh();
        let machine = &mut self.machines[at];
        let id = match self.planted {
            Planted::KeepsIdentityOnEmptyDisk => machine.acceptor.id(),
            _ => ReplicaId(id),
        };
        machine.durable = AcceptorState::default();
        machine.hint = None;
        let old = machine.acceptor.id();
        machine.acceptor = Acceptor::new(id, AcceptorState::default());
        self.note(format!("machine {at} loses its disk, {old} is {id}"));
        self.check_majority();
    }

    fn lose_all_power(&mut self) {
        if self.lost() > 0
            || self
                .machines
                .iter()
                .any(|machine| machine.stopping && machine.is_up)
        {
            return;
        }
        // At some losses of power nothing remains that was not synced.
        let most_kept = if self.roll(2) == 0 { 0 } else { 2 };
        for at in 0..self.machines.len() {
            if self.machines[at].is_up {
                let down = 100 + self.roll(900);
                self.goes_down(at, down, most_kept);
            }
        }
    }

    pub fn start(&mut self, at: usize) {
        if !self.machines[at].is_gone {
            self.machines[at].is_up = true;
            self.look_after(at, 100);
        }
    }

    fn freeze(&mut self, at: usize) {
        let time = 300 + self.roll(6000);
        self.note(format!("machine {at} freezes for {time} ms"));
        let machine = &mut self.machines[at];
        machine.frozen_until = self.now + time;
        machine.troubled_at = self.now;
        machine.lost_until = self.now + time + CATCH_UP;
    }

    fn cut(&mut self, at: usize) {
        let time = 500 + self.roll(12_000);
        let way = self.roll(3);
        self.note(format!("machine {at} is cut off for {time} ms, way {way}"));
        let machine = &mut self.machines[at];
        (machine.cut_in, machine.cut_out) = (way != 1, way != 2);
        machine.troubled_at = self.now;
        machine.lost_until = self.now + time + CATCH_UP;
        self.after(time, Event::Thaw { machine: at });
    }

    pub fn thaw(&mut self, at: usize) {
        (self.machines[at].cut_in, self.machines[at].cut_out) = (false, false);
    }

    /// Another machine, at an address that was never used or, now and then, at one of a machine that is gone.
    fn add(&mut self) -> usize {
        let in_use = |address: &str| {
            self.machines
                .iter()
                .any(|m| !m.is_gone && m.address == address)
        };
        let is_free = |m: &Machine| m.is_gone && self.now > m.lost_until && !in_use(&m.address);
        let gone = self.machines.iter().position(is_free);
        let reused = gone
            .filter(|_| self.roll(2) == 0)
            .map(|at| self.machines[at].address.clone());
        let address = reused.unwrap_or_else(|| address(self.machines.len()));
        let id = self.fresh();
        self.machines.push(Machine::empty(address, ReplicaId(id)));
        self.machines.len() - 1
    }

    /// It is gone with its disk, and another comes in its place.
    fn replace(&mut self, at: usize) {
        self.disks += 1;
        let old = self.machines[at].acceptor.id();
        self.machines[at].remove();
        let after = self.roll(3000);
        let new = self.add();
        self.note(format!(
            "machine {at} with {old} is gone, machine {new} comes"
        ));
        self.check_majority();
        self.machines[at].troubled_at = self.now;
        // One loss: it counts until its successor has had its time.
        self.machines[at].lost_until = self.now + after + CATCH_UP;
        self.after(after, Event::Start { machine: new });
    }

    /// Another comes; once it has had its time this one is told to stop.
    fn replace_as_planned(&mut self, at: usize) {
        let new = self.add();
        self.machines[new].lost_until = self.now + CATCH_UP;
        self.note(format!("machine {new} comes for {at}"));
        self.after(0, Event::Join { machine: new });
        let after = CATCH_UP + self.roll(2000);
        self.after(after, Event::Stop { machine: at });
    }

    pub fn begin_machine(&mut self, at: usize) {
        self.start(at);
    }

    pub fn stop(&mut self, at: usize) {
        let members = self.machines.iter().filter(|machine| machine.is_up).count();
        // The operators do not stop one that is in trouble, nor more than is left.
        if !self.machines[at].is_up
            || self.now < self.machines[at].lost_until
            || members <= 2 * self.tolerated_failures + 1
        {
            return;
        }
        self.disks += 1;
        self.machines[at].stopping = true;
        self.machines[at].troubled_at = self.now;
        if self.planted == Planted::EndsWithoutLeaving {
            self.machines[at].remove();
            self.note(format!("machine {at} ends at once"));
            return self.check_majority();
        }
        self.note(format!("machine {at} is told to stop"));
        let id = self.machines[at].acceptor.id();
        let min_replicas = 2 * self.tolerated_failures + 1;
        self.begin_change(
            at,
            Change::RemoveReplica { id, min_replicas },
            Purpose::Leaving,
        );
        self.after(3000, Event::End { machine: at });
    }
}
