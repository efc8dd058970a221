//! Chat requests: the little that the router reads of them, and writes.

use serde_json::{Map, Value};

use crate::{
    api::template::{Priority, VersionEntry},
    error::{Error, ErrorKind},
    id::ModelId,
    rendezvous,
};

/// The name by which a caller leaves the model to the router.
const ANY_MODEL: &str = "auto";

/// Bytes of text that make one token, roughly.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of the first messages that make a request's prefix.
const PREFIX_BYTES: usize = 1024;

/// A chat request as the caller sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    fields: Map<String, Value>,
    /// The model named, if any.
    pub model: Option<ModelId>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Tokens to be written at most, if stated.
    pub output_tokens: Option<u64>,
    /// Tokens to be read, estimated.
    pub input_tokens: u64,
    /// The hash of the beginning, for affinity to a prefix cache.
    pub prefix: u64,
}

impl ChatRequest {
    /// Reads a request body.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] naming what is wrong.
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
            .ok_or_else(|| invalid("`messages` must be a filled list"))?;
        if !messages.iter().all(Value::is_object) {
            return Err(invalid("each of `messages` must be an object"));
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

    /// The body for an upstream that is to answer with a version.
    pub fn body_for(
        &self,
        entry: &VersionEntry,
        priority: Priority,
    ) -> Vec<u8> {
        let mut fields = self.fields.clone();
        let model = format!("{}@{}", entry.model, entry.version);
        fields.insert("model".to_owned(), Value::from(model));
        // Engines take the lower number first.
        let rank = match priority {
            Priority::Interactive => 0,
            Priority::Batch => 10,
        };
        fields.insert("priority".to_owned(), Value::from(rank));
        Value::Object(fields).to_string().into_bytes()
    }

    /// The text of the last message, for the rating service.
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
        Some(Value::String(name)) if name == ANY_MODEL => Ok(None),
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
            invalid(format!("`{name}` must be a whole number"))
        }),
    }
}

fn content_bytes(message: &Value) -> usize {
    match message.get("content") {
        Some(Value::String(text)) => text.len(),
        Some(other) => other.to_string().len(),
        None => 0,
    }
}

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

/// What an engine says that it used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens read.
    pub input: u64,
    /// Tokens written.
    pub output: u64,
}

impl TokenUsage {
    /// Reads the `usage` of an answer or of an event, if it has one.
    pub fn from_json(value: &Value) -> Option<TokenUsage> {
        let usage = value.get("usage")?;
        Some(TokenUsage {
            input: usage.get("prompt_tokens")?.as_u64()?,
            output: usage.get("completion_tokens")?.as_u64()?,
        })
    }
}

/// The text of a whole answer, for the rating service.
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
    fn what_is_wrong_is_named() {
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
    fn the_rest_of_a_request_is_passed_on() {
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
        let passed = request.body_for(&entry, Priority::Batch);
        let passed: Value = serde_json::from_slice(&passed).unwrap();
        assert_eq!(passed["model"], "m@v1");
        assert_eq!(passed["temperature"], 0.5);
        assert_eq!(passed["priority"], 10);
    }
}
