use hyper::header::HeaderValue;
use proptest::prelude::*;

use super::*;

fn limit(values: &[&str]) -> Option<RateLimit> {
    let values: Vec<HeaderValue> =
        values.iter().map(|v| HeaderValue::from_str(v).unwrap()).collect();
    RateLimit::read(&values, false)
}

#[test]
fn a_rate_limit_is_requests_a_second() {
    let at = |rate: &str| Some(RateLimit::At(rate.parse().unwrap()));
    assert_eq!(limit(&[]), None);
    assert_eq!(limit(&["1.4"]), at("1.4"));
    assert_eq!(RateLimit::read([], true), Some(RateLimit::Unlimited));
    assert_eq!(limit(&[" 0 "]), at("0"));
    assert_eq!(limit(&["soon", "3", "1.1", "2"]), at("1.1"));
    for text in ["", "-1", "NaN", "inf", "1, 2", "soon"] {
        let read = RateLimit::Unreadable(text.into());
        assert_eq!(limit(&[text]), Some(read), "{text}");
    }
}

fn read(status: u16, values: &[&[u8]]) -> Option<RetryAfter> {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).unwrap();
        headers.append(RETRY_AFTER, value);
    }
    RetryAfter::read(status, &headers)
}

#[test]
fn a_rest_is_seconds_beside_a_request_that_was_turned_away() {
    let three = Some(RetryAfter::For(Duration::from_secs(3)));
    assert_eq!(read(503, &[b"3"]), three);
    assert_eq!(read(429, &[b" 3 "]), three);
    let part = RetryAfter::For(Duration::from_millis(250));
    assert_eq!(read(503, &[b"0.25"]), Some(part));
    assert_eq!(read(503, &[]), None);
    for status in [200, 301, 421, 500, 504] {
        assert_eq!(read(status, &[b"3"]), None, "beside {status}");
    }
}

#[test]
fn of_several_times_the_longest_holds() {
    let three = Some(RetryAfter::For(Duration::from_secs(3)));
    assert_eq!(read(503, &[b"1", b"3", b"2"]), three);
    assert_eq!(read(503, &[b"soon", b"3"]), three);
}

#[test]
fn what_is_no_time_is_known_as_such() {
    for text in
        ["", "-1", "NaN", "inf", "1e300", "Thu, 01 Dec 1994 16:00:00 GMT"]
    {
        let read = read(503, &[text.as_bytes()]);
        assert_eq!(read, Some(RetryAfter::Unreadable(text.into())), "{text}");
    }
}

proptest! {
    /// Upstreams may send anything that can stand in a header.
    #[test]
    fn any_value_is_a_time_or_a_short_text(
        status in prop_oneof![Just(503), Just(429), 100..600_u16],
        values in prop::collection::vec(
            prop::collection::vec(0x20..=0xff_u8, 0..200), 0..3),
    ) {
        let mut headers = HeaderMap::new();
        for value in &values {
            if let Ok(value) = HeaderValue::from_bytes(value) {
                headers.append(RETRY_AFTER, value);
            }
        }
        match RetryAfter::read(status, &headers) {
            Some(RetryAfter::Unreadable(text)) => {
                prop_assert!(text.chars().count() <= TEXT_MOST);
            }
            Some(RetryAfter::For(_)) | None => {}
        }
        match RateLimit::read(headers.get_all(RETRY_AFTER), false) {
            Some(RateLimit::Unreadable(text)) => {
                prop_assert!(text.chars().count() <= TEXT_MOST);
            }
            Some(RateLimit::At(rate)) => prop_assert!(rate.per_s() >= 0.0),
            Some(RateLimit::Unlimited) | None => {}
        }
    }
}
