//! Fakes for the tests of slot coordination: a VM without a store, VMs that
//! coordinate as scripted, and upstreams that count what they receive.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hyper::Method;
use smol::net::{TcpListener, TcpStream};

use crate::{
    clock::{BootInstant, SharedClock, SystemClock},
    gateway::{
        Gateway,
        forward::{Answer, Job, Reply},
        request_head::RequestHead,
        settings::GatewaySettings,
        slot_coordinator,
        tests::MINIMAL_SETTINGS,
        trace::Trace,
    },
    id::{ServiceId, UpstreamIncarnation},
    message::{PeerReply, PeerRequest, ShortHash},
    metrics::Metrics,
    peer::{self, PeerService, RelayedUpstream},
    placing::member::{UpstreamEntry, UpstreamState},
    platform::{fake_response, headers},
    store_sync::{
        gossip,
        knowledge::PeerRecord,
        route::{Repeat, Route, Target},
    },
    task::{self, Task},
    unit::{Mbps, MilliCores},
};

/// Mean service time that the VMs know.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(30);

/// The service of all upstreams.
pub(crate) fn service() -> ServiceId {
    "portal".parse().unwrap()
}

/// Creates a VM in `hall-a` that knows no other, with `vms_per_slot` set to 1.
///
/// It waits for replies so long that it gets each one also on a slow machine.
pub(crate) fn entry_vm(name: &str, clock: SharedClock) -> Arc<Gateway> {
    let settings = "[scheduling]\nvms_per_slot = 1\nreply_ms = 20000\n";
    entry_vm_with(name, settings, clock)
}

/// Creates a VM that takes another one for lost after the usual time.
pub(crate) fn impatient_vm(name: &str, clock: SharedClock) -> Arc<Gateway> {
    entry_vm_with(name, "[scheduling]\nvms_per_slot = 1\n", clock)
}

/// Creates a VM with other settings appended.
pub(crate) fn entry_vm_with(
    name: &str,
    more: &str,
    clock: SharedClock,
) -> Arc<Gateway> {
    let settings = MINIMAL_SETTINGS
        .replace("id = vm-0", &format!("id = {name}\ncores = 0.1"));
    // Enough for the retry of a first request.
    let settings = settings.replace("share = 1", "share = 10");
    let settings = format!("{settings}{more}");
    let settings = GatewaySettings::from_ini(&settings).expect("settings");
    let vm = Gateway::new(settings, clock);
    vm.service_times.record(&service(), SERVICE_TIME);
    vm
}

/// Starts the tasks with which a VM coordinates; returns the address for
/// other VMs.
pub(crate) async fn serve(vm: &Arc<Gateway>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(gossip::serve(vm.clone(), listener)).detach();
    task::spawn(slot_coordinator::run(vm.clone())).detach();
    address
}

/// Adds a VM of another data hall to those that a VM knows. It ranks by its
/// share of a core.
pub(crate) fn add_peer(
    vm: &Gateway,
    name: &str,
    hall: &str,
    cores: u32,
    address: SocketAddr,
) {
    let record = PeerRecord {
        peers: address,
        data_hall: hall.parse().unwrap(),
        link_mbps: Mbps(0),
        cores: MilliCores(cores),
    };
    vm.peers.set_record(name, &record);
}

/// Returns an address that refuses connections.
pub(crate) async fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// What a fake coordinator does with a request for a slot.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// Replies.
    Reply(PeerReply),
    /// Replies after this time.
    ReplyAfter(Duration, PeerReply),
    /// Never replies.
    Silent,
    /// Closes all connections and accepts no more, as a VM that is killed.
    Die,
}

/// A VM that decides on slots as scripted.
pub(crate) struct FakeCoordinator {
    scripts: Mutex<VecDeque<Script>>,
    received: Mutex<Vec<PeerRequest>>,
    /// Accepts connections and forwards them; dropping the tasks closes them.
    links: Arc<Mutex<Vec<Task<()>>>>,
}

