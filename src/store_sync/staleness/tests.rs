use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Slowest call to a store that answers.
const SLOW_CALL: Duration = Duration::from_millis(250);

/// Time between the choice of an upstream and the arrival of the request.
const SEND_TIME: Duration = Duration::from_millis(200);

#[test]
fn the_strictest_bound_counts() {
    let bound = StalenessBound::strictest([SECOND * 3, SECOND, SECOND * 2]);
    assert_eq!(bound, StalenessBound(SECOND));
}

/// VMs that relied on others asked the store 2.3 to 2.8 s after the last
/// proof, where a change has to take effect within 2 s.
#[test]
fn each_vm_learns_in_time_even_if_all_before_it_are_lost() {
    for limit in [SECOND * 2, SECOND * 3, SECOND * 5] {
        let bound = StalenessBound::strictest([limit; 3]);
        for rank in 0..300 {
            let (age, spread) = bound.renewal(rank);
            let latest = age + spread + SLOW_CALL + SEND_TIME;
            assert!(latest < limit, "rank {rank}: {latest:?}");
        }
        let latest = bound.overdue_age() + SLOW_CALL + SEND_TIME;
        assert!(latest < limit, "{latest:?}");
    }
}

#[test]
fn each_vm_of_the_first_ranks_waits_for_the_one_before_it() {
    let bound = StalenessBound::strictest([SECOND * 2; 3]);
    for rank in 0..LAST_RANK {
        let (age, spread) = bound.renewal(rank);
        let (next, _) = bound.renewal(rank + 1);
        assert!(age + spread <= next, "rank {rank}");
    }
}
