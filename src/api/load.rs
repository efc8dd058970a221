//! Polling of the upstreams' load reports.
//!
//! Each upstream is polled by one VM of its data hall, which gossips the
//! report to the others.

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

/// Timeout of one poll.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

const REPORT_LIMIT_BYTES: u64 = 64 * 1024;

/// The load report of an upstream, as JSON from its `/load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests in its own queue.
    pub waiting: u32,
    /// Model versions that it has loaded, as `model@version`.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Whether it is about to stop and must get no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Polls the load of the upstreams that are assigned to this VM, with 10 %
/// jitter; never returns.
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
    let sent_at = vm.clock.now();
    let call = Call::new(upstream.record.address, Method::GET, "/load");
    let response =
        vm.http.fetch(call, REPORT_TIMEOUT, REPORT_LIMIT_BYTES).await;
    let Ok(response) = response else { return };
    if response.status != 200 {
        return;
    }
    let Ok(report) = serde_json::from_slice::<LoadReport>(&response.body)
    else {
        return;
    };
    let versions =
        report.versions.iter().map(|name| ShortHash::of(name)).collect();
    upstream.set_load(report.running, report.waiting, versions, sent_at);
    if report.leaving && upstream.mark_leaving() {
        log_leaving(upstream, "reported by its load report");
        Gossiper::broadcast_notice(
            vm,
            UpstreamNotice::Leaving(upstream.short_hash),
        )
        .await;
    }
}

#[cfg(test)]
mod tests;
