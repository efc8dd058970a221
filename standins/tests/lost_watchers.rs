//! Runs gateway VMs that lose, at the moment of a change in the store, all VMs
//! that tell them of such changes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use standins::{
    gateway_site::{
        KEY, PLAIN, Site, configuration_with, exchange, request, route,
        wait_until,
    },
    proxy::{Mode, Proxy},
    scripted::{Upstream, always_responds},
};

/// Data halls of the VMs.
const HALLS: [&str; 9] = [
    "hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c",
    "hall-c", "hall-c",
];

/// Time within which a revoked key must be rejected everywhere.
const REVOKE_MS: u64 = 5_000;

/// Time after which a change must have taken effect, as specified by the
/// operators.
const CHANGE_TIME: Duration = Duration::from_secs(2);

/// How often the VMs that follow the store are lost in one test.
const ROUNDS: usize = 2;

/// For how long they are lost.
const LOST_TIME: Duration = Duration::from_secs(3);

/// Time over which the calls for changes are counted.
const FOLLOWED_TIME: Duration = Duration::from_secs(3);

/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(20);

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// How the VMs that follow the store for the others are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// Their processes are killed.
    Killed,
    /// Their processes are frozen.
    Frozen,
    /// Their processes are shut down gracefully.
    Stopped,
    /// The store rejects their calls; they still reach the other VMs.
    Rejected,
    /// The store does not answer them; they still reach the other VMs.
    Unanswered,
}

/// What changes in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreChange {
    /// The record of an upstream says that it is leaving.
    Leaving,
    /// The record of an upstream is removed.
    Removed,
    /// The configuration has a route less.
    RouteDropped,
}

/// A request of a caller: its id, and when it was sent.
type Sent = (String, Instant);

/// Nine VMs in three data halls.
struct LostWatchers {
    site: Site,
    /// The proxy between each VM and the store.
    store_proxies: Vec<Proxy>,
    staying: Upstream,
    changes: u64,
}

impl LostWatchers {
    fn start() -> LostWatchers {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
        let mut site = Site::new(program, &["vm"], REVOKE_MS);
        site.heartbeat_ms = 500;
        let staying = Upstream::start("i-stays", always_responds(200, "x"));
        site.register(&staying, PLAIN, "v1");
        let mut store_proxies = Vec::new();
        for hall in HALLS {
            let store = site.store.second_endpoint();
            let proxy = Proxy::tcp(store.address).expect("a proxy");
            site.add_vm(hall, store, proxy.address);
            store_proxies.push(proxy);
        }
        site.vms.iter_mut().for_each(|vm| vm.start());
        let changes = 1;
        let mut lost = LostWatchers { site, store_proxies, staying, changes };
        lost.wait_until_ready();
        lost
    }

    fn wait_until_ready(&mut self) {
        wait_until("all VMs are ready", || {
            self.site.vms.iter().all(|vm| vm.is_ready())
        });
    }

    /// Registers a new upstream and waits until all VMs know it.
    fn register_new(&mut self) -> Upstream {
        self.changes += 1;
        let id = format!("i-{}", self.changes);
        let upstream = Upstream::start(&id, always_responds(200, "x"));
        self.site.register(&upstream, PLAIN, "v1");
        wait_until("all VMs know the upstream", || {
            self.site.vms.iter().all(|vm| {
                let lines = vm.lines("E043");
                lines.iter().any(|line| line["upstream"] == upstream.id)
            })
        });
        upstream
    }

    /// Returns the VM of each data hall that asks the store for changes most
    /// often: those that follow it for the others.
    fn followers(&self) -> Vec<usize> {
        let watches = || -> Vec<usize> {
            self.site.vms.iter().map(|vm| vm.store.watches()).collect()
        };
        let before = watches();
        thread::sleep(FOLLOWED_TIME);
        let asked: Vec<usize> = watches()
            .iter()
            .zip(before)
            .map(|(now, before)| now - before)
            .collect();
        let halls: BTreeSet<&str> = HALLS.into_iter().collect();
        let first = |hall: &str| {
            let vms = (0..HALLS.len()).filter(|vm| HALLS[*vm] == hall);
            vms.max_by_key(|vm| asked[*vm]).expect("a VM in each hall")
        };
        halls.into_iter().map(first).collect()
    }

    fn set_lost(&mut self, vms: &[usize], loss: Loss) {
        for number in vms {
            let vm = &mut self.site.vms[*number];
            match loss {
                Loss::Killed => vm.kill(),
                Loss::Frozen => vm.signal(Signal::STOP),
                Loss::Stopped => vm.signal(Signal::TERM),
                Loss::Rejected => vm.store.reject(true),
                Loss::Unanswered => {
                    self.store_proxies[*number].set_mode(Mode::MuteAnswers);
                }
            }
        }
    }

    fn end_loss(&mut self, vms: &[usize], loss: Loss) {
        for number in vms {
            let vm = &mut self.site.vms[*number];
            match loss {
                Loss::Killed => vm.start(),
                Loss::Frozen => vm.signal(Signal::CONT),
                Loss::Stopped => {
                    vm.has_ended_well();
                    vm.start();
                }
                Loss::Rejected => vm.store.reject(false),
                Loss::Unanswered => {
                    self.store_proxies[*number].set_mode(Mode::Pass);
                }
            }
        }
        self.wait_until_ready();
        // The VMs agree again on those that follow the store.
        thread::sleep(Duration::from_secs(4));
    }

