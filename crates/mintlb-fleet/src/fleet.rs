//! The purses behind the core's door, with the clock that they are read by and the address that is bound for them.

use crate::purse::Purse;
use crate::table::{Limits, Plan};
use mintlb_core::spend::{Purse as Door, Slip, Spend};
use mintlb_core::subsystem::Subsystem;
use nix::time::ClockId;
use parking_lot::Mutex;
use slog::{Logger, info};
use std::fmt::Write;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Seconds of a clock that no one sets and that goes on while the machine sleeps: what lapsed meanwhile must be known
/// to have lapsed.
fn now() -> f64 {
    let time = ClockId::CLOCK_BOOTTIME.now();
    time.map_or(f64::INFINITY, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

struct Budget {
    name: String,
    limits: Limits,
    rate: f64,
    purse: Mutex<Purse>,
}

struct Shared {
    budgets: Vec<Budget>,
    /// Held for as long as the process lives: no other may hold the parts of this name meanwhile.
    _bound: UdpSocket,
}

/// This scheduler's place in the fleet.
#[derive(Clone)]
pub struct Fleet(Arc<Shared>);

impl Fleet {
    /// Binds its address, and holds its parts from then on.
    pub async fn start(plan: Plan, log: Logger) -> Result<Fleet, String> {
        let (name, at) = (&plan.name, plan.at);
        let bound = UdpSocket::bind(at).await.map_err(|e| format!("fleet.members.{name}: {at}: {e}"))?;
        let budgets = plan.parts().map(|(whole, part)| {
            let mut purse = Purse::new(plan.table.drift);
            purse.take(now(), part);
            let name = whole.name.clone();
            Budget { name, limits: whole.limits, rate: whole.rate, purse: Mutex::new(purse) }
        });
        let budgets = budgets.collect();
        info!(log, "fleet: equal parts are held"; "members" => plan.table.members.len(), "at" => %at);
        Ok(Fleet(Arc::new(Shared { budgets, _bound: bound })))
    }

    /// The budgets that it would spend of.
    fn of(&self, spend: Spend) -> impl Iterator<Item = (usize, &Budget)> {
        let limited = move |budget: &Budget| match budget.limits {
            Limits::Again => spend.again,
        };
        self.0.budgets.iter().enumerate().filter(move |(_, budget)| limited(budget))
    }
}

impl Door for Fleet {
    fn has(&self, spend: Spend) -> bool {
        self.of(spend).all(|(_, budget)| budget.purse.lock().has(now()))
    }

    fn slip(&self, spend: Spend) -> Option<Arc<dyn Slip>> {
        let mut aside = Aside { fleet: self.clone(), of: Mutex::default() };
        let held = aside.of.get_mut();
        for (at, budget) in self.of(spend) {
            if !budget.purse.lock().set_aside(now()) {
                return None;
            }
            held.push((at, false));
        }
        Some(Arc::new(aside))
    }
}

/// What one allocation has set aside, by budget, and whether it was paid.
struct Aside {
    fleet: Fleet,
    of: Mutex<Vec<(usize, bool)>>,
}

impl Slip for Aside {
    fn pay(&self) -> bool {
        let now = now();
        let mut of = self.of.lock();
        for i in 0..of.len() {
            let (at, paid) = &mut of[i];
            *paid = *paid || self.fleet.0.budgets[*at].purse.lock().pay(now);
            if !*paid {
                return false;
            }
        }
        true
    }

    fn back(&self) {
        for (at, paid) in self.of.lock().iter_mut().filter(|(_, paid)| *paid) {
            self.fleet.0.budgets[*at].purse.lock().back();
            *paid = false;
        }
    }
}

impl Drop for Aside {
    fn drop(&mut self) {
        let unpaid = self.of.get_mut().iter().filter(|(_, paid)| !paid);
        unpaid.for_each(|(at, _)| self.fleet.0.budgets[*at].purse.lock().give_up());
    }
}

impl std::fmt::Debug for Aside {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_tuple("Aside").field(&self.of).finish()
    }
}

impl Subsystem for Fleet {
    fn figures(&self) -> String {
        let mut page = String::new();
        for budget in &self.0.budgets {
            let purse = budget.purse.lock();
            let (name, part) = (&budget.name, purse.part());
            for (figure, value) in [
                ("whole", budget.rate),
                ("part", part.rate),
                ("spent", purse.spent as f64),
                ("refused", purse.refused as f64),
            ] {
                writeln!(page, "edge_router.fleet.{name}.{figure}={value}").ok();
            }
        }
        page
    }
}
