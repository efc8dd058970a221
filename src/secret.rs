//! Secrets, and the keys and hashes that are derived from them.

use std::{fmt, str::FromStr};

use data_encoding::HEXLOWER_PERMISSIVE;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

// Contexts of BLAKE3 key derivation; changing one invalidates the tokens or
// frames of VMs that run another version.
const SESSION_CONTEXT: &str = "lupinseam 2026-12 session tokens";
const FRAME_CONTEXT: &str = "lupinseam 2026-12 frames between VMs";

/// The secret shared by all VMs of one fleet.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    /// Derives the key that authenticates session tokens.
    pub(crate) fn session_key(&self) -> [u8; 32] {
        blake3::derive_key(SESSION_CONTEXT, &self.0)
    }

    /// Derives the key that authenticates frames between VMs.
    pub(crate) fn frame_key(&self) -> [u8; 32] {
        blake3::derive_key(FRAME_CONTEXT, &self.0)
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl FromStr for ClusterKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_hex(text).map(ClusterKey).map_err(|_| {
            // The message must not contain the value, which is a secret.
            Error::new(ErrorKind::InvalidInput)
                .context("the cluster key must be 64 hexadecimal digits")
        })
    }
}

/// The BLAKE3 hash of a bearer key; the key itself is never stored.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of(key: &str) -> KeyHash {
        KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&data_encoding::HEXLOWER.encode(&self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_hex(text).map(KeyHash)
    }
}

impl TryFrom<String> for KeyHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}

fn parse_hex(text: &str) -> Result<[u8; 32], Error> {
    let invalid = || {
        Error::new(ErrorKind::InvalidInput)
            .context("expected 64 hexadecimal digits")
    };
    let bytes =
        HEXLOWER_PERMISSIVE.decode(text.as_bytes()).map_err(|_| invalid())?;
    bytes.try_into().map_err(|_| invalid())
}
