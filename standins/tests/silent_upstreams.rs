//! Checks that callers get whole answers although upstreams fall silent for a
//! while, and although the VM that relays them is stopped meanwhile.

use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rustix::process::Signal;
use standins::{
    gateway_site::{
        HttpReply, MODELS, Site, exchange, stream_request, wait_until,
    },
    http_raw::{RawRequest, answer},
    scripted::{
        Script, Step, Streamed, Upstream, always_declines, response_headers,
        streams,
    },
};

const REVOKE_MS: u64 = 8_000;

/// Silence of the upstreams; callers accept 0.8 s between two events.
const SILENCE: Duration = Duration::from_millis(1200);

/// Event after which the upstreams fall silent.
const SILENT_AFTER: u64 = 2;

const LAST_EVENT: u64 = 6;

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Creates a site without VMs and upstreams.
fn site() -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    Site::new(program, &["vm"], REVOKE_MS)
}

/// Starts the VM of a site and waits until it knows these upstreams.
fn start_vm(site: &mut Site, upstreams: &[&Upstream]) {
    for upstream in upstreams {
        site.register(upstream, MODELS, "v1");
    }
    site.start_vm();
    for upstream in upstreams {
        wait_until("the VM knows the upstream", || {
            let lines = site.vms[0].lines("E043");
            lines.iter().any(|line| line["upstream"] == upstream.id)
        });
    }
}

/// Sends a request in a thread of its own.
fn ask(site: &Site, text: String) -> JoinHandle<HttpReply> {
    let callers = site.vms[0].callers;
    thread::spawn(move || exchange(callers, text.as_bytes()))
}

/// Returns the body of a stream with all events.
fn all_events() -> String {
    (1..=LAST_EVENT).map(|id| format!("id: {id}\ndata: e{id}\n\n")).collect()
}

/// Streams events and falls silent once.
fn falls_silent() -> Script {
    streams(|_| Streamed {
        last: LAST_EVENT,
        silence: Some((SILENT_AFTER + 1, SILENCE)),
        ..Streamed::default()
    })
}

/// Streams events and falls silent until a time, like all others with it.
fn silent_until(until: Instant) -> Script {
    streams(move |request| {
        let after = request.header("last-event-id");
        let after = after.parse().unwrap_or(SILENT_AFTER);
        let left = until.saturating_duration_since(Instant::now());
        Streamed {
            last: LAST_EVENT,
            silence: Some((after + 1, left)),
            ..Streamed::default()
        }
    })
}

/// Guards against a stream that is given up at a silent upstream although the
/// only other one does not take it.
#[test]
fn a_silent_stream_goes_on_where_no_other_upstream_takes_it() {
    let _guard = lock_site();
    let silent = Upstream::start("i-1", falls_silent());
    let full = Upstream::start("i-2", always_declines());
    for is_stopped in [false, true] {
        let mut site = site();
        start_vm(&mut site, &[&silent]);
        let asked = ask(&site, stream_request("/write/x", "r-1"));
        wait_until("the stream has begun", || !silent.received().is_empty());
        site.register(&full, MODELS, "v1");
        if is_stopped {
            site.vms[0].signal(Signal::TERM);
        }
        let got = asked.join().unwrap();
        assert_eq!((got.status, got.whole), (200, true), "{got:?}");
        assert_eq!(got.body, all_events());
        let asked_full = full.received().iter().any(|request| {
            request.header("last-event-id") == SILENT_AFTER.to_string()
        });
        assert!(asked_full, "no other upstream was asked");
    }
}

/// Guards against streams that are cut since all upstreams, which are full,
/// are silent for a second.
#[test]
fn streams_outlast_a_silence_of_all_upstreams() {
    const STREAMS: usize = 60;
    let _guard = lock_site();
    let began_at = Instant::now() + Duration::from_secs(4);
    let upstreams = ["i-1", "i-2", "i-3"]
        .map(|id| Upstream::start(id, silent_until(began_at + SILENCE * 2)));
    let mut site = site();
    start_vm(&mut site, &upstreams.each_ref());
    thread::sleep(began_at.saturating_duration_since(Instant::now()));
    let asked: Vec<_> = (0..STREAMS)
        .map(|number| {
            ask(&site, stream_request("/write/x", &format!("r-{number}")))
        })
        .collect();
    thread::sleep(SILENCE);
    site.vms[0].signal(Signal::TERM);
    let mut answered = 0;
    for asked in asked {
        let got = asked.join().unwrap();
        // What finds no room is rejected before it runs.
        if got.status != 503 {
            assert_eq!((got.status, got.whole), (200, true), "{got:?}");
            assert_eq!(got.body, all_events());
            answered += 1;
        }
    }
    assert!(answered >= STREAMS / 3, "{answered} were answered");
}