impl FakeCoordinator {
    /// Starts a coordinator with one script for each request for a slot; the
    /// last one is repeated.
    pub(crate) async fn start(
        vm: &Gateway,
        scripts: Vec<Script>,
    ) -> (Arc<FakeCoordinator>, SocketAddr) {
        let fake = Arc::new(FakeCoordinator {
            scripts: Mutex::new(scripts.into()),
            received: Mutex::default(),
            links: Arc::default(),
        });
        let inner = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let inner_address = inner.local_addr().unwrap();
        let codec = vm.peers.codec.clone();
        let metrics = Arc::new(Metrics::new());
        let served = peer::serve(inner, codec, metrics, fake.clone());
        task::spawn(served).detach();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let links = fake.links.clone();
        let accepting = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let link = task::spawn(forward(stream, inner_address));
                links.lock().unwrap().push(link);
            }
        });
        fake.links.lock().unwrap().push(accepting);
        (fake, address)
    }

    /// Returns all messages so far.
    pub(crate) fn received(&self) -> Vec<PeerRequest> {
        self.received.lock().unwrap().clone()
    }

    /// Returns the number of requests for a slot so far.
    pub(crate) fn asked(&self) -> usize {
        let received = self.received();
        let is_request =
            |m: &&PeerRequest| matches!(m, PeerRequest::AcquireSlot { .. });
        received.iter().filter(is_request).count()
    }

    /// Waits until a message that fits has arrived, and returns it.
    pub(crate) async fn wait_for<T>(
        &self,
        fits: impl Fn(&PeerRequest) -> Option<T>,
    ) -> T {
        loop {
            if let Some(found) = self.received().iter().find_map(&fits) {
                return found;
            }
            task::sleep(Duration::from_millis(2)).await;
        }
    }
}

impl PeerService for FakeCoordinator {
    async fn answer(self: Arc<Self>, request: PeerRequest) -> PeerReply {
        let is_request = matches!(request, PeerRequest::AcquireSlot { .. });
        self.received.lock().unwrap().push(request);
        if !is_request {
            return PeerReply::Done;
        }
        let script = {
            let mut scripts = self.scripts.lock().unwrap();
            match scripts.len() {
                1 => scripts[0].clone(),
                _ => scripts.pop_front().expect("a script"),
            }
        };
        match script {
            Script::Reply(reply) => reply,
            Script::ReplyAfter(time, reply) => {
                task::sleep(time).await;
                reply
            }
            Script::Silent => future::pending().await,
            Script::Die => {
                self.links.lock().unwrap().clear();
                future::pending().await
            }
        }
    }

    async fn connect_upstream(
        self: Arc<Self>,
        _: ShortHash,
    ) -> Result<RelayedUpstream, String> {
        Err("not a gateway".into())
    }
}

/// Forwards a connection in both directions until either side closes it.
async fn forward(stream: TcpStream, to: SocketAddr) {
    let other = TcpStream::connect(to).await.unwrap();
    let there = smol::io::copy(stream.clone(), other.clone());
    let back = smol::io::copy(other.clone(), stream.clone());
    let _ = future::or(there, back).await;
}

/// What a fake upstream does with a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Behaviour {
    /// Answers with status 200 and this load.
    Answer(&'static str),
    /// Declines without executing the request.
    Decline,
    /// Closes the connection.
    Break,
}

/// An upstream that counts the requests that it receives.
pub(crate) struct FakeUpstream {
    pub(crate) entry: UpstreamEntry,
    received: Arc<AtomicU32>,
}

impl FakeUpstream {
    /// Starts an upstream with one slot.
    pub(crate) async fn start(
        number: usize,
        behaviour: Behaviour,
    ) -> FakeUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(AtomicU32::new(0));
        let counter = received.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving =
                    serve_upstream(stream, behaviour, counter.clone());
                task::spawn(serving).detach();
            }
        })
        .detach();
        let entry = UpstreamEntry { address, ..entry(number) };
        FakeUpstream { entry, received }
    }

    /// Returns the number of requests so far.
    pub(crate) fn received(&self) -> u32 {
        self.received.load(Ordering::SeqCst)
    }

    /// Returns the hash of its incarnation.
    pub(crate) fn hash(&self) -> ShortHash {
        hash_of(&self.entry)
    }
}

