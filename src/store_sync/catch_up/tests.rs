use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn without_any_report_a_vm_is_not_current() {
    assert!(!Freshness::default().is_current(BootInstant::now()));
}

#[test]
fn a_vm_that_has_just_polled_waits_for_a_watcher() {
    let start = BootInstant::now();
    let mut freshness = Freshness::default();
    freshness.record_poll(start);
    assert!(freshness.is_current(start + SETTLE_TIME - MILLISECOND));
    assert!(!freshness.is_current(start + SETTLE_TIME));
    freshness.record_agreement(start + SETTLE_TIME);
    assert!(
        freshness.is_current(
            start + SETTLE_TIME + AGREEMENT_LIFETIME - MILLISECOND
        )
    );
    assert!(!freshness.is_current(start + SETTLE_TIME + AGREEMENT_LIFETIME));
}

#[test]
fn a_vm_that_stays_behind_is_not_current() {
    let start = BootInstant::now();
    let mut freshness = Freshness::default();
    freshness.record_agreement(start);
    freshness.record_behind(start);
    freshness.record_behind(start + PUSH_TIMEOUT / 2);
    assert!(freshness.is_current(start + PUSH_TIMEOUT - MILLISECOND));
    assert!(!freshness.is_current(start + PUSH_TIMEOUT));
    freshness.record_poll(start + PUSH_TIMEOUT);
    assert!(freshness.is_current(start + PUSH_TIMEOUT), "it has caught up");
}
