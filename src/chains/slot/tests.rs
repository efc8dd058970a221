//! Tests one slot at three VMs, with store faults, partitions and wrong
//! beliefs about which VMs are alive.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex as StdMutex,
        atomic::{AtomicBool, AtomicI32, Ordering},
    },
    time::SystemTime,
};

use async_trait::async_trait;
use proptest::prelude::*;
use smol::{block_on, lock::Mutex};

use super::*;
use crate::{
    chains::{
        claim::{ClaimKey, RequestHash},
        memory_store::{Fault, MemoryStore},
        store::{PutOutcome, Store, StoreEntry, VersionedValue},
    },
    clock::Clock,
    id::{Incarnation, OrganisationId, RequestId},
};

const VMS: usize = 3;
const OFFLINE_MAX: Duration = Duration::from_secs(60);
const GAP_HOLD: Duration = Duration::from_secs(100);

/// A clock that advances only when a test tells it to.
struct ManualClock {
    start: BootInstant,
    elapsed: StdMutex<Duration>,
}

impl Clock for ManualClock {
    fn now(&self) -> BootInstant {
        self.start + *self.elapsed.lock().unwrap()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
            + Duration::from_secs(1_000_000)
            + *self.elapsed.lock().unwrap()
    }
}

/// One VM's connection to the store, which can be cut.
struct StoreLink {
    store: Arc<MemoryStore>,
    is_cut: AtomicBool,
    /// Number of calls after which the connection is cut, if not negative.
    cut_after: AtomicI32,
}

