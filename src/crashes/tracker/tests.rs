use super::*;
use crate::crashes::broadcast_queue::{TOLD_MOST, TOLD_ROUNDS};

const DEADLY: RequestDigest = RequestDigest(1);
const OTHER: RequestDigest = RequestDigest(2);
const HAD: Duration = Duration::from_millis(50);

fn life(number: u32) -> ShortHash {
    ShortHash(number)
}

fn crash(request: RequestDigest, upstream: u32) -> RequestObservation {
    let end = End { upstream: life(upstream), number: 0 };
    let crash = Crash { end, had_ms: 50 };
    RequestObservation { request, outcome: RequestOutcome::Crashed(crash) }
}

/// Has upstreams end under a request.
fn end_under(
    record: &CrashTracker,
    request: RequestDigest,
    upstreams: std::ops::RangeInclusive<u32>,
    now: BootInstant,
) {
    for number in upstreams {
        record.record_lost_attempt(request, life(number), now - HAD, now);
        record.record_probe(life(number), Listening::No, now);
    }
}

#[test]
fn three_ends_are_enough_and_are_told_as_one_change() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    end_under(&record, DEADLY, 1..=2, now);
    assert!(!record.is_quarantined(DEADLY, now));
    record.record_lost_attempt(DEADLY, life(3), now - HAD, now);
    let changes = record.record_probe(life(3), Listening::No, now);
    assert_eq!(
        changes,
        [QuarantineChange::Added { request: DEADLY, ends: 3 }]
    );
    assert!(record.is_quarantined(DEADLY, now));
}

/// A reset says nothing, and nor does silence.
#[test]
fn a_lost_attempt_counts_only_where_its_upstream_has_ended() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    for number in 1..=5 {
        let first =
            record.record_lost_attempt(DEADLY, life(number), now - HAD, now);
        assert_eq!(first, (NextStep::Check, Vec::new()));
        let second =
            record.record_lost_attempt(DEADLY, life(number), now - HAD, now);
        assert_eq!(second, (NextStep::Nothing, Vec::new()), "one asks");
        let listening = match number % 2 {
            0 => Listening::Yes,
            _ => Listening::Unknown,
        };
        record.record_probe(life(number), listening, now);
    }
    assert!(!record.is_quarantined(DEADLY, now));
    // Three of which this VM could not find out have ended by the word of
    // another VM, which had other requests there.
    let told = [(2, 1), (3, 3), (4, 5)]
        .map(|(request, number)| crash(RequestDigest(request), number));
    record.merge_observations(&told, Source::OwnHall, now);
    let held = record.quarantined();
    assert_eq!(held.len(), 1);
    assert_eq!((held[0].0, held[0].1.len()), (DEADLY, 3));
}

#[test]
fn an_attempt_that_is_lost_after_its_upstream_has_ended_counts_at_once() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    end_under(&record, OTHER, 1..=2, now);
    for number in 1..=2 {
        let lost =
            record.record_lost_attempt(DEADLY, life(number), now - HAD, now);
        assert_eq!(lost.0, NextStep::Nothing);
    }
    record.merge_observations(&[crash(DEADLY, 3)], Source::OwnHall, now);
    assert!(record.is_quarantined(DEADLY, now));
}

/// Two VMs see one end, and each is told of it by several.
#[test]
fn one_end_counts_once() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    end_under(&record, DEADLY, 1..=2, now);
    for source in [Source::OwnHall, Source::OtherHall, Source::Snapshot] {
        record.merge_observations(
            &[crash(DEADLY, 1), crash(DEADLY, 2)],
            source,
            now,
        );
    }
    assert!(!record.is_quarantined(DEADLY, now));
}

#[test]
fn what_ran_whole_is_not_held_back_by_this_vm_or_those_it_tells() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    let (other, told_late) =
        (CrashTracker::default(), CrashTracker::default());
    end_under(&record, DEADLY, 1..=3, now);
    other.merge_observations(
        &record.next_broadcasts(Audience::OwnHall),
        Source::OwnHall,
        now,
    );
    assert!(
        record.is_quarantined(DEADLY, now)
            && other.is_quarantined(DEADLY, now)
    );
    let changes = other.record_completed(DEADLY, now);
    assert_eq!(changes, [QuarantineChange::Released(DEADLY)]);
    let told = other.next_broadcasts(Audience::OwnHall);
    assert_eq!(
        record.merge_observations(&told, Source::OwnHall, now),
        [QuarantineChange::Released(DEADLY)]
    );
    // What comes afterwards, here and for a while, is a coincidence.
    end_under(&other, DEADLY, 4..=9, now);
    assert!(!other.is_quarantined(DEADLY, now));
    end_under(&told_late, DEADLY, 4..=9, now);
    assert!(told_late.is_quarantined(DEADLY, now));
    let later = now + WELL_REMEMBERED;
    other.expire(later);
    end_under(&other, DEADLY, 10..=12, later);
    assert!(other.is_quarantined(DEADLY, now));
}

#[test]
fn another_that_explains_the_ends_releases_a_bystander() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    end_under(&record, OTHER, 1..=3, now);
    assert!(record.is_quarantined(OTHER, now));
    let told: Vec<RequestObservation> =
        (1..=4).map(|n| crash(DEADLY, n)).collect();
    let changes = record.merge_observations(&told, Source::OwnHall, now);
    assert!(
        changes.contains(&QuarantineChange::Released(OTHER)),
        "{changes:?}"
    );
    assert!(
        record.is_quarantined(DEADLY, now)
            && !record.is_quarantined(OTHER, now)
    );
}

