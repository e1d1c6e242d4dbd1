//! Operators: they send configurations to any controller, retry one whose outcome is unknown, race each other for one
//! version, and repeat configurations that were applied before.

use crate::checks::Order;
use crate::message::{ClientRequest, ClientResponse};
use crate::random::Random;
use std::time::Duration;

/// After this time without a response an operator calls another controller.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Orders that an operator may send again later.
const REMEMBERED: usize = 60;

/// What an operator does.
#[derive(Clone, Debug)]
enum Activity {
    Pausing,
    Ordering(Order),
    Reading,
}

/// One operator.
pub struct Operator {
    number: usize,
    /// The version that it takes for the current one.
    known: u64,
    doing: Activity,
    /// Counts what it waits for: an older timer or answer does not count.
    turn: u64,
    taken: Vec<Order>,
}

/// What an operator does next.
#[derive(Clone, Debug)]
pub enum Next {
    /// Calls so many controllers at once, and waits for [`RESPONSE_TIMEOUT`].
    Call(ClientRequest, usize),
    /// Does nothing for a while.
    Wait(Duration),
}

impl Operator {
    /// One that knows of no configuration.
    pub fn new(number: usize) -> Operator {
        Operator {
            number,
            known: 0,
            doing: Activity::Pausing,
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
            Activity::Ordering(order) => Some(order),
            _ => None,
        }
    }

    /// Whether nothing of it is open.
    pub fn is_idle(&self) -> bool {
        matches!(self.doing, Activity::Pausing)
    }

    /// Its pause is over, or nobody has answered. `next_number` numbers a new order.
    pub fn wake(&mut self, random: &mut Random, next_number: u64) -> Next {
        self.turn += 1;
        if matches!(self.doing, Activity::Pausing) {
            let order = self.next_order(random, next_number);
            self.doing = Activity::Ordering(order);
        }
        let count = 1 + usize::from(random.with_probability(15));
        match &self.doing {
            Activity::Ordering(order) => Next::Call(order.request(), count),
            _ => Next::Call(ClientRequest::Get, 1),
        }
    }

    fn next_order(&self, random: &mut Random, number: u64) -> Order {
        if random.with_probability(20) && !self.taken.is_empty() {
            return self.taken[random.below(self.taken.len())].clone();
        }
        let base = if random.with_probability(95) {
            self.known
        } else {
            self.known.saturating_sub(1)
        };
        let version = self.known + 1 + u64::from(random.with_probability(20));
        let body = format!("{version} by {} as {number}", self.number).into_bytes();
        Order {
            number,
            base,
            version,
            body,
        }
    }

    /// Handles the response that it waits for.
    pub fn on_response(&mut self, random: &mut Random, response: &ClientResponse) -> Next {
        self.turn += 1;
        match (&self.doing, response) {
            (_, ClientResponse::Unavailable) => return Next::Wait(random.time(20, 300)),
            (Activity::Ordering(order), ClientResponse::Done) => {
                self.known = self.known.max(order.version);
                let order = order.clone();
                self.taken.retain(|other| other.number != order.number);
                self.taken.push(order);
                let surplus = self.taken.len().saturating_sub(REMEMBERED);
                self.taken.drain(..surplus);
                self.doing = Activity::Pausing;
            }
            (Activity::Ordering(_), _) => {
                self.doing = Activity::Reading;
                return Next::Wait(random.time(1, 50));
            }
            (Activity::Reading, ClientResponse::Configuration { version, .. }) => {
                self.known = *version;
                self.doing = Activity::Pausing;
            }
            _ => self.doing = Activity::Pausing,
        }
        Next::Wait(if random.with_probability(40) {
            random.time(1, 100)
        } else {
            random.time(100, 1500)
        })
    }
}
