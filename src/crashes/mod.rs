//! What one request may do to the fleet: requests that crash the upstreams
//! that run them, known elsewhere as queries of death.
//!
//! * [`digest`]: knowing a request again by what it holds.
//! * [`end_check`]: finding out whether an upstream has ended.

pub mod digest;
pub(crate) mod end_check;
