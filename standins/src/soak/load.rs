//! Load that exceeds the slots: plain upstreams with few slots and uneven
//! pace, several organisations, one of which is overloading, and the checks of
//! what callers and upstreams see of it.

use std::{collections::HashSet, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::{
    check::{Promise, Violation, violation},
    evidence::{Call, Evidence, Kind, Scope},
    upstreams::Limited,
};
use crate::{
    documents::bearer_key,
    gateway_site::{KEY, PLAIN},
    pace::Pace,
};

/// The organisations of the site. The first owns all keys of a run without
/// such load.
pub const ORGANISATIONS: [&str; 4] = ["village", "harbour", "mill", "orchard"];

/// The index of the overloading organisation.
const OVERLOADING: usize = 1;

/// How many times as many callers the overloading organisation has in a burst.
const OVERLOAD_FACTOR: u64 = 7;

/// Length of a burst, and time from one to the next, in seconds.
const BURST_S: u64 = 3;
const BURST_PERIOD_S: u64 = 5;

/// Service time of plain requests.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Slots of each plain upstream to draw from. With one, the upstreams have
/// fewer slots than there are VMs.
const SLOTS: [u16; 3] = [1, 1, 2];

/// Time limit of the routes of plain requests.
const TIME_LIMIT: Duration = Duration::from_millis(1000);

/// Requests are rejected before this time of their time limit is left: the
/// usual service time of the slowest upstream.
const HELD_MARGIN: Duration = Duration::from_millis(55);

/// Share of the mean number of served requests that each organisation gets,
/// and the mean below which chance decides.
const MIN_SHARE: f64 = 0.25;
const MIN_MEAN: f64 = 30.0;

/// Mixed into the run's seed, so that the load is drawn independently of
/// faults.
const SEED_SALT: u64 = 0x6c6f_6164;

/// The load of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Slots of each plain upstream; `None` if a run has none of this load.
    pub slots: Option<u16>,
    /// Whether the plain upstreams differ in speed and have slow phases.
    pub is_uneven: bool,
    /// Whether one organisation is overloading.
    pub has_overload: bool,
    seed: u64,
}

/// An arrival at an upstream that had more requests than two coordinators
/// grant.
#[derive(Clone, Debug)]
pub struct Overfill {
    /// The ID of the upstream.
    pub upstream: String,
    /// When the request arrived.
    pub at: Duration,
    /// The requests that ran and waited at the upstream with it.
    pub held: u64,
}

impl Load {
    /// Draws the load of a seed. Only multiples of four have any, so that the
    /// seeds that found faults before keep the requests they had.
    pub fn draw(seed: u64) -> Load {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
        if !seed.is_multiple_of(4) {
            return Load::default();
        }
        Load {
            slots: SLOTS.choose(&mut rng).copied(),
            is_uneven: rng.random_bool(0.7),
            has_overload: rng.random_bool(0.7),
            seed,
        }
    }

    /// Returns the slots and the pace of the upstream with this number.
    pub fn limits(&self, service: &str, number: usize) -> Option<Limited> {
        let slots = self.slots.filter(|_| service == PLAIN)?;
        let seed = self.seed ^ SEED_SALT ^ ((number as u64) << 32);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pace = match self.is_uneven {
            true => Pace::uneven(WORK_TIME, &mut rng),
            false => Pace::steady(WORK_TIME),
        };
        Some(Limited::new(slots, pace))
    }

    /// Returns the number of callers besides `count` usual ones, all of the
    /// overloading organisation.
    pub fn extra_callers(&self, count: u64) -> u64 {
        let usual = count / ORGANISATIONS.len() as u64;
        if self.has_overload { usual * (OVERLOAD_FACTOR - 1) } else { 0 }
    }

    /// Returns the permanent key of the caller with this number, counted from
    /// 1, of `count` usual ones.
    pub fn key(&self, number: u64, count: u64) -> String {
        let organisation = match self.slots {
            None => 0,
            Some(_) if number > count => OVERLOADING,
            Some(_) => number as usize % ORGANISATIONS.len(),
        };
        match organisation {
            0 => KEY.to_owned(),
            other => bearer_key(ORGANISATIONS[other]),
        }
    }
}

/// Returns the organisations besides the first one, for the configuration.
pub fn more_tenants() -> impl Iterator<Item = Value> {
    ORGANISATIONS
        .iter()
        .skip(1)
        .map(|name| json!({ "name": name, "api_keys": [bearer_key(name)] }))
}

/// Returns the organisation that owns a key.
pub fn organisation(key: &str) -> &'static str {
    let mut others = ORGANISATIONS.iter().skip(1);
    others.find(|name| bearer_key(name) == key).unwrap_or(&ORGANISATIONS[0])
}

