//! Chat completion requests: the fields that the router reads and changes.

use serde_json::{Map, Value};

use crate::{
    api::template::{Priority, VersionEntry},
    error::{Error, ErrorKind},
    id::ModelId,
    rendezvous,
};

/// The model name with which a caller lets the router select the model.
const AUTO_MODEL: &str = "auto";

/// Approximate bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Length of the text, from the first message on, that is hashed as the
/// prefix of a request.
const PREFIX_BYTES: usize = 1024;

/// A chat completion request as the caller sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    fields: Map<String, Value>,
    /// The requested model; `None` for any allowed model.
    pub model: Option<ModelId>,
    /// Whether the caller asks for a streamed answer.
    pub stream: bool,
    /// The limit on output tokens (`max_tokens`), if set.
    pub output_tokens: Option<u64>,
    /// The number of input tokens, estimated from the length of the text.
    pub input_tokens: u64,
    /// The hash of the start of the text, for prefix cache affinity.
    pub prefix: u64,
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] with the reason.
    pub fn from_json(body: &[u8]) -> Result<ChatRequest, Error> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| invalid(format!("not JSON: {error}")))?;
        let Value::Object(fields) = value else {
            return Err(invalid("the body must be a JSON object"));
        };
        let messages = fields
            .get("messages")
            .and_then(Value::as_array)
            .filter(|messages| !messages.is_empty())
            .ok_or_else(|| invalid("`messages` must be a non-empty list"))?;
        if !messages.iter().all(Value::is_object) {
            return Err(invalid("each item of `messages` must be an object"));
        }
        let text_bytes = messages.iter().map(content_bytes).sum::<usize>();
        let prefix = prefix_hash(messages);
        let model = read_model(&fields)?;
        let stream = read_flag(&fields, "stream")?;
        let output_tokens = read_number(&fields, "max_tokens")?;
        Ok(ChatRequest {
            model,
            stream,
            output_tokens,
            input_tokens: (text_bytes / BYTES_PER_TOKEN) as u64 + 1,
            prefix,
            fields,
        })
    }

    /// Returns the body to send to an upstream, with the version and priority.
    pub fn body_for(
        &self,
        entry: &VersionEntry,
        priority: Priority,
    ) -> Vec<u8> {
        let mut fields = self.fields.clone();
        let model = format!("{}@{}", entry.model, entry.version);
        fields.insert("model".to_owned(), Value::from(model));
        // Engines process requests with a lower number first.
        let rank = match priority {
            Priority::Interactive => 0,
            Priority::Batch => 10,
        };
        fields.insert("priority".to_owned(), Value::from(rank));
        Value::Object(fields).to_string().into_bytes()
    }

    /// Returns ids of the parts of the prompt that other requests may share:
    /// the tools and all messages but the last.
    pub(crate) fn shared_segments(&self) -> impl Iterator<Item = u64> {
        let list =
            |name: &str| self.fields.get(name).and_then(Value::as_array);
        let tools = list("tools").map_or(&[][..], Vec::as_slice);
        let messages = list("messages").map_or(&[][..], Vec::as_slice);
        let earlier = messages.split_last().map_or(&[][..], |(_, all)| all);
        tools.iter().chain(earlier).map(|part| {
            let hash = blake3::hash(part.to_string().as_bytes());
            rendezvous::first_u64(&hash)
        })
    }

    /// Returns the text of the last message, for the rating service.
    pub fn last_text(&self) -> String {
        let messages = self.fields.get("messages").and_then(Value::as_array);
        let last = messages.and_then(|messages| messages.last());
        last.and_then(|message| message.get("content"))
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned()
    }
}

fn invalid(reason: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidInput).context(reason)
}

fn read_model(fields: &Map<String, Value>) -> Result<Option<ModelId>, Error> {
    match fields.get("model") {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(name)) if name == AUTO_MODEL => Ok(None),
        Some(Value::String(name)) => name.parse().map(Some),
        Some(_) => Err(invalid("`model` must be a string")),
    }
}

fn read_flag(fields: &Map<String, Value>, name: &str) -> Result<bool, Error> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid(format!("`{name}` must be true or false"))),
    }
}

fn read_number(
    fields: &Map<String, Value>,
    name: &str,
) -> Result<Option<u64>, Error> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value.as_u64().map(Some).ok_or_else(|| {
            invalid(format!("`{name}` must be a non-negative integer"))
        }),
    }
}

/// Returns the length of a message's content; other content than text counts
/// with its JSON.
fn content_bytes(message: &Value) -> usize {
    match message.get("content") {
        Some(Value::String(text)) => text.len(),
        Some(other) => other.to_string().len(),
        None => 0,
    }
}

