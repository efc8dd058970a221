//! The checker can fail: it is fed each violation, and a clean record.

use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};
use standins::{
    caller::{Ask, CallOutcome, CallRecord, Request},
    check::{Evidence, Rules, Violation, check},
    site,
    web::{Record, RecordKind},
};

/// Everything that happened, to be spoilt in one way.
struct World {
    records: Vec<Record>,
    calls: Vec<CallRecord>,
    bills: Vec<Value>,
    rules: Rules,
}

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

fn signature(key: Option<&str>) -> Ask {
    Ask::Service {
        service: "signatures".to_owned(),
        method: Method::POST,
        key: key.map(str::to_owned),
    }
}

fn world() -> World {
    let mut first = call(1, "r1", chat(Some("new")));
    first.answered_by = Some("writer@v1".to_owned());
    first.session = Some("token-1".to_owned());
    let mut second = call(4, "r4", chat(Some("token-1")));
    second.answered_by = Some("writer@v1".to_owned());
    World {
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

fn found(world: &World) -> Vec<Violation> {
    check(&Evidence {
        records: &world.records,
        calls: &world.calls,
        bills: &world.bills,
        rules: &world.rules,
    })
}

/// Spoils a clean world and returns what is found then.
fn spoil(change: impl FnOnce(&mut World)) -> Vec<Violation> {
    let mut world = world();
    assert_eq!(found(&world), []);
    change(&mut world);
    found(&world)
}

macro_rules! assert_finds {
    ($kind:ident, $change:expr) => {
        let found = spoil($change);
        let is_found = found.iter().any(|v| matches!(v, Violation::$kind(_)));
        assert!(is_found, "{found:?}");
    };
}

#[test]
fn runs_that_must_not_be_are_found() {
    assert_finds!(DoubleRun, |world: &mut World| {
        world.records.push(record("r9", "POST /do/2", Some("k2")));
    });
    assert_finds!(DoubleRun, |world: &mut World| {
        world.records.push(record("r3", "POST /do/3", None));
    });
    assert_finds!(FalseNotRun, |world: &mut World| {
        world.calls[2].outcome = CallOutcome::Refused {
            code: "no_upstream".to_owned(),
            run: "not_run".to_owned(),
        };
    });
    assert_finds!(VersionNotAllowed, |world: &mut World| {
        world.records[0].what = "secret@v1".to_owned();
    });
    assert_finds!(WithdrawnRan, |world: &mut World| {
        let withdrawn = &mut world.rules.withdrawn_at_unix_ms;
        withdrawn.insert("writer@v1".to_owned(), 999);
    });
    assert_finds!(LeavingGotWork, |world: &mut World| {
        world.records[0].at_unix_ms = 10_000;
        world.records[0].leaving_since_unix_ms = Some(1000);
    });
    assert_finds!(StaleOrder, |world: &mut World| {
        for epoch in [2, 1] {
            world.records.push(Record {
                happened: RecordKind::Order,
                epoch: Some(epoch),
                ..record("", "load v1", None)
            });
        }
    });
}

#[test]
fn bills_and_answers_that_must_not_be_are_found() {
    assert_finds!(LostBill, |world: &mut World| {
        world.bills.remove(1);
    });
    assert_finds!(DoubleBill, |world: &mut World| {
        world.bills.push(json!({ "request": "r1" }));
    });
    assert_finds!(DoubleBill, |world: &mut World| {
        world.records.push(record("r9", "POST /do/2", Some("k2")));
        world.bills.push(json!({ "request": "r9" }));
    });
    assert_finds!(BrokenAsWhole, |world: &mut World| {
        world.calls[0].outcome = CallOutcome::Wrong("cut".to_owned());
    });
    assert_finds!(SessionChanged, |world: &mut World| {
        world.calls[3].answered_by = Some("writer@v2".to_owned());
    });
    assert_finds!(ConfigurationReverted, |world: &mut World| {
        world.rules.revisions.push(("vm 1".to_owned(), vec![3, 2]));
    });
}
