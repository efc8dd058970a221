//! Parsing of server-sent events, as far as relaying a stream requires.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

use crate::api::chat::TokenUsage;

/// Largest event that is relayed.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// Length of the longer of the line ends that end an event.
const MAX_BLANK_LINE_BYTES: usize = 4;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// A parsed event with its original bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Bytes of the event, including the blank line that ends it.
    pub(crate) raw: Bytes,
    /// Value of its `id` field, if it is a number.
    pub(crate) id: Option<u64>,
    /// Its `data` lines, joined with newlines.
    pub(crate) data: String,
}

impl Event {
    /// Returns whether it is the event that ends the stream.
    pub(crate) fn is_done(&self) -> bool {
        self.data == DONE
    }

    /// Returns whether it has no field, so that readers ignore it.
    pub(crate) fn is_comment(&self) -> bool {
        let mut lines = self.raw.split(|byte| matches!(byte, b'\r' | b'\n'));
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }

    /// Returns the token usage that the event reports, if any.
    pub(crate) fn token_usage(&self) -> Option<TokenUsage> {
        if !self.data.contains("\"usage\"") {
            return None;
        }
        let value: Value = serde_json::from_str(&self.data).ok()?;
        TokenUsage::from_json(&value)
    }

    /// Returns the text that the event adds to the completion, if any.
    pub(crate) fn text(&self) -> Option<String> {
        let value: Value = serde_json::from_str(&self.data).ok()?;
        let text = value.pointer("/choices/0/delta/content")?;
        text.as_str().map(str::to_owned)
    }
}

/// An event exceeds [`EVENT_LIMIT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    /// Length of the start of the buffer that holds no event's end.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes to the buffer.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the buffer is empty, so that no partial event is
    /// pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the next complete event, or `None` if more bytes
    /// are needed.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, EventTooLarge> {
        let end = event_end(&self.buffer, self.searched);
        if let Some(end) = end {
            self.searched = 0;
            let raw = self.buffer.split_to(end).freeze();
            return Ok(Some(parse(raw)));
        }
        // The blank line may have begun in the last bytes.
        self.searched =
            self.buffer.len().saturating_sub(MAX_BLANK_LINE_BYTES - 1);
        match self.buffer.len() > EVENT_LIMIT_BYTES {
            true => Err(EventTooLarge),
            false => Ok(None),
        }
    }
}

/// Returns the index after the blank line that ends the first event, with line
/// ends of either kind, if it begins at `from` or later.
fn event_end(buffer: &[u8], from: usize) -> Option<usize> {
    (from..buffer.len()).find_map(|at| {
        let rest = &buffer[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(at + 4)
        } else {
            None
        }
    })
}

fn parse(raw: Bytes) -> Event {
    let text = String::from_utf8_lossy(&raw).into_owned();
    let mut id = None;
    let mut data = Vec::new();
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("id:") {
            id = value.trim().parse().ok();
        } else if let Some(value) = line.strip_prefix("data:") {
            data.push(value.strip_prefix(' ').unwrap_or(value));
        }
    }
    Event { raw, id, data: data.join("\n") }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_parsed_however_the_stream_is_chunked() {
        let stream = b"id: 1\ndata: {\"a\":1}\n\ndata: [DONE]\n\n";
        for size in 1..stream.len() {
            let mut splitter = Splitter::default();
            let mut events = Vec::new();
            for part in stream.chunks(size) {
                splitter.push(part);
                while let Some(event) = splitter.next().unwrap() {
                    events.push(event);
                }
            }
            assert_eq!(events.len(), 2);
            assert_eq!(events[0].id, Some(1));
            assert_eq!(events[0].data, "{\"a\":1}");
            assert!(events[1].is_done());
        }
    }

    #[test]
    fn only_events_without_a_field_are_comments() {
        for (text, is_comment) in [
            (": keep-alive\n\n", true),
            (":\r\n:\r\n\r\n", true),
            ("\n\n", true),
            (": first\ndata: a\n\n", false),
            ("retry: 3000\r\n\r\n", false),
        ] {
            let mut splitter = Splitter::default();
            splitter.push(text.as_bytes());
            let event = splitter.next().unwrap().unwrap();
            assert_eq!(event.is_comment(), is_comment, "{text:?}");
        }
    }

    /// Takes minutes if the buffer is searched anew for every byte.
    #[test]
    fn an_event_without_end_in_single_bytes_is_rejected() {
        let mut splitter = Splitter::default();
        for _ in 0..EVENT_LIMIT_BYTES {
            splitter.push(b"a");
            assert_eq!(splitter.next(), Ok(None));
        }
        splitter.push(b"a");
        assert_eq!(splitter.next(), Err(EventTooLarge));
    }

    #[test]
    fn an_event_over_the_limit_is_rejected() {
        let mut splitter = Splitter::default();
        splitter.push(&vec![b'x'; EVENT_LIMIT_BYTES + 1]);
        assert_eq!(splitter.next(), Err(EventTooLarge));
    }

    #[test]
    fn usage_is_read_from_an_event() {
        let data = "{\"usage\":{\"prompt_tokens\":3,\
                    \"completion_tokens\":5}}";
        let event = parse(Bytes::from(format!("data: {data}\n\n")));
        let expected = TokenUsage { input: 3, output: 5 };
        assert_eq!(event.token_usage(), Some(expected));
    }
}
