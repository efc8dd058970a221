//! The HTTP/1.1 listener for callers: reads and admits requests.
//!
//! `trillium`, which the other listeners use, cannot abort a response so that
//! the caller sees that it is incomplete, nor limit request heads and idle
//! time by settings that change at run time, so this listener is built on
//! `hyper`.

use std::{
    any::Any,
    convert::Infallible,
    io,
    panic::AssertUnwindSafe,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_lite::{FutureExt, future};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    header::{CONNECTION, HeaderValue, TRANSFER_ENCODING},
    server::conn::http1,
    service::service_fn,
};
use serde_json::json;
use smol::{
    channel::Receiver,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::SmolTimer;

use crate::{
    caller_memory::{
        account::Purpose,
        body_buffer::{BodyBuffer, BodyError, Progress},
        claim::{GivesWay, MemoryClaim},
        receive_buffer,
    },
    error::{Error, ErrorKind},
    event::Event,
    gateway::{
        Gateway,
        answer_loss::AnswerLoss,
        caller_connection::{CallerConnection, CallerStream, WholeBody},
        fields,
        forward::{Answer, Job, Reply, error_reply, reject},
        limit_log::LimitLog,
        relay_events::{self, StreamAborted},
        request_head::{RequestHead, RequestedModel},
        trace::Trace,
    },
    intake::{
        connection_capacity::CONNECTION_BYTES, control::Admission,
        overload::Resource,
    },
    platform::headers,
    store_sync::route::{Organisation, RouteTable},
    task,
    vectored_io::VectoredIo,
};

/// Added to the idle timeout before a connection is closed, so that a caller
/// with the same timeout closes it first.
const IDLE_GRACE: Duration = Duration::from_millis(500);

/// Bytes of a body from which it arrives through a larger receive buffer.
const LARGE_BODY_BYTES: usize = 128 << 10;

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Timeout for a request body, from the end of the request head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// `Retry-After` sent while this VM has no up-to-date configuration. By the
/// time it ends, the load balancer sends the caller to another VM.
const RETRY_AFTER_STALE: Duration = Duration::from_millis(500);

/// Time after its start for which a VM that is not ready lets callers wait
/// even if the store has failed: the next attempt to read it may succeed, and
/// a short request still has most of its time left.
const MIN_STARTUP_WAIT: Duration = Duration::from_millis(300);

/// Longest time after its start for which a VM that is not ready lets callers
/// wait while the store has not failed. If hundreds of VMs start at once, they
/// need 0.4 to 0.7 s to load their state. A caller that is rejected meanwhile
/// finds the next VM in the same state, and after a second it gives up.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(800);

/// Interval between two checks whether this VM may take on connections again.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two checks whether a VM that starts is ready.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

type AnswerBody = UnsyncBoxBody<Bytes, StreamAborted>;

/// Accepts connections of callers for as long as it is polled.
///
/// While this VM is to take on no more, it does not listen. The kernel then
/// refuses connections before callers send their requests, which would fill
/// the network link of this VM, and callers try another VM at once.
///
/// Once `closing` is closed, each connection is closed after the response
/// under way.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    closing: Receiver<()>,
) {
    wait_until_ready(&gateway).await;
    let address = listener.local_addr().unwrap_or(gateway.settings.callers);
    let mut listener = Some(listener);
    let mut log = LimitLog::default();
    loop {
        let now = gateway.clock.now();
        let open = gateway.connections.count();
        let is_nearly_full =
            gateway.memory.is_scarce() || gateway.intake.is_nearly_full(open);
        if is_nearly_full {
            gateway.memory.make_room_for_connections();
        }
        let admission = match gateway.memory.has_room_for_connection() {
            true => gateway.intake.admission(open, now),
            false => Admission::Full,
        };
        log.record(&gateway, admission, now);
        if admission != Admission::Accept {
            if let Some(listening) = listener.take() {
                accept_pending(&gateway, &listening, &closing).await;
            }
            task::sleep(LIMIT_CHECK_INTERVAL).await;
            continue;
        }
        let bound = match listener.take() {
            Some(listening) => Ok(listening),
            None => receive_buffer::listen(address).await,
        };
        let accepted = match bound {
            Ok(listening) => {
                accept(listener.insert(listening), is_nearly_full).await
            }
            Err(error) => Err(error),
        };
        match accepted {
            Ok(Some(stream)) => begin_connection(&gateway, stream, &closing),
            Ok(None) => {}
            // For example, the process is out of file descriptors; waits until
            // some are closed.
            Err(_) => task::sleep(LIMIT_CHECK_INTERVAL).await,
        }
    }
}

