//! Connects to upstreams, through another VM where this one cannot reach them.
//!
//! Everything above a connection is the same on both paths. A relayed
//! connection serves one request, so that a VM which reaches upstreams again
//! soon uses its own paths.

use std::{net::SocketAddr, pin::pin, sync::Weak, time::Duration};

use async_trait::async_trait;
use futures_lite::future;
use serde_json::json;
use smol::net::TcpStream;

use crate::{
    clock::BootInstant,
    dialer::{DialError, Dialed, Dialer, DirectDialer},
    event::Event,
    frame::FrameCodec,
    gateway::fields,
    http_client::HttpClient,
    message::ShortHash,
    metrics::Metrics,
    peer,
    placing::paths::{FirstPath, PathChange, PathTarget, Paths, RelayVm},
    task,
};

/// Time for which a direct connection may be pending before another VM is
/// asked as well.
const DIRECT_HEAD_START: Duration = Duration::from_millis(50);

/// Timeout of a connection through one other VM, which connects to the
/// upstream within [`RELAY_CONNECT_TIMEOUT`].
const RELAY_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of a connection through other VMs, however many are asked.
const ALL_RELAYS_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for the connection that a VM opens on behalf of another one.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// A VM that knows upstreams and other VMs.
pub(crate) trait UpstreamAccess: Send + Sync + 'static {
    /// The current time.
    fn now(&self) -> BootInstant;

    /// The paths to upstreams.
    fn paths(&self) -> &Paths;

    /// Returns the upstream that listens at an address, if one is known.
    fn upstream_at(&self, address: SocketAddr) -> Option<PathTarget>;

    /// Returns an incarnation and its address, if it is known.
    fn find_upstream(
        &self,
        upstream: ShortHash,
    ) -> Option<(PathTarget, SocketAddr)>;

    /// Returns the live VMs that may connect to upstreams for this one.
    fn relay_candidates(&self) -> Vec<RelayVm>;

    /// The client that sends requests to upstreams.
    fn http(&self) -> &HttpClient;

    /// Seals and opens messages between VMs.
    fn codec(&self) -> &FrameCodec;

    /// The metrics.
    fn metrics(&self) -> &Metrics;

    /// Records how long a direct connection to an upstream took to open.
    fn record_connect_time(&self, time: Duration);
}

/// The dialer of a VM.
pub(crate) struct UpstreamDialer<V> {
    /// The VM, which owns the client that owns this.
    pub(crate) vm: Weak<V>,
    /// Connects directly.
    pub(crate) direct: DirectDialer,
}

#[async_trait]
impl<V: UpstreamAccess> Dialer for UpstreamDialer<V> {
    async fn dial(&self, address: SocketAddr) -> Result<Dialed, DialError> {
        let vm = self.vm.upgrade();
        let target = vm.as_ref().and_then(|vm| vm.upstream_at(address));
        let (Some(vm), Some(target)) = (vm, target) else {
            return self.direct.dial(address).await;
        };
        let first = vm.paths().first_path(&target, vm.now());
        let path = Path { vm: &*vm, direct: self.direct, address, target };
        let dialed = match first {
            FirstPath::Direct => path.dial_either().await,
            FirstPath::Relayed => match path.dial_relayed().await {
                Some(dialed) => Ok(dialed),
                None => path.dial_direct().await,
            },
        };
        apply_changes(&*vm);
        dialed
    }
}

/// An upstream to connect to.
struct Path<'a, V> {
    vm: &'a V,
    direct: DirectDialer,
    address: SocketAddr,
    target: PathTarget,
}

