//! The state machine of one claim slot at one VM: it grants claims as the
//! owner, stores copies of claims as the deputy, takes over ownership, and
//! keeps granting while the store is unavailable.
//!
//! Why a claim is never granted twice:
//!
//! * While the store is available, a claim is granted once it is in the slot's
//!   chain, and all VMs see the chain in the same order.
//! * While the store is unavailable, the owner named last in the chain goes on
//!   granting, but only if its deputy, named in the same record, stores a copy
//!   of every claim, and only for `offline_max` after the owner last read the
//!   end of the chain.
//! * The deputy takes over with a record in the chain that carries the claims
//!   of which it has copies. From the attempt on it accepts no more copies
//!   from the old owner.
//! * Any other VM first announces the takeover in the chain and waits for
//!   `offline_max`. An owner that reads the announcement objects by renewing
//!   its owner record. After the wait, the claims that the old owner may have
//!   granted offline are unknown, so keys that are not in the chain are
//!   answered with [`ClaimVerdict::Gap`] for `gap_hold`.

use std::{future::Future, time::Duration};

use crate::{
    chains::{
        chain::{self, AppendOutcome, Batch, WriteId},
        claim::{
            ClaimOutcome, ClaimRecord, ClaimRequest, ClaimVerdict,
            OfflineClaim, Ownership, SlotState, VmIncarnation,
        },
        store::{Condition, SharedStore, StoreError, VALUE_LIMIT_BYTES},
    },
    clock::{BootInstant, SharedClock},
    event::Event,
    id::VmId,
    settings::ClaimSettings,
};

/// Attempts to append a batch when other VMs append concurrently.
const MAX_ATTEMPTS: u32 = 4;

/// Factor on the wait before a takeover, since clocks run at slightly
/// different speeds.
const CLOCK_DRIFT_FACTOR: f64 = 1.05;

/// Number of batches after which the state of a slot is written as a snapshot.
const SNAPSHOT_EVERY: u64 = 256;

/// Minimum age of a batch that is removed from the chain. A VM doesn't trust
/// an append of its own that took longer than [`MAX_APPEND_DELAY`], so no
/// append can succeed unnoticed at an index that was removed.
const MIN_REMOVE_AGE: Duration = Duration::from_secs(3600);

/// Maximum time from reading the end of a chain to an append after it.
const MAX_APPEND_DELAY: Duration = Duration::from_secs(600);

/// Maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 1000;

/// Maximum estimated size of a batch in bytes; half of the store's limit on
/// values.
const MAX_BATCH_BYTES: usize = VALUE_LIMIT_BYTES / 2;

/// What a slot needs to know about other VMs, and its connection to the
/// deputy.
pub(crate) trait SlotPeers: Send + Sync {
    /// Returns whether an incarnation of a VM has ended or can't be reached,
    /// as far as this VM knows.
    fn is_gone(
        &self,
        incarnation: &VmIncarnation,
    ) -> impl Future<Output = bool> + Send;

    /// Returns a live VM of this data hall to be the deputy, if there is one.
    fn pick_deputy(&self) -> Option<VmIncarnation>;

    /// Sends copies of claims to the deputy. Returns whether it has stored
    /// them.
    fn send_copies(
        &self,
        deputy: &VmIncarnation,
        request: CopyRequest,
    ) -> impl Future<Output = bool> + Send;
}

/// A request from the owner of a slot to its deputy to store copies of claims
/// that are granted while the store is unavailable.
#[derive(Clone, Debug)]
pub(crate) struct CopyRequest {
    pub(crate) slot: u32,
    /// The index of the last batch that the owner has read.
    pub(crate) index: u64,
    pub(crate) owner: VmIncarnation,
    /// The position of the first claim in the owner's log of claims since the
    /// store became unavailable.
    pub(crate) first: usize,
    pub(crate) claims: Vec<OfflineClaim>,
}

/// Copies of claims that this VM stores as the deputy of an owner without
/// access to the store.
#[derive(Debug, Default)]
struct DeputyCopies {
    owner: Option<VmIncarnation>,
    claims: Vec<OfflineClaim>,
}

/// The role of this VM for a slot, by its chain.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Role {
    Owner,
    Deputy(Ownership),
    Other(Ownership),
    Unowned,
}

/// The outcome of writing all pending records to the chain.
enum Flush {
    /// All records are in the chain.
    Committed,
    /// Another VM appended first; its batch has been read.
    Conflict,
    /// The store did not answer, or did not apply the write.
    StoreUnavailable,
}

