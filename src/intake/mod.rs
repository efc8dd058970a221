//! How many new connections a VM takes on, without input or output.
//!
//! Load pattern: a load balancer sends most new connections to one VM, which
//! gets several times the requests that its processor and its network link
//! bear. If it accepted them all, each would wait behind all others, and most
//! would end after their callers have left. A connection that is refused
//! reaches another VM within milliseconds.
//!
//! * [`delay_monitor`]: whether this VM delays everything that it does.
//! * [`overload`]: which resource of this VM is exhausted.
//! * [`connection_limiter`]: how many requests a second it takes on then;
//!   [`recent_requests`]: how many it has taken on.
//! * [`connection_capacity`]: how many it may hold at the same time.
//! * [`control`]: what the listener for callers asks.

pub(crate) mod connection_capacity;
pub(crate) mod connection_limiter;
pub(crate) mod control;
pub(crate) mod delay_monitor;
pub(crate) mod overload;
pub(crate) mod recent_requests;

#[cfg(test)]
mod replay_tests;
