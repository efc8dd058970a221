//! Each failure of the table in `docs/design/hard-load.md`, and what becomes
//! of the requests that wait for a slot meanwhile.

use std::{sync::Arc, time::Duration};

use super::*;
use crate::{
    clock::Clock,
    gateway::{
        slot_test_site::{
            Behaviour, FakeCoordinator, FakeUpstream, Script, add_peer,
            decisions, entry, entry_vm, entry_vm_with, hash_of, impatient_vm,
            job, refusing_address, route, run, serve, service, system_clock,
            trace,
        },
        test_fleet::Fleet,
    },
    message::ShortHash,
    scheduling::slot_decision::RefusalReason,
    store_sync::route::Repeat,
};

/// Time until the deadline of a request that none of the tests reaches.
const LONG: Duration = Duration::from_secs(60);

/// An entry VM with one upstream of one slot, in front of fake coordinators in
/// `hall-b` and `hall-c`, in the order in which they are asked.
struct Site {
    vm: Arc<Gateway>,
    upstream: FakeUpstream,
    coordinators: Vec<Arc<FakeCoordinator>>,
}

impl Site {
    async fn start(
        behaviour: Behaviour,
        scripts: impl Fn(ShortHash) -> Vec<Vec<Script>>,
    ) -> Site {
        let vm = entry_vm("vm-0", system_clock());
        Site::start_at(vm, behaviour, scripts).await
    }

    async fn start_at(
        vm: Arc<Gateway>,
        behaviour: Behaviour,
        scripts: impl Fn(ShortHash) -> Vec<Vec<Script>>,
    ) -> Site {
        let upstream = FakeUpstream::start(1, behaviour).await;
        vm.pool.set(upstream.entry.clone(), vm.clock.now());
        let mut coordinators = Vec::new();
        for (at, scripts) in scripts(upstream.hash()).into_iter().enumerate() {
            let (fake, address) = FakeCoordinator::start(&vm, scripts).await;
            let hall = ["hall-b", "hall-c"][at % 2];
            let cores = 4000 - at as u32;
            add_peer(&vm, &format!("vm-{}", at + 1), hall, cores, address);
            coordinators.push(fake);
        }
        // Ranked last, so that they are not asked.
        let refusing = refusing_address().await;
        for name in ["vm-8", "vm-9"] {
            add_peer(&vm, name, "hall-d", 0, refusing);
        }
        Site { vm, upstream, coordinators }
    }

    async fn run(&self, repeat: Repeat) -> (u16, String) {
        self.run_within(repeat, LONG).await
    }

    /// Runs a request; returns its status and its `Retry-After`.
    async fn run_within(
        &self,
        repeat: Repeat,
        time: Duration,
    ) -> (u16, String) {
        let reply = run(job(&self.vm, route(repeat), time)).await;
        let retry_after = reply.headers.get("retry-after");
        let retry_after = retry_after.and_then(|v| v.to_str().ok());
        (reply.status.as_u16(), retry_after.unwrap_or_default().to_owned())
    }

    fn asked(&self) -> Vec<usize> {
        self.coordinators.iter().map(|fake| fake.asked()).collect()
    }
}

fn granted(upstream: ShortHash) -> Vec<Script> {
    vec![Script::Reply(PeerReply::SlotGranted(upstream))]
}

fn waiting() -> Script {
    Script::Reply(PeerReply::SlotWaiting)
}

fn refused() -> Script {
    Script::Reply(PeerReply::SlotRefused {
        retry_after_ms: 1234,
        has_place: true,
        reason: RefusalReason::DeadlineUnreachable,
    })
}

fn released(message: &PeerRequest) -> Option<(Ticket, Release)> {
    match message {
        PeerRequest::ReleaseSlot { ticket, release, .. } => {
            Some((*ticket, *release))
        }
        _ => None,
    }
}

fn cancelled(message: &PeerRequest) -> Option<Ticket> {
    match message {
        PeerRequest::CancelSlot { ticket, .. } => Some(*ticket),
        _ => None,
    }
}

