//! Only one process at a time holds a member's address, and with it the member's shares.

use mintlb_core::budget::{Expense, SharedBudgets};
use mintlb_core::subsystem::Subsystem;
use mintlb_rate_limit::config::{Config, MemberConfig};
use mintlb_rate_limit::fleet::Fleet;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

fn config(address: &str, settings: &str, rate: f64) -> MemberConfig {
    let text = format!(
        "{settings}\nmembers = {{ a = {address:?} }}\nbudgets = [{{ name = \"x\", limits = \"again\", rate = {rate:?}, burst = 5.0 }}]"
    );
    MemberConfig::new(toml::from_str::<Config>(&text).unwrap(), "a").unwrap()
}

async fn start(config: MemberConfig) -> Fleet {
    Fleet::start(config, 1, slog::Logger::root(slog::Discard, slog::o!()))
        .await
        .unwrap()
}

/// A process that starts while another has its address holds no share until that one has ended.
#[tokio::test]
async fn only_the_process_with_the_address_holds_shares() {
    let retry = Expense { is_retry: true };
    for (settings, address) in [
        ("division = \"equal\"", "127.93.0.1:7"),
        ("keepers = [\"a\"]\nlease = 0.4", "127.93.0.1:8"),
    ] {
        let old = UdpSocket::bind(address).await.unwrap();
        let new = start(config(address, settings, 100.0)).await;
        sleep(Duration::from_millis(700)).await;
        assert!(
            !new.has_available(retry) && new.reserve(retry).is_none(),
            "{address}: another process has the address"
        );
        // Settings that are changed meanwhile apply once the address is bound.
        new.reconfigure(&config(address, settings, 50.0));
        drop(old);
        let mut waited_ms = 0;
        while !new.has_available(retry) {
            sleep(Duration::from_millis(20)).await;
            waited_ms += 20;
            assert!(
                waited_ms < 4000,
                "{address}: no share 4 s after the address became free"
            );
        }
        assert!(
            new.metrics().contains("edge_router.fleet.x.part=50\n"),
            "{address}: {}",
            new.metrics()
        );
        // A token that is reserved, spent and returned counts as not spent.
        let reservation = new.reserve(retry).unwrap();
        assert!(reservation.commit());
        reservation.refund();
        assert!(
            reservation.commit() && reservation.commit(),
            "{address}: a token is spent once, however often that is asked for"
        );
        assert!(
            new.metrics().contains("edge_router.fleet.x.spent=1\n"),
            "{address}: {}",
            new.metrics()
        );
        new.finish_shutdown();
    }
}
