//! The ledger: bills of this VM, bills held for others, and their commit.
//!
//! Before a request runs, its open bill is sent to a writer of the hall, so
//! that two VMs know of the run whichever of them dies. Closed bills stay
//! here until a writer says that the store has them. Writers commit in groups
//! to a chain of their own, so they never conflict.

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

/// Bills sent to a writer at once.
const SEND_LIMIT: usize = 500;

/// Bills in one commit.
const COMMIT_LIMIT: usize = 1500;

/// Longest time that a VM is asked to hold bills.
const HOLD_LIMIT: Duration = Duration::from_millis(250);

/// VMs asked to hold the same bills before this VM goes on alone.
const HOLDERS_ASKED: usize = 3;

/// Time between two words on bills that are not committed yet.
const RESEND: Duration = Duration::from_secs(1);

/// Time for which a writer remembers what it has committed.
const REMEMBER: Duration = Duration::from_secs(120);

/// Longest time that a request waits for a second VM to know its bill: as
/// long as asking all of them may take.
const SECOND_HOLDER_LIMIT: Duration = Duration::from_millis(800);

const MS_PER_HOUR: u64 = 3_600_000;

/// Hours that are searched for one decision.
const SEARCH_HOURS: u64 = 2;

/// A bill of this VM that the store does not have yet.
struct Own {
    bill: Bill,
    sent_at: Option<BootInstant>,
    /// Whether a second VM is known to have it.
    is_held: bool,
    /// Told when a second VM has it; dropped when none can be reached.
    waiter: Option<Sender<()>>,
}

impl Own {
    fn new(bill: Bill, waiter: Option<Sender<()>>) -> Own {
        Own { bill, sent_at: None, is_held: false, waiter }
    }

    /// Whether it is to be sent, for the first time or again.
    ///
    /// An open bill is sent until a second VM has it, a closed one until the
    /// store does.
    fn is_due(&self, now: BootInstant) -> bool {
        let Some(sent_at) = self.sent_at else { return true };
        let is_settled = self.bill.state == BillState::Open && self.is_held;
        !is_settled && now.saturating_duration_since(sent_at) >= RESEND
    }
}

/// A bill held for another VM, or to be committed by this one.
struct Held {
    bill: Bill,
    since: BootInstant,
}

#[derive(Default)]
struct Books {
    own: HashMap<RequestId, Own>,
    held: HashMap<RequestId, Held>,
    to_commit: HashMap<RequestId, Bill>,
    committed: HashMap<RequestId, BootInstant>,
    /// A commit whose fate is open; it is tried again as it is.
    in_doubt: Option<Commit>,
    /// The last index used in each hour's chain.
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
    books: Mutex<Books>,
    unresponsive: UnresponsiveVms,
    /// Whether no second VM could be reached when one was last asked.
    is_alone: AtomicBool,
    news: Sender<()>,
    has_news: Receiver<()>,
}

/// Tells when a second VM knows a bill.
pub(crate) struct ReplicaWaiter {
    held: Receiver<()>,
}

impl ReplicaWaiter {
    /// Waits until a second VM knows the bill, but not for long.
    ///
    /// Returns whether one does.
    pub(crate) async fn wait_for_replica(&self) -> bool {
        let waiting = self.held.recv();
        let held = task::within(SECOND_HOLDER_LIMIT, waiting).await;
        matches!(held, Some(Ok(())))
    }
}

impl Ledger {
    pub(crate) fn new() -> Ledger {
        let (news, has_news) = bounded(1);
        let books = Mutex::default();
        Ledger {
            books,
            unresponsive: UnresponsiveVms::default(),
            is_alone: AtomicBool::new(false),
            news,
            has_news,
        }
    }

    /// Opens the bill of a request before it is dispatched.
    pub(crate) fn open(&self, bill: Bill) -> ReplicaWaiter {
        let (sender, held) = bounded(1);
        let own = Own::new(bill, Some(sender));
        let mut books = self.books.lock().expect("ledger lock");
        books.own.insert(own.bill.request.clone(), own);
        drop(books);
        let _ = self.news.try_send(());
        ReplicaWaiter { held }
    }

    /// Closes or voids a bill; it stays here until the store has it.
    pub(crate) fn close(&self, bill: Bill) {
        let mut books = self.books.lock().expect("ledger lock");
        let request = bill.request.clone();
        books.own.insert(request, Own::new(bill, None));
        drop(books);
        let _ = self.news.try_send(());
    }

