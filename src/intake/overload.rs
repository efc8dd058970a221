//! Which resource of this VM is exhausted.

use std::{fmt, time::Duration};

use crate::{clock::BootInstant, intake::delay_monitor::DelayMonitor};

/// A resource of a VM whose exhaustion delays everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resource {
    /// Tasks wait for the processor.
    Processor,
    /// Packets wait for the network link, or the kernel for the processor.
    Network,
}

impl Resource {
    /// Returns the label value of this resource in metrics and log lines.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Resource::Processor => "processor",
            Resource::Network => "network",
        }
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Finds out whether this VM is overloaded.
#[derive(Debug, Default)]
pub(crate) struct OverloadDetector {
    processor: DelayMonitor,
    network: DelayMonitor,
}

impl OverloadDetector {
    /// Records how long something has waited for a resource.
    pub(crate) fn record(
        &mut self,
        resource: Resource,
        delay: Duration,
        now: BootInstant,
    ) {
        let monitor = match resource {
            Resource::Processor => &mut self.processor,
            Resource::Network => &mut self.network,
        };
        monitor.record(delay, now);
    }

    /// Returns the resource that is exhausted, if one is.
    pub(crate) fn exhausted(&self, now: BootInstant) -> Option<Resource> {
        if self.processor.is_late(now) {
            return Some(Resource::Processor);
        }
        self.network.is_late(now).then_some(Resource::Network)
    }

    /// Returns since when one of the resources has delayed everything, however
    /// short that is.
    pub(crate) fn late_since(&self, now: BootInstant) -> Option<BootInstant> {
        let processor = self.processor.late_since(now);
        let network = self.network.late_since(now);
        processor.into_iter().chain(network).min()
    }
}
