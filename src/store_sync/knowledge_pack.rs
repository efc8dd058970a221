//! Everything that a VM knows from the platform's store, packed for another.
//!
//! A configuration of a thousand routes and the records of hundreds of VMs
//! and upstreams are 420 KB as the store tells them and a tenth of that
//! packed. When 295 VMs start at once, the store's link of 1,000 Mbit/s alone
//! takes a second to tell each of them everything.

use crate::{
    frame::{self, FRAME_LIMIT_BYTES},
    store_sync::knowledge::MirroredItem,
};

/// Packs values.
///
/// # Panics
///
/// Never: keys, bytes and numbers always encode.
pub(crate) fn pack(items: &[MirroredItem]) -> Vec<u8> {
    let plain = postcard::to_stdvec(items).expect("values encode");
    frame::deflate(&plain)
}

/// Unpacks what [`pack`] has made; `None` for anything else.
pub(crate) fn unpack(packed: &[u8]) -> Option<Vec<MirroredItem>> {
    let plain = frame::inflate(packed, FRAME_LIMIT_BYTES)?;
    postcard::from_bytes(&plain).ok()
}

#[cfg(test)]
mod tests;