fn requests(fake: &FakeCoordinator) -> Vec<SlotRequest> {
    let received = fake.received().into_iter();
    let requests = received.filter_map(|message| match message {
        PeerRequest::AcquireSlot { request, .. } => Some(*request),
        _ => None,
    });
    requests.collect()
}

/// Guards against slots that stay taken after the answer, and against a
/// coordinator that learns nothing of the load of upstreams.
#[test]
fn a_granted_request_is_sent_and_its_slot_released_with_the_load() {
    task::block_on(async {
        let site =
            Site::start(Behaviour::Answer("3,2"), |up| vec![granted(up)])
                .await;
        assert_eq!(site.run(Repeat::Any).await.0, 200);
        assert_eq!(site.upstream.received(), 1);
        let (ticket, release) = site.coordinators[0].wait_for(released).await;
        assert_eq!(requests(&site.coordinators[0])[0].ticket, ticket);
        assert!(release.service_time_ms.is_some());
        let load = release.load.expect("the load");
        assert_eq!((load.running, load.waiting), (3, 2));
        assert_eq!(decisions(&site.vm, "granted"), 1);
    });
}

/// Guards against a slot that stays taken after an attempt that failed.
#[test]
fn the_slot_of_a_broken_attempt_is_released_without_a_service_time() {
    task::block_on(async {
        let site = Site::start(Behaviour::Break, |up| vec![granted(up)]).await;
        assert_eq!(site.run(Repeat::Never).await.0, 502);
        let (_, release) = site.coordinators[0].wait_for(released).await;
        assert_eq!(release, Release::default());
    });
}

/// Guards against a request that must not be repeated and is sent again when
/// another slot would be granted.
#[test]
fn a_non_repeatable_request_is_sent_at_most_once() {
    task::block_on(async {
        let site = Site::start(Behaviour::Break, |up| vec![granted(up)]).await;
        let other = FakeUpstream::start(2, Behaviour::Answer("0,0")).await;
        site.vm.pool.set(other.entry.clone(), site.vm.clock.now());
        assert_eq!(site.run(Repeat::Never).await.0, 502);
        assert_eq!(site.upstream.received() + other.received(), 1);
        assert_eq!(site.asked(), [1]);
    });
}

/// Guards against a retry without a slot, and against one that is granted the
/// upstream that has just declined the request.
#[test]
fn a_declined_request_acquires_again_without_the_tried_upstream() {
    task::block_on(async {
        let other = FakeUpstream::start(2, Behaviour::Answer("0,0")).await;
        let second = other.hash();
        let site = Site::start(Behaviour::Decline, |up| {
            vec![[granted(up), granted(second)].concat()]
        })
        .await;
        site.vm.pool.set(other.entry.clone(), site.vm.clock.now());
        assert_eq!(site.run(Repeat::Never).await.0, 200);
        assert_eq!((site.upstream.received(), other.received()), (1, 1));
        let requests = requests(&site.coordinators[0]);
        let named = |request: &SlotRequest| -> Vec<ShortHash> {
            request.upstreams.iter().map(|u| u.upstream).collect()
        };
        assert!(named(&requests[0]).contains(&site.upstream.hash()));
        assert_eq!(named(&requests[1]), [second]);
        assert_ne!(requests[0].ticket, requests[1].ticket);
    });
}

/// Guards against a refused request that has run, and against a `Retry-After`
/// other than the one for which the place is kept.
#[test]
fn a_refused_request_reaches_no_upstream() {
    task::block_on(async {
        let site = Site::start(Behaviour::Answer("0,0"), |_| {
            vec![vec![waiting(), refused()]]
        })
        .await;
        let got = site.run(Repeat::Any).await;
        assert_eq!(got, (503, "1.234".to_owned()));
        assert_eq!(site.upstream.received(), 0);
        assert_eq!(decisions(&site.vm, "refused"), 1);
        let requests = requests(&site.coordinators[0]);
        assert_eq!(requests[0].ticket, requests[1].ticket);
    });
}

