//! Session tokens: the version of a session, kept by the caller.
//!
//! A token holds the organisation, the model and version, and an expiry,
//! authenticated under a key derived from the cluster key. There is no table
//! of sessions, so any VM can take any request of a session.

use data_encoding::BASE64URL_NOPAD;
use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    id::{ModelId, OrganisationId, VersionId},
    secret::ClusterKey,
};

const TAG_BYTES: usize = 16;
const TOKEN_LIMIT_BYTES: usize = 1024;

/// What a session is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// A number that no other session has, but by chance.
    pub number: u64,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// When the token ends, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

/// Issues and reads tokens.
pub struct SessionKeys {
    key: [u8; 32],
}

impl SessionKeys {
    /// Derives the key from the cluster key.
    pub fn new(cluster_key: &ClusterKey) -> SessionKeys {
        SessionKeys { key: cluster_key.session_key() }
    }

    /// Writes a token.
    ///
    /// # Panics
    ///
    /// Never: a session has only names and numbers, which always encode.
    pub fn issue(&self, session: &Session) -> String {
        let mut bytes =
            postcard::to_stdvec(session).expect("names and numbers encode");
        let tag = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        BASE64URL_NOPAD.encode(&bytes)
    }

    /// Reads a token of an organisation.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::SessionInvalid`] when it is forged, expired or another
    /// organisation's.
    pub fn verify(
        &self,
        token: &str,
        organisation: &OrganisationId,
        now_unix_ms: u64,
    ) -> Result<Session, Error> {
        let session = self.open(token).ok_or_else(|| {
            invalid("the session token is not one of this fleet")
        })?;
        if session.organisation != *organisation {
            return Err(invalid("the session is another organisation's"));
        }
        if session.expires_unix_ms <= now_unix_ms {
            return Err(invalid("the session has expired"));
        }
        Ok(session)
    }

    fn open(&self, token: &str) -> Option<Session> {
        if token.len() > TOKEN_LIMIT_BYTES {
            return None;
        }
        let bytes = BASE64URL_NOPAD.decode(token.as_bytes()).ok()?;
        let split = bytes.len().checked_sub(TAG_BYTES)?;
        let (body, tag) = bytes.split_at(split);
        let expected = blake3::keyed_hash(&self.key, body);
        let mut padded = [0; 32];
        padded[..TAG_BYTES].copy_from_slice(tag);
        padded[TAG_BYTES..].copy_from_slice(&expected.as_bytes()[TAG_BYTES..]);
        // Comparing two hashes of this type takes constant time.
        if expected != blake3::Hash::from_bytes(padded) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}

fn invalid(reason: &str) -> Error {
    Error::new(ErrorKind::SessionInvalid).context(reason)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(digit: &str) -> SessionKeys {
        SessionKeys::new(&digit.repeat(64).parse().unwrap())
    }

    fn session() -> Session {
        Session {
            number: 7,
            organisation: "desk".parse().unwrap(),
            model: "large".parse().unwrap(),
            version: "v1".parse().unwrap(),
            expires_unix_ms: 1000,
        }
    }

    #[test]
    fn a_token_is_read_by_its_organisation_in_time() {
        let token = keys("1").issue(&session());
        let desk = "desk".parse().unwrap();
        let read = keys("1").verify(&token, &desk, 999).unwrap();
        assert_eq!(read, session());
        assert!(keys("1").verify(&token, &desk, 1000).is_err());
        let other = "other".parse().unwrap();
        assert!(keys("1").verify(&token, &other, 999).is_err());
    }

    #[test]
    fn a_forged_token_is_refused() {
        let token = keys("1").issue(&session());
        let desk = "desk".parse().unwrap();
        assert!(keys("2").verify(&token, &desk, 0).is_err());
        for at in 0..token.len() {
            let mut forged = token.clone().into_bytes();
            forged[at] = if forged[at] == b'A' { b'B' } else { b'A' };
            let forged = String::from_utf8(forged).unwrap();
            assert!(keys("1").verify(&forged, &desk, 0).is_err());
        }
        for garbage in ["", "A", "!!", &"A".repeat(2000)] {
            assert!(keys("1").verify(garbage, &desk, 0).is_err());
        }
    }
}
