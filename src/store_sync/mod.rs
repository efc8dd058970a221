//! Keeps every VM in sync with the platform's store.
//!
//! A few VMs watch the store and push its changes to the others.
//!
//! * [`knowledge`]: this VM's copy of the store, and how recent it is;
//!   [`mirror`]: its keys and values.
//! * [`store_position`]: how far the store has been read; [`older_copy`] and
//!   [`held_updates`]: what a store that came back from an older copy says.
//! * [`learned_by`]: how a change has reached this VM.
//! * [`knowledge_pack`]: a packed snapshot of the copy, for VMs that start.
//! * [`peers`]: the other VMs, and which of them watch the store.
//! * [`gossip`]: heartbeats, pushed changes and requests between VMs.
//! * [`freshness`]: whether a VM that does not watch is up to date.
//! * [`route`]: the operators' configuration.
//! * [`engine`]: the inference engine of a service, as configured.

pub mod engine;
pub(crate) mod freshness;
pub(crate) mod gossip;
mod held_updates;
pub mod knowledge;
pub(crate) mod knowledge_pack;
pub(crate) mod learned_by;
mod mirror;
mod older_copy;
pub(crate) mod peers;
pub mod route;
pub mod store_position;
