//! The soak: a short run of fixed seeds, and proof that its checker finds
//! each promise broken.

use std::{path::PathBuf, time::Duration};

use standins::{
    gateway_site::KEY,
    soak::{
        Soak,
        check::{Promise, check},
        evidence::{Call, Change, Evidence, Kind, Order, Run, Scope, Trouble},
        own_words::{UpstreamSignal, summary},
        rate_limits::{RateLimitPeriod, RateLimitSignal, sent_past_limit},
        upstreams::UNREADABLE,
    },
};

/// Seeds that are always run; each that ever failed is added, with a line on
/// the cause.
///
/// * 30201: an upstream leaves in the first second of a site; its VMs each
///   took the others to follow the store.
const SEEDS: [u64; 2] = [1, 30201];

/// Seconds of faults for each seed in CI.
const SECONDS: u64 = 8;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn call(id: &str, kind: Kind, sent_s: f64) -> Call {
    Call {
        id: id.to_owned(),
        kind,
        vm: 0,
        life: 1,
        key: KEY.to_owned(),
        session: None,
        sent_at: seconds(sent_s),
        ended_at: seconds(sent_s + 0.1),
        status: 200,
        is_whole: true,
        is_own: true,
        is_held_back: false,
    }
}

fn run_of(call: &Call) -> Run {
    Run {
        id: call.id.clone(),
        upstream: "i-1".to_owned(),
        life: 1,
        software: "v1".to_owned(),
        at: call.sent_at + seconds(0.01),
        path: call.kind.path(&call.id),
        organisation: "village".to_owned(),
    }
}

/// One call of each kind that went well.
fn good() -> Evidence {
    let kinds = [Kind::Read, Kind::Once, Kind::Write, Kind::Probe(1)];
    let calls: Vec<Call> = kinds
        .iter()
        .enumerate()
        .map(|(at, kind)| call(&format!("c-{at}"), *kind, 10.0))
        .collect();
    let runs = calls.iter().map(run_of).collect();
    Evidence { calls, runs, recovery: (10, 10), ..Evidence::default() }
}

fn broken(evidence: &Evidence) -> Vec<Promise> {
    let mut found: Vec<Promise> =
        check(evidence).into_iter().map(|v| v.promise).collect();
    found.sort();
    found.dedup();
    found
}

/// What is broken once `change` was made to evidence that is good.
fn broken_by(change: impl FnOnce(&mut Evidence)) -> Vec<Promise> {
    let mut evidence = good();
    assert_eq!(broken(&evidence), Vec::new());
    change(&mut evidence);
    broken(&evidence)
}

fn trouble(scope: Scope, from_s: f64, to_s: f64) -> Trouble {
    let what = "test".to_owned();
    Trouble { from: seconds(from_s), to: seconds(to_s), scope, what }
}

#[test]
fn a_second_run_is_found_where_one_is_allowed() {
    let doubled = |at: usize| broken_by(|e| e.runs.push(e.runs[at].clone()));
    assert_eq!(doubled(0), [], "may be repeated");
    assert_eq!(doubled(1), [Promise::AtMostOnce]);
}

#[test]
fn a_false_refusal_is_found() {
    for status in [408, 421, 429, 503] {
        let found = broken_by(|e| e.calls[0].status = status);
        assert_eq!(found, [Promise::TrueRefusal], "{status}");
    }
    let after_a_run = broken_by(|e| e.calls[0].status = 502);
    assert_eq!(after_a_run, [], "which promises nothing");
}

#[test]
fn an_answer_of_another_request_is_found() {
    assert_eq!(broken_by(|e| e.calls[2].is_own = false), [Promise::OwnAnswer]);
    let visibly_cut = broken_by(|e| {
        e.calls[2].is_own = false;
        e.calls[2].is_whole = false;
    });
    assert_eq!(visibly_cut, []);
}

#[test]
fn a_changed_or_invented_request_is_found() {
    let path = broken_by(|e| e.runs[0].path.push('x'));
    let invented = broken_by(|e| e.runs[0].id = "c-9".to_owned());
    let organisation = broken_by(|e| e.runs[0].organisation.clear());
    for found in [path, invented, organisation] {
        assert_eq!(found, [Promise::AsSent]);
    }
}

#[test]
fn a_run_under_a_removed_key_is_found_whatever_the_trouble() {
    let sent_after = |removed_s: f64| {
        broken_by(|e| {
            e.calls[0].key = "old".to_owned();
            let change = Change::KeyRemoved("old".to_owned());
            e.changes.push((seconds(removed_s), change));
            e.troubles.push(trouble(Scope::Everyone, 0.0, 20.0));
        })
    };
    assert_eq!(sent_after(5.1), [], "within the bound");
    assert_eq!(sent_after(4.9), [Promise::RevokedKey]);
}

