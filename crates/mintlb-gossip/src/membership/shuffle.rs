//! Shuffles: neighbors exchange samples of their views.

use super::Membership;
use super::passive_view::PASSIVE_VIEW_CAPACITY;
use crate::effects::Effects;
use crate::message::{MemberDescriptor, Message, Shuffle};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often a sample of the views is exchanged with a random neighbor.
pub const SHUFFLE_INTERVAL: Duration = Duration::from_secs(2);

/// How many members a sample has, besides the sender.
const SAMPLE_SIZE: usize = 7;
/// How many descriptors of one message are used; a correct sender sends fewer.
const MAX_MERGED_DESCRIPTORS: usize = 2 * PASSIVE_VIEW_CAPACITY;

impl Membership {
    /// Handles a sample of another process's views, and answers with one of the own views.
    pub fn on_shuffle(
        &mut self,
        now: Instant,
        from: SocketAddr,
        shuffle: Shuffle,
        effects: &mut Effects,
    ) {
        let reply = Shuffle {
            entries: self.sample(now, from),
        };
        effects.send(from, &Message::ShuffleReply(reply));
        self.merge_descriptors(now, shuffle.entries);
    }

    /// Handles the answer to a shuffle.
    pub fn on_shuffle_reply(&mut self, now: Instant, shuffle: Shuffle) {
        self.merge_descriptors(now, shuffle.entries);
    }

    pub(super) fn send_due_shuffle(&mut self, now: Instant, effects: &mut Effects) {
        if now < self.shuffle_at {
            return;
        }
        self.shuffle_at = now + SHUFFLE_INTERVAL;
        let neighbors: Vec<_> = self.neighbors().collect();
        if let Some(to) = self.rng.choice(neighbors) {
            let entries = self.sample(now, to);
            effects.send(to, &Message::Shuffle(Shuffle { entries }));
        }
    }

    /// A random sample of both views, without the receiver, and the process itself. About half of
    /// the sample are neighbors, more if the passive view is small.
    pub(super) fn sample(&mut self, now: Instant, to: SocketAddr) -> Vec<MemberDescriptor> {
        let is_other = |descriptor: &MemberDescriptor| descriptor.member.address != to;
        let mut sample: Vec<_> = self.active.descriptors(now).filter(is_other).collect();
        let mut passive: Vec<_> = self.passive.descriptors(now).filter(is_other).collect();
        self.rng.shuffle(&mut sample);
        self.rng.shuffle(&mut passive);
        sample.truncate((SAMPLE_SIZE / 2).max(SAMPLE_SIZE.saturating_sub(passive.len())));
        passive.truncate(SAMPLE_SIZE.saturating_sub(sample.len()));
        sample.append(&mut passive);
        sample.push(MemberDescriptor {
            member: self.own.clone(),
            age_s: 0,
        });
        sample
    }

    /// Adds members of another process's sample to the passive view. Information about an ended
    /// incarnation, or older than a failure that this process has noticed, is ignored.
    pub(super) fn merge_descriptors(&mut self, now: Instant, sample: Vec<MemberDescriptor>) {
        for MemberDescriptor { member, age_s } in sample.into_iter().take(MAX_MERGED_DESCRIPTORS) {
            let age = Duration::from_secs(age_s.into());
            let Some(last_received) = now.checked_sub(age) else {
                continue;
            };
            let has_failed_since = self
                .recent_failures
                .has_failed_since(member.address, last_received);
            if !has_failed_since && !self.ended_incarnations.contains(&member) {
                self.add_passive(now, member, last_received);
            }
        }
    }
}
