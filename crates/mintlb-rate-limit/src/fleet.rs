//! The purses behind the core's door, and the task that has words with the other members: the socket and the clock.

use crate::config::{Division, Limits, MemberConfig, Whole};
use crate::demand::Demand;
use crate::division::Part;
use crate::lease::Lease;
use crate::ledger;
use crate::members::{Dropped, Members};
use crate::node::{Node, Out};
use crate::purse::Purse;
use crate::word::{Id, LONGEST, Letter, ONE, id, of};
use mintlb_core::budget::{Expense, Reservation, SharedBudgets as Door};
use mintlb_core::subsystem::Subsystem;
use nix::time::ClockId;
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Seconds of a clock that no one sets and that goes on while the machine sleeps: what lapsed meanwhile must be known
/// to have lapsed. Where it can't be read, all has lapsed.
fn now() -> f64 {
    let time = ClockId::CLOCK_BOOTTIME.now();
    time.map_or(f64::INFINITY, |time| {
        time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9
    })
}

/// Microseconds of Unix time, so that a later life has a greater number, and some chance, so that no two are alike also
/// if the clock was set back.
fn life(seed: u64) -> u64 {
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    (unix.as_micros() as u64) << 12 | seed & 0xfff
}

struct Budget {
    name: String,
    /// Another limit under an old name is another budget.
    key: u64,
    limits: Limits,
    whole: ledger::Budget,
    /// The part that needs no word.
    unmoved: Part,
    purse: Arc<Mutex<Purse>>,
    demand: Arc<Mutex<Demand>>,
}

/// What the words are about.
struct Talk {
    node: Node,
    members: Members,
    wants: Vec<(u64, u32)>,
    /// Since when nothing is held, if so.
    alone: Option<f64>,
    dropped: BTreeMap<Dropped, u64>,
    sent: u64,
    heard: u64,
}

impl Budget {
    /// Whether this would spend of it.
    fn limits(&self, spend: Expense) -> bool {
        match self.limits {
            Limits::Again => spend.is_retry,
        }
    }
}

/// These budgets, by a plan that holds until the next start; what was spent and is held of one that was there before
/// goes on.
fn budgets(plan: &MemberConfig, wholes: &[Whole], before: &[Arc<Budget>]) -> Vec<Arc<Budget>> {
    let budget = |whole: &Whole| {
        let (name, key) = (
            whole.name.clone(),
            id(&format!("{}/{:?}", whole.name, whole.limits)),
        );
        let amount = ledger::Budget {
            key,
            whole: Node::whole(whole.rate, whole.burst),
        };
        let known = before.iter().find(|known| known.key == key);
        let purse = known.map(|known| known.purse.clone());
        let purse = purse.unwrap_or_else(|| Arc::new(Mutex::new(Purse::new(plan.table.drift))));
        let demand = known.map_or_else(Arc::default, |known| known.demand.clone());
        let unmoved = plan.unmoved(whole);
        Arc::new(Budget {
            name,
            key,
            limits: whole.limits,
            whole: amount,
            unmoved,
            purse,
            demand,
        })
    };
    wholes.iter().map(budget).collect()
}

/// The address that is held for as long as the process lives: no other may vote, or hold parts, under this name meanwhile.
struct Bound {
    socket: UdpSocket,
    /// Where parts move.
    talk: Option<Mutex<Talk>>,
}

struct Shared {
    plan: MemberConfig,
    seed: u64,
    /// The ids of the fleet's name and of one's own, and what this life is known by.
    name: u64,
    me: Id,
    life: u64,
    /// As the file says that was taken last.
    budgets: Mutex<Arc<Vec<Arc<Budget>>>>,
    /// Nothing is held, and no word said, before.
    bound: OnceLock<Bound>,
    /// Something was refused where nothing had been for a while.
    hungry: Notify,
    log: Logger,
}

