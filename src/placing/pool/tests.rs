use super::*;
use crate::id::StartMs;
use crate::message::InFlightWork;
use crate::placing::member::{LoadReport, PEER_WORK_TTL};
use crate::placing::{hall_link::PARTITION_PAUSE, health::AttemptOutcome};

pub(super) const SLACK: WarmUpSlack =
    WarmUpSlack { overshoot: 1.5, tolerance: 5.0 };

/// How long upstreams are used whose record has vanished.
pub(super) const GRACE: Duration = Duration::from_millis(1500);

pub(super) fn entry(id: &str, hall: &str, software: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        started: None,
        service: "writers".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_hall: hall.parse().unwrap(),
        software: software.parse().unwrap(),
        slots: 10,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
        sequence: 1,
    }
}

pub(super) fn pool(entries: &[UpstreamEntry], now: BootInstant) -> Pool {
    let pool = Pool::new("vm-1", "a".parse().unwrap(), SLACK);
    for entry in entries {
        pool.set(entry.clone(), now);
    }
    pool
}

pub(super) fn picks(
    pool: &Pool,
    criteria: &PickCriteria<'_>,
    now: BootInstant,
) -> Vec<String> {
    let service = "writers".parse().unwrap();
    let mut names: Vec<String> = (0..200)
        .filter_map(|_| pool.pick(&service, criteria, now).ok())
        .map(|member| member.entry.id.to_string())
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Returns criteria for upstreams that are not among `tried`.
pub(super) fn untried(tried: &[ShortHash]) -> PickCriteria<'_> {
    PickCriteria { tried, ..PickCriteria::default() }
}

#[test]
fn leaving_and_tried_upstreams_are_not_picked() {
    let now = BootInstant::now();
    let mut leaving = entry("i-3", "a", "v1");
    leaving.state = UpstreamState::Leaving;
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "a", "v1"), leaving];
    let pool = pool(&entries, now);
    let tried = [ShortHash::of("i-1")];
    let criteria = PickCriteria { tried: &tried, ..PickCriteria::default() };
    assert_eq!(picks(&pool, &criteria, now), ["i-2"]);
}

/// Guards against excluding a restarted upstream because its earlier
/// incarnation was tried.
#[test]
fn an_upstream_restarted_since_it_was_tried_may_be_picked() {
    let now = BootInstant::now();
    let started_at = |started| UpstreamEntry {
        started: Some(StartMs(started)),
        ..entry("i-1", "a", "v1")
    };
    let pool = pool(&[started_at(1)], now);
    let tried = [ShortHash::of(&started_at(1).incarnation().to_string())];
    let service = "writers".parse().unwrap();
    let criteria = PickCriteria { tried: &tried, ..PickCriteria::default() };
    assert!(!pool.has_untried(&service, &criteria, now));
    pool.set(started_at(2), now);
    assert!(pool.has_untried(&service, &criteria, now));
    assert_eq!(picks(&pool, &criteria, now), ["i-1"]);
}

#[test]
fn the_version_rule_restricts_the_pick() {
    let now = BootInstant::now();
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "a", "v2")];
    let pool = pool(&entries, now);
    let new: VersionId = "v2".parse().unwrap();
    let by = |rule| {
        picks(&pool, &PickCriteria { rule, ..PickCriteria::default() }, now)
    };
    assert_eq!(by(VersionRule::Prefer(new.clone())), ["i-2"]);
    assert_eq!(by(VersionRule::Avoid(new.clone())), ["i-1"]);
    pool.remove(&"i-1".parse().unwrap(), Duration::ZERO, now);
    assert_eq!(by(VersionRule::Avoid(new.clone())), ["i-2"]);
    assert!(by(VersionRule::Never(new)).is_empty());
}

/// All upstreams of the old version were tried; they still take requests.
#[test]
fn retries_do_not_all_go_to_a_version_on_trial() {
    let now = BootInstant::now();
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "a", "v2")];
    let pool = pool(&entries, now);
    let tried = [ShortHash::of("i-1")];
    let rule = VersionRule::Avoid("v2".parse().unwrap());
    let criteria =
        PickCriteria { rule, tried: &tried, ..PickCriteria::default() };
    let service = "writers".parse().unwrap();
    assert!(picks(&pool, &criteria, now).is_empty());
    assert!(!pool.has_untried(&service, &criteria, now));
    pool.remove(&"i-1".parse().unwrap(), Duration::ZERO, now);
    assert_eq!(picks(&pool, &criteria, now), ["i-2"]);
    assert!(pool.has_untried(&service, &criteria, now));
}

