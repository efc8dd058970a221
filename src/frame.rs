//! Frames between VMs: a version byte, a byte that says how the body is
//! packed, a `postcard` body, a keyed tag.
//!
//! Whatever does not verify or decode is dropped and counted by the caller,
//! so that a message kind of a later release, or garbage, does no harm.

use miniz_oxide::{
    deflate::compress_to_vec, inflate::decompress_to_vec_with_limit,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::secret::ClusterKey;

/// The release of the frame format; other releases are dropped.
const FORMAT: u8 = 8;

const TAG_BYTES: usize = 16;

/// A body that follows as it is.
const PLAIN: u8 = 0;

/// A body that follows as deflated.
const DEFLATED: u8 = 1;

/// Size from which a body is deflated: below it little is gained, and a
/// heartbeat stays cheap.
const DEFLATE_FROM_BYTES: usize = 2 << 10;

/// How hard the body is deflated, of 10; a configuration of 10 KB shrinks to
/// a quarter already.
const DEFLATE_LEVEL: u8 = 3;

/// The largest datagram that is sent, safely under a usual path MTU.
pub(crate) const DATAGRAM_LIMIT_BYTES: usize = 1400;

/// The largest frame on a stream.
pub(crate) const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// The largest body that a deflated one may grow to.
const INFLATED_MOST: usize = FRAME_LIMIT_BYTES;

/// Bytes before the body.
const HEAD_BYTES: usize = 2;

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It is shorter than an empty frame.
    Short,
    /// It has another format.
    Format,
    /// Its tag does not match.
    Tag,
    /// Its body does not decode.
    Body,
}

impl FrameError {
    /// The word used as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            FrameError::Short => "short",
            FrameError::Format => "format",
            FrameError::Tag => "tag",
            FrameError::Body => "body",
        }
    }
}

/// Seals and opens frames.
#[derive(Clone)]
pub struct FrameCodec {
    key: [u8; 32],
}

impl FrameCodec {
    /// Derives the key from the cluster key.
    pub fn new(cluster_key: &ClusterKey) -> FrameCodec {
        FrameCodec { key: cluster_key.frame_key() }
    }

    /// Encodes and seals a message.
    ///
    /// # Panics
    ///
    /// Never for the messages of this crate, which always encode.
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let mut frame = vec![FORMAT, PLAIN];
        frame = postcard::to_extend(message, frame)
            .expect("messages between VMs encode");
        let body = &frame[HEAD_BYTES..];
        if body.len() >= DEFLATE_FROM_BYTES {
            let deflated = deflate(body);
            frame = vec![FORMAT, DEFLATED];
            frame.extend_from_slice(&deflated);
        }
        let tag = blake3::keyed_hash(&self.key, &frame);
        frame.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        frame
    }

    /// Verifies and decodes a frame.
    ///
    /// # Errors
    ///
    /// A [`FrameError`] for anything that [`FrameCodec::seal`] of the same
    /// release and key has not made.
    pub fn open<T: DeserializeOwned>(
        &self,
        frame: &[u8],
    ) -> Result<T, FrameError> {
        let split =
            frame.len().checked_sub(TAG_BYTES).ok_or(FrameError::Short)?;
        let (sealed, tag) = frame.split_at(split);
        let [format, packing, body @ ..] = sealed else {
            return Err(FrameError::Short);
        };
        if *format != FORMAT {
            return Err(FrameError::Format);
        }
        let expected = blake3::keyed_hash(&self.key, sealed);
        if !same_bytes(&expected.as_bytes()[..TAG_BYTES], tag) {
            return Err(FrameError::Tag);
        }
        let inflated;
        let body = match *packing {
            PLAIN => body,
            DEFLATED => {
                inflated =
                    inflate(body, INFLATED_MOST).ok_or(FrameError::Body)?;
                &inflated
            }
            _ => return Err(FrameError::Body),
        };
        postcard::from_bytes(body).map_err(|_| FrameError::Body)
    }
}

/// Deflates bytes as those of a frame.
pub(crate) fn deflate(bytes: &[u8]) -> Vec<u8> {
    compress_to_vec(bytes, DEFLATE_LEVEL)
}

/// Inflates what [`deflate`] has made; `None` for anything else, or when it
/// grows beyond `limit_bytes`.
pub(crate) fn inflate(bytes: &[u8], limit_bytes: usize) -> Option<Vec<u8>> {
    decompress_to_vec_with_limit(bytes, limit_bytes).ok()
}

/// Compares without revealing by its time where the difference is.
fn same_bytes(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    a.len() == b.len() && difference == 0
}

#[cfg(test)]
mod tests {
    use super::*;

    fn codec(digit: &str) -> FrameCodec {
        FrameCodec::new(&digit.repeat(64).parse().unwrap())
    }

    #[test]
    fn frames_round_trip() {
        let frame = codec("1").seal(&("hello".to_owned(), 7_u64));
        let opened: (String, u64) = codec("1").open(&frame).unwrap();
        assert_eq!(opened, ("hello".to_owned(), 7));
    }

    #[test]
    fn large_frames_are_deflated() {
        let message = "the same again ".repeat(1000);
        let frame = codec("1").seal(&message);
        assert!(frame.len() < message.len() / 10);
        assert_eq!(codec("1").open::<String>(&frame), Ok(message));
        let small = "the same again".to_owned();
        let frame = codec("1").seal(&small);
        assert_eq!(codec("1").open::<String>(&frame), Ok(small));
    }

    #[test]
    fn every_changed_bit_is_noticed() {
        let frame = codec("1").seal(&42_u64);
        for at in 0..frame.len() * 8 {
            let mut changed = frame.clone();
            changed[at / 8] ^= 1 << (at % 8);
            assert!(codec("1").open::<u64>(&changed).is_err());
        }
        for length in 0..frame.len() {
            assert!(codec("1").open::<u64>(&frame[..length]).is_err());
        }
        assert_eq!(codec("2").open::<u64>(&frame), Err(FrameError::Tag));
    }

    #[test]
    fn an_unknown_kind_is_a_body_fault() {
        #[derive(serde::Serialize)]
        enum Later {
            #[allow(dead_code)]
            Known,
            New,
        }
        #[derive(serde::Deserialize, Debug, PartialEq)]
        enum Now {
            Known,
        }
        let frame = codec("1").seal(&Later::New);
        let opened = codec("1").open::<Now>(&frame);
        assert_eq!(opened, Err(FrameError::Body));
    }
}