/// Returns whether a time is in a burst of the overloading organisation.
pub fn is_burst(at: Duration) -> bool {
    at.as_secs() % BURST_PERIOD_S < BURST_S
}

/// Returns the most requests at an upstream while two VMs coordinate: twice
/// its slots and one for every six of them.
pub fn most_held(slots: u16) -> u64 {
    2 * u64::from(slots + slots / 6)
}

/// A change at a VM: when, its index, and whether the plain requests are
/// coordinated there from then on.
pub type CoordinationChange = (Duration, usize, bool);

/// Returns the periods until `end` in which the plain requests are coordinated
/// at all VMs.
pub fn coordinated_periods(
    mut changes: Vec<CoordinationChange>,
    vms: usize,
    end: Duration,
) -> Vec<(Duration, Duration)> {
    changes.retain(|(at, ..)| *at < end);
    changes.sort();
    let mut states = vec![false; vms];
    let mut begun = None;
    let mut periods = Vec::new();
    for (at, vm, is_coordinated) in changes {
        states[vm] = is_coordinated;
        match (begun, states.contains(&false)) {
            (None, false) => begun = Some(at),
            (Some(from), true) => {
                periods.push((from, at));
                begun = None;
            }
            _ => {}
        }
    }
    periods.extend(begun.map(|from| (from, end)));
    periods
}

fn is_plain(call: &Call) -> bool {
    matches!(call.kind, Kind::Read | Kind::Once)
}

/// Returns whether no trouble of any kind affected a call.
fn is_quiet(evidence: &Evidence, call: &Call) -> bool {
    !evidence.any_trouble(call.sent_at, call.ended_at, |_| true)
}

/// Checks that requests which no upstream got are answered before their
/// deadline.
pub(super) fn rejections_come_early(evidence: &Evidence) -> Vec<Violation> {
    let arrived = evidence.runs.iter().chain(&evidence.declined);
    let arrived: HashSet<&str> = arrived.map(|run| run.id.as_str()).collect();
    let held = evidence.calls.iter().filter(|call| {
        is_plain(call)
            && call.status != 200
            && call.ended_at - call.sent_at > TIME_LIMIT - HELD_MARGIN
            && !arrived.contains(call.id.as_str())
            && is_quiet(evidence, call)
    });
    held.map(|call| {
        let took = call.ended_at - call.sent_at;
        let what = format!("{} got {} after {took:?}", call.id, call.status);
        violation(Promise::EarlyRejection, what)
    })
    .collect()
}

/// Returns how often each organisation was served in bursts while the slots
/// were coordinated, in the order of [`ORGANISATIONS`].
pub fn served_in_bursts(evidence: &Evidence) -> Vec<u32> {
    let counted = evidence.calls.iter().filter(|call| {
        is_plain(call)
            && call.status == 200
            && call.is_whole
            && evidence.has_overload
            && is_burst(call.sent_at)
            && evidence.is_coordinated(call.sent_at)
            && is_quiet(evidence, call)
    });
    let owners: Vec<_> = counted.map(|call| organisation(&call.key)).collect();
    let count = |name| owners.iter().filter(|owner| **owner == name).count();
    ORGANISATIONS.iter().map(|name| count(*name) as u32).collect()
}

/// Checks that the overloading organisation starves no other one while the
/// slots are coordinated.
pub(super) fn no_organisation_is_starved(
    evidence: &Evidence,
) -> Vec<Violation> {
    let served = served_in_bursts(evidence);
    let mean = f64::from(served.iter().sum::<u32>()) / served.len() as f64;
    let is_starved = mean >= MIN_MEAN
        && served.iter().any(|count| f64::from(*count) < mean * MIN_SHARE);
    let what = format!("{ORGANISATIONS:?} were served {served:?} times");
    let found = violation(Promise::FairShare, what);
    is_starved.then_some(found).into_iter().collect()
}

/// Checks that upstreams get no more requests than two VMs grant, while the
/// slots are coordinated and at most one VM is in trouble.
pub(super) fn upstreams_are_not_overfilled(
    evidence: &Evidence,
) -> Vec<Violation> {
    let one_vm_at_most = |at: Duration| {
        let mut vms = HashSet::new();
        evidence.troubles_between(at, at).all(|trouble| match trouble.scope {
            Scope::Vm(vm) | Scope::PlannedStop(vm) => {
                vms.insert(vm);
                vms.len() <= 1
            }
            Scope::Everyone | Scope::Upstreams => false,
        })
    };
    let counted = evidence.overfills.iter().filter(|overfill| {
        evidence.is_coordinated(overfill.at) && one_vm_at_most(overfill.at)
    });
    counted
        .map(|overfill| violation(Promise::Overfill, format!("{overfill:?}")))
        .collect()
}