#[test]
fn a_denial_of_what_is_always_allowed_is_found() {
    for status in [400, 401, 403, 404] {
        let found = broken_by(|e| e.calls[0].status = status);
        assert_eq!(found, [Promise::NotDenied], "{status}");
    }
}

#[test]
fn a_late_configuration_is_found_at_vms_in_touch() {
    let added = |e: &mut Evidence| {
        e.changes.push((seconds(7.0), Change::RouteAdded(1)));
        e.calls[3].status = 404;
    };
    assert_eq!(broken_by(added), [Promise::Configuration]);
    let in_trouble = |scope: Scope| {
        broken_by(|e| {
            added(e);
            e.troubles.push(trouble(scope, 8.0, 9.0));
        })
    };
    assert_eq!(in_trouble(Scope::Vm(0)), []);
    assert_eq!(in_trouble(Scope::Everyone), []);
    assert_eq!(in_trouble(Scope::Vm(1)), [Promise::Configuration]);
    assert_eq!(in_trouble(Scope::Upstreams), [Promise::Configuration]);
}

#[test]
fn a_configuration_that_is_taken_back_is_found() {
    let lost_in = |life: u32| {
        broken_by(|e| {
            let mut lost = call("c-9", Kind::Probe(1), 11.0);
            lost.status = 404;
            lost.life = life;
            e.calls.push(lost);
        })
    };
    assert_eq!(lost_in(1), [Promise::Configuration]);
    assert_eq!(lost_in(2), [], "a later process begins anew");
}

#[test]
fn work_for_an_upstream_that_left_is_found() {
    let left = |e: &mut Evidence| {
        let change = Change::Leaving("i-1".to_owned());
        e.changes.push((seconds(7.5), change));
    };
    assert_eq!(broken_by(left), [Promise::LeftAlone]);
    let out_of_touch = broken_by(|e| {
        left(e);
        e.troubles.push(trouble(Scope::Vm(0), 6.0, 9.0));
    });
    assert_eq!(out_of_touch, []);
}

#[test]
fn work_for_a_reverted_version_is_found() {
    let found = broken_by(|e| {
        let change = Change::Reverted("v1".to_owned());
        e.changes.push((seconds(7.5), change));
    });
    assert_eq!(found, [Promise::Withdrawn]);
}

#[test]
fn a_request_cut_by_a_planned_stop_is_found() {
    let cut = |e: &mut Evidence| {
        e.calls[0].is_whole = false;
        e.calls[0].status = 0;
        e.troubles.push(trouble(Scope::PlannedStop(0), 10.05, 12.0));
    };
    assert_eq!(broken_by(cut), [Promise::PlannedStop]);
    let with_another_fault = broken_by(|e| {
        cut(e);
        e.troubles.push(trouble(Scope::Upstreams, 8.0, 8.5));
    });
    assert_eq!(with_another_fault, []);
}

fn ordered(at_s: f64, is_bad: bool) -> (Duration, Change) {
    let software = "v2".to_owned();
    let allowed = seconds(10.0);
    (seconds(at_s), Change::Ordered(Order { software, allowed, is_bad }))
}

/// Calls of four sessions, twice each, whose second runs are at `software`.
fn sessions(e: &mut Evidence, software: &str, again_s: f64) {
    for number in 0..4 {
        for (turn, sent_s) in [(0, 10.0), (1, again_s)] {
            let id = format!("s-{number}-{turn}");
            let mut call = call(&id, Kind::Write, sent_s);
            call.session = Some(format!("session-{number}"));
            let mut run = run_of(&call);
            if turn == 1 {
                software.clone_into(&mut run.software);
            }
            e.calls.push(call);
            e.runs.push(run);
        }
    }
}

#[test]
fn sessions_that_change_their_version_are_found() {
    let moved = |ordered_s: f64, again_s: f64| {
        broken_by(|e| {
            e.changes.push(ordered(ordered_s, false));
            sessions(e, "v2", again_s);
        })
    };
    assert_eq!(moved(9.0, 12.0), [Promise::SessionVersion]);
    assert_eq!(moved(6.5, 12.0), [], "in the second half");
    assert_eq!(moved(9.0, 15.5), [], "another session by then");
    let three = broken_by(|e| {
        e.changes.push(ordered(9.0, false));
        sessions(e, "v2", 12.0);
        e.runs.pop();
    });
    assert_eq!(three, [], "so many are allowed");
    let in_trouble = broken_by(|e| {
        e.changes.push(ordered(9.0, false));
        sessions(e, "v2", 12.0);
        e.troubles.push(trouble(Scope::Vm(0), 10.5, 11.0));
    });
    assert_eq!(in_trouble, []);
}

