//! A simulated fleet of gateway VMs with a clock that the test advances. The
//! VMs exchange heartbeats as real ones do: with all VMs of their data hall
//! and a few of the others.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use crate::{
    clock::{BootInstant, Clock},
    gateway::{Gateway, settings::GatewaySettings, tests::MINIMAL_SETTINGS},
    store_sync::{
        gossip::{self, HeartbeatRound},
        knowledge::PeerRecord,
    },
    unit::{Mbps, MilliCores},
};

/// Interval between two heartbeats of a VM; the default of its settings.
const HEARTBEAT_MS: u64 = 500;

/// Minimum interval between two heartbeats of a VM that has changes to send.
const MIN_HEARTBEAT_GAP_MS: u64 = 50;

/// Duration of one step.
pub(crate) const STEP_MS: u64 = 10;

/// A clock that stands still until it is advanced.
pub(crate) struct TestClock(Mutex<BootInstant>);

impl TestClock {
    pub(crate) fn advance(&self, time: Duration) {
        *self.0.lock().unwrap() += time;
    }
}

impl Clock for TestClock {
    fn now(&self) -> BootInstant {
        *self.0.lock().unwrap()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// A fleet with the same number of VMs in each data hall.
pub(crate) struct Fleet {
    pub(crate) clock: Arc<TestClock>,
    pub(crate) vms: Vec<Arc<Gateway>>,
    pub(crate) elapsed_ms: u64,
    by_address: HashMap<SocketAddr, usize>,
    /// When each VM sent its last heartbeats.
    last_heartbeat_ms: HashMap<usize, u64>,
    /// The VMs that are to send their next heartbeats early.
    early: BTreeSet<usize>,
    /// A data hall that exchanges no heartbeats with any other.
    pub(crate) partitioned_hall: Option<usize>,
    /// VMs that neither send nor receive messages.
    pub(crate) silent: BTreeSet<usize>,
    vms_per_hall: usize,
    /// Settings of the VMs in addition to the minimal ones.
    settings: &'static str,
}

fn address(vm: usize) -> SocketAddr {
    format!("127.0.{}.{}:9", vm / 200, vm % 200 + 1).parse().unwrap()
}

impl Fleet {
    /// Creates a fleet whose VMs all know of each other.
    pub(crate) fn new(halls: usize, vms_per_hall: usize) -> Fleet {
        Fleet::with_settings(halls, vms_per_hall, "")
    }

    /// Creates such a fleet whose VMs have these settings as well.
    pub(crate) fn with_settings(
        halls: usize,
        vms_per_hall: usize,
        settings: &'static str,
    ) -> Fleet {
        let clock = Arc::new(TestClock(Mutex::new(BootInstant::now())));
        let mut fleet = Fleet {
            clock,
            vms: Vec::new(),
            elapsed_ms: 0,
            by_address: HashMap::new(),
            last_heartbeat_ms: HashMap::new(),
            early: BTreeSet::new(),
            partitioned_hall: None,
            silent: BTreeSet::new(),
            vms_per_hall,
            settings,
        };
        let count = halls * vms_per_hall;
        fleet.vms = (0..count).map(|vm| fleet.start(vm, count)).collect();
        let addresses = (0..count).map(|vm| (address(vm), vm));
        fleet.by_address = addresses.collect();
        fleet
    }

    /// Starts a VM that knows of all others in a fleet of `count` VMs.
    fn start(&self, number: usize, count: usize) -> Arc<Gateway> {
        let settings = MINIMAL_SETTINGS
            .replace("id = vm-0", &format!("id = vm-{number}"))
            .replace("hall-a", &self.hall_name(number))
            .replace("127.0.0.1:3", &address(number).to_string());
        let settings = settings + self.settings;
        let settings = GatewaySettings::from_ini(&settings).unwrap();
        let vm = Gateway::new(settings, self.clock.clone());
        for other in (0..count).filter(|other| *other != number) {
            let record = PeerRecord {
                peers: address(other),
                data_hall: self.hall_name(other).parse().unwrap(),
                link_mbps: Mbps(20),
                cores: MilliCores(0),
            };
            vm.peers.set_record(&format!("vm-{other}"), &record);
        }
        vm
    }

    /// Restarts a VM, which loses all its state but the list of the others.
    pub(crate) fn restart(&mut self, number: usize) {
        self.vms[number] = self.start(number, self.vms.len());
    }

    /// Whether messages of one VM reach another.
    fn reaches(&self, from: usize, to: usize) -> bool {
        if [from, to].iter().any(|vm| self.silent.contains(vm)) {
            return false;
        }
        let halls = [from, to].map(|vm| vm / self.vms_per_hall);
        let is_partitioned =
            |hall: &usize| Some(*hall) == self.partitioned_hall;
        halls[0] == halls[1] || !halls.iter().any(is_partitioned)
    }

    /// Returns the VM that listens for others at an address.
    pub(crate) fn vm_at(&self, address: SocketAddr) -> usize {
        self.by_address[&address]
    }

    /// Returns the name of the data hall of a VM.
    pub(crate) fn hall_name(&self, vm: usize) -> String {
        format!("hall-{}", vm / self.vms_per_hall)
    }

    /// Advances the clock by one step and sends the heartbeats that are due.
    pub(crate) fn step(&mut self) {
        self.clock.advance(Duration::from_millis(STEP_MS));
        self.elapsed_ms += STEP_MS;
        for number in 0..self.vms.len() {
            // Heartbeats of a hall are spread over their interval.
            let phase = number as u64 * 7 * STEP_MS;
            let is_regular =
                (self.elapsed_ms + phase).is_multiple_of(HEARTBEAT_MS);
            let last_ms =
                self.last_heartbeat_ms.get(&number).copied().unwrap_or(0);
            let is_early = self.early.contains(&number)
                && self.elapsed_ms - last_ms >= MIN_HEARTBEAT_GAP_MS;
            if is_regular || is_early {
                self.send_heartbeats(number);
            }
        }
    }

    /// Makes a VM send its next heartbeats after the minimum interval.
    pub(crate) fn schedule_early_heartbeat(&mut self, number: usize) {
        self.early.insert(number);
    }

    fn send_heartbeats(&mut self, number: usize) {
        self.last_heartbeat_ms.insert(number, self.elapsed_ms);
        self.early.remove(&number);
        let mut round = HeartbeatRound::new(&self.vms[number]);
        while let Some((address, heartbeat)) = round.next_heartbeat() {
            let receiver = self.by_address[&address];
            if self.reaches(number, receiver) {
                gossip::receive_heartbeat(&self.vms[receiver], heartbeat);
            }
        }
    }
}
