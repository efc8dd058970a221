//! The doubt of larger models in the requests of other VMs, as these report
//! it.
//!
//! Addresses a fleet of 85 to 300 VMs of which each sees few requests that
//! two models have answered. A decision is made for every answer of a small
//! model, so totals are kept in place of adding up hundreds of reports.

use std::{collections::HashMap, time::Duration};

use super::{DoubtKey, RANGES};
use crate::{
    clock::BootInstant,
    id::Incarnation,
    message::{DoubtReport, ShortHash},
};

/// Time for which a report counts.
pub(super) const REPORT_TTL: Duration = Duration::from_secs(60);

/// Largest number of samples that count of one entry of a report: the weight
/// that a VM's own samples reach.
pub(super) const MAX_SAMPLES: u16 = 100;

/// Largest number of entries of a report.
pub(super) const MAX_ENTRIES: usize = 48;

/// What other VMs report. Each reports its own requests only, so no sample
/// counts twice.
#[derive(Debug, Default)]
pub(super) struct PeerDoubts {
    by_vm: HashMap<ShortHash, VmDoubts>,
    totals: HashMap<DoubtKey, PeerSum>,
    /// No report expires before this time.
    next_expiry: Option<BootInstant>,
}

/// The latest report of one VM.
#[derive(Debug)]
struct VmDoubts {
    id: ReportId,
    received_at: BootInstant,
    /// Its valid entries, each with another key.
    entries: Vec<DoubtReport>,
}

/// Identifies a report among those of the same VM; later ones are larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReportId {
    /// The incarnation of the VM.
    pub(crate) incarnation: Incarnation,
    /// The number of the heartbeat in this incarnation.
    pub(crate) number: u32,
}

/// The doubt in a number of answers. Whole numbers, so that a report that
/// is taken back leaves no rounding error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PeerSum {
    /// The sum of the doubts, in percent.
    pub(super) doubt_percent: u64,
    /// Number of samples.
    pub(super) samples: u64,
}

impl PeerSum {
    fn of_report(report: &DoubtReport) -> PeerSum {
        let samples = u64::from(report.samples);
        let doubt_percent = u64::from(report.doubt_percent) * samples;
        PeerSum { doubt_percent, samples }
    }
}

impl PeerDoubts {
    /// Replaces what a VM has reported, unless the report is not newer. A VM
    /// whose incarnations go back, because its time of day was set back, is
    /// heard again once its last report has expired.
    pub(super) fn merge(
        &mut self,
        vm: ShortHash,
        id: ReportId,
        reports: &[DoubtReport],
        now: BootInstant,
    ) {
        self.expire(now);
        if self.by_vm.get(&vm).is_some_and(|last| last.id >= id) {
            return;
        }
        self.remove(vm);
        let entries = valid_entries(reports);
        for entry in &entries {
            let key = DoubtKey::of_report(entry);
            let total = self.totals.entry(key).or_default();
            let sum = PeerSum::of_report(entry);
            total.doubt_percent += sum.doubt_percent;
            total.samples += sum.samples;
        }
        self.by_vm.insert(vm, VmDoubts { id, received_at: now, entries });
        self.next_expiry.get_or_insert(now + REPORT_TTL);
    }

    /// Returns the sum of all reports that count.
    pub(super) fn total(
        &mut self,
        key: DoubtKey,
        now: BootInstant,
    ) -> PeerSum {
        self.expire(now);
        self.totals.get(&key).copied().unwrap_or_default()
    }

    /// Drops reports that are too old; cheap while there are none.
    fn expire(&mut self, now: BootInstant) {
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        let is_old = |doubts: &VmDoubts| {
            now.saturating_duration_since(doubts.received_at) >= REPORT_TTL
        };
        let old = self.by_vm.iter().filter(|(_, doubts)| is_old(doubts));
        let old: Vec<ShortHash> = old.map(|(vm, _)| *vm).collect();
        for vm in old {
            self.remove(vm);
        }
        let received = self.by_vm.values().map(|doubts| doubts.received_at);
        self.next_expiry = received.min().map(|at| at + REPORT_TTL);
    }

    fn remove(&mut self, vm: ShortHash) {
        let Some(doubts) = self.by_vm.remove(&vm) else { return };
        for entry in &doubts.entries {
            let key = DoubtKey::of_report(entry);
            let Some(total) = self.totals.get_mut(&key) else { continue };
            let sum = PeerSum::of_report(entry);
            total.doubt_percent -= sum.doubt_percent;
            total.samples -= sum.samples;
            if total.samples == 0 {
                self.totals.remove(&key);
            }
        }
    }
}

/// Returns the valid entries of a report. The first of several with the same
/// key counts.
fn valid_entries(reports: &[DoubtReport]) -> Vec<DoubtReport> {
    let is_valid = |report: &&DoubtReport| {
        report.smaller != report.larger
            && report.range < RANGES
            && report.doubt_percent <= 100
            && report.samples > 0
    };
    let valid = reports.iter().take(MAX_ENTRIES).filter(is_valid);
    let mut entries: Vec<DoubtReport> = valid
        .map(|report| DoubtReport {
            samples: report.samples.min(MAX_SAMPLES),
            ..*report
        })
        .collect();
    // The sort is stable.
    entries.sort_by_key(DoubtKey::of_report);
    entries.dedup_by_key(|entry| DoubtKey::of_report(entry));
    entries
}

#[cfg(test)]
mod tests;
