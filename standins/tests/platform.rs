//! A VM before the platform, as a real process, against the stand-ins.

use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::json;
use standins::{
    gateway_site::{
        KEY, MODELS, PLAIN, Site, SiteVm, configuration, configuration_with,
        request, stream_request, unique_prompt_stream_request,
        upstream_record, wait_until,
    },
    http_raw::{RawRequest, answer, chunk},
    platform_store::StoreMode,
    scripted::{
        Act, Script, Streamed, Upstream, answers, declines, stamped, streams,
    },
};

/// Long enough that no test but those about it meets the bound.
const REVOKE_MS: u64 = 8_000;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The VMs of a site have fixed addresses, so one site runs at a time.
fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|failed| failed.into_inner())
}

fn site(revoke_ms: u64) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    Site::new(program, &["vm"], revoke_ms)
}

fn site_with(upstreams: &[(&Upstream, &str)]) -> Site {
    let mut site = site(REVOKE_MS);
    for (upstream, service) in upstreams {
        site.list(upstream, service, "v1");
    }
    site.start_vm();
    // Records may come a moment after the configuration.
    for (upstream, _) in upstreams {
        wait_listed(&site.vms[0], &upstream.id, false);
    }
    site
}

/// Waits until a VM says that it knows of an upstream, or that it leaves.
fn wait_listed(vm: &SiteVm, upstream: &str, is_leaving: bool) {
    wait_until("the VM has heard of the upstream", || {
        let lines = vm.lines("E043");
        lines.iter().any(|line| {
            line["upstream"] == upstream && line["leaving"] == is_leaving
        })
    });
}

fn closes() -> Script {
    Box::new(|_| vec![Act::Close])
}

fn with_id(upstreams: &[&Upstream], id: &str) -> usize {
    let received = upstreams.iter().flat_map(|u| u.received());
    received.filter(|r| r.header("lupinseam-attempt-id") == id).count()
}

#[test]
fn a_request_goes_on_with_what_the_router_states() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let site = site_with(&[(&upstream, PLAIN)]);
    let forged = "Lupinseam-Tenant: other\r\nLupinseam-Hold: h\r\n\
                  Kv-From: 127.0.0.1:1/x\r\nX-Kept: yes\r\n";
    let got = site.vms[0].ask(&request("GET", "/read/a?b=c", "r-1", forged));
    assert_eq!((got.status, got.body.as_str()), (200, "hello"), "{got:?}");
    assert_eq!(got.header("lupinseam-response-seal"), "s");
    let received = upstream.received().remove(0);
    assert_eq!(received.path, "/read/a?b=c");
    assert_eq!(received.header("host"), "site.example");
    assert_eq!(received.header("lupinseam-attempt-id"), "r-1");
    assert_eq!(received.header("lupinseam-tenant"), "village");
    assert_eq!(received.header("lupinseam-expected-instance"), "i-1");
    assert_eq!(received.header("x-kept"), "yes");
    for withheld in ["api-key", "lupinseam-hold", "kv-from"] {
        assert_eq!(received.header(withheld), "", "{withheld} went on");
    }
    let left: u64 = received.header("lupinseam-deadline-ms").parse().unwrap();
    assert!((1..=1000).contains(&left), "{left} ms of the route's 1000");
}

#[test]
fn what_may_not_be_repeated_is_sent_once() {
    let _alone = alone();
    let one = Upstream::start("i-1", closes());
    let two = Upstream::start("i-2", closes());
    let site = site_with(&[(&one, PLAIN), (&two, PLAIN)]);
    let got = site.vms[0].ask(&request("POST", "/once/x", "r-1", ""));
    assert_eq!(got.status, 502, "{got:?}");
    assert_eq!(with_id(&[&one, &two], "r-1"), 1);
    let got = site.vms[0].ask(&request("GET", "/read/x", "r-2", ""));
    assert_eq!(got.status, 502, "{got:?}");
    assert_eq!(with_id(&[&one, &two], "r-2"), 2, "read is tried twice");
}

#[test]
fn a_refusal_is_a_promise_and_says_when_to_come_back() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", declines());
    let site = site_with(&[(&upstream, PLAIN)]);
    let got = site.vms[0].ask(&request("POST", "/once/x", "r-1", ""));
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.header("retry-after").parse::<f64>().unwrap() > 0.0);
    let answered: Script =
        Box::new(|r| vec![Act::Send(answer(500, &stamped(r, &[]), "no"))]);
    upstream.set_script(answered);
    let got = site.vms[0].ask(&request("POST", "/once/x", "r-2", ""));
    assert_eq!((got.status, got.body.as_str()), (500, "no"), "{got:?}");
    assert_eq!(got.header("lupinseam-response-seal"), "s");
}

#[test]
fn an_upstream_that_cannot_be_reached_costs_no_attempt() {
    let _alone = alone();
    let good = Upstream::start("i-1", answers(200, "hello"));
    let site = site_with(&[(&good, PLAIN)]);
    for number in 2..5 {
        let record = json!({
            "service": PLAIN, "address": "127.0.0.1:9", "zone": "hall-a",
            "version": "v1", "capacity": 8, "state": "ready",
            "warmup_left_ms": 0, "sequence": 1,
        });
        site.store.put(&format!("servers/i-{number}"), &record);
        wait_listed(&site.vms[0], &format!("i-{number}"), false);
    }
    for number in 0..20 {
        let id = format!("r-{number}");
        let got = site.vms[0].ask(&request("POST", "/once/x", &id, ""));
        assert_eq!(got.status, 200, "{got:?}");
    }
}

