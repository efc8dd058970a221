//! The HTTP API for callers: chat completions, models and plain services.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, future, io::Cursor};
use serde_json::json;
use smol::channel::bounded;
use trillium::{
    Body, Conn, Handler, HeaderName, Headers, KnownHeaderName, Method,
    async_trait,
};

use crate::{
    answer::{Answer, Header},
    api::{
        caller_transport::CallerTransport,
        dispatch::{ServiceTarget, is_forwarded_header},
        request::{CallHeaders, Received, Request},
        template::VersionState,
        vm::Vm,
    },
    caller_memory::{
        account::Purpose,
        body_buffer::{BodyBuffer, Progress},
    },
    error::{Error, ErrorKind},
    secret::KeyHash,
    task,
};

const CHAT_PATH: &str = "/v1/chat/completions";
const MODELS_PATH: &str = "/v1/models";
const SERVICES_PREFIX: &str = "/services/";

/// Maximum total size of the request headers, in bytes.
const HEADERS_LIMIT_BYTES: usize = 32 * 1024;

/// Timeout for a request body, from the end of the request head; also for the
/// rest of an oversized one.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the buffer through which a body is read.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Largest answer that is copied for the HTTP library.
const COPIED_ANSWER_BYTES: usize = 16 << 10;

/// Maximum size of an oversized body that is read and discarded before the
/// rejection is sent, in bytes.
const DISCARD_LIMIT_BYTES: u64 = 16 << 20;

/// Request headers that are not forwarded to upstreams.
const PRIVATE_HEADERS: [&str; 6] = [
    "authorization",
    "lupinseam-session",
    "lupinseam-task",
    "lupinseam-priority",
    "lupinseam-deadline-ms",
    "expect",
];

/// The HTTP handler for requests of callers.
pub(crate) struct CallerApi {
    pub(crate) vm: Arc<Vm>,
}

#[async_trait]
impl Handler for CallerApi {
    async fn run(&self, conn: Conn) -> Conn {
        if let Some(transport) = CallerTransport::of(&conn) {
            transport.begin_request();
        }
        let conn = self.answer(conn).await;
        if let Some(transport) = CallerTransport::of(&conn) {
            transport.end_request();
        }
        conn
    }
}

impl CallerApi {
    async fn answer(&self, conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        let method = conn.method();
        match (method, path.as_str()) {
            (Method::Get, "/healthz") => conn.ok("alive\n"),
            (Method::Get, "/readyz") => send_readiness(&self.vm, conn),
            (Method::Get, MODELS_PATH) => self.models(conn),
            (Method::Post, CHAT_PATH) => self.chat(conn).await,
            (_, path) if path.starts_with(SERVICES_PREFIX) => {
                self.service(conn).await
            }
            (_, CHAT_PATH | MODELS_PATH | "/healthz" | "/readyz") => {
                let kind = ErrorKind::MethodNotAllowed;
                send_error(conn, kind, "the path does not support this method")
            }
            _ => {
                let reason = format!("no resource at {path}");
                send_error(conn, ErrorKind::NotFound, reason)
            }
        }
    }

    /// Handles a chat completion request.
    async fn chat(&self, mut conn: Conn) -> Conn {
        let (connected, cancel) = bounded(1);
        let request = Request::receive(&self.vm, cancel);
        let (request, body) = match self.read(&mut conn, request).await {
            Ok(read) => read,
            Err(answer) => return send(conn, answer),
        };
        let headers = call_headers(conn.request_headers());
        let work = async move {
            let admitted = match request.admit_chat(&headers, &body) {
                Ok(admitted) => admitted,
                Err(answer) => return answer,
            };
            match admitted.plan() {
                Ok(planned) => planned.run(&body).await,
                Err(answer) => answer,
            }
        };
        finish(conn, work, connected).await
    }

    /// Handles a call of a plain service.
    async fn service(&self, mut conn: Conn) -> Conn {
        let (connected, cancel) = bounded(1);
        let request = Request::receive(&self.vm, cancel);
        let (request, body) = match self.read(&mut conn, request).await {
            Ok(read) => read,
            Err(answer) => return send(conn, answer),
        };
        let (service, path) = split_service_path(&conn);
        let method = conn.method();
        let is_safe = matches!(method, Method::Get | Method::Head);
        let headers = call_headers(conn.request_headers());
        let target = ServiceTarget {
            method: hyper_method(method),
            path,
            headers: forwarded_headers(conn.request_headers()),
            body,
        };
        let work = async move {
            match request.admit_service(&headers, &service, is_safe) {
                Ok(admitted) => admitted.run(target).await,
                Err(answer) => answer,
            }
        };
        finish(conn, work, connected).await
    }

