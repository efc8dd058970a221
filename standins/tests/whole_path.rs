//! End-to-end tests of a fleet without faults: requests, sessions, decisions,
//! templates, invalid input and graceful shutdowns.

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use common::*;
use hyper::Method;
use lupinseam::http_client::Call;
use serde_json::{Value, json};
use smol::Timer;
use standins::{
    documents::{bearer_key, template},
    fleet::Fleet,
};

/// A VM of the first data hall.
const VM: &str = "vm-hall-a-1";
/// A VM of the second data hall.
const OTHER_VM: &str = "vm-hall-b-1";

#[test]
fn requests_are_answered_explained_and_billed() {
    run(async {
        let fleet = start(1, |plan| plan).await;
        let mut calls = Vec::new();
        for request in [
            chat(1, 5, false),
            chat(2, 9, true),
            non_idempotent_call(3, Some("key-3")),
            non_idempotent_call(4, None),
            read_call(5),
        ] {
            let call = ask(&fleet, VM, &request).await;
            assert!(call.is_whole(), "{call:?}");
            calls.push(call);
        }
        for call in &calls {
            let id = call.decision.as_deref().expect("a decision id");
            let address = fleet.vms[OTHER_VM].operators;
            let path = format!("/decisions/{id}?words");
            let answer = fleet.get(address, &path).await.unwrap();
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert_eq!(answer.status, 200, "{text}");
            assert!(text.contains("answered"), "{text}");
            assert!(text.contains("configuration revision 5"), "{text}");
        }
        assert_no_violations(&fleet, &calls).await;
    });
}

#[test]
fn a_session_keeps_its_version_on_every_vm() {
    run(async {
        let fleet = start(1, |plan| plan).await;
        let first =
            ask(&fleet, VM, &chat_of("writer", 1, 3, false, Some("new")))
                .await;
        let token = first.session.clone().expect("a token");
        let state = json!({ "rolling_out": { "stage": 2 } });
        let entry =
            standins::documents::version("writer", "v2", state, 400, 0.8);
        fleet.put_version(VM, &entry).await.unwrap();
        eventually("v2 answers new sessions", || async {
            let call = ask(&fleet, OTHER_VM, &chat(2, 2, false)).await;
            call.answered_by.as_deref() == Some("writer@v2")
        })
        .await;
        for (at, vm) in [VM, OTHER_VM].into_iter().enumerate() {
            let request =
                chat_of("writer", 10 + at as u64, 3, true, Some(&token));
            let call = ask(&fleet, vm, &request).await;
            assert_eq!(call.answered_by.as_deref(), Some("writer@v1"));
        }
        fleet
            .set_version_state(OTHER_VM, "writer", "v1", json!("withdrawn"))
            .await
            .unwrap();
        fleet.wait_same_revision().await.unwrap();
        let request = chat_of("writer", 20, 3, false, Some(&token));
        let call = ask(&fleet, VM, &request).await;
        assert_eq!(call.code(), Some("version_withdrawn"));
        assert_eq!(call.run_status(), Some("not_run"));
    });
}

#[test]
fn the_second_of_two_concurrent_edits_gets_a_conflict() {
    run(async {
        let fleet = start(1, |plan| plan).await;
        let path = "/templates/collectif";
        let read = fleet.get(fleet.vms[VM].operators, path).await.unwrap();
        let revision = read.header("etag").unwrap().to_owned();
        let edit = |vm: &str, target: f64| {
            let mut new: Value = serde_json::from_slice(&read.body).unwrap();
            new["quality_target"] = json!(target);
            Call::new(fleet.vms[vm].operators, Method::PUT, path)
                .header("if-match", &revision)
                .body(new.to_string())
        };
        let (a, b) = futures_lite::future::zip(
            fleet.fetch(edit(VM, 0.5)),
            fleet.fetch(edit(OTHER_VM, 0.6)),
        )
        .await;
        let (a, b) = (a.unwrap(), b.unwrap());
        let statuses = [a.status, b.status];
        assert!(statuses.contains(&200), "{statuses:?}");
        assert!(statuses.contains(&412), "{statuses:?}");
        let (loser, winner) =
            if a.status == 412 { (a, 0.6) } else { (b, 0.5) };
        let conflict: Value = serde_json::from_slice(&loser.body).unwrap();
        assert_eq!(conflict["error"]["code"], "edit_conflict");
        assert_eq!(conflict["current"]["value"]["quality_target"], winner);
        fleet.wait_same_revision().await.unwrap();
        for vm in [VM, OTHER_VM] {
            let now = fleet.get(fleet.vms[vm].operators, path).await.unwrap();
            let now: Value = serde_json::from_slice(&now.body).unwrap();
            assert_eq!(now["quality_target"], winner);
        }
    });
}