/// The outcome of one append.
enum Append {
    Committed,
    Conflict,
    NotApplied,
    InDoubt,
}

/// A batch whose append has an unknown outcome. It may be, or may yet be,
/// written at this index, and at no other.
#[derive(Clone, Debug)]
struct InDoubtBatch {
    index: u64,
    batch: Batch<Vec<ClaimRecord>>,
}

/// The claims granted and settled since the store became unavailable, and how
/// many of them the deputy has.
#[derive(Debug, Default)]
struct OfflineLog {
    claims: Vec<OfflineClaim>,
    deputy: Option<VmIncarnation>,
    sent: usize,
}

/// One claim slot as seen by one VM.
pub(crate) struct Slot<P> {
    number: u32,
    me: VmIncarnation,
    settings: ClaimSettings,
    run_limit: Duration,
    store: SharedStore,
    clock: SharedClock,
    peers: P,
    state: SlotState,
    snapshot_index: u64,
    /// When the end of the chain was last read, or when the store last
    /// confirmed an append. The time is taken before the call is sent.
    end_read_at: Option<BootInstant>,
    /// The batch whose append has an unknown outcome. It is retried before
    /// anything else is appended.
    in_doubt: Option<InDoubtBatch>,
    /// Records that this VM has applied to its state but that are not yet in
    /// the chain.
    backlog: Vec<ClaimRecord>,
    deputy_copies: DeputyCopies,
    offline_log: OfflineLog,
    /// Whether this VM, as the deputy, has tried to take over. It then accepts
    /// no copies from the old owner.
    has_tried_takeover: bool,
    announced_at: Option<BootInstant>,
    is_offline: bool,
}

impl<P: SlotPeers> Slot<P> {
    pub(crate) fn new(
        number: u32,
        me: VmIncarnation,
        settings: ClaimSettings,
        run_limit: Duration,
        store: SharedStore,
        clock: SharedClock,
        peers: P,
    ) -> Slot<P> {
        Slot {
            number,
            me,
            settings,
            run_limit,
            store,
            clock,
            peers,
            state: SlotState::default(),
            snapshot_index: 0,
            end_read_at: None,
            in_doubt: None,
            backlog: Vec::new(),
            deputy_copies: DeputyCopies::default(),
            offline_log: OfflineLog::default(),
            has_tried_takeover: false,
            announced_at: None,
            is_offline: false,
        }
    }

    /// Returns whether this VM owns the slot, by the part of the chain that it
    /// has read.
    pub(crate) fn is_owner(&self) -> bool {
        self.role() == Role::Owner
    }

    /// Returns whether this VM grants claims while the store is unavailable.
    pub(crate) fn is_offline(&self) -> bool {
        self.is_offline
    }

    /// Returns whether records are still to be written to the chain.
    pub(crate) fn has_backlog(&self) -> bool {
        !self.backlog.is_empty() || self.in_doubt.is_some()
    }

    /// The index of the last batch that was read from the chain.
    pub(crate) fn index(&self) -> u64 {
        self.state.index()
    }

    /// Returns a verdict for each request. New claims are written to the chain
    /// in one batch.
    pub(crate) async fn claim(
        &mut self,
        requests: &[ClaimRequest],
    ) -> Vec<ClaimVerdict> {
        for _ in 0..MAX_ATTEMPTS {
            match self.prepare().await {
                Ok(()) => {}
                Err(verdict) => return vec![verdict; requests.len()],
            }
            let (verdicts, new_records) = self.evaluate_all(requests);
            if new_records.is_empty() {
                return verdicts;
            }
            match self.flush(&new_records).await {
                Flush::Committed => {
                    self.set_offline(false);
                    return verdicts;
                }
                Flush::Conflict => {}
                Flush::StoreUnavailable => {
                    return self.claim_offline(verdicts, new_records).await;
                }
            }
        }
        vec![
            unavailable("other VMs append to the slot concurrently");
            requests.len()
        ]
    }

    /// Records the outcome of a claim. It is written to the chain with the
    /// next batch.
    pub(crate) fn settle(
        &mut self,
        request: &ClaimRequest,
        outcome: ClaimOutcome,
    ) {
        let record = ClaimRecord::Settled {
            key: request.key,
            request: request.request.clone(),
            outcome: outcome.clone(),
        };
        self.state.apply_record(&record);
        self.backlog.push(record);
        if self.is_offline {
            // Sent to the deputy with the next claim or tick.
            self.offline_log.claims.push(OfflineClaim {
                claim: request.clone(),
                at_unix_ms: self.clock.unix_ms(),
                outcome: Some(outcome),
            });
        }
    }

