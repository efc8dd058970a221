//! A small fleet of real processes on loopback: stand-ins of the platform and
//! the upstreams, entry VMs, and fault-injecting proxies between them.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::Method;
use lupinseam::{
    clock::SystemClock,
    http_client::{Call, FullResponse, HttpClient},
};
use serde::Serialize;
use serde_json::{Value, json};
use smol::Timer;
use tempfile::TempDir;

use crate::{
    kv::{KvCounts, KvFaults},
    list::ListContent,
    process::{FleetResult, Process, start_stand_in, strings},
    proxy::{Mode, Proxy},
    web::{self, Record},
};

/// The cluster key of every fleet; VMs authenticate each other with it.
const CLUSTER_KEY: &str =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Longest wait for a fleet to be ready; generous, since a busy machine starts
/// processes slowly.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Timeout of one call to a process of the fleet.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body that is read.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// How to start an inference engine.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// The id of the upstream.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// The model that it serves.
    pub model: String,
    /// The versions that it can serve, in the format of the engine's
    /// `--versions` option.
    pub versions: String,
    /// Versions that are loaded at the start; all if empty.
    pub loaded: String,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it rejects orders with an outdated epoch (a fencing token).
    pub fenced: bool,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
}

/// How to start a replica of a plain service.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The id of the upstream.
    pub name: String,
    /// The service it is a replica of.
    pub service: String,
    /// Its data hall.
    pub hall: String,
    /// Response time of one call, in milliseconds.
    pub latency_ms: u64,
}

/// How to start a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetPlan {
    /// Entry VMs, as name and data hall.
    pub vms: Vec<(String, String)>,
    /// Inference engines.
    pub engines: Vec<EnginePlan>,
    /// Replicas of plain services.
    pub services: Vec<ServicePlan>,
    /// Settings that are added to the fleet's defaults or override them, as
    /// section, key and value.
    pub settings: Vec<(String, String, String)>,
    /// Whether upstreams keep no records of what they ran.
    pub without_records: bool,
    /// Whether VMs connect to each other and to the platform directly, without
    /// fault-injecting proxies.
    pub without_proxies: bool,
    /// Seed of the proxies' random faults.
    pub seed: u64,
}

impl FleetPlan {
    /// Adds `each` entry VMs, named `vm-HALL-N`, to each hall.
    #[must_use]
    pub fn with_vms(mut self, halls: &[&str], each: usize) -> FleetPlan {
        for hall in halls {
            for number in 1..=each {
                let name = format!("vm-{hall}-{number}");
                self.vms.push((name, (*hall).to_owned()));
            }
        }
        self
    }

    /// Adds or overrides a setting of all VMs.
    #[must_use]
    pub fn with_setting(
        mut self,
        section: &str,
        key: &str,
        value: &str,
    ) -> FleetPlan {
        let setting = (section.to_owned(), key.to_owned(), value.to_owned());
        self.settings.push(setting);
        self
    }
}

/// An entry VM of a fleet.
pub struct FleetVm {
    /// Its VM id.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Its process; `None` while it is killed.
    pub process: Option<Process>,
    /// Its listener for callers.
    pub callers: SocketAddr,
    /// Its listener for the operators' API.
    pub operators: SocketAddr,
    /// Its listener for other VMs.
    peers: SocketAddr,
    store: Option<Proxy>,
    list: Option<Proxy>,
    is_listed: bool,
}

/// An upstream of a fleet.
pub struct FleetUpstream {
    /// Its process; `None` while it is killed.
    pub process: Option<Process>,
    /// Its listener.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Its entry in the platform's list, without the state.
    list_entry: Value,
    is_leaving: bool,
}

