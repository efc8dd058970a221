use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

fn at(start: BootInstant, ms: u64) -> BootInstant {
    start + Duration::from_millis(ms)
}

/// Offers a connection each millisecond; returns how many are accepted.
fn accepted(
    limiter: &mut ConnectionLimiter,
    start: BootInstant,
    from_ms: u64,
    to_ms: u64,
    overloaded_since: Option<BootInstant>,
) -> u32 {
    let mut count = 0;
    for ms in from_ms..to_ms {
        let now = at(start, ms);
        if limiter.may_accept(overloaded_since, now) {
            limiter.record_request(now);
            count += 1;
        }
    }
    count
}

#[test]
fn a_vm_accepts_what_it_has_borne_after_an_overload() {
    let start = BootInstant::now();
    let mut limiter = ConnectionLimiter::default();
    assert_eq!(accepted(&mut limiter, start, 0, 300, None), 300);
    // It takes until 3000 ms to do them.
    let since = Some(start);
    let drained = accepted(&mut limiter, start, 300, 3000, since);
    assert!((1..=8).contains(&drained), "{drained}");
    let after = accepted(&mut limiter, start, 3000, 4000, None);
    assert!((80..=150).contains(&after), "{after}");
}

#[test]
fn the_rate_grows_until_the_next_overload() {
    let start = BootInstant::now();
    let mut limiter = ConnectionLimiter::default();
    accepted(&mut limiter, start, 0, 300, None);
    accepted(&mut limiter, start, 300, 3000, Some(start));
    accepted(&mut limiter, start, 3000, 6000, None);
    let rate = limiter.rate_per_s().unwrap();
    assert!((130.0..220.0).contains(&rate), "{rate}");
    accepted(&mut limiter, start, 6000, 6200, Some(at(start, 5900)));
    accepted(&mut limiter, start, 6200, 6201, None);
    let lower = limiter.rate_per_s().unwrap();
    assert!((0.7..=0.9).contains(&(lower / rate)), "{lower} of {rate}");
}

#[test]
fn the_limit_ends_once_fewer_connections_come() {
    let start = BootInstant::now();
    let mut limiter = ConnectionLimiter::default();
    accepted(&mut limiter, start, 0, 300, None);
    accepted(&mut limiter, start, 300, 3000, Some(start));
    assert!(limiter.may_accept(None, at(start, 3000)));
    for ms in (3000..6000).step_by(100) {
        let now = at(start, ms);
        assert!(limiter.may_accept(None, now), "{ms}");
        limiter.record_request(now);
    }
    assert_eq!(limiter.rate_per_s(), None);
}

/// Requests on open connections leave less room for new ones.
#[test]
fn requests_on_open_connections_count() {
    let start = BootInstant::now();
    let mut limiter = ConnectionLimiter::default();
    accepted(&mut limiter, start, 0, 300, None);
    accepted(&mut limiter, start, 300, 3000, Some(start));
    let mut count = 0;
    for ms in 3000..4000 {
        let now = at(start, ms);
        if ms % 12 == 0 {
            limiter.record_request(now);
        }
        if limiter.may_accept(None, now) {
            limiter.record_request(now);
            count += 1;
        }
    }
    assert!((5..=45).contains(&count), "{count}");
}

/// Connections of a slow VM would be refused for as long as any come if a
/// single one used up what may be accepted at once.
#[test]
fn the_limit_of_a_slow_vm_ends_once_fewer_connections_come() {
    let start = BootInstant::now();
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut limiter = ConnectionLimiter::default();
        for ms in (0..300).step_by(30) {
            limiter.record_request(at(start, ms));
        }
        // It takes until 1000 ms to do them.
        assert!(limiter.may_accept(Some(start), at(start, 300)));
        assert!(limiter.may_accept(None, at(start, 1000)));
        let rate = limiter.rate_per_s().unwrap();
        assert!((6.0..12.0).contains(&rate), "{rate}");
        let mut limited_ms = 0;
        for ms in 1000..11_000 {
            let now = at(start, ms);
            limited_ms += u32::from(limiter.rate_per_s().is_some());
            // Three requests a second.
            if limiter.may_accept(None, now) && rng.random_bool(0.003) {
                limiter.record_request(now);
            }
        }
        assert!(limited_ms <= 6000, "seed {seed}: {limited_ms} ms");
    }
}