    /// Bills that the store does not have yet, open ones left out.
    pub(crate) fn uncommitted_count(&self) -> usize {
        let books = self.books.lock().expect("ledger lock");
        let closed =
            books.own.values().filter(|o| o.bill.state != BillState::Open);
        closed.count() + books.to_commit.len()
    }

    /// What is known here of a request's bill.
    pub(crate) fn find(&self, request: &RequestId) -> Option<Bill> {
        let books = self.books.lock().expect("ledger lock");
        let own = books.own.get(request).map(|own| &own.bill);
        let held = books.held.get(request).map(|held| &held.bill);
        own.or(held).or(books.to_commit.get(request)).cloned()
    }

    /// Takes in bills of another VM; says which of them the store has.
    pub(crate) fn receive_bills(
        &self,
        bills: Vec<Bill>,
        now: BootInstant,
    ) -> PeerReply {
        let mut books = self.books.lock().expect("ledger lock");
        let mut committed = Vec::new();
        for bill in bills {
            if books.committed.contains_key(&bill.request) {
                committed.push(bill.request);
                continue;
            }
            match bill.state {
                BillState::Open => books.hold(bill, now),
                BillState::Void => {
                    books.held.remove(&bill.request);
                    committed.push(bill.request);
                }
                BillState::Closed | BillState::Orphaned => {
                    books.held.remove(&bill.request);
                    books.queue(bill);
                }
            }
        }
        PeerReply::BillsHeld { committed }
    }

    /// Sends bills to the hall's writer as they come, for as long as polled.
    pub(crate) async fn send_loop(vm: Arc<Vm>) {
        loop {
            let wait = vm.ledger.has_news.recv();
            let _ = task::within(RESEND / 4, wait).await;
            while Ledger::send_some(&vm).await {}
        }
    }

