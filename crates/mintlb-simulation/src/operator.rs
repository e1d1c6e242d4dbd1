//! Operators: they send configurations to any controller, send an order again after an unclear answer, race each
//! other for one number, and send orders again that were taken before.

use crate::checks::Order;
use crate::message::{Ask, Told};
use crate::random::Random;
use std::time::Duration;

/// An operator calls another controller after this time.
pub const PATIENCE: Duration = Duration::from_millis(1000);
/// Orders that an operator may send again later.
const REMEMBERED: usize = 60;

/// What an operator does.
#[derive(Clone, Debug)]
enum Doing {
    Pausing,
    Ordering(Order),
    Reading,
}

/// One operator.
pub struct Operator {
    number: usize,
    /// The version that it takes for the current one.
    known: u64,
    doing: Doing,
    /// Counts what it waits for: an older timer or answer does not count.
    turn: u64,
    taken: Vec<Order>,
}

/// What an operator does next.
#[derive(Clone, Debug)]
pub enum Next {
    /// Calls so many controllers at once, and waits for [`PATIENCE`].
    Call(Ask, usize),
    /// Does nothing for a while.
    Wait(Duration),
}

impl Operator {
    /// One that knows of no configuration.
    pub fn new(number: usize) -> Operator {
        Operator {
            number,
            known: 0,
            doing: Doing::Pausing,
            turn: 0,
            taken: Vec::new(),
        }
    }

    /// What it waits for.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    /// The order that is open.
    pub fn order(&self) -> Option<&Order> {
        match &self.doing {
            Doing::Ordering(order) => Some(order),
            _ => None,
        }
    }

    /// Whether nothing of it is open.
    pub fn is_idle(&self) -> bool {
        matches!(self.doing, Doing::Pausing)
    }

    /// Its pause is over, or nobody has answered. `next_number` numbers a new order.
    pub fn wake(&mut self, random: &mut Random, next_number: u64) -> Next {
        self.turn += 1;
        if matches!(self.doing, Doing::Pausing) {
            let order = self.next_order(random, next_number);
            self.doing = Doing::Ordering(order);
        }
        let count = 1 + usize::from(random.chance(15));
        match &self.doing {
            Doing::Ordering(order) => Next::Call(order.ask(), count),
            _ => Next::Call(Ask::Get, 1),
        }
    }

    fn next_order(&self, random: &mut Random, number: u64) -> Order {
        if random.chance(20) && !self.taken.is_empty() {
            return self.taken[random.below(self.taken.len())].clone();
        }
        let base = if random.chance(95) {
            self.known
        } else {
            self.known.saturating_sub(1)
        };
        let version = self.known + 1 + u64::from(random.chance(20));
        let body = format!("{version} by {} as {number}", self.number).into_bytes();
        Order {
            number,
            base,
            version,
            body,
        }
    }

    /// An answer to what it waits for.
    pub fn told(&mut self, random: &mut Random, told: &Told) -> Next {
        self.turn += 1;
        match (&self.doing, told) {
            (_, Told::Unavailable) => return Next::Wait(random.time(20, 300)),
            (Doing::Ordering(order), Told::Done) => {
                self.known = self.known.max(order.version);
                let order = order.clone();
                self.taken.retain(|other| other.number != order.number);
                self.taken.push(order);
                let surplus = self.taken.len().saturating_sub(REMEMBERED);
                self.taken.drain(..surplus);
                self.doing = Doing::Pausing;
            }
            (Doing::Ordering(_), _) => {
                self.doing = Doing::Reading;
                return Next::Wait(random.time(1, 50));
            }
            (Doing::Reading, Told::Configuration { version, .. }) => {
                self.known = *version;
                self.doing = Doing::Pausing;
            }
            _ => self.doing = Doing::Pausing,
        }
        Next::Wait(if random.chance(40) {
            random.time(1, 100)
        } else {
            random.time(100, 1500)
        })
    }
}
