//! Frames between VMs: a format byte, a compression byte, a `postcard` body
//! and a keyed authentication tag.
//!
//! Callers drop and count frames that do not verify or decode, so that a
//! message type of a later release, or garbage, does no harm.

use miniz_oxide::{
    deflate::compress_to_vec, inflate::decompress_to_vec_with_limit,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::secret::ClusterKey;

/// The version of the frame format; frames of other versions are dropped.
const FORMAT: u8 = 15;

/// Length of the authentication tag: a truncated BLAKE3 keyed hash.
const TAG_BYTES: usize = 16;

/// The compression byte of an uncompressed body.
const UNCOMPRESSED: u8 = 0;

/// The compression byte of a deflated body.
const DEFLATED: u8 = 1;

/// Minimum size of a body that is deflated: compressing smaller ones gains
/// little, and heartbeats stay cheap.
const MIN_DEFLATE_BYTES: usize = 2 << 10;

/// Compression level, of 10; this one already shrinks a configuration of
/// 10 KB to a quarter.
const DEFLATE_LEVEL: u8 = 3;

/// Maximum size of a datagram, safely below the usual path MTU.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1400;

/// Maximum size of a frame on a TCP connection.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;

/// Maximum size of an inflated body.
const MAX_INFLATED_BYTES: usize = MAX_FRAME_BYTES;

/// Number of bytes before the body.
const HEADER_BYTES: usize = 2;

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is shorter than an empty frame.
    Short,
    /// The frame has a different format version.
    Format,
    /// The authentication tag does not match.
    Tag,
    /// The body does not decode.
    Body,
}

impl FrameError {
    /// Returns the value of the metric label for this error.
    pub fn as_str(self) -> &'static str {
        match self {
            FrameError::Short => "short",
            FrameError::Format => "format",
            FrameError::Tag => "tag",
            FrameError::Body => "body",
        }
    }
}

/// Encodes and authenticates frames, and verifies and decodes them.
#[derive(Clone)]
pub struct FrameCodec {
    key: [u8; 32],
}

impl FrameCodec {
    /// Creates a codec with a key derived from the cluster key.
    pub fn new(cluster_key: &ClusterKey) -> FrameCodec {
        FrameCodec { key: cluster_key.frame_key() }
    }

    /// Encodes a message as an authenticated frame.
    ///
    /// # Panics
    ///
    /// Never for the messages of this crate, which always encode.
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let mut frame = vec![FORMAT, UNCOMPRESSED];
        frame = postcard::to_extend(message, frame)
            .expect("messages between VMs encode");
        let body = &frame[HEADER_BYTES..];
        if body.len() >= MIN_DEFLATE_BYTES {
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
    /// format and key has not produced.
    pub fn open<T: DeserializeOwned>(
        &self,
        frame: &[u8],
    ) -> Result<T, FrameError> {
        let split =
            frame.len().checked_sub(TAG_BYTES).ok_or(FrameError::Short)?;
        let (sealed, tag) = frame.split_at(split);
        let [format, compression, body @ ..] = sealed else {
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
        let body = match *compression {
            UNCOMPRESSED => body,
            DEFLATED => {
                inflated = inflate(body, MAX_INFLATED_BYTES)
                    .ok_or(FrameError::Body)?;
                &inflated
            }
            _ => return Err(FrameError::Body),
        };
        postcard::from_bytes(body).map_err(|_| FrameError::Body)
    }
}

/// Deflates bytes with the level used for frames.
pub(crate) fn deflate(bytes: &[u8]) -> Vec<u8> {
    compress_to_vec(bytes, DEFLATE_LEVEL)
}

/// Inflates the output of [`deflate`]. Returns `None` for any other input, or
/// if the result exceeds `limit_bytes`.
pub(crate) fn inflate(bytes: &[u8], limit_bytes: usize) -> Option<Vec<u8>> {
    decompress_to_vec_with_limit(bytes, limit_bytes).ok()
}

/// Compares in constant time, which hides where the difference is.
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
    fn every_flipped_bit_and_truncation_is_rejected() {
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
    fn an_unknown_message_type_is_a_body_error() {
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
