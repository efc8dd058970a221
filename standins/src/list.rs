//! The platform's list of VMs, which lags behind what is.

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

/// A new content of the list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ListContent {
    /// The VMs, as the list shows them.
    pub vms: Vec<Value>,
    /// For a viewer, other addresses by the address of the entry: paths
    /// through proxies that inject faults.
    #[serde(default)]
    pub paths: HashMap<String, HashMap<String, String>>,
}

struct Shown {
    number: u64,
    content: Arc<ListContent>,
}

struct Service {
    lag: Duration,
    shown: Mutex<Shown>,
    coming: Mutex<VecDeque<(Instant, ListContent)>>,
}

impl List {
    /// Serves until it is ended.
    pub fn run(self) {
        let service = Service {
            lag: Duration::from_millis(self.lag_ms),
            shown: Mutex::new(Shown { number: 1, content: Arc::default() }),
            coming: Mutex::default(),
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
                self.coming.lock().unwrap().push_back((at, content));
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
                Some(paths) => seen_through(vm, paths),
                None => vm.clone(),
            })
            .collect();
        let conn = conn.with_response_header(KnownHeaderName::Etag, tag);
        web::json(conn, 200, &vms)
    }

    fn current(&self) -> (u64, Arc<ListContent>) {
        let mut shown = self.shown.lock().unwrap();
        let mut coming = self.coming.lock().unwrap();
        while coming.front().is_some_and(|(at, _)| *at <= Instant::now()) {
            if let Some((_, content)) = coming.pop_front() {
                shown.number += 1;
                shown.content = Arc::new(content);
            }
        }
        (shown.number, shown.content.clone())
    }
}

fn seen_through(vm: &Value, paths: &HashMap<String, String>) -> Value {
    let mut vm = vm.clone();
    let address = vm["address"].as_str().unwrap_or_default().to_owned();
    if let Some(path) = paths.get(&address) {
        vm["address"] = Value::from(path.as_str());
    }
    vm
}
