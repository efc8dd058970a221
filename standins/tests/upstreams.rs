//! Checks how the fleet handles upstreams that crash, leave, break off streams
//! or fail, and the steward that sends orders to engines.

mod common;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use common::*;
use hyper::Method;
use lupinseam::http_client::Call;
use serde_json::json;
use smol::Timer;
use standins::{
    caller::CallOutcome,
    documents::{bearer_key, version},
    engine::EngineFaults,
    fleet::{EnginePlan, Fleet},
    proxy::Mode,
    service::ServiceFaults,
    site, web,
};

/// Text of the message that crashes engines.
const CRASHING_TEXT: &str = "a message that crashes engines";

/// A VM of the first data hall.
const VM: &str = "vm-hall-a-1";
/// A VM of the second data hall.
const OTHER_VM: &str = "vm-hall-b-1";

#[test]
fn a_broken_stream_is_resumed_on_the_same_version() {
    run(async {
        let fleet = start(1, |plan| plan).await;
        let breaks =
            EngineFaults { break_next: vec![4, 7], ..Default::default() };
        fleet.set_upstream_faults("writer-hall-a", &breaks).await.unwrap();
        let mut calls = Vec::new();
        for nonce in 1..=3 {
            let call = ask(&fleet, VM, &chat(nonce, 20, true)).await;
            assert!(call.is_whole(), "{call:?}");
            calls.push(call);
        }
        let records = fleet.records().unwrap();
        assert!(records.iter().any(|record| record.resumed));
        assert_no_violations(&fleet, &calls).await;
    });
}

/// The other VM still reaches all upstreams.
#[test]
fn a_vm_partitioned_from_upstreams_calls_them_through_another_vm() {
    run(async {
        let mut fleet = start(1, |plan| plan).await;
        fleet.create_upstream_paths(VM).unwrap();
        fleet.publish().await.unwrap();
        // The VM reads the list again.
        Timer::after(Duration::from_secs(3)).await;
        let before = ask(&fleet, VM, &read_call(0)).await;
        assert!(before.is_whole(), "{before:?}");
        fleet.set_upstream_paths(VM, Mode::Gone);
        Timer::after(Duration::from_millis(200)).await;
        let mut calls = Vec::new();
        for nonce in 1..=10 {
            let request = match nonce % 2 {
                0 => chat(nonce, 20, true),
                _ => read_call(nonce),
            };
            let call = ask(&fleet, VM, &request).await;
            assert!(call.is_whole(), "{call:?}");
            calls.push(call);
        }
        assert_no_violations(&fleet, &calls).await;
    });
}

/// Sends a chat request like no other, after these earlier messages.
async fn chat_after(
    fleet: &Fleet,
    vm: &str,
    nonce: u64,
    earlier: &[&str],
    stream: bool,
) -> u16 {
    let prompt = format!("task=summary difficulty=0.1 nonce={nonce}");
    let earlier = earlier.iter().copied();
    let messages: Vec<_> = earlier
        .chain([prompt.as_str()])
        .map(|text| json!({ "role": "user", "content": text }))
        .collect();
    let body = json!({
        "model": "writer",
        "messages": messages,
        "max_tokens": 4,
        "stream": stream,
    });
    let call =
        Call::new(fleet.vms[vm].callers, Method::POST, "/v1/chat/completions")
            .body(body.to_string())
            .header(
                "authorization",
                &format!("Bearer {}", bearer_key("collectif")),
            );
    let answer = fleet.client.fetch(call, CALLER_TIMEOUT, 1 << 20).await;
    answer.map_or(0, |answer| answer.status)
}

