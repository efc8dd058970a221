//! Runs a gateway VM: binds its listeners, starts its tasks, and stops it.

use std::{
    collections::VecDeque,
    convert::Infallible,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use async_signal::{Signal, Signals};
use bytes::Bytes;
use futures_lite::{StreamExt, future};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper::{server::conn::http1, service::service_fn};
use serde_json::json;
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol_hyper::rt::FuturesIo;

use crate::{
    caller_memory::receive_buffer,
    clock::{BootInstant, SystemClock},
    crashes::persistence,
    event::Event,
    gateway::{
        Gateway, evidence_store, fields, ingress, rollout_status,
        settings::GatewaySettings, slot_coordinator, store_watch,
        vm_registration,
    },
    logging,
    platform::headers::READY_PATH,
    store_sync::gossip,
    task::{self, Task},
};

/// Time for which connections are still accepted after a graceful shutdown
/// begins: the platform checks readiness every second and removes a VM after
/// two failed checks.
const DRAIN_NOTICE_TIME: Duration = Duration::from_millis(2300);

/// Part of the grace period of a graceful shutdown that is reserved for the
/// exit.
const FINAL_RESERVE: Duration = Duration::from_millis(700);

/// Time in which requests that have no answer yet are answered before the
/// connections of callers are cut off; part of the reserve.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Longest wait until the requests that are cut off are logged.
const CUT_TIME: Duration = Duration::from_millis(100);

/// Connections that a listener for readiness or metrics keeps open; the oldest
/// gives way to a further one.
const MAX_STATUS_CONNECTIONS: usize = 64;

/// Interval between two checks of the requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a VM until SIGTERM or SIGINT.
///
/// # Errors
///
/// If an address cannot be bound or signals cannot be caught.
pub(crate) async fn run(
    settings: GatewaySettings,
    path: PathBuf,
) -> io::Result<()> {
    logging::start_nonblocking(settings.log_level)
        .map_err(io::Error::other)?;
    let vm = settings.vm.to_string();
    Event::Starting.record(fields(json!({
        "vm": vm,
        "release": env!("CARGO_PKG_VERSION"),
        "settings": path.display().to_string(),
    })));
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let callers = bind(settings.callers).await?;
    receive_buffer::bound_listener(&callers);
    let readiness = bind(settings.readiness).await?;
    let metrics = bind(settings.metrics).await?;
    let streams = bind(settings.peer_address).await?;
    let datagrams = UdpSocket::bind(settings.peer_address).await?;
    let gateway = Gateway::new(settings, Arc::new(SystemClock));
    let (close, closing) = smol::channel::bounded::<()>(1);
    let tasks = [
        task::spawn(store_watch::run(gateway.clone())),
        task::spawn(store_watch::revalidate_loop(gateway.clone())),
        task::spawn(vm_registration::run(gateway.clone())),
        task::spawn(rollout_status::run(gateway.clone())),
        task::spawn(evidence_store::run(gateway.clone())),
        task::spawn(persistence::run(gateway.clone())),
        task::spawn(gossip::send_heartbeats(
            gateway.clone(),
            datagrams.clone(),
        )),
        task::spawn(gossip::receive_heartbeats(gateway.clone(), datagrams)),
        task::spawn(gossip::serve(gateway.clone(), streams)),
        task::spawn(slot_coordinator::run(gateway.clone())),
        task::spawn(serve_status(gateway.clone(), readiness)),
        task::spawn(serve_status(gateway.clone(), metrics)),
    ];
    let callers =
        task::spawn(ingress::serve(gateway.clone(), callers, closing));
    while let Some(signal) = signals.next().await {
        match signal? {
            Signal::Hup => reload(&gateway, &path),
            _ => break,
        }
    }
    stop(&gateway, callers, close).await;
    drop(tasks);
    Ok(())
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        io::Error::new(error.kind(), format!("{address}: {error}"))
    })
}

/// Reads the settings file again and logs whether it differs.
///
/// No setting is applied: addresses and names hold for the life of the
/// process, and nothing else in the file changes while a fleet runs. Changes
/// take effect at the next start.
fn reload(gateway: &Gateway, path: &Path) {
    let outcome = match GatewaySettings::from_file(path) {
        Ok(settings) if are_equal(&settings, &gateway.settings) => "unchanged",
        Ok(_) => "changed; takes effect at the next start",
        Err(_) => "invalid; the settings in force stay",
    };
    Event::Reloaded.record(fields(json!({ "outcome": outcome })));
}

