//! What an older copy of the store says of what this VM knows.

use std::time::Duration;

use crate::{
    placing::member::{UpstreamEntry, UpstreamState},
    platform::document::{self, KeyKind},
    store_sync::{
        held_updates::{HELD_RECORD_TIME, HELD_RETURN_TIME, HELD_TIME},
        knowledge::StoreUpdate,
    },
};

/// What is done with a value of an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Adoption {
    /// It takes effect.
    Apply,
    /// It is what this VM goes by.
    Known,
    /// It takes effect after this time, unless the key is written before.
    Hold(Duration),
}

/// Returns what is done with the value of a key; `own` is the value that this
/// VM goes by.
pub(super) fn adoption(
    key: &str,
    own: Option<&[u8]>,
    value: &[u8],
) -> Adoption {
    let Some(kind) = KeyKind::parse(key) else { return Adoption::Known };
    match kind {
        // Their updates never take back what is newer. The router must know
        // what the store has of its own values, to write the rest again.
        KeyKind::Configuration
        | KeyKind::RolloutStatus(_)
        | KeyKind::RolloutEvidence(..)
        | KeyKind::Quarantined(_)
        | KeyKind::Peer(_) => Adoption::Apply,
        _ if own == Some(value) => Adoption::Known,
        // The order may have been removed or replaced since.
        KeyKind::RolloutOrder(_) | KeyKind::Evacuation(_) => {
            Adoption::Hold(HELD_TIME)
        }
        KeyKind::Upstream(_) => upstream_adoption(key, own, value),
    }
}

/// Returns what is done with the record of an upstream. It may have left
/// since, whereas one that the copy says is leaving does not come back.
fn upstream_adoption(key: &str, own: Option<&[u8]>, value: &[u8]) -> Adoption {
    let decode = |value| match document::decode_update(key, value) {
        Ok(Some(StoreUpdate::Upstream(entry))) => Some(entry),
        _ => None,
    };
    let Some(recorded) = decode(value) else {
        return Adoption::Hold(HELD_RETURN_TIME);
    };
    let is_leaving =
        |entry: &UpstreamEntry| entry.state == UpstreamState::Leaving;
    let Some(known) = own.and_then(decode) else {
        return match is_leaving(&recorded) {
            true => Adoption::Apply,
            false => Adoption::Hold(HELD_RETURN_TIME),
        };
    };
    // An incarnation that is known to be a later one is no older news.
    let is_later = matches!(
        (recorded.started, known.started),
        (Some(recorded), Some(known)) if recorded > known
    );
    match is_leaving(&known) && !is_leaving(&recorded) && !is_later {
        true => Adoption::Hold(HELD_RETURN_TIME),
        false => Adoption::Apply,
    }
}

/// Returns for how long this VM goes by a value that the copy lacks; `None` if
/// the removal of the key means nothing.
pub(super) fn hold_of_missing(key: &str) -> Option<Duration> {
    match KeyKind::parse(key)? {
        KeyKind::Peer(_) => Some(HELD_RECORD_TIME),
        KeyKind::Upstream(_)
        | KeyKind::RolloutOrder(_)
        | KeyKind::Evacuation(_) => Some(HELD_TIME),
        KeyKind::Configuration
        | KeyKind::RolloutStatus(_)
        | KeyKind::RolloutEvidence(..)
        | KeyKind::Quarantined(_) => None,
    }
}

/// Returns the update that takes effect at once where the copy lacks a value.
pub(super) fn update_of_missing(key: &str) -> Option<StoreUpdate> {
    match KeyKind::parse(key)? {
        // So that the VM is recorded again.
        KeyKind::Peer(vm) => Some(StoreUpdate::PeerUnrecorded(vm)),
        _ => None,
    }
}
