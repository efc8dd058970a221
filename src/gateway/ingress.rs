//! Callers of a VM before a platform: HTTP/1.1 in, a typed request out.
//!
//! `trillium`, which the other listeners use, cannot cut an answer so that it
//! is visibly broken, nor bound heads and rests by settings that change, so
//! this listener is built on `hyper`.

use std::{
    convert::Infallible,
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue, TRANSFER_ENCODING},
    server::conn::http1,
    service::service_fn,
};
use smol::{
    channel::Receiver,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    error::{Error, ErrorKind},
    gateway::{
        Gateway,
        forward::{Job, Reply, ReplyBody, refuse},
        inbound::{Inbound, ModelWish},
        relay_events::{self, BodyAborted},
        trace::Trace,
    },
    placing::cascade::first_model,
    platform::headers,
    store_sync::route::{Organisation, RouteTable},
    task,
};

/// Added to the longest rest of a connection before it is closed, so that the
/// caller's own bound, which is shorter, comes first.
const REST_GRACE: Duration = Duration::from_millis(500);

/// The least read buffer that the HTTP library takes, in bytes.
const BUFFER_LEAST_BYTES: usize = 8 << 10;

/// Longest time for a body to arrive once its head is here.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Time that a caller waits who does not say how long.
const USUAL_TIME: Duration = Duration::from_secs(30);

/// Wait that a caller is told while this VM cannot tell what is allowed; by
/// then the balancer sends it to another VM.
const RETRY_AFTER_STALE: Duration = Duration::from_millis(500);

/// Time after its start for which a VM that is not ready lets callers wait
/// although the store has failed it: that may be over at the next try, and
/// a short request still has most of its time.
const FIRST_KNOWLEDGE_LEAST: Duration = Duration::from_millis(300);

/// Longest time after its start for which a VM that is not ready lets callers
/// wait while the store has not failed it. Where hundreds of VMs start at
/// once, everything that they have to know takes 0.4 to 0.7 s to come; a
/// caller that is refused meanwhile finds the next VM no further, and after a
/// second it gives up by itself.
const FIRST_KNOWLEDGE_MOST: Duration = Duration::from_millis(800);

/// Time between two looks at whether a VM that starts is ready.
const FIRST_KNOWLEDGE_LOOK: Duration = Duration::from_millis(5);

type AnswerBody = UnsyncBoxBody<Bytes, BodyAborted>;

/// Accepts callers until told to stop.
///
/// Connections are closed after their answer once `closing` is closed.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    closing: Receiver<()>,
) {
    wait_for_knowledge(&gateway).await;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = gateway.clone();
                let closing = closing.clone();
                task::spawn(converse(gateway, stream, closing)).detach();
            }
            // Out of file descriptors, say; others must be closed first.
            Err(_) => task::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Lets the first callers wait a moment for what a VM that starts learns.
async fn wait_for_knowledge(gateway: &Gateway) {
    let began_at = gateway.clock.now();
    while !gateway.is_ready() {
        let waited = gateway.clock.now().saturating_duration_since(began_at);
        let limit = match gateway.has_store_failed() {
            true => FIRST_KNOWLEDGE_LEAST,
            false => FIRST_KNOWLEDGE_MOST,
        };
        if waited >= limit {
            // From now on each request is told whether it can be served.
            return;
        }
        task::sleep(FIRST_KNOWLEDGE_LOOK).await;
    }
}

