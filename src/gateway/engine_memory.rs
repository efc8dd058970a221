//! The memory of engines: how much of it a request needs.

use crate::{
    error::{Error, ErrorKind},
    gateway::{forward::Job, request_head::RequestHead},
    placing::memory::MemoryNeed,
    store_sync::engine::Engine,
};

impl Job {
    /// Returns the memory that the request needs at an engine; `None` if its
    /// service runs none, or if the length of its prompt is unknown.
    pub(crate) fn memory_need(&self) -> Option<MemoryNeed> {
        let table = self.gateway.knowledge.table()?;
        memory_need(&self.request, table.engine(&self.service)?)
    }

    /// Rejects a request that is larger than the memory of any engine.
    pub(crate) fn check_fits_engine(&self) -> Result<(), Error> {
        self.memory_need().map_or(Ok(()), |need| check_fits(&need))
    }
}

/// Returns the memory that a request needs; `None` if the length of its prompt
/// or the memory of the engine is unknown.
fn memory_need(request: &RequestHead, engine: &Engine) -> Option<MemoryNeed> {
    let prompt_tokens = request.prompt_tokens.filter(|n| *n > 0)?;
    let shared = request.shared_segments();
    let shared_tokens: u64 = shared.iter().map(|part| part.tokens).sum();
    let shared_tokens = shared_tokens.min(prompt_tokens);
    Some(MemoryNeed {
        own_tokens: (prompt_tokens - shared_tokens)
            .saturating_add(request.expected_output_tokens()),
        shared: shared.last().map(|segment| (segment.id, shared_tokens)),
        capacity_tokens: engine.memory_tokens?,
    })
}

/// Rejects a request that is larger than the memory of any engine, as the
/// engine itself would: as if it were full.
fn check_fits(need: &MemoryNeed) -> Result<(), Error> {
    if need.fits_any() {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Overloaded).context(format!(
        "larger than the memory of any engine ({} tokens)",
        need.capacity_tokens
    )))
}

#[cfg(test)]
mod tests;
