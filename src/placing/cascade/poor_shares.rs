//! The value of a good answer, as operators state it.

use std::{fmt, str::FromStr};

use crate::{
    error::{Error, ErrorKind},
    unit::Share,
};

/// The share of poor answers that callers accept, by priority.
///
/// A caller that accepts one poor answer in ten pays for the largest model up
/// to ten times per poor answer that it avoids: the value of a good answer is
/// the cost of the largest model, divided by this share.
#[derive(Clone, Debug, PartialEq)]
pub struct PoorShares {
    /// By priority from 0; the last one applies to all others. At least one,
    /// all of them above zero.
    by_priority: Vec<Share>,
}

impl PoorShares {
    /// Returns the share of poor answers that callers of a priority accept.
    pub fn of(&self, priority: u8) -> Share {
        let last = self.by_priority.len() - 1;
        self.by_priority[usize::from(priority).min(last)]
    }
}

impl fmt::Display for PoorShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (priority, share) in self.by_priority.iter().enumerate() {
            let separator = if priority == 0 { "" } else { ", " };
            write!(f, "{separator}{}", share.value())?;
        }
        Ok(())
    }
}

impl FromStr for PoorShares {
    type Err = Error;

    /// Parses a comma-separated list of shares above 0.
    fn from_str(text: &str) -> Result<Self, Error> {
        let shares = text.split(',').map(|part| part.trim().parse());
        let by_priority = shares.collect::<Result<Vec<Share>, Error>>()?;
        // Division by zero would make every answer infinitely valuable.
        match by_priority.iter().all(|share| share.value() > 0.0) {
            true => Ok(PoorShares { by_priority }),
            false => Err(Error::new(ErrorKind::InvalidInput)
                .context("a share of poor answers must be above 0")),
        }
    }
}

#[cfg(test)]
mod tests;
