//! Which incarnation of a process is known at an address: the order of the numbers plays no part,
//! and information of others about an ended incarnation does not bring it back.

mod network;

use mintlb_common::incarnation::Incarnation;
use mintlb_gossip::message::{
    MemberDescriptor, Message, NeighborReply, NeighborRequest, Probe, Shuffle,
};
use mintlb_gossip::node::{Input, Node};
use mintlb_gossip::{Member, Role};
use network::{address, ms};
use std::time::Duration;
use tokio::time::Instant;

/// The process that observes.
const OBSERVER: usize = 0;
/// A neighbor of the observer, which shuffles with it.
const NEIGHBOR: usize = 1;
/// A seed that does not answer.
const SEED: usize = 2;
/// The process whose incarnations are observed.
const RESTARTED: usize = 7;

/// Both orders of two random numbers, as of a former and a new incarnation.
const NUMBER_ORDERS: [(u64, u64); 2] = [(10, 20), (20, 10)];

fn incarnation(number: u64) -> Incarnation {
    Incarnation::from_number(number).unwrap()
}

fn member(process: usize, number: u64) -> Member {
    Member {
        address: address(process),
        incarnation: incarnation(number),
        role: Role::Dispatcher,
        node_name: format!("machine{process}, incarnation {number}"),
        zone: "zone0".into(),
    }
}

fn neighbor_request(member: Member) -> Message {
    Message::Neighbor(NeighborRequest {
        member,
        high_priority: false,
        sample: Vec::new(),
    })
}

fn neighbor_accepted(member: Member) -> Message {
    Message::NeighborAccepted(NeighborReply {
        member,
        sample: Vec::new(),
        lost_neighbors: Vec::new(),
    })
}

/// A node with one neighbor.
struct Observer {
    node: Node,
    now: Instant,
}

impl Observer {
    fn new() -> Observer {
        let now = Instant::now();
        let mut observer = Observer {
            node: Node::new(now, member(OBSERVER, 1), &[address(SEED)], 5),
            now,
        };
        observer.receive(NEIGHBOR, neighbor_request(member(NEIGHBOR, 1)));
        assert!(observer.has_neighbor(NEIGHBOR));
        observer
    }

    fn receive(&mut self, from: usize, message: Message) {
        let input = Input::Received {
            from: address(from),
            body: message.to_bytes(),
        };
        self.node.handle(self.now, input);
    }

    /// The neighbor's sample has this incarnation, with information of this age.
    fn receive_descriptor(&mut self, number: u64, age_s: u32) {
        let descriptor = MemberDescriptor {
            member: member(RESTARTED, number),
            age_s,
        };
        let entries = vec![descriptor];
        self.receive(NEIGHBOR, Message::ShuffleReply(Shuffle { entries }));
    }

    /// This incarnation itself sends a message.
    fn receive_directly(&mut self, number: u64) {
        let probe = Probe {
            member: member(RESTARTED, number),
            table_hash: 0,
        };
        self.receive(RESTARTED, Message::Probe(probe));
    }

    /// The transport has found this incarnation at the address.
    fn on_restarted(&mut self, number: u64) {
        let input = Input::Restarted {
            peer: address(RESTARTED),
            incarnation: incarnation(number),
        };
        self.node.handle(self.now, input);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    fn has_neighbor(&self, process: usize) -> bool {
        self.node.membership().is_neighbor(address(process))
    }

    /// The known incarnations of the process.
    fn known(&self) -> Vec<u64> {
        let members = self.node.membership().members(self.now).into_iter();
        members
            .filter(|member| member.address == address(RESTARTED))
            .map(|member| member.incarnation.number())
            .collect()
    }
}

#[test]
fn newer_information_about_another_incarnation_is_accepted_whatever_its_number() {
    for (former, new) in NUMBER_ORDERS {
        let mut observer = Observer::new();
        observer.receive_descriptor(former, 1);
        assert_eq!(observer.known(), [former]);
        observer.advance(ms(3000));
        observer.receive_descriptor(new, 0);
        assert_eq!(observer.known(), [new]);
        // Older information is ignored.
        observer.receive_descriptor(former, 2);
        assert_eq!(observer.known(), [new]);
    }
}

#[test]
fn information_about_an_incarnation_with_a_known_successor_is_ignored() {
    for (former, new) in NUMBER_ORDERS {
        let mut observer = Observer::new();
        observer.receive_directly(former);
        observer.advance(ms(2000));
        observer.receive_directly(new);
        // A message that was delayed for long seems fresh.
        observer.advance(ms(2000));
        observer.receive_descriptor(former, 0);
        assert_eq!(observer.known(), [new]);
        observer.advance(ms(2000));
        observer.receive_descriptor(new, 0);
        assert_eq!(observer.known(), [new]);
    }
}

#[test]
fn a_running_process_refutes_that_its_incarnation_has_ended() {
    for (running, wrong) in NUMBER_ORDERS {
        let mut observer = Observer::new();
        observer.receive_directly(running);
        observer.on_restarted(wrong);
        assert_eq!(observer.known(), [wrong]);
        observer.advance(ms(1000));
        observer.on_restarted(running);
        observer.receive_directly(running);
        assert_eq!(observer.known(), [running]);
        observer.advance(ms(1000));
        observer.receive_descriptor(wrong, 0);
        assert_eq!(observer.known(), [running]);
        // It does not answer a request and is removed; later information of others is accepted
        // again.
        for _ in 0..2 {
            observer.advance(ms(500));
            observer.node.handle(observer.now, Input::Tick);
        }
        assert_eq!(observer.known(), [0; 0]);
        observer.advance(ms(2000));
        observer.receive_descriptor(running, 0);
        assert_eq!(observer.known(), [running]);
    }
}

#[test]
fn a_restarted_neighbor_is_no_neighbor_until_it_sends_a_request() {
    for (former, new) in NUMBER_ORDERS {
        let mut observer = Observer::new();
        observer.receive(RESTARTED, neighbor_request(member(RESTARTED, former)));
        assert!(observer.has_neighbor(RESTARTED));
        observer.on_restarted(new);
        assert!(!observer.has_neighbor(RESTARTED));
        // The answer to a request to the former incarnation makes no link.
        observer.receive(RESTARTED, neighbor_accepted(member(RESTARTED, former)));
        observer.receive(RESTARTED, neighbor_request(member(RESTARTED, new)));
        assert!(observer.has_neighbor(RESTARTED));
        assert_eq!(observer.known(), [new]);
    }
}

#[test]
fn a_bounded_number_of_ended_incarnations_is_remembered() {
    let mut observer = Observer::new();
    for number in 1..=1000 {
        observer.advance(ms(10));
        observer.receive_directly(number);
    }
    assert_eq!(observer.known(), [1000]);
    observer.advance(ms(10));
    observer.receive_descriptor(1, 0);
    observer.receive_descriptor(999, 0);
    assert_eq!(
        observer.known(),
        [1],
        "the oldest is forgotten, the latest is not"
    );
}
