//! Load reports of upstreams, asked for by one VM and told to its hall.

use std::{sync::Arc, time::Duration};

use futures_lite::StreamExt;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    api::{
        gossip::{Gossiper, log_leaving},
        vm::Vm,
    },
    http_client::Call,
    message::{ShortHash, UpstreamNotice},
    placing::upstream::Upstream,
    task,
};

/// Longest time that one report may take.
const REPORT_LIMIT: Duration = Duration::from_millis(400);

const REPORT_LIMIT_BYTES: u64 = 64 * 1024;

/// The load that an upstream reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Versions that it has loaded, as `model@version`.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Asks this VM's share of the upstreams for their load, while polled.
pub(crate) async fn poll_loop(vm: Arc<Vm>) {
    loop {
        let jitter = 0.9 + 0.2 * rand::random::<f64>();
        task::sleep(vm.settings.load_poll.mul_f64(jitter)).await;
        poll_all(&vm).await;
        vm.wake_queue();
    }
}

async fn poll_all(vm: &Arc<Vm>) {
    let mut polls = futures_lite::stream::iter(vm.view.upstreams_to_poll())
        .map(|upstream| {
            let vm = vm.clone();
            task::spawn(async move { poll(&vm, &upstream).await })
        })
        .collect::<Vec<_>>()
        .await;
    for poll in polls.drain(..) {
        poll.await;
    }
}

async fn poll(vm: &Arc<Vm>, upstream: &Arc<Upstream>) {
    let asked_at = vm.clock.now();
    let call = Call::new(upstream.record.address, Method::GET, "/load");
    let answer = vm.http.fetch(call, REPORT_LIMIT, REPORT_LIMIT_BYTES).await;
    let Ok(answer) = answer else { return };
    if answer.status != 200 {
        return;
    }
    let Ok(report) = serde_json::from_slice::<LoadReport>(&answer.body) else {
        return;
    };
    let versions =
        report.versions.iter().map(|name| ShortHash::of(name)).collect();
    upstream.set_load(report.running, report.waiting, versions, asked_at);
    if report.leaving && upstream.mark_leaving() {
        log_leaving(upstream, "by its own report");
        Gossiper::notify(vm, UpstreamNotice::Leaving(upstream.short_hash))
            .await;
    }
}