#[test]
fn an_answer_to_another_request_is_not_passed_on() {
    let _alone = alone();
    let foreign: Script = Box::new(|_| {
        let headers = [("Lupinseam-Attempt-Id", "someone-else")];
        vec![Act::Send(answer(200, &headers, "not yours"))]
    });
    let upstream = Upstream::start("i-1", foreign);
    let site = site_with(&[(&upstream, PLAIN)]);
    let got = site.vms[0].ask(&request("POST", "/once/x", "r-1", ""));
    assert_eq!(got.status, 502, "{got:?}");
    assert!(!got.body.contains("not yours"));
}

#[test]
fn bytes_after_an_answer_belong_to_no_request() {
    let _alone = alone();
    let twice: Script = Box::new(|request| {
        let one = answer(200, &stamped(request, &[]), "mine");
        let other = [("Lupinseam-Attempt-Id", "r-0")];
        vec![Act::Send([one, answer(200, &other, "late")].concat())]
    });
    let upstream = Upstream::start("i-1", twice);
    let site = site_with(&[(&upstream, PLAIN)]);
    for number in 1..10 {
        let id = format!("r-{number}");
        let got = site.vms[0].ask(&request("GET", "/read/x", &id, ""));
        assert_eq!((got.status, got.body.as_str()), (200, "mine"), "{got:?}");
    }
}

#[test]
fn an_answer_cut_short_never_looks_whole() {
    let _alone = alone();
    let short: Script = Box::new(|request| {
        let mut bytes = answer(200, &stamped(request, &[]), "0123456789");
        bytes.truncate(bytes.len() - 3);
        vec![Act::Send(bytes), Act::Close]
    });
    let upstream = Upstream::start("i-1", short);
    let site = site_with(&[(&upstream, PLAIN)]);
    let got = site.vms[0].ask(&request("POST", "/once/x", "r-1", ""));
    assert_eq!(got.status, 502, "{got:?}");
}

#[test]
fn an_answer_may_end_with_its_connection() {
    let _alone = alone();
    let unframed: Script = Box::new(|request| {
        let mut text = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in stamped(request, &[]) {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\nall of it");
        vec![Act::Send(text.into_bytes()), Act::Close]
    });
    let upstream = Upstream::start("i-1", unframed);
    let site = site_with(&[(&upstream, PLAIN)]);
    let got = site.vms[0].ask(&request("POST", "/once/x", "r-1", ""));
    assert_eq!((got.status, got.body.as_str()), (200, "all of it"), "{got:?}");
}

fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: e{id}\n\n")).collect()
}

#[test]
fn a_stream_that_breaks_is_resumed_inside_one_answer() {
    let _alone = alone();
    let plan = |request: &standins::http_raw::RawRequest| Streamed {
        last: 8,
        breaks_after: request.header("last-event-id").is_empty().then_some(3),
        ..Streamed::default()
    };
    let one = Upstream::start("i-1", streams(plan));
    let two = Upstream::start("i-2", streams(plan));
    let site = site_with(&[(&one, MODELS), (&two, MODELS)]);
    let got = site.vms[0].ask(&stream_request("/write/x", "r-1"));
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.body, events(1, 8));
    assert!(got.whole);
    assert_eq!(with_id(&[&one, &two], "r-1"), 2);
    let resumed = [&one, &two].iter().flat_map(|u| u.received()).any(|r| {
        r.header("last-event-id") == "3"
            && r.header("lupinseam-model") == "small"
    });
    assert!(resumed, "it goes on after event 3, with the same model");
}

#[test]
fn a_stream_that_may_not_be_resumed_ends_visibly_broken() {
    let _alone = alone();
    let plan = |_: &_| Streamed {
        last: 8,
        breaks_after: Some(3),
        ..Streamed::default()
    };
    let one = Upstream::start("i-1", streams(plan));
    let two = Upstream::start("i-2", streams(plan));
    let site = site_with(&[(&one, MODELS), (&two, MODELS)]);
    let got = site.vms[0].ask(&stream_request("/tell/x", "r-1"));
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.body, events(1, 3), "no part of an event goes out");
    assert!(!got.whole);
    assert_eq!(with_id(&[&one, &two], "r-1"), 1);
}

/// The budget is for attempts that are sent; other streams need it.
#[test]
fn a_stream_that_nobody_can_go_on_with_costs_no_retries() {
    let _alone = alone();
    let breaking = Upstream::start(
        "i-1",
        streams(|request| Streamed {
            last: 6,
            breaks_after: request.path.ends_with("breaks").then_some(3),
            ..Streamed::default()
        }),
    );
    let failing = Upstream::start("i-2", answers(500, "no"));
    let mut site = site(REVOKE_MS);
    site.retry_share = 0.0;
    site.retry_extra = 4;
    site.list(&breaking, MODELS, "v1");
    site.start_vm();
    wait_listed(&site.vms[0], "i-1", false);
    let got = site.vms[0].ask(&stream_request("/write/breaks", "r-1"));
    assert_eq!((got.status, got.whole), (200, false), "{got:?}");
    site.list(&failing, MODELS, "v1");
    wait_listed(&site.vms[0], "i-2", false);
    // The one whose stream broke is asked last.
    let got =
        site.vms[0].ask(&unique_prompt_stream_request("/write/x", "r-2"));
    assert_eq!(with_id(&[&failing], "r-2"), 1);
    assert_eq!(got.body, events(1, 6), "it is tried again: {got:?}");
}

