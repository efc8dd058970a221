//! Claims across VMs: finds the owner of a slot, and runs the slots of this
//! VM.
//!
//! Each slot has a home data hall. The VMs of that hall are asked in
//! rendezvous order; a VM that doesn't own the slot names the owner.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use smol::channel::{Receiver, Sender, bounded, unbounded};

use crate::{
    api::{
        membership::Liveness, unresponsive::UnresponsiveVms, view::Peer,
        vm::Vm,
    },
    chains::{
        claim::{ClaimOutcome, ClaimRequest, ClaimVerdict, VmIncarnation},
        slot::{CopyRequest, Slot, SlotPeers, redirect_target},
    },
    id::{DataHallId, VmId},
    message::{PeerReply, PeerRequest},
    peer::PeerError,
    rendezvous,
    task::{self, within},
};

/// Timeout of a call to another VM for a verdict or to settle a claim.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Timeout of a call to a deputy to store copies of claims.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of the call that checks whether a VM can be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of VMs asked for one claim, redirects included.
const MAX_VMS_ASKED: usize = 5;

/// A grant older than this is not used; the claim is settled as not run.
pub(crate) const GRANT_LIFETIME: Duration = Duration::from_secs(5);

/// Attempts to report an outcome, with exponential backoff, before giving up.
const SETTLE_ATTEMPTS: u32 = 40;

/// Maximum time between two such attempts.
const MAX_SETTLE_PAUSE: Duration = Duration::from_secs(15);

/// Interval at which the task of an idle slot maintains its chain.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

enum SlotMessage {
    Claim { request: ClaimRequest, reply: Sender<ClaimVerdict> },
    Settle { claim: ClaimRequest, outcome: ClaimOutcome },
    StoreCopies { request: CopyRequest, reply: Sender<bool> },
    HandOver { reply: Sender<()> },
}

/// The status that a slot's task last published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotReport {
    pub(crate) is_owner: bool,
    pub(crate) is_offline: bool,
    pub(crate) has_backlog: bool,
    pub(crate) index: u64,
}

#[derive(Clone)]
struct SlotHandle {
    mailbox: Sender<SlotMessage>,
    report: Arc<Mutex<SlotReport>>,
}

/// The claim slots of this VM, and the known owners of all slots.
#[derive(Default)]
pub(crate) struct Claims {
    slots: Mutex<HashMap<u32, SlotHandle>>,
    /// The VM that last gave a verdict for a slot.
    owners: Mutex<HashMap<u32, VmId>>,
    unresponsive: UnresponsiveVms,
}

impl Claims {
    /// Claims a key at the owner of its slot.
    ///
    /// After [`ClaimVerdict::Unavailable`] the claim may still have been
    /// granted; the caller must then settle it as not run with
    /// [`Claims::settle`].
    pub(crate) async fn claim(
        &self,
        vm: &Arc<Vm>,
        request: &ClaimRequest,
    ) -> ClaimVerdict {
        let slot = request.key.slot(vm.settings.claims.slots);
        let mut ask = self.candidates(vm, slot);
        let mut asked = Vec::new();
        let mut last = unavailable("no VM of the slot's data hall responds");
        for _ in 0..MAX_VMS_ASKED {
            let Some(next) = next_to_ask(&mut ask, &asked) else { break };
            asked.push(next.clone());
            match self.ask(vm, &next, slot, request).await {
                AskOutcome::Verdict(verdict) => {
                    if let Some(owner) = redirect_target(&verdict) {
                        ask.insert(0, owner.clone());
                        last = unavailable("the slot's owner was not found");
                        continue;
                    }
                    self.cache_owner(slot, &next);
                    return verdict;
                }
                AskOutcome::NotReached => {}
                // The VM may have granted the claim, so a verdict of another
                // VM could be wrong.
                AskOutcome::Unknown => {
                    return unavailable("the slot's owner did not respond");
                }
            }
        }
        last
    }

    /// Reports the outcome of a claim to the owner of its slot. Retries in the
    /// background.
    pub(crate) fn settle(
        vm: &Arc<Vm>,
        claim: ClaimRequest,
        outcome: ClaimOutcome,
    ) {
        let vm = vm.clone();
        vm.pending_outcomes.begin();
        task::spawn(async move {
            let mut pause = Duration::from_millis(100);
            for _ in 0..SETTLE_ATTEMPTS {
                if vm.claims.try_settle(&vm, &claim, &outcome).await {
                    break;
                }
                task::sleep(pause).await;
                pause = (pause * 2).min(MAX_SETTLE_PAUSE);
            }
            vm.pending_outcomes.end();
        })
        .detach();
    }

