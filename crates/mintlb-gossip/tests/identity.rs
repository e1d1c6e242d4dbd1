//! Which life of a process is known at an address: what the clock says plays no part, and hearsay of an ended life does
//! not bring it back.

mod common;

use common::{address, ms};
use mintlb_common::incarnation::Incarnation;
use mintlb_gossip::message::Message;
use mintlb_gossip::message::{MemberDescriptor, NeighborReply, NeighborRequest, Probe, Shuffle};
use mintlb_gossip::node::{Input, Node};
use mintlb_gossip::{Member, Role};
use std::time::Duration;
use tokio::time::Instant;

/// The process whose lives are looked at, by its number.
const RESTARTED: usize = 7;

fn life(number: u64) -> Incarnation {
    Incarnation::from_number(number).unwrap()
}

fn member(number: usize, incarnation: u64) -> Member {
    Member {
        address: address(number),
        incarnation: life(incarnation),
        role: Role::Dispatcher,
        node_name: format!("machine{number}, life {incarnation}"),
        zone: "zone0".into(),
    }
}

/// A node with one neighbour, of number 1, that tells it things.
struct Watcher {
    node: Node,
    now: Instant,
}

impl Watcher {
    fn new() -> Watcher {
        let now = Instant::now();
        let mut watcher = Watcher {
            node: Node::new(now, member(0, 1), &[address(2)], 5),
            now,
        };
        let member = member(1, 1);
        watcher.hear(
            1,
            Message::Neighbor(NeighborRequest {
                member,
                high_priority: false,
                sample: Vec::new(),
            }),
        );
        assert!(watcher.node.membership().is_neighbor(address(1)));
        watcher
    }

    fn hear(&mut self, from: usize, message: Message) {
        self.node.handle(
            self.now,
            Input::Received {
                from: address(from),
                body: message.to_bytes(),
            },
        );
    }

    /// The neighbour says that somebody heard of this life so many seconds ago.
    fn hearsay(&mut self, incarnation: u64, age_s: u32) {
        let entries = vec![MemberDescriptor {
            member: member(RESTARTED, incarnation),
            age_s,
        }];
        self.hear(1, Message::ShuffleReply(Shuffle { entries }));
    }

    /// This life itself says that it is there.
    fn on_direct_contact(&mut self, incarnation: u64) {
        self.hear(
            RESTARTED,
            Message::Probe(Probe {
                member: member(RESTARTED, incarnation),
                table_hash: 0,
            }),
        );
    }

    /// The transport has another life at the address.
    fn restarted(&mut self, incarnation: u64) {
        let input = Input::Restarted {
            peer: address(RESTARTED),
            incarnation: life(incarnation),
        };
        self.node.handle(self.now, input);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// The lives that are known of the process.
    fn known(&self) -> Vec<u64> {
        let members = self.node.membership().members(self.now);
        let at = |member: &Member| member.address == address(RESTARTED);
        members
            .into_iter()
            .filter(at)
            .map(|member| member.incarnation.number())
            .collect()
    }
}

/// Both orders of the drawn numbers: as if the clock had gone on, and as if it had been set back.
const ORDERS: [(u64, u64); 2] = [(10, 20), (20, 10)];

#[test]
fn later_hearsay_of_another_life_is_heeded_whatever_its_number() {
    for (former, new) in ORDERS {
        let mut watcher = Watcher::new();
        watcher.hearsay(former, 1);
        assert_eq!(watcher.known(), [former]);
        watcher.pass(ms(3000));
        watcher.hearsay(new, 0);
        assert_eq!(watcher.known(), [new]);
        // What is older than that says nothing.
        watcher.hearsay(former, 2);
        assert_eq!(watcher.known(), [new]);
    }
}

#[test]
fn hearsay_does_not_bring_back_a_life_whose_successor_was_met() {
    for (former, new) in ORDERS {
        let mut watcher = Watcher::new();
        watcher.on_direct_contact(former);
        watcher.pass(ms(2000));
        watcher.on_direct_contact(new);
        // Told by somebody whose messages lay about for long, so that it seems fresh.
        watcher.pass(ms(2000));
        watcher.hearsay(former, 0);
        assert_eq!(watcher.known(), [new]);
        watcher.pass(ms(2000));
        watcher.hearsay(new, 0);
        assert_eq!(watcher.known(), [new]);
    }
}

#[test]
fn a_living_process_refutes_the_word_of_its_end() {
    for (living, wrong) in ORDERS {
        let mut watcher = Watcher::new();
        watcher.on_direct_contact(living);
        watcher.restarted(wrong);
        assert_eq!(watcher.known(), [wrong]);
        watcher.pass(ms(1000));
        watcher.restarted(living);
        watcher.on_direct_contact(living);
        assert_eq!(watcher.known(), [living]);
        watcher.pass(ms(1000));
        watcher.hearsay(wrong, 0);
        assert_eq!(watcher.known(), [living]);
        // Forgotten, as it did not answer, it is heeded again when others tell of it.
        for _ in 0..2 {
            watcher.pass(ms(500));
            watcher.node.handle(watcher.now, Input::Tick);
        }
        assert_eq!(watcher.known(), [0; 0]);
        watcher.pass(ms(2000));
        watcher.hearsay(living, 0);
        assert_eq!(watcher.known(), [living]);
    }
}

#[test]
fn a_neighbour_that_is_another_life_is_no_neighbour_until_it_asks() {
    for (former, new) in ORDERS {
        let mut watcher = Watcher::new();
        let request = |incarnation| {
            let member = member(RESTARTED, incarnation);
            Message::Neighbor(NeighborRequest {
                member,
                high_priority: false,
                sample: Vec::new(),
            })
        };
        watcher.hear(RESTARTED, request(former));
        assert!(watcher.node.membership().is_neighbor(address(RESTARTED)));
        watcher.restarted(new);
        assert!(!watcher.node.membership().is_neighbor(address(RESTARTED)));
        // An answer to what the former life was asked makes no link.
        let member = member(RESTARTED, former);
        watcher.hear(
            RESTARTED,
            Message::NeighborAccepted(NeighborReply {
                member,
                sample: Vec::new(),
                lost_neighbors: Vec::new(),
            }),
        );
        watcher.hear(RESTARTED, request(new));
        assert!(watcher.node.membership().is_neighbor(address(RESTARTED)));
        assert_eq!(watcher.known(), [new]);
    }
}

#[test]
fn ended_lives_are_remembered_in_a_bounded_number() {
    let mut watcher = Watcher::new();
    for incarnation in 1..=1000 {
        watcher.pass(ms(10));
        watcher.on_direct_contact(incarnation);
    }
    assert_eq!(watcher.known(), [1000]);
    watcher.pass(ms(10));
    watcher.hearsay(1, 0);
    watcher.hearsay(999, 0);
    assert_eq!(
        watcher.known(),
        [1],
        "the oldest is forgotten, the latest is not"
    );
}
