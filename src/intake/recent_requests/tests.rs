use super::*;

#[test]
fn the_rate_is_that_of_the_time_asked_for() {
    let start = BootInstant::now();
    let mut recent = RecentRequests::default();
    // A hundred a second, then twenty.
    for ms in (0..2000).step_by(10) {
        recent.record(start + Duration::from_millis(ms));
    }
    for ms in (2000..4000).step_by(50) {
        recent.record(start + Duration::from_millis(ms));
    }
    let rate = |from_s, to_s| {
        let at = |s| start + Duration::from_secs(s);
        recent.rate_per_s(at(from_s), at(to_s)).round()
    };
    assert_eq!(rate(2, 4), 20.0);
    assert_eq!(rate(0, 4), 60.0);
}

#[test]
fn old_requests_are_forgotten() {
    let start = BootInstant::now();
    let mut recent = RecentRequests::default();
    for ms in (0..20_000).step_by(10) {
        recent.record(start + Duration::from_millis(ms));
    }
    assert!(recent.buckets.len() <= 102, "{}", recent.buckets.len());
    let now = start + Duration::from_secs(20);
    assert_eq!(recent.rate_per_s(start, now).round(), 100.0);
}
