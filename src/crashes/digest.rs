//! Identifies a request by its content.
//!
//! A request gets a new id each time that its caller sends it, to any VM, but
//! the upstream runs the same content and crashes in the same way.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    id::OrganisationId,
};

/// A digest of a request's method, path, caller and body.
///
/// It is the first eight bytes of a BLAKE3 hash: among a million different
/// requests, the chance that two collide is one in forty million. The caller
/// is included, so that no caller can get another's request quarantined by
/// sending the same content.
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
    /// Computes the digest of a request; `path` includes the query.
    pub fn of(
        method: &str,
        path: &str,
        organisation: Option<&OrganisationId>,
        body: &[u8],
    ) -> RequestDigest {
        let organisation = organisation.map_or("", OrganisationId::as_str);
        let mut hasher = blake3::Hasher::new();
        for part in [method, path, organisation] {
            // None of the parts contains a zero byte, so it separates them.
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
