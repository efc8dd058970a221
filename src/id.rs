//! Identifiers: a newtype for each kind of name or number.
//!
//! Names are short ASCII words (`[a-z0-9._-]`, 64 bytes at most), so that
//! URLs, metric labels, log lines and store keys can contain them unescaped.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

fn check_name(kind: &str, text: &str) -> Result<(), Error> {
    let allowed = |c: char| {
        c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c)
    };
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(Error::new(ErrorKind::InvalidInput).context(format!(
            "{kind} must have 1 to {MAX_NAME_BYTES} characters"
        )));
    }
    if !text.chars().all(allowed) {
        return Err(Error::new(ErrorKind::InvalidInput).context(format!(
            "{kind} `{text}` may hold only a-z, 0-9, `.`, `_` and `-`"
        )));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check_name($what, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type! {
    /// The name of a VM that runs this router, stable over restarts.
    VmId, "VM id"
}
name_type! {
    /// The name of a data hall.
    DataHallId, "data hall id"
}
name_type! {
    /// The name of an organisation, to which templates and bills belong.
    OrganisationId, "organisation id"
}
name_type! {
    /// The name of a model.
    ModelId, "model id"
}
name_type! {
    /// The name of one version of a model.
    VersionId, "version id"
}
name_type! {
    /// The name of a plain service.
    ServiceId, "service id"
}
name_type! {
    /// The name of an upstream: a replica of a model or of a plain service.
    UpstreamId, "upstream id"
}

/// Identifies one run of a VM's process; a replaced VM has a new one.
///
/// It is the start time in microseconds since the Unix epoch, so that a later
/// incarnation of the same VM id compares greater.
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
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Identifies a request, its decision and its bill.
///
/// Written `vm~incarnation~sequence`, with both numbers in hexadecimal.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId {
    /// The VM that admitted the request.
    pub vm: VmId,
    /// The incarnation of that VM.
    pub incarnation: Incarnation,
    /// The sequence number of the request in that incarnation.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{:x}", self.vm, self.incarnation, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || {
            Error::new(ErrorKind::InvalidInput).context(format!(
                "`{text}` is not a decision id (vm~incarnation~sequence)"
            ))
        };
        let mut parts = text.split('~');
        let vm = parts.next().ok_or_else(invalid)?.parse()?;
        let mut number = || {
            let digits = parts.next().ok_or_else(invalid)?;
            u64::from_str_radix(digits, 16).map_err(|_| invalid())
        };
        let incarnation = Incarnation(number()?);
        let sequence = number()?;
        if parts.next().is_some() {
            return Err(invalid());
        }
        Ok(RequestId { vm, incarnation, sequence })
    }
}

impl TryFrom<String> for RequestId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> String {
        id.to_string()
    }
}

/// A position in the chain of configuration changes; 0 precedes the first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision after this one.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse().map(Revision).map_err(|_| {
            Error::new(ErrorKind::InvalidInput)
                .context(format!("`{text}` is not a revision number"))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_names_are_rejected() {
        assert!("petitions-desk".parse::<OrganisationId>().is_ok());
        assert!("".parse::<OrganisationId>().is_err());
        assert!("A b".parse::<VmId>().is_err());
        assert!("x".repeat(65).parse::<VmId>().is_err());
    }

    #[test]
    fn request_ids_round_trip() {
        let text = "vm-1~5f~a";
        let id: RequestId = text.parse().unwrap();
        assert_eq!(id.sequence, 10);
        assert_eq!(id.to_string(), text);
        assert!("vm-1~5f".parse::<RequestId>().is_err());
        assert!("vm-1~5f~a~b".parse::<RequestId>().is_err());
    }
}

/// The start time of an upstream, in milliseconds since the Unix epoch by its
/// own clock. Of two starts under one name, the later compares greater.
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
pub struct StartMs(pub u64);

impl fmt::Display for StartMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StartMs {
    type Err = Error;

    fn from_str(text: &str) -> Result<StartMs, Error> {
        let number = text.parse().map_err(|error| {
            Error::new(ErrorKind::InvalidInput)
                .context(format!("start time `{text}`: {error}"))
        })?;
        Ok(StartMs(number))
    }
}

/// One incarnation of an upstream, which may restart under the same name.
/// Whatever is known or reported about one incarnation does not apply to
/// another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamIncarnation {
    /// The upstream.
    pub id: UpstreamId,
    /// When it started; `None` if the upstream does not report that.
    pub started: Option<StartMs>,
}

impl fmt::Display for UpstreamIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(f, "{}@{started}", self.id),
            None => self.id.fmt(f),
        }
    }
}

impl FromStr for UpstreamIncarnation {
    type Err = Error;

    fn from_str(text: &str) -> Result<UpstreamIncarnation, Error> {
        let Some((id, started)) = text.split_once('@') else {
            return Ok(UpstreamIncarnation {
                id: text.parse()?,
                started: None,
            });
        };
        let started = Some(started.parse()?);
        Ok(UpstreamIncarnation { id: id.parse()?, started })
    }
}