    fn apply(&mut self, change: StoreChange, upstream: &Upstream) {
        match change {
            StoreChange::Leaving => {
                self.site.register_as(upstream, PLAIN, "v1", "draining");
            }
            StoreChange::Removed => {
                self.site.store.remove(&format!("servers/{}", upstream.id));
            }
            StoreChange::RouteDropped => self.configure(false),
        }
    }

    /// Writes a configuration with or without the route to `/dropped/`.
    fn configure(&mut self, has_route: bool) {
        self.changes += 1;
        let dropped = route("dropped", "idempotent", PLAIN, 2, 1000);
        let more = if has_route { vec![dropped] } else { Vec::new() };
        let configuration =
            configuration_with(self.changes, &[KEY, "key-2"], more);
        self.site.store.put("op/config", &configuration);
    }

    /// Makes the followers fall out at the moment of a change, while callers
    /// send requests to the other VMs. Returns how long after the change the
    /// last request was sent that shows that its VM did not know of it.
    fn round(&mut self, loss: Loss, change: StoreChange) -> Duration {
        self.configure(true);
        let upstream = self.register_new();
        let followers = self.followers();
        let path = match change {
            StoreChange::RouteDropped => "/dropped/x",
            _ => "/read/x",
        };
        let others: Vec<_> = (0..HALLS.len())
            .filter(|vm| !followers.contains(vm))
            .map(|vm| self.site.vms[vm].callers)
            .collect();
        let (is_over, sent) = (AtomicBool::new(false), Mutex::default());
        let mut changed_at = Instant::now();
        thread::scope(|scope| {
            for (number, address) in others.iter().enumerate() {
                let (is_over, sent, round) = (&is_over, &sent, self.changes);
                scope.spawn(move || {
                    call_until(is_over, sent, *address, path, |call| {
                        format!("r-{round}-{number}-{call}")
                    });
                });
            }
            thread::sleep(Duration::from_millis(300));
            self.set_lost(&followers, loss);
            self.apply(change, &upstream);
            changed_at = Instant::now();
            thread::sleep(LOST_TIME);
            is_over.store(true, Ordering::Relaxed);
        });
        self.end_loss(&followers, loss);
        let mut received = upstream.received();
        if change == StoreChange::RouteDropped {
            received.extend(self.staying.received());
            self.site.store.remove(&format!("servers/{}", upstream.id));
        }
        let ids: Vec<&str> = received
            .iter()
            .map(|request| request.header("lupinseam-attempt-id"))
            .collect();
        let sent: Vec<Sent> = sent.into_inner().unwrap();
        sent.iter()
            .filter(|(id, _)| ids.contains(&id.as_str()))
            .map(|(_, at)| at.saturating_duration_since(changed_at))
            .max()
            .unwrap_or_default()
    }
}

/// Sends requests until `is_over`, and records each.
fn call_until(
    is_over: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    address: SocketAddr,
    path: &str,
    id: impl Fn(usize) -> String,
) {
    let mut call = 0;
    while !is_over.load(Ordering::Relaxed) {
        call += 1;
        let id = id(call);
        let text = request("GET", path, &id, "");
        let at = Instant::now();
        exchange(address, text.as_bytes());
        sent.lock().unwrap().push((id, at));
        thread::sleep(CALL_PAUSE);
    }
}

/// Asserts that all VMs know of a change in time, whenever those that follow
/// the store are lost in this way.
fn assert_known_in_time(loss: Loss, change: StoreChange) {
    let _guard = lock_site();
    let mut lost = LostWatchers::start();
    let latest: Vec<Duration> =
        (0..ROUNDS).map(|_| lost.round(loss, change)).collect();
    println!("{loss:?}, {change:?}: known after {latest:?}");
    assert!(
        latest.iter().all(|after| *after <= CHANGE_TIME),
        "{loss:?}, {change:?}: known after {latest:?}"
    );
}

#[test]
fn a_leaving_upstream_gets_nothing_once_all_watchers_are_killed() {
    assert_known_in_time(Loss::Killed, StoreChange::Leaving);
}

#[test]
fn a_leaving_upstream_gets_nothing_once_all_watchers_are_frozen() {
    assert_known_in_time(Loss::Frozen, StoreChange::Leaving);
}

#[test]
fn a_leaving_upstream_gets_nothing_once_all_watchers_are_stopped() {
    assert_known_in_time(Loss::Stopped, StoreChange::Leaving);
}

#[test]
fn a_leaving_upstream_gets_nothing_once_all_watchers_lose_the_store() {
    assert_known_in_time(Loss::Rejected, StoreChange::Leaving);
}

#[test]
fn a_leaving_upstream_gets_nothing_once_the_store_is_silent_to_watchers() {
    assert_known_in_time(Loss::Unanswered, StoreChange::Leaving);
}

#[test]
fn an_upstream_without_record_gets_nothing_once_all_watchers_are_killed() {
    assert_known_in_time(Loss::Killed, StoreChange::Removed);
}

#[test]
fn a_dropped_route_is_refused_once_all_watchers_are_killed() {
    assert_known_in_time(Loss::Killed, StoreChange::RouteDropped);
}
