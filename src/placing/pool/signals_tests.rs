//! What upstreams say of themselves, and the choice among them.

use super::{
    tests::{entry, picks, pool},
    *,
};
use crate::{
    id::StartMs,
    placing::signals::{
        RateLimit, ReportedChange, RetryAfter, UpstreamSignals,
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn leaves() -> UpstreamSignals {
    UpstreamSignals { is_leaving: true, ..UpstreamSignals::default() }
}

fn says(pool: &Pool, id: &str, statement: UpstreamSignals, now: BootInstant) {
    let member = pool.member(&id.parse().unwrap()).unwrap();
    pool.apply_signals(&member, &statement, now, now);
}

fn open(pool: &Pool, now: BootInstant) -> Vec<String> {
    picks(pool, &PickCriteria::default(), now)
}

#[test]
fn one_that_says_that_it_leaves_gets_no_more() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let member = pool.member(&"i-1".parse().unwrap()).unwrap();
    let news = pool.apply_signals(&member, &leaves(), now, now);
    assert_eq!(news, [ReportedChange::Leaving]);
    let news = pool.apply_signals(&member, &leaves(), now, now);
    assert_eq!(news, [], "it says so in each answer");
    assert_eq!(open(&pool, now), ["i-2"]);
    let service = "writers".parse().unwrap();
    let tried = [ShortHash::of("i-2")];
    assert!(!pool.has_untried(&service, &tried, now));
}

/// Its record says `ready` until the store has taken its leave.
#[test]
fn its_record_that_is_read_again_does_not_bring_it_back() {
    let now = BootInstant::now();
    for started in [None, Some(StartMs(5))] {
        let ready = UpstreamEntry { started, ..entry("i-1", "a", "v1") };
        let pool = pool(std::slice::from_ref(&ready), now);
        says(&pool, "i-1", leaves(), now);
        assert!(!pool.set(ready.clone(), now), "no life begins");
        assert!(open(&pool, now).is_empty(), "read again");
        // The record lapses, as the store takes it or loses it.
        for is_sure in [true, false] {
            pool.remove(&ready.id, is_sure, now);
            pool.set(ready.clone(), now);
            assert!(open(&pool, now).is_empty(), "lapsed and back");
        }
        pool.remove(&ready.id, false, now);
        let later = now + VANISHED_GRACE;
        assert_eq!(pool.sweep(later).len(), 1);
        pool.set(ready, later);
        assert!(open(&pool, later).is_empty(), "gone and back");
    }
}

#[test]
fn a_later_life_has_said_nothing_and_the_earlier_has_not_crashed() {
    let now = BootInstant::now();
    let life = |started| UpstreamEntry {
        started: Some(StartMs(started)),
        ..entry("i-1", "a", "v1")
    };
    let pool = pool(&[life(1)], now);
    let first = pool.member(&life(1).id).unwrap();
    says(&pool, "i-1", leaves(), now);
    assert!(pool.set(life(2), now));
    assert_eq!(open(&pool, now), ["i-1"]);
    assert!(
        first.is_superseded() && !first.has_crashed(),
        "its end was planned"
    );
}

/// A record that was once `leaving` and is `ready` again is a return.
#[test]
fn a_record_alone_may_take_back_what_a_record_alone_has_said() {
    let now = BootInstant::now();
    let ready = entry("i-1", "a", "v1");
    let state = UpstreamState::Leaving;
    let leaving = UpstreamEntry { state, ..ready.clone() };
    let pool = pool(&[leaving], now);
    assert!(open(&pool, now).is_empty());
    assert!(pool.set(ready, now));
    assert_eq!(open(&pool, now), ["i-1"]);
}

fn rests(time: Duration) -> UpstreamSignals {
    UpstreamSignals {
        retry_after: Some(RetryAfter::For(time)),
        ..UpstreamSignals::default()
    }
}

fn refused(
    pool: &Pool,
    want: &PickCriteria<'_>,
    now: BootInstant,
) -> PickError {
    pool.pick(&"writers".parse().unwrap(), want, now).unwrap_err()
}

#[test]
fn one_at_rest_is_left_alone_until_it_is_over() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    says(&pool, "i-1", rests(SECOND * 3), now);
    assert_eq!(open(&pool, now + SECOND * 3 - SECOND / 100), ["i-2"]);
    assert_eq!(open(&pool, now + SECOND * 4), ["i-1", "i-2"]);
}

