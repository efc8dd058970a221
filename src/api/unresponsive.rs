//! VMs that took a question and gave no reply, to be asked last for a while.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::{clock::BootInstant, id::VmId};

/// Time for which a VM that gave no reply is asked last.
const SILENT_TIME: Duration = Duration::from_secs(10);

/// The VMs that lately gave no reply.
#[derive(Debug, Default)]
pub(crate) struct UnresponsiveVms {
    since: Mutex<HashMap<VmId, BootInstant>>,
}

impl UnresponsiveVms {
    /// Notes that a VM gave no reply.
    pub(crate) fn mark(&self, vm: &VmId, now: BootInstant) {
        let mut since = self.since.lock().expect("silent lock");
        since.insert(vm.clone(), now);
    }

    /// Moves those that lately gave no reply to the end.
    pub(crate) fn deprioritize(&self, vms: &mut [VmId], now: BootInstant) {
        let mut since = self.since.lock().expect("silent lock");
        since.retain(|_, at| now - *at < SILENT_TIME);
        vms.sort_by_key(|vm| since.contains_key(vm));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_silent_are_asked_last_for_a_while() {
        let now = BootInstant::now();
        let unresponsive = UnresponsiveVms::default();
        let names = ["vm-1", "vm-2", "vm-3"];
        let all: Vec<VmId> =
            names.iter().map(|name| name.parse().unwrap()).collect();
        unresponsive.mark(&all[0], now);
        let mut asked = all.clone();
        unresponsive.deprioritize(&mut asked, now);
        assert_eq!(asked[2], all[0]);
        let mut later = all.clone();
        unresponsive.deprioritize(&mut later, now + SILENT_TIME);
        assert_eq!(later, all);
    }
}
