//! A caller: sends requests to entry VMs and records the outcome of each.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Method;
use lupinseam::http_client::{Call, Exchange, HttpClient, Reuse, SendError};
use serde_json::{Value, json};
use smol::Timer;

use crate::{documents::bearer_key, engine::hidden_number};
use futures_lite::FutureExt;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// A chat completion.
    Chat {
        /// The model; `None` lets the router choose.
        model: Option<String>,
        /// The kind of task, such as `summary`, sent as a header and in the
        /// prompt.
        task: String,
        /// The difficulty that the prompt states, from 0 to 1; together with
        /// the strength of the model it decides the quality of the answer.
        difficulty: f64,
        /// Number of tokens to generate.
        tokens: u64,
        /// Whether the response is streamed.
        stream: bool,
        /// `new` to start a session, or the token of an open one.
        session: Option<String>,
        /// `interactive` or `batch`; `None` sends no priority.
        priority: Option<String>,
    },
    /// A call to a plain service.
    Service {
        /// The name of the service.
        service: String,
        /// The HTTP method.
        method: Method,
        /// The idempotency key, if any: calls with one key run at most once.
        key: Option<String>,
    },
}

/// A request that a caller sends.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The organisation that sends it.
    pub organisation: String,
    /// A number that identifies the request; a chat answer must repeat it.
    pub nonce: u64,
    /// What it asks for.
    pub ask: Ask,
    /// The caller's timeout for the whole request.
    pub limit: Duration,
}

/// How a call ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A complete and correct response.
    Whole,
    /// The router rejected it or reported a failure.
    Refused {
        /// The error code.
        code: String,
        /// Whether the request ran: `not_run`, `outcome_unknown` or `ran`.
        run: String,
    },
    /// No response, or one that is recognisably broken; with the reason.
    Broken(String),
    /// A response that looked complete but was truncated, or belonged to
    /// another request; with the reason.
    Wrong(String),
}

/// A call and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request.
    pub request: Request,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The HTTP status; `None` without a response.
    pub status: Option<u16>,
    /// The id of the routing decision, from the response's headers.
    pub decision: Option<String>,
    /// The session token for the next request, from the response's headers.
    pub session: Option<String>,
    /// The model and version that answered, if the response names them.
    pub answered_by: Option<String>,
    /// The quality that the engine encoded in its answer.
    pub quality: Option<f64>,
    /// Whether the response is the recorded one of an earlier request with the
    /// same idempotency key.
    pub repeated: bool,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Time until the first chunk of a stream.
    pub first_part: Option<Duration>,
    /// Time until the end of the response, or the timeout.
    pub took: Duration,
}

impl CallRecord {
    /// Returns whether a complete and correct response came back.
    pub fn is_whole(&self) -> bool {
        self.outcome == CallOutcome::Whole
    }

    /// Returns the error code, if the router reported an error.
    pub fn code(&self) -> Option<&str> {
        match &self.outcome {
            CallOutcome::Refused { code, .. } => Some(code),
            _ => None,
        }
    }

    /// Returns whether the request ran, as the router's error response says:
    /// `not_run`, `outcome_unknown` or `ran`; `None` without one.
    pub fn run_status(&self) -> Option<&str> {
        match &self.outcome {
            CallOutcome::Refused { run, .. } => Some(run),
            _ => None,
        }
    }
}

/// Sends a request to an entry VM and waits for the end of the response, at
/// most for the request's timeout.
pub async fn send(
    client: &HttpClient,
    vm: SocketAddr,
    request: &Request,
) -> CallRecord {
    let begun = Instant::now();
    let mut record = CallRecord {
        request: request.clone(),
        at_unix_ms: crate::web::unix_ms(),
        status: None,
        decision: None,
        session: None,
        answered_by: None,
        quality: None,
        repeated: false,
        outcome: CallOutcome::Broken(
            "no response before the timeout".to_owned(),
        ),
        first_part: None,
        took: Duration::ZERO,
    };
    let call = exchange(client, vm, request, &mut record, begun);
    let timer = async {
        Timer::after(request.limit).await;
    };
    call.or(timer).await;
    record.took = begun.elapsed();
    record
}

async fn exchange(
    client: &HttpClient,
    vm: SocketAddr,
    request: &Request,
    record: &mut CallRecord,
    begun: Instant,
) {
    let call = to_call(vm, request);
    // When a pooled connection breaks, the caller can't know whether the
    // request ran, so anything but a GET uses a fresh connection.
    let reuse = match &request.ask {
        Ask::Service { method, .. } if *method == Method::GET => Reuse::Pooled,
        _ => Reuse::Fresh,
    };
    let exchange = match client.send(call, reuse).await {
        Ok(exchange) => exchange,
        Err(error) => {
            record.outcome = CallOutcome::Broken(error.to_string());
            return;
        }
    };
    record.status = Some(exchange.status);
    record.decision = exchange.header("lupinseam-decision").map(str::to_owned);
    record.session = exchange.header("lupinseam-session").map(str::to_owned);
    record.repeated = exchange.header("lupinseam-repeated").is_some();
    let is_stream = exchange
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"));
    if is_stream {
        read_stream(exchange, request, record, begun).await;
    } else {
        read_to_end(exchange, request, record).await;
    }
}

