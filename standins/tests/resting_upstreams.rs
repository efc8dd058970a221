//! Checks that a VM honours the backoff that an upstream asks for with
//! `Retry-After` when it declines a request.
//!
//! Guards against load balancing that ignores declined requests: an upstream
//! that declines within two milliseconds always looks idle, so it is the first
//! choice for the next request. One upstream got six more requests from the
//! same VM within the three seconds of backoff that it had asked for. The log
//! of a VM that records these signals but ignores them, while another upstream
//! is healthy:
//!
//! ```text
//! 0.000 vm-0 i-1 declined: 503, rest_wanted_ms 3000, requests_there 0
//! 0.504 vm-0 i-1 declined: 503, rest_wanted_ms 3000, requests_there 0
//! 0.527 vm-0 i-1 declined: 503, rest_wanted_ms 3000, requests_there 0
//! 0.549 vm-0 i-1 declined: 503, rest_wanted_ms 3000, requests_there 0
//! ```

use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use standins::{
    gateway_site::{HttpReply, PLAIN, Site, request, wait_until},
    http_raw::answer,
    scripted::{Script, Step, Upstream, always_responds, response_headers},
};

/// Time within which a revoked key must be rejected everywhere; long enough
/// that no test reaches it.
const REVOKE_MS: u64 = 30_000;

/// Backoff that upstreams ask for.
const BACKOFF: Duration = Duration::from_secs(3);

/// First part of a backoff, in which requests in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Number of requests that may arrive in the remaining backoff, as specified
/// by the operators.
const MAX_IN_BACKOFF: usize = 2;

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Starts a site with one VM that knows these upstreams.
fn site_with(upstreams: &[&Upstream]) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    Site::with_one_vm(program, REVOKE_MS, upstreams, PLAIN)
}

/// Declines every request and asks for a backoff.
fn declines_with_backoff() -> Script {
    let seconds = BACKOFF.as_secs().to_string();
    Box::new(move |request| {
        let more =
            [("Lupinseam-Not-Executed", "1"), ("Retry-After", &*seconds)];
        vec![Step::Send(answer(503, &response_headers(request, &more), ""))]
    })
}

/// Sends a plain request.
fn ask(site: &Site, id: &str) -> HttpReply {
    site.vms[0].ask(&request("GET", "/read/x", id, ""))
}

/// Sends requests until an upstream has declined one, and returns the time.
fn ask_until_declined(site: &Site, backing_off: &Upstream) -> Instant {
    let before = backing_off.received().len();
    let mut number = 0;
    wait_until("it has declined a request", || {
        ask(site, &format!("before-{number}"));
        number += 1;
        backing_off.received().len() > before
    });
    Instant::now()
}

#[test]
fn an_upstream_gets_no_requests_during_the_backoff_it_asked_for() {
    let _guard = lock_site();
    let backing_off = Upstream::start("i-1", declines_with_backoff());
    let healthy = Upstream::start("i-2", always_responds(200, "x"));
    let site = site_with(&[&backing_off, &healthy]);
    let declined_at = ask_until_declined(&site, &backing_off);
    thread::sleep(IN_FLIGHT_TIME);
    let before = backing_off.received().len();
    while declined_at.elapsed() < BACKOFF - IN_FLIGHT_TIME / 2 {
        let id = format!("r-{}", declined_at.elapsed().as_micros());
        let got = ask(&site, &id);
        assert_eq!(got.status, 200, "the healthy upstream serves: {got:?}");
        thread::sleep(Duration::from_millis(20));
    }
    let in_backoff = backing_off.received().len() - before;
    assert!(
        in_backoff <= MAX_IN_BACKOFF,
        "{in_backoff} requests came during its backoff"
    );
    // Afterwards it serves its share again.
    backing_off.set_script(always_responds(200, "x"));
    let before = backing_off.received().len();
    wait_until("it gets requests again", || {
        ask(&site, &format!("after-{}", declined_at.elapsed().as_micros()));
        backing_off.received().len() > before + 3
    });
}

/// Guards against callers that wait while all upstreams are in backoff:
/// nothing can be served before the first backoff ends.
#[test]
fn callers_get_an_immediate_retry_after_while_all_upstreams_back_off() {
    let _guard = lock_site();
    let one = Upstream::start("i-1", declines_with_backoff());
    let two = Upstream::start("i-2", declines_with_backoff());
    let site = site_with(&[&one, &two]);
    // One request is attempted at both upstreams.
    let asked_at = Instant::now();
    ask(&site, "first");
    assert_eq!((one.received().len(), two.received().len()), (1, 1));
    let declined_at = Instant::now();
    while declined_at.elapsed() < BACKOFF / 2 {
        let started_at = Instant::now();
        let id = format!("r-{}", declined_at.elapsed().as_micros());
        let got = ask(&site, &id);
        assert_eq!(got.status, 503, "{got:?}");
        assert!(
            started_at.elapsed() < IN_FLIGHT_TIME,
            "rejected late: {got:?}"
        );
        let wait: f64 = got.header("retry-after").parse().unwrap();
        let retry_at = started_at + Duration::from_secs_f64(wait);
        assert!(
            retry_at > asked_at + BACKOFF
                && retry_at < declined_at + BACKOFF * 2,
            "Retry-After: {wait}"
        );
        thread::sleep(Duration::from_millis(20));
    }
    let received = (one.received().len(), two.received().len());
    assert_eq!(received, (1, 1), "requests came during the backoff");
    one.set_script(always_responds(200, "x"));
    let got = loop {
        thread::sleep(Duration::from_millis(100));
        assert!(
            declined_at.elapsed() < BACKOFF * 3,
            "no request is served after the backoff"
        );
        let id = format!("l-{}", declined_at.elapsed().as_micros());
        let got = ask(&site, &id);
        if got.status == 200 {
            break got;
        }
    };
    assert_eq!(got.body, "x");
}
