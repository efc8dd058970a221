//! Upstreams that turn requests away and ask for rest.
//!
//! An upstream turned a request away with 503 and asked the VM that had sent
//! it for three seconds of rest; in that time the same VM sent it six more. A
//! request that was turned away left no trace, and what turns requests away
//! within two milliseconds is always empty, so it was the first choice of the
//! next request. What settled it, of one VM that writes down what answers say
//! and does not heed it, while another upstream is well:
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
    scripted::{Act, Script, Upstream, answers, stamped},
};

/// Long enough that no test meets the bound.
const REVOKE_MS: u64 = 30_000;

/// The rest that upstreams ask for.
const REST: Duration = Duration::from_secs(3);

/// Part of it in which requests that were on their way may still come.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Requests that may come in the rest of it, as operators state it.
const MOST_IN_REST: usize = 2;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The VMs of a site have fixed addresses, so one site runs at a time.
fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// A site with one VM that knows these upstreams.
fn site_with(upstreams: &[&Upstream]) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let mut site = Site::new(program, &["vm"], REVOKE_MS);
    for upstream in upstreams {
        site.list(upstream, PLAIN, "v1");
    }
    site.start_vm();
    for upstream in upstreams {
        wait_until("the VM has heard of the upstream", || {
            let lines = site.vms[0].lines("E043");
            lines.iter().any(|line| line["upstream"] == upstream.id.as_str())
        });
    }
    site
}

/// Turns every request away and asks for rest.
fn rests() -> Script {
    let seconds = REST.as_secs().to_string();
    Box::new(move |request| {
        let more =
            [("Lupinseam-Not-Executed", "1"), ("Retry-After", &*seconds)];
        vec![Act::Send(answer(503, &stamped(request, &more), ""))]
    })
}

fn ask(site: &Site, id: &str) -> HttpReply {
    site.vms[0].ask(&request("GET", "/read/x", id, ""))
}

/// Asks until one upstream has turned a request away.
fn ask_until_turned_away(site: &Site, resting: &Upstream) -> Instant {
    let before = resting.received().len();
    let mut number = 0;
    wait_until("it has turned a request away", || {
        ask(site, &format!("before-{number}"));
        number += 1;
        resting.received().len() > before
    });
    Instant::now()
}

#[test]
fn one_that_asks_for_rest_is_left_alone_until_it_is_over() {
    let _alone = alone();
    let resting = Upstream::start("i-1", rests());
    let well = Upstream::start("i-2", answers(200, "x"));
    let site = site_with(&[&resting, &well]);
    let told_at = ask_until_turned_away(&site, &resting);
    thread::sleep(ON_THE_WAY);
    let before = resting.received().len();
    while told_at.elapsed() < REST - ON_THE_WAY / 2 {
        let id = format!("r-{}", told_at.elapsed().as_micros());
        let got = ask(&site, &id);
        assert_eq!(got.status, 200, "the other one serves: {got:?}");
        thread::sleep(Duration::from_millis(20));
    }
    let in_rest = resting.received().len() - before;
    assert!(in_rest <= MOST_IN_REST, "{in_rest} requests came in its rest");
    // Afterwards it serves its part again.
    resting.set_script(answers(200, "x"));
    let before = resting.received().len();
    wait_until("it gets requests again", || {
        ask(&site, &format!("after-{}", told_at.elapsed().as_micros()));
        resting.received().len() > before + 3
    });
}

/// Nothing can serve before one of them is back, so nobody waits for it.
#[test]
fn callers_are_refused_at_once_while_all_rest_and_told_until_when() {
    let _alone = alone();
    let one = Upstream::start("i-1", rests());
    let two = Upstream::start("i-2", rests());
    let site = site_with(&[&one, &two]);
    // One request is tried at both.
    let asked_at = Instant::now();
    ask(&site, "first");
    assert_eq!((one.received().len(), two.received().len()), (1, 1));
    let told_at = Instant::now();
    while told_at.elapsed() < REST / 2 {
        let began_at = Instant::now();
        let id = format!("r-{}", told_at.elapsed().as_micros());
        let got = ask(&site, &id);
        assert_eq!(got.status, 503, "{got:?}");
        assert!(began_at.elapsed() < ON_THE_WAY, "refused late: {got:?}");
        let wait: f64 = got.header("retry-after").parse().unwrap();
        let back = began_at + Duration::from_secs_f64(wait);
        assert!(
            back > asked_at + REST && back < told_at + REST * 2,
            "told to come back after {wait} s"
        );
        thread::sleep(Duration::from_millis(20));
    }
    let received = (one.received().len(), two.received().len());
    assert_eq!(received, (1, 1), "requests came while all rest");
    one.set_script(answers(200, "x"));
    let got = loop {
        thread::sleep(Duration::from_millis(100));
        assert!(told_at.elapsed() < REST * 3, "nothing is served again");
        let id = format!("l-{}", told_at.elapsed().as_micros());
        let got = ask(&site, &id);
        if got.status == 200 {
            break got;
        }
    };
    assert_eq!(got.body, "x");
}
