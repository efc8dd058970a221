//! Measurements: the latency that an entry VM adds, the cost of gossip, store
//! and list traffic as the fleet grows, and whether all invariants hold under
//! random faults.

use std::{
    collections::BTreeMap,
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use argh::FromArgs;
use async_global_executor::spawn;
use hdrhistogram::Histogram;
use hyper::Method;
use lupinseam::{
    api::selection::{UpstreamCriteria, pick_upstream},
    http_client::{Call, HttpClient, Reuse},
    message::ShortHash,
    placing::upstream::UpstreamSnapshot,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use smol::Timer;

use crate::{
    check::{Evidence, Violation, check},
    documents::bearer_key,
    fleet::{Fleet, FleetPlan},
    kv::KvFaults,
    process::FleetResult,
    proxy::Mode,
    site,
    traffic::{ORGANISATIONS, READ_SERVICE, Traffic},
};

/// Measure something; the last line is JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct Measure {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Overhead(Overhead),
    Slopes(Slopes),
    Faults(Faults),
}

/// Latency that an entry VM adds to a plain call, and its use of CPU and
/// memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
struct Overhead {
    /// pairs of calls, through the VM and direct
    #[argh(option, default = "4000")]
    pairs: u32,
    /// streams held open at once
    #[argh(option, default = "1000")]
    streams: u32,
}

/// Cost of gossip, store and list traffic for a VM as the fleet grows.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct Slopes {
    /// time of one measurement, in seconds
    #[argh(option, default = "6")]
    seconds: u64,
}

/// Check all invariants under a random schedule of faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
struct Faults {
    /// seed of traffic and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// time of the faults, in minutes
    #[argh(option, default = "1.0")]
    minutes: f64,
}

impl Measure {
    /// Runs the measurement; returns true if no invariant was violated.
    ///
    /// # Errors
    ///
    /// When the fleet doesn't start, or one of its processes doesn't respond.
    pub async fn run(self) -> FleetResult<bool> {
        match self.kind {
            Kind::Overhead(overhead) => overhead.run().await,
            Kind::Slopes(slopes) => slopes.run().await,
            Kind::Faults(faults) => faults.run().await,
        }
    }
}

impl Overhead {
    async fn run(self) -> FleetResult<bool> {
        let mut plan = site::plan(&["hall-a"], 1, 1);
        plan.without_records = true;
        plan.without_proxies = true;
        for engine in &mut plan.engines {
            engine.slots = 4096;
            engine.token_ms = 1000;
        }
        for service in &mut plan.services {
            service.latency_ms = 0;
        }
        let fleet = Fleet::start(plan).await?;
        site::configure(&fleet).await?;
        let vm = &fleet.vms["vm-hall-a-1"];
        let pid = vm.process.as_ref().map(|process| process.id());
        let pid = pid.ok_or("the VM is down")?;
        let idle_kb = memory_kb(pid)?;
        let service =
            fleet.upstreams[&format!("{READ_SERVICE}-hall-a")].address;
        let (through, direct) =
            self.measure_pairs(&fleet, vm.callers, service).await?;
        let per_core = throughput(&fleet, vm.callers, pid).await?;
        let streams = self.open_streams(&fleet, vm.callers).await;
        let open_kb = memory_kb(pid)?;
        let stream_count = streams.len();
        drop(streams);
        let us = |h: &Histogram<u64>, q| h.value_at_quantile(q);
        let added = |q| us(&through, q).saturating_sub(us(&direct, q));
        println!(
            "{}",
            json!({
                "pairs": self.pairs,
                "direct_p50_us": us(&direct, 0.5),
                "direct_p99_us": us(&direct, 0.99),
                "through_p50_us": us(&through, 0.5),
                "through_p99_us": us(&through, 0.99),
                "added_p50_us": added(0.5),
                "added_p99_us": added(0.99),
                "requests_per_core_s": per_core.round(),
                "memory_rest_kb": idle_kb,
                "streams_open": stream_count,
                "memory_streams_kb": open_kb,
            })
        );
        Ok(true)
    }

