//! The life of the process: bound, running, stopped.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdTcpListener},
    sync::Arc,
    time::Duration,
};

use smol::net::{TcpListener, UdpSocket};
use trillium::HttpConfig;
use trillium_server_common::ServerHandle;

use crate::{
    api::{
        caller_api::CallerApi,
        gossip::{Gossiper, log_leaving},
        load,
        operators::Operators,
        platform_list::ListReader,
        rollout_guard,
        steward::Steward,
        vm::{Parts, Vm},
    },
    chains::{configuration_sync, ledger::Ledger},
    clock::{SharedClock, SystemClock},
    error::{Error, ErrorKind},
    event::Event,
    message::UpstreamNotice,
    peer,
    settings::Settings,
    task::{self, Task, within},
};

/// Largest head of a request that is read at all.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Time between two looks at limits and queue.
const LIMITS_PERIOD: Duration = Duration::from_millis(500);

/// Part of the grace kept for bills and claims after the last request.
const DRAIN_SHARE: f64 = 0.25;

/// Time in which balancers notice that a VM is no longer ready.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// Where a VM listens, after binding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

/// A server whose listeners are bound and which does nothing yet.
pub struct Bound {
    settings: Settings,
    clock: SharedClock,
    callers: StdTcpListener,
    operators: StdTcpListener,
    peer_tcp: TcpListener,
    peer_udp: UdpSocket,
    addresses: Addresses,
}

/// A server that runs.
pub struct Running {
    vm: Arc<Vm>,
    addresses: Addresses,
    callers: ServerHandle,
    operators: ServerHandle,
    tasks: Vec<Task<()>>,
}

/// How a planned stop went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// How long it took.
    pub took: Duration,
    /// Requests that were still in flight when the grace was over.
    pub cut: usize,
    /// Bills that neither the store nor another VM has.
    pub lost_bills: usize,
}

/// A server in one state of its life.
pub struct Server<S>(S);

