//! Publications that wait for the acknowledgement of a neighbor.

use crate::message::RecordVersion;
use crate::record_id::RecordId;
use tokio::time::Instant;

/// How many publications wait for an acknowledgement; further ones are not retried.
const MAX_PENDING_ACKS: usize = 1024;

#[derive(Debug)]
struct PendingAck {
    published: RecordVersion,
    deadline: Instant,
}

/// Publications that wait for the acknowledgement of a neighbor.
#[derive(Debug, Default)]
pub(crate) struct PendingAcks {
    pending: Vec<PendingAck>,
}

impl PendingAcks {
    /// Waits for an acknowledgement of this version until the deadline.
    pub(crate) fn add(&mut self, published: RecordVersion, deadline: Instant) {
        if self.pending.len() < MAX_PENDING_ACKS {
            self.pending.push(PendingAck {
                published,
                deadline,
            });
        }
    }

    /// A neighbor has this version. True if a publication of it, or of an older one, was pending.
    pub(crate) fn acknowledge(&mut self, version: RecordVersion) -> bool {
        let former_len = self.pending.len();
        self.pending.retain(|pending| {
            let published = pending.published;
            published.id != version.id || published.version > version.version
        });
        self.pending.len() < former_len
    }

    /// Removes the publications whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.pending.retain(|pending| now < pending.deadline);
    }

    /// The records that are to be sent again.
    pub(crate) fn unacknowledged(&self) -> Vec<RecordId> {
        let mut ids: Vec<_> = self
            .pending
            .iter()
            .map(|pending| pending.published.id)
            .collect();
        ids.dedup();
        ids
    }
}
