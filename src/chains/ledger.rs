//! The ledger: the bills of this VM, copies of the bills of other VMs, and
//! their commit to the store.
//!
//! Before a request runs, its open bill is sent to a writer of the data hall,
//! so that two VMs know of the request if one of them dies. Closed bills stay
//! at this VM until a writer reports that the store has them. Each writer
//! commits groups of bills to a chain of its own, so writers never conflict.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use smol::channel::{Receiver, Sender, bounded};

use crate::{
    api::{membership::Liveness, unresponsive::UnresponsiveVms, vm::Vm},
    chains::{
        bill::{Bill, BillState, merge_all},
        chain::{self, AppendOutcome, Batch, WriteId},
        store::{StoreError, list_all},
    },
    clock::BootInstant,
    error::{Error, ErrorKind},
    event::Event,
    id::{OrganisationId, RequestId, VmId},
    message::{PeerReply, PeerRequest},
    rendezvous, task,
    unit::MicroCost,
};

/// Maximum number of bills in one call to a writer.
const MAX_BILLS_SENT: usize = 500;

/// Maximum number of bills in one commit.
const MAX_BILLS_COMMITTED: usize = 1500;

/// Timeout of a call that sends bills to another VM.
const SEND_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of VMs to which the same bills are sent before this VM goes
/// on without a copy.
const MAX_VMS_ASKED: usize = 3;

/// Interval at which bills that are not committed yet are sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a writer remembers which bills it has committed.
const COMMITTED_RETENTION: Duration = Duration::from_secs(120);

/// Maximum time that a request waits for a copy of its bill at a second VM:
/// long enough to call all [`MAX_VMS_ASKED`] VMs.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(800);

const MS_PER_HOUR: u64 = 3_600_000;

/// Number of hours before the current one that are searched for one bill.
const SEARCH_HOURS: u64 = 2;

/// A bill of this VM that the store does not have yet.
struct OwnBill {
    bill: Bill,
    sent_at: Option<BootInstant>,
    /// Whether a second VM is known to have a copy.
    is_copied: bool,
    /// Notified when a second VM has a copy; dropped when none can be reached.
    waiter: Option<Sender<()>>,
}

impl OwnBill {
    fn new(bill: Bill, waiter: Option<Sender<()>>) -> OwnBill {
        OwnBill { bill, sent_at: None, is_copied: false, waiter }
    }

    /// Returns whether to send the bill, for the first time or again.
    ///
    /// An open bill is sent until a second VM has a copy, a closed one until
    /// the store has it.
    fn is_due(&self, now: BootInstant) -> bool {
        let Some(sent_at) = self.sent_at else { return true };
        let is_settled = self.bill.state == BillState::Open && self.is_copied;
        !is_settled
            && now.saturating_duration_since(sent_at) >= RESEND_INTERVAL
    }
}

/// A copy of an open bill of another VM.
struct BillCopy {
    bill: Bill,
    since: BootInstant,
}

#[derive(Default)]
struct LedgerState {
    own: HashMap<RequestId, OwnBill>,
    copies: HashMap<RequestId, BillCopy>,
    to_commit: HashMap<RequestId, Bill>,
    committed: HashMap<RequestId, BootInstant>,
    /// A commit whose outcome is unknown. It is retried unchanged.
    in_doubt: Option<Commit>,
    /// The last index used in the chain of each hour.
    index: HashMap<u64, u64>,
}

#[derive(Clone)]
struct Commit {
    hour: u64,
    index: u64,
    batch: Batch<Vec<Bill>>,
}

/// The bills at this VM.
pub(crate) struct Ledger {
    state: Mutex<LedgerState>,
    unresponsive: UnresponsiveVms,
    /// Whether no second VM could be reached at the last attempt.
    is_isolated: AtomicBool,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

/// Waits for a copy of a bill at a second VM.
pub(crate) struct ReplicaWaiter {
    copied: Receiver<()>,
}

impl ReplicaWaiter {
    /// Waits until a second VM has a copy of the bill, for at most
    /// [`REPLICA_TIMEOUT`].
    ///
    /// Returns whether one has.
    pub(crate) async fn wait_for_replica(&self) -> bool {
        let waiting = self.copied.recv();
        let copied = task::within(REPLICA_TIMEOUT, waiting).await;
        matches!(copied, Some(Ok(())))
    }
}

impl Ledger {
    pub(crate) fn new() -> Ledger {
        let (wake_sender, wake_receiver) = bounded(1);
        let state = Mutex::default();
        Ledger {
            state,
            unresponsive: UnresponsiveVms::default(),
            is_isolated: AtomicBool::new(false),
            wake_sender,
            wake_receiver,
        }
    }