/// Guards against a slot that is granted to a caller that has left.
#[test]
fn the_ticket_of_a_disconnected_caller_is_cancelled() {
    task::block_on(async {
        let site = Site::start(Behaviour::Answer("0,0"), |_| {
            vec![vec![Script::Silent]]
        })
        .await;
        let fake = &site.coordinators[0];
        let running = async {
            site.run(Repeat::Any).await;
        };
        // Dropping the future of the request stands for the disconnection.
        let asked = async {
            while fake.asked() == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
        };
        futures_lite::future::or(running, asked).await;
        let ticket = fake.wait_for(cancelled).await;
        assert_eq!(requests(fake)[0].ticket, ticket);
        assert_eq!(site.upstream.received(), 0);
        assert_eq!(decisions(&site.vm, "cancelled"), 1);
    });
}

/// Guards against an untrue status, 504, for a request that waited until its
/// deadline without being sent.
#[test]
fn a_request_whose_deadline_passes_while_it_waits_has_not_run() {
    task::block_on(async {
        let site =
            Site::start(Behaviour::Answer("0,0"), |_| vec![vec![waiting()]])
                .await;
        let time = Duration::from_millis(100);
        let (status, _) = site.run_within(Repeat::Any, time).await;
        assert_eq!(status, 503);
        assert_eq!(site.upstream.received(), 0);
        site.coordinators[0].wait_for(cancelled).await;
    });
}

/// Guards against a request that is sent when its deadline has passed, so that
/// its outcome would be unknown.
#[test]
fn a_request_that_is_granted_after_its_deadline_is_not_sent() {
    task::block_on(async {
        let time = Duration::from_millis(50);
        let site = Site::start(Behaviour::Answer("0,0"), |up| {
            let reply = PeerReply::SlotGranted(up);
            vec![vec![Script::ReplyAfter(time * 2, reply)]]
        })
        .await;
        let (status, _) = site.run_within(Repeat::Any, time).await;
        assert_eq!(status, 503);
        assert_eq!(site.upstream.received(), 0);
        let ended = |message: &PeerRequest| {
            cancelled(message).or(released(message).map(|(ticket, _)| ticket))
        };
        site.coordinators[0].wait_for(ended).await;
    });
}

/// Guards against a request that is cut off without a response while it waits
/// at a VM that stops.
#[test]
fn a_request_that_waits_is_rejected_before_its_vm_has_stopped() {
    task::block_on(async {
        let site =
            Site::start(Behaviour::Answer("0,0"), |_| vec![vec![waiting()]])
                .await;
        let ends_at = site.vm.clock.now() + Duration::from_millis(300);
        site.vm.begin_stop(ends_at);
        assert_eq!(site.run(Repeat::Any).await.0, 503);
        assert_eq!(site.upstream.received(), 0);
        assert_eq!(decisions(&site.vm, "failed"), 1);
    });
}

/// Guards against requests that fail, or that all wait for a connection, while
/// a coordinator cannot be reached.
#[test]
fn an_unreachable_coordinator_is_replaced_and_not_asked_again() {
    task::block_on(async {
        let site =
            Site::start(Behaviour::Answer("0,0"), |up| vec![granted(up)])
                .await;
        let refusing = refusing_address().await;
        add_peer(&site.vm, "vm-7", "hall-c", 9000, refusing);
        assert_eq!(site.run(Repeat::Any).await.0, 200);
        let client = &site.vm.slot_client;
        let now = site.vm.clock.now();
        let ranking = client.ranking(&site.vm, &service(), now).unwrap();
        assert_eq!(ranking[0].vm, "vm-7");
        let first = client.first_reachable(&site.vm, &ranking, 0, now);
        assert_eq!(first, Some(1), "the first is marked as unreachable");
        let later = now + FIRST_PAUSE;
        let first = client.first_reachable(&site.vm, &ranking, 0, later);
        assert_eq!(first, Some(0), "the mark has ended");
        assert_eq!(decisions(&site.vm, "granted"), 1);
    });
}

/// Guards against requests that fail while no coordinator replies.
#[test]
fn a_request_is_sent_directly_after_two_silent_coordinators() {
    task::block_on(async {
        let silent = || vec![Script::Silent];
        let vm = impatient_vm("vm-0", system_clock());
        let site = Site::start_at(vm, Behaviour::Answer("0,0"), |up| {
            vec![silent(), silent(), granted(up)]
        })
        .await;
        assert_eq!(site.run(Repeat::Never).await.0, 200);
        assert_eq!(site.asked(), [1, 1, 0]);
        assert_eq!(site.upstream.received(), 1);
        assert_eq!(decisions(&site.vm, "direct"), 1);
        // The silent ones may still have the ticket.
        site.coordinators[0].wait_for(cancelled).await;
    });
}

