//! A small site in front of a stand-in platform: its store, scripted
//! upstreams, and VMs as real processes.

use std::{
    fs::File,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    ops::Range,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::{
    footprint::status_bytes, platform_store::PlatformStore,
    process::FLEET_VARIABLE, scripted::Upstream,
};

/// The service of the plain upstreams.
pub const PLAIN: &str = "portal";

/// The smallest model of the routes whose model the router chooses.
pub const SMALLEST_MODEL: &str = "small";

/// The service of the model replicas.
pub const MODELS: &str = "writers";

/// An API key that the default configuration accepts.
pub const KEY: &str = "key-1";

/// Timeout of reads and of [`wait_until`].
const TIMEOUT: Duration = Duration::from_secs(30);

/// Name of the settings file in a VM's directory.
const SETTINGS_FILE: &str = "vm.ini";

/// The key that authenticates messages between the VMs of a site.
const CLUSTER_KEY: &str =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// The HTTP response that a caller got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpReply {
    /// The status code; 0 if the connection closed before a response.
    pub status: u16,
    /// The status line and headers.
    pub head: String,
    /// The body, with chunked encoding removed.
    pub body: String,
    /// Whether the body was complete, by its length or its last chunk.
    pub whole: bool,
}

impl HttpReply {
    /// Returns the last value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> String {
        let name = format!("{}:", name.to_ascii_lowercase());
        let lines = self.head.lines();
        let line = lines
            .filter(|l| l.to_ascii_lowercase().starts_with(&name))
            .map(|l| l[name.len()..].trim().to_owned());
        line.collect::<Vec<_>>().pop().unwrap_or_default()
    }
}

/// A VM of the site. Its addresses stay the same when it restarts.
pub struct SiteVm {
    /// Its VM id.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Its listener for callers.
    pub callers: SocketAddr,
    /// Its listener for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// The store, at an address that only this VM uses.
    pub store: PlatformStore,
    program: (PathBuf, Vec<String>),
    child: Option<Child>,
    directory: TempDir,
}

/// A small site of VMs with one store.
pub struct Site {
    /// The program that runs a VM, and its leading arguments.
    program: (PathBuf, Vec<String>),
    /// The platform's store.
    pub store: PlatformStore,
    /// The VMs, in the order in which they were added.
    pub vms: Vec<SiteVm>,
    /// Whether VMs that are added from now on reject all API keys once their
    /// knowledge of revoked keys is out of date.
    pub fail_closed: bool,
    /// Heartbeat interval of VMs that are added from now on, in milliseconds.
    pub heartbeat_ms: u64,
    /// Link rate in the settings of VMs that are added from now on, in Mbit/s.
    pub link_mbps: u32,
    /// Share of a core in the settings of VMs that are added from now on.
    pub cores: f64,
    /// Memory in the settings of VMs that are added from now on, in MB; 0 if
    /// it is unknown to them.
    pub memory_mb: u32,
    /// Descriptors in the settings of VMs that are added from now on; 0 if
    /// their number is unknown to them.
    pub max_open_files: u32,
    /// Live VMs per slot above which VMs that are added from now on coordinate
    /// the slots of a service.
    pub vms_per_slot: u32,
    /// The retry budget of VMs that are added from now on, as a share of the
    /// requests.
    pub retry_share: f64,
    /// Number of retries that they may make in addition to the share, once
    /// they have run for a window.
    pub retry_extra: u32,
    /// Window over which both are counted, in seconds.
    pub retry_window_s: u32,
    first_port: u16,
    revoke_ms: u64,
}

impl Site {
    /// Creates a site without VMs, with the default configuration.
    /// `leading_args` come before the program's other arguments.
    pub fn new(
        program: PathBuf,
        leading_args: &[&str],
        revoke_ms: u64,
    ) -> Site {
        let store = PlatformStore::start();
        store.put("op/config", &configuration(1));
        Site {
            program: (
                program,
                leading_args.iter().map(|arg| (*arg).into()).collect(),
            ),
            store,
            vms: Vec::new(),
            fail_closed: true,
            heartbeat_ms: 100,
            link_mbps: 0,
            cores: 0.0,
            memory_mb: 0,
            max_open_files: 0,
            vms_per_slot: 3,
            // Slightly above 1, so that a VM may retry its first request.
            retry_share: 1.1,
            retry_extra: 50,
            retry_window_s: 10,
            first_port: reserve_ports(),
            revoke_ms,
        }
    }

