//! The links to the neighbors: eager ones, which form the broadcast tree, and lazy ones.

use crate::message::RecordVersion;
use std::net::SocketAddr;

/// How many announcements wait for one link; anti-entropy repairs what is beyond.
pub(super) const MAX_QUEUED_IHAVES: usize = 2048;

/// A link to a neighbor.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) address: SocketAddr,
    /// Whether records are pushed on it at once (Plumtree's eager push) or only announced (lazy
    /// push).
    pub(super) eager: bool,
    /// Versions that are to be announced on it (Plumtree's lazy queue).
    pub(super) queued_ihaves: Vec<RecordVersion>,
}

impl Link {
    /// Queues as many announcements as there is capacity for.
    pub(super) fn queue_ihaves(&mut self, versions: &[RecordVersion]) {
        let capacity = MAX_QUEUED_IHAVES.saturating_sub(self.queued_ihaves.len());
        self.queued_ihaves.extend(versions.iter().take(capacity));
    }
}

/// All links of a process.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: Vec<Link>,
}

impl Links {
    /// Adds a link, which is eager; a former one of the same address is replaced.
    pub(super) fn add(&mut self, address: SocketAddr) {
        self.remove(address);
        self.links.push(Link {
            address,
            eager: true,
            queued_ihaves: Vec::new(),
        });
    }

    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.links.retain(|link| link.address != address);
    }

    pub(super) fn contains(&self, address: SocketAddr) -> bool {
        self.links.iter().any(|link| link.address == address)
    }

    pub(super) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut Link> {
        self.links.iter_mut().find(|link| link.address == address)
    }

    /// All links but the one to this address.
    pub(super) fn others_mut(
        &mut self,
        except: Option<SocketAddr>,
    ) -> impl Iterator<Item = &mut Link> {
        self.links
            .iter_mut()
            .filter(move |link| Some(link.address) != except)
    }

    pub(super) fn set_eager(&mut self, address: SocketAddr, eager: bool) {
        if let Some(link) = self.get_mut(address) {
            link.eager = eager;
        }
    }

    /// The addresses of the eager links.
    pub(super) fn eager(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let eager = self.links.iter().filter(|link| link.eager);
        eager.map(|link| link.address)
    }
}