impl<V: UpstreamAccess> Path<'_, V> {
    /// Connects directly, and through another VM if that fails or takes long.
    async fn dial_either(&self) -> Result<Dialed, DialError> {
        let mut directly = pin!(self.dial_direct());
        let early = async { Some(directly.as_mut().await) };
        let head_start = async {
            task::sleep(DIRECT_HEAD_START).await;
            None
        };
        let relayed = async {
            let dialed = self.dial_relayed().await?;
            let now = self.vm.now();
            self.vm.paths().record_indirect(&self.target, now);
            Some(dialed)
        };
        match future::or(early, head_start).await {
            Some(Ok(dialed)) => Ok(dialed),
            Some(Err(error)) => relayed.await.ok_or(error),
            None => first_of(directly, relayed).await,
        }
    }

    async fn dial_direct(&self) -> Result<Dialed, DialError> {
        let began_at = self.vm.now();
        let stream = self.direct.connect_upstream(self.address).await?;
        let took = self.vm.now().saturating_duration_since(began_at);
        self.vm.record_connect_time(took);
        self.vm.paths().record_direct(&self.target, self.vm.now());
        Ok(Dialed { stream: Box::new(stream), relay: None })
    }

    /// Connects through the first of the other VMs that reaches the upstream.
    async fn dial_relayed(&self) -> Option<Dialed> {
        let asking = self.ask_relays();
        task::within(ALL_RELAYS_TIMEOUT, asking).await.flatten()
    }

    async fn ask_relays(&self) -> Option<Dialed> {
        let paths = self.vm.paths();
        let candidates = self.vm.relay_candidates();
        for relay in paths.choose_relays(candidates, self.vm.now()) {
            let opening = peer::open_tunnel(
                self.vm.codec(),
                relay.address,
                self.target.upstream,
            );
            let opened = task::within(RELAY_TIMEOUT, opening).await;
            let opened = opened.and_then(Result::ok);
            let outcome = if opened.is_some() { "opened" } else { "failed" };
            let counter = &self.vm.metrics().relayed_connections;
            counter.with_label_values(&[outcome]).inc();
            let now = self.vm.now();
            paths.record_relay(relay.address, opened.is_some(), now);
            if let Some(stream) = opened {
                let relay = Some(relay.address);
                return Some(Dialed { stream: Box::new(stream), relay });
            }
        }
        None
    }
}

/// Returns the connection that is open first; if neither is, the error of the
/// direct one.
async fn first_of(
    directly: impl Future<Output = Result<Dialed, DialError>>,
    relayed: impl Future<Output = Option<Dialed>>,
) -> Result<Dialed, DialError> {
    // An open connection stands as the error, which ends the wait for both.
    let directly = async {
        match directly.await {
            Ok(dialed) => Err(dialed),
            Err(error) => Ok(error),
        }
    };
    let relayed = async { relayed.await.map_or(Ok(()), Err) };
    match future::try_zip(directly, relayed).await {
        Err(dialed) => Ok(dialed),
        Ok((error, ())) => Err(error),
    }
}

/// Connects to an upstream on behalf of another VM, from here alone: a request
/// passes through one other VM at most.
///
/// A VM connects during its graceful shutdown as well: it may be the last one
/// that reaches upstreams.
pub(crate) async fn connect_for_peer(
    vm: &impl UpstreamAccess,
    upstream: ShortHash,
) -> Result<TcpStream, String> {
    let Some((target, address)) = vm.find_upstream(upstream) else {
        return Err("the upstream is unknown here".to_owned());
    };
    if vm.paths().is_partitioned(&target.service, vm.now()) {
        return Err("this VM reaches no such upstream itself".to_owned());
    }
    let direct = DirectDialer { timeout: RELAY_CONNECT_TIMEOUT };
    let connected = direct.connect_upstream(address).await;
    let stream = connected.map_err(|error| error.to_string())?;
    vm.paths().record_direct(&target, vm.now());
    Ok(stream)
}

/// Handles that a VM begins or ceases to reach upstreams through others alone.
fn apply_changes(vm: &impl UpstreamAccess) {
    for PathChange { service, is_partitioned } in vm.paths().changes(vm.now())
    {
        let event = match is_partitioned {
            true => Event::UpstreamsUnreachable,
            false => Event::UpstreamsReachable,
        };
        if is_partitioned {
            // They may hang without an error, each until a request times out.
            vm.http().close_idle();
        }
        event.record(fields(json!({ "service": service })));
    }
}
