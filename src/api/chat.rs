//! Chat completion requests: the fields that the router reads and changes.

use std::{borrow::Cow, fmt, ops::Range};

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_json::{Value, value::RawValue};

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

/// Largest number of fields of a request.
const MAX_FIELDS: usize = 256;

/// Parts of a prompt after which no more are compared with those of other
/// requests.
const MAX_SEGMENTS: usize = 1024;

/// Fields that the router sets itself.
const OWN_FIELDS: [&str; 2] = ["model", "priority"];

/// A chat completion request as the caller sent it.
///
/// Its fields are kept as parts of the body: a tree of small JSON values takes
/// many times the memory of their text.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    body: Bytes,
    fields: Vec<Field>,
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

/// A field of a request.
#[derive(Clone, Debug, PartialEq)]
struct Field {
    name: String,
    /// Where its value is in the body.
    value: Range<usize>,
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] with the reason.
    pub fn from_json(body: Bytes) -> Result<ChatRequest, Error> {
        let fields = read_fields(&body)?;
        let mut request = ChatRequest {
            body,
            fields,
            model: None,
            stream: false,
            output_tokens: None,
            input_tokens: 0,
            prefix: 0,
        };
        let messages = request.value("messages").filter(|m| is_list(m));
        let no_messages = || invalid("`messages` must be a non-empty list");
        let messages = messages.ok_or_else(no_messages)?;
        let mut text_bytes = 0;
        let mut prefix = Prefix::default();
        let mut count = 0;
        let mut are_objects = true;
        for_each_item(messages, |message| {
            count += 1;
            are_objects &= message.starts_with('{');
            let content = Content::of(message);
            text_bytes += content.len_bytes();
            prefix.push(&content);
        })?;
        if count == 0 {
            return Err(no_messages());
        }
        if !are_objects {
            return Err(invalid("each item of `messages` must be an object"));
        }
        request.input_tokens = (text_bytes / BYTES_PER_TOKEN) as u64 + 1;
        request.prefix = prefix.finish();
        request.model = read_model(request.value("model"))?;
        request.stream = read_flag(request.value("stream"), "stream")?;
        request.output_tokens =
            read_number(request.value("max_tokens"), "max_tokens")?;
        Ok(request)
    }

    /// Returns the JSON of a field.
    fn value(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|field| field.name == name)?;
        self.text(&field.value)
    }

    fn text(&self, range: &Range<usize>) -> Option<&str> {
        str::from_utf8(self.body.get(range.clone())?).ok()
    }

    /// Returns the body to send to an upstream, with the version and priority.
    pub fn body_for(
        &self,
        entry: &VersionEntry,
        priority: Priority,
    ) -> Vec<u8> {
        let model = format!("{}@{}", entry.model, entry.version);
        // Engines process requests with a lower number first.
        let rank = match priority {
            Priority::Interactive => 0,
            Priority::Batch => 10,
        };
        let model = Value::from(model);
        let mut text = String::with_capacity(self.body.len() + 128);
        text.push_str(&format!("{{\"model\":{model},\"priority\":{rank}"));
        for field in &self.fields {
            if OWN_FIELDS.contains(&field.name.as_str()) {
                continue;
            }
            let Some(value) = self.text(&field.value) else { continue };
            let name = Value::from(field.name.as_str());
            text.push_str(&format!(",{name}:"));
            text.push_str(value);
        }
        text.push('}');
        text.into_bytes()
    }

    /// Returns ids of the parts of the prompt that other requests may share:
    /// the tools and all messages but the last.
    pub(crate) fn shared_segments(&self) -> Vec<u64> {
        let ids = |name: &str| {
            let mut ids = Vec::new();
            if let Some(list) = self.value(name).filter(|list| is_list(list)) {
                // The body was parsed before.
                let _ = for_each_item(list, |item| {
                    if ids.len() <= MAX_SEGMENTS {
                        let hash = blake3::hash(item.as_bytes());
                        ids.push(rendezvous::first_u64(&hash));
                    }
                });
            }
            ids
        };
        let (tools, mut messages) = (ids("tools"), ids("messages"));
        messages.pop();
        let mut segments = [tools, messages].concat();
        segments.truncate(MAX_SEGMENTS);
        segments
    }

    /// Returns the text of the last message, for the rating service.
    pub fn last_text(&self) -> String {
        let mut last = Content::None;
        if let Some(messages) = self.value("messages") {
            // The body was parsed before.
            let _ = for_each_item(messages, |item| last = Content::of(item));
        }
        match last {
            Content::Text(text) => text.into_owned(),
            Content::Other(_) | Content::None => String::new(),
        }
    }
}

/// The `content` of a message.
enum Content<'a> {
    /// Text.
    Text(Cow<'a, str>),
    /// JSON that is not text.
    Other(&'a str),
    /// The message has none.
    None,
}

impl<'a> Content<'a> {
    fn of(message: &'a str) -> Content<'a> {
        #[derive(Deserialize)]
        struct Message<'b> {
            #[serde(borrow)]
            content: Option<&'b RawValue>,
        }
        #[derive(Deserialize)]
        struct Text<'b>(#[serde(borrow)] Cow<'b, str>);
        let parsed = serde_json::from_str::<Message<'a>>(message);
        let Some(content) = parsed.ok().and_then(|parsed| parsed.content)
        else {
            return Content::None;
        };
        let json = content.get();
        match serde_json::from_str::<Text<'a>>(json) {
            Ok(Text(text)) => Content::Text(text),
            Err(_) => Content::Other(json),
        }
    }

    /// Returns its length; other content than text counts with its JSON.
    fn len_bytes(&self) -> usize {
        match self {
            Content::Text(text) => text.len(),
            Content::Other(json) => json.len(),
            Content::None => 0,
        }
    }
}