    /// Returns the verdict of the slot at this VM, for a request of this VM or
    /// another one.
    pub(crate) async fn claim_here(
        &self,
        vm: &Arc<Vm>,
        request: ClaimRequest,
    ) -> ClaimVerdict {
        let slot = request.key.slot(vm.settings.claims.slots);
        let (reply, verdict) = bounded(1);
        let handle = self.handle(vm, slot);
        let message = SlotMessage::Claim { request, reply };
        let stopped = || unavailable("the VM is stopping");
        if handle.mailbox.send(message).await.is_err() {
            return stopped();
        }
        verdict.recv().await.unwrap_or_else(|_| stopped())
    }

    /// Records an outcome if this VM owns the slot. Returns whether it does.
    pub(crate) async fn settle_here(
        &self,
        vm: &Arc<Vm>,
        claim: ClaimRequest,
        outcome: ClaimOutcome,
    ) -> bool {
        let slot = claim.key.slot(vm.settings.claims.slots);
        let handle = self.handle(vm, slot);
        let is_owner = handle.report.lock().expect("report lock").is_owner;
        if !is_owner {
            return false;
        }
        let message = SlotMessage::Settle { claim, outcome };
        handle.mailbox.send(message).await.is_ok()
    }

    /// Stores copies of claims for the owner of a slot, as its deputy. Returns
    /// whether they are stored.
    pub(crate) async fn store_copies(
        &self,
        vm: &Arc<Vm>,
        request: CopyRequest,
    ) -> bool {
        let handle = self.handle(vm, request.slot);
        let (reply, stored) = bounded(1);
        let message = SlotMessage::StoreCopies { request, reply };
        if handle.mailbox.send(message).await.is_err() {
            return false;
        }
        stored.recv().await.unwrap_or(false)
    }

    /// Hands over all slots of this VM, for a graceful shutdown.
    pub(crate) async fn hand_over_all(&self) {
        let handles: Vec<SlotHandle> = {
            let slots = self.slots.lock().expect("slots lock");
            slots.values().cloned().collect()
        };
        for handle in handles {
            let (reply, done) = bounded(1);
            let message = SlotMessage::HandOver { reply };
            if handle.mailbox.send(message).await.is_ok() {
                let _ = done.recv().await;
            }
        }
    }

    /// Returns the last published status of each slot of this VM, sorted by
    /// slot number.
    pub(crate) fn reports(&self) -> Vec<(u32, SlotReport)> {
        let slots = self.slots.lock().expect("slots lock");
        let mut reports: Vec<(u32, SlotReport)> = slots
            .iter()
            .map(|(number, handle)| {
                (*number, *handle.report.lock().expect("report lock"))
            })
            .collect();
        reports.sort_by_key(|(number, _)| *number);
        reports
    }

    async fn try_settle(
        &self,
        vm: &Arc<Vm>,
        claim: &ClaimRequest,
        outcome: &ClaimOutcome,
    ) -> bool {
        let slot = claim.key.slot(vm.settings.claims.slots);
        for candidate in self.candidates(vm, slot) {
            let (claim, outcome) = (claim.clone(), outcome.clone());
            let is_settled = if candidate == *vm.view.vm() {
                self.settle_here(vm, claim, outcome).await
            } else {
                let request = PeerRequest::Settle { claim, outcome };
                let reply =
                    vm.call_peer(&candidate, request, CALL_TIMEOUT).await;
                matches!(reply, Ok(PeerReply::Done))
            };
            if is_settled {
                return true;
            }
        }
        false
    }

    /// Returns the VMs to ask about a slot, best first.
    fn candidates(&self, vm: &Arc<Vm>, slot: u32) -> Vec<VmId> {
        let home = home_hall(vm, slot);
        let subject = slot.to_le_bytes();
        let names = hall_vms(vm, &home);
        let ranked =
            rendezvous::rank(&subject, names.iter().map(VmId::as_str));
        let mut candidates: Vec<VmId> = Vec::new();
        let cached_owner = {
            let owners = self.owners.lock().expect("owners lock");
            owners.get(&slot).cloned()
        };
        candidates.extend(cached_owner);
        let ranked = ranked.into_iter().filter_map(|name| name.parse().ok());
        candidates.extend(ranked);
        if home != *vm.view.data_hall() {
            // If the home hall is unreachable, this hall may have to take
            // over.
            candidates
                .extend(vm.view.ranked_hall_vms(&subject).first().cloned());
        }
        let mut seen = Vec::new();
        candidates.retain(|vm| {
            let is_new = !seen.contains(vm);
            seen.push(vm.clone());
            is_new
        });
        self.unresponsive.deprioritize(&mut candidates, vm.clock.now());
        candidates
    }

