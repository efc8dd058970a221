//! Crowds of callers that stop short within their requests, at one VM after
//! another, and the check that no VM holds more than its settings allow.

use std::{thread, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    check::{Promise, Violation, violation},
    evidence::Evidence,
    world::World,
};
use crate::{
    crowd::{Crowd, Form},
    footprint::Footprint,
    gateway_site::KEY,
};

/// Seeds that are this more than a multiple of [`SEED_PERIOD`] have crowds.
const SEED_REMAINDER: u64 = 1;
const SEED_PERIOD: u64 = 6;

/// Memory in the settings of the VMs, in MB.
pub const MEMORY_MB: u32 = 64;
/// Descriptors in the settings of the VMs.
pub const MAX_OPEN_FILES: u32 = 600;

/// Callers of a crowd: more than a VM has room for.
const CALLERS: usize = 150;

/// Bytes of a body that a caller sends, one less than it states.
const SENT_BYTES: usize = 40_000;

/// Shortest and longest time of a crowd, and pause between two, in
/// milliseconds.
const DURATION_MS: std::ops::Range<u64> = 1500..4000;
const BETWEEN_MS: std::ops::Range<u64> = 300..1500;

/// Interval between two readings of what the VMs hold.
const READING_INTERVAL: Duration = Duration::from_millis(200);

/// Mixed into the run's seed, so that crowds are drawn independently of
/// faults.
const SEED_SALT: u64 = 0x0075_6e72_756c_7900;

/// The most that VMs held at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct MostHeld {
    /// Resident memory and unread bytes, in bytes.
    pub memory_bytes: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

/// Draws crowds, one after the other.
pub(super) struct UnrulyCallers {
    is_used: bool,
    rng: ChaCha8Rng,
    next_at: Duration,
    next_reading_at: Duration,
    crowd: Option<(Crowd, Duration)>,
}

impl UnrulyCallers {
    pub(super) fn new(seed: u64) -> UnrulyCallers {
        UnrulyCallers {
            is_used: has_crowds(seed),
            rng: ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT),
            next_at: Duration::ZERO,
            next_reading_at: Duration::ZERO,
            crowd: None,
        }
    }
}

/// Returns whether there are crowds with a seed.
pub fn has_crowds(seed: u64) -> bool {
    seed % SEED_PERIOD == SEED_REMAINDER
}

/// Returns what the callers of a crowd may send: no whole request.
fn forms() -> Vec<Form> {
    let head = |line: &str| {
        format!(
            "POST /once/x HTTP/1.1\r\nHost: site.example\r\n\
             Lupinseam-Attempt-Id: crowd\r\nApi-Key: {KEY}\r\n{line}\r\n\r\n"
        )
    };
    let length = format!("Content-Length: {}", SENT_BYTES + 1);
    let chunked = "Transfer-Encoding: chunked";
    vec![
        Form::new(head(&length), "a", SENT_BYTES),
        Form::new(head(chunked), "1\r\na\r\n", SENT_BYTES / 2),
        Form::new(head("Content-Length: 1000000000"), "a", SENT_BYTES),
        Form::new("POST /once/x HTTP/1.1\r\nX-Long: ", "a", 8 << 10),
        Form::new("", "", 0),
    ]
}

impl World {
    /// Starts and ends crowds that are due, and reads what the VMs hold.
    pub(super) fn run_unruly_callers(&mut self, now: Duration) {
        let unruly = &mut self.unruly_callers;
        if !unruly.is_used {
            return;
        }
        if unruly.crowd.as_ref().is_some_and(|(_, ends_at)| now >= *ends_at) {
            let pause = unruly.rng.random_range(BETWEEN_MS);
            unruly.next_at = now + Duration::from_millis(pause);
            self.end_crowd();
        } else if unruly.crowd.is_none() && now >= unruly.next_at {
            let vm = unruly.rng.random_range(0..self.site.vms.len());
            let forms = forms();
            let mut form =
                forms.choose(&mut unruly.rng).expect("a form").clone();
            form.connections = usize::MAX;
            let time = unruly.rng.random_range(DURATION_MS);
            let address = self.site.vms[vm].callers;
            let crowd = Crowd::start(address, CALLERS, &form);
            let ends_at = now + Duration::from_millis(time);
            unruly.crowd = Some((crowd, ends_at));
        }
        if now >= self.unruly_callers.next_reading_at {
            self.unruly_callers.next_reading_at = now + READING_INTERVAL;
            self.read_footprints();
        }
    }

    /// Ends the crowd without waiting for its callers.
    pub(super) fn end_crowd(&mut self) {
        let crowd = self.unruly_callers.crowd.take();
        thread::spawn(move || drop(crowd));
    }

    fn read_footprints(&mut self) {
        for vm in self.site.vms.iter().filter(|vm| vm.is_started()) {
            let now = Footprint::of(vm.process_id(), vm.callers);
            let Some(now) = now else { continue };
            let most = &mut self.evidence.most_held;
            most.memory_bytes = most.memory_bytes.max(now.held_bytes());
            most.descriptors = most.descriptors.max(now.descriptors);
        }
    }
}

/// Checks that no VM held more than its settings allow.
pub fn within_settings(evidence: &Evidence) -> Vec<Violation> {
    let most = evidence.most_held;
    let is_within = most.memory_bytes <= u64::from(MEMORY_MB) << 20
        && most.descriptors <= u64::from(MAX_OPEN_FILES);
    match is_within {
        true => Vec::new(),
        false => vec![violation(
            Promise::WithinSettings,
            format!(
                "a VM held {} bytes and {} descriptors; {MEMORY_MB} MB and \
                 {MAX_OPEN_FILES} are allowed",
                most.memory_bytes, most.descriptors
            ),
        )],
    }
}
