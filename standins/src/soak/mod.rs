//! The soak test: runs real processes of the router in a simulated platform,
//! injects faults from outside, in series and overlapping, and checks that the
//! router keeps its promises.
//!
//! * [`faults`]: faults, drawn from a seed; `inject` applies and ends them.
//! * `world`: the site and its main loop.
//! * [`upstreams`], [`callers`], [`client`]: the upstreams and callers.
//! * [`crashing`]: requests that crash upstreams, and their quarantine.
//! * [`signals`]: backoff and leaving signals, and whether VMs respect them.
//! * [`rate_limits`]: rate limits, and whether VMs respect them.
//! * [`late_follower`]: a follower of the store that is behind.
//! * [`older_copies`]: returns of the store from an older copy of itself.
//! * [`quiet_leaves`]: upstreams that leave while the VMs that follow the store
//!   are lost.
//! * [`preferences`]: a load balancer that prefers one VM.
//! * [`unruly`]: callers that stop short within their requests, and what VMs
//!   hold of them.
//! * [`load`]: load that exceeds the slots, and how it is shared.
//! * [`evidence`]: what a run records.
//! * [`check`]: the promises, checked against the evidence.
//!
//! The same seed draws the same faults at the same times, but real processes
//! are not deterministic. So a seed that failed is kept and run again, and the
//! logs of the failed run are kept too.

use std::{path::PathBuf, time::Duration};

use argh::FromArgs;
use serde_json::{Value, json};

pub mod callers;
pub mod check;
pub mod client;
pub mod crashing;
pub mod evidence;
pub mod faults;
pub mod late_follower;
pub mod load;
pub mod older_copies;
pub mod preferences;
pub mod quiet_leaves;
pub mod rate_limits;
pub mod signals;
pub mod unruly;
pub mod upstreams;

mod inject;
mod world;

use check::Violation;
use load::Load;
use signals::IgnoredSignals;
use world::World;

/// Run the soak test on the router; the last line is JSON, and the exit
/// code is 0 only when no promise was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// first seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// number of seeds, run one after the other
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// number of entry VMs
    #[argh(option, default = "6")]
    pub vms: usize,
    /// number of callers
    #[argh(option, default = "24")]
    pub callers: u64,
    /// folder for the logs of failed runs
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    pub logs: PathBuf,
}

impl Soak {
    /// Runs every seed; returns whether no promise was broken.
    ///
    /// # Errors
    ///
    /// If this program's path cannot be determined or logs cannot be written.
    pub fn run(&self) -> Result<bool, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut is_kept = true;
        for seed in self.seed..self.seed + self.seeds {
            let outcome = self.run_seed(seed, program.clone())?;
            is_kept &= outcome.violations.is_empty();
            println!("{}", outcome.to_json());
        }
        Ok(is_kept)
    }

    /// Runs one seed, with `program` as the program of the VMs.
    ///
    /// # Errors
    ///
    /// If logs cannot be written.
    pub fn run_seed(
        &self,
        seed: u64,
        program: PathBuf,
    ) -> Result<Outcome, String> {
        let mut world = World::start(self, seed, program);
        world.soak(Duration::from_secs(self.seconds));
        let outcome = world.finish(seed);
        if !outcome.violations.is_empty() {
            let folder = self.logs.join(format!("seed-{seed}"));
            let kept = world.keep_logs(&folder, &outcome);
            kept.map_err(|error| format!("{}: {error}", folder.display()))?;
        }
        Ok(outcome)
    }
}

/// The result of one seed's run.
#[derive(Debug)]
pub struct Outcome {
    /// The seed of the run.
    pub seed: u64,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Number of calls that were made.
    pub calls: usize,
    /// Number of calls with a complete response with status 200.
    pub served: usize,
    /// Number of different crashing requests that were sent.
    pub crashing_requests: usize,
    /// The most upstream crashes that one of them caused.
    pub most_ended_by_one: usize,
    /// Requests that were sent in spite of upstreams' signals.
    pub ignored_signals: IgnoredSignals,
    /// Number of rate limits that upstreams stated.
    pub limits_named: usize,
    /// The most requests beyond a rate limit that arrived at one upstream.
    pub sent_past_limit: usize,
    /// Number of times that the store came back from an older copy.
    pub older_copies: usize,
    /// How long after an upstream left the last request arrived there that an
    /// undisturbed VM sent it.
    pub latest_to_learn: Duration,
    /// Number of periods in which the load balancer preferred a VM.
    pub preferences: usize,
    /// The most that VMs held at one moment, if there were unruly callers.
    pub most_held: unruly::MostHeld,
    /// The load of the plain upstreams.
    pub load: Load,
    /// Number of calls with status 429 or 503.
    pub rejected: usize,
    /// Time for which every VM had the plain requests coordinated.
    pub coordinated: Duration,
    /// Arrivals at upstreams that had too many requests while the slots were
    /// coordinated, also in trouble.
    pub overfilled: usize,
    /// How often each organisation was served in bursts.
    pub served_in_bursts: Vec<u32>,
    /// The broken promises.
    pub violations: Vec<Violation>,
}

impl Outcome {
    fn to_json(&self) -> Value {
        let violations = self.violations.iter().map(Violation::to_string);
        json!({
            "seed": self.seed,
            "faults": self.faults,
            "requests": self.calls,
            "served": self.served,
            "crashing_requests": self.crashing_requests,
            "most_ended_by_one": self.most_ended_by_one,
            "sent_into_rest": self.ignored_signals.sent_during_backoff,
            "sent_after_leaving": self.ignored_signals.sent_after_leaving,
            "limits_named": self.limits_named,
            "sent_past_limit": self.sent_past_limit,
            "older_copies": self.older_copies,
            "latest_to_learn_ms": self.latest_to_learn.as_millis() as u64,
            "preferences": self.preferences,
            "most_memory_bytes": self.most_held.memory_bytes,
            "most_descriptors": self.most_held.descriptors,
            "slots": self.load.slots,
            "uneven": self.load.is_uneven,
            "overloading": self.load.has_overload,
            "rejected": self.rejected,
            "coordinated_ms": self.coordinated.as_millis() as u64,
            "overfilled": self.overfilled,
            "served_in_bursts": self.served_in_bursts,
            "violations": violations.collect::<Vec<_>>(),
        })
    }
}
