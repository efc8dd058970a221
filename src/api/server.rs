//! The lifecycle of the server: bind the listeners, run, stop gracefully.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdTcpListener},
    sync::Arc,
    time::Duration,
};

use serde_json::{Map, Value};
use smol::net::{TcpListener, UdpSocket};
use trillium::HttpConfig;
use trillium_server_common::{Config, Server as HttpServer, ServerHandle};

use crate::{
    api::{
        caller_api::CallerApi,
        caller_transport::CallerListener,
        gossip::{Gossiper, log_leaving},
        load,
        operators::OperatorApi,
        platform_list::{ListReader, ReportedEntries, VmList},
        rollout_guard,
        steward::Steward,
        vm::{Vm, VmParts},
    },
    caller_memory::receive_buffer,
    chains::{configuration_sync, ledger::Ledger},
    clock::{SharedClock, SystemClock},
    error::{Error, ErrorKind},
    event::Event,
    message::UpstreamNotice,
    peer,
    settings::Settings,
    task::{self, Task, within},
};

/// The largest request head that is accepted.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Interval at which the organisations' limits are updated and the queue is
/// checked.
const LIMITS_INTERVAL: Duration = Duration::from_millis(500);

/// The share of the grace period that is reserved for handing over claims and
/// bills after the last request.
const DRAIN_SHARE: f64 = 0.25;

/// How long a stopping VM keeps accepting connections, so that load balancers
/// notice that it is no longer ready.
const READINESS_DELAY: Duration = Duration::from_millis(300);

/// The addresses on which a VM listens, with the ports that were bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for operators.
    pub operators: SocketAddr,
    /// The listener for other VMs, both TCP and UDP.
    pub peers: SocketAddr,
}

/// The state of a server whose listeners are bound but not yet served.
pub struct Bound {
    settings: Settings,
    clock: SharedClock,
    callers: StdTcpListener,
    operators: StdTcpListener,
    peer_tcp: TcpListener,
    peer_udp: UdpSocket,
    addresses: Addresses,
}

/// The state of a running server.
pub struct Running {
    vm: Arc<Vm>,
    addresses: Addresses,
    callers: ServerHandle,
    operators: ServerHandle,
    tasks: Vec<Task<()>>,
}

/// The result of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// How long it took.
    pub took: Duration,
    /// Requests that were aborted, as they were still in flight at the end of
    /// the grace period.
    pub cut: usize,
    /// Bills that neither the store nor another VM has.
    pub lost_bills: usize,
}

/// A server in state `S`: [`Bound`] or [`Running`].
pub struct Server<S>(S);

impl Server<Bound> {
    /// Binds all listeners.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] when an address cannot be bound.
    pub fn bind(settings: Settings) -> Result<Server<Bound>, Error> {
        let listen = &settings.listen;
        let callers = bind_tcp(listen.callers)?;
        let operators = bind_tcp(listen.operators)?;
        let (peer_tcp, peer_udp) = bind_peers(listen.peers)?;
        let local_address = |listener: &StdTcpListener| {
            listener.local_addr().map_err(|e| bind_error(e, "a listener"))
        };
        let addresses = Addresses {
            callers: local_address(&callers)?,
            operators: local_address(&operators)?,
            peers: peer_udp
                .local_addr()
                .map_err(|e| bind_error(e, "the peer port"))?,
        };
        Ok(Server(Bound {
            settings,
            clock: Arc::new(SystemClock),
            callers,
            operators,
            peer_tcp,
            peer_udp,
            addresses,
        }))
    }

    /// Returns the addresses on which it listens.
    pub fn addresses(&self) -> Addresses {
        self.0.addresses
    }

    /// Starts the background tasks and serves the listeners.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] when a listener cannot be used.
    pub fn start(self) -> Result<Server<Running>, Error> {
        let bound = self.0;
        let vm = Vm::new(VmParts {
            settings: bound.settings,
            clock: bound.clock,
            gossiper: Gossiper::new(bound.peer_udp),
            peer_address: bound.addresses.peers,
        });
        Event::Starting.log(format_args!(
            "vm {}, data hall {}, callers {}, operators {}, peers {}",
            vm.view.vm(),
            vm.view.data_hall(),
            bound.addresses.callers,
            bound.addresses.operators,
            bound.addresses.peers
        ));
        let limit = vm.settings.requests.body_limit_bytes + 1;
        receive_buffer::bound_listener(&bound.callers);
        let callers = CallerListener {
            listener: into_listener(bound.callers)?,
            connections: vm.caller_connections.clone(),
        };
        let api = CallerApi { vm: vm.clone() };
        let callers = serve_http(
            callers,
            Config::<CallerListener, ()>::new(),
            api,
            limit,
        );
        let operators = into_listener(bound.operators)?;
        let api = OperatorApi { vm: vm.clone() };
        let operators =
            serve_http(operators, trillium_smol::config(), api, limit);
        let tasks = start_tasks(&vm, bound.peer_tcp);
        Ok(Server(Running {
            vm,
            addresses: bound.addresses,
            callers,
            operators,
            tasks,
        }))
    }
}

