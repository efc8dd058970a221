//! Knowing a request again by what it holds.
//!
//! The id of a request is new each time that its caller sends it, at whatever
//! VM. What an upstream runs is the same, and so is what that does to it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    id::OrganisationId,
};

/// A digest of a request's method, path, caller and body.
///
/// It is the first eight bytes of a BLAKE3 hash: among a million requests that
/// differ, two share one with a chance of one in forty million. The caller is
/// part of it, so that nobody can send what another's request is taken for.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Digests a request; `path` is with its query.
    pub fn of(
        method: &str,
        path: &str,
        organisation: Option<&OrganisationId>,
        body: &[u8],
    ) -> RequestDigest {
        let organisation = organisation.map_or("", OrganisationId::as_str);
        let mut hasher = blake3::Hasher::new();
        for part in [method, path, organisation] {
            // None of them holds a zero byte, which keeps them apart.
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(body);
        let mut first = [0; 8];
        hasher.finalize_xof().fill(&mut first);
        RequestDigest(u64::from_be_bytes(first))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<RequestDigest, Error> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = match is_hex && text.len() == 16 {
            true => u64::from_str_radix(text, 16).ok(),
            false => None,
        };
        number.map(RequestDigest).ok_or_else(|| {
            Error::new(ErrorKind::InvalidInput).context(format!(
                "`{text}` is not a request digest of 16 hexadecimal digits"
            ))
        })
    }
}

#[cfg(test)]
mod tests;
