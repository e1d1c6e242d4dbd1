//! Bytes per process and second, as the fleet and the table grow.

mod network;

use mintlb_common::record::{Record, WorkerRecord, WorkerState};
use network::{SimulatedNetwork, ms};
use std::time::Duration;

/// For how long the traffic is measured.
const MEASURED_S: u64 = 10;

fn worker(number: usize, call_sequence: u64) -> Record {
    let worker = WorkerRecord {
        instance_id: format!("{number:016x}-worker"),
        service: "chat-large".into(),
        address: format!("10.9.{}.{}:8000", number / 250, number % 250),
        zone: format!("zone{}", number % 9),
        capacity_slots: 32,
        state: WorkerState::InService,
        call_sequence,
        slow_start_until_ms: 0,
    };
    worker.to_record()
}

/// A fleet and its workers.
#[derive(Clone, Copy, Debug)]
struct Load {
    processes: usize,
    workers: usize,
    /// Updates of workers' records per second.
    updates_per_s: u64,
}

impl Load {
    /// A fleet whose controllers know the workers before the dispatchers join.
    fn start(self) -> SimulatedNetwork {
        let mut network = SimulatedNetwork::new(9, &[0, 1, 2]);
        for number in 0..3 {
            network.add(number, &format!("zone{number}"), ms(0));
        }
        network.run_for(ms(50));
        for number in 0..self.workers {
            network.publish(number % 3, worker(number, 1));
        }
        for number in 3..self.processes {
            let delay = ms(network.rng.u64(..300));
            network.add(number, &format!("zone{}", number % 9), delay);
        }
        network.run_for(ms(3000));
        network
    }

    fn assert_bounded(self) {
        let mut network = self.start();
        let all = network.running();
        let bytes_of_each =
            |n: &SimulatedNetwork| all.iter().map(|&number| n.bytes_sent_by(number)).collect();
        let sent: Vec<u64> = bytes_of_each(&network);
        println!(
            "{self:?}: {} bytes a process to join, the busiest {}",
            network.traffic().per(self.processes as u64).bytes,
            sent.iter().max().unwrap()
        );
        let has_all_workers = |&number: &usize| network.node(number).table().len() == self.workers;
        assert!(all.iter().all(has_all_workers));

        let before = network.traffic();
        network.run_for(Duration::from_secs(MEASURED_S));
        let idle = network.traffic().since(before);

        let (before, before_of_each) = (network.traffic(), bytes_of_each(&network));
        network.handling_time = Duration::ZERO;
        for update in 0..MEASURED_S * self.updates_per_s {
            let number = update as usize;
            network.publish(number % 3, worker(number, 2));
            network.run_for(ms(1000 / self.updates_per_s));
        }
        let busy = network.traffic().since(before);
        let sent: Vec<u64> = bytes_of_each(&network);
        let growth = sent
            .iter()
            .zip(&before_of_each)
            .map(|(now, then)| now - then);
        let busiest = growth.max().unwrap() / MEASURED_S;

        let process_seconds = MEASURED_S * self.processes as u64;
        let (idle, busy) = (idle.per(process_seconds), busy.per(process_seconds));
        let handling = network.handling_time / process_seconds as u32;
        println!(
            "{self:?}, a process and second: idle {idle:?}, with updates {busy:?}, the busiest {busiest} bytes, \
             {handling:?} of handling"
        );
        assert!(busy.bytes < 10_000, "{self:?}: {busy:?}");
        assert!(busiest < 20_000, "{self:?}: the busiest {busiest} bytes");
        assert!(network.largest_message <= 300 << 10);
    }
}

#[test]
fn traffic_of_a_process_does_not_grow_with_the_fleet() {
    for (processes, workers, updates_per_s) in
        [(3, 30, 1), (30, 200, 2), (100, 700, 4), (390, 2700, 10)]
    {
        let load = Load {
            processes,
            workers,
            updates_per_s,
        };
        load.assert_bounded();
    }
}

#[test]
fn a_joining_process_receives_the_table_once() {
    const WORKERS: usize = 2700;
    let mut network = SimulatedNetwork::fleet(10, 30, 3);
    network.run_for(ms(2000));
    for number in 0..WORKERS {
        network.publish(number % 3, worker(number, 1));
    }
    network.run_for(ms(4000));
    network.largest_message = 0;
    let before = network.traffic();
    network.add(30, "zone1", ms(0));
    let start = network.now;
    let is_complete =
        |n: &SimulatedNetwork| n.running().len() == 31 && n.node(30).table().len() == WORKERS;
    assert!(network.run_until(start + ms(2000), is_complete));
    println!("complete after {:?}", network.now - start);
    assert!(network.node(30).joined());
    network.run_for(ms(2000));
    let bytes = network.traffic().since(before).bytes;
    println!(
        "joining: {bytes} bytes in all, largest message {}",
        network.largest_message
    );
    let table_bytes: usize = (0..WORKERS)
        .map(|number| worker(number, 1).body.len() + 40)
        .sum();
    assert!(
        bytes < 3 * table_bytes as u64 / 2 + 200_000,
        "{bytes} bytes for a table of {table_bytes}"
    );
    assert!(network.largest_message <= 260 << 10);
}
