//! Bytes a process and second, as the fleet and the table grow.

mod common;

use common::{Simulation, ms};
use mintlb_common::record::{Record, WorkerRecord, WorkerState};
use std::time::Duration;

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

#[test]
fn traffic_does_not_grow_with_the_fleet() {
    for (count, workers, a_second) in [(3, 30, 1), (30, 200, 2), (100, 700, 4), (390, 2700, 10)] {
        let mut simulation = Simulation::new(9, &[0, 1, 2]);
        (0..3).for_each(|number| simulation.add(number, &format!("zone{number}"), ms(0)));
        simulation.run_for(ms(50));
        (0..workers).for_each(|number| simulation.publish(number % 3, worker(number, 1)));
        for number in 3..count {
            let delay = ms(simulation.rng.u64(..300));
            simulation.add(number, &format!("zone{}", number % 9), delay);
        }
        simulation.run_for(ms(3000));
        let all = simulation.running();
        let most = all
            .iter()
            .map(|&number| simulation.sent_by(number))
            .max()
            .unwrap();
        println!(
            "{count:4} processes join with {workers} workers known: {} bytes a process, the busiest {most}",
            simulation.sent().0 / count as u64
        );
        assert!(
            all.iter()
                .all(|&number| simulation.node(number).table().len() == workers)
        );
        let idle = simulation.sent();
        simulation.run_for(ms(10_000));
        let idle = (simulation.sent().0 - idle.0, simulation.sent().1 - idle.1);
        let before: Vec<_> = all
            .iter()
            .map(|&number| simulation.sent_by(number))
            .collect();
        let (bytes, messages) = simulation.sent();
        simulation.handling = Duration::ZERO;
        for round in 0..10 * a_second {
            simulation.publish(round % 3, worker(round, 2));
            simulation.run_for(ms(1000 / a_second as u64));
        }
        let (bytes, messages) = (simulation.sent().0 - bytes, simulation.sent().1 - messages);
        let most = all
            .iter()
            .map(|&number| simulation.sent_by(number) - before[number])
            .max()
            .unwrap();
        let each = 10 * count as u64;
        println!(
            "{count:4} processes, {workers} workers: idle {} bytes {} messages; at {a_second} records/s {} bytes \
             {} messages; the busiest {} bytes; {:?} of handling; a process and second",
            idle.0 / each,
            idle.1 / each,
            bytes / each,
            messages / each,
            most / 10,
            simulation.handling / each as u32
        );
        assert!(
            bytes / each < 10_000,
            "{count} processes: {} bytes a process and second",
            bytes / each
        );
        assert!(
            most / 10 < 20_000,
            "{count} processes: the busiest {} bytes a second",
            most / 10
        );
        assert!(simulation.largest_message <= 300 << 10);
    }
}

#[test]
fn a_newcomer_gets_the_table_once() {
    let mut simulation = Simulation::fleet(10, 30, 3, ms(300));
    simulation.run_for(ms(2000));
    (0..2700).for_each(|number| simulation.publish(number % 3, worker(number, 1)));
    simulation.run_for(ms(4000));
    simulation.largest_message = 0;
    let (bytes, _) = simulation.sent();
    simulation.add(30, "zone1", ms(0));
    let until = simulation.now + ms(2000);
    let complete = |s: &Simulation| s.running().len() == 31 && s.node(30).table().len() == 2700;
    assert!(simulation.run_until(until, complete));
    println!("complete after {:?}", simulation.now + ms(2000) - until);
    assert!(simulation.node(30).joined());
    simulation.run_for(ms(2000));
    let bytes = simulation.sent().0 - bytes;
    println!(
        "a newcomer: {bytes} bytes in all, longest message {}",
        simulation.largest_message
    );
    let table: usize = (0..2700)
        .map(|number| worker(number, 1).body.len() + 40)
        .sum();
    assert!(
        bytes < 3 * table as u64 / 2 + 200_000,
        "{bytes} bytes for a table of {table}"
    );
    assert!(simulation.largest_message <= 260 << 10);
}
