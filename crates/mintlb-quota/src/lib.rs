//! Rate limits of tenants over all dispatchers together.
//!
//! ```text
//!   dispatcher: a request arrives ──AdmitRequest──> an owner of a slice of its tenant's limit
//!                                 <──AdmitResponse──  takes a token, or tells when to come back
//! ```
//!
//! A tenant's limit, a token bucket of `rate_per_s` and `burst_limit`, is divided into equal
//! *slices*. Each slice is a token bucket of its own, owned by one controller: rendezvous hashing
//! picks the owners among the members of the replica set. So nothing has to be agreed between
//! owners, an owner that is down costs its slice only, and a request is admitted by any owner.
//!
//! A token is taken while its request waits, and is never kept for another one. The tokens that are
//! taken in any window are at most `rate * window + burst`, whatever fails; `docs/tenants.md` proves
//! the bound, also for changes of the replica set.
//!
//! - [`slices`]: how a limit is divided, and who owns the slices.
//! - [`token_bucket`]: one slice.
//! - [`slice_counter`]: the slices of all tenants at one owner.
//! - [`inquiry`]: whom a dispatcher asks, and when it gives up.
//! - [`messages`]: requests and responses.
//!
//! All of it is pure: the time since some origin of a monotonic clock is an input.

pub mod inquiry;
pub mod messages;
pub mod slice_counter;
pub mod slices;
pub mod token_bucket;