    async fn ask(
        &self,
        vm: &Arc<Vm>,
        candidate: &VmId,
        slot: u32,
        request: &ClaimRequest,
    ) -> AskOutcome {
        if candidate == vm.view.vm() {
            let work = self.claim_here(vm, request.clone());
            return match within(CALL_TIMEOUT, work).await {
                Some(verdict) => AskOutcome::Verdict(verdict),
                None => AskOutcome::Unknown,
            };
        }
        let message = PeerRequest::Claim(request.clone());
        match vm.call_peer(candidate, message, CALL_TIMEOUT).await {
            Ok(PeerReply::Verdict(verdict)) => AskOutcome::Verdict(verdict),
            Ok(_) | Err(PeerError::NotSent(_)) => {
                self.uncache_owner(slot, candidate);
                AskOutcome::NotReached
            }
            Err(PeerError::OutcomeUnknown(_)) => {
                self.uncache_owner(slot, candidate);
                self.unresponsive.mark(candidate, vm.clock.now());
                AskOutcome::Unknown
            }
        }
    }

    fn cache_owner(&self, slot: u32, vm: &VmId) {
        let mut owners = self.owners.lock().expect("owners lock");
        owners.insert(slot, vm.clone());
    }

    fn uncache_owner(&self, slot: u32, vm: &VmId) {
        let mut owners = self.owners.lock().expect("owners lock");
        if owners.get(&slot) == Some(vm) {
            owners.remove(&slot);
        }
    }

    fn handle(&self, vm: &Arc<Vm>, number: u32) -> SlotHandle {
        let mut slots = self.slots.lock().expect("slots lock");
        slots.entry(number).or_insert_with(|| start_slot(vm, number)).clone()
    }
}

enum AskOutcome {
    Verdict(ClaimVerdict),
    NotReached,
    Unknown,
}

fn next_to_ask(ask: &mut Vec<VmId>, asked: &[VmId]) -> Option<VmId> {
    while !ask.is_empty() {
        let next = ask.remove(0);
        if !asked.contains(&next) {
            return Some(next);
        }
    }
    None
}

/// Returns the home data hall of a slot.
fn home_hall(vm: &Vm, slot: u32) -> DataHallId {
    let halls = vm.view.data_halls();
    let names = halls.iter().map(DataHallId::as_str);
    let ranked = rendezvous::rank(&slot.to_le_bytes(), names);
    let home = ranked.first().copied();
    halls
        .iter()
        .find(|hall| Some(hall.as_str()) == home)
        .unwrap_or(vm.view.data_hall())
        .clone()
}

/// Returns the VMs of a data hall that may own a slot, as far as this VM
/// knows.
fn hall_vms(vm: &Vm, hall: &DataHallId) -> Vec<VmId> {
    if hall == vm.view.data_hall() {
        return vm.view.live_hall_vms();
    }
    let listed = vm.view.peers();
    let there = listed.iter().filter(|peer| peer.data_hall == *hall);
    there.filter(|peer| !peer.leaving).map(|p| p.vm.clone()).collect()
}

fn start_slot(vm: &Arc<Vm>, number: u32) -> SlotHandle {
    let (mailbox, messages) = unbounded();
    let report: Arc<Mutex<SlotReport>> = Arc::default();
    let slot = Slot::new(
        number,
        vm.identity(),
        vm.settings.claims.clone(),
        vm.settings.requests.deadline * 2,
        vm.store.clone(),
        vm.clock.clone(),
        VmPeers(Arc::downgrade(vm)),
    );
    let task = SlotTask {
        slot,
        messages,
        report: report.clone(),
        commit: vm.settings.claims.commit,
    };
    task::spawn(task.run()).detach();
    SlotHandle { mailbox, report }
}

/// The task that owns a slot's state and handles its messages in order.
struct SlotTask {
    slot: Slot<VmPeers>,
    messages: Receiver<SlotMessage>,
    report: Arc<Mutex<SlotReport>>,
    commit: Duration,
}

impl SlotTask {
    async fn run(mut self) {
        loop {
            match within(TICK_INTERVAL, self.messages.recv()).await {
                Some(Ok(first)) => {
                    self.handle_messages(first).await;
                    self.publish_report();
                    // Messages that arrive meanwhile go into the next batch.
                    task::sleep(self.commit).await;
                }
                Some(Err(_)) => return,
                None => self.slot.tick().await,
            }
            self.publish_report();
        }
    }

