use super::*;

const MOMENT: Duration = Duration::from_millis(1);

#[test]
fn without_any_word_the_store_is_asked() {
    assert!(!Freshness::default().is_current(BootInstant::now()));
}

#[test]
fn a_vm_that_has_just_asked_waits_for_a_watcher() {
    let start = BootInstant::now();
    let mut agreement = Freshness::default();
    agreement.record_poll(start);
    assert!(agreement.is_current(start + SETTLE_TIME - MOMENT));
    assert!(!agreement.is_current(start + SETTLE_TIME));
    agreement.note_agreed(start + SETTLE_TIME);
    assert!(agreement.is_current(start + SETTLE_TIME + AGREED_TIME - MOMENT));
    assert!(!agreement.is_current(start + SETTLE_TIME + AGREED_TIME));
}

#[test]
fn a_vm_that_stays_behind_asks() {
    let start = BootInstant::now();
    let mut agreement = Freshness::default();
    agreement.note_agreed(start);
    agreement.note_behind(start);
    agreement.note_behind(start + NEWS_TIME / 2);
    assert!(agreement.is_current(start + NEWS_TIME - MOMENT));
    assert!(!agreement.is_current(start + NEWS_TIME));
    agreement.record_poll(start + NEWS_TIME);
    assert!(agreement.is_current(start + NEWS_TIME), "it has caught up");
}
