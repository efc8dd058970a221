//! Runs the soak briefly with fixed seeds, and checks that its checker reports
//! each promise that is broken, and nothing that is allowed.

use std::{path::PathBuf, time::Duration};

use standins::{
    gateway_site::KEY,
    soak::{
        Soak,
        check::{Promise, check},
        crashing,
        evidence::{Call, Change, Evidence, Kind, Order, Run, Scope, Trouble},
        load::{self, Load, Overfill},
        older_copies::has_returns,
        preferences::{Preference, has_preferences},
        quiet_leaves::has_quiet_leaves,
        rate_limits::{RateLimitPeriod, RateLimitSignal, sent_past_limit},
        signals::{UpstreamSignal, summary},
        unruly::{MAX_OPEN_FILES, MEMORY_MB, MostHeld, has_crowds},
        upstreams::UNREADABLE,
    },
};

/// Seeds that are always run. Each seed that ever failed is added, with its
/// cause.
///
/// * 33: the store comes back from older copies, and the load balancer prefers
///   one VM.
/// * 30201: an upstream leaves in the first second of a site, while each VM
///   expects the others to follow the store.
const SEEDS: [u64; 4] = [1, 2, 33, 30201];

/// Time for which faults are injected with each seed, in seconds.
const SECONDS: u64 = 8;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns a successful call of this kind to VM 0.
fn call(id: &str, kind: Kind, sent_s: f64) -> Call {
    Call {
        id: id.to_owned(),
        kind,
        vm: 0,
        life: 1,
        key: KEY.to_owned(),
        path: kind.path(id),
        session: None,
        sent_at: seconds(sent_s),
        ended_at: seconds(sent_s + 0.1),
        status: 200,
        is_whole: true,
        is_own: true,
        is_held_back: false,
    }
}

/// Returns the run of a call at upstream `i-1`.
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

/// Returns evidence that breaks no promise: one successful call of each of
/// four kinds.
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

/// Returns the promises that the checker reports as broken, each once.
fn broken(evidence: &Evidence) -> Vec<Promise> {
    let mut found: Vec<Promise> =
        check(evidence).into_iter().map(|v| v.promise).collect();
    found.sort();
    found.dedup();
    found
}

/// Returns the promises that are broken once `change` was applied to good
/// evidence.
fn broken_by(change: impl FnOnce(&mut Evidence)) -> Vec<Promise> {
    let mut evidence = good();
    assert_eq!(broken(&evidence), Vec::new());
    change(&mut evidence);
    broken(&evidence)
}

/// Returns a period of trouble.
fn trouble(scope: Scope, from_s: f64, to_s: f64) -> Trouble {
    let what = "test".to_owned();
    Trouble { from: seconds(from_s), to: seconds(to_s), scope, what }
}

#[test]
fn a_second_run_of_a_non_idempotent_request_is_found() {
    let with_second_run =
        |at: usize| broken_by(|e| e.runs.push(e.runs[at].clone()));
    assert_eq!(with_second_run(0), [], "may be repeated");
    assert_eq!(with_second_run(1), [Promise::AtMostOnce]);
    // The caller was rejected and sent its request again.
    let returned = broken_by(|e| {
        let again = Call {
            path: e.calls[1].path.clone(),
            ..call("c-9", Kind::Once, 10.5)
        };
        e.runs.push(Run { path: again.path.clone(), ..run_of(&again) });
        e.calls.push(again);
    });
    assert_eq!(returned, [Promise::AtMostOnce]);
}

#[test]
fn a_rejection_as_not_run_despite_a_run_is_found() {
    for status in [408, 421, 429, 503] {
        let found = broken_by(|e| e.calls[0].status = status);
        assert_eq!(found, [Promise::TrueRefusal], "{status}");
    }
    let after_a_run = broken_by(|e| e.calls[0].status = 502);
    assert_eq!(
        after_a_run,
        [],
        "502 does not say that the request was not run"
    );
}