/// Hashes the first [`PREFIX_BYTES`] of the messages' text.
fn prefix_hash(messages: &[Value]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let mut left = PREFIX_BYTES;
    for message in messages {
        let text = match message.get("content") {
            Some(Value::String(text)) => text.as_str(),
            _ => "",
        };
        let taken = &text.as_bytes()[..text.len().min(left)];
        hasher.update(taken);
        left -= taken.len();
        if left == 0 {
            break;
        }
    }
    rendezvous::first_u64(&hasher.finalize())
}

/// The token counts that an inference engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Input tokens (`prompt_tokens`).
    pub input: u64,
    /// Output tokens (`completion_tokens`).
    pub output: u64,
}

impl TokenUsage {
    /// Reads the `usage` of an answer or a stream event, if it has one.
    ///
    /// Numbers that no request can use are not read, since organisations are
    /// billed by them.
    pub fn from_json(value: &Value) -> Option<TokenUsage> {
        let usage = value.get("usage")?;
        let tokens = |name| {
            let tokens = usage.get(name)?.as_u64()?;
            u32::try_from(tokens).ok().map(u64::from)
        };
        Some(TokenUsage {
            input: tokens("prompt_tokens")?,
            output: tokens("completion_tokens")?,
        })
    }
}

/// Returns the text of a whole answer, for the rating service.
pub fn answer_text(value: &Value) -> String {
    value
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_requests_are_rejected_with_the_field_name() {
        let wrong = [
            ("{", "not JSON"),
            ("[]", "JSON object"),
            ("{}", "messages"),
            (r#"{"messages":[]}"#, "messages"),
            (r#"{"messages":[1]}"#, "messages"),
            (r#"{"messages":[{}],"model":1}"#, "model"),
            (r#"{"messages":[{}],"model":"A B"}"#, "model id"),
            (r#"{"messages":[{}],"stream":"yes"}"#, "stream"),
            (r#"{"messages":[{}],"max_tokens":-1}"#, "max_tokens"),
        ];
        for (body, what) in wrong {
            let error = ChatRequest::from_json(body.as_bytes()).unwrap_err();
            assert_eq!(error.kind(), ErrorKind::InvalidInput);
            assert!(error.to_string().contains(what), "{error}");
        }
    }

    #[test]
    fn unknown_fields_are_forwarded_to_the_upstream() {
        let body = br#"{"model":"auto","messages":[{"role":"user",
            "content":"hello"}],"temperature":0.5}"#;
        let request = ChatRequest::from_json(body).unwrap();
        assert_eq!(request.model, None);
        assert_eq!(request.last_text(), "hello");
        let entry = VersionEntry::from_json(
            br#"{"model":"m","version":"v1","state":"serving",
                "input_price_micro_per_1k":1,
                "output_price_micro_per_1k":1}"#,
        )
        .unwrap();
        let forwarded = request.body_for(&entry, Priority::Batch);
        let forwarded: Value = serde_json::from_slice(&forwarded).unwrap();
        assert_eq!(forwarded["model"], "m@v1");
        assert_eq!(forwarded["temperature"], 0.5);
        assert_eq!(forwarded["priority"], 10);
    }

    #[test]
    fn all_parts_of_a_prompt_but_the_last_message_are_shared() {
        let segments = |body: &[u8]| -> Vec<u64> {
            let request = ChatRequest::from_json(body).unwrap();
            request.shared_segments().collect()
        };
        let one = br#"{"messages":[{"role":"user","content":"a"}]}"#;
        assert!(segments(one).is_empty());
        let long = br#"{"tools":[{"name":"t"}],"messages":[
            {"role":"system","content":"s"},{"role":"user","content":"a"}]}"#;
        let other = br#"{"tools":[{"name":"t"}],"messages":[
            {"role":"system","content":"s"},{"role":"user","content":"b"}]}"#;
        assert_eq!(segments(long).len(), 2);
        assert_eq!(segments(long), segments(other));
    }

    #[test]
    fn usage_that_counts_no_tokens_is_not_read() {
        let usage = |input: &str, output: &str| {
            let text = format!(
                r#"{{"usage":{{"prompt_tokens":{input},
                    "completion_tokens":{output}}}}}"#
            );
            TokenUsage::from_json(&serde_json::from_str(&text).unwrap())
        };
        let most = u32::MAX.to_string();
        assert!(usage("0", &most).is_some());
        for odd in ["4294967296", "18446744073709551615", "-1", "1e18", "[]"] {
            assert_eq!(usage(odd, "1"), None, "{odd}");
            assert_eq!(usage("1", odd), None, "{odd}");
        }
    }
}
