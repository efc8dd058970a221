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
    gateway_site::{HttpReply, PLAIN, Site, request, wait_until},
    http_raw::answer,
    scripted::{Act, Script, Upstream, stamped},
};

/// Long enough that no test meets the bound.
const REVOKE_MS: u64 = 8_000;

/// VMs of a site.
const VMS: usize = 3;

/// Upstreams that are there at any time.
const UPSTREAMS: usize = 4;

/// What crashes each upstream that runs it.
const DEADLY: &str = "deadly";

/// What each upstream cuts off.
const CUT: &str = "cut";

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
        let well = || Act::Send(answer(200, &stamped(request, &[]), "well"));
        let act = match request.path.rsplit('/').next() {
            Some(DEADLY) => Act::Crash,
            Some(CUT) => Act::Close,
            _ => well(),
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
        crashes.wait_served();
        crashes
    }

    /// Waits until every VM knows upstreams that answer.
    fn wait_served(&mut self) {
        wait_until("every VM serves", || {
            (0..VMS).all(|_| self.ask("well").status == 200)
        });
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
    fn ask(&mut self, what: &str) -> HttpReply {
        self.asked += 1;
        let id = format!("r-{}", self.asked);
        let path = format!("/read/{what}");
        let vm = &self.site.vms[self.asked % VMS];
        vm.ask(&request("GET", &path, &id, ""))
    }

    /// Sends the deadly request until every VM refuses it.
    fn hold_back(&mut self) {
        let until = Instant::now() + CONTACT;
        let mut refusals = 0;
        while refusals < VMS {
            assert!(Instant::now() < until, "it is held back everywhere");
            let got = self.ask(DEADLY);
            let is_refused = got.body.contains("crashes_upstreams");
            refusals = if is_refused { refusals + 1 } else { 0 };
            self.replace();
            thread::sleep(Duration::from_millis(50));
        }
        // Those that have ended are replaced by ones to be heard of first.
        self.wait_served();
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

#[test]
fn it_is_refused_at_once_for_what_it_did() {
    let _alone = alone();
    let mut crashes = Crashes::start();
    crashes.hold_back();
    let sends = crashes.sends(DEADLY);
    for _ in 0..VMS {
        let begun = Instant::now();
        let got = crashes.ask(DEADLY);
        assert!(begun.elapsed() < Duration::from_millis(500), "{got:?}");
        assert_eq!(got.status, 502, "{got:?}");
        assert!(got.body.contains("crashes_upstreams"), "{got:?}");
        assert_eq!(crashes.ask("well").status, 200, "others are served");
    }
    assert_eq!(crashes.sends(DEADLY), sends);
}

/// Nothing that a VM has in its memory is left, and a caller that comes again
/// would end three more.
#[test]
fn it_is_still_held_back_after_all_vms_have_gone() {
    let _alone = alone();
    let mut crashes = Crashes::start();
    crashes.hold_back();
    wait_until("it is written to the store", || {
        let keys = crashes.site.store.keys();
        keys.iter().any(|key| key.contains("crashing"))
    });
    for vm in &mut crashes.site.vms {
        vm.kill();
    }
    for vm in &mut crashes.site.vms {
        vm.start();
    }
    for vm in &crashes.site.vms {
        wait_until("the VM is ready", || vm.is_ready());
    }
    let sends = crashes.sends(DEADLY);
    for _ in 0..VMS * 2 {
        assert_eq!(crashes.ask(DEADLY).status, 502);
    }
    assert_eq!(crashes.sends(DEADLY), sends);
}

/// Upstreams that cut the connection of each request are well.
#[test]
fn connections_that_break_hold_nothing_back() {
    let _alone = alone();
    let mut crashes = Crashes::start();
    let asked = 12;
    for _ in 0..asked {
        crashes.ask(CUT);
    }
    let got = crashes.ask(CUT);
    assert!(!got.body.contains("crashes_upstreams"), "{got:?}");
    assert!(crashes.sends(CUT) > asked, "{}", crashes.sends(CUT));
}