impl Server<Running> {
    /// Returns the addresses on which it listens.
    pub fn addresses(&self) -> Addresses {
        self.0.addresses
    }

    /// Returns whether it accepts requests.
    pub fn is_ready(&self) -> bool {
        self.0.vm.is_ready()
    }

    /// Waits for at most `limit` until it accepts requests; returns whether it
    /// does.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        configuration_sync::wait_ready(&self.0.vm, limit).await
    }

    /// Stops gracefully: accepts no new requests, waits for those in flight
    /// and until their answers are written, hands over claims and bills, and
    /// then ends all tasks.
    pub async fn stop(self) -> StopReport {
        let Running { vm, callers, operators, tasks, .. } = self.0;
        let began_at = vm.clock.now();
        let grace = vm.settings.stop_grace;
        vm.begin_stop();
        Event::Stopping.log(format_args!("{} in flight", vm.in_flight()));
        Gossiper::gossip_to_hall(&vm).await;
        task::sleep(READINESS_DELAY.min(grace)).await;
        let drain = grace.mul_f64(DRAIN_SHARE);
        let cut = wait_for_requests(&vm, &callers, grace - drain).await;
        vm.steward.release(&vm).await;
        vm.claims.hand_over_all().await;
        let lost_bills = Ledger::drain(&vm, drain).await;
        operators.stopper().stop();
        drop(tasks);
        let took = vm.clock.now().saturating_duration_since(began_at);
        let report = StopReport { took, cut, lost_bills };
        if cut > 0 {
            Event::StopCut.log(format_args!("{cut} requests aborted"));
        }
        Event::Stopped.log(format_args!("{report:?}"));
        report
    }
}

/// Accepts no more connections, and waits for at most `limit` until those of
/// callers are closed, no request is in flight and all outcomes of claims are
/// recorded.
///
/// A connection outlives its last request, since the answer has to be written
/// to a caller that may read slowly; a request may outlive its connection.
///
/// Returns the number of requests that are still in flight.
async fn wait_for_requests(
    vm: &Arc<Vm>,
    callers: &ServerHandle,
    limit: Duration,
) -> usize {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let wait = async {
        callers.stop().await;
        while vm.in_flight() > 0 {
            task::sleep(POLL_INTERVAL).await;
        }
        while vm.pending_outcomes.count() > 0 {
            task::sleep(POLL_INTERVAL).await;
        }
    };
    // An outcome that could not be recorded does no further harm: a repeated
    // request is answered that the outcome is unknown.
    let _ = within(limit, wait).await;
    vm.in_flight()
}

fn start_tasks(vm: &Arc<Vm>, peer_tcp: TcpListener) -> Vec<Task<()>> {
    let peers = peer::serve(
        peer_tcp,
        vm.codec.clone(),
        vm.metrics.clone(),
        vm.clone(),
    );
    vec![
        task::spawn(peers),
        task::spawn(vm.caller_connections.clone().make_room_loop()),
        task::spawn(list_loop(vm.clone())),
        task::spawn(limits_loop(vm.clone())),
        task::spawn(Gossiper::receive_loop(vm.clone())),
        task::spawn(Gossiper::round_loop(vm.clone())),
        task::spawn(load::poll_loop(vm.clone())),
        task::spawn(configuration_sync::follow_loop(vm.clone())),
        task::spawn(configuration_sync::fetch_loop(vm.clone())),
        task::spawn(configuration_sync::staleness_loop(vm.clone())),
        task::spawn(rollout_guard::watch_loop(vm.clone())),
        task::spawn(Ledger::send_loop(vm.clone())),
        task::spawn(Ledger::commit_loop(vm.clone())),
        task::spawn(Steward::run_loop(vm.clone())),
    ]
}