/// Guards against counting lost attempts per upstream and call only: requests
/// that share one crashing message crash engine after engine.
#[test]
fn a_message_that_crashes_engines_is_sent_to_no_more_of_them() {
    const SPARE_ENGINES: usize = 14;
    const CRASHES: usize = 5;
    const PROPAGATION_TIME: Duration = Duration::from_secs(3);
    const MAX_SENDS: usize = 3;
    run(async {
        let mut fleet = start(2, |mut plan| {
            let engine = plan.engines.iter().find(|e| e.model == "writer");
            let engine = engine.expect("the plan has the model").clone();
            for number in 1..=SPARE_ENGINES {
                let name = format!("spare-{number}");
                plan.engines.push(EnginePlan { name, ..engine.clone() });
            }
            plan
        })
        .await;
        let faults = EngineFaults {
            crash_on: CRASHING_TEXT.to_owned(),
            ..Default::default()
        };
        let engines = fleet.plan.engines.iter();
        let mut engines: Vec<EnginePlan> = engines
            .filter(|engine| engine.model == "writer")
            .cloned()
            .collect();
        for engine in &engines {
            let name = &engine.name;
            fleet.set_upstream_faults(name, &faults).await.unwrap();
        }
        let vms: Vec<String> = fleet.vms.keys().cloned().collect();
        let mut nonce = 0;
        for vm in &vms {
            nonce += 1;
            let status =
                chat_after(&fleet, vm, nonce, &["hello"], false).await;
            assert_eq!(status, 200);
        }
        let mut crashed: Vec<Instant> = Vec::new();
        for round in 0..10 {
            for vm in &vms {
                nonce += 1;
                let earlier = ["hello", CRASHING_TEXT];
                chat_after(&fleet, vm, nonce, &earlier, round % 2 == 0).await;
                Timer::after(Duration::from_millis(150)).await;
                for engine in &mut engines {
                    if fleet.is_listening(&engine.name).await {
                        continue;
                    }
                    crashed.push(Instant::now());
                    fleet.remove_upstream(&engine.name).await.unwrap();
                    engine.name = format!("next-{}", crashed.len());
                    fleet.start_engine(engine).unwrap();
                    fleet
                        .set_upstream_faults(&engine.name, &faults)
                        .await
                        .unwrap();
                    fleet.publish().await.unwrap();
                }
            }
        }
        let fifth = crashed.get(CRASHES - 1).or(crashed.last());
        let bound = *fifth.expect("an engine crashed") + PROPAGATION_TIME;
        let late = crashed.iter().filter(|at| **at > bound).count();
        assert!(late <= MAX_SENDS, "{late} of {} came late", crashed.len());
        for vm in &vms {
            nonce += 1;
            let status =
                chat_after(&fleet, vm, nonce, &["hello"], false).await;
            assert_eq!(status, 200, "others are served");
        }
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_ends_as_incomplete() {
    run(async {
        let mut fleet = start(1, |mut plan| {
            for engine in &mut plan.engines {
                engine.token_ms = 50;
            }
            plan
        })
        .await;
        let client = fleet.client.clone();
        let address = fleet.vms[VM].callers;
        let stream = async_global_executor::spawn(async move {
            let request = chat(1, 100, true);
            standins::caller::send(&client, address, &request).await
        });
        Timer::after(Duration::from_millis(800)).await;
        fleet.kill_upstream("writer-hall-a");
        fleet.kill_upstream("writer-hall-b");
        let call = stream.await;
        assert!(matches!(call.outcome, CallOutcome::Broken(_)), "{call:?}");
        let next = ask(&fleet, VM, &chat(2, 3, false)).await;
        assert_eq!(next.run_status(), Some("not_run"), "{next:?}");
    });
}

#[test]
fn a_leaving_upstream_gets_no_new_requests() {
    run(async {
        let mut fleet = start(2, |plan| plan).await;
        let mut calls = Vec::new();
        fleet.leave("writer-hall-a").await.unwrap();
        fleet.leave("signatures-hall-a").await.unwrap();
        let started_ms = web::unix_ms();
        while web::unix_ms() < started_ms + 5000 {
            let nonce = calls.len() as u64 + 1;
            let request = match nonce % 2 {
                0 => chat(nonce, 3, false),
                _ => non_idempotent_call(nonce, None),
            };
            let call = ask(&fleet, VM, &request).await;
            assert!(call.is_whole(), "{call:?}");
            calls.push(call);
        }
        assert_no_violations(&fleet, &calls).await;
    });
}

/// Returns how many calls an upstream of a service has run and declined.
async fn counts(fleet: &Fleet, upstream: &str) -> [u64; 2] {
    let counts = fleet.service_counts(upstream).await.unwrap();
    ["runs", "turned_away"].map(|name| counts[name].as_u64().unwrap())
}

/// Guards against load balancing that ignores declined requests: an upstream
/// that declines at once looks idle, so it is the first choice.
#[test]
fn an_upstream_gets_no_requests_during_the_backoff_it_asked_for() {
    const BACKOFF_S: u32 = 3;
    run(async {
        let fleet = start(1, |plan| plan).await;
        let near = "signatures-hall-a";
        let faults = ServiceFaults { rest_s: BACKOFF_S, ..Default::default() };
        fleet.set_upstream_faults(near, &faults).await.unwrap();
        let started_ms = web::unix_ms();
        let mut nonce = 0;
        while web::unix_ms() < started_ms + u64::from(BACKOFF_S) * 1000 - 200 {
            nonce += 1;
            let call =
                ask(&fleet, VM, &non_idempotent_call(nonce, None)).await;
            if nonce > 1 {
                assert!(call.is_whole(), "{call:?}");
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        let [_, declined] = counts(&fleet, near).await;
        assert_eq!(declined, 1, "{declined} of {nonce} calls declined");
        let healed = ServiceFaults::default();
        fleet.set_upstream_faults(near, &healed).await.unwrap();
        let [before, _] = counts(&fleet, near).await;
        while counts(&fleet, near).await[0] < before + 3 {
            let waited = web::unix_ms() - started_ms;
            assert!(waited < 10_000, "it gets no calls after its backoff");
            nonce += 1;
            ask(&fleet, VM, &non_idempotent_call(nonce, None)).await;
        }
    });
}

/// Guards against VMs that learn that an upstream is leaving only from its
/// load report, which one VM polls a few times a second, or from the list of
/// upstreams, which is updated later still.
#[test]
fn an_upstream_that_signals_leaving_in_a_response_gets_no_new_requests() {
    run(async {
        let fleet = start(1, |plan| plan).await;
        let near = "signatures-hall-a";
        let faults =
            ServiceFaults { says_leaving: true, ..Default::default() };
        fleet.set_upstream_faults(near, &faults).await.unwrap();
        for nonce in 1..=20 {
            let call =
                ask(&fleet, VM, &non_idempotent_call(nonce, None)).await;
            assert!(call.is_whole(), "{call:?}");
        }
        assert_eq!(counts(&fleet, near).await[0], 1);
    });
}

/// Guards against VMs that each apply the rate limit on their own, so that the
/// upstream gets a multiple of it.
#[test]
fn all_vms_together_keep_to_the_rate_limit_of_an_upstream() {
    const RATE_PER_S: u32 = 2;
    const WINDOW_MS: u64 = 4_000;
    const PROPAGATION_MS: u64 = 3_000;
    const ALLOWED: u64 = RATE_PER_S as u64 * WINDOW_MS / 1000 * 3 / 2 + 5;
    run(async {
        let fleet = start(2, |plan| plan).await;
        let limited = "signatures-hall-a";
        let faults = ServiceFaults {
            rate_limit_per_s: RATE_PER_S,
            ..Default::default()
        };
        fleet.set_upstream_faults(limited, &faults).await.unwrap();
        let started_ms = web::unix_ms();
        let mut nonce = 0;
        let mut runs = Vec::new();
        while web::unix_ms() < started_ms + PROPAGATION_MS + 2 * WINDOW_MS {
            for vm in fleet.vms.keys() {
                nonce += 1;
                let call =
                    ask(&fleet, vm, &non_idempotent_call(nonce, None)).await;
                assert!(
                    call.is_whole(),
                    "the other upstream serves: {call:?}"
                );
            }
            let [run, _] = counts(&fleet, limited).await;
            runs.push((web::unix_ms() - started_ms, run));
            Timer::after(Duration::from_millis(50)).await;
        }
        let kept = runs.iter().filter(|(at, _)| *at >= PROPAGATION_MS);
        for (from, before) in kept {
            let within =
                runs.iter().take_while(|(at, _)| *at <= from + WINDOW_MS);
            let after = within.last().map_or(0, |(_, run)| *run);
            let arrived = after - before;
            assert!(arrived <= ALLOWED, "{arrived} calls in four seconds");
        }
    });
}

#[test]
fn a_withdrawn_version_gets_no_new_requests_during_a_store_outage() {
    run(async {
        let fleet = start(2, |plan| plan).await;
        fleet
            .set_version_state(OTHER_VM, "tiny", "v1", json!("withdrawn"))
            .await
            .unwrap();
        fleet.wait_same_revision().await.unwrap();
        let withdrawn = web::unix_ms();
        fleet.set_all_store_paths(standins::proxy::Mode::Cut);
        let mut calls = Vec::new();
        for (at, vm) in fleet.vms.keys().enumerate() {
            let request = chat_of("tiny", at as u64 + 1, 3, false, None);
            let call = ask(&fleet, vm, &request).await;
            assert_eq!(call.run_status(), Some("not_run"), "{call:?}");
            calls.push(call);
            let request = chat_of("writer", at as u64 + 9, 3, false, None);
            calls.push(ask(&fleet, vm, &request).await);
            assert!(calls.last().unwrap().is_whole());
        }
        fleet.set_all_store_paths(standins::proxy::Mode::Pass);
        let mut rules = site::rules();
        rules.withdrawn_at_unix_ms.insert("tiny@v1".into(), withdrawn);
        let found = violations(&fleet, &calls, &rules).await;
        assert!(found.is_empty(), "{found:?}");
    });
}

#[test]
fn a_failing_version_is_withdrawn_by_the_guard() {
    run(async {
        let fleet = start(1, |mut plan| {
            for engine in &mut plan.engines {
                engine.loaded = String::new();
            }
            plan
        })
        .await;
        for upstream in ["writer-hall-a", "writer-hall-b"] {
            let errors = HashMap::from([("v2".to_owned(), 0.5)]);
            let faults = EngineFaults { errors, ..Default::default() };
            fleet.set_upstream_faults(upstream, &faults).await.unwrap();
        }
        let state = json!({ "rolling_out": { "stage": 2 } });
        let entry = version("writer", "v2", state, 400, 0.8);
        fleet.put_version(VM, &entry).await.unwrap();
        fleet.wait_same_revision().await.unwrap();
        let mut nonce = 0;
        eventually("v2 is withdrawn", || {
            nonce += 1;
            let fleet = &fleet;
            async move {
                let vm = if nonce % 2 == 0 { VM } else { OTHER_VM };
                ask(fleet, vm, &chat(nonce, 2, false)).await;
                let path = "/versions/writer/v2";
                let address = fleet.vms[VM].operators;
                let answer = fleet.get(address, path).await.unwrap();
                String::from_utf8_lossy(&answer.body).contains("withdrawn")
            }
        })
        .await;
        let records = fleet.records().unwrap();
        let exposed = records
            .iter()
            .filter(|r| r.what == "writer@v2")
            .filter(|r| r.happened == web::RecordKind::Run);
        assert!(exposed.count() < 100, "v2 ran 100 requests or more");
    });
}

#[test]
fn a_steward_that_resumes_after_losing_its_lease_sends_no_order() {
    run(async {
        let mut fleet =
            start(3, |mut plan| {
                for engine in &mut plan.engines {
                    // Without fencing, engines accept orders of any epoch,
                    // so only the timing of the lease protects them.
                    engine.fenced = false;
                }
                plan.with_setting("steward", "lease_ttl_ms", "2000")
                    .with_setting("steward", "send_max_ms", "400")
            })
            .await;
        for round in 1..=2 {
            let steward = wait_for_steward(&fleet, None).await;
            fleet.pause_vm(&steward);
            let next = wait_for_steward(&fleet, Some(&steward)).await;
            assert_ne!(next, steward);
            // A change that requires orders is made while the old steward is
            // paused.
            let state = match round {
                1 => json!({ "rolling_out": { "stage": 0 } }),
                _ => json!("withdrawn"),
            };
            let entry = version("writer", "v2", state, 400, 0.8);
            fleet.put_version(&next, &entry).await.unwrap();
            Timer::after(Duration::from_millis(1500)).await;
            fleet.resume_vm(&steward);
            Timer::after(Duration::from_millis(2000)).await;
        }
        let records = fleet.records().unwrap();
        let orders = records
            .iter()
            .filter(|r| r.happened == web::RecordKind::Order)
            .count();
        assert!(orders >= 2, "only {orders} orders were sent");
        assert_no_violations(&fleet, &[]).await;
    });
}

/// Waits until a VM of hall A other than `excluded` holds the steward lease,
/// and returns its name.
async fn wait_for_steward(
    fleet: &standins::fleet::Fleet,
    excluded: Option<&str>,
) -> String {
    let found = std::cell::RefCell::new(String::new());
    eventually("there is a steward", || async {
        for vm in fleet.hall_vms("hall-a") {
            if Some(vm.as_str()) == excluded {
                continue;
            }
            let status = fleet.status(&vm).await.unwrap();
            if !status["steward_epoch"].is_null() {
                *found.borrow_mut() = vm;
                return true;
            }
        }
        false
    })
    .await;
    found.into_inner()
}