/// Accepts the next connection. On a VM that is nearly full, returns `None` if
/// none comes soon: by then, more connections may stand still.
async fn accept(
    listener: &TcpListener,
    is_nearly_full: bool,
) -> io::Result<Option<TcpStream>> {
    let accepting = async {
        let (stream, _) = listener.accept().await?;
        Ok(Some(stream))
    };
    match is_nearly_full {
        false => accepting.await,
        true => {
            let accepted = task::within(LIMIT_CHECK_INTERVAL, accepting).await;
            accepted.unwrap_or(Ok(None))
        }
    }
}

/// Accepts the connections that have arrived already, as far as there is room.
/// Closing the listener resets them, after their callers have sent their
/// requests.
async fn accept_pending(
    gateway: &Arc<Gateway>,
    listener: &TcpListener,
    closing: &Receiver<()>,
) {
    while gateway.intake.has_room(gateway.connections.count())
        && gateway.memory.has_room_for_connection()
    {
        match future::poll_once(listener.accept()).await {
            Some(Ok((stream, _))) => {
                begin_connection(gateway, stream, closing);
            }
            _ => return,
        }
    }
}

/// Serves a connection in a task of its own.
fn begin_connection(
    gateway: &Arc<Gateway>,
    stream: TcpStream,
    closing: &Receiver<()>,
) {
    let accepted_at = gateway.clock.now();
    gateway.intake.record_request(accepted_at);
    let open = gateway.connections.enter();
    let claim = gateway.memory.claim(Purpose::Connection, CONNECTION_BYTES);
    let (gateway, closing) = (gateway.clone(), closing.clone());
    let serving = async move {
        let waited =
            gateway.clock.now().saturating_duration_since(accepted_at);
        gateway.record_own_delay(Resource::Processor, waited);
        serve_connection(gateway, stream, claim, closing).await;
        drop(open);
    };
    task::spawn(serving).detach();
}

/// Delays the first connections until the VM is ready, within the limits
/// above.
async fn wait_until_ready(gateway: &Gateway) {
    let began_at = gateway.clock.now();
    while !gateway.is_ready() {
        let waited = gateway.clock.now().saturating_duration_since(began_at);
        let limit = match gateway.has_store_failed() {
            true => MIN_STARTUP_WAIT,
            false => MAX_STARTUP_WAIT,
        };
        if waited >= limit {
            // From now on, each request is answered by the current state.
            return;
        }
        task::sleep(STARTUP_CHECK_INTERVAL).await;
    }
}

