//! The account of the memory that callers make a VM hold.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use smol::channel::{Sender, bounded};

use crate::{
    caller_memory::claim::{GivesWay, MemoryClaim},
    clock::{BootInstant, SharedClock},
    intake::connection_capacity::{CONNECTION_BYTES, RESERVED_BYTES},
    metrics::Metrics,
    unit::Megabytes,
};

/// Share of the account that bodies may take, and the same for answers, so
/// that neither keeps out the other, or connections.
const PURPOSE_SHARE: f64 = 0.33;

/// Share of the account that the optional memory of connections leaves free.
const CONNECTIONS_SHARE: f64 = 0.25;

/// Time without progress after which a claim gives way to others.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Time that a claim has to end once it gives way, before others have to give
/// way in its place.
const REVOCATION_TIME: Duration = Duration::from_millis(100);

/// Claims that give way at once so that others can connect.
const REVOKED_AT_ONCE: usize = 8;

/// Memory that a connection takes in addition while its caller does not read:
/// what its upstream has sent meanwhile.
const UNREAD_ANSWER_BYTES: u64 = 128 << 10;

/// Share of the account below which room is made for further connections.
const SCARCE_SHARE: f64 = 0.0625;

/// What a claim is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The buffers of a connection.
    Connection,
    /// A request body.
    Body,
    /// An answer that is not streamed.
    Answer,
}

/// Who has to act next on what a claim holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// This VM or an upstream.
    Vm,
    /// The caller, which last sent something at this time.
    CallerSends(BootInstant),
    /// The caller, which last read something at this time.
    CallerReads(BootInstant),
}

impl Turn {
    /// Returns the memory that is taken in addition meanwhile.
    fn extra_bytes(self) -> u64 {
        match self {
            Turn::CallerReads(_) => UNREAD_ANSWER_BYTES,
            Turn::Vm | Turn::CallerSends(_) => 0,
        }
    }

    /// Returns since when the caller has to act, if it does.
    fn caller_since(self) -> Option<BootInstant> {
        match self {
            Turn::Vm => None,
            Turn::CallerSends(since) | Turn::CallerReads(since) => Some(since),
        }
    }
}

/// Whether a claim grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Growth {
    /// It has grown.
    Granted,
    /// Others are giving way.
    Pending,
    /// There is no room.
    Refused(GivesWay),
}

#[derive(Debug)]
struct Entry {
    purpose: Purpose,
    bytes: u64,
    began_at: BootInstant,
    turn: Turn,
    /// Whether more is to be added.
    is_growing: bool,
    revoke: Sender<GivesWay>,
    revoked: Option<(GivesWay, BootInstant)>,
}

#[derive(Debug, Default)]
struct State {
    claims: HashMap<u64, Entry>,
    next_id: u64,
    used_bytes: u64,
    /// Part of it that bodies and answers take.
    body_bytes: u64,
    answer_bytes: u64,
    /// Claims that had to give way since the start.
    revoked_count: u64,
}

/// The memory that callers make a VM hold; unlimited if nothing is known of
/// the memory of the VM.
pub(crate) struct CallerMemory {
    capacity_bytes: Option<u64>,
    clock: SharedClock,
    state: Mutex<State>,
}

impl CallerMemory {
    /// Creates the account of a VM; a memory of 0 is unknown.
    pub(crate) fn new(
        memory: Megabytes,
        clock: SharedClock,
    ) -> Arc<CallerMemory> {
        let capacity_bytes = (memory.0 > 0).then(|| {
            let memory_bytes = u64::from(memory.0) << 20;
            let capacity = memory_bytes.saturating_sub(RESERVED_BYTES);
            capacity.max(CONNECTION_BYTES)
        });
        let state = Mutex::default();
        Arc::new(CallerMemory { capacity_bytes, clock, state })
    }

    /// Makes a claim on this many bytes, whether there is room or not.
    pub(crate) fn claim(
        self: &Arc<CallerMemory>,
        purpose: Purpose,
        bytes: u64,
    ) -> MemoryClaim {
        let now = self.clock.now();
        let (revoke, revoked) = bounded(1);
        let entry = Entry {
            purpose,
            bytes: 0,
            began_at: now,
            turn: Turn::Vm,
            is_growing: purpose != Purpose::Connection,
            revoke,
            revoked: None,
        };
        let mut state = self.state();
        let id = state.next_id;
        state.next_id += 1;
        state.claims.insert(id, entry);
        state.add(id, bytes, now);
        drop(state);
        MemoryClaim::new(self.clone(), id, revoked)
    }

