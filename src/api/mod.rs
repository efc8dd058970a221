//! The product's own interface: chats and service calls by templates.
//!
//! A request goes `caller_api → request → selection → dispatch → relay`; the rest
//! is what those steps know and keep.

pub(crate) mod caller_api;
pub(crate) mod chat;
pub mod decision;
pub(crate) mod dispatch;
pub mod estimate;
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
pub(crate) mod statement;
pub(crate) mod steward;
pub mod tally;
pub mod template;
pub(crate) mod unresponsive;
pub mod view;
pub(crate) mod vm;