    /// Makes calls alternately through the VM and directly to the service;
    /// returns both latencies, in microseconds.
    async fn measure_pairs(
        &self,
        fleet: &Fleet,
        vm: SocketAddr,
        service: SocketAddr,
    ) -> FleetResult<(Histogram<u64>, Histogram<u64>)> {
        const WARM_UP: u32 = 200;
        let mut through = histogram();
        let mut direct = histogram();
        for pair in 0..self.pairs + WARM_UP {
            let begun = Instant::now();
            fleet.fetch(read_call(vm, "/services/positions/x")).await?;
            let took_through = begun.elapsed();
            let begun = Instant::now();
            fleet.fetch(read_call(service, "/x")).await?;
            let took_direct = begun.elapsed();
            if pair >= WARM_UP {
                through.saturating_record(took_through.as_micros() as u64);
                direct.saturating_record(took_direct.as_micros() as u64);
            }
        }
        Ok((through, direct))
    }

    /// Opens streams and waits for the first chunk of each. Returns those that
    /// opened.
    async fn open_streams(
        &self,
        fleet: &Fleet,
        vm: SocketAddr,
    ) -> Vec<lupinseam::http_client::Exchange> {
        // Opening more at once would overflow the listen backlogs and measure
        // the kernel's connection retries.
        const BATCH: usize = 64;
        let numbers: Vec<u32> = (0..self.streams).collect();
        let mut open = Vec::new();
        for batch in numbers.chunks(BATCH) {
            let opening: Vec<_> = batch
                .iter()
                .map(|number| {
                    let client = fleet.client.clone();
                    let number = *number;
                    spawn(
                        async move { open_stream(&client, vm, number).await },
                    )
                })
                .collect();
            for stream in opening {
                open.extend(stream.await);
            }
        }
        open
    }
}

/// Opens a stream and waits for its first chunk; `None` if that fails.
async fn open_stream(
    client: &HttpClient,
    vm: SocketAddr,
    number: u32,
) -> Option<lupinseam::http_client::Exchange> {
    let body = json!({
        "model": "writer",
        "messages": [{ "role": "user", "content": format!("n {number}") }],
        "stream": true,
        "max_tokens": 60,
    });
    let key = format!("Bearer {}", bearer_key(ORGANISATIONS[0]));
    let call = Call::new(vm, Method::POST, "/v1/chat/completions")
        .header("authorization", &key)
        .body(body.to_string());
    let mut exchange = client.send(call, Reuse::Fresh).await.ok()?;
    let first = exchange.next_chunk().await.ok()??;
    (exchange.status == 200 && !first.is_empty()).then_some(exchange)
}

fn read_call(address: SocketAddr, path: &str) -> Call {
    let key = format!("Bearer {}", bearer_key(ORGANISATIONS[0]));
    Call::new(address, Method::GET, path).header("authorization", &key)
}

/// Returns how many requests the VM answers per second of its CPU time.
async fn throughput(
    fleet: &Fleet,
    vm: SocketAddr,
    pid: u32,
) -> FleetResult<f64> {
    const CALLERS: usize = 32;
    const TIME: Duration = Duration::from_secs(4);
    let before = cpu_s(pid)?;
    let end = Instant::now() + TIME;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let client = fleet.client.clone();
            spawn(async move {
                let mut done = 0_u64;
                while Instant::now() < end {
                    let call = read_call(vm, "/services/positions/x");
                    let limit = Duration::from_secs(5);
                    let answer = client.fetch(call, limit, 1 << 20).await;
                    done += u64::from(answer.is_ok_and(|a| a.status == 200));
                }
                done
            })
        })
        .collect();
    let mut done = 0;
    for caller in callers {
        done += caller.await;
    }
    let used = cpu_s(pid)? - before;
    Ok(done as f64 / used.max(1e-3))
}

impl Slopes {
    async fn run(self) -> FleetResult<bool> {
        for vms in [2, 4, 8, 16, 32] {
            self.measure_fleet("vms", vms, 1, 0.0).await?;
        }
        for engines in [4, 16, 32] {
            self.measure_fleet("upstreams", 4, engines, 0.0).await?;
        }
        for changes_per_s in [0.5, 2.0, 8.0] {
            self.measure_fleet("changes", 4, 1, changes_per_s).await?;
        }
        for replicas in [60, 120, 300, 600] {
            println!("{}", measure_selection(replicas));
        }
        println!("{}", json!({ "done": true }));
        Ok(true)
    }