    /// Creates a site with one VM that has read the records of these
    /// upstreams of a service.
    ///
    /// # Panics
    ///
    /// When the VM can't be started, or has not read them in time.
    pub fn with_one_vm(
        program: PathBuf,
        revoke_ms: u64,
        upstreams: &[&Upstream],
        service: &str,
    ) -> Site {
        let mut site = Site::new(program, &["vm"], revoke_ms);
        for upstream in upstreams {
            site.register(upstream, service, "v1");
        }
        site.start_vm();
        for upstream in upstreams {
            wait_until("the VM has read the upstream's record", || {
                let lines = site.vms[0].lines("E043");
                let id = upstream.id.as_str();
                lines.iter().any(|line| line["upstream"] == id)
            });
        }
        site
    }

    /// Registers an upstream in the store, in the state `ready`.
    pub fn register(&self, upstream: &Upstream, service: &str, version: &str) {
        self.register_as(upstream, service, version, "ready");
    }

    /// Registers an upstream in the store, in the given state.
    pub fn register_as(
        &self,
        upstream: &Upstream,
        service: &str,
        version: &str,
        state: &str,
    ) {
        let record =
            upstream_record(upstream.address, service, version, state);
        self.store.put(&format!("servers/{}", upstream.id), &record);
    }

    /// Registers an upstream in the store, in a data hall and with its
    /// remaining warm-up time.
    pub fn register_in_hall(
        &self,
        upstream: &Upstream,
        service: &str,
        hall: &str,
        warm_up_left: Duration,
    ) {
        let mut record =
            upstream_record(upstream.address, service, "v1", "ready");
        record["zone"] = json!(hall);
        record["warmup_left_ms"] = json!(warm_up_left.as_millis() as u64);
        self.store.put(&format!("servers/{}", upstream.id), &record);
    }

    /// Orders the evacuation of a data hall: its upstreams get no requests.
    pub fn evacuate(&self, hall: &str) {
        self.store.put(&format!("op/evacuate/{hall}"), &json!({}));
    }

    /// Ends the evacuation of a data hall.
    pub fn end_evacuation(&self, hall: &str) {
        self.store.remove(&format!("op/evacuate/{hall}"));
    }

    /// Adds a VM in `hall-a`, starts it and waits until it is ready.
    ///
    /// # Panics
    ///
    /// When it doesn't become ready in time.
    pub fn start_vm(&mut self) {
        let store = self.store.second_endpoint();
        let address = store.address;
        let at = self.add_vm("hall-a", store, address);
        let vm = &mut self.vms[at];
        vm.start();
        wait_until("the VM is ready", || vm.is_ready());
    }

    /// Adds a VM without starting it; returns its index in [`Site::vms`].
    ///
    /// It connects to the store at `store_address`, which may be a proxy in
    /// front of `store`.
    ///
    /// # Panics
    ///
    /// When its settings can't be written.
    pub fn add_vm(
        &mut self,
        hall: &str,
        store: PlatformStore,
        store_address: SocketAddr,
    ) -> usize {
        let at = self.vms.len();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10 + at as u8));
        let port = |number| SocketAddr::new(ip, self.first_port + number);
        let peers = port(0);
        let (callers, readiness, metrics) = (port(1), port(2), port(3));
        let name = format!("vm-{at}");
        let settings = format!(
            "[vm]\nid = {name}\ndata_hall = {hall}\nlink_mbps = {}\n\
             cores = {}\nmemory_mb = {}\nmax_open_files = {}\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\n\
             peers = {peers}\nmetrics = {metrics}\n\
             [cluster]\nkey = {CLUSTER_KEY}\n\
             [platform]\nstore = {store_address}\n\
             [peers]\nseeds = 127.0.0.10:1, 127.0.0.11:1\nbeat_ms = {}\n\
             [keys]\nrevoke_ms = {}\nfail_closed = {}\n\
             [retries]\nshare = {}\nextra = {}\nwindow_s = {}\n\
             [scheduling]\nvms_per_slot = {}\n[stop]\ngrace_s = 6\n",
            self.link_mbps,
            self.cores,
            self.memory_mb,
            self.max_open_files,
            self.heartbeat_ms,
            self.revoke_ms,
            self.fail_closed,
            self.retry_share,
            self.retry_extra,
            self.retry_window_s,
            self.vms_per_slot,
        );
        let directory = TempDir::new().expect("a directory");
        let path = directory.path().join(SETTINGS_FILE);
        std::fs::write(path, settings).expect("a settings file");
        self.vms.push(SiteVm {
            name,
            hall: hall.to_owned(),
            callers,
            readiness,
            store,
            program: self.program.clone(),
            child: None,
            directory,
        });
        at
    }
}

