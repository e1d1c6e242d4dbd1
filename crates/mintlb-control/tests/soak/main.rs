//! Soak: real processes are killed, stopped, frozen and restarted, in series that overlap, while
//! clients go on over the connections that they have.
//!
//! - [`control_plane`]: controllers and stores, with the client that a dispatcher has.
//! - [`tier`]: dispatchers, too, with clients, workers and an operator over HTTP.
//! - [`tenants`]: the same with keys, tenants and rate limits that change.
//!
//! A few seeds run here. By hand: `SOAK_SEEDS=100..150` plays these, and `SOAK_CONTROLLERS`,
//! `SOAK_STORES` and `SOAK_DISPATCHERS` start more processes.

mod batch_clients;
mod cluster;
mod control_plane;
mod http;
mod live_clients;
mod operator;
mod tenants;
mod tier;
mod workers;

use cluster::ClusterSize;
use std::ops::Range;
use tokio::task::JoinHandle;

const SEEDS: Range<u64> = 0..3;
const TENANT_SEEDS: Range<u64> = 0..2;

/// Spawns one task for each number below `count`.
fn spawn_each<F>(count: usize, run: impl Fn(usize) -> F) -> Vec<JoinHandle<()>>
where
    F: Future<Output = ()> + Send + 'static,
{
    let numbers = 0..count;
    numbers.map(|number| tokio::spawn(run(number))).collect()
}

fn number_of(variable: &str, default: usize) -> usize {
    std::env::var(variable).map_or(default, |value| value.parse().unwrap())
}

fn seeds_or(usual: Range<u64>) -> Range<u64> {
    std::env::var("SOAK_SEEDS").map_or(usual, |value| {
        let (first, end) = value.split_once("..").unwrap();
        first.parse().unwrap()..end.parse().unwrap()
    })
}

fn cluster_size(dispatchers: usize) -> ClusterSize {
    ClusterSize {
        controllers: number_of("SOAK_CONTROLLERS", 3),
        stores: number_of("SOAK_STORES", 5),
        dispatchers,
    }
}

#[tokio::test]
async fn what_was_acknowledged_survives_overlapping_restarts_and_signals() {
    for seed in seeds_or(SEEDS) {
        control_plane::soak(seed, cluster_size(0)).await;
    }
}

#[tokio::test]
async fn clients_are_served_through_overlapping_restarts_signals_and_changes() {
    for seed in seeds_or(SEEDS) {
        tier::soak(seed, cluster_size(number_of("SOAK_DISPATCHERS", 3))).await;
    }
}

#[tokio::test]
async fn tenants_keep_to_their_keys_and_limits_through_overlapping_restarts_and_changes() {
    for seed in seeds_or(TENANT_SEEDS) {
        tenants::soak(seed, cluster_size(number_of("SOAK_DISPATCHERS", 3))).await;
    }
}

/// Not a test by itself: the process that the tier's soak starts as a dispatcher.
#[test]
fn process_of_a_dispatcher() {
    cluster::machine::run_as_dispatcher_if_asked();
}
