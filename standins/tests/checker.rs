//! Checks that the checker reports each kind of violation, and none for clean
//! evidence.

use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};
use standins::{
    caller::{Ask, CallOutcome, CallRecord, Request},
    check::{Evidence, Rules, Violation, check},
    site,
    web::{Record, RecordKind},
};

/// Evidence of a run without violations, which a test changes in one way.
struct TestEvidence {
    records: Vec<Record>,
    calls: Vec<CallRecord>,
    bills: Vec<Value>,
    rules: Rules,
}

/// Returns an upstream's record of running a request.
fn record(request: &str, what: &str, key: Option<&str>) -> Record {
    Record {
        at_unix_ms: 1000,
        upstream: "u1".to_owned(),
        happened: RecordKind::Run,
        request: request.to_owned(),
        attempt: 1,
        key: key.map(str::to_owned),
        what: what.to_owned(),
        leaving_since_unix_ms: None,
        epoch: None,
        resumed: false,
    }
}

/// Returns a successful call with this decision id.
fn call(nonce: u64, decision: &str, ask: Ask) -> CallRecord {
    CallRecord {
        request: Request {
            organisation: "collectif".to_owned(),
            nonce,
            ask,
            limit: Duration::from_secs(1),
        },
        at_unix_ms: 1000,
        status: Some(200),
        decision: Some(decision.to_owned()),
        session: None,
        answered_by: None,
        quality: None,
        repeated: false,
        outcome: CallOutcome::Whole,
        first_part: None,
        took: Duration::ZERO,
    }
}

fn chat(session: Option<&str>) -> Ask {
    Ask::Chat {
        model: None,
        task: "draft".to_owned(),
        difficulty: 0.1,
        tokens: 1,
        stream: false,
        session: session.map(str::to_owned),
        priority: None,
    }
}

/// Returns a non-idempotent call, with an idempotency key if one is given.
fn signature(key: Option<&str>) -> Ask {
    Ask::Service {
        service: "signatures".to_owned(),
        method: Method::POST,
        key: key.map(str::to_owned),
    }
}

/// Returns evidence without violations.
fn evidence() -> TestEvidence {
    let mut first = call(1, "r1", chat(Some("new")));
    first.answered_by = Some("writer@v1".to_owned());
    first.session = Some("token-1".to_owned());
    let mut second = call(4, "r4", chat(Some("token-1")));
    second.answered_by = Some("writer@v1".to_owned());
    TestEvidence {
        records: vec![
            record("r1", "writer@v1", None),
            record("r2", "POST /do/2", Some("k2")),
            record("r3", "POST /do/3", None),
            record("r4", "writer@v1", None),
        ],
        calls: vec![
            first,
            call(2, "r2", signature(Some("k2"))),
            call(3, "r3", signature(None)),
            second,
        ],
        bills: ["r1", "r2", "r3", "r4"]
            .map(|request| json!({ "request": request }))
            .into(),
        rules: site::rules(),
    }
}

/// Runs the checker.
fn violations(evidence: &TestEvidence) -> Vec<Violation> {
    check(&Evidence {
        records: &evidence.records,
        calls: &evidence.calls,
        bills: &evidence.bills,
        rules: &evidence.rules,
    })
}

/// Returns the violations that the checker finds after `change` was applied to
/// clean evidence.
fn violations_after(change: impl FnOnce(&mut TestEvidence)) -> Vec<Violation> {
    let mut evidence = evidence();
    assert_eq!(violations(&evidence), []);
    change(&mut evidence);
    violations(&evidence)
}

/// Asserts that the checker finds this violation after a change.
macro_rules! assert_finds {
    ($kind:ident, $change:expr) => {
        let violations = violations_after($change);
        let is_found =
            violations.iter().any(|v| matches!(v, Violation::$kind(_)));
        assert!(is_found, "only found {violations:?}");
    };
}

#[test]
fn forbidden_runs_are_found() {
    assert_finds!(DoubleRun, |evidence: &mut TestEvidence| {
        evidence.records.push(record("r9", "POST /do/2", Some("k2")));
    });
    assert_finds!(DoubleRun, |evidence: &mut TestEvidence| {
        evidence.records.push(record("r3", "POST /do/3", None));
    });
    assert_finds!(FalseNotRun, |evidence: &mut TestEvidence| {
        evidence.calls[2].outcome = CallOutcome::Refused {
            code: "no_upstream".to_owned(),
            run: "not_run".to_owned(),
        };
    });
    assert_finds!(VersionNotAllowed, |evidence: &mut TestEvidence| {
        evidence.records[0].what = "secret@v1".to_owned();
    });
    assert_finds!(WithdrawnRan, |evidence: &mut TestEvidence| {
        let withdrawn = &mut evidence.rules.withdrawn_at_unix_ms;
        withdrawn.insert("writer@v1".to_owned(), 999);
    });
    assert_finds!(LeavingGotWork, |evidence: &mut TestEvidence| {
        evidence.records[0].at_unix_ms = 10_000;
        evidence.records[0].leaving_since_unix_ms = Some(1000);
    });
    assert_finds!(StaleOrder, |evidence: &mut TestEvidence| {
        for epoch in [2, 1] {
            evidence.records.push(Record {
                happened: RecordKind::Order,
                epoch: Some(epoch),
                ..record("", "load v1", None)
            });
        }
    });
}

#[test]
fn wrong_bills_and_responses_are_found() {
    assert_finds!(LostBill, |evidence: &mut TestEvidence| {
        evidence.bills.remove(1);
    });
    assert_finds!(DoubleBill, |evidence: &mut TestEvidence| {
        evidence.bills.push(json!({ "request": "r1" }));
    });
    assert_finds!(DoubleBill, |evidence: &mut TestEvidence| {
        evidence.records.push(record("r9", "POST /do/2", Some("k2")));
        evidence.bills.push(json!({ "request": "r9" }));
    });
    assert_finds!(BrokenAsWhole, |evidence: &mut TestEvidence| {
        evidence.calls[0].outcome = CallOutcome::Wrong("cut".to_owned());
    });
    assert_finds!(SessionChanged, |evidence: &mut TestEvidence| {
        evidence.calls[3].answered_by = Some("writer@v2".to_owned());
    });
    assert_finds!(ConfigurationReverted, |evidence: &mut TestEvidence| {
        evidence.rules.revisions.push(("vm 1".to_owned(), vec![3, 2]));
    });
}
