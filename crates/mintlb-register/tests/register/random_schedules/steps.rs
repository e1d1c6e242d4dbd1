//! The steps of a schedule, drawn one by one.

use super::network::Message;
use super::operations::OperationKind;
use super::world::{PlantedFault, TOLERATED_FAILURES, World};
use arbtest::arbitrary::{Result as Drawn, Unstructured};
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::acceptor::AcceptorState;
use mintlb_register::change::Change;
use mintlb_register::message::Request;
use mintlb_register::proposal::Input;
use mintlb_register::replica_set::ReplicaId;

/// Proposals and reads in progress at most.
const MAX_OPERATIONS: usize = 4;

impl World {
    /// Draws one step and performs it.
    pub fn step(&mut self, u: &mut Unstructured) -> Drawn<()> {
        match u.int_in_range(0..=99)? {
            0..=59 => self.deliver_any(u),
            60..=63 => self.drop_or_duplicate(u),
            64..=83 => self.sync(u),
            84..=88 => self.expire_timer(u),
            89..=94 => self.start_operation(u),
            95 => self.abandon_operation(u),
            96..=97 => self.lose_power(u),
            _ => self.lose_disk(u),
        }
    }

    fn deliver_any(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        // Mostly in order.
        let index = if u.ratio(3, 4)? {
            0
        } else {
            u.choose_index(self.in_flight.len())?
        };
        if let Some(message) = self.in_flight.remove(index) {
            self.deliver(message);
        }
        Ok(())
    }

    fn drop_or_duplicate(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let index = u.choose_index(self.in_flight.len())?;
        let Some(message) = self.in_flight.remove(index) else {
            return Ok(());
        };
        let is_duplicated = u.ratio(1, 3)?;
        match message {
            message if is_duplicated => {
                self.in_flight.push_front(message.clone());
                self.in_flight.push_back(message);
            }
            Message::Request { operation, request } => {
                self.report_lost_request(operation, &request, u)?;
            }
            Message::Reply { .. } => (),
        }
        Ok(())
    }

    /// The sender of a lost request learns of the loss, or not.
    fn report_lost_request(
        &mut self,
        operation: u64,
        request: &Request,
        u: &mut Unstructured,
    ) -> Drawn<()> {
        if u.ratio(1, 2)? {
            let input = Input::Lost {
                from: request.target,
                ballot: request.body.ballot(),
            };
            self.handle_input(operation, input);
        }
        Ok(())
    }

    fn sync(&mut self, u: &mut Unstructured) -> Drawn<()> {
        let index = u.choose_index(self.machines.len())?;
        let max_count = u.int_in_range(1..=4)?;
        self.finish_syncs(index, max_count);
        Ok(())
    }

    fn expire_timer(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if let Some(operation) = self.draw_operation(u)? {
            self.handle_input(operation, Input::Timer);
        }
        Ok(())
    }

    fn abandon_operation(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if let Some(operation) = self.draw_operation(u)? {
            self.operations.remove(&operation);
        }
        Ok(())
    }

    fn draw_operation(&self, u: &mut Unstructured) -> Drawn<Option<u64>> {
        let operations: Vec<u64> = self.operations.keys().copied().collect();
        if operations.is_empty() {
            return Ok(None);
        }
        u.choose(&operations).copied().map(Some)
    }

    fn start_operation(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if self.operations.len() >= MAX_OPERATIONS {
            return Ok(());
        }
        let change = match u.int_in_range(0..=12)? {
            0..=6 => self.draw_configuration(u)?,
            7..=8 => {
                let index = u.choose_index(self.machines.len())?;
                self.addition_of(index)
            }
            9 => self.draw_removal(u)?,
            10 => Change::LeaveJoint,
            11 => Change::Identity,
            _ => {
                self.start_read();
                return Ok(());
            }
        };
        self.start_proposal(change, self.known_set());
        Ok(())
    }

    fn draw_removal(&self, u: &mut Unstructured) -> Drawn<Change> {
        let set = &self.newest().replicas;
        let ids: Vec<ReplicaId> = set.members().map(|replica| replica.id).collect();
        Ok(Change::RemoveReplica {
            id: *u.choose(&ids)?,
            tolerance: FaultTolerance::of_machines(TOLERATED_FAILURES),
        })
    }

    /// A new configuration, on the current version or on an older one.
    fn draw_configuration(&mut self, u: &mut Unstructured) -> Drawn<Change> {
        let current = self.newest().configuration_version;
        let base = if u.ratio(7, 8)? {
            current
        } else {
            current.saturating_sub(u.int_in_range(1..=3)?)
        };
        self.last_version += u.int_in_range(1..=3)?;
        let version = self.last_version;
        Ok(Change::SetConfiguration {
            base,
            version,
            body: version.to_be_bytes().to_vec(),
            tolerance: FaultTolerance::of_machines(TOLERATED_FAILURES),
            durability_suffices: false,
        })
    }

    fn lose_power(&mut self, u: &mut Unstructured) -> Drawn<()> {
        let index = u.choose_index(self.machines.len())?;
        self.machines[index].restart();
        Ok(())
    }

    /// A machine loses its disk, if the set tolerates that.
    fn lose_disk(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if !self.tolerates_lost_disk() {
            return Ok(());
        }
        let index = u.choose_index(self.machines.len())?;
        let id = self.machines[index].id();
        // A set that may be chosen yet may contain replicas with lost disks that the newest one no longer contains.
        if self.may_newer_set_be_chosen() {
            return Ok(());
        }
        let new_id = ReplicaId(self.next_number());
        let new_id = match self.planted {
            PlantedFault::KeepsIdentityOfLostDisk => id,
            PlantedFault::None | PlantedFault::RepliesBeforeSync => {
                self.lost.push(id);
                new_id
            }
        };
        self.stats.lost_disks += 1;
        self.abandon_additions_of(id);
        let machine = &mut self.machines[index];
        machine.has_lost_disk = true;
        machine.restart_with(new_id, AcceptorState::default());
        Ok(())
    }

    /// Whether the newest set is large enough, and no earlier loss is still to be repaired.
    fn tolerates_lost_disk(&self) -> bool {
        let set = &self.newest().replicas;
        let lost_members = set
            .members()
            .filter(|replica| self.lost.contains(&replica.id))
            .count();
        let returning = self
            .machines
            .iter()
            .filter(|machine| machine.has_lost_disk && set.current_replica(machine.id()).is_none())
            .count();
        set.remains_available_after(&FaultTolerance::of_machines(TOLERATED_FAILURES))
            && lost_members.max(returning) < TOLERATED_FAILURES
    }

    /// Whether a replica has accepted a set that is newer than the newest one known to be chosen.
    fn may_newer_set_be_chosen(&self) -> bool {
        let epoch = self.newest().replicas.epoch;
        self.machines
            .iter()
            .filter_map(|machine| machine.accepted_set())
            .any(|set| set.epoch > epoch)
    }

    /// The process that proposed to add a replica is gone with the replica's disk.
    fn abandon_additions_of(&mut self, id: ReplicaId) {
        self.operations.retain(|_, operation| {
            !matches!(
                &operation.kind,
                OperationKind::Proposal {
                    change: Change::AddReplica { replica, .. },
                    ..
                } if replica.id == id
            )
        });
    }
}
