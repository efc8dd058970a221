//! Load balancing: picks an upstream for each request, limits what each
//! upstream receives, and rejects what cannot be served in time.
//!
//! * [`pool`]: the upstreams as this VM sees them, and the selection of one;
//!   `pool/gossip` exchanges reports about them with other VMs.
//! * `recent_version`: the versions that were listed after another one.
//! * [`member`]: one incarnation of an upstream in the pool.
//! * [`upstream`]: its load, requests in flight and circuit breaker.
//! * [`health`]: its recent successes and failures.
//! * [`hall_link`]: whether the link to a data hall is up.
//! * [`signals`]: what an upstream reports about itself in one response;
//!   [`reported_state`]: what is in force for its incarnation.
//! * [`gossip_outbox`]: the reports that this VM owes the others.
//! * [`slowness`]: how slow it is compared with the others of its service.
//! * [`event_gap`]: how likely prompts interrupt its streams for too long.
//! * [`memory`]: the memory that requests occupy at it.
//! * [`admission`]: how long the queue of an upstream may be.
//! * [`cascade`]: which model answers, and when a request is escalated to a
//!   larger one.
//! * [`retry_window`]: the retry budget; [`retry_reason`]: what takes from it.
//! * [`warm_up`]: limits for cold upstreams; [`rate_limit`]: limits that
//!   upstreams announce; [`owners`]: which VMs share such a limit;
//!   [`permit_lenders`]: which of them lend their share to others.

pub(crate) mod admission;
pub(crate) mod cascade;
pub(crate) mod event_gap;
pub(crate) mod gossip_outbox;
pub mod hall_link;
pub mod health;
pub mod member;
pub(crate) mod memory;
pub(crate) mod owners;
pub(crate) mod paths;
pub(crate) mod permit_lenders;
pub mod pool;
pub(crate) mod rate_limit;
mod recent_version;
pub mod reported_state;
pub(crate) mod retry_reason;
pub mod retry_window;
pub mod signals;
pub(crate) mod slowness;
pub mod upstream;
pub mod warm_up;
