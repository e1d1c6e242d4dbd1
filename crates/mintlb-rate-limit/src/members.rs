//! Filters received datagrams by sender: accepts only those of a member's current incarnation, from its address. A
//! datagram that is dropped here reduces how much of the budgets is used, and never breaks the limit.

use crate::message::{Datagram, MemberId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// It can't be decoded: too long, truncated, or another protocol.
    Malformed,
    /// It is of another fleet, or for another member.
    Misaddressed,
    /// Its source address is not that of the member that it names as its sender.
    WrongSource,
    /// It is of an incarnation before the sender's current one.
    StaleIncarnation,
}

/// A member whose clock was set back before it restarted has a smaller incarnation. It is accepted after this many
/// leases without a message of the greater one.
const INCARNATION_TIMEOUT_LEASES: f64 = 4.0;

pub struct Members {
    fleet: u64,
    own_id: MemberId,
    addresses: BTreeMap<MemberId, SocketAddr>,
    /// `INCARNATION_TIMEOUT_LEASES` in seconds.
    incarnation_timeout: f64,
    /// The current incarnation of each member, and when a datagram of it was last received.
    incarnations: BTreeMap<MemberId, (u64, f64)>,
}

impl Members {
    pub fn new(
        fleet: u64,
        own_id: MemberId,
        addresses: BTreeMap<MemberId, SocketAddr>,
        lease: f64,
    ) -> Members {
        Members {
            fleet,
            own_id,
            addresses,
            incarnation_timeout: INCARNATION_TIMEOUT_LEASES * lease,
            incarnations: BTreeMap::new(),
        }
    }

    pub fn address(&self, id: MemberId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Decodes a datagram, or tells why it is dropped. Incarnations increase with each restart, so a replayed datagram
    /// can't pass for one of a later incarnation and so shut that one out.
    pub fn decode(
        &mut self,
        now: f64,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<Datagram, DropReason> {
        let datagram = Datagram::decode(bytes).ok_or(DropReason::Malformed)?;
        if datagram.fleet != self.fleet
            || datagram.to != self.own_id
            || datagram.from == self.own_id
        {
            return Err(DropReason::Misaddressed);
        }
        if self.address(datagram.from) != Some(from) {
            return Err(DropReason::WrongSource);
        }
        let (incarnation, received_at) = self
            .incarnations
            .entry(datagram.from)
            .or_insert((datagram.incarnation, now));
        if datagram.incarnation < *incarnation && now < *received_at + self.incarnation_timeout {
            return Err(DropReason::StaleIncarnation);
        }
        (*incarnation, *received_at) = (datagram.incarnation, now);
        Ok(datagram)
    }
}