/// Guards against a request that is lost with the queue of a coordinator that
/// dies, and against one that is sent twice.
#[test]
fn a_request_that_waited_at_a_lost_coordinator_is_served_through_the_next() {
    task::block_on(async {
        let site = Site::start(Behaviour::Answer("0,0"), |up| {
            vec![vec![waiting(), waiting(), Script::Die], granted(up)]
        })
        .await;
        assert_eq!(site.run(Repeat::Never).await.0, 200);
        assert_eq!(site.asked(), [3, 1]);
        assert_eq!(site.upstream.received(), 1);
        let first = &requests(&site.coordinators[0])[0];
        let second = &requests(&site.coordinators[1])[0];
        assert!(
            second.deadline_ms < first.deadline_ms,
            "the time that is left"
        );
    });
}

/// Guards against requests that wait at a VM that stops until its replies are
/// due, and against an alarm for a planned stop.
#[test]
fn requests_that_wait_at_a_stopping_coordinator_move_to_the_next() {
    task::block_on(async {
        let clock = system_clock();
        let site = Site::start(Behaviour::Answer("0,0"), |_| Vec::new()).await;
        let stopping = entry_vm("vm-1", clock.clone());
        let next = entry_vm("vm-2", clock.clone());
        add_peer(&site.vm, "vm-1", "hall-b", 4000, serve(&stopping).await);
        add_peer(&site.vm, "vm-2", "hall-b", 3000, serve(&next).await);
        // The only slot is taken.
        let upstreams = vec![EligibleUpstream {
            upstream: site.upstream.hash(),
            slots: 1,
        }];
        let request = SlotRequest {
            ticket: Ticket(1),
            priority: 0,
            organisation: ShortHash(0),
            digest: crate::crashes::subject::Subject(1),
            latency_target_ms: 60_000,
            deadline_ms: 60_000,
            upstreams,
        };
        let coordinator = &stopping.slot_coordinator;
        let taken = coordinator.acquire(&stopping, &service(), request).await;
        assert!(matches!(taken, Some(SlotDecision::Granted(_))));
        let stop = async {
            while stopping.slot_coordinator.queue_len() == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            stopping.begin_stop(clock.now() + LONG);
        };
        let (got, ()) =
            futures_lite::future::zip(site.run(Repeat::Any), stop).await;
        assert_eq!(got.0, 200);
        assert_eq!(site.upstream.received(), 1);
        assert_eq!(decisions(&site.vm, "granted"), 1);
    });
}

/// Guards against a request that is sent to an upstream that may not take it
/// any more, and against a slot that is lost with it.
#[test]
fn a_grant_of_an_upstream_that_may_not_take_the_request_is_released() {
    task::block_on(async {
        let site = Site::start(Behaviour::Answer("0,0"), |up| {
            vec![[granted(hash_of(&entry(9))), granted(up)].concat()]
        })
        .await;
        assert_eq!(site.run(Repeat::Any).await.0, 200);
        let fake = &site.coordinators[0];
        let requests = requests(fake);
        assert_eq!(requests.len(), 2);
        let first = requests[0].ticket;
        fake.wait_for(|m| released(m).filter(|(t, _)| *t == first)).await;
        assert_eq!(site.upstream.received(), 1);
    });
}

/// Guards against messages to other VMs from the VM that coordinates.
#[test]
fn a_vm_that_coordinates_makes_no_network_call_for_its_own_requests() {
    task::block_on(async {
        let site = Site::start(Behaviour::Answer("0,0"), |_| Vec::new()).await;
        for _ in 0..3 {
            assert_eq!(site.run(Repeat::Any).await.0, 200);
        }
        assert_eq!(decisions(&site.vm, "granted"), 3);
        let bytes = site.vm.metrics.peer_bytes.with_label_values(&["tcp"]);
        assert_eq!(bytes.get(), 0);
    });
}

