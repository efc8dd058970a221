//! What is known of one subject: the crashes under it, and its last
//! completion.

use std::time::Duration;

use crate::{
    clock::BootInstant,
    crashes::{
        attribution::{Crashes, Occurrence},
        observation::Crash,
    },
};

/// Time for which a completed subject needs more evidence to be quarantined.
pub(super) const COMPLETED_TTL: Duration = Duration::from_secs(60);

/// Age from which a completion that other VMs know of is reported again if the
/// subject crashes upstreams.
pub(super) const COMPLETION_REPORT_INTERVAL: Duration =
    Duration::from_secs(30);

/// Time without a crash under a quarantined subject after which a further one
/// shows that some VM does not know of the quarantine: reports reach all VMs
/// that are connected within this time.
pub(super) const LATE_CRASH_GAP: Duration = Duration::from_secs(1);

/// Minimum time without a crash after which a VM sends one request with a
/// quarantined segment as a trial. It doubles with each trial that crashes
/// another upstream. A segment may be quarantined by mistake, while nothing
/// could complete, and many requests may share it.
pub(super) const TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Maximum number of crashes kept for each subject. Crashes of a culprit
/// beyond that no longer clear its bystanders.
const MAX_CRASHES_PER_SUBJECT: usize = 64;

/// What a crash adds to a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddedCrash {
    /// Nothing.
    Known,
    /// A crash, or a much longer time in flight.
    New,
    /// A crash after some time without any.
    Late,
}

/// A subject that was in flight when upstreams crashed.
#[derive(Debug)]
pub(super) struct Suspect {
    /// The crashes since an upstream last completed the subject.
    pub(super) crashes: Crashes,
    /// When the first VM learned of the last crash.
    pub(super) updated_at: BootInstant,
    /// Whether an upstream completed the subject a short time before.
    pub(super) was_completed: bool,
    /// When this VM last sent a request with the subject as a trial.
    pub(super) trial_at: Option<BootInstant>,
}

impl Suspect {
    /// Creates a suspect without crashes, the first of which is of `at`.
    pub(super) fn new(at: BootInstant, was_completed: bool) -> Suspect {
        Suspect {
            crashes: Crashes::new(),
            updated_at: at,
            was_completed,
            trial_at: None,
        }
    }

    /// Adds a crash that the first VM learned of at `learned_at`.
    pub(super) fn add(
        &mut self,
        crash: Crash,
        learned_at: BootInstant,
    ) -> AddedCrash {
        let in_flight_ms = crash.in_flight_ms;
        if let Some(known) = self.crashes.get_mut(&crash.id) {
            // Another request with the same segment was there for longer.
            let is_news = known.in_flight_ms < in_flight_ms / 2;
            known.in_flight_ms = known.in_flight_ms.max(in_flight_ms);
            return if is_news { AddedCrash::New } else { AddedCrash::Known };
        }
        if self.crashes.len() >= MAX_CRASHES_PER_SUBJECT {
            return AddedCrash::Known;
        }
        let occurrence = Occurrence { in_flight_ms, learned_at };
        self.crashes.insert(crash.id, occurrence);
        let quiet = learned_at.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(learned_at);
        match quiet >= LATE_CRASH_GAP {
            true => AddedCrash::Late,
            false => AddedCrash::New,
        }
    }

    /// Drops the crashes up to a completion at `at`; returns whether there
    /// were any.
    pub(super) fn clear_until(&mut self, at: BootInstant) -> bool {
        let age = self.updated_at.saturating_duration_since(at);
        self.was_completed |= age < COMPLETED_TTL;
        let count_before = self.crashes.len();
        self.crashes.retain(|_, crash| crash.learned_at > at);
        self.crashes.len() < count_before
    }

    /// Whether it is time for a trial, if this VM waits `spread` times as long
    /// as it has to.
    pub(super) fn is_trial_due(&self, spread: f64, now: BootInstant) -> bool {
        let doubled = 1 << self.failed_trials().min(8);
        let delay = TRIAL_DELAY.mul_f64(spread) * doubled;
        let since = self
            .trial_at
            .map_or(self.updated_at, |trial_at| trial_at.max(self.updated_at));
        !is_recent(since, delay, now)
    }

    /// Returns how many crashes came long enough after the one before to be
    /// those of trials.
    fn failed_trials(&self) -> u32 {
        let mut times: Vec<BootInstant> =
            self.crashes.values().map(|crash| crash.learned_at).collect();
        times.sort();
        let pairs = times.windows(2);
        let gaps =
            pairs.map(|pair| pair[1].saturating_duration_since(pair[0]));
        let failed = gaps.filter(|gap| *gap >= TRIAL_DELAY).count();
        u32::try_from(failed).unwrap_or(u32::MAX)
    }
}

/// The last known completion of a subject.
#[derive(Clone, Copy, Debug)]
pub(super) struct Completion {
    pub(super) at: BootInstant,
    /// The last completion that was reported to other VMs, or by them.
    pub(super) reported: Option<BootInstant>,
}

impl Completion {
    /// Whether the subject was completed after a crash.
    pub(super) fn is_after(&self, crashed_at: BootInstant) -> bool {
        self.at >= crashed_at
    }

    /// Whether VMs that learn of a crash should be told of the completion.
    pub(super) fn must_report(
        &self,
        crashed_at: BootInstant,
        now: BootInstant,
    ) -> bool {
        let Some(reported) = self.reported else { return true };
        let clears_crash = self.is_after(crashed_at) && reported < crashed_at;
        clears_crash || !is_recent(reported, COMPLETION_REPORT_INTERVAL, now)
    }
}

/// Whether less than `limit` has passed since `at`.
///
/// Every decision checks this and does not rely on the expiry of entries,
/// which has not run yet right after a suspended VM is resumed.
pub(super) fn is_recent(
    at: BootInstant,
    limit: Duration,
    now: BootInstant,
) -> bool {
    now.saturating_duration_since(at) < limit
}
