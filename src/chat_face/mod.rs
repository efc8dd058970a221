//! The product's own interface: chats and service calls by templates.
//!
//! A request goes `callers → request → choose → dispatch → relay`; the rest
//! is what those steps know and keep.

pub(crate) mod callers;
pub(crate) mod chat;
pub mod choose;
pub mod decision;
pub(crate) mod dispatch;
pub mod estimate;
pub(crate) mod gossip;
pub mod guard;
pub(crate) mod limit;
pub(crate) mod load;
pub mod membership;
pub(crate) mod operators;
pub(crate) mod platform_list;
pub(crate) mod queue;
pub(crate) mod rating;
pub(crate) mod relay;
pub(crate) mod request;
pub mod server;
pub mod session;
pub(crate) mod statement;
pub(crate) mod steward;
pub mod tally;
pub mod template;
pub(crate) mod unresponsive;
pub mod view;
pub(crate) mod vm;
