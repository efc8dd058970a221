//! Upstreams that turn everything away for nine seconds and ask each time for
//! three seconds of rest: one of them, a third, and all of a service.
//!
//! Requests of 40 ms come at all VMs alike and are tried at three upstreams.
//! VMs of a hall tell each other every half second what they have where. The
//! ways that are weighed:
//!
//! * **unheard**: nobody heeds what is asked for.
//! * **own**: each VM keeps to what it was told itself.
//! * **hall**: what one VM is told, all of its hall take for theirs after a
//!   quarter of a second.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    tests::{SLACK, entry},
    *,
};
use crate::placing::{
    reported_state::ReportedState,
    signals::{RetryAfter, UpstreamSignals},
    upstream::InFlightGuard,
};

const STEP: Duration = Duration::from_millis(5);
const WORK: Duration = Duration::from_millis(40);
const REST: Duration = Duration::from_secs(3);
const ON_THE_WAY: Duration = Duration::from_millis(500);
const TOLD_AFTER: Duration = Duration::from_millis(250);
const BEAT: Duration = Duration::from_millis(500);
const SHEDS_FROM: Duration = Duration::from_secs(1);
const SHEDS_TO: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(16);
const ATTEMPTS: usize = 3;
const PER_UPSTREAM_S: f64 = 15.0;

/// Requests that may come at an upstream from one VM in a rest.
const MOST_IN_REST: usize = 2;

/// Arrivals in one window, as a part of the usual, from which an upstream
/// that was at rest has its load again; and the most of a return that is no
/// herd.
const WINDOW: Duration = Duration::from_millis(250);
const EVEN_LEAST: f64 = 0.6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Unheard,
    Own,
    Hall,
}

/// What came of it.
#[derive(Debug, Default)]
struct Figures {
    asked: usize,
    turned_away: usize,
    refused: usize,
    /// The most at one upstream from one VM in a rest.
    into_rest: usize,
    /// Until the upstreams that shed have their load again.
    even_after_ms: u128,
    /// Most arrivals at one of them in a window afterwards.
    peak: usize,
}

struct Replay {
    way: Way,
    vms: Vec<Pool>,
    upstreams: usize,
    shedding: usize,
    hall: usize,
    rng: StdRng,
    began_at: BootInstant,
    now: BootInstant,
    /// Requests that are worked on, with their ends.
    working: VecDeque<(BootInstant, InFlightGuard)>,
    /// What halls are to hear.
    told: VecDeque<(BootInstant, usize, usize)>,
    /// When each VM was told by each upstream, and what came since.
    rests: HashMap<(usize, usize), (BootInstant, usize)>,
    windows: Vec<Vec<usize>>,
    figures: Figures,
}

impl Replay {
    fn new(way: Way, vms: usize, upstreams: usize, shedding: usize) -> Replay {
        let now = BootInstant::now();
        let hall = vms.div_ceil(4).max(3);
        let pools = (0..vms).map(|vm| {
            let name = format!("vm-{vm}");
            let pool = Pool::new(&name, "a".parse().unwrap(), SLACK);
            for upstream in 0..upstreams {
                let id = format!("i-{upstream}");
                pool.set(entry(&id, "a", "v1"), now);
            }
            pool
        });
        Replay {
            way,
            vms: pools.collect(),
            upstreams,
            shedding,
            hall,
            rng: StdRng::seed_from_u64(7),
            began_at: now,
            now,
            working: VecDeque::new(),
            told: VecDeque::new(),
            rests: HashMap::new(),
            windows: Vec::new(),
            figures: Figures::default(),
        }
    }

    fn passed(&self) -> Duration {
        self.now.saturating_duration_since(self.began_at)
    }

    fn is_shedding(&self, upstream: usize) -> bool {
        let passed = self.passed();
        upstream < self.shedding && passed >= SHEDS_FROM && passed < SHEDS_TO
    }

    fn run(mut self) -> Figures {
        let mut due = 0.0;
        let mut next_beat = self.now;
        while self.passed() < LENGTH {
            self.now += STEP;
            while self.working.front().is_some_and(|w| w.0 <= self.now) {
                self.working.pop_front();
            }
            self.tell_halls();
            if self.now >= next_beat {
                next_beat = self.now + BEAT;
                self.beat();
            }
            let rate = PER_UPSTREAM_S * self.upstreams as f64;
            due += rate * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
        }
        self.sum_up()
    }

    fn tell_halls(&mut self) {
        while self.told.front().is_some_and(|told| told.0 <= self.now) {
            let Some((_, from, upstream)) = self.told.pop_front() else {
                break;
            };
            let hall = from / self.hall * self.hall;
            for vm in hall..(hall + self.hall).min(self.vms.len()) {
                self.hear_rest(vm, upstream, REST - TOLD_AFTER);
            }
        }
    }

    fn hear_rest(&mut self, vm: usize, upstream: usize, rest: Duration) {
        let id = format!("i-{upstream}").parse().unwrap();
        let member = self.vms[vm].member(&id).unwrap();
        let statement = UpstreamSignals {
            retry_after: Some(RetryAfter::For(rest)),
            ..UpstreamSignals::default()
        };
        let (pool, now) = (&self.vms[vm], self.now);
        pool.apply_signals(&member, &statement, now, now);
    }

    fn beat(&mut self) {
        for from in 0..self.vms.len() {
            let work = self.vms[from].local_work();
            let hall = from / self.hall * self.hall;
            for vm in hall..(hall + self.hall).min(self.vms.len()) {
                if vm != from {
                    let name = format!("vm-{from}");
                    self.vms[vm].set_peer_work(&name, &work, self.now);
                }
            }
        }
    }

