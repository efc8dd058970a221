use super::*;
use crate::message::ShortHash;

const CULPRIT: RequestDigest = RequestDigest(1);
const BYSTANDER: RequestDigest = RequestDigest(2);
const OTHER: RequestDigest = RequestDigest(3);

fn crashes(upstreams: &[u32], in_flight_ms: u16) -> Crashes {
    let crash = |number: &u32| {
        (CrashId { upstream: ShortHash(*number), number: 0 }, in_flight_ms)
    };
    upstreams.iter().map(crash).collect()
}

fn found(crashes: &[(RequestDigest, Crashes)]) -> Vec<RequestDigest> {
    let crashes = crashes.iter().map(|(request, crashes)| (*request, crashes));
    culprits(crashes, &BTreeSet::new()).into_iter().collect()
}

#[test]
fn a_request_is_a_culprit_after_three_crashes() {
    assert!(found(&[(CULPRIT, crashes(&[1, 2], 50))]).is_empty());
    assert_eq!(found(&[(CULPRIT, crashes(&[1, 2, 3], 50))]), [CULPRIT]);
}

/// Requests that are retried beside the culprit see one crash after another.
#[test]
fn bystanders_of_the_culprit_are_not_quarantined() {
    let all = [
        (CULPRIT, crashes(&[1, 2, 3, 4, 5, 6, 7], 50)),
        (BYSTANDER, crashes(&[2, 3, 4, 5, 6], 50)),
        (OTHER, crashes(&[4, 5, 6, 7], 10)),
    ];
    assert_eq!(found(&all), [CULPRIT]);
}

#[test]
fn of_two_with_as_many_crashes_the_one_in_flight_for_less_time_is_found() {
    let all = [
        (CULPRIT, crashes(&[1, 2, 3], 50)),
        (BYSTANDER, crashes(&[1, 2, 3], 400)),
    ];
    assert_eq!(found(&all), [CULPRIT]);
}

#[test]
fn two_culprits_that_share_crashes_are_both_found() {
    let all = [
        (CULPRIT, crashes(&[1, 2, 3, 4, 5], 50)),
        (OTHER, crashes(&[4, 5, 6, 7, 8], 50)),
        (BYSTANDER, crashes(&[3, 4, 6, 7], 50)),
    ];
    assert_eq!(found(&all), [CULPRIT, OTHER]);
}

/// Two culprits sometimes run on the same upstream and must not release each
/// other.
#[test]
fn a_quarantined_request_is_released_only_if_others_explain_all_its_crashes() {
    let quarantined = BTreeSet::from([CULPRIT]);
    let with = |own: &[u32]| {
        let all = [
            (CULPRIT, crashes(own, 50)),
            (OTHER, crashes(&[2, 3, 4, 5, 6], 50)),
        ];
        culprits(
            all.iter().map(|(request, crashes)| (*request, crashes)),
            &quarantined,
        )
    };
    assert_eq!(with(&[1, 2, 3]), BTreeSet::from([CULPRIT, OTHER]));
    assert_eq!(with(&[2, 3, 4]), BTreeSet::from([OTHER]));
}
