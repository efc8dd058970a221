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
fn everything_that_a_request_holds_counts() {
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
fn it_is_read_as_it_is_written() {
    let usual = digest("GET", "/a", "village", b"");
    assert_eq!(usual.to_string().parse().ok(), Some(usual));
    for faulty in ["", "12", "+123456789abcdef", "g123456789abcdef"] {
        assert!(faulty.parse::<RequestDigest>().is_err(), "{faulty}");
    }
}
