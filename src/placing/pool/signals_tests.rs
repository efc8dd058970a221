//! Tests of what upstreams report in responses, and of the selection among
//! them.

use super::{
    tests::{GRACE, entry, picks, pool, untried},
    *,
};
use crate::{
    id::StartMs,
    placing::signals::{
        RateLimit, ReportedChange, RetryAfter, UpstreamSignals,
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn leaving() -> UpstreamSignals {
    UpstreamSignals { is_leaving: true, ..UpstreamSignals::default() }
}

fn report(pool: &Pool, id: &str, signals: UpstreamSignals, now: BootInstant) {
    let member = pool.member(&id.parse().unwrap()).unwrap();
    pool.apply_signals(&member, &signals, now, now);
}

fn picked(pool: &Pool, now: BootInstant) -> Vec<String> {
    picks(pool, &PickCriteria::default(), now)
}

#[test]
fn an_upstream_that_reports_leaving_gets_no_more_requests() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let member = pool.member(&"i-1".parse().unwrap()).unwrap();
    let changes = pool.apply_signals(&member, &leaving(), now, now);
    assert_eq!(changes, [ReportedChange::Leaving]);
    let changes = pool.apply_signals(&member, &leaving(), now, now);
    assert_eq!(changes, [], "every response repeats it");
    assert_eq!(picked(&pool, now), ["i-2"]);
    let service = "writers".parse().unwrap();
    let tried = [ShortHash::of("i-2")];
    assert!(!pool.has_untried(&service, &untried(&tried), now));
}

/// Guards against a record that says `ready` until the store has been updated.
#[test]
fn a_stale_record_does_not_revoke_reported_leaving() {
    let now = BootInstant::now();
    for started in [None, Some(StartMs(5))] {
        let ready = UpstreamEntry { started, ..entry("i-1", "a", "v1") };
        let pool = pool(std::slice::from_ref(&ready), now);
        report(&pool, "i-1", leaving(), now);
        assert!(!pool.set(ready.clone(), now), "no incarnation begins");
        assert!(picked(&pool, now).is_empty(), "record read again");
        // The record expires, whether the store is known to be healthy or not.
        for grace in [Duration::ZERO, GRACE] {
            pool.remove(&ready.id, grace, now);
            pool.set(ready.clone(), now);
            assert!(picked(&pool, now).is_empty(), "expired and back");
        }
        pool.remove(&ready.id, GRACE, now);
        let later = now + GRACE;
        assert_eq!(pool.sweep(later).len(), 1);
        pool.set(ready, later);
        assert!(picked(&pool, later).is_empty(), "gone and back");
    }
}

#[test]
fn a_new_incarnation_starts_clean_and_a_graceful_shutdown_is_no_crash() {
    let now = BootInstant::now();
    let started_at = |started| UpstreamEntry {
        started: Some(StartMs(started)),
        ..entry("i-1", "a", "v1")
    };
    let pool = pool(&[started_at(1)], now);
    let first = pool.member(&started_at(1).id).unwrap();
    report(&pool, "i-1", leaving(), now);
    assert!(pool.set(started_at(2), now));
    assert_eq!(picked(&pool, now), ["i-1"]);
    assert!(
        first.is_superseded() && !first.has_crashed(),
        "it had announced that it was leaving"
    );
}

/// A record that was `leaving` and is `ready` again means that the upstream
/// has returned.
#[test]
fn a_record_may_revoke_leaving_that_only_a_record_reported() {
    let now = BootInstant::now();
    let ready = entry("i-1", "a", "v1");
    let state = UpstreamState::Leaving;
    let leaving = UpstreamEntry { state, ..ready.clone() };
    let pool = pool(&[leaving], now);
    assert!(picked(&pool, now).is_empty());
    assert!(pool.set(ready, now));
    assert_eq!(picked(&pool, now), ["i-1"]);
}

fn backing_off(time: Duration) -> UpstreamSignals {
    UpstreamSignals {
        retry_after: Some(RetryAfter::For(time)),
        ..UpstreamSignals::default()
    }
}

fn pick_error(
    pool: &Pool,
    criteria: &PickCriteria<'_>,
    now: BootInstant,
) -> PickError {
    pool.pick(&"writers".parse().unwrap(), criteria, now).unwrap_err()
}

#[test]
fn an_upstream_gets_no_requests_during_its_backoff() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    report(&pool, "i-1", backing_off(SECOND * 3), now);
    assert_eq!(picked(&pool, now + SECOND * 3 - SECOND / 100), ["i-2"]);
    assert_eq!(picked(&pool, now + SECOND * 4), ["i-1", "i-2"]);
}

