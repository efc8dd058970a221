//! The memory that callers make a VM hold: bounded, and shared between them.
//!
//! Every holder has a claim on the one account of the VM: a connection for its
//! buffers, a request body and an answer for what goes beyond them. A claim is
//! made before the bytes are read, and ends when the last holder drops it.
//!
//! When the account is spent, claims give way on which the caller has to act:
//! to go on sending, or to go on reading. The one that has stood still longest
//! goes first. If all of them move, the body that began last does, so that
//! those that are nearly whole can be completed. What this VM or an upstream
//! is working on never gives way.
//!
//! * [`account`]: what is held, and who gives way.
//! * [`claim`]: the share of one holder.
//! * [`body_buffer`]: a body that is collected within a claim.
//! * [`receive_buffer`]: bounds the bytes that arrive before they are read.

pub(crate) mod account;
pub(crate) mod body_buffer;
pub(crate) mod claim;
pub(crate) mod receive_buffer;
