//! Which resource of this VM is exhausted.

use std::fmt;

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
