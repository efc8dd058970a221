use super::*;

const HEARTBEAT: Duration = Duration::from_millis(100);

/// A link on which heartbeats arrived for a while, and the time of the last.
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
fn a_silent_hall_is_partitioned_until_something_arrives() {
    let (link, last) = link_with_heartbeats(HEARTBEAT);
    assert!(!link.is_partitioned(last + MIN_SILENCE));
    let silent = last + MIN_SILENCE + HEARTBEAT;
    assert!(link.is_partitioned(silent));
    link.record_activity(silent);
    assert!(!link.is_partitioned(silent));
}

#[test]
fn upstream_activity_keeps_the_link_up_without_heartbeats() {
    let (link, mut now) = link_with_heartbeats(HEARTBEAT);
    for _ in 0..30 {
        now += Duration::from_millis(500);
        assert!(!link.is_partitioned(now));
        link.record_activity(now);
    }
}

#[test]
fn rare_heartbeats_allow_a_longer_silence() {
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
fn connection_failures_partition_a_hall_for_a_while() {
    let link = HallLink::default();
    let now = BootInstant::now();
    for _ in 1..PARTITION_FAILURES {
        link.record_connect_failure(now);
    }
    assert!(!link.is_partitioned(now), "one is not enough");
    link.record_connect_failure(now);
    assert!(link.is_partitioned(now));
    assert!(!link.is_partitioned(now + PARTITION_PAUSE));
}
