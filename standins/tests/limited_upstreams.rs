//! Checks that all VMs together keep to the rate limit, in requests per
//! second, that an upstream states in its responses.

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
    gateway_site::{HttpReply, PLAIN, Site, SiteVm, request, wait_until},
    http_raw::answer,
    scripted::{Script, Step, Upstream, always_responds, response_headers},
};

/// Time within which a revoked key must be rejected everywhere; long enough
/// that no test reaches it.
const REVOKE_MS: u64 = 30_000;

/// Number of VMs of a site.
const VMS: usize = 4;

/// Time that the caller of a VM waits between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// Time after which all VMs must keep to a limit, as specified by the
/// operators.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which a test observes whether a limit is kept.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);

/// Smallest fraction of a rate limit that must be used.
const MIN_UTILIZATION: f64 = 0.8;

/// Longest time that a rejection without a request to an upstream may take.
const REJECTION_TIME: Duration = Duration::from_millis(500);

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Starts a site whose VMs know these upstreams and each other.
fn site_with(upstreams: &[&Upstream]) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let mut site = Site::new(program, &["vm"], REVOKE_MS);
    for upstream in upstreams {
        site.register(upstream, PLAIN, "v1");
    }
    for _ in 0..VMS {
        site.start_vm();
    }
    wait_until("all VMs are recorded", || {
        let keys = site.store.keys();
        let is_vm = |key: &&String| key.contains("/vm-");
        keys.iter().filter(is_vm).count() == VMS
    });
    site
}

/// Responds to every request with 200 and states this rate limit.
fn limited(per_s: f64) -> Script {
    let per_s = per_s.to_string();
    Box::new(move |request| {
        let more = [("Server-Limit", &*per_s)];
        vec![Step::Send(answer(200, &response_headers(request, &more), "x"))]
    })
}

/// Declines every request and states this rate limit.
fn limited_declining(per_s: f64) -> Script {
    let per_s = per_s.to_string();
    Box::new(move |request| {
        let more =
            [("Lupinseam-Not-Executed", "1"), ("Server-Limit", &*per_s)];
        vec![Step::Send(answer(503, &response_headers(request, &more), ""))]
    })
}

/// One caller for each of some VMs, which sends requests in a loop.
struct Callers<'a> {
    vms: &'a [SiteVm],
    /// Number of requests sent, for their ids.
    asked: AtomicUsize,
}

