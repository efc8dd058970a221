//! Stand-in for the platform's list of VMs, which shows changes with a delay.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use argh::FromArgs;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use trillium::{Conn, Handler, KnownHeaderName};

use crate::web;

/// Run the platform's list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct List {
    /// port; 0 lets the kernel choose
    #[argh(option, default = "0")]
    port: u16,
    /// time until a change shows, in milliseconds
    #[argh(option, default = "300")]
    lag_ms: u64,
}

/// Content of the list, set through `/admin/set`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ListContent {
    /// The entries of the VMs.
    pub vms: Vec<Value>,
    /// By the VM that reads the list, the addresses to show it in place of
    /// the entries' own, such as those of fault-injecting proxies.
    #[serde(default)]
    pub paths: HashMap<String, HashMap<String, String>>,
}

struct Shown {
    /// Version of the content, sent as the `ETag`.
    number: u64,
    content: Arc<ListContent>,
}

struct Service {
    lag: Duration,
    shown: Mutex<Shown>,
    /// Contents that are not shown yet, each with the time to show it.
    pending: Mutex<VecDeque<(Instant, ListContent)>>,
}

impl List {
    /// Serves until the process ends.
    pub fn run(self) {
        let service = Service {
            lag: Duration::from_millis(self.lag_ms),
            shown: Mutex::new(Shown { number: 1, content: Arc::default() }),
            pending: Mutex::default(),
        };
        web::run(self.port, service);
    }
}

#[async_trait]
impl Handler for Service {
    async fn run(&self, mut conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        if path == "/admin/set" {
            if let Some(content) = web::read_json(&mut conn).await {
                let at = Instant::now() + self.lag;
                self.pending.lock().unwrap().push_back((at, content));
            }
            return conn.ok("");
        }
        let Some(viewer) = path.strip_prefix("/vms") else {
            return conn.with_status(404).halt();
        };
        self.show(conn, viewer.trim_matches('/'))
    }
}

impl Service {
    fn show(&self, conn: Conn, viewer: &str) -> Conn {
        let (number, content) = self.current();
        let tag = format!("\"{number}\"");
        if web::header(&conn, "if-none-match").as_ref() == Some(&tag) {
            return conn.with_status(304).halt();
        }
        let paths = content.paths.get(viewer);
        let vms: Vec<Value> = content
            .vms
            .iter()
            .map(|vm| match paths {
                Some(paths) => with_path(vm, paths),
                None => vm.clone(),
            })
            .collect();
        let conn = conn.with_response_header(KnownHeaderName::Etag, tag);
        web::json(conn, 200, &vms)
    }

    /// Returns the content that is due, with its version.
    fn current(&self) -> (u64, Arc<ListContent>) {
        let mut shown = self.shown.lock().unwrap();
        let mut pending = self.pending.lock().unwrap();
        while pending.front().is_some_and(|(at, _)| *at <= Instant::now()) {
            if let Some((_, content)) = pending.pop_front() {
                shown.number += 1;
                shown.content = Arc::new(content);
            }
        }
        (shown.number, shown.content.clone())
    }
}

/// Returns the entry of a VM with its address replaced as `paths` says.
fn with_path(vm: &Value, paths: &HashMap<String, String>) -> Value {
    let mut vm = vm.clone();
    let address = vm["address"].as_str().unwrap_or_default().to_owned();
    if let Some(path) = paths.get(&address) {
        vm["address"] = Value::from(path.as_str());
    }
    vm
}
