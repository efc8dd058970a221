use super::*;
use crate::crashes::broadcast_queue::{BROADCAST_ROUNDS, MAX_PER_HEARTBEAT};

const DEADLY: RequestDigest = RequestDigest(1);
const OTHER: RequestDigest = RequestDigest(2);
const IN_FLIGHT: Duration = Duration::from_millis(50);

fn upstream(number: u32) -> ShortHash {
    ShortHash(number)
}

fn crash(request: RequestDigest, number: u32) -> RequestObservation {
    let id = CrashId { upstream: upstream(number), number: 0 };
    let crash = Crash { id, in_flight_ms: 50 };
    RequestObservation { request, outcome: RequestOutcome::Crashed(crash) }
}

/// Crashes the numbered upstreams while they run a request.
fn crash_under(
    tracker: &CrashTracker,
    request: RequestDigest,
    upstreams: std::ops::RangeInclusive<u32>,
    now: BootInstant,
) {
    for number in upstreams {
        tracker.record_lost_attempt(
            request,
            upstream(number),
            now - IN_FLIGHT,
            now,
        );
        tracker.record_probe(upstream(number), Listening::No, now);
    }
}

#[test]
fn the_third_crash_quarantines_a_request_as_one_change() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&tracker, DEADLY, 1..=2, now);
    assert!(!tracker.is_quarantined(DEADLY, now));
    tracker.record_lost_attempt(DEADLY, upstream(3), now - IN_FLIGHT, now);
    let changes = tracker.record_probe(upstream(3), Listening::No, now);
    assert_eq!(
        changes,
        [QuarantineChange::Added { request: DEADLY, crashes: 3 }]
    );
    assert!(tracker.is_quarantined(DEADLY, now));
}

/// A connection reset or a missing reply does not prove a crash.
#[test]
fn a_lost_attempt_counts_only_if_its_upstream_crashed() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    for number in 1..=5 {
        let first = tracker.record_lost_attempt(
            DEADLY,
            upstream(number),
            now - IN_FLIGHT,
            now,
        );
        assert_eq!(first, (NextStep::Check, Vec::new()));
        let second = tracker.record_lost_attempt(
            DEADLY,
            upstream(number),
            now - IN_FLIGHT,
            now,
        );
        assert_eq!(
            second,
            (NextStep::Nothing, Vec::new()),
            "one check at a time"
        );
        let listening = match number % 2 {
            0 => Listening::Yes,
            _ => Listening::Unknown,
        };
        tracker.record_probe(upstream(number), listening, now);
    }
    assert!(!tracker.is_quarantined(DEADLY, now));
    // Another VM, which had other requests there, reports that the three
    // upstreams with an unknown result crashed.
    let reported = [(2, 1), (3, 3), (4, 5)]
        .map(|(request, number)| crash(RequestDigest(request), number));
    tracker.merge_observations(&reported, Source::OwnHall, now);
    let quarantined = tracker.quarantined();
    assert_eq!(quarantined.len(), 1);
    assert_eq!((quarantined[0].0, quarantined[0].1.len()), (DEADLY, 3));
}

#[test]
fn an_attempt_lost_in_a_known_crash_counts_at_once() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&tracker, OTHER, 1..=2, now);
    for number in 1..=2 {
        let lost = tracker.record_lost_attempt(
            DEADLY,
            upstream(number),
            now - IN_FLIGHT,
            now,
        );
        assert_eq!(lost.0, NextStep::Nothing);
    }
    tracker.merge_observations(&[crash(DEADLY, 3)], Source::OwnHall, now);
    assert!(tracker.is_quarantined(DEADLY, now));
}

/// Two VMs see the same crash, and several others report it to each.
#[test]
fn a_crash_counts_once() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&tracker, DEADLY, 1..=2, now);
    for source in [Source::OwnHall, Source::OtherHall, Source::Snapshot] {
        tracker.merge_observations(
            &[crash(DEADLY, 1), crash(DEADLY, 2)],
            source,
            now,
        );
    }
    assert!(!tracker.is_quarantined(DEADLY, now));
}

