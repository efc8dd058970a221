//! Three VMs and one slot, through whatever can go wrong.

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

/// A clock that is set.
struct SetClock {
    start: BootInstant,
    passed: StdMutex<Duration>,
}

impl Clock for SetClock {
    fn now(&self) -> BootInstant {
        self.start + *self.passed.lock().unwrap()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
            + Duration::from_secs(1_000_000)
            + *self.passed.lock().unwrap()
    }
}

/// One VM's way to the store, which can be cut.
struct Door {
    store: Arc<MemoryStore>,
    is_shut: AtomicBool,
    /// Calls after which it shuts by itself, if not negative.
    shuts_after: AtomicI32,
}

impl Door {
    fn pass(&self) -> Result<(), StoreError> {
        if self.shuts_after.fetch_sub(1, Ordering::Relaxed) == 0 {
            self.is_shut.store(true, Ordering::Relaxed);
        }
        match self.is_shut.load(Ordering::Relaxed) {
            true => Err(StoreError::NotApplied("shut".to_owned())),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl Store for Door {
    async fn get(
        &self,
        key: &str,
    ) -> Result<Option<VersionedValue>, StoreError> {
        self.pass()?;
        self.store.get(key).await
    }

    async fn wait(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<VersionedValue>, StoreError> {
        self.pass()?;
        self.store.wait(key, limit).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Vec<StoreEntry>, StoreError> {
        self.pass()?;
        self.store.list(prefix, after).await
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        condition: Condition,
    ) -> Result<PutOutcome, StoreError> {
        self.pass()?;
        self.store.put(key, value, condition).await
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.pass()?;
        self.store.delete(key).await
    }
}

type SharedSlot = Arc<Mutex<Slot<FakePeers>>>;

/// Whom one VM believes to be gone, and who can be reached.
struct Links {
    slots: StdMutex<Vec<SharedSlot>>,
    gone: StdMutex<[bool; VMS]>,
    cut: StdMutex<[bool; VMS]>,
}

#[derive(Clone)]
struct FakePeers {
    me: usize,
    links: Arc<Links>,
}

fn life(number: usize) -> VmIncarnation {
    VmIncarnation {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn number(life: &VmIncarnation) -> usize {
    life.vm.as_str()[3..].parse().unwrap()
}

impl SlotPeers for FakePeers {
    async fn is_gone(&self, life: &VmIncarnation) -> bool {
        let other = number(life);
        let gone = self.links.gone.lock().unwrap();
        let cut = self.links.cut.lock().unwrap();
        other != self.me && (gone[other] || cut[other] || cut[self.me])
    }

    fn pick_deputy(&self) -> Option<VmIncarnation> {
        let gone = self.links.gone.lock().unwrap();
        let next = (self.me + 1..self.me + VMS).map(|n| n % VMS);
        next.into_iter().find(|n| !gone[*n]).map(life)
    }

    async fn hold(
        &self,
        deputy: &VmIncarnation,
        request: HoldRequest,
    ) -> bool {
        let other = number(deputy);
        let is_cut = {
            let cut = self.links.cut.lock().unwrap();
            cut[other] || cut[self.me]
        };
        if is_cut {
            return false;
        }
        let slot = self.links.slots.lock().unwrap()[other].clone();
        slot.lock().await.hold(request).await
    }
}

struct World {
    clock: Arc<SetClock>,
    store: Arc<MemoryStore>,
    doors: Vec<Arc<Door>>,
    links: Arc<Links>,
    slots: Vec<SharedSlot>,
    next_sequence: u64,
    /// Requests that were granted and not given back, by key, with the
    /// time of the grant.
    holders: HashMap<u8, Vec<(ClaimRequest, Duration)>>,
}

impl World {
    fn new() -> World {
        let clock = Arc::new(SetClock {
            start: BootInstant::now(),
            passed: StdMutex::default(),
        });
        let store = Arc::new(MemoryStore::default());
        let links = Arc::new(Links {
            slots: StdMutex::default(),
            gone: StdMutex::default(),
            cut: StdMutex::default(),
        });
        let mut world = World {
            clock,
            store,
            doors: Vec::new(),
            links,
            slots: Vec::new(),
            next_sequence: 1,
            holders: HashMap::new(),
        };
        for me in 0..VMS {
            world.add_vm(me);
        }
        *world.links.slots.lock().unwrap() = world.slots.clone();
        world
    }

    fn add_vm(&mut self, me: usize) {
        let door = Arc::new(Door {
            store: self.store.clone(),
            is_shut: AtomicBool::new(false),
            shuts_after: AtomicI32::new(-1),
        });
        let slot = Slot::new(
            0,
            life(me),
            settings(),
            Duration::from_secs(1_000_000),
            door.clone(),
            self.clock.clone(),
            FakePeers { me, links: self.links.clone() },
        );
        self.doors.push(door);
        self.slots.push(Arc::new(Mutex::new(slot)));
    }

    fn wait(&self, seconds: u64) {
        let mut passed = self.clock.passed.lock().unwrap();
        *passed += Duration::from_secs(seconds);
    }

    fn shut(&self, vm: usize, is_shut: bool) {
        self.doors[vm].is_shut.store(is_shut, Ordering::Relaxed);
    }

    fn set_gone(&self, vm: usize, is_gone: bool) {
        self.links.gone.lock().unwrap()[vm] = is_gone;
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

    /// Asks a VM for a claim as a router would; true when granted.
    fn claim(&mut self, vm: usize, key: u8) -> bool {
        let request = self.request(key);
        let slot = self.slots[vm].clone();
        let verdicts = block_on(async {
            slot.lock().await.claim(std::slice::from_ref(&request)).await
        });
        match &verdicts[0] {
            ClaimVerdict::Granted => {
                let at = *self.clock.passed.lock().unwrap();
                let holders = self.holders.entry(key).or_default();
                holders.push((request, at));
                true
            }
            ClaimVerdict::Unavailable { .. } => {
                // The router gives such a claim back.
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

    /// No key was granted twice within the time for which a caller may
    /// repeat it, which is what `gap_hold` promises.
    fn assert_single(&self) {
        for (key, holders) in &self.holders {
            let doubled = holders
                .windows(2)
                .find(|pair| pair[1].1 - pair[0].1 < GAP_HOLD);
            assert!(doubled.is_none(), "key {key}: {doubled:?}");
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
fn an_owner_goes_on_without_the_store_if_its_deputy_holds() {
    let mut world = World::new();
    assert!(world.claim(0, 1));
    for vm in 0..VMS {
        world.shut(vm, true);
    }
    assert!(world.claim(0, 2));
    assert!(!world.claim(0, 2), "a repeat is not granted");
    assert!(!world.claim(1, 3), "nobody else grants");
    world.links.cut.lock().unwrap()[1] = true;
    assert!(!world.claim(0, 4), "not without the deputy");
    world.links.cut.lock().unwrap()[1] = false;
    assert!(world.claim(0, 5));
    world.wait(OFFLINE_MAX.as_secs());
    assert!(!world.claim(0, 6), "not for ever");
}

#[test]
fn a_deputy_takes_over_what_it_held() {
    let mut world = World::new();
    assert!(world.claim(0, 1));
    world.shut(0, true);
    assert!(world.claim(0, 2));
    world.set_gone(0, true);
    assert!(!world.claim(1, 2), "the deputy knows the key");
    assert!(world.claim(1, 3));
    assert!(!world.claim(0, 4), "the deputy holds no more");
    world.shut(0, false);
    world.set_gone(0, false);
    assert!(!world.claim(0, 3));
    world.assert_single();
}

#[test]
fn a_hall_that_is_lost_is_taken_over_after_the_wait() {
    let mut world = World::new();
    assert!(world.claim(0, 1));
    world.set_gone(0, true);
    world.set_gone(1, true);
    assert!(!world.claim(2, 2), "only announced");
    world.wait(OFFLINE_MAX.as_secs() / 2);
    assert!(!world.claim(2, 2), "too early");
    world.wait(OFFLINE_MAX.as_secs());
    assert!(!world.claim(2, 2), "unknown keys may have run");
    world.wait(GAP_HOLD.as_secs());
    assert!(world.claim(2, 2));
    assert!(!world.claim(2, 1), "known keys stay known");
}

#[test]
fn an_owner_that_lives_objects_to_a_takeover() {
    let mut world = World::new();
    assert!(world.claim(0, 1));
    world.set_gone(0, true);
    world.set_gone(1, true);
    assert!(!world.claim(2, 2));
    world.wait(OFFLINE_MAX.as_secs() / 2);
    // Else it would be named the deputy, which may take over at once.
    world.set_gone(2, true);
    world.tick(0);
    world.set_gone(2, false);
    world.wait(OFFLINE_MAX.as_secs());
    assert!(!world.claim(2, 2), "it must announce anew");
    assert!(world.claim(0, 2));
    world.assert_single();
}

#[test]
fn a_planned_stop_hands_over_at_once() {
    let mut world = World::new();
    assert!(world.claim(0, 1));
    let slot = world.slots[0].clone();
    block_on(async { slot.lock().await.hand_over().await });
    assert!(!world.claim(0, 2));
    assert!(world.claim(1, 2));
    assert!(!world.claim(1, 1));
}

#[derive(Clone, Debug)]
enum Action {
    Claim { vm: usize, key: u8 },
    GiveBack { key: u8 },
    Tick { vm: usize },
    Wait { seconds: u64 },
    Shut { vm: usize, is_shut: bool },
    ShutsAfter { vm: usize, calls: i32 },
    Gone { vm: usize, is_gone: bool },
    Cut { vm: usize, is_cut: bool },
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
        2 => (0..4_u8).prop_map(|key| Action::GiveBack { key }),
        4 => (0..VMS).prop_map(|vm| Action::Tick { vm }),
        2 => (1..80_u64).prop_map(|seconds| Action::Wait { seconds }),
        4 => (0..VMS, any::<bool>())
            .prop_map(|(vm, is_shut)| Action::Shut { vm, is_shut }),
        3 => (0..VMS, 0..4_i32)
            .prop_map(|(vm, calls)| Action::ShutsAfter { vm, calls }),
        3 => (0..VMS, any::<bool>())
            .prop_map(|(vm, is_gone)| Action::Gone { vm, is_gone }),
        2 => (0..VMS, any::<bool>())
            .prop_map(|(vm, is_cut)| Action::Cut { vm, is_cut }),
        3 => fault.prop_map(Action::Fault),
        1 => (0..VMS).prop_map(|vm| Action::HandOver { vm }),
    ]
}

fn act(world: &mut World, action: &Action) {
    match action {
        Action::Claim { vm, key } => {
            world.claim(*vm, *key);
        }
        Action::GiveBack { key } => {
            let held = world.holders.get_mut(key).and_then(Vec::pop);
            let Some((request, at)) = held else { return };
            // Only an owner takes it; else the key stays held.
            let taken = (0..VMS).any(|vm| {
                let slot = world.slots[vm].clone();
                block_on(async { slot.lock().await.is_owner() })
            });
            if !taken {
                let holders = world.holders.entry(*key).or_default();
                holders.push((request, at));
                return;
            }
            for vm in 0..VMS {
                world.settle(vm, &request, ClaimOutcome::NotRun);
            }
        }
        Action::Tick { vm } => world.tick(*vm),
        Action::Wait { seconds } => world.wait(*seconds),
        Action::Shut { vm, is_shut } => world.shut(*vm, *is_shut),
        Action::ShutsAfter { vm, calls } => {
            let door = &world.doors[*vm];
            door.shuts_after.store(*calls, Ordering::Relaxed);
        }
        Action::Gone { vm, is_gone } => world.set_gone(*vm, *is_gone),
        Action::Cut { vm, is_cut } => {
            world.links.cut.lock().unwrap()[*vm] = *is_cut;
        }
        Action::Fault(fault) => world.store.inject([*fault]),
        Action::HandOver { vm } => {
            let slot = world.slots[*vm].clone();
            block_on(async { slot.lock().await.hand_over().await });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        ..ProptestConfig::default()
    })]

    /// Whatever is cut, lost, believed or waited for, no key is granted
    /// to a second request while a first holds it.
    #[test]
    fn no_key_is_granted_twice(
        actions in prop::collection::vec(action(), 1..120),
    ) {
        let mut world = World::new();
        for action in &actions {
            act(&mut world, action);
            world.assert_single();
        }
    }
}