    /// Measures a fleet of this size and prints a line of JSON.
    async fn measure_fleet(
        &self,
        axis: &str,
        vms: usize,
        engines: usize,
        changes_per_s: f64,
    ) -> FleetResult<()> {
        let fleet = slope_fleet(vms, engines).await?;
        site::configure(&fleet).await?;
        Timer::after(Duration::from_secs(2)).await;
        let before = Sample::take(&fleet).await?;
        let changes = self.make_changes(&fleet, changes_per_s).await?;
        let after = Sample::take(&fleet).await?;
        let line = after.since(&before);
        println!(
            "{}",
            json!({
                "axis": axis,
                "vms": vms,
                "upstreams": fleet.upstreams.len(),
                "changes": changes,
                "seconds": line.seconds,
                "cpu_percent_per_vm": line.cpu_percent,
                "sent_bytes_per_s_per_vm": line.bytes_per_s,
                "store_reads_per_s_per_vm": line.reads_per_s,
                "store_writes_per_s_per_vm": line.writes_per_s,
                "memory_kb_per_vm": line.memory_kb,
            })
        );
        Ok(())
    }

    /// Changes the configuration at this rate for the time of a measurement;
    /// returns the number of changes.
    async fn make_changes(
        &self,
        fleet: &Fleet,
        per_s: f64,
    ) -> FleetResult<u64> {
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let mut made = 0;
        while Instant::now() < end {
            if per_s <= 0.0 {
                Timer::at(end).await;
                break;
            }
            let vm = &fleet.plan.vms[0].0;
            let mut template = crate::documents::template("extra", &[], &[]);
            template["concurrency"] = json!(made + 1);
            fleet.put_template(vm, &template).await?;
            made += 1;
            Timer::after(Duration::from_secs_f64(1.0 / per_s)).await;
        }
        Ok(made)
    }
}

/// Starts a fleet in one data hall with the router's default intervals. The
/// shorter ones of the tests would show higher costs than a real fleet has.
async fn slope_fleet(vms: usize, engines: usize) -> FleetResult<Fleet> {
    let mut plan = site::plan(&["hall-a"], vms, 1);
    plan.without_records = true;
    plan.without_proxies = true;
    let model = plan.engines[0].clone();
    plan.engines = (0..engines)
        .map(|n| {
            let mut engine = model.clone();
            engine.name = format!("engine-{n}");
            engine
        })
        .collect();
    plan.services.truncate(1);
    let defaults = [
        ("platform", "list_poll_ms", "1000"),
        ("load", "poll_ms", "500"),
        ("peers", "gossip_ms", "500"),
        ("peers", "suspect_after_ms", "2500"),
        ("peers", "dead_after_ms", "5000"),
        ("ledger", "commit_ms", "500"),
    ];
    for (section, key, value) in defaults {
        plan = plan.with_setting(section, key, value);
    }
    Fleet::start(plan).await
}

/// Resources that all VMs of a fleet together have used so far.
struct Sample {
    at: Instant,
    /// Number of running VMs.
    vms: f64,
    cpu_s: f64,
    bytes: f64,
    reads: f64,
    writes: f64,
    memory_kb: f64,
}

/// Average use of one VM between two samples; memory is that of the second
/// sample.
struct PerVm {
    seconds: f64,
    cpu_percent: f64,
    bytes_per_s: f64,
    reads_per_s: f64,
    writes_per_s: f64,
    memory_kb: f64,
}

impl Sample {
    async fn take(fleet: &Fleet) -> FleetResult<Sample> {
        let mut sample = Sample {
            at: Instant::now(),
            vms: 0.0,
            cpu_s: 0.0,
            bytes: 0.0,
            reads: 0.0,
            writes: 0.0,
            memory_kb: 0.0,
        };
        for vm in fleet.vms.values() {
            let Some(process) = &vm.process else { continue };
            let answer = fleet.get(vm.operators, "/metrics").await?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            sample.vms += 1.0;
            sample.cpu_s += cpu_s(process.id())?;
            sample.memory_kb += memory_kb(process.id())? as f64;
            sample.bytes += sum_of(&text, "lupinseam_peer_bytes_total");
            let calls = |kind: &str| {
                let name = format!("lupinseam_store_calls{{kind=\"{kind}\"}}");
                sum_of(&text, &name)
            };
            sample.reads += calls("reads");
            sample.writes += calls("writes");
        }
        Ok(sample)
    }

    /// Returns the average use per VM since an earlier sample.
    fn since(&self, before: &Sample) -> PerVm {
        let seconds = (self.at - before.at).as_secs_f64();
        let vm_seconds = self.vms * seconds;
        PerVm {
            seconds: round(seconds),
            cpu_percent: round(
                (self.cpu_s - before.cpu_s) / vm_seconds * 100.0,
            ),
            bytes_per_s: round((self.bytes - before.bytes) / vm_seconds),
            reads_per_s: round((self.reads - before.reads) / vm_seconds),
            writes_per_s: round((self.writes - before.writes) / vm_seconds),
            memory_kb: round(self.memory_kb / self.vms),
        }
    }
}