#[test]
fn a_doubtful_answer_is_dropped_for_the_larger_model() {
    let _alone = alone();
    let upstream = Upstream::start(
        "i-1",
        streams(|request| Streamed {
            confidence: match request.header("lupinseam-model") {
                "small" if request.path.ends_with("hard") => 10,
                _ => 95,
            },
            ..Streamed::default()
        }),
    );
    let site = site_with(&[(&upstream, MODELS)]);
    let models = |id: &str| -> Vec<String> {
        let received = upstream.received().into_iter();
        let own = received.filter(|r| r.header("lupinseam-attempt-id") == id);
        own.map(|r| r.header("lupinseam-model").to_owned()).collect()
    };
    let got = site.vms[0].ask(&stream_request("/write/easy", "r-1"));
    assert_eq!(got.body, events(1, 5));
    assert_eq!(models("r-1"), ["small"]);
    let got = site.vms[0].ask(&stream_request("/write/hard", "r-2"));
    assert_eq!(got.body, events(1, 5), "{got:?}");
    assert!(got.whole);
    assert_eq!(models("r-2"), ["small", "large"]);
}

#[test]
fn a_caller_that_leaves_ends_the_work() {
    let _alone = alone();
    let slow = |_: &_| Streamed {
        last: 400,
        pause: Duration::from_millis(20),
        ..Streamed::default()
    };
    let upstream = Upstream::start("i-1", streams(slow));
    let site = site_with(&[(&upstream, MODELS)]);
    let text = stream_request("/write/x", "r-1");
    let mut stream =
        std::net::TcpStream::connect(site.vms[0].callers).unwrap();
    std::io::Write::write_all(&mut stream, text.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(300));
    drop(stream);
    wait_until("the upstream is left", || {
        upstream.abandoned() == ["r-1".to_owned()]
    });
}

#[test]
fn bad_input_gets_a_clear_answer_and_reaches_nobody() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let site = site_with(&[(&upstream, PLAIN)]);
    let vm = &site.vms[0];
    let twice = "Lupinseam-Attempt-Id: r-2\r\n";
    assert_eq!(vm.ask(&request("GET", "/read/x", "r-1", twice)).status, 400);
    let nameless = "GET /read/x HTTP/1.1\r\nHost: site.example\r\n\r\n";
    assert_eq!(vm.ask(nameless).status, 400);
    assert_eq!(vm.ask("GARBAGE\r\n\r\n").status, 400);
    let large = "Content-Length: 70000\r\n";
    assert_eq!(vm.ask(&request("POST", "/once/x", "r-3", large)).status, 413);
    let long = format!("X-Long: {}\r\n", "x".repeat(40_000));
    assert_eq!(vm.ask(&request("GET", "/read/x", "r-4", &long)).status, 431);
    assert_eq!(vm.ask(&request("GET", "/none/x", "r-5", "")).status, 404);
    let unknown =
        request("GET", "/read/x", "r-6", "").replace(KEY, "key-unknown");
    assert_eq!(vm.ask(&unknown).status, 401);
    assert_eq!(upstream.received(), []);
}

#[test]
fn a_request_hidden_behind_two_lengths_is_not_run() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let site = site_with(&[(&upstream, PLAIN)]);
    let hidden = request("GET", "/read/hidden", "r-2", "");
    for lengths in [
        "Transfer-Encoding: chunked\r\nContent-Length: 400\r\n",
        "Content-Length: 400\r\nTransfer-Encoding: chunked\r\n",
    ] {
        let outer = request("POST", "/once/x", "r-1", lengths)
            .replace("Connection: close\r\n", "");
        let got = site.vms[0].ask(&format!("{outer}0\r\n\r\n{hidden}"));
        assert!(matches!(got.status, 0 | 200 | 400), "{got:?}");
    }
    thread::sleep(Duration::from_millis(200));
    assert_eq!(with_id(&[&upstream], "r-2"), 0);
}

#[test]
fn a_key_that_was_taken_away_is_refused_at_once() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let site = site_with(&[(&upstream, PLAIN)]);
    let ask = || site.vms[0].ask(&request("GET", "/read/x", "r-1", ""));
    assert_eq!(ask().status, 200);
    let mut without = configuration(2);
    without["tenants"][0]["api_keys"] = json!(["key-2"]);
    site.store.put("op/config", &without);
    wait_until("the key is refused", || ask().status == 401);
    // An older configuration does not bring it back.
    site.store.put("op/config", &configuration(1));
    // Once it has heard of what was written later, it has heard of that.
    let later = Upstream::start("i-2", answers(200, "hello"));
    site.list(&later, PLAIN, "v1");
    wait_listed(&site.vms[0], "i-2", false);
    assert_eq!(ask().status, 401);
}

