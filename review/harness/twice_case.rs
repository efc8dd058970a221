//! A new configuration says that the streams of a route may no longer be
//! resumed, so that their requests run at most once. Their callers leave the
//! choice of the model to the system.

use std::{collections::BTreeMap, thread, time::Duration};

use crate::{
    site::{CONFIG_APPLY, Site},
    streams::{Size, StreamReplica, read_stream},
};

const SERVICE: &str = "redaction";
const ROUTE: &str = "brief";

/// Models, the smallest first, with the confidence that each states in its
/// answers to these requests.
const CONFIDENCES: [(&str, u64); 3] = [("m0", 15), ("m1", 45), ("m2", 90)];

const REQUESTS: usize = 20;

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder)?;
    configure(&site, 1, true);
    let mut replicas = Vec::new();
    for number in 0..4 {
        let size = Size { slots: 64, tokens: 431_395 };
        let id = format!("i-m{number}");
        let record = &site.record;
        let replica =
            StreamReplica::start_models(&id, size, &CONFIDENCES, record);
        replica.register(&site, SERVICE, "m0");
        replicas.push(replica);
    }
    site.start()?;
    thread::sleep(Duration::from_secs(8));
    if has_trouble {
        site.record.line("the configuration changes");
        configure(&site, 2, false);
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let mut answered = 0;
    for number in 0..REQUESTS {
        let vm = &site.vms[number % site.vms.len()];
        let (id, request) = request();
        site.record.line(&format!("{id} /{ROUTE}/ sent to {}", vm.name));
        let limit = Duration::from_secs(20);
        let streamed = read_stream(vm.callers, &request, limit)
            .ok_or("no connection to a VM")?;
        answered += usize::from(streamed.is_whole && streamed.status == 200);
        site.record.line(&format!(
            "{id} answered {}, {} events",
            streamed.status,
            streamed.ids.len()
        ));
        thread::sleep(Duration::from_millis(200));
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for id in replicas.iter().flat_map(StreamReplica::begun) {
        *runs.entry(id).or_default() += 1;
    }
    let twice = runs.values().filter(|runs| **runs > 1).count();
    site.record.line(&format!(
        "of {REQUESTS} requests, {answered} were answered whole; {twice} ran \
         more than once, which {} allowed",
        if has_trouble { "is not" } else { "is" }
    ));
    if runs.len() < REQUESTS / 2 {
        return Err("hardly any request ran".to_owned());
    }
    // Without the change, the requests may be repeated.
    Ok(has_trouble && twice > 0)
}

fn configure(site: &Site, version: u64, may_resume: bool) {
    let value = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-{ROUTE}\",\
         \"host\":\"site.example\",\"path_prefix\":\"/{ROUTE}/\",\
         \"type\":\"streaming\",\"timeout_ms\":20000,\
         \"target_latency_ms\":1500,\"priority\":0,\
         \"sizes\":[\"m0\",\"m1\",\"m2\"],\"service\":\"{SERVICE}\",\
         \"max_attempts\":3,\"public\":false,\"session_affinity\":true,\
         \"stream_resume\":{may_resume},\"itl_target_ms\":1200}}],\"services\":[\
         {{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":370,\"inference_engine\":{{\"capacity\":64,\
         \"kv_capacity_tokens\":431395,\"models\":[\
         {{\"name\":\"m0\",\"cost\":0.023}},{{\"name\":\"m1\",\"cost\":0.18}},\
         {{\"name\":\"m2\",\"cost\":0.35}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"village\",\"api_keys\":[\"key-1\"]}}]}}"
    );
    site.store.put("op/config", &value);
}

/// Returns the id of a new request and its text.
fn request() -> (String, String) {
    let (id, _) = Site::request_text(ROUTE, "");
    let text = format!(
        "POST /{ROUTE}/{id}?events=5 HTTP/1.1\r\nHost: site.example\r\n\
         Lupinseam-Attempt-Id: {id}\r\nLupinseam-Deadline-Ms: 20000\r\n\
         Api-Key: key-1\r\nLupinseam-Model: *\r\n\
         Lupinseam-Token-Count: 630,290\r\n\
         Lupinseam-Prefix-Hash: 5c1e07a2:119,{id}:511\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    (id, text)
}
