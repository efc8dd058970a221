//! Tests of one upstream's rate limit, as kept by one VM and by many.

use proptest::prelude::*;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// The window over which operators count requests, and what they allow in it
/// beyond the rate.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const TOLERANCE: f64 = 5.0;

fn rate(text: &str) -> Option<RequestRate> {
    Some(text.parse().unwrap())
}

/// When requests are sent by owners that have one waiting at all times.
fn sent_by_owners(
    rate: RequestRate,
    vms: usize,
    jitters: &[f64],
) -> Vec<Duration> {
    let start = BootInstant::now();
    let owners = max_owners(rate.per_s()).min(vms);
    let mut sent = Vec::new();
    for number in 0..owners {
        let limit = LimitState::default();
        limit.update(
            Some(rate),
            start,
            jitters[number % jitters.len()],
            start,
        );
        let mut passed = Duration::ZERO;
        while passed < SECOND * 20 {
            let now = start + passed;
            let wait = limit.wait(Some(owners), now);
            passed += wait;
            if wait.is_zero() {
                limit.record_sent(now);
                sent.push(passed);
            }
        }
    }
    sent.sort();
    sent
}

fn most_in_window(sent: &[Duration]) -> usize {
    let windows = sent.iter().enumerate().map(|(at, from)| {
        let within = sent[at..].iter().take_while(|s| **s < *from + WINDOW);
        within.count()
    });
    windows.max().unwrap_or(0)
}

proptest! {
    /// Holds whenever the owners begin, although each may have saved up a
    /// request.
    #[test]
    fn owners_together_stay_within_the_limit(
        milli_per_s in 0_u32..50_000,
        vms in 1_usize..300,
        jitters in prop::collection::vec(0.0..=1.0_f64, 1..8),
    ) {
        let per_s = f64::from(milli_per_s) / 1000.0;
        let rate: RequestRate = per_s.to_string().parse().unwrap();
        let sent = sent_by_owners(rate, vms, &jitters);
        let allowed = per_s * WINDOW.as_secs_f64() * FACTOR + TOLERANCE;
        let most = most_in_window(&sent);
        prop_assert!(most as f64 <= allowed, "{} of {}", most, allowed);
        // Most of the rate is used after the first interval.
        let from = Duration::from_secs(10);
        let used = sent.iter().filter(|at| **at >= from).count() as f64;
        let least = (per_s * 0.8 - 0.3) * 10.0;
        prop_assert!(used >= least, "{} of {}", used, least);
    }

    /// Accepts any sequence of announced rates, in any order of arrival.
    #[test]
    fn any_sequence_of_updates_is_accepted(
        updates in prop::collection::vec(
            (any::<u16>(), any::<u16>(), prop::option::of("[0-9]{1,5}")),
            0..40,
        ),
    ) {
        let start = BootInstant::now();
        let limit = LimitState::default();
        let mut now = start;
        for (passed_ms, age_ms, text) in updates {
            now += Duration::from_millis(passed_ms.into());
            let age = Duration::from_millis(age_ms.into());
            let announced_at = now.checked_sub(age).unwrap_or(now);
            let rate = text.map(|text| text.parse().unwrap());
            limit.update(rate, announced_at, 0.5, now);
            let per_s = limit.per_s(now);
            prop_assert!(per_s.is_none_or(|per_s| per_s > 0.0));
            limit.record_sent(now);
            if per_s.is_some() {
                prop_assert!(!limit.wait(None, now).is_zero());
            }
        }
    }
}

#[test]
fn the_newest_announcement_counts() {
    let now = BootInstant::now();
    let limit = LimitState::default();
    let started = limit.update(rate("2"), now, 0.0, now);
    assert_eq!(started, Some(LimitChange::Started("2".parse().unwrap())));
    // An announcement that another VM received earlier.
    let before = now.checked_sub(SECOND).unwrap();
    assert_eq!(limit.update(None, before, 0.0, now), None);
    assert_eq!(limit.per_s(now), Some(2.0));
    assert_eq!(limit.update(rate("3"), now + SECOND, 0.0, now + SECOND), None);
    assert_eq!(limit.per_s(now + SECOND), Some(3.0));
    let later = now + SECOND * 2;
    let ended = limit.update(None, later, 0.0, later);
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limit.update(rate("3"), now + SECOND, 0.0, later), None);
}

#[test]
fn a_limit_ends_once_and_may_start_again() {
    let now = BootInstant::now();
    let limit = LimitState::default();
    limit.update(rate("1"), now, 0.0, now);
    let at = |seconds: u32| now + SECOND * seconds;
    let ended = limit.update(None, at(1), 0.0, at(1));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limit.per_s(at(1)), None);
    assert_eq!(limit.update(None, at(2), 0.0, at(2)), None);
    assert!(limit.update(rate("1"), at(3), 0.0, at(3)).is_some());
    assert_eq!(limit.per_s(at(3)), Some(1.0));
}

#[test]
fn a_limit_that_is_not_repeated_expires() {
    let now = BootInstant::now();
    let limit = LimitState::default();
    limit.update(rate("1"), now, 0.0, now);
    assert!(limit.per_s(now + LIMIT_TTL - SECOND).is_some());
    assert_eq!(limit.per_s(now + LIMIT_TTL), None);
}

/// Guards against an upstream that is never tried again after announcing
/// a rate of zero: only its responses show whether it takes requests.
#[test]
fn a_rate_of_zero_still_allows_occasional_requests() {
    let now = BootInstant::now();
    for text in ["0", "1e-9"] {
        let limit = LimitState::default();
        limit.update(rate(text), now, 1.0, now);
        let interval = SECOND * 30;
        assert!(!limit.wait(Some(3), now + interval - SECOND).is_zero());
        assert!(limit.wait(Some(3), now + interval).is_zero());
    }
}

#[test]
fn the_wait_is_at_most_the_interval_of_all_owners() {
    let now = BootInstant::now();
    let limit = LimitState::default();
    limit.update(rate("0.5"), now, 1.0, now);
    assert_eq!(limit.wait(None, now), SECOND * 2);
    assert_eq!(limit.wait(Some(4), now), SECOND * 2);
    assert_eq!(limit.wait(Some(4), now + SECOND * 7), SECOND);
}