#[test]
fn it_is_forgotten_ten_minutes_after_the_last_end() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    end_under(&record, DEADLY, 1..=3, now);
    let half = now + REMEMBERED / 2;
    end_under(&record, DEADLY, 4..=4, half);
    assert!(record.expire(now + REMEMBERED).is_empty());
    assert!(record.is_quarantined(DEADLY, now));
    let changes = record.expire(half + REMEMBERED);
    assert_eq!(changes, [QuarantineChange::Released(DEADLY)]);
}

#[test]
fn each_vm_tells_its_hall_and_passes_on_what_other_halls_tell() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    end_under(&record, DEADLY, 1..=1, now);
    record.merge_observations(&[crash(DEADLY, 2)], Source::OwnHall, now);
    record.merge_observations(&[crash(DEADLY, 3)], Source::OtherHall, now);
    record.merge_observations(&[crash(DEADLY, 4)], Source::Snapshot, now);
    let own_hall = record.next_broadcasts(Audience::OwnHall);
    assert_eq!(own_hall, [crash(DEADLY, 1), crash(DEADLY, 3)]);
    let others = record.next_broadcasts(Audience::OtherHalls);
    assert_eq!(others.len(), 3);
    for _ in 1..TOLD_ROUNDS {
        assert!(!record.next_broadcasts(Audience::OwnHall).is_empty());
        assert!(!record.next_broadcasts(Audience::OtherHalls).is_empty());
    }
    assert!(record.next_broadcasts(Audience::OwnHall).is_empty());
    assert!(record.next_broadcasts(Audience::OtherHalls).is_empty());
}

/// A rack ends with all that it had; the culprit's ends are told first.
#[test]
fn a_beat_is_bounded_and_begins_with_the_most_suspect() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    for request in 100..400 {
        end_under(&record, RequestDigest(request), 1..=1, now);
    }
    end_under(&record, DEADLY, 1..=2, now);
    let told = record.next_broadcasts(Audience::OwnHall);
    assert_eq!(told.len(), TOLD_MOST);
    assert_eq!(told[..2], [crash(DEADLY, 1), crash(DEADLY, 2)]);
}

/// A caller makes a new deadly request each time, and what is held back of
/// another stays so.
#[test]
fn many_suspects_do_not_displace_one_that_is_held_back() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    end_under(&record, DEADLY, 1..=3, now);
    let told: Vec<RequestObservation> = (0..SUSPECTS_MOST as u64 + 500)
        .map(|number| crash(RequestDigest(1000 + number), 77))
        .collect();
    record.merge_observations(&told, Source::OwnHall, now);
    assert!(record.is_quarantined(DEADLY, now));
    assert_eq!(record.lock().suspects.len(), SUSPECTS_MOST);
    assert_eq!(record.quarantine_observations().len(), 3);
}

/// The store is away: an upstream starts and ends again before this VM hears
/// of its new life.
#[test]
fn an_end_of_an_upstream_that_came_back_unheard_is_another_end() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    end_under(&record, DEADLY, 1..=3, now);
    let later = now + Duration::from_secs(2);
    for number in 1..=3 {
        // It began after the end that is known.
        let lost =
            record.record_lost_attempt(OTHER, life(number), later, later);
        assert_eq!(lost.0, NextStep::Check);
        record.record_probe(life(number), Listening::No, later);
    }
    assert!(
        record.is_quarantined(DEADLY, later)
            && record.is_quarantined(OTHER, later)
    );
    // Another VM that is told of both counts them apart as well.
    let told = record.next_broadcasts(Audience::OwnHall);
    let other = CrashTracker::default();
    other.merge_observations(&told, Source::OwnHall, later);
    assert!(
        other.is_quarantined(DEADLY, later)
            && other.is_quarantined(OTHER, later)
    );
}

/// Two VMs look at once whether an upstream has ended.
#[test]
fn an_end_that_another_vm_tells_first_is_not_counted_anew() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    record.record_lost_attempt(DEADLY, life(1), now - HAD, now);
    record.merge_observations(&[crash(OTHER, 1)], Source::OwnHall, now);
    record.record_probe(life(1), Listening::No, now);
    end_under(&record, DEADLY, 2..=2, now);
    assert!(!record.is_quarantined(DEADLY, now));
}

/// The way to an upstream was cut when it was asked whether it has ended.
#[test]
fn what_stayed_open_for_too_long_is_asked_anew() {
    let (record, now) = (CrashTracker::default(), BootInstant::now());
    record.record_lost_attempt(DEADLY, life(1), now - HAD, now);
    record.record_probe(life(1), Listening::Unknown, now);
    let soon = now + Duration::from_secs(1);
    let lost = record.record_lost_attempt(DEADLY, life(1), soon - HAD, soon);
    assert_eq!(lost.0, NextStep::Nothing, "another VM may tell");
    let later = now + OPEN_FOR;
    let lost = record.record_lost_attempt(OTHER, life(1), later - HAD, later);
    assert_eq!(lost.0, NextStep::Check);
    record.record_probe(life(1), Listening::No, later);
    // What was lost before is too old to have been there.
    assert_eq!(record.lock().suspects.len(), 1);
}
