//! The public HTTP API: chat completions and service calls by templates.
//!
//! A request passes through `caller_api`, `request`, `selection`, `queue`,
//! `dispatch` and, if it is streamed, `relay`. The other modules hold the
//! state that these steps use.

pub(crate) mod caller_api;
pub(crate) mod caller_transport;
pub(crate) mod chat;
pub(crate) mod crashes;
pub mod decision;
pub(crate) mod dispatch;
pub mod estimate;
mod event_reader;
pub(crate) mod gossip;
pub(crate) mod load;
pub mod membership;
pub(crate) mod operators;
pub(crate) mod organisation_limits;
pub(crate) mod platform_list;
pub(crate) mod queue;
pub(crate) mod rating;
pub(crate) mod relay;
pub(crate) mod request;
pub mod rollout_guard;
pub mod selection;
pub mod server;
pub mod session;
pub(crate) mod signals;
pub(crate) mod steward;
pub mod tally;
pub mod template;
pub(crate) mod unresponsive;
pub mod view;
pub(crate) mod vm;
