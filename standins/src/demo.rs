//! The demo: runs a whole small site under mixed traffic and checks the
//! invariants at the end.

use std::{collections::BTreeMap, time::Duration};

use argh::FromArgs;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use smol::Timer;

use crate::{
    caller::{Ask, CallOutcome, CallRecord},
    check::{Evidence, Violation, check},
    documents::{bearer_key, version},
    fleet::Fleet,
    process::FleetResult,
    site,
    traffic::{ORGANISATIONS, Traffic},
};

const HALLS: [&str; 2] = ["hall-a", "hall-b"];

/// Number of concurrent callers.
const CALLERS: usize = 24;

/// Upper bound of the latency histograms, in microseconds; longer calls are
/// counted as this long.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Longest time until all requests of the demo must be done.
const TRAFFIC_TIMEOUT: Duration = Duration::from_secs(300);

/// Run a whole small site and check what it did.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// requests to send
    #[argh(option, default = "500")]
    requests: u64,
    /// seed of the traffic
    #[argh(option, default = "1")]
    seed: u64,
    /// leave everything running and print lines to try
    #[argh(switch)]
    keep: bool,
}

impl Demo {
    /// Runs the demo; returns true if no invariant was violated.
    ///
    /// # Errors
    ///
    /// When the site doesn't start, the requests take too long, or the bills
    /// and records can't be read.
    pub async fn run(self) -> FleetResult<bool> {
        eprintln!("starting stand-ins and three entry VMs …");
        let mut plan = site::plan(&HALLS, 1, self.seed);
        plan.vms.push(("vm-hall-a-2".to_owned(), HALLS[0].to_owned()));
        let mut fleet = Fleet::start(plan).await?;
        site::configure(&fleet).await?;
        let vms = fleet.vms.values().map(|vm| vm.callers).collect();
        let traffic = Traffic::new(self.seed, self.requests, vms);
        let callers = traffic.start(CALLERS, Duration::ZERO);
        self.run_steps(&mut fleet, &traffic).await?;
        for caller in callers {
            caller.await;
        }
        eprintln!("waiting for bills, then checking …");
        fleet.wait_bills_committed().await?;
        let report = Report::make(&fleet, &traffic).await?;
        report.print();
        if self.keep {
            print_examples(&fleet, &traffic.records());
            wait_for_end().await;
        }
        Ok(report.violations.is_empty())
    }

