//! One message is lost, duplicated, delayed or corrupted, whichever it is.

mod network;

use arbtest::arbtest;
use network::{MessageFault, SimulatedNetwork, ms, record};

#[test]
fn a_faulty_message_prevents_no_convergence() {
    arbtest(|input| {
        let seed = input.int_in_range(0..=1000)?;
        let count = input.int_in_range(3..=8)?;
        let mut network = SimulatedNetwork::fleet(seed, count, 2);
        let nth = input.int_in_range(1..=600)?;
        let fault = *input.choose(&[
            MessageFault::Drop,
            MessageFault::Duplicate,
            MessageFault::Delay(ms(30)),
            MessageFault::Delay(ms(700)),
            MessageFault::Delay(ms(3000)),
        ])?;
        network.plan_fault(nth, fault);
        for version in 1..=8 {
            let publisher = input.int_in_range(0..=count - 1)?;
            network.run_for(ms(input.int_in_range(50..=600)?));
            if network.running().contains(&publisher) {
                network.publish(publisher, record("placement", version));
            }
        }
        network.run_for(ms(4500));
        let all = network.running();
        let newest = network.newest_version("placement");
        assert_eq!(
            network.count_lacking(&all, "placement", newest),
            0,
            "{fault:?} of message {nth}"
        );
        assert!(network.is_connected() && network.versions_only_increase());
        assert_eq!(network.one_sided_links(), 0, "{fault:?} of message {nth}");
        Ok(())
    })
    .budget_ms(8000);
}

#[test]
fn a_lost_message_is_repaired_soon() {
    arbtest(|input| {
        let mut network = SimulatedNetwork::fleet(input.int_in_range(0..=1000)?, 8, 2);
        network.run_for(ms(3000));
        let fault = *input.choose(&[MessageFault::Drop, MessageFault::Delay(ms(5000))])?;
        network.plan_fault(input.int_in_range(1..=30)?, fault);
        network.publish(input.int_in_range(0..=7)?, record("placement", 1));
        let all = network.running();
        let took = network.time_until_known(&all, "placement", 1, ms(1500));
        assert!(
            took.is_some(),
            "{fault:?}: {} lack it",
            network.count_lacking(&all, "placement", 1)
        );
        Ok(())
    })
    .budget_ms(5000);
}

#[test]
fn a_corrupted_message_prevents_no_convergence() {
    arbtest(|input| {
        let mut network = SimulatedNetwork::fleet(input.int_in_range(0..=1000)?, 5, 2);
        let nth = input.int_in_range(1..=300)?;
        let bit = input.int_in_range(0..=4000)?;
        network.plan_fault(nth, MessageFault::FlipBit(bit));
        network.run_for(ms(3000));
        for version in 1..=3 {
            network.publish(2, record("placement", version));
        }
        network.run_for(ms(4000));
        let all = network.running();
        let newest = network.newest_version("placement");
        assert_eq!(
            network.count_lacking(&all, "placement", newest),
            0,
            "message {nth}"
        );
        assert!(network.is_connected() && network.versions_only_increase());
        Ok(())
    })
    .budget_ms(5000);
}
