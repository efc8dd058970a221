//! Stand-ins for the systems that the router talks to (key-value store,
//! platform store, inference engines, services), a launcher for small fleets
//! of real processes, and a checker that compares the responses that callers
//! received with what the upstreams recorded as run.

#![warn(missing_docs)]

pub mod caller;
pub mod check;
pub mod crowd;
pub mod demo;
pub mod documents;
pub mod engine;
pub mod fleet;
pub mod footprint;
pub mod gateway_site;
pub mod http_raw;
pub mod kv;
pub mod list;
pub mod measure;
pub mod pace;
pub mod platform_store;
pub mod process;
pub mod proxy;
pub mod rating;
pub mod scripted;
pub mod service;
pub mod site;
pub mod slots;
pub mod soak;
pub mod traffic;
pub mod web;