#[test]
fn a_completed_request_is_released_here_and_on_notified_vms() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    let (other, uninformed) =
        (CrashTracker::default(), CrashTracker::default());
    crash_under(&tracker, DEADLY, 1..=3, now);
    other.merge_observations(
        &tracker.next_broadcasts(Audience::OwnHall),
        Source::OwnHall,
        now,
    );
    assert!(
        tracker.is_quarantined(DEADLY, now)
            && other.is_quarantined(DEADLY, now)
    );
    let changes = other.record_completed(DEADLY, now);
    assert_eq!(changes, [QuarantineChange::Released(DEADLY)]);
    let sent = other.next_broadcasts(Audience::OwnHall);
    assert_eq!(
        tracker.merge_observations(&sent, Source::OwnHall, now),
        [QuarantineChange::Released(DEADLY)]
    );
    // A VM that knows of the completed attempt ignores crashes for a while.
    crash_under(&other, DEADLY, 4..=9, now);
    assert!(!other.is_quarantined(DEADLY, now));
    crash_under(&uninformed, DEADLY, 4..=9, now);
    assert!(uninformed.is_quarantined(DEADLY, now));
    let later = now + COMPLETED_TTL;
    other.expire(later);
    crash_under(&other, DEADLY, 10..=12, later);
    assert!(other.is_quarantined(DEADLY, now));
}

#[test]
fn a_culprit_that_explains_the_crashes_releases_a_bystander() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&tracker, OTHER, 1..=3, now);
    assert!(tracker.is_quarantined(OTHER, now));
    let reported: Vec<RequestObservation> =
        (1..=4).map(|n| crash(DEADLY, n)).collect();
    let changes = tracker.merge_observations(&reported, Source::OwnHall, now);
    assert!(
        changes.contains(&QuarantineChange::Released(OTHER)),
        "{changes:?}"
    );
    assert!(
        tracker.is_quarantined(DEADLY, now)
            && !tracker.is_quarantined(OTHER, now)
    );
}

/// A crash under two quarantined requests, which a VM learns when it starts.
#[test]
fn a_vm_that_starts_quarantines_what_others_do() {
    let (first, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&first, DEADLY, 1..=3, now);
    let reported: Vec<_> = (2..=6).map(|n| crash(OTHER, n)).collect();
    first.merge_observations(&reported, Source::OwnHall, now);
    let quarantined = first.quarantined();
    assert_eq!(quarantined.len(), 2);
    let started = CrashTracker::default();
    for (request, crashes) in quarantined.into_iter().rev() {
        let entry: Vec<_> =
            RequestObservation::of_crashes(request, crashes).collect();
        started.merge_observations(&entry, Source::Snapshot, now);
    }
    assert!(started.is_quarantined(DEADLY, now));
    assert!(started.is_quarantined(OTHER, now));
}

#[test]
fn a_request_is_released_ten_minutes_after_its_last_crash() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&tracker, DEADLY, 1..=3, now);
    let half = now + CRASH_TTL / 2;
    crash_under(&tracker, DEADLY, 4..=4, half);
    assert!(tracker.expire(now + CRASH_TTL).is_empty());
    assert!(tracker.is_quarantined(DEADLY, now));
    let changes = tracker.expire(half + CRASH_TTL);
    assert_eq!(changes, [QuarantineChange::Released(DEADLY)]);
}

#[test]
fn a_vm_broadcasts_its_own_and_other_halls_observations() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&tracker, DEADLY, 1..=1, now);
    tracker.merge_observations(&[crash(DEADLY, 2)], Source::OwnHall, now);
    tracker.merge_observations(&[crash(DEADLY, 3)], Source::OtherHall, now);
    tracker.merge_observations(&[crash(DEADLY, 4)], Source::Snapshot, now);
    let own_hall = tracker.next_broadcasts(Audience::OwnHall);
    assert_eq!(own_hall, [crash(DEADLY, 1), crash(DEADLY, 3)]);
    let others = tracker.next_broadcasts(Audience::OtherHalls);
    assert_eq!(others.len(), 3);
    for _ in 1..BROADCAST_ROUNDS {
        assert!(!tracker.next_broadcasts(Audience::OwnHall).is_empty());
        assert!(!tracker.next_broadcasts(Audience::OtherHalls).is_empty());
    }
    assert!(tracker.next_broadcasts(Audience::OwnHall).is_empty());
    assert!(tracker.next_broadcasts(Audience::OtherHalls).is_empty());
}

