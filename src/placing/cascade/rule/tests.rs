use super::*;
use crate::{
    id::Incarnation,
    placing::cascade::{
        EscalationInput, calibration::ReportId,
        confidence_curve::ConfidenceCurve, escalation_target, test_site,
    },
    store_sync::route::Repeat,
    unit::Percent,
};

/// One request, and the state of the site.
struct Case {
    priority: u8,
    prompt_tokens: u64,
    output_tokens: u64,
    target: Duration,
    deadline: Duration,
    utilization: f64,
    /// Mean prefill backlog of the engines.
    backlog: Duration,
    delay: Delay,
    times: PrefillTimes,
    calibration: Calibration,
    now: BootInstant,
    middle_cost: Option<f64>,
    repeat: Repeat,
}

impl Default for Case {
    /// Returns a short urgent request on unloaded engines.
    fn default() -> Case {
        Case {
            priority: 0,
            prompt_tokens: 600,
            output_tokens: 286,
            target: Duration::from_secs(2),
            deadline: Duration::from_secs(20),
            utilization: 0.3,
            backlog: Duration::ZERO,
            delay: Delay { passed: Duration::ZERO, waiting: Duration::ZERO },
            times: test_site::learned_times(),
            calibration: Calibration::default(),
            now: BootInstant::now(),
            middle_cost: None,
            repeat: Repeat::Any,
        }
    }
}

impl Case {
    fn route(&self) -> Route {
        Route {
            latency_target: self.target,
            repeat: self.repeat,
            ..test_site::route()
        }
    }

