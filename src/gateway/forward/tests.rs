//! What becomes of requests without an answer when this VM stops.

use super::*;
use crate::{
    gateway::slot_test_site::{
        Behaviour, FakeCoordinator, FakeUpstream, Script, add_peer, entry_vm,
        job, refusing_address, route, run, system_clock,
    },
    message::PeerReply,
};

/// Time until the deadline of a request, which no test reaches.
const LONG: Duration = Duration::from_secs(60);

/// Guards against a request that is cut off, or that is said to have run,
/// while it waits for a slot at a VM that stops.
#[test]
fn a_request_that_waits_for_a_slot_is_answered_when_its_vm_stops() {
    task::block_on(async {
        let vm = entry_vm("vm-0", system_clock());
        let upstream = FakeUpstream::start(1, Behaviour::Answer("0,0")).await;
        vm.pool.set(upstream.entry.clone(), vm.clock.now());
        let waiting = vec![Script::Reply(PeerReply::SlotWaiting)];
        let (coordinator, address) =
            FakeCoordinator::start(&vm, waiting).await;
        add_peer(&vm, "vm-1", "hall-b", 4000, address);
        let refusing = refusing_address().await;
        for name in ["vm-8", "vm-9"] {
            add_peer(&vm, name, "hall-d", 0, refusing);
        }
        let stopping = async {
            while coordinator.asked() == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            vm.answer_waiting_requests();
        };
        let running = run(job(&vm, route(Repeat::Any), LONG));
        let (reply, ()) = futures_lite::future::zip(running, stopping).await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(upstream.received(), 0);
    });
}

/// Guards against a request that is sent when nobody can wait for its answer.
#[test]
fn no_request_is_sent_once_waiting_ones_were_answered() {
    task::block_on(async {
        let vm = entry_vm("vm-0", system_clock());
        let upstream = FakeUpstream::start(1, Behaviour::Answer("0,0")).await;
        vm.pool.set(upstream.entry.clone(), vm.clock.now());
        vm.answer_waiting_requests();
        let reply = run(job(&vm, route(Repeat::Any), LONG)).await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(upstream.received(), 0);
    });
}