    /// Stores copies of claims for the slot's owner. Returns false if this VM
    /// is not the owner's deputy, or if it lacks the claims before `first`;
    /// the owner then sends all of them.
    pub(crate) async fn store_copies(&mut self, request: CopyRequest) -> bool {
        if self.rejects_copies(&request).await {
            return false;
        }
        let is_same_owner =
            self.deputy_copies.owner.as_ref() == Some(&request.owner);
        if request.first == 0 || !is_same_owner {
            self.deputy_copies = DeputyCopies {
                owner: Some(request.owner),
                claims: Vec::new(),
            };
        }
        if self.deputy_copies.claims.len() != request.first {
            return false;
        }
        self.deputy_copies.claims.extend(request.claims);
        true
    }

    /// Writes the backlog to the chain, reads what other VMs appended, objects
    /// to takeovers and writes snapshots.
    ///
    /// The slot's task calls it regularly.
    pub(crate) async fn tick(&mut self) {
        if self.end_read_at.is_none() {
            return;
        }
        let was_owner = self.is_owner();
        if self.has_backlog() || self.is_offline {
            let flushed = self.flush(&[]).await;
            match flushed {
                Flush::Committed => self.set_offline(false),
                Flush::Conflict => {}
                Flush::StoreUnavailable => self.sync_deputy().await,
            }
        } else if was_owner
            && self.is_read_due()
            && self.read_to_end().await.is_ok()
        {
            self.object_to_takeover().await;
        }
        self.log_ownership_change(was_owner);
        self.write_snapshot_if_due().await;
    }

    /// Writes all pending records to the chain and makes the deputy the owner.
    pub(crate) async fn hand_over(&mut self) {
        if !self.is_owner() {
            self.flush_all().await;
            return;
        }
        let ownership = self.state.ownership().cloned();
        let successor = ownership
            .and_then(|o| o.deputy)
            .or_else(|| self.peers.pick_deputy());
        let records = successor.map(|owner| ClaimRecord::Owner {
            owner,
            deputy: None,
            gap_until_unix_ms: self.gap_until(),
        });
        for _ in 0..MAX_ATTEMPTS {
            match self.flush(records.as_slice()).await {
                Flush::Committed | Flush::StoreUnavailable => return,
                Flush::Conflict => {}
            }
        }
    }

    async fn flush_all(&mut self) {
        for _ in 0..MAX_ATTEMPTS {
            if !self.has_backlog() {
                return;
            }
            if matches!(self.flush(&[]).await, Flush::StoreUnavailable) {
                return;
            }
        }
    }

    fn role(&self) -> Role {
        let Some(ownership) = self.state.ownership() else {
            return Role::Unowned;
        };
        if ownership.owner == self.me {
            Role::Owner
        } else if ownership.deputy.as_ref() == Some(&self.me) {
            Role::Deputy(ownership.clone())
        } else {
            Role::Other(ownership.clone())
        }
    }

    /// Makes this VM the owner if it may take over, or returns the verdict for
    /// callers if it may not grant claims.
    async fn prepare(&mut self) -> Result<(), ClaimVerdict> {
        if self.end_read_at.is_none() && self.read_to_end().await.is_err() {
            return Err(unavailable("the slot's chain cannot be read"));
        }
        if self.role() == Role::Owner {
            return Ok(());
        }
        // The ownership read earlier may be outdated.
        if self.read_to_end().await.is_err() {
            return Err(self.redirect_verdict());
        }
        let was_owner = self.is_owner();
        match self.role() {
            Role::Owner => {}
            Role::Unowned => self.write_ownership(None, Vec::new()).await?,
            Role::Deputy(ownership) => {
                self.take_over_as_deputy(&ownership).await?;
            }
            Role::Other(ownership) => {
                self.take_over_as_other(&ownership).await?;
            }
        }
        self.log_ownership_change(was_owner);
        Ok(())
    }

    async fn take_over_as_deputy(
        &mut self,
        ownership: &Ownership,
    ) -> Result<(), ClaimVerdict> {
        if !self.peers.is_gone(&ownership.owner).await {
            return Err(not_owner(&ownership.owner));
        }
        self.has_tried_takeover = true;
        let is_from_owner =
            self.deputy_copies.owner.as_ref() == Some(&ownership.owner);
        let records = match is_from_owner {
            true => to_records(&self.deputy_copies.claims),
            false => Vec::new(),
        };
        self.write_ownership(ownership.gap_until_unix_ms, records).await?;
        self.deputy_copies = DeputyCopies::default();
        Ok(())
    }