#[test]
fn a_vm_that_cannot_know_of_a_lost_key_runs_nothing() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    for mood in [StoreMode::Silent, StoreMode::Resetting, StoreMode::Busy] {
        let mut site = site(2_000);
        site.list(&upstream, PLAIN, "v1");
        site.start_vm();
        wait_listed(&site.vms[0], "i-1", false);
        site.store.set_mode(mood);
        let lost_at = Instant::now();
        let ask = || site.vms[0].ask(&request("GET", "/read/x", "r", ""));
        assert_eq!(ask().status, 200, "what is known is recent enough");
        wait_until("requests are refused", || ask().status == 503);
        assert!(lost_at.elapsed() < Duration::from_millis(2_000));
        assert!(!site.vms[0].is_ready());
        // Neither a key nor a route that is not known may be denied for good.
        let unknown = request("GET", "/none/x", "r", "").replace(KEY, "key-9");
        assert_eq!(site.vms[0].ask(&unknown).status, 503);
        site.store.set_mode(StoreMode::Normal);
        wait_until("requests are taken again", || ask().status == 200);
    }
}

#[test]
fn a_vm_may_go_on_by_the_newest_keys_that_it_knows() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let with_keys =
        |version, keys: &[&str]| configuration_with(version, keys, Vec::new());
    for mood in [StoreMode::Silent, StoreMode::Resetting, StoreMode::Busy] {
        let mut site = site(1_000);
        site.fail_closed = false;
        site.list(&upstream, PLAIN, "v1");
        site.start_vm();
        let ask = |site: &Site, key: &str| {
            let text = request("GET", "/read/x", "r", "").replace(KEY, key);
            site.vms[0].ask(&text).status
        };
        site.store.put("op/config", &with_keys(2, &[KEY, "key-3"]));
        wait_until("a key is gone", || ask(&site, "key-2") == 401);
        site.store.set_mode(mood);
        site.store.put("op/config", &with_keys(3, &["key-3"]));
        // Several times as long as its knowledge counts as recent.
        let until = Instant::now() + Duration::from_secs(4);
        while Instant::now() < until {
            assert_eq!(ask(&site, KEY), 200, "as last known");
            assert_eq!(ask(&site, "key-2"), 401, "never by an older one");
            assert!(site.vms[0].is_ready());
            thread::sleep(Duration::from_millis(100));
        }
        // One that has known nothing yet may neither serve nor deny.
        site.vms[0].kill();
        site.vms[0].start();
        wait_until("it answers", || ask(&site, KEY) != 0);
        assert_eq!(ask(&site, KEY), 503);
        assert_eq!(ask(&site, "key-9"), 503);
        assert!(!site.vms[0].is_ready());
        site.store.set_mode(StoreMode::Normal);
        wait_until("it serves again", || ask(&site, "key-3") == 200);
        assert_eq!(ask(&site, KEY), 401, "taken away meanwhile");
    }
}

/// A proof that carried the configuration would take a small VM's link for
/// as long as reading all of it, again and again.
#[test]
fn a_proof_does_not_carry_the_configuration() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let mut site = site(1_500);
    site.list(&upstream, PLAIN, "v1");
    site.start_vm();
    // Longer than a VM may go on without a proof.
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        let got = site.vms[0].ask(&request("GET", "/read/x", "r", ""));
        assert_eq!(got.status, 200, "{got:?}");
        thread::sleep(Duration::from_millis(50));
    }
    let calls = site.store.calls();
    let read = calls.iter().filter(|path| path.contains("op/config"));
    assert_eq!(read.count(), 0, "{calls:?}");
}

/// Starts VMs of one hall, the first two with the fastest links.
fn hall_of(count: usize, site: &mut Site) {
    for at in 0..count {
        site.link_mbps = if at < 2 { 200 } else { 20 };
        site.start_vm();
    }
    let key = |at: usize| format!("lupinseam/vm/hall-a/vm-{at}");
    wait_until("all are recorded", || {
        (0..count).all(|at| site.store.get(&key(at)).is_some())
    });
}

/// Two calls for each VM are too many where there are hundreds of VMs.
#[test]
fn the_first_vms_record_the_others() {
    let _alone = alone();
    let mut site = site(REVOKE_MS);
    hall_of(4, &mut site);
    let calls = site.store.calls();
    let leases = calls.iter().filter(|path| path.contains("kv-lease"));
    assert!(leases.count() <= 2, "only the seeds write: {calls:?}");
}

/// When all VMs of a large fleet start at once, the store's link cannot tell
/// each of them everything in time.
#[test]
fn a_vm_that_starts_takes_everything_from_its_hall() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let mut site = site(REVOKE_MS);
    site.list(&upstream, PLAIN, "v1");
    hall_of(3, &mut site);
    let before = site.store.calls().len();
    site.start_vm();
    let got = site.vms[3].ask(&request("GET", "/read/x", "r-1", ""));
    assert_eq!((got.status, got.body.as_str()), (200, "hello"), "{got:?}");
    let calls = site.store.calls().split_off(before);
    let all = "kv-range?path_prefix=&";
    assert!(!calls.iter().any(|path| path.contains(all)), "{calls:?}");
}

