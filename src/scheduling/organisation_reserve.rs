//! The part of a service that is kept free of organisations above their
//! share, as operators state it.

use std::{fmt, str::FromStr};

use crate::{
    error::{Error, ErrorKind},
    unit::Share,
};

/// The share of the utilization at which a service counts as full that is
/// kept for organisations that are not above their fair share; below 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationReserve(Share);

impl OrganisationReserve {
    /// Whether organisations are not limited at all.
    pub fn is_off(self) -> bool {
        self.0.value() == 0.0
    }

    /// Returns the fullness of a service, from 0 to 1, from which an
    /// organisation above its share is rejected. `jitter` (0 to 1) spreads it
    /// over half of the reserve: VMs that have heard the same reports would
    /// otherwise all begin and end to reject at once, and slots would be idle
    /// in between.
    pub fn fullness_limit(self, jitter: f64) -> f64 {
        1.0 - self.0.value() * (1.0 - jitter / 2.0)
    }

    /// Returns the part of an amount that is not reserved.
    pub fn unreserved(self, amount: f64) -> f64 {
        amount * (1.0 - self.0.value())
    }
}

impl fmt::Display for OrganisationReserve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for OrganisationReserve {
    type Err = Error;

    /// Parses a share below 1.
    fn from_str(text: &str) -> Result<Self, Error> {
        let share: Share = text.parse()?;
        // With 1, an organisation above its share would get nothing, even if
        // no other one sends any request.
        match share.value() < 1.0 {
            true => Ok(OrganisationReserve(share)),
            false => Err(Error::new(ErrorKind::InvalidInput)
                .context("the reserve must be below 1")),
        }
    }
}