/// A running fleet.
pub struct Fleet {
    /// The plan that it was started from.
    pub plan: FleetPlan,
    /// Its entry VMs, by name.
    pub vms: BTreeMap<String, FleetVm>,
    /// Its upstreams, by name.
    pub upstreams: BTreeMap<String, FleetUpstream>,
    /// The HTTP client for all calls to the fleet's processes.
    pub client: HttpClient,
    _kv: Process,
    kv_address: SocketAddr,
    _rating: Process,
    rating_address: SocketAddr,
    _list: Process,
    list_address: SocketAddr,
    /// The proxies between VMs, by names of the sending and the receiving VM.
    paths: HashMap<(String, String), Proxy>,
    /// The proxies between a VM and upstreams, by the name of the VM.
    upstream_paths: HashMap<String, Vec<Proxy>>,
    dir: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until every VM is ready and knows all
    /// upstreams and the other VMs.
    ///
    /// # Errors
    ///
    /// When a process doesn't start, or the fleet isn't ready in time.
    pub async fn start(plan: FleetPlan) -> FleetResult<Fleet> {
        let dir = TempDir::new().map_err(|error| error.to_string())?;
        let kv = start_stand_in("kv", &[])?;
        let list = start_stand_in("list", &[])?;
        let rating = start_stand_in("rating", &["--seed", "7"])?;
        let mut fleet = Fleet {
            kv_address: kv.address("address")?,
            _kv: kv,
            list_address: list.address("address")?,
            _list: list,
            rating_address: rating.address("address")?,
            _rating: rating,
            client: HttpClient::new(
                Duration::from_secs(2),
                Arc::new(SystemClock),
            ),
            vms: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            paths: HashMap::new(),
            upstream_paths: HashMap::new(),
            dir,
            plan,
        };
        for engine in fleet.plan.engines.clone() {
            fleet.start_engine(&engine)?;
        }
        for service in fleet.plan.services.clone() {
            fleet.start_service(&service)?;
        }
        for (name, hall) in fleet.plan.vms.clone() {
            fleet.start_vm(&name, &hall)?;
        }
        fleet.publish().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts an engine. VMs learn of it with the next [`Fleet::publish`].
    ///
    /// # Errors
    ///
    /// When it doesn't start.
    pub fn start_engine(&mut self, plan: &EnginePlan) -> FleetResult<()> {
        let mut arguments = strings(&[
            "engine",
            "--name",
            &plan.name,
            "--model",
            &plan.model,
            "--versions",
            &plan.versions,
            "--slots",
            &plan.slots.to_string(),
            "--first-token-ms",
            &plan.first_token_ms.to_string(),
            "--token-ms",
            &plan.token_ms.to_string(),
        ]);
        if !plan.loaded.is_empty() {
            arguments.extend(strings(&["--loaded", &plan.loaded]));
        }
        if !plan.fenced {
            arguments.push("--unfenced".to_owned());
        }
        let role = json!({ "model": {
            "upstream": plan.name,
            "model": plan.model,
            "slots": plan.slots,
            "checks_fence": plan.fenced,
        }});
        self.start_upstream(&plan.name, &plan.hall, arguments, role)
    }

    /// Starts a replica of a plain service. VMs learn of it with the next
    /// [`Fleet::publish`].
    ///
    /// # Errors
    ///
    /// When it doesn't start.
    pub fn start_service(&mut self, plan: &ServicePlan) -> FleetResult<()> {
        let arguments = strings(&[
            "service",
            "--name",
            &plan.name,
            "--latency-ms",
            &plan.latency_ms.to_string(),
        ]);
        let role = json!({ "service": {
            "upstream": plan.name,
            "service": plan.service,
            "slots": 64,
        }});
        self.start_upstream(&plan.name, &plan.hall, arguments, role)
    }

    fn start_upstream(
        &mut self,
        name: &str,
        hall: &str,
        mut arguments: Vec<String>,
        role: Value,
    ) -> FleetResult<()> {
        if !self.plan.without_records {
            let records = self.records_path(name);
            let records = records.to_string_lossy();
            arguments.extend(strings(&["--records", &records]));
        }
        let process = Process::start(name, &arguments)?;
        let address = process.address("address")?;
        let list_entry = json!({
            "role": role,
            "data_hall": hall,
            "address": address.to_string(),
        });
        let upstream = FleetUpstream {
            process: Some(process),
            address,
            hall: hall.to_owned(),
            list_entry,
            is_leaving: false,
        };
        self.upstreams.insert(name.to_owned(), upstream);
        Ok(())
    }

    /// Starts a VM, or a new incarnation of it, and its proxies.
    ///
    /// # Errors
    ///
    /// When it doesn't start.
    pub fn start_vm(&mut self, name: &str, hall: &str) -> FleetResult<()> {
        let proxied = !self.plan.without_proxies;
        let proxy = |target: SocketAddr| -> FleetResult<Option<Proxy>> {
            let made = proxied.then(|| Proxy::tcp(target)).transpose();
            made.map_err(|error| error.to_string())
        };
        let store = proxy(self.kv_address)?;
        let list = proxy(self.list_address)?;
        let at = |proxy: &Option<Proxy>, direct: SocketAddr| {
            proxy.as_ref().map_or(direct, |proxy| proxy.address)
        };
        let settings = self.settings_text(
            name,
            hall,
            at(&store, self.kv_address),
            at(&list, self.list_address),
        );
        let path = self.dir.path().join(format!("{name}.ini"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let path = path.to_string_lossy();
        let arguments = strings(&["vm", "serve", "--settings", &path]);
        let process = Process::start(name, &arguments)?;
        let vm = FleetVm {
            name: name.to_owned(),
            hall: hall.to_owned(),
            callers: process.address("callers")?,
            operators: process.address("operators")?,
            peers: process.address("peers")?,
            process: Some(process),
            store,
            list,
            is_listed: true,
        };
        self.vms.insert(name.to_owned(), vm);
        if proxied {
            self.create_peer_paths(name)?;
        }
        Ok(())
    }

    fn settings_text(
        &self,
        name: &str,
        hall: &str,
        store: SocketAddr,
        list: SocketAddr,
    ) -> String {
        let log = self.dir.path().join(format!("{name}.log"));
        let rating = self.rating_address;
        let settings = [
            ("vm", "id", name.to_owned()),
            ("vm", "data_hall", hall.to_owned()),
            ("listen", "callers", "127.0.0.1:0".to_owned()),
            ("listen", "operators", "127.0.0.1:0".to_owned()),
            ("listen", "peers", "127.0.0.1:0".to_owned()),
            ("cluster", "key", CLUSTER_KEY.to_owned()),
            ("platform", "store_url", format!("http://{store}")),
            ("platform", "list_url", format!("http://{list}/vms/{name}")),
            ("platform", "rating_url", format!("http://{rating}/rate")),
            ("platform", "list_poll_ms", "300".to_owned()),
            ("load", "poll_ms", "200".to_owned()),
            ("peers", "gossip_ms", "200".to_owned()),
            ("peers", "suspect_after_ms", "1200".to_owned()),
            ("peers", "dead_after_ms", "2400".to_owned()),
            ("ledger", "commit_ms", "200".to_owned()),
            ("ledger", "orphan_after_s", "3".to_owned()),
            ("log", "path", log.to_string_lossy().into_owned()),
        ];
        let usual = settings
            .iter()
            .map(|(section, key, value)| (*section, *key, value.as_str()));
        let more = self.plan.settings.iter().map(|(section, key, value)| {
            (section.as_str(), key.as_str(), value.as_str())
        });
        ini_text(usual.chain(more))
    }

    /// Creates the proxies between a VM and all others, in both directions.
    fn create_peer_paths(&mut self, name: &str) -> FleetResult<()> {
        let others: Vec<(String, SocketAddr)> = self
            .vms
            .values()
            .filter(|vm| vm.name != name)
            .map(|vm| (vm.name.clone(), vm.peers))
            .collect();
        let own = self.vms[name].peers;
        for (other, address) in others {
            self.create_peer_path(name, &other, address)?;
            self.create_peer_path(&other, name, own)?;
        }
        Ok(())
    }

    /// Creates the proxy from one VM to another, unless the existing one has
    /// the same target. It is kept in that case, because a restarted VM reads
    /// the platform's list before its new address is published, and so still
    /// uses the old proxies to the other VMs.
    fn create_peer_path(
        &mut self,
        from: &str,
        to: &str,
        target: SocketAddr,
    ) -> FleetResult<()> {
        let key = (from.to_owned(), to.to_owned());
        if self.paths.get(&key).is_some_and(|path| path.target == target) {
            return Ok(());
        }
        let seed = self.plan.seed ^ self.paths.len() as u64;
        let proxy = Proxy::tcp_and_udp(target, seed)
            .map_err(|error| error.to_string())?;
        self.paths.insert(key, proxy);
        Ok(())
    }

    /// Creates the proxies between a VM and all upstreams. The VM uses them
    /// after the next [`Fleet::publish`].
    ///
    /// # Errors
    ///
    /// When an address of an upstream can't be read or no port be bound.
    pub fn create_upstream_paths(&mut self, vm: &str) -> FleetResult<()> {
        let mut proxies = Vec::new();
        for upstream in self.upstreams.values() {
            let address = upstream.list_entry["address"].as_str();
            let address = address.ok_or("an upstream has no address")?;
            let target = address
                .parse()
                .map_err(|error| format!("{address}: {error}"))?;
            let proxy =
                Proxy::tcp(target).map_err(|error| error.to_string())?;
            proxies.push(proxy);
        }
        self.upstream_paths.insert(vm.to_owned(), proxies);
        Ok(())
    }

    /// Writes the current VMs and upstreams to the platform's list.
    ///
    /// # Errors
    ///
    /// When the list can't be reached.
    pub async fn publish(&self) -> FleetResult<()> {
        let mut content = ListContent::default();
        for vm in self.vms.values().filter(|vm| vm.is_listed) {
            content.vms.push(json!({
                "role": { "entry": { "vm": vm.name } },
                "data_hall": vm.hall,
                "address": vm.peers.to_string(),
                "state": "live",
            }));
        }
        for upstream in self.upstreams.values() {
            let mut entry = upstream.list_entry.clone();
            let state = if upstream.is_leaving { "leaving" } else { "live" };
            entry["state"] = json!(state);
            content.vms.push(entry);
        }
        for ((from, to), proxy) in &self.paths {
            let target = self.vms[to].peers.to_string();
            let paths = content.paths.entry(from.clone()).or_default();
            paths.insert(target, proxy.address.to_string());
        }
        for (vm, proxies) in &self.upstream_paths {
            let paths = content.paths.entry(vm.clone()).or_default();
            for proxy in proxies {
                let target = proxy.target.to_string();
                paths.insert(target, proxy.address.to_string());
            }
        }
        self.post(self.list_address, "/admin/set", &content).await
    }

    /// Waits until all running VMs are ready, have load reports of all
    /// upstreams and see the VMs of their own data hall alive.
    ///
    /// # Errors
    ///
    /// When the fleet isn't ready in time.
    pub async fn wait_ready(&self) -> FleetResult<()> {
        let end = Instant::now() + READY_LIMIT;
        loop {
            match self.find_unready().await {
                None => return Ok(()),
                Some(reason) if Instant::now() > end => {
                    return Err(format!("the fleet is not ready: {reason}"));
                }
                Some(_) => {
                    Timer::after(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Returns the first reason why the fleet isn't ready, if there is one.
    async fn find_unready(&self) -> Option<String> {
        for vm in self.vms.values().filter(|vm| vm.process.is_some()) {
            let Ok(status) = self.status(&vm.name).await else {
                return Some(format!("{} does not respond", vm.name));
            };
            if status["ready"] != true {
                return Some(format!("{} is not ready", vm.name));
            }
            let upstreams = status["upstreams"].as_array();
            let known = upstreams.map_or(0, |upstreams| {
                let known = upstreams
                    .iter()
                    .filter(|upstream| !upstream["load_age_ms"].is_null());
                known.count()
            });
            if known < self.upstreams.len() {
                return Some(format!(
                    "{} has no load report of some upstream",
                    vm.name
                ));
            }
            let peers = status["peers"].as_array()?;
            let silent = peers.iter().find(|peer| {
                peer["data_hall"] == vm.hall.as_str()
                    && peer["life"] != "alive"
            });
            if let Some(silent) = silent {
                return Some(format!(
                    "{} does not see this VM alive: {silent}",
                    vm.name
                ));
            }
        }
        None
    }

    /// Returns the `/status` document of a VM.
    ///
    /// # Errors
    ///
    /// When it doesn't respond.
    pub async fn status(&self, vm: &str) -> FleetResult<Value> {
        let address = self.vms[vm].operators;
        let answer = self.get(address, "/status").await?;
        serde_json::from_slice(&answer.body).map_err(|e| e.to_string())
    }

    /// Writes a template through a VM's operators' API.
    ///
    /// # Errors
    ///
    /// When the VM rejects the edit.
    pub async fn put_template(
        &self,
        vm: &str,
        template: &Value,
    ) -> FleetResult<()> {
        let name = template["organisation"].as_str().unwrap_or_default();
        let path = format!("/templates/{name}");
        self.edit(vm, Method::PUT, path, template).await
    }

    /// Writes a model version through a VM's operators' API.
    ///
    /// # Errors
    ///
    /// When the VM rejects the edit.
    pub async fn put_version(
        &self,
        vm: &str,
        entry: &Value,
    ) -> FleetResult<()> {
        let model = entry["model"].as_str().unwrap_or_default();
        let version = entry["version"].as_str().unwrap_or_default();
        let path = format!("/versions/{model}/{version}");
        self.edit(vm, Method::PUT, path, entry).await
    }

    /// Changes the state of a model version through a VM's operators' API.
    ///
    /// # Errors
    ///
    /// When the VM rejects the edit.
    pub async fn set_version_state(
        &self,
        vm: &str,
        model: &str,
        version: &str,
        state: Value,
    ) -> FleetResult<()> {
        let path = format!("/versions/{model}/{version}/state");
        let body = json!({ "state": state, "reason": "by the stand-ins" });
        self.edit(vm, Method::POST, path, &body).await
    }

    async fn edit(
        &self,
        vm: &str,
        method: Method,
        path: String,
        body: &Value,
    ) -> FleetResult<()> {
        let call = Call::new(self.vms[vm].operators, method, path.clone())
            .header("if-match", "*")
            .body(body.to_string());
        let answer = self.fetch(call).await?;
        match answer.status {
            200 => Ok(()),
            status => {
                let text = String::from_utf8_lossy(&answer.body);
                Err(format!("{path}: {status} {text}"))
            }
        }
    }

    /// Waits until all running VMs use the same configuration revision.
    ///
    /// Returns how long that took.
    ///
    /// # Errors
    ///
    /// When that takes too long, or a VM doesn't respond.
    pub async fn wait_same_revision(&self) -> FleetResult<Duration> {
        let begun = Instant::now();
        loop {
            let mut revisions = Vec::new();
            for vm in self.vms.values().filter(|vm| vm.process.is_some()) {
                let status = self.status(&vm.name).await?;
                revisions.push(status["revision"].as_u64());
            }
            if revisions.windows(2).all(|pair| pair[0] == pair[1]) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > READY_LIMIT {
                return Err(format!(
                    "the VMs' revisions still differ: {revisions:?}"
                ));
            }
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Sets the faults that the key-value store injects.
    ///
    /// # Errors
    ///
    /// When it can't be reached.
    pub async fn set_kv_faults(&self, faults: KvFaults) -> FleetResult<()> {
        self.post(self.kv_address, "/admin/faults", &faults).await
    }

    /// Returns how many calls the key-value store has received.
    ///
    /// # Errors
    ///
    /// When it can't be reached.
    pub async fn kv_counts(&self) -> FleetResult<KvCounts> {
        let answer = self.get(self.kv_address, "/admin/counts").await?;
        serde_json::from_slice(&answer.body).map_err(|e| e.to_string())
    }

    /// Sets the faults that an upstream injects.
    ///
    /// # Errors
    ///
    /// When it can't be reached.
    pub async fn set_upstream_faults(
        &self,
        upstream: &str,
        faults: &impl Serialize,
    ) -> FleetResult<()> {
        let address = self.upstreams[upstream].address;
        self.post(address, "/admin/faults", faults).await
    }

    /// Returns how many calls a plain service has run and rejected, by counter
    /// name.
    ///
    /// # Errors
    ///
    /// When it can't be reached.
    pub async fn service_counts(&self, upstream: &str) -> FleetResult<Value> {
        let address = self.upstreams[upstream].address;
        let answer = self.get(address, "/admin/counts").await?;
        serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
    }

    /// Marks an upstream as leaving, both in the platform's list and at the
    /// upstream itself, which then reports it to the VMs.
    ///
    /// # Errors
    ///
    /// When the list can't be reached.
    pub async fn leave(&mut self, upstream: &str) -> FleetResult<()> {
        if let Some(leaving) = self.upstreams.get_mut(upstream) {
            leaving.is_leaving = true;
        }
        let address = self.upstreams[upstream].address;
        let _ = self.post(address, "/admin/leave", &json!({})).await;
        self.publish().await
    }

    /// Kills an upstream; the platform's list still shows it.
    pub fn kill_upstream(&mut self, upstream: &str) {
        if let Some(killed) = self.upstreams.get_mut(upstream) {
            killed.process = None;
        }
    }

    /// Whether an upstream accepts connections.
    pub async fn is_listening(&self, upstream: &str) -> bool {
        let address = self.upstreams[upstream].address;
        smol::net::TcpStream::connect(address).await.is_ok()
    }

    /// Kills an upstream and removes it from the platform's list.
    ///
    /// # Errors
    ///
    /// When the list can't be reached.
    pub async fn remove_upstream(&mut self, name: &str) -> FleetResult<()> {
        self.upstreams.remove(name);
        self.publish().await
    }

    /// Kills a VM; the platform's list still shows it.
    pub fn kill_vm(&mut self, vm: &str) {
        if let Some(killed) = self.vms.get_mut(vm) {
            killed.process = None;
        }
    }

    /// Starts a new incarnation of a VM and publishes its addresses.
    ///
    /// # Errors
    ///
    /// When it doesn't start.
    pub async fn restart_vm(&mut self, name: &str) -> FleetResult<()> {
        let hall = self.vms[name].hall.clone();
        self.start_vm(name, &hall)?;
        self.publish().await
    }

    /// Pauses a VM's process.
    pub fn pause_vm(&mut self, vm: &str) {
        let process = self.vms.get_mut(vm).and_then(|v| v.process.as_mut());
        if let Some(process) = process {
            process.pause();
        }
    }

    /// Resumes a paused VM.
    pub fn resume_vm(&mut self, vm: &str) {
        let process = self.vms.get_mut(vm).and_then(|v| v.process.as_mut());
        if let Some(process) = process {
            process.resume();
        }
    }

    /// Sets the fault mode of the connection from a VM to the store.
    pub fn set_store_path(&self, vm: &str, mode: Mode) {
        if let Some(proxy) = &self.vms[vm].store {
            proxy.set_mode(mode);
        }
    }

    /// Sets the fault mode of the connection from a VM to the platform's list.
    pub fn set_list_path(&self, vm: &str, mode: Mode) {
        if let Some(proxy) = &self.vms[vm].list {
            proxy.set_mode(mode);
        }
    }

    /// Sets the fault mode of the connections from all VMs to the store.
    pub fn set_all_store_paths(&self, mode: Mode) {
        for name in self.vms.keys() {
            self.set_store_path(name, mode);
        }
    }

    /// Sets the fault mode of the path from one VM to another.
    pub fn set_peer_path(&self, from: &str, to: &str, mode: Mode) {
        let key = (from.to_owned(), to.to_owned());
        if let Some(proxy) = self.paths.get(&key) {
            proxy.set_mode(mode);
        }
    }

    /// Sets the fault mode of all paths from a VM to upstreams.
    pub fn set_upstream_paths(&self, vm: &str, mode: Mode) {
        for proxy in self.upstream_paths.get(vm).into_iter().flatten() {
            proxy.set_mode(mode);
        }
    }

    /// Sets the fault mode of all paths between VMs.
    pub fn set_all_peer_paths(&self, mode: Mode) {
        for proxy in self.paths.values() {
            proxy.set_mode(mode);
        }
    }

    /// Partitions a data hall from the other halls and, with `from_platform`,
    /// from the platform too.
    pub fn partition_hall(&self, hall: &str, from_platform: bool) {
        self.set_hall_mode(hall, Mode::Cut, from_platform);
    }

    /// Ends the partition of a data hall.
    pub fn end_partition(&self, hall: &str) {
        self.set_hall_mode(hall, Mode::Pass, true);
    }

    fn set_hall_mode(&self, hall: &str, mode: Mode, with_platform: bool) {
        let is_in = |vm: &str| self.vms[vm].hall == hall;
        for ((from, to), proxy) in &self.paths {
            if is_in(from) != is_in(to) {
                proxy.set_mode(mode);
            }
        }
        if !with_platform {
            return;
        }
        for vm in self.vms.values().filter(|vm| vm.hall == hall) {
            self.set_store_path(&vm.name, mode);
            self.set_list_path(&vm.name, mode);
        }
    }

    /// Returns the names of the VMs of a data hall.
    pub fn hall_vms(&self, hall: &str) -> Vec<String> {
        let hall_vms = self.vms.values().filter(|vm| vm.hall == hall);
        hall_vms.map(|vm| vm.name.clone()).collect()
    }

    /// Returns what the upstreams ran, by their own records, ordered by time.
    ///
    /// # Errors
    ///
    /// When a record file can't be read.
    pub fn records(&self) -> FleetResult<Vec<Record>> {
        let mut records = Vec::new();
        let dir = self.dir.path().join("records");
        let files = match std::fs::read_dir(&dir) {
            Ok(files) => files,
            Err(_) => return Ok(records),
        };
        for file in files {
            let path = file.map_err(|e| e.to_string())?.path();
            let read = web::read_records(&path);
            records.extend(read.map_err(|e| e.to_string())?);
        }
        records.sort_by_key(|record| record.at_unix_ms);
        Ok(records)
    }

    /// Returns all bills in the ledger, read through a VM.
    ///
    /// # Errors
    ///
    /// When the VM doesn't respond or its response has no bills.
    pub async fn bills(&self, vm: &str) -> FleetResult<Vec<Value>> {
        let address = self.vms[vm].operators;
        let answer = self.get(address, "/bills").await?;
        let value: Value = serde_json::from_slice(&answer.body)
            .map_err(|error| error.to_string())?;
        value["bills"]
            .as_array()
            .cloned()
            .ok_or_else(|| format!("no bills in {value}"))
    }

    /// Waits until no running VM has requests in flight or bills that aren't
    /// committed to the store.
    ///
    /// # Errors
    ///
    /// When that takes too long, or a VM doesn't respond.
    pub async fn wait_bills_committed(&self) -> FleetResult<()> {
        let end = Instant::now() + READY_LIMIT;
        loop {
            let mut waiting = 0;
            for vm in self.vms.values().filter(|vm| vm.process.is_some()) {
                let status = self.status(&vm.name).await?;
                waiting += status["bills_waiting"].as_u64().unwrap_or(0);
                waiting += status["in_flight"].as_u64().unwrap_or(0);
            }
            if waiting == 0 {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!(
                    "{waiting} bills or requests are still uncommitted"
                ));
            }
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    /// Returns the log of a VM; empty if it has none.
    pub fn log(&self, vm: &str) -> String {
        let path = self.dir.path().join(format!("{vm}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a GET request to a process of the fleet.
    ///
    /// # Errors
    ///
    /// When it doesn't respond.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> FleetResult<FullResponse> {
        self.fetch(Call::new(address, Method::GET, path)).await
    }

    /// Sends a call to a process of the fleet.
    ///
    /// # Errors
    ///
    /// When it doesn't respond.
    pub async fn fetch(&self, call: Call) -> FleetResult<FullResponse> {
        let address = call.address;
        self.client
            .fetch(call, CALL_TIMEOUT, MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| format!("{address}: {error}"))
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> FleetResult<()> {
        let body =
            serde_json::to_vec(body).map_err(|error| error.to_string())?;
        let call = Call::new(address, Method::POST, path).body(body);
        self.fetch(call).await.map(drop)
    }

    fn records_path(&self, name: &str) -> PathBuf {
        let dir = self.dir.path().join("records");
        let _ = std::fs::create_dir_all(&dir);
        dir.join(format!("{name}.jsonl"))
    }

    /// Returns the directory of the fleet's settings, logs and records.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }
}

/// Formats settings as an INI file with each section once. A later value of
/// a key overrides an earlier one.
fn ini_text<'a>(
    settings: impl Iterator<Item = (&'a str, &'a str, &'a str)>,
) -> String {
    let mut sections: BTreeMap<&str, BTreeMap<&str, &str>> = BTreeMap::new();
    for (section, key, value) in settings {
        sections.entry(section).or_default().insert(key, value);
    }
    let mut text = String::new();
    for (section, keys) in sections {
        text.push_str(&format!("[{section}]\n"));
        for (key, value) in keys {
            text.push_str(&format!("{key} = {value}\n"));
        }
    }
    text
}
