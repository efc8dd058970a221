//! Checks that a VM stops sending to an upstream whose responses say that it
//! is leaving.
//!
//! Guards against learning of it from the store only: while the store did not
//! answer, the upstream's record arrived twelve seconds late, and a VM that
//! had forwarded such a response sent further requests nine and eleven seconds
//! after it. The log of a VM that records these signals but ignores them,
//! while its store does not answer:
//!
//! ```text
//! 0.000 vm-0 i-1 answered, says_leaving
//! 0.003 vm-0 m-1 answered, says_leaving
//! 0.049 vm-0 i-3 declined: 503, says_leaving
//! 2.166 vm-0 i-1 answered, says_leaving
//! 2.169 vm-0 m-1 answered, says_leaving
//! 2.170 vm-0 i-3 declined: 503, says_leaving
//! ```

use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    thread,
    time::Duration,
};

use serde_json::json;
use standins::{
    gateway_site::{
        HttpReply, MODELS, PLAIN, Site, request, unique_prompt_stream_request,
        upstream_record, wait_until,
    },
    http_raw::{answer, chunk},
    platform_store::StoreMode,
    scripted::{
        Script, Step, Streamed, Upstream, always_responds, response_headers,
        streams,
    },
};

/// Time within which a revoked key must be rejected everywhere; long enough
/// that no test reaches it.
const REVOKE_MS: u64 = 30_000;

/// Time after which an upstream that said that it is leaving must get no more
/// requests, as specified by the operators.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Header by which a response says that its upstream is leaving.
const LEAVING: (&str, &str) = ("Server-Leaving", "1");

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Starts a site with one VM, and waits until it knows these upstreams, each
/// given with its service.
fn site_with(upstreams: &[(&Upstream, &str)]) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let mut site = Site::new(program, &["vm"], REVOKE_MS);
    for (upstream, service) in upstreams {
        site.register(upstream, service, "v1");
    }
    site.start_vm();
    for (upstream, _) in upstreams {
        wait_for_records(&site, &upstream.id, 1);
    }
    site
}

/// Waits until the VM has read at least this many records of an upstream.
fn wait_for_records(site: &Site, upstream: &str, records: usize) {
    wait_until("the VM has read the upstream's records", || {
        let lines = site.vms[0].lines("E043");
        let of_it = lines.iter().filter(|line| line["upstream"] == upstream);
        of_it.count() >= records
    });
}

/// Answers with this status and says that the upstream is leaving.
fn leaving_answers(status: u16) -> Script {
    Box::new(move |request| {
        let more = [LEAVING];
        vec![Step::Send(answer(
            status,
            &response_headers(request, &more),
            "x",
        ))]
    })
}

/// Declines requests and says that the upstream is leaving.
fn leaving_declines() -> Script {
    Box::new(|request| {
        let more = [("Lupinseam-Not-Executed", "1"), LEAVING];
        vec![Step::Send(answer(503, &response_headers(request, &more), ""))]
    })
}

/// Streams one event, states this confidence and says that the upstream is
/// leaving.
fn leaving_streams(confidence: &'static str) -> Script {
    Box::new(move |request| {
        let more = [
            ("content-type", "text/event-stream"),
            ("transfer-encoding", "chunked"),
            ("Lupinseam-Confidence", confidence),
            LEAVING,
        ];
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in response_headers(request, &more) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let event = chunk("id: 1\ndata: e1\n\n");
        let parts = [head.as_bytes(), b"\r\n", event.as_slice(), b"0\r\n\r\n"];
        vec![Step::Send(parts.concat())]
    })
}

/// Sends one plain request and one request for a stream.
///
/// Not all of them succeed: both attempts of the plain one may reach upstreams
/// that fail or decline it.
fn ask(site: &Site, id: &str) -> [HttpReply; 2] {
    let plain = request("GET", "/read/x", id, "");
    let stream = unique_prompt_stream_request("/write/x", &format!("{id}-s"));
    [plain, stream].map(|text| site.vms[0].ask(&text))
}

/// Sends both requests this many times, and asserts that the remaining
/// upstreams serve them.
fn ask_served(site: &Site, name: &str, times: usize) {
    for number in 0..times {
        for got in ask(site, &format!("{name}-{number}")) {
            assert_eq!(got.status, 200, "{got:?}");
        }
    }
}

/// Returns how many requests each upstream has received.
fn received(upstreams: &[&Upstream]) -> Vec<usize> {
    upstreams.iter().map(|upstream| upstream.received().len()).collect()
}