#[test]
fn a_prompt_goes_to_one_upstream_until_it_is_busy() {
    let now = BootInstant::now();
    let entries: Vec<UpstreamEntry> =
        (0..8).map(|n| entry(&format!("i-{n}"), "a", "v1")).collect();
    let pool = pool(&entries, now);
    let affinity = PrefixAffinity {
        prefix_hash: 77,
        cache_miss_cost: Duration::from_millis(100),
    };
    let criteria =
        PickCriteria { affinity: Some(affinity), ..PickCriteria::default() };
    let home = picks(&pool, &criteria, now);
    assert_eq!(home.len(), 1);
    let member = pool.member(&home[0].parse().unwrap()).unwrap();
    let prefill = member.begin_prefill(Duration::from_millis(60));
    assert_ne!(
        picks(&pool, &criteria, now),
        home,
        "the second choice is idle"
    );
    drop(prefill);
    assert_eq!(picks(&pool, &criteria, now), home);
}

#[test]
fn work_of_other_vms_counts_and_expires() {
    let now = BootInstant::now();
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "a", "v1")];
    let pool = pool(&entries, now);
    let busy = pool.member(&"i-1".parse().unwrap()).unwrap();
    let work = InFlightWork { requests: 9, prefill_ms: 500 };
    pool.set_peer_work("vm-2", &[(busy.upstream.short_hash, work)], now);
    assert_eq!(busy.requests(now), 9);
    assert_eq!(picks(&pool, &PickCriteria::default(), now), ["i-2"]);
    let later = now + PEER_WORK_TTL;
    pool.set_peer_work("vm-3", &[], later);
    assert_eq!(busy.requests(later), 0);
}

#[test]
fn pick_fails_with_full_when_all_upstreams_are_full() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1")], now);
    let member = pool.member(&"i-1".parse().unwrap()).unwrap();
    let guards: Vec<_> = (0..13).map(|_| member.upstream.begin()).collect();
    let service = "writers".parse().unwrap();
    let picked = pool.pick(&service, &PickCriteria::default(), now);
    assert_eq!(picked.unwrap_err(), PickError::Full);
    drop(guards);
    assert!(pool.pick(&service, &PickCriteria::default(), now).is_ok());
    let other = "nobody".parse().unwrap();
    let picked = pool.pick(&other, &PickCriteria::default(), now);
    assert_eq!(picked.unwrap_err(), PickError::NoCandidate);
}

/// The store may carry out a write of an upstream after a later one, by which
/// the upstream leaves.
#[test]
fn a_late_write_does_not_make_a_leaving_upstream_ready() {
    let now = BootInstant::now();
    let written = |state, sequence| UpstreamEntry {
        state,
        sequence,
        ..entry("i-1", "a", "v1")
    };
    let (ready, leaving) = (UpstreamState::Ready, UpstreamState::Leaving);
    let criteria = PickCriteria::default();
    // A VM that starts may know the record only as leaving.
    for first in [written(ready, 3), written(leaving, 4)] {
        let pool = pool(&[first], now);
        pool.set(written(leaving, 9), now);
        assert!(!pool.set(written(ready, 8), now), "no incarnation begins");
        assert!(picks(&pool, &criteria, now).is_empty());
        assert!(pool.set(written(ready, 10), now), "it is back");
        assert_eq!(picks(&pool, &criteria, now), ["i-1"]);
    }
}

#[test]
fn a_record_that_vanished_in_a_store_outage_may_return() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1")], now);
    let id = "i-1".parse().unwrap();
    pool.remove(&id, GRACE, now);
    let soon = now + GRACE / 2;
    assert_eq!(picks(&pool, &PickCriteria::default(), soon), ["i-1"]);
    assert!(pool.sweep(soon).is_empty());
    pool.set(entry("i-1", "a", "v1"), soon);
    let late = now + GRACE * 2;
    assert!(pool.sweep(late).is_empty());
    assert_eq!(picks(&pool, &PickCriteria::default(), late), ["i-1"]);
    pool.remove(&id, GRACE, late);
    assert_eq!(pool.sweep(late + GRACE).len(), 1);
    assert!(picks(&pool, &PickCriteria::default(), late).is_empty());
}