    async fn take_over_as_other(
        &mut self,
        ownership: &Ownership,
    ) -> Result<(), ClaimVerdict> {
        if !self.peers.is_gone(&ownership.owner).await {
            return Err(not_owner(&ownership.owner));
        }
        if let Some(deputy) = &ownership.deputy
            && !self.peers.is_gone(deputy).await
        {
            return Err(not_owner(deputy));
        }
        if self.state.takeover() != Some(&self.me) {
            self.announce_takeover().await;
            return Err(unavailable("the owner of the slot is unreachable"));
        }
        let wait = self.settings.offline_max.mul_f64(CLOCK_DRIFT_FACTOR);
        let waited = self.announced_at.is_some_and(|at| {
            self.clock.now().saturating_duration_since(at) >= wait
        });
        if !waited {
            return Err(unavailable("the owner of the slot is unreachable"));
        }
        let hold_ms = self.settings.gap_hold.as_millis() as u64;
        let gap_until = self.clock.unix_ms() + hold_ms;
        self.write_ownership(Some(gap_until), Vec::new()).await?;
        Event::SlotGap.log(format_args!(
            "slot {} after {}",
            self.number, ownership.owner.vm
        ));
        Ok(())
    }

    async fn announce_takeover(&mut self) {
        let record = ClaimRecord::Takeover { by: self.me.clone() };
        if matches!(self.flush(&[record]).await, Flush::Committed) {
            self.announced_at = Some(self.clock.now());
        }
    }

    /// Appends an owner record for this VM, followed by `claims`.
    async fn write_ownership(
        &mut self,
        gap_until_unix_ms: Option<u64>,
        claims: Vec<ClaimRecord>,
    ) -> Result<(), ClaimVerdict> {
        let mut records = vec![ClaimRecord::Owner {
            owner: self.me.clone(),
            deputy: self.peers.pick_deputy(),
            gap_until_unix_ms,
        }];
        records.extend(claims);
        match self.flush(&records).await {
            Flush::Committed => {
                // A new owner record starts a new term, so this VM may become
                // a deputy again later.
                self.has_tried_takeover = false;
                Ok(())
            }
            Flush::Conflict => Err(self.redirect_verdict()),
            Flush::StoreUnavailable => {
                Err(unavailable("the slot cannot be taken over"))
            }
        }
    }

    /// Returns the verdicts on all requests, and a record for each new claim.
    fn evaluate_all(
        &self,
        requests: &[ClaimRequest],
    ) -> (Vec<ClaimVerdict>, Vec<ClaimRecord>) {
        let now_unix_ms = self.clock.unix_ms();
        let mut trial_state = self.state.subset_for(requests);
        let mut verdicts = Vec::new();
        let mut new_records = Vec::new();
        for request in requests {
            let known =
                trial_state.verdict(request, now_unix_ms, self.run_limit);
            if let Some(verdict) = known {
                verdicts.push(verdict);
                continue;
            }
            let record = ClaimRecord::Claimed {
                claim: request.clone(),
                at_unix_ms: now_unix_ms,
            };
            trial_state.apply_record(&record);
            new_records.push(record);
            verdicts.push(ClaimVerdict::Granted);
        }
        (verdicts, new_records)
    }

    /// Grants new claims while the store is unavailable, if the deputy stores
    /// copies of them. Rejects them otherwise.
    async fn claim_offline(
        &mut self,
        verdicts: Vec<ClaimVerdict>,
        new_records: Vec<ClaimRecord>,
    ) -> Vec<ClaimVerdict> {
        let granted = self.copy_to_deputy(&new_records).await;
        if granted && self.may_go_offline() {
            self.set_offline(true);
            for record in &new_records {
                self.state.apply_record(record);
            }
            self.add_to_backlog(new_records);
            return verdicts;
        }
        self.void_rejected_in_doubt(&new_records);
        let rejected = unavailable(
            "the store is unavailable and no deputy stores copies",
        );
        let is_new =
            |verdict: &ClaimVerdict| *verdict == ClaimVerdict::Granted;
        verdicts
            .into_iter()
            .map(|v| if is_new(&v) { rejected.clone() } else { v })
            .collect()
    }