    fn with_rule<T>(&self, decide: impl FnOnce(CascadeRule<'_>) -> T) -> T {
        let (route, mut engine) = (self.route(), test_site::engine());
        if let Some(cost) = self.middle_cost {
            let cost = crate::unit::TokenCost::per_thousand(cost);
            engine.models[1].cost = cost.unwrap();
        }
        let costs = ModelCosts::of_request(
            &route,
            &engine,
            self.prompt_tokens,
            self.output_tokens,
        );
        decide(CascadeRule {
            route: &route,
            costs: costs.unwrap(),
            poor_share: test_site::poor_shares().of(self.priority),
            punctuality: Punctuality {
                target: self.target,
                deadline: self.deadline,
            },
            prompt_tokens: self.prompt_tokens,
            pressure: EnginePressure::new(
                self.utilization,
                self.backlog,
                self.target,
            ),
            calibration: &self.calibration,
            times: &self.times,
            now: self.now,
        })
    }

    /// The decision about an answer of the smallest model.
    fn decide(&self, confidence: u8) -> Result<String, NoEscalation> {
        let answer = rated("small", confidence);
        let escalation =
            self.with_rule(|rule| rule.escalation(&answer, self.delay, true));
        escalation.decision.map(|model| model.to_string())
    }

    /// The decision of the rule without costs about the same answer.
    fn decide_without_costs(
        &self,
        confidence: u8,
    ) -> Result<String, NoEscalation> {
        let route = self.route();
        let now = BootInstant::now();
        let answer = rated("small", confidence);
        let input = EscalationInput {
            route: &route,
            model: &answer.model,
            confidence: answer.confidence,
            started_at: now,
            has_attempt: true,
            tokens: self.prompt_tokens,
        };
        let at = now + self.delay.passed;
        let target =
            escalation_target(&input, &self.times, self.delay.waiting, at);
        target.map(|model| model.to_string())
    }

    fn first_model(&self) -> String {
        let waiting = self.delay.waiting;
        let model = self.with_rule(|rule| rule.first_model(waiting));
        model.unwrap().model.to_string()
    }
}

fn rated(model: &str, confidence: u8) -> RatedAnswer {
    RatedAnswer::new(
        model.parse().unwrap(),
        Percent::new(confidence).unwrap(),
        &ConfidenceCurve::default(),
    )
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn large() -> Result<String, NoEscalation> {
    Ok("large".to_owned())
}

/// Guards against one threshold for all requests: callers who accept one poor
/// answer in ten get one in three.
#[test]
fn a_short_urgent_answer_is_escalated_at_a_middling_confidence() {
    let case = Case::default();
    for confidence in [55, 65, 80] {
        assert_eq!(case.decide(confidence), large(), "{confidence}");
        let before = case.decide_without_costs(confidence);
        assert_eq!(before, Err(NoEscalation::Confident), "{confidence}");
    }
    assert_eq!(case.decide(95), Err(NoEscalation::Price));
    assert_eq!(case.decide(100), Err(NoEscalation::Confident));
}

/// Guards against paying for thousands of prompt tokens again, and taking them
/// from requests that wait, for a short output of little value.
#[test]
fn a_least_urgent_answer_is_not_escalated_on_busy_engines() {
    let case = Case {
        priority: 2,
        prompt_tokens: 2400,
        output_tokens: 26,
        backlog: ms(2200),
        ..Case::default()
    };
    for confidence in [20, 35, 45] {
        let before = case.decide_without_costs(confidence);
        assert_eq!(before, large(), "{confidence}");
        let kept = Err(NoEscalation::Room);
        assert_eq!(case.decide(confidence), kept, "{confidence}");
    }
    let unloaded = Case { backlog: Duration::ZERO, ..case };
    assert_eq!(unloaded.decide(60), Err(NoEscalation::Price));
}

/// Guards against a load of larger answers on engines that have no room, and
/// against saving on engines that have.
#[test]
fn full_engines_raise_the_threshold_and_unloaded_ones_do_not() {
    let threshold = |priority, utilization| {
        let case = Case { priority, utilization, ..Case::default() };
        (0..=100).rev().find(|confidence| case.decide(*confidence).is_ok())
    };
    for priority in [0, 1, 2] {
        let thresholds =
            [0.0, 0.75, 0.9, 1.0].map(|used| threshold(priority, used));
        assert_eq!(
            thresholds[0], thresholds[1],
            "priority {priority}: {thresholds:?}"
        );
        assert!(
            thresholds[2] < thresholds[1],
            "priority {priority}: {thresholds:?}"
        );
        let is_lower =
            thresholds[3] < thresholds[2] || thresholds[2].is_none();
        assert!(is_lower, "priority {priority}: {thresholds:?}");
        // Without costs, the threshold is 49, whatever the load is.
        assert!(
            thresholds[0] >= Some(49),
            "priority {priority}: {thresholds:?}"
        );
        assert!(
            thresholds[3] < Some(49),
            "priority {priority}: {thresholds:?}"
        );
    }
    // An unloaded engine's threshold is the accepted share, and what the
    // largest model answers poorly itself.
    for (priority, share) in [(0, 10), (1, 15), (2, 45)] {
        let unloaded = threshold(priority, 0.0).unwrap();
        assert!((97 - share..=98 - share).contains(&unloaded), "{unloaded}");
    }
    let case = Case { utilization: 1.0, ..Case::default() };
    assert_eq!(case.decide(60), Err(NoEscalation::Room));
    assert_eq!(case.decide_without_costs(45), large());
    assert_eq!(threshold(2, 1.0), None);
}

/// Guards against an answer in time that is dropped for one that is late.
#[test]
fn an_answer_that_would_be_late_must_gain_more() {
    let late = Case { target: ms(600), ..Case::default() };
    let at = |waiting_ms| Case {
        delay: Delay { passed: ms(20), waiting: ms(waiting_ms) },
        target: late.target,
        ..Case::default()
    };
    assert_eq!(at(0).decide(60), large());
    assert_eq!(at(500).decide(60), Err(NoEscalation::NoTime));
    assert_eq!(at(600).decide(50), Err(NoEscalation::NoTime));
    assert_eq!(at(20_000).decide(0), Err(NoEscalation::NoTime));
}

/// Guards against keeping a poor answer to spare a delay that cannot be
/// spared any more.
#[test]
fn an_answer_that_is_late_itself_is_escalated_if_little_more_is_lost() {
    let case = Case {
        target: ms(1000),
        delay: Delay { passed: ms(1100), waiting: Duration::ZERO },
        ..Case::default()
    };
    assert_eq!(case.decide(30), large());
    let before = case.decide_without_costs(30);
    assert_eq!(before, Err(NoEscalation::NoTime));
}

/// Guards against a route whose largest model is asked although the middle one
/// costs a fraction and answers most requests.
#[test]
fn the_middle_model_is_asked_where_it_is_the_better_value() {
    let middle = Ok("middle".to_owned());
    let cheap = Case { middle_cost: Some(0.03), ..Case::default() };
    assert_eq!(cheap.decide(85), middle);
    assert_eq!(cheap.decide_without_costs(85), Err(NoEscalation::Confident));
    assert_eq!(cheap.decide(10), large(), "worth the largest model");
    // The largest model reads this prompt until after the target.
    let long = Case {
        prompt_tokens: 12_000,
        output_tokens: 380,
        target: ms(500),
        delay: Delay { passed: ms(70), waiting: Duration::ZERO },
        ..Case::default()
    };
    assert_eq!(long.decide(35), middle);
    assert_eq!(long.decide_without_costs(35), Err(NoEscalation::NoTime));
}

/// Guards against asking a middle model that turns out to be as unsure as the
/// smallest one.
#[test]
fn a_middle_model_that_adds_little_is_asked_less() {
    let threshold = |case: &Case| {
        let is_middle = |c: &u8| case.decide(*c) == Ok("middle".to_owned());
        (0..=100).rev().filter(is_middle).count()
    };
    let case = Case { middle_cost: Some(0.03), ..Case::default() };
    let before = threshold(&case);
    for confidence in (0..100).chain(0..100) {
        let middle = rated("middle", confidence);
        let small = rated("small", confidence);
        case.calibration.record(&middle, Some(&small), case.now);
    }
    assert!(threshold(&case) < before, "{} from {before}", threshold(&case));
}

/// Guards against three prefills for one answer: a middle model that has
/// always been as unsure as the smallest one is not asked.
#[test]
fn a_middle_model_that_is_always_as_unsure_is_not_asked() {
    // The largest model reads this prompt until after the target.
    let long = || Case {
        prompt_tokens: 12_000,
        output_tokens: 380,
        target: ms(500),
        delay: Delay { passed: ms(70), waiting: Duration::ZERO },
        ..Case::default()
    };
    // How often the middle model is asked at 30 confidences, and how often the
    // largest one after that.
    let asked = |own_samples: usize, vms: u32| {
        let (case, source) = (long(), Calibration::default());
        for confidence in 0..30 {
            let (small, middle) =
                (rated("small", confidence), rated("middle", confidence));
            for _ in 0..own_samples / 10 {
                case.calibration.record(&middle, Some(&small), case.now);
            }
            for _ in 0..10 {
                source.record(&middle, Some(&small), case.now);
            }
        }
        for vm in 0..vms {
            let vm = format!("vm-{vm}");
            let id = ReportId { incarnation: Incarnation(1), number: 1 };
            let reports = source.reports(case.now);
            case.calibration.merge_peer_doubts(&vm, id, &reports, case.now);
        }
        let middle = Ok("middle".to_owned());
        let by_middle: Vec<u8> =
            (0..30).filter(|c| case.decide(*c) == middle).collect();
        let passed = case.delay.passed + test_site::prefill(1, 12_000);
        let delay = Delay { passed, ..case.delay };
        let by_all = by_middle.iter().filter(|confidence| {
            let answer = rated("middle", **confidence);
            case.with_rule(|rule| rule.escalation(&answer, delay, true))
                .decision
                .is_ok()
        });
        (by_middle.len(), by_all.count())
    };
    let figures =
        [(0, 0), (20, 0), (50, 0), (100, 0), (100, 3), (100, 20), (0, 20)]
            .map(|(own, vms)| (own, vms, asked(own, vms)));
    println!("own samples, VMs that report, (by middle, by all): {figures:?}");
    assert_eq!(asked(0, 0).0, 30, "the prior");
    assert!(asked(100, 0).0 < asked(20, 0).0);
    assert_eq!(asked(0, 20), (0, 0));
}

/// Guards against the price of the largest model where the middle one has
/// answered as well.
#[test]
fn a_middle_model_that_leaves_little_doubt_replaces_the_largest() {
    let case = Case::default();
    assert_eq!(case.decide(5), large());
    for _ in 0..400 {
        let small = rated("small", 5);
        case.calibration.record(&rated("middle", 99), Some(&small), case.now);
    }
    assert_eq!(case.decide(5), Ok("middle".to_owned()));
}

/// Prints what a decision costs while 300 VMs report; guards against one that
/// adds up all reports.
#[test]
fn a_decision_with_the_reports_of_300_vms() {
    let case = Case::default();
    let source = Calibration::default();
    for confidence in 0..100 {
        for (smaller, larger) in
            [("small", "middle"), ("small", "large"), ("middle", "large")]
        {
            let small = rated(smaller, confidence);
            source.record(&rated(larger, 90), Some(&small), case.now);
        }
    }
    let reports = source.reports(case.now);
    let answers: Vec<RatedAnswer> =
        (0..100).map(|confidence| rated("small", confidence)).collect();
    let decide_ns = || {
        case.with_rule(|rule| {
            let started_at = BootInstant::now();
            for answer in answers.iter().cycle().take(2_000) {
                let escalation = rule.escalation(answer, case.delay, true);
                std::hint::black_box(escalation.decision.is_ok());
            }
            (BootInstant::now() - started_at).as_nanos() / 2_000
        })
    };
    let alone_ns = decide_ns();
    let id = ReportId { incarnation: Incarnation(1), number: 1 };
    let started_at = BootInstant::now();
    for vm in 0..300 {
        let vm = format!("vm-{vm}");
        case.calibration.merge_peer_doubts(&vm, id, &reports, case.now);
    }
    let merge_ns = (BootInstant::now() - started_at).as_nanos() / 300;
    let pooled_ns = decide_ns();
    println!(
        "a decision takes {alone_ns} ns without reports and {pooled_ns} ns \
         with 300; merging one of {} entries takes {merge_ns} ns",
        reports.len()
    );
    let small = &"small".parse().unwrap();
    let learned = case.calibration.learned_doubts(
        small,
        &"large".parse().unwrap(),
        case.now,
    );
    assert!(learned.iter().all(|learned| learned.samples == 3_000));
    assert_eq!(learned.len(), 10);
}

/// Guards against two models in sequence that read a long prompt until after
/// the target.
#[test]
fn a_long_prompt_starts_with_a_model_that_can_end_in_time() {
    let target = ms(600);
    let long = |priority| Case {
        priority,
        prompt_tokens: 12_000,
        output_tokens: 380,
        target,
        ..Case::default()
    };
    assert_ne!(long(0).first_model(), "small");
    let short = Case { target, ..Case::default() };
    assert_eq!(short.first_model(), "small");
    // With more time, the smallest model costs less.
    let patient = Case { target: ms(2000), ..long(0) };
    assert_eq!(patient.first_model(), "small");
    // Little is lost by poor answers, and a larger model is expensive.
    let busy = Case { utilization: 1.0, ..long(2) };
    assert_eq!(busy.first_model(), "small");
}

/// Guards against a first model by guessed times.
#[test]
fn without_learned_times_the_smallest_model_is_first() {
    let case = Case {
        prompt_tokens: 12_000,
        output_tokens: 380,
        target: ms(600),
        times: PrefillTimes::default(),
        ..Case::default()
    };
    assert_eq!(case.first_model(), "small");
    let known = Case { times: test_site::learned_times(), ..case };
    assert_ne!(known.first_model(), "small");
}

/// Guards against the smallest model for a request that no larger one may
/// take over, as if its answer could still be dropped.
#[test]
fn a_request_that_may_run_once_goes_to_the_model_that_is_worth_its_price() {
    let once =
        |priority| Case { priority, repeat: Repeat::Never, ..Case::default() };
    assert_eq!(once(0).first_model(), "large");
    let unlearned = Case { times: PrefillTimes::default(), ..once(0) };
    assert_eq!(unlearned.first_model(), "large");
    let cheap = Case { middle_cost: Some(0.03), ..once(2) };
    assert_eq!(cheap.first_model(), "middle");
    // The largest model would hold an engine that others wait for.
    let busy = Case { utilization: 1.0, ..once(2) };
    assert_eq!(busy.first_model(), "small");
    // The largest model reads this prompt until after the target.
    let long = Case {
        prompt_tokens: 12_000,
        output_tokens: 380,
        target: ms(500),
        ..once(0)
    };
    assert_eq!(long.first_model(), "middle");
}

/// Guards against a route with a single attempt whose first model is chosen as
/// if a larger one could follow.
#[test]
fn a_route_with_one_attempt_is_like_requests_that_may_run_once() {
    let case = Case::default();
    let first = |attempts| {
        case.with_rule(|rule| {
            let route = Route { attempts, ..rule.route.clone() };
            let rule = CascadeRule { route: &route, ..rule };
            rule.first_model(Duration::ZERO).unwrap().model.to_string()
        })
    };
    assert_eq!(first(2), "small");
    assert_eq!(first(1), "large");
}

/// Guards against a model that is asked without an attempt left, and against
/// the largest one being asked again.
#[test]
fn an_answer_is_kept_without_an_attempt_or_a_larger_model() {
    let case = Case::default();
    let decide = |answer: &RatedAnswer, has_attempt| {
        case.with_rule(|rule| rule.escalation(answer, case.delay, has_attempt))
    };
    let kept = decide(&rated("small", 10), false);
    assert_eq!(kept.decision, Err(NoEscalation::NoAttempt));
    let largest = decide(&rated("large", 0), true);
    assert_eq!(largest.decision, Err(NoEscalation::Largest));
    assert_eq!(largest.best, None);
    let unknown = decide(&rated("other", 0), true);
    assert_eq!(unknown.decision, Err(NoEscalation::Largest));
}

/// Guards against trace lines whose gain and price do not explain the
/// decision.
#[test]
fn the_decision_follows_from_the_stated_gain_and_price() {
    for utilization in [0.0, 0.7, 0.9, 1.2] {
        for confidence in 0..=100 {
            let case = Case { utilization, ..Case::default() };
            let answer = rated("small", confidence);
            let escalation = case
                .with_rule(|rule| rule.escalation(&answer, case.delay, true));
            let best = escalation.best.unwrap();
            assert_eq!(escalation.decision.is_ok(), best.gain > best.price);
        }
    }
}
