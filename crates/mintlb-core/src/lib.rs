//! The core of a mintlb scheduler, which knows no protocol.
//!
//! ```text
//!   fronts ──Arrival──> reducer ──Act──> hands ──Order──> backs
//!                       (decide)
//! ```
//!
//! A front turns what its clients hand in into an [`work::Arrival`] and waits for the one [`work::Answer`]. A back is
//! reached through [`work::Reach`]: it takes an [`work::Order`] and tells the [`work::Back`]. What lies between,
//! [`reducer::Reducer`], alone changes state, on one thread; [`hands::Hands`] carries out what it asks for.

pub mod clock;
pub mod figures;
pub mod hands;
pub mod members;
pub mod permit;
pub mod reducer;
pub mod room;
pub mod spend;
pub mod standing;
pub mod subsystem;
pub mod types;
pub mod work;