    /// Makes a claim for a connection, if there is room for it.
    pub(crate) fn claim_connection(
        self: &Arc<CallerMemory>,
    ) -> Option<MemoryClaim> {
        self.has_room_for_connection()
            .then(|| self.claim(Purpose::Connection, CONNECTION_BYTES))
    }

    /// Returns whether there is room for another connection.
    pub(crate) fn has_room_for_connection(&self) -> bool {
        let used_bytes = self.state().used_bytes;
        self.capacity_bytes.is_none_or(|capacity_bytes| {
            used_bytes + CONNECTION_BYTES <= capacity_bytes
        })
    }

    /// Returns whether little room is left for further connections.
    pub(crate) fn is_scarce(&self) -> bool {
        let used_bytes = self.state().used_bytes;
        self.capacity_bytes.is_some_and(|capacity_bytes| {
            used_bytes as f64 > capacity_bytes as f64 * (1.0 - SCARCE_SHARE)
        })
    }

    /// Has some claims give way that have stood still longest, so that others
    /// can connect.
    pub(crate) fn make_room_for_connections(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.is_revoking(now, |_| true) {
            return;
        }
        for _ in 0..REVOKED_AT_ONCE {
            let Some(id) = state.longest_stalled(now, |_| true) else {
                return;
            };
            state.revoke(id, GivesWay::Stalled, now);
        }
    }

    /// Updates the gauges of what is held.
    pub(crate) fn update_metrics(&self, metrics: &Metrics) {
        let state = self.state();
        metrics.caller_memory_bytes.set(state.used_bytes as i64);
        metrics.caller_claims_revoked.set(state.revoked_count as i64);
    }

    /// Adds bytes to a claim if there is room; if not, has others give way, or
    /// this one.
    pub(super) fn grow(&self, id: u64, bytes: u64) -> Growth {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(entry) = state.claims.get_mut(&id) else {
            return Growth::Refused(GivesWay::Displaced);
        };
        if let Some((reason, _)) = entry.revoked {
            return Growth::Refused(reason);
        }
        // The caller has sent the bytes, and waits for this VM meanwhile.
        if let Turn::CallerSends(since) = &mut entry.turn {
            *since = now;
        }
        let purpose = entry.purpose;
        let Some(capacity_bytes) = self.capacity_bytes else {
            state.add(id, bytes, now);
            return Growth::Granted;
        };
        let share_bytes = (capacity_bytes as f64 * PURPOSE_SHARE) as u64;
        let is_share_spent = state.bytes_for(purpose) + bytes > share_bytes;
        if !is_share_spent && state.used_bytes + bytes <= capacity_bytes {
            state.add(id, bytes, now);
            return Growth::Granted;
        }
        let would_help = |entry: &Entry| {
            !is_share_spent
                || entry.purpose == purpose
                || purpose == Purpose::Answer
                    && matches!(entry.turn, Turn::CallerReads(_))
        };
        if state.is_revoking(now, would_help) {
            return Growth::Pending;
        }
        if let Some(stalled) = state.longest_stalled(now, would_help) {
            state.revoke(stalled, GivesWay::Stalled, now);
            return match stalled == id {
                true => Growth::Refused(GivesWay::Stalled),
                false => Growth::Pending,
            };
        }
        match state.youngest_growing(purpose) {
            Some(youngest) if youngest != id => {
                state.revoke(youngest, GivesWay::Displaced, now);
                Growth::Pending
            }
            // An answer is not given up as long as room may become free.
            _ if purpose == Purpose::Answer => Growth::Pending,
            _ => Growth::Refused(GivesWay::Displaced),
        }
    }

    /// Records that the caller has to go on sending what a claim holds.
    pub(super) fn await_sender(&self, id: u64) {
        self.set_turn(id, Turn::CallerSends(self.clock.now()));
    }

    /// Records that the caller has to go on reading what a claim holds.
    pub(super) fn await_reader(&self, id: u64) {
        self.set_turn(id, Turn::CallerReads(self.clock.now()));
    }

