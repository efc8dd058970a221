use super::*;

const HEARTBEAT: Duration = Duration::from_millis(100);

/// A way on which beats came for a while, and the time of the last.
fn link_with_heartbeats(interval: Duration) -> (HallLink, BootInstant) {
    let link = HallLink::default();
    let mut now = BootInstant::now();
    for _ in 0..20 {
        now += interval;
        link.record_heartbeat(now);
    }
    (link, now)
}

#[test]
fn a_hall_that_falls_silent_is_cut_off_until_something_is_heard() {
    let (link, last) = link_with_heartbeats(HEARTBEAT);
    assert!(!link.is_partitioned(last + MIN_SILENCE));
    let silent = last + MIN_SILENCE + HEARTBEAT;
    assert!(link.is_partitioned(silent));
    link.record_activity(silent);
    assert!(!link.is_partitioned(silent));
}

#[test]
fn an_upstream_that_is_heard_keeps_the_way_open_without_beats() {
    let (link, mut now) = link_with_heartbeats(HEARTBEAT);
    for _ in 0..30 {
        now += Duration::from_millis(500);
        assert!(!link.is_partitioned(now));
        link.record_activity(now);
    }
}

#[test]
fn beats_that_are_rare_are_missed_later() {
    let rare = Duration::from_secs(1);
    let (link, last) = link_with_heartbeats(rare);
    assert!(!link.is_partitioned(last + rare * 4));
    assert!(link.is_partitioned(last + rare * 6));
}

#[test]
fn a_hall_without_vms_is_tried_again() {
    let (link, last) = link_with_heartbeats(HEARTBEAT);
    assert!(link.is_partitioned(last + MAX_SILENCE / 2));
    assert!(!link.is_partitioned(last + MAX_SILENCE));
    let never_heard = HallLink::default();
    assert!(!never_heard.is_partitioned(last));
}

#[test]
fn connections_that_cannot_be_opened_cut_it_off_for_a_while() {
    let link = HallLink::default();
    let now = BootInstant::now();
    for _ in 1..PARTITION_FAILURES {
        link.record_connect_failure(now);
    }
    assert!(!link.is_partitioned(now), "one says nothing");
    link.record_connect_failure(now);
    assert!(link.is_partitioned(now));
    assert!(!link.is_partitioned(now + PARTITION_PAUSE));
}