/// Returns an upstream's registration, as it writes it to the store.
pub fn upstream_record(
    address: SocketAddr,
    service: &str,
    version: &str,
    state: &str,
) -> Value {
    json!({
        "service": service,
        "address": address.to_string(),
        "zone": "hall-a",
        "version": version,
        "capacity": 8,
        "state": state,
        "warmup_left_ms": 0,
        "sequence": 1,
    })
}

impl SiteVm {
    /// Starts its process. The log of earlier processes is kept, and the new
    /// one appends to it.
    ///
    /// # Panics
    ///
    /// When it can't be started.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())
            .expect("a log file");
        let child = Command::new(&self.program.0)
            .args(&self.program.1)
            .arg("gateway")
            .arg("--settings")
            .arg(self.directory.path().join(SETTINGS_FILE))
            // With this variable the VM ends when the process that started it
            // ends, also if that one is killed.
            .env(FLEET_VARIABLE, "1")
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the VM's program");
        self.child = Some(child);
    }

    /// Returns whether its readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        self.is_ready_within(TIMEOUT)
    }

    /// Returns whether its readiness check succeeds within a time.
    pub fn is_ready_within(&self, limit: Duration) -> bool {
        let text = "GET /lupinseam/readyz HTTP/1.1\r\nHost: x\r\n\
                    Connection: close\r\n\r\n";
        exchange_within(self.readiness, text.as_bytes(), limit).status == 200
    }

    /// Returns whether its process was started, and neither killed nor waited
    /// for since.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a request to the listener for callers and reads the response.
    pub fn ask(&self, text: &str) -> HttpReply {
        exchange(self.callers, text.as_bytes())
    }

    /// Sends a signal to its process, if that is started.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // Fails if the process has ended already.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills its process, if that is started.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until its process has ended; returns whether it exited with
    /// success.
    pub fn has_ended_well(&mut self) -> bool {
        let child = self.child.take();
        child.is_some_and(|mut child| {
            child.wait().is_ok_and(|status| status.success())
        })
    }

    /// Returns whether its process has ended without being waited for.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns the operating system's id of its process.
    ///
    /// # Panics
    ///
    /// If it is not running.
    pub fn process_id(&self) -> u32 {
        self.child.as_ref().expect("a running VM").id()
    }

    /// Returns the most memory that its process has had resident, in bytes.
    ///
    /// # Panics
    ///
    /// If it is not running.
    pub fn peak_memory_bytes(&self) -> u64 {
        status_bytes(self.process_id(), "VmHWM").expect("a running VM")
    }

    /// Returns the file that its processes log to.
    pub fn log_path(&self) -> PathBuf {
        self.directory.path().join("log")
    }

    /// Returns its log lines of the event with this number or name.
    pub fn lines(&self, event: &str) -> Vec<Value> {
        let log = std::fs::read_to_string(self.log_path());
        let log = log.unwrap_or_default();
        let lines = log.lines().filter_map(|l| serde_json::from_str(l).ok());
        lines
            .filter(|line: &Value| {
                line["event"] == event || line["name"] == event
            })
            .collect()
    }
}

impl Drop for SiteVm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the default configuration, with this version.
pub fn configuration(version: u64) -> Value {
    configuration_with(version, &[KEY, "key-2"], Vec::new())
}

/// Returns the default configuration with these API keys and additional
/// routes.
pub fn configuration_with(
    version: u64,
    keys: &[&str],
    mut more: Vec<Value>,
) -> Value {
    let mut configuration = default_configuration(version);
    configuration["tenants"][0]["api_keys"] = json!(keys);
    if let Some(routes) = configuration["routes"].as_array_mut() {
        routes.append(&mut more);
    }
    configuration
}

fn default_configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", PLAIN, 2, 1000),
            route("once", "non_idempotent", PLAIN, 1, 1000),
            {
                "name": "write", "host": "site.example",
                "path_prefix": "/write/", "type": "streaming",
                "timeout_ms": 8000, "target_latency_ms": 1500,
                "priority": 1, "sizes": [SMALLEST_MODEL, "large"],
                "service": MODELS, "max_attempts": 3, "public": false,
                "session_affinity": true, "stream_resume": true,
                "itl_target_ms": 800,
            },
            {
                "name": "tell", "host": "site.example",
                "path_prefix": "/tell/", "type": "streaming",
                "timeout_ms": 8000, "target_latency_ms": 1500,
                "sizes": [SMALLEST_MODEL, "large"],
                "service": MODELS, "max_attempts": 3, "public": true,
            },
        ],
        "services": [
            {"name": PLAIN, "health_path": "/healthz",
             "max_connections": 100},
            {"name": MODELS, "health_path": "/healthz",
             "max_connections": 100, "inference_engine": {
                "capacity": 8, "kv_capacity_tokens": 400_000,
                "models": [{"name": "small", "cost": 0.02},
                           {"name": "large", "cost": 0.3}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "village", "api_keys": []}],
    })
}

