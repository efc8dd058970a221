//! Requests that crash the upstreams that run them.
//!
//! One request of one organisation came again and again, at any VM and under
//! a new id each time, and ended every upstream that began to run it. An
//! attempt that breaks was counted against its upstream only, so each VM, and
//! each new try, began at zero with the same content: under one such request
//! 58 upstreams ended, with most of what ran beside it. What was settled by
//! the lines of the VMs, two seconds apart and at three of them:
//!
//! ```text
//! 39.299 edge-medina-3   r-faq2bit pura680 1841 tokens, i-90aa028f78 broken
//! 39.623 edge-medina-2   r-faq2bit pura680 1841 tokens, i-67c3234a8b broken
//! 40.198 edge-plateau-1  r-faq2bit pura680 1841 tokens, i-ecc2ace108 broken
//! 40.345 edge-rufisque-1 r-faq2bit pura680 1841 tokens, i-1dfa94ad2e broken
//! ```

use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use standins::{
    gateway_site::{Got, PLAIN, Site, request},
    http_raw::answer,
    scripted::{Act, Script, Upstream, stamped},
};

/// Long enough that no test meets the bound.
const REVOKE_MS: u64 = 8_000;

/// VMs of a site.
const VMS: usize = 3;

/// Upstreams that are there at any time.
const UPSTREAMS: usize = 4;

/// Part of a path that crashes what runs it.
const DEADLY: &str = "deadly";

/// Time that every request works.
const WORK: Duration = Duration::from_millis(15);

/// Time in which all VMs are to know what they need, as operators state it.
const CONTACT: Duration = Duration::from_secs(3);

/// Times that a request may still reach upstreams after that, once it has
/// ended three.
const SENDS_MOST: usize = 3;

/// Upstreams from whose end that time is counted.
const ENDS: usize = 3;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The VMs of a site have fixed addresses, so one site runs at a time.
fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|failed| failed.into_inner())
}

fn script() -> Script {
    Box::new(|request| {
        let act = match request.path.contains(DEADLY) {
            true => Act::Crash,
            false => Act::Send(answer(200, &stamped(request, &[]), "well")),
        };
        vec![Act::Wait(WORK), act]
    })
}

/// A site whose upstreams are replaced when they have ended, each under a new
/// name.
struct Crashes {
    site: Site,
    upstreams: Vec<Upstream>,
    asked: usize,
}

impl Crashes {
    fn start() -> Crashes {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
        let site = Site::new(program, &["vm"], REVOKE_MS);
        let mut crashes = Crashes { site, upstreams: Vec::new(), asked: 0 };
        crashes.replace();
        for _ in 0..VMS {
            crashes.site.start_vm();
        }
        let answers = |crashes: &mut Crashes| {
            (0..VMS).all(|_| crashes.ask("well").status == 200)
        };
        let until = Instant::now() + Duration::from_secs(10);
        while !answers(&mut crashes) {
            assert!(Instant::now() < until, "the VMs know the upstreams");
        }
        crashes
    }

    /// Starts a new upstream for each that has ended, and removes the records
    /// of those.
    fn replace(&mut self) {
        for ended in self.upstreams.iter().filter(|u| u.has_crashed()) {
            self.site.store.remove(&format!("servers/{}", ended.id));
        }
        let living = |u: &&Upstream| !u.has_crashed();
        while self.upstreams.iter().filter(living).count() < UPSTREAMS {
            let id = format!("i-{}", self.upstreams.len() + 1);
            let upstream = Upstream::start(&id, script());
            self.site.list(&upstream, PLAIN, "v1");
            self.upstreams.push(upstream);
        }
    }

    /// Asks the VMs in turn, each time under a new id.
    fn ask(&mut self, what: &str) -> Got {
        self.asked += 1;
        let id = format!("r-{}", self.asked);
        let path = format!("/read/{what}");
        let vm = &self.site.vms[self.asked % VMS];
        vm.ask(&request("GET", &path, &id, ""))
    }

    fn ended(&self) -> usize {
        self.upstreams.iter().filter(|u| u.has_crashed()).count()
    }

    /// How often a request has reached upstreams.
    fn sends(&self, what: &str) -> usize {
        let path = format!("/read/{what}");
        let received = self.upstreams.iter().flat_map(|u| u.received());
        received.filter(|request| request.path == path).count()
    }
}

#[test]
fn a_request_that_has_ended_three_upstreams_is_sent_no_more() {
    let _alone = alone();
    let mut crashes = Crashes::start();
    let mut third_at = None;
    let mut sends_before = 0;
    let until = Instant::now() + CONTACT * 3;
    while Instant::now() < until {
        crashes.ask(DEADLY);
        crashes.replace();
        thread::sleep(Duration::from_millis(100));
        if crashes.ended() >= ENDS {
            third_at.get_or_insert(Instant::now());
        }
        if third_at.is_none_or(|at| at.elapsed() < CONTACT) {
            sends_before = crashes.sends(DEADLY);
        }
    }
    assert!(third_at.is_some(), "nothing has ended");
    let later = crashes.sends(DEADLY) - sends_before;
    assert!(
        later <= SENDS_MOST,
        "sent {later} times more; {} ended in all",
        crashes.ended()
    );
}