/// When a rack loses power, all requests there become suspects at once; the
/// culprit's crashes must still be sent first.
#[test]
fn a_heartbeat_is_bounded_and_begins_with_the_most_suspect() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    for request in 100..400 {
        crash_under(&tracker, RequestDigest(request), 1..=1, now);
    }
    crash_under(&tracker, DEADLY, 1..=2, now);
    let sent = tracker.next_broadcasts(Audience::OwnHall);
    assert_eq!(sent.len(), MAX_PER_HEARTBEAT);
    assert_eq!(sent[..2], [crash(DEADLY, 1), crash(DEADLY, 2)]);
}

/// A caller that sends a different deadly request each time must not displace
/// the quarantined request of another.
#[test]
fn many_suspects_do_not_displace_a_quarantined_request() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&tracker, DEADLY, 1..=3, now);
    let reported: Vec<RequestObservation> = (0..MAX_SUSPECTS as u64 + 500)
        .map(|number| crash(RequestDigest(1000 + number), 77))
        .collect();
    tracker.merge_observations(&reported, Source::OwnHall, now);
    assert!(tracker.is_quarantined(DEADLY, now));
    assert_eq!(tracker.lock().suspects.len(), MAX_SUSPECTS);
    assert_eq!(tracker.quarantine_observations().len(), 3);
}

/// While the store is unavailable, an upstream may restart and crash again
/// before this VM learns of its new incarnation.
#[test]
fn a_second_crash_of_an_unnoticed_incarnation_counts_separately() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    crash_under(&tracker, DEADLY, 1..=3, now);
    let later = now + Duration::from_secs(2);
    for number in 1..=3 {
        // The attempt began after the known crash.
        let lost =
            tracker.record_lost_attempt(OTHER, upstream(number), later, later);
        assert_eq!(lost.0, NextStep::Check);
        tracker.record_probe(upstream(number), Listening::No, later);
    }
    assert!(
        tracker.is_quarantined(DEADLY, later)
            && tracker.is_quarantined(OTHER, later)
    );
    // Another VM that gets both reports counts two crashes as well.
    let reported = tracker.next_broadcasts(Audience::OwnHall);
    let other = CrashTracker::default();
    other.merge_observations(&reported, Source::OwnHall, later);
    assert!(
        other.is_quarantined(DEADLY, later)
            && other.is_quarantined(OTHER, later)
    );
}

/// Two VMs check the same upstream at the same time.
#[test]
fn a_crash_that_another_vm_reports_first_is_not_counted_again() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    tracker.record_lost_attempt(DEADLY, upstream(1), now - IN_FLIGHT, now);
    tracker.merge_observations(&[crash(OTHER, 1)], Source::OwnHall, now);
    tracker.record_probe(upstream(1), Listening::No, now);
    crash_under(&tracker, DEADLY, 2..=2, now);
    assert!(!tracker.is_quarantined(DEADLY, now));
}

/// The upstream could not be reached when it was checked for a crash.
#[test]
fn an_attempt_that_is_pending_for_too_long_is_checked_again() {
    let (tracker, now) = (CrashTracker::default(), BootInstant::now());
    tracker.record_lost_attempt(DEADLY, upstream(1), now - IN_FLIGHT, now);
    tracker.record_probe(upstream(1), Listening::Unknown, now);
    let soon = now + Duration::from_secs(1);
    let lost = tracker.record_lost_attempt(
        DEADLY,
        upstream(1),
        soon - IN_FLIGHT,
        soon,
    );
    assert_eq!(lost.0, NextStep::Nothing, "another VM may report");
    let later = now + PENDING_TTL;
    let lost = tracker.record_lost_attempt(
        OTHER,
        upstream(1),
        later - IN_FLIGHT,
        later,
    );
    assert_eq!(lost.0, NextStep::Check);
    tracker.record_probe(upstream(1), Listening::No, later);
    // The first lost attempt is too old to belong to this crash.
    assert_eq!(tracker.lock().suspects.len(), 1);
}