/// Serves one connection until it is closed.
async fn serve_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    claim: MemoryClaim,
    closing: Receiver<()>,
) {
    // Nagle's algorithm would delay small events. This cannot fail on an open
    // connection.
    let _ = stream.set_nodelay(true);
    let limits = gateway.knowledge.table().unwrap_or_default().limits();
    let is_first = AtomicBool::new(true);
    let caller = Arc::new(CallerConnection::new(stream.clone(), claim));
    let service = service_fn(|request| {
        let (gateway, caller) = (gateway.clone(), caller.clone());
        caller.begin_request();
        if !is_first.swap(false, Ordering::Relaxed) {
            gateway.intake.record_request(gateway.clock.now());
        }
        let handling = answer(gateway, caller, request);
        async move { Ok::<_, Infallible>(handling.await) }
    });
    let stream = CallerStream::new(stream, caller.clone());
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_time + IDLE_GRACE)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(VectoredIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let serving = async {
        let served = connection.as_mut();
        let ended = future::or(async { Some(served.await) }, async {
            let _ = closing.recv().await;
            None
        })
        .await;
        let ended = match ended {
            Some(ended) => ended,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        // The library answers malformed requests itself, and a caller that
        // has closed the connection needs no response.
        if let Err(error) = ended {
            let reason = error.to_string();
            caller.end().record(AnswerLoss::ClosedHere, &reason);
        }
    };
    let cut = async {
        gateway.cut().await;
        caller.end().record(AnswerLoss::Stopped, "");
    };
    let revoked = async {
        caller.revoked().await;
        caller.end().record(AnswerLoss::CallerStalled, "");
    };
    future::or(serving, future::or(cut, revoked)).await;
}

/// Handles a request, and answers it also if that panics: the panic would end
/// the task of the connection, and so close it without an answer.
async fn answer(
    gateway: Arc<Gateway>,
    caller: Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let id = headers::request_id(request.headers()).to_owned();
    let handling = AssertUnwindSafe(handle(gateway, caller, request));
    handling.catch_unwind().await.unwrap_or_else(|panic| {
        let reason = panic_message(&*panic);
        let line = json!({ "id": id, "reason": reason });
        Event::TaskFailed.record(fields(line));
        let error = Error::new(ErrorKind::Internal)
            .context("a bug in the router ended the request");
        let mut reply = error_reply(&id, &error);
        let body = without_trace(std::mem::take(&mut reply.body));
        closing_after(with_body(reply, body))
    })
}

/// Returns the text with which a panic was raised.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let literal = panic.downcast_ref::<&str>().copied();
    literal
        .or_else(|| panic.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no text")
}

async fn handle(
    gateway: Arc<Gateway>,
    caller: Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    // By RFC 9112, a connection must be closed after a request with both
    // `Content-Length` and `Transfer-Encoding`. The library hides the former,
    // so every connection is closed after a chunked request.
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let is_head_only = request.method() == Method::HEAD;
    let _in_flight = gateway.in_flight.enter();
    let read = read_request(&gateway, &caller, request).await;
    let (answer, must_close) = match read {
        Ok((job, trace)) => (job.run(trace).await, false),
        Err(rejection) => *rejection,
    };
    let open = gateway.connections.count();
    let must_close_after = is_chunked
        || must_close
        || gateway.is_stopping()
        || gateway.intake.must_close_after_response(open);
    let response = into_response(&gateway, caller, answer, is_head_only);
    match must_close_after {
        true => closing_after(response),
        false => response,
    }
}

/// An error response, and whether the connection is closed after it.
type Rejection = Box<(Answer, bool)>;

/// Reads a request and admits it, or returns the response that rejects it.
async fn read_request(
    gateway: &Arc<Gateway>,
    caller: &CallerConnection,
    request: Request<Incoming>,
) -> Result<(Job, Trace), Rejection> {
    let started_at = gateway.clock.now();
    let (head, body) = request.into_parts();
    let has_body = !body.is_end_stream();
    if has_body {
        // The connection is closed if the request is rejected before its body
        // is read.
        caller.discard_rest();
    }
    let trace = |id: &str| {
        let clock = gateway.clock.clone();
        Trace::new(id, clock, gateway.metrics.clone())
            .received(gateway.clone(), caller.end().clone())
    };
    let request = match headers::read_request(&head) {
        Ok(request) => request,
        Err(error) => {
            let reply = reject("", trace(""), &error);
            return Err(Box::new((reply, true)));
        }
    };
    let mut trace = trace(&request.id);
    trace.record_request(&request);
    let admitted = match admit(gateway, &request, &mut trace) {
        Ok(admitted) => admitted,
        Err(error) => {
            let reply = reject(&request.id, trace, &error);
            return Err(Box::new((reply, has_body)));
        }
    };
    let limit = admitted.table.limits().body_bytes;
    let body = match read_body(gateway, caller, body, limit).await {
        Ok(body) => body,
        Err(error) => {
            let reply = reject(&request.id, trace, &error);
            return Err(Box::new((reply, true)));
        }
    };
    caller.keep_rest();
    trace.record_read();
    let route = admitted.route;
    let time =
        request.time_left.unwrap_or(DEFAULT_TIMEOUT).min(route.time_limit);
    let service = route.target(rand::random()).clone();
    let leaves_choice = request.model == Some(RequestedModel::Any);
    let mut job = Job {
        gateway: gateway.clone(),
        engine: admitted.table.engine(&service).cloned(),
        service,
        route,
        organisation: admitted.organisation,
        request,
        body,
        deadline: started_at + time,
        started_at,
        model: None,
        dropped: None,
        tried: Vec::new(),
        sent: 0,
        may_have_run: false,
        is_sending: false,
        subjects: OnceLock::new(),
    };
    if leaves_choice && let Some(first) = job.first_model(started_at) {
        trace.record_first_choice(&first);
        job.model = Some(first.model);
    }
    Ok((job, trace))
}

/// The configuration, route and organisation under which a request was
/// admitted.
struct Admitted {
    table: Arc<RouteTable>,
    route: Arc<crate::store_sync::route::Route>,
    organisation: Option<Organisation>,
}

/// Checks the configuration, the route and the key of a request.
fn admit(
    gateway: &Gateway,
    request: &RequestHead,
    trace: &mut Trace,
) -> Result<Admitted, Error> {
    let now = gateway.clock.now();
    let stale = |reason: &str| {
        Error::new(ErrorKind::NotReady)
            .context(reason.to_owned())
            .with_retry_after(RETRY_AFTER_STALE)
    };
    let Some(table) = gateway.knowledge.table() else {
        return Err(stale("no configuration has been read yet"));
    };
    let age = gateway.knowledge.proof_age(now);
    trace.record_configuration(table.version(), age);
    if !gateway.may_accept_keys(now) {
        return Err(stale("the configuration may be out of date"));
    }
    let route = table.route(&request.host, request.path_only());
    let Some(route) = route.cloned() else {
        return Err(Error::new(ErrorKind::NotFound)
            .context("no route has this host and path"));
    };
    trace.record_route(route.clone());
    let organisation = match table.has_keys() && !route.is_public {
        false => None,
        true => Some(check_key(&table, request)?),
    };
    if let Some(organisation) = &organisation {
        trace.record_organisation(organisation.id.clone());
    }
    Ok(Admitted { table, route, organisation })
}

fn check_key(
    table: &RouteTable,
    request: &RequestHead,
) -> Result<Organisation, Error> {
    let unauthorized = |reason: &str| {
        Error::new(ErrorKind::Unauthorized).context(reason.to_owned())
    };
    let Some(key) = &request.key else {
        return Err(unauthorized("the request has no key"));
    };
    let organisation = table.organisation(key);
    organisation.cloned().ok_or_else(|| unauthorized("the key is unknown"))
}

/// Reads the body of a request, within the memory that callers may take.
async fn read_body(
    gateway: &Gateway,
    caller: &CallerConnection,
    mut body: Incoming,
    limit_bytes: usize,
) -> Result<Bytes, Error> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|stated| stated > limit_bytes as u64) {
        return Err(BodyError::TooLarge { limit_bytes }.into());
    }
    let mut buffer = BodyBuffer::new(
        gateway.memory.clone(),
        Purpose::Body,
        limit_bytes,
        stated.map(|stated| stated as usize),
    );
    caller.await_body();
    let work = async {
        while let Some(frame) = next_frame(caller, &mut body, &buffer).await? {
            let Ok(data) = frame.into_data() else { continue };
            let progress = buffer.push(&data).await?;
            if progress == Progress::Claimed {
                caller.await_body();
            }
            if buffer.len_bytes() > LARGE_BODY_BYTES {
                caller.expect_large_body();
            }
        }
        Ok(())
    };
    let read = task::within(BODY_TIMEOUT, work).await;
    caller.end_body();
    read.unwrap_or_else(|| {
        Err(Error::new(ErrorKind::RequestTimeout)
            .context(format!("no whole body within {BODY_TIMEOUT:?}")))
    })?;
    Ok(buffer.finish()?)
}

