//! Agreement between VMs and durable state, built on chains of keys in a
//! key-value store.
//!
//! * [`store`], `memory_store`: the client of the store, and an in-memory
//!   store for tests.
//! * [`chain`], [`lease`]: append-only logs and leases, on which the other
//!   modules are built.
//! * [`configuration`], [`configuration_sync`]: templates and versions, and
//!   how VMs keep them up to date.
//! * [`claim`], [`claims`], [`slot`]: running a request with an
//!   `Idempotency-Key` at most once.
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