impl<'a> Callers<'a> {
    fn of(site: &'a Site) -> Callers<'a> {
        Callers { vms: &site.vms, asked: AtomicUsize::new(0) }
    }

    /// The callers where all requests arrive at one VM.
    fn of_one_vm(site: &'a Site) -> Callers<'a> {
        Callers { vms: &site.vms[1..2], asked: AtomicUsize::new(0) }
    }

    /// Sends requests to the VMs for some time, and passes each response and
    /// its latency to `check`.
    fn ask_for(
        &self,
        time: Duration,
        check: impl Fn(HttpReply, Duration) + Sync,
    ) {
        let until = Instant::now() + time;
        thread::scope(|scope| {
            for vm in self.vms {
                let check = &check;
                scope.spawn(move || {
                    while Instant::now() < until {
                        let number =
                            self.asked.fetch_add(1, Ordering::Relaxed);
                        let id = format!("r-{number}");
                        let asked_at = Instant::now();
                        let got = vm.ask(&request("GET", "/read/x", &id, ""));
                        check(got, asked_at.elapsed());
                        thread::sleep(REQUEST_PAUSE);
                    }
                });
            }
        });
    }

    /// Does the same as `ask_for`, and returns how many requests reached each
    /// upstream over that time.
    fn observe(
        &self,
        upstreams: &[&Upstream],
        time: Duration,
        check: impl Fn(HttpReply, Duration) + Sync,
    ) -> Vec<Arrivals> {
        let started_at = Instant::now();
        thread::scope(|scope| {
            let observer = scope.spawn(|| {
                let mut arrivals: Vec<Arrivals> =
                    upstreams.iter().map(|_| Arrivals::default()).collect();
                while started_at.elapsed() < time {
                    for (one, upstream) in arrivals.iter_mut().zip(upstreams) {
                        one.add_sample(started_at.elapsed(), upstream);
                    }
                    thread::sleep(REQUEST_PAUSE / 2);
                }
                arrivals
            });
            self.ask_for(time, check);
            observer.join().expect("the counting thread has not panicked")
        })
    }
}

/// Samples of the number of requests that an upstream has received, each with
/// the time since the start.
#[derive(Debug, Default)]
struct Arrivals(Vec<(Duration, usize)>);

impl Arrivals {
    /// Adds a sample.
    fn add_sample(&mut self, at: Duration, upstream: &Upstream) {
        self.0.push((at, upstream.received().len()));
    }

    /// Returns the largest number of requests within one window.
    fn max_in_window(&self) -> usize {
        let windows = self.0.iter().map(|(from, before)| {
            let within =
                self.0.iter().take_while(|(at, _)| *at <= *from + WINDOW);
            within.last().map_or(0, |(_, after)| after - before)
        });
        windows.max().unwrap_or(0)
    }

    /// Returns the number of requests between the first and the last sample.
    fn total(&self) -> usize {
        let (first, last) = (self.0.first(), self.0.last());
        first.zip(last).map_or(0, |(first, last)| last.1 - first.1)
    }
}

/// Returns how many requests may arrive in one window at this rate limit, as
/// specified by the operators.
fn allowed_in_window(per_s: f64) -> usize {
    (per_s * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Accepts any response.
fn ignore(_: HttpReply, _: Duration) {}

/// Guards against VMs that each apply the limit on their own, so that the
/// upstream gets a multiple of it.
#[test]
fn all_vms_together_keep_to_the_rate_limit_of_an_upstream() {
    let _guard = lock_site();
    let per_s = 2.0;
    let limited_upstream = Upstream::start("i-1", limited(per_s));
    let unlimited = Upstream::start("i-2", always_responds(200, "x"));
    let site = site_with(&[&limited_upstream, &unlimited]);
    let callers = Callers::of(&site);
    callers.ask_for(PROPAGATION_TIME, ignore);
    let arrivals =
        callers.observe(&[&limited_upstream], OBSERVATION_TIME, |got, _| {
            assert_eq!(
                got.status, 200,
                "the unlimited upstream serves: {got:?}"
            );
        });
    let max_in_window = arrivals[0].max_in_window();
    assert!(
        max_in_window <= allowed_in_window(per_s),
        "{max_in_window} requests in four seconds"
    );
    let used = arrivals[0].total() as f64;
    let least = per_s * OBSERVATION_TIME.as_secs_f64() * MIN_UTILIZATION;
    assert!(used >= least, "only {used} requests came");
    // Once it states no limit, it serves its share again.
    limited_upstream.set_script(always_responds(200, "x"));
    callers.ask_for(PROPAGATION_TIME, ignore);
    let arrivals = callers.observe(
        &[&limited_upstream, &unlimited],
        PROPAGATION_TIME,
        ignore,
    );
    let (limited_total, unlimited_total) =
        (arrivals[0].total(), arrivals[1].total());
    assert!(
        limited_total * 2 > unlimited_total,
        "{limited_total} requests came, and {unlimited_total} at the other"
    );
}

/// Guards against callers that wait for a rejection while the limits of all
/// upstreams are used up.
#[test]
fn callers_are_rejected_immediately_while_all_rate_limits_are_used_up() {
    let _guard = lock_site();
    let per_s = 2.0;
    let one = Upstream::start("i-1", limited(per_s));
    let two = Upstream::start("i-2", limited_declining(per_s));
    let site = site_with(&[&one, &two]);
    let callers = Callers::of(&site);
    callers.ask_for(PROPAGATION_TIME, ignore);
    let rejected = AtomicUsize::new(0);
    let arrivals =
        callers.observe(&[&one, &two], OBSERVATION_TIME, |got, took| {
            if got.status == 200 {
                return;
            }
            assert_eq!(got.status, 503, "{got:?}");
            assert!(took < REJECTION_TIME, "rejected after {took:?}");
            let wait_s: f64 = got.header("retry-after").parse().unwrap();
            assert!(
                wait_s > 0.0 && wait_s < 1.0 + VMS as f64 / per_s,
                "Retry-After: {wait_s}"
            );
            rejected.fetch_add(1, Ordering::Relaxed);
        });
    for one in &arrivals {
        let max_in_window = one.max_in_window();
        assert!(
            max_in_window <= allowed_in_window(per_s),
            "{max_in_window} requests in four seconds"
        );
    }
    assert!(rejected.into_inner() > 0, "no request was rejected");
}

/// Guards against a VM that uses its own share of a limit only, where all
/// requests arrive at it.
#[test]
fn a_vm_that_gets_all_requests_uses_the_shares_of_the_others() {
    let _guard = lock_site();
    let per_s = 4.0;
    let one = Upstream::start("i-1", limited(per_s));
    let two = Upstream::start("i-2", limited(per_s));
    let site = site_with(&[&one, &two]);
    let callers = Callers::of_one_vm(&site);
    callers.ask_for(PROPAGATION_TIME, ignore);
    let arrivals =
        callers.observe(&[&one, &two], OBSERVATION_TIME, |got, took| {
            assert!(took < REJECTION_TIME, "{got:?} after {took:?}");
        });
    for one in &arrivals {
        let max_in_window = one.max_in_window();
        assert!(
            max_in_window <= allowed_in_window(per_s),
            "{max_in_window} requests in four seconds"
        );
    }
    let used: usize = arrivals.iter().map(Arrivals::total).sum();
    let least = 2.0 * per_s * OBSERVATION_TIME.as_secs_f64() * MIN_UTILIZATION;
    assert!(used as f64 >= least, "only {used} requests came");
}

/// Guards against VMs that learn of a limit only from responses to their own
/// requests.
///
/// Owners of a limit send their first request at a random time within their
/// interval, so several of them may send one shortly after they were told.
#[test]
fn a_vm_keeps_to_a_rate_limit_learned_from_another_vm() {
    let _guard = lock_site();
    let per_s = 0.5;
    let limited_upstream = Upstream::start("i-1", limited(per_s));
    let site = site_with(&[&limited_upstream]);
    let ask = |vm: usize, id: String| {
        site.vms[vm].ask(&request("GET", "/read/x", &id, ""))
    };
    wait_until("one VM has learned of the limit", || {
        ask(0, "first".into()).status == 200
    });
    let learned_at = Instant::now();
    thread::sleep(REJECTION_TIME);
    for vm in &site.vms[1..] {
        let told = vm.lines("UpstreamLimited");
        let by: Vec<_> = told.iter().map(|line| &line["by"]).collect();
        assert_eq!(by, ["vm"], "a VM without requests: {told:?}");
    }
    let before = limited_upstream.received().len();
    for number in 0..20 {
        for vm in 1..VMS {
            ask(vm, format!("r-{vm}-{number}"));
        }
    }
    let more = limited_upstream.received().len() - before;
    let allowed = VMS as f64 + per_s * learned_at.elapsed().as_secs_f64();
    assert!(more as f64 <= allowed, "{more} requests, {allowed} allowed");
}