/// This scheduler's place in the fleet.
#[derive(Clone)]
pub struct Fleet(Arc<Shared>);

/// Between tries to bind an address that another process still has, or to read where that fails.
const AGAIN: Duration = Duration::from_millis(50);

impl Fleet {
    /// Binds its address, and holds its parts from then on or as it is given them. Where another process has the address,
    /// as one of its name does that it takes over from, that is tried again until that one has ended.
    pub async fn start(plan: MemberConfig, seed: u64, log: Logger) -> Result<Fleet, String> {
        let budgets = Mutex::new(Arc::new(budgets(&plan, &plan.table.budgets, &[])));
        let (name, me, at) = (id(&plan.table.name), id(&plan.name), plan.at);
        let (life, bound, hungry) = (life(seed), OnceLock::new(), Notify::new());
        let fleet = Fleet(Arc::new(Shared {
            plan,
            seed,
            name,
            me,
            life,
            budgets,
            bound,
            hungry,
            log,
        }));
        match UdpSocket::bind(at).await {
            Ok(socket) => fleet.join(socket),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                let log = &fleet.0.log;
                warn!(log, "fleet: another process has this address, nothing is held until it ends"; "at" => %at);
                tokio::spawn(fleet.clone().wait(at));
            }
            Err(e) => return Err(format!("fleet.members.{}: {at}: {e}", fleet.0.plan.name)),
        }
        Ok(fleet)
    }

    async fn wait(self, at: SocketAddr) {
        loop {
            sleep(AGAIN).await;
            if let Ok(socket) = UdpSocket::bind(at).await {
                return self.join(socket);
            }
        }
    }

    fn lease(&self) -> Lease {
        Lease {
            seconds: self.0.plan.table.lease,
            drift: self.0.plan.table.drift,
        }
    }

    fn budgets(&self) -> Arc<Vec<Arc<Budget>>> {
        self.0.budgets.lock().clone()
    }

    /// Holds the parts that need no word.
    fn hold_unmoved(&self, now: f64) {
        let unmoved = self.0.plan.table.division == Division::Equal;
        for budget in self.budgets().iter().filter(|_| unmoved) {
            budget.purse.lock().take(now, budget.unmoved);
        }
    }

    /// From now on the budgets are this file's; its members, keepers and times wait for the next start.
    pub fn reconfigure(&self, plan: &MemberConfig) {
        let now = now();
        let before = self.budgets();
        let new = budgets(&self.0.plan, &plan.table.budgets, &before);
        // Nothing of one that is gone may be spent any more.
        before.iter().for_each(|old| {
            if new.iter().all(|new| new.key != old.key) {
                old.purse.lock().take(now, Part::NONE);
            }
        });
        *self.0.budgets.lock() = Arc::new(new);
        let Some(bound) = self.0.bound.get() else {
            return;
        };
        self.hold_unmoved(now);
        if let Some(mut talk) = bound.talk.as_ref().map(Mutex::lock) {
            let wholes = self.budgets().iter().map(|budget| budget.whole).collect();
            talk.node.retune(now, wholes);
            talk.node.hurry(now);
            self.0.hungry.notify_one();
        }
        info!(self.0.log, "fleet: the new file's budgets hold here"; "budgets" => self.budgets().len());
    }

    /// The address is bound. A keeper counts from now, as until now another may have voted under its name.
    fn join(&self, socket: UdpSocket) {
        let Shared {
            plan,
            me,
            name,
            life,
            seed,
            log,
            ..
        } = &*self.0;
        let (now, table, budgets) = (now(), &plan.table, self.budgets());
        self.hold_unmoved(now);
        let talk = (table.division == Division::Leases).then(|| {
            let members: BTreeMap<Id, _> = table
                .members
                .iter()
                .map(|(name, at)| (id(name), *at))
                .collect();
            let keepers = table.keepers.iter().map(|name| id(name)).collect();
            let wholes = budgets.iter().map(|budget| budget.whole).collect();
            let all = members.keys().copied().collect();
            Mutex::new(Talk {
                node: Node::new(now, (*me, *life), self.lease(), wholes, all, keepers, *seed),
                members: Members::new(*name, *me, members, table.lease),
                wants: Vec::new(),
                alone: Some(now),
                dropped: BTreeMap::new(),
                sent: 0,
                heard: 0,
            })
        });
        let moves = talk.is_some();
        info!(log, "fleet: joined"; "parts move" => moves, "members" => table.members.len(), "at" => %plan.at);
        if self.0.bound.set(Bound { socket, talk }).is_ok() && moves {
            tokio::spawn(self.clone().talk());
        }
    }

    /// Has words with the others for as long as the program runs.
    async fn talk(self) {
        let Some(Bound {
            socket,
            talk: Some(talk),
        }) = self.0.bound.get()
        else {
            return;
        };
        let mut bytes = [0; LONGEST + 1];
        loop {
            let wait = Duration::from_secs_f64((talk.lock().node.due() - now()).clamp(0.0, 60.0));
            let read = tokio::select! {
                biased;
                () = sleep(wait) => None,
                read = socket.recv_from(&mut bytes) => Some(read),
                () = self.0.hungry.notified() => {
                    talk.lock().node.hurry(now());
                    continue;
                }
            };
            let mut talk = talk.lock();
            let mut out = Out::new();
            match read {
                Some(Ok((n, from))) => match talk.members.read(now(), from, &bytes[..n]) {
                    Ok(letter) => {
                        talk.heard += 1;
                        talk.node
                            .hear(now(), (letter.from, letter.life), letter.word, &mut out);
                    }
                    Err(why) => *talk.dropped.entry(why).or_default() += 1,
                },
                // What can't be read is lost, like any word. It must not keep the core from all else.
                Some(Err(_)) => {
                    drop(talk);
                    sleep(AGAIN).await;
                    continue;
                }
                None => {
                    let now = now();
                    if talk.node.asks(now) {
                        talk.wants = self.wants(now);
                    }
                    let wants = std::mem::take(&mut talk.wants);
                    talk.node.tick(now, &wants, &mut out);
                    talk.wants = wants;
                }
            }
            self.post(socket, &mut talk, out);
            self.hold(&mut talk);
        }
    }

    fn wants(&self, now: f64) -> Vec<(u64, u32)> {
        let want = |budget: &Arc<Budget>| {
            let mut purse = budget.purse.lock();
            let (counts, whole) = ((purse.spent, purse.refused), budget.whole.whole.flow);
            let want = budget
                .demand
                .lock()
                .look(now, self.lease().round(), counts, whole);
            purse.looked();
            (budget.key, want)
        };
        self.budgets().iter().map(want).collect()
    }

    fn post(&self, socket: &UdpSocket, talk: &mut Talk, out: Out) {
        for (to, word) in out {
            let letter = Letter {
                fleet: self.0.name,
                from: self.0.me,
                life: self.0.life,
                to,
                word,
            };
            let sent = letter.write().zip(talk.members.at(to)).map(|(bytes, at)| {
                // A full buffer loses the word, as the way may.
                socket.try_send_to(&bytes, at).is_ok()
            });
            talk.sent += u64::from(sent == Some(true));
        }
    }

    /// The purses hold what the node does.
    fn hold(&self, talk: &mut Talk) {
        let now = now();
        let (parts, until) = talk.node.parts(now);
        for budget in self.budgets().iter() {
            let amount = of(parts, budget.key);
            let value = |thousandths: u32| f64::from(thousandths) / f64::from(ONE);
            let part = Part {
                rate: value(amount.flow),
                burst: value(amount.stock),
                until,
            };
            let mut purse = budget.purse.lock();
            if purse.part() != part {
                purse.take(now, part);
            }
        }
        let (term, holds) = (talk.node.term(), !parts.is_empty());
        match (holds, talk.alone) {
            (true, Some(since)) => {
                talk.alone = None;
                info!(self.0.log, "fleet: parts are held"; "term" => term.number, "after" => now - since);
            }
            (false, None) => {
                talk.alone = Some(now);
                warn!(self.0.log, "fleet: parts have lapsed, nothing of a budget is spent"; "term" => term.number);
            }
            _ => {}
        }
    }
}

