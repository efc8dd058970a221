//! Upstreams that say in their answers that they leave.
//!
//! An upstream said in each of its answers that it leaves while the platform's
//! store was silent, so that its record came twelve seconds later. A VM passed
//! such an answer on, and sent it further requests nine and eleven seconds
//! after that: nothing read what an answer says of its upstream, and the
//! record in the store was the only way by which anybody heard of it. What
//! settled it, of one VM that writes down what answers say and does not heed
//! it; its store stays silent, so no record disturbs:
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
    scripted::{Act, Script, Streamed, Upstream, answers, stamped, streams},
};

/// Long enough that no test meets the bound.
const REVOKE_MS: u64 = 30_000;

/// Time after which an upstream that has said that it leaves is to get
/// nothing, as operators state it.
const DRAIN: Duration = Duration::from_secs(2);

const LEAVING: (&str, &str) = ("Server-Leaving", "1");

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The VMs of a site have fixed addresses, so one site runs at a time.
fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|failed| failed.into_inner())
}

fn site_with(upstreams: &[(&Upstream, &str)]) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let mut site = Site::new(program, &["vm"], REVOKE_MS);
    for (upstream, service) in upstreams {
        site.list(upstream, service, "v1");
    }
    site.start_vm();
    for (upstream, _) in upstreams {
        wait_listed(&site, &upstream.id, 1);
    }
    site
}

/// Waits until the VM has heard so many records of an upstream.
fn wait_listed(site: &Site, upstream: &str, records: usize) {
    wait_until("the VM has heard of the upstream", || {
        let lines = site.vms[0].lines("E043");
        let of_it = lines.iter().filter(|line| line["upstream"] == upstream);
        of_it.count() >= records
    });
}

/// Answers with this status, and says that it leaves.
fn leaves(status: u16) -> Script {
    Box::new(move |request| {
        let more = [LEAVING];
        vec![Act::Send(answer(status, &stamped(request, &more), "x"))]
    })
}

/// Turns requests away, and says that it leaves.
fn leaves_declining() -> Script {
    Box::new(|request| {
        let more = [("Lupinseam-Not-Executed", "1"), LEAVING];
        vec![Act::Send(answer(503, &stamped(request, &more), ""))]
    })
}

/// Streams one event of this confidence, and says that it leaves.
fn leaves_streaming(confidence: &'static str) -> Script {
    Box::new(move |request| {
        let more = [
            ("content-type", "text/event-stream"),
            ("transfer-encoding", "chunked"),
            ("Lupinseam-Confidence", confidence),
            LEAVING,
        ];
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in stamped(request, &more) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let event = chunk("id: 1\ndata: e1\n\n");
        let parts = [head.as_bytes(), b"\r\n", event.as_slice(), b"0\r\n\r\n"];
        vec![Act::Send(parts.concat())]
    })
}

/// Asks for a plain answer and a stream.
///
/// Both attempts of the plain one may go to an upstream that fails and one
/// that turns it away, so not all are served.
fn ask(site: &Site, id: &str) -> [HttpReply; 2] {
    let plain = request("GET", "/read/x", id, "");
    let stream = unique_prompt_stream_request("/write/x", &format!("{id}-s"));
    [plain, stream].map(|text| site.vms[0].ask(&text))
}

/// Asks so many times for both, which those that stay serve.
fn ask_served(site: &Site, name: &str, times: usize) {
    for number in 0..times {
        for got in ask(site, &format!("{name}-{number}")) {
            assert_eq!(got.status, 200, "{got:?}");
        }
    }
}

fn received(upstreams: &[&Upstream]) -> Vec<usize> {
    upstreams.iter().map(|upstream| upstream.received().len()).collect()
}

#[test]
fn one_that_says_so_in_any_answer_gets_no_more_requests() {
    let _alone = alone();
    let answering = Upstream::start("i-1", answers(200, "x"));
    let failing = Upstream::start("i-2", answers(200, "x"));
    let declining = Upstream::start("i-3", answers(200, "x"));
    let staying = Upstream::start("i-4", answers(200, "x"));
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
    // Nobody hears of it through the store.
    site.store.set_mode(StoreMode::Silent);
    answering.set_script(leaves(200));
    failing.set_script(leaves(500));
    declining.set_script(leaves_declining());
    streaming.set_script(leaves_streaming("100"));
    let leaving = [&answering, &failing, &declining, &streaming];
    let before = received(&leaving);
    let mut round = 0;
    wait_until("each has said that it leaves", || {
        ask(&site, &format!("before-{round}"));
        round += 1;
        let now = received(&leaving);
        now.iter().zip(&before).all(|(now, before)| now > before)
    });
    thread::sleep(DRAIN);
    let told = received(&leaving);
    ask_served(&site, "after", 40);
    assert_eq!(received(&leaving), told, "sent there after it was told");
    assert!(staying.received().len() >= 40 && !other.received().is_empty());
}

/// Its record says `ready` until the store has taken its leave, and may lapse
/// and be written again meanwhile; only a later start brings it back.
#[test]
fn no_record_of_the_same_life_brings_it_back() {
    let _alone = alone();
    let leaving = Upstream::start("i-1", answers(200, "x"));
    let staying = Upstream::start("i-2", answers(200, "x"));
    let model = Upstream::start("m-1", streams(|_| Streamed::default()));
    let site = site_with(&[(&staying, PLAIN), (&model, MODELS)]);
    let write = |start_ms: u64, cold_ms: u64| {
        let mut record =
            upstream_record(leaving.address, PLAIN, "v1", "ready");
        record["born"] = json!(start_ms);
        record["warmup_left_ms"] = json!(cold_ms);
        site.store.put("servers/i-1", &record);
    };
    write(1_000, 0);
    wait_listed(&site, "i-1", 1);
    leaving.set_script(leaves(200));
    let before = received(&[&leaving]);
    wait_until("it has said that it leaves", || {
        ask(&site, "before");
        received(&[&leaving]) > before
    });
    thread::sleep(DRAIN);
    let told = received(&[&leaving]);
    write(1_000, 1);
    wait_listed(&site, "i-1", 2);
    ask_served(&site, "read-again", 20);
    assert_eq!(received(&[&leaving]), told, "after its record was changed");
    site.store.remove("servers/i-1");
    wait_until("its record is gone", || !site.vms[0].lines("E044").is_empty());
    write(1_000, 0);
    wait_listed(&site, "i-1", 3);
    ask_served(&site, "back", 20);
    assert_eq!(received(&[&leaving]), told, "after its record was back");
    leaving.set_script(answers(200, "x"));
    write(2_000, 0);
    wait_listed(&site, "i-1", 4);
    ask_served(&site, "again", 20);
    assert!(received(&[&leaving]) > told, "a later life gets requests");
}

/// The answer at hand would be dropped for one that nobody can give.
#[test]
fn a_doubtful_answer_is_kept_where_nobody_else_can_be_asked() {
    let _alone = alone();
    let only = Upstream::start("m-1", leaves_streaming("10"));
    let site = site_with(&[(&only, MODELS)]);
    let got =
        site.vms[0].ask(&unique_prompt_stream_request("/write/x", "r-1"));
    assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    assert_eq!(got.body, "id: 1\ndata: e1\n\n");
}
