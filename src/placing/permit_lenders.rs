//! Which owner of upstreams that are cold or have a rate limit a VM asks for a
//! permit.
//!
//! Owners share a limit equally. Where a load balancer sends most requests to
//! one VM, the shares of the others would stay unused, so a VM whose own share
//! is used up asks owners to lend theirs. Each states when it will have the
//! next one, and is not asked before.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use rand::seq::IndexedRandom;

use crate::{clock::BootInstant, id::ServiceId};

/// Maximum number of VMs that are asked for one attempt.
pub(crate) const MAX_ASKED: usize = 2;

/// How long the reply of an owner is awaited; a permit that arrives later is
/// not used.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a VM that did not reply is not asked.
pub(crate) const NO_REPLY_WAIT: Duration = Duration::from_secs(1);

/// The longest time for which a VM is not asked.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The VMs that have no permit to lend, by service and name, and until when.
#[derive(Debug, Default)]
pub(crate) struct PermitLenders(
    Mutex<HashMap<ServiceId, HashMap<String, BootInstant>>>,
);

impl PermitLenders {
    /// Returns one of the owners that may have a permit.
    pub(crate) fn choose<'a>(
        &self,
        service: &ServiceId,
        owners: &'a [String],
        now: BootInstant,
    ) -> Option<&'a String> {
        let waits = self.0.lock().expect("lenders lock");
        let waits = waits.get(service);
        let may_have = |vm: &&String| {
            let until = waits.and_then(|waits| waits.get(*vm));
            until.is_none_or(|until| now >= *until)
        };
        let usable: Vec<&String> = owners.iter().filter(may_have).collect();
        usable.choose(&mut rand::rng()).copied()
    }

    /// Records that a VM has no permit to lend for some time.
    pub(crate) fn record_wait(
        &self,
        service: &ServiceId,
        vm: &str,
        wait: Duration,
        now: BootInstant,
    ) {
        let mut waits = self.0.lock().expect("lenders lock");
        let waits = waits.entry(service.clone()).or_default();
        waits.retain(|_, until| now < *until);
        waits.insert(vm.to_owned(), now + wait.min(MAX_WAIT));
    }
}

#[cfg(test)]
mod tests;