    /// Opens the bill of a request before it is dispatched, and starts to send
    /// it to a second VM.
    pub(crate) fn open(&self, bill: Bill) -> ReplicaWaiter {
        let (sender, copied) = bounded(1);
        let own = OwnBill::new(bill, Some(sender));
        let mut state = self.state.lock().expect("ledger lock");
        state.own.insert(own.bill.request.clone(), own);
        drop(state);
        let _ = self.wake_sender.try_send(());
        ReplicaWaiter { copied }
    }

    /// Closes or voids a bill. It stays at this VM until the store has it.
    pub(crate) fn close(&self, bill: Bill) {
        let mut state = self.state.lock().expect("ledger lock");
        let request = bill.request.clone();
        state.own.insert(request, OwnBill::new(bill, None));
        drop(state);
        let _ = self.wake_sender.try_send(());
    }

    /// Returns the number of bills that the store does not have yet, open ones
    /// excluded.
    pub(crate) fn uncommitted_count(&self) -> usize {
        let state = self.state.lock().expect("ledger lock");
        let closed =
            state.own.values().filter(|o| o.bill.state != BillState::Open);
        closed.count() + state.to_commit.len()
    }

    /// Returns the bill of a request, if this VM has it.
    pub(crate) fn find(&self, request: &RequestId) -> Option<Bill> {
        let state = self.state.lock().expect("ledger lock");
        let own = state.own.get(request).map(|own| &own.bill);
        let copy = state.copies.get(request).map(|copy| &copy.bill);
        own.or(copy).or(state.to_commit.get(request)).cloned()
    }

    /// Receives bills from another VM. The reply names those that are
    /// committed, or void, so that the sender can drop them.
    pub(crate) fn receive_bills(
        &self,
        bills: Vec<Bill>,
        now: BootInstant,
    ) -> PeerReply {
        let mut state = self.state.lock().expect("ledger lock");
        let mut committed = Vec::new();
        for bill in bills {
            if state.committed.contains_key(&bill.request) {
                committed.push(bill.request);
                continue;
            }
            match bill.state {
                BillState::Open => state.store_copy(bill, now),
                BillState::Void => {
                    state.copies.remove(&bill.request);
                    committed.push(bill.request);
                }
                BillState::Closed | BillState::Orphaned => {
                    state.copies.remove(&bill.request);
                    state.queue_commit(bill);
                }
            }
        }
        PeerReply::BillsKept { committed }
    }

    /// Sends new bills to a writer of the hall; runs until it is dropped.
    pub(crate) async fn send_loop(vm: Arc<Vm>) {
        loop {
            let wait = vm.ledger.wake_receiver.recv();
            let _ = task::within(RESEND_INTERVAL / 4, wait).await;
            while Ledger::send_some(&vm).await {}
        }
    }

    /// Commits closed bills in groups; runs until it is dropped.
    pub(crate) async fn commit_loop(vm: Arc<Vm>) {
        let mut was_waiting = false;
        loop {
            task::sleep(vm.settings.ledger.commit).await;
            vm.ledger.settle_orphans(&vm);
            let is_stored = Ledger::commit_some(&vm).await;
            let is_waiting = !is_stored;
            if is_waiting != was_waiting {
                was_waiting = is_waiting;
                let waiting = vm.ledger.uncommitted_count();
                let event = match is_waiting {
                    true => Event::LedgerWaiting,
                    false => Event::LedgerDrained,
                };
                event.log(format_args!("{waiting} bills"));
            }
        }
    }