/// The VMs that are to be asked are gone, and their records still stand.
#[test]
fn a_vm_whose_hall_is_silent_reads_from_the_store() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let mut site = site(REVOKE_MS);
    site.list(&upstream, PLAIN, "v1");
    hall_of(3, &mut site);
    for at in 0..3 {
        site.vms[at].signal(Signal::STOP);
    }
    site.start_vm();
    let got = site.vms[3].ask(&request("GET", "/read/x", "r-1", ""));
    for at in 0..3 {
        site.vms[at].signal(Signal::CONT);
    }
    assert_eq!((got.status, got.body.as_str()), (200, "hello"), "{got:?}");
}

#[test]
fn history_that_is_lost_is_read_again() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let site = site_with(&[(&upstream, PLAIN)]);
    site.store.set_mode(StoreMode::Forgetful);
    let mut more = configuration(2);
    more["routes"][0]["path_prefix"] = json!("/moved/");
    site.store.put("op/config", &more);
    wait_until("the new route is in force", || {
        site.vms[0].ask(&request("GET", "/moved/x", "r", "")).status == 200
    });
    assert_eq!(
        site.vms[0].ask(&request("GET", "/read/x", "r", "")).status,
        404
    );
}

/// A VM that has only just started, and expects others that are to follow the
/// store for it, looks there once a second. Waiting for 600 ms after the entry
/// was written came too early by some milliseconds now and then:
///
/// ```text
/// listed at …187264, E043 "leaving":true at …187848, first request at …187867
/// ```
#[test]
fn an_upstream_that_leaves_gets_nothing_new() {
    let _alone = alone();
    let one = Upstream::start("i-1", answers(200, "hello"));
    let two = Upstream::start("i-2", answers(200, "hello"));
    let site = site_with(&[(&one, PLAIN), (&two, PLAIN)]);
    site.list_as(&one, PLAIN, "v1", "draining");
    wait_listed(&site.vms[0], "i-1", true);
    let before = one.received().len();
    for number in 0..20 {
        let id = format!("r-{number}");
        let got = site.vms[0].ask(&request("GET", "/read/x", &id, ""));
        assert_eq!(got.status, 200);
    }
    assert_eq!(one.received().len(), before);
    assert_eq!(two.received().len(), 20);
}

#[test]
fn a_late_answer_is_waited_for_where_nobody_else_can_be_asked() {
    let _alone = alone();
    // The route's aim is 500 ms, and with another upstream it would be asked
    // after 300.
    let late = Box::new(|request: &RawRequest| {
        let whole = answer(200, &stamped(request, &[]), "late");
        vec![Act::Wait(Duration::from_millis(450)), Act::Send(whole)]
    });
    let upstream = Upstream::start("i-1", late);
    let site = site_with(&[(&upstream, PLAIN)]);
    let got = site.vms[0].ask(&request("GET", "/read/x", "r-1", ""));
    assert_eq!((got.status, got.body.as_str()), (200, "late"), "{got:?}");
    assert_eq!(upstream.received().len(), 1);
}

/// Asks a VM for twenty plain answers; returns how many could not be had.
fn ask_twenty(vm: &SiteVm, prefix: &str) -> usize {
    let asks = (0..20).map(|number| {
        let id = format!("{prefix}-{number}");
        vm.ask(&request("GET", "/read/x", &id, "")).status
    });
    asks.filter(|status| *status != 200).count()
}

#[test]
fn an_evacuated_hall_gets_nothing_until_that_is_taken_back() {
    let _alone = alone();
    let near = Upstream::start("i-1", answers(200, "hello"));
    let far = Upstream::start("i-2", answers(200, "hello"));
    let mut site = site_with(&[(&near, PLAIN)]);
    site.list_in(&far, PLAIN, "hall-b", Duration::ZERO);
    site.evacuate("hall-a");
    wait_until("the VM knows of the evacuation", || {
        !site.vms[0].lines("E047").is_empty()
    });
    let before = near.received().len();
    assert_eq!(ask_twenty(&site.vms[0], "known"), 0);
    // One that starts meanwhile is told with everything else.
    site.start_vm();
    assert_eq!(ask_twenty(&site.vms[1], "started"), 0);
    // A store that is away changes nothing.
    site.store.set_mode(StoreMode::Silent);
    assert_eq!(ask_twenty(&site.vms[0], "silent"), 0);
    site.store.set_mode(StoreMode::Normal);
    assert_eq!(near.received().len(), before);
    // With both halls evacuated, callers are told at once that nothing ran.
    site.evacuate("hall-b");
    wait_until("nothing is left to send to", || {
        let got = site.vms[0].ask(&request("GET", "/read/x", "none", ""));
        got.status == 503 && !got.header("retry-after").is_empty()
    });
    site.end_evacuation("hall-b");
    site.end_evacuation("hall-a");
    wait_until("the hall gets requests again", || {
        ask_twenty(&site.vms[1], "over");
        near.received().len() > before
    });
}

