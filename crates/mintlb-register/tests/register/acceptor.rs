//! The acceptor of one replica.

use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::message::{Reply, Request, RequestBody};
use mintlb_register::replica_set::ReplicaId;

#[test]
fn a_replica_replies_for_its_own_identity_only() {
    let mut acceptor = Acceptor::new(ReplicaId(7), AcceptorState::default());
    let response = acceptor.handle(Request {
        target: ReplicaId(2),
        body: RequestBody::Read { known: None },
    });
    assert_eq!(
        (response.durable_write, response.reply),
        (
            DurableWrite::Nothing,
            Reply::WrongReplica { id: ReplicaId(7) }
        )
    );
}
