use super::*;
use crate::message::ShortHash;

const CULPRIT: RequestDigest = RequestDigest(1);
const BYSTANDER: RequestDigest = RequestDigest(2);
const OTHER: RequestDigest = RequestDigest(3);

fn ends(upstreams: &[u32], had_ms: u16) -> Ends {
    let end = |number: &u32| {
        (End { upstream: ShortHash(*number), number: 0 }, had_ms)
    };
    upstreams.iter().map(end).collect()
}

fn found(ends: &[(RequestDigest, Ends)]) -> Vec<RequestDigest> {
    let ends = ends.iter().map(|(request, ends)| (*request, ends));
    culprits(ends, &BTreeSet::new()).into_iter().collect()
}

#[test]
fn two_ends_are_a_coincidence_and_three_are_not() {
    assert!(found(&[(CULPRIT, ends(&[1, 2], 50))]).is_empty());
    assert_eq!(found(&[(CULPRIT, ends(&[1, 2, 3], 50))]), [CULPRIT]);
}

/// What is tried again beside the culprit sees one end after the other.
#[test]
fn whoever_was_only_there_beside_the_culprit_is_not_held_back() {
    let all = [
        (CULPRIT, ends(&[1, 2, 3, 4, 5, 6, 7], 50)),
        (BYSTANDER, ends(&[2, 3, 4, 5, 6], 50)),
        (OTHER, ends(&[4, 5, 6, 7], 10)),
    ];
    assert_eq!(found(&all), [CULPRIT]);
}

#[test]
fn of_two_with_as_many_ends_the_one_that_was_there_for_less_long() {
    let all =
        [(CULPRIT, ends(&[1, 2, 3], 50)), (BYSTANDER, ends(&[1, 2, 3], 400))];
    assert_eq!(found(&all), [CULPRIT]);
}

#[test]
fn two_culprits_beside_each_other_are_both_found() {
    let all = [
        (CULPRIT, ends(&[1, 2, 3, 4, 5], 50)),
        (OTHER, ends(&[4, 5, 6, 7, 8], 50)),
        (BYSTANDER, ends(&[3, 4, 6, 7], 50)),
    ];
    assert_eq!(found(&all), [CULPRIT, OTHER]);
}

/// Two culprits meet at an upstream now and then.
#[test]
fn one_that_is_held_back_is_released_only_if_others_explain_all_its_ends() {
    let held = BTreeSet::from([CULPRIT]);
    let with = |own: &[u32]| {
        let all =
            [(CULPRIT, ends(own, 50)), (OTHER, ends(&[2, 3, 4, 5, 6], 50))];
        culprits(all.iter().map(|(request, ends)| (*request, ends)), &held)
    };
    assert_eq!(with(&[1, 2, 3]), BTreeSet::from([CULPRIT, OTHER]));
    assert_eq!(with(&[2, 3, 4]), BTreeSet::from([OTHER]));
}