    /// Commits closed bills in groups, for as long as polled.
    pub(crate) async fn commit_loop(vm: Arc<Vm>) {
        let mut was_waiting = false;
        loop {
            task::sleep(vm.settings.ledger.commit).await;
            vm.ledger.settle_orphans(&vm);
            let done = Ledger::commit_some(&vm).await;
            let is_waiting = !done;
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

    /// Brings all closed bills into the store, or to another VM.
    ///
    /// Returns how many are known to neither.
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

    /// Sends what is due; returns whether there may be more.
    async fn send_some(vm: &Arc<Vm>) -> bool {
        let now = vm.clock.now();
        let due = vm.ledger.due(now);
        if due.is_empty() {
            return false;
        }
        let requests: Vec<RequestId> =
            due.iter().map(|bill| bill.request.clone()).collect();
        let full = due.len() >= SEND_LIMIT;
        let mut asked = Vec::new();
        for holder in holders(vm).into_iter().take(HOLDERS_ASKED) {
            let message = PeerRequest::Bills(due.clone());
            let reply = vm.call_peer(&holder, message, HOLD_LIMIT).await;
            let why = match reply {
                Ok(PeerReply::BillsHeld { committed }) => {
                    vm.ledger.note_alone(None);
                    vm.ledger.mark_held(&requests, &committed);
                    return full;
                }
                Ok(_) => "another reply".to_owned(),
                Err(error) => error.to_string(),
            };
            vm.ledger.unresponsive.mark(&holder, vm.clock.now());
            asked.push(format!("{holder}: {why}"));
        }
        vm.ledger.note_alone(Some(&asked));
        vm.ledger.keep_alone(due);
        false
    }

    /// Notes whether a second VM could be reached, and logs when that
    /// changes; `asked` says who could not be, and why.
    fn note_alone(&self, asked: Option<&[String]>) {
        let was_alone = self.is_alone.swap(asked.is_some(), Ordering::Relaxed);
        match asked {
            Some(asked) if !was_alone => {
                let asked = asked.join("; ");
                Event::BillsAlone.log(format_args!("asked: {asked}"));
            }
            None if was_alone => Event::BillsShared.log(""),
            _ => {}
        }
    }

    fn due(&self, now: BootInstant) -> Vec<Bill> {
        let mut books = self.books.lock().expect("ledger lock");
        let due = books.own.values_mut().filter(|own| own.is_due(now));
        let mut bills = Vec::new();
        for own in due.take(SEND_LIMIT) {
            own.sent_at = Some(now);
            bills.push(own.bill.clone());
        }
        bills
    }

    fn mark_held(&self, requests: &[RequestId], committed: &[RequestId]) {
        let mut books = self.books.lock().expect("ledger lock");
        for request in requests {
            let Some(own) = books.own.get_mut(request) else { continue };
            own.is_held = true;
            if let Some(waiter) = own.waiter.take() {
                // A request that waits no longer needs no word.
                let _ = waiter.try_send(());
            }
        }
        for request in committed {
            let closed = books
                .own
                .get(request)
                .is_some_and(|own| own.bill.state != BillState::Open);
            if closed {
                books.own.remove(request);
            }
        }
    }

    /// With no writer to be reached, this VM commits its bills itself.
    ///
    /// A writer that got them after all commits them too; they merge.
    fn keep_alone(&self, bills: Vec<Bill>) {
        let mut books = self.books.lock().expect("ledger lock");
        for bill in bills {
            match bill.state {
                BillState::Open => {
                    if let Some(own) = books.own.get_mut(&bill.request) {
                        // Nobody can be reached now; the request goes on,
                        // and the bill is offered again after a while.
                        own.waiter = None;
                    }
                }
                BillState::Void => {
                    books.own.remove(&bill.request);
                }
                BillState::Closed | BillState::Orphaned => {
                    books.queue(bill);
                }
            }
        }
    }

    /// Settles the open bills of VMs that died some time ago.
    fn settle_orphans(&self, vm: &Vm) {
        let now = vm.clock.now();
        let wait = vm.settings.ledger.orphan_after;
        let mut books = self.books.lock().expect("ledger lock");
        books.committed.retain(|_, at| now - *at < REMEMBER);
        let orphans: Vec<RequestId> = books
            .held
            .iter()
            .filter(|(_, held)| now - held.since >= wait)
            .filter(|(request, _)| is_dead(vm, request))
            .map(|(request, _)| request.clone())
            .collect();
        if orphans.is_empty() {
            return;
        }
        for request in &orphans {
            if let Some(held) = books.held.remove(request) {
                let state = BillState::Orphaned;
                books.queue(Bill { state, ..held.bill });
            }
        }
        Event::OrphansSettled.log(format_args!("{} bills", orphans.len()));
    }

    /// Commits one group; returns whether the store took it.
    async fn commit_some(vm: &Arc<Vm>) -> bool {
        let hour = vm.clock.unix_ms() / MS_PER_HOUR;
        let Some(commit) = vm.ledger.next_commit(hour) else { return true };
        let prefix = own_prefix(vm, commit.hour);
        let appended =
            chain::append(&*vm.store, &prefix, commit.index, &commit.batch)
                .await;
        match appended {
            Ok(AppendOutcome::Appended) => {
                vm.ledger.committed(&commit, vm.clock.now());
                true
            }
            Ok(AppendOutcome::Occupied(_)) => {
                // Nobody else writes to this chain, so this was a write of
                // its own that the books have forgotten; go on after it.
                vm.ledger.skip(&commit);
                true
            }
            Err(StoreError::NotApplied(_) | StoreError::OutcomeUnknown(_)) => {
                false
            }
        }
    }

    fn next_commit(&self, hour: u64) -> Option<Commit> {
        let mut books = self.books.lock().expect("ledger lock");
        if let Some(commit) = &books.in_doubt {
            return Some(commit.clone());
        }
        if books.to_commit.is_empty() {
            return None;
        }
        let chosen: Vec<Bill> =
            books.to_commit.values().take(COMMIT_LIMIT).cloned().collect();
        let index = books.index.get(&hour).copied().unwrap_or(0) + 1;
        let batch = Batch { write: WriteId::random(), content: chosen };
        let commit = Commit { hour, index, batch };
        // Until the store has said yes, the same commit is tried again.
        books.in_doubt = Some(commit.clone());
        Some(commit)
    }

    fn committed(&self, commit: &Commit, now: BootInstant) {
        let mut books = self.books.lock().expect("ledger lock");
        books.in_doubt = None;
        books.index.retain(|hour, _| *hour + 1 >= commit.hour);
        books.index.insert(commit.hour, commit.index);
        for bill in &commit.batch.content {
            let request = &bill.request;
            books.committed.insert(request.clone(), now);
            let same =
                |held: Option<&Bill>| held.is_some_and(|held| held == bill);
            if same(books.to_commit.get(request)) {
                books.to_commit.remove(request);
            }
            if same(books.own.get(request).map(|own| &own.bill)) {
                books.own.remove(request);
            }
        }
    }

    fn skip(&self, commit: &Commit) {
        let mut books = self.books.lock().expect("ledger lock");
        books.in_doubt = None;
        books.index.insert(commit.hour, commit.index);
    }
}

impl Books {
    fn hold(&mut self, bill: Bill, now: BootInstant) {
        let closed = self.to_commit.contains_key(&bill.request);
        if !closed {
            let request = bill.request.clone();
            self.held.insert(request, Held { bill, since: now });
        }
    }

    fn queue(&mut self, bill: Bill) {
        let merged = match self.to_commit.remove(&bill.request) {
            Some(held) => held.merge(bill),
            None => bill,
        };
        self.to_commit.insert(merged.request.clone(), merged);
    }
}

/// The VMs that may hold this VM's bills, best first: the writers of the
/// hall, then its other VMs, then those of other halls.
fn holders(vm: &Vm) -> Vec<VmId> {
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
    let away: Vec<&str> = peers
        .iter()
        .filter(|peer| peer.data_hall != *hall && !peer.leaving)
        .map(|peer| peer.vm.as_str())
        .collect();
    // A VM that is new here has not heard of the others' lives yet.
    let unheard: Vec<&str> = peers
        .iter()
        .filter(|peer| peer.data_hall == *hall && !peer.leaving)
        .filter(|peer| vm.view.liveness(&peer.vm).is_none())
        .map(|peer| peer.vm.as_str())
        .collect();
    // VMs spread over the writers, each staying with its own.
    let mine = me.as_str().as_bytes();
    let spread = |names: &[&str]| -> Vec<VmId> {
        let ranked = rendezvous::rank(mine, names.iter().copied());
        ranked.into_iter().filter_map(|name| name.parse().ok()).collect()
    };
    let mut holders = spread(writers);
    holders.extend(spread(rest));
    holders.extend(spread(&unheard));
    holders.extend(spread(&away));
    vm.ledger.unresponsive.deprioritize(&mut holders, vm.clock.now());
    holders
}

/// Whether the life of the VM that admitted a request is over.
fn is_dead(vm: &Vm, request: &RequestId) -> bool {
    match vm.view.liveness(&request.vm) {
        Some((incarnation, life)) => {
            incarnation > request.incarnation
                || (incarnation == request.incarnation
                    && life == Liveness::Dead)
        }
        // Long forgotten, or of another hall, which holds its own bills.
        None => true,
    }
}

fn own_prefix(vm: &Vm, hour: u64) -> String {
    let hall = vm.view.data_hall();
    let life = vm.identity();
    let writer = format!("{}-{}", life.vm, life.incarnation);
    format!("{}/{hall}/{writer}", hour_prefix(hour))
}

fn hour_prefix(hour: u64) -> String {
    format!("ledger/{hour:08}")
}

/// What bills are asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct BillQuery {
    /// Of one organisation only.
    pub(crate) organisation: Option<OrganisationId>,
    /// From this time on, in milliseconds since the Unix epoch.
    pub(crate) from_unix_ms: u64,
    /// Before this time.
    pub(crate) to_unix_ms: u64,
}

/// Hours that one query may span.
const QUERY_HOURS: u64 = 24 * 32;

/// Reads bills from the store, merged by request.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`], or [`ErrorKind::InvalidInput`] for a
/// span that is too long.
pub(crate) async fn read_bills(
    vm: &Vm,
    query: &BillQuery,
) -> Result<Vec<Bill>, Error> {
    let first = query.from_unix_ms / MS_PER_HOUR;
    // A bill is committed some time after its request came.
    let now = vm.clock.unix_ms() / MS_PER_HOUR;
    let last = (query.to_unix_ms / MS_PER_HOUR + 24).min(now);
    if last.saturating_sub(first) > QUERY_HOURS {
        return Err(Error::new(ErrorKind::InvalidInput)
            .context("bills can be asked for 31 days at once"));
    }
    let mut found = Vec::new();
    for hour in first..=last {
        found.extend(read_hour(vm, hour).await?);
    }
    let wanted = merge_all(found).into_iter().filter(|bill| {
        let mine = query.organisation.as_ref();
        mine.is_none_or(|organisation| bill.organisation == *organisation)
            && (query.from_unix_ms..query.to_unix_ms)
                .contains(&bill.at_unix_ms)
    });
    Ok(wanted.collect())
}

/// Looks for one bill in the latest hours of the ledger.
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

/// The sum of bills.
pub(crate) fn total(bills: &[Bill]) -> MicroCost {
    bills.iter().fold(MicroCost::default(), |sum, b| sum + b.cost_micro)
}
