//! Clients of live requests, each of one tenant.

use super::calls::{Client, ClientContext, NewCall, Purpose};
use super::configuration::{GREEDY, TENANTS, new_key};
use crate::operator::IDEMPOTENT_PREFIX;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// A client sends so many requests a second at most, so that it waits for each answer.
const CLIENT_RATE: f64 = 5.0;
/// The share of its limit that a tenant uses, the greedy one at its times excepted.
const USED_SHARE: f64 = 0.5;
/// Clients of the greedy tenant beside its others.
const GREEDY_CLIENTS: usize = 12;
const GREEDY_PAUSE: Duration = Duration::from_millis(40);
/// A connection is given up after so many requests.
const REQUESTS_PER_CONNECTION: usize = 60;

/// Starts all clients; they end when they are told to stop.
pub fn start(context: &ClientContext) -> Vec<JoinHandle<()>> {
    let mut clients = Vec::new();
    for (name, rate) in TENANTS {
        let used = f64::from(rate) * USED_SHARE;
        let count = (used / CLIENT_RATE).ceil() as usize;
        let interval = Duration::from_secs_f64(count as f64 / used);
        for _ in 0..count {
            let client = Client::new(context.clone(), name, clients.len());
            let number = clients.len();
            clients.push(tokio::spawn(run_paced(client, number, interval)));
        }
    }
    for _ in 0..GREEDY_CLIENTS {
        let client = Client::new(context.clone(), TENANTS[GREEDY].0, clients.len());
        clients.push(tokio::spawn(run_greedy(client, clients.len())));
    }
    clients
}

/// Sends requests at a rate that is below the tenant's.
async fn run_paced(mut client: Client, number: usize, interval: Duration) {
    let mut next = Instant::now() + interval.mul_f64(client.random.f64());
    for request in 0.. {
        if client.is_stopped() {
            return;
        }
        sleep_until(next).await;
        next = (next + interval).max(Instant::now());
        send(&mut client, number, request).await;
    }
}

/// Sends requests without regard to the limit at the times of greed.
async fn run_greedy(mut client: Client, number: usize) {
    for request in 0.. {
        if client.is_stopped() {
            return;
        }
        if client.context.is_greedy.load(Relaxed) {
            send(&mut client, number, request).await;
        }
        sleep(GREEDY_PAUSE).await;
    }
}

async fn send(client: &mut Client, number: usize, request: usize) {
    if (request + 1).is_multiple_of(REQUESTS_PER_CONNECTION) {
        client.leave();
    }
    let id = format!("live-{}-{number}-{request}", client.context.seed);
    let key = draw_key(client);
    let path = format!("{IDEMPOTENT_PREFIX}{id}");
    let call = NewCall {
        purpose: Purpose::Live,
        id: &id,
        key,
        method: "POST",
        path: &path,
        body: "body".to_string(),
    };
    client.call(call).await;
}

/// While configurations change, also keys of others and former ones, one that never was, and none.
fn draw_key(client: &mut Client) -> Option<String> {
    if client.context.is_calm.load(Relaxed) {
        return Some(client.own_key());
    }
    match client.random.u32(0..20) {
        0..=5 => Some(client.any_key()),
        6 => Some(new_key(client.context.seed, "nobody", 0)),
        7 => None,
        _ => Some(client.own_key()),
    }
}
