//! A model-aware router for model versions and cascades.
//!
//! Lupinseam stands before several language models and versions behind one
//! API. For each request it decides which model and version respond, within
//! the templates that operators set for each organisation.
//!
//! # Overview
//!
//! The router has two interfaces. One is its own, for chat completions and
//! templates, in [`api`]. The other stands before a platform, whose names and
//! formats [`platform`] translates, in [`gateway`]. Both use the same modules,
//! which follow three paths through the VMs:
//!
//! * **Requests** before a platform: [`gateway`] reads a request (`ingress`),
//!   sends it to an upstream (`forward`), relays its events (`relay_events`)
//!   and writes the one log line that explains it (`trace`). [`placing`],
//!   which does no I/O, decides which upstream gets it, how it queues and when
//!   it is rejected. [`scheduling`] shares the slots of a service that has far
//!   fewer of them than there are VMs. [`crashes`] limits the damage that one
//!   request can do to the fleet by crashing the upstreams that run it.
//!   A VM that cannot reach an upstream connects through another one
//!   (`upstream_dialer`, `tunnel`). `caller_memory` bounds what callers make a
//!   VM hold, and decides which of them give way.
//! * **Changes of the platform's store**: [`store_sync`] follows the store and
//!   sends its changes to the other VMs, with a proof of how recent they are.
//! * **Consistent and durable state** is kept in the platform's key-value
//!   service: [`chains`] has the configuration, claims and bills of the
//!   router's own interface, and [`rollouts`] introduces new versions.
//!
//! # Example
//!
//! A template is validated when it is parsed:
//!
//! ```
//! use lupinseam::{api::template::Template, secret::KeyHash};
//!
//! let text = format!(
//!     r#"{{"organisation": "petitions", "key_hashes": ["{}"],
//!         "models": [{{"model": "draft"}}], "quality_target": 0.8}}"#,
//!     KeyHash::of("a bearer key"),
//! );
//! let template = Template::from_json(text.as_bytes())?;
//! assert_eq!(template.quality_target.value(), 0.8);
//! # Ok::<(), lupinseam::error::Error>(())
//! ```

#![warn(missing_docs)]

mod answer;
pub mod api;
mod caller_memory;
pub mod chains;
pub mod cli;
pub mod clock;
pub mod crashes;
mod dialer;
pub mod error;
pub mod event;
mod frame;
pub mod gateway;
pub mod http_client;
pub mod id;
mod intake;
mod log_queue;
mod logging;
pub mod message;
pub mod metrics;
mod peer;
pub mod placing;
#[path = "../platform/mod.rs"]
pub mod platform;
mod rendezvous;
mod request_timeline;
mod retry;
pub mod rollouts;
pub mod scheduling;
pub mod secret;
pub mod settings;
mod sse;
pub mod store_sync;
mod task;
mod token_bucket;
mod tunnel;
pub mod unit;
mod upstream_dialer;
mod vectored_io;
