//! Reads in one round trip.

use crate::support::cluster::Cluster;
use crate::support::{add, address, configuration, replica_at};
use mintlb_register::change::Change;
use mintlb_register::replica_set::ReplicaId;

#[test]
fn a_reader_with_an_outdated_set_finds_the_newest_one() {
    let mut cluster = Cluster::new(3);
    let outdated = cluster.replica_set();
    for (id, replaced) in [(5, 1), (6, 2)] {
        let successor = replica_at(ReplicaId(id), &address(replaced));
        cluster.outcome(add(successor));
        cluster.outcome(Change::LeaveJoint);
        cluster.cut_off(ReplicaId(replaced));
    }
    cluster.outcome(configuration(0, 2, "new"));
    let chosen = cluster.read_from(outdated).expect("conclusive");
    assert_eq!(chosen.state.configuration_version, 2);
}
