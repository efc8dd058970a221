use super::*;

const BEAT: Duration = Duration::from_millis(100);

/// A way on which beats came for a while, and the time of the last.
fn beaten(gap: Duration) -> (HallWay, BootInstant) {
    let way = HallWay::default();
    let mut now = BootInstant::now();
    for _ in 0..20 {
        now += gap;
        way.note_beat(now);
    }
    (way, now)
}

#[test]
fn a_hall_that_falls_silent_is_cut_off_until_something_is_heard() {
    let (way, last) = beaten(BEAT);
    assert!(!way.is_cut_off(last + SILENCE_LEAST));
    let silent = last + SILENCE_LEAST + BEAT;
    assert!(way.is_cut_off(silent));
    way.record_activity(silent);
    assert!(!way.is_cut_off(silent));
}

#[test]
fn an_upstream_that_is_heard_keeps_the_way_open_without_beats() {
    let (way, mut now) = beaten(BEAT);
    for _ in 0..30 {
        now += Duration::from_millis(500);
        assert!(!way.is_cut_off(now));
        way.record_activity(now);
    }
}

#[test]
fn beats_that_are_rare_are_missed_later() {
    let rare = Duration::from_secs(1);
    let (way, last) = beaten(rare);
    assert!(!way.is_cut_off(last + rare * 4));
    assert!(way.is_cut_off(last + rare * 6));
}

#[test]
fn a_hall_without_vms_is_tried_again() {
    let (way, last) = beaten(BEAT);
    assert!(way.is_cut_off(last + SILENCE_MOST / 2));
    assert!(!way.is_cut_off(last + SILENCE_MOST));
    let never_heard = HallWay::default();
    assert!(!never_heard.is_cut_off(last));
}

#[test]
fn connections_that_cannot_be_opened_cut_it_off_for_a_while() {
    let way = HallWay::default();
    let now = BootInstant::now();
    for _ in 1..CUT_FAILURES {
        way.record_connect_failure(now);
    }
    assert!(!way.is_cut_off(now), "one says nothing");
    way.record_connect_failure(now);
    assert!(way.is_cut_off(now));
    assert!(!way.is_cut_off(now + CUT_PAUSE));
}
