//! Simulates how VMs learn of a change in the store while those that usually
//! tell them are lost. The VMs exchange heartbeats as real ones do; their
//! calls to the store and their pushes take the times given here.

use std::{collections::BTreeSet, ops::Range};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;
use crate::{
    chains::store::StoreVersion,
    gateway::test_fleet::{Fleet, STEP_MS},
    platform::store::StoreItem,
    store_sync::store_position::{StoreEra, StorePosition},
};

/// The key that is changed.
const KEY: &str = "key";

/// When it is changed. By then, the VMs have agreed on the watchers.
const CHANGE_MS: Range<u64> = 5_000..6_200;

/// Time after which the change must have taken effect, as operators state it.
const BOUND_MS: u64 = 2_000;

/// Time between the choice of an upstream and the arrival of the request.
const SEND_MS: u64 = 200;

/// Time before the change in which VMs that ask the store count as followers.
const FOLLOWED_MS: u64 = 2_000;

/// Time after which a VM asks the store again that has failed it.
const RETRY_MS: u64 = 1_000;

/// What happens to the VMs that follow the store, at the time of the change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// Nothing.
    None,
    /// They are killed.
    Killed,
    /// They and half of the other VMs are killed.
    HalfKilled,
    /// They no longer reach the store.
    WithoutStore,
    /// They no longer reach the other VMs, nor the others them.
    WithoutPeers,
    /// Their pushes are lost.
    WithoutPushes,
    /// Each call to the store and each push takes long.
    SlowCalls,
}

/// A call of a VM to the store.
#[derive(Clone, Copy)]
struct StoreCall {
    asked_at: BootInstant,
    ends_ms: u64,
    is_answered: bool,
}

/// What a VM does in the simulation.
#[derive(Default)]
struct Follower {
    /// When its present watch began.
    watching_since: Option<BootInstant>,
    /// The call of its watch or poll.
    call: Option<StoreCall>,
    /// When it may call again.
    next_call_ms: u64,
    renewal: Option<StoreCall>,
    next_renewal_ms: u64,
    /// Part of the spread that it adds to the age of its next renewal.
    jitter: f64,
    /// When it last began a call.
    last_call_ms: Option<u64>,
    learned_ms: Option<u64>,
}

/// A push on its way.
struct Push {
    receiver: usize,
    arrives_ms: u64,
    digest_before: u64,
    changes: StoreItems,
}

struct Simulation {
    fleet: Fleet,
    followers: Vec<Follower>,
    pushes: Vec<Push>,
    rng: StdRng,
    loss: Loss,
    lost: BTreeSet<usize>,
    version: u64,
    calls: u32,
}

impl Simulation {
    fn new(halls: usize, vms_per_hall: usize, loss: Loss, seed: u64) -> Self {
        let fleet = Fleet::new(halls, vms_per_hall);
        let count = fleet.vms.len();
        let simulation = Simulation {
            fleet,
            followers: (0..count).map(|_| Follower::default()).collect(),
            pushes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            loss,
            lost: BTreeSet::new(),
            version: 1,
            calls: 0,
        };
        let now = simulation.now();
        let all = simulation.items_since(0);
        for vm in &simulation.fleet.vms {
            vm.knowledge.apply_snapshot(all.clone(), now);
            vm.knowledge.prove(now);
        }
        simulation
    }

    fn now(&self) -> BootInstant {
        self.fleet.vms[0].clock.now()
    }

    /// Returns what the store has changed since a version.
    fn items_since(&self, version: u64) -> StoreItems {
        let version_now = StoreVersion(self.version);
        let item = StoreItem {
            key: KEY.to_owned(),
            value: Some(b"{}".to_vec()),
            version: version_now,
        };
        StoreItems {
            items: if version < self.version { vec![item] } else { vec![] },
            as_of: StorePosition { era: StoreEra(0), version: version_now },
            ..StoreItems::default()
        }
    }

    fn reaches_store(&self, vm: usize) -> bool {
        self.loss != Loss::WithoutStore || !self.lost.contains(&vm)
    }

    fn call_ms(&mut self) -> u64 {
        match self.loss {
            Loss::SlowCalls => self.rng.random_range(150..250),
            _ => self.rng.random_range(10..40),
        }
    }

    fn begin_call(&mut self, vm: usize, asked_at: BootInstant) -> StoreCall {
        self.calls += 1;
        let elapsed_ms = self.fleet.elapsed_ms;
        self.followers[vm].last_call_ms = Some(elapsed_ms);
        let is_answered = self.reaches_store(vm);
        let took_ms = match is_answered {
            true => self.call_ms(),
            false => LATE_AFTER.as_millis() as u64,
        };
        StoreCall { asked_at, ends_ms: elapsed_ms + took_ms, is_answered }
    }

