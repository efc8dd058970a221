//! A small fleet of real processes on loopback: stand-ins, entry VMs, and
//! fault-injecting proxies between them.

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

/// The secret of all fleets made here.
const CLUSTER_KEY: &str =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Longest wait for a fleet to be ready, generous for a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(60);

const CALL_LIMIT: Duration = Duration::from_secs(10);
const ANSWER_LIMIT_BYTES: u64 = 256 << 20;

/// An engine to be started.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// The model.
    pub model: String,
    /// Versions, as the engine's option takes them.
    pub versions: String,
    /// Versions loaded at the start; empty for all.
    pub loaded: String,
    /// Requests worked on at once.
    pub slots: u16,
    /// Whether it checks the epoch of orders.
    pub fenced: bool,
    /// Time to the first token.
    pub first_token_ms: u64,
    /// Time between tokens.
    pub token_ms: u64,
}

/// A plain service to be started.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// The service it is a replica of.
    pub service: String,
    /// Its data hall.
    pub hall: String,
    /// Time of one call.
    pub latency_ms: u64,
}

/// A fleet to be started.
#[derive(Clone, Debug, Default)]
pub struct FleetPlan {
    /// Entry VMs, by name and hall.
    pub vms: Vec<(String, String)>,
    /// Engines.
    pub engines: Vec<EnginePlan>,
    /// Plain services.
    pub services: Vec<ServicePlan>,
    /// Settings beyond the usual, as section, key and value.
    pub settings: Vec<(String, String, String)>,
    /// Whether upstreams keep records of what ran.
    pub without_records: bool,
    /// Whether VMs reach each other and the platform without proxies.
    pub without_proxies: bool,
    /// Seed of the proxies.
    pub seed: u64,
}

impl FleetPlan {
    /// Adds entry VMs `vm-HALL-N` to each hall.
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

    /// Adds a setting.
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
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Its process; `None` while it is down.
    pub process: Option<Process>,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    peers: SocketAddr,
    store: Option<Proxy>,
    list: Option<Proxy>,
    is_listed: bool,
}

/// An upstream of a fleet.
pub struct FleetUpstream {
    /// Its process; `None` while it is down.
    pub process: Option<Process>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    listed: Value,
    is_leaving: bool,
}

/// A running fleet.
pub struct Fleet {
    /// The plan that it was made by.
    pub plan: FleetPlan,
    /// Its entry VMs, by name.
    pub vms: BTreeMap<String, FleetVm>,
    /// Its upstreams, by name.
    pub upstreams: BTreeMap<String, FleetUpstream>,
    /// A client for everything.
    pub client: HttpClient,
    _kv: Process,
    kv_address: SocketAddr,
    _rating: Process,
    rating_address: SocketAddr,
    _list: Process,
    list_address: SocketAddr,
    paths: HashMap<(String, String), Proxy>,
    dir: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until every VM is ready and sees all of it.
    ///
    /// # Errors
    ///
    /// When anything does not start, or not in time.
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

    /// Starts an engine and adds it to what is listed next.
    ///
    /// # Errors
    ///
    /// When it does not start.
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

