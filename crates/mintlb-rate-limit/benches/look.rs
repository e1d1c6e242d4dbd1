//! What a look into the purse costs, and a slip from its setting aside to its payment: `cargo bench -p mintlb-rate-limit`.

use criterion::{Criterion, criterion_group, criterion_main};
use mintlb_core::budget::{Expense, SharedBudgets};
use mintlb_rate_limit::config::{Config, MemberConfig};
use mintlb_rate_limit::fleet::Fleet;
use std::hint::black_box;

/// So many budgets on the same spend, each with more than is asked for.
fn fleet(budgets: usize) -> Fleet {
    let budget = |i| format!("{{ name = \"b{i}\", limits = \"again\", rate = 1e6, burst = 1e6 }}");
    let budgets: Vec<String> = (0..budgets).map(budget).collect();
    let text = format!(
        "division = \"equal\"\nmembers = {{ a = \"127.93.1.1:0\" }}\nbudgets = [{}]",
        budgets.join(", ")
    );
    let plan = MemberConfig::new(toml::from_str::<Config>(&text).unwrap(), "a").unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let fleet = runtime.block_on(Fleet::start(plan, 1, log)).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(500));
    fleet
}

fn look(criterion: &mut Criterion) {
    let again = Expense { is_retry: true };
    for budgets in [1, 4] {
        let fleet = fleet(budgets);
        criterion.bench_function(&format!("look, {budgets} budgets"), |b| {
            b.iter(|| black_box(fleet.has_available(black_box(again))));
        });
        criterion.bench_function(&format!("first allocation, {budgets} budgets"), |b| {
            b.iter(|| black_box(fleet.has_available(black_box(Expense { is_retry: false }))));
        });
        criterion.bench_function(&format!("slip paid, {budgets} budgets"), |b| {
            b.iter(|| {
                fleet
                    .reserve(again)
                    .is_some_and(|slip| black_box(slip.commit()))
            });
        });
    }
}

criterion_group!(benches, look);
criterion_main!(benches);