#[test]
fn invalid_input_gets_the_matching_error() {
    run(async {
        let fleet = start(1, |plan| plan).await;
        let callers = fleet.vms[VM].callers;
        let key = format!("Bearer {}", bearer_key("collectif"));
        let chat_call = |body: &str| {
            Call::new(callers, Method::POST, "/v1/chat/completions")
                .header("authorization", &key)
                .body(body.to_owned())
        };
        let message = r#""messages":[{"role":"user","content":"x"}]"#;
        let oversized = "x".repeat(2 << 20);
        let cases = [
            (chat_call("{"), 400, "invalid_input"),
            (
                chat_call(&format!("{{{message},\"model\":\"nope\"}}")),
                404,
                "not_found",
            ),
            (chat_call(&oversized), 413, "too_large"),
            (
                chat_call(&format!("{{{message}}}"))
                    .header("lupinseam-session", "forged"),
                401,
                "session_invalid",
            ),
            (
                chat_call(&format!("{{{message}}}"))
                    .header("authorization", "Bearer wrong"),
                401,
                "unauthorized",
            ),
            (
                chat_call(&format!("{{{message}}}"))
                    .header("x-long", &"y".repeat(40_000)),
                413,
                "too_large",
            ),
            (
                Call::new(callers, Method::GET, "/services/alerts/x")
                    .header("authorization", &key),
                403,
                "not_allowed",
            ),
            (Call::new(callers, Method::GET, "/nothing"), 404, "not_found"),
            (
                Call::new(callers, Method::PUT, "/v1/models"),
                405,
                "method_not_allowed",
            ),
        ];
        for (call, status, code) in cases {
            let path = call.path.clone();
            let answer = fleet.fetch(call).await.unwrap();
            let value: Value = serde_json::from_slice(&answer.body).unwrap();
            assert_eq!(answer.status, status, "{path}: {value}");
            assert_eq!(value["error"]["code"], code, "{path}");
            assert_eq!(value["error"]["run"], "not_run", "{path}");
        }
        assert_eq!(fleet.records().unwrap().len(), 0);
    });
}

#[test]
fn malformed_frames_on_the_peer_port_are_counted_and_dropped() {
    run(async {
        let fleet = start(1, |mut plan| {
            plan.without_proxies = true;
            plan
        })
        .await;
        let log = fleet.log(VM);
        let peers: std::net::SocketAddr = log
            .split("peers ")
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|text| text.parse().ok())
            .expect("the peer address in the log");
        let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for length in [0, 1, 15, 16, 17, 100, 1400, 9000] {
            udp.send_to(&vec![7; length], peers).unwrap();
        }
        let mut tcp = TcpStream::connect(peers).unwrap();
        tcp.write_all(&u32::MAX.to_be_bytes()).unwrap();
        let mut tcp = TcpStream::connect(peers).unwrap();
        tcp.write_all(&[0, 0, 0, 32]).unwrap();
        tcp.write_all(&[9; 32]).unwrap();
        eventually("dropped frames are counted", || async {
            let operators = fleet.vms[VM].operators;
            let metrics = fleet.get(operators, "/metrics").await.unwrap();
            let text = String::from_utf8_lossy(&metrics.body).into_owned();
            text.contains("lupinseam_frames_dropped_total{fault=\"short\"} ")
                && text.contains("fault=\"format\"")
        })
        .await;
        let call = ask(&fleet, VM, &chat(1, 3, false)).await;
        assert!(call.is_whole(), "{call:?}");
    });
}

#[test]
fn a_template_takes_effect_on_all_vms_without_a_restart() {
    run(async {
        let fleet = start(2, |plan| plan).await;
        let call =
            ask(&fleet, OTHER_VM, &chat_of("tiny", 1, 2, false, None)).await;
        assert!(call.is_whole());
        let restricted = template("collectif", &["writer"], &[]);
        fleet.put_template(VM, &restricted).await.unwrap();
        fleet.wait_same_revision().await.unwrap();
        for vm in fleet.vms.keys() {
            let call =
                ask(&fleet, vm, &chat_of("tiny", 2, 2, false, None)).await;
            assert_eq!(call.code(), Some("not_allowed"), "{vm}");
            let call = ask(&fleet, vm, &non_idempotent_call(3, None)).await;
            assert_eq!(call.code(), Some("not_allowed"), "{vm}");
        }
    });
}