/// Returns the record of an upstream with one slot.
pub(crate) fn entry(number: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("i-{number}").parse().unwrap(),
        started: None,
        service: service(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_hall: "hall-a".parse().unwrap(),
        software: "v1".parse().unwrap(),
        slots: 1,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
        sequence: 1,
    }
}

/// Returns the hash of the incarnation of an upstream.
pub(crate) fn hash_of(entry: &UpstreamEntry) -> ShortHash {
    let incarnation: UpstreamIncarnation = entry.incarnation();
    ShortHash::of(&incarnation.to_string())
}

async fn serve_upstream(
    mut stream: TcpStream,
    behaviour: Behaviour,
    received: Arc<AtomicU32>,
) {
    let mut text = Vec::new();
    loop {
        let mut buffer = [0; 1024];
        let Ok(length) = stream.read(&mut buffer).await else { return };
        if length == 0 {
            return;
        }
        text.extend_from_slice(&buffer[..length]);
        if !text.windows(4).any(|end| end == b"\r\n\r\n") {
            continue;
        }
        let head = String::from_utf8_lossy(&text).to_lowercase();
        let id = fake_response::request_id(&head).unwrap_or_default();
        text.clear();
        received.fetch_add(1, Ordering::SeqCst);
        let response = match behaviour {
            Behaviour::Answer(load) => fake_response::answered(id, load),
            Behaviour::Decline => fake_response::declined(id),
            Behaviour::Break => return,
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns a route to the service with two attempts.
pub(crate) fn route(repeat: Repeat) -> Route {
    Route {
        name: "read".to_owned(),
        host: "site.example".to_owned(),
        path_prefix: "/".to_owned(),
        repeat,
        is_stream: false,
        time_limit: Duration::from_secs(60),
        latency_target: Duration::from_secs(30),
        event_gap_target: None,
        priority: 2,
        attempts: 2,
        targets: vec![Target { service: service(), weight: 1 }],
        models: Vec::new(),
        is_public: true,
    }
}

/// Returns a request that arrives at a VM now, with this time until its
/// deadline.
pub(crate) fn job(vm: &Arc<Gateway>, route: Route, time: Duration) -> Job {
    let now: BootInstant = vm.clock.now();
    let id = "r-1".to_owned();
    let headers = headers::local_response_headers(&id);
    Job {
        gateway: vm.clone(),
        service: service(),
        route: Arc::new(route),
        organisation: None,
        request: RequestHead {
            id,
            method: Method::GET,
            host: "site.example".to_owned(),
            path: "/read/x".to_owned(),
            key: None,
            time_left: Some(time),
            model: None,
            prompt_tokens: None,
            max_output_tokens: None,
            output_tokens_hint: None,
            prompt: Vec::new(),
            last_event: None,
            session: None,
            headers,
        },
        body: Bytes::new(),
        deadline: now + time,
        engine: None,
        dropped: None,
        started_at: now,
        model: None,
        tried: Vec::new(),
        sent: 0,
        may_have_run: false,
        is_sending: false,
        subjects: OnceLock::new(),
    }
}

/// Returns the trace for a request.
pub(crate) fn trace(vm: &Gateway) -> Trace {
    Trace::new("r-1", vm.clock.clone(), vm.metrics.clone())
}

/// Forwards a request, and returns its response.
pub(crate) async fn run(job: Job) -> Reply {
    let trace = trace(&job.gateway);
    match job.run(trace).await {
        Answer::Whole(reply, trace) => {
            trace.complete();
            reply
        }
        Answer::Events(head, _) => head,
    }
}

/// Returns how many decisions on slots a VM has counted like this.
pub(crate) fn decisions(vm: &Gateway, decision: &str) -> u64 {
    vm.metrics.slot_decisions.with_label_values(&[decision]).get()
}

/// Returns the clock of the operating system.
pub(crate) fn system_clock() -> SharedClock {
    Arc::new(SystemClock)
}
