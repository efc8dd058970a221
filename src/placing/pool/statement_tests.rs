//! What upstreams say of themselves, and the choice among them.

use super::{
    tests::{entry, picks, pool},
    *,
};
use crate::id::StartMs;

fn leaves() -> Statement {
    Statement { is_leaving: true, ..Statement::default() }
}

fn says(pool: &Pool, id: &str, statement: Statement, now: BootInstant) {
    let member = pool.member(&id.parse().unwrap()).unwrap();
    pool.take_statement(&member, &statement, now);
}

fn open(pool: &Pool, now: BootInstant) -> Vec<String> {
    picks(pool, &Want::default(), now)
}

#[test]
fn one_that_says_that_it_leaves_gets_no_more() {
    let now = BootInstant::now();
    let pool = pool(&[entry("i-1", "a", "v1"), entry("i-2", "a", "v1")], now);
    let member = pool.member(&"i-1".parse().unwrap()).unwrap();
    let news = pool.take_statement(&member, &leaves(), now);
    assert_eq!(news, [OwnNews::Leaving]);
    let news = pool.take_statement(&member, &leaves(), now);
    assert_eq!(news, [], "it says so in each answer");
    assert_eq!(open(&pool, now), ["i-2"]);
    let service = "writers".parse().unwrap();
    let tried = [ShortHash::of("i-2")];
    assert!(!pool.has_other(&service, &tried, now));
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
    assert!(first.is_over() && !first.has_crashed(), "its end was planned");
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
