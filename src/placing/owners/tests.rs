use super::*;

fn hall(name: &str) -> DataHallId {
    name.parse().unwrap()
}

/// A roster with this many VMs in each of three data halls.
fn roster(vms_of_hall: usize) -> Roster {
    let mut roster = Roster::default();
    for at in 0..vms_of_hall * 3 {
        let name = ["a", "b", "c"][at % 3];
        roster.add(&format!("vm-{at}"), &hall(name));
    }
    roster
}

fn owners(roster: &Roster, upstream: u32, max: usize) -> Vec<&str> {
    let names = roster.0.keys().map(String::as_str);
    let is_owner = |vm: &&str| {
        let upstream = ShortHash(upstream);
        roster.owners(vm, upstream, &hall("a"), max).is_some()
    };
    names.filter(is_owner).collect()
}

#[test]
fn owners_are_chosen_from_the_hall_first_and_then_from_others() {
    let roster = roster(4);
    for upstream in 0..100 {
        for max in [1, 3, 4, 6, 12, 40] {
            let owners = owners(&roster, upstream, max);
            assert_eq!(owners.len(), max.min(12));
            let in_hall = |vm: &&&str| roster.0[**vm].data_hall == hall("a");
            assert_eq!(owners.iter().filter(in_hall).count(), max.min(4));
        }
    }
}

/// A changed rate moves few requests to other VMs.
#[test]
fn a_smaller_set_of_owners_is_a_subset_of_a_larger_one() {
    let roster = roster(7);
    for upstream in 0..100 {
        let more = owners(&roster, upstream, 9);
        let fewer = owners(&roster, upstream, 5);
        assert!(fewer.iter().all(|vm| more.contains(vm)));
    }
}

#[test]
fn a_vm_without_a_record_owns_nothing() {
    let mut roster = roster(2);
    let (upstream, hall) = (ShortHash(7), hall("a"));
    assert_eq!(roster.owners("vm-new", upstream, &hall, 99), None);
    assert_eq!(roster.owners("vm-0", upstream, &hall, 99), Some(6));
    assert_eq!(roster.owners_in_hall("vm-0", upstream, &hall, 99), Some(2));
    assert_eq!(roster.owners_in_hall("vm-1", upstream, &hall, 99), None);
    roster.remove("vm-0");
    assert_eq!(roster.owners("vm-0", upstream, &hall, 99), None);
}

#[test]
fn the_named_owners_are_those_that_own_the_upstream() {
    let roster = roster(4);
    for upstream in 0..50 {
        for max in [0, 1, 3, 5, 12, 40] {
            let mut named =
                roster.owner_names(ShortHash(upstream), &hall("a"), max);
            named.sort_unstable();
            assert_eq!(named, owners(&roster, upstream, max));
        }
    }
}