impl Server<Bound> {
    /// Binds the listeners.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] when an address cannot be bound.
    pub fn bind(settings: Settings) -> Result<Server<Bound>, Error> {
        let listen = &settings.listen;
        let callers = bind_tcp(listen.callers)?;
        let operators = bind_tcp(listen.operators)?;
        let (peer_tcp, peer_udp) = bind_peers(listen.peers)?;
        let local = |listener: &StdTcpListener| {
            listener.local_addr().map_err(|e| cannot_bind(e, "a listener"))
        };
        let addresses = Addresses {
            callers: local(&callers)?,
            operators: local(&operators)?,
            peers: peer_udp
                .local_addr()
                .map_err(|e| cannot_bind(e, "the peer port"))?,
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

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.0.addresses
    }

    /// Starts all tasks and listeners.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] when a listener cannot be used.
    pub fn start(self) -> Result<Server<Running>, Error> {
        let bound = self.0;
        let vm = Vm::new(Parts {
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
        let callers = CallerApi { vm: vm.clone() };
        let callers = serve_http(bound.callers, callers, limit)?;
        let operators = Operators { vm: vm.clone() };
        let operators = serve_http(bound.operators, operators, limit)?;
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
    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.0.addresses
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.0.vm.is_ready()
    }

    /// Waits until it takes requests, but not beyond `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        configuration_sync::wait_ready(&self.0.vm, limit).await
    }

    /// Stops as planned: no new request, all in flight to their end, claims
    /// and bills handed on, and then the end of all tasks.
    pub async fn stop(self) -> StopReport {
        let Running { vm, callers, operators, tasks, .. } = self.0;
        let begun = vm.clock.now();
        let grace = vm.settings.stop_grace;
        vm.begin_stop();
        Event::Stopping.log(format_args!("{} in flight", vm.in_flight()));
        Gossiper::gossip_to_hall(&vm).await;
        task::sleep(NOTICE_TIME.min(grace)).await;
        callers.stopper().stop();
        let drain = grace.mul_f64(DRAIN_SHARE);
        let cut = wait_for_requests(&vm, grace - drain).await;
        vm.steward.release(&vm).await;
        vm.claims.hand_over_all().await;
        let lost_bills = Ledger::drain(&vm, drain).await;
        operators.stopper().stop();
        drop(tasks);
        let took = vm.clock.now().saturating_duration_since(begun);
        let report = StopReport { took, cut, lost_bills };
        if cut > 0 {
            Event::StopCut.log(format_args!("{cut} requests were cut"));
        }
        Event::Stopped.log(format_args!("{report:?}"));
        report
    }
}

/// Waits for requests in flight and for outcomes not yet recorded.
///
/// Returns the requests left when `limit` has passed.
async fn wait_for_requests(vm: &Arc<Vm>, limit: Duration) -> usize {
    const LOOK: Duration = Duration::from_millis(20);
    let wait = async {
        while vm.in_flight() > 0 {
            task::sleep(LOOK).await;
        }
        while vm.pending_outcomes.count() > 0 {
            task::sleep(LOOK).await;
        }
    };
    // Outcomes that cannot be recorded are unknown to a repeat, no more.
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

/// Reads the platform's list, for as long as polled.
async fn list_loop(vm: Arc<Vm>) {
    let url = vm.settings.platform.list_url.clone();
    let mut reader = ListReader::new(&url, vm.http.clone());
    let mut is_lost = false;
    loop {
        let read = reader.read().await;
        let now = vm.clock.now();
        if read.is_err() != is_lost {
            is_lost = read.is_err();
            match &read {
                Err(error) => Event::ListLost.log(error),
                Ok(_) => Event::ListBack.log("read again"),
            }
        }
        match read {
            Ok(Some(list)) => {
                for upstream in vm.view.take_list(&list, now) {
                    log_leaving(&upstream, "by the platform's list");
                    Gossiper::notify(
                        &vm,
                        UpstreamNotice::Leaving(upstream.short_hash),
                    )
                    .await;
                }
            }
            Ok(None) => vm.view.list_unchanged(now),
            Err(_) => {}
        }
        let jitter = 0.9 + 0.2 * rand::random::<f64>();
        let pause = vm.settings.platform.list_poll.mul_f64(jitter);
        task::sleep(pause).await;
    }
}

/// Shares limits out and lets waiting requests through, while polled.
async fn limits_loop(vm: Arc<Vm>) {
    loop {
        task::sleep(LIMITS_PERIOD).await;
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

fn serve_http(
    listener: StdTcpListener,
    handler: impl trillium::Handler,
    body_limit_bytes: u64,
) -> Result<ServerHandle, Error> {
    listener
        .set_nonblocking(true)
        .map_err(|e| cannot_bind(e, "a listener"))?;
    let listener = TcpListener::try_from(listener)
        .map_err(|e| cannot_bind(e, "a listener"))?;
    let http = HttpConfig::default()
        .with_head_max_len(HEAD_LIMIT_BYTES)
        .with_received_body_max_len(body_limit_bytes);
    let handle = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(http)
        .with_prebound_server(listener)
        .spawn(handler);
    Ok(handle)
}

fn bind_tcp(address: SocketAddr) -> Result<StdTcpListener, Error> {
    StdTcpListener::bind(address)
        .map_err(|error| cannot_bind(error, &address.to_string()))
}

/// Binds one port for both TCP and UDP.
///
/// When the kernel is to choose, its choice for one may be taken for the
/// other; then it chooses again.
fn bind_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Error> {
    const TRIES: u32 = 16;
    let mut last = None;
    for _ in 0..TRIES {
        let tcp = bind_tcp(address)?;
        let bound =
            tcp.local_addr().map_err(|e| cannot_bind(e, "the peer port"))?;
        match std::net::UdpSocket::bind(bound) {
            Ok(udp) => return both_async(tcp, udp),
            Err(error) => last = Some(error),
        }
        if address.port() != 0 {
            break;
        }
    }
    let error = last.unwrap_or_else(|| io::ErrorKind::AddrInUse.into());
    Err(cannot_bind(error, "the peer port"))
}

fn both_async(
    tcp: StdTcpListener,
    udp: std::net::UdpSocket,
) -> Result<(TcpListener, UdpSocket), Error> {
    let failed = |error: io::Error| cannot_bind(error, "the peer port");
    let tcp = TcpListener::try_from(tcp).map_err(failed)?;
    let udp = UdpSocket::try_from(udp).map_err(failed)?;
    Ok((tcp, udp))
}

fn cannot_bind(error: io::Error, what: &str) -> Error {
    Error::new(ErrorKind::InvalidInput)
        .context(error.to_string())
        .context(format!("binding {what}"))
}
