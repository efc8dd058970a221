use super::*;
use crate::placing::{
    member::{UpstreamEntry, UpstreamState},
    pool::Pool,
    warm_up::WarmUpSlack,
};

fn service() -> ServiceId {
    "writers".parse().unwrap()
}

fn list(pool: &Pool, id: &str, software: &str, at: BootInstant) {
    let entry = UpstreamEntry {
        id: id.parse().unwrap(),
        started: None,
        service: service(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_hall: "hall-a".parse().unwrap(),
        software: software.parse().unwrap(),
        slots: 8,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
        sequence: 1,
    };
    pool.set(entry, at);
}

fn pool() -> Pool {
    let hall = "hall-a".parse().unwrap();
    let slack = WarmUpSlack { overshoot: 0.0, tolerance: 0.0 };
    Pool::new("vm-0", hall, slack)
}

#[test]
fn the_version_that_is_listed_last_is_recent_for_a_while() {
    let pool = pool();
    let now = BootInstant::now();
    list(&pool, "i-1", "v1", now);
    assert_eq!(pool.recent_version(&service(), now), None);
    let at = now + Duration::from_secs(60);
    list(&pool, "i-2", "v2", at);
    let later = at + ORDER_DELAY / 2;
    // The first upstream of the version counts.
    list(&pool, "i-3", "v2", later);
    let recent = Some("v2".parse().unwrap());
    assert_eq!(pool.recent_version(&service(), later), recent);
    assert_eq!(pool.recent_version(&service(), at + ORDER_DELAY), None);
}

/// The upstreams of a service are replaced one after the other.
#[test]
fn a_version_whose_upstreams_are_replaced_is_not_recent() {
    let pool = pool();
    let now = BootInstant::now();
    list(&pool, "i-1", "v1", now);
    let at = now + Duration::from_secs(60);
    list(&pool, "i-2", "v1", at);
    assert_eq!(pool.recent_version(&service(), at), None);
}

/// A VM that has just started reads the new version's upstreams first.
#[test]
fn no_version_is_recent_where_all_are_read_after_a_start() {
    let pool = pool();
    let now = BootInstant::now();
    list(&pool, "i-1", "v2", now);
    let at = now + READ_TIME / 2;
    list(&pool, "i-2", "v1", at);
    assert_eq!(pool.recent_version(&service(), at), None);
}
