//! The requests in flight of each organisation at each service: those of this
//! VM, and those that other VMs report in heartbeats.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{clock::BootInstant, message::ShortHash};

/// Time for which a report counts: that of the other work in heartbeats, two
/// intervals of 1,200 ms.
const REPORT_TTL: Duration = Duration::from_millis(2500);

/// Maximum number of entries in a report, the largest first: 24 organisations
/// at two services with room to spare, and at most 0.8 KB in a heartbeat.
pub(crate) const MAX_ENTRIES: usize = 64;

/// Maximum number of requests that an entry counts. An organisation that
/// sends all requests to 3,840 slots with 1.25 requests each through 7 VMs has
/// 686 in flight at each; invalid values count for no more than a few VMs.
const MAX_ENTRY_REQUESTS: u16 = 1024;

/// The requests in flight of an organisation at a service, as in heartbeats:
/// hash of the service, hash of the organisation, number.
pub type OrganisationCount = (ShortHash, ShortHash, u16);

/// An organisation at a service.
type Key = (ShortHash, ShortHash);

/// The requests in flight by service and organisation.
#[derive(Debug, Default)]
pub(crate) struct OrganisationRequests {
    own: Mutex<HashMap<Key, u32>>,
    peers: Mutex<PeerReports>,
}

/// The last report of each other VM. Totals are kept, so that a request at a
/// service that is nearly full need not add up the reports of hundreds of VMs.
#[derive(Debug, Default)]
struct PeerReports {
    by_vm: HashMap<ShortHash, (Vec<OrganisationCount>, BootInstant)>,
    /// By service, then by organisation; no total is zero.
    totals: HashMap<ShortHash, HashMap<ShortHash, u32>>,
}

impl PeerReports {
    fn set(
        &mut self,
        vm: ShortHash,
        counts: Vec<OrganisationCount>,
        now: BootInstant,
    ) {
        self.remove(vm);
        if counts.is_empty() {
            return;
        }
        for (service, organisation, count) in &counts {
            let totals = self.totals.entry(*service).or_default();
            *totals.entry(*organisation).or_default() += u32::from(*count);
        }
        self.by_vm.insert(vm, (counts, now));
    }

    fn remove(&mut self, vm: ShortHash) {
        let Some((counts, _)) = self.by_vm.remove(&vm) else { return };
        for (service, organisation, count) in counts {
            let Some(totals) = self.totals.get_mut(&service) else { continue };
            if let Some(total) = totals.get_mut(&organisation) {
                *total -= u32::from(count);
                if *total == 0 {
                    totals.remove(&organisation);
                }
            }
            if totals.is_empty() {
                self.totals.remove(&service);
            }
        }
    }

    /// Drops what was reported too long ago.
    fn expire(&mut self, now: BootInstant) {
        let is_old =
            |at: BootInstant| now.saturating_duration_since(at) >= REPORT_TTL;
        let old = self.by_vm.iter().filter(|(_, (_, at))| is_old(*at));
        let old: Vec<ShortHash> = old.map(|(vm, _)| *vm).collect();
        for vm in old {
            self.remove(vm);
        }
    }
}

impl OrganisationRequests {
    /// Counts a request of this VM until the guard is dropped.
    pub(crate) fn begin(
        self: &Arc<Self>,
        service: ShortHash,
        organisation: ShortHash,
    ) -> OrganisationGuard {
        let key = (service, organisation);
        *self.own.lock().expect("requests lock").entry(key).or_default() += 1;
        OrganisationGuard { requests: self.clone(), key }
    }

    /// Returns the requests of this VM for its heartbeat.
    pub(crate) fn report(&self) -> Vec<OrganisationCount> {
        let own = self.own.lock().expect("requests lock");
        let counts = own.iter().map(|((service, organisation), count)| {
            let count = u16::try_from(*count).unwrap_or(u16::MAX);
            (*service, *organisation, count)
        });
        let mut counts: Vec<OrganisationCount> = counts.collect();
        counts.sort_unstable_by_key(|(_, _, n)| std::cmp::Reverse(*n));
        counts.truncate(MAX_ENTRIES);
        counts
    }

    /// Replaces what another VM has reported. Its entries are limited in
    /// number, in size, and to one for each organisation at a service.
    pub(crate) fn merge_report(
        &self,
        vm: &str,
        counts: &[OrganisationCount],
        now: BootInstant,
    ) {
        let mut by_key: BTreeMap<Key, u16> = BTreeMap::new();
        for (service, organisation, count) in counts.iter().take(MAX_ENTRIES) {
            if *count > 0 {
                let count = (*count).min(MAX_ENTRY_REQUESTS);
                by_key.entry((*service, *organisation)).or_insert(count);
            }
        }
        let counts = by_key.into_iter().map(|((s, o), count)| (s, o, count));
        let mut peers = self.peers.lock().expect("reports lock");
        peers.set(ShortHash::of(vm), counts.collect(), now);
        peers.expire(now);
    }

    /// Returns the requests in flight at a service by organisation, over all
    /// VMs that this VM has heard of lately.
    pub(crate) fn at_service(
        &self,
        service: ShortHash,
        now: BootInstant,
    ) -> HashMap<ShortHash, u32> {
        let mut counts = {
            let mut peers = self.peers.lock().expect("reports lock");
            peers.expire(now);
            peers.totals.get(&service).cloned().unwrap_or_default()
        };
        let own = self.own.lock().expect("requests lock");
        for ((at, organisation), count) in own.iter() {
            if *at == service {
                *counts.entry(*organisation).or_default() += count;
            }
        }
        counts
    }
}

/// Counts a request of an organisation until it is dropped.
#[derive(Debug)]
pub(crate) struct OrganisationGuard {
    requests: Arc<OrganisationRequests>,
    key: Key,
}

impl Drop for OrganisationGuard {
    fn drop(&mut self) {
        let mut own = self.requests.own.lock().expect("requests lock");
        if let Some(count) = own.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                own.remove(&self.key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
