//! A load balancer that sends most new connections to one VM, and the check
//! that this VM serves its callers like the others.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    check::{Promise, Violation, violation},
    evidence::{CONTACT_TIME, Call, Evidence},
    world::{Action, World},
};

/// Part of the new connections that goes to the preferred VM.
pub const PREFERRED_SHARE: f64 = 0.9;

/// Seeds that are this more than a multiple of [`SEED_PERIOD`] have
/// preferences.
const SEED_REMAINDER: u64 = 5;
const SEED_PERIOD: u64 = 7;

/// Shortest and longest preference, and pause between two, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 4500..8000;
const BETWEEN_MS: std::ops::Range<u64> = 500..2500;

/// Calls at the preferred VM and at the others from which they are compared,
/// and the share of the others' that must be served there.
const MIN_CALLS: usize = 20;
const MIN_SERVED_SHARE: f64 = 0.75;

/// Mixed into the run's seed, so that preferences are drawn independently of
/// faults.
const SEED_SALT: u64 = 0x7072_6566_6572;

/// A period in which the load balancer preferred a VM.
#[derive(Clone, Debug)]
pub struct Preference {
    /// The VM.
    pub vm: usize,
    /// When the period began.
    pub from: Duration,
    /// When it ended; [`Duration::MAX`] until then.
    pub to: Duration,
}

/// Draws preferences, one after the other.
pub(super) struct Preferences {
    is_used: bool,
    rng: ChaCha8Rng,
    next_at: Duration,
}

impl Preferences {
    pub(super) fn new(seed: u64) -> Preferences {
        Preferences {
            is_used: has_preferences(seed),
            rng: ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT),
            next_at: Duration::ZERO,
        }
    }
}

/// Returns whether the load balancer prefers VMs with a seed.
pub fn has_preferences(seed: u64) -> bool {
    seed % SEED_PERIOD == SEED_REMAINDER
}

impl World {
    /// Begins a preference if one is due.
    pub(super) fn run_preferences(&mut self, now: Duration) {
        let vms = self.site.vms.len();
        let preferences = &mut self.preferences;
        if !preferences.is_used || now < preferences.next_at {
            return;
        }
        let mut draw = |range| {
            Duration::from_millis(
                preferences.rng.random_range::<u64, _>(range),
            )
        };
        let ends_at = now + draw(DURATION_MS);
        preferences.next_at = ends_at + draw(BETWEEN_MS);
        let vm = preferences.rng.random_range(0..vms);
        *self.callers.preferred.lock().unwrap() = Some(vm);
        self.scheduled.push((ends_at, Action::EndPreference));
        let to = Duration::MAX;
        self.evidence.preferences.push(Preference { vm, from: now, to });
    }

    /// Ends the present preference.
    pub(super) fn end_preference(&mut self) {
        *self.callers.preferred.lock().unwrap() = None;
        let now = self.now();
        if let Some(last) = self.evidence.preferences.last_mut() {
            last.to = last.to.min(now);
        }
    }
}

/// Compares what the preferred VM serves with what the others serve at the
/// same time, once it has had the time to adapt.
pub(super) fn preferred_vms_serve_their_callers(
    evidence: &Evidence,
) -> Vec<Violation> {
    let mut found = Vec::new();
    for preference in &evidence.preferences {
        let from = preference.from + CONTACT_TIME;
        if from >= preference.to
            || !evidence.is_undisturbed(preference.vm, from, preference.to)
        {
            continue;
        }
        let calls = evidence.calls.iter().filter(|call| {
            (from..preference.to).contains(&call.sent_at)
                && evidence.is_undisturbed(call.vm, from, preference.to)
        });
        let (own, others): (Vec<&Call>, Vec<&Call>) =
            calls.partition(|call| call.vm == preference.vm);
        if own.len() < MIN_CALLS || others.len() < MIN_CALLS {
            continue;
        }
        let served = |calls: &[&Call]| {
            let is_served =
                |call: &&&Call| call.status == 200 && call.is_whole;
            calls.iter().filter(is_served).count() as f64 / calls.len() as f64
        };
        let (own_share, share) = (served(&own), served(&others));
        if own_share < share * MIN_SERVED_SHARE {
            let what = format!(
                "VM {} served {own_share:.2} of {} calls, the others {share:.2}",
                preference.vm,
                own.len()
            );
            found.push(violation(Promise::Preferred, what));
        }
    }
    found
}