impl StoreLink {
    fn check(&self) -> Result<(), StoreError> {
        if self.cut_after.fetch_sub(1, Ordering::Relaxed) == 0 {
            self.is_cut.store(true, Ordering::Relaxed);
        }
        match self.is_cut.load(Ordering::Relaxed) {
            true => Err(StoreError::NotApplied("connection cut".to_owned())),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl Store for StoreLink {
    async fn get(
        &self,
        key: &str,
    ) -> Result<Option<VersionedValue>, StoreError> {
        self.check()?;
        self.store.get(key).await
    }

    async fn wait(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<VersionedValue>, StoreError> {
        self.check()?;
        self.store.wait(key, limit).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Vec<StoreEntry>, StoreError> {
        self.check()?;
        self.store.list(prefix, after).await
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        condition: Condition,
    ) -> Result<PutOutcome, StoreError> {
        self.check()?;
        self.store.put(key, value, condition).await
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.check()?;
        self.store.delete(key).await
    }
}

type SharedSlot = Arc<Mutex<Slot<SimulatedPeers>>>;

/// Which VMs the others believe to be gone, and which are partitioned.
struct Network {
    slots: StdMutex<Vec<SharedSlot>>,
    gone: StdMutex<[bool; VMS]>,
    partitioned: StdMutex<[bool; VMS]>,
}

#[derive(Clone)]
struct SimulatedPeers {
    me: usize,
    network: Arc<Network>,
}

fn incarnation(number: usize) -> VmIncarnation {
    VmIncarnation {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn number(incarnation: &VmIncarnation) -> usize {
    incarnation.vm.as_str()[3..].parse().unwrap()
}

impl SlotPeers for SimulatedPeers {
    async fn is_gone(&self, incarnation: &VmIncarnation) -> bool {
        let other = number(incarnation);
        let gone = self.network.gone.lock().unwrap();
        let partitioned = self.network.partitioned.lock().unwrap();
        other != self.me
            && (gone[other] || partitioned[other] || partitioned[self.me])
    }

    fn pick_deputy(&self) -> Option<VmIncarnation> {
        let gone = self.network.gone.lock().unwrap();
        let next = (self.me + 1..self.me + VMS).map(|n| n % VMS);
        next.into_iter().find(|n| !gone[*n]).map(incarnation)
    }

    async fn send_copies(
        &self,
        deputy: &VmIncarnation,
        request: CopyRequest,
    ) -> bool {
        let other = number(deputy);
        let is_partitioned = {
            let partitioned = self.network.partitioned.lock().unwrap();
            partitioned[other] || partitioned[self.me]
        };
        if is_partitioned {
            return false;
        }
        let slot = self.network.slots.lock().unwrap()[other].clone();
        slot.lock().await.store_copies(request).await
    }
}

/// The simulated VMs, their store and network, and the claims granted so far.
struct Simulation {
    clock: Arc<ManualClock>,
    store: Arc<MemoryStore>,
    store_links: Vec<Arc<StoreLink>>,
    network: Arc<Network>,
    slots: Vec<SharedSlot>,
    next_sequence: u64,
    /// Requests that were granted and not settled as not run, by key, with the
    /// time of the grant.
    granted: HashMap<u8, Vec<(ClaimRequest, Duration)>>,
}

impl Simulation {
    fn new() -> Simulation {
        let clock = Arc::new(ManualClock {
            start: BootInstant::now(),
            elapsed: StdMutex::default(),
        });
        let store = Arc::new(MemoryStore::default());
        let network = Arc::new(Network {
            slots: StdMutex::default(),
            gone: StdMutex::default(),
            partitioned: StdMutex::default(),
        });
        let mut simulation = Simulation {
            clock,
            store,
            store_links: Vec::new(),
            network,
            slots: Vec::new(),
            next_sequence: 1,
            granted: HashMap::new(),
        };
        for me in 0..VMS {
            simulation.add_vm(me);
        }
        *simulation.network.slots.lock().unwrap() = simulation.slots.clone();
        simulation
    }

    fn add_vm(&mut self, me: usize) {
        let link = Arc::new(StoreLink {
            store: self.store.clone(),
            is_cut: AtomicBool::new(false),
            cut_after: AtomicI32::new(-1),
        });
        let slot = Slot::new(
            0,
            incarnation(me),
            settings(),
            Duration::from_secs(1_000_000),
            link.clone(),
            self.clock.clone(),
            SimulatedPeers { me, network: self.network.clone() },
        );
        self.store_links.push(link);
        self.slots.push(Arc::new(Mutex::new(slot)));
    }

    fn wait(&self, seconds: u64) {
        let mut elapsed = self.clock.elapsed.lock().unwrap();
        *elapsed += Duration::from_secs(seconds);
    }

    fn cut_store(&self, vm: usize, is_cut: bool) {
        self.store_links[vm].is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn set_gone(&self, vm: usize, is_gone: bool) {
        self.network.gone.lock().unwrap()[vm] = is_gone;
    }

    fn request(&mut self, key: u8) -> ClaimRequest {
        let organisation: OrganisationId = "desk".parse().unwrap();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        ClaimRequest {
            key: ClaimKey::new(&organisation, &key.to_string()),
            body: RequestHash(key.into()),
            request: RequestId {
                vm: "vm-0".parse().unwrap(),
                incarnation: Incarnation(1),
                sequence,
            },
        }
    }

    /// Claims a key at a VM as a router would. Returns whether it was granted.
    fn claim(&mut self, vm: usize, key: u8) -> bool {
        let request = self.request(key);
        let slot = self.slots[vm].clone();
        let verdicts = block_on(async {
            slot.lock().await.claim(std::slice::from_ref(&request)).await
        });
        match &verdicts[0] {
            ClaimVerdict::Granted => {
                let at = *self.clock.elapsed.lock().unwrap();
                let granted = self.granted.entry(key).or_default();
                granted.push((request, at));
                true
            }
            ClaimVerdict::Unavailable { .. } => {
                // The router settles such a claim as not run.
                self.settle(vm, &request, ClaimOutcome::NotRun);
                false
            }
            _ => false,
        }
    }

    fn settle(
        &self,
        vm: usize,
        request: &ClaimRequest,
        outcome: ClaimOutcome,
    ) {
        let slot = self.slots[vm].clone();
        block_on(async {
            let mut slot = slot.lock().await;
            if slot.is_owner() {
                slot.settle(request, outcome);
            }
        });
    }

    fn tick(&self, vm: usize) {
        let slot = self.slots[vm].clone();
        block_on(async { slot.lock().await.tick().await });
    }

    /// Asserts that no key was granted twice within `gap_hold`, the time for
    /// which callers may repeat a request.
    fn assert_no_duplicate_grants(&self) {
        for (key, granted) in &self.granted {
            let duplicate = granted
                .windows(2)
                .find(|pair| pair[1].1 - pair[0].1 < GAP_HOLD);
            assert!(duplicate.is_none(), "key {key}: {duplicate:?}");
        }
    }
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        slots: 1,
        commit: Duration::from_millis(1),
        offline_max: OFFLINE_MAX,
        gap_hold: GAP_HOLD,
        retention: Duration::from_secs(1_000_000),
        answer_limit_bytes: 100,
    }
}

#[test]
fn an_owner_grants_offline_while_its_deputy_stores_copies() {
    let mut simulation = Simulation::new();
    assert!(simulation.claim(0, 1));
    for vm in 0..VMS {
        simulation.cut_store(vm, true);
    }
    assert!(simulation.claim(0, 2));
    assert!(!simulation.claim(0, 2), "a repeated request is not granted");
    assert!(!simulation.claim(1, 3), "no other VM grants claims");
    simulation.network.partitioned.lock().unwrap()[1] = true;
    assert!(!simulation.claim(0, 4), "no grants without the deputy");
    simulation.network.partitioned.lock().unwrap()[1] = false;
    assert!(simulation.claim(0, 5));
    simulation.wait(OFFLINE_MAX.as_secs());
    assert!(!simulation.claim(0, 6), "no grants after offline_max");
}

#[test]
fn a_deputy_takes_over_with_its_copies_of_claims() {
    let mut simulation = Simulation::new();
    assert!(simulation.claim(0, 1));
    simulation.cut_store(0, true);
    assert!(simulation.claim(0, 2));
    simulation.set_gone(0, true);
    assert!(!simulation.claim(1, 2), "the deputy has a copy of the claim");
    assert!(simulation.claim(1, 3));
    assert!(!simulation.claim(0, 4), "the deputy accepts no more copies");
    simulation.cut_store(0, false);
    simulation.set_gone(0, false);
    assert!(!simulation.claim(0, 3));
    simulation.assert_no_duplicate_grants();
}

#[test]
fn a_third_vm_takes_over_after_offline_max() {
    let mut simulation = Simulation::new();
    assert!(simulation.claim(0, 1));
    simulation.set_gone(0, true);
    simulation.set_gone(1, true);
    assert!(!simulation.claim(2, 2), "the takeover is only announced");
    simulation.wait(OFFLINE_MAX.as_secs() / 2);
    assert!(!simulation.claim(2, 2), "offline_max has not elapsed");
    simulation.wait(OFFLINE_MAX.as_secs());
    assert!(!simulation.claim(2, 2), "unknown keys are answered with Gap");
    simulation.wait(GAP_HOLD.as_secs());
    assert!(simulation.claim(2, 2));
    assert!(!simulation.claim(2, 1), "known keys stay known");
}

#[test]
fn a_live_owner_objects_to_a_takeover() {
    let mut simulation = Simulation::new();
    assert!(simulation.claim(0, 1));
    simulation.set_gone(0, true);
    simulation.set_gone(1, true);
    assert!(!simulation.claim(2, 2));
    simulation.wait(OFFLINE_MAX.as_secs() / 2);
    // Otherwise VM 2 would be named the deputy, which may take over at once.
    simulation.set_gone(2, true);
    simulation.tick(0);
    simulation.set_gone(2, false);
    simulation.wait(OFFLINE_MAX.as_secs());
    assert!(!simulation.claim(2, 2), "the takeover must be announced again");
    assert!(simulation.claim(0, 2));
    simulation.assert_no_duplicate_grants();
}

#[test]
fn a_handover_makes_the_deputy_the_owner_at_once() {
    let mut simulation = Simulation::new();
    assert!(simulation.claim(0, 1));
    let slot = simulation.slots[0].clone();
    block_on(async { slot.lock().await.hand_over().await });
    assert!(!simulation.claim(0, 2));
    assert!(simulation.claim(1, 2));
    assert!(!simulation.claim(1, 1));
}

#[derive(Clone, Debug)]
enum Action {
    Claim { vm: usize, key: u8 },
    SettleNotRun { key: u8 },
    Tick { vm: usize },
    Wait { seconds: u64 },
    CutStore { vm: usize, is_cut: bool },
    CutStoreAfter { vm: usize, calls: i32 },
    Gone { vm: usize, is_gone: bool },
    Partition { vm: usize, is_on: bool },
    Fault(Fault),
    HandOver { vm: usize },
}

fn action() -> impl Strategy<Value = Action> {
    let fault = prop_oneof![
        Just(Fault::NotApplied),
        Just(Fault::LostRequest),
        Just(Fault::LostResponse),
    ];
    prop_oneof![
        12 => (0..VMS, 0..4_u8)
            .prop_map(|(vm, key)| Action::Claim { vm, key }),
        2 => (0..4_u8).prop_map(|key| Action::SettleNotRun { key }),
        4 => (0..VMS).prop_map(|vm| Action::Tick { vm }),
        2 => (1..80_u64).prop_map(|seconds| Action::Wait { seconds }),
        4 => (0..VMS, any::<bool>())
            .prop_map(|(vm, is_cut)| Action::CutStore { vm, is_cut }),
        3 => (0..VMS, 0..4_i32)
            .prop_map(|(vm, calls)| Action::CutStoreAfter { vm, calls }),
        3 => (0..VMS, any::<bool>())
            .prop_map(|(vm, is_gone)| Action::Gone { vm, is_gone }),
        2 => (0..VMS, any::<bool>())
            .prop_map(|(vm, is_on)| Action::Partition { vm, is_on }),
        3 => fault.prop_map(Action::Fault),
        1 => (0..VMS).prop_map(|vm| Action::HandOver { vm }),
    ]
}

fn act(simulation: &mut Simulation, action: &Action) {
    match action {
        Action::Claim { vm, key } => {
            simulation.claim(*vm, *key);
        }
        Action::SettleNotRun { key } => {
            let last = simulation.granted.get_mut(key).and_then(Vec::pop);
            let Some((request, at)) = last else { return };
            // Only an owner accepts the outcome; without one, the key stays
            // claimed.
            let has_owner = (0..VMS).any(|vm| {
                let slot = simulation.slots[vm].clone();
                block_on(async { slot.lock().await.is_owner() })
            });
            if !has_owner {
                let granted = simulation.granted.entry(*key).or_default();
                granted.push((request, at));
                return;
            }
            for vm in 0..VMS {
                simulation.settle(vm, &request, ClaimOutcome::NotRun);
            }
        }
        Action::Tick { vm } => simulation.tick(*vm),
        Action::Wait { seconds } => simulation.wait(*seconds),
        Action::CutStore { vm, is_cut } => simulation.cut_store(*vm, *is_cut),
        Action::CutStoreAfter { vm, calls } => {
            let link = &simulation.store_links[*vm];
            link.cut_after.store(*calls, Ordering::Relaxed);
        }
        Action::Gone { vm, is_gone } => simulation.set_gone(*vm, *is_gone),
        Action::Partition { vm, is_on } => {
            simulation.network.partitioned.lock().unwrap()[*vm] = *is_on;
        }
        Action::Fault(fault) => simulation.store.inject([*fault]),
        Action::HandOver { vm } => {
            let slot = simulation.slots[*vm].clone();
            block_on(async { slot.lock().await.hand_over().await });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        ..ProptestConfig::default()
    })]

    /// Under any order of partitions, lost calls, wrong beliefs about other
    /// VMs and waits, no key is granted to a second request while a first one
    /// has it.
    #[test]
    fn no_key_is_granted_twice(
        actions in prop::collection::vec(action(), 1..120),
    ) {
        let mut simulation = Simulation::new();
        for action in &actions {
            act(&mut simulation, action);
            simulation.assert_no_duplicate_grants();
        }
    }
}