    /// Reads the request body, up to the size limit.
    async fn read(
        &self,
        conn: &mut Conn,
        request: Request<Received>,
    ) -> Result<(Request<Received>, Bytes), Answer> {
        let limit = self.vm.settings.requests.body_limit_bytes;
        let too_large = || {
            Error::new(ErrorKind::TooLarge)
                .context(format!("the body exceeds {limit} bytes"))
        };
        if header_bytes(conn.request_headers()) > HEADERS_LIMIT_BYTES {
            let error = Error::new(ErrorKind::TooLarge).context(format!(
                "the headers exceed {HEADERS_LIMIT_BYTES} bytes"
            ));
            return Err(request.reject(error));
        }
        let stated = conn
            .request_headers()
            .get_str(KnownHeaderName::ContentLength)
            .and_then(|text| text.parse::<u64>().ok());
        if stated.is_some_and(|length| length > limit) {
            if stated.is_some_and(|length| length < DISCARD_LIMIT_BYTES) {
                await_body(conn);
                // A caller that is still sending its body might not read the
                // answer.
                let body = conn.request_body().await;
                let body = body.with_max_len(DISCARD_LIMIT_BYTES);
                let _ = task::within(BODY_TIMEOUT, body.drain()).await;
            }
            return Err(request.reject(too_large()));
        }
        match self.read_body(conn, limit, stated).await {
            Ok(body) => Ok((request, body)),
            Err(error) => Err(request.reject(error)),
        }
    }

    /// Reads a body within the memory that callers may take.
    async fn read_body(
        &self,
        conn: &mut Conn,
        limit_bytes: u64,
        stated_bytes: Option<u64>,
    ) -> Result<Bytes, Error> {
        let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        let mut buffer = BodyBuffer::new(
            self.vm.caller_connections.memory.clone(),
            Purpose::Body,
            limit,
            stated_bytes.map(|stated| stated as usize),
        );
        await_body(conn);
        let work = async {
            let mut part = vec![0; READ_BUFFER_BYTES];
            loop {
                let count = read_part(conn, &buffer, &mut part).await?;
                if count == 0 {
                    return Ok(());
                }
                let progress = buffer.push(&part[..count]).await?;
                if progress == Progress::Claimed {
                    await_body(conn);
                }
            }
        };
        let read = task::within(BODY_TIMEOUT, work).await;
        if let Some(transport) = CallerTransport::of(conn) {
            transport.begin_request();
        }
        read.unwrap_or_else(|| {
            Err(Error::new(ErrorKind::RequestTimeout)
                .context(format!("no whole body within {BODY_TIMEOUT:?}")))
        })?;
        Ok(buffer.finish()?)
    }

    /// Lists the models and versions that the caller's template allows.
    fn models(&self, conn: Conn) -> Conn {
        let bearer = bearer_key(conn.request_headers());
        let configuration = self.vm.configuration.current();
        let template = bearer.and_then(|key| {
            configuration.template_by_key(&KeyHash::of(&key)).cloned()
        });
        let Some(template) = template else {
            let reason = "no template has this key";
            return send_error(conn, ErrorKind::Unauthorized, reason);
        };
        let mut models = Vec::new();
        for rule in &template.models {
            let versions: Vec<String> = configuration
                .versions(&rule.model)
                .filter(|entry| rule.allows(&entry.version))
                .filter(|entry| entry.state != VersionState::Withdrawn)
                .map(|entry| entry.version.to_string())
                .collect();
            models.push(json!({
                "id": rule.model,
                "object": "model",
                "versions": versions,
            }));
        }
        let list = json!({ "object": "list", "data": models });
        send_json(conn, 200, &list)
    }
}

fn await_body(conn: &Conn) {
    if let Some(transport) = CallerTransport::of(conn) {
        transport.await_body();
    }
}

/// Reads the next part of a body, unless the body has to give way first;
/// returns its size, 0 at the end.
async fn read_part(
    conn: &mut Conn,
    buffer: &BodyBuffer,
    part: &mut [u8],
) -> Result<usize, Error> {
    let mut body = conn.request_body().await;
    let next = async { body.read(part).await.map_err(body_error) };
    let Some(claim) = buffer.claim() else { return next.await };
    let revoked = async { Err(claim.revoked().await.into()) };
    future::or(next, revoked).await
}

/// Returns the error for a body that cannot be read to its end.
fn body_error(error: io::Error) -> Error {
    let kind = match error.kind() {
        // How the HTTP library reports a body above its limit.
        io::ErrorKind::Unsupported => ErrorKind::TooLarge,
        // The transport makes room for others.
        io::ErrorKind::TimedOut => ErrorKind::RequestTimeout,
        _ => ErrorKind::InvalidInput,
    };
    Error::new(kind).context(error.to_string()).context("reading the body")
}