/// Returns a route that requires an API key. `kind` is the route's type, such
/// as `idempotent`.
pub fn route(
    name: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    timeout_ms: u64,
) -> Value {
    json!({
        "name": name, "host": "site.example",
        "path_prefix": format!("/{name}/"), "type": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 2,
        "service": service, "max_attempts": attempts, "public": false,
    })
}

/// Returns a request with an attempt id, a deadline and an API key. `more` are
/// additional header lines, each ended by CRLF.
pub fn request(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\n\
         Lupinseam-Attempt-Id: {id}\r\nLupinseam-Deadline-Ms: 5000\r\n\
         Api-Key: {KEY}\r\n{more}Connection: close\r\n\r\n"
    )
}

/// Returns a streaming request whose model the router chooses.
pub fn stream_request(path: &str, id: &str) -> String {
    let more = "Lupinseam-Model: *\r\nLupinseam-Token-Count: 100,50\r\n\
                Lupinseam-Prefix-Hash: a1:40,b2:40,c3:20\r\n\
                Content-Length: 0\r\n";
    request("POST", path, id, more)
}

/// Like [`stream_request`], with a prompt that differs from those of other ids
/// after its first block. No upstream has the later blocks cached, so each
/// request goes to the upstream with the least prefill.
pub fn unique_prompt_stream_request(path: &str, id: &str) -> String {
    let prefix_hash = id.bytes().fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    let text = stream_request(path, id);
    text.replace("b2:40", &format!("{prefix_hash:x}:40"))
}

/// Sends bytes over a new connection and reads the response to its end.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> HttpReply {
    exchange_within(address, bytes, TIMEOUT)
}

/// Like [`exchange`], with `limit` as the timeout of each read.
fn exchange_within(
    address: SocketAddr,
    bytes: &[u8],
    limit: Duration,
) -> HttpReply {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return HttpReply::default();
    };
    stream.set_read_timeout(Some(limit)).expect("a time limit");
    if stream.write_all(bytes).is_err() {
        return HttpReply::default();
    }
    let mut all = Vec::new();
    // A response that is cut off is read as far as it came; `whole` is false
    // then.
    let _ = stream.read_to_end(&mut all);
    parse_response(&String::from_utf8_lossy(&all))
}

/// Parses a response; a status of 0 stands for an incomplete head.
fn parse_response(text: &str) -> HttpReply {
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return HttpReply::default();
    };
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut reply = HttpReply {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: rest.to_owned(),
        whole: false,
    };
    if reply.header("transfer-encoding") == "chunked" {
        (reply.body, reply.whole) = decode_chunks(rest);
    } else {
        let length = reply.header("content-length").parse::<usize>();
        reply.whole = length.is_ok_and(|length| length == rest.len());
    }
    reply
}

/// Decodes a chunked body; returns it and whether its last chunk arrived.
fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            return (body, true);
        }
        let Some(part) = after.get(..size) else { break };
        body.push_str(part);
        rest = after.get(size + 2..).unwrap_or("");
    }
    (body, false)
}

/// Waits until a condition holds. `what` names it in the panic message.
///
/// # Panics
///
/// When it doesn't hold within 30 seconds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Number of ports of each VM.
const PORTS: u16 = 4;

/// The ports that sites may use.
///
/// They are below the kernel's ephemeral ports: an ephemeral port could be
/// taken by another connection of the site before a VM binds it.
const SITE_PORTS: Range<u16> = 20_000..30_000;

/// The first port that no site of this process has reserved.
static NEXT_PORT: AtomicU16 = AtomicU16::new(SITE_PORTS.start);

/// Reserves free consecutive ports for a site and returns the first. VMs use
/// the same ports, each on its own address.
///
/// No other site of this process gets the same ports: a VM binds them only
/// when it starts, and until then they would seem free to the next site.
fn reserve_ports() -> u16 {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10));
    let is_free = |port| TcpListener::bind((ip, port)).is_ok();
    loop {
        let first = NEXT_PORT.fetch_add(PORTS, Ordering::Relaxed);
        assert!(first + PORTS <= SITE_PORTS.end, "no ports are free");
        if (first..first + PORTS).all(is_free) {
            return first;
        }
    }
}
