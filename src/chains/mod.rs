//! The way of an agreement: chains of keys in a key-value store.
//!
//! * [`store`], [`memory_store`]: the service, and one in memory for tests.
//! * [`chain`], [`lease`]: the two mechanisms built on it.
//! * [`configuration`], [`configuration_sync`]: templates and versions.
//! * [`claim`], [`claims`], [`slot`]: running a keyed request at most once.
//! * [`bill`], [`ledger`]: billing each request once.

pub mod bill;
pub mod chain;
pub mod claim;
pub(crate) mod claims;
pub mod configuration;
pub(crate) mod configuration_sync;
pub(crate) mod lease;
pub(crate) mod ledger;
#[cfg(test)]
pub(crate) mod memory_store;
pub(crate) mod slot;
pub mod store;
