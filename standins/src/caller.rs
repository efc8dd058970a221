//! A caller: sends requests to entry VMs and keeps record of what came back.

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

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// A chat answer.
    Chat {
        /// The model; `None` leaves it to the router.
        model: Option<String>,
        /// The task.
        task: String,
        /// How hard it is, from 0 to 1.
        difficulty: f64,
        /// Tokens of the answer.
        tokens: u64,
        /// Whether it is streamed.
        stream: bool,
        /// `new`, or the token of a session.
        session: Option<String>,
        /// `interactive` or `batch`, if named.
        priority: Option<String>,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: String,
        /// The method.
        method: Method,
        /// The key under which it must not run twice.
        key: Option<String>,
    },
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The organisation.
    pub organisation: String,
    /// A number that the answer must repeat.
    pub nonce: u64,
    /// What is asked.
    pub ask: Ask,
    /// The longest that the caller waits.
    pub limit: Duration,
}

/// What came back.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A whole answer.
    Whole,
    /// A refusal, with its code and what it says about running.
    Refused {
        /// The code.
        code: String,
        /// `not_run`, `outcome_unknown` or `ran`.
        run: String,
    },
    /// Something that was visibly broken, or nothing.
    Broken(String),
    /// An answer that looked whole and was not, or was another's.
    Wrong(String),
}

/// A call and what came of it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request.
    pub request: Request,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The HTTP status, if any came.
    pub status: Option<u16>,
    /// The decision id, if any came.
    pub decision: Option<String>,
    /// The session token, if any came.
    pub session: Option<String>,
    /// The model and version that answered, if it says so.
    pub answered_by: Option<String>,
    /// The hidden quality of the answer.
    pub quality: Option<f64>,
    /// Whether it is the recorded answer of an earlier request.
    pub repeated: bool,
    /// What came back.
    pub outcome: CallOutcome,
    /// Time until the first part.
    pub first_part: Option<Duration>,
    /// Time until the end.
    pub took: Duration,
}

impl CallRecord {
    /// Whether a whole answer came back.
    pub fn is_whole(&self) -> bool {
        self.outcome == CallOutcome::Whole
    }

    /// The code of a refusal.
    pub fn code(&self) -> Option<&str> {
        match &self.outcome {
            CallOutcome::Refused { code, .. } => Some(code),
            _ => None,
        }
    }

    /// What a refusal says about running.
    pub fn run(&self) -> Option<&str> {
        match &self.outcome {
            CallOutcome::Refused { run, .. } => Some(run),
            _ => None,
        }
    }
}

/// Sends a request to an entry VM.
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
        outcome: CallOutcome::Broken("no answer in time".to_owned()),
        first_part: None,
        took: Duration::ZERO,
    };
    let work = exchange(client, vm, request, &mut record, begun);
    let timer = async {
        Timer::after(request.limit).await;
    };
    work.or(timer).await;
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
    // A caller whose connection breaks cannot know, so it uses its own.
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
        read_whole(exchange, request, record).await;
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

async fn read_whole(
    exchange: Exchange,
    request: &Request,
    record: &mut CallRecord,
) {
    const LIMIT_BYTES: u64 = 64 << 20;
    let answer = match exchange.read_whole(LIMIT_BYTES).await {
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
            judge_text(text, *tokens, request.nonce, record)
        }
        Ask::Service { key, .. } => judge_service(&value, key.as_deref()),
    };
}

fn judge_service(value: &Value, key: Option<&str>) -> CallOutcome {
    if value["run"].as_u64().is_none() || value["key"].as_str() != key {
        return CallOutcome::Wrong(format!("another's answer: {value}"));
    }
    CallOutcome::Whole
}

/// Checks that a text is the whole answer to this request.
fn judge_text(
    text: &str,
    tokens: u64,
    nonce: u64,
    record: &mut CallRecord,
) -> CallOutcome {
    record.quality = hidden_number(text, "quality=");
    let found = hidden_number(text, "nonce=").map(|n| n as u64);
    if found != Some(nonce) {
        return CallOutcome::Wrong(format!("nonce {found:?} for {nonce}"));
    }
    let words: Vec<&str> =
        text.split_whitespace().filter(|word| word.starts_with('w')).collect();
    let expected = (1..=tokens).map(|n| format!("w{n}"));
    if words.iter().map(|w| (*w).to_owned()).ne(expected) {
        return CallOutcome::Wrong(format!(
            "{} words of {tokens}, or out of order",
            words.len()
        ));
    }
    CallOutcome::Whole
}

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
            take_event(&event, &mut text, record);
        }
    }
    let Ask::Chat { tokens, .. } = &request.ask else {
        record.outcome = CallOutcome::Wrong("a stream".to_owned());
        return;
    };
    record.outcome = match failed {
        Some(event) => CallOutcome::Broken(event),
        None if !is_done => {
            CallOutcome::Wrong("closed as whole without its end".to_owned())
        }
        None => judge_text(&text, *tokens, request.nonce, record),
    };
}

fn take_event(event: &str, text: &mut String, record: &mut CallRecord) {
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