#[test]
fn an_unreachable_hall_is_avoided_for_a_while() {
    let now = BootInstant::now();
    let entries = [
        entry("i-1", "a", "v1"),
        entry("i-2", "b", "v1"),
        entry("i-3", "b", "v1"),
        entry("i-4", "b", "v1"),
    ];
    let pool = pool(&entries, now);
    for id in ["i-2", "i-3"] {
        let member = pool.member(&id.parse().unwrap()).unwrap();
        member.health.record(AttemptOutcome::Unreachable, now);
        member.record_connect_failure(now);
    }
    assert_eq!(picks(&pool, &PickCriteria::default(), now), ["i-1"]);
    let other = pool.member(&"i-4".parse().unwrap()).unwrap();
    let limit = Duration::from_secs(1);
    let silent = now + PARTITION_SILENCE;
    assert!(pool.seems_dead(&other, PARTITION_SILENCE, limit, silent));
    assert!(!pool.seems_dead(&other, Duration::ZERO, limit, silent));
    let later = now + PARTITION_PAUSE / 2;
    assert_eq!(picks(&pool, &PickCriteria::default(), later), ["i-1"]);
    other.record_activity(now);
    let near = pool.member(&"i-1".parse().unwrap()).unwrap();
    let _guards = [near.upstream.begin(), near.upstream.begin()];
    assert!(
        picks(&pool, &PickCriteria::default(), now)
            .contains(&"i-4".to_owned())
    );
}

#[test]
fn a_hall_that_sends_heartbeats_is_not_partitioned() {
    let now = BootInstant::now();
    let entries = [
        entry("i-1", "b", "v1"),
        entry("i-2", "b", "v1"),
        entry("i-3", "b", "v1"),
    ];
    let pool = pool(&entries, now);
    let member = |id: &str| pool.member(&id.parse().unwrap()).unwrap();
    for id in ["i-1", "i-2"] {
        member(id).record_connect_failure(now);
    }
    assert!(pool.is_partitioned(&member("i-3"), now));
    pool.record_hall_heartbeat(&"b".parse().unwrap(), now);
    assert!(!pool.is_partitioned(&member("i-3"), now));
    member("i-1").record_connect_failure(now);
    assert!(!pool.is_partitioned(&member("i-3"), now), "one is not enough");
}

#[test]
fn a_silent_hall_gets_no_requests_and_its_streams_are_given_up() {
    let mut now = BootInstant::now();
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "b", "v1")];
    let pool = pool(&entries, now);
    let (near, far) = ("a".parse().unwrap(), "b".parse().unwrap());
    let interval = Duration::from_millis(200);
    for _ in 0..10 {
        now += interval;
        pool.record_hall_heartbeat(&near, now);
        pool.record_hall_heartbeat(&far, now);
    }
    let member = pool.member(&"i-2".parse().unwrap()).unwrap();
    member.record_activity(now);
    let began_at = now;
    let limit = Duration::from_secs(5);
    let silent = began_at + Duration::from_millis(1500);
    let waited = silent - began_at;
    assert!(pool.seems_dead(&member, waited, limit, silent));
    // However busy the remaining hall is, and although no heartbeats come from
    // it: this VM runs there.
    let busy = pool.member(&"i-1".parse().unwrap()).unwrap();
    let _guards: Vec<_> = (0..9).map(|_| busy.upstream.begin()).collect();
    assert_eq!(picks(&pool, &PickCriteria::default(), silent), ["i-1"]);
    pool.record_hall_heartbeat(&far, silent);
    assert_eq!(picks(&pool, &PickCriteria::default(), silent), ["i-2"]);
}

#[test]
fn an_evacuated_hall_gets_no_requests_under_any_criteria() {
    let now = BootInstant::now();
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "b", "v2")];
    let pool = pool(&entries, now);
    let (near, far) = ("a".parse().unwrap(), "b".parse().unwrap());
    let old: VersionId = "v1".parse().unwrap();
    let affinity = PrefixAffinity {
        prefix_hash: 7,
        cache_miss_cost: Duration::from_secs(1),
    };
    assert!(pool.evacuate(&near));
    assert!(!pool.evacuate(&near), "it is already evacuated");
    for rule in [VersionRule::Any, VersionRule::Prefer(old.clone())] {
        let criteria = PickCriteria {
            rule,
            affinity: Some(affinity),
            ..PickCriteria::default()
        };
        assert_eq!(picks(&pool, &criteria, now), ["i-2"]);
    }
    // This also holds if no other upstream is healthy.
    let other = pool.member(&"i-2".parse().unwrap()).unwrap();
    other.health.record(AttemptOutcome::Unreachable, now);
    assert_eq!(picks(&pool, &PickCriteria::default(), now), ["i-2"]);
    assert!(pool.evacuate(&far));
    let service = "writers".parse().unwrap();
    let picked = pool.pick(&service, &PickCriteria::default(), now);
    assert_eq!(picked.unwrap_err(), PickError::Evacuated);
    assert!(pool.end_evacuation(&near, now));
    assert_eq!(picks(&pool, &PickCriteria::default(), now), ["i-1"]);
}