#[test]
fn sessions_that_are_taken_back_from_a_good_version_are_found() {
    let back = |is_bad: bool| {
        broken_by(|e| {
            e.changes.push(ordered(2.0, is_bad));
            sessions(e, "v1", 12.0);
            let first = e.runs.iter_mut().filter(|run| run.id.ends_with("-0"));
            first.for_each(|run| run.software = "v2".to_owned());
        })
    };
    assert_eq!(back(false), [Promise::SessionVersion]);
    assert_eq!(back(true), []);
}

#[test]
fn a_bad_version_with_more_than_its_share_is_found() {
    let with = |new: usize| {
        broken_by(|e| {
            e.changes.push(ordered(9.0, true));
            for number in 0..100 {
                let call = call(&format!("t-{number}"), Kind::Tell, 10.0);
                let mut run = run_of(&call);
                run.organisation.clear();
                if number < new {
                    run.software = "v2".to_owned();
                }
                e.calls.push(call);
                e.runs.push(run);
            }
        })
    };
    assert_eq!(with(45), []);
    assert_eq!(with(46), [Promise::Exposure]);
}

#[test]
fn attempts_beyond_their_budget_are_found() {
    let with = |again: usize| {
        broken_by(|e| {
            let call = call("r-1", Kind::Read, 10.0);
            let run = run_of(&call);
            e.runs.push(run.clone());
            e.calls.push(call);
            // Those that were declined count as well.
            e.declined.extend(vec![run; again]);
        })
    };
    // Of four requests, 0.3, and 20 besides.
    assert_eq!(with(21), []);
    assert_eq!(with(22), [Promise::RetryBudget]);
}

#[test]
fn work_for_an_entry_that_cannot_be_read_is_found() {
    let found = broken_by(|e| e.runs[0].upstream = UNREADABLE.to_owned());
    assert_eq!(found, [Promise::Unreadable]);
}

#[test]
fn a_deadly_request_that_goes_on_is_found() {
    // Three ends by 10.2 s and each half second from 14 s on, another life.
    let with = |later: usize, ends: u64| {
        broken_by(|e| {
            for number in 0..ends + later as u64 {
                let is_early = number < ends;
                let sent_s = match is_early {
                    true => 10.0 + number as f64 * 0.1,
                    false => 14.0 + number as f64 * 0.5,
                };
                let id = format!("d-{number}");
                let call = call(&id, Kind::Deadly(1), sent_s);
                e.runs.push(Run { life: number, ..run_of(&call) });
                e.calls.push(call);
            }
        })
    };
    assert_eq!(with(3, 3), []);
    assert_eq!(with(4, 3), [Promise::Deadly]);
    assert_eq!(with(4, 2), [], "the third end is late");
    let one_life = broken_by(|e| {
        for number in 0..9 {
            let id = format!("d-{number}");
            let call = call(&id, Kind::Deadly(1), 10.0 + number as f64);
            e.runs.push(run_of(&call));
            e.calls.push(call);
        }
    });
    assert_eq!(one_life, [], "which ends once");
}

#[test]
fn another_request_that_is_held_back_is_found() {
    let held = broken_by(|e| e.calls[0].is_held_back = true);
    assert_eq!(held, [Promise::OthersTaken]);
}

#[test]
fn a_site_that_does_not_recover_is_found() {
    assert_eq!(broken_by(|e| e.recovery = (10, 8)), [Promise::Recovery]);
    assert_eq!(broken_by(|e| e.recovery = (10, 9)), []);
}

#[test]
fn fixed_seeds_break_no_promise() {
    let soak = Soak {
        seed: 1,
        seeds: 1,
        seconds: SECONDS,
        vms: 5,
        callers: 12,
        logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
    };
    for seed in SEEDS {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
        let outcome = soak.run_seed(seed, program).expect("a run");
        assert!(outcome.faults > 0 && outcome.served > 0, "{outcome:?}");
        assert!(outcome.violations.is_empty(), "{outcome:#?}");
    }
}

/// An answer that the first good call got, and what came after it from the
/// same VM to the same upstream.
fn said_and_came(
    rest_s: Option<f64>,
    came_s: &[f64],
) -> impl Fn(&mut Evidence) {
    let came_s = came_s.to_vec();
    move |evidence| {
        let told = evidence.runs[0].clone();
        evidence.signals.push(UpstreamSignal {
            id: told.id,
            upstream: told.upstream,
            life: told.life,
            at: told.at,
            rest: rest_s.map(seconds),
        });
        for (number, came_s) in came_s.iter().enumerate() {
            let id = format!("l-{number}");
            let later = call(&id, Kind::Read, *came_s);
            evidence.runs.push(run_of(&later));
            evidence.calls.push(later);
        }
    }
}

