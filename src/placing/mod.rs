//! Where a request goes, how it waits, and when it is turned away.
//!
//! * [`pool`]: the upstreams as this VM sees them, and the choice among them;
//!   `pool/told`: what upstreams say and VMs tell of them.
//! * [`member`]: one of them.
//! * [`signals`]: what an upstream says of itself in an answer;
//!   [`reported_state`]: what is kept of that for its life.
//! * [`seen`]: what this VM tells the others of them.
//! * [`admission`]: how long the line at an upstream may be.
//! * [`cascade`]: which model answers.
//! * [`retry_window`]: how many further attempts are left.
//! * [`warm_up`]: what an upstream gets while it is cold; [`rate_limit`]: what
//!   it gets while it names a limit; [`owners`]: which VMs share that.
//! * [`health`], [`hall_way`]: whether an upstream, or the way to a data hall,
//!   is fit for requests.
//! * [`upstream`]: the load of one upstream.

pub(crate) mod admission;
pub(crate) mod cascade;
pub mod hall_way;
pub mod health;
pub mod member;
pub(crate) mod owners;
pub mod pool;
pub(crate) mod rate_limit;
pub mod reported_state;
pub mod retry_window;
pub(crate) mod seen;
pub mod signals;
pub mod upstream;
pub mod warm_up;