    async fn copy_to_deputy(&mut self, new_records: &[ClaimRecord]) -> bool {
        let deputy = self.state.ownership().and_then(|o| o.deputy.clone());
        let Some(deputy) = deputy else { return false };
        if !self.is_owner() || !self.may_go_offline() {
            return false;
        }
        // An owner record with an unknown outcome may have named another
        // deputy, which could take over without the claims copied to this one.
        if self.in_doubt.iter().any(|d| names_owner(&d.batch.content)) {
            return false;
        }
        let granted = self.offline_log.claims.len();
        self.offline_log.claims.extend(offline_claims(new_records));
        let is_stored = self.send_log_to(&deputy).await;
        if !is_stored {
            self.offline_log.claims.truncate(granted);
            self.offline_log.sent = 0;
        }
        is_stored
    }

    /// Sends the deputy outcomes that were recorded since the last claim.
    async fn sync_deputy(&mut self) {
        let log = &self.offline_log;
        let is_behind = self.is_offline && log.sent < log.claims.len();
        if let Some(deputy) = log.deputy.clone().filter(|_| is_behind) {
            // A failure is harmless: without the outcome, a deputy that takes
            // over answers a repeated request with `outcome_unknown`.
            self.send_log_to(&deputy).await;
        }
    }

    /// Sends the deputy the part of the log that it lacks. If it rejects that,
    /// sends the whole log.
    async fn send_log_to(&mut self, deputy: &VmIncarnation) -> bool {
        let log = &mut self.offline_log;
        if log.deputy.as_ref() != Some(deputy) {
            log.deputy = Some(deputy.clone());
            log.sent = 0;
        }
        for first in [log.sent, 0] {
            let request = CopyRequest {
                slot: self.number,
                index: self.state.index(),
                owner: self.me.clone(),
                first,
                claims: log.claims[first..].to_vec(),
            };
            if self.peers.send_copies(deputy, request).await {
                log.sent = log.claims.len();
                return true;
            }
            if first == 0 {
                break;
            }
        }
        false
    }

    fn may_go_offline(&self) -> bool {
        let now = self.clock.now();
        self.end_read_at.is_some_and(|at| {
            now.saturating_duration_since(at) < self.settings.offline_max
        })
    }

    /// Settles claims that were rejected but are part of an append with an
    /// unknown outcome as not run, since the append may still bring them into
    /// the chain.
    fn void_rejected_in_doubt(&mut self, new_records: &[ClaimRecord]) {
        let Some(doubt) = &self.in_doubt else { return };
        let settled: Vec<ClaimRecord> = new_records
            .iter()
            .filter(|record| doubt.batch.content.contains(record))
            .filter_map(|record| match record {
                ClaimRecord::Claimed { claim, .. } => {
                    Some(ClaimRecord::Settled {
                        key: claim.key,
                        request: claim.request.clone(),
                        outcome: ClaimOutcome::NotRun,
                    })
                }
                _ => None,
            })
            .collect();
        self.backlog.extend(settled);
    }

    fn add_to_backlog(&mut self, new_records: Vec<ClaimRecord>) {
        let in_doubt = self.in_doubt.as_ref();
        let fresh = new_records.into_iter().filter(|record| {
            !in_doubt.is_some_and(|d| d.batch.content.contains(record))
        });
        self.backlog.extend(fresh);
    }

    /// Appends the in-doubt batch, the backlog and `new_records`, in this
    /// order.
    async fn flush(&mut self, new_records: &[ClaimRecord]) -> Flush {
        if let Some(doubt) = self.in_doubt.clone() {
            match self.append(&doubt.batch).await {
                Append::Committed => self.in_doubt = None,
                // An earlier attempt may still take effect.
                Append::NotApplied | Append::InDoubt => {
                    return Flush::StoreUnavailable;
                }
                Append::Conflict => return Flush::Conflict,
            }
        }
        loop {
            let chunk = self.next_chunk();
            let is_last = chunk.len() == self.backlog.len();
            let mut records = chunk.clone();
            if is_last {
                records.extend(self.owner_renewal(new_records));
                records.extend_from_slice(new_records);
            }
            if records.is_empty() {
                return Flush::Committed;
            }
            let batch = Batch { write: WriteId::random(), content: records };
            match self.append(&batch).await {
                Append::Committed => {
                    self.backlog.drain(..chunk.len());
                }
                Append::Conflict => return Flush::Conflict,
                Append::NotApplied => return Flush::StoreUnavailable,
                Append::InDoubt => {
                    self.backlog.drain(..chunk.len());
                    let index = self.state.index() + 1;
                    self.in_doubt = Some(InDoubtBatch { index, batch });
                    return Flush::StoreUnavailable;
                }
            }
            if is_last {
                return Flush::Committed;
            }
        }
    }

