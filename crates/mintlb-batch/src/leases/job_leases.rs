//! The leases of one job.

use super::LEASE_DURATION;
use crate::messages::DispatcherId;
use crate::timestamp::Timestamp;

/// Stands for an item without an owner.
const NOBODY: DispatcherId = 0;

/// The lease of each item of a job.
///
/// Each lease expires on its own. An item whose grant was lost on its way to the dispatcher is
/// renewed by nobody, and becomes free again even while the dispatcher runs other items of the job.
#[derive(Clone, Debug, Default)]
pub(super) struct JobLeases {
    items: Vec<ItemLease>,
}

/// The lease of an item.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ItemLease {
    pub(super) owner: DispatcherId,
    renewed_at: Timestamp,
}

impl ItemLease {
    pub(super) fn is_live(&self, now: Timestamp) -> bool {
        self.owner != NOBODY && now.saturating_since(self.renewed_at) < LEASE_DURATION
    }

    pub(super) fn grant(&mut self, owner: DispatcherId, now: Timestamp) {
        (self.owner, self.renewed_at) = (owner, now);
    }
}

impl JobLeases {
    /// All of a job's items, leased to one owner.
    pub(super) fn all(items: usize, owner: DispatcherId, now: Timestamp) -> JobLeases {
        let mut lease = ItemLease::default();
        lease.grant(owner, now);
        JobLeases {
            items: vec![lease; items],
        }
    }

    pub(super) fn item(&self, item: u32) -> ItemLease {
        self.items.get(item as usize).copied().unwrap_or_default()
    }

    pub(super) fn item_mut(&mut self, item: u32) -> &mut ItemLease {
        if self.items.len() <= item as usize {
            self.items.resize(item as usize + 1, ItemLease::default());
        }
        &mut self.items[item as usize]
    }

    pub(super) fn release(&mut self, owner: DispatcherId) {
        let leases = self.items.iter_mut().filter(|lease| lease.owner == owner);
        leases.for_each(|lease| lease.owner = NOBODY);
    }

    pub(super) fn release_item(&mut self, item: u32, owner: DispatcherId) {
        let lease = self.items.get_mut(item as usize);
        if let Some(lease) = lease.filter(|lease| lease.owner == owner) {
            lease.owner = NOBODY;
        }
    }
}
