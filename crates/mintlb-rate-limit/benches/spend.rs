//! The cost of checking the budgets before an attempt, and of reserving and spending their tokens:
//! `cargo bench -p mintlb-rate-limit`.

use criterion::{Criterion, criterion_group, criterion_main};
use mintlb_core::budget::{Expense, SharedBudgets};
use mintlb_rate_limit::config::{Config, MemberConfig};
use mintlb_rate_limit::fleet::Fleet;
use std::hint::black_box;

/// A fleet of one member with `budgets` budgets for the same spend, each larger than what the benchmarks use.
fn fleet(budgets: usize) -> Fleet {
    let budget = |i| format!("{{ name = \"b{i}\", limits = \"again\", rate = 1e6, burst = 1e6 }}");
    let budgets: Vec<String> = (0..budgets).map(budget).collect();
    let text = format!(
        "division = \"equal\"\nmembers = {{ a = \"127.93.1.1:0\" }}\nbudgets = [{}]",
        budgets.join(", ")
    );
    let config = MemberConfig::new(toml::from_str::<Config>(&text).unwrap(), "a").unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let fleet = runtime.block_on(Fleet::start(config, 1, log)).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(500));
    fleet
}

fn spend(criterion: &mut Criterion) {
    let retry = Expense { is_retry: true };
    for budgets in [1, 4] {
        let fleet = fleet(budgets);
        criterion.bench_function(&format!("check, {budgets} budgets"), |b| {
            b.iter(|| black_box(fleet.has_available(black_box(retry))));
        });
        criterion.bench_function(&format!("first allocation, {budgets} budgets"), |b| {
            b.iter(|| black_box(fleet.has_available(black_box(Expense { is_retry: false }))));
        });
        criterion.bench_function(&format!("reserve and spend, {budgets} budgets"), |b| {
            b.iter(|| fleet.reserve(retry).is_some_and(|r| black_box(r.commit())));
        });
    }
}

criterion_group!(benches, spend);
criterion_main!(benches);