/// Rounds to three decimals.
fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Returns the sum of the samples whose line starts with `name`, which may
/// include labels.
fn sum_of(metrics: &str, name: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Measures how long the selection among replicas of one model takes.
fn measure_selection(replicas: u32) -> Value {
    const ROUNDS: u32 = 20_000;
    let version = ShortHash(7);
    let upstreams: Vec<UpstreamSnapshot> = (0..replicas)
        .map(|n| UpstreamSnapshot {
            id: format!("u{n}").parse().expect("a name"),
            short_hash: ShortHash(n.wrapping_mul(2_654_435_761)),
            local: true,
            leaving: n % 50 == 0,
            breaker_open: n % 70 == 0,
            backoff: Duration::ZERO,
            requests: f64::from(n % 13),
            slots: 16.0,
            load_age: Some(Duration::from_millis(300)),
            versions: vec![ShortHash(6), version],
        })
        .collect();
    let begun = Instant::now();
    for round in 0..ROUNDS {
        let criteria = UpstreamCriteria {
            version: Some(version),
            prefix: Some(u64::from(round) << 20),
            tried: &[],
        };
        let _ = black_box(pick_upstream(&upstreams, criteria, round.into()));
    }
    let each = begun.elapsed() / ROUNDS;
    json!({
        "axis": "choice",
        "replicas": replicas,
        "choice_us": each.as_nanos() as f64 / 1000.0,
    })
}

const FAULT_HALLS: [&str; 2] = ["hall-a", "hall-b"];

/// A fault that is active, with what is needed to end it.
#[derive(Clone, Debug, PartialEq)]
enum Fault {
    /// A VM was killed.
    Killed(String),
    /// A VM's process was paused.
    Paused(String),
    /// A data hall was partitioned.
    CutHall(String),
    /// A VM was cut off from the store.
    CutStore(String),
    /// The store drops every call without effect.
    StoreOut,
    /// The store responds slowly.
    StoreSlow,
    /// The store applies some writes without responding to them.
    LostAnswers,
    /// Connections between VMs lose messages.
    LossyPeers,
    /// An upstream left as announced.
    UpstreamLeft(String),
    /// An upstream was killed.
    UpstreamDied(String),
}

impl Faults {
    async fn run(self) -> FleetResult<bool> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut plan = site::plan(&FAULT_HALLS, 2, self.seed);
        add_spare_engines(&mut plan);
        let mut fleet = Fleet::start(plan).await?;
        site::configure(&fleet).await?;
        let vms = fleet.vms.values().map(|vm| vm.callers).collect();
        let traffic = Traffic::new(self.seed, u64::MAX, vms);
        let callers = traffic.start(12, Duration::from_millis(20));
        let begun = Instant::now();
        let counts = fleet.kv_counts().await?;
        let time = Duration::from_secs_f64(self.minutes * 60.0);
        let mut watch = RevisionWatch::default();
        let mut count = 0;
        while begun.elapsed() < time {
            // One fault, or two at once, which may be the same one twice.
            let fault_count = 1 + usize::from(rng.random_bool(0.4));
            let mut active = Vec::new();
            for _ in 0..fault_count {
                active.extend(begin_fault(&mut fleet, &mut rng).await?);
            }
            count += active.len();
            let at = begun.elapsed().as_secs_f64();
            eprintln!(
                "{at:.1} s (unix ms {}): {active:?}",
                crate::web::unix_ms()
            );
            let fault_ms = rng.random_range(300..2500);
            Timer::after(Duration::from_millis(fault_ms)).await;
            watch.sample(&fleet).await;
            for fault in active.into_iter().rev() {
                end_fault(&mut fleet, fault).await?;
            }
            traffic.set_vms(fleet.vms.values().map(|vm| vm.callers).collect());
            let pause_ms = rng.random_range(200..1200);
            Timer::after(Duration::from_millis(pause_ms)).await;
            watch.sample(&fleet).await;
        }
        let seconds = begun.elapsed().as_secs_f64();
        let used = fleet.kv_counts().await?;
        traffic.end();
        for caller in callers {
            caller.await;
        }
        let found = self.check(&fleet, &traffic, watch).await?;
        let calls = traffic.records();
        let answered = calls.iter().filter(|c| c.is_whole()).count();
        let num = |kind: fn(&Violation) -> bool| {
            found.iter().filter(|violation| kind(violation)).count()
        };
        for violation in &found {
            eprintln!("violated: {violation}");
        }
        let is_version_violation = |v: &Violation| {
            matches!(
                v,
                Violation::VersionNotAllowed(_)
                    | Violation::WithdrawnRan(_)
                    | Violation::SessionChanged(_)
            )
        };
        println!(
            "{}",
            json!({
                "seed": self.seed,
                "faults": count,
                "requests": calls.len(),
                "answered_share":
                    round(answered as f64 / calls.len().max(1) as f64),
                "double_runs":
                    num(|v| matches!(v, Violation::DoubleRun(_))),
                "false_not_run":
                    num(|v| matches!(v, Violation::FalseNotRun(_))),
                "double_bills":
                    num(|v| matches!(v, Violation::DoubleBill(_))),
                "lost_bills":
                    num(|v| matches!(v, Violation::LostBill(_))),
                "broken_as_whole":
                    num(|v| matches!(v, Violation::BrokenAsWhole(_))),
                "version_violations": num(is_version_violation),
                "config_reverts":
                    num(|v| matches!(v, Violation::ConfigurationReverted(_))),
                "leaving_got_work":
                    num(|v| matches!(v, Violation::LeavingGotWork(_))),
                "stale_orders":
                    num(|v| matches!(v, Violation::StaleOrder(_))),
                "store_writes_per_s":
                    round((used.writes - counts.writes) as f64 / seconds),
                "store_reads_per_s":
                    round((used.reads - counts.reads) as f64 / seconds),
            })
        );
        Ok(found.is_empty())
    }

    /// Checks all invariants. Repeats the check while bills are missing, since
    /// the bills of a VM that was killed are committed later by others.
    async fn check(
        &self,
        fleet: &Fleet,
        traffic: &Traffic,
        watch: RevisionWatch,
    ) -> FleetResult<Vec<Violation>> {
        const TRIES: u32 = 20;
        let calls = traffic.records();
        let mut rules = site::rules();
        rules.revisions = watch.seen.into_iter().collect();
        let mut found = Vec::new();
        for _ in 0..TRIES {
            fleet.wait_bills_committed().await?;
            let bills = fleet.bills(&fleet.plan.vms[0].0).await?;
            let records = fleet.records()?;
            found = check(&Evidence {
                records: &records,
                calls: &calls,
                bills: &bills,
                rules: &rules,
            });
            let has_missing_bill =
                found.iter().any(|v| matches!(v, Violation::LostBill(_)));
            if !has_missing_bill {
                break;
            }
            Timer::after(Duration::from_secs(1)).await;
        }
        Ok(found)
    }
}