    /// Starts a plain service and adds it to what is listed next.
    ///
    /// # Errors
    ///
    /// When it does not start.
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
        let listed = json!({
            "role": role,
            "data_hall": hall,
            "address": address.to_string(),
        });
        let upstream = FleetUpstream {
            process: Some(process),
            address,
            hall: hall.to_owned(),
            listed,
            is_leaving: false,
        };
        self.upstreams.insert(name.to_owned(), upstream);
        Ok(())
    }

    /// Starts a VM, or a new life of one, and its proxies.
    ///
    /// # Errors
    ///
    /// When it does not start.
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
            self.make_paths(name)?;
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

    /// Makes the proxies between a VM and all others, both ways.
    fn make_paths(&mut self, name: &str) -> FleetResult<()> {
        let others: Vec<(String, SocketAddr)> = self
            .vms
            .values()
            .filter(|vm| vm.name != name)
            .map(|vm| (vm.name.clone(), vm.peers))
            .collect();
        let own = self.vms[name].peers;
        for (other, address) in others {
            self.make_path(name, &other, address)?;
            self.make_path(&other, name, own)?;
        }
        Ok(())
    }

    /// Makes the path between two VMs, unless it leads there already: a VM
    /// that is restarted reads the list before it says so itself, and finds
    /// the paths to the others as they were.
    fn make_path(
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

    /// Publishes what runs now on the platform's list.
    ///
    /// # Errors
    ///
    /// When the list cannot be reached.
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
            let mut listed = upstream.listed.clone();
            let state = if upstream.is_leaving { "leaving" } else { "live" };
            listed["state"] = json!(state);
            content.vms.push(listed);
        }
        for ((from, to), proxy) in &self.paths {
            let target = self.vms[to].peers.to_string();
            let paths = content.paths.entry(from.clone()).or_default();
            paths.insert(target, proxy.address.to_string());
        }
        self.post(self.list_address, "/admin/set", &content).await
    }

    /// Waits until all VMs are ready and know all others and all loads.
    ///
    /// # Errors
    ///
    /// When that takes too long.
    pub async fn wait_ready(&self) -> FleetResult<()> {
        let end = Instant::now() + READY_LIMIT;
        loop {
            match self.find_unready().await {
                None => return Ok(()),
                Some(why) if Instant::now() > end => {
                    return Err(format!("the fleet is not ready: {why}"));
                }
                Some(_) => {
                    Timer::after(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn find_unready(&self) -> Option<String> {
        for vm in self.vms.values().filter(|vm| vm.process.is_some()) {
            let Ok(status) = self.status(&vm.name).await else {
                return Some(format!("{} does not answer", vm.name));
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
                return Some(format!("{} lacks loads", vm.name));
            }
            let peers = status["peers"].as_array()?;
            let silent = peers.iter().find(|peer| {
                peer["data_hall"] == vm.hall.as_str()
                    && peer["life"] != "alive"
            });
            if let Some(silent) = silent {
                return Some(format!("{} does not hear {silent}", vm.name));
            }
        }
        None
    }

    /// What a VM says of itself.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn status(&self, vm: &str) -> FleetResult<Value> {
        let address = self.vms[vm].operators;
        let answer = self.get(address, "/status").await?;
        serde_json::from_slice(&answer.body).map_err(|e| e.to_string())
    }

    /// Puts a template through a VM.
    ///
    /// # Errors
    ///
    /// When the edit is refused.
    pub async fn put_template(
        &self,
        vm: &str,
        template: &Value,
    ) -> FleetResult<()> {
        let name = template["organisation"].as_str().unwrap_or_default();
        let path = format!("/templates/{name}");
        self.edit(vm, Method::PUT, path, template).await
    }

    /// Puts a version through a VM.
    ///
    /// # Errors
    ///
    /// When the edit is refused.
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

    /// Moves a version to another state through a VM.
    ///
    /// # Errors
    ///
    /// When the edit is refused.
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

    /// Waits until all live VMs have the newest revision in force.
    ///
    /// Returns how long that took.
    ///
    /// # Errors
    ///
    /// When it takes too long.
    pub async fn wait_in_force(&self) -> FleetResult<Duration> {
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
                return Err(format!("revisions stay apart: {revisions:?}"));
            }
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Sets what goes wrong at the key-value service.
    ///
    /// # Errors
    ///
    /// When it cannot be reached.
    pub async fn set_kv_faults(&self, faults: KvFaults) -> FleetResult<()> {
        self.post(self.kv_address, "/admin/faults", &faults).await
    }

    /// The calls that the key-value service has had.
    ///
    /// # Errors
    ///
    /// When it cannot be reached.
    pub async fn kv_counts(&self) -> FleetResult<KvCounts> {
        let answer = self.get(self.kv_address, "/admin/counts").await?;
        serde_json::from_slice(&answer.body).map_err(|e| e.to_string())
    }

    /// Sets what goes wrong at an upstream.
    ///
    /// # Errors
    ///
    /// When it cannot be reached.
    pub async fn set_upstream_faults(
        &self,
        upstream: &str,
        faults: &impl Serialize,
    ) -> FleetResult<()> {
        let address = self.upstreams[upstream].address;
        self.post(address, "/admin/faults", faults).await
    }

    /// How many calls a plain service has run and turned away, by name.
    ///
    /// # Errors
    ///
    /// When it cannot be reached.
    pub async fn service_counts(&self, upstream: &str) -> FleetResult<Value> {
        let address = self.upstreams[upstream].address;
        let answer = self.get(address, "/admin/counts").await?;
        serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
    }

    /// Lets an upstream leave, on the list and by its own word.
    ///
    /// # Errors
    ///
    /// When the list cannot be reached.
    pub async fn leave(&mut self, upstream: &str) -> FleetResult<()> {
        if let Some(leaving) = self.upstreams.get_mut(upstream) {
            leaving.is_leaving = true;
        }
        let address = self.upstreams[upstream].address;
        let _ = self.post(address, "/admin/leave", &json!({})).await;
        self.publish().await
    }

    /// Kills an upstream; the list does not know.
    pub fn kill_upstream(&mut self, upstream: &str) {
        if let Some(killed) = self.upstreams.get_mut(upstream) {
            killed.process = None;
        }
    }

    /// Removes an upstream from the list as well.
    ///
    /// # Errors
    ///
    /// When the list cannot be reached.
    pub async fn remove_upstream(&mut self, name: &str) -> FleetResult<()> {
        self.upstreams.remove(name);
        self.publish().await
    }

    /// Kills a VM; the list still shows it.
    pub fn kill_vm(&mut self, vm: &str) {
        if let Some(killed) = self.vms.get_mut(vm) {
            killed.process = None;
        }
    }

    /// Starts a new life of a VM and lists it.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub async fn restart_vm(&mut self, name: &str) -> FleetResult<()> {
        let hall = self.vms[name].hall.clone();
        self.start_vm(name, &hall)?;
        self.publish().await
    }

    /// Freezes a VM.
    pub fn pause_vm(&mut self, vm: &str) {
        let process = self.vms.get_mut(vm).and_then(|v| v.process.as_mut());
        if let Some(process) = process {
            process.pause();
        }
    }

    /// Lets a frozen VM go on.
    pub fn resume_vm(&mut self, vm: &str) {
        let process = self.vms.get_mut(vm).and_then(|v| v.process.as_mut());
        if let Some(process) = process {
            process.resume();
        }
    }

    /// Sets what happens between one VM and the store.
    pub fn set_store_path(&self, vm: &str, mode: Mode) {
        if let Some(proxy) = &self.vms[vm].store {
            proxy.set(mode);
        }
    }

    /// Sets what happens between one VM and the platform's list.
    pub fn set_list_path(&self, vm: &str, mode: Mode) {
        if let Some(proxy) = &self.vms[vm].list {
            proxy.set(mode);
        }
    }

    /// Sets what happens between all VMs and the store.
    pub fn set_all_store_paths(&self, mode: Mode) {
        for name in self.vms.keys() {
            self.set_store_path(name, mode);
        }
    }

    /// Sets what happens on the way from one VM to another.
    pub fn set_peer_path(&self, from: &str, to: &str, mode: Mode) {
        let key = (from.to_owned(), to.to_owned());
        if let Some(proxy) = self.paths.get(&key) {
            proxy.set(mode);
        }
    }

    /// Sets what happens on all ways between VMs.
    pub fn set_all_peer_paths(&self, mode: Mode) {
        for proxy in self.paths.values() {
            proxy.set(mode);
        }
    }

    /// Cuts a hall off from the other halls, and from the platform too.
    pub fn cut_hall(&self, hall: &str, from_platform: bool) {
        self.set_hall(hall, Mode::Cut, from_platform);
    }

    /// Heals a hall that was cut off.
    pub fn heal_hall(&self, hall: &str) {
        self.set_hall(hall, Mode::Pass, true);
    }

    fn set_hall(&self, hall: &str, mode: Mode, platform: bool) {
        let is_in = |vm: &str| self.vms[vm].hall == hall;
        for ((from, to), proxy) in &self.paths {
            if is_in(from) != is_in(to) {
                proxy.set(mode);
            }
        }
        if !platform {
            return;
        }
        for vm in self.vms.values().filter(|vm| vm.hall == hall) {
            self.set_store_path(&vm.name, mode);
            self.set_list_path(&vm.name, mode);
        }
    }

    /// The names of the VMs of a hall.
    pub fn hall_vms(&self, hall: &str) -> Vec<String> {
        let there = self.vms.values().filter(|vm| vm.hall == hall);
        there.map(|vm| vm.name.clone()).collect()
    }

    /// What ran at the upstreams, by their own records.
    ///
    /// # Errors
    ///
    /// When records cannot be read.
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

    /// All bills in the ledger, read through a VM.
    ///
    /// # Errors
    ///
    /// When they cannot be read.
    pub async fn bills(&self, vm: &str) -> FleetResult<Vec<Value>> {
        let address = self.vms[vm].operators;
        let answer = self.get(address, "/bills").await?;
        let value: Value = serde_json::from_slice(&answer.body)
            .map_err(|error| error.to_string())?;
        value["bills"]
            .as_array()
            .cloned()
            .ok_or_else(|| format!("no bills: {value}"))
    }

    /// Waits until no live VM holds bills that the store has not.
    ///
    /// # Errors
    ///
    /// When that takes too long.
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
                return Err(format!("{waiting} bills still wait"));
            }
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    /// The log of a VM.
    pub fn log(&self, vm: &str) -> String {
        let path = self.dir.path().join(format!("{vm}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Reads from any process of the fleet.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> FleetResult<FullResponse> {
        self.fetch(Call::new(address, Method::GET, path)).await
    }

    /// Calls any process of the fleet.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn fetch(&self, call: Call) -> FleetResult<FullResponse> {
        let address = call.address;
        self.client
            .fetch(call, CALL_LIMIT, ANSWER_LIMIT_BYTES)
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

    /// The directory of the fleet's files.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }
}

/// Writes settings, each section once; a later value replaces an earlier.
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
