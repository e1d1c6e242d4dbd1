//! A store over a long day: what it retains on disk and in memory is bounded by the open jobs and
//! by `status_s`.

mod faulty_file;
mod single_replica;

use single_replica::{ITEMS, RESULT_RETENTION, START, SingleReplica, job_name};
use std::time::Duration;

const JOBS: u64 = 600;
/// Bytes of an item's payload and of its text.
const ITEM_BYTES: usize = 3_000;
/// Jobs that finished within the retention and 10 s more, at a job a second, and those that are
/// open.
const MAX_RETAINED_JOBS: usize = 32;
/// All has been reclaimed this long after the retention.
const RECLAIM_DELAY: Duration = Duration::from_secs(11);

/// Runs a job within a second. One in ten is ended half-way.
fn run_job(store: &mut SingleReplica, number: u64) {
    store.submit(number, ITEM_BYTES);
    let is_ended_early = number.is_multiple_of(10);
    let results = if is_ended_early { ITEMS / 2 } else { ITEMS };
    for item in 0..results as u32 {
        store.record(number, item, ITEM_BYTES);
    }
    if is_ended_early {
        store.replica.end(&job_name(number), store.now);
    }
    store.run_effects();
    store.advance(Duration::from_secs(1));
}

#[test]
fn retained_state_is_bounded_over_a_long_day() {
    let directory = tempfile::tempdir().unwrap();
    let mut store = SingleReplica::open(directory.path(), START);
    let mut samples = Vec::new();
    for number in 1..=JOBS {
        run_job(&mut store, number);
        if number.is_multiple_of(100) {
            println!("after {number} jobs: {:?}", store.usage());
            samples.push(store.usage());
        }
    }
    let (first, last) = (&samples[0], &samples[samples.len() - 1]);
    assert!(last.jobs <= MAX_RETAINED_JOBS, "{last:?}");
    assert!(last.entries <= MAX_RETAINED_JOBS * (ITEMS + 1), "{last:?}");
    assert!(
        last.entry_bytes <= first.entry_bytes + (first.entry_bytes >> 3),
        "{first:?} {last:?}"
    );
    assert!(last.file_bytes <= samples[1].file_bytes, "{samples:?}");

    // A restart loads as much, and restarts the retention.
    let now = store.now;
    drop(store);
    let mut restarted = SingleReplica::open(directory.path(), now);
    assert_eq!(restarted.usage().jobs, last.jobs);
    restarted.advance(RESULT_RETENTION + RECLAIM_DELAY);
    let usage = restarted.usage();
    assert_eq!((usage.jobs, usage.entries, usage.entry_bytes), (0, 0, 0));
    println!("all reclaimed: {usage:?}");
}