#[test]
fn an_upstream_that_says_it_is_leaving_in_any_response_gets_no_more_requests()
{
    let _guard = lock_site();
    let answering = Upstream::start("i-1", always_responds(200, "x"));
    let failing = Upstream::start("i-2", always_responds(200, "x"));
    let declining = Upstream::start("i-3", always_responds(200, "x"));
    let staying = Upstream::start("i-4", always_responds(200, "x"));
    let streaming = Upstream::start("m-1", streams(|_| Streamed::default()));
    let other = Upstream::start("m-2", streams(|_| Streamed::default()));
    let site = site_with(&[
        (&answering, PLAIN),
        (&failing, PLAIN),
        (&declining, PLAIN),
        (&staying, PLAIN),
        (&streaming, MODELS),
        (&other, MODELS),
    ]);
    // The VM can't learn of it from the store.
    site.store.set_mode(StoreMode::Silent);
    answering.set_script(leaving_answers(200));
    failing.set_script(leaving_answers(500));
    declining.set_script(leaving_declines());
    streaming.set_script(leaving_streams("100"));
    let leaving = [&answering, &failing, &declining, &streaming];
    let before = received(&leaving);
    let mut round = 0;
    wait_until("each has said that it is leaving", || {
        ask(&site, &format!("before-{round}"));
        round += 1;
        let now = received(&leaving);
        now.iter().zip(&before).all(|(now, before)| now > before)
    });
    thread::sleep(DRAIN_TIME);
    let received_by_leaving = received(&leaving);
    ask_served(&site, "after", 40);
    assert_eq!(
        received(&leaving),
        received_by_leaving,
        "sent to a leaving upstream"
    );
    assert!(staying.received().len() >= 40 && !other.received().is_empty());
}

/// Guards against records of the same incarnation that bring a leaving
/// upstream back: its record says `ready` until the store has the change, and
/// may expire and be written again before that. Only a later incarnation gets
/// requests again.
#[test]
fn no_record_of_the_same_incarnation_brings_a_leaving_upstream_back() {
    let _guard = lock_site();
    let leaving = Upstream::start("i-1", always_responds(200, "x"));
    let staying = Upstream::start("i-2", always_responds(200, "x"));
    let model = Upstream::start("m-1", streams(|_| Streamed::default()));
    let site = site_with(&[(&staying, PLAIN), (&model, MODELS)]);
    let write = |start_ms: u64, warmup_ms: u64| {
        let mut record =
            upstream_record(leaving.address, PLAIN, "v1", "ready");
        record["born"] = json!(start_ms);
        record["warmup_left_ms"] = json!(warmup_ms);
        site.store.put("servers/i-1", &record);
    };
    write(1_000, 0);
    wait_for_records(&site, "i-1", 1);
    leaving.set_script(leaving_answers(200));
    let before = received(&[&leaving]);
    wait_until("it has said that it is leaving", || {
        ask(&site, "before");
        received(&[&leaving]) > before
    });
    thread::sleep(DRAIN_TIME);
    let received_by_leaving = received(&[&leaving]);
    write(1_000, 1);
    wait_for_records(&site, "i-1", 2);
    ask_served(&site, "read-again", 20);
    assert_eq!(
        received(&[&leaving]),
        received_by_leaving,
        "sent there after its record changed"
    );
    site.store.remove("servers/i-1");
    wait_until("its record is removed", || {
        !site.vms[0].lines("E044").is_empty()
    });
    write(1_000, 0);
    wait_for_records(&site, "i-1", 3);
    ask_served(&site, "back", 20);
    assert_eq!(
        received(&[&leaving]),
        received_by_leaving,
        "sent there after its record was written again"
    );
    leaving.set_script(always_responds(200, "x"));
    write(2_000, 0);
    wait_for_records(&site, "i-1", 4);
    ask_served(&site, "again", 20);
    assert!(
        received(&[&leaving]) > received_by_leaving,
        "a later incarnation gets requests"
    );
}

/// Guards against dropping a low-confidence answer when no other upstream can
/// give a better one, since the only one is leaving.
#[test]
fn a_low_confidence_answer_is_kept_without_another_upstream() {
    let _guard = lock_site();
    let only = Upstream::start("m-1", leaving_streams("10"));
    let site = site_with(&[(&only, MODELS)]);
    let got =
        site.vms[0].ask(&unique_prompt_stream_request("/write/x", "r-1"));
    assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    assert_eq!(got.body, "id: 1\ndata: e1\n\n");
}
