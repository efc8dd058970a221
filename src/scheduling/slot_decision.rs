//! What the coordinator decides on a request for a slot.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::message::ShortHash;

/// The decision on a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request may be sent to this upstream.
    Granted(ShortHash),
    /// The request waits; its entry VM must ask again within
    /// [`ASK_AGAIN_WITHIN`].
    ///
    /// [`ASK_AGAIN_WITHIN`]: super::slot_queue::ASK_AGAIN_WITHIN
    Waiting,
    /// The request gets no slot, and its ticket is forgotten.
    Refused {
        /// When its caller should return.
        retry_after: Duration,
        /// Whether the request will start at about that time. Otherwise the
        /// time is an estimate.
        has_place: bool,
        /// Why it was refused.
        reason: RefusalReason,
    },
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It cannot be served before its deadline.
    DeadlineUnreachable,
    /// As many requests wait as the queue holds.
    QueueFull,
    /// It names no upstream.
    NoUpstream,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalReason::DeadlineUnreachable => "the deadline cannot be met",
            RefusalReason::QueueFull => "the queue of the service is full",
            RefusalReason::NoUpstream => "no upstream may take the request",
        })
    }
}
