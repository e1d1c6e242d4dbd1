//! Following the primary of the current epoch, and fencing those of earlier ones.

use super::log_transfer::{AppendError, MAX_APPEND_BYTES};
use super::{AfterSync, Effect, Replica, Role};
use crate::epoch_history::{Epoch, LogIndex};
use crate::peer::{Append, PeerMessage};
use crate::timestamp::Timestamp;
use bytes::Bytes;
use mintlb_common::placement::StoreId;

impl Replica {
    pub(super) fn on_append(
        &mut self,
        from: StoreId,
        epoch: Epoch,
        append: Append,
        raw: Bytes,
        now: Timestamp,
    ) {
        if !self.enter_epoch_of(from, epoch) {
            return;
        }
        let echo = append.sent_at;
        let response = match self.apply_append(&append, raw, now) {
            Ok(()) => {
                self.advance_commit_index(append.commit_index.min(append.through));
                PeerMessage::Appended {
                    matched: append.through,
                    echo,
                }
            }
            Err(AppendError::Diverged) => PeerMessage::Diverged {
                log: self.meta.log.clone(),
                echo,
            },
            Err(AppendError::Invalid) => return,
        };
        self.send_after_sync(from, epoch, response);
    }

    pub(super) fn on_new_epoch(&mut self, from: StoreId, epoch: Epoch) {
        if !self.enter_epoch_of(from, epoch) {
            return;
        }
        let log = self.meta.log.clone();
        self.send_after_sync(from, epoch, PeerMessage::EpochAck { log });
    }

    pub(super) fn on_fetch(&mut self, from: StoreId, epoch: Epoch, after: LogIndex) {
        if epoch != self.meta.current_epoch {
            return self.send_fenced(from);
        }
        let range = self.log_range(after, self.meta.log.last(), MAX_APPEND_BYTES);
        let envelope = self.envelope(from, epoch, PeerMessage::Fetched(range.append));
        self.effects
            .push(Effect::SendEntries(envelope, range.entries));
    }

    pub(super) fn on_fenced(&mut self, epoch: Epoch) {
        let own_epoch = match &self.role {
            Role::Follower => return,
            Role::TakingOver(takeover) => takeover.epoch,
            Role::Primary(primary) => primary.epoch,
        };
        if epoch > own_epoch {
            self.step_down();
        }
    }

    /// Enters the epoch of a message's sender; false if the sender is to be fenced instead.
    fn enter_epoch_of(&mut self, from: StoreId, epoch: Epoch) -> bool {
        if epoch < self.meta.current_epoch {
            self.send_fenced(from);
            return false;
        }
        if epoch > self.meta.current_epoch {
            self.enter_epoch(epoch);
            self.step_down();
        }
        true
    }

    fn send_fenced(&mut self, to: StoreId) {
        self.send_after_sync(to, self.meta.current_epoch, PeerMessage::Fenced);
    }

    fn send_after_sync(&mut self, to: StoreId, epoch: Epoch, message: PeerMessage) {
        let envelope = self.envelope(to, epoch, message);
        self.after_sync(AfterSync::Send(envelope));
    }
}
