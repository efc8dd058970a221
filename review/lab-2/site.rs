//! A small deployment: VMs as real processes with the settings of the deploy
//! file, and the documents that the operator and replicas keep in the store.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, store::Store};

/// Name of the service of the model replicas.
pub const MODELS: &str = "redaction";
/// Name of the plain service.
pub const PLAIN: &str = "portail";
/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// A key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

const PROGRAM: &str = "target/release/lupinseam";
const TEMPLATE: &str = "deploy/lupinseam.ini";

/// What differs between deployments, with the values of `cps-lupinseam`.
pub struct Sheet {
    pub memory_mb: u64,
}

pub struct Vm {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    pub store: Store,
    pub vms: Vec<Vm>,
    folder: PathBuf,
}

impl Site {
    /// Creates the VMs of a site, one in each zone, without starting them.
    pub fn new(vms: usize, sheet: &Sheet) -> Result<Site, String> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start()?;
        store.put("op/config", &configuration(1));
        let template = fs::read_to_string(TEMPLATE)
            .map_err(|error| format!("{TEMPLATE}: {error}"))?;
        let ips: Vec<Ipv4Addr> = (0..vms)
            .map(|at| {
                let (high, low) = (64 + (pid / 250 % 60), pid % 250);
                Ipv4Addr::new(127, high as u8, low as u8, 10 + at as u8)
            })
            .collect();
        // The port for other VMs is the same on all machines.
        let peers_port = free_port(ips[0])?;
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| format!("{ip}:8229")).collect();
        let mut site = Site { store, vms: Vec::new(), folder };
        for (at, ip) in ips.iter().enumerate() {
            let name = format!("edge-{at}");
            let address = |port| SocketAddr::new(IpAddr::V4(*ip), port);
            let callers = address(free_port(*ip)?);
            let readiness = address(free_port(*ip)?);
            let metrics = address(free_port(*ip)?);
            let values = [
                ("node_name", name.clone()),
                ("zone", format!("zone-{at}")),
                ("limits.link_mbps", "1000.0".to_owned()),
                ("limits.cpu_quota", "0.25".to_owned()),
                ("limits.memory_mb", sheet.memory_mb.to_string()),
                ("limits.max_fds", "4100".to_owned()),
                ("listen.frontend", callers.to_string()),
                ("listen.readiness", readiness.to_string()),
                ("internal_port_range.0", peers_port.to_string()),
                ("platform.address", site.store.address.to_string()),
                ("seed_nodes", seeds.join(",")),
                ("bounds.revoke_ms", "5000".to_owned()),
                ("bounds.fail_closed", "true".to_owned()),
                ("bounds.retry_budget_ratio", "0.9".to_owned()),
                ("bounds.retry_min_extra", "58".to_owned()),
                ("bounds.retry_window_s", "10".to_owned()),
                ("bounds.session_s", "5".to_owned()),
                ("bounds.canary_share", "0.15".to_owned()),
                ("bounds.canary_tolerance", "30".to_owned()),
                ("bounds.grace_s", "8".to_owned()),
                ("bounds.warmup_overshoot", String::new()),
                ("bounds.warmup_tolerance", String::new()),
                ("ip", ip.to_string()),
            ];
            let mut settings =
                template.replace("{{ip}}:9464", &metrics.to_string());
            for (gap, value) in &values {
                settings = settings.replace(&format!("{{{{{gap}}}}}"), value);
            }
            let folder = site.folder.join(&name);
            fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
            fs::write(folder.join("boot.toml"), settings)
                .map_err(|e| e.to_string())?;
            let child = None;
            site.vms.push(Vm { callers, readiness, folder, child });
        }
        Ok(site)
    }

    /// Starts all VMs and waits until they are ready.
    pub fn start(&mut self) -> Result<(), String> {
        for vm in &mut self.vms {
            vm.start()?;
        }
        self.wait_until_ready()
    }

    /// Waits until all VMs are ready that have been started.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.vms.iter().all(|vm| vm.child.is_none() || vm.is_ready()) {
            if Instant::now() > until {
                return Err("the VMs are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Registers a replica in the store.
    #[allow(clippy::too_many_arguments)]
    pub fn register(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        zone: usize,
        capacity: u32,
        born_ms: u128,
        state: &str,
    ) {
        let store = &self.store;
        Site::register_in(
            store, id, service, address, zone, capacity, born_ms, state,
        );
    }

    #[allow(clippy::too_many_arguments)]
    pub fn register_in(
        store: &Store,
        id: &str,
        service: &str,
        address: SocketAddr,
        zone: usize,
        capacity: u32,
        born_ms: u128,
        state: &str,
    ) {
        let document = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-{zone}","version":"v1","capacity":{capacity},"state":"{state}","warmup_left_ms":0,"sequence":1,"born":{born_ms}}}"#
        );
        store.put(&format!("servers/{id}"), &document);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            vm.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Vm {
    pub fn start(&mut self) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .map_err(|error| error.to_string())?;
        let settings = self.folder.join("boot.toml");
        // The command of the deploy file.
        let child = Command::new(PROGRAM)
            .args(["gateway", "--settings"])
            .arg(&settings)
            .env("LUPINSEAM_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /lupinseam/readyz HTTP/1.1\r\nHost: x\r\n\
                    Connection: close\r\n\r\n";
        let limit = Duration::from_secs(1);
        http::call(self.readiness, head, &[], limit).status == 200
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn free_port(ip: Ipv4Addr) -> Result<u16, String> {
    let listener =
        TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    Ok(address.port())
}

/// The operator's configuration, with the limits and routes of the pages'
/// examples.
pub fn configuration(version: u64) -> String {
    configuration_with_keys(version, &[KEY])
}

/// The same with these keys of the only tenant.
pub fn configuration_with_keys(version: u64, keys: &[&str]) -> String {
    let keys = keys.join(r#"",""#);
    let route = |name: &str, kind: &str, service: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","type":"{kind}","priority":1,"service":"{service}","public":false,{rest}}}"#
        )
    };
    let stream = r#""timeout_ms":25000,"target_latency_ms":3000,"max_attempts":3,"session_affinity":true,"stream_resume":true,"itl_target_ms":1200"#;
    let once = r#""timeout_ms":20000,"target_latency_ms":1500,"max_attempts":3,"session_affinity":true,"stream_resume":false,"itl_target_ms":1200"#;
    let plain =
        r#""timeout_ms":1500,"target_latency_ms":100,"max_attempts":3"#;
    let routes = [
        route("draft", "streaming", MODELS, stream),
        route("once", "streaming", MODELS, once),
        route("sign", "non_idempotent", PLAIN, plain),
        route("receipt", "idempotent", PLAIN, plain),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{MODELS}","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"inference_engine":{{"capacity":64,"kv_capacity_tokens":431395,"models":[]}}}},{{"name":"{PLAIN}","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{keys}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}