    /// Returns the first records of the backlog that fit into one batch.
    fn next_chunk(&self) -> Vec<ClaimRecord> {
        let mut bytes = 0;
        let fits = |record: &&ClaimRecord| {
            bytes += estimate_bytes(record);
            bytes <= MAX_BATCH_BYTES
        };
        self.backlog
            .iter()
            .take(MAX_BATCH_RECORDS)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Returns a new owner record if the deputy must change or if another VM
    /// has announced a takeover.
    fn owner_renewal(
        &self,
        new_records: &[ClaimRecord],
    ) -> Option<ClaimRecord> {
        let is_owner_record =
            |r: &ClaimRecord| matches!(r, ClaimRecord::Owner { .. });
        if !self.is_owner() || new_records.iter().any(is_owner_record) {
            return None;
        }
        let deputy = self.state.ownership().and_then(|o| o.deputy.as_ref());
        let wanted = self.peers.pick_deputy();
        let objected = self.state.takeover().is_some();
        if wanted.as_ref() == deputy && !objected {
            return None;
        }
        Some(ClaimRecord::Owner {
            owner: self.me.clone(),
            deputy: wanted,
            gap_until_unix_ms: self.gap_until(),
        })
    }

    async fn append(&mut self, batch: &Batch<Vec<ClaimRecord>>) -> Append {
        let now = self.clock.now();
        if !self.is_end_fresh(now) && self.read_to_end().await.is_err() {
            return Append::NotApplied;
        }
        let index = self.state.index() + 1;
        let prefix = self.prefix();
        let store = self.store.clone();
        let sent_at = self.clock.now();
        let appended = chain::append(&*store, &prefix, index, batch).await;
        let took = self.clock.now().saturating_duration_since(sent_at);
        match appended {
            Ok(AppendOutcome::Appended) if took < MAX_APPEND_DELAY => {
                self.state.apply(index, &batch.content);
                self.end_read_at = Some(sent_at);
                Append::Committed
            }
            Ok(AppendOutcome::Appended) => {
                // The append took so long that its index may have been removed
                // since. After the reset the chain is read again; the records
                // are found there or are written again.
                self.reset();
                Append::Conflict
            }
            Ok(AppendOutcome::Occupied(records)) => {
                self.resolve_in_doubt(index, None);
                self.state.apply(index, &records);
                // More batches may follow. If this read fails, the next append
                // finds them.
                let _ = self.read_to_end().await;
                Append::Conflict
            }
            Err(StoreError::NotApplied(_)) => Append::NotApplied,
            Err(StoreError::OutcomeUnknown(_)) => Append::InDoubt,
        }
    }

    fn is_end_fresh(&self, now: BootInstant) -> bool {
        self.end_read_at.is_some_and(|at| {
            now.saturating_duration_since(at) < MAX_APPEND_DELAY
        })
    }

    fn reset(&mut self) {
        self.state = SlotState::default();
        self.snapshot_index = 0;
        self.end_read_at = None;
    }

    /// Applies the batches that other VMs appended, up to the end of the
    /// chain.
    async fn read_to_end(&mut self) -> Result<(), StoreError> {
        let sent_at = self.clock.now();
        if self.end_read_at.is_none() {
            self.read_snapshot().await?;
        }
        let prefix = self.prefix();
        let after = self.state.index();
        let batches: Vec<(u64, Batch<Vec<ClaimRecord>>)> =
            chain::read_after(&*self.store, &prefix, after).await?;
        for (index, batch) in batches {
            if index != self.state.index() + 1 {
                // Batches were removed from the chain after the snapshot was
                // read.
                self.reset();
                let gap = "batches were removed meanwhile".to_owned();
                return Err(StoreError::NotApplied(gap));
            }
            self.resolve_in_doubt(index, Some(batch.write));
            self.state.apply(index, &batch.content);
        }
        self.end_read_at = Some(sent_at);
        self.reapply_pending();
        Ok(())
    }

    /// Resolves the in-doubt batch once its index has been read.
    ///
    /// If another batch is at its index, it can never be written any more, and
    /// its records about keys go back to the backlog. Its records about the
    /// owner are dropped, since they were decided on an outdated state.
    fn resolve_in_doubt(&mut self, index: u64, found: Option<WriteId>) {
        let Some(doubt) = self.in_doubt.take_if(|d| d.index <= index) else {
            return;
        };
        if doubt.index < index || found != Some(doubt.batch.write) {
            let claims = key_records(&doubt.batch.content);
            self.backlog.splice(0..0, claims);
        }
    }

    /// Applies pending records again after reading the chain, since they are
    /// in force at this VM before they are in the chain.
    fn reapply_pending(&mut self) {
        let in_doubt = self.in_doubt.iter();
        let pending: Vec<ClaimRecord> = in_doubt
            .flat_map(|doubt| key_records(&doubt.batch.content))
            .chain(self.backlog.iter().cloned())
            .collect();
        for record in &pending {
            self.state.apply_record(record);
        }
    }

    async fn read_snapshot(&mut self) -> Result<(), StoreError> {
        let Some(stored) = self.store.get(&self.snapshot_key()).await? else {
            return Ok(());
        };
        let state: SlotState = chain::decode(&stored.value)?;
        if state.index() > self.state.index() {
            self.snapshot_index = state.index();
            self.state = state;
        }
        Ok(())
    }

    fn is_read_due(&self) -> bool {
        let every = self.settings.offline_max / 4;
        let now = self.clock.now();
        self.end_read_at
            .is_none_or(|at| now.saturating_duration_since(at) >= every)
    }

    async fn object_to_takeover(&mut self) {
        let other = self.state.takeover().is_some_and(|by| *by != self.me);
        if self.is_owner() && other {
            // Flushing renews the owner record, which cancels the takeover.
            let _ = self.flush(&[]).await;
        }
    }

    async fn write_snapshot_if_due(&mut self) {
        let index = self.state.index();
        let due = index >= self.snapshot_index + SNAPSHOT_EVERY;
        if !due || !self.is_owner() || self.has_backlog() {
            return;
        }
        let now_unix_ms = self.clock.unix_ms();
        self.state.expire(now_unix_ms, self.settings.retention);
        let Some(value) = self.snapshot_value() else { return };
        let key = self.snapshot_key();
        let condition = match self.store.get(&key).await {
            Ok(Some(stored)) => Condition::VersionIs(stored.version),
            Ok(None) => Condition::Absent,
            Err(_) => return,
        };
        if self.store.put(&key, &value, condition).await.is_ok() {
            self.snapshot_index = index;
            self.compact(index).await;
        }
    }

    fn snapshot_value(&mut self) -> Option<String> {
        let value = chain::encode(&self.state).ok()?;
        if value.len() <= VALUE_LIMIT_BYTES {
            return Some(value);
        }
        // Keeping the keys prevents duplicate runs, so the stored responses
        // are dropped first.
        self.state.drop_response_bodies();
        let value = chain::encode(&self.state).ok()?;
        (value.len() <= VALUE_LIMIT_BYTES).then_some(value)
    }

    /// Removes batches that are covered by the snapshot and older than
    /// [`MIN_REMOVE_AGE`].
    ///
    /// Younger batches are left until a later snapshot; they cost only space.
    async fn compact(&self, snapshot_index: u64) {
        let oldest_kept = self.clock.unix_ms()
            - (MIN_REMOVE_AGE.as_millis() as u64).min(self.clock.unix_ms());
        let prefix = self.prefix();
        let first_page = self.store.list(&format!("{prefix}/"), "").await;
        for entry in first_page.unwrap_or_default() {
            let removable = chain::index(&entry.key)
                .is_some_and(|index| index < snapshot_index)
                && last_claim_unix_ms(&entry.value)
                    .is_some_and(|at| at < oldest_kept);
            if !removable || self.store.delete(&entry.key).await.is_err() {
                return;
            }
        }
    }

    /// Returns whether to reject copies of claims, because the sender is not
    /// an owner with this VM as its deputy, or because this VM has tried to
    /// take over.
    async fn rejects_copies(&mut self, request: &CopyRequest) -> bool {
        let must_read = self.end_read_at.is_none()
            || self.state.index() < request.index
            || self.has_tried_takeover;
        let is_read = must_read && self.read_to_end().await.is_ok();
        if self.state.index() < request.index {
            // The store is unavailable to this VM too. The owner has read
            // further in the chain, so its claim to ownership is accepted,
            // unless this VM has tried to take over.
            return self.has_tried_takeover;
        }
        let agrees = self.state.ownership().is_some_and(|ownership| {
            ownership.owner == request.owner
                && ownership.deputy.as_ref() == Some(&self.me)
        });
        if agrees && self.in_doubt.is_none() && is_read {
            // The takeover attempt has failed and can't take effect any more.
            self.has_tried_takeover = false;
        }
        !agrees || self.has_tried_takeover
    }

    fn log_ownership_change(&self, was_owner: bool) {
        let event = match (was_owner, self.is_owner()) {
            (false, true) => Event::SlotTaken,
            (true, false) => Event::SlotLost,
            _ => return,
        };
        event.log(format_args!("slot {}", self.number));
    }

    fn set_offline(&mut self, offline: bool) {
        if !offline {
            self.offline_log = OfflineLog::default();
        }
        if offline != self.is_offline {
            self.is_offline = offline;
            let event =
                if offline { Event::SlotOffline } else { Event::SlotOnline };
            event.log(format_args!("slot {}", self.number));
        }
    }

    fn redirect_verdict(&self) -> ClaimVerdict {
        match self.state.ownership() {
            Some(ownership) if ownership.owner != self.me => {
                not_owner(&ownership.owner)
            }
            _ => unavailable("the owner of the slot is changing"),
        }
    }

    fn gap_until(&self) -> Option<u64> {
        self.state.ownership().and_then(|o| o.gap_until_unix_ms)
    }

    fn prefix(&self) -> String {
        format!("claims/{:04}", self.number)
    }

    fn snapshot_key(&self) -> String {
        format!("claimbase/{:04}", self.number)
    }
}

/// Returns the new claims among `records` in the form in which they are sent
/// to the deputy.
fn offline_claims(records: &[ClaimRecord]) -> Vec<OfflineClaim> {
    let claims = records.iter().filter_map(|record| match record {
        ClaimRecord::Claimed { claim, at_unix_ms } => Some(OfflineClaim {
            claim: claim.clone(),
            at_unix_ms: *at_unix_ms,
            outcome: None,
        }),
        _ => None,
    });
    claims.collect()
}

fn names_owner(records: &[ClaimRecord]) -> bool {
    records.iter().any(|r| matches!(r, ClaimRecord::Owner { .. }))
}

/// Returns the records about keys, without those about the slot's ownership.
fn key_records(records: &[ClaimRecord]) -> Vec<ClaimRecord> {
    let about_keys = |record: &&ClaimRecord| {
        matches!(
            record,
            ClaimRecord::Claimed { .. } | ClaimRecord::Settled { .. }
        )
    };
    records.iter().filter(about_keys).cloned().collect()
}

fn to_records(claims: &[OfflineClaim]) -> Vec<ClaimRecord> {
    let mut records = Vec::new();
    for offline in claims {
        records.push(ClaimRecord::Claimed {
            claim: offline.claim.clone(),
            at_unix_ms: offline.at_unix_ms,
        });
        if let Some(outcome) = &offline.outcome {
            records.push(ClaimRecord::Settled {
                key: offline.claim.key,
                request: offline.claim.request.clone(),
                outcome: outcome.clone(),
            });
        }
    }
    records
}

fn estimate_bytes(record: &ClaimRecord) -> usize {
    const RECORD_BYTES: usize = 256;
    match record {
        ClaimRecord::Settled {
            outcome: ClaimOutcome::Ran { body: Some(body), .. },
            ..
        } => RECORD_BYTES + body.len() * 2,
        _ => RECORD_BYTES,
    }
}

/// Returns the time of the last claim in a stored batch, 0 if it has no
/// claims, or `None` if it can't be parsed. Unix milliseconds.
fn last_claim_unix_ms(value: &str) -> Option<u64> {
    let batch: Batch<Vec<ClaimRecord>> = chain::decode(value).ok()?;
    batch
        .content
        .iter()
        .filter_map(|record| match record {
            ClaimRecord::Claimed { at_unix_ms, .. } => Some(*at_unix_ms),
            _ => None,
        })
        .max()
        .or(Some(0))
}

fn unavailable(reason: &str) -> ClaimVerdict {
    ClaimVerdict::Unavailable { reason: reason.to_owned() }
}

fn not_owner(incarnation: &VmIncarnation) -> ClaimVerdict {
    ClaimVerdict::NotOwner { ask: incarnation.vm.clone() }
}

/// Returns the VM that the caller should ask instead, if the verdict names
/// one.
pub(crate) fn redirect_target(verdict: &ClaimVerdict) -> Option<&VmId> {
    match verdict {
        ClaimVerdict::NotOwner { ask } => Some(ask),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
