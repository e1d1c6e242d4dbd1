//! This scheduler's membership of the fleet: the token buckets that the core checks and spends from, and the task that
//! exchanges messages with the other members over UDP.

use crate::config::{BudgetConfig, BudgetScope, Division, MemberConfig};
use crate::demand::Demand;
use crate::lease::Lease;
use crate::ledger;
use crate::members::{DropReason, Members};
use crate::message::{Datagram, MAX_DATAGRAM_BYTES, MemberId, ONE_TOKEN_MILLI, amount_of, name_id};
use crate::node::{Node, Outbox};
use crate::share::Share;
use crate::token_bucket::TokenBucket;
use mintlb_core::budget::{Expense, Reservation, SharedBudgets as CoreBudgets};
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

/// Seconds of a clock that can't be set and that counts the time for which the machine is suspended, so that leases
/// expire meanwhile. If it can't be read, all leases have expired.
fn now() -> f64 {
    let time = ClockId::CLOCK_BOOTTIME.now();
    time.map_or(f64::INFINITY, |time| {
        time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9
    })
}

/// A new incarnation: Unix time in microseconds, so that incarnations increase with each restart, and 12 random bits,
/// so that they differ even if the clock was set back.
fn new_incarnation(seed: u64) -> u64 {
    let unix_time = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    (unix_time.as_micros() as u64) << 12 | seed & 0xfff
}

struct Budget {
    name: String,
    /// A hash of the name and the scope: a budget whose scope changes becomes another budget.
    key: u64,
    scope: BudgetScope,
    limit: ledger::Budget,
    /// The share that needs no grant of the coordinator.
    fixed_share: Share,
    bucket: Arc<Mutex<TokenBucket>>,
    demand: Arc<Mutex<Demand>>,
}

/// The state of the exchange with the other members.
struct Exchange {
    node: Node,
    members: Members,
    /// The demands of the next request, by budget key.
    demands: Vec<(u64, u32)>,
    /// Since when no share is held; `None` while one is.
    without_share_since: Option<f64>,
    dropped: BTreeMap<DropReason, u64>,
    sent: u64,
    received: u64,
}

impl Budget {
    /// Whether this expense needs a token of the budget.
    fn limits(&self, expense: Expense) -> bool {
        match self.scope {
            BudgetScope::Again => expense.is_retry,
        }
    }
}

/// Creates the budgets from their settings. `config` holds the settings that apply until the next start. A budget that
/// existed before keeps its bucket and its demand.
fn budgets(
    config: &MemberConfig,
    budgets: &[BudgetConfig],
    before: &[Arc<Budget>],
) -> Vec<Arc<Budget>> {
    let create = |budget: &BudgetConfig| {
        let (name, key) = (
            budget.name.clone(),
            name_id(&format!("{}/{:?}", budget.name, budget.scope)),
        );
        let ledger_budget = ledger::Budget {
            key,
            total: Node::amount(budget.rate, budget.burst),
        };
        let known = before.iter().find(|known| known.key == key);
        let bucket = known.map(|known| known.bucket.clone());
        let bucket =
            bucket.unwrap_or_else(|| Arc::new(Mutex::new(TokenBucket::new(config.fleet.drift))));
        let demand = known.map_or_else(Arc::default, |known| known.demand.clone());
        let fixed_share = config.fixed_share(budget);
        Arc::new(Budget {
            name,
            key,
            scope: budget.scope,
            limit: ledger_budget,
            fixed_share,
            bucket,
            demand,
        })
    };
    budgets.iter().map(create).collect()
}

/// The bound UDP address. It is held for as long as the process lives, so that no other process can vote or hold shares
/// under this name meanwhile.
struct Endpoint {
    socket: UdpSocket,
    /// Present if shares are granted by a coordinator.
    exchange: Option<Mutex<Exchange>>,
}

struct Shared {
    config: MemberConfig,
    seed: u64,
    /// The id of the fleet's name.
    fleet_id: u64,
    own_id: MemberId,
    incarnation: u64,
    /// The budgets of the settings that were applied last.
    budgets: Mutex<Arc<Vec<Arc<Budget>>>>,
    /// Set once the address is bound. Before, no share is held and no message sent.
    endpoint: OnceLock<Endpoint>,
    /// Notified when the demand has changed, so that shares should be requested early.
    demand_changed: Notify,
    log: Logger,
}