/// Guards against coordination where the settings switch it off.
#[test]
fn nothing_is_coordinated_with_zero_vms_per_slot() {
    task::block_on(async {
        let settings = "[scheduling]\nvms_per_slot = 0\n";
        let vm = entry_vm_with("vm-0", settings, system_clock());
        let site = Site::start_at(vm, Behaviour::Answer("0,0"), |_| {
            vec![vec![refused()]]
        })
        .await;
        assert_eq!(site.run(Repeat::Any).await.0, 200);
        assert_eq!(site.asked(), [0]);
    });
}

/// Guards against streams that wait for a slot.
#[test]
fn streams_are_not_coordinated() {
    task::block_on(async {
        let site =
            Site::start(Behaviour::Answer("0,0"), |_| vec![vec![refused()]])
                .await;
        let mut stream = route(Repeat::Any);
        stream.is_stream = true;
        let job = job(&site.vm, stream, LONG);
        let mut trace = trace(&site.vm);
        assert!(job.acquire_slot(&mut trace).await.unwrap().is_none());
        assert_eq!(site.asked(), [0]);
    });
}

/// Guards against an unreachable hall that is taken for a fact from a VM that
/// has ended: its own data hall refuses the connection.
#[test]
fn a_lost_connection_does_not_make_a_whole_hall_unreachable() {
    task::block_on(async {
        let site = Site::start(Behaviour::Answer("0,0"), |up| {
            vec![vec![waiting(), Script::Die], granted(up), granted(up)]
        })
        .await;
        assert_eq!(site.run(Repeat::Any).await.0, 200);
        assert_eq!(site.asked(), [2, 1, 0]);
        let client = &site.vm.slot_client;
        let now = site.vm.clock.now();
        let ranking = client.ranking(&site.vm, &service(), now).unwrap();
        // The third one is in the hall of the first.
        let at = client.first_reachable(&site.vm, &ranking, 2, now);
        assert_eq!(at, Some(2));
    });
}

/// Guards against a service that is handled otherwise than before although it
/// has enough slots.
#[test]
fn a_service_with_enough_slots_is_not_coordinated() {
    task::block_on(async {
        let site =
            Site::start(Behaviour::Answer("0,0"), |_| vec![vec![refused()]])
                .await;
        for number in 2..5 {
            site.vm.pool.set(entry(number), site.vm.clock.now());
        }
        let now = site.vm.clock.now();
        assert!(
            site.vm.slot_client.ranking(&site.vm, &service(), now).is_none()
        );
    });
}

/// In a fleet of 71 VMs, a VM receives the heartbeats of another hall once in
/// several rounds. Guards against VMs that ask different coordinators in turn.
#[test]
fn all_vms_of_a_large_fleet_agree_on_the_coordinator() {
    let mut fleet = Fleet::new(3, 24);
    for vm in &fleet.vms {
        vm.pool.set(entry(1), fleet.clock.now());
        vm.service_times.record(&service(), Duration::from_millis(30));
    }
    for _ in 0..2_000 {
        fleet.step();
        // A VM that has just started has heard of no other of its hall.
        let is_due = fleet.elapsed_ms.is_multiple_of(1_000);
        if fleet.elapsed_ms < 2_000 || !is_due {
            continue;
        }
        let now = fleet.clock.now();
        let asked: std::collections::BTreeSet<String> = fleet
            .vms
            .iter()
            .map(|vm| {
                let client = &vm.slot_client;
                let ranking =
                    client.ranking(vm, &service(), now).expect("coordinated");
                let at = client.first_reachable(vm, &ranking, 0, now);
                ranking[at.expect("a coordinator")].vm.clone()
            })
            .collect();
        assert_eq!(asked.len(), 1, "{asked:?} at {} ms", fleet.elapsed_ms);
    }
}

