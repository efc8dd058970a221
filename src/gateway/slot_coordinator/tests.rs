//! What a coordinator does when entry VMs, upstreams or other coordinators
//! fail.

use std::{sync::Arc, time::Duration};

use futures_lite::future;

use super::*;
use crate::{
    clock::Clock,
    crashes::subject::Subject,
    gateway::{
        slot_test_site::{SERVICE_TIME, entry, entry_vm, hash_of, service},
        test_fleet::{Fleet, TestClock},
    },
    scheduling::{release::ReleasedLoad, slot_request::EligibleUpstream},
};

/// Requests that an upstream with one slot gets at a time.
const CAPACITY: usize = 1;

struct Coordinator {
    clock: Arc<TestClock>,
    vm: Arc<Gateway>,
    /// Incarnations of the upstreams, with one slot each.
    upstreams: Vec<ShortHash>,
}

impl Coordinator {
    fn new(upstreams: usize) -> Coordinator {
        let clock = Fleet::new(1, 1).clock;
        let vm = entry_vm("vm-0", clock.clone());
        let entries: Vec<_> = (0..upstreams).map(entry).collect();
        for entry in &entries {
            vm.pool.set(entry.clone(), clock.now());
        }
        let upstreams = entries.iter().map(hash_of).collect();
        Coordinator { clock, vm, upstreams }
    }

    fn request(&self, ticket: u64) -> SlotRequest {
        let upstreams = self.upstreams.iter();
        SlotRequest {
            ticket: Ticket(ticket),
            priority: 0,
            organisation: ShortHash(0),
            digest: Subject(ticket),
            latency_target_ms: 30_000,
            deadline_ms: 60_000,
            upstreams: upstreams
                .map(|upstream| EligibleUpstream {
                    upstream: *upstream,
                    slots: 1,
                })
                .collect(),
        }
    }

    async fn acquire(&self, ticket: u64) -> Option<SlotDecision> {
        let coordinator = &self.vm.slot_coordinator;
        coordinator.acquire(&self.vm, &service(), self.request(ticket)).await
    }

    /// Acquires for each of these tickets; returns the granted ones.
    async fn grants(&self, tickets: std::ops::Range<u64>) -> Vec<u64> {
        let mut granted = Vec::new();
        for ticket in tickets {
            let decision = self.acquire(ticket).await;
            if matches!(decision, Some(SlotDecision::Granted(_))) {
                granted.push(ticket);
            }
        }
        granted
    }

    fn release(&self, ticket: u64, release: Release) {
        let now = self.clock.now();
        let coordinator = &self.vm.slot_coordinator;
        coordinator.release(&service(), Ticket(ticket), release, now);
    }

    fn advance(&self, time: Duration) {
        self.clock.advance(time);
        let now = self.clock.now();
        self.vm.slot_coordinator.advance(&self.vm.pool, now);
    }
}

/// Guards against a request that waits until it asks again although a slot has
/// become free.
#[test]
fn a_held_reply_is_sent_when_a_slot_becomes_free() {
    task::block_on(async {
        let coordinator = Coordinator::new(1);
        assert_eq!(coordinator.grants(0..1).await, [0]);
        let free = async {
            while coordinator.vm.slot_coordinator.queue_len() == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            coordinator.release(0, Release::default());
        };
        let (decision, ()) = future::zip(coordinator.acquire(1), free).await;
        let upstream = coordinator.upstreams[0];
        assert_eq!(decision, Some(SlotDecision::Granted(upstream)));
    });
}

/// Guards against slots and places that are lost with an entry VM.
#[test]
fn what_a_lost_entry_vm_held_becomes_free() {
    task::block_on(async {
        let coordinator = Coordinator::new(1);
        assert_eq!(coordinator.grants(0..1).await, [0]);
        assert_eq!(coordinator.acquire(1).await, Some(SlotDecision::Waiting));
        assert_eq!(coordinator.vm.slot_coordinator.queue_len(), 1);
        // The waiting request is not asked for again, and the granted one is
        // never released.
        coordinator.advance(ASK_AGAIN_WITHIN + Duration::from_millis(20));
        coordinator.advance(SERVICE_TIME * 8);
        assert_eq!(coordinator.vm.slot_coordinator.queue_len(), 0);
        assert_eq!(coordinator.grants(2..3).await, [2]);
    });
}