/// Runs `work` to completion, even if the caller disconnects, and sends its
/// answer.
///
/// Cancellable work notices a disconnect by the closing of the channel
/// `connected`.
async fn finish(
    mut conn: Conn,
    work: impl Future<Output = Answer> + Send + 'static,
    connected: smol::channel::Sender<()>,
) -> Conn {
    let (sender, receiver) = bounded(1);
    task::spawn(async move {
        let answer = work.await;
        // The receiver no longer exists if the caller has disconnected.
        let _ = sender.try_send(answer);
    })
    .detach();
    let answer_received = receiver.recv();
    let answer = conn.cancel_on_disconnect(answer_received).await;
    match answer {
        Some(Ok(Answer::Streamed { headers, mut body })) => {
            body.attach_caller_guard(connected);
            send(conn, Answer::Streamed { headers, body })
        }
        Some(Ok(answer)) => send(conn, answer),
        Some(Err(_)) => {
            let reason = "the task of the request ended without an answer";
            send_error(conn, ErrorKind::Internal, reason)
        }
        None => conn.with_status(499).halt(),
    }
}

/// Sends an answer on a connection.
pub(crate) fn send(conn: Conn, answer: Answer) -> Conn {
    match answer {
        Answer::Whole { status, headers, body } => {
            let conn = conn.with_status(status);
            with_headers(conn, headers).with_body(whole_body(body)).halt()
        }
        Answer::Streamed { headers, body } => {
            let conn = with_headers(conn.with_status(200), headers);
            conn.with_body(Body::new_streaming(body, None)).halt()
        }
    }
}

/// Returns the body of an answer; a large one stays where it is.
fn whole_body(bytes: Bytes) -> Body {
    if bytes.len() <= COPIED_ANSWER_BYTES {
        return bytes.to_vec().into();
    }
    let length = bytes.len() as u64;
    Body::new_streaming(Cursor::new(bytes), Some(length))
}

fn with_headers(mut conn: Conn, headers: Vec<Header>) -> Conn {
    for header in headers {
        let name = HeaderName::from(header.name);
        conn.response_headers_mut().insert(name, header.value);
    }
    conn
}

/// Sends an error for a request that has no decision record.
pub(crate) fn send_error(
    conn: Conn,
    kind: ErrorKind,
    reason: impl Into<String>,
) -> Conn {
    let error = Error::new(kind).context(reason);
    send(conn, Answer::error_response(&error, None))
}

/// Sends a JSON answer.
pub(crate) fn send_json(
    conn: Conn,
    status: u16,
    value: &serde_json::Value,
) -> Conn {
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(value.to_string())
        .halt()
}

/// Answers a readiness probe: whether the VM accepts requests.
pub(crate) fn send_readiness(vm: &Vm, conn: Conn) -> Conn {
    if vm.is_ready() {
        return conn.ok("ready\n");
    }
    send_error(conn, ErrorKind::NotReady, "this VM is starting or stopping")
}

/// Returns the bearer key of the `Authorization` header, if there is one.
pub(crate) fn bearer_key(headers: &Headers) -> Option<String> {
    let value = headers.get_str(KnownHeaderName::Authorization)?;
    let key = value.strip_prefix("Bearer ")?.trim();
    (!key.is_empty()).then(|| key.to_owned())
}

fn call_headers(headers: &Headers) -> CallHeaders {
    let text = |name: &'static str| {
        headers.get_str(name).map(|value| value.trim().to_owned())
    };
    CallHeaders {
        bearer: bearer_key(headers),
        idempotency_key: text("idempotency-key"),
        session: text("lupinseam-session"),
        task: text("lupinseam-task"),
        priority: text("lupinseam-priority"),
        deadline_ms: text("lupinseam-deadline-ms"),
    }
}

/// Returns the headers that are forwarded to an upstream.
fn forwarded_headers(headers: &Headers) -> Vec<Header> {
    let pairs = headers.iter().filter_map(|(name, values)| {
        let name = name.to_string().to_ascii_lowercase();
        let is_forwarded = is_forwarded_header(&name)
            && !PRIVATE_HEADERS.contains(&name.as_str());
        let value = values.as_str()?;
        is_forwarded.then(|| Header::new(name, value))
    });
    pairs.collect()
}

/// Returns the total size of names and values.
fn header_bytes(headers: &Headers) -> usize {
    headers
        .iter()
        .map(|(name, values)| {
            let values: usize =
                values.iter().map(|value| value.as_ref().len()).sum();
            name.as_ref().len() + values
        })
        .sum()
}

/// Splits `/services/{name}/{rest}` into the name and the upstream's path.
fn split_service_path(conn: &Conn) -> (String, String) {
    let rest = conn.path().strip_prefix(SERVICES_PREFIX).unwrap_or("");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = conn.querystring();
    let path = match query.is_empty() {
        true => format!("/{path}"),
        false => format!("/{path}?{query}"),
    };
    (name.to_owned(), path)
}

fn hyper_method(method: Method) -> hyper::Method {
    let name = method.as_str().as_bytes();
    hyper::Method::from_bytes(name).unwrap_or(hyper::Method::GET)
}
