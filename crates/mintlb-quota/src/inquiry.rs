//! Decides which owners of a tenant's slices a dispatcher asks to admit one request, and when it gives up.

use crate::messages::RateLimit;
use std::time::Duration;

/// A request is rejected once this many owners are backlogged, or all have rejected it.
const MAX_BACKLOGGED: usize = 2;

/// Asks one owner after the other until one admits the request.
#[derive(Debug)]
pub struct Inquiry<Owner> {
    /// The owners that were not asked yet.
    owners: std::vec::IntoIter<Owner>,
    /// The time in which a slice gains one token.
    token_interval: Duration,
    /// The owners that have just rejected other requests as well: the next tokens of their slices are expected to go to
    /// those.
    backlogged: usize,
    /// The earliest time to retry that an owner returned.
    retry_after: Option<Duration>,
}

impl<Owner> Inquiry<Owner> {
    /// An inquiry at the owners of all slices of a limit, in the order in which they will be asked.
    pub fn new(owners: Vec<Owner>, limit: &RateLimit) -> Inquiry<Owner> {
        let interval = Duration::try_from_secs_f64(owners.len() as f64 / limit.rate);
        Inquiry {
            owners: owners.into_iter(),
            token_interval: interval.unwrap_or(Duration::MAX),
            backlogged: 0,
            retry_after: None,
        }
    }

    /// The owner to ask next; `None` once the request has to be rejected.
    pub fn next_owner(&mut self) -> Option<Owner> {
        match self.backlogged < MAX_BACKLOGGED {
            true => self.owners.next(),
            false => None,
        }
    }

    /// Records that an owner's slice has no token, and after what time it expects one for this request.
    pub fn on_rejection(&mut self, retry_after: Duration) {
        self.backlogged += usize::from(retry_after > self.token_interval);
        let earliest = self
            .retry_after
            .map_or(retry_after, |known| known.min(retry_after));
        self.retry_after = Some(earliest);
    }

    /// The time after which a retry may be admitted; `None` if no owner has rejected the request.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
