//! The faults of a soak and how they are drawn at random.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::upstreams::Behaviour;
use crate::{platform_store::StoreMode, proxy::Mode};

/// A fault, or an operation, that the soak applies from outside the VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A VM's process is frozen (SIGSTOP) until the fault ends.
    PauseVm(usize),
    /// A VM's process is killed, and started again when the fault ends.
    KillVm(usize),
    /// All VMs' processes are killed at once, and started again.
    KillAll,
    /// A VM is shut down gracefully (SIGTERM), and started again when it has
    /// ended.
    StopVm(usize),
    /// A VM gets SIGHUP, on which it reloads its settings.
    ReloadVm(usize),
    /// The proxy between the callers and a VM is put into this mode.
    CallersWay(usize, Mode),
    /// The proxy between a VM and the store is put into this mode.
    StoreWay(usize, Mode),
    /// The store rejects all calls of a VM.
    StoreRefuses(usize),
    /// The store is put into this mode for all VMs.
    Store(StoreMode),
    /// The store is away, and comes back from an older copy of itself. Not
    /// drawn with the other faults.
    OlderCopy,
    /// The proxy before an upstream is put into this mode.
    UpstreamWay(usize, Mode),
    /// An upstream treats requests as this behaviour says.
    Upstream(usize, Behaviour),
    /// An upstream leaves, and another replaces it.
    Leave(usize),
    /// An upstream signals in its responses that it is leaving, and only later
    /// in its record; another replaces it.
    LeaveUnrecorded(usize),
    /// An upstream crashes, and starts again with the same ID and address.
    StartAgain(usize),
    /// Another writer puts a malformed upstream record into the store; the
    /// number selects what is wrong with it.
    Unreadable(u64),
    /// The operator adds a route.
    AddRoute,
    /// The operator removes an API key and adds another.
    ReplaceKey,
    /// The operator orders the rollout of a new version.
    RollOut {
        /// Whether most responses of the version are failures.
        is_bad: bool,
    },
}

/// What a fault affects; faults with the same target do not overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A VM's process.
    Process(usize),
    /// The proxy between the callers and a VM.
    CallersWay(usize),
    /// The proxy between a VM and the store.
    StoreWay(usize),
    /// The store.
    Store,
    /// The proxy before an upstream.
    UpstreamWay(usize),
    /// An upstream.
    Upstream(usize),
    /// The operator's rollout order.
    Operator,
}

/// Range of a fault's duration, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..4000;

/// Faulty modes of the store that a soak draws from.
const FAULTY_STORE_MODES: [StoreMode; 5] = [
    StoreMode::Resetting,
    StoreMode::Busy,
    StoreMode::Silent,
    StoreMode::LosingAnswers,
    StoreMode::Forgetful,
];

impl Fault {
    /// Returns what it affects; `None` for a change without a duration, which
    /// may overlap any fault.
    pub fn target(self) -> Option<Target> {
        Some(match self {
            Fault::PauseVm(vm) => Target::Process(vm),
            Fault::CallersWay(vm, _) => Target::CallersWay(vm),
            Fault::StoreWay(vm, _) | Fault::StoreRefuses(vm) => {
                Target::StoreWay(vm)
            }
            Fault::Store(_) | Fault::OlderCopy => Target::Store,
            Fault::UpstreamWay(at, _) => Target::UpstreamWay(at),
            Fault::Upstream(at, _) => Target::Upstream(at),
            Fault::RollOut { .. } => Target::Operator,
            Fault::KillVm(_)
            | Fault::KillAll
            | Fault::StopVm(_)
            | Fault::ReloadVm(_)
            | Fault::Leave(_)
            | Fault::LeaveUnrecorded(_)
            | Fault::StartAgain(_)
            | Fault::Unreadable(_)
            | Fault::AddRoute
            | Fault::ReplaceKey => return None,
        })
    }

    /// Draws a fault and its duration for a site with these numbers of VMs and
    /// upstreams.
    pub fn draw(
        rng: &mut ChaCha8Rng,
        vms: usize,
        upstreams: usize,
    ) -> (Fault, Duration) {
        let vm = rng.random_range(0..vms);
        let upstream = rng.random_range(0..upstreams);
        let mode = draw_mode(rng);
        let fault = match rng.random_range(0..38) {
            0..3 => Fault::PauseVm(vm),
            3..6 => Fault::KillVm(vm),
            6 => Fault::KillAll,
            7..10 => Fault::StopVm(vm),
            10 => Fault::ReloadVm(vm),
            11..14 => Fault::CallersWay(vm, mode),
            14..17 => Fault::StoreWay(vm, mode),
            17 => Fault::StoreRefuses(vm),
            18..21 => Fault::Store(
                *FAULTY_STORE_MODES
                    .choose(rng)
                    .expect("the list is not empty"),
            ),
            21..23 => Fault::UpstreamWay(upstream, mode),
            23..26 => {
                let behaviour = Behaviour::FAULTS.choose(rng);
                Fault::Upstream(upstream, *behaviour.expect("behaviours"))
            }
            26 => Fault::Leave(upstream),
            27..29 => Fault::AddRoute,
            29..31 => Fault::ReplaceKey,
            31..33 => Fault::StartAgain(upstream),
            33 => Fault::Unreadable(rng.random()),
            36.. => Fault::LeaveUnrecorded(upstream),
            _ => Fault::RollOut { is_bad: rng.random() },
        };
        (fault, Duration::from_millis(rng.random_range(DURATION_MS)))
    }
}

fn draw_mode(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..6) {
        0 => Mode::Cut,
        1 => Mode::Stall,
        2 => Mode::Delay(Duration::from_millis(rng.random_range(20..300))),
        3 => Mode::DropAnswers,
        4 => Mode::MuteAnswers,
        _ => Mode::Truncate(rng.random_range(0..400)),
    }
}