#[test]
fn a_planned_stop_ends_what_was_begun() {
    let _alone = alone();
    let slow = |_: &_| Streamed {
        last: 60,
        pause: Duration::from_millis(50),
        ..Streamed::default()
    };
    let upstream = Upstream::start("i-1", streams(slow));
    let mut site = site_with(&[(&upstream, MODELS)]);
    let callers = site.vms[0].callers;
    let asked = thread::spawn(move || {
        let text = stream_request("/write/x", "r-1");
        standins::gateway_site::exchange(callers, text.as_bytes())
    });
    thread::sleep(Duration::from_millis(500));
    site.vms[0].signal(Signal::TERM);
    wait_until("it is not ready", || !site.vms[0].is_ready());
    let got = asked.join().unwrap();
    assert!(got.whole, "{got:?}");
    assert_eq!(got.body, events(1, 60));
    assert!(site.vms[0].has_ended_well());
    assert_eq!(site.vms[0].lines("E004").len(), 1, "it says that it stopped");
}

/// Orders a version of the models, to be brought in within that time.
fn order_version(site: &Site, version: &str, within: Duration) {
    let order = json!({
        "service": MODELS, "target_version": version,
        "duration_s": within.as_secs(),
    });
    site.store.put(&format!("op/rollout/{MODELS}"), &order);
}

/// Asks for streams until a roll-out has ended, and says how.
fn roll_out(site: &Site) -> String {
    order_version(site, "v2", Duration::from_secs(4));
    let key = format!("status/rollout/{MODELS}");
    let mut number = 0;
    let mut state = String::new();
    wait_until("the roll-out has ended", || {
        number += 1;
        let id = format!("r-{number}");
        site.vms[0].ask(&stream_request("/write/x", &id));
        let status = site.store.get(&key).unwrap_or_default();
        assert!(status["target_version"] == "v2" || status.is_null());
        state = status["state"].as_str().unwrap_or("").to_owned();
        state == "completed" || state == "reverted"
    });
    state
}

/// Its upstreams go on for a while after it was taken back, while the order is
/// removed or the next one is given. Requests went to them again as to any old
/// version; of one VM, seconds of a day:
///
/// ```text
/// 25.936 edge-bris-c-2 RolloutRecorded target v2, progress reverted
/// 26.825 edge-bris-c-2 RolloutOrdered target v3
/// 27.976 edge-bris-c-2 listing-draft at v2: failed: 500
/// 27.990 edge-bris-c-2 listing-draft at v2: failed: 500
/// ```
#[test]
fn a_version_that_was_taken_back_gets_nothing_when_its_order_is_over() {
    let _alone = alone();
    let good = || streams(|_| Streamed::default());
    let old = Upstream::start("i-1", good());
    let bad = Upstream::start("i-2", answers(500, "bad"));
    let next = Upstream::start("i-3", good());
    let site = site_with(&[(&old, MODELS)]);
    site.list(&bad, MODELS, "v2");
    wait_listed(&site.vms[0], "i-2", false);
    assert_eq!(roll_out(&site), "reverted");
    // Another of its upstreams, at which nothing has failed yet.
    let bad = Upstream::start("i-4", good());
    site.list(&bad, MODELS, "v2");
    wait_listed(&site.vms[0], "i-4", false);
    let ask = |name: &str| {
        let before = bad.received().len();
        for number in 0..40 {
            let id = format!("{name}-{number}");
            let text = unique_prompt_stream_request("/write/x", &id);
            assert_eq!(site.vms[0].ask(&text).status, 200);
        }
        assert_eq!(bad.received().len(), before, "{name}");
    };
    ask("reverted");
    site.store.remove(&format!("op/rollout/{MODELS}"));
    // Until the VM has heard of it.
    thread::sleep(Duration::from_secs(1));
    ask("removed");
    site.list(&next, MODELS, "v3");
    wait_listed(&site.vms[0], "i-3", false);
    order_version(&site, "v3", Duration::from_secs(20));
    wait_until("the next one is ordered", || {
        site.vms[0].lines("E083").len() > 1
    });
    ask("next");
    // Ordered once more, it is a new one like any other.
    order_version(&site, "v2", Duration::from_secs(3));
    let before = bad.received().len();
    let mut number = 0;
    wait_until("it is tried again", || {
        number += 1;
        let id = format!("again-{number}");
        site.vms[0].ask(&unique_prompt_stream_request("/write/x", &id));
        bad.received().len() > before
    });
}

#[test]
fn a_good_version_is_rolled_out() {
    let _alone = alone();
    let good = || streams(|_| Streamed::default());
    let old = Upstream::start("i-1", good());
    let new = Upstream::start("i-2", good());
    let site = site_with(&[(&old, MODELS)]);
    site.list(&new, MODELS, "v2");
    assert_eq!(roll_out(&site), "completed");
    let (old_had, new_had) = (old.received().len(), new.received().len());
    for number in 0..10 {
        site.vms[0].ask(&stream_request("/write/x", &format!("s-{number}")));
    }
    assert_eq!(old.received().len(), old_had);
    assert!(new.received().len() > new_had);
}

