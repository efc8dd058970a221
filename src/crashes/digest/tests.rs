use super::*;

fn digest(
    method: &str,
    path: &str,
    caller: &str,
    body: &[u8],
) -> RequestDigest {
    let caller = caller.parse().ok();
    RequestDigest::of(method, path, caller.as_ref(), body)
}

#[test]
fn every_part_of_a_request_changes_its_digest() {
    let usual = digest("POST", "/a/b?c", "village", b"text");
    assert_eq!(usual, digest("POST", "/a/b?c", "village", b"text"));
    for other in [
        digest("PUT", "/a/b?c", "village", b"text"),
        digest("POST", "/a/b?d", "village", b"text"),
        digest("POST", "/a/b?c", "other", b"text"),
        digest("POST", "/a/b?c", "", b"text"),
        digest("POST", "/a/b?c", "village", b"texts"),
        digest("POST", "/a/b?c", "village", b""),
    ] {
        assert_ne!(usual, other);
    }
}

#[test]
fn digests_round_trip_as_text() {
    let usual = digest("GET", "/a", "village", b"");
    assert_eq!(usual.to_string().parse().ok(), Some(usual));
    for faulty in ["", "12", "+123456789abcdef", "g123456789abcdef"] {
        assert!(faulty.parse::<RequestDigest>().is_err(), "{faulty}");
    }
}