    /// Commits all closed bills, or sends them to another VM.
    ///
    /// Returns how many neither the store nor another VM has after `limit`.
    pub(crate) async fn drain(vm: &Arc<Vm>, limit: Duration) -> usize {
        let end = vm.clock.now() + limit;
        loop {
            Ledger::send_some(vm).await;
            Ledger::commit_some(vm).await;
            let left = vm.ledger.uncommitted_count();
            if left == 0 || vm.clock.now() >= end {
                return left;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends the bills that are due. Returns whether more may be due.
    async fn send_some(vm: &Arc<Vm>) -> bool {
        let now = vm.clock.now();
        let due = vm.ledger.take_due(now);
        if due.is_empty() {
            return false;
        }
        let requests: Vec<RequestId> =
            due.iter().map(|bill| bill.request.clone()).collect();
        let is_full = due.len() >= MAX_BILLS_SENT;
        let mut failures = Vec::new();
        for peer in copy_targets(vm).into_iter().take(MAX_VMS_ASKED) {
            let message = PeerRequest::Bills(due.clone());
            let reply = vm.call_peer(&peer, message, SEND_TIMEOUT).await;
            let reason = match reply {
                Ok(PeerReply::BillsKept { committed }) => {
                    vm.ledger.record_reachability(None);
                    vm.ledger.mark_copied(&requests, &committed);
                    return is_full;
                }
                Ok(_) => "unexpected reply".to_owned(),
                Err(error) => error.to_string(),
            };
            vm.ledger.unresponsive.mark(&peer, vm.clock.now());
            failures.push(format!("{peer}: {reason}"));
        }
        vm.ledger.record_reachability(Some(&failures));
        vm.ledger.queue_own_commits(due);
        false
    }

    /// Records whether a second VM could be reached, and logs a change.
    /// `failures` lists the VMs that could not be reached, and why; `None`
    /// means success.
    fn record_reachability(&self, failures: Option<&[String]>) {
        let was_isolated =
            self.is_isolated.swap(failures.is_some(), Ordering::Relaxed);
        match failures {
            Some(failures) if !was_isolated => {
                let failures = failures.join("; ");
                Event::BillsAlone.log(format_args!("asked: {failures}"));
            }
            None if was_isolated => Event::BillsShared.log(""),
            _ => {}
        }
    }

    fn take_due(&self, now: BootInstant) -> Vec<Bill> {
        let mut state = self.state.lock().expect("ledger lock");
        let due = state.own.values_mut().filter(|own| own.is_due(now));
        let mut bills = Vec::new();
        for own in due.take(MAX_BILLS_SENT) {
            own.sent_at = Some(now);
            bills.push(own.bill.clone());
        }
        bills
    }

    fn mark_copied(&self, requests: &[RequestId], committed: &[RequestId]) {
        let mut state = self.state.lock().expect("ledger lock");
        for request in requests {
            let Some(own) = state.own.get_mut(request) else { continue };
            own.is_copied = true;
            if let Some(waiter) = own.waiter.take() {
                // Fails if the request has stopped waiting, which is harmless.
                let _ = waiter.try_send(());
            }
        }
        for request in committed {
            let closed = state
                .own
                .get(request)
                .is_some_and(|own| own.bill.state != BillState::Open);
            if closed {
                state.own.remove(request);
            }
        }
    }

    /// Queues closed bills for commit by this VM, since no writer can be
    /// reached.
    ///
    /// A writer that got them after all commits them too, and they are merged
    /// when they are read.
    fn queue_own_commits(&self, bills: Vec<Bill>) {
        let mut state = self.state.lock().expect("ledger lock");
        for bill in bills {
            match bill.state {
                BillState::Open => {
                    if let Some(own) = state.own.get_mut(&bill.request) {
                        // No VM can be reached now. The request goes on, and
                        // the bill is sent again later.
                        own.waiter = None;
                    }
                }
                BillState::Void => {
                    state.own.remove(&bill.request);
                }
                BillState::Closed | BillState::Orphaned => {
                    state.queue_commit(bill);
                }
            }
        }
    }

    /// Marks the open bills of VMs that died some time ago as orphaned, and
    /// queues them for commit.
    fn settle_orphans(&self, vm: &Vm) {
        let now = vm.clock.now();
        let wait = vm.settings.ledger.orphan_after;
        let mut state = self.state.lock().expect("ledger lock");
        state.committed.retain(|_, at| now - *at < COMMITTED_RETENTION);
        let orphans: Vec<RequestId> = state
            .copies
            .iter()
            .filter(|(_, copy)| now - copy.since >= wait)
            .filter(|(request, _)| is_incarnation_over(vm, request))
            .map(|(request, _)| request.clone())
            .collect();
        if orphans.is_empty() {
            return;
        }
        for request in &orphans {
            if let Some(copy) = state.copies.remove(request) {
                let orphaned = BillState::Orphaned;
                state.queue_commit(Bill { state: orphaned, ..copy.bill });
            }
        }
        Event::OrphansSettled.log(format_args!("{} bills", orphans.len()));
    }

    /// Commits one group of bills. Returns whether it was stored.
    async fn commit_some(vm: &Arc<Vm>) -> bool {
        let hour = vm.clock.unix_ms() / MS_PER_HOUR;
        let Some(commit) = vm.ledger.next_commit(hour) else { return true };
        let prefix = writer_prefix(vm, commit.hour);
        let appended =
            chain::append(&*vm.store, &prefix, commit.index, &commit.batch)
                .await;
        match appended {
            Ok(AppendOutcome::Appended) => {
                vm.ledger.mark_committed(&commit, vm.clock.now());
                true
            }
            Ok(AppendOutcome::Occupied(_)) => {
                // No other VM writes to this chain, so the batch is an earlier
                // write of this VM that is no longer in its state. The commit
                // is retried at the next index.
                vm.ledger.skip_index(&commit);
                true
            }
            Err(StoreError::NotApplied(_) | StoreError::OutcomeUnknown(_)) => {
                false
            }
        }
    }

    fn next_commit(&self, hour: u64) -> Option<Commit> {
        let mut state = self.state.lock().expect("ledger lock");
        if let Some(commit) = &state.in_doubt {
            return Some(commit.clone());
        }
        if state.to_commit.is_empty() {
            return None;
        }
        let chosen: Vec<Bill> = state
            .to_commit
            .values()
            .take(MAX_BILLS_COMMITTED)
            .cloned()
            .collect();
        let index = state.index.get(&hour).copied().unwrap_or(0) + 1;
        let batch = Batch { write: WriteId::random(), content: chosen };
        let commit = Commit { hour, index, batch };
        // The same commit is retried until the store confirms it.
        state.in_doubt = Some(commit.clone());
        Some(commit)
    }

    fn mark_committed(&self, commit: &Commit, now: BootInstant) {
        let mut state = self.state.lock().expect("ledger lock");
        state.in_doubt = None;
        state.index.retain(|hour, _| *hour + 1 >= commit.hour);
        state.index.insert(commit.hour, commit.index);
        for bill in &commit.batch.content {
            let request = &bill.request;
            state.committed.insert(request.clone(), now);
            let is_same = |other: Option<&Bill>| {
                other.is_some_and(|other| other == bill)
            };
            if is_same(state.to_commit.get(request)) {
                state.to_commit.remove(request);
            }
            if is_same(state.own.get(request).map(|own| &own.bill)) {
                state.own.remove(request);
            }
        }
    }

    fn skip_index(&self, commit: &Commit) {
        let mut state = self.state.lock().expect("ledger lock");
        state.in_doubt = None;
        state.index.insert(commit.hour, commit.index);
    }
}

impl LedgerState {
    fn store_copy(&mut self, bill: Bill, now: BootInstant) {
        let closed = self.to_commit.contains_key(&bill.request);
        if !closed {
            let request = bill.request.clone();
            self.copies.insert(request, BillCopy { bill, since: now });
        }
    }

    fn queue_commit(&mut self, bill: Bill) {
        let merged = match self.to_commit.remove(&bill.request) {
            Some(queued) => queued.merge(bill),
            None => bill,
        };
        self.to_commit.insert(merged.request.clone(), merged);
    }
}

/// Returns the VMs to which this VM may send its bills, best first: the
/// writers of the hall, its other VMs, then those of other halls.
fn copy_targets(vm: &Vm) -> Vec<VmId> {
    let me = vm.view.vm();
    let live = vm.view.live_hall_vms();
    let hall = vm.view.data_hall();
    let subject = hall.as_str().as_bytes();
    let ranked = rendezvous::rank(subject, live.iter().map(VmId::as_str));
    let others: Vec<&str> =
        ranked.into_iter().filter(|name| *name != me.as_str()).collect();
    let count = vm.settings.ledger.writers_per_hall.min(others.len());
    let (writers, rest) = others.split_at(count);
    let peers = vm.view.peers();
    let remote: Vec<&str> = peers
        .iter()
        .filter(|peer| peer.data_hall != *hall && !peer.leaving)
        .map(|peer| peer.vm.as_str())
        .collect();
    // A VM that has just started has not received the heartbeats of the other
    // VMs yet.
    let unknown: Vec<&str> = peers
        .iter()
        .filter(|peer| peer.data_hall == *hall && !peer.leaving)
        .filter(|peer| vm.view.liveness(&peer.vm).is_none())
        .map(|peer| peer.vm.as_str())
        .collect();
    // Rendezvous hashing spreads the VMs over the writers, and each VM keeps
    // its writer.
    let own_name = me.as_str().as_bytes();
    let spread = |names: &[&str]| -> Vec<VmId> {
        let ranked = rendezvous::rank(own_name, names.iter().copied());
        ranked.into_iter().filter_map(|name| name.parse().ok()).collect()
    };
    let mut targets = spread(writers);
    targets.extend(spread(rest));
    targets.extend(spread(&unknown));
    targets.extend(spread(&remote));
    vm.ledger.unresponsive.deprioritize(&mut targets, vm.clock.now());
    targets
}

/// Returns whether the incarnation of the VM that admitted a request is over.
fn is_incarnation_over(vm: &Vm, request: &RequestId) -> bool {
    match vm.view.liveness(&request.vm) {
        Some((incarnation, liveness)) => {
            incarnation > request.incarnation
                || (incarnation == request.incarnation
                    && liveness == Liveness::Dead)
        }
        // The VM was removed from the membership long ago, or is in another
        // hall, which has copies of its own bills.
        None => true,
    }
}

fn writer_prefix(vm: &Vm, hour: u64) -> String {
    let hall = vm.view.data_hall();
    let identity = vm.identity();
    let writer = format!("{}-{}", identity.vm, identity.incarnation);
    format!("{}/{hall}/{writer}", hour_prefix(hour))
}

fn hour_prefix(hour: u64) -> String {
    format!("ledger/{hour:08}")
}

/// A query for bills.
#[derive(Clone, Debug, Default)]
pub(crate) struct BillQuery {
    /// Only bills of this organisation, if set.
    pub(crate) organisation: Option<OrganisationId>,
    /// Start of the time range (inclusive), in milliseconds since the Unix
    /// epoch.
    pub(crate) from_unix_ms: u64,
    /// End of the time range (exclusive), in milliseconds since the Unix
    /// epoch.
    pub(crate) to_unix_ms: u64,
}

/// Maximum number of hours that one query may span.
const MAX_QUERY_HOURS: u64 = 24 * 32;

/// Reads bills from the store, merged by request.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`], or [`ErrorKind::InvalidInput`] if the time
/// range is too long.
pub(crate) async fn read_bills(
    vm: &Vm,
    query: &BillQuery,
) -> Result<Vec<Bill>, Error> {
    let first = query.from_unix_ms / MS_PER_HOUR;
    // Bills are committed some time after their request has arrived.
    let now = vm.clock.unix_ms() / MS_PER_HOUR;
    let last = (query.to_unix_ms / MS_PER_HOUR + 24).min(now);
    if last.saturating_sub(first) > MAX_QUERY_HOURS {
        return Err(Error::new(ErrorKind::InvalidInput)
            .context("a bill query may span at most 31 days"));
    }
    let mut found = Vec::new();
    for hour in first..=last {
        found.extend(read_hour(vm, hour).await?);
    }
    let wanted = merge_all(found).into_iter().filter(|bill| {
        let selected = query.organisation.as_ref();
        selected.is_none_or(|organisation| bill.organisation == *organisation)
            && (query.from_unix_ms..query.to_unix_ms)
                .contains(&bill.at_unix_ms)
    });
    Ok(wanted.collect())
}

/// Returns the bill of a request, if it was committed in the last hours.
pub(crate) async fn find_committed(
    vm: &Vm,
    request: &RequestId,
) -> Result<Option<Bill>, Error> {
    let now = vm.clock.unix_ms() / MS_PER_HOUR;
    for hour in (now.saturating_sub(SEARCH_HOURS)..=now).rev() {
        let bills = merge_all(read_hour(vm, hour).await?);
        let found = bills.into_iter().find(|bill| bill.request == *request);
        if found.is_some() {
            return Ok(found);
        }
    }
    Ok(None)
}

async fn read_hour(vm: &Vm, hour: u64) -> Result<Vec<Bill>, Error> {
    let failed = |error: StoreError| {
        Error::new(ErrorKind::StoreUnavailable)
            .context(error.to_string())
            .context("reading the ledger")
    };
    let prefix = format!("{}/", hour_prefix(hour));
    let entries = list_all(&*vm.store, &prefix, "").await.map_err(failed)?;
    let mut bills = Vec::new();
    for entry in entries {
        let batch: Batch<Vec<Bill>> =
            chain::decode(&entry.value).map_err(failed)?;
        bills.extend(batch.content);
    }
    Ok(bills)
}

/// Returns the sum of the costs of bills.
pub(crate) fn total(bills: &[Bill]) -> MicroCost {
    bills.iter().fold(MicroCost::default(), |sum, b| sum + b.cost_micro)
}