impl Door for Fleet {
    fn has_available(&self, spend: Expense) -> bool {
        let (now, budgets) = (now(), self.budgets());
        budgets
            .iter()
            .filter(|budget| budget.limits(spend))
            .all(|budget| {
                let mut purse = budget.purse.lock();
                let has = purse.has(now);
                if !has && purse.is_news() {
                    self.0.hungry.notify_one();
                }
                has
            })
    }

    fn reserve(&self, spend: Expense) -> Option<Arc<dyn Reservation>> {
        let (now, budgets) = (now(), self.budgets());
        let mut aside = Aside(Mutex::default());
        let held = aside.0.get_mut();
        for budget in budgets.iter().filter(|budget| budget.limits(spend)) {
            if !budget.purse.lock().set_aside(now) {
                return None;
            }
            held.push((budget.clone(), false));
        }
        Some(Arc::new(aside))
    }
}

/// What one allocation has set aside, by budget, and whether it was paid.
struct Aside(Mutex<Vec<(Arc<Budget>, bool)>>);

impl Reservation for Aside {
    fn commit(&self) -> bool {
        let now = now();
        self.0.lock().iter_mut().all(|(budget, paid)| {
            *paid = *paid || budget.purse.lock().pay(now);
            *paid
        })
    }

    fn refund(&self) {
        for (budget, paid) in self.0.lock().iter_mut().filter(|(_, paid)| *paid) {
            budget.purse.lock().back();
            *paid = false;
        }
    }
}