/// A session lasts until nothing of it has been under way for its time. Its
/// VM forgot it six seconds after its last attempt had *begun*, so that one
/// whose stream took longer was drawn anew and changed its version, by the
/// same VM and even within one request:
///
/// ```text
/// 1.369-8.014 v1 parcelles-19 silent
/// 8.015-8.898 v2 parcelles-19 answered
/// ```
#[test]
fn a_session_keeps_its_version_after_a_long_stream() {
    const SESSIONS: usize = 40;
    let _alone = alone();
    let long = |_: &_| Streamed {
        last: 22,
        pause: Duration::from_millis(300),
        ..Streamed::default()
    };
    let old: Vec<Upstream> = (0..SESSIONS / 8)
        .map(|number| Upstream::start(&format!("i-{number}"), streams(long)))
        .collect();
    let new = Upstream::start("i-new", streams(|_| Streamed::default()));
    let listed: Vec<_> = old.iter().map(|one| (one, MODELS)).collect();
    let site = site_with(&listed);
    order_version(&site, "v2", Duration::from_secs(40));
    wait_until("it has the order", || !site.vms[0].lines("E083").is_empty());
    site.list(&new, MODELS, "v2");
    thread::scope(|scope| {
        for number in 0..SESSIONS {
            let vm = &site.vms[0];
            scope.spawn(move || {
                let ask = |id: &str| {
                    let session = format!("Session: s-{number}\r\n");
                    let text = stream_request("/write/x", id);
                    let text = text
                        .replace("Api-Key", &(session + "Api-Key"))
                        .replace("Deadline-Ms: 5000", "Deadline-Ms: 8000");
                    vm.ask(&text)
                };
                let got = ask(&format!("first-{number}"));
                assert!(got.whole, "{got:?}");
                // Its next request comes while the session lasts.
                thread::sleep(Duration::from_millis(300));
                ask(&format!("next-{number}"));
            });
        }
    });
    let moved = new.received().into_iter();
    let moved = moved.map(|r| r.header("lupinseam-attempt-id").to_owned());
    assert_eq!(moved.collect::<Vec<_>>(), Vec::<String>::new());
}

#[test]
fn a_bad_version_is_taken_back() {
    let _alone = alone();
    let old = Upstream::start("i-1", streams(|_| Streamed::default()));
    let bad: Script =
        Box::new(|r| vec![Act::Send(answer(500, &stamped(r, &[]), "no"))]);
    let new = Upstream::start("i-2", bad);
    let site = site_with(&[(&old, MODELS)]);
    site.list(&new, MODELS, "v2");
    assert_eq!(roll_out(&site), "reverted");
    let all = old.received().len() + new.received().len();
    let share = new.received().len() as f64 / all as f64;
    assert!(share < 0.15, "{share} of the requests went to it");
}

#[test]
fn a_store_that_loses_answers_still_learns_the_outcome() {
    let _alone = alone();
    let old = Upstream::start("i-1", streams(|_| Streamed::default()));
    let new = Upstream::start("i-2", streams(|_| Streamed::default()));
    let site = site_with(&[(&old, MODELS)]);
    site.list(&new, MODELS, "v2");
    site.store.set_mode(StoreMode::LosingAnswers);
    assert_eq!(roll_out(&site), "completed");
}

#[test]
fn a_vm_that_the_store_turns_away_lives_by_what_others_prove() {
    let _alone = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let mut site = site(2_000);
    site.list(&upstream, PLAIN, "v1");
    site.start_vm();
    site.start_vm();
    wait_listed(&site.vms[1], "i-1", false);
    thread::sleep(Duration::from_millis(800));
    site.vms[1].store.reject(true);
    // Longer than a VM on its own could go on.
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        let got = site.vms[1].ask(&request("GET", "/read/x", "r", ""));
        assert_eq!(got.status, 200, "{got:?}");
        thread::sleep(Duration::from_millis(100));
    }
    let mut without = configuration(2);
    without["tenants"][0]["api_keys"] = json!(["key-2"]);
    site.store.put("op/config", &without);
    wait_until("the key is refused there too", || {
        site.vms[1].ask(&request("GET", "/read/x", "r", "")).status == 401
    });
}

#[test]
fn a_failed_request_is_explained_by_its_line() {
    let _alone = alone();
    let one = Upstream::start("i-1", closes());
    let site = site_with(&[(&one, PLAIN)]);
    site.vms[0].ask(&request("POST", "/once/x", "r-lost", ""));
    wait_until("the line is there", || !site.vms[0].lines("E101").is_empty());
    let line = site.vms[0].lines("E101").remove(0);
    assert_eq!(line["id"], "r-lost");
    assert_eq!(line["code"], "upstream_failed");
    assert_eq!(line["route"], "once");
    assert_eq!(line["organisation"], "village");
    assert_eq!(line["table"], 1);
    assert_eq!(line["attempts"][0]["upstream"], "i-1");
}

/// Longer than the silence after which another upstream is asked.
const LONG_SILENCE: Duration = Duration::from_millis(3200);

/// A script that streams two events with a long silence between them.
fn streams_with_silence() -> Script {
    Box::new(move |request: &RawRequest| {
        let more = [
            ("content-type", "text/event-stream"),
            ("transfer-encoding", "chunked"),
        ];
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in stamped(request, &more) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        vec![
            Act::Send(head.into_bytes()),
            Act::Send(chunk("id: 1\ndata: e1\n\n")),
            Act::Wait(LONG_SILENCE),
            Act::Send(chunk("id: 2\ndata: e2\n\n")),
            Act::Send(b"0\r\n\r\n".to_vec()),
        ]
    })
}

