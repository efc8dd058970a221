//! wip
pub mod chain;
pub mod clock;
pub mod configuration;
pub mod error;
pub mod http_client;
pub mod id;
pub mod secret;
pub mod session;
pub mod settings;
pub mod store;
pub mod template;
pub mod unit;
mod bucket;
#[cfg(test)]
mod memory_store;
mod task;