/// The one among many that turns everything away at once seems the emptiest;
/// and one that is asked for a larger model may be the only one awake.
#[test]
fn another_attempt_is_possible_only_where_one_is_awake() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let service = "writers".parse().unwrap();
    let tried = [ShortHash::of("i-2")];
    assert!(pool.has_untried(&service, &tried, now));
    says(&pool, "i-1", rests(SECOND), now);
    assert!(!pool.has_untried(&service, &tried, now));
    assert!(pool.has_untried(&service, &tried, now + SECOND * 2));
}

#[test]
fn when_all_are_at_rest_the_soonest_return_is_told() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let service = "writers".parse().unwrap();
    says(&pool, "i-1", rests(SECOND * 8), now);
    assert_eq!(pool.service_backoff(&service, now), None, "one is awake");
    says(&pool, "i-2", rests(SECOND * 2), now);
    let PickError::BackingOff(left) =
        refused(&pool, &PickCriteria::default(), now)
    else {
        panic!("the reason is their rest");
    };
    assert!(left >= SECOND * 2 && left < SECOND * 3, "{left:?}");
    assert_eq!(pool.service_backoff(&service, now), Some(left));
    // Those that leave or were asked already are not waited for.
    says(&pool, "i-2", leaves(), now);
    assert!(pool.service_backoff(&service, now) >= Some(SECOND * 8));
    let tried = [ShortHash::of("i-1")];
    let want = PickCriteria { tried: &tried, ..PickCriteria::default() };
    assert_eq!(refused(&pool, &want, now), PickError::NoCandidate);
}

#[test]
fn a_record_that_is_written_again_ends_no_rest() {
    let now = BootInstant::now();
    let ready = entry("i-1", "a", "v1");
    let pool = pool(std::slice::from_ref(&ready), now);
    says(&pool, "i-1", rests(SECOND * 3), now);
    pool.set(ready.clone(), now);
    assert!(open(&pool, now).is_empty());
    pool.remove(&ready.id, true, now);
    pool.set(ready, now);
    assert!(open(&pool, now).is_empty());
}

/// Values that harm are no reason to use nobody else, or this one never.
#[test]
fn a_rest_that_is_no_time_or_endless_harms_nobody_else() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let member = pool.member(&"i-1".parse().unwrap()).unwrap();
    let rest = Some(RetryAfter::Unreadable("soon".into()));
    let unreadable =
        UpstreamSignals { retry_after: rest, ..UpstreamSignals::default() };
    let news = pool.apply_signals(&member, &unreadable, now, now);
    assert_eq!(news, [ReportedChange::RetryAfterUnreadable("soon".into())]);
    assert_eq!(pool.apply_signals(&member, &unreadable, now, now), []);
    assert_eq!(open(&pool, now), ["i-1", "i-2"]);
    says(&pool, "i-1", rests(Duration::MAX), now);
    assert_eq!(open(&pool, now), ["i-2"]);
    assert_eq!(open(&pool, now + SECOND * 900), ["i-1", "i-2"]);
}

/// Guards against a version on trial that gets every request while the
/// upstreams of the other one have asked for fewer.
#[test]
fn a_version_to_avoid_does_not_get_what_the_others_back_off_from() {
    let now = BootInstant::now();
    let limited = UpstreamSignals {
        rate_limit: Some(RateLimit::At("1".parse().unwrap())),
        ..UpstreamSignals::default()
    };
    for statement in [rests(SECOND * 3), limited] {
        let entries = [entry("i-1", "a", "v1"), entry("i-2", "a", "v2")];
        let pool = pool(&entries, now);
        let rules = |version: &str| {
            let version: VersionId = version.parse().unwrap();
            [VersionRule::Avoid(version.clone()), VersionRule::Never(version)]
        };
        says(&pool, "i-1", statement, now);
        for rule in rules("v2") {
            let want = PickCriteria { rule, ..PickCriteria::default() };
            let no_member = refused(&pool, &want, now);
            assert!(matches!(no_member, PickError::BackingOff(_)));
        }
        // One that is only preferred is not worth a refusal.
        let rule = VersionRule::Prefer("v1".parse().unwrap());
        let want = PickCriteria { rule, ..PickCriteria::default() };
        assert_eq!(picks(&pool, &want, now), ["i-2"]);
    }
}
