//! The address of a member is held by one process at a time, and with it its parts.

use mintlb_core::budget::{Expense, SharedBudgets};
use mintlb_core::subsystem::Subsystem;
use mintlb_rate_limit::config::{Config, MemberConfig};
use mintlb_rate_limit::fleet::Fleet;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

fn plan(at: &str, more: &str, rate: f64) -> MemberConfig {
    let text = format!(
        "{more}\nmembers = {{ a = {at:?} }}\nbudgets = [{{ name = \"x\", limits = \"again\", rate = {rate:?}, burst = 5.0 }}]"
    );
    MemberConfig::new(toml::from_str::<Config>(&text).unwrap(), "a").unwrap()
}

async fn start(plan: MemberConfig) -> Fleet {
    Fleet::start(plan, 1, slog::Logger::root(slog::Discard, slog::o!()))
        .await
        .unwrap()
}

/// A new version starts beside the old one, holds nothing while that lives, and its part once that has ended.
#[tokio::test]
async fn one_at_a_time() {
    let again = Expense { is_retry: true };
    for (more, at) in [
        ("division = \"equal\"", "127.93.0.1:7"),
        ("keepers = [\"a\"]\nlease = 0.4", "127.93.0.1:8"),
    ] {
        let old = UdpSocket::bind(at).await.unwrap();
        let new = start(plan(at, more, 100.0)).await;
        sleep(Duration::from_millis(700)).await;
        assert!(
            !new.has_available(again) && new.reserve(again).is_none(),
            "{at}: the old one has the address"
        );
        // The file that is taken meanwhile is the one that holds then.
        new.reconfigure(&plan(at, more, 50.0));
        drop(old);
        let mut waited = 0;
        while !new.has_available(again) {
            sleep(Duration::from_millis(20)).await;
            waited += 20;
            assert!(waited < 4000, "{at}: it has the address, and no part");
        }
        assert!(
            new.metrics().contains("edge_router.fleet.x.part=50\n"),
            "{at}: {}",
            new.metrics()
        );
        // Set aside, paid and not taken: as good as never paid.
        let slip = new.reserve(again).unwrap();
        assert!(slip.commit());
        slip.refund();
        assert!(
            slip.commit() && slip.commit(),
            "{at}: paid once, however often it is asked for"
        );
        assert!(
            new.metrics().contains("edge_router.fleet.x.spent=1\n"),
            "{at}: {}",
            new.metrics()
        );
        new.finish_shutdown();
    }
}