impl Drop for Aside {
    fn drop(&mut self) {
        let unpaid = self.0.get_mut().iter().filter(|(_, paid)| !paid);
        unpaid.for_each(|(budget, _)| budget.purse.lock().give_up());
    }
}

impl std::fmt::Debug for Aside {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let of = self.0.lock();
        f.debug_list()
            .entries(of.iter().map(|(budget, paid)| (&budget.name, paid)))
            .finish()
    }
}

impl Subsystem for Fleet {
    fn finish_shutdown(&self) {
        let Some(Bound {
            socket,
            talk: Some(talk),
        }) = self.0.bound.get()
        else {
            return;
        };
        let (mut talk, mut out) = (talk.lock(), Out::new());
        talk.node.leave(now(), &mut out);
        self.post(socket, &mut talk, out);
        self.hold(&mut talk);
    }

    fn metrics(&self) -> String {
        let mut page = String::new();
        let mut line =
            |name: &str, value: f64| page += &format!("edge_router.fleet.{name}={value}\n");
        for budget in self.budgets().iter() {
            let mut purse = budget.purse.lock();
            purse.look(now());
            let part = purse.part();
            for (figure, value) in [
                ("whole", f64::from(budget.whole.whole.flow) / f64::from(ONE)),
                ("part", part.rate),
                ("spent", purse.spent as f64),
                ("refused", purse.refused as f64),
            ] {
                line(&format!("{}.{figure}", budget.name), value);
            }
        }
        if let Some(talk) = self
            .0
            .bound
            .get()
            .and_then(|bound| bound.talk.as_ref())
            .map(Mutex::lock)
        {
            let now = now();
            line("alone_s", talk.alone.map_or(0.0, |since| now - since));
            line("divides", f64::from(u8::from(talk.node.divides(now))));
            line("words_sent", talk.sent as f64);
            line("words_heard", talk.heard as f64);
            line("words_dropped", talk.dropped.values().sum::<u64>() as f64);
        }
        page
    }
}
