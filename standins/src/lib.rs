//! Stand-ins for the platform, the engines and the services of a site, a
//! launcher of small fleets of real processes, and a checker that compares
//! what callers saw with what really ran.

#![warn(missing_docs)]

pub mod caller;
pub mod check;
pub mod demo;
pub mod documents;
pub mod engine;
pub mod fleet;
pub mod gateway_site;
pub mod http_raw;
pub mod kv;
pub mod list;
pub mod measure;
pub mod platform_store;
pub mod process;
pub mod proxy;
pub mod rating;
pub mod scripted;
pub mod service;
pub mod site;
pub mod soak;
pub mod traffic;
pub mod web;