#[test]
fn a_response_to_another_request_is_found() {
    assert_eq!(broken_by(|e| e.calls[2].is_own = false), [Promise::OwnAnswer]);
    let visibly_cut = broken_by(|e| {
        e.calls[2].is_own = false;
        e.calls[2].is_whole = false;
    });
    assert_eq!(visibly_cut, []);
}

#[test]
fn a_changed_or_unknown_request_is_found() {
    let path = broken_by(|e| e.runs[0].path.push('x'));
    let invented = broken_by(|e| e.runs[0].id = "c-9".to_owned());
    let organisation = broken_by(|e| e.runs[0].organisation.clear());
    for found in [path, invented, organisation] {
        assert_eq!(found, [Promise::AsSent]);
    }
}

#[test]
fn a_run_under_a_removed_key_is_found_even_during_trouble() {
    let sent_after = |removed_s: f64| {
        broken_by(|e| {
            e.calls[0].key = "old".to_owned();
            let change = Change::KeyRemoved("old".to_owned());
            e.changes.push((seconds(removed_s), change));
            e.troubles.push(trouble(Scope::Everyone, 0.0, 20.0));
        })
    };
    assert_eq!(sent_after(5.1), [], "within the time limit");
    assert_eq!(sent_after(4.9), [Promise::RevokedKey]);
}

#[test]
fn a_denial_of_an_allowed_request_is_found() {
    for status in [400, 401, 403, 404] {
        let found = broken_by(|e| e.calls[0].status = status);
        assert_eq!(found, [Promise::NotDenied], "{status}");
    }
}

