//! Who has room, and who gives way.

use std::sync::Mutex;

use super::*;
use crate::{clock::Clock, task};

/// A clock that stands still until it is advanced.
struct ManualClock(Mutex<BootInstant>);

impl ManualClock {
    fn advance(&self, time: Duration) {
        *self.0.lock().unwrap() += time;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> BootInstant {
        *self.0.lock().unwrap()
    }

    fn system_time(&self) -> std::time::SystemTime {
        std::time::SystemTime::UNIX_EPOCH
    }
}

const MIB: u64 = 1 << 20;

/// Returns an account in which bodies may take 13 MiB of 40.
fn account() -> (Arc<CallerMemory>, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock(Mutex::new(BootInstant::now())));
    (CallerMemory::new(Megabytes(64), clock.clone()), clock)
}

fn grow(account: &CallerMemory, claim: &MemoryClaim, bytes: u64) -> Growth {
    account.grow(claim.id(), bytes)
}

#[test]
fn nothing_is_limited_where_the_memory_is_unknown() {
    let clock = Arc::new(ManualClock(Mutex::new(BootInstant::now())));
    let account = CallerMemory::new(Megabytes(0), clock);
    let body = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &body, 1 << 40), Growth::Granted);
    assert!(account.has_room_for_connection() && !account.is_scarce());
}

#[test]
fn a_claim_ends_when_it_is_dropped() {
    let (account, _) = account();
    let body = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &body, 13 * MIB), Growth::Granted);
    drop(body);
    let body = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &body, 13 * MIB), Growth::Granted);
}

#[test]
fn bodies_leave_room_for_connections_and_answers() {
    let (account, _) = account();
    let body = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &body, 13 * MIB), Growth::Granted);
    assert!(account.has_room_for_connection() && !account.is_scarce());
    let answer = account.claim(Purpose::Answer, 0);
    assert_eq!(grow(&account, &answer, 13 * MIB), Growth::Granted);
    assert!(account.has_room_for_connection());
}

#[test]
fn the_body_gives_way_that_has_stood_still_longest() {
    let (account, clock) = account();
    let first = account.claim(Purpose::Body, 0);
    let second = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &first, 6 * MIB), Growth::Granted);
    clock.advance(Duration::from_millis(1));
    assert_eq!(grow(&account, &second, 6 * MIB), Growth::Granted);
    clock.advance(STALL_TIME);
    let third = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &third, 2 * MIB), Growth::Pending);
    let stalled = Growth::Refused(GivesWay::Stalled);
    assert_eq!(grow(&account, &first, 1), stalled);
    drop(first);
    assert_eq!(grow(&account, &third, 2 * MIB), Growth::Granted);
    // The other one has not been told, and goes on.
    assert_eq!(grow(&account, &second, MIB), Growth::Granted);
}

#[test]
fn a_body_that_creeps_gives_way_to_one_that_moves() {
    let (account, clock) = account();
    let creeping = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &creeping, 12 * MIB), Growth::Granted);
    let moving = account.claim(Purpose::Body, 0);
    // Bytes of the first one that need no further claim are no progress.
    for _ in 0..5 {
        clock.advance(STALL_TIME / 4);
        assert_eq!(grow(&account, &moving, 16 << 10), Growth::Granted);
    }
    assert_eq!(grow(&account, &moving, 2 * MIB), Growth::Pending);
    let stalled = Growth::Refused(GivesWay::Stalled);
    assert_eq!(grow(&account, &creeping, 1), stalled);
}

#[test]
fn of_bodies_that_move_the_youngest_gives_way() {
    let (account, clock) = account();
    let older = account.claim(Purpose::Body, 0);
    clock.advance(Duration::from_millis(1));
    let younger = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &older, 6 * MIB), Growth::Granted);
    assert_eq!(grow(&account, &younger, 7 * MIB), Growth::Granted);
    let displaced = Growth::Refused(GivesWay::Displaced);
    assert_eq!(grow(&account, &younger, MIB), displaced);
    assert_eq!(grow(&account, &older, MIB), Growth::Pending);
    assert_eq!(task::block_on(younger.revoked()), GivesWay::Displaced);
    drop(younger);
    assert_eq!(grow(&account, &older, 7 * MIB), Growth::Granted);
}

#[test]
fn what_is_worked_on_never_gives_way() {
    let (account, clock) = account();
    let whole = account.claim(Purpose::Body, 0);
    assert_eq!(grow(&account, &whole, 13 * MIB), Growth::Granted);
    whole.complete();
    clock.advance(100 * STALL_TIME);
    let body = account.claim(Purpose::Body, 0);
    let displaced = Growth::Refused(GivesWay::Displaced);
    assert_eq!(grow(&account, &body, MIB), displaced);
    account.make_room_for_connections();
    let answer = account.claim(Purpose::Answer, 0);
    assert_eq!(grow(&account, &answer, 13 * MIB), Growth::Granted);
    // An answer waits, since its request has run.
    let other = account.claim(Purpose::Answer, 0);
    answer.complete();
    assert_eq!(grow(&account, &other, MIB), Growth::Pending);
}

#[test]
fn connections_that_stand_still_make_room_for_others() {
    let (account, clock) = account();
    let mut idle = Vec::new();
    while let Some(connection) = account.claim_connection() {
        connection.await_sender();
        idle.push(connection);
        clock.advance(Duration::from_millis(1));
    }
    assert_eq!(idle.len(), 640);
    let busy = idle.remove(0);
    busy.keep();
    clock.advance(STALL_TIME);
    account.make_room_for_connections();
    let stalled = idle.remove(0);
    assert_eq!(task::block_on(stalled.revoked()), GivesWay::Stalled);
    drop(stalled);
    assert!(account.claim_connection().is_some());
}