fn to_call(vm: SocketAddr, request: &Request) -> Call {
    let key = format!("Bearer {}", bearer_key(&request.organisation));
    let call = match &request.ask {
        Ask::Chat {
            model,
            task,
            difficulty,
            tokens,
            stream,
            session,
            priority,
        } => {
            let nonce = request.nonce;
            let prompt = format!(
                "task={task} nonce={nonce} difficulty={difficulty:.3}"
            );
            let body = json!({
                "model": model.as_deref().unwrap_or("auto"),
                "messages": [{ "role": "user", "content": prompt }],
                "max_tokens": tokens,
                "stream": stream,
            });
            let mut call = Call::new(vm, Method::POST, "/v1/chat/completions")
                .body(body.to_string())
                .header("lupinseam-task", task);
            if let Some(session) = session {
                call = call.header("lupinseam-session", session);
            }
            if let Some(priority) = priority {
                call = call.header("lupinseam-priority", priority);
            }
            call
        }
        Ask::Service { service, method, key } => {
            let path = format!("/services/{service}/do/{}", request.nonce);
            let mut call = Call::new(vm, method.clone(), path);
            if *method != Method::GET {
                call = call.body(format!("{{\"nonce\":{}}}", request.nonce));
            }
            if let Some(key) = key {
                call = call.header("idempotency-key", key);
            }
            call
        }
    };
    call.header("authorization", &key)
}

/// Reads a response that isn't streamed and records its outcome.
async fn read_to_end(
    exchange: Exchange,
    request: &Request,
    record: &mut CallRecord,
) {
    const LIMIT_BYTES: u64 = 64 << 20;
    let answer = match exchange.read_to_end(LIMIT_BYTES).await {
        Ok(answer) => answer,
        Err(error) => {
            record.outcome = CallOutcome::Broken(error.to_string());
            return;
        }
    };
    let value: Value =
        serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    if let Some(code) = value["error"]["code"].as_str() {
        let run = value["error"]["run"].as_str().unwrap_or_default();
        record.outcome = CallOutcome::Refused {
            code: code.to_owned(),
            run: run.to_owned(),
        };
        return;
    }
    if answer.status != 200 {
        let reason = format!("status {}", answer.status);
        record.outcome = CallOutcome::Broken(reason);
        return;
    }
    record.outcome = match &request.ask {
        Ask::Chat { tokens, .. } => {
            record.answered_by = value["model"].as_str().map(str::to_owned);
            let text = value["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default();
            check_answer_text(text, *tokens, request.nonce, record)
        }
        Ask::Service { key, .. } => {
            check_service_response(&value, key.as_deref())
        }
    };
}

/// Checks that a service's response belongs to the call with this key.
fn check_service_response(value: &Value, key: Option<&str>) -> CallOutcome {
    if value["run"].as_u64().is_none() || value["key"].as_str() != key {
        return CallOutcome::Wrong(format!(
            "not the response to this call: {value}"
        ));
    }
    CallOutcome::Whole
}

/// Checks that a text is the complete answer to this request: it has the
/// nonce, and the words `w1` to `wN` in order, one for each token.
fn check_answer_text(
    text: &str,
    tokens: u64,
    nonce: u64,
    record: &mut CallRecord,
) -> CallOutcome {
    record.quality = hidden_number(text, "quality=");
    let found = hidden_number(text, "nonce=").map(|n| n as u64);
    if found != Some(nonce) {
        return CallOutcome::Wrong(format!(
            "nonce {found:?} instead of {nonce}"
        ));
    }
    let words: Vec<&str> =
        text.split_whitespace().filter(|word| word.starts_with('w')).collect();
    let expected = (1..=tokens).map(|n| format!("w{n}"));
    if words.iter().map(|w| (*w).to_owned()).ne(expected) {
        return CallOutcome::Wrong(format!(
            "{} words instead of {tokens}, or out of order",
            words.len()
        ));
    }
    CallOutcome::Whole
}

/// Reads a stream of server-sent events and records its outcome.
async fn read_stream(
    mut exchange: Exchange,
    request: &Request,
    record: &mut CallRecord,
    begun: Instant,
) {
    let mut buffer: Vec<u8> = Vec::new();
    let mut text = String::new();
    let mut is_done = false;
    let mut failed = None;
    loop {
        let chunk: Result<Option<Bytes>, SendError> =
            exchange.next_chunk().await;
        match chunk {
            Ok(Some(bytes)) => {
                record.first_part.get_or_insert(begun.elapsed());
                buffer.extend_from_slice(&bytes);
            }
            Ok(None) => break,
            Err(error) => {
                record.outcome = CallOutcome::Broken(error.to_string());
                return;
            }
        }
        while let Some(end) =
            buffer.windows(2).position(|pair| pair == b"\n\n")
        {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event).into_owned();
            if event.starts_with("event: error") {
                failed = Some(event.clone());
            }
            is_done |= event.contains("[DONE]");
            append_event(&event, &mut text, record);
        }
    }
    let Ask::Chat { tokens, .. } = &request.ask else {
        record.outcome =
            CallOutcome::Wrong("a service sent a stream".to_owned());
        return;
    };
    record.outcome = match failed {
        Some(event) => CallOutcome::Broken(event),
        None if !is_done => {
            CallOutcome::Wrong("the stream ended without [DONE]".to_owned())
        }
        None => check_answer_text(&text, *tokens, request.nonce, record),
    };
}

/// Adds the text of a server-sent event and records the model that it names.
fn append_event(event: &str, text: &mut String, record: &mut CallRecord) {
    let data = event.lines().find_map(|line| line.strip_prefix("data: "));
    let value: Value = data
        .and_then(|data| serde_json::from_str(data).ok())
        .unwrap_or(Value::Null);
    if let Some(part) = value["choices"][0]["delta"]["content"].as_str() {
        text.push_str(part);
    }
    if let Some(model) = value["model"].as_str() {
        record.answered_by = Some(model.to_owned());
    }
}
