//! Server-sent events, as far as relaying a stream needs them.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

use crate::api::chat::TokenUsage;

/// The largest event that is relayed.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// The data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// One event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// The bytes, with the blank line that ends them.
    pub(crate) raw: Bytes,
    /// Its number, where the upstream gives one.
    pub(crate) id: Option<u64>,
    /// Its data.
    pub(crate) data: String,
}

impl Event {
    /// Whether it ends the stream.
    pub(crate) fn is_done(&self) -> bool {
        self.data == DONE
    }

    /// The tokens used, where the event says so.
    pub(crate) fn token_usage(&self) -> Option<TokenUsage> {
        if !self.data.contains("\"usage\"") {
            return None;
        }
        let value: Value = serde_json::from_str(&self.data).ok()?;
        TokenUsage::from_json(&value)
    }

    /// The text that the event adds to the answer.
    pub(crate) fn text(&self) -> Option<String> {
        let value: Value = serde_json::from_str(&self.data).ok()?;
        let text = value.pointer("/choices/0/delta/content")?;
        text.as_str().map(str::to_owned)
    }
}

/// An event is larger than is relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Takes in bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether every byte taken in belongs to an event given out.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The next whole event.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, EventTooLarge> {
        match event_end(&self.buffer) {
            Some(end) => {
                let raw = self.buffer.split_to(end).freeze();
                Ok(Some(parse(raw)))
            }
            None if self.buffer.len() > EVENT_LIMIT_BYTES => {
                Err(EventTooLarge)
            }
            None => Ok(None),
        }
    }
}

/// Where the first event ends: after a blank line, of either kind.
fn event_end(buffer: &[u8]) -> Option<usize> {
    (0..buffer.len()).find_map(|at| {
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
    fn events_are_split_wherever_the_bytes_are() {
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
    fn an_endless_event_is_refused() {
        let mut splitter = Splitter::default();
        splitter.push(&vec![b'x'; EVENT_LIMIT_BYTES + 1]);
        assert_eq!(splitter.next(), Err(EventTooLarge));
    }

    #[test]
    fn usage_is_read_where_it_stands() {
        let data = "{\"usage\":{\"prompt_tokens\":3,\
                    \"completion_tokens\":5}}";
        let event = parse(Bytes::from(format!("data: {data}\n\n")));
        let expected = TokenUsage { input: 3, output: 5 };
        assert_eq!(event.token_usage(), Some(expected));
    }
}