/// Adds a second replica, named `NAME-2`, of each engine. Only these leave
/// or are killed, so that each model stays available in both halls.
fn add_spare_engines(plan: &mut FleetPlan) {
    let mut spares = plan.engines.clone();
    for spare in &mut spares {
        spare.name = format!("{}-2", spare.name);
    }
    plan.engines.extend(spares);
}

/// Starts a random fault; `None` if the one drawn isn't possible now.
async fn begin_fault(
    fleet: &mut Fleet,
    rng: &mut ChaCha8Rng,
) -> FleetResult<Option<Fault>> {
    let live: Vec<String> = fleet
        .vms
        .values()
        .filter(|vm| vm.process.is_some())
        .map(|vm| vm.name.clone())
        .collect();
    let Some(vm) = live.choose(rng).cloned() else { return Ok(None) };
    let hall = FAULT_HALLS[rng.random_range(0..FAULT_HALLS.len())];
    let spares: Vec<String> = fleet
        .upstreams
        .keys()
        .filter(|name| name.ends_with("-2"))
        .cloned()
        .collect();
    // A bill that isn't committed yet is known to two VMs of a data hall, and
    // is lost if both are killed. That is no violation, so a VM is killed only
    // while another one of its hall is running.
    let has_hall_peer = live.iter().any(|other| {
        *other != vm && fleet.vms[other].hall == fleet.vms[&vm].hall
    });
    let fault = match rng.random_range(0..10) {
        0 | 1 if has_hall_peer => {
            fleet.kill_vm(&vm);
            Fault::Killed(vm)
        }
        2 => {
            fleet.pause_vm(&vm);
            Fault::Paused(vm)
        }
        3 => {
            fleet.partition_hall(hall, rng.random_bool(0.5));
            Fault::CutHall(hall.to_owned())
        }
        4 => {
            fleet.set_store_path(&vm, Mode::Cut);
            Fault::CutStore(vm)
        }
        5 => {
            set_kv(fleet, |faults| faults.outage = true).await?;
            Fault::StoreOut
        }
        6 => {
            set_kv(fleet, |faults| faults.slow_ms = 400).await?;
            Fault::StoreSlow
        }
        7 => {
            set_kv(fleet, |faults| faults.lost_answers = 0.3).await?;
            Fault::LostAnswers
        }
        8 => match spares.choose(rng).cloned() {
            Some(spare) if rng.random_bool(0.5) => {
                fleet.leave(&spare).await?;
                Fault::UpstreamLeft(spare)
            }
            Some(spare) => {
                fleet.kill_upstream(&spare);
                Fault::UpstreamDied(spare)
            }
            None => return Ok(None),
        },
        _ => {
            fleet.set_all_peer_paths(Mode::Lossy(0.3));
            Fault::LossyPeers
        }
    };
    Ok(Some(fault))
}