/// Hashes the first [`PREFIX_BYTES`] of the messages' text.
#[derive(Default)]
struct Prefix {
    hasher: blake3::Hasher,
    len_bytes: usize,
}

impl Prefix {
    fn push(&mut self, content: &Content<'_>) {
        let Content::Text(text) = content else { return };
        let left = PREFIX_BYTES - self.len_bytes;
        let taken = &text.as_bytes()[..text.len().min(left)];
        self.hasher.update(taken);
        self.len_bytes += taken.len();
    }

    fn finish(&self) -> u64 {
        rendezvous::first_u64(&self.hasher.finalize())
    }
}

fn invalid(reason: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidInput).context(reason)
}

fn not_json(error: serde_json::Error) -> Error {
    invalid(format!("not JSON: {error}"))
}

fn is_list(json: &str) -> bool {
    json.starts_with('[')
}

/// Returns the fields of a JSON object; of a repeated one, the last counts.
fn read_fields(body: &[u8]) -> Result<Vec<Field>, Error> {
    struct Fields<'a>(Vec<(String, &'a RawValue)>);

    impl<'de> Deserialize<'de> for Fields<'de> {
        fn deserialize<D: Deserializer<'de>>(
            deserializer: D,
        ) -> Result<Fields<'de>, D::Error> {
            deserializer.deserialize_map(FieldsVisitor)
        }
    }

    struct FieldsVisitor;

    impl<'de> Visitor<'de> for FieldsVisitor {
        type Value = Fields<'de>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "a JSON object with at most {MAX_FIELDS} fields")
        }

        fn visit_map<A: MapAccess<'de>>(
            self,
            mut map: A,
        ) -> Result<Fields<'de>, A::Error> {
            let mut fields: Vec<(String, &RawValue)> = Vec::new();
            while let Some((name, value)) = map.next_entry::<String, _>()? {
                match fields.iter_mut().find(|(known, _)| *known == name) {
                    Some((_, earlier)) => *earlier = value,
                    None => fields.push((name, value)),
                }
                if fields.len() > MAX_FIELDS {
                    let length = fields.len();
                    return Err(serde::de::Error::invalid_length(
                        length, &self,
                    ));
                }
            }
            Ok(Fields(fields))
        }
    }

    let fields: Fields<'_> = serde_json::from_slice(body).map_err(not_json)?;
    let start = body.as_ptr() as usize;
    let fields = fields.0.into_iter().map(|(name, value)| {
        let json = value.get();
        let at = json.as_ptr() as usize - start;
        Field { name, value: at..at + json.len() }
    });
    Ok(fields.collect())
}

/// Passes the JSON of each item of a list to a function.
fn for_each_item<'a>(
    list: &'a str,
    visit: impl FnMut(&'a str),
) -> Result<(), Error> {
    struct Items<F>(F);

    impl<'de, F: FnMut(&'de str)> Visitor<'de> for Items<F> {
        type Value = ();

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a list")
        }

        fn visit_seq<A: SeqAccess<'de>>(
            mut self,
            mut items: A,
        ) -> Result<(), A::Error> {
            while let Some(item) = items.next_element::<&RawValue>()? {
                (self.0)(item.get());
            }
            Ok(())
        }
    }

    let mut deserializer = serde_json::Deserializer::from_str(list);
    deserializer.deserialize_seq(Items(visit)).map_err(not_json)
}

fn read_model(json: Option<&str>) -> Result<Option<ModelId>, Error> {
    let Some(json) = json.filter(|json| *json != "null") else {
        return Ok(None);
    };
    let name: String = serde_json::from_str(json)
        .map_err(|_| invalid("`model` must be a string"))?;
    match name == AUTO_MODEL {
        true => Ok(None),
        false => name.parse().map(Some),
    }
}

fn read_flag(json: Option<&str>, name: &str) -> Result<bool, Error> {
    match json {
        None | Some("null" | "false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(invalid(format!("`{name}` must be true or false"))),
    }
}

fn read_number(json: Option<&str>, name: &str) -> Result<Option<u64>, Error> {
    let Some(json) = json.filter(|json| *json != "null") else {
        return Ok(None);
    };
    serde_json::from_str(json).map(Some).map_err(|_| {
        invalid(format!("`{name}` must be a non-negative integer"))
    })
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
            let error = ChatRequest::from_json(body.into()).unwrap_err();
            assert_eq!(error.kind(), ErrorKind::InvalidInput);
            assert!(error.to_string().contains(what), "{error}");
        }
    }

    #[test]
    fn unknown_fields_are_forwarded_to_the_upstream() {
        let body = br#"{"model":"auto","messages":[{"role":"user",
            "content":"hello"}],"temperature":0.5}"#;
        let request =
            ChatRequest::from_json(Bytes::from_static(body)).unwrap();
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
        let segments = |body: &'static [u8]| -> Vec<u64> {
            let body = Bytes::from_static(body);
            ChatRequest::from_json(body).unwrap().shared_segments()
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
