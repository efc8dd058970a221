use super::*;

const MOMENT: Duration = Duration::from_millis(1);

#[test]
fn without_any_word_the_store_is_asked() {
    assert!(!Freshness::default().is_current(BootInstant::now()));
}

#[test]
fn a_vm_that_has_just_asked_waits_for_a_watcher() {
    let start = BootInstant::now();
    let mut freshness = Freshness::default();
    freshness.record_poll(start);
    assert!(freshness.is_current(start + SETTLE_TIME - MOMENT));
    assert!(!freshness.is_current(start + SETTLE_TIME));
    freshness.note_agreed(start + SETTLE_TIME);
    assert!(freshness.is_current(start + SETTLE_TIME + AGREED_TIME - MOMENT));
    assert!(!freshness.is_current(start + SETTLE_TIME + AGREED_TIME));
}

#[test]
fn a_vm_that_stays_behind_asks() {
    let start = BootInstant::now();
    let mut freshness = Freshness::default();
    freshness.note_agreed(start);
    freshness.note_behind(start);
    freshness.note_behind(start + NEWS_TIME / 2);
    assert!(freshness.is_current(start + NEWS_TIME - MOMENT));
    assert!(!freshness.is_current(start + NEWS_TIME));
    freshness.record_poll(start + NEWS_TIME);
    assert!(freshness.is_current(start + NEWS_TIME), "it has caught up");
}