/// Guards against a retry, or an escalation to a larger model, for which only
/// an upstream in backoff is left. An upstream that rejects everything at once
/// seems the least utilized.
#[test]
fn another_attempt_requires_an_upstream_without_backoff() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let service = "writers".parse().unwrap();
    let tried = [ShortHash::of("i-2")];
    assert!(pool.has_untried(&service, &untried(&tried), now));
    report(&pool, "i-1", backing_off(SECOND), now);
    assert!(!pool.has_untried(&service, &untried(&tried), now));
    assert!(pool.has_untried(&service, &untried(&tried), now + SECOND * 2));
}

#[test]
fn when_all_back_off_the_shortest_backoff_is_returned() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let service = "writers".parse().unwrap();
    report(&pool, "i-1", backing_off(SECOND * 8), now);
    assert_eq!(
        pool.service_backoff(&service, now),
        None,
        "one takes requests"
    );
    report(&pool, "i-2", backing_off(SECOND * 2), now);
    let PickError::BackingOff(left) =
        pick_error(&pool, &PickCriteria::default(), now)
    else {
        panic!("the reason is their backoff");
    };
    assert!(left >= SECOND * 2 && left < SECOND * 3, "{left:?}");
    assert_eq!(pool.service_backoff(&service, now), Some(left));
    // Upstreams that are leaving or were tried before are not waited for.
    report(&pool, "i-2", leaving(), now);
    assert!(pool.service_backoff(&service, now) >= Some(SECOND * 8));
    let tried = [ShortHash::of("i-1")];
    let criteria = PickCriteria { tried: &tried, ..PickCriteria::default() };
    assert_eq!(pick_error(&pool, &criteria, now), PickError::NoCandidate);
}

#[test]
fn a_rewritten_record_does_not_end_a_backoff() {
    let now = BootInstant::now();
    let ready = entry("i-1", "a", "v1");
    let pool = pool(std::slice::from_ref(&ready), now);
    report(&pool, "i-1", backing_off(SECOND * 3), now);
    pool.set(ready.clone(), now);
    assert!(picked(&pool, now).is_empty());
    pool.remove(&ready.id, Duration::ZERO, now);
    pool.set(ready, now);
    assert!(picked(&pool, now).is_empty());
}

/// Guards against harmful values: they must not exclude other upstreams, nor
/// exclude this one forever.
#[test]
fn an_invalid_or_endless_retry_after_affects_no_other_upstream() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let member = pool.member(&"i-1".parse().unwrap()).unwrap();
    let retry_after = Some(RetryAfter::Unreadable("soon".into()));
    let unreadable =
        UpstreamSignals { retry_after, ..UpstreamSignals::default() };
    let changes = pool.apply_signals(&member, &unreadable, now, now);
    assert_eq!(changes, [ReportedChange::RetryAfterUnreadable("soon".into())]);
    assert_eq!(pool.apply_signals(&member, &unreadable, now, now), []);
    assert_eq!(picked(&pool, now), ["i-1", "i-2"]);
    report(&pool, "i-1", backing_off(Duration::MAX), now);
    assert_eq!(picked(&pool, now), ["i-2"]);
    assert_eq!(picked(&pool, now + SECOND * 900), ["i-1", "i-2"]);
}

/// Guards against a canary version that receives every request while the
/// upstreams of the other version have asked for fewer.
#[test]
fn an_avoided_version_gets_no_requests_that_the_others_back_off_from() {
    let now = BootInstant::now();
    let limited = UpstreamSignals {
        rate_limit: Some(RateLimit::At("1".parse().unwrap())),
        ..UpstreamSignals::default()
    };
    for signals in [backing_off(SECOND * 3), limited] {
        let entries = [entry("i-1", "a", "v1"), entry("i-2", "a", "v2")];
        let pool = pool(&entries, now);
        let rules = |version: &str| {
            let version: VersionId = version.parse().unwrap();
            [VersionRule::Avoid(version.clone()), VersionRule::Never(version)]
        };
        report(&pool, "i-1", signals, now);
        for rule in rules("v2") {
            let criteria = PickCriteria { rule, ..PickCriteria::default() };
            let error = pick_error(&pool, &criteria, now);
            assert!(matches!(error, PickError::BackingOff(_)));
        }
        // A preferred version is no reason to reject a request.
        let rule = VersionRule::Prefer("v1".parse().unwrap());
        let criteria = PickCriteria { rule, ..PickCriteria::default() };
        assert_eq!(picks(&pool, &criteria, now), ["i-2"]);
    }
}
