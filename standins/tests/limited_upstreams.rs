//! Upstreams that name how many requests a second they take from all VMs
//! together.

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
    http_raw::answer,
    scripted::{Act, Script, Upstream, answers, stamped},
};

/// Long enough that no test meets the bound.
const REVOKE_MS: u64 = 30_000;

const VMS: usize = 4;

/// Time between two requests of a VM's callers.
const ASK_PERIOD: Duration = Duration::from_millis(50);

/// Time after which all VMs are to keep to a limit, as operators state it.
const CONTACT: Duration = Duration::from_secs(3);

/// The span over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which it is watched whether a limit is kept.
const WATCHED: Duration = Duration::from_secs(10);

/// Part of what a limit allows that is to be used.
const LEAST_USED: f64 = 0.8;

/// Longest time that a refusal may take that needs no upstream.
const AT_ONCE: Duration = Duration::from_millis(500);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The VMs of a site have fixed addresses, so one site runs at a time.
fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// A site whose VMs know these upstreams and each other.
fn site_with(upstreams: &[&Upstream]) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let mut site = Site::new(program, &["vm"], REVOKE_MS);
    for upstream in upstreams {
        site.list(upstream, PLAIN, "v1");
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

/// Answers, and names this rate.
fn limited(per_s: f64) -> Script {
    let per_s = per_s.to_string();
    Box::new(move |request| {
        let more = [("Server-Limit", &*per_s)];
        vec![Act::Send(answer(200, &stamped(request, &more), "x"))]
    })
}

/// Turns every request away, and names this rate.
fn limited_declining(per_s: f64) -> Script {
    let per_s = per_s.to_string();
    Box::new(move |request| {
        let more =
            [("Lupinseam-Not-Executed", "1"), ("Server-Limit", &*per_s)];
        vec![Act::Send(answer(503, &stamped(request, &more), ""))]
    })
}

/// The callers of all VMs, each of which asks again and again.
struct Callers<'a> {
    site: &'a Site,
    asked: AtomicUsize,
}

impl<'a> Callers<'a> {
    fn of(site: &'a Site) -> Callers<'a> {
        Callers { site, asked: AtomicUsize::new(0) }
    }

    /// Has all VMs asked for some time, and hands over each answer with the
    /// time that it took.
    fn ask_for(
        &self,
        time: Duration,
        check: impl Fn(HttpReply, Duration) + Sync,
    ) {
        let until = Instant::now() + time;
        thread::scope(|scope| {
            for vm in &self.site.vms {
                let check = &check;
                scope.spawn(move || {
                    while Instant::now() < until {
                        let number =
                            self.asked.fetch_add(1, Ordering::Relaxed);
                        let id = format!("r-{number}");
                        let asked_at = Instant::now();
                        let got = vm.ask(&request("GET", "/read/x", &id, ""));
                        check(got, asked_at.elapsed());
                        thread::sleep(ASK_PERIOD);
                    }
                });
            }
        });
    }

    /// The same, and how often each upstream was asked in that time, by the
    /// time since the beginning.
    fn watch(
        &self,
        upstreams: &[&Upstream],
        time: Duration,
        check: impl Fn(HttpReply, Duration) + Sync,
    ) -> Vec<Arrivals> {
        let began_at = Instant::now();
        thread::scope(|scope| {
            let watched = scope.spawn(|| {
                let mut arrivals: Vec<Arrivals> =
                    upstreams.iter().map(|_| Arrivals::default()).collect();
                while began_at.elapsed() < time {
                    for (one, upstream) in arrivals.iter_mut().zip(upstreams) {
                        one.note(began_at.elapsed(), upstream);
                    }
                    thread::sleep(ASK_PERIOD / 2);
                }
                arrivals
            });
            self.ask_for(time, check);
            watched.join().expect("the counts")
        })
    }
}

/// How many requests had reached an upstream at some moments.
#[derive(Debug, Default)]
struct Arrivals(Vec<(Duration, usize)>);

impl Arrivals {
    fn note(&mut self, at: Duration, upstream: &Upstream) {
        self.0.push((at, upstream.received().len()));
    }

