//! Runs gateway VMs of which one is partitioned from all upstreams, while
//! callers, the store and the other VM still reach it.
//!
//! Each VM has a store of its own, which lists the same upstreams: at their
//! addresses for one VM, and behind proxies for the partitioned one.

use std::{net::TcpStream, path::PathBuf, thread, time::Duration};

use rustix::process::Signal;
use standins::{
    gateway_site::{
        MODELS, PLAIN, Site, configuration, exchange, request, stream_request,
        upstream_record, wait_until,
    },
    http_raw::RawRequest,
    platform_store::PlatformStore,
    proxy::{Mode, Proxy},
    scripted::{Streamed, Upstream, always_responds, streams},
};

/// Revocation limit of the site; no test reaches it.
const REVOKE_MS: u64 = 8_000;

/// Callers' requests in one phase of a test.
const REQUESTS: usize = 40;

/// Two VMs before the same upstreams; the first reaches them through proxies.
struct Partition {
    site: Site,
    upstreams: Vec<Upstream>,
    proxies: Vec<Proxy>,
}

impl Partition {
    fn start() -> Partition {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
        let mut site = Site::new(program, &["vm"], REVOKE_MS);
        let stores = [PlatformStore::start(), PlatformStore::start()];
        let plain = || always_responds(200, "hello");
        let events = || streams(|_| Streamed::default());
        let upstreams = vec![
            Upstream::start("i-1", plain()),
            Upstream::start("i-2", plain()),
            Upstream::start("i-3", events()),
            Upstream::start("i-4", events()),
        ];
        let proxies: Vec<Proxy> = upstreams
            .iter()
            .map(|upstream| Proxy::tcp(upstream.address).expect("a proxy"))
            .collect();
        for store in &stores {
            store.put("op/config", &configuration(1));
        }
        for (number, upstream) in upstreams.iter().enumerate() {
            let service = if number < 2 { PLAIN } else { MODELS };
            let addresses = [proxies[number].address, upstream.address];
            for (store, address) in stores.iter().zip(addresses) {
                let record = upstream_record(address, service, "v1", "ready");
                store.put(&format!("servers/{}", upstream.id), &record);
            }
        }
        for (store, hall) in stores.into_iter().zip(["hall-a", "hall-b"]) {
            let address = store.address;
            let at = site.add_vm(hall, store, address);
            site.vms[at].start();
        }
        for vm in &site.vms {
            wait_until("the VM is ready", || vm.is_ready());
            wait_until("the VM knows the upstreams", || {
                vm.lines("E043").len() >= upstreams.len()
            });
        }
        // Heartbeats between the VMs.
        thread::sleep(Duration::from_millis(500));
        let partition = Partition { site, upstreams, proxies };
        assert_eq!(partition.served("before"), REQUESTS);
        partition
    }

    /// Sets how the first VM's connections to upstreams are treated, and waits
    /// until that holds. On a busy machine an open connection outlived a fixed
    /// wait, and its upstream still ran a request that was then sent again.
    fn set_mode(&self, mode: Mode) {
        for proxy in &self.proxies {
            proxy.set_mode(mode);
        }
        for proxy in &self.proxies {
            let accepts = || TcpStream::connect(proxy.address).is_ok();
            match mode {
                Mode::Gone => wait_until("the proxy is gone", || {
                    !accepts() && proxy.open_connections() == 0
                }),
                Mode::Pass => wait_until("the proxy is back", accepts),
                // Open connections forward nothing from now on.
                _ => {}
            }
        }
    }

    /// Sends requests of all kinds to the first VM; returns how many are
    /// answered in full.
    fn served(&self, name: &str) -> usize {
        let is_served = |number: &usize| {
            let id = format!("{name}-{number}");
            let text = match number % 3 {
                0 => request("GET", "/read/x", &id, ""),
                1 => request("POST", "/once/x", &id, ""),
                _ => stream_request("/write/x", &id),
            };
            let got = self.site.vms[0].ask(&text);
            let is_served = got.status == 200 && got.whole;
            if !is_served {
                eprintln!("{id} is not served: {got:?}");
            }
            is_served
        };
        (0..REQUESTS).filter(is_served).count()
    }

    /// Ends the partition; all requests are answered soon afterwards.
    fn end(&self) {
        self.set_mode(Mode::Pass);
        thread::sleep(Duration::from_secs(2));
        assert_eq!(self.served("after"), REQUESTS);
    }

    /// Returns what upstreams have received with this attempt id.
    fn received<'a>(
        &'a self,
        id: &'a str,
    ) -> impl Iterator<Item = RawRequest> + 'a {
        let received = self.upstreams.iter().flat_map(Upstream::received);
        received.filter(move |r| r.header("lupinseam-attempt-id") == id)
    }

    /// Returns how often upstreams have received each request at most.
    fn most_runs(&self) -> usize {
        let received = self.upstreams.iter().flat_map(|u| u.received());
        let mut counts = std::collections::HashMap::new();
        for request in received {
            let id = request.header("lupinseam-attempt-id").to_owned();
            *counts.entry(id).or_insert(0) += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }
}

#[test]
fn a_vm_partitioned_from_upstreams_serves_through_another_vm() {
    let partition = Partition::start();
    partition.set_mode(Mode::Gone);
    assert_eq!(partition.served("during"), REQUESTS);
    assert_eq!(partition.most_runs(), 1, "a request ran twice");
    partition.end();
}

/// New connections get no reply, and open ones stay open without one.
#[test]
fn a_vm_whose_connections_hang_serves_through_another_vm() {
    let partition = Partition::start();
    partition.set_mode(Mode::Silent);
    // Callers notice the partition until the VM does.
    partition.served("first");
    assert_eq!(partition.served("during"), REQUESTS);
    partition.end();
}

/// A VM in its graceful shutdown refused to connect to upstreams for others.
#[test]
fn a_partitioned_vm_serves_through_the_last_vm_while_that_one_stops() {
    let partition = Partition::start();
    partition.set_mode(Mode::Gone);
    partition.site.vms[1].signal(Signal::TERM);
    // The heartbeat that says so.
    thread::sleep(Duration::from_millis(200));
    assert_eq!(partition.served("during"), REQUESTS);
}

/// Guards against a VM that stops and ends under the streams that it relays.
#[test]
fn a_relayed_stream_outlasts_the_stop_of_the_vm_that_relays_it() {
    const LAST_EVENT: u64 = 16;
    const PAUSE: Duration = Duration::from_millis(250);
    let mut partition = Partition::start();
    for upstream in &partition.upstreams[2..] {
        upstream.set_script(streams(|_| Streamed {
            last: LAST_EVENT,
            pause: PAUSE,
            ..Streamed::default()
        }));
    }
    partition.set_mode(Mode::Gone);
    let callers = partition.site.vms[0].callers;
    let asked = thread::spawn(move || {
        exchange(callers, stream_request("/write/x", "long").as_bytes())
    });
    wait_until("the stream has begun", || {
        partition.received("long").count() > 0
    });
    partition.site.vms[1].signal(Signal::TERM);
    let got = asked.join().unwrap();
    assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    assert_eq!(partition.received("long").count(), 1, "it ran twice");
    wait_until("the VM has ended", || partition.site.vms[1].has_ended());
    let cut = partition.site.vms[1].lines("E005");
    assert!(cut.is_empty(), "its grace period ended first: {cut:?}");
}
