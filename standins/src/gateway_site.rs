//! A small site before the platform: its store, scripted upstreams, and VMs
//! as real processes.

use std::{
    fs::File,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::{
    platform_store::PlatformStore, process::FLEET_VARIABLE, scripted::Upstream,
};

/// The service of plain upstreams.
pub const PLAIN: &str = "portal";

/// The service of model replicas.
pub const MODELS: &str = "writers";

/// The key that the usual configuration knows.
pub const KEY: &str = "key-1";

/// Longest that anything is waited for.
const LIMIT: Duration = Duration::from_secs(30);

/// Name of a VM's settings file in its directory.
const SETTINGS_FILE: &str = "vm.ini";

/// Frames between the VMs of a site are keyed with this.
const CLUSTER_KEY: &str =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// What a caller got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpReply {
    /// The status; 0 when the connection closed without an answer.
    pub status: u16,
    /// The head.
    pub head: String,
    /// The body, without the marks of chunks.
    pub body: String,
    /// Whether the body was whole.
    pub whole: bool,
}

impl HttpReply {
    /// A header of the answer, or nothing.
    pub fn header(&self, name: &str) -> String {
        let name = format!("{}:", name.to_ascii_lowercase());
        let lines = self.head.lines();
        let line = lines
            .filter(|l| l.to_ascii_lowercase().starts_with(&name))
            .map(|l| l[name.len()..].trim().to_owned());
        line.collect::<Vec<_>>().pop().unwrap_or_default()
    }
}

/// One VM of the site; its addresses stay the same over restarts.
pub struct SiteVm {
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks.
    pub readiness: SocketAddr,
    /// Its own way to the store.
    pub store: PlatformStore,
    program: (PathBuf, Vec<String>),
    child: Option<Child>,
    directory: TempDir,
}

/// A small site.
pub struct Site {
    /// The program that runs a VM, and its first words.
    program: (PathBuf, Vec<String>),
    /// The store.
    pub store: PlatformStore,
    /// The VMs.
    pub vms: Vec<SiteVm>,
    /// Whether VMs that are added refuse every key once they cannot know
    /// which ones were taken away.
    pub fail_closed: bool,
    /// Time between two beats of VMs that are added, in milliseconds.
    pub heartbeat_ms: u64,
    /// The rate of the links of VMs that are added.
    pub link_mbps: u32,
    /// Attempts beyond the first that VMs may make, as a share of requests.
    pub retry_share: f64,
    /// Attempts besides.
    pub retry_extra: u32,
    first_port: u16,
    revoke_ms: u64,
}

impl Site {
    /// Creates a site without VMs, with the usual configuration.
    pub fn new(program: PathBuf, words: &[&str], revoke_ms: u64) -> Site {
        let store = PlatformStore::start();
        store.put("op/config", &configuration(1));
        Site {
            program: (program, words.iter().map(|w| (*w).into()).collect()),
            store,
            vms: Vec::new(),
            fail_closed: true,
            heartbeat_ms: 100,
            link_mbps: 0,
            retry_share: 1.0,
            retry_extra: 50,
            first_port: free_ports(),
            revoke_ms,
        }
    }

    /// Records an upstream in the store.
    pub fn list(&self, upstream: &Upstream, service: &str, version: &str) {
        self.list_as(upstream, service, version, "ready");
    }

