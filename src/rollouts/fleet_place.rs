//! The place of a VM in its fleet.

/// The place of a VM in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPlace {
    /// Number of VMs that it knows of, with itself.
    pub vms: usize,
    /// Whether it ends rollouts that the steward does not end in time.
    pub is_deputy: bool,
}

impl Default for FleetPlace {
    fn default() -> FleetPlace {
        FleetPlace { vms: 1, is_deputy: false }
    }
}
