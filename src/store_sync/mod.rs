//! The way of a fact: from the platform's store to every VM.
//!
//! * [`knowledge`]: what this VM knows, and how fresh that is.
//! * [`knowledge_pack`]: all of it, packed for a VM that starts.
//! * [`peers`]: the other VMs, and which of them watch the store.
//! * [`gossip`]: beats, news and questions between VMs.
//! * [`freshness`]: when a VM may go by another's word.
//! * [`route`]: the operators' configuration as facts bring it.

pub(crate) mod freshness;
pub(crate) mod gossip;
pub mod knowledge;
pub(crate) mod knowledge_pack;
pub(crate) mod peers;
pub mod route;