fn are_equal(a: &GatewaySettings, b: &GatewaySettings) -> bool {
    format!("{a:?}") == format!("{b:?}")
}

/// Waits until all connections of callers, and then those for other VMs, are
/// closed, within the grace period.
///
/// A connection outlives its last request, since the response has to be
/// written to a caller that may read slowly.
async fn stop(
    gateway: &Gateway,
    callers: Task<()>,
    close: smol::channel::Sender<()>,
) {
    let began_at = gateway.clock.now();
    let ends_at =
        began_at + gateway.settings.stop_grace.saturating_sub(FINAL_RESERVE);
    gateway.begin_stop(ends_at);
    let in_flight = gateway.in_flight.count();
    Event::Stopping.record(fields(json!({ "in_flight": in_flight })));
    task::sleep(DRAIN_NOTICE_TIME).await;
    // From now on, connections are refused: a new request might not end
    // before the process has to. A caller whose connection is refused tries
    // another VM.
    callers.cancel().await;
    close.close();
    wait_for_connections(gateway, ends_at).await;
    gateway.answer_waiting_requests();
    let now = gateway.clock.now();
    wait_for_connections(gateway, now + ANSWER_TIME).await;
    gateway.cut_connections();
    let now = gateway.clock.now();
    wait_for_connections(gateway, now + CUT_TIME).await;
    let cut = gateway.cut_requests().max(gateway.in_flight.count());
    let event = match cut {
        0 => Event::Stopped,
        _ => Event::StopCut,
    };
    let passed = gateway.clock.now().saturating_duration_since(began_at);
    event.record(fields(json!({
        "cut": cut,
        "took_ms": passed.as_millis() as u64,
    })));
    // Leaves time for the log thread to write the line.
    task::sleep(CHECK_INTERVAL).await;
}

/// Waits until all connections of callers, and then those for other VMs, are
/// closed, until a time.
async fn wait_for_connections(gateway: &Gateway, until: BootInstant) {
    while (gateway.connections.count() > 0 || gateway.relays.close() > 0)
        && gateway.clock.now() < until
    {
        task::sleep(CHECK_INTERVAL).await;
    }
}

/// Serves the readiness check of the platform and the metrics.
async fn serve_status(gateway: Arc<Gateway>, listener: TcpListener) {
    receive_buffer::bound_listener(&listener);
    let mut latest = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if latest.len() == MAX_STATUS_CONNECTIONS {
                    // Closes the connection, if it is still open.
                    latest.pop_front();
                }
                let gateway = gateway.clone();
                let serving = serve_status_connection(gateway, stream);
                latest.push_back(task::spawn(serving));
            }
            Err(_) => task::sleep(CHECK_INTERVAL).await,
        }
    }
}

async fn serve_status_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = status_response(&gateway, request.uri().path());
        future::ready(Ok::<_, Infallible>(response))
    });
    let connection = http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service);
    // A client whose connection breaks asks again.
    let _ = connection.await;
}

fn status_response(gateway: &Gateway, path: &str) -> Response<Full<Bytes>> {
    let (status, text) = match path {
        READY_PATH if gateway.is_ready() => (StatusCode::OK, "ready\n".into()),
        READY_PATH => {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
        "/metrics" => {
            let in_flight = gateway.in_flight.count() as i64;
            gateway.metrics.in_flight.set(in_flight);
            let connections = gateway.connections.count() as i64;
            gateway.metrics.connections.set(connections);
            gateway.memory.update_metrics(&gateway.metrics);
            let limit = gateway.intake.limit();
            let limit = limit.map_or(-1, |(rate_per_s, _)| rate_per_s as i64);
            gateway.metrics.connection_limit.set(limit);
            let now = gateway.clock.now();
            let age = gateway.knowledge.copy_age(now);
            let age_ms = age.map_or(-1, |age| age.as_millis() as i64);
            gateway.metrics.copy_age_ms.set(age_ms);
            let uneven = gateway.pool.uneven_count(now);
            gateway.metrics.upstreams_uneven.set(uneven as i64);
            let changed = gateway.pool.take_choices_changed_by_pauses();
            gateway.metrics.choices_changed_by_pauses.inc_by(changed);
            gateway.update_doubt_gauges();
            (StatusCode::OK, gateway.metrics.text())
        }
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