/// Reads the platform's list at regular intervals and applies it to the view;
/// never returns.
async fn list_loop(vm: Arc<Vm>) {
    let url = vm.settings.platform.list_url.clone();
    let mut reader = ListReader::new(&url, vm.http.clone());
    let mut reported = ReportedEntries::default();
    let mut is_failing = false;
    loop {
        let read = reader.read().await;
        let now = vm.clock.now();
        if read.is_err() != is_failing {
            is_failing = read.is_err();
            match &read {
                Err(error) => Event::ListLost.log(error),
                Ok(_) => Event::ListBack.log("the list was read"),
            }
        }
        match read {
            Ok(Some(list)) => {
                report_unreadable(&vm, &mut reported, &list);
                for upstream in vm.view.apply_list(&list, now) {
                    log_leaving(&upstream, "reported by the platform's list");
                    Gossiper::broadcast_notice(
                        &vm,
                        UpstreamNotice::Leaving(upstream.short_hash),
                    )
                    .await;
                }
            }
            Ok(None) => vm.view.mark_list_unchanged(now),
            Err(_) => {}
        }
        let jitter = 0.9 + 0.2 * rand::random::<f64>();
        let interval = vm.settings.platform.list_poll.mul_f64(jitter);
        task::sleep(interval).await;
    }
}

/// Counts the unreadable entries that the list before did not have, and logs
/// the first few of them.
fn report_unreadable(vm: &Vm, reported: &mut ReportedEntries, list: &VmList) {
    let new = reported.newly_unreadable(list);
    vm.metrics.list_entries_unreadable.inc_by(new.count as u64);
    let last = new.entries.len().saturating_sub(1);
    let left_out = new.count - new.entries.len();
    for (number, unreadable) in new.entries.iter().enumerate() {
        let left_out = if number == last { left_out } else { 0 };
        let fields = [
            ("entry", unreadable.entry.clone().into()),
            ("reason", unreadable.reason.clone().into()),
            ("left_out", left_out.into()),
        ];
        let fields =
            fields.map(|(name, value): (_, Value)| (name.to_owned(), value));
        Event::ListEntryUnreadable.record(Map::from_iter(fields));
    }
}

/// Updates this VM's share of the organisations' limits and admits queued
/// requests at regular intervals; never returns.
async fn limits_loop(vm: Arc<Vm>) {
    loop {
        task::sleep(LIMITS_INTERVAL).await;
        let configuration = vm.configuration.current();
        let templates: Vec<_> =
            configuration.templates().map(|p| p.value.clone()).collect();
        let now = vm.clock.now();
        {
            let mut tallies = vm.tallies.lock().expect("tallies lock");
            let unix_ms = vm.clock.unix_ms();
            vm.limits.update(&templates, &mut tallies, now, unix_ms);
        }
        vm.wake_queue();
    }
}

fn into_listener(listener: StdTcpListener) -> Result<TcpListener, Error> {
    listener.set_nonblocking(true).map_err(|e| bind_error(e, "a listener"))?;
    TcpListener::try_from(listener).map_err(|e| bind_error(e, "a listener"))
}

fn serve_http<S: HttpServer>(
    listener: impl Into<S>,
    config: Config<S, ()>,
    handler: impl trillium::Handler,
    body_limit_bytes: u64,
) -> ServerHandle {
    let http = HttpConfig::default()
        .with_head_max_len(HEAD_LIMIT_BYTES)
        .with_received_body_max_len(body_limit_bytes);
    config
        .without_signals()
        .with_nodelay()
        .with_http_config(http)
        .with_prebound_server(listener)
        .spawn(handler)
}

fn bind_tcp(address: SocketAddr) -> Result<StdTcpListener, Error> {
    StdTcpListener::bind(address)
        .map_err(|error| bind_error(error, &address.to_string()))
}

/// Binds the same port for TCP and UDP.
///
/// If the port is 0, the port that the kernel picks for TCP may be in use for
/// UDP; then another one is tried.
fn bind_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Error> {
    const MAX_TRIES: u32 = 16;
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        let tcp = bind_tcp(address)?;
        let bound =
            tcp.local_addr().map_err(|e| bind_error(e, "the peer port"))?;
        match std::net::UdpSocket::bind(bound) {
            Ok(udp) => return into_async(tcp, udp),
            Err(error) => last_error = Some(error),
        }
        if address.port() != 0 {
            break;
        }
    }
    let error = last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into());
    Err(bind_error(error, "the peer port"))
}

fn into_async(
    tcp: StdTcpListener,
    udp: std::net::UdpSocket,
) -> Result<(TcpListener, UdpSocket), Error> {
    let to_error = |error: io::Error| bind_error(error, "the peer port");
    let tcp = TcpListener::try_from(tcp).map_err(to_error)?;
    let udp = UdpSocket::try_from(udp).map_err(to_error)?;
    Ok((tcp, udp))
}

fn bind_error(error: io::Error, socket: &str) -> Error {
    Error::new(ErrorKind::InvalidInput)
        .context(error.to_string())
        .context(format!("cannot bind {socket}"))
}

#[cfg(test)]
mod tests;