/// Guards against two upstreams that both go on with a stream: the silent one
/// is stopped as soon as another one has accepted the rest.
#[test]
fn a_silent_upstream_is_stopped_once_another_one_goes_on() {
    let _guard = lock_site();
    let silent = Upstream::start("i-1", falls_silent());
    let other = Upstream::start(
        "i-2",
        streams(|_| Streamed {
            last: LAST_EVENT,
            pause: Duration::from_millis(100),
            ..Streamed::default()
        }),
    );
    let mut site = site();
    start_vm(&mut site, &[&silent]);
    let asked = ask(&site, stream_request("/write/x", "r-1"));
    wait_until("the stream has begun", || !silent.received().is_empty());
    site.register(&other, MODELS, "v1");
    let got = asked.join().unwrap();
    assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    assert_eq!(got.body, all_events());
    assert_eq!(other.received()[0].header("last-event-id"), "2");
    wait_until("the silent upstream is stopped", || {
        silent.abandoned() == ["r-1".to_owned()]
    });
}

/// Guards against a stream that is taken from an upstream that has gone on
/// while another one was asked.
#[test]
fn a_stream_stays_with_an_upstream_that_goes_on_while_another_is_asked() {
    const EVENTS: u64 = 20;
    let _guard = lock_site();
    let silent = Upstream::start(
        "i-1",
        streams(|_| Streamed {
            last: EVENTS,
            pause: Duration::from_millis(100),
            silence: Some((SILENT_AFTER + 1, SILENCE)),
            ..Streamed::default()
        }),
    );
    let rest = streams(|_| Streamed { last: EVENTS, ..Streamed::default() });
    let late = Upstream::start(
        "i-2",
        Box::new(move |request| {
            let mut steps = vec![Step::Wait(SILENCE)];
            steps.extend(rest(request));
            steps
        }),
    );
    let mut site = site();
    start_vm(&mut site, &[&silent]);
    let asked = ask(&site, stream_request("/write/x", "r-1"));
    wait_until("the stream has begun", || !silent.received().is_empty());
    site.register(&late, MODELS, "v1");
    let got = asked.join().unwrap();
    assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    assert_eq!(got.body.matches("data: ").count() as u64, EVENTS);
    wait_until("the other upstream is stopped", || {
        late.abandoned() == ["r-1".to_owned()]
    });
    assert_eq!(silent.abandoned(), Vec::<String>::new());
}

/// Guards against a stream that is cut since, right when its upstream has
/// failed, all others ask for a backoff.
#[test]
fn a_broken_stream_waits_until_another_upstream_may_be_asked() {
    let _guard = lock_site();
    let broken = Upstream::start(
        "i-1",
        streams(|_| Streamed {
            last: LAST_EVENT,
            breaks_after: Some(SILENT_AFTER),
            pause: Duration::from_millis(300),
            ..Streamed::default()
        }),
    );
    let resting = Upstream::start(
        "i-2",
        Box::new(|request| {
            let more = [("Lupinseam-Not-Executed", "1"), ("Retry-After", "4")];
            let headers = response_headers(request, &more);
            vec![Step::Send(answer(503, &headers, ""))]
        }),
    );
    let mut site = site();
    start_vm(&mut site, &[&resting]);
    // The VM learns of the backoff.
    ask(&site, stream_request("/write/x", "r-0")).join().unwrap();
    resting.set_script(streams(|_| Streamed {
        last: LAST_EVENT,
        ..Streamed::default()
    }));
    site.register(&broken, MODELS, "v1");
    wait_until("the VM knows the upstream", || {
        let lines = site.vms[0].lines("E043");
        lines.iter().any(|line| line["upstream"] == broken.id)
    });
    let got = ask(&site, stream_request("/write/x", "r-1")).join().unwrap();
    assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    assert_eq!(got.body, all_events());
}

/// Guards against requests that fail since others have spent the retry budget
/// by the time at which their upstream is given up as silent.
#[test]
fn requests_outlast_a_silence_that_spends_the_retry_budget() {
    const REQUESTS: usize = 12;
    let _guard = lock_site();
    let upstreams = ["i-1", "i-2", "i-3"].map(|id| {
        let whole = streams(|_| Streamed::default());
        let silent = Box::new(move |request: &RawRequest| {
            let mut steps = vec![Step::Wait(SILENCE * 2)];
            steps.extend(whole(request));
            steps
        });
        Upstream::start(id, silent)
    });
    let mut site = site();
    site.retry_share = 0.0;
    site.retry_extra = 15;
    start_vm(&mut site, &upstreams.each_ref());
    let asked: Vec<_> = (0..REQUESTS)
        .map(|number| {
            ask(&site, stream_request("/write/x", &format!("r-{number}")))
        })
        .collect();
    for asked in asked {
        let got = asked.join().unwrap();
        assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    }
    let arrived: usize = upstreams.iter().map(|u| u.received().len()).sum();
    assert!(arrived > REQUESTS, "no upstream was given up");
}
