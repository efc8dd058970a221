//! Faults of a soak: what there are, and how one is drawn.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::upstreams::Behaviour;
use crate::{platform_store::Mood, proxy::Mode};

/// Something that goes wrong, or is done by operators, from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A VM's process is frozen for a while.
    PauseVm(usize),
    /// A VM's process is killed, and started again after a while.
    KillVm(usize),
    /// Every VM's process is killed at once.
    KillAll,
    /// A VM is stopped as planned, and started again when it has ended.
    StopVm(usize),
    /// A VM is told that its settings have changed.
    ReloadVm(usize),
    /// Something happens on the callers' way to a VM.
    CallersWay(usize, Mode),
    /// Something happens on a VM's way to the store.
    StoreWay(usize, Mode),
    /// The store turns a VM away.
    StoreRefuses(usize),
    /// The store treats all calls so.
    Store(Mood),
    /// Something happens on the way to an upstream.
    UpstreamWay(usize, Mode),
    /// An upstream treats requests so.
    Upstream(usize, Behaviour),
    /// An upstream leaves, and another comes.
    Leave(usize),
    /// An upstream leaves and says so in its answers; its record says it
    /// later, and another comes.
    LeaveUnrecorded(usize),
    /// An upstream crashes, and starts again under its name.
    StartAgain(usize),
    /// Another writer leaves an entry that cannot be read.
    Unreadable(u64),
    /// The operator adds a route.
    AddRoute,
    /// The operator takes a key away and gives out another.
    ReplaceKey,
    /// The operator orders a new version, which may be a bad one.
    RollOut {
        /// Whether most of its answers are failures.
        is_bad: bool,
    },
}

/// What a fault strikes; two that strike the same do not overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A VM's process.
    Process(usize),
    /// The callers' way to a VM.
    CallersWay(usize),
    /// A VM's way to the store.
    StoreWay(usize),
    /// The store.
    Store,
    /// The way to an upstream.
    UpstreamWay(usize),
    /// An upstream.
    Upstream(usize),
    /// What the operator has written.
    Operator,
}

/// Shortest and longest time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..4000;

/// Moods of the store that are faults.
const MOODS: [Mood; 5] = [
    Mood::Resetting,
    Mood::Busy,
    Mood::Silent,
    Mood::LosingAnswers,
    Mood::Forgetful,
];

impl Fault {
    /// What it strikes; nothing for what is over at once.
    pub fn target(self) -> Option<Target> {
        Some(match self {
            Fault::PauseVm(vm) => Target::Process(vm),
            Fault::CallersWay(vm, _) => Target::CallersWay(vm),
            Fault::StoreWay(vm, _) | Fault::StoreRefuses(vm) => {
                Target::StoreWay(vm)
            }
            Fault::Store(_) => Target::Store,
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

    /// Draws a fault, and how long it lasts, for so many VMs and upstreams.
    pub fn draw(
        rng: &mut ChaCha8Rng,
        vms: usize,
        upstreams: usize,
    ) -> (Fault, Duration) {
        let vm = rng.random_range(0..vms);
        let upstream = rng.random_range(0..upstreams);
        let way = draw_way(rng);
        let fault = match rng.random_range(0..38) {
            0..3 => Fault::PauseVm(vm),
            3..6 => Fault::KillVm(vm),
            6 => Fault::KillAll,
            7..10 => Fault::StopVm(vm),
            10 => Fault::ReloadVm(vm),
            11..14 => Fault::CallersWay(vm, way),
            14..17 => Fault::StoreWay(vm, way),
            17 => Fault::StoreRefuses(vm),
            18..21 => Fault::Store(*MOODS.choose(rng).expect("moods")),
            21..23 => Fault::UpstreamWay(upstream, way),
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
        (fault, Duration::from_millis(rng.random_range(LASTS_MS)))
    }
}

fn draw_way(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..6) {
        0 => Mode::Cut,
        1 => Mode::Stall,
        2 => Mode::Delay(Duration::from_millis(rng.random_range(20..300))),
        3 => Mode::DropAnswers,
        4 => Mode::MuteAnswers,
        _ => Mode::Truncate(rng.random_range(0..400)),
    }
}
