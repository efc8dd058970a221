use super::*;

const LATE: Duration = Duration::from_millis(200);

fn at(start: BootInstant, ms: u64) -> BootInstant {
    start + Duration::from_millis(ms)
}

#[test]
fn a_burst_does_not_count_as_late() {
    let start = BootInstant::now();
    let mut monitor = DelayMonitor::default();
    for ms in 0..60 {
        monitor.record(LATE, at(start, ms));
    }
    assert!(!monitor.is_late(at(start, 60)));
    monitor.record(Duration::from_millis(1), at(start, 90));
    monitor.record(LATE, at(start, 130));
    assert!(!monitor.is_late(at(start, 130)));
    assert_eq!(monitor.late_since(at(start, 130)), Some(at(start, 130)));
}

#[test]
fn a_few_late_samples_are_no_overload() {
    let start = BootInstant::now();
    let mut monitor = DelayMonitor::default();
    for ms in [0, 100, 200, 300] {
        monitor.record(LATE, at(start, ms));
    }
    assert!(!monitor.is_late(at(start, 300)));
    monitor.record(LATE, at(start, 400));
    assert!(monitor.is_late(at(start, 400)));
}

/// A VM that is suspended must not look overloaded for longer than that.
#[test]
fn old_samples_say_nothing() {
    let start = BootInstant::now();
    let mut monitor = DelayMonitor::default();
    for ms in (0..200).step_by(10) {
        monitor.record(LATE, at(start, ms));
    }
    assert!(monitor.is_late(at(start, 200)));
    assert!(!monitor.is_late(at(start, 800)));
    monitor.record(LATE, at(start, 3000));
    assert!(!monitor.is_late(at(start, 3000)));
}