/// This scheduler's membership of the fleet.
#[derive(Clone)]
pub struct Fleet(Arc<Shared>);

/// The wait before another attempt to bind an address in use, or to receive after an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Fleet {
    /// Binds the scheduler's address, and from then on holds its shares, or those that it is granted. If another
    /// process has the address, as one of the same name has that this one replaces, binding is retried until that one
    /// has ended.
    pub async fn start(config: MemberConfig, seed: u64, log: Logger) -> Result<Fleet, String> {
        let budgets = Mutex::new(Arc::new(budgets(&config, &config.fleet.budgets, &[])));
        let (fleet_id, own_id, at) = (
            name_id(&config.fleet.name),
            name_id(&config.name),
            config.address,
        );
        let (incarnation, endpoint, demand_changed) =
            (new_incarnation(seed), OnceLock::new(), Notify::new());
        let fleet = Fleet(Arc::new(Shared {
            config,
            seed,
            fleet_id,
            own_id,
            incarnation,
            budgets,
            endpoint,
            demand_changed,
            log,
        }));
        match UdpSocket::bind(at).await {
            Ok(socket) => fleet.join(socket),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                let log = &fleet.0.log;
                warn!(log, "fleet: the address is in use by another process; no share is held until that process ends"; "address" => %at);
                tokio::spawn(fleet.clone().retry_bind(at));
            }
            Err(e) => return Err(format!("fleet.members.{}: {at}: {e}", fleet.0.config.name)),
        }
        Ok(fleet)
    }

    async fn retry_bind(self, address: SocketAddr) {
        loop {
            sleep(RETRY_INTERVAL).await;
            if let Ok(socket) = UdpSocket::bind(address).await {
                return self.join(socket);
            }
        }
    }

    fn lease(&self) -> Lease {
        Lease {
            seconds: self.0.config.fleet.lease,
            drift: self.0.config.fleet.drift,
        }
    }

    fn budgets(&self) -> Arc<Vec<Arc<Budget>>> {
        self.0.budgets.lock().clone()
    }

    /// Applies the fixed shares, if the budgets are divided into such.
    fn apply_fixed_shares(&self, now: f64) {
        let is_fixed = self.0.config.fleet.division == Division::Equal;
        for budget in self.budgets().iter().filter(|_| is_fixed) {
            budget.bucket.lock().set_share(now, budget.fixed_share);
        }
    }

    /// Applies the budgets of new settings. Changes of the members, voters and times wait for the next start.
    pub fn reconfigure(&self, config: &MemberConfig) {
        let now = now();
        let before = self.budgets();
        let new = budgets(&self.0.config, &config.fleet.budgets, &before);
        // Nothing may be spent of a budget that was removed, also by attempts that hold on to it.
        before.iter().for_each(|old| {
            if new.iter().all(|new| new.key != old.key) {
                old.bucket.lock().set_share(now, Share::NONE);
            }
        });
        *self.0.budgets.lock() = Arc::new(new);
        let Some(endpoint) = self.0.endpoint.get() else {
            return;
        };
        self.apply_fixed_shares(now);
        if let Some(mut exchange) = endpoint.exchange.as_ref().map(Mutex::lock) {
            let limits = self.budgets().iter().map(|budget| budget.limit).collect();
            exchange.node.set_budgets(now, limits);
            exchange.node.request_soon(now);
            self.0.demand_changed.notify_one();
        }
        info!(self.0.log, "fleet: budgets of the new settings applied"; "budgets" => self.budgets().len());
    }

    /// Starts as a member, now that the address is bound. A voter's startup wait begins now: another process may have
    /// voted under its name until now.
    fn join(&self, socket: UdpSocket) {
        let Shared {
            config,
            own_id,
            fleet_id,
            incarnation,
            seed,
            log,
            ..
        } = &*self.0;
        let (now, fleet, budgets) = (now(), &config.fleet, self.budgets());
        self.apply_fixed_shares(now);
        let exchange = (fleet.division == Division::Leases).then(|| {
            let members: BTreeMap<MemberId, _> = fleet
                .members
                .iter()
                .map(|(name, address)| (name_id(name), *address))
                .collect();
            let voters = fleet.voters.iter().map(|name| name_id(name)).collect();
            let limits = budgets.iter().map(|budget| budget.limit).collect();
            let ids = members.keys().copied().collect();
            Mutex::new(Exchange {
                node: Node::new(
                    now,
                    (*own_id, *incarnation),
                    self.lease(),
                    limits,
                    ids,
                    voters,
                    *seed,
                ),
                members: Members::new(*fleet_id, *own_id, members, fleet.lease),
                demands: Vec::new(),
                without_share_since: Some(now),
                dropped: BTreeMap::new(),
                sent: 0,
                received: 0,
            })
        });
        let uses_leases = exchange.is_some();
        info!(log, "fleet: joined"; "leases" => uses_leases, "members" => fleet.members.len(), "address" => %config.address);
        if self.0.endpoint.set(Endpoint { socket, exchange }).is_ok() && uses_leases {
            tokio::spawn(self.clone().run());
        }
    }

    /// Exchanges messages with the other members for as long as the program runs.
    async fn run(self) {
        let Some(Endpoint {
            socket,
            exchange: Some(exchange),
        }) = self.0.endpoint.get()
        else {
            return;
        };
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let wait = Duration::from_secs_f64(
                (exchange.lock().node.next_tick_at() - now()).clamp(0.0, 60.0),
            );
            let received = tokio::select! {
                biased;
                () = sleep(wait) => None,
                received = socket.recv_from(&mut bytes) => Some(received),
                () = self.0.demand_changed.notified() => {
                    exchange.lock().node.request_soon(now());
                    continue;
                }
            };
            let mut exchange = exchange.lock();
            let mut out = Outbox::new();
            match received {
                Some(Ok((n, from))) => match exchange.members.decode(now(), from, &bytes[..n]) {
                    Ok(datagram) => {
                        exchange.received += 1;
                        exchange.node.receive(
                            now(),
                            (datagram.from, datagram.incarnation),
                            datagram.message,
                            &mut out,
                        );
                    }
                    Err(reason) => *exchange.dropped.entry(reason).or_default() += 1,
                },
                // The datagram counts as lost. The pause keeps repeated errors from taking the processor from the core.
                Some(Err(_)) => {
                    drop(exchange);
                    sleep(RETRY_INTERVAL).await;
                    continue;
                }
                None => {
                    let now = now();
                    if exchange.node.is_request_due(now) {
                        exchange.demands = self.demands(now);
                    }
                    let demands = std::mem::take(&mut exchange.demands);
                    exchange.node.tick(now, &demands, &mut out);
                    exchange.demands = demands;
                }
            }
            self.send(socket, &mut exchange, out);
            self.apply_shares(&mut exchange);
        }
    }

    fn demands(&self, now: f64) -> Vec<(u64, u32)> {
        let demand = |budget: &Arc<Budget>| {
            let mut bucket = budget.bucket.lock();
            let (counts, total) = (
                (bucket.spent, bucket.refused),
                budget.limit.total.rate_milli,
            );
            let demand =
                budget
                    .demand
                    .lock()
                    .update(now, self.lease().request_interval(), counts, total);
            bucket.record_report();
            (budget.key, demand)
        };
        self.budgets().iter().map(demand).collect()
    }

    fn send(&self, socket: &UdpSocket, exchange: &mut Exchange, out: Outbox) {
        for (to, message) in out {
            let datagram = Datagram {
                fleet: self.0.fleet_id,
                from: self.0.own_id,
                incarnation: self.0.incarnation,
                to,
                message,
            };
            let sent =
                datagram
                    .encode()
                    .zip(exchange.members.address(to))
                    .map(|(bytes, address)| {
                        // If the send buffer is full the message is lost, as it may be on the network.
                        socket.try_send_to(&bytes, address).is_ok()
                    });
            exchange.sent += u64::from(sent == Some(true));
        }
    }

    /// Applies the shares that the node holds to the token buckets.
    fn apply_shares(&self, exchange: &mut Exchange) {
        let now = now();
        let (shares, until) = exchange.node.shares(now);
        for budget in self.budgets().iter() {
            let amount = amount_of(shares, budget.key);
            let tokens = |thousandths: u32| f64::from(thousandths) / f64::from(ONE_TOKEN_MILLI);
            let share = Share {
                rate: tokens(amount.rate_milli),
                burst: tokens(amount.burst_milli),
                until,
            };
            let mut bucket = budget.bucket.lock();
            if bucket.share() != share {
                bucket.set_share(now, share);
            }
        }
        let (term, has_shares) = (exchange.node.term(), !shares.is_empty());
        match (has_shares, exchange.without_share_since) {
            (true, Some(since)) => {
                exchange.without_share_since = None;
                info!(self.0.log, "fleet: shares granted"; "term" => term.number, "seconds without" => now - since);
            }
            (false, None) => {
                exchange.without_share_since = Some(now);
                warn!(self.0.log, "fleet: shares expired, no budget can be spent from"; "term" => term.number);
            }
            _ => {}
        }
    }
}

