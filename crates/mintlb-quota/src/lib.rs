//! Rate limits of tenants over all dispatchers together.
//!
//! ```text
//!   dispatcher: a request arrives ──AdmitRequest──>  an owner of a slice of its tenant's limit
//!                                 <──AdmitResponse── takes a token, or returns when to retry
//! ```
//!
//! A tenant's limit, a token bucket of `rate_per_s` and `burst_limit`, is divided into equal
//! *slices*. Each slice is a token bucket of its own, owned by one controller: rendezvous hashing
//! picks the owners among the members of the replica set. So owners need no agreement with one
//! another, an owner that is down costs its slice only, and any owner can admit a request.
//!
//! A token is taken for a waiting request and never kept for a later one. The tokens taken in any
//! window are at most `rate * window + burst` whatever fails; `docs/tenants.md` proves the bound,
//! also for changes of the replica set.
//!
//! - [`slices`]: how a limit is divided, and who owns the slices.
//! - [`token_bucket`]: one slice.
//! - [`slice_counter`]: the slices of all tenants at one owner.
//! - [`inquiry`]: which owners a dispatcher asks, and when it gives up.
//! - [`messages`]: the requests and responses between dispatchers and owners.
//!
//! Nothing here does I/O. Times are inputs: the time since some origin of a monotonic clock.

pub mod inquiry;
pub mod messages;
pub mod slice_counter;
pub mod slices;
pub mod token_bucket;
