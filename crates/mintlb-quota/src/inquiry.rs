//! The questions of one request to the owners of its tenant's slices.

use crate::messages::RateLimit;
use std::time::Duration;

/// A request is rejected once this many owners are crowded, or all are used up.
const MAX_CROWDED: usize = 2;

/// Asks one owner after the other until one admits the request.
#[derive(Debug)]
pub struct Inquiry<Owner> {
    /// Those that were not asked yet.
    owners: std::vec::IntoIter<Owner>,
    /// The time in which a slice gets a token.
    token_interval: Duration,
    /// Owners that have rejected others just before: the next tokens of their slices are spoken for.
    crowded: usize,
    retry_after: Option<Duration>,
}

impl<Owner> Inquiry<Owner> {
    /// Asks these owners, in this order: one for each slice of the limit.
    pub fn new(owners: Vec<Owner>, limit: &RateLimit) -> Inquiry<Owner> {
        let interval = Duration::try_from_secs_f64(owners.len() as f64 / limit.rate);
        Inquiry {
            owners: owners.into_iter(),
            token_interval: interval.unwrap_or(Duration::MAX),
            crowded: 0,
            retry_after: None,
        }
    }

    /// The owner to ask now; `None` once the request has to be rejected.
    pub fn next_owner(&mut self) -> Option<Owner> {
        match self.crowded < MAX_CROWDED {
            true => self.owners.next(),
            false => None,
        }
    }

    /// Records that the slice of an owner is used up.
    pub fn on_rejection(&mut self, retry_after: Duration) {
        self.crowded += usize::from(retry_after > self.token_interval);
        let earliest = self
            .retry_after
            .map_or(retry_after, |known| known.min(retry_after));
        self.retry_after = Some(earliest);
    }

    /// When the request may come back, if an owner has rejected it.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