/// Neither a stream that may not be resumed nor one for which no upstream is
/// left.
#[test]
fn a_silent_stream_that_nobody_can_go_on_with_is_waited_for() {
    let _guard = alone();
    for path in ["/tell/x", "/write/x"] {
        is_waited_for(path);
    }
}

fn is_waited_for(path: &str) {
    let upstream = Upstream::start("i-1", streams_with_silence());
    let site = site_with(&[(&upstream, MODELS)]);
    let begun = Instant::now();
    let got = site.vms[0].ask(&stream_request(path, "r-1"));
    assert!(got.whole, "{path}: {got:?}");
    assert_eq!(got.body.matches("id: ").count(), 2);
    assert!(begun.elapsed() >= LONG_SILENCE);
    assert_eq!(upstream.received().len(), 1);
}

/// Sends the events of a short stream after a time.
fn streams_after(wait: Duration) -> Script {
    let stream = streams(|_| Streamed::default());
    Box::new(move |request: &RawRequest| {
        let mut acts = vec![Act::Wait(wait)];
        acts.extend(stream(request));
        acts
    })
}

#[test]
fn the_others_hear_at_once_of_a_long_prompt() {
    let _guard = alone();
    let upstream =
        Upstream::start("i-1", streams_after(Duration::from_secs(2)));
    let mut site = site(REVOKE_MS);
    site.heartbeat_ms = 1_500;
    site.list(&upstream, MODELS, "v1");
    site.start_vm();
    site.start_vm();
    // Until each has heard the other.
    thread::sleep(Duration::from_millis(3_500));
    let long = stream_request("/tell/x", "r-1")
        .replace("Token-Count: 100,50", "Token-Count: 100000,50");
    let long = long.replace("c3:20", "c3:99920");
    thread::scope(|scope| {
        scope.spawn(|| site.vms[0].ask(&long));
        // Long enough for an early beat, too short for a regular one to be
        // likely, and short enough that the prompt is still being read.
        thread::sleep(Duration::from_millis(300));
        site.vms[1].ask(&stream_request("/tell/x", "r-2"));
    });
    let line = || {
        let lines = site.vms[1].lines("E100");
        lines.into_iter().find(|line| line["id"] == "r-2")
    };
    wait_until("its line is written", || line().is_some());
    let attempt = &line().expect("its line")["attempts"][0];
    let reading_ms = attempt["reading_there_ms"].as_u64();
    assert!(reading_ms.is_some_and(|ms| ms > 1_000), "{attempt}");
}

#[test]
fn a_vm_that_starts_lets_callers_wait_for_its_first_knowledge() {
    let _guard = alone();
    let upstream = Upstream::start("i-1", answers(200, "hello"));
    let mut site = site_with(&[(&upstream, PLAIN)]);
    let first_answer = |site: &mut Site| {
        let begun = Instant::now();
        site.vms[0].kill();
        site.vms[0].start();
        let mut status = 0;
        wait_until("it answers", || {
            let text = request("GET", "/read/x", "r", "");
            status = site.vms[0].ask(&text).status;
            status != 0
        });
        (status, begun.elapsed())
    };
    assert_eq!(first_answer(&mut site).0, 200);
    // Everything that a VM asks for at its start takes half a second.
    site.store.set_mode(StoreMode::Slow);
    let (status, passed) = first_answer(&mut site);
    assert_eq!(status, 200, "refused at {passed:?}");
    assert!(passed >= Duration::from_millis(400), "after {passed:?}");
    site.store.set_mode(StoreMode::Busy);
    let (status, passed) = first_answer(&mut site);
    assert_eq!(status, 503);
    assert!(passed >= Duration::from_millis(300), "refused at {passed:?}");
}

/// Nothing more comes from a life that is over, and nobody may go on with this
/// stream: its caller is told so, and not held until its deadline.
#[test]
fn a_stream_whose_upstream_has_started_again_ends() {
    let _guard = alone();
    let silent: Script = Box::new(|request| {
        let mut acts = streams(|_| Streamed::default())(request);
        acts.truncate(3);
        acts.push(Act::Wait(Duration::from_secs(20)));
        acts
    });
    let upstream = Upstream::start("i-1", silent);
    let mut site = site(REVOKE_MS);
    let start = |born: u64| {
        let mut record =
            upstream_record(upstream.address, MODELS, "v1", "ready");
        record["born"] = json!(born);
        record
    };
    site.store.put("servers/i-1", &start(1));
    site.start_vm();
    wait_listed(&site.vms[0], "i-1", false);
    let (vm, store) = (&site.vms[0], &site.store);
    thread::scope(|scope| {
        let asked = scope.spawn(|| {
            let got = vm.ask(&stream_request("/tell/x", "r-1"));
            (got, Instant::now())
        });
        wait_until("it streams", || !upstream.received().is_empty());
        thread::sleep(Duration::from_millis(300));
        store.put("servers/i-1", &start(2));
        let again_at = Instant::now();
        let (got, ended_at) = asked.join().unwrap();
        assert_eq!((got.status, got.whole), (200, false), "{got:?}");
        let held = ended_at - again_at;
        assert!(held < Duration::from_secs(2), "held for {held:?}");
    });
}
