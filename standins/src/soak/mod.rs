//! A soak: real processes of the router before the platform, under faults
//! that are injected from outside, in series and overlapping.
//!
//! * [`faults`]: what goes wrong, drawn from a seed; `inject` brings it about.
//! * `world`: the site, and what is due in it.
//! * [`upstreams`], [`callers`], [`client`]: who stands around the VMs.
//! * [`deadly`]: requests that crash the upstreams that run them.
//! * [`own_words`]: what upstreams say of themselves, and who heeds it.
//! * [`rate_limits`]: rates that upstreams name, and who keeps to them.
//! * [`evidence`]: what was seen.
//! * [`check`]: whether that keeps every promise.
//!
//! The same seed draws the same faults at the same times; real processes do
//! not repeat exactly, so a seed that failed is kept and run again, and the
//! logs of the run that failed are kept too.

use std::{path::PathBuf, time::Duration};

use argh::FromArgs;
use serde_json::{Value, json};

pub mod callers;
pub mod check;
pub mod client;
pub mod deadly;
pub mod evidence;
pub mod faults;
pub mod own_words;
pub mod rate_limits;
pub mod upstreams;

mod inject;
mod world;

use check::Violation;
use own_words::IgnoredSignals;
use world::World;

/// Soak the router before the platform; the last line is JSON, and the exit
/// code is 0 only when no promise was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// first seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many seeds, one after the other
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// entry VMs
    #[argh(option, default = "6")]
    pub vms: usize,
    /// callers
    #[argh(option, default = "24")]
    pub callers: u64,
    /// folder for the logs of runs that failed
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    pub logs: PathBuf,
}

impl Soak {
    /// Runs every seed; returns whether all promises were kept.
    ///
    /// # Errors
    ///
    /// When the program cannot be found or logs not be kept.
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

    /// Runs one seed with this program as the VMs.
    ///
    /// # Errors
    ///
    /// When logs cannot be kept.
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

/// How the run of one seed ended.
#[derive(Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: usize,
    /// Calls that were made.
    pub calls: usize,
    /// Calls that were answered whole with a 2xx.
    pub served: usize,
    /// Different requests that crash what runs them.
    pub crashing_requests: usize,
    /// The most upstreams that ended under one of those.
    pub most_ended_by_one: usize,
    /// What was sent against upstreams' own words.
    pub ignored_signals: IgnoredSignals,
    /// Rate limits that upstreams have named.
    pub limits_named: usize,
    /// The most that came at one upstream beyond what its limit allows.
    pub sent_past_limit: usize,
    /// What was violated.
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
            "violations": violations.collect::<Vec<_>>(),
        })
    }
}
