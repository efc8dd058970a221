use super::*;

/// The bound is that of the operator: it holds for any number of requests, and
/// whatever the version is like.
#[test]
fn requests_before_the_end_keep_to_the_bound() {
    for (share, tolerance) in [(0.15, 30.0), (0.0975, 30.0), (0.15, 0.0)] {
        let limit = ExposureLimit { share, tolerance };
        for total in [150_u32, 600, 2000, 24_000] {
            let mut sent = SentRequests::default();
            let mut next = 0.0;
            for number in 0..total {
                let elapsed = f64::from(number) / f64::from(total);
                let expected = f64::from(total);
                let is_all = sent.old > 0.0
                    && limit.may_send_all(sent, elapsed)
                    || elapsed >= 0.97;
                next += f64::from(limit.trial_share(Some(expected)));
                // The move of long requests takes all that the bound leaves.
                let is_wanted = next >= 1.0 || elapsed > 0.6;
                let is_new = is_all || is_wanted && limit.may_send(sent, 1);
                if is_new {
                    next = 0.0;
                    sent.new += 1.0;
                } else {
                    sent.old += 1.0;
                }
            }
            let most = share * f64::from(total) + tolerance;
            assert!(
                sent.new <= most + VM_ALLOWANCE,
                "{} of {total}, {most} allowed",
                sent.new
            );
        }
    }
}

#[test]
fn a_trial_gets_enough_requests_of_a_small_service() {
    let limit = ExposureLimit { share: 0.15, tolerance: 30.0 };
    for expected in [130.0, 250.0, 600.0, 2000.0, 20_000.0] {
        let share = f64::from(limit.trial_share(Some(expected)));
        let requests = share * expected;
        assert!(requests >= 24.0, "{requests} of {expected}");
        assert!(requests <= 0.15 * expected + 21.0);
    }
}

#[test]
fn the_parts_of_all_vms_add_up_to_the_bound() {
    let limit = ExposureLimit { share: 0.15, tolerance: 30.0 };
    for vms in [1_u32, 9, 84, 300] {
        let per_vm = 20_000 / vms;
        let mut new = 0.0;
        for _ in 0..vms {
            let mut sent = SentRequests::default();
            for _ in 0..per_vm {
                match limit.may_send(sent, vms as usize) {
                    true => sent.new += 1.0,
                    false => sent.old += 1.0,
                }
            }
            new += sent.new;
        }
        let all = f64::from(per_vm * vms);
        assert!(new <= 0.15 * all + 30.0, "{new} of {all} at {vms} VMs");
    }
}