/// Two halls of three VMs each; the first hall loses its links to the other.
/// Guards against requests that wait for a coordinator beyond a dead link.
#[test]
fn each_side_of_a_partition_has_a_coordinator_that_it_hears() {
    let mut fleet = Fleet::new(2, 3);
    let entry = entry(1);
    let settle = |fleet: &mut Fleet, steps: usize| {
        for _ in 0..steps {
            fleet.step();
        }
    };
    let coordinators = |fleet: &Fleet| -> Vec<String> {
        let now = fleet.clock.now();
        let vms = fleet.vms.iter();
        let firsts = vms.map(|vm| {
            let client = &vm.slot_client;
            let ranking = client.ranking(vm, &service(), now).expect("ranked");
            let at = client.first_reachable(vm, &ranking, 0, now);
            ranking[at.expect("a coordinator")].vm.clone()
        });
        firsts.collect()
    };
    settle(&mut fleet, 300);
    for vm in &fleet.vms {
        vm.pool.set(entry.clone(), fleet.clock.now());
        vm.service_times.record(&service(), Duration::from_millis(30));
    }
    let before = coordinators(&fleet);
    assert!(before.iter().all(|vm| *vm == before[0]), "{before:?}");
    fleet.partitioned_hall = Some(0);
    settle(&mut fleet, 500);
    let during = coordinators(&fleet);
    let of_hall = |hall: usize| hall * 3..hall * 3 + 3;
    for hall in 0..2 {
        let names: Vec<String> =
            of_hall(hall).map(|vm| format!("vm-{vm}")).collect();
        let of_it = &during[of_hall(hall)];
        assert!(names.contains(&of_it[0]), "{during:?}");
        assert!(of_it.iter().all(|vm| *vm == of_it[0]), "{during:?}");
    }
    fleet.partitioned_hall = None;
    settle(&mut fleet, 300);
    assert_eq!(coordinators(&fleet), before);
}

/// Guards against a request that asks two VMs of a hall that is cut off,
/// before the missing heartbeats show that.
#[test]
fn no_vm_of_a_hall_is_asked_after_one_was_silent() {
    let vm = entry_vm("vm-0", system_clock());
    let now = vm.clock.now();
    let address = "127.0.0.1:9".parse().unwrap();
    add_peer(&vm, "vm-1", "hall-b", 3000, address);
    add_peer(&vm, "vm-2", "hall-b", 2000, address);
    vm.pool.set(entry(1), now);
    let client = &vm.slot_client;
    let ranking = client.ranking(&vm, &service(), now).unwrap();
    let first = |now| client.first_reachable(&vm, &ranking, 0, now);
    let lost = Lost { reason: Some("silent".into()), is_silent: true };
    client.record_lost(&vm, &service(), &ranking[0], &lost, now);
    let own = ranking.iter().position(|vm| vm.address.is_none());
    assert_eq!(first(now), own);
    let heard_at = now + Duration::from_millis(10);
    let hall = "hall-b".parse().unwrap();
    vm.pool.record_hall_heartbeat(&hall, heard_at);
    assert_eq!(first(heard_at), Some(1), "the hall is reachable again");
}

/// Guards against VMs that are asked each second although they are gone.
#[test]
fn the_pause_of_a_vm_that_stays_silent_grows() {
    let vm = entry_vm("vm-0", system_clock());
    let now = vm.clock.now();
    let address = "127.0.0.1:9".parse().unwrap();
    add_peer(&vm, "vm-1", "hall-b", 3000, address);
    vm.pool.set(entry(1), now);
    let client = &vm.slot_client;
    let ranking = client.ranking(&vm, &service(), now).unwrap();
    let lost = Lost { reason: Some("refused".into()), is_silent: false };
    let first = |now| client.first_reachable(&vm, &ranking, 0, now);
    client.record_lost(&vm, &service(), &ranking[0], &lost, now);
    // A second request that noticed the same does not lengthen the pause.
    client.record_lost(&vm, &service(), &ranking[0], &lost, now);
    let at = now + FIRST_PAUSE;
    assert_eq!(first(at), Some(0));
    client.record_lost(&vm, &service(), &ranking[0], &lost, at);
    assert_eq!(first(at + FIRST_PAUSE), Some(1));
    assert_eq!(first(at + FIRST_PAUSE * 2), Some(0));
    client.record_reply(&ranking[0]);
    client.record_lost(&vm, &service(), &ranking[0], &lost, at);
    assert_eq!(first(at + FIRST_PAUSE), Some(0));
}