    /// The most that came in one window.
    fn most(&self) -> usize {
        let windows = self.0.iter().map(|(from, before)| {
            let within =
                self.0.iter().take_while(|(at, _)| *at <= *from + WINDOW);
            within.last().map_or(0, |(_, after)| after - before)
        });
        windows.max().unwrap_or(0)
    }

    /// All that came.
    fn all(&self) -> usize {
        let (first, last) = (self.0.first(), self.0.last());
        first.zip(last).map_or(0, |(first, last)| last.1 - first.1)
    }
}

/// Requests that may come in one window at a limit, as operators state it.
fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

fn ignore(_: HttpReply, _: Duration) {}

/// Guards against upstreams in need that get a multiple of what they take.
#[test]
fn a_limit_that_an_upstream_names_is_kept_by_all_vms_together() {
    let _alone = alone();
    let per_s = 2.0;
    let needy = Upstream::start("i-1", limited(per_s));
    let well = Upstream::start("i-2", answers(200, "x"));
    let site = site_with(&[&needy, &well]);
    let callers = Callers::of(&site);
    callers.ask_for(CONTACT, ignore);
    let arrivals = callers.watch(&[&needy], WATCHED, |got, _| {
        assert_eq!(got.status, 200, "the other one serves: {got:?}");
    });
    let most = arrivals[0].most();
    assert!(most <= allowed(per_s), "{most} requests in four seconds");
    let used = arrivals[0].all() as f64;
    let least = per_s * WATCHED.as_secs_f64() * LEAST_USED;
    assert!(used >= least, "only {used} requests came");
    // Without the limit it serves its part again.
    needy.set_script(answers(200, "x"));
    callers.ask_for(CONTACT, ignore);
    let arrivals = callers.watch(&[&needy, &well], CONTACT, ignore);
    let (part, rest) = (arrivals[0].all(), arrivals[1].all());
    assert!(part * 2 > rest, "{part} and {rest} requests came");
}

/// Guards against callers that wait while nothing can be served.
#[test]
fn callers_are_refused_at_once_while_all_limits_are_used_up() {
    let _alone = alone();
    let per_s = 2.0;
    let one = Upstream::start("i-1", limited(per_s));
    let two = Upstream::start("i-2", limited_declining(per_s));
    let site = site_with(&[&one, &two]);
    let callers = Callers::of(&site);
    callers.ask_for(CONTACT, ignore);
    let refused = AtomicUsize::new(0);
    let arrivals = callers.watch(&[&one, &two], WATCHED, |got, took| {
        if got.status == 200 {
            return;
        }
        assert_eq!(got.status, 503, "{got:?}");
        assert!(took < AT_ONCE, "refused after {took:?}");
        let wait_s: f64 = got.header("retry-after").parse().unwrap();
        assert!(wait_s > 0.0 && wait_s < 1.0 + VMS as f64 / per_s, "{wait_s}");
        refused.fetch_add(1, Ordering::Relaxed);
    });
    for one in &arrivals {
        let most = one.most();
        assert!(most <= allowed(per_s), "{most} requests in four seconds");
    }
    assert!(refused.into_inner() > 0, "most cannot be served");
}

/// Guards against a limit that each VM learns by a request of its own.
#[test]
fn a_vm_keeps_to_a_limit_that_only_others_were_told() {
    let _alone = alone();
    let per_s = 0.5;
    let needy = Upstream::start("i-1", limited(per_s));
    let site = site_with(&[&needy]);
    let ask = |vm: usize, id: String| {
        site.vms[vm].ask(&request("GET", "/read/x", &id, ""))
    };
    wait_until("one VM is told", || ask(0, "first".into()).status == 200);
    thread::sleep(AT_ONCE);
    let before = needy.received().len();
    for number in 0..20 {
        for vm in 1..VMS {
            ask(vm, format!("r-{vm}-{number}"));
        }
    }
    let more = needy.received().len() - before;
    assert!(more <= 1, "{more} requests of VMs that were not told");
}