#[test]
fn a_reported_load_counts_while_it_is_fresh() {
    let now = BootInstant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "a", "v1")];
    let (here, there) = (pool(&entries, now), pool(&entries, now));
    here.record_expected_prefill(Duration::from_millis(100));
    there.record_expected_prefill(Duration::from_millis(100));
    let member = |pool: &Pool| pool.member(&"i-1".parse().unwrap()).unwrap();
    let load = LoadReport { running: 2, waiting: 6, ..LoadReport::default() };
    here.record_load(&member(&here), load, now);
    assert_eq!(member(&here).requests(now), 8);
    assert_eq!(member(&here).prefill_backlog(now), Duration::from_millis(600));
    assert_eq!(picks(&here, &PickCriteria::default(), now), ["i-2"]);
    // The other VMs of the hall learn the age of the report, and receive it
    // once.
    let reports = here.take_loads(after(100));
    assert!(here.take_loads(after(100)).is_empty());
    there.merge_peer_loads(&reports, after(100));
    assert_eq!(member(&there).requests(after(0)), 8);
    // The queued prompts are prefilled meanwhile, and other reports count
    // again.
    let later = after(500);
    assert_eq!(
        member(&there).prefill_backlog(later),
        Duration::from_millis(100)
    );
    assert_eq!(member(&there).requests(after(5000)), 0);
    // A report that is older than the last one changes nothing.
    let free = LoadReport::default();
    there.record_load(&member(&there), free, later);
    there.merge_peer_loads(&reports, after(600));
    assert_eq!(member(&there).requests(later), 0);
}

#[test]
fn a_failure_is_isolated_while_upstreams_with_the_same_software_are_healthy() {
    let now = BootInstant::now();
    let entries: Vec<UpstreamEntry> =
        (0..4).map(|n| entry(&format!("i-{n}"), "a", "v2")).collect();
    let pool = pool(&entries, now);
    let member = |n: usize| pool.member(&entries[n].id).unwrap();
    assert!(!pool.is_isolated_failure(&member(0), now));
    member(0).health.record(AttemptOutcome::Failed, now);
    assert!(pool.is_isolated_failure(&member(0), now));
    member(1).health.record(AttemptOutcome::Failed, now);
    assert!(!pool.is_isolated_failure(&member(0), now), "half of them fail");
}

#[test]
fn has_untried_skips_tried_and_evacuated_upstreams() {
    let now = BootInstant::now();
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "b", "v1")];
    let pool = pool(&entries, now);
    let service = "writers".parse().unwrap();
    let first = [ShortHash::of("i-1")];
    assert!(pool.has_untried(&service, &untried(&first), now));
    pool.evacuate(&"b".parse().unwrap());
    assert!(!pool.has_untried(&service, &untried(&first), now));
    assert!(pool.has_untried(&service, &untried(&[]), now));
}

#[test]
fn work_missing_from_the_next_report_is_removed() {
    let now = BootInstant::now();
    let entries = [entry("i-1", "a", "v1"), entry("i-2", "a", "v1")];
    let pool = pool(&entries, now);
    let member = |id: &str| pool.member(&id.parse().unwrap()).unwrap();
    let short_hash = |id: &str| member(id).upstream.short_hash;
    let work = InFlightWork { requests: 3, prefill_ms: 40 };
    pool.set_peer_work("vm-2", &[(short_hash("i-1"), work)], now);
    pool.set_peer_work("vm-2", &[(short_hash("i-2"), work)], now);
    assert_eq!(member("i-1").requests(now), 0);
    assert_eq!(member("i-2").requests(now), 3);
}

/// Guards against a service that stays uncoordinated in a hall that is cut
/// off, since the slots of the other halls count.
#[test]
fn slots_in_partitioned_halls_do_not_count() {
    let now = BootInstant::now();
    let six = |id: &str, hall: &str| UpstreamEntry {
        slots: 6,
        ..entry(id, hall, "v1")
    };
    let entries = [six("i-1", "a"), six("i-2", "b"), six("i-3", "c")];
    let pool = pool(&entries, now);
    let service = "writers".parse().unwrap();
    assert_eq!(pool.slots(&service, now), 18);
    for hall in ["b", "c"] {
        let link = pool.link(&hall.parse().unwrap());
        link.record_connect_failure(now);
        link.record_connect_failure(now);
    }
    assert_eq!(pool.slots(&service, now), 6);
    assert_eq!(pool.slots(&service, now + PARTITION_PAUSE), 18);
}
