//! Peers that recently failed to reply to a request; they are tried last for
//! a while.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::{clock::BootInstant, id::VmId};

/// How long a VM is tried last after it failed to reply.
const DEPRIORITIZED_FOR: Duration = Duration::from_secs(10);

/// The VMs that recently failed to reply, with the time of the failure.
#[derive(Debug, Default)]
pub(crate) struct UnresponsiveVms {
    marked_at: Mutex<HashMap<VmId, BootInstant>>,
}

impl UnresponsiveVms {
    /// Records that a VM failed to reply at `now`.
    pub(crate) fn mark(&self, vm: &VmId, now: BootInstant) {
        let mut marked_at = self.marked_at.lock().expect("unresponsive lock");
        marked_at.insert(vm.clone(), now);
    }

    /// Moves the VMs that recently failed to reply to the end; the order is
    /// otherwise unchanged.
    pub(crate) fn deprioritize(&self, vms: &mut [VmId], now: BootInstant) {
        let mut marked_at = self.marked_at.lock().expect("unresponsive lock");
        marked_at.retain(|_, at| now - *at < DEPRIORITIZED_FOR);
        vms.sort_by_key(|vm| marked_at.contains_key(vm));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unresponsive_vm_is_tried_last_for_a_while() {
        let now = BootInstant::now();
        let unresponsive = UnresponsiveVms::default();
        let names = ["vm-1", "vm-2", "vm-3"];
        let all: Vec<VmId> =
            names.iter().map(|name| name.parse().unwrap()).collect();
        unresponsive.mark(&all[0], now);
        let mut soon = all.clone();
        unresponsive.deprioritize(&mut soon, now);
        assert_eq!(soon[2], all[0]);
        let mut later = all.clone();
        unresponsive.deprioritize(&mut later, now + DEPRIORITIZED_FOR);
        assert_eq!(later, all);
    }
}