    /// Records an upstream in the store, in a state.
    pub fn list_as(
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

    /// Records an upstream in the store, in a data hall and with the time for
    /// which it is still cold.
    pub fn list_in(
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

    /// Asks that the upstreams of a data hall get no requests.
    pub fn evacuate(&self, hall: &str) {
        self.store.put(&format!("op/evacuate/{hall}"), &json!({}));
    }

    /// Takes that back.
    pub fn end_evacuation(&self, hall: &str) {
        self.store.remove(&format!("op/evacuate/{hall}"));
    }

    /// Starts another VM and waits until it is ready.
    ///
    /// # Panics
    ///
    /// When it does not become ready.
    pub fn start_vm(&mut self) {
        let store = self.store.another_door();
        let address = store.address;
        let at = self.add_vm("hall-a", store, address);
        let vm = &mut self.vms[at];
        vm.start();
        wait_until("the VM is ready", || vm.is_ready());
    }

    /// Adds a VM, which is not started yet; returns its place.
    ///
    /// It finds the store at `store_way`, which leads to `store`.
    ///
    /// # Panics
    ///
    /// When its settings cannot be written.
    pub fn add_vm(
        &mut self,
        hall: &str,
        store: PlatformStore,
        store_way: SocketAddr,
    ) -> usize {
        let at = self.vms.len();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10 + at as u8));
        let port = |number| SocketAddr::new(ip, self.first_port + number);
        let peers = port(0);
        let (callers, readiness, metrics) = (port(1), port(2), port(3));
        let name = format!("vm-{at}");
        let settings = format!(
            "[vm]\nid = {name}\ndata_hall = {hall}\nlink_mbps = {}\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\n\
             peers = {peers}\nmetrics = {metrics}\n\
             [cluster]\nkey = {CLUSTER_KEY}\n\
             [platform]\nstore = {store_way}\n\
             [peers]\nseeds = 127.0.0.10:1, 127.0.0.11:1\nbeat_ms = {}\n\
             [keys]\nrevoke_ms = {}\nfail_closed = {}\n\
             [retries]\nshare = {}\nextra = {}\nwindow_s = 10\n\
             [stop]\ngrace_s = 6\n",
            self.link_mbps,
            self.heartbeat_ms,
            self.revoke_ms,
            self.fail_closed,
            self.retry_share,
            self.retry_extra,
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

/// An upstream's record, as it writes it to the store.
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
    /// Starts its process; what it logs is added to what earlier ones did.
    ///
    /// # Panics
    ///
    /// When it cannot be started.
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
            // It ends with the process that started it, however that ends.
            .env(FLEET_VARIABLE, "1")
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the VM's program");
        self.child = Some(child);
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.is_ready_within(LIMIT)
    }

    /// Whether it says so within a time.
    pub fn is_ready_within(&self, limit: Duration) -> bool {
        let text = "GET /lupinseam/readyz HTTP/1.1\r\nHost: x\r\n\
                    Connection: close\r\n\r\n";
        exchange_within(self.readiness, text.as_bytes(), limit).status == 200
    }

    /// Whether its process has been started and not been killed or waited
    /// for since.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a request and reads the answer.
    pub fn ask(&self, text: &str) -> HttpReply {
        exchange(self.callers, text.as_bytes())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // A VM that has ended already needs no signal.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for its end, and says whether that was a good one.
    pub fn has_ended_well(&mut self) -> bool {
        let child = self.child.take();
        child.is_some_and(|mut child| {
            child.wait().is_ok_and(|status| status.success())
        })
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Where its processes log.
    pub fn log_path(&self) -> PathBuf {
        self.directory.path().join("log")
    }

    /// Its log lines of this event.
    pub fn lines(&self, event: &str) -> Vec<Value> {
        let log = std::fs::read_to_string(self.log_path());
        let log = log.unwrap_or_default();
        let lines = log.lines().filter_map(|l| serde_json::from_str(l).ok());
        lines.filter(|line: &Value| line["event"] == event).collect()
    }
}

impl Drop for SiteVm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The usual configuration, with a version.
pub fn configuration(version: u64) -> Value {
    configuration_with(version, &[KEY, "key-2"], Vec::new())
}

/// The usual configuration with these keys and further routes.
pub fn configuration_with(
    version: u64,
    keys: &[&str],
    mut more: Vec<Value>,
) -> Value {
    let mut configuration = usual_configuration(version);
    configuration["tenants"][0]["api_keys"] = json!(keys);
    if let Some(routes) = configuration["routes"].as_array_mut() {
        routes.append(&mut more);
    }
    configuration
}

fn usual_configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", PLAIN, 2, 1000),
            route("once", "non_idempotent", PLAIN, 1, 1000),
            {
                "name": "write", "host": "site.example",
                "path_prefix": "/write/", "type": "streaming",
                "timeout_ms": 8000, "target_latency_ms": 1500,
                "priority": 1, "sizes": ["small", "large"],
                "service": MODELS, "max_attempts": 3, "public": false,
                "session_affinity": true, "stream_resume": true,
                "itl_target_ms": 800,
            },
            {
                "name": "tell", "host": "site.example",
                "path_prefix": "/tell/", "type": "streaming",
                "timeout_ms": 8000, "target_latency_ms": 1500,
                "service": MODELS, "max_attempts": 3, "public": true,
            },
        ],
        "services": [
            {"name": PLAIN, "health_path": "/healthz",
             "max_connections": 100},
            {"name": MODELS, "health_path": "/healthz",
             "max_connections": 100, "inference_engine": {
                "kv_capacity_tokens": 100_000,
                "models": [{"name": "small", "cost": 0.02},
                           {"name": "large", "cost": 0.3}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "village", "api_keys": []}],
    })
}

/// A route of plain requests that needs a key.
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

/// A request with the usual headers, and more of them.
pub fn request(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\n\
         Lupinseam-Attempt-Id: {id}\r\nLupinseam-Deadline-Ms: 5000\r\n\
         Api-Key: {KEY}\r\n{more}Connection: close\r\n\r\n"
    )
}

/// A request for a stream of a model that the router chooses.
pub fn stream_request(path: &str, id: &str) -> String {
    let more = "Lupinseam-Model: *\r\nLupinseam-Token-Count: 100,50\r\n\
                Lupinseam-Prefix-Hash: a1:40,b2:40,c3:20\r\n\
                Content-Length: 0\r\n";
    request("POST", path, id, more)
}

/// The same, with a prompt that no other one shares, so that each goes where
/// there is least to read.
pub fn unique_prompt_stream_request(path: &str, id: &str) -> String {
    let subject = id.bytes().fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    let text = stream_request(path, id);
    text.replace("b2:40", &format!("{subject:x}:40"))
}

/// Sends bytes and reads the answer to its end.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> HttpReply {
    exchange_within(address, bytes, LIMIT)
}

/// The same, waiting at most `limit` for each part of the answer.
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
    // What came before a break counts; `whole` tells the rest.
    let _ = stream.read_to_end(&mut all);
    read_answer(&String::from_utf8_lossy(&all))
}

fn read_answer(text: &str) -> HttpReply {
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return HttpReply::default();
    };
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut got = HttpReply {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: rest.to_owned(),
        whole: false,
    };
    if got.header("transfer-encoding") == "chunked" {
        (got.body, got.whole) = join_chunks(rest);
    } else {
        let length = got.header("content-length").parse::<usize>();
        got.whole = length.is_ok_and(|length| length == rest.len());
    }
    got
}

fn join_chunks(mut rest: &str) -> (String, bool) {
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

/// Waits until something holds.
///
/// # Panics
///
/// When it does not within half a minute.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Ports that each VM of a site has.
const PORTS: u16 = 4;

/// The first of the ports of a site, on every address alike.
///
/// They lie below those that the kernel gives out, which could be one of the
/// site's own by the time that a VM binds it.
fn free_ports() -> u16 {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10));
    let is_free = |port| TcpListener::bind((ip, port)).is_ok();
    (20_000..30_000)
        .step_by(usize::from(PORTS))
        .find(|first| (*first..*first + PORTS).all(is_free))
        .expect("four ports that are free")
}
