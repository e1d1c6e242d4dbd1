//! The peers of a process: the incarnation known at each address and the link to it.

use super::incarnations::{DialCheck, IncarnationTable};
use super::link::Link;
use crate::incarnation::Incarnation;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What is known of each peer, by internal address. The two locks are never held together.
#[derive(Default)]
pub struct PeerTable {
    incarnations: Mutex<IncarnationTable>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

impl PeerTable {
    /// The link to a peer. If there is none, `open` creates it for the incarnation known there,
    /// under the lock of the links: two callers never open two links to one peer.
    pub fn link_or_open(
        &self,
        peer: SocketAddr,
        open: impl FnOnce(Option<Incarnation>) -> Arc<Link>,
    ) -> Arc<Link> {
        let expected = self.incarnations.lock().get(peer);
        let mut links = self.links.lock();
        links.entry(peer).or_insert_with(|| open(expected)).clone()
    }

    /// Removes this link to a peer, unless another has taken its place.
    pub fn remove_link(&self, peer: SocketAddr, link: &Arc<Link>) {
        let mut links = self.links.lock();
        let current = links.get(&peer);
        if current.is_some_and(|current| Arc::ptr_eq(current, link)) {
            links.remove(&peer);
        }
    }

    /// Checks a process that dials and claims this address.
    pub fn check_dialer(&self, address: SocketAddr, incarnation: Incarnation) -> DialCheck {
        self.incarnations.lock().check_dialer(address, incarnation)
    }

    /// Whether messages from this incarnation are still accepted.
    pub fn is_current(&self, address: SocketAddr, incarnation: Incarnation) -> bool {
        self.incarnations.lock().is_current(address, incarnation)
    }

    /// Stores the incarnation found at an address. If it replaces another one, the link to the
    /// former one is closed, except for `confirmed_by`, the link on which the new one was found.
    /// Returns whether it replaces another one.
    pub fn confirm(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        confirmed_by: Option<&Arc<Link>>,
    ) -> bool {
        let replaced = self.incarnations.lock().confirm(address, incarnation);
        if replaced && let Some(former) = self.remove_link_unless(address, confirmed_by) {
            former.close();
        }
        replaced
    }

    fn remove_link_unless(
        &self,
        peer: SocketAddr,
        exempt: Option<&Arc<Link>>,
    ) -> Option<Arc<Link>> {
        let mut links = self.links.lock();
        let current = links.get(&peer)?;
        if exempt.is_some_and(|exempt| Arc::ptr_eq(exempt, current)) {
            return None;
        }
        links.remove(&peer)
    }
}
