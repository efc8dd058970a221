//! A body that is collected within the memory that callers may take.

use std::{io, sync::Arc};

use bytes::Bytes;
use memmap2::{Mmap, MmapMut};

use crate::{
    caller_memory::{
        account::{CallerMemory, Purpose},
        claim::{GivesWay, MemoryClaim},
    },
    error::{Error, ErrorKind},
};

/// Bytes of a body that the claim of its connection covers.
pub(crate) const COVERED_BYTES: usize = 16 << 10;

/// Bytes that are claimed at once.
const STEP_BYTES: usize = 16 << 10;

/// Why a body cannot be collected.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    TooLarge {
        /// The largest size.
        limit_bytes: usize,
    },
    /// It has to give way to others.
    GivesWay(GivesWay),
    /// The operating system has no memory for it.
    NoMemory(io::Error),
}

impl From<BodyError> for Error {
    /// Returns the error for a request whose body cannot be collected.
    fn from(error: BodyError) -> Error {
        match error {
            BodyError::TooLarge { limit_bytes } => Error::new(
                ErrorKind::TooLarge,
            )
            .context(format!("the body has more than {limit_bytes} bytes")),
            BodyError::GivesWay(reason) => reason.into(),
            BodyError::NoMemory(error) => Error::new(ErrorKind::Overloaded)
                .context(error.to_string())
                .context("there is no memory for the body"),
        }
    }
}

/// Whether bytes that were appended count as progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// They needed no further claim.
    None,
    /// They completed a step, and another one was claimed.
    Claimed,
}

impl From<GivesWay> for BodyError {
    fn from(reason: GivesWay) -> BodyError {
        BodyError::GivesWay(reason)
    }
}

/// A body whose end has not arrived.
///
/// A small one is on the heap. A larger one has a mapping of its own, whose
/// pages take memory only once they are written and are returned to the
/// operating system when the last holder drops them: a heap keeps what many
/// bodies of different sizes have taken.
pub(crate) struct BodyBuffer {
    account: Arc<CallerMemory>,
    purpose: Purpose,
    limit_bytes: usize,
    /// Its size, if it is known.
    stated_bytes: Option<usize>,
    small: Vec<u8>,
    large: Option<Large>,
}

struct Large {
    claim: MemoryClaim,
    map: MmapMut,
    len_bytes: usize,
    claimed_bytes: usize,
}

/// A whole body that has a mapping of its own.
struct WholeLarge {
    _claim: MemoryClaim,
    map: Mmap,
    len_bytes: usize,
}

impl AsRef<[u8]> for WholeLarge {
    fn as_ref(&self) -> &[u8] {
        &self.map[..self.len_bytes]
    }
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub(crate) fn new(
        account: Arc<CallerMemory>,
        purpose: Purpose,
        limit_bytes: usize,
        stated_bytes: Option<usize>,
    ) -> BodyBuffer {
        BodyBuffer {
            account,
            purpose,
            limit_bytes,
            stated_bytes,
            small: Vec::new(),
            large: None,
        }
    }

    /// Returns the number of bytes collected.
    pub(crate) fn len_bytes(&self) -> usize {
        let large = self.large.as_ref();
        large.map_or(self.small.len(), |large| large.len_bytes)
    }

    /// Returns its own claim, once it is large.
    pub(crate) fn claim(&self) -> Option<&MemoryClaim> {
        self.large.as_ref().map(|large| &large.claim)
    }

    /// Appends bytes, once others have given way if need be.
    ///
    /// # Errors
    ///
    /// [`BodyError`]; the body is then of no more use.
    pub(crate) async fn push(
        &mut self,
        data: &[u8],
    ) -> Result<Progress, BodyError> {
        let len_bytes = self.len_bytes() + data.len();
        if len_bytes > self.limit_bytes {
            let limit_bytes = self.limit_bytes;
            return Err(BodyError::TooLarge { limit_bytes });
        }
        if self.large.is_none() {
            if len_bytes <= COVERED_BYTES {
                self.reserve_small();
                self.small.extend_from_slice(data);
                return Ok(Progress::None);
            }
            self.large = Some(self.enlarge(len_bytes).await?);
            self.small = Vec::new();
        }
        let Some(large) = &mut self.large else { return Ok(Progress::None) };
        let progress = large.claim_up_to(len_bytes).await?;
        large.map[large.len_bytes..len_bytes].copy_from_slice(data);
        large.len_bytes = len_bytes;
        Ok(progress)
    }

    fn reserve_small(&mut self) {
        if let (0, Some(stated)) = (self.small.capacity(), self.stated_bytes) {
            self.small.reserve_exact(stated.min(COVERED_BYTES));
        }
    }

    /// Moves the body to a mapping that has room for this many bytes.
    async fn enlarge(&self, len_bytes: usize) -> Result<Large, BodyError> {
        let stated = self.stated_bytes.unwrap_or(self.limit_bytes);
        let map_bytes = stated.min(self.limit_bytes).max(len_bytes);
        let map = MmapMut::map_anon(map_bytes).map_err(BodyError::NoMemory)?;
        let claim = self.account.claim(self.purpose, 0);
        let mut large = Large { claim, map, len_bytes: 0, claimed_bytes: 0 };
        let small_bytes = self.small.len();
        large.claim_up_to(small_bytes).await?;
        large.map[..small_bytes].copy_from_slice(&self.small);
        large.len_bytes = small_bytes;
        Ok(large)
    }

    /// Returns the whole body. Its claim ends when the last copy is dropped.
    ///
    /// # Errors
    ///
    /// [`BodyError::NoMemory`].
    pub(crate) fn finish(self) -> Result<Bytes, BodyError> {
        let Some(large) = self.large else {
            return Ok(Bytes::from(self.small));
        };
        large.claim.complete();
        let map = large.map.make_read_only().map_err(BodyError::NoMemory)?;
        Ok(Bytes::from_owner(WholeLarge {
            _claim: large.claim,
            map,
            len_bytes: large.len_bytes,
        }))
    }
}

impl Large {
    /// Claims memory for the first bytes of the body.
    async fn claim_up_to(
        &mut self,
        len_bytes: usize,
    ) -> Result<Progress, GivesWay> {
        let mut progress = Progress::None;
        while self.claimed_bytes < len_bytes {
            let step = STEP_BYTES.min(self.map.len() - self.claimed_bytes);
            self.claim.grow(step as u64).await?;
            self.claimed_bytes += step;
            progress = Progress::Claimed;
        }
        Ok(progress)
    }
}

#[cfg(test)]
mod tests;
