//! Upstreams that leave by their record alone, at the moment at which the VMs
//! that follow the store most closely are lost.

use std::{cmp::Reverse, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::{
    evidence::{Change, Evidence, Scope},
    world::{Action, LEAVE_TIME, World},
};

/// Seeds that are this more than a multiple of [`SEED_PERIOD`] have such
/// leaves.
const SEED_REMAINDER: u64 = 2;
const SEED_PERIOD: u64 = 4;

/// Time between two leaves, time for which VMs are lost, and time after which
/// the store carries out an earlier write, in milliseconds.
const BETWEEN_MS: std::ops::Range<u64> = 2500..5000;
const LOST_MS: std::ops::Range<u64> = 1500..3500;
const LATE_MS: std::ops::Range<u64> = 100..2800;

/// Interval between two writes of an upstream.
const BEAT: Duration = Duration::from_millis(600);

/// Time over which the calls of VMs to the store are counted.
const FOLLOWED_TIME: Duration = Duration::from_millis(2000);

/// Mixed into the run's seed, so that these leaves are drawn independently of
/// faults.
const SEED_SALT: u64 = 0x7175_6965_7400;

/// Draws quiet leaves.
pub(super) struct QuietLeaves {
    is_used: bool,
    rng: ChaCha8Rng,
    next_at: Duration,
    /// The calls for changes of each VM until [`FOLLOWED_TIME`] before that.
    watches: Vec<usize>,
}

impl QuietLeaves {
    pub(super) fn new(seed: u64) -> QuietLeaves {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
        let next_at = Duration::from_millis(rng.random_range(BETWEEN_MS));
        QuietLeaves {
            is_used: has_quiet_leaves(seed),
            rng,
            next_at,
            watches: Vec::new(),
        }
    }
}

/// Returns whether upstreams leave quietly with a seed.
pub fn has_quiet_leaves(seed: u64) -> bool {
    seed % SEED_PERIOD == SEED_REMAINDER
}

impl World {
    /// Lets an upstream leave if that is due.
    pub(super) fn run_quiet_leaves(&mut self, now: Duration) {
        if !self.quiet_leaves.is_used {
            return;
        }
        let watches: Vec<usize> =
            self.site.vms.iter().map(|vm| vm.store.watches()).collect();
        let leaves = &mut self.quiet_leaves;
        if leaves.watches.is_empty() {
            // The site may have taken long to start.
            leaves.next_at = leaves.next_at.max(now + FOLLOWED_TIME);
            leaves.watches = watches;
            return;
        }
        if now < leaves.next_at {
            if now + FOLLOWED_TIME < leaves.next_at {
                leaves.watches = watches;
            }
            return;
        }
        let rng = &mut leaves.rng;
        let mut draw =
            |range| Duration::from_millis(rng.random_range::<u64, _>(range));
        let (lost, late) = (draw(LOST_MS), draw(LATE_MS));
        leaves.next_at = now + draw(BETWEEN_MS) + lost;
        let leaving_at = leaves.rng.random_range(0..self.workers.len());
        let (is_killed, is_late): (bool, bool) = leaves.rng.random();
        let before = std::mem::take(&mut leaves.watches);
        let mut by_calls: Vec<usize> = (0..watches.len()).collect();
        by_calls.sort_by_key(|vm| Reverse(watches[*vm] - before[*vm]));
        by_calls.truncate(watches.len() / 2);
        by_calls.retain(|vm| !self.is_troubled(*vm));
        for vm in by_calls {
            self.lose_follower(vm, is_killed, now, lost);
        }
        let leaving = self.workers.remove(leaving_at);
        let (service, software) = (leaving.service, leaving.software.clone());
        let key = leaving.key();
        let [earlier, leaving_record, last] = leaving.quiet_records();
        self.site.store.put(&key, &leaving_record);
        let id = leaving.upstream.id.clone();
        self.evidence.changes.push((self.now(), Change::Leaving(id)));
        if is_late {
            // The upstream writes again at its next heartbeat.
            for (after, record) in [(late, earlier), (late + BEAT, last)] {
                let write = Action::Write { key: key.clone(), record };
                self.scheduled.push((now + after, write));
            }
        }
        let removed_at = now + LEAVE_TIME;
        self.scheduled.push((removed_at, Action::RemoveRecord(key)));
        self.leaving.push(leaving);
        self.add_worker(service, &software);
    }

    fn is_troubled(&self, vm: usize) -> bool {
        !self.site.vms[vm].is_started() || self.stopping.contains_key(&vm)
    }

    /// Kills or freezes a VM that follows the store.
    fn lose_follower(
        &mut self,
        vm: usize,
        is_killed: bool,
        now: Duration,
        lost: Duration,
    ) {
        let ends_at = now + lost;
        let what = format!("PauseVm({vm})");
        match is_killed {
            true => {
                self.record_trouble(now, ends_at, Scope::Vm(vm), "killed");
                self.kill(vm, ends_at);
            }
            false => {
                self.record_trouble(now, ends_at, Scope::Vm(vm), &what);
                self.site.vms[vm].signal(Signal::STOP);
                self.scheduled.push((ends_at, Action::Resume(vm)));
            }
        }
    }
}

/// Returns how long after the record of an upstream said that it leaves the
/// last request was sent that ran there, by undisturbed VMs.
pub(super) fn latest_to_learn(evidence: &Evidence) -> Duration {
    let calls = evidence.calls_by_id();
    let mut latest = Duration::ZERO;
    for (left_at, change) in &evidence.changes {
        let Change::Leaving(upstream) = change else { continue };
        for run in evidence.runs.iter().filter(|r| r.upstream == *upstream) {
            let Some(call) = calls.get(run.id.as_str()) else { continue };
            let Some(after) = run.at.checked_sub(*left_at) else { continue };
            if call.sent_at >= *left_at
                && evidence.is_undisturbed(call.vm, *left_at, run.at)
            {
                latest = latest.max(after);
            }
        }
    }
    latest
}