    async fn handle_messages(&mut self, first: SlotMessage) {
        let mut claims = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                SlotMessage::Claim { request, reply } => {
                    claims.push((request, reply));
                }
                SlotMessage::Settle { claim, outcome } => {
                    self.slot.settle(&claim, outcome);
                }
                SlotMessage::StoreCopies { request, reply } => {
                    let is_stored = self.slot.store_copies(request).await;
                    let _ = reply.try_send(is_stored);
                }
                SlotMessage::HandOver { reply } => {
                    self.slot.hand_over().await;
                    let _ = reply.try_send(());
                }
            }
            next = self.messages.try_recv().ok();
        }
        if !claims.is_empty() {
            self.claim(claims).await;
        } else if self.slot.has_backlog() {
            self.slot.tick().await;
        }
    }

    async fn claim(
        &mut self,
        claims: Vec<(ClaimRequest, Sender<ClaimVerdict>)>,
    ) {
        let requests: Vec<ClaimRequest> =
            claims.iter().map(|(request, _)| request.clone()).collect();
        let verdicts = self.slot.claim(&requests).await;
        self.publish_report();
        for ((_, reply), verdict) in claims.into_iter().zip(verdicts) {
            // A caller that timed out settles the claim as not run by itself.
            let _ = reply.try_send(verdict);
        }
    }

    fn publish_report(&self) {
        let report = SlotReport {
            is_owner: self.slot.is_owner(),
            is_offline: self.slot.is_offline(),
            has_backlog: self.slot.has_backlog(),
            index: self.slot.index(),
        };
        *self.report.lock().expect("report lock") = report;
    }
}

/// The connection of a slot to the other VMs.
struct VmPeers(Weak<Vm>);

impl SlotPeers for VmPeers {
    async fn is_gone(&self, other: &VmIncarnation) -> bool {
        let Some(vm) = self.0.upgrade() else { return false };
        if *other == vm.identity() {
            return false;
        }
        if other.vm == *vm.view.vm() {
            // An earlier incarnation of this VM.
            return true;
        }
        match vm.view.liveness(&other.vm) {
            Some((incarnation, _)) if incarnation > other.incarnation => true,
            Some((_, Liveness::Dead | Liveness::Leaving)) => true,
            Some((_, Liveness::Alive)) => false,
            Some((_, Liveness::Suspected)) | None => {
                !is_reachable(&vm, &other.vm).await
            }
        }
    }

    fn pick_deputy(&self) -> Option<VmIncarnation> {
        let vm = self.0.upgrade()?;
        let mut peers: Vec<Peer> = vm.view.live_hall_peers();
        peers.sort_by(|a, b| a.vm.cmp(&b.vm));
        // The next VM in name order, so that deputies are spread over the
        // hall.
        let me = vm.view.vm().clone();
        let after = peers.iter().position(|peer| peer.vm > me).unwrap_or(0);
        let deputy = peers.get(after)?;
        let (incarnation, _) = vm.view.liveness(&deputy.vm)?;
        Some(VmIncarnation { vm: deputy.vm.clone(), incarnation })
    }

    async fn send_copies(
        &self,
        deputy: &VmIncarnation,
        request: CopyRequest,
    ) -> bool {
        let Some(vm) = self.0.upgrade() else { return false };
        let message = PeerRequest::ReplicateClaims {
            slot: request.slot,
            index: request.index,
            owner: request.owner.vm,
            incarnation: request.owner.incarnation,
            first: request.first as u64,
            claims: request.claims,
        };
        let reply = vm.call_peer(&deputy.vm, message, COPY_TIMEOUT).await;
        matches!(reply, Ok(PeerReply::Done))
    }
}

async fn is_reachable(vm: &Arc<Vm>, other: &VmId) -> bool {
    let revision = vm.configuration.current().revision();
    let probe = PeerRequest::Changes { after: revision };
    vm.call_peer(other, probe, PROBE_TIMEOUT).await.is_ok()
}

fn unavailable(reason: &str) -> ClaimVerdict {
    ClaimVerdict::Unavailable { reason: reason.to_owned() }
}

/// Returns the metric label of a verdict.
pub(crate) fn verdict_label(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Granted => "granted",
        ClaimVerdict::Settled { .. } => "settled",
        ClaimVerdict::InProgress { .. } => "in_progress",
        ClaimVerdict::Reused => "reused",
        ClaimVerdict::NotOwner { .. } => "not_owner",
        ClaimVerdict::Gap => "gap",
        ClaimVerdict::Unavailable { .. } => "unavailable",
    }
}