/// Guards against grants of upstreams that the coordinator knows to be
/// leaving, and against grants there that count on.
#[test]
fn a_leaving_upstream_is_not_granted() {
    task::block_on(async {
        let coordinator = Coordinator::new(2);
        assert_eq!(coordinator.grants(0..2).await, [0, 1]);
        let (leaving, staying) =
            (coordinator.upstreams[0], coordinator.upstreams[1]);
        let member = coordinator.vm.pool.incarnation(leaving).unwrap();
        member.upstream.mark_leaving();
        coordinator.advance(Duration::ZERO);
        for ticket in [0, 1] {
            coordinator.release(ticket, Release::default());
        }
        let first = coordinator.acquire(2).await;
        assert_eq!(first, Some(SlotDecision::Granted(staying)));
        assert_eq!(coordinator.acquire(3).await, Some(SlotDecision::Waiting));
    });
}

/// Guards against a request that waits for an upstream that has left the pool.
#[test]
fn an_upstream_that_is_removed_is_not_granted() {
    task::block_on(async {
        let coordinator = Coordinator::new(2);
        assert_eq!(coordinator.grants(0..2).await, [0, 1]);
        let now = coordinator.clock.now();
        coordinator.vm.pool.remove(&entry(0).id, Duration::ZERO, now);
        coordinator.advance(Duration::ZERO);
        for ticket in [0, 1] {
            coordinator.release(ticket, Release::default());
        }
        let staying = coordinator.upstreams[1];
        let first = coordinator.acquire(2).await;
        assert_eq!(first, Some(SlotDecision::Granted(staying)));
        assert_eq!(coordinator.acquire(3).await, Some(SlotDecision::Waiting));
    });
}

/// Guards against two coordinators that grant more than twice the slots, or
/// that never notice each other's requests.
#[test]
fn two_coordinators_grant_at_most_twice_the_slots_and_correct_each_other() {
    task::block_on(async {
        let (one, two) = (Coordinator::new(2), Coordinator::new(2));
        let capacity = 2 * CAPACITY;
        let granted = one.grants(0..4).await.len();
        assert_eq!(granted, capacity);
        let also_granted = two.grants(10..14).await.len();
        assert_eq!(also_granted, capacity);
        // An upstream reports a request of the other coordinator, besides the
        // one that ends.
        let load =
            ReleasedLoad { running: 1, waiting: 1, ..Default::default() };
        let release = Release { service_time_ms: Some(30), load: Some(load) };
        let one = Coordinator::new(1);
        assert_eq!(one.grants(0..1).await, [0]);
        one.release(0, release);
        assert_eq!(one.acquire(1).await, Some(SlotDecision::Waiting));
    });
}

/// Guards against new grants and held replies of a VM that is stopping.
#[test]
fn a_stopping_vm_rejects_held_and_new_requests() {
    task::block_on(async {
        let coordinator = Coordinator::new(1);
        assert_eq!(coordinator.grants(0..1).await, [0]);
        let stop = async {
            while coordinator.vm.slot_coordinator.queue_len() == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            let ends_at = coordinator.clock.now() + Duration::from_secs(6);
            coordinator.vm.begin_stop(ends_at);
        };
        let (held, ()) = future::zip(coordinator.acquire(1), stop).await;
        assert_eq!(held, None);
        assert_eq!(coordinator.acquire(2).await, None);
    });
}

/// Guards against a slot that is granted to a caller that has left.
#[test]
fn a_cancelled_request_frees_its_place_and_its_slot() {
    task::block_on(async {
        let coordinator = Coordinator::new(1);
        assert_eq!(coordinator.grants(0..1).await, [0]);
        assert_eq!(coordinator.acquire(1).await, Some(SlotDecision::Waiting));
        let now = coordinator.clock.now();
        let slots = &coordinator.vm.slot_coordinator;
        slots.cancel(&service(), Ticket(1), now);
        assert_eq!(slots.queue_len(), 0);
        // The grant may have crossed the cancellation.
        slots.cancel(&service(), Ticket(0), now);
        assert_eq!(coordinator.grants(2..3).await, [2]);
    });
}

/// Guards against a refusal that is lost between two messages of its entry VM,
/// which would wait for it until its deadline.
#[test]
fn a_refusal_is_kept_until_the_entry_vm_asks_again() {
    let clock = Fleet::new(1, 1).clock;
    let now = clock.now();
    let mut coordinated = CoordinatedService::new(Some(SERVICE_TIME), now);
    let refusal = SlotDecision::Refused {
        retry_after: SERVICE_TIME,
        has_place: false,
        reason: crate::scheduling::slot_decision::RefusalReason::QueueFull,
    };
    coordinated.deliver(vec![(Ticket(1), refusal)], now);
    assert_eq!(coordinated.take_refusal(Ticket(2)), None);
    assert_eq!(coordinated.take_refusal(Ticket(1)), Some(refusal));
    assert_eq!(coordinated.take_refusal(Ticket(1)), None);
}
