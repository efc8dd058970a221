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
//! * [`staleness`]: how old the copy may become, and who renews its proof
//!   when; [`catch_up`]: whether this VM is known to lack changes.
//! * [`route`]: the operators' configuration.
//! * [`engine`]: the inference engine of a service, as configured.

pub(crate) mod catch_up;
pub mod engine;
pub(crate) mod gossip;
mod held_updates;
pub mod knowledge;
pub(crate) mod knowledge_pack;
pub(crate) mod learned_by;
mod mirror;
mod older_copy;
pub(crate) mod peers;
pub mod route;
pub(crate) mod staleness;
pub mod store_position;