/// Sets the store's faults to the defaults with this change.
async fn set_kv(
    fleet: &Fleet,
    change: impl FnOnce(&mut KvFaults),
) -> FleetResult<()> {
    let mut faults = KvFaults::default();
    change(&mut faults);
    fleet.set_kv_faults(faults).await
}

/// Ends a fault and restores what it took away.
async fn end_fault(fleet: &mut Fleet, fault: Fault) -> FleetResult<()> {
    match fault {
        Fault::Killed(vm) => fleet.restart_vm(&vm).await?,
        Fault::Paused(vm) => fleet.resume_vm(&vm),
        Fault::CutHall(hall) => fleet.end_partition(&hall),
        Fault::CutStore(vm) => fleet.set_store_path(&vm, Mode::Pass),
        Fault::StoreOut | Fault::StoreSlow | Fault::LostAnswers => {
            set_kv(fleet, |_| {}).await?;
        }
        Fault::LossyPeers => fleet.set_all_peer_paths(Mode::Pass),
        Fault::UpstreamLeft(name) | Fault::UpstreamDied(name) => {
            let plan = fleet.plan.engines.clone();
            let engine = plan.into_iter().find(|e| e.name == name);
            fleet.remove_upstream(&name).await?;
            if let Some(engine) = engine {
                fleet.start_engine(&engine)?;
                fleet.publish().await?;
            }
        }
    }
    Ok(())
}

/// The configuration revisions that each incarnation of each VM reported, in
/// the order of the samples.
#[derive(Default)]
struct RevisionWatch {
    /// Revisions by VM name and incarnation.
    seen: BTreeMap<String, Vec<u64>>,
}

impl RevisionWatch {
    /// Records the current revision of each VM that responds in time; paused
    /// and killed ones don't.
    async fn sample(&mut self, fleet: &Fleet) {
        let names: Vec<String> = fleet.vms.keys().cloned().collect();
        for name in names {
            let status = async { fleet.status(&name).await.ok() };
            let limit = async {
                Timer::after(Duration::from_millis(300)).await;
                None
            };
            let status = futures_lite::future::or(status, limit).await;
            let Some(status) = status else { continue };
            let incarnation = format!("{name} {}", status["incarnation"]);
            if let Some(revision) = status["revision"].as_u64() {
                self.seen.entry(incarnation).or_default().push(revision);
            }
        }
    }
}

/// Creates a histogram of latencies in microseconds.
fn histogram() -> Histogram<u64> {
    const MAX_LATENCY_US: u64 = 60_000_000;
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds")
}

/// Returns the CPU time that a process has used, in seconds.
fn cpu_s(pid: u32) -> FleetResult<f64> {
    const TICKS_PER_S: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))
        .map_err(|error| error.to_string())?;
    let after_name = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |at: usize| -> f64 {
        fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0.0)
    };
    Ok((ticks(11) + ticks(12)) / TICKS_PER_S)
}

/// Returns the resident memory of a process, in kilobytes.
fn memory_kb(pid: u32) -> FleetResult<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))
        .map_err(|error| error.to_string())?;
    text.lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .ok_or_else(|| "the process's status has no VmRSS".to_owned())
}