impl CoreBudgets for Fleet {
    fn has_available(&self, expense: Expense) -> bool {
        let (now, budgets) = (now(), self.budgets());
        budgets
            .iter()
            .filter(|budget| budget.limits(expense))
            .all(|budget| {
                let mut bucket = budget.bucket.lock();
                let has = bucket.has_token(now);
                if !has && bucket.is_first_refusal() {
                    self.0.demand_changed.notify_one();
                }
                has
            })
    }

    fn reserve(&self, expense: Expense) -> Option<Arc<dyn Reservation>> {
        let (now, budgets) = (now(), self.budgets());
        let mut reservation = TokenReservation(Mutex::default());
        let reserved = reservation.0.get_mut();
        for budget in budgets.iter().filter(|budget| budget.limits(expense)) {
            if !budget.bucket.lock().reserve(now) {
                return None;
            }
            reserved.push((budget.clone(), false));
        }
        Some(Arc::new(reservation))
    }
}

/// The tokens that are reserved for one attempt: their budgets, and whether each was spent.
struct TokenReservation(Mutex<Vec<(Arc<Budget>, bool)>>);

impl Reservation for TokenReservation {
    fn commit(&self) -> bool {
        let now = now();
        self.0.lock().iter_mut().all(|(budget, spent)| {
            *spent = *spent || budget.bucket.lock().spend(now);
            *spent
        })
    }