/// Waits for the next frame of a body, or until the body gives way to others.
///
/// Waiting alone is no progress: a body that arrives byte by byte would keep
/// its room from others that move.
async fn next_frame(
    caller: &CallerConnection,
    body: &mut Incoming,
    buffer: &BodyBuffer,
) -> Result<Option<Frame<Bytes>>, Error> {
    let next = async {
        let frame = body.frame().await.transpose();
        frame.map_err(|error| {
            Error::new(ErrorKind::InvalidInput)
                .context(format!("the body is incomplete: {error}"))
        })
    };
    let revoked = async {
        match buffer.claim() {
            Some(claim) => claim.revoked().await,
            None => future::pending().await,
        }
    };
    let connection_revoked = async {
        caller.body_revoked().await;
        GivesWay::Stalled
    };
    let gives_way = future::or(revoked, connection_revoked);
    future::or(next, async { Err(gives_way.await.into()) }).await
}

/// Builds the response, whose request is logged once it is written.
fn into_response(
    gateway: &Gateway,
    caller: Arc<CallerConnection>,
    answer: Answer,
    is_head_only: bool,
) -> Response<AnswerBody> {
    let (head, body) = match answer {
        Answer::Whole(mut reply, trace) => {
            let bytes = std::mem::take(&mut reply.body);
            // The library never reads a body that it does not send.
            let is_sent = !is_head_only
                && !bytes.is_empty()
                && reply.status != StatusCode::NO_CONTENT
                && reply.status != StatusCode::NOT_MODIFIED;
            let body = match is_sent {
                true => WholeBody::new(bytes, trace, caller).boxed_unsync(),
                false => {
                    caller.record_buffered(trace);
                    without_trace(bytes)
                }
            };
            (reply, body)
        }
        Answer::Events(head, relay) if is_head_only => {
            if let Some(trace) = relay.end_at_head() {
                caller.record_buffered(trace);
            }
            (head, without_trace(Bytes::new()))
        }
        Answer::Events(head, relay) => {
            let guard = gateway.in_flight.enter();
            let events = relay_events::into_body(relay, guard, caller);
            (head, BodyExt::boxed_unsync(StreamBody::new(events)))
        }
    };
    with_body(head, body)
}

fn with_body(head: Reply, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// Returns the response, after which the connection is closed.
fn closing_after(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn without_trace(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

#[cfg(test)]
mod tests;
