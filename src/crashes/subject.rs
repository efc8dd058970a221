//! Identifies what the crash of an upstream may be attributed to: a request,
//! or a prompt segment that many requests share.
//!
//! A request gets a new id each time that its caller sends it, to any VM, but
//! the upstream runs the same content and crashes in the same way. Different
//! requests whose prompts share a segment may do so as well.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    id::{OrganisationId, ServiceId},
};

/// Maximum number of distinct segments of one prompt that are subjects. The
/// first segments are the ones that most requests share.
const MAX_SEGMENTS: usize = 32;

/// The bit that distinguishes segments from requests.
const SEGMENT_BIT: u64 = 1 << 63;

/// Number of low bits of a segment that identify it within its group; the
/// bits up to [`SEGMENT_BIT`] are those of the group.
const IN_GROUP_BITS: u32 = 48;

/// Mask of the bits that identify a segment within its group.
const IN_GROUP_MASK: u64 = (1 << IN_GROUP_BITS) - 1;

/// What kind of thing a [`Subject`] identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SubjectKind {
    /// A request with all its content.
    Request,
    /// A segment of prompts.
    Segment,
}

impl SubjectKind {
    /// Returns the name of the kind in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SubjectKind::Request => "request",
            SubjectKind::Segment => "segment",
        }
    }
}

/// The service and the organisation of segments, as 15 bits of a hash. Two
/// groups that collide are compared with each other, as if they were one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SegmentGroup(u16);

/// A digest of a request, or of a segment of its prompt.
///
/// A request is 63 bits of a BLAKE3 hash and the kind: among a million, the
/// chance that two collide is one in eighteen million. A segment is its group,
/// 48 bits and the kind: among the few thousand of one group that a VM knows,
/// the chance is one in millions. The caller is included in both kinds, so
/// that no caller can get the requests of another one quarantined by sending
/// the same content or naming the same segment.
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
pub struct Subject(pub u64);

impl Subject {
    /// Returns the subject of a whole request; `path` includes the query.
    pub fn of_request(
        method: &str,
        path: &str,
        organisation: Option<&OrganisationId>,
        body: &[u8],
    ) -> Subject {
        let organisation = organisation.map_or("", OrganisationId::as_str);
        let digest = digest(&[method, path, organisation], body);
        Subject(digest & !SEGMENT_BIT)
    }

    /// Returns the subject of a prompt segment, which is the same on all
    /// routes of a service.
    pub fn of_segment(
        service: &ServiceId,
        organisation: Option<&OrganisationId>,
        segment: u64,
    ) -> Subject {
        let organisation = organisation.map_or("", OrganisationId::as_str);
        let parts = [service.as_str(), organisation];
        let group = digest(&parts, &[]) & !SEGMENT_BIT & !IN_GROUP_MASK;
        let in_group = digest(&parts, &segment.to_be_bytes()) & IN_GROUP_MASK;
        Subject(SEGMENT_BIT | group | in_group)
    }

    /// Returns the group of a segment; `None` for a request.
    pub(crate) fn segment_group(self) -> Option<SegmentGroup> {
        let bits = (self.0 & !SEGMENT_BIT) >> IN_GROUP_BITS;
        let group = u16::try_from(bits).ok().map(SegmentGroup);
        group.filter(|_| self.kind() == SubjectKind::Segment)
    }

    /// Returns the distinct subjects of the prompt segments with these ids.
    pub(crate) fn of_segments(
        service: &ServiceId,
        organisation: Option<&OrganisationId>,
        segments: impl Iterator<Item = u64>,
    ) -> BTreeSet<Subject> {
        let mut subjects = BTreeSet::new();
        for segment in segments {
            if subjects.len() == MAX_SEGMENTS {
                break;
            }
            subjects.insert(Subject::of_segment(
                service,
                organisation,
                segment,
            ));
        }
        subjects
    }

    /// Returns what kind of thing this identifies.
    pub fn kind(self) -> SubjectKind {
        match self.0 & SEGMENT_BIT {
            0 => SubjectKind::Request,
            _ => SubjectKind::Segment,
        }
    }
}

/// Returns the first eight bytes of a hash of `parts` and `rest`.
fn digest(parts: &[&str], rest: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // None of the parts contains a zero byte, so it separates them.
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(rest);
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_be_bytes(first)
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Subject {
    type Err = Error;

    fn from_str(text: &str) -> Result<Subject, Error> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = match is_hex && text.len() == 16 {
            true => u64::from_str_radix(text, 16).ok(),
            false => None,
        };
        number.map(Subject).ok_or_else(|| {
            Error::new(ErrorKind::InvalidInput).context(format!(
                "`{text}` is not a subject of 16 hexadecimal digits"
            ))
        })
    }
}

#[cfg(test)]
mod tests;
