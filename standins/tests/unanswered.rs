//! Checks that the log names each request that was read and whose connection
//! ended without a complete answer, with the cause.

use std::{
    io::{Read, Write},
    net::TcpStream,
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    thread,
    time::Duration,
};

use rustix::process::Signal;
use serde_json::{Value, json};
use standins::{
    gateway_site::{
        MODELS, PLAIN, Site, configuration, exchange, request, stream_request,
        upstream_record, wait_until,
    },
    http_raw::answer,
    scripted::{
        Script, Step, Streamed, Upstream, always_responds, response_headers,
        streams,
    },
};

const REVOKE_MS: u64 = 30_000;

/// Length of an answer that fills the buffers of a connection.
const LONG_ANSWER_BYTES: usize = 12 << 20;

/// Requests whose cut by a stop is logged.
const MAX_CUT_LOGGED: usize = 100;

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

fn site(upstreams: &[&Upstream], service: &str) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    Site::with_one_vm(program, REVOKE_MS, upstreams, service)
}

/// Sends a request and leaves its connection open.
fn send(site: &Site, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.vms[0].callers).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Waits for the only line of a request, which ended without an answer.
fn failed_line(site: &Site, id: &str) -> Value {
    let of_it = |event| {
        let mut lines = site.vms[0].lines(event);
        lines.retain(|line| line["id"] == id);
        lines
    };
    wait_until("the request is logged", || !of_it("E101").is_empty());
    let mut lines = of_it("E101");
    assert_eq!((lines.len(), of_it("E100").len()), (1, 0), "{lines:?}");
    lines.remove(0)
}

/// Returns the counters of requests without an answer.
fn unanswered(site: &Site) -> Vec<String> {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\
                Connection: close\r\n\r\n";
    let metrics = exchange(site.vms[0].readiness, text.as_bytes()).body;
    let lines = metrics.lines().map(str::to_owned);
    lines.filter(|l| l.starts_with("lupinseam_unanswered_total")).collect()
}

/// Never responds.
fn never_responds() -> Script {
    Box::new(|_| vec![Step::Wait(Duration::from_secs(60))])
}

/// Streams one event and is silent from then on.
fn falls_silent() -> Script {
    streams(|_| Streamed {
        silence: Some((2, Duration::from_secs(60))),
        ..Streamed::default()
    })
}

/// Responds with more than the buffers of a connection hold.
fn responds_at_length() -> Script {
    let body = "x".repeat(LONG_ANSWER_BYTES);
    Box::new(move |request| {
        vec![Step::Send(answer(200, &response_headers(request, &[]), &body))]
    })
}

#[test]
fn a_caller_that_leaves_before_its_answer_is_logged_with_the_phase() {
    let _guard = lock_site();
    let upstream = Upstream::start("i-1", never_responds());
    let site = site(&[&upstream], PLAIN);
    let caller = send(&site, &request("POST", "/once/x", "r-1", ""));
    wait_until("the upstream is asked", || !upstream.received().is_empty());
    thread::sleep(Duration::from_millis(300));
    drop(caller);
    let line = failed_line(&site, "r-1");
    assert_eq!(line["code"], "caller_left", "{line}");
    assert_eq!(line["phase"], "upstream", "{line}");
    assert!(line["upstream_silent_ms"].as_u64().unwrap() >= 250, "{line}");
    assert!(line["table_at_end"].is_null(), "{line}");
    let counted = unanswered(&site);
    let expected = r#"lupinseam_unanswered_total{cause="caller_left"} 1"#;
    assert_eq!(counted, [expected]);
}

#[test]
fn a_configuration_that_changed_meanwhile_is_logged() {
    let _guard = lock_site();
    let upstream = Upstream::start("m-1", falls_silent());
    let site = site(&[&upstream], MODELS);
    let mut caller = send(&site, &stream_request("/write/x", "r-1"));
    caller.read_exact(&mut [0; 16]).unwrap();
    let before = site.vms[0].lines("E010").len();
    site.store.put("op/config", &configuration(2));
    wait_until("the configuration is in force", || {
        site.vms[0].lines("E010").len() > before
    });
    drop(caller);
    let line = failed_line(&site, "r-1");
    assert_eq!(line["phase"], "answer", "{line}");
    assert!(line["table_at_end"].as_u64() > line["table"].as_u64(), "{line}");
}

/// Guards against a request that counts as answered since this VM has its
/// answer, which its caller never gets.
#[test]
fn an_answer_that_is_not_written_out_is_logged_as_lost() {
    let _guard = lock_site();
    let upstream = Upstream::start("i-1", responds_at_length());
    let site = site(&[&upstream], PLAIN);
    let mut caller = send(&site, &request("GET", "/read/x", "r-1", ""));
    caller.read_exact(&mut [0; 1024]).unwrap();
    drop(caller);
    let line = failed_line(&site, "r-1");
    let code = line["code"].as_str().unwrap();
    assert!(["caller_left", "write_failed"].contains(&code), "{line}");
    assert_eq!(line["phase"], "answer", "{line}");
    assert_eq!(line["status"], 200, "{line}");
}

