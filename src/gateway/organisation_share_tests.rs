//! Rejections of organisations over their share of a service.

use std::{sync::Arc, time::Duration};

use super::{
    Gateway,
    forward::{Job, NoAttempt},
    slot_test_site::{
        entry_vm_with, job, route, service, system_clock, trace,
    },
};
use crate::{
    error::ErrorKind,
    message::ShortHash,
    placing::{
        member::{UpstreamEntry, UpstreamState},
        upstream::InFlightGuard,
    },
    store_sync::route::{Organisation, Repeat},
};

const LARGE: &str = "large";

/// A VM in front of one upstream with 100 slots, which counts as full at 400
/// requests, and requests that are in flight there.
struct Site {
    vm: Arc<Gateway>,
    in_flight: Vec<InFlightGuard>,
}

impl Site {
    fn new(reserve: &str, in_flight: usize) -> Site {
        let settings = format!(
            "[scheduling]\nvms_per_slot = 1\n\
             organisation_reserve = {reserve}\n"
        );
        let vm = entry_vm_with("vm-0", &settings, system_clock());
        let entry = UpstreamEntry {
            id: "i-1".parse().unwrap(),
            started: None,
            service: service(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_hall: "hall-a".parse().unwrap(),
            software: "v1".parse().unwrap(),
            slots: 100,
            state: UpstreamState::Ready,
            warm_up_left: Duration::ZERO,
            sequence: 1,
        };
        vm.pool.set(entry, vm.clock.now());
        let member = vm.pool.all().remove(0);
        let in_flight = (0..in_flight).map(|_| member.upstream.begin());
        Site { in_flight: in_flight.collect(), vm }
    }

    /// Makes the VM hear that most requests are of one organisation.
    fn report(&self) {
        let at = ShortHash::of(service().as_str());
        let large = ShortHash::of(LARGE);
        // A level of 160: 0.9 of 400 requests, less those of the others.
        let others = (0..4).map(|number| (at, ShortHash(number), 50));
        let counts: Vec<_> =
            others.chain(std::iter::once((at, large, 300))).collect();
        let now = self.vm.clock.now();
        self.vm.organisation_requests.merge_report("vm-1", &counts, now);
    }

    fn job(&self, organisation: Option<&str>) -> Job {
        let mut route = route(Repeat::Any);
        route.is_stream = true;
        let mut job = job(&self.vm, route, Duration::from_secs(60));
        job.organisation = organisation.map(|id| Organisation {
            id: id.parse().unwrap(),
            priority: None,
        });
        job
    }

    /// Begins an attempt; returns the reason of the rejection, if any.
    fn begin(&self, mut job: Job) -> Result<(), String> {
        let mut trace = trace(&self.vm);
        match job.try_begin_attempt(&mut trace, self.vm.clock.now()) {
            Ok(_) => Ok(()),
            Err(NoAttempt::NoUpstream(error)) => panic!("{error:?}"),
            Err(NoAttempt::Rejected(error)) => {
                assert_eq!(error.kind(), ErrorKind::Overloaded);
                assert!(error.retry_after().is_some());
                Err(error.to_string())
            }
        }
    }

    fn rejections(&self) -> u64 {
        self.vm.metrics.organisation_rejections.get()
    }
}

/// Guards against an organisation that takes the reserve, and against others
/// that are kept out of it.
#[test]
fn only_the_organisation_over_its_share_is_kept_out_of_the_reserve() {
    let site = Site::new("0.1", 385);
    site.report();
    let reason = site.begin(site.job(Some(LARGE))).unwrap_err();
    assert!(reason.contains("organisation over its share"), "{reason}");
    assert_eq!(site.rejections(), 1);
    assert_eq!(site.begin(site.job(Some("small"))), Ok(()));
    assert_eq!(site.begin(site.job(None)), Ok(()));
    assert_eq!(site.rejections(), 1);
}

/// Guards against rejections while the service has room, and where the
/// settings switch them off.
#[test]
fn nobody_is_rejected_below_the_reserve_or_without_one() {
    for (reserve, in_flight) in [("0.1", 350), ("0", 385)] {
        let site = Site::new(reserve, in_flight);
        site.report();
        assert_eq!(site.begin(site.job(Some(LARGE))), Ok(()), "{reserve}");
        assert_eq!(site.rejections(), 0);
    }
}

/// Guards against a broken stream that is not continued, or an admitted
/// request that is rejected after its first upstream has declined it.
#[test]
fn later_attempts_of_an_admitted_request_are_not_rejected() {
    let site = Site::new("0.1", 385);
    site.report();
    let mut declined = site.job(Some(LARGE));
    declined.tried.push(ShortHash(99));
    assert_eq!(site.begin(declined), Ok(()));
    // The upstream of a dropped answer is asked again for a larger model.
    let mut escalated = site.job(Some(LARGE));
    escalated.sent = 1;
    assert_eq!(site.begin(escalated), Ok(()));
}

/// Guards against requests that stay counted after their attempt, and against
/// counts that cost something although they are not used.
#[test]
fn an_attempt_is_counted_for_its_organisation_while_it_lives() {
    for (reserve, counted) in [("0.1", 1), ("0", 0)] {
        let site = Site::new(reserve, 0);
        let mut job = site.job(Some(LARGE));
        let mut trace = trace(&site.vm);
        let attempt = job.try_begin_attempt(&mut trace, site.vm.clock.now());
        assert!(attempt.is_ok());
        let requests = &site.vm.organisation_requests;
        assert_eq!(requests.report().len(), counted);
        drop(attempt);
        assert!(requests.report().is_empty());
    }
}

/// Guards against a reserve that is read from another key or not checked.
#[test]
fn the_reserve_is_read_and_is_off_by_default() {
    let site = Site::new("0.25", 0);
    assert!(!site.vm.settings.organisation_reserve.is_off());
    let default = entry_vm_with("vm-0", "", system_clock());
    assert!(default.settings.organisation_reserve.is_off());
    assert!(site.in_flight.is_empty());
}