    /// Rolls a version out and lets an engine leave, each after a fixed share
    /// of the requests.
    async fn run_steps(
        &self,
        fleet: &mut Fleet,
        traffic: &Traffic,
    ) -> FleetResult<()> {
        let vm = fleet.plan.vms[0].0.clone();
        let step_shares = [0.2, 0.4, 0.6];
        let mut next = 0;
        let begun = std::time::Instant::now();
        let mut reported = 0;
        while traffic.done() < self.requests as usize {
            let done = traffic.done();
            if done >= reported + 100 {
                reported = done;
                eprintln!("  {done} of {} requests", self.requests);
            }
            let share = done as f64 / self.requests as f64;
            if next < step_shares.len() && share >= step_shares[next] {
                self.run_step(fleet, &vm, next).await?;
                next += 1;
            }
            if begun.elapsed() > TRAFFIC_TIMEOUT {
                traffic.end();
                return Err("the requests were not done in time".to_owned());
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Makes the change with this number, from 0.
    async fn run_step(
        &self,
        fleet: &mut Fleet,
        vm: &str,
        number: usize,
    ) -> FleetResult<()> {
        match number {
            0 => {
                eprintln!("  writer v2 begins to roll out");
                let state = json!({ "rolling_out": { "stage": 1 } });
                let entry = version("writer", "v2", state, 400, 0.8);
                fleet.put_version(vm, &entry).await
            }
            1 => {
                eprintln!("  engine writer-hall-b leaves");
                fleet.leave("writer-hall-b").await
            }
            _ => {
                eprintln!("  writer v2 moves to its last stage");
                let state = json!({ "rolling_out": { "stage": 2 } });
                fleet.set_version_state(vm, "writer", "v2", state).await
            }
        }
    }
}

/// The results of the demo.
struct Report {
    calls: Vec<CallRecord>,
    /// Number of bills.
    billed: usize,
    /// Number of decisions whose reasons a VM could give.
    explained: usize,
    violations: Vec<Violation>,
}

impl Report {
    async fn make(fleet: &Fleet, traffic: &Traffic) -> FleetResult<Report> {
        let calls = traffic.records();
        let vm = &fleet.plan.vms[0].0;
        let bills = fleet.bills(vm).await?;
        let records = fleet.records()?;
        let violations = check(&Evidence {
            records: &records,
            calls: &calls,
            bills: &bills,
            rules: &site::rules(),
        });
        let explained = count_explained(fleet, &calls).await?;
        Ok(Report { calls, billed: bills.len(), explained, violations })
    }

    fn print(&self) {
        println!("{}", self.table());
        for violation in &self.violations {
            println!("violated: {violation}");
        }
        println!("{}", self.json());
    }

    /// Returns the number of calls that match.
    fn count(&self, matches: impl Fn(&CallRecord) -> bool) -> usize {
        self.calls.iter().filter(|call| matches(call)).count()
    }

    /// Returns counts and latencies by organisation and kind of request, and
    /// the number of calls by error.
    fn table(&self) -> String {
        let head = format!(
            "{:<12} {:<16} {:>5} {:>7} {:>7} {:>8} {:>8}",
            "organisation",
            "kind",
            "sent",
            "whole",
            "refused",
            "p50 ms",
            "p99 ms"
        );
        let mut lines = vec![head];
        for organisation in ORGANISATIONS {
            for kind in KINDS {
                lines.push(self.line(organisation, kind));
            }
        }
        lines.extend(self.count_failures());
        lines.join("\n")
    }

    /// Counts the calls without a complete response, by error code or reason.
    fn count_failures(&self) -> Vec<String> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for call in &self.calls {
            let name = match &call.outcome {
                CallOutcome::Whole => continue,
                CallOutcome::Refused { code, run } => {
                    format!("{code} ({run})")
                }
                CallOutcome::Broken(reason) => format!("broken: {reason}"),
                CallOutcome::Wrong(reason) => format!("wrong: {reason}"),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
            .iter()
            .map(|(name, count)| format!("{count:>5} {name}"))
            .collect()
    }

    /// Returns the line of the table for one organisation and kind.
    fn line(&self, organisation: &str, kind: &str) -> String {
        let calls: Vec<&CallRecord> = self
            .calls
            .iter()
            .filter(|call| call.request.organisation == organisation)
            .filter(|call| kind_of(call) == kind)
            .collect();
        let whole = calls.iter().filter(|call| call.is_whole()).count();
        let refused =
            calls.iter().filter(|call| call.code().is_some()).count();
        let mut took =
            Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("bounds");
        for call in &calls {
            took.saturating_record(call.took.as_micros() as u64);
        }
        let ms = |quantile| took.value_at_quantile(quantile) as f64 / 1000.0;
        format!(
            "{organisation:<12} {kind:<16} {:>5} {whole:>7} {refused:>7} \
             {:>8.1} {:>8.1}",
            calls.len(),
            ms(0.5),
            ms(0.99)
        )
    }

    /// Returns the summary that is printed as the last line.
    fn json(&self) -> Value {
        let refused = self.count(|call| call.run_status() == Some("not_run"));
        let unknown = self.count(|call| {
            call.run_status() == Some("outcome_unknown")
                || matches!(call.outcome, CallOutcome::Broken(_))
        });
        let violations: Vec<String> =
            self.violations.iter().map(Violation::to_string).collect();
        json!({
            "requests": self.calls.len(),
            "answered": self.count(CallRecord::is_whole),
            "refused_not_run": refused,
            "outcome_unknown": unknown,
            "billed": self.billed,
            "explained": self.explained,
            "violations": violations,
        })
    }
}

/// The kinds of requests, one row each in the table.
const KINDS: [&str; 5] =
    ["chat", "chat streamed", "chat in session", "reading call", "once call"];

fn kind_of(call: &CallRecord) -> &'static str {
    match &call.request.ask {
        Ask::Chat { session: Some(_), .. } => KINDS[2],
        Ask::Chat { stream: true, .. } => KINDS[1],
        Ask::Chat { .. } => KINDS[0],
        Ask::Service { method, .. } if *method == hyper::Method::GET => {
            KINDS[3]
        }
        Ask::Service { .. } => KINDS[4],
    }
}

/// Counts the routing decisions whose reasons can be read. Each is read from
/// the next VM in turn, which need not be the one that made it.
async fn count_explained(
    fleet: &Fleet,
    calls: &[CallRecord],
) -> FleetResult<usize> {
    let mut explained = 0;
    for (at, call) in calls.iter().enumerate() {
        let Some(decision) = &call.decision else { continue };
        let (vm, _) = &fleet.plan.vms[at % fleet.plan.vms.len()];
        let address = fleet.vms[vm].operators;
        let path = format!("/decisions/{decision}?words");
        let answer = fleet.get(address, &path).await?;
        explained += usize::from(answer.status == 200);
    }
    Ok(explained)
}

/// Prints example commands for the running site.
fn print_examples(fleet: &Fleet, calls: &[CallRecord]) {
    let Some(vm) = fleet.vms.values().next() else { return };
    let key = bearer_key(ORGANISATIONS[0]);
    println!("\nTry, until you press Ctrl-C:\n");
    println!(
        "curl -i http://{}/v1/chat/completions -H 'Authorization: Bearer \
         {key}' -d '{{\"messages\":[{{\"role\":\"user\",\"content\":\
         \"difficulty=0.4 nonce=1\"}}]}}'",
        vm.callers
    );
    println!(
        "curl -i http://{}/services/signatures/add -X POST -H \
         'Authorization: Bearer {key}' -H 'Idempotency-Key: mine-1' -d '{{}}'",
        vm.callers
    );
    println!("curl http://{}/status", vm.operators);
    let decision = calls.iter().find_map(|call| call.decision.clone());
    if let Some(decision) = decision {
        let operators = vm.operators;
        println!("curl 'http://{operators}/decisions/{decision}?words'");
    }
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_end() {
    use async_signal::{Signal, Signals};
    use futures_lite::StreamExt;
    if let Ok(mut signals) = Signals::new([Signal::Int, Signal::Term]) {
        signals.next().await;
    }
}