/// A caller that sends its next request early: nothing is read from it while
/// the answer is written, so that the write is what fails.
#[test]
fn a_connection_that_fails_under_an_answer_is_logged() {
    let _guard = lock_site();
    let upstream = Upstream::start("i-1", responds_at_length());
    let site = site(&[&upstream], PLAIN);
    let text = request("GET", "/read/x", "r-1", "")
        .replace("Connection: close\r\n", "");
    let next = text.replace("r-1", "r-2");
    let mut caller = send(&site, &format!("{text}{next}"));
    caller.read_exact(&mut [0; 1024]).unwrap();
    drop(caller);
    let line = failed_line(&site, "r-1");
    assert_eq!(line["code"], "write_failed", "{line}");
    assert_eq!(line["phase"], "answer", "{line}");
}

#[test]
fn a_stream_that_no_upstream_continues_is_logged_as_broken_off() {
    let _guard = lock_site();
    let upstream = Upstream::start(
        "m-1",
        streams(|_| Streamed { breaks_after: Some(2), ..Streamed::default() }),
    );
    let site = site(&[&upstream], MODELS);
    let got = site.vms[0].ask(&stream_request("/write/x", "r-1"));
    assert!(!got.whole, "{got:?}");
    let line = failed_line(&site, "r-1");
    assert_eq!(line["code"], "broken_off", "{line}");
    assert_eq!(line["phase"], "answer", "{line}");
    let counted = unanswered(&site);
    let expected = r#"lupinseam_unanswered_total{cause="broken_off"} 1"#;
    assert_eq!(counted, [expected]);
}

#[test]
fn a_stream_whose_deadline_passes_is_logged_as_timed_out() {
    let _guard = lock_site();
    let upstream = Upstream::start("m-1", falls_silent());
    let site = site(&[&upstream], MODELS);
    let text = stream_request("/write/x", "r-1")
        .replace("Deadline-Ms: 5000", "Deadline-Ms: 1500");
    let got = site.vms[0].ask(&text);
    assert!(!got.whole, "{got:?}");
    let line = failed_line(&site, "r-1");
    assert_eq!(line["code"], "timed_out", "{line}");
    assert!(line["upstream_silent_ms"].as_u64().unwrap() >= 1_000, "{line}");
}

#[test]
fn requests_that_the_end_of_the_process_cuts_off_are_logged() {
    const STREAMS: usize = MAX_CUT_LOGGED + 10;
    let _guard = lock_site();
    let upstream = Upstream::start("m-1", falls_silent());
    let mut site = site(&[&upstream], MODELS);
    let mut record = upstream_record(upstream.address, MODELS, "v1", "ready");
    record["capacity"] = json!(4 * STREAMS);
    let before = site.vms[0].lines("E043").len();
    site.store.put("servers/m-1", &record);
    wait_until("the VM has read the record", || {
        site.vms[0].lines("E043").len() > before
    });
    let callers: Vec<TcpStream> = (0..STREAMS)
        .map(|number| {
            let text = stream_request("/write/x", &format!("r-{number}"))
                .replace("Deadline-Ms: 5000", "Deadline-Ms: 30000");
            let mut caller = send(&site, &text);
            caller.read_exact(&mut [0; 12]).unwrap();
            caller
        })
        .collect();
    site.vms[0].signal(Signal::TERM);
    assert!(site.vms[0].has_ended_well());
    drop(callers);
    let mut lines = site.vms[0].lines("E101");
    lines.retain(|line| line["code"] == "cut_by_stop");
    assert_eq!(lines.len(), MAX_CUT_LOGGED, "{:?}", lines.first());
    assert!(lines.iter().all(|line| line["phase"] == "answer"));
    assert!(lines.iter().all(|line| {
        line["upstream_silent_ms"].as_u64().unwrap() >= 4_000
    }));
    assert_eq!(site.vms[0].lines("E005")[0]["cut"], STREAMS);
}

/// Guards against answers that are logged as lost although they are whole.
#[test]
fn whole_answers_are_logged_as_answered() {
    const REQUESTS: usize = 20;
    let _guard = lock_site();
    let plain = Upstream::start("i-1", always_responds(200, "x"));
    let empty = Upstream::start("i-2", always_responds(204, ""));
    let site = site(&[&plain, &empty], PLAIN);
    let model = Upstream::start("m-1", streams(|_| Streamed::default()));
    site.register(&model, MODELS, "v1");
    wait_until("the VM knows the model", || {
        site.vms[0].lines("E043").len() >= 3
    });
    for number in 0..REQUESTS {
        for method in ["GET", "HEAD"] {
            let id = format!("{method}-{number}");
            site.vms[0].ask(&request(method, "/read/x", &id, ""));
        }
        let id = format!("s-{number}");
        let got = site.vms[0].ask(&stream_request("/write/x", &id));
        assert!(got.whole, "{got:?}");
    }
    wait_until("all are logged", || {
        site.vms[0].lines("E100").len() == 3 * REQUESTS
    });
    assert_eq!(unanswered(&site), Vec::<String>::new());
}