    /// Applies the answer to a call; returns whether there was one.
    fn end_call(&mut self, vm: usize, call: StoreCall) -> bool {
        let gateway = self.fleet.vms[vm].clone();
        let now = self.now();
        if !call.is_answered {
            gateway.peers.set_store_failure(Some(now));
            self.fleet.schedule_early_heartbeat(vm);
            return false;
        }
        let known = gateway.knowledge.as_of().version.0;
        let changes = self.items_since(known);
        if gateway.knowledge.has_new(&changes) {
            self.push(vm, &changes);
        }
        gateway.knowledge.apply_changes(changes);
        gateway.knowledge.prove(call.asked_at);
        gateway.peers.record_poll();
        true
    }

    fn push(&mut self, vm: usize, changes: &StoreItems) {
        let is_lost = self.lost.contains(&vm)
            && matches!(self.loss, Loss::WithoutPeers | Loss::WithoutPushes);
        let (gateway, now) = (self.fleet.vms[vm].clone(), self.now());
        let digest_before = gateway.knowledge.digest();
        let age = gateway.knowledge.copy_age(now);
        let bound = gateway.settings.staleness_bound;
        for address in gateway.peers.change_receivers(age, bound, now) {
            let receiver = self.fleet.vm_at(address);
            if is_lost || self.fleet.silent.contains(&receiver) {
                continue;
            }
            let arrives_ms = self.fleet.elapsed_ms + self.call_ms();
            let changes = changes.clone();
            self.pushes.push(Push {
                receiver,
                arrives_ms,
                digest_before,
                changes,
            });
        }
    }

    fn step(&mut self) {
        self.fleet.step();
        let elapsed_ms = self.fleet.elapsed_ms;
        let due = self
            .pushes
            .extract_if(.., |push| push.arrives_ms <= elapsed_ms)
            .collect::<Vec<_>>();
        for push in due {
            let gateway = &self.fleet.vms[push.receiver];
            let knowledge = &gateway.knowledge;
            knowledge.merge_peer_changes(push.digest_before, push.changes);
            gateway.peers.prove_by_heartbeats(knowledge);
        }
        for vm in 0..self.followers.len() {
            let is_gone = self.lost.contains(&vm)
                && matches!(self.loss, Loss::Killed | Loss::HalfKilled);
            if is_gone {
                continue;
            }
            self.follow(vm);
            self.renew(vm);
            let known = self.fleet.vms[vm].knowledge.version_of(KEY);
            if known == Some(StoreVersion(self.version)) {
                self.followers[vm].learned_ms.get_or_insert(elapsed_ms);
            }
        }
    }

    /// Watches or polls the store, as [`StoreFollower::watch`] does.
    fn follow(&mut self, vm: usize) {
        let (now, elapsed_ms) = (self.now(), self.fleet.elapsed_ms);
        let gateway = self.fleet.vms[vm].clone();
        let role = gateway.watch_role();
        if let Some(call) = self.followers[vm].call {
            if call.ends_ms > elapsed_ms {
                return;
            }
            self.followers[vm].call = None;
            self.followers[vm].watching_since = None;
            let pause_ms = match (self.end_call(vm, call), role) {
                (false, _) => RETRY_MS,
                (true, WatchRole::Watch) => {
                    watch_pause(&gateway).as_millis() as u64
                }
                (true, _) => 0,
            };
            self.followers[vm].next_call_ms = elapsed_ms + pause_ms;
            return;
        }
        if elapsed_ms < self.followers[vm].next_call_ms {
            return;
        }
        match role {
            WatchRole::Idle => self.followers[vm].watching_since = None,
            WatchRole::Poll => {
                self.followers[vm].call = Some(self.begin_call(vm, now));
            }
            WatchRole::Watch => {
                let follower = &mut self.followers[vm];
                let since = *follower.watching_since.get_or_insert(now);
                follower.last_call_ms = Some(elapsed_ms);
                let has_news =
                    gateway.knowledge.as_of().version.0 < self.version;
                // A watch that the store does not answer hangs.
                if has_news && self.reaches_store(vm) {
                    self.followers[vm].call = Some(self.begin_call(vm, since));
                }
            }
        }
    }