#[test]
fn a_late_configuration_is_found_at_vms_without_trouble() {
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
fn a_return_to_an_older_configuration_is_found() {
    let route_lost_in = |incarnation: u32| {
        broken_by(|e| {
            let mut lost = call("c-9", Kind::Probe(1), 11.0);
            lost.status = 404;
            lost.life = incarnation;
            e.calls.push(lost);
        })
    };
    assert_eq!(route_lost_in(1), [Promise::Configuration]);
    assert_eq!(
        route_lost_in(2),
        [],
        "a later incarnation reads the configuration again"
    );
}

#[test]
fn a_request_to_a_leaving_upstream_is_found() {
    let left = |e: &mut Evidence| {
        let change = Change::Leaving("i-1".to_owned());
        e.changes.push((seconds(7.5), change));
    };
    assert_eq!(broken_by(left), [Promise::LeftAlone]);
    let in_vm_trouble = broken_by(|e| {
        left(e);
        e.troubles.push(trouble(Scope::Vm(0), 6.0, 9.0));
    });
    assert_eq!(in_vm_trouble, []);
}

#[test]
fn a_request_to_a_reverted_version_is_found() {
    let found = broken_by(|e| {
        let change = Change::Reverted("v1".to_owned());
        e.changes.push((seconds(7.5), change));
    });
    assert_eq!(found, [Promise::Withdrawn]);
}

#[test]
fn a_request_cut_off_by_a_graceful_shutdown_is_found() {
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

/// Returns the order of a rollout of `v2` within ten seconds.
fn ordered(at_s: f64, is_bad: bool) -> (Duration, Change) {
    let software = "v2".to_owned();
    let allowed = seconds(10.0);
    (seconds(at_s), Change::Ordered(Order { software, allowed, is_bad }))
}

/// Adds two calls for each of four sessions. The second calls are sent at
/// `again_s` and run at version `software`.
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
fn sessions_that_move_to_the_new_version_are_found() {
    let moved = |ordered_s: f64, again_s: f64| {
        broken_by(|e| {
            e.changes.push(ordered(ordered_s, false));
            sessions(e, "v2", again_s);
        })
    };
    assert_eq!(moved(9.0, 12.0), [Promise::SessionVersion]);
    assert_eq!(moved(6.5, 12.0), [], "in the second half of the rollout");
    assert_eq!(
        moved(9.0, 15.5),
        [],
        "the session has timed out and is a new one"
    );
    let three = broken_by(|e| {
        e.changes.push(ordered(9.0, false));
        sessions(e, "v2", 12.0);
        e.runs.pop();
    });
    assert_eq!(three, [], "three moved sessions are tolerated");
    let in_trouble = broken_by(|e| {
        e.changes.push(ordered(9.0, false));
        sessions(e, "v2", 12.0);
        e.troubles.push(trouble(Scope::Vm(0), 10.5, 11.0));
    });
    assert_eq!(in_trouble, []);
}

#[test]
fn sessions_that_move_back_from_a_good_version_are_found() {
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
fn a_bad_version_with_too_large_a_share_of_requests_is_found() {
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
fn retries_beyond_the_retry_budget_are_found() {
    let with = |again: usize| {
        broken_by(|e| {
            let call = call("r-1", Kind::Read, 10.0);
            let run = run_of(&call);
            e.runs.push(run.clone());
            e.calls.push(call);
            // Declined attempts count as well.
            e.declined.extend(vec![run; again]);
        })
    };
    // The budget is 0.3 per request, for four requests, plus 20.
    assert_eq!(with(21), []);
    assert_eq!(with(22), [Promise::RetryBudget]);
}

#[test]
fn a_request_to_an_upstream_with_a_malformed_record_is_found() {
    let found = broken_by(|e| e.runs[0].upstream = UNREADABLE.to_owned());
    assert_eq!(found, [Promise::Unreadable]);
}

#[test]
fn a_crashing_request_that_is_sent_on_is_found() {
    // Each run is at another incarnation: `crashes` runs from 10 s on, 0.1 s
    // apart, and `later` ones from 14 s on, half a second apart.
    let with = |later: usize, crashes: u64| {
        broken_by(|e| {
            for number in 0..crashes + later as u64 {
                let is_early = number < crashes;
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
    assert_eq!(with(4, 2), [], "the third crash is late");
    let one_incarnation = broken_by(|e| {
        for number in 0..9 {
            let id = format!("d-{number}");
            let call = call(&id, Kind::Deadly(1), 10.0 + number as f64);
            e.runs.push(run_of(&call));
            e.calls.push(call);
        }
    });
    assert_eq!(one_incarnation, [], "one incarnation crashes once");
}

#[test]
fn a_quarantined_request_that_crashes_nothing_is_found() {
    let quarantined = broken_by(|e| e.calls[0].is_held_back = true);
    assert_eq!(quarantined, [Promise::OthersTaken]);
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
        let outcome = soak.run_seed(seed, program).expect("the soak runs");
        assert!(outcome.faults > 0 && outcome.served > 0, "{outcome:?}");
        assert!(outcome.violations.is_empty(), "{outcome:#?}");
    }
}

/// Adds a signal in the response to the first good call, which asks for a
/// backoff if `backoff_s` is given and else says that the upstream is leaving,
/// and later requests of the same VM to the same upstream at `sent_s`.
fn signal_and_later_calls(
    backoff_s: Option<f64>,
    sent_s: &[f64],
) -> impl Fn(&mut Evidence) {
    let sent_s = sent_s.to_vec();
    move |evidence| {
        let signalled = evidence.runs[0].clone();
        evidence.signals.push(UpstreamSignal {
            id: signalled.id,
            upstream: signalled.upstream,
            life: signalled.life,
            at: signalled.at,
            rest: backoff_s.map(seconds),
        });
        for (number, sent_s) in sent_s.iter().enumerate() {
            let id = format!("l-{number}");
            let later = call(&id, Kind::Read, *sent_s);
            evidence.runs.push(run_of(&later));
            evidence.calls.push(later);
        }
    }
}

#[test]
fn requests_during_a_backoff_are_found() {
    let in_time =
        signal_and_later_calls(Some(3.0), &[10.2, 10.4, 11.0, 12.0, 13.5]);
    assert_eq!(broken_by(in_time), []);
    let in_backoff = [10.6, 11.0, 12.9];
    let too_many = signal_and_later_calls(Some(3.0), &in_backoff);
    assert_eq!(broken_by(&too_many), [Promise::RestKept]);
    let another = |evidence: &mut Evidence| {
        too_many(evidence);
        evidence.calls.last_mut().unwrap().vm = 1;
    };
    assert_eq!(broken_by(another), [], "another VM did not get the signal");
    let paused = |evidence: &mut Evidence| {
        too_many(evidence);
        let mut paused = trouble(Scope::Vm(0), 10.2, 10.5);
        paused.what = "PauseVm(0)".to_owned();
        evidence.troubles.push(paused);
    };
    assert_eq!(broken_by(paused), [], "a paused VM is excused");
}

#[test]
fn requests_after_a_leaving_signal_are_found() {
    assert_eq!(broken_by(signal_and_later_calls(None, &[10.5, 12.0])), []);
    let late = signal_and_later_calls(None, &[10.5, 12.2]);
    assert_eq!(broken_by(&late), [Promise::LeavingHeard]);
    let without_store = |evidence: &mut Evidence| {
        late(evidence);
        evidence.troubles.push(trouble(Scope::Everyone, 5.0, 15.0));
    };
    assert_eq!(
        broken_by(without_store),
        [Promise::LeavingHeard],
        "a store outage is no excuse"
    );
    let restarted = |evidence: &mut Evidence| {
        late(evidence);
        evidence.calls.last_mut().unwrap().life = 2;
    };
    assert_eq!(broken_by(restarted), [], "a restarted VM is excused");
    let not_received = |evidence: &mut Evidence| {
        late(evidence);
        evidence.calls[0].status = 502;
    };
    assert_eq!(
        broken_by(not_received),
        [],
        "the VM got no response with the signal"
    );
    let mut evidence = good();
    late(&mut evidence);
    assert_eq!(summary(&evidence).sent_after_leaving, 1);
}

/// Adds an upstream that states a rate limit of one request per second from
/// second 9 on, in its response to the first good call, and `calls` later
/// calls of each of two VMs within two seconds. Only VM 0 got the signal.
fn rate_limit_and_calls(calls: usize) -> impl Fn(&mut Evidence) {
    move |evidence| {
        let signalled = evidence.runs[0].clone();
        evidence.rate_limits.push(RateLimitPeriod {
            upstream: signalled.upstream.clone(),
            per_s: 1.0,
            from: seconds(9.0),
            to: seconds(20.0),
        });
        evidence.rate_limit_signals.push(RateLimitSignal {
            id: signalled.id,
            upstream: signalled.upstream,
            life: signalled.life,
            at: signalled.at,
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
fn requests_beyond_a_rate_limit_are_found() {
    assert_eq!(broken_by(rate_limit_and_calls(11)), []);
    let too_many = rate_limit_and_calls(12);
    assert_eq!(broken_by(&too_many), [Promise::LimitKept]);
    let mut evidence = good();
    too_many(&mut evidence);
    assert_eq!(sent_past_limit(&evidence), 1);
    let both_signalled = |evidence: &mut Evidence| {
        rate_limit_and_calls(6)(evidence);
        let mut signal = evidence.rate_limit_signals[0].clone();
        signal.id = "c-1".to_owned();
        evidence.calls[1].vm = 1;
        evidence.rate_limit_signals.push(signal);
    };
    assert_eq!(
        broken_by(both_signalled),
        [Promise::LimitKept],
        "the limit applies to both VMs together"
    );
    let restarted = |evidence: &mut Evidence| {
        too_many(evidence);
        for call in evidence.calls.iter_mut().skip(4) {
            call.life = 2;
        }
    };
    assert_eq!(broken_by(restarted), [], "a restarted VM is excused");
    let paused = |evidence: &mut Evidence| {
        too_many(evidence);
        let mut paused = trouble(Scope::Vm(0), 11.0, 13.4);
        paused.what = "PauseVm(0)".to_owned();
        evidence.troubles.push(paused);
    };
    assert_eq!(broken_by(paused), [], "a paused VM is excused");
}

#[test]
fn some_seed_sends_crashing_requests_that_share_only_a_segment() {
    let numbers = SEEDS.iter().flat_map(|seed| crashing::numbers(*seed));
    assert!(numbers.filter_map(crashing::crashing_segment).count() > 0);
}

/// Adds a plain request that no upstream got, with status 503 after this time.
fn rejection_after(took_s: f64) -> impl Fn(&mut Evidence) {
    move |evidence| {
        let mut rejected = call("c-9", Kind::Once, 10.0);
        rejected.status = 503;
        rejected.ended_at = rejected.sent_at + seconds(took_s);
        evidence.calls.push(rejected);
    }
}

#[test]
fn a_request_that_is_held_until_its_deadline_is_found() {
    assert_eq!(broken_by(rejection_after(0.94)), []);
    let held = rejection_after(0.95);
    assert_eq!(broken_by(&held), [Promise::EarlyRejection]);
    let sent = broken_by(|e| {
        held(e);
        e.declined.push(run_of(&e.calls[4]));
    });
    assert_eq!(sent, [], "an upstream got it");
    let in_trouble = broken_by(|e| {
        held(e);
        e.troubles.push(trouble(Scope::Upstreams, 8.0, 9.0));
    });
    assert_eq!(in_trouble, []);
}

/// Adds a burst in which the first organisation is served this many times, and
/// each of the others a hundred times.
fn burst(served: usize) -> impl Fn(&mut Evidence) {
    move |evidence| {
        evidence.has_overload = true;
        evidence.coordinated.push((seconds(9.0), Duration::MAX));
        // Two of the good calls are plain calls of the first organisation.
        for number in 2..served + 300 {
            let mut call = call(&format!("b-{number}"), Kind::Read, 10.0);
            if number >= served {
                call.key = Load::draw(4).key(number as u64 % 3 + 1, 12);
            }
            evidence.runs.push(run_of(&call));
            let run = evidence.runs.last_mut().expect("a run");
            run.organisation = load::organisation(&call.key).to_owned();
            evidence.calls.push(call);
        }
    }
}

#[test]
fn an_organisation_that_is_starved_is_found() {
    assert_eq!(broken_by(burst(20)), []);
    let starved = burst(19);
    assert_eq!(broken_by(&starved), [Promise::FairShare]);
    let excused: [fn(&mut Evidence); 4] = [
        |e| e.has_overload = false,
        |e| e.coordinated.clear(),
        |e| e.coordinated[0].1 = seconds(10.0),
        |e| e.troubles.push(trouble(Scope::Vm(1), 7.5, 8.0)),
    ];
    for excuse in excused {
        let found = broken_by(|e| {
            starved(e);
            excuse(e);
        });
        assert_eq!(found, []);
    }
}

#[test]
fn an_upstream_with_too_many_requests_is_found() {
    let overfilled_in = |scopes: &[Scope]| {
        broken_by(|e| {
            let (upstream, at) = ("i-1".to_owned(), seconds(10.0));
            e.overfills.push(Overfill { upstream, at, held: 3 });
            e.coordinated.push((seconds(9.0), Duration::MAX));
            let troubles = scopes.iter().map(|s| trouble(*s, 8.0, 9.0));
            e.troubles.extend(troubles);
        })
    };
    let two_coordinators = [Scope::Vm(0), Scope::PlannedStop(0)];
    assert_eq!(overfilled_in(&[]), [Promise::Overfill]);
    assert_eq!(overfilled_in(&two_coordinators), [Promise::Overfill]);
    assert_eq!(overfilled_in(&[Scope::Vm(0), Scope::Vm(1)]), []);
    assert_eq!(overfilled_in(&[Scope::Everyone]), []);
    assert_eq!(overfilled_in(&[Scope::Upstreams]), []);
    assert_eq!([1, 2, 6, 12].map(load::most_held), [2, 4, 14, 28]);
}

#[test]
fn slots_are_coordinated_while_every_vm_says_so() {
    let changes = [
        (4, 0, false),
        (1, 0, true),
        (2, 1, true),
        (5, 0, true),
        (9, 0, false),
    ];
    let changes =
        changes.map(|(at_s, vm, is)| (Duration::from_secs(at_s), vm, is));
    let periods = load::coordinated_periods(changes.to_vec(), 2, seconds(8.0));
    let expected =
        [(seconds(2.0), seconds(4.0)), (seconds(5.0), seconds(8.0))];
    assert_eq!(periods, expected);
}

/// Guards against seeds that no longer find what they found, and against a
/// test without load that exceeds the slots.
#[test]
fn only_seeds_that_are_multiples_of_four_exceed_the_slots() {
    for seed in [1, 2, 30201, 97019] {
        let load = Load::draw(seed);
        assert!(load.slots.is_none() && !load.has_overload, "{load:?}");
        assert_eq!(load.key(3, 12), KEY);
        assert_eq!(load.extra_callers(12), 0);
    }
    let load = Load::draw(4);
    assert_eq!((load.slots, load.extra_callers(12)), (Some(1), 18));
    assert!(load.is_uneven);
}

/// Guards against seeds that no longer find what they found.
#[test]
fn only_some_seeds_have_older_copies_and_preferences() {
    for seed in [1, 2, 4, 6320, 30201, 97019] {
        assert!(!has_returns(seed) && !has_preferences(seed), "{seed}");
    }
    assert!(has_returns(33) && has_preferences(33));
}

/// Guards against fixed seeds with which no upstream leaves while the VMs that
/// follow the store are lost.
#[test]
fn some_fixed_seed_has_quiet_leaves() {
    assert!(SEEDS.into_iter().any(has_quiet_leaves));
}

/// Guards against fixed seeds without callers that stop short.
#[test]
fn some_fixed_seed_has_unruly_callers() {
    assert!(SEEDS.into_iter().any(has_crowds));
}

#[test]
fn a_vm_that_holds_more_than_its_settings_allow_is_found() {
    let with = |memory_bytes, descriptors| {
        broken_by(|e| e.most_held = MostHeld { memory_bytes, descriptors })
    };
    let (most_bytes, most) =
        (u64::from(MEMORY_MB) << 20, u64::from(MAX_OPEN_FILES));
    assert_eq!(with(most_bytes, most), []);
    assert_eq!(with(most_bytes + 1, 0), [Promise::WithinSettings]);
    assert_eq!(with(0, most + 1), [Promise::WithinSettings]);
}

#[test]
fn a_preferred_vm_that_serves_few_of_its_callers_is_found() {
    let with = |served: usize, is_disturbed: bool| {
        broken_by(|e| {
            let (from, to) = (seconds(20.0), seconds(26.0));
            e.preferences.push(Preference { vm: 1, from, to });
            if is_disturbed {
                e.troubles.push(trouble(Scope::Vm(1), 24.0, 25.0));
            }
            for number in 0..40 {
                let id = format!("own-{number}");
                let status = if number < served { 200 } else { 502 };
                let own = call(&id, Kind::Read, 24.0);
                e.calls.push(Call { vm: 1, status, ..own });
                let id = format!("other-{number}");
                e.calls.push(call(&id, Kind::Read, 24.0));
            }
        })
    };
    assert_eq!(with(29, false), [Promise::Preferred]);
    assert_eq!(with(30, false), []);
    assert_eq!(with(0, true), []);
}

/// Guards against a restarted VM that sends a request which the other VMs have
/// quarantined.
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
    let outcome = soak.run_seed(97019, program).expect("the soak runs");
    assert!(outcome.violations.is_empty(), "{outcome:#?}");
}

/// Guards against load that exceeds the slots: few slots, uneven upstreams and
/// one overloading organisation.
#[test]
fn seed_4_keeps_the_promises_under_load_that_exceeds_the_slots() {
    let soak = Soak {
        seed: 4,
        seeds: 1,
        seconds: SECONDS,
        vms: 5,
        callers: 12,
        logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
    };
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let outcome = soak.run_seed(4, program).expect("the soak runs");
    assert!(outcome.faults > 0 && outcome.served > 0, "{outcome:?}");
    assert!(outcome.violations.is_empty(), "{outcome:#?}");
}