#[test]
fn what_comes_in_a_rest_is_found() {
    let in_time = said_and_came(Some(3.0), &[10.2, 10.4, 11.0, 12.0, 13.5]);
    assert_eq!(broken_by(in_time), []);
    let in_rest = [10.6, 11.0, 12.9];
    let too_many = said_and_came(Some(3.0), &in_rest);
    assert_eq!(broken_by(&too_many), [Promise::RestKept]);
    let another = |evidence: &mut Evidence| {
        too_many(evidence);
        evidence.calls.last_mut().unwrap().vm = 1;
    };
    assert_eq!(broken_by(another), [], "another VM was not told");
    let frozen = |evidence: &mut Evidence| {
        too_many(evidence);
        let mut frozen = trouble(Scope::Vm(0), 10.2, 10.5);
        frozen.what = "PauseVm(0)".to_owned();
        evidence.troubles.push(frozen);
    };
    assert_eq!(broken_by(frozen), [], "a freeze excuses it");
}

#[test]
fn what_comes_after_an_answer_that_says_leaving_is_found() {
    assert_eq!(broken_by(said_and_came(None, &[10.5, 12.0])), []);
    let late = said_and_came(None, &[10.5, 12.2]);
    assert_eq!(broken_by(&late), [Promise::LeavingHeard]);
    let without_store = |evidence: &mut Evidence| {
        late(evidence);
        evidence.troubles.push(trouble(Scope::Everyone, 5.0, 15.0));
    };
    assert_eq!(
        broken_by(without_store),
        [Promise::LeavingHeard],
        "the store's trouble excuses nothing"
    );
    let restarted = |evidence: &mut Evidence| {
        late(evidence);
        evidence.calls.last_mut().unwrap().life = 2;
    };
    assert_eq!(broken_by(restarted), [], "a restart excuses it");
    let unheard = |evidence: &mut Evidence| {
        late(evidence);
        evidence.calls[0].status = 502;
    };
    assert_eq!(broken_by(unheard), [], "no answer of it was passed on");
    let mut evidence = good();
    late(&mut evidence);
    assert_eq!(summary(&evidence).sent_after_leaving, 1);
}

/// An upstream that names one request a second from second 9 on, in its answer
/// to the first good call, and so many calls of each of two VMs within two
/// seconds, of which the first alone was told.
fn limited_and_came(calls: usize) -> impl Fn(&mut Evidence) {
    move |evidence| {
        let told = evidence.runs[0].clone();
        evidence.rate_limits.push(RateLimitPeriod {
            upstream: told.upstream.clone(),
            per_s: 1.0,
            from: seconds(9.0),
            to: seconds(20.0),
        });
        evidence.rate_limit_signals.push(RateLimitSignal {
            id: told.id,
            upstream: told.upstream,
            life: told.life,
            at: told.at,
        });
        for number in 0..calls * 2 {
            let at_s = 13.5 + number as f64 / calls as f64;
            let mut later = call(&format!("l-{number}"), Kind::Read, at_s);
            later.vm = number % 2;
            evidence.runs.push(run_of(&later));
            evidence.calls.push(later);
        }
    }
}

#[test]
fn what_comes_beyond_a_rate_limit_is_found() {
    assert_eq!(broken_by(limited_and_came(11)), []);
    let too_many = limited_and_came(12);
    assert_eq!(broken_by(&too_many), [Promise::LimitKept]);
    let mut evidence = good();
    too_many(&mut evidence);
    assert_eq!(sent_past_limit(&evidence), 1);
    let other_told = |evidence: &mut Evidence| {
        limited_and_came(6)(evidence);
        let mut said = evidence.rate_limit_signals[0].clone();
        said.id = "c-1".to_owned();
        evidence.calls[1].vm = 1;
        evidence.rate_limit_signals.push(said);
    };
    assert_eq!(broken_by(other_told), [Promise::LimitKept], "both together");
    let restarted = |evidence: &mut Evidence| {
        too_many(evidence);
        for call in evidence.calls.iter_mut().skip(4) {
            call.life = 2;
        }
    };
    assert_eq!(broken_by(restarted), [], "a restart excuses it");
    let frozen = |evidence: &mut Evidence| {
        too_many(evidence);
        let mut frozen = trouble(Scope::Vm(0), 11.0, 13.4);
        frozen.what = "PauseVm(0)".to_owned();
        evidence.troubles.push(frozen);
    };
    assert_eq!(broken_by(frozen), [], "a freeze excuses it");
}

/// A VM that starts again goes on sending a request that the others hold back.
#[test]
fn seed_97019_sends_no_crashing_request_after_a_restart() {
    let soak = Soak {
        seed: 97019,
        seeds: 1,
        seconds: SECONDS,
        vms: 6,
        callers: 24,
        logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
    };
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let outcome = soak.run_seed(97019, program).expect("a run");
    assert!(outcome.violations.is_empty(), "{outcome:#?}");
}