    /// Adds bytes to a claim if that leaves room for further connections.
    pub(super) fn try_add(&self, id: u64, bytes: u64) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let has_room = self.capacity_bytes.is_none_or(|capacity_bytes| {
            let most = capacity_bytes as f64 * (1.0 - CONNECTIONS_SHARE);
            state.used_bytes + bytes <= most as u64
        });
        if has_room {
            state.add(id, bytes, now);
        }
        has_room
    }

    /// Records that this VM or an upstream works on what a claim holds.
    pub(super) fn keep(&self, id: u64) {
        self.set_turn(id, Turn::Vm);
    }

    fn set_turn(&self, id: u64, turn: Turn) {
        let mut state = self.state();
        let Some(entry) = state.claims.get_mut(&id) else { return };
        let extra_before = entry.turn.extra_bytes();
        entry.turn = turn;
        entry.bytes = entry.bytes + turn.extra_bytes() - extra_before;
        state.used_bytes =
            state.used_bytes + turn.extra_bytes() - extra_before;
    }

    /// Records that nothing more is added to a claim.
    pub(super) fn complete(&self, id: u64) {
        if let Some(entry) = self.state().claims.get_mut(&id) {
            entry.turn = Turn::Vm;
            entry.is_growing = false;
        }
    }

    /// Ends a claim.
    pub(super) fn end(&self, id: u64) {
        let mut state = self.state();
        if let Some(entry) = state.claims.remove(&id) {
            state.used_bytes -= entry.bytes;
            match entry.purpose {
                Purpose::Connection => {}
                Purpose::Body => state.body_bytes -= entry.bytes,
                Purpose::Answer => state.answer_bytes -= entry.bytes,
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("caller memory lock")
    }
}

impl State {
    fn add(&mut self, id: u64, bytes: u64, now: BootInstant) {
        let Some(entry) = self.claims.get_mut(&id) else { return };
        entry.bytes += bytes;
        if entry.is_growing && entry.purpose == Purpose::Body {
            entry.turn = Turn::CallerSends(now);
        }
        self.used_bytes += bytes;
        match entry.purpose {
            Purpose::Connection => {}
            Purpose::Body => self.body_bytes += bytes,
            Purpose::Answer => self.answer_bytes += bytes,
        }
    }

    fn bytes_for(&self, purpose: Purpose) -> u64 {
        match purpose {
            Purpose::Connection => self.used_bytes,
            Purpose::Body => self.body_bytes,
            Purpose::Answer => self.answer_bytes,
        }
    }

    /// Whether any of these claims is about to end.
    fn is_revoking(
        &self,
        now: BootInstant,
        applies: impl Fn(&Entry) -> bool,
    ) -> bool {
        self.claims.values().filter(|entry| applies(entry)).any(|entry| {
            entry.revoked.is_some_and(|(_, at)| {
                now.saturating_duration_since(at) < REVOCATION_TIME
            })
        })
    }

    /// Returns the one of these claims whose caller has been still longest.
    fn longest_stalled(
        &self,
        now: BootInstant,
        applies: impl Fn(&Entry) -> bool,
    ) -> Option<u64> {
        let entries = self
            .claims
            .iter()
            .filter(|(_, entry)| entry.revoked.is_none() && applies(entry));
        let stalled = entries.filter_map(|(id, entry)| {
            let since = entry.turn.caller_since()?;
            let stalled_for = now.saturating_duration_since(since);
            (stalled_for >= STALL_TIME).then_some((since, *id))
        });
        stalled.min().map(|(_, id)| id)
    }

    /// Returns the claim for a purpose that began last of those that grow.
    fn youngest_growing(&self, purpose: Purpose) -> Option<u64> {
        let entries = self.claims.iter().filter(|(_, entry)| {
            entry.is_growing
                && entry.purpose == purpose
                && entry.revoked.is_none()
        });
        let began = entries.map(|(id, entry)| (entry.began_at, *id));
        began.max().map(|(_, id)| id)
    }

    fn revoke(&mut self, id: u64, reason: GivesWay, now: BootInstant) {
        if let Some(entry) = self.claims.get_mut(&id) {
            entry.revoked = Some((reason, now));
            self.revoked_count += 1;
            // The holder is told once; a claim that has ended needs no word.
            let _ = entry.revoke.try_send(reason);
        }
    }
}

#[cfg(test)]
mod tests;
