//! How far the platform's store has been read.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    chains::store::StoreVersion,
    error::{Error, ErrorKind},
};

/// How often the platform's store has come back from an older copy of itself.
///
/// What was written after the copy is lost, and its versions are given out
/// again, so versions of different eras say nothing of each other.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let era = text.trim().parse().map_err(|_| {
            Error::new(ErrorKind::InvalidInput)
                .context(format!("`{text}` is not an era of the store"))
        })?;
        Ok(StoreEra(era))
    }
}

/// A version of the whole store. A later era is always a later position.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The version within the era.
    pub version: StoreVersion,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.version)
    }
}