#[test]
fn a_graceful_shutdown_cuts_off_no_request() {
    run(async {
        let mut fleet = start(2, |mut plan| {
            for engine in &mut plan.engines {
                engine.token_ms = 20;
            }
            plan
        })
        .await;
        let streams: Vec<_> = (0..8)
            .map(|n| {
                let client = fleet.client.clone();
                let address = fleet.vms[VM].callers;
                let request = chat(100 + n, 60, true);
                async_global_executor::spawn(async move {
                    standins::caller::send(&client, address, &request).await
                })
            })
            .collect();
        let keyed = non_idempotent_call(200, Some("key-200"));
        let mut calls = vec![ask(&fleet, VM, &keyed).await];
        Timer::after(Duration::from_millis(500)).await;
        let vm = fleet.vms.get_mut(VM).unwrap();
        let mut process = vm.process.take().unwrap();
        process.terminate();
        for stream in streams {
            let call = stream.await;
            assert!(call.is_whole(), "{call:?}");
            calls.push(call);
        }
        assert_eq!(process.wait(TIMEOUT).await, Some(0));
        calls.extend(ask_until_settled(&fleet, OTHER_VM, &keyed).await);
        let last = calls.last().unwrap();
        let id = last.decision.as_deref().unwrap_or_default();
        let path = format!("/decisions/{id}?words");
        let operators = fleet.vms[OTHER_VM].operators;
        let explanation = fleet.get(operators, &path).await.unwrap();
        let explanation =
            String::from_utf8_lossy(&explanation.body).into_owned();
        assert!(
            last.repeated,
            "the outcome survives the shutdown: {explanation}"
        );
        assert_no_violations(&fleet, &calls).await;
    });
}

/// Guards against a process that ends before it has written an answer that
/// its caller reads slowly.
#[test]
fn an_answer_that_is_still_written_at_a_stop_is_whole() {
    /// Tokens of an answer that does not fit in the buffers of a connection.
    const TOKENS: u64 = 1_300_000;
    run(async {
        let mut fleet = start(1, |mut plan| {
            for engine in &mut plan.engines {
                engine.token_ms = 0;
            }
            plan
        })
        .await;
        let key = bearer_key("collectif");
        let body = json!({
            "model": "writer", "max_tokens": TOKENS,
            "messages": [{ "role": "user", "content": "nonce=1" }],
        })
        .to_string();
        let length = body.len();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\
             Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        );
        let address = fleet.vms[VM].callers;
        // Leaves an idle connection, which does not hold up the stop.
        fleet.get(address, "/healthz").await.unwrap();
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        // The answer has begun.
        assert!(stream.peek(&mut [0]).unwrap() > 0);
        let vm = fleet.vms.get_mut(VM).unwrap();
        let mut process = vm.process.take().unwrap();
        process.terminate();
        Timer::after(Duration::from_secs(3)).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let answer = String::from_utf8(answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        let body = serde_json::from_str::<Value>(body);
        assert!(body.is_ok(), "{} bytes of: {head}", answer.len());
        // Well within the grace period, which is a minute.
        assert_eq!(process.wait(Duration::from_secs(20)).await, Some(0));
    });
}

#[test]
fn a_vm_starts_from_a_peer_during_a_store_outage() {
    run(async {
        let mut fleet = start(2, |plan| plan).await;
        let outage = standins::kv::KvFaults {
            outage: true,
            ..standins::kv::KvFaults::default()
        };
        fleet.set_kv_faults(outage).await.unwrap();
        fleet.kill_vm(VM);
        fleet.restart_vm(VM).await.unwrap();
        wait_for_answer(&fleet, VM).await;
        let edit = template("collectif", &["writer"], &[]);
        let rejected = fleet.put_template(VM, &edit).await.unwrap_err();
        assert!(rejected.contains("store_un"), "{rejected}");
        let status = fleet.status(VM).await.unwrap();
        assert_eq!(status["revision"], 5);
    });
}

/// Waits until a VM answers a chat request.
async fn wait_for_answer(fleet: &Fleet, vm: &str) {
    eventually("the VM answers", || async {
        ask(fleet, vm, &chat(1, 2, false)).await.is_whole()
    })
    .await;
}
