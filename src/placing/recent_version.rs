//! Versions whose first upstream was listed after another version's.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::BootInstant,
    id::{ServiceId, VersionId},
    placing::member::Member,
};

/// Time after its first upstream was listed for which a version gets no
/// requests unless its rollout is known. The order is written before, but a VM
/// may read it later.
const ORDER_DELAY: Duration = Duration::from_secs(3);

/// Time within which a VM that has just started has read all upstreams, in any
/// order of their versions.
const READ_TIME: Duration = Duration::from_millis(300);

/// For each service whose upstreams run several versions, the latest one and
/// when its first upstream was listed.
#[derive(Debug, Default)]
pub(super) struct RecentVersions(HashMap<ServiceId, (VersionId, BootInstant)>);

impl RecentVersions {
    /// Collects them from the upstreams of all services.
    pub(super) fn new<'a>(
        members: impl Iterator<Item = &'a Member>,
    ) -> RecentVersions {
        let mut listed: HashMap<&ServiceId, HashMap<&VersionId, BootInstant>> =
            HashMap::new();
        for member in members {
            let versions = listed.entry(&member.entry.service).or_default();
            let software = &member.entry.software;
            let at = versions.entry(software).or_insert(member.listed_at);
            *at = (*at).min(member.listed_at);
        }
        let recent = listed.into_iter().filter_map(|(service, versions)| {
            let first = versions.values().min()?;
            let (version, at) = versions.iter().max_by_key(|(_, at)| **at)?;
            let is_later = *at >= *first + READ_TIME;
            is_later.then(|| (service.clone(), ((*version).clone(), *at)))
        });
        RecentVersions(recent.collect())
    }

    /// Returns the version of a service that was listed only recently.
    pub(super) fn of(
        &self,
        service: &ServiceId,
        now: BootInstant,
    ) -> Option<&VersionId> {
        let (version, at) = self.0.get(service)?;
        let age = now.saturating_duration_since(*at);
        (age < ORDER_DELAY).then_some(version)
    }
}

#[cfg(test)]
mod tests;
