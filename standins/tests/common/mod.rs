//! Helpers shared by the integration tests: fleets, callers and checks.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::{
    future::Future,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use hyper::Method;
use smol::Timer;
use standins::{
    caller::{Ask, CallRecord, Request, send},
    check::{Evidence, Rules, Violation, check},
    fleet::{Fleet, FleetPlan},
    process::set_program,
    site,
    traffic::{ONCE_SERVICES, ORGANISATIONS},
};

/// Data halls of the default fleet.
pub const DATA_HALLS: [&str; 2] = ["hall-a", "hall-b"];

/// Timeout of a caller; long enough for a busy machine.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of everything that a test waits for.
pub const TIMEOUT: Duration = Duration::from_secs(60);

static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests of one binary, so that one fleet runs at a time.
pub fn lock_fleet() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Runs a test on the executor, one test at a time.
pub fn run(test: impl Future<Output = ()>) {
    let _guard = lock_fleet();
    set_program(env!("CARGO_BIN_EXE_standins"));
    async_global_executor::block_on(test);
}

/// Starts and configures the default fleet, with `change` applied to its
/// plan.
pub async fn start(
    vms_each: usize,
    change: impl FnOnce(FleetPlan) -> FleetPlan,
) -> Fleet {
    let plan = change(site::plan(&DATA_HALLS, vms_each, 1));
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    site::configure(&fleet).await.expect("the fleet is configured");
    fleet
}

/// Returns a chat request of the first organisation to the `writer` model.
pub fn chat(nonce: u64, tokens: u64, stream: bool) -> Request {
    chat_of("writer", nonce, tokens, stream, None)
}

/// Returns a chat request of the first organisation to this model, within a
/// session if one is given.
pub fn chat_of(
    model: &str,
    nonce: u64,
    tokens: u64,
    stream: bool,
    session: Option<&str>,
) -> Request {
    Request {
        organisation: ORGANISATIONS[0].to_owned(),
        nonce,
        ask: Ask::Chat {
            model: Some(model.to_owned()),
            task: "draft".to_owned(),
            difficulty: 0.3,
            tokens,
            stream,
            session: session.map(str::to_owned),
            priority: None,
        },
        limit: CALLER_TIMEOUT,
    }
}

/// Returns a non-idempotent call of the first organisation, with an
/// idempotency key if one is given.
pub fn non_idempotent_call(nonce: u64, key: Option<&str>) -> Request {
    Request {
        organisation: ORGANISATIONS[0].to_owned(),
        nonce,
        ask: Ask::Service {
            service: ONCE_SERVICES[0].to_owned(),
            method: Method::POST,
            key: key.map(str::to_owned),
        },
        limit: CALLER_TIMEOUT,
    }
}

/// Returns a read-only call of the first organisation.
pub fn read_call(nonce: u64) -> Request {
    Request {
        organisation: ORGANISATIONS[0].to_owned(),
        nonce,
        ask: standins::traffic::read_call(),
        limit: CALLER_TIMEOUT,
    }
}

/// Sends a request once through a VM, without retries.
pub async fn ask(fleet: &Fleet, vm: &str, request: &Request) -> CallRecord {
    send(&fleet.client, fleet.vms[vm].callers, request).await
}

/// Sends a request until it is answered or finally rejected, and returns every
/// attempt.
///
/// Retries transient rejections and keys in progress, as a client library
/// would.
pub async fn ask_until_settled(
    fleet: &Fleet,
    vm: &str,
    request: &Request,
) -> Vec<CallRecord> {
    let started_at = Instant::now();
    let end = started_at + TIMEOUT;
    let mut records = Vec::new();
    loop {
        let record = ask(fleet, vm, request).await;
        let again = matches!(
            record.code(),
            Some(
                "key_in_progress"
                    | "claim_unavailable"
                    | "no_upstream"
                    | "upstream_unreachable"
                    | "not_ready"
                    | "overloaded"
            )
        );
        // A key that a dead VM had claimed stays in progress for long, so
        // this does not wait for its outcome.
        let stays_open = record.code() == Some("key_in_progress")
            && started_at.elapsed() > Duration::from_secs(3);
        records.push(record);
        if !again || stays_open || Instant::now() > end {
            return records;
        }
        Timer::after(Duration::from_millis(100)).await;
    }
}

/// Returns how often upstreams ran requests with this idempotency key.
pub fn runs_of_key(fleet: &Fleet, key: &str) -> usize {
    let records = fleet.records().expect("records");
    let runs = records.iter().filter(|r| r.key.as_deref() == Some(key));
    runs.count()
}

/// Polls a condition until it is true.
///
/// # Panics
///
/// If that takes longer than `TIMEOUT`; the message contains `what`.
pub async fn eventually<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let end = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// Waits until the checker finds no violation, which includes that every run
/// has been billed.
///
/// # Panics
///
/// If violations remain after `TIMEOUT`; the message lists them.
pub async fn wait_for_no_violations(fleet: &Fleet, calls: &[CallRecord]) {
    let end = Instant::now() + TIMEOUT;
    loop {
        let found = violations(fleet, calls, &site::rules()).await;
        if found.is_empty() {
            return;
        }
        if Instant::now() >= end {
            for vm in fleet.vms.values() {
                println!("log of {}:\n{}", vm.name, fleet.log(&vm.name));
            }
            panic!("violations remain: {found:#?}");
        }
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// Runs the checker on all records, calls and bills of a fleet.
pub async fn violations(
    fleet: &Fleet,
    calls: &[CallRecord],
    rules: &Rules,
) -> Vec<Violation> {
    fleet.wait_bills_committed().await.expect("all bills are committed");
    let vm = fleet
        .vms
        .values()
        .find(|vm| vm.process.is_some())
        .expect("at least one VM is alive");
    let bills = fleet.bills(&vm.name).await.expect("the bills are readable");
    let records = fleet.records().expect("records");
    check(&Evidence { records: &records, calls, bills: &bills, rules })
}

/// Asserts that the checker finds no violation.
pub async fn assert_no_violations(fleet: &Fleet, calls: &[CallRecord]) {
    let found = violations(fleet, calls, &site::rules()).await;
    assert!(found.is_empty(), "{found:#?}");
}

/// Returns the caller-facing addresses of all live VMs.
pub fn live_callers(fleet: &Fleet) -> Vec<SocketAddr> {
    let live = fleet.vms.values().filter(|vm| vm.process.is_some());
    live.map(|vm| vm.callers).collect()
}