    fn request(&mut self) {
        self.figures.asked += 1;
        let vm = self.rng.random_range(0..self.vms.len());
        let service = "writers".parse().unwrap();
        let mut tried = Vec::new();
        for _ in 0..ATTEMPTS {
            let want =
                PickCriteria { tried: &tried, ..PickCriteria::default() };
            let picked = self.vms[vm].pick(&service, &want, self.now);
            let Ok(member) = picked else { break };
            tried.push(member.upstream.short_hash);
            let number = member.entry.id.as_str()[2..].parse().unwrap();
            self.note_arrival(vm, number);
            if !self.is_shedding(number) {
                let ends_at = self.now + WORK;
                self.working.push_back((ends_at, member.upstream.begin()));
                let served = UpstreamSignals::default();
                let (pool, now) = (&self.vms[vm], self.now);
                pool.apply_signals(&member, &served, now, now);
                return;
            }
            self.turn_away(vm, number);
        }
        self.figures.refused += 1;
    }

    fn note_arrival(&mut self, vm: usize, upstream: usize) {
        let window = (self.passed().as_millis() / WINDOW.as_millis()) as usize;
        self.windows.resize_with(window + 1, || vec![0; self.upstreams]);
        self.windows[window][upstream] += 1;
        if let Some((told_at, came)) = self.rests.get_mut(&(vm, upstream)) {
            let age = self.now.saturating_duration_since(*told_at);
            if age > ON_THE_WAY && age < REST {
                *came += 1;
                let most = &mut self.figures.into_rest;
                *most = (*most).max(*came);
            }
        }
    }

    fn turn_away(&mut self, vm: usize, upstream: usize) {
        self.figures.turned_away += 1;
        let rest = self.rests.entry((vm, upstream));
        let held = rest.or_insert((self.now, 0));
        if self.now.saturating_duration_since(held.0) >= REST {
            *held = (self.now, 0);
        }
        if self.way != Way::Unheard {
            self.hear_rest(vm, upstream, REST);
        }
        if self.way == Way::Hall {
            self.told.push_back((self.now + TOLD_AFTER, vm, upstream));
        }
    }

    fn sum_up(mut self) -> Figures {
        let window_s = WINDOW.as_secs_f64();
        let usual = PER_UPSTREAM_S * window_s * self.shedding as f64;
        let from = (SHEDS_TO.as_millis() / WINDOW.as_millis()) as usize;
        let after = &self.windows[from..];
        let is_even = |window: &Vec<usize>| {
            let came: usize = window[..self.shedding].iter().sum();
            came as f64 >= usual * EVEN_LEAST
        };
        let even = after.iter().position(is_even).unwrap_or(after.len());
        self.figures.even_after_ms = even as u128 * WINDOW.as_millis();
        let peaks = after.iter().flat_map(|w| w[..self.shedding].iter());
        self.figures.peak = peaks.max().copied().unwrap_or(0);
        self.figures
    }
}

fn figures(vms: usize, upstreams: usize, shedding: usize) -> [Figures; 3] {
    [Way::Unheard, Way::Own, Way::Hall].map(|way| {
        let figures = Replay::new(way, vms, upstreams, shedding).run();
        println!("{vms} VMs, {shedding} of {upstreams}, {way:?}: {figures:?}");
        figures
    })
}

/// What holds whoever sheds: the rest is kept, fewer are turned away, and
/// nobody is refused who was served before.
fn is_better(vms: usize, upstreams: usize, shedding: usize) {
    let [unheard, own, _] = figures(vms, upstreams, shedding);
    assert!(own.into_rest <= MOST_IN_REST, "{own:?}");
    assert!(own.turned_away < unheard.turned_away, "{own:?}");
    assert!(own.refused <= unheard.refused, "{own:?}");
}

#[test]
fn seven_vms() {
    is_better(7, 12, 1);
    is_better(7, 12, 4);
}

#[test]
fn eighty_vms() {
    is_better(80, 60, 1);
    is_better(80, 60, 20);
}

#[test]
fn three_hundred_vms() {
    is_better(300, 40, 13);
}

/// Nothing can be served; each VM asks each upstream about once in a rest, and
/// all others are refused without an attempt.
#[test]
fn all_of_a_service() {
    let [unheard, own, _] = figures(7, 12, 12);
    assert!(own.into_rest <= MOST_IN_REST, "{own:?}");
    assert!(own.turned_away * 4 < unheard.turned_away, "{own:?}");
    let most = unheard.refused + unheard.refused / 4;
    assert!(own.refused <= most, "{own:?} {unheard:?}");
    assert!(own.even_after_ms <= 4_000, "{own:?}");
}

/// VMs that were told in the same instant come back one by one.
#[test]
fn those_told_together_do_not_return_together() {
    let now = BootInstant::now();
    let words: Vec<ReportedState> =
        (0..300).map(|_| ReportedState::default()).collect();
    for word in &words {
        let rest = RetryAfter::For(REST);
        word.take_rest(Some(&rest), rand::random(), now, now);
    }
    let back = |at: Duration| {
        let is_back =
            |word: &&ReportedState| word.rest_left(now + at).is_zero();
        words.iter().filter(is_back).count()
    };
    assert_eq!(back(REST - STEP), 0);
    assert_eq!(back(REST * 2), words.len());
    let mut at = REST;
    while at < REST * 2 {
        let returned = back(at + WORK) - back(at);
        assert!(returned < words.len() / 5, "{returned} at {at:?}");
        at += WORK;
    }
}
