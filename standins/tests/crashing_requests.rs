//! Checks that a request which crashes upstreams is quarantined by all VMs.
//!
//! A client that retries such a request, through any VM and under a new id
//! each time, crashes one upstream per attempt, along with most requests that
//! run there. If VMs count failed attempts per upstream only, each VM and each
//! retry starts from zero with the same content: one such request crashed 58
//! upstreams. The VMs' logs then show one content crash several upstreams
//! through different VMs within two seconds:
//!
//! ```text
//! 39.299 edge-medina-3   r-faq2bit pura680 1841 tokens, i-90aa028f78 broken
//! 39.623 edge-medina-2   r-faq2bit pura680 1841 tokens, i-67c3234a8b broken
//! 40.198 edge-plateau-1  r-faq2bit pura680 1841 tokens, i-ecc2ace108 broken
//! 40.345 edge-rufisque-1 r-faq2bit pura680 1841 tokens, i-1dfa94ad2e broken
//! ```

use std::{
    path::PathBuf,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standins::{
    gateway_site::{HttpReply, PLAIN, Site, request, wait_until},
    http_raw::{RawRequest, answer},
    scripted::{Script, Step, Upstream, response_headers},
};

/// Time within which a revoked key must be rejected everywhere; long enough
/// that no test reaches it.
const REVOKE_MS: u64 = 8_000;

/// Number of VMs of a site.
const VMS: usize = 3;

/// Number of upstreams that run at any time.
const UPSTREAMS: usize = 4;

/// Path segment of requests that crash every upstream that runs them.
const CRASHING: &str = "deadly";

/// Path segment of requests whose connection every upstream closes.
const CLOSING: &str = "cut";

/// Path segment of requests that every second run answers with an error, and
/// that crash the upstream otherwise.
const FLAKY: &str = "flaky";

/// Path segment of requests that crash every upstream in the middle of an
/// answer without a length.
const TORN: &str = "torn";

/// Id of the prompt segment that crashes every upstream that runs it.
const CRASHING_SEGMENT: u64 = 0xdead;

/// Ids of prompt segments that crashing and sound requests share.
const SHARED_SEGMENTS: [u64; 2] = [0xa1, 0xb2];

/// Time that an upstream spends on every request.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Time within which all VMs must have learned of the crashes, as specified by
/// the operators.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Number of times that a request may still reach upstreams from
/// `PROPAGATION_TIME` after its crash number `CRASHES` on.
const MAX_SENDS: usize = 3;

/// Number of crashes from which on `PROPAGATION_TIME` is counted.
const CRASHES: usize = 3;

/// The same number for requests that share only a prompt segment.
const SEGMENT_CRASHES: usize = 5;

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Crashes, closes the connection or sends a response, depending on the path
/// and the prompt.
fn script() -> Script {
    Box::new(|request| {
        let well = || {
            Step::Send(answer(200, &response_headers(request, &[]), "well"))
        };
        let step = match request.path.rsplit('/').next() {
            Some(CRASHING) => Step::Crash,
            Some(CLOSING) => Step::Close,
            Some(FLAKY) if is_second_flaky_run() => {
                let headers = response_headers(request, &[]);
                Step::Send(answer(500, &headers, "failed"))
            }
            Some(FLAKY) => Step::Crash,
            Some(TORN) => {
                let head = unframed_head(request);
                return vec![Step::Send(head), Step::Crash];
            }
            _ if has_crashing_segment(request) => Step::Crash,
            _ => well(),
        };
        vec![Step::Wait(WORK_TIME), step]
    })
}

/// Returns true for every second run of a flaky request at any upstream.
fn is_second_flaky_run() -> bool {
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    !RUNS.fetch_add(1, Ordering::SeqCst).is_multiple_of(2)
}

/// Returns the head of an answer that ends with its connection, and the first
/// bytes of its body.
fn unframed_head(request: &RawRequest) -> Vec<u8> {
    let mut head = String::from("HTTP/1.1 200 OK\r\n");
    for (name, value) in response_headers(request, &[]) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\nha");
    head.into_bytes()
}

fn has_crashing_segment(request: &RawRequest) -> bool {
    let segment = format!("{CRASHING_SEGMENT:x}:");
    request.header("lupinseam-prefix-hash").contains(&segment)
}

/// A site whose crashed upstreams are replaced by ones with new ids.
struct CrashSite {
    site: Site,
    upstreams: Vec<Upstream>,
    asked: usize,
}

impl CrashSite {
    fn start() -> CrashSite {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
        let site = Site::new(program, &["vm"], REVOKE_MS);
        let mut crash_site =
            CrashSite { site, upstreams: Vec::new(), asked: 0 };
        crash_site.replace_crashed();
        for _ in 0..VMS {
            crash_site.site.start_vm();
        }
        crash_site.wait_until_served();
        crash_site
    }

    /// Waits until every VM has a request served by an upstream.
    fn wait_until_served(&mut self) {
        wait_until("every VM serves", || {
            (0..VMS).all(|_| self.ask("well").status == 200)
        });
    }

    /// Starts a new upstream for each crashed one, and removes the records of
    /// the crashed ones.
    fn replace_crashed(&mut self) {
        for crashed in self.upstreams.iter().filter(|u| u.has_crashed()) {
            self.site.store.remove(&format!("servers/{}", crashed.id));
        }
        let is_running = |u: &&Upstream| !u.has_crashed();
        while self.upstreams.iter().filter(is_running).count() < UPSTREAMS {
            let id = format!("i-{}", self.upstreams.len() + 1);
            let upstream = Upstream::start(&id, script());
            self.site.register(&upstream, PLAIN, "v1");
            self.upstreams.push(upstream);
        }
    }

    /// Sends a request to the next VM in turn, under a new id.
    fn ask(&mut self, what: &str) -> HttpReply {
        self.asked += 1;
        let id = format!("r-{}", self.asked);
        let path = format!("/read/{what}");
        let vm = &self.site.vms[self.asked % VMS];
        vm.ask(&request("GET", &path, &id, ""))
    }

    /// Sends a request like no other, whose prompt holds these segments after
    /// the shared ones and before its own.
    fn ask_with_segments(&mut self, segments: &[u64]) -> HttpReply {
        self.asked += 1;
        let own = 0x1_0000 + self.asked as u64;
        let ids = SHARED_SEGMENTS.iter().chain(segments).chain([&own]);
        let prompt: Vec<String> = ids.map(|id| format!("{id:x}:40")).collect();
        let prompt = prompt.join(",");
        let more = format!("Lupinseam-Prefix-Hash: {prompt}\r\n");
        let id = format!("r-{}", self.asked);
        let path = format!("/read/{}", self.asked);
        let vm = &self.site.vms[self.asked % VMS];
        vm.ask(&request("GET", &path, &id, &more))
    }

    /// Returns how many requests with the crashing segment have reached
    /// upstreams.
    fn sends_of_crashing_segment(&self) -> usize {
        let received = self.upstreams.iter().flat_map(|u| u.received());
        received.filter(has_crashing_segment).count()
    }

    /// Sends the crashing request until every VM rejects it.
    fn quarantine(&mut self) {
        let until = Instant::now() + PROPAGATION_TIME;
        let mut rejections = 0;
        while rejections < VMS {
            assert!(
                Instant::now() < until,
                "not all VMs have quarantined the request in time"
            );
            let got = self.ask(CRASHING);
            let is_rejected = got.body.contains("crashes_upstreams");
            rejections = if is_rejected { rejections + 1 } else { 0 };
            self.replace_crashed();
            thread::sleep(Duration::from_millis(50));
        }
        // The VMs must first learn of the replacements.
        self.wait_until_served();
    }

    /// Returns how many upstreams have crashed.
    fn crashed_upstreams(&self) -> usize {
        self.upstreams.iter().filter(|u| u.has_crashed()).count()
    }

    /// Returns how often a request has reached upstreams.
    fn sends(&self, what: &str) -> usize {
        let path = format!("/read/{what}");
        let received = self.upstreams.iter().flat_map(|u| u.received());
        received.filter(|request| request.path == path).count()
    }
}

/// Checks that a request is no longer sent once it has crashed three
/// upstreams.
fn assert_quarantined(what: &str) {
    let _guard = lock_site();
    let mut crash_site = CrashSite::start();
    let mut third_at = None;
    let mut sends_before = 0;
    let until = Instant::now() + PROPAGATION_TIME * 3;
    while Instant::now() < until {
        crash_site.ask(what);
        crash_site.replace_crashed();
        thread::sleep(Duration::from_millis(100));
        if crash_site.crashed_upstreams() >= CRASHES {
            third_at.get_or_insert(Instant::now());
        }
        if third_at.is_none_or(|at| at.elapsed() < PROPAGATION_TIME) {
            sends_before = crash_site.sends(what);
        }
    }
    assert!(third_at.is_some(), "fewer than {CRASHES} upstreams have crashed");
    let later = crash_site.sends(what) - sends_before;
    assert!(
        later <= MAX_SENDS,
        "sent {later} times more; {} upstreams crashed in total",
        crash_site.crashed_upstreams()
    );
}

#[test]
fn a_request_that_crashed_three_upstreams_is_no_longer_sent() {
    assert_quarantined(CRASHING);
}

/// Guards against taking an error for proof that an upstream can run a
/// request.
#[test]
fn an_error_answer_does_not_clear_a_crashing_request() {
    assert_quarantined(FLAKY);
}

/// Guards against taking the close of a crashed upstream's connection for the
/// end of an answer without a length.
#[test]
fn an_answer_that_a_crash_cut_off_does_not_clear_a_crashing_request() {
    assert_quarantined(TORN);
}

/// Guards against a quarantine that knows whole requests only: requests that
/// share one crashing segment, and nothing else, crash upstream after
/// upstream.
#[test]
fn requests_that_share_a_crashing_segment_are_no_longer_sent() {
    let _guard = lock_site();
    let mut crash_site = CrashSite::start();
    let mut crashes: Vec<Instant> = Vec::new();
    // When each round ended, and the crashing sends until then.
    let mut sends: Vec<(Instant, usize)> = Vec::new();
    // When each sound request was sent, and whether it was served.
    let mut sound: Vec<(Instant, bool)> = Vec::new();
    let until = Instant::now() + PROPAGATION_TIME * 4;
    while Instant::now() < until {
        crash_site.ask_with_segments(&[CRASHING_SEGMENT]);
        crashes.resize(crash_site.crashed_upstreams(), Instant::now());
        crash_site.replace_crashed();
        let sent_at = Instant::now();
        let got = crash_site.ask_with_segments(&[]);
        sound.push((sent_at, got.status == 200));
        sends.push((Instant::now(), crash_site.sends_of_crashing_segment()));
        thread::sleep(Duration::from_millis(60));
    }
    let since = crashes.get(SEGMENT_CRASHES - 1).or(crashes.last());
    let since = *since.expect("an upstream crashed");
    let bound = since + PROPAGATION_TIME;
    let sends_until = |at: Instant| {
        let until = sends.iter().take_while(|(ended_at, _)| *ended_at <= at);
        until.last().map_or(0, |(_, count)| *count)
    };
    let later = sends_until(until + PROPAGATION_TIME) - sends_until(bound);
    assert!(
        later <= MAX_SENDS,
        "sent {later} times more; {} upstreams crashed in total",
        crashes.len()
    );
    let late = sound.iter().filter(|(at, _)| *at >= bound + PROPAGATION_TIME);
    let late: Vec<bool> = late.map(|(_, is_served)| *is_served).collect();
    let served = late.iter().filter(|is_served| **is_served).count();
    assert!(late.len() >= 20, "{} sound requests", late.len());
    assert!(
        served * 2 >= late.len(),
        "{served} of {} sound requests were served",
        late.len()
    );
}

#[test]
fn a_quarantined_request_is_rejected_immediately() {
    let _guard = lock_site();
    let mut crash_site = CrashSite::start();
    crash_site.quarantine();
    let sends = crash_site.sends(CRASHING);
    for _ in 0..VMS {
        let begun = Instant::now();
        let got = crash_site.ask(CRASHING);
        assert!(begun.elapsed() < Duration::from_millis(500), "{got:?}");
        assert_eq!(got.status, 502, "{got:?}");
        assert!(got.body.contains("crashes_upstreams"), "{got:?}");
        assert_eq!(crash_site.ask("well").status, 200, "others are served");
    }
    assert_eq!(crash_site.sends(CRASHING), sends);
}

/// Guards against a quarantine that VMs keep in memory only: after a restart
/// of all VMs, a client that retries would crash three more upstreams.
#[test]
fn a_quarantine_survives_a_restart_of_all_vms() {
    let _guard = lock_site();
    let mut crash_site = CrashSite::start();
    crash_site.quarantine();
    wait_until("the quarantine is written to the store", || {
        let keys = crash_site.site.store.keys();
        keys.iter().any(|key| key.contains("crashing"))
    });
    for vm in &mut crash_site.site.vms {
        vm.kill();
    }
    for vm in &mut crash_site.site.vms {
        vm.start();
    }
    for vm in &crash_site.site.vms {
        wait_until("the VM is ready", || vm.is_ready());
    }
    let sends = crash_site.sends(CRASHING);
    for _ in 0..VMS * 2 {
        assert_eq!(crash_site.ask(CRASHING).status, 502);
    }
    assert_eq!(crash_site.sends(CRASHING), sends);
}

/// Guards against taking closed connections for crashes: an upstream that
/// closes the connection of each request goes on running.
#[test]
fn closed_connections_quarantine_nothing() {
    let _guard = lock_site();
    let mut crash_site = CrashSite::start();
    let asked = 12;
    for _ in 0..asked {
        crash_site.ask(CLOSING);
    }
    let got = crash_site.ask(CLOSING);
    assert!(!got.body.contains("crashes_upstreams"), "{got:?}");
    assert!(
        crash_site.sends(CLOSING) > asked,
        "{} sends",
        crash_site.sends(CLOSING)
    );
}