    /// Renews the proof, as [`revalidate_loop`] does.
    fn renew(&mut self, vm: usize) {
        let (now, elapsed_ms) = (self.now(), self.fleet.elapsed_ms);
        let gateway = self.fleet.vms[vm].clone();
        if let Some(call) = self.followers[vm].renewal {
            if call.ends_ms > elapsed_ms {
                return;
            }
            self.followers[vm].renewal = None;
            self.followers[vm].jitter = self.rng.random();
            match self.end_call(vm, call) {
                true => self.fleet.schedule_early_heartbeat(vm),
                false => {
                    self.followers[vm].next_renewal_ms = elapsed_ms + RETRY_MS;
                }
            }
            return;
        }
        let rank = gateway.peers.renewal_rank(now);
        let (age, spread) = gateway.settings.staleness_bound.renewal(rank);
        let due = age + spread.mul_f64(self.followers[vm].jitter);
        let is_due =
            gateway.knowledge.copy_age(now).is_some_and(|age| age >= due)
                && elapsed_ms >= self.followers[vm].next_renewal_ms;
        if is_due {
            self.followers[vm].renewal = Some(self.begin_call(vm, now));
        }
    }

    /// Changes the key and loses those that follow the store; returns when.
    fn change(&mut self) -> u64 {
        let elapsed_ms = self.fleet.elapsed_ms;
        let followed = self.followers.iter().enumerate().filter(|(_, f)| {
            f.last_call_ms.is_some_and(|at| elapsed_ms - at < FOLLOWED_MS)
        });
        self.lost = followed.map(|(vm, _)| vm).collect();
        if self.loss == Loss::HalfKilled {
            let others = (0..self.followers.len()).filter(|vm| vm % 2 == 0);
            self.lost.extend(others);
        }
        if matches!(
            self.loss,
            Loss::Killed | Loss::HalfKilled | Loss::WithoutPeers
        ) {
            self.fleet.silent = self.lost.clone();
        }
        self.version += 1;
        for follower in &mut self.followers {
            follower.learned_ms = None;
        }
        elapsed_ms
    }

    /// Returns how long after the change the last VM learned of it that
    /// reaches the store; `None` if one did not in time.
    fn run(mut self) -> Option<u64> {
        let change_ms = self.rng.random_range(CHANGE_MS);
        while self.fleet.elapsed_ms < change_ms {
            self.step();
        }
        let (changed_ms, calls_before) = (self.change(), self.calls);
        while self.fleet.elapsed_ms < changed_ms + BOUND_MS + STEP_MS {
            self.step();
        }
        let is_judged = |vm: &usize| match self.loss {
            Loss::None | Loss::SlowCalls | Loss::WithoutPushes => true,
            _ => !self.lost.contains(vm),
        };
        let judged = (0..self.followers.len()).filter(is_judged);
        let learned = judged.map(|vm| self.followers[vm].learned_ms);
        let latest = learned.collect::<Option<Vec<u64>>>()?.into_iter().max();
        let latest_ms = latest? - changed_ms;
        println!(
            "{:?}, {} VMs, {} lost: {latest_ms} ms; {} calls before the \
             change, {} in two seconds after it",
            self.loss,
            self.followers.len(),
            self.lost.len(),
            calls_before,
            self.calls - calls_before,
        );
        Some(latest_ms)
    }
}

fn assert_learned_in_time(
    halls: usize,
    vms_per_hall: usize,
    losses: &[Loss],
    seeds: Range<u64>,
) {
    for &loss in losses {
        for seed in seeds.clone() {
            let run = Simulation::new(halls, vms_per_hall, loss, seed).run();
            let is_in_time = run.is_some_and(|ms| ms + SEND_MS <= BOUND_MS);
            assert!(is_in_time, "{loss:?}, seed {seed}: {run:?}");
        }
    }
}

const ALL_LOSSES: [Loss; 7] = [
    Loss::None,
    Loss::Killed,
    Loss::HalfKilled,
    Loss::WithoutStore,
    Loss::WithoutPeers,
    Loss::WithoutPushes,
    Loss::SlowCalls,
];

#[test]
fn nine_vms_learn_in_time_whoever_is_lost() {
    assert_learned_in_time(3, 3, &ALL_LOSSES, 0..4);
}

#[test]
fn eighty_four_vms_learn_in_time_whoever_is_lost() {
    assert_learned_in_time(3, 28, &ALL_LOSSES, 0..1);
}

#[test]
fn three_hundred_vms_learn_in_time_whoever_is_lost() {
    let losses = [Loss::HalfKilled, Loss::WithoutStore];
    assert_learned_in_time(4, 75, &losses, 0..1);
}