    fn refund(&self) {
        for (budget, spent) in self.0.lock().iter_mut().filter(|(_, spent)| *spent) {
            budget.bucket.lock().refund();
            *spent = false;
        }
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let unspent = self.0.get_mut().iter().filter(|(_, spent)| !spent);
        unspent.for_each(|(budget, _)| budget.bucket.lock().cancel_reservation());
    }
}

impl std::fmt::Debug for TokenReservation {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let reserved = self.0.lock();
        f.debug_list()
            .entries(reserved.iter().map(|(budget, spent)| (&budget.name, spent)))
            .finish()
    }
}

impl Subsystem for Fleet {
    fn finish_shutdown(&self) {
        let Some(Endpoint {
            socket,
            exchange: Some(exchange),
        }) = self.0.endpoint.get()
        else {
            return;
        };
        let (mut exchange, mut out) = (exchange.lock(), Outbox::new());
        exchange.node.leave(now(), &mut out);
        self.send(socket, &mut exchange, out);
        self.apply_shares(&mut exchange);
    }

    fn metrics(&self) -> String {
        let mut page = String::new();
        let mut write_metric =
            |name: &str, value: f64| page += &format!("edge_router.fleet.{name}={value}\n");
        for budget in self.budgets().iter() {
            let mut bucket = budget.bucket.lock();
            bucket.refresh(now());
            let share = bucket.share();
            for (figure, value) in [
                (
                    "whole",
                    f64::from(budget.limit.total.rate_milli) / f64::from(ONE_TOKEN_MILLI),
                ),
                ("part", share.rate),
                ("spent", bucket.spent as f64),
                ("refused", bucket.refused as f64),
            ] {
                write_metric(&format!("{}.{figure}", budget.name), value);
            }
        }
        if let Some(exchange) = self
            .0
            .endpoint
            .get()
            .and_then(|endpoint| endpoint.exchange.as_ref())
            .map(Mutex::lock)
        {
            let now = now();
            write_metric(
                "alone_s",
                exchange
                    .without_share_since
                    .map_or(0.0, |since| now - since),
            );
            write_metric(
                "divides",
                f64::from(u8::from(exchange.node.is_coordinator(now))),
            );
            write_metric("words_sent", exchange.sent as f64);
            write_metric("words_heard", exchange.received as f64);
            write_metric(
                "words_dropped",
                exchange.dropped.values().sum::<u64>() as f64,
            );
        }
        page
    }
}