/// Serves one connection to its end.
async fn converse(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    closing: Receiver<()>,
) {
    // Without it, small events wait for each other; it cannot fail on an
    // open connection.
    let _ = stream.set_nodelay(true);
    let limits = gateway.knowledge.table().unwrap_or_default().limits();
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(answer(gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_time + REST_GRACE)
        .max_buf_size(limits.head_bytes.max(BUFFER_LEAST_BYTES))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = future::or(
        async {
            // What a caller does wrong is answered by the library, and one
            // that is gone needs no answer.
            let _ = connection.as_mut().await;
            true
        },
        async {
            let _ = closing.recv().await;
            false
        },
    )
    .await;
    if !ended {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    // By the standard, a connection is not used again after a request that
    // states both a length and chunks; the library hides whether one did.
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let _in_flight = gateway.in_flight.enter();
    let (reply, must_close) = match read(&gateway, request).await {
        Ok((job, trace)) => (job.run(trace).await, false),
        Err(refusal) => *refusal,
    };
    let closes = is_chunked || must_close || gateway.is_stopping();
    write(&gateway, reply, closes)
}

/// A refusal, and whether the connection is closed after it.
type Refusal = Box<(Reply, bool)>;

/// Reads a request and admits it.
async fn read(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<(Job, Trace), Refusal> {
    let started_at = gateway.clock.now();
    let (head, body) = request.into_parts();
    let trace = |id: &str| {
        let clock = gateway.clock.clone();
        Trace::new(id, clock, gateway.metrics.clone())
    };
    let inbound = match headers::read_request(&head) {
        Ok(inbound) => inbound,
        Err(error) => {
            let reply = refuse("", trace(""), &error);
            return Err(Box::new((reply, true)));
        }
    };
    let mut trace = trace(&inbound.id);
    trace.of(&inbound);
    let admitted = match admit(gateway, &inbound, &mut trace) {
        Ok(admitted) => admitted,
        Err(error) => {
            let has_body = !body.is_end_stream();
            let reply = refuse(&inbound.id, trace, &error);
            return Err(Box::new((reply, has_body)));
        }
    };
    let limit = admitted.table.limits().body_bytes;
    let body = match read_body(body, limit).await {
        Ok(body) => body,
        Err(error) => {
            let reply = refuse(&inbound.id, trace, &error);
            return Err(Box::new((reply, true)));
        }
    };
    let route = admitted.route;
    let time = inbound.time_left.unwrap_or(USUAL_TIME).min(route.time_limit);
    let model = match inbound.model {
        Some(ModelWish::Any) => first_model(&route),
        _ => None,
    };
    let job = Job {
        gateway: gateway.clone(),
        service: route.target(rand::random()).clone(),
        route,
        organisation: admitted.organisation,
        inbound,
        body,
        deadline: started_at + time,
        started_at,
        model,
        tried: Vec::new(),
        sent: 0,
        may_have_run: false,
        digest: OnceLock::new(),
    };
    Ok((job, trace))
}

struct Admitted {
    table: Arc<RouteTable>,
    route: Arc<crate::store_sync::route::Route>,
    organisation: Option<Organisation>,
}

/// Decides whether a request may run at all.
fn admit(
    gateway: &Gateway,
    inbound: &Inbound,
    trace: &mut Trace,
) -> Result<Admitted, Error> {
    let now = gateway.clock.now();
    let stale = |reason: &str| {
        Error::new(ErrorKind::NotReady)
            .context(reason.to_owned())
            .with_retry_after(RETRY_AFTER_STALE)
    };
    let Some(table) = gateway.knowledge.table() else {
        return Err(stale("no configuration is known yet"));
    };
    let age = gateway.knowledge.proof_age(now);
    trace.judged_by(table.version(), age);
    if !gateway.may_accept_keys(now) {
        return Err(stale("the configuration known may be out of date"));
    }
    let route = table.route(&inbound.host, inbound.path_only());
    let Some(route) = route.cloned() else {
        return Err(Error::new(ErrorKind::NotFound)
            .context("no route has this host and path"));
    };
    trace.on_route(route.clone());
    let organisation = match table.has_keys() && !route.is_public {
        false => None,
        true => Some(read_key(&table, inbound)?),
    };
    if let Some(organisation) = &organisation {
        trace.asked_by(organisation.id.clone());
    }
    Ok(Admitted { table, route, organisation })
}

fn read_key(
    table: &RouteTable,
    inbound: &Inbound,
) -> Result<Organisation, Error> {
    let refused = |reason: &str| {
        Error::new(ErrorKind::Unauthorized).context(reason.to_owned())
    };
    let Some(key) = &inbound.key else {
        return Err(refused("the request has no key"));
    };
    let organisation = table.organisation(key);
    organisation.cloned().ok_or_else(|| refused("nobody holds this key"))
}

async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
) -> Result<Bytes, Error> {
    let too_large = || {
        Error::new(ErrorKind::TooLarge)
            .context(format!("the body has more than {limit_bytes} bytes"))
    };
    let stated = body.size_hint().exact().unwrap_or(0);
    if stated > limit_bytes as u64 {
        return Err(too_large());
    }
    let broken = |reason: String| {
        Error::new(ErrorKind::InvalidInput)
            .context(format!("the body is not whole: {reason}"))
    };
    let work = async {
        let mut whole = BytesMut::with_capacity(stated as usize);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if whole.len() + data.len() > limit_bytes {
                return Err(too_large());
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    let read = task::within(BODY_TIME, work).await;
    read.unwrap_or_else(|| Err(broken("it took too long".to_owned())))
}

fn write(
    gateway: &Arc<Gateway>,
    reply: Reply,
    closes: bool,
) -> Response<AnswerBody> {
    let body = match reply.body {
        ReplyBody::Whole(bytes) => Full::new(bytes)
            .map_err(|never: Infallible| match never {})
            .boxed_unsync(),
        ReplyBody::Events(relay) => {
            let held = gateway.in_flight.enter();
            let events = relay_events::into_body(relay, held);
            BodyExt::boxed_unsync(StreamBody::new(events))
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    if closes {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
