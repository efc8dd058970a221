use super::*;

fn at(since_boot: Duration) -> BootInstant {
    BootInstant { since_boot_ns: nanos(since_boot) }
}

#[test]
fn adding_and_subtracting_durations_are_inverse() {
    let start = at(Duration::from_secs(5));
    let time = Duration::from_millis(1_500);
    assert_eq!((start + time) - start, time);
    assert_eq!((start + time) - time, start);
    assert_eq!(start - (start + time), Duration::ZERO, "saturates at zero");
}

/// Another VM may report something that happened before this machine booted.
#[test]
fn an_instant_may_precede_the_boot() {
    let booted = at(Duration::from_secs(1));
    let before = booted.checked_sub(Duration::from_secs(3)).unwrap();
    assert!(before < booted);
    assert_eq!(booted - before, Duration::from_secs(3));
    assert_eq!(at(Duration::ZERO).checked_sub(Duration::MAX), {
        Some(at(Duration::ZERO) - Duration::MAX)
    });
}

#[test]
fn the_system_clock_counts_suspended_time_and_never_goes_back() {
    let mut last = SystemClock.now();
    for _ in 0..1000 {
        let boot = clock_gettime(ClockId::Boottime);
        let boot_ns = boot.tv_sec * NANOS_IN_SECOND + boot.tv_nsec;
        let now = SystemClock.now();
        assert!(now >= last && now.since_boot_ns >= boot_ns);
        assert!(now.since_boot_ns - boot_ns < NANOS_IN_SECOND);
        last = now;
    }
}
