use super::*;

fn request(method: &str, path: &str, caller: &str, body: &[u8]) -> Subject {
    let caller = caller.parse().ok();
    Subject::of_request(method, path, caller.as_ref(), body)
}

fn segment(service: &str, caller: &str, id: u64) -> Subject {
    let caller = caller.parse().ok();
    Subject::of_segment(&service.parse().unwrap(), caller.as_ref(), id)
}

#[test]
fn every_part_of_a_request_changes_its_subject() {
    let usual = request("POST", "/a/b?c", "village", b"text");
    assert_eq!(usual, request("POST", "/a/b?c", "village", b"text"));
    for other in [
        request("PUT", "/a/b?c", "village", b"text"),
        request("POST", "/a/b?d", "village", b"text"),
        request("POST", "/a/b?c", "other", b"text"),
        request("POST", "/a/b?c", "", b"text"),
        request("POST", "/a/b?c", "village", b"texts"),
        request("POST", "/a/b?c", "village", b""),
    ] {
        assert_ne!(usual, other);
    }
}

/// Otherwise a caller could get the requests of another one rejected by naming
/// their segments.
#[test]
fn a_segment_of_another_caller_or_service_is_another_subject() {
    let usual = segment("models", "village", 0xa1);
    assert_eq!(usual, segment("models", "village", 0xa1));
    for other in [
        segment("models", "other", 0xa1),
        segment("models", "", 0xa1),
        segment("portal", "village", 0xa1),
        segment("models", "village", 0xa2),
        segment("models", "village", 0),
    ] {
        assert_ne!(usual, other);
    }
}

#[test]
fn a_subject_states_its_kind() {
    for id in 0..50 {
        let body = [id as u8];
        let whole = request("POST", "/a", "village", &body);
        assert_eq!(whole.kind(), SubjectKind::Request);
        let part = segment("models", "village", id);
        assert_eq!(part.kind(), SubjectKind::Segment);
    }
}

#[test]
fn a_prompt_has_each_segment_once_and_a_bounded_number() {
    let service = "models".parse().unwrap();
    let prompt = |ids: &[u64]| {
        Subject::of_segments(&service, None, ids.iter().copied())
    };
    assert!(prompt(&[]).is_empty());
    assert_eq!(prompt(&[7, 0, 7, 7]), prompt(&[0, 7]));
    assert_eq!(prompt(&[0, 7]).len(), 2);
    let long: Vec<u64> = (0..500).collect();
    assert_eq!(prompt(&long), prompt(&long[..MAX_SEGMENTS]));
}

#[test]
fn subjects_round_trip_as_text() {
    let usual = request("GET", "/a", "village", b"");
    assert_eq!(usual.to_string().parse().ok(), Some(usual));
    for faulty in ["", "12", "+123456789abcdef", "g123456789abcdef"] {
        assert!(faulty.parse::<Subject>().is_err(), "{faulty}");
    }
}
