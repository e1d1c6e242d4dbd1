//! HTTP/1.1 round the core of a mintlb scheduler: the front towards clients, the back towards workers, and the
//! list service.

pub mod causes;
pub mod dial;
pub mod front;
pub mod last_byte;
pub mod limits;
pub mod lines;
pub mod list;
pub mod places;
pub mod seen;
pub mod socket;
pub mod worker;
