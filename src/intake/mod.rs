//! What limits the requests that a VM takes on, without input or output.
//!
//! * [`overload`]: which resource of this VM delays what it does.

pub(crate) mod overload;

#[cfg(test)]
mod replay_tests;
